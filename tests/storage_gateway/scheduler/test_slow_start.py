"""Slow start: the work that a warming node gets from one host and from a fleet."""

from __future__ import annotations

import pytest
from scheduler_rig import SLOW_START_SETTINGS, Rig, of

from mallowbeam.storage_gateway.scheduler.interface import (
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    NodeEntry,
    Outcome,
    Send,
)


def sent_while_warming(plan: str, age: float, since: float | None = 999.9) -> int:
    """How many of 40 requests one of 112 hosts sends to a node `age` seconds after it was listed."""
    rig = Rig(nodes=0, now=1000.0, **(SLOW_START_SETTINGS | {"hosts": 112, "overload_multiple": 3.0}))
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
def test_a_warming_node_gets_a_sample_of_the_requests_within_reserves(since):
    """With 112 hosts the even share is below one unit per host, so the node idled (incident iaa0fd1)."""
    assert 5 <= sent_while_warming("gold", 0.0, since) <= 20
    assert sent_while_warming("gold", 0.0, since) < sent_while_warming("gold", 5.0, since)
    assert 0 < sent_while_warming("silver", 0.0, since) < sent_while_warming("gold", 0.0, since)


@pytest.mark.parametrize(
    ("hosts", "age", "least", "most"), [(1, 0.0, 12, 13), (4, 0.0, 3, 7), (1, 4.5, 20, 40)]
)
def test_a_warming_node_gets_each_hosts_even_share_of_its_budget(hosts, age, least, most):
    """Units beyond reserves were blocked for the whole warm-up, which left the node idle."""
    rig = Rig(nodes=0, now=1000.0, **(SLOW_START_SETTINGS | {"hosts": hosts, "overload_multiple": 3.0}))
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, started_at=1000.0)]))
    rig.wait(age)
    sent = 0
    for _ in range(60):  # in less than the overload window
        for send in of(rig.step(rig.request(units=1, plan="silver"), after=0.02), Send):
            sent += 1
            rig.step(rig.ended(send), after=0.005)
    assert least <= sent <= most


def test_one_hosts_surge_at_a_cold_node_is_bounded():
    """In a surge through one host, the sample by key alone would overload the node."""
    rig = Rig(nodes=0, now=1000.0, **(SLOW_START_SETTINGS | {"hosts": 40}))
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, started_at=1000.0)]))
    sent = 0
    for _ in range(200):  # within half of the overload window
        for send in of(rig.step(rig.request(units=1, plan="silver"), after=0.0045), Send):
            sent += 1
            rig.step(rig.ended(send))
    assert 4 <= sent <= 24.0 / 4


def test_a_fleet_uses_a_restarted_zone_without_overloading_it():
    """With 40 hosts, even shares below one unit left the node idle; all of the demand would overload it.

    The node's full capacity is 20 units a second; the demand is twice that in reads beyond reserves.
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
        assert 0.4 * least < part < 4.0 * least, "it serves, far below its overload"


@pytest.mark.parametrize("listed", [True, False])
def test_a_start_time_in_a_list_ends_the_trial_requests(listed):
    """Each host otherwise avoids a restarted zone until a trial request of its own succeeds."""
    rig = Rig(now=1000.0, **(SLOW_START_SETTINGS | {"hosts": 40}))
    for _ in range(4):
        for send in of(rig.step(rig.request(plan="gold", units=1)), Send):
            rig.step(rig.ended(send, Outcome.NO_CONNECTION))
    assert rig.host.state.nodes["n0"].suspect
    since = 999.9 if listed else None
    rig.step(
        DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, zone="a", started_at=since)])
    )
    assert rig.host.state.nodes["n0"].suspect is not listed


def test_retries_of_a_request_get_the_same_decision_at_a_warming_node():
    """A client's retries must not raise its chance, or they would fill a warming node."""
    rig = Rig(now=1000.0, **SLOW_START_SETTINGS)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, started_at=999.9)]))
    outcomes = []
    for key in ("a", "b", "c", "d"):
        attempts = [of(rig.step(rig.request("log", key=key, units=1), after=0.05), Send) for _ in range(4)]
        outcomes.append({bool(sends) for sends in attempts})
    assert all(len(outcome) == 1 for outcome in outcomes) and {False} in outcomes


@pytest.mark.parametrize(("outcome", "count"), [(Outcome.NO_CONNECTION, 1), (Outcome.RESET, 3)])
def test_single_broken_connections_close_no_node(outcome, count):
    """A node that answers in between was treated as warming up for seconds after each."""
    rig = Rig(**SLOW_START_SETTINGS)
    for _ in range(4):
        send = of(rig.step(rig.request(units=1)), Send)[0]
        for attempt in range(count):
            send = of(rig.step(rig.ended(send, outcome, attempt), after=0.01), Send)[0]
        rig.step(rig.ended(send, attempt=count), after=0.01)
        assert of(rig.step(rig.request(plan="silver", volume="s")), Send)


@pytest.mark.parametrize("outcome", [Outcome.NO_CONNECTION, Outcome.RESET])
def test_an_unreachable_node_is_treated_as_warming_up_until_a_list_can_tell(outcome):
    """Nodes restarted before the list said so, and all hosts together overloaded them (incident ibf7f54)."""
    rig = Rig(nodes=3, **SLOW_START_SETTINGS)
    count = {Outcome.NO_CONNECTION: 2, Outcome.RESET: 6}[outcome]
    *broken, last = [of(rig.step(rig.request(units=1)), Send)[0] for _ in range(count + 1)]
    rig.step(*[rig.ended(send, outcome) for send in broken], after=0.01)
    rig.step(rig.ended(last), after=0.3)
    assert not of(rig.step(rig.request(plan="silver", volume="s")), Send)
    rig.wait(4.0)
    assert of(rig.step(rig.request(plan="silver", volume="s")), Send)
