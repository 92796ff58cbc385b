"""One gateway's lease while maintenance is active, and its proof that another gateway's lease has expired.

While maintenance is active a gateway serves no longer than the lease after it proposed its newest report that
was committed.  It checks that by its own clock at each request, so that a process that was suspended rejects
requests before it has received anything.

Suppose this gateway received the other's last report at t, and has since seen committed what itself proposed
after t + lease x drift.  Then no further report of the other was committed meanwhile, and its lease has
expired, on clocks whose rates differ by less than the drift.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from mallowbeam.storage_gateway.coordination.maintenance.actions import Timings


class LeaseTracker:
    """Leases as gateway `name` knows them; all times are in seconds of its monotonic clock."""

    def __init__(self, name: str, members: Sequence[str], now: float, timings: Timings) -> None:
        self._name = name
        self._timings = timings
        self.renewed_at = float("-inf")  # when the newest own report that was committed was proposed
        self._caught_up_at = float("-inf")  # when the newest own marker that was committed was proposed
        self._baseline = float("-inf")  # the same, before maintenance became active
        self._last_report_at = {member: now for member in members}

    def caught_up(self, proposed_at: float) -> None:
        """All that was committed before this moment has been applied here."""
        self._caught_up_at = max(self._caught_up_at, proposed_at)

    def renew(self, proposed_at: float) -> None:
        """A report that this gateway proposed at this moment was committed."""
        self.renewed_at = max(self.renewed_at, proposed_at)

    def received_report(self, gateway: str, now: float) -> None:
        """A report of a gateway was committed."""
        if gateway in self._last_report_at:
            self._last_report_at[gateway] = now

    def activate(self, now: float) -> None:
        """Maintenance becomes active.

        Until now the others had little reason to report, so their silence proves nothing.  This gateway's
        lease counts from a marker that is certainly older than the request, so from before any member
        learned of it.
        """
        self._last_report_at = {member: now for member in self._last_report_at}
        self._baseline = self._caught_up_at

    def is_valid(self, now: float) -> bool:
        """Whether this gateway's lease still runs."""
        return now <= max(self.renewed_at, self._baseline) + self._timings.lease_s

    def expired(self, known: Collection[str]) -> list[str]:
        """Other gateways, apart from those already known, whose lease has certainly expired."""
        span = self._timings.lease_s * self._timings.clock_drift
        return [
            member
            for member, received_at in self._last_report_at.items()
            if member != self._name and member not in known and self.renewed_at > received_at + span
        ]
