"""The gateway's end of the feed: which member to follow, and the state received from it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType
from typing import Generic, TypeVar

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.feed.candidates import Candidates
from mallowbeam.router.feed.frame_staleness import FrameStaleness
from mallowbeam.router.feed.gateway_count_window import GatewayCountWindow
from mallowbeam.router.feed.instance_replica import InstanceChanges, InstanceReplica
from mallowbeam.router.feed.limits import (
    CONNECT_TIMEOUT_S,
    FRAME_TIMEOUT_S,
    LEADER_TIMEOUT_MS,
    MAX_STALENESS_S,
    MIN_DWELL_S,
    READY_WITHOUT_COMPLETE_S,
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
class GatewayIdentity:
    """How a gateway identifies itself to the member that it follows."""

    zone: str
    name: str = ""
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection, send `hello()` and call `connected()`, or `failed()` after CONNECT_TIMEOUT_S."""

    address: str


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection, then call `next_action()` at once; don't call `failed()`."""

    address: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do before `until`, unless a frame arrives or the connection ends."""

    until: float


Action = Connect | Close | Wait


@dataclass(frozen=True, slots=True)
class FeedEvents(Generic[Configuration]):
    """The effect of a frame on the gateway."""

    configuration: Configuration | None = None  # the new configuration, if it changed
    instances: InstanceChanges = InstanceChanges()
    attempts: tuple[InstanceAttempts, ...] = ()  # outcomes of the fleet's attempts at failing instances


@dataclass(slots=True)
class _Connection:
    """The connection to the member that is followed, open or being opened."""

    address: str
    since: float
    open: bool = False
    received_at: float = 0.0  # when the last frame arrived, or the connection was opened
    staleness: FrameStaleness = field(default_factory=FrameStaleness)
    was_healthy: bool = False  # a heartbeat was healthy, and the others have not been readmitted since
    isolated: bool = False  # according to the last heartbeat, or because its frame was far too stale
    current: bool = False  # according to the last heartbeat, the member's state was current
    behind: bool = False  # the member sent an older configuration than this gateway has
    inconsistent: bool = False  # the member's changes don't fit this gateway's state: reconnect
    unconfirmed_members: tuple[str, ...] = ()  # the membership that it sent last, until it is current


class FeedSubscriber(Generic[Configuration]):
    """Follows one member at a time. Times are in seconds of the monotonic clock.

    `apply_update` makes the new configuration from the current one and an update; if it raises a
    MallowbeamError, the configuration stays as it is and the gateway reconnects, to another member if it can.
    """

    def __init__(
        self,
        seeds: Iterable[str],
        identity: GatewayIdentity,
        random: Random,
        apply_update: Callable[[Configuration | None, ConfigurationUpdate], Configuration],
    ) -> None:
        """Start without state; `seeds` are the member addresses from the settings, HOST:PORT."""
        self._identity = identity
        self._apply_update = apply_update
        self._candidates = Candidates(seeds, random)
        self._candidates.ejections_grow = False  # until the gateway is ready
        self._connection: _Connection | None = None
        self._replica = InstanceReplica()
        self._first_frame_at: float | None = None
        self._table_complete = False
        self._was_ready = False
        self._gateway_counts = GatewayCountWindow()
        self._current_at = -math.inf  # the last time at which a followed member's state was current
        self.configuration: Configuration | None = None
        self.configuration_revision = 0

    # ------------------------------------------------------------ state

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Ready and draining instances by id, as a read-only view."""
        return MappingProxyType(self._replica.instances)

    @property
    def gateways(self) -> int:
        """The number of gateways in the whole fleet, as last received."""
        return self._gateway_counts.latest

    def gateways_bound(self, now: float) -> int:
        """The maximum number of gateways received within GATEWAY_COUNT_WINDOW_S, or the last one."""
        return self._gateway_counts.maximum(now)

    def staleness(self, now: float) -> float:
        """Seconds since a followed member's state was known to be current; infinite before the first."""
        return now - self._current_at

    @property
    def member_addresses(self) -> tuple[str, ...]:
        """The addresses of members and seeds that this gateway may connect to, each once."""
        return self._candidates.addresses

    def ready(self, now: float) -> bool:
        """Whether requests can be served; once true it stays true, also without a feed.

        A gateway must start with current state, so it becomes ready only while it follows a current member.
        """
        if not self._was_ready and self.configuration_revision > 0 and self._follows_current(now):
            self._was_ready = self._table_complete or (
                bool(self._replica.instances) and self._waited_for_table(now)
            )
            self._candidates.ejections_grow = self._was_ready
        return self._was_ready

    def _follows_current(self, now: float) -> bool:
        """Whether the followed member was current by its last heartbeat, and its last frame is recent."""
        connection = self._connection
        if connection is None or not connection.current or connection.inconsistent:
            return False
        return now - connection.received_at <= FRAME_TIMEOUT_S

    def _waited_for_table(self, now: float) -> bool:
        """Whether enough time has passed to accept an incomplete table."""
        return self._first_frame_at is not None and now - self._first_frame_at > READY_WITHOUT_COMPLETE_S

    def hello(self) -> FeedHello:
        """The first message on a new connection."""
        return FeedHello(
            gateway=self._identity.name,
            incarnation=self._identity.incarnation,
            zone=self._identity.zone,
            configuration_revision=self.configuration_revision,
        )

    # ------------------------------------------------------------ the connection

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds; a member that is followed stays followed.

        The host calls it when the settings name other members, and `next_action()` afterwards: while no
        member is reachable, the seeds may be the only addresses that still exist.
        """
        self._candidates.replace_seeds(seeds)

    def next_action(self, now: float) -> Action:
        """The host's next action; call it again after each event and at the end of a Wait."""
        connection = self._connection
        if connection is None:
            return self._open(now)
        if not connection.open:
            return Wait(connection.since + CONNECT_TIMEOUT_S)
        if now - connection.received_at > FRAME_TIMEOUT_S:
            self._readmit_others_once(connection)
            self._candidates.record_failure(connection.address, now)
            return self._leave(connection)
        unhealthy = connection.isolated or connection.behind
        if connection.inconsistent or (unhealthy and self._should_leave(connection, now)):
            return self._leave(connection)
        return Wait(connection.received_at + FRAME_TIMEOUT_S)

    def _should_leave(self, connection: _Connection, now: float) -> bool:
        """Whether to leave an unhealthy member: it had time to recover, and another may be better."""
        dwelled = connection.received_at - connection.since >= MIN_DWELL_S
        return dwelled and self._candidates.has_alternative(connection.address, now)

    def connected(self, address: str, now: float) -> None:
        """The connection is open; the host has sent `hello()`."""
        connection = self._connection
        if connection is not None and connection.address == address:
            connection.open = True
            connection.received_at = now

    def failed(self, address: str, now: float) -> None:
        """The connection could not be opened, or its peer ended it."""
        connection = self._connection
        if connection is not None and connection.address == address:
            self._readmit_others_once(connection)
            self._connection = None
            self._candidates.record_failure(address, now)

    def _open(self, now: float) -> Action:
        """Try the next member, or wait for the first backoff to end."""
        address = self._candidates.choose(now)
        if address is None:
            return Wait(self._candidates.first_backoff_end())
        self._connection = _Connection(address, now)
        return Connect(address)

    def _readmit_others_once(self, connection: _Connection) -> None:
        """Readmit the other members when the followed one was healthy and no longer is; once."""
        if connection.was_healthy:
            connection.was_healthy = False
            self._candidates.readmit_others(connection.address)

    def _leave(self, connection: _Connection) -> Close:
        """Stop following the member."""
        self._connection = None
        return Close(connection.address)

    # ------------------------------------------------------------ frames

    def received(self, frame: FeedFrame, now: float) -> FeedEvents[Configuration]:
        """Apply a frame from the open connection; without one, the frame has no effect."""
        connection = self._connection
        if connection is None or not connection.open or connection.inconsistent:
            return FeedEvents()
        connection.received_at = now
        if self._first_frame_at is None:
            self._first_frame_at = now
        if frame.HasField("heartbeat"):
            self._apply_heartbeat(connection, frame.heartbeat, now)
        configuration = None
        if frame.HasField("configuration"):
            configuration = self._apply_configuration(connection, frame.configuration, now)
        changes = InstanceChanges()
        if frame.HasField("instances"):
            changes = self._apply_instances(frame.instances, frame.heartbeat.table_complete)
        self.ready(now)
        return FeedEvents(configuration, changes, tuple(frame.attempts))

    def _apply_heartbeat(self, connection: _Connection, heartbeat: FeedHeartbeat, now: float) -> None:
        """Update the member's health from the age of its state, the gateway count and the membership."""
        state_age_ms = heartbeat.leader_silence_ms
        staleness_s = 0.0
        if heartbeat.sent_at_ms:
            staleness_s = connection.staleness.measure(heartbeat.sent_at_ms / 1000, now)
        current_at = now - state_age_ms / 1000 - staleness_s
        self._candidates.record_frame(connection.address, current_at)
        self._current_at = max(self._current_at, current_at)
        connection.current = state_age_ms + staleness_s * 1000 <= LEADER_TIMEOUT_MS
        self._apply_members(connection, tuple(heartbeat.members))
        connection.isolated = state_age_ms > LEADER_TIMEOUT_MS or staleness_s > MAX_STALENESS_S
        if connection.isolated:
            self._readmit_others_once(connection)
            self._candidates.eject(connection.address, now)
        else:
            connection.was_healthy = True
            if not connection.behind:
                self._candidates.readmit(connection.address)
        # An isolated member sees only a part of the fleet: its count may raise the number, not lower it.
        if not connection.isolated or heartbeat.gateways > self.gateways:
            self._gateway_counts.record(heartbeat.gateways, now)

    def _apply_members(self, connection: _Connection, members: tuple[str, ...]) -> None:
        """Apply the membership of a heartbeat; one without members repeats the last one.

        A member that is not current may not know who replaced the members that it knew, so its membership
        only adds addresses until it is current.
        """
        if members:
            connection.unconfirmed_members = members
            self._candidates.add_members(members)
        if connection.current and connection.unconfirmed_members:
            self._candidates.replace_members(connection.unconfirmed_members)
            connection.unconfirmed_members = ()

    def _apply_configuration(
        self, connection: _Connection, update: ConfigurationUpdate, now: float
    ) -> Configuration | None:
        """Apply an update to a newer revision; a member that sends an older one is ejected."""
        if update.revision <= self.configuration_revision:
            if update.revision < self.configuration_revision:
                connection.behind = True
                self._candidates.eject(connection.address, now)
            return None
        if not update.whole and update.based_on != self.configuration_revision:
            self._mark_inconsistent(connection, now)
            return None
        try:
            self.configuration = self._apply_update(self.configuration, update)
        except MallowbeamError:
            self._mark_inconsistent(connection, now)
            return None
        self.configuration_revision = update.revision
        return self.configuration

    def _mark_inconsistent(self, connection: _Connection, now: float) -> None:
        """Mark a member for leaving whose changes don't fit this gateway's state."""
        connection.inconsistent = True
        self._candidates.record_failure(connection.address, now)

    def _apply_instances(self, update: InstancesUpdate, complete: bool) -> InstanceChanges:
        """Apply a full table or its changes; only a complete full table replaces the replica."""
        if complete and update.whole:
            self._table_complete = True
        return self._replica.apply(update, replaces=complete and update.whole)
