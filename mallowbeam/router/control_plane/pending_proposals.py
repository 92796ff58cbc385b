"""Proposals that wait for their log entry to be applied."""

from __future__ import annotations

import asyncio

from mallowbeam.router.control_plane.proposal_errors import ProposalLostError
from mallowbeam.router.control_plane.state_machine import CommandOutcome


class PendingProposals:
    """Futures of proposals by the index and term of their log entry."""

    def __init__(self) -> None:
        self._pending: dict[int, list[tuple[int, asyncio.Future[CommandOutcome]]]] = {}

    def add(self, index: int, term: int, future: asyncio.Future[CommandOutcome]) -> None:
        """Resolve `future` when the entry at `index` is applied; it fails unless that entry is of `term`."""
        self._pending.setdefault(index, []).append((term, future))

    def applied(self, index: int, term: int, outcome: CommandOutcome) -> None:
        """Resolve the proposal of the entry at `index`; those of other terms fail (`ProposalLostError`)."""
        for proposed_term, future in self._pending.pop(index, ()):
            if future.done():
                continue
            if proposed_term == term:
                future.set_result(outcome)
            else:
                future.set_exception(ProposalLostError("replaced by another leader's entry", step="propose"))

    def replaced_by_snapshot(self, index: int) -> None:
        """Fail all proposals up to a snapshot's index, as their outcomes can no longer be known."""
        for pending_index in [known for known in self._pending if known <= index]:
            for _, future in self._pending.pop(pending_index):
                if not future.done():
                    future.set_exception(ProposalLostError("replaced by a snapshot", step="propose"))
