"""The bounds of one buffer, and its retry budget.

Source of the budget: a token bucket filled by first attempts (Google SRE Book, ch. 21).
"""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")
MIN_BURST = 10.0  # retries that may be saved up at least
BURST_SECONDS = 5  # seconds of the floor that may be saved up


@dataclass(slots=True, frozen=True)
class Limits:
    """The bounds and intervals of one buffer; `operator_settings.BufferSection` has those that can be set."""

    max_bytes: int = 256 << 20  # of the folder's segments
    max_records: int = 200_000  # buffered writes
    max_age: float = 300.0  # seconds: with older unsent writes nothing more is accepted
    max_commit: int = 16 << 20  # bytes being committed to the disk
    in_flight: int = 32  # attempts at nodes at once
    per_shard: int = 8  # the same at one shard
    flush_bytes: int = 32 << 20  # bytes of bodies in flight to nodes
    retry_ratio: float = 0.1  # retries allowed for each first attempt
    min_retries_per_second: float = 2.0  # retries allowed each second in any case
    backoff: float = 0.05  # seconds: the first retry waits up to this
    max_backoff: float = 5.0  # seconds: the most that a retry waits
    deadline: float = 2.5  # seconds of one attempt
    window: float | None = 4.0  # seconds in which nodes drop duplicates of a key; None: without limit
    keyed: bool = True  # whether nodes drop duplicates of a key at all
    shards: int = 1
    sole_writer: bool = True  # whether nobody else writes to these buckets


class RetryBudget:
    """Retries allowed: a fraction of first attempts, and a floor by time, so that none waits for ever."""

    def __init__(self, limits: Limits) -> None:
        self._per_attempt = limits.retry_ratio
        self._per_second = limits.min_retries_per_second
        self._most = max(MIN_BURST, BURST_SECONDS * self._per_second)
        self._tokens = self._most
        self._updated_at = 0.0

    def first_attempt(self) -> None:
        """A first attempt was made."""
        self._tokens = min(self._most, self._tokens + self._per_attempt)

    def wait(self, now: float) -> float:
        """Seconds until a retry is allowed; 0: it is allowed and counted."""
        self._tokens = min(self._most, self._tokens + max(0.0, now - self._updated_at) * self._per_second)
        self._updated_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._per_second
