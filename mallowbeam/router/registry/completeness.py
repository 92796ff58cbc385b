"""Whether a member's instance table is complete, and when to request another member's. A pure core.

A table is complete once the member has been connected to the others for long enough to have received a
heartbeat of every instance, or once it has merged the complete table of another member. A lost batch of
gossip may leave details out until another member's complete table has been merged.
"""

from __future__ import annotations

from mallowbeam.router.registry.limits import (
    COMPLETE_INTERVALS,
    COMPLETE_MARGIN_S,
    FULL_REQUEST_INTERVAL_S,
    LOSS_PROPAGATION_S,
)


class TableCompleteness:
    """One member's knowledge of what its table lacks. Times are in seconds of the monotonic clock."""

    def __init__(self, heartbeat_interval_s: float, started_at: float) -> None:
        """Begin without anything received."""
        self._interval_s = heartbeat_interval_s
        self._complete_after_s = heartbeat_interval_s * COMPLETE_INTERVALS + COMPLETE_MARGIN_S
        self._complete_at = started_at + self._complete_after_s
        self._details_missing = False  # some were lost, or those of an instance that others received
        self._lost_at = started_at - LOSS_PROPAGATION_S  # when details were last lost
        self._requested_at = started_at - FULL_REQUEST_INTERVAL_S
        self.connected_since = started_at  # to the other members, without interruption

    def is_complete(self, now: float) -> bool:
        """Whether the member knows of all instances: by time, or from a member that did."""
        return now >= self._complete_at

    def mark_isolated(self, now: float) -> None:
        """Begin anew: the member can't receive enough of the others at this time."""
        self.connected_since = now
        self._complete_at = now + self._complete_after_s

    def details_lost(self, now: float) -> None:
        """Record that a batch of gossip may have been lost."""
        self._details_missing = True
        self._lost_at = now

    def details_unknown(self) -> None:
        """Record that another member knows an instance of which this one has no details."""
        self._details_missing = True

    def merged_full_table(self, now: float) -> None:
        """Record that another member's complete table has been merged."""
        self._complete_at = min(self._complete_at, now)
        self._details_missing &= self._requested_at < self._lost_at + LOSS_PROPAGATION_S

    def should_request(self, now: float, links_missing: bool) -> bool:
        """Whether to request a complete table now; if so, the request counts as sent."""
        interval_s = FULL_REQUEST_INTERVAL_S
        if links_missing:
            interval_s = max(interval_s, self._interval_s)
        wanted = self._details_missing or not self.is_complete(now)
        if not wanted or now - self._requested_at < interval_s:
            return False
        self._requested_at = now
        return True
