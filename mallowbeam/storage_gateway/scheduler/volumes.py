"""Admission limits of one volume: the reserve and the limit of its plan.

A volume's limit and reserve are token buckets in units of work.  The limit applies over all hosts: each host
enforces its share of rate, burst and slack.  The reserve applies in full at every host, less the use through
other hosts that the shards report (design page, "A limit is a price as well" and "Plans in service").
"""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler.interface import Plan

VALUE_MEMORY_S = 2.0  # seconds; surges come and go within seconds, and so must their effect on prices
RESERVED_BURST_FRACTION = 0.5  # of the burst: kept for units as valuable as those the limit rejected last
# Volume, plan, and the shard of a separate allotment.
VolumeKey = tuple[str, str] | tuple[str, str, int]


def shard_of(key: VolumeKey) -> int | None:
    """The shard of a separate allotment; None for a plan, or for a volume's other requests."""
    _, _, *shard = key
    return shard[0] if shard else None


class Volume:
    """One volume's use of its reserve and its limit through this host."""

    __slots__ = (
        "hosts",
        "key",
        "limit_level",
        "limit_share",
        "max_units",
        "pending_units",
        "plan",
        "refilled_at",
        "rejected_at",
        "rejected_value",
        "reserve_cap",
        "reserve_level",
        "uploading_units",
    )

    def __init__(self, key: VolumeKey, hosts: int, max_units: int, since: float) -> None:
        self.key = key
        self.hosts = hosts  # number of hosts that receive its requests
        self.max_units = max_units
        self.refilled_at = since
        self.plan = Plan("")
        self.limit_share: float | None = None  # of this host; None: 1 / `hosts`
        self.limit_level = 0.0
        self.reserve_level = self.reserve_cap = 0.0
        # Highest recent unit value that the limit rejected.
        self.rejected_value = 0.0
        self.rejected_at = since
        self.pending_units = 0  # booked, not yet sent
        self.uploading_units = 0  # charged, while the body is still being sent

    def share_count(self) -> float:
        """The limit divided by this host's share of it."""
        return self.hosts if self.limit_share is None else 1.0 / max(self.limit_share, 1e-9)

    def set_plan(self, plan: Plan, limit_share: float | None, now: float) -> None:
        """Apply a plan: debts under the previous plan remain, and added capacity fills at the plan's rate."""
        self.refill(now)
        slack_before = self.plan.limit_slack / self.share_count()
        was_limited = self.plan.limit > 0
        self.plan = plan
        self.limit_share = limit_share
        # Slack that this share gains starts empty: the host that lost it may just have spent it.
        bottom = -plan.limit_slack / self.share_count()
        level = self.limit_level + min(0.0, bottom + slack_before)
        self.limit_level = level if was_limited else bottom - self.uploading_units
        self.reserve_cap = plan.reserve + self.max_units if plan.reserve else 0.0
        self.refill(now)

    def refill(self, now: float) -> None:
        """Refill both buckets up to now."""
        passed = now - self.refilled_at
        self.refilled_at = now
        share_count = self.share_count()
        plan = self.plan
        self.limit_level = min(
            plan.limit_burst / share_count - self.uploading_units,
            self.limit_level + passed * plan.limit / share_count,
        )
        self.reserve_level = min(self.reserve_cap, self.reserve_level + passed * plan.reserve)

    def limit_wait(self, now: float, units: int, unit_value: float = 0.0) -> float:
        """Seconds until the limit admits so many more units; less valuable units leave part of the burst.

        In order of arrival, a scarce limit would be spent on less valuable units.  So while more valuable
        units were rejected recently, units of a lower `unit_value` (0: not considered) leave part of the
        burst to them.  The cost: if no such units follow, that part stays unused.
        """
        self.refill(now)
        plan = self.plan
        if plan.limit <= 0:
            return 0.0
        is_cheap = 0 < unit_value < self.rejected_value and now < self.rejected_at + VALUE_MEMORY_S
        share_count = self.share_count()
        reserved = (RESERVED_BURST_FRACTION * plan.limit_burst if is_cheap else 0.0) - plan.limit_slack
        missing = units + 1e-6 + reserved / share_count - self.limit_level
        fits_at_all = units * share_count <= plan.limit_burst + plan.limit_slack
        if missing > 0 and unit_value > 0 and not is_cheap and fits_at_all:
            self.rejected_value = unit_value
            self.rejected_at = now
        return max(0.0, missing * share_count / plan.limit)

    def deduct_remote_units(self, units: int) -> None:
        """Deduct units used through other hosts from the reserve, down to minus its maximum."""
        self.reserve_level = max(-self.reserve_cap, self.reserve_level - units)
