"""Commands and linearizable reads: accepted by any member, forwarded to the leader.

All commands are idempotent: the replicated state recognises one that it has applied. So a command whose
leader is lost on the way is retried at the next one until the call's time-out.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TypeVar

from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.control_plane.api_errors import NothingProposedError, OutcomeUnknownError
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.proposal_errors import (
    CommandNotAcceptedError,
    ProposalLostError,
    ReadNotConfirmedError,
)
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.state_format import UnsupportedFormatError, decode_command
from mallowbeam.router.control_plane.state_machine import CommandOutcome
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.messages_pb2 import (
    APPLIED,
    NOT_LEADER,
    UNKNOWN,
    Command,
    PeerFrame,
    ProposeRequest,
    ProposeResponse,
    ProposeStatus,
    ReadIndexRequest,
    ReadIndexResponse,
)

CALL_TIMEOUT_S = 0.9  # from a call's arrival to its response; callers wait for 1 s
NO_LEADER_TIMEOUT_S = 0.7  # without any leader, after which a call is rejected
MIN_WAIT_S = 0.001
REQUEST_ID_BITS = 62  # of the first id; later ones count up from it
RETRY_BACKOFF_S = 0.03  # before a leader that did not accept a call is asked again

Answer = TypeVar("Answer")

log = get_logger("mallowbeam.commands")


class CommandForwarder:
    """Forwards commands and reads to the leader, and serves those that other members forward."""

    def __init__(self, driver: RaftDriver, links: PeerLinks) -> None:
        self._driver = driver
        self._links = links
        self._loop = asyncio.get_running_loop()
        # Random first id: responses to an earlier process of this address match no request of this one.
        self._last_id = secrets.randbits(REQUEST_ID_BITS)
        self._proposals: dict[int, asyncio.Future[CommandOutcome]] = {}
        self._reads: dict[int, asyncio.Future[int]] = {}

    # ------------------------------------------------------------ for callers

    async def submit(self, command: Command, since: float) -> CommandOutcome:
        """Have a command applied; `since` is when the call arrived, by the monotonic clock.

        Raises NothingProposedError, or OutcomeUnknownError if it may still be applied.
        """
        deadline = _CallDeadline(since)
        while deadline.allows_attempt(self._driver.leader_id):
            attempt = self._propose_to_leader(command)
            if attempt is None:
                await self._leadership_change(deadline.left_without_leader())
                continue
            try:
                outcome = await self._until_change(attempt, deadline.left())
            except CommandNotAcceptedError:
                await self._leadership_change(min(RETRY_BACKOFF_S, deadline.left()))
                continue
            except ConsensusError:  # lost with its leader's term
                deadline.outcome_unknown = True
                continue
            if outcome is not None:
                return outcome
            deadline.outcome_unknown = True
        if deadline.outcome_unknown:
            raise OutcomeUnknownError("the leader did not answer in time")
        raise NothingProposedError("no leader was found in time")

    async def read_barrier(self, since: float) -> None:
        """Wait until this member's state is as new as the call; raises NothingProposedError."""
        deadline = _CallDeadline(since)
        while deadline.allows_attempt(self._driver.leader_id):
            attempt = self._read_at_leader()
            if attempt is None:
                await self._leadership_change(deadline.left_without_leader())
                continue
            try:
                index = await self._until_change(attempt, deadline.left())
            except ConsensusError:
                await self._leadership_change(min(RETRY_BACKOFF_S, deadline.left()))
                continue
            if index is not None and await self._applied(index, deadline.left()):
                return
        raise NothingProposedError("no leader confirmed the read in time")

    # ------------------------------------------------------------ from other members

    def propose(self, sender: int, request: ProposeRequest) -> None:
        """Another member forwards a command: propose it, and answer once it is applied.

        A command of a newer program version is not proposed: this member could not apply it.
        """
        payload = request.command.SerializeToString()
        try:
            decode_command(0, payload)
        except UnsupportedFormatError as error:
            log.warning("a forwarded command is not proposed: %s", error.line)
            response = ProposeResponse(id=request.id, status=NOT_LEADER)
            self._links.send(sender, PeerFrame(propose_response=response))
            return
        answer = self._driver.propose(payload)
        answer.add_done_callback(lambda done: self._answer_proposal(sender, request.id, done))

    def propose_response(self, response: ProposeResponse) -> None:
        """The leader's response to a forwarded command."""
        answer = self._proposals.pop(response.id, None)
        if answer is None or answer.done():
            return
        if response.status == APPLIED:
            answer.set_result(CommandOutcome(response.result, response.index, response.token))
        elif response.status == NOT_LEADER:
            answer.set_exception(CommandNotAcceptedError("not the leader", step="propose"))
        else:
            answer.set_exception(ProposalLostError("lost with the leader's term", step="propose"))

    def read_index(self, sender: int, request: ReadIndexRequest) -> None:
        """Another member requests a read index."""
        answer = self._driver.read_index()
        answer.add_done_callback(lambda done: self._answer_read(sender, request.id, done))

    def read_index_response(self, response: ReadIndexResponse) -> None:
        """The leader's response to a read."""
        answer = self._reads.pop(response.id, None)
        if answer is None or answer.done():
            return
        if response.confirmed:
            answer.set_result(response.index)
        else:
            answer.set_exception(ReadNotConfirmedError("not confirmed", step="read"))

    def _answer_proposal(self, sender: int, request_id: int, done: asyncio.Future[CommandOutcome]) -> None:
        response = ProposeResponse(id=request_id)
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            outcome = done.result()
            response.status = APPLIED
            response.result = outcome.result
            response.index = outcome.index
            response.token = outcome.token
        else:
            response.status = _status_of(error)
        self._links.send(sender, PeerFrame(propose_response=response))

    def _answer_read(self, sender: int, request_id: int, done: asyncio.Future[int]) -> None:
        if done.cancelled():
            return
        response = ReadIndexResponse(id=request_id)
        if done.exception() is None:
            response.confirmed = True
            response.index = done.result()
        self._links.send(sender, PeerFrame(read_index_response=response))

    # ------------------------------------------------------------ attempts

    def _propose_to_leader(self, command: Command) -> asyncio.Future[CommandOutcome] | None:
        """One attempt at the known leader; None without one."""
        leader = self._driver.leader_id
        if leader is None:
            return None
        if leader == self._links.own.id:
            return _with_refusal_as_not_accepted(self._driver.propose(command.SerializeToString()))
        request_id = self._next_id()
        frame = PeerFrame(propose=ProposeRequest(id=request_id, command=command))
        return self._ask(leader, frame, request_id, self._proposals)

    def _read_at_leader(self) -> asyncio.Future[int] | None:
        leader = self._driver.leader_id
        if leader is None:
            return None
        if leader == self._links.own.id:
            return self._driver.read_index()
        request_id = self._next_id()
        frame = PeerFrame(read_index=ReadIndexRequest(id=request_id))
        return self._ask(leader, frame, request_id, self._reads)

    def _ask(
        self, leader: int, frame: PeerFrame, request_id: int, waiting: dict[int, asyncio.Future[Answer]]
    ) -> asyncio.Future[Answer]:
        """Send a request to the leader; the future of its response, dropped once it is done."""
        answer: asyncio.Future[Answer] = self._loop.create_future()
        if not self._links.send(leader, frame):
            answer.set_exception(
                CommandNotAcceptedError("the leader can't be reached", step="send", peer=leader)
            )
            return answer
        waiting[request_id] = answer
        answer.add_done_callback(lambda _: waiting.pop(request_id, None))
        return answer

    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    async def _until_change(self, attempt: asyncio.Future[Answer], timeout: float) -> Answer | None:
        """An attempt's response; None if a change of leadership or the time-out came first."""
        change = self._driver.leadership_changes.next()
        try:
            await asyncio.wait((attempt, change), timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()
            if not attempt.done():
                attempt.cancel()
        return None if attempt.cancelled() else attempt.result()

    async def _leadership_change(self, timeout: float) -> None:
        """Wait for another leader."""
        change = self._driver.leadership_changes.next()
        try:
            await asyncio.wait((change,), timeout=timeout)
        finally:
            change.cancel()

    async def _applied(self, index: int, timeout: float) -> bool:
        """Wait until an index is applied here; False on a time-out."""
        answer = self._driver.wait_applied(index)
        await asyncio.wait((answer,), timeout=timeout)
        if not answer.done():
            answer.cancel()
            return False
        return True


class _CallDeadline:
    """How long a call may be retried."""

    def __init__(self, since: float) -> None:
        self._deadline = since + CALL_TIMEOUT_S
        self._without_leader_until = since + NO_LEADER_TIMEOUT_S
        self.outcome_unknown = False  # an attempt may have been accepted
        self._first = True

    def left(self) -> float:
        """Seconds until the response is due."""
        return max(MIN_WAIT_S, self._deadline - time.monotonic())

    def left_without_leader(self) -> float:
        """Seconds that may be spent waiting for a leader."""
        end = self._deadline if self.outcome_unknown else self._without_leader_until
        return max(MIN_WAIT_S, end - time.monotonic())

    def allows_attempt(self, leader: int | None) -> bool:
        """Whether there is time for one more attempt."""
        now = time.monotonic()
        if self._first:
            self._first = False
            return True
        if now >= self._deadline:
            return False
        return leader is not None or self.outcome_unknown or now < self._without_leader_until


def _status_of(error: BaseException) -> ProposeStatus:
    """The status to report of a proposal that failed."""
    if isinstance(error, ProposalLostError):
        return UNKNOWN
    return NOT_LEADER  # rejected by the core: nothing was proposed


def _with_refusal_as_not_accepted(answer: asyncio.Future[CommandOutcome]) -> asyncio.Future[CommandOutcome]:
    """A proposal's future on which a refusal by this member's core is a `CommandNotAcceptedError`."""
    translated: asyncio.Future[CommandOutcome] = answer.get_loop().create_future()

    def done(original: asyncio.Future[CommandOutcome]) -> None:
        if original.cancelled():
            return
        error = original.exception()  # retrieved also if nobody waits any more
        if translated.done():
            return
        if error is None:
            translated.set_result(original.result())
        elif isinstance(error, ProposalLostError):
            translated.set_exception(error)
        else:
            translated.set_exception(CommandNotAcceptedError(str(error), step="propose"))

    answer.add_done_callback(done)
    return translated
