"""Linearizable reads by read index: each read waits for a later heartbeat round (thesis 6.4)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mallowbeam.router.consensus.interface import ReadResult


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read and the heartbeat round that a majority must acknowledge first."""

    read_id: int
    round_number: int


class ReadIndexQueue:
    """Pending reads of one leader in order of arrival."""

    def __init__(self) -> None:
        self._pending: deque[PendingRead] = deque()

    @property
    def count(self) -> int:
        """Number of pending reads."""
        return len(self._pending)

    def add(self, read_id: int, round_number: int) -> None:
        """Queue a read that waits for a round which has not been sent yet."""
        self._pending.append(PendingRead(read_id, round_number))

    def confirmed(self, round_number: int, commit_index: int) -> list[ReadResult]:
        """Remove and return the reads that rounds up to `round_number` confirm, with this read index."""
        results: list[ReadResult] = []
        while self._pending and self._pending[0].round_number <= round_number:
            results.append(ReadResult(self._pending.popleft().read_id, True, commit_index))
        return results

    def rejected(self) -> list[ReadResult]:
        """Remove all pending reads and return them as not confirmed."""
        results = [ReadResult(read.read_id, False) for read in self._pending]
        self._pending.clear()
        return results
