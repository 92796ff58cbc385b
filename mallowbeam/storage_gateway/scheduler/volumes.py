"""Admission limits of one volume: what its plan reserves for it and limits it to.

A volume's limit and reserve are token buckets in units of work.  The limit holds over all hosts: each host
enforces its share of rate, burst and slack.  The reserve counts in full at every host, less what the shards
report of other hosts (design page, "A limit is a price as well" and "Plans in service").
"""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler.interface import Plan

VALUE_MEMORY = 2.0  # seconds: surges come and go within seconds, and so must what they make units worth
RESERVED_BURST = (
    0.5  # fraction of the burst that is kept for units as dear as those that the limit rejected last
)
VolumeKey = tuple[str, str] | tuple[str, str, int]  # volume, plan, and the shard of a separate allotment


def shard_of(key: VolumeKey) -> int | None:
    """The shard of a separate allotment; None for a plan, or for the rest of a volume."""
    _, _, *shard = key
    return shard[0] if shard else None


class Volume:
    """What one volume has used through this host, against its reserve and its limit."""

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
        self.hosts = hosts  # through which its requests come
        self.max_units = max_units
        self.refilled_at = since
        self.plan = Plan("")
        self.limit_share: float | None = None  # of this host; None: one of `hosts`
        self.limit_level = 0.0
        self.reserve_level = self.reserve_cap = 0.0
        self.rejected_value = 0.0  # of a unit that the limit rejected, the highest of late
        self.rejected_at = since
        self.pending_units = 0  # booked and not sent
        self.uploading_units = 0  # charged, while their body is still on its way

    def shares(self) -> float:
        """How many shares as large as this host's the limit has."""
        return self.hosts if self.limit_share is None else 1.0 / max(self.limit_share, 1e-9)

    def change(self, plan: Plan, limit_share: float | None, now: float) -> None:
        """Put the volume on a plan: debts under the plan before stay, and what has grown fills up."""
        self.refill(now)
        slack_before = self.plan.limit_slack / self.shares()
        was_limited = self.plan.limit > 0
        self.plan = plan
        self.limit_share = limit_share
        # Guards the limit: others may just have spent what this share gains, so it starts at the bottom.
        bottom = -plan.limit_slack / self.shares()
        level = self.limit_level + min(0.0, bottom + slack_before)
        self.limit_level = level if was_limited else bottom - self.uploading_units
        self.reserve_cap = plan.reserve + self.max_units if plan.reserve else 0.0
        self.refill(now)

    def refill(self, now: float) -> None:
        """Let both buckets fill up to now."""
        passed = now - self.refilled_at
        self.refilled_at = now
        shares = self.shares()
        plan = self.plan
        self.limit_level = min(
            plan.limit_burst / shares - self.uploading_units, self.limit_level + passed * plan.limit / shares
        )
        self.reserve_level = min(self.reserve_cap, self.reserve_level + passed * plan.reserve)

    def limit_wait(self, now: float, units: int, unit_value: float = 0.0) -> float:
        """Seconds until the limit allows so many more units; cheap units leave part of the burst.

        First come, first served would spend what is scarce on cheap units: while dearer ones were rejected of
        late, `unit_value` (0: not considered) decides.  Harm: the dear may not come, and some is left unused.
        """
        self.refill(now)
        plan = self.plan
        if plan.limit <= 0:
            return 0.0
        is_cheap = 0 < unit_value < self.rejected_value and now < self.rejected_at + VALUE_MEMORY
        shares = self.shares()
        reserved = (RESERVED_BURST * plan.limit_burst if is_cheap else 0.0) - plan.limit_slack
        missing = units + 1e-6 + reserved / shares - self.limit_level
        fits_at_all = units * shares <= plan.limit_burst + plan.limit_slack
        if missing > 0 and unit_value > 0 and not is_cheap and fits_at_all:
            self.rejected_value = unit_value
            self.rejected_at = now
        return max(0.0, missing * shares / plan.limit)

    def report_remote_units(self, units: int) -> None:
        """Take what other hosts used off the reserve, down to as much below zero as it may hold."""
        self.reserve_level = max(-self.reserve_cap, self.reserve_level - units)
