"""The simulated world: members, gateways and instances, driven through the interfaces of registry and feed.

The world advances in ticks of TICK_S. A connection delivers in order: while its path is partitioned,
sent messages are held back, and they arrive after the partition unless the connection has been closed. The
replicated log is reduced to its guarantee: a member that reaches a majority accepts commands, and each member
applies them while it reaches one.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from zlib import crc32

from registry_processes import HEARTBEAT_INTERVAL_S, TICK_S, CheckFailed, Connection, Gateway, Member, Server

from mallowbeam.router.feed import FeedSubscriber
from mallowbeam.router.registry import HeartbeatOutcome, InstanceTable
from mallowbeam.router.rpc.messages_pb2 import DRAINS, GONE, READY, RegistryGossip, RetireInstance

LINK_TIMEOUT_S = 1.5  # seconds of unacknowledged bytes after which a connection ends
DRAIN_BOUND_S = 2.0  # seconds from the acknowledgement until no gateway uses the instance
SETTLE_S = 3.0  # seconds without a new fault after which DRAIN_BOUND_S must hold


class World:
    """All processes, the network paths between them, and the clock."""

    def __init__(
        self,
        members: list[str],
        gateways: list[str],
        seed: int = 1,
        table_type: type[InstanceTable] = InstanceTable,
        subscriber_type: type[FeedSubscriber[int]] = FeedSubscriber,
        election_s: float = 0.3,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.digest = 0  # of all delivered messages with their times and paths
        self.table_type, self.subscriber_type, self.election_s = table_type, subscriber_type, election_s
        self.log: list[RetireInstance | int] = []
        self.blocked_paths: set[tuple[str, str]] = set()
        self.feeds: dict[int, Connection] = {}
        self.last_feed_id = 0
        self.servers: dict[str, Server] = {}
        self.acknowledged: dict[str, float] = {}  # id to the time of its first acknowledged retirement
        self.last_fault_at = 0.0  # when a fault last began or ended
        self.members: dict[str, Member] = {}
        for name in members:
            self.members[name] = Member(self, name)
        for member in self.members.values():
            member.start(0.0)
        self.gateways = {name: Gateway(self, name, members[:3]) for name in gateways}

    # ------------------------------------------------------------ paths

    def has_path(self, sender: str, recipient: str) -> bool:
        return (sender, recipient) not in self.blocked_paths

    def reachable(self, one: str, other: str) -> bool:
        """Whether both processes run and reach each other in both directions."""
        for name in (one, other):
            member = self.members.get(name)
            if member is not None and (not member.up or member.frozen):
                return False
        return one == other or (self.has_path(one, other) and self.has_path(other, one))

    def can_deliver(self, connection: Connection) -> bool:
        """Whether bytes arrive, which needs both directions because of the acknowledgements."""
        return self.has_path(connection.sender, connection.recipient) and self.has_path(
            connection.recipient, connection.sender
        )

    def send_peer(self, sender: str, recipient: str, gossip: RegistryGossip) -> None:
        link = self.members[sender].links.get(recipient)
        if link is None or not link.open:
            if not self.reachable(sender, recipient):
                return
            member = self.members[recipient]
            link = Connection(sender, recipient, lambda body: member.receive_gossip(sender, body))
            self.members[sender].links[recipient] = link
        link.in_flight.append((self.now + TICK_S, RegistryGossip.FromString(gossip.SerializeToString())))

    def open_feed(self, gateway: Gateway, member: Member) -> int:
        self.last_feed_id += 1
        feed_id = self.last_feed_id
        self.feeds[feed_id] = Connection(
            member.name, gateway.name, lambda frame: gateway.receive_frame(feed_id, frame)
        )
        return feed_id

    def close_feed(self, feed_id: int) -> None:
        connection = self.feeds.pop(feed_id, None)
        if connection is not None:
            self.members[connection.sender].publisher.unsubscribe(feed_id)

    def deliver(self) -> None:
        for member in self.members.values():
            for link in list(member.links.values()):
                self.deliver_due(link)
                if link.in_flight and self.now - link.in_flight[0][0] > LINK_TIMEOUT_S:
                    link.open = False
                    link.in_flight.clear()
                if not link.open:
                    del member.links[link.recipient]
                    for name in (link.sender, link.recipient):
                        if self.members[name].up:
                            self.members[name].table.link_lost(self.now)
        for connection in list(self.feeds.values()):
            self.deliver_due(connection)

    def deliver_due(self, connection: Connection) -> None:
        recipient = self.members.get(connection.recipient)
        if not self.can_deliver(connection) or (
            recipient is not None and (recipient.frozen or not recipient.up)
        ):
            return
        while connection.in_flight and connection.in_flight[0][0] <= self.now:
            body = connection.in_flight.popleft()[1]
            self.record_delivery(connection, body.SerializeToString(deterministic=True))
            connection.deliver(body)

    def record_delivery(self, connection: Connection, body: bytes) -> None:
        """Add a delivered message to the digest."""
        prefix = f"{self.now} {connection.sender} {connection.recipient} ".encode()
        self.digest = crc32(prefix + body, self.digest)

    # ------------------------------------------------------------ faults

    def record_fault(self) -> None:
        self.last_fault_at = self.now
        for gateway in self.gateways.values():
            gateway.last_fault_at = self.now

    def cut(self, one: str, other: str, both: bool = True) -> None:
        self.record_fault()
        self.blocked_paths.add((one, other))
        if both:
            self.blocked_paths.add((other, one))

    def heal(self) -> None:
        self.record_fault()
        self.blocked_paths.clear()

    def kill(self, name: str) -> None:
        self.record_fault()
        member = self.members[name]
        member.up = False
        for other in self.members.values():
            for link in other.links.values():
                if name in (link.sender, link.recipient):
                    link.open = False
                    link.in_flight.clear()
        for feed_id, connection in list(self.feeds.items()):
            if connection.sender == name:
                del self.feeds[feed_id]
                gateway = self.gateways[connection.recipient]
                if gateway.feed_id == feed_id and self.can_deliver(connection):
                    gateway.feed_id = 0
                    gateway.subscriber.failed(f"{name}:1", self.now)

    def restart(self, name: str) -> None:
        self.record_fault()
        self.members[name].start(self.now)

    def freeze(self, name: str, frozen: bool) -> None:
        self.record_fault()
        self.members[name].frozen = frozen

    # ------------------------------------------------------------ instances and the operator

    def start_server(self, id: str, address: str = "", backend: str = "s") -> None:
        address = address or f"10.0.0.{len(self.servers) + 1}:80"
        self.servers[id] = Server(id, address, backend, self.now, next_heartbeat_at=self.now)

    def send_heartbeat(self, server: Server) -> None:
        server.sequence += 1
        server.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL_S
        names = list(self.members)
        self.random.shuffle(names)
        if server.member:
            names.insert(0, server.member)
        for name in names:
            if self.reachable(server.id, name):
                server.member = name
                self.members[name].table.receive_heartbeat(
                    server.heartbeat(server.sequence, server.state), self.now
                )
                return

    def late_heartbeat(self, name: str, id: str, sequence: int) -> HeartbeatOutcome:
        return self.members[name].table.receive_heartbeat(
            self.servers[id].heartbeat(sequence, READY), self.now
        )

    def retire(self, id: str, kind: int, name: str) -> bool:
        """Call a member to retire an instance; True if it is acknowledged."""
        member = self.members[name]
        server = self.servers[id]
        server.state = DRAINS
        server.running = kind != GONE
        if not self.reachable(id, name):
            return False
        member.table.retire(id, kind, self.now, announce=True)
        if not member.reaches_majority():
            return False
        command = RetireInstance(id=id, kind=kind)
        self.log.append(command)
        if member.majority_since is not None:
            for entry in self.log[member.durable :]:
                member.apply(entry, self.now)
            member.durable = len(self.log)
        self.acknowledged.setdefault(id, self.now)
        return True

    def put_configuration(self, revision: int, name: str) -> bool:
        if not self.members[name].up or not self.members[name].reaches_majority():
            return False
        self.log.append(revision)
        return True

    # ------------------------------------------------------------ time

    def run_to(self, until: float, check: Callable[[World], None] | None = None) -> None:
        while self.now < until - TICK_S / 2:
            self.now = round(self.now + TICK_S, 6)
            self.tick()
            if check is not None:
                check(self)

    def tick(self) -> None:
        for server in self.servers.values():
            if server.running and self.now >= server.next_heartbeat_at:
                self.send_heartbeat(server)
        self.deliver()
        for member in self.members.values():
            if member.up and not member.frozen:
                member.tick(self.now)
        for gateway in self.gateways.values():
            gateway.tick(self.now)
            self.check_drains(gateway)

    def check_drains(self, gateway: Gateway) -> None:
        """Check that a connected gateway stops using a retired instance within DRAIN_BOUND_S."""
        for id, at in self.acknowledged.items():
            elapsed_s = self.now - max(at, gateway.last_fault_at + SETTLE_S - DRAIN_BOUND_S)
            if elapsed_s > DRAIN_BOUND_S and gateway.state(id) == "ready" and self.is_connected(gateway):
                raise CheckFailed(
                    f"{self.now:.2f} {gateway.name}: {id} still ready {self.now - at:.2f} s later"
                )

    def is_connected(self, gateway: Gateway) -> bool:
        """Whether a majority of the members runs, and the gateway reaches every running one."""
        running = [name for name, member in self.members.items() if member.up]
        if 2 * len(running) <= len(self.members):
            return False
        return all(self.reachable(gateway.name, name) for name in running)
