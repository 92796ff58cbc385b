"""Several cores on one log: bounds at each moment, and fairness within three epochs of the last change."""

from __future__ import annotations

import pytest
from shares_oracle import lexicographic

from mallowbeam.lab.sharesim import Fleet, totals
from mallowbeam.storage_gateway.coordination.shares.gateway_core import SharesTiming
from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import Network
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    NodeCapacity,
    SharesPolicy,
    TenantShare,
)

T = SharesTiming()
THREE = 3 * T.epoch + 1.5  # three epochs, the window of counting and the words' way
LEASE = T.lease * 1.2 + T.report_timeout

SETUP = SharesPolicy(
    {
        "a": TenantShare(2000),
        "b": TenantShare(1000, reserve=40_000),
        "c": TenantShare(1000, limit=60_000),
        "d": TenantShare(1000),
    },
    {"n0": NodeCapacity(100_000, "x"), "n1": NodeCapacity(80_000, "x"), "n2": NodeCapacity(120_000, "y")},
    {"x": 150_000},
)


def fleet(seed=1, **more) -> Fleet:
    it = Fleet(SETUP, seed=seed, **more)
    it.demand = {
        ("g0", "a", "n0"): 90,
        ("g1", "a", "n1"): 30,
        ("g0", "b", "n0"): 50,
        ("g2", "b", "n2"): 40,
        ("g1", "c", "n0"): 60,
        ("g3", "c", "n2"): 70,
        ("g4", "d", "n1"): 80,
        ("g2", "d", "n2"): 30,
    }
    return it


def wanted(it: Fleet, gone=()) -> dict[tuple[str, str], float]:
    setup = it.setup
    tenants, nodes = sorted(setup.tenants), sorted(setup.nodes)
    zones = sorted({node.zone for node in setup.nodes.values()})
    shares = [setup.tenants[name] for name in tenants]
    net = Network(
        [0 if name in gone else setup.nodes[name].capacity for name in nodes],
        [zones.index(setup.nodes[name].zone) for name in nodes],
        [setup.zones.get(zone) for zone in zones],
        [s.weight for s in shares],
        [s.reserve for s in shares],
        [s.limit for s in shares],
    )
    demand = {
        tenants.index(t) * len(nodes) + nodes.index(n): int(asked * 1000)
        for (t, n), asked in totals(it.demand).items()
    }
    return {
        (tenants[flow // len(nodes)], nodes[flow % len(nodes)]): rate / 1000
        for flow, rate in lexicographic(net, demand).items()
    }


def fair(it: Fleet, gone=()) -> None:
    """Each tenant has its share, within 2%, of which 1% is set aside as floors."""
    served, by = it.served(), {}
    for (tenant, node), rate in wanted(it, gone).items():
        has, should = by.get(tenant, (0.0, 0.0))
        by[tenant] = (has + served.get((tenant, node), 0.0), should + rate)
    for tenant, (has, should) in by.items():
        assert has >= should * 0.98 - 0.1, f"{it.now}: {tenant} has {has} of {should}"


SEEDS = pytest.mark.parametrize("seed", range(4))


@SEEDS
def test_in_peace_everybody_has_its_share_after_three_epochs(seed):
    it = fleet(seed).run(THREE + 1)
    fair(it)
    number = it.state.close_number
    it.run(10)
    fair(it)
    assert it.state.close_number == number  # nothing changed: no epoch


@SEEDS
def test_a_tenants_busiest_gateway_changes_at_one_stroke(seed):
    it = fleet(seed, loss=0.1).run(10)
    it.demand["g3", "a", "n0"] = it.demand.pop(("g0", "a", "n0"))
    fair(it.run(THREE))


@SEEDS
def test_a_gateway_with_a_large_share_is_killed(seed):
    it = fleet(seed).run(10)
    it.kill("g0")
    it.demand = {("g3" if g == "g0" else g, t, n): asked for (g, t, n), asked in it.demand.items()}
    fair(it.run(LEASE + THREE))


@SEEDS
@pytest.mark.parametrize("sides", [("01", "234"), ("0", "123", "4"), ("01", "23", "4")])
def test_the_fleet_is_cut_in_parts(seed, sides):
    it = fleet(seed).run(10)
    it.cut(*sides)
    it.demand["g3", "d", "n0"] = 70
    it.run(12)
    it.cut()
    fair(it.run(LEASE + THREE))


@SEEDS
def test_a_stopped_gateway_does_not_use_its_old_allotment_as_it_wakes(seed):
    it = fleet(seed).run(10)
    it.stop("g0")
    moved = {("g1" if g == "g0" else g, t, n): asked for (g, t, n), asked in it.demand.items()}
    before, it.demand = it.demand, moved
    it.run(LEASE + THREE)
    fair(it)
    it.demand = before
    it.stop("g0", False)
    it.run(0.1)
    assert it.members["g0"].serves["a", "n0"] <= 0.21  # its floor: 1% of 100 over five
    fair(it.run(LEASE + THREE))


@SEEDS
def test_weights_change_while_a_shift_is_under_way(seed):
    it = fleet(seed).run(10)
    it.demand["g3", "a", "n0"] = it.demand.pop(("g0", "a", "n0"))
    it.run(0.6)
    it.push(
        SharesPolicy(
            {**SETUP.tenants, "b": TenantShare(3000, reserve=40_000), "c": TenantShare(500, limit=30_000)},
            SETUP.nodes,
            SETUP.zones,
        )
    )
    fair(it.run(THREE))
    it.run(T.lease * 1.1 + 2)  # from here on the checker holds the new limit
    fair(it.run(1))


@SEEDS
def test_a_lost_nodes_capacity_is_gone_at_once(seed):
    it = fleet(seed).run(10)
    it.node("n0", True)
    it.run(1.2)
    assert it.used()["n:n0"] <= 1.0  # floors
    fair(it.run(THREE), {"n0"})
    it.node("n0", False)
    fair(it.run(THREE))


@SEEDS
def test_a_tenant_that_claims_more_than_it_asks_gains_nothing(seed):
    modest = fleet(seed).run(10)
    claims = {**SETUP.tenants, "d": TenantShare(1000, reserve=100_000)}
    it = Fleet(SharesPolicy(claims, SETUP.nodes, SETUP.zones), seed=seed)
    it.demand = {key: 5 if key[1] == "d" else asked for key, asked in modest.demand.items()}
    it.run(10)
    fair(it)
    assert sum(it.served().get(("d", node), 0) for node in SETUP.nodes) <= 10


@SEEDS
def test_the_leader_changes_in_each_epoch(seed):
    it = fleet(seed).run(8)
    it.demand["g3", "a", "n0"] = it.demand.pop(("g0", "a", "n0"))
    for at in range(9):
        it.leader = f"g{at % 5}"
        it.run(T.epoch / 2)
    fair(it)


@SEEDS
def test_restarts_in_a_row(seed):
    it = fleet(seed).run(10)
    for name in it.names:
        it.kill(name)
        it.run(0.5)
        it.start(name)
        it.run(1.5)
    fair(it.run(LEASE + THREE))


@SEEDS
def test_a_flicker_within_the_band_changes_no_epoch(seed):
    it = fleet(seed).run(10)
    number = it.state.close_number
    for at in range(20):
        it.demand["g0", "a", "n0"] = 90 if at % 3 else 75
        it.run(0.5)
    assert it.state.close_number <= number + 1
