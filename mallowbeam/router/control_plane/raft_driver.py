"""Drives this member's Raft node: the one place that hands it input and does what its output says.

Input is queued and worked through in one step of the event loop, so that what came together leaves together.
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
from mallowbeam.router.control_plane.state_machine import CommandOutcome, ReplicatedStateMachine
from mallowbeam.router.control_plane.wait_conditions import (
    AppliedIndexWaiters,
    ChangeNotifier,
    PendingProposals,
    ReadNotConfirmedError,
)
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.messages_pb2 import COMMAND, DONE, Entry, Membership, RaftMessage, Snapshot

COMPACT_ENTRIES = 2000  # applied since the last snapshot after which the next one is taken
COMPACT_BYTES = 4 * 1024 * 1024  # likewise, of payloads
TIMER_GRAIN = 0.001  # seconds; the loop's timers may fire this much early

log = get_logger("mallowbeam.raft")


class DriverListener(Protocol):
    """What the rest of the member is told of."""

    def applied(self) -> None:
        """Entries were applied, or a snapshot was installed."""

    def membership_changed(self, membership: Membership) -> None:
        """Another membership is in force."""

    def store_unusable(self, error: MallowbeamError) -> None:
        """What this member has on disk contradicts the group: it must end, and come back as a new one."""


@dataclass(frozen=True, slots=True)
class _Receive:
    sender: int
    message: RaftMessage


@dataclass(frozen=True, slots=True)
class _Propose:
    payload: bytes
    answer: asyncio.Future[CommandOutcome]


@dataclass(frozen=True, slots=True)
class _Change:
    membership: Membership
    answer: asyncio.Future[CommandOutcome]


@dataclass(frozen=True, slots=True)
class _Read:
    answer: asyncio.Future[int]


@dataclass(frozen=True, slots=True)
class _Written:
    ticket: int


@dataclass(frozen=True, slots=True)
class _Transfer:
    pass


_Event = _Receive | _Propose | _Change | _Read | _Written | _Transfer


class RaftDriver:
    """Owner of the node and of the state machine that its log leads to."""

    def __init__(
        self,
        node: RaftNode,
        machine: ReplicatedStateMachine,
        submit: Callable[[Write], None],
        send: Callable[[int, RaftMessage], None],
        listener: DriverListener,
    ) -> None:
        """`submit` hands a write to storage, which calls `durable`; `send` sends to a member."""
        self._node, self._machine = node, machine
        self._submit, self._send, self._listener = submit, send, listener
        self._loop = asyncio.get_running_loop()
        self._events: deque[_Event] = deque()
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = inf
        self._reads: dict[int, asyncio.Future[int]] = {}
        self._last_read = 0
        self._proposals = PendingProposals()
        self._applied = AppliedIndexWaiters()
        self._seen_leadership: tuple[int, int | None, Role] = (node.term, node.leader_id, node.role)
        self._seen_membership = node.membership
        self._uncompacted_entries = self._uncompacted_bytes = 0
        self.applied_index = node.commit_index
        self.leadership_changes = ChangeNotifier()

    # ------------------------------------------------------------ what others may look at

    @property
    def node(self) -> RaftNode:
        """The node, to be looked at only."""
        return self._node

    @property
    def leader_id(self) -> int | None:
        """The leader's id, None where none is known."""
        return self._node.leader_id

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self._node.role is Role.LEADER

    def silence(self) -> float:
        """Seconds since this member's state was known to be current; infinite where it never was."""
        return self._node.freshness(time.monotonic())

    # ------------------------------------------------------------ input

    def start(self) -> None:
        """Begin: the first timer is set."""
        self._wake()

    def receive(self, sender: int, message: RaftMessage) -> None:
        """A message of another member."""
        self._put(_Receive(sender, message))

    def propose(self, payload: bytes) -> asyncio.Future[CommandOutcome]:
        """Propose a command; the future fails with a ConsensusError where it was not taken, or was lost."""
        answer: asyncio.Future[CommandOutcome] = self._loop.create_future()
        self._put(_Propose(payload, answer))
        return answer

    def change_membership(self, membership: Membership) -> asyncio.Future[CommandOutcome]:
        """Propose a membership; the future fails as that of `propose`."""
        answer: asyncio.Future[CommandOutcome] = self._loop.create_future()
        self._put(_Change(membership, answer))
        return answer

    def read_index(self) -> asyncio.Future[int]:
        """Request a read index as the leader; the future fails with ReadNotConfirmedError without one."""
        answer: asyncio.Future[int] = self._loop.create_future()
        self._put(_Read(answer))
        return answer

    def wait_applied(self, index: int) -> asyncio.Future[None]:
        """Done once this member has applied all entries up to an index."""
        return self._applied.add(index, self.applied_index)

    def durable(self, writes: Sequence[Write]) -> None:
        """Writes are durable: send what waited for them."""
        for write in writes:
            self._send_all(write.send_when_durable)
        self._put(_Written(writes[-1].ticket))

    def transfer_leadership(self) -> None:
        """Hand leadership to another voter, where this member leads."""
        self._put(_Transfer())

    def stop(self) -> None:
        """Do nothing more."""
        self._scheduled = True
        if self._timer is not None:
            self._timer.cancel()

    # ------------------------------------------------------------ the step

    def _put(self, event: _Event) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        """Hand in all that has come, then do what the node says."""
        self._scheduled = False
        now = time.monotonic()
        try:
            while self._events:
                self._hand_in(self._events.popleft(), now)
            if now >= self._node.next_deadline():
                self._node.tick(now)
            self._act(self._node.output())
            self._tell_changes()
        except DivergedError as error:
            self.stop()
            self._listener.store_unusable(error)
            return
        except Exception:
            # Guards the member: a fault with one message must not end its part in the group.
            log.exception("a step failed unforeseen")
        if self._events:
            self._wake()
        self._set_timer(now)

    def _hand_in(self, event: _Event, now: float) -> None:
        node = self._node
        match event:
            case _Receive(sender, message):
                node.receive(sender, message, now)
            case _Written(ticket):
                node.written(ticket, now)
            case _Read(answer):
                self._last_read += 1
                self._reads[self._last_read] = answer
                node.read(self._last_read, now)
            case _Propose(payload, answer):
                self._propose(answer, lambda: node.propose(payload, now))
            case _Change(membership, answer):
                self._propose(answer, lambda: node.change_membership(membership, now))
            case _Transfer():
                self._transfer(now)

    def _propose(self, answer: asyncio.Future[CommandOutcome], propose: Callable[[], Proposal]) -> None:
        try:
            proposal = propose()
        except ConsensusError as error:
            if not answer.done():
                # Its frames hold the answer and the payload: with them, both would wait for the collector.
                answer.set_exception(error.with_traceback(None))
            return
        self._proposals.add(proposal.index, proposal.term, answer)

    def _transfer(self, now: float) -> None:
        try:
            self._node.transfer_leadership(None, now)
        except ConsensusError as error:
            log.info("leadership stays here: %s", error)

    def _act(self, output: Output) -> None:
        """Do what the node says, in the order that its interface asks for."""
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
            self._listener.applied()
            self._compact_where_due()

    def _send_all(self, sends: Sequence[Send]) -> None:
        for send in sends:
            self._send(send.recipient, send.message)

    # ------------------------------------------------------------ the state machine

    def _apply(self, entry: Entry) -> None:
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
        self._uncompacted_entries = self._uncompacted_bytes = 0
        self._proposals.passed_over(snapshot.index)

    def _compact_where_due(self) -> None:
        """Bound the log: a snapshot takes the place of what is applied."""
        if self._uncompacted_entries < COMPACT_ENTRIES and self._uncompacted_bytes < COMPACT_BYTES:
            return
        self._node.compact(self.applied_index, self._machine.save())
        self._uncompacted_entries = self._uncompacted_bytes = 0
        self._wake()  # the snapshot is written with the next output

    def _answer_read(self, result: ReadResult) -> None:
        answer = self._reads.pop(result.read_id, None)
        if answer is None or answer.done():
            return
        if result.confirmed:
            answer.set_result(result.index)
        else:
            answer.set_exception(ReadNotConfirmedError("not confirmed", step="read"))

    # ------------------------------------------------------------ after the step

    def _tell_changes(self) -> None:
        node = self._node
        leadership = (node.term, node.leader_id, node.role)
        if leadership != self._seen_leadership:
            if leadership[1:] != self._seen_leadership[1:]:
                log.info("term %d: %s, leader %s", node.term, node.role.value, _name(node.leader_id))
            self._seen_leadership = leadership
            self.leadership_changes.tell()
        membership = node.membership
        if membership is not self._seen_membership:
            self._seen_membership = membership
            self._listener.membership_changed(membership)

    def _set_timer(self, now: float) -> None:
        """See to a step at the node's deadline; an earlier timer stays and is set again when it fires."""
        deadline = self._node.next_deadline()
        if self._timer is not None and self._timer_at <= deadline:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._timer_at = deadline
        if deadline < inf:
            self._timer = self._loop.call_later(max(0.0, deadline - now) + TIMER_GRAIN, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer, self._timer_at = None, inf
        self._wake()


def _name(member: int | None) -> str:
    return "unknown" if member is None else f"{member:016x}"
