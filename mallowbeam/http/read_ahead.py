"""Bytes read ahead of their turn from a pipelining client; its end of stream shows only behind them."""

from __future__ import annotations

from collections import deque

from mallowbeam.http.budget import BodyBudget

MAX_READ_AHEAD = 64 * 1024  # bytes that one client may have here
CHUNK_OVERHEAD = 128  # bytes that each piece counts for besides: a trickle must not hold more


class ReadAhead:
    """Bytes that wait to be parsed, bounded for each connection and by the budget that all share."""

    def __init__(self, budget: BodyBudget | None) -> None:
        self.chunks: deque[tuple[float, bytes]] = deque()  # with when each was read
        self.buffered, self.budget = 0, budget  # bytes in all

    def __bool__(self) -> bool:
        """Whether something waits."""
        return bool(self.chunks)

    @property
    def full(self) -> bool:
        """Whether nothing more may be read: the rest stays with its client."""
        return (
            self.buffered >= MAX_READ_AHEAD
            or self.budget is not None
            and self.budget.used >= self.budget.limit
        )

    def append(self, data: memoryview, at: float) -> None:
        """Queue what was read at a time, by the monotonic clock."""
        self.chunks.append((at, bytes(data)))
        self._charge(len(data) + CHUNK_OVERHEAD)

    def popleft(self) -> tuple[float, bytes]:
        """When the next piece was read, and the piece."""
        at, data = self.chunks.popleft()
        self._charge(-len(data) - CHUNK_OVERHEAD)
        return at, data

    def clear(self) -> None:
        """Discard all of it."""
        self._charge(-self.buffered)
        self.chunks.clear()

    def _charge(self, count: int) -> None:
        self.buffered += count
        if self.budget is not None:
            self.budget.used += count
