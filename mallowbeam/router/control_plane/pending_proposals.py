"""Proposals that wait for their log entry to be applied."""

from __future__ import annotations

import asyncio

from mallowbeam.router.control_plane.proposal_errors import ProposalLostError
from mallowbeam.router.control_plane.state_machine import CommandOutcome


class PendingProposals:
    """Futures of proposals by the index and term of their log entry."""

    def __init__(self) -> None:
        self._pending: dict[int, list[tuple[int, asyncio.Future[CommandOutcome]]]] = {}

    def add(self, index: int, term: int, answer: asyncio.Future[CommandOutcome]) -> None:
        """Resolve `answer` when the entry at `index` is applied, provided it still is that of `term`."""
        self._pending.setdefault(index, []).append((term, answer))

    def applied(self, index: int, term: int, outcome: CommandOutcome) -> None:
        """Resolve the proposal of the entry at `index`; those of other terms fail (`ProposalLostError`)."""
        for proposed_term, answer in self._pending.pop(index, ()):
            if answer.done():
                continue
            if proposed_term == term:
                answer.set_result(outcome)
            else:
                answer.set_exception(ProposalLostError("another entry took its place", step="propose"))

    def replaced_by_snapshot(self, index: int) -> None:
        """Fail proposals up to a snapshot's index: their outcomes can't be known any more."""
        for position in [known for known in self._pending if known <= index]:
            for _, answer in self._pending.pop(position):
                if not answer.done():
                    answer.set_exception(ProposalLostError("a snapshot took its place", step="propose"))
