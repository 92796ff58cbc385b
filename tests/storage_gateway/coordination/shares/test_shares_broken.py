"""The checker of the shares' simulation finds what is broken on purpose."""

from __future__ import annotations

import pytest
from test_shares_fleet import SETUP, fleet

from mallowbeam.storage_gateway.coordination.quota_transfer import QuotaTransfer
from mallowbeam.storage_gateway.coordination.shares.gateway_core import SharesCore
from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesPolicy, TenantShare


class GrowsAtOnce(SharesCore):
    """Uses the newest target without waiting for those that lose."""

    def __post_init__(self):
        super().__post_init__()
        self.transfer.__class__ = Hasty


class Hasty(QuotaTransfer):
    def usable(self, resource, now):
        row, floor = self.rows.get(resource, {}), self.floor(resource, self.me)
        return row.get(self.me, floor) if self.has_lease(now) else floor


class ForgetsTheLease(SharesCore):
    """Takes its allotments for good."""

    def __post_init__(self):
        super().__post_init__()
        self.transfer.__class__ = Lasting


class Lasting(QuotaTransfer):
    def has_lease(self, now):
        return self.renewed_at > float("-inf")


class WakesWithItsOld(SharesCore):
    """Looks at its lease only when it ticks."""

    def observed(self, tenant, node, units, now):
        self.had_lease = False
        return super().observed(tenant, node, units, now)


class ReleasesFirst(SharesCore):
    """Says that it has shrunk, and shrinks a second later."""

    since = float("-inf")

    def _allotment_changes(self, now):
        if now < type(self).since + 1.0:
            return []
        return super()._allotment_changes(now)

    def committed(self, told, now):
        if told.state.close_number != self.close_number:
            type(self).since = now
        return super().committed(told, now)


def shift(it):
    """The busiest gateway changes, twice."""
    it.run(10)
    it.demand["g3", "a", "n0"] = it.demand.pop(("g0", "a", "n0"))
    it.run(5)
    it.demand["g0", "a", "n0"] = it.demand.pop(("g3", "a", "n0"))
    it.run(5)


def cut(it):
    """The one with a large share is cut off, and others take over."""
    it.run(10)
    it.cut("0", "1234")
    it.demand["g3", "a", "n0"] = 90
    it.run(15)


def sleep(it):
    """The same, stopped, and awake again."""
    it.run(10)
    it.stop("g0")
    it.demand["g3", "a", "n0"] = 90
    it.run(15)
    it.stop("g0", False)
    it.run(1)


CASES = [(GrowsAtOnce, shift), (ForgetsTheLease, cut), (WakesWithItsOld, sleep), (ReleasesFirst, shift)]


@pytest.mark.parametrize(("kind", "what"), CASES)
def test_what_is_broken_on_purpose_is_found(kind, what):
    def over() -> bool:
        for seed in range(6):
            it = fleet(seed, core=kind)
            try:
                what(it)
            except AssertionError as error:
                assert "allowed" in str(error)
                return True
        return False

    assert over()


@pytest.mark.parametrize("what", [shift, cut, sleep])
def test_the_same_without_the_fault_is_clean(what):
    for seed in range(3):
        what(fleet(seed))


def test_a_bound_that_falls_is_held_after_the_lease():
    it = fleet(1).run(10)
    it.push(SharesPolicy({**SETUP.tenants, "c": TenantShare(1000, limit=20_000)}, SETUP.nodes, SETUP.zones))
    it.run(8)
    assert it.used()["t:c"] <= 20.0
