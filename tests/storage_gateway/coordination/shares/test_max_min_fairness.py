"""Progressive filling against linear programs, and its invariants on any network."""

from __future__ import annotations

import hashlib
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from shares_oracle import solve_max_min

from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import Network, allocate
from mallowbeam.storage_gateway.coordination.shares.quota_rows import granted_ratios

RATES = st.integers(0, 500).map(lambda units: units * 1000)


@st.composite
def networks(draw, tenants=5, nodes=4):
    tenant_count, node_count = draw(st.integers(1, tenants)), draw(st.integers(1, nodes))
    zone_count = draw(st.integers(1, 2))
    zones = st.integers(0, zone_count - 1)
    net = Network(
        draw(st.lists(RATES, min_size=node_count, max_size=node_count)),
        draw(st.lists(zones, min_size=node_count, max_size=node_count)),
        draw(st.lists(st.none() | RATES, min_size=zone_count, max_size=zone_count)),
        draw(
            st.lists(st.sampled_from([500, 1000, 2000, 3500]), min_size=tenant_count, max_size=tenant_count)
        ),
        draw(st.lists(st.sampled_from([0, 0, 20_000, 90_000]), min_size=tenant_count, max_size=tenant_count)),
        draw(st.lists(st.none() | RATES, min_size=tenant_count, max_size=tenant_count)),
    )
    demand = draw(st.dictionaries(st.integers(0, tenant_count * node_count - 1), RATES, max_size=12))
    return net, demand


def link_usage(net, rates):
    """The used rate and the bound of each link that has a bound."""
    count = len(net.nodes)
    for position, bound in enumerate(net.nodes):
        yield sum(rate for flow, rate in rates.items() if flow % count == position), bound
    for position, bound in enumerate(net.zones):
        if bound is not None:
            yield sum(rate for flow, rate in rates.items() if net.zone_of[flow % count] == position), bound
    for position, bound in enumerate(net.limits):
        if bound is not None:
            yield sum(rate for flow, rate in rates.items() if flow // count == position), bound


def differs(actual, wanted) -> bool:
    """Whether a rate differs by more than 2 percent, or 30 milli-units for rounding of low rates."""
    return any(abs(actual.get(flow, 0) - rate) > max(0.02 * rate, 30) for flow, rate in wanted.items())


@settings(max_examples=300)
@given(networks())
def test_the_filling_is_what_the_linear_programs_give(case):
    net, demand = case
    assert not differs(allocate(net, demand), solve_max_min(net, demand))


@settings(max_examples=300)
@given(networks(12, 8))
def test_no_sum_is_above_its_link_and_nobody_above_its_demand(case):
    net, demand = case
    rates = allocate(net, demand)
    assert all(used <= bound for used, bound in link_usage(net, rates))
    assert all(0 <= rate <= demand[flow] for flow, rate in rates.items())


@given(networks(), st.randoms(use_true_random=False))
def test_the_order_of_reported_demand_does_not_matter(case, order):
    net, demand = case
    shuffled = list(demand.items())
    order.shuffle(shuffled)
    assert allocate(net, dict(shuffled)) == allocate(net, demand)


@given(networks(), st.data())
def test_more_weight_never_takes_from_its_tenant_at_one_node(case, data):
    net, demand = case
    one = replace(net, nodes=[net.nodes[0]], zone_of=[net.zone_of[0]])
    requested = {flow: d for flow, d in demand.items() if flow < len(net.weights)}
    tenant = data.draw(st.integers(0, len(net.weights) - 1))
    heavier = [weight * 3 if position == tenant else weight for position, weight in enumerate(net.weights)]
    assert (
        allocate(replace(one, weights=heavier), requested).get(tenant, 0)
        >= allocate(one, requested).get(tenant, 0) - 1
    )


@given(networks())
def test_a_reserve_that_fits_is_kept(case):
    net, demand = case
    count = len(net.nodes)
    ample = replace(
        net, nodes=[10**9] * count, zones=[None] * len(net.zones), limits=[None] * len(net.weights)
    )
    floors = allocate(
        replace(ample, weights=net.reserves, limits=list(net.reserves)),
        {flow: d for flow, d in demand.items() if net.reserves[flow // count]},
    )
    if any(used > bound for used, bound in link_usage(net, floors)):
        return  # not all reserves fit this network
    rates = allocate(net, demand)
    assert all(rates.get(flow, 0) >= floor - 2 for flow, floor in floors.items())


def test_a_claim_without_demand_takes_nothing_from_others():
    net = Network([100_000], [0], [None], [1000, 1000], [90_000, 0], [None, None])
    assert allocate(net, {0: 10_000, 1: 200_000}) == {0: 10_000, 1: 90_000}


def test_one_network_by_hand_and_its_digest():
    """Two nodes, one zone: tenant 0 is bounded by its limit, 1 by node 0, 2 gets the rest of the zone."""
    net = Network([60_000, 100_000], [0, 0], [120_000], [1000, 2000, 1000], [0, 0, 0], [15_000, None, None])
    rates = allocate(net, {0: 80_000, 1: 80_000, 2: 80_000, 5: 90_000})
    assert rates[0] == rates[1] == 7_500 and rates[2] == 52_500 and abs(rates[5] - 52_500) <= 1
    text = ",".join(f"{flow}={rate}" for flow, rate in sorted(rates.items()))
    assert hashlib.sha256(text.encode()).hexdigest()[:8] == "1ec9c69e"


@given(st.integers(0, 10**9), st.lists(st.integers(1, 10**7), min_size=1, max_size=60))
def test_parts_of_a_rate_never_add_up_to_more(rate, requested):
    rate = min(rate, sum(requested))
    ratio = granted_ratios({0: rate}, {0: sum(requested)})[0]
    assert rate - len(requested) <= sum(int(part * ratio) for part in requested) <= rate


def test_the_oracle_tells_a_filling_that_forgets_limits_weights_or_reserves():
    """Each broken network is detected by the comparison that the tests above use."""
    net = Network([100_000, 50_000], [0, 0], [None], [1000, 3000, 1000], [0, 0, 60_000], [10_000, None, None])
    demand = {flow: 80_000 for flow in range(6)}
    wanted = solve_max_min(net, demand)
    assert not differs(allocate(net, demand), wanted)
    for broken in (
        replace(net, limits=[None] * 3),
        replace(net, weights=[1000] * 3),
        replace(net, reserves=[0] * 3),
    ):
        assert differs(allocate(broken, demand), wanted)
