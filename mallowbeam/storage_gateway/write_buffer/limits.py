"""The limits of one buffer, and its retry budget.

The budget is a token bucket that first attempts fill (Google SRE Book, ch. 21).
"""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")
MIN_BURST_RETRIES = 10.0  # the token bucket holds at least this many retries
BURST_S = 5  # seconds of `min_retries_per_second` that the token bucket holds


@dataclass(slots=True, frozen=True)
class Limits:
    """The limits and intervals of one buffer; `operator_settings.BufferSection` has the configurable ones."""

    max_bytes: int = 256 << 20  # of the folder's segments
    max_records: int = 200_000  # buffered writes
    max_age: float = 300.0  # seconds: once an unsent write is older, no more are accepted
    max_commit: int = 16 << 20  # bytes being committed to the disk
    in_flight: int = 32  # concurrent attempts at nodes
    per_shard: int = 8  # concurrent attempts at one shard
    flush_bytes: int = 32 << 20  # bytes of bodies in flight to nodes
    retry_ratio: float = 0.1  # retries allowed for each first attempt
    min_retries_per_second: float = 2.0  # retries always allowed each second
    backoff: float = 0.05  # seconds: upper bound of the delay before the first retry
    max_backoff: float = 5.0  # seconds: upper bound of the delay before any retry
    deadline: float = 2.5  # seconds that one attempt may take
    window: float | None = 4.0  # seconds for which nodes drop duplicates of a key; None: for ever
    keyed: bool = True  # whether nodes drop duplicates of an idempotency key at all
    shards: int = 1
    sole_writer: bool = True  # whether the buffer is the only writer of these buckets


class RetryBudget:
    """Allows retries as a fraction of first attempts, and at a minimum rate, so that none waits for ever."""

    def __init__(self, limits: Limits) -> None:
        self._per_attempt = limits.retry_ratio
        self._per_second = limits.min_retries_per_second
        self._max_tokens = max(MIN_BURST_RETRIES, BURST_S * self._per_second)
        self._tokens = self._max_tokens
        self._updated_at = 0.0

    def first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._per_attempt)

    def wait(self, now: float) -> float:
        """Seconds until a retry is allowed; 0 means that it is allowed now and has been counted."""
        self._tokens = min(
            self._max_tokens, self._tokens + max(0.0, now - self._updated_at) * self._per_second
        )
        self._updated_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._per_second
