"""A simulated machine: one Raft member with its host loop, disk and clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from math import isinf
from random import Random
from typing import TYPE_CHECKING

from consensus_checkers import AppliedState, Operation

from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.consensus.interface import RaftSettings, ReadResult, Send, Write
from mallowbeam.router.consensus.node import RaftNode, Role
from mallowbeam.router.rpc.messages_pb2 import COMMAND, MEMBERSHIP, Entry, Membership, Snapshot
from mallowbeam.simulation.replica import Replica

if TYPE_CHECKING:
    from consensus_world import World

BATCH_DELAY_RANGE_S = (0.0, 0.004)  # range of the delay of a member's output when events are batched


class Disk(Replica):
    """The durable state on one disk."""

    def contains_entry(self, entry: Entry) -> bool:
        """Return whether the disk contains this entry, which is known to be committed."""
        if entry.index <= self.snapshot.index:
            return True
        if entry.index > self.last_index:
            return False
        return self.entries[entry.index - self.snapshot.index - 1].term == entry.term

    def memberships(self) -> list[Membership]:
        """Return all memberships on this disk that may be in force."""
        logged = [Membership.FromString(entry.payload) for entry in self.entries if entry.kind == MEMBERSHIP]
        return [self.snapshot.membership, *logged] if self.snapshot.membership.members else logged


class Machine:
    """The host of one member: its process, disk and clock."""

    def __init__(self, world: World, member_id: int, snapshot: Snapshot, settings: RaftSettings) -> None:
        self.world = world
        self.member_id = member_id
        self.settings = replace(settings, member_id=member_id)
        self.disk = Disk(member_id, snapshot)
        self.latency = (0.002, 0.006)  # range of the duration of a write in seconds
        self.stalled = False
        self.clock_rate = 1.0
        self.clock_offset = 0.0
        self.incarnation = 0
        self.node: RaftNode | None = None
        self.frozen = False
        self.installed = 0  # number of leaders' snapshots installed
        self.start()

    # ------------------------------------------------------------ the process

    @property
    def is_running(self) -> bool:
        return self.node is not None and not self.frozen

    @property
    def is_leader(self) -> bool:
        return self.is_running and self.node.role is Role.LEADER

    def clock(self) -> float:
        return self.clock_offset + self.clock_rate * self.world.now

    def start(self) -> None:
        """Start the process with the state on its disk, unless it is running."""
        if self.node is not None:
            return
        self.incarnation += 1
        self.frozen = False
        self.backlog: list[Callable[[], None]] = []
        self.writes: deque[Write] = deque()
        self.writing = False
        self.output_scheduled = False
        self.scheduled_tick_at: float | None = None  # time of the scheduled tick by the member's clock
        self.operations: dict[int, tuple[int, Operation]] = {}  # pending writes and their term, by index
        self.reads: dict[int, Operation] = {}
        self.applied_index = self.disk.snapshot.index
        self.applied = AppliedState.of_bytes(self.disk.snapshot.state)
        self.received_bytes = 0
        self.uncompacted_entries = self.uncompacted_bytes = 0
        random = Random(self.world.random.random())
        self.node = RaftNode(self.settings, self.disk.restored(), self.clock(), random)
        self.process_output_now()

    def crash(self, durable_writes: int | None = None) -> None:
        """Kill the process; the first `durable_writes` writes in flight, by default at random, persist."""
        if self.node is None:
            return
        if durable_writes is None:
            durable_writes = self.world.random.randint(0, len(self.writes))
        for write in list(self.writes)[:durable_writes]:
            self.disk.apply(write)
        self.node = None

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        """Resume: process the backlog in order, with a tick and a read inserted at random positions."""
        if not self.frozen or self.node is None:
            return
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for step in (self._tick, lambda: self.world.read(self)):
            backlog.insert(self.world.random.randint(0, len(backlog)), step)
        for step in backlog:
            step()

    def schedule(self, delay: float, step: Callable[[], None]) -> None:
        """Run a step after a delay unless the process has ended; a frozen process adds it to the backlog."""
        incarnation = self.incarnation

        def due() -> None:
            if self.node is None or incarnation != self.incarnation:
                return
            if self.frozen:
                self.backlog.append(step)
            else:
                step()

        self.world.at(self.world.now + delay, due)

    # ------------------------------------------------------------ the host's loop

    def process_output(self) -> None:
        """Process the member's output after an event: at once, or batched with the output of later events."""
        if self.world.random.random() >= self.world.batch_probability:
            self.process_output_now()
        elif not self.output_scheduled:
            self.output_scheduled = True
            self.schedule(self.world.random.uniform(*BATCH_DELAY_RANGE_S), self.process_scheduled_output)

    def process_scheduled_output(self) -> None:
        if self.output_scheduled:
            self.process_output_now()

    def process_output_now(self) -> None:
        """Process the member's output now."""
        self.output_scheduled = False
        output = self.node.output()
        for send in output.send:
            self.world.send(self, send)
        if output.write is not None:
            self.writes.append(output.write)
            self.start_next_write()
        if output.install is not None:
            self._install(output.install)
        for entry in output.committed:
            self._apply(entry)
        for result in output.reads:
            self._complete_read(result)
        self._schedule_tick()
        self.world.checkers.on_event(self)
        self._compact_if_due()

    def _install(self, snapshot: Snapshot) -> None:
        self.applied_index = snapshot.index
        self.applied = AppliedState.of_bytes(snapshot.state)
        self.installed += 1
        self.uncompacted_entries = self.uncompacted_bytes = 0
        self.world.checkers.on_install(self, snapshot.index, self.applied)

    def _apply(self, entry: Entry) -> None:
        assert entry.index == self.applied_index + 1, "committed entries are not in order"
        before = self.applied.after(entry)
        self.applied_index = entry.index
        self.applied = self.world.checkers.on_commit(self, entry)
        assert self.applied == before
        self.uncompacted_entries += 1
        self.uncompacted_bytes += len(entry.payload)
        if entry.index in self.operations:
            term, operation = self.operations.pop(entry.index)
            if term == entry.term and entry.kind == COMMAND:
                self.world.checkers.write_acknowledged(operation, self.applied.count)

    def _complete_read(self, result: ReadResult) -> None:
        operation = self.reads.pop(result.read_id)
        assert (
            not result.confirmed or result.index <= self.applied_index
        ), "read completed before its index is applied"
        self.world.checkers.read_completed(operation, result, self.applied.count)

    def _schedule_tick(self) -> None:
        deadline = self.node.next_deadline()
        if isinf(deadline):
            return
        delay = max(0.0001, (deadline - self.clock()) / self.clock_rate + 0.0001)
        if self.scheduled_tick_at != deadline:
            self.scheduled_tick_at = deadline
            self.schedule(delay, lambda: self._tick_at(deadline))

    def _tick_at(self, deadline: float) -> None:
        if self.scheduled_tick_at == deadline:
            self.scheduled_tick_at = None
            self._tick()

    def _tick(self) -> None:
        self.node.tick(self.clock())
        self.process_output()

    def receive(self, sender: int, send: Send) -> None:
        self.received_bytes += send.message.ByteSize()
        self.node.receive(sender, send.message, self.clock())
        self.process_output()

    # ------------------------------------------------------------ the disk

    def start_next_write(self) -> None:
        if self.writing or self.stalled or not self.writes or self.node is None:
            return
        self.writing = True
        incarnation = self.incarnation
        batch_size = len(self.writes)  # one sync covers all queued writes

        def done() -> None:
            if self.node is not None and incarnation == self.incarnation:
                self.writing = False
                self._written(batch_size)

        self.world.at(self.world.now + self.world.random.uniform(*self.latency), done)

    def _written(self, batch_size: int) -> None:
        if self.stalled:
            return
        writes = [self.writes.popleft() for _ in range(batch_size)]
        for write in writes:
            self.disk.apply(write)
        self.schedule(0.0, lambda: self._write_completed(writes))
        self.start_next_write()

    def _write_completed(self, writes: list[Write]) -> None:
        for write in writes:
            for send in write.send_when_durable:
                self.world.send(self, send)
        self.node.written(writes[-1].ticket, self.clock())
        self.process_output()

    def stall(self) -> None:
        self.stalled = True

    def unstall(self) -> None:
        self.stalled = False
        self.start_next_write()

    # ------------------------------------------------------------ clients

    def propose(self, payload: bytes) -> bool:
        """Propose a command; return whether the member accepted it."""
        if not self.is_running:
            return False
        operation = self.world.checkers.invoke()
        try:
            proposal = self.node.propose(payload, self.clock())
        except ConsensusError:
            return False
        self.operations[proposal.index] = (proposal.term, operation)
        self.process_output()
        return True

    def read(self, read_id: int) -> None:
        if self.is_running:
            self.reads[read_id] = self.world.checkers.invoke()
            self.node.read(read_id, self.clock())
            self.process_output()

    def _compact_if_due(self) -> None:
        """Take a snapshot, as the driver does, once one of the world's thresholds is reached."""
        world = self.world
        if self.uncompacted_entries >= world.compact_entries or self.uncompacted_bytes >= world.compact_bytes:
            self.compact()

    def compact(self) -> None:
        if self.is_running:
            self.uncompacted_entries = self.uncompacted_bytes = 0
            self.node.compact(self.applied_index, self.applied.to_bytes(self.world.state_bytes))
            if self.node.membership.members:
                self.world.checkers.on_compact(self)
            self.process_output_now()

    def change_membership(self, membership: Membership) -> bool:
        if not self.is_running:
            return False
        self.process_scheduled_output()  # checks earlier commits against the membership in force at that time
        try:
            self.node.change_membership(membership, self.clock())
        except ConsensusError:
            return False
        finally:
            self.process_output_now()
        return True

    def transfer(self, member_id: int | None) -> bool:
        if not self.is_running:
            return False
        try:
            self.node.transfer_leadership(member_id, self.clock())
        except ConsensusError:
            return False
        finally:
            self.process_output_now()
        return True
