"""Drives this member's Raft node: the only module that gives it input and carries out its output.

Input is queued and processed in one step of the event loop, so that the output for inputs that arrive
together is batched.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf
from typing import Protocol

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.consensus.errors import ConsensusError, DivergedError
from mallowbeam.router.consensus.interface import Output, Proposal, ReadResult, Send, Write
from mallowbeam.router.consensus.node import RaftNode, Role
from mallowbeam.router.control_plane.pending_proposals import PendingProposals
from mallowbeam.router.control_plane.proposal_errors import ReadNotConfirmedError
from mallowbeam.router.control_plane.state_format import UnsupportedFormatError, check_entry_kind
from mallowbeam.router.control_plane.state_machine import CommandOutcome, ReplicatedStateMachine
from mallowbeam.router.control_plane.wait_conditions import AppliedIndexWaiters, ChangeNotifier
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.messages_pb2 import COMMAND, DONE, Entry, Membership, RaftMessage, Snapshot

COMPACT_ENTRIES = 2000  # a snapshot is made once so many were applied since the last one
COMPACT_BYTES = 4 * 1024 * 1024  # likewise, for the payloads of these entries
TIMER_GRANULARITY_S = 0.001  # the event loop's timers may fire this much early

log = get_logger("mallowbeam.raft")


class DriverListener(Protocol):
    """Consensus events that other parts of the member handle."""

    def entries_applied(self) -> None:
        """Entries were applied, or a snapshot was installed."""

    def membership_changed(self, membership: Membership) -> None:
        """Another membership is in effect."""

    def store_unusable(self, error: MallowbeamError) -> None:
        """This member's store contradicts the group's log: it must stop, and rejoin as a new member."""

    def program_outdated(self, error: MallowbeamError) -> None:
        """Committed data needs a newer program version: this member must stop, and keep its store."""


@dataclass(frozen=True, slots=True)
class _Receive:
    """A message of another member."""

    sender: int
    message: RaftMessage


@dataclass(frozen=True, slots=True)
class _Propose:
    """A command to propose."""

    payload: bytes
    future: asyncio.Future[CommandOutcome]


@dataclass(frozen=True, slots=True)
class _Change:
    """A membership to propose."""

    membership: Membership
    future: asyncio.Future[CommandOutcome]


@dataclass(frozen=True, slots=True)
class _Read:
    """A read to confirm."""

    future: asyncio.Future[int]


@dataclass(frozen=True, slots=True)
class _Written:
    """Notification that writes up to a ticket are durable."""

    ticket: int


@dataclass(frozen=True, slots=True)
class _Transfer:
    """A request to transfer leadership."""


_Event = _Receive | _Propose | _Change | _Read | _Written | _Transfer


class RaftDriver:
    """Owns the Raft node and the state machine to which its log is applied."""

    def __init__(
        self,
        node: RaftNode,
        machine: ReplicatedStateMachine,
        submit: Callable[[Write], None],
        send: Callable[[int, RaftMessage], None],
        listener: DriverListener,
    ) -> None:
        """`submit` queues a write in storage, which calls `writes_durable`; `send` sends to a member id."""
        self._node = node
        self._machine = machine
        self._submit = submit
        self._send = send
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._events: deque[_Event] = deque()
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = inf
        self._reads: dict[int, asyncio.Future[int]] = {}
        self._last_read = 0
        self._proposals = PendingProposals()
        self._applied = AppliedIndexWaiters()
        self._notified_leadership: tuple[int, int | None, Role] = (node.term, node.leader_id, node.role)
        self._notified_membership = node.membership
        self._uncompacted_entries = 0
        self._uncompacted_bytes = 0
        self.applied_index = node.commit_index
        self.leadership_changes = ChangeNotifier()

    # ------------------------------------------------------------ read by other parts

    @property
    def node(self) -> RaftNode:
        """The node, for reading only."""
        return self._node

    @property
    def leader_id(self) -> int | None:
        """The leader's id; None if unknown."""
        return self._node.leader_id

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self._node.role is Role.LEADER

    def staleness(self) -> float:
        """Seconds since this member's state was known to be current; infinite if it never was."""
        return self._node.freshness(time.monotonic())

    # ------------------------------------------------------------ input

    def start(self) -> None:
        """Set the first timer."""
        self._schedule_step()

    def receive(self, sender: int, message: RaftMessage) -> None:
        """Process a message of another member."""
        self._enqueue(_Receive(sender, message))

    def propose(self, payload: bytes) -> asyncio.Future[CommandOutcome]:
        """Propose a command; the future fails with ConsensusError if it is not accepted or is lost."""
        future: asyncio.Future[CommandOutcome] = self._loop.create_future()
        self._enqueue(_Propose(payload, future))
        return future

    def change_membership(self, membership: Membership) -> asyncio.Future[CommandOutcome]:
        """Propose a membership; the future fails like that of `propose`."""
        future: asyncio.Future[CommandOutcome] = self._loop.create_future()
        self._enqueue(_Change(membership, future))
        return future

    def read_index(self) -> asyncio.Future[int]:
        """Request a read index; fails with ReadNotConfirmedError unless leadership is confirmed."""
        future: asyncio.Future[int] = self._loop.create_future()
        self._enqueue(_Read(future))
        return future

    def wait_applied(self, index: int) -> asyncio.Future[None]:
        """A future that is done once this member has applied all entries up to an index."""
        return self._applied.add(index, self.applied_index)

    def writes_durable(self, writes: Sequence[Write]) -> None:
        """Handle writes that became durable: send the messages that were held back for them."""
        for write in writes:
            self._send_all(write.send_when_durable)
        self._enqueue(_Written(writes[-1].ticket))

    def transfer_leadership(self) -> None:
        """Transfer leadership to another voter, if this member leads."""
        self._enqueue(_Transfer())

    def stop(self) -> None:
        """Stop processing input."""
        self._scheduled = True
        if self._timer is not None:
            self._timer.cancel()

    # ------------------------------------------------------------ processing

    def _enqueue(self, event: _Event) -> None:
        self._events.append(event)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        """Give the node all queued input, then carry out its output."""
        self._scheduled = False
        now = time.monotonic()
        try:
            while self._events:
                self._process(self._events.popleft(), now)
            if now >= self._node.next_deadline():
                self._node.tick(now)
            self._carry_out(self._node.output())
            self._notify_changes()
        except DivergedError as error:
            self.stop()
            self._listener.store_unusable(error)
            return
        except UnsupportedFormatError as error:
            self.stop()
            self._listener.program_outdated(error)
            return
        except Exception:
            # A bug in handling one message must not stop the member.
            log.exception("unexpected error in a Raft step")
        if self._events:
            self._schedule_step()
        self._set_timer(now)

    def _process(self, event: _Event, now: float) -> None:
        node = self._node
        match event:
            case _Receive(sender, message):
                node.receive(sender, message, now)
            case _Written(ticket):
                node.written(ticket, now)
            case _Read(future):
                self._last_read += 1
                self._reads[self._last_read] = future
                node.read(self._last_read, now)
            case _Propose(payload, future):
                self._propose(future, lambda: node.propose(payload, now))
            case _Change(membership, future):
                self._propose(future, lambda: node.change_membership(membership, now))
            case _Transfer():
                self._transfer(now)

    def _propose(self, future: asyncio.Future[CommandOutcome], propose: Callable[[], Proposal]) -> None:
        try:
            proposal = propose()
        except ConsensusError as error:
            if not future.done():
                # The traceback refers to the future and the payload: it would keep both until a GC run.
                future.set_exception(error.with_traceback(None))
            return
        self._proposals.add(proposal.index, proposal.term, future)

    def _transfer(self, now: float) -> None:
        try:
            self._node.transfer_leadership(None, now)
        except ConsensusError as error:
            log.info("leadership was not transferred: %s", error)

    def _carry_out(self, output: Output) -> None:
        """Carry out the node's output, in the order that its interface requires."""
        self._send_all(output.send)
        if output.write is not None:
            self._submit(output.write)
        if output.install is not None:
            self._install(output.install)
        for entry in output.committed:
            self._apply(entry)
        for result in output.reads:
            self._answer_read(result)
        if output.install is not None or output.committed:
            self._applied.reached(self.applied_index)
            self._listener.entries_applied()
            self._compact_if_due()

    def _send_all(self, sends: Sequence[Send]) -> None:
        for send in sends:
            self._send(send.recipient, send.message)

    # ------------------------------------------------------------ the state machine

    def _apply(self, entry: Entry) -> None:
        check_entry_kind(entry)
        outcome = CommandOutcome(DONE, entry.index)
        if entry.kind == COMMAND:
            outcome = self._machine.apply(entry.index, entry.payload)
        self.applied_index = entry.index
        self._uncompacted_entries += 1
        self._uncompacted_bytes += len(entry.payload)
        self._proposals.applied(entry.index, entry.term, outcome)

    def _install(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.state)
        self.applied_index = snapshot.index
        self._uncompacted_entries = 0
        self._uncompacted_bytes = 0
        self._proposals.replaced_by_snapshot(snapshot.index)

    def _compact_if_due(self) -> None:
        """Bound the log's size by replacing applied entries with a snapshot."""
        if self._uncompacted_entries < COMPACT_ENTRIES and self._uncompacted_bytes < COMPACT_BYTES:
            return
        self._node.compact(self.applied_index, self._machine.save())
        self._uncompacted_entries = 0
        self._uncompacted_bytes = 0
        self._schedule_step()  # the snapshot is written with the next output

    def _answer_read(self, result: ReadResult) -> None:
        future = self._reads.pop(result.read_id, None)
        if future is None or future.done():
            return
        if result.confirmed:
            future.set_result(result.index)
        else:
            future.set_exception(ReadNotConfirmedError("leadership was not confirmed", step="read"))

    # ------------------------------------------------------------ notifications and timer

    def _notify_changes(self) -> None:
        node = self._node
        leadership = (node.term, node.leader_id, node.role)
        if leadership != self._notified_leadership:
            if leadership[1:] != self._notified_leadership[1:]:
                log.info("term %d: %s, leader %s", node.term, node.role.value, _format_id(node.leader_id))
            self._notified_leadership = leadership
            self.leadership_changes.notify()
        membership = node.membership
        if membership is not self._notified_membership:
            self._notified_membership = membership
            self._listener.membership_changed(membership)

    def _set_timer(self, now: float) -> None:
        """Set the timer for the node's deadline; an earlier timer stays and is set again when it fires."""
        deadline = self._node.next_deadline()
        if self._timer is not None and self._timer_due_at <= deadline:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._timer_due_at = deadline
        if deadline < inf:
            self._timer = self._loop.call_later(
                max(0.0, deadline - now) + TIMER_GRANULARITY_S, self._timer_fired
            )

    def _timer_fired(self) -> None:
        self._timer = None
        self._timer_due_at = inf
        self._schedule_step()


def _format_id(member: int | None) -> str:
    return "unknown" if member is None else f"{member:016x}"
