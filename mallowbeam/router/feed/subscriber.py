"""The gateway's end of the feed: which member to follow, and what is held of its word."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType
from typing import Generic, TypeVar

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.feed.candidates import Candidates
from mallowbeam.router.feed.instances import InstanceChanges, InstanceCopy
from mallowbeam.router.feed.lateness import FrameLateness
from mallowbeam.router.feed.limits import (
    CONNECT_TIMEOUT_S,
    GATEWAYS_WINDOW_S,
    MOST_LATENESS_S,
    MOST_LEADER_SILENCE_MS,
    MOST_SILENCE_S,
    READY_WITHOUT_COMPLETE_S,
    UNFIT_DWELL_S,
)
from mallowbeam.router.rpc.messages_pb2 import (
    ConfigurationUpdate,
    FeedFrame,
    FeedHeartbeat,
    FeedHello,
    Instance,
    InstanceAttempts,
    InstancesUpdate,
)

Configuration = TypeVar("Configuration")


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection, send `hello()` and call `connected()`, or `failed()` after CONNECT_TIMEOUT_S."""

    address: str


@dataclass(frozen=True, slots=True)
class Close:
    """End the connection, then ask for the next action at once. No `failed()` is due."""

    address: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do before `until`, unless a frame or an end comes in."""

    until: float


Action = Connect | Close | Wait


@dataclass(frozen=True, slots=True)
class FeedEvents(Generic[Configuration]):
    """What a frame changed at the gateway."""

    configuration: Configuration | None = None  # the new one, where it changed
    instances: InstanceChanges = InstanceChanges()
    attempts: tuple[InstanceAttempts, ...] = ()  # how the fleet's at failing instances ended


@dataclass(slots=True)
class _Link:
    """The connection in use or being opened."""

    address: str
    since: float
    open: bool = False
    heard_at: float = 0.0
    lateness: FrameLateness = field(default_factory=FrameLateness)
    was_in_touch: bool = False  # by any heartbeat of the member
    out_of_touch: bool = False  # by the member's last heartbeat, or that came far too late
    current: bool = False  # the last heartbeat tells of a state that was current just now
    behind: bool = False  # the member sent an older configuration than is held
    broken: bool = False  # its changes don't fit what is held: needs a new start


class FeedSubscriber(Generic[Configuration]):
    """Follows one member at a time. Times are in seconds of the steady clock.

    `apply_update` makes the new configuration from the one that is held and an update; where it raises a
    MallowbeamError, nothing is changed and the gateway starts again at another member.
    """

    def __init__(
        self,
        seeds: Iterable[str],
        zone: str,
        random: Random,
        apply_update: Callable[[Configuration | None, ConfigurationUpdate], Configuration],
        gateway: str = "",
        incarnation: int = 0,
    ) -> None:
        self._zone, self._gateway, self._incarnation = zone, gateway, incarnation
        self._apply_update = apply_update
        self._candidates = Candidates(seeds, random)
        self._candidates.patient = False  # until it is ready
        self._link: _Link | None = None
        self._copy = InstanceCopy()
        self._first_frame_at: float | None = None
        self._table_complete = False
        self._was_ready = False
        self._counts: deque[tuple[float, int]] = deque()  # falling counts of gateways, oldest first
        self.configuration: Configuration | None = None
        self.configuration_revision = 0
        self.gateways = 0  # in the whole fleet, as last told

    # ------------------------------------------------------------ what is held

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Instances by id, ready and draining; a read-only view."""
        return MappingProxyType(self._copy.held)

    def gateways_bound(self, now: float) -> int:
        """The greatest number of gateways told of within GATEWAYS_WINDOW_S, or the last one."""
        while len(self._counts) > 1 and now - self._counts[0][0] > GATEWAYS_WINDOW_S:
            self._counts.popleft()
        return max(self.gateways, self._counts[0][1] if self._counts else 0)

    def ready(self, now: float) -> bool:
        """Whether requests can be served; once true it stays so, also without a feed.

        What a gateway begins with has to be current: it becomes ready while it follows a member in touch.
        """
        if not self._was_ready and self.configuration_revision > 0 and self._follows_current(now):
            self._was_ready = self._table_complete or (bool(self._copy.held) and self._waited(now))
            self._candidates.patient = self._was_ready
        return self._was_ready

    def _follows_current(self, now: float) -> bool:
        """Whether the member that is followed was in touch by its last word, which is not old."""
        link = self._link
        if link is None or not link.current or link.broken:
            return False
        return now - link.heard_at <= MOST_SILENCE_S

    def _waited(self, now: float) -> bool:
        """Whether a table that is not complete will do."""
        return self._first_frame_at is not None and now - self._first_frame_at > READY_WITHOUT_COMPLETE_S

    def hello(self) -> FeedHello:
        """The first message on a new connection."""
        return FeedHello(
            gateway=self._gateway,
            incarnation=self._incarnation,
            zone=self._zone,
            configuration_revision=self.configuration_revision,
        )

    # ------------------------------------------------------------ the connection

    def next_action(self, now: float) -> Action:
        """What the host is to do now; to be asked again after each event and at the time of a Wait."""
        link = self._link
        if link is None:
            return self._open(now)
        if not link.open:
            return Wait(link.since + CONNECT_TIMEOUT_S)
        if now - link.heard_at > MOST_SILENCE_S:
            self._reconsider_others(link)
            self._candidates.failed(link.address, now)
            return self._give_up(link)
        unfit = link.out_of_touch or link.behind
        if link.broken or (unfit and self._may_leave(link, now)):
            return self._give_up(link)
        return Wait(link.heard_at + MOST_SILENCE_S)

    def _may_leave(self, link: _Link, now: float) -> bool:
        """Whether to leave an unfit member: it had time to get in touch, and another one may be better."""
        return link.heard_at - link.since >= UNFIT_DWELL_S and self._candidates.better_than(link.address, now)

    def connected(self, address: str, now: float) -> None:
        """Take note of an open connection; the host has sent `hello()`."""
        link = self._link
        if link is not None and link.address == address:
            link.open = True
            link.heard_at = now

    def failed(self, address: str, now: float) -> None:
        """Take note that a connection could not be opened, or that its peer ended it."""
        if self._link is not None and self._link.address == address:
            self._reconsider_others(self._link)
            self._link = None
            self._candidates.failed(address, now)

    def _open(self, now: float) -> Action:
        """Try the next member, or wait for the first backoff to end."""
        address = self._candidates.choose(now)
        if address is None:
            return Wait(self._candidates.next_ready())
        self._link = _Link(address, now)
        return Connect(address)

    def _reconsider_others(self, link: _Link) -> None:
        """Have the others tried soon, once, where the member followed is no longer current."""
        if link.was_in_touch:
            link.was_in_touch = False
            self._candidates.reconsider_others(link.address)

    def _give_up(self, link: _Link) -> Close:
        """Leave the member."""
        self._link = None
        return Close(link.address)

    # ------------------------------------------------------------ frames

    def received(self, frame: FeedFrame, now: float) -> FeedEvents[Configuration]:
        """Take a frame of the open connection; one that comes after its end changes nothing."""
        link = self._link
        if link is None or not link.open or link.broken:
            return FeedEvents()
        link.heard_at = now
        if self._first_frame_at is None:
            self._first_frame_at = now
        if frame.HasField("heartbeat"):
            self._take_heartbeat(link, frame.heartbeat, now)
        configuration = None
        if frame.HasField("configuration"):
            configuration = self._take_configuration(link, frame.configuration, now)
        changes = InstanceChanges()
        if frame.HasField("instances"):
            changes = self._take_instances(frame.instances, frame.heartbeat.table_complete)
        self.ready(now)
        return FeedEvents(configuration, changes, tuple(frame.attempts))

    def _take_heartbeat(self, link: _Link, heartbeat: FeedHeartbeat, now: float) -> None:
        """Judge the member by its silence, and learn the fleet's size and members."""
        silence_ms = heartbeat.leader_silence_ms
        late_s = link.lateness.frame(heartbeat.sent_at_ms / 1000, now) if heartbeat.sent_at_ms else 0.0
        self._candidates.served(link.address, now - silence_ms / 1000 - late_s)
        if heartbeat.members:
            self._candidates.learn(heartbeat.members)
        link.current = silence_ms + late_s * 1000 <= MOST_LEADER_SILENCE_MS
        link.out_of_touch = silence_ms > MOST_LEADER_SILENCE_MS or late_s > MOST_LATENESS_S
        if link.out_of_touch:
            self._reconsider_others(link)
            self._candidates.unfit(link.address, now)
        else:
            link.was_in_touch = True
            if not link.behind:
                self._candidates.fit(link.address)
        if not link.out_of_touch or heartbeat.gateways > self.gateways:
            self._count(heartbeat.gateways, now)

    def _count(self, gateways: int, now: float) -> None:
        """Note a count; a member out of touch, which sees a part of the fleet, only ever raises it."""
        self.gateways = gateways
        while self._counts and self._counts[-1][1] <= gateways:
            self._counts.pop()
        self._counts.append((now, gateways))

    def _take_configuration(
        self, link: _Link, update: ConfigurationUpdate, now: float
    ) -> Configuration | None:
        """Apply an update that leads to a newer revision; any older one speaks against the member."""
        if update.revision <= self.configuration_revision:
            if update.revision < self.configuration_revision:
                link.behind = True
                self._candidates.unfit(link.address, now)
            return None
        if not update.whole and update.based_on != self.configuration_revision:
            self._break(link, now)
            return None
        try:
            self.configuration = self._apply_update(self.configuration, update)
        except MallowbeamError:
            self._break(link, now)
            return None
        self.configuration_revision = update.revision
        return self.configuration

    def _break(self, link: _Link, now: float) -> None:
        """Leave a member whose changes don't fit what is held."""
        link.broken = True
        self._candidates.failed(link.address, now)

    def _take_instances(self, update: InstancesUpdate, complete: bool) -> InstanceChanges:
        """Apply a table or its changes; only a complete table replaces what is held."""
        if complete and update.whole:
            self._table_complete = True
        return self._copy.apply(update, replaces=complete and update.whole)
