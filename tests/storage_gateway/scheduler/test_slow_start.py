"""Nodes that have just started: what they get, from one host and from all."""

from __future__ import annotations

import pytest
from scheduler_rig import COLD, Rig, of

from mallowbeam.storage_gateway.scheduler.interface import (
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    NodeEntry,
    Outcome,
    Send,
)


def cold_share(plan: str, age: float, since: float | None = 999.9) -> int:
    """How many of forty requests one of many hosts sends a node that started so long ago."""
    rig = Rig(nodes=0, now=1000.0, **(COLD | {"hosts": 112, "overload_multiple": 3.0}))
    rig.step(
        DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, zone="a", started_at=since)])
    )
    rig.wait(age)
    sent = 0
    for i in range(40):
        request = rig.request(units=1, plan=plan, key=f"{i * 2654435769 % 2 ** 32:016x}")
        for send in of(rig.step(request, after=0.05), Send):
            sent += 1
            rig.step(rig.ended(send), after=0.02)
    return sent


@pytest.mark.parametrize("since", [999.9, None])
def test_a_cold_node_gets_a_part_of_what_is_inside_reserves(since):
    """Incident iaa0fd1: with 112 hosts a cold node's certain budget is under a unit each, so it idled."""
    assert 5 <= cold_share("gold", 0.0, since) <= 20
    assert cold_share("gold", 0.0, since) < cold_share("gold", 5.0, since)
    assert 0 < cold_share("silver", 0.0, since) < cold_share("gold", 0.0, since)


@pytest.mark.parametrize(
    ("hosts", "age", "least", "most"), [(1, 0.0, 12, 13), (4, 0.0, 3, 7), (1, 4.5, 20, 40)]
)
def test_a_cold_node_gets_each_hosts_even_part_of_what_it_always_bears(hosts, age, least, most):
    """Guards against an idle node: units beyond reserves were barred for the whole time that it was cold."""
    rig = Rig(nodes=0, now=1000.0, **(COLD | {"hosts": hosts, "overload_multiple": 3.0}))
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, started_at=1000.0)]))
    rig.wait(age)
    sent = 0
    for _ in range(60):  # within less than the rule's window
        for send in of(rig.step(rig.request(units=1, plan="silver"), after=0.02), Send):
            sent += 1
            rig.step(rig.ended(send), after=0.005)
    assert least <= sent <= most


def test_one_hosts_surge_at_a_cold_node_is_bounded():
    """Guards against a flare that comes through one host: its part by key alone would tip the node."""
    rig = Rig(nodes=0, now=1000.0, **(COLD | {"hosts": 40}))
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, started_at=1000.0)]))
    sent = 0
    for _ in range(200):  # within half of the rule's window
        for send in of(rig.step(rig.request(units=1, plan="silver"), after=0.0045), Send):
            sent += 1
            rig.step(rig.ended(send))
    assert 4 <= sent <= 24.0 / 4


def test_a_fleet_uses_a_zone_that_returns_cold_and_does_not_push_it_over():
    """Guards against both: 40 hosts with under a unit each left it idle, all they have would tip it.

    A node of 20 units a second at full; the fleet asks for twice that in reads beyond reserves.
    """
    hosts, full, sent = 40, 20.0, []
    settings = {
        "slow_start_units": 14.0,
        "slow_start_capacity": 0.18,
        "slow_start_time": 17.0,
        "overload_multiple": 4.0,
        "overload_window": 3.0,
    }
    rigs = [Rig(nodes=0, now=1000.0, hosts=hosts, seed=n, **settings) for n in range(hosts)]
    for rig in rigs:
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, started_at=1000.0)]))
    for turn in range(240):  # 6 s, a request of 1 unit each 25 ms: 40 a second
        rig = rigs[turn % hosts]
        rig.wait(1000.0 + turn * 0.025 - rig.now)
        for send in of(rig.step(rig.request(units=1, plan="silver", key=f"{turn:016x}")), Send):
            sent.append(turn * 0.025)
            rig.step(rig.ended(send, latency=0.2))
    for first in (0.0, 1.0, 2.0, 3.0):
        least = full * (0.18 + 0.82 * first / 17.0)
        part = sum(first <= at < first + 3.0 for at in sent) / 3.0
        assert 0.4 * least < part < 4.0 * least, "it serves, and nowhere near what tips it"


@pytest.mark.parametrize("told", [True, False])
def test_a_start_that_the_list_tells_ends_the_trickle(told):
    """Guards against a zone that is back: each host barred it until a trickle of its own got through."""
    rig = Rig(now=1000.0, **(COLD | {"hosts": 40}))
    for _ in range(4):
        for send in of(rig.step(rig.request(plan="gold", units=1)), Send):
            rig.step(rig.ended(send, Outcome.NO_CONNECTION))
    assert rig.host.state.nodes["n0"].suspect
    since = 999.9 if told else None
    rig.step(
        DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, zone="a", started_at=since)])
    )
    assert rig.host.state.nodes["n0"].suspect is not told


def test_repeats_of_a_request_fare_alike_at_a_cold_node():
    """A client's tries must not add up to more chances, or retries would fill a cold node."""
    rig = Rig(now=1000.0, **COLD)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, started_at=999.9)]))
    fates = []
    for key in ("a", "b", "c", "d"):
        tries = [of(rig.step(rig.request("log", key=key, units=1), after=0.05), Send) for _ in range(4)]
        fates.append({bool(sends) for sends in tries})
    assert all(len(fate) == 1 for fate in fates) and {False} in fates


@pytest.mark.parametrize(("outcome", "count"), [(Outcome.NO_CONNECTION, 1), (Outcome.RESET, 3)])
def test_single_broken_connections_close_no_node(outcome, count):
    """Guards a node that answers between them: it was held cold for seconds after each."""
    rig = Rig(**COLD)
    for _ in range(4):
        send = of(rig.step(rig.request(units=1)), Send)[0]
        for attempt in range(count):
            send = of(rig.step(rig.ended(send, outcome, attempt), after=0.01), Send)[0]
        rig.step(rig.ended(send, attempt=count), after=0.01)
        assert of(rig.step(rig.request(plan="silver", volume="s")), Send)


@pytest.mark.parametrize("outcome", [Outcome.NO_CONNECTION, Outcome.RESET])
def test_a_node_not_reached_is_taken_for_cold_until_the_list_tells(outcome):
    """Incident ibf7f54: nodes came back before the list said so, and all hosts at once pushed them over."""
    rig = Rig(nodes=3, **COLD)
    count = {Outcome.NO_CONNECTION: 2, Outcome.RESET: 6}[outcome]
    *broken, last = [of(rig.step(rig.request(units=1)), Send)[0] for _ in range(count + 1)]
    rig.step(*[rig.ended(send, outcome) for send in broken], after=0.01)
    rig.step(rig.ended(last), after=0.3)
    assert not of(rig.step(rig.request(plan="silver", volume="s")), Send)
    rig.wait(4.0)
    assert of(rig.step(rig.request(plan="silver", volume="s")), Send)
