"""Linearizable reads by read index: each waits for a heartbeat round that began after it came."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mallowbeam.router.consensus.interface import ReadResult


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read, and the round whose confirmation by a majority it waits for."""

    read_id: int
    round_number: int


class ReadQueue:
    """Reads of one leadership, in the order in which they came."""

    def __init__(self) -> None:
        self._pending: deque[PendingRead] = deque()

    @property
    def count(self) -> int:
        """How many wait."""
        return len(self._pending)

    def add(self, read_id: int, round_number: int) -> None:
        """Queue a read for a round that has not yet been sent."""
        self._pending.append(PendingRead(read_id, round_number))

    def confirmed(self, round_number: int, commit_index: int) -> list[ReadResult]:
        """The reads that a majority's answers to `round_number` confirm; `commit_index` covers them all."""
        results: list[ReadResult] = []
        while self._pending and self._pending[0].round_number <= round_number:
            results.append(ReadResult(self._pending.popleft().read_id, True, commit_index))
        return results

    def refused(self) -> list[ReadResult]:
        """All reads that wait, as refused."""
        results = [ReadResult(read.read_id, False) for read in self._pending]
        self._pending.clear()
        return results
