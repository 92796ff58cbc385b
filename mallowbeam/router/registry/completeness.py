"""Whether a member's instance table is complete, and when to request another member's table.

A table is complete once the member has been connected to the others for long enough to have received a
heartbeat of every instance, or once it has merged the complete table of another member. After a batch of
gossip is lost, details may be missing until another member's complete table has been merged. Nothing here
does I/O.
"""

from __future__ import annotations

from mallowbeam.router.registry.limits import (
    COMPLETE_INTERVALS,
    COMPLETE_MARGIN_S,
    FULL_REQUEST_INTERVAL_S,
    LOSS_PROPAGATION_S,
)


class TableCompleteness:
    """Tracks what one member's table may lack. Times are in seconds of the monotonic clock."""

    def __init__(self, heartbeat_interval_s: float, started_at: float) -> None:
        """Start at `started_at` with nothing received."""
        self._interval_s = heartbeat_interval_s
        self._complete_after_s = heartbeat_interval_s * COMPLETE_INTERVALS + COMPLETE_MARGIN_S
        self._complete_at = started_at + self._complete_after_s
        self._details_missing = False  # lost, or never received for an instance that another member knows
        self._lost_at = started_at - LOSS_PROPAGATION_S  # when details were last lost
        self._requested_at = started_at - FULL_REQUEST_INTERVAL_S
        self.connected_since = started_at  # connected to the other members without interruption

    def is_complete(self, now: float) -> bool:
        """Whether the member knows all instances, by time or from another member's complete table."""
        return now >= self._complete_at

    def mark_isolated(self, now: float) -> None:
        """Restart the wait for completeness: the member can't reach enough of the others now."""
        self.connected_since = now
        self._complete_at = now + self._complete_after_s

    def record_lost_details(self, now: float) -> None:
        """Record that a batch of gossip may have been lost."""
        self._details_missing = True
        self._lost_at = now

    def record_unknown_details(self) -> None:
        """Record that another member knows an instance whose details are unknown here."""
        self._details_missing = True

    def record_full_merge(self, now: float) -> None:
        """Record that another member's complete table has been merged.

        It supplies lost details only if the last request was LOSS_PROPAGATION_S or more after the last loss.
        """
        self._complete_at = min(self._complete_at, now)
        self._details_missing &= self._requested_at < self._lost_at + LOSS_PROPAGATION_S

    def should_request(self, now: float, links_missing: bool) -> bool:
        """Whether to request a complete table now; if so, the request counts as sent.

        With `links_missing`, requests are at least one heartbeat interval apart.
        """
        interval_s = FULL_REQUEST_INTERVAL_S
        if links_missing:
            interval_s = max(interval_s, self._interval_s)
        needed = self._details_missing or not self.is_complete(now)
        if not needed or now - self._requested_at < interval_s:
            return False
        self._requested_at = now
        return True
