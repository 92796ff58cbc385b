"""How stale the frames of one connection are on arrival.

A partition, a suspended process or a slow path can keep frames in socket buffers for many seconds; they then
arrive in one burst. Each frame carries the sender's monotonic clock. The two clocks have different origins,
but their difference is constant. Its minimum over a connection belongs to the frame with the least delay; the
amount by which a later frame exceeds it is that frame's additional delay. Times are in seconds.
"""

from __future__ import annotations

from mallowbeam.router.feed.limits import MAX_CLOCK_DRIFT


class FrameStaleness:
    """The delay of one connection's frames, relative to the least delayed one.

    The first frame is at most as old as the connection, because the member builds it for this connection.
    """

    def __init__(self) -> None:
        """Start with a new connection."""
        self._min_difference = 0.0  # between the two clocks, from the frame with the least delay
        self._received_at: float | None = None  # when the last frame was received

    def measure(self, sent_at: float, now: float) -> float:
        """The additional delay of a frame, sent at `sent_at` on the sender's clock and received `now`."""
        difference = now - sent_at
        if self._received_at is None:
            self._min_difference = difference
        drift = (now - self._received_at) * MAX_CLOCK_DRIFT if self._received_at is not None else 0.0
        self._received_at = now
        self._min_difference = min(self._min_difference + drift, difference)
        return difference - self._min_difference
