"""The checker of the shares' simulation detects broken variants of the core."""

from __future__ import annotations

import pytest
from test_shares_fleet import POLICY, fleet

from mallowbeam.storage_gateway.coordination.quota_transfer import QuotaTransfer
from mallowbeam.storage_gateway.coordination.shares.gateway_core import SharesCore
from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesPolicy, TenantShare


class GrowsAtOnce(SharesCore):
    """Uses the newest target without waiting for the releases of others."""

    def __post_init__(self):
        super().__post_init__()
        self.transfer.__class__ = GrowsWithoutWaiting


class GrowsWithoutWaiting(QuotaTransfer):
    def usable(self, resource, now):
        row, floor = self.rows.get(resource, {}), self.floor(resource, self.me)
        return row.get(self.me, floor) if self.has_lease(now) else floor


class IgnoresItsLease(SharesCore):
    """Keeps its allotments after its lease has expired."""

    def __post_init__(self):
        super().__post_init__()
        self.transfer.__class__ = NeverExpires


class NeverExpires(QuotaTransfer):
    def has_lease(self, now):
        return self.renewed_at > float("-inf")


class ChecksItsLeaseInTicksOnly(SharesCore):
    """Checks its lease in ticks only."""

    def observed(self, tenant, node, units, now):
        self.had_lease = False
        return super().observed(tenant, node, units, now)


class ReleasesTooSoon(SharesCore):
    """Releases quota one second before it lowers its allotments."""

    last_close_at = float("-inf")

    def _allotment_changes(self, now):
        if now < type(self).last_close_at + 1.0:
            return []
        return super()._allotment_changes(now)

    def committed(self, committed, now):
        if committed.state.close_number != self.close_number:
            type(self).last_close_at = now
        return super().committed(committed, now)


def move_load(simulation):
    """Move the load of the busiest gateway to another one and back."""
    simulation.run(10)
    simulation.demand["g3", "a", "n0"] = simulation.demand.pop(("g0", "a", "n0"))
    simulation.run(5)
    simulation.demand["g0", "a", "n0"] = simulation.demand.pop(("g3", "a", "n0"))
    simulation.run(5)


def partition(simulation):
    """Partition the gateway with a large share, and move its load to others."""
    simulation.run(10)
    simulation.cut("0", "1234")
    simulation.demand["g3", "a", "n0"] = 90
    simulation.run(15)


def stop_and_resume(simulation):
    """The same with the gateway stopped and resumed."""
    simulation.run(10)
    simulation.stop("g0")
    simulation.demand["g3", "a", "n0"] = 90
    simulation.run(15)
    simulation.stop("g0", False)
    simulation.run(1)


CASES = [
    (GrowsAtOnce, move_load),
    (IgnoresItsLease, partition),
    (ChecksItsLeaseInTicksOnly, stop_and_resume),
    (ReleasesTooSoon, move_load),
]


@pytest.mark.parametrize(("kind", "scenario"), CASES)
def test_broken_variants_are_detected(kind, scenario):
    def fails() -> bool:
        for seed in range(6):
            simulation = fleet(seed, core=kind)
            try:
                scenario(simulation)
            except AssertionError as error:
                assert "allowed" in str(error)
                return True
        return False

    assert fails()


@pytest.mark.parametrize("scenario", [move_load, partition, stop_and_resume])
def test_the_same_without_the_fault_is_clean(scenario):
    for seed in range(3):
        scenario(fleet(seed))


def test_a_bound_that_falls_is_held_after_the_lease():
    simulation = fleet(1).run(10)
    simulation.push(
        SharesPolicy({**POLICY.tenants, "c": TenantShare(1000, limit=20_000)}, POLICY.nodes, POLICY.zones)
    )
    simulation.run(8)
    assert simulation.used()["t:c"] <= 20.0
