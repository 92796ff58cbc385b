"""The processes of the simulated world: members, gateways, instances, and the connections between them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING
from zlib import crc32

from mallowbeam.router.control_plane.response_gate import ResponseGate
from mallowbeam.router.feed import (
    Close,
    Connect,
    FeedPublisher,
    FeedSubscriber,
    GatewayIdentity,
    MemberStatus,
)
from mallowbeam.router.feed.limits import CONNECT_TIMEOUT_S
from mallowbeam.router.registry import GatewayCounts, Retirements
from mallowbeam.router.rpc.messages_pb2 import (
    DRAINS,
    READY,
    ConfigurationUpdate,
    FeedFrame,
    Instance,
    RegistryGossip,
    RetireInstance,
)

if TYPE_CHECKING:
    from registry_world import World

TICK_S = 0.02
HEARTBEAT_INTERVAL_S = 1.2  # seconds between two heartbeats of an instance
STATES = {READY: "ready", DRAINS: "draining"}


class CheckFailed(AssertionError):
    """A statement of a scenario or an invariant of the world that does not hold."""


class RevisionSource:
    """A configuration that consists only of its revision."""

    def __init__(self) -> None:
        self.revision = 0

    def update_since(self, revision: int) -> ConfigurationUpdate | None:
        if revision >= self.revision:
            return None
        return ConfigurationUpdate(revision=self.revision, whole=True)


@dataclass
class Connection:
    """One direction of a connection, with its messages in flight in order."""

    sender: str
    recipient: str
    deliver: Callable[[object], None]
    in_flight: deque[tuple[float, object]] = field(default_factory=deque)
    open: bool = True


@dataclass
class Server:
    """The process of an instance."""

    id: str
    address: str
    backend: str
    started_at: float
    sequence: int = 0
    state: int = READY
    stage: str = "decode"
    running: bool = True
    next_heartbeat_at: float = 0.0
    member: str = ""

    def heartbeat(self, sequence: int, state: int) -> Instance:
        return Instance(
            id=self.id,
            backend=self.backend,
            address=self.address,
            zone="z",
            slots=8,
            state=state,
            stage=self.stage,
            sequence=sequence,
        )


class Member:
    """One control-plane member: a durable log position, and soft state that is lost on restart."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.up, self.frozen = world, name, False, False
        self.durable = 0  # number of log entries on its disk
        self.links: dict[str, Connection] = {}

    def start(self, now: float) -> None:
        self.up, self.frozen = True, False
        self.table = self.world.table_type(HEARTBEAT_INTERVAL_S, now)
        self.retirements = Retirements()
        self.configuration = RevisionSource()
        self.publisher = FeedPublisher(self.configuration, self.table)
        self.gateway_counts = GatewayCounts()
        self.current_at = now - 10.0
        self.majority_since: float | None = None
        for entry in self.world.log[: self.durable]:
            self.apply(entry, now)

    def apply(self, entry: RetireInstance | int, now: float) -> None:
        if isinstance(entry, int):
            self.configuration.revision = entry
        else:
            self.retirements.apply(entry)
            self.table.retire(entry.id, entry.kind, now)

    def reaches_majority(self) -> bool:
        reachable = [name for name in self.world.members if self.world.reachable(self.name, name)]
        return 2 * len(reachable) > len(self.world.members)

    def tick(self, now: float) -> None:
        if self.reaches_majority():
            self.majority_since = now if self.majority_since is None else self.majority_since
            if now - self.majority_since >= self.world.election_s:
                self.current_at = now
                for entry in self.world.log[self.durable :]:
                    self.apply(entry, now)
                self.durable = len(self.world.log)
        else:
            self.majority_since = None
        if now - self.current_at > 1.0:
            self.table.mark_isolated(now)
        self.table.expire(now)
        self.gossip(now)
        self.feed(now)

    def gossip(self, now: float) -> None:
        links_missing = any(not self.world.reachable(self.name, name) for name in self.world.members)
        if now >= self.table.next_gossip_at():
            batch = self.table.gossip(now, len(self.publisher))
            for name in self.world.members:
                if name != self.name:
                    self.world.send_peer(self.name, name, batch)
        if self.table.should_request_full_gossip(now, links_missing):
            others = [
                name
                for name in self.world.members
                if name != self.name and self.world.reachable(self.name, name)
            ]
            if others:
                request = RegistryGossip(wants_whole=True, gateways=len(self.publisher))
                self.world.send_peer(self.name, self.world.random.choice(others), request)

    def receive_gossip(self, sender: str, gossip: RegistryGossip) -> None:
        now = self.world.now
        if gossip.wants_whole:
            self.world.send_peer(self.name, sender, self.table.full_gossip(now, len(self.publisher)))
            return
        self.gateway_counts.record(crc32(sender.encode()), gossip.gateways, now)
        self.table.merge(gossip, now)

    def feed(self, now: float) -> None:
        silence_ms = round((now - self.current_at) * 1000)
        gate = ResponseGate(lambda: now, lambda: now - self.current_at, lambda: False)
        status = MemberStatus(
            silence_ms,
            self.gateway_counts.total(len(self.publisher), now),
            tuple(f"{name}:1" for name in self.world.members),
            gate.feed_allowance(),
        )
        for batch in self.publisher.frames(now, status):
            frame = FeedFrame.FromString(batch.encoded[4:])
            for feed_id in batch.subscribers:
                self.world.feeds[feed_id].in_flight.append((now + TICK_S, frame))


class Gateway:
    """One gateway and its single feed connection."""

    def __init__(self, world: World, name: str, seeds: list[str]) -> None:
        self.world, self.name = world, name
        self.subscriber: FeedSubscriber[int] = world.subscriber_type(
            [f"{seed}:1" for seed in seeds],
            GatewayIdentity("z"),
            Random(world.random.random()),
            lambda current, update: update.revision,
        )
        self.feed_id = 0  # of its current connection; 0 if there is none
        self.dialling: tuple[str, float] | None = None
        self.connects = 0
        self.revision = 0
        self.known_retired: set[str] = set()
        self.was_ready = False
        self.last_fault_at = 0.0

    def tick(self, now: float) -> None:
        if self.dialling is not None:
            self.dial(now)
        for _ in range(4):
            action = self.subscriber.next_action(now)
            if isinstance(action, Connect):
                self.dialling = (action.address, now)
                self.connects += 1
                break
            if not isinstance(action, Close):
                break
            self.disconnect()
        self.check(now)

    def dial(self, now: float) -> None:
        address, since = self.dialling or ("", now)
        name = address.split(":")[0]
        member = self.world.members.get(name)
        if member is None or not member.up:
            self.dialling = None
            if self.world.has_path(self.name, name) and self.world.has_path(name, self.name):
                self.subscriber.failed(address, now)  # refused at once
        elif self.world.reachable(self.name, name):
            self.dialling = None
            self.feed_id = self.world.open_feed(self, member)
            self.subscriber.connected(address, now)
            member.publisher.subscribe(self.feed_id, self.subscriber.hello(), now)
        elif now - since >= CONNECT_TIMEOUT_S:
            self.dialling = None
        if self.dialling is None and self.feed_id == 0:
            self.subscriber.failed(address, now)

    def disconnect(self) -> None:
        if self.feed_id:
            self.world.close_feed(self.feed_id)
        self.feed_id, self.dialling = 0, None

    def receive_frame(self, feed_id: int, frame: FeedFrame) -> None:
        if feed_id != self.feed_id:
            return
        self.subscriber.received(frame, self.world.now)
        for instance in frame.instances.instances:
            if instance.state == DRAINS:
                self.known_retired.add(instance.id)

    def state(self, id: str) -> str:
        known = self.subscriber.instances.get(id)
        return "absent" if known is None else STATES[known.state]

    def check(self, now: float) -> None:
        """Check the invariants of every gateway, which hold at all times."""
        if self.subscriber.configuration_revision < self.revision:
            raise CheckFailed(f"{now:.2f} {self.name}: configuration went back")
        self.revision = self.subscriber.configuration_revision
        ready = self.subscriber.ready(now)
        if self.was_ready and not ready:
            raise CheckFailed(f"{now:.2f} {self.name}: no longer ready")
        self.was_ready = ready
        for id in self.known_retired:
            if self.state(id) == "ready":
                raise CheckFailed(f"{now:.2f} {self.name}: {id} is ready again after its retirement")
