"""A group of Raft members on simulated time: machines, the network between them, and faults."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from math import inf
from random import Random

from consensus_checkers import Checkers
from consensus_machine import Disk, Machine

from mallowbeam.router.consensus.interface import RaftSettings, Send
from mallowbeam.router.consensus.membership import joint_change, voters_of
from mallowbeam.router.rpc.messages_pb2 import Member, Membership, Snapshot

FIRST_INDEX = 1
CHECK_LOGS_INTERVAL_EVENTS = 250  # scheduled events
CHECK_LOGS_WINDOW_ENTRIES = 50  # last entries compared each time; all are compared at the end
MAX_QUEUED_BYTES = 4 << 20  # queue limit of a link; further messages are dropped


@dataclass
class Network:
    """Delays and faults of message delivery."""

    delay: tuple[float, float] = (0.0005, 0.003)  # range in seconds
    loss: float = 0.0  # probability that a message is lost
    duplicates: float = 0.0  # probability that a message is sent twice
    reordered: bool = False  # otherwise messages of one link arrive in order
    disconnected: set[tuple[int, int]] = field(default_factory=set)
    extra_delays: dict[int, float] = field(default_factory=dict)  # extra delay in seconds, by recipient


class World:
    """Simulated time, the machines and the network between them."""

    def __init__(
        self, seed: int, voters: int, learners: int = 0, settings: RaftSettings | None = None
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.digest = 0  # hash of the times and order of all events
        self.network = Network()
        self.batch_probability = 0.0  # probability that a member's output after an event is delayed
        self.settings = settings or RaftSettings(member_id=0)
        self.machines: dict[int, Machine] = {}
        self._retired: dict[int, Disk] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._last_arrival: dict[tuple[int, int], float] = {}
        self._bandwidth: dict[int | None, float] = {}  # bytes per second by member; None: all others
        self._link_free_at: dict[tuple[int, int], float] = {}  # when all queued bytes are sent
        self.max_queued_bytes = 0.0  # maximum of queued bytes on any link so far
        self.state_bytes = 0  # size of a snapshot's state; 0: the minimum
        self.compact_entries, self.compact_bytes = inf, inf  # take a snapshot after applying this many
        self.unacknowledged_commands = 0  # commands of `write` statements that are not acknowledged yet
        self._operation_numbers = count(1)
        self.next_id = voters + learners + 1
        members = [Member(id=number, voter=number <= voters) for number in range(1, self.next_id)]
        self.initial_membership = Membership(members=members, target_voters=voters)
        self.checkers = Checkers(self, FIRST_INDEX, self.initial_membership)
        for member in members:
            self.add_machine(
                member.id, Snapshot(index=FIRST_INDEX, term=1, membership=self.initial_membership)
            )

    # ------------------------------------------------------------ time

    def at(self, time: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), step))

    def run(self, until: float) -> None:
        """Run all events up to the time `until`."""
        self.run_while(lambda: True, until)

    def run_while(self, condition: Callable[[], bool], until: float) -> bool:
        """Run events while `condition` holds, up to `until`; return whether it still holds then."""
        while self._events and self._events[0][0] <= until:
            if not condition():
                return False
            self.now, order, step = heapq.heappop(self._events)
            self.digest = hash((self.digest, self.now, order))
            step()
            if order % CHECK_LOGS_INTERVAL_EVENTS == 0:
                self.checkers.check_logs_match(CHECK_LOGS_WINDOW_ENTRIES)
        self.now = max(self.now, until)
        return condition()

    # ------------------------------------------------------------ machines

    def add_machine(self, member_id: int, snapshot: Snapshot | None = None) -> Machine:
        """Add a machine with an empty disk, or with the founders' first snapshot."""
        machine = Machine(self, member_id, snapshot or Snapshot(), self.settings)
        self.machines[member_id] = machine
        self.next_id = max(self.next_id, member_id + 1)
        return machine

    def wipe(self, member_id: int) -> Machine:
        """Replace a machine by one with an empty disk and a new member id."""
        machine = self.machines.pop(member_id)
        machine.crash()
        self._retired[member_id] = machine.disk
        return self.add_machine(self.next_id)

    def disk_of(self, member_id: int) -> Disk:
        machine = self.machines.get(member_id)
        return machine.disk if machine else self._retired[member_id]

    def leader(self) -> Machine | None:
        """Return the running leader of the highest term, if any."""
        leaders = [machine for machine in self.machines.values() if machine.is_leader]
        return max(leaders, key=lambda machine: machine.node.term, default=None)

    # ------------------------------------------------------------ the network

    def send(self, machine: Machine, send: Send) -> None:
        """Send a message over the simulated network."""
        self.checkers.on_send(machine, send)
        copies = 2 if self.random.random() < self.network.duplicates else 1
        for _ in range(copies):
            if self.random.random() >= self.network.loss:
                self._deliver(machine.member_id, send)

    def _deliver(self, sender: int, send: Send) -> None:
        link = (sender, send.recipient)
        sent_at = self._departure_time(link, send)
        if sent_at is None:
            return
        arrival = (
            sent_at
            + self.random.uniform(*self.network.delay)
            + self.network.extra_delays.get(send.recipient, 0.0)
        )
        if not self.network.reordered:
            arrival = max(arrival, self._last_arrival.get(link, 0.0))
            self._last_arrival[link] = arrival

        def arrive() -> None:
            machine = self.machines.get(send.recipient)
            if machine is not None and link not in self.network.disconnected:
                machine.schedule(0.0, lambda: machine.receive(sender, send))

        self.at(arrival, arrive)

    def _departure_time(self, link: tuple[int, int], send: Send) -> float | None:
        """Return the time at which a message's last byte is sent; None if the link's queue is full."""
        if not self._bandwidth:
            return self.now
        unlimited = self._bandwidth.get(None, inf)
        rate = min(self._bandwidth.get(end, unlimited) for end in link)
        starts_at = max(self.now, self._link_free_at.get(link, 0.0))
        queued_bytes = (starts_at - self.now) * rate if starts_at > self.now else 0.0
        self.max_queued_bytes = max(self.max_queued_bytes, queued_bytes)
        if queued_bytes > MAX_QUEUED_BYTES:
            return None
        self._link_free_at[link] = starts_at + send.message.ByteSize() / rate
        return self._link_free_at[link]

    def limit_bandwidth(self, bytes_per_second: float, member_id: int | None) -> None:
        """Limit each direction of the links of a member, or of all other members for None."""
        self._bandwidth[member_id] = bytes_per_second

    def disconnect(self, one: int, other: int, both: bool = True) -> None:
        self.network.disconnected.add((one, other))
        if both:
            self.network.disconnected.add((other, one))

    def isolate(self, member_id: int) -> None:
        for other in self.machines:
            if other != member_id:
                self.disconnect(member_id, other)

    def heal(self) -> None:
        self.network.disconnected.clear()

    # ------------------------------------------------------------ clients and operators

    def propose(self, machine: Machine) -> bool:
        return machine.propose(f"command {next(self._operation_numbers)}".encode())

    def read(self, machine: Machine) -> None:
        machine.read(next(self._operation_numbers))

    def change(
        self, done: Callable[[Membership], bool], edit: Callable[[Membership], Membership], until: float
    ) -> None:
        """Request a membership change from the leader until it is committed, at most until `until`."""
        if done(self.checkers.membership) or self.now > until:
            return
        leader = self.leader()
        if leader is not None and not done(leader.node.membership):
            leader.change_membership(edit(leader.node.membership))
        self.at(self.now + 0.05, lambda: self.change(done, edit, until))


def with_member(membership: Membership, member_id: int, voter: bool) -> Membership:
    """Return the membership with the member as a voter or learner."""
    changed = without_member(membership, member_id)
    changed.members.append(Member(id=member_id, voter=voter))
    return changed


def with_voter(membership: Membership, member_id: int) -> Membership:
    """Return the membership with the member as a voter; the target is raised if necessary."""
    changed = with_member(membership, member_id, voter=True)
    changed.target_voters = max(changed.target_voters, len(voters_of(changed)))
    return changed


def with_replaced_voters(
    membership: Membership, replaced_voters: Sequence[int], added_voters: Sequence[int]
) -> Membership:
    """Return the joint membership that replaces voters by learners; replaced voters become learners."""
    changed = membership
    for member_id in replaced_voters:
        changed = with_member(changed, member_id, voter=False)
    for member_id in added_voters:
        changed = with_member(changed, member_id, voter=True)
    return joint_change(membership, changed)


def without_member(membership: Membership, member_id: int) -> Membership:
    """Return the membership without the member."""
    remaining = [member for member in membership.members if member.id != member_id]
    return Membership(members=remaining, target_voters=membership.target_voters)
