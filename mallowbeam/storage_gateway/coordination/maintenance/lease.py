"""One gateway's lease while maintenance is active, and its proof that another gateway's lease has expired.

While maintenance is active, a gateway serves for at most `lease_s` after it proposed its newest committed
report.  It checks this by its own clock at each request, so that a process that was suspended rejects
requests even before it has received any log entry.

A gateway's lease has expired for an observer that received its last report at t and has since seen one of its
own reports committed that it proposed after t + `lease_s` x `max_clock_rate_ratio`: no further report of the
gateway was committed in between.  This holds as long as clock rates differ by less than that ratio.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from mallowbeam.storage_gateway.coordination.maintenance.actions import Timings


class LeaseTracker:
    """Leases as seen by gateway `name`; all times are in seconds of its monotonic clock."""

    def __init__(self, name: str, members: Sequence[str], now: float, timings: Timings) -> None:
        self._name = name
        self._timings = timings
        self.renewed_at = float("-inf")  # when the newest committed report of this gateway was proposed
        self._caught_up_at = float("-inf")  # when the newest committed marker of this gateway was proposed
        self._caught_up_at_activation = float("-inf")  # `_caught_up_at` when maintenance became active
        self._last_report_at = {member: now for member in members}

    def caught_up(self, proposed_at: float) -> None:
        """All entries that were committed before `proposed_at` have been applied here."""
        self._caught_up_at = max(self._caught_up_at, proposed_at)

    def renew(self, proposed_at: float) -> None:
        """A report that this gateway proposed at `proposed_at` was committed."""
        self.renewed_at = max(self.renewed_at, proposed_at)

    def received_report(self, gateway: str, now: float) -> None:
        """A report of this gateway or another one was committed."""
        if gateway in self._last_report_at:
            self._last_report_at[gateway] = now

    def activate(self, now: float) -> None:
        """Maintenance becomes active.

        Without maintenance the other gateways report rarely, so a missing report before this proves nothing.
        This gateway's lease starts at its newest committed marker, which is certainly older than the
        maintenance request, so at a time when no member had learned of the request.
        """
        self._last_report_at = {member: now for member in self._last_report_at}
        self._caught_up_at_activation = self._caught_up_at

    def is_valid(self, now: float) -> bool:
        """Whether this gateway's lease is still valid."""
        return now <= max(self.renewed_at, self._caught_up_at_activation) + self._timings.lease_s

    def expired(self, known: Collection[str]) -> list[str]:
        """Other gateways whose lease has certainly expired, except those in `known`."""
        lease_bound_s = self._timings.lease_s * self._timings.max_clock_rate_ratio
        return [
            member
            for member, received_at in self._last_report_at.items()
            if member != self._name and member not in known and self.renewed_at > received_at + lease_bound_s
        ]
