"""The bounds of one buffer, and how many repeats they allow.

Source of the budget: a token bucket fed by first tries (Google SRE Book, ch. 21).
"""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")
SMALLEST_BURST = 10.0  # repeats that may be saved up at least
BURST_SECONDS = 5  # seconds of the floor that may be saved up


@dataclass(slots=True, frozen=True)
class Limits:
    """The bounds and figures of one buffer; the operators' file says what users may set of them."""

    max_bytes: int = 256 << 20  # of the folder's segments
    max_records: int = 200_000  # writes held
    max_age: float = 300.0  # seconds: with older ones unsent nothing more is taken in
    max_commit: int = 16 << 20  # bytes on their way to the disk
    in_flight: int = 32  # writes on their way to nodes
    per_shard: int = 8  # and to one shard
    flush_bytes: int = 32 << 20  # bytes of bodies on their way to nodes
    repeat_share: float = 0.1  # repeats allowed for each first try
    repeat_floor: float = 2.0  # and a second, whatever else
    backoff: float = 0.05  # seconds: the first repeat waits up to this
    backoff_most: float = 5.0
    deadline: float = 2.5  # seconds of one attempt
    window: float | None = 4.0  # in which a repeat under its key is dropped; None: no limit
    keyed: bool = True  # whether repeats under a key are dropped at all
    shards: int = 1
    sole_writer: bool = True  # whether nobody else writes to these buckets


class RepeatBudget:
    """Repeats allowed: a share of first tries, and a floor by time, so that none waits for ever."""

    def __init__(self, limits: Limits) -> None:
        self.share, self.floor = limits.repeat_share, limits.repeat_floor
        self.most = max(SMALLEST_BURST, BURST_SECONDS * self.floor)
        self.level, self.at = self.most, 0.0

    def first(self) -> None:
        """A first try was made."""
        self.level = min(self.most, self.level + self.share)

    def wait(self, now: float) -> float:
        """Seconds until a repeat is allowed; 0 takes it."""
        self.level = min(self.most, self.level + max(0.0, now - self.at) * self.floor)
        self.at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.floor
