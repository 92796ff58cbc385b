"""What is read of a client ahead of its turn, as bytes: only behind them its end is seen."""

from __future__ import annotations

from mallowbeam.net.http import CHUNK, Budget

MOST = 64 * 1024            # bytes that one client may have here


class Ahead:
    """Bytes that wait to be parsed, within a bound of their own and the connections' common one."""

    def __init__(self, budget: Budget | None) -> None:
        self.bytes, self.budget = bytearray(), budget

    def __bool__(self) -> bool:
        """Whether something waits."""
        return bool(self.bytes)

    @property
    def full(self) -> bool:
        """Whether nothing more may be read: the rest stays with its client."""
        return len(self.bytes) >= MOST or self.budget is not None and self.budget.used >= self.budget.most

    def put(self, data: memoryview) -> None:
        """Keep what was read."""
        self.bytes += data
        self._charge(len(data))

    def take(self) -> bytes:
        """The next of it, at most what is read at once."""
        data = bytes(self.bytes[:CHUNK])
        del self.bytes[:CHUNK]
        self._charge(-len(data))
        return data

    def drop(self) -> None:
        """Forget it."""
        self._charge(-len(self.bytes))
        self.bytes.clear()

    def _charge(self, count: int) -> None:
        if self.budget is not None:
            self.budget.used += count
