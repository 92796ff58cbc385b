"""Discovery as a queue in virtual time, for tests of how a fleet of hosts calls it."""

from __future__ import annotations


class DiscoveryQueue:
    """One server that handles calls in order, `rate` a second; callers give up after `PATIENCE` seconds.

    The server still works on a call after its caller gave up.
    """

    PATIENCE = 2.0  # seconds
    CAPACITY = 40  # calls

    def __init__(self, rate: float) -> None:
        self.service_time = 1.0 / rate
        self.free_at = 0.0
        self.ends: list[float] = []

    def call(self, now: float) -> tuple[float, bool]:
        """The time at which a call that arrives at `now` ends, and whether it was served."""
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= self.CAPACITY:
            return now, False
        self.free_at = max(self.free_at, now) + self.service_time
        self.ends.append(self.free_at)
        return min(self.free_at, now + self.PATIENCE), self.free_at <= now + self.PATIENCE
