"""Bytes read ahead from a pipelining client; its end of stream is visible only after them."""

from __future__ import annotations

from collections import deque

from mallowbeam.http.budget import BodyBudget

MAX_READ_AHEAD_BYTES = 64 * 1024  # for one client
CHUNK_OVERHEAD_BYTES = 128  # charged for each chunk in addition, so that one-byte reads stay limited


class ReadAhead:
    """Bytes that wait to be parsed, limited for each connection and by the shared budget."""

    def __init__(self, budget: BodyBudget | None) -> None:
        self.chunks: deque[tuple[float, bytes]] = deque()  # (time read, bytes)
        self.buffered, self.budget = 0, budget  # bytes buffered, including overhead

    def __bool__(self) -> bool:
        """Whether any chunk is buffered."""
        return bool(self.chunks)

    @property
    def full(self) -> bool:
        """Whether reading must pause, so that TCP flow control holds back the client."""
        return (
            self.buffered >= MAX_READ_AHEAD_BYTES
            or self.budget is not None
            and self.budget.used >= self.budget.limit
        )

    def append(self, data: memoryview, at: float) -> None:
        """Queue bytes that were read at time `at` of the monotonic clock."""
        self.chunks.append((at, bytes(data)))
        self._charge(len(data) + CHUNK_OVERHEAD_BYTES)

    def popleft(self) -> tuple[float, bytes]:
        """Remove the next chunk; return when it was read, and its bytes."""
        at, data = self.chunks.popleft()
        self._charge(-len(data) - CHUNK_OVERHEAD_BYTES)
        return at, data

    def clear(self) -> None:
        """Discard all of it."""
        self._charge(-self.buffered)
        self.chunks.clear()

    def _charge(self, count: int) -> None:
        self.buffered += count
        if self.budget is not None:
            self.budget.used += count
