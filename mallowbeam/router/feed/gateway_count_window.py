"""The maximum of the recent gateway counts."""

from __future__ import annotations

from collections import deque

from mallowbeam.router.feed.limits import GATEWAY_COUNT_WINDOW_S


class GatewayCountWindow:
    """The latest count, and the maximum within GATEWAY_COUNT_WINDOW_S. Times are in seconds."""

    def __init__(self) -> None:
        """Start with a count of 0."""
        self.latest = 0
        self._counts: deque[tuple[float, int]] = deque()  # (time, count) by descending count, oldest first

    def record(self, count: int, now: float) -> None:
        """Add the latest count."""
        self.latest = count
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def maximum(self, now: float) -> int:
        """The maximum within the window; the latest count if that is older than the window."""
        while len(self._counts) > 1 and now - self._counts[0][0] > GATEWAY_COUNT_WINDOW_S:
            self._counts.popleft()
        return max(self.latest, self._counts[0][1] if self._counts else 0)
