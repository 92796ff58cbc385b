"""Decides when to report that a gateway serves with a state that no member has confirmed lately.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

REPORT_AFTER_S = 5.0  # a gateway that loses its member needs less than this to follow another one
REPORT_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class StateStale:
    """No member has confirmed the state for `age_s` seconds."""

    age_s: float


@dataclass(frozen=True, slots=True)
class StateCurrent:
    """A member has confirmed the state again, after a `StateStale`."""


class StalenessMonitor:
    """Turns the age of the state into events. Times are in seconds of the monotonic clock."""

    def __init__(self, started_at: float) -> None:
        """`started_at` is the start of the process: a state that was never confirmed ages from then on."""
        self._started_at = started_at
        self._reported_at: float | None = None  # the last `StateStale` since the state was current

    def update(self, staleness_s: float, now: float) -> StateStale | StateCurrent | None:
        """The event to report now, if any, for a state that was confirmed `staleness_s` ago."""
        age_s = min(staleness_s, now - self._started_at)
        if age_s > REPORT_AFTER_S:
            return self._stale(age_s, now)
        if self._reported_at is None:
            return None
        self._reported_at = None
        return StateCurrent()

    def _stale(self, age_s: float, now: float) -> StateStale | None:
        """Report the first time, and then once in REPORT_INTERVAL_S."""
        if self._reported_at is not None and now - self._reported_at < REPORT_INTERVAL_S:
            return None
        self._reported_at = now
        return StateStale(age_s)
