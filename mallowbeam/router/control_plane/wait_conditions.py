"""Who waits for what the replicated log will bring: proposals, applied indexes, changes of leadership."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Iterator

from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.control_plane.state_machine import CommandOutcome


class ProposalLostError(ConsensusError):
    """A proposal was overwritten by another leader's entry, or a snapshot passed it over."""

    error_name = "ProposalLost"
    code = "CONSENSUS_PROPOSAL_LOST"
    remedy = "propose it again: commands that were taken are known again"


class ReadNotConfirmedError(ConsensusError):
    """A read was not confirmed: the member is not the leader, or no longer."""

    error_name = "ReadRefused"
    code = "CONSENSUS_READ_REFUSED"
    remedy = "ask the leader"


class PendingProposals:
    """Futures of proposals by the index and term at which they stand in the log."""

    def __init__(self) -> None:
        self._waiting: dict[int, list[tuple[int, asyncio.Future[CommandOutcome]]]] = {}

    def add(self, index: int, term: int, answer: asyncio.Future[CommandOutcome]) -> None:
        """Wait for the entry at `index`, if it is still that of `term` when it is applied."""
        self._waiting.setdefault(index, []).append((term, answer))

    def applied(self, index: int, term: int, outcome: CommandOutcome) -> None:
        """The entry at `index` was applied: answer its own proposal; others that stood there are lost."""
        for proposed_term, answer in self._waiting.pop(index, ()):
            if answer.done():
                continue
            if proposed_term == term:
                answer.set_result(outcome)
            else:
                answer.set_exception(ProposalLostError("another entry took its place", step="propose"))

    def passed_over(self, index: int) -> None:
        """A snapshot was installed: what became of proposals up to its index can't be told."""
        for position in [known for known in self._waiting if known <= index]:
            for _, answer in self._waiting.pop(position):
                if not answer.done():
                    answer.set_exception(ProposalLostError("a snapshot took its place", step="propose"))


class AppliedIndexWaiters:
    """Futures of those who wait until this member has applied an index."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._count = 0

    def add(self, index: int, applied_index: int) -> asyncio.Future[None]:
        """A future that is done once `index` is applied."""
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if index <= applied_index:
            answer.set_result(None)
            return answer
        self._count += 1
        heapq.heappush(self._waiting, (index, self._count, answer))
        return answer

    def reached(self, applied_index: int) -> None:
        """All entries up to an index are applied."""
        while self._waiting and self._waiting[0][0] <= applied_index:
            answer = heapq.heappop(self._waiting)[2]
            if not answer.done():
                answer.set_result(None)


class ChangeNotifier:
    """Lets many wait for the next change of something."""

    def __init__(self) -> None:
        self._waiting: dict[asyncio.Future[None], None] = {}  # in the order in which they began to wait

    def next(self) -> asyncio.Future[None]:
        """A future that is done with the next change; to be cancelled by who no longer waits."""
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[answer] = None
        answer.add_done_callback(self._forget)
        return answer

    def tell(self) -> None:
        """A change has come."""
        for answer in self._take():
            if not answer.done():
                answer.set_result(None)

    def _take(self) -> Iterator[asyncio.Future[None]]:
        waiting, self._waiting = self._waiting, {}
        return iter(waiting)

    def _forget(self, answer: asyncio.Future[None]) -> None:
        self._waiting.pop(answer, None)
