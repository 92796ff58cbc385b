"""Several cores on one log: bounds hold at any time, and shares are fair three epochs after a change."""

from __future__ import annotations

import pytest
from shares_oracle import solve_max_min

from mallowbeam.lab.sharesim import Fleet, totals
from mallowbeam.storage_gateway.coordination.shares.gateway_core import SharesTiming
from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import Network
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    NodeCapacity,
    SharesPolicy,
    TenantShare,
)

TIMING = SharesTiming()
THREE_EPOCHS_S = 3 * TIMING.epoch + 1.5  # three epochs, the measuring window and message delays
LEASE_EXPIRY_S = TIMING.lease * 1.2 + TIMING.report_timeout

POLICY = SharesPolicy(
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
    simulation = Fleet(POLICY, seed=seed, **more)
    simulation.demand = {
        ("g0", "a", "n0"): 90,
        ("g1", "a", "n1"): 30,
        ("g0", "b", "n0"): 50,
        ("g2", "b", "n2"): 40,
        ("g1", "c", "n0"): 60,
        ("g3", "c", "n2"): 70,
        ("g4", "d", "n1"): 80,
        ("g2", "d", "n2"): 30,
    }
    return simulation


def fair_rates(simulation: Fleet, lost_nodes=()) -> dict[tuple[str, str], float]:
    policy = simulation.setup
    tenants, nodes = sorted(policy.tenants), sorted(policy.nodes)
    zones = sorted({node.zone for node in policy.nodes.values()})
    shares = [policy.tenants[name] for name in tenants]
    net = Network(
        [0 if name in lost_nodes else policy.nodes[name].capacity for name in nodes],
        [zones.index(policy.nodes[name].zone) for name in nodes],
        [policy.zones.get(zone) for zone in zones],
        [s.weight for s in shares],
        [s.reserve for s in shares],
        [s.limit for s in shares],
    )
    demand = {
        tenants.index(t) * len(nodes) + nodes.index(n): int(requested * 1000)
        for (t, n), requested in totals(simulation.demand).items()
    }
    return {
        (tenants[flow // len(nodes)], nodes[flow % len(nodes)]): rate / 1000
        for flow, rate in solve_max_min(net, demand).items()
    }


def assert_fair(simulation: Fleet, lost_nodes=()) -> None:
    """Check that each tenant has its share within 2%, of which 1% is set aside as floors."""
    served, rates_by_tenant = simulation.served(), {}
    for (tenant, node), rate in fair_rates(simulation, lost_nodes).items():
        actual, expected = rates_by_tenant.get(tenant, (0.0, 0.0))
        rates_by_tenant[tenant] = (actual + served.get((tenant, node), 0.0), expected + rate)
    for tenant, (actual, expected) in rates_by_tenant.items():
        assert actual >= expected * 0.98 - 0.1, f"{simulation.now}: {tenant} has {actual} of {expected}"


EACH_SEED = pytest.mark.parametrize("seed", range(4))


@EACH_SEED
def test_without_faults_all_have_their_shares_after_three_epochs(seed):
    simulation = fleet(seed).run(THREE_EPOCHS_S + 1)
    assert_fair(simulation)
    number = simulation.state.close_number
    simulation.run(10)
    assert_fair(simulation)
    assert simulation.state.close_number == number  # nothing changed: no epoch


@EACH_SEED
def test_a_tenants_busiest_gateway_changes_at_once(seed):
    simulation = fleet(seed, loss=0.1).run(10)
    simulation.demand["g3", "a", "n0"] = simulation.demand.pop(("g0", "a", "n0"))
    assert_fair(simulation.run(THREE_EPOCHS_S))


@EACH_SEED
def test_a_gateway_with_a_large_share_is_killed(seed):
    simulation = fleet(seed).run(10)
    simulation.kill("g0")
    simulation.demand = {
        ("g3" if g == "g0" else g, t, n): requested for (g, t, n), requested in simulation.demand.items()
    }
    assert_fair(simulation.run(LEASE_EXPIRY_S + THREE_EPOCHS_S))


@EACH_SEED
@pytest.mark.parametrize("sides", [("01", "234"), ("0", "123", "4"), ("01", "23", "4")])
def test_the_fleet_is_partitioned(seed, sides):
    simulation = fleet(seed).run(10)
    simulation.cut(*sides)
    simulation.demand["g3", "d", "n0"] = 70
    simulation.run(12)
    simulation.cut()
    assert_fair(simulation.run(LEASE_EXPIRY_S + THREE_EPOCHS_S))


@EACH_SEED
def test_a_stopped_gateway_does_not_use_its_old_allotment_as_it_wakes(seed):
    simulation = fleet(seed).run(10)
    simulation.stop("g0")
    moved_demand = {
        ("g1" if g == "g0" else g, t, n): requested for (g, t, n), requested in simulation.demand.items()
    }
    before, simulation.demand = simulation.demand, moved_demand
    simulation.run(LEASE_EXPIRY_S + THREE_EPOCHS_S)
    assert_fair(simulation)
    simulation.demand = before
    simulation.stop("g0", False)
    simulation.run(0.1)
    assert simulation.members["g0"].serves["a", "n0"] <= 0.21  # its floor: 1% of 100 over five
    assert_fair(simulation.run(LEASE_EXPIRY_S + THREE_EPOCHS_S))


@EACH_SEED
def test_weights_change_while_a_shift_is_under_way(seed):
    simulation = fleet(seed).run(10)
    simulation.demand["g3", "a", "n0"] = simulation.demand.pop(("g0", "a", "n0"))
    simulation.run(0.6)
    simulation.push(
        SharesPolicy(
            {**POLICY.tenants, "b": TenantShare(3000, reserve=40_000), "c": TenantShare(500, limit=30_000)},
            POLICY.nodes,
            POLICY.zones,
        )
    )
    assert_fair(simulation.run(THREE_EPOCHS_S))
    simulation.run(TIMING.lease * 1.1 + 2)  # from here on the checker enforces the new limit
    assert_fair(simulation.run(1))


@EACH_SEED
def test_a_lost_nodes_capacity_is_gone_at_once(seed):
    simulation = fleet(seed).run(10)
    simulation.node("n0", True)
    simulation.run(1.2)
    assert simulation.used()["n:n0"] <= 1.0  # floors
    assert_fair(simulation.run(THREE_EPOCHS_S), {"n0"})
    simulation.node("n0", False)
    assert_fair(simulation.run(THREE_EPOCHS_S))


@EACH_SEED
def test_a_tenant_that_claims_more_than_it_asks_gains_nothing(seed):
    modest = fleet(seed).run(10)
    claiming_tenants = {**POLICY.tenants, "d": TenantShare(1000, reserve=100_000)}
    simulation = Fleet(SharesPolicy(claiming_tenants, POLICY.nodes, POLICY.zones), seed=seed)
    simulation.demand = {key: 5 if key[1] == "d" else requested for key, requested in modest.demand.items()}
    simulation.run(10)
    assert_fair(simulation)
    assert sum(simulation.served().get(("d", node), 0) for node in POLICY.nodes) <= 10


@EACH_SEED
def test_the_leader_changes_in_each_epoch(seed):
    simulation = fleet(seed).run(8)
    simulation.demand["g3", "a", "n0"] = simulation.demand.pop(("g0", "a", "n0"))
    for at in range(9):
        simulation.leader = f"g{at % 5}"
        simulation.run(TIMING.epoch / 2)
    assert_fair(simulation)


@EACH_SEED
def test_restarts_in_a_row(seed):
    simulation = fleet(seed).run(10)
    for name in simulation.names:
        simulation.kill(name)
        simulation.run(0.5)
        simulation.start(name)
        simulation.run(1.5)
    assert_fair(simulation.run(LEASE_EXPIRY_S + THREE_EPOCHS_S))


@EACH_SEED
def test_a_flicker_within_the_band_changes_no_epoch(seed):
    simulation = fleet(seed).run(10)
    number = simulation.state.close_number
    for at in range(20):
        simulation.demand["g0", "a", "n0"] = 90 if at % 3 else 75
        simulation.run(0.5)
    assert simulation.state.close_number <= number + 1
