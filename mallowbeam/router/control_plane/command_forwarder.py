"""Commands and linearizable reads: accepted by any member, forwarded to the leader.

All commands are idempotent: the replicated state recognises a command that it has already applied. A command
whose leader fails before it responds is therefore sent to the next leader, until the call times out.
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
NO_LEADER_TIMEOUT_S = 0.7  # a call is rejected after this time without a known leader
MIN_WAIT_S = 0.001  # wait at least this long, even at the deadline
REQUEST_ID_BITS = 62  # of the first id; later ones count up from it
RETRY_BACKOFF_S = 0.03  # before a call is sent again to a leader that did not accept it

ResponseT = TypeVar("ResponseT")

log = get_logger("mallowbeam.commands")


class CommandForwarder:
    """Forwards commands and reads to the leader, and serves those that other members forward."""

    def __init__(self, driver: RaftDriver, links: PeerLinks) -> None:
        self._driver = driver
        self._links = links
        self._loop = asyncio.get_running_loop()
        # The first id is random, so that responses to an earlier process at this address match no request.
        self._last_id = secrets.randbits(REQUEST_ID_BITS)
        self._proposals: dict[int, asyncio.Future[CommandOutcome]] = {}
        self._reads: dict[int, asyncio.Future[int]] = {}

    # ------------------------------------------------------------ calls at this member

    async def submit(self, command: Command, since: float) -> CommandOutcome:
        """Have the leader apply a command; `since` is when the call arrived, by the monotonic clock.

        Raises:
            NothingProposedError: the command was not proposed.
            OutcomeUnknownError: the command may have been applied, or may still be.
        """
        deadline = _CallDeadline(since)
        while deadline.allows_attempt(self._driver.leader_id):
            attempt = self._propose_to_leader(command)
            if attempt is None:
                await self._wait_for_leadership_change(deadline.remaining_without_leader_s())
                continue
            try:
                outcome = await self._wait_for_response(attempt, deadline.remaining_s())
            except CommandNotAcceptedError:
                await self._wait_for_leadership_change(min(RETRY_BACKOFF_S, deadline.remaining_s()))
                continue
            except ConsensusError:  # the proposal was lost at the end of its leader's term
                deadline.outcome_unknown = True
                continue
            if outcome is not None:
                return outcome
            deadline.outcome_unknown = True
        if deadline.outcome_unknown:
            raise OutcomeUnknownError("the leader did not respond in time")
        raise NothingProposedError("no leader was found in time")

    async def read_barrier(self, since: float) -> None:
        """Wait until this member has applied all that was committed at the call.

        Raises:
            NothingProposedError: no leader confirmed the read in time.
        """
        deadline = _CallDeadline(since)
        while deadline.allows_attempt(self._driver.leader_id):
            attempt = self._read_at_leader()
            if attempt is None:
                await self._wait_for_leadership_change(deadline.remaining_without_leader_s())
                continue
            try:
                index = await self._wait_for_response(attempt, deadline.remaining_s())
            except ConsensusError:
                await self._wait_for_leadership_change(min(RETRY_BACKOFF_S, deadline.remaining_s()))
                continue
            if index is not None and await self._wait_applied(index, deadline.remaining_s()):
                return
        raise NothingProposedError("no leader confirmed the read in time")

    # ------------------------------------------------------------ requests and responses of other members

    def propose(self, sender: int, request: ProposeRequest) -> None:
        """Propose a command that another member forwarded, and respond once it is applied.

        A command of a newer program version is not proposed, as this member could not apply it.
        """
        payload = request.command.SerializeToString()
        try:
            decode_command(0, payload)
        except UnsupportedFormatError as error:
            log.warning("rejected a forwarded command of a newer program version: %s", error.line)
            response = ProposeResponse(id=request.id, status=NOT_LEADER)
            self._links.send(sender, PeerFrame(propose_response=response))
            return
        future = self._driver.propose(payload)
        future.add_done_callback(lambda done: self._respond_to_proposal(sender, request.id, done))

    def propose_response(self, response: ProposeResponse) -> None:
        """The leader's response to a forwarded command."""
        future = self._proposals.pop(response.id, None)
        if future is None or future.done():
            return
        if response.status == APPLIED:
            future.set_result(CommandOutcome(response.result, response.index, response.token))
        elif response.status == NOT_LEADER:
            future.set_exception(CommandNotAcceptedError("not the leader", step="propose"))
        else:
            future.set_exception(ProposalLostError("lost at the end of the leader's term", step="propose"))

    def read_index(self, sender: int, request: ReadIndexRequest) -> None:
        """Another member requests a read index."""
        future = self._driver.read_index()
        future.add_done_callback(lambda done: self._respond_to_read(sender, request.id, done))

    def read_index_response(self, response: ReadIndexResponse) -> None:
        """The leader's response to a read."""
        future = self._reads.pop(response.id, None)
        if future is None or future.done():
            return
        if response.confirmed:
            future.set_result(response.index)
        else:
            future.set_exception(ReadNotConfirmedError("not confirmed", step="read"))

    def _respond_to_proposal(
        self, sender: int, request_id: int, done: asyncio.Future[CommandOutcome]
    ) -> None:
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

    def _respond_to_read(self, sender: int, request_id: int, done: asyncio.Future[int]) -> None:
        if done.cancelled():
            return
        response = ReadIndexResponse(id=request_id)
        if done.exception() is None:
            response.confirmed = True
            response.index = done.result()
        self._links.send(sender, PeerFrame(read_index_response=response))

    # ------------------------------------------------------------ attempts

    def _propose_to_leader(self, command: Command) -> asyncio.Future[CommandOutcome] | None:
        """Propose a command to the known leader; None without a leader."""
        leader = self._driver.leader_id
        if leader is None:
            return None
        if leader == self._links.own.id:
            return _with_rejection_as_not_accepted(self._driver.propose(command.SerializeToString()))
        request_id = self._next_id()
        frame = PeerFrame(propose=ProposeRequest(id=request_id, command=command))
        return self._send_request(leader, frame, request_id, self._proposals)

    def _read_at_leader(self) -> asyncio.Future[int] | None:
        leader = self._driver.leader_id
        if leader is None:
            return None
        if leader == self._links.own.id:
            return self._driver.read_index()
        request_id = self._next_id()
        frame = PeerFrame(read_index=ReadIndexRequest(id=request_id))
        return self._send_request(leader, frame, request_id, self._reads)

    def _send_request(
        self, leader: int, frame: PeerFrame, request_id: int, waiting: dict[int, asyncio.Future[ResponseT]]
    ) -> asyncio.Future[ResponseT]:
        """Send a request to the leader; returns the future of its response.

        The future leaves `waiting` once it is done.
        """
        future: asyncio.Future[ResponseT] = self._loop.create_future()
        if not self._links.send(leader, frame):
            future.set_exception(
                CommandNotAcceptedError("the leader can't be reached", step="send", peer=leader)
            )
            return future
        waiting[request_id] = future
        future.add_done_callback(lambda _: waiting.pop(request_id, None))
        return future

    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    async def _wait_for_response(
        self, attempt: asyncio.Future[ResponseT], timeout: float
    ) -> ResponseT | None:
        """Wait for an attempt's response; None if a change of leadership or the timeout comes first."""
        change = self._driver.leadership_changes.next()
        try:
            await asyncio.wait((attempt, change), timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()
            if not attempt.done():
                attempt.cancel()
        return None if attempt.cancelled() else attempt.result()

    async def _wait_for_leadership_change(self, timeout: float) -> None:
        """Wait for a change of leadership, for at most `timeout` seconds."""
        change = self._driver.leadership_changes.next()
        try:
            await asyncio.wait((change,), timeout=timeout)
        finally:
            change.cancel()

    async def _wait_applied(self, index: int, timeout: float) -> bool:
        """Wait until this member has applied an index; False on a timeout."""
        future = self._driver.wait_applied(index)
        await asyncio.wait((future,), timeout=timeout)
        if not future.done():
            future.cancel()
            return False
        return True


class _CallDeadline:
    """The time limits of one call, within which it is retried."""

    def __init__(self, since: float) -> None:
        self._deadline = since + CALL_TIMEOUT_S
        self._no_leader_deadline = since + NO_LEADER_TIMEOUT_S
        self.outcome_unknown = False  # an attempt may have been proposed
        self._is_first_attempt = True

    def remaining_s(self) -> float:
        """Seconds until the response is due, at least `MIN_WAIT_S`."""
        return max(MIN_WAIT_S, self._deadline - time.monotonic())

    def remaining_without_leader_s(self) -> float:
        """Seconds that may be spent waiting for a leader, at least `MIN_WAIT_S`."""
        end = self._deadline if self.outcome_unknown else self._no_leader_deadline
        return max(MIN_WAIT_S, end - time.monotonic())

    def allows_attempt(self, leader: int | None) -> bool:
        """Whether there is time for one more attempt."""
        now = time.monotonic()
        if self._is_first_attempt:
            self._is_first_attempt = False
            return True
        if now >= self._deadline:
            return False
        return leader is not None or self.outcome_unknown or now < self._no_leader_deadline


def _status_of(error: BaseException) -> ProposeStatus:
    """The status that is reported for a failed proposal."""
    if isinstance(error, ProposalLostError):
        return UNKNOWN
    return NOT_LEADER  # rejected by the Raft node: nothing was proposed


def _with_rejection_as_not_accepted(future: asyncio.Future[CommandOutcome]) -> asyncio.Future[CommandOutcome]:
    """A future with a proposal's outcome, in which a rejection by the node is `CommandNotAcceptedError`."""
    translated: asyncio.Future[CommandOutcome] = future.get_loop().create_future()

    def done(original: asyncio.Future[CommandOutcome]) -> None:
        if original.cancelled():
            return
        error = original.exception()  # retrieved even if nobody waits, so that asyncio does not log it
        if translated.done():
            return
        if error is None:
            translated.set_result(original.result())
        elif isinstance(error, ProposalLostError):
            translated.set_exception(error)
        else:
            translated.set_exception(CommandNotAcceptedError(str(error), step="propose"))

    future.add_done_callback(done)
    return translated
