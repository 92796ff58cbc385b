"""How late frames of one connection arrive: whether what was held up on the way passes for news.

A cut, a frozen process or a slow path can keep frames in socket buffers for many seconds; they then arrive in
one burst. Each frame carries the sender's steady clock. The two clocks tell different times, but their
difference stays the same: the least difference seen on a connection is that of a frame that was hardly held
up, and by what a later frame exceeds it, that frame was held up longer. Times are in seconds.
"""

from __future__ import annotations

from mallowbeam.router.feed.limits import MOST_CLOCK_DRIFT


class FrameLateness:
    """The delay of one connection's frames, beyond that of its first ones.

    The first frame itself is as old, at most, as the connection: the member builds it for this connection.
    """

    def __init__(self) -> None:
        self._least = 0.0  # difference of the clocks, by the frame that was held up least
        self._seen_at: float | None = None  # when the last frame came in

    def frame(self, sent_at: float, now: float) -> float:
        """How long a frame was held up, by the sender's clock and this machine's."""
        difference = now - sent_at
        if self._seen_at is None:
            self._least = difference
        drift = (now - self._seen_at) * MOST_CLOCK_DRIFT if self._seen_at is not None else 0.0
        self._seen_at = now
        self._least = min(self._least + drift, difference)
        return difference - self._least
