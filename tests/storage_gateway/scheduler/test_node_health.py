"""Which nodes get new work: time-outs, failures, lists, operators, and how discovery is called."""

from __future__ import annotations

from heapq import heappop, heappush

import pytest
from discovery_queue import DiscoveryQueue
from scheduler_rig import COLD, Rig, fill, of

from mallowbeam.storage_gateway.scheduler.interface import (
    Action,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    NodeEntry,
    NodeState,
    OperatorOverride,
    Outcome,
    Reject,
    Send,
    StreamStarted,
    WatchNodes,
)


def test_a_silent_node_refuses_early_and_recovers():
    rig = Rig()
    first = of(rig.step(rig.request(), rig.request()), Send)[0]
    rig.wait(0.7)
    actions = rig.step(*[rig.request() for _ in range(10)])
    assert len(of(actions, Reject)) >= 8, "only a trickle goes to a node that answers nothing"
    rig.step(rig.ended(first), *[rig.ended(send) for send in of(actions, Send)])
    for attempt in list(rig.host.state.nodes["n0"].in_flight.values()):
        rig.step(rig.ended(Send(attempt.request.id, "n0"), Outcome.CANCELLED, attempt.number))
    assert of(rig.step(rig.request()), Send)


def test_one_slow_answer_does_not_close_a_node():
    rig = Rig()
    for latency in [0.05] * 20 + [0.35]:
        send = of(rig.step(rig.request()), Send)[0]
        rig.step(rig.ended(send), after=latency)
    assert of(rig.step(rig.request()), Send)


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.REMOVED])
def test_nothing_new_goes_to_a_node_that_leaves(state):
    rig = Rig(nodes=1)
    rig.step(*[rig.request() for _ in range(12)])
    actions = rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", state)]))
    actions += rig.step(rig.request()) + rig.wait(2)
    assert not of(actions, Send)
    assert of(actions, Reject)


def test_a_node_missing_from_a_full_list_is_gone():
    rig = Rig(nodes=2)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.FULL, 2, [NodeEntry("n1", shard=1)]))
    assert of(rig.step(rig.request()), Reject)


def test_on_request_discovery_is_watched_and_asked_again_after_a_failure():
    rig = Rig(discovery_on_request=True, max_list_age=10.0)
    assert of(rig.first, WatchNodes)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.FAILED))
    assert len(of(rig.wait(1.0), WatchNodes)) == 1


def test_one_costly_request_does_not_close_a_node():
    """Quiet days: a lone request of many times the usual work made its node look silent."""
    rig = Rig()
    rig.step(rig.request("log", units=8))
    rig.wait(0.39)
    assert not rig.host.state.nodes["n0"].suspect
    assert not of(rig.step(rig.request("log", units=1)), Reject)


def test_a_cut_connection_puts_a_node_on_a_trickle():
    rig = Rig()
    sends = fill(rig, units=1)
    rig.step(*[rig.ended(send, Outcome.NO_CONNECTION) for send in sends[:2]])
    assert rig.host.state.nodes["n0"].suspect
    assert len(of(rig.wait(0.24), Send)) <= 1


def test_discovery_is_asked_again_within_seconds_however_often_it_failed():
    """Guards drains: they count as told a few seconds later, whether word of them came or not."""
    rig = Rig(discovery_on_request=True)
    for _ in range(2000):  # no overflow either, however long discovery is down
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.FAILED))
        assert of(rig.wait(1.5), WatchNodes)


def test_new_objects_keep_away_from_a_node_that_fails_at_once():
    """Guards against a node that answers everything with an error: always idle, it drew all new objects."""
    rig = Rig(nodes=2, max_attempts=4)
    for _ in range(3):  # reads must go there, and are tried again
        sends = of(rig.step(rig.request(units=1, shard=0)), Send)
        for attempt in range(4):
            sends = of(rig.step(rig.ended(sends[0], Outcome.ERROR, attempt), after=0.001), Send)
    assert rig.host.state.nodes["n0"].failing
    assert rig.host.state.nodes["n0"].cycle_units < 12, "what fails at once takes no slot"
    sends = [of(rig.step(rig.request("log", units=1, shard=None, volume="w")), Send) for _ in range(4)]
    assert {send.node for sent in sends for send in sent} == {"n1"}
    while rig.host.state.nodes["n0"].failing:
        (send,) = of(rig.step(rig.request(units=1, shard=0)), Send)
        rig.step(rig.ended(send), after=0.05)


def test_what_a_silence_taught_is_soon_forgotten():
    """Townsville rough-1: attempts cancelled at nodes cut off taught them a latency that outlived the cut."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    sends = fill(rig, units=1)
    rig.wait(1.0)
    rig.step(*[rig.ended(send, Outcome.CANCELLED) for send in sends[1:]])
    rig.step(rig.ended(sends[0]))
    rig.wait(3.0)
    for _ in range(6):
        send = of(rig.step(rig.request("log", units=2), after=0.5), Send)[0]
        rig.step(rig.ended(send), after=0.05)
    assert node.smoothed_latency < 0.15


def test_a_host_with_an_answer_in_seconds_believes_the_last_one():
    """Kolkata-later overload: answers smoothed by count took minutes to tell that every node was full."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    for _ in range(4):
        send = of(rig.step(rig.request("log", units=2), after=2.0), Send)[0]
        rig.step(rig.ended(send), after=0.05)
    send = of(rig.step(rig.request("log", units=2), after=2.0), Send)[0]
    rig.step(rig.ended(send), after=0.14)
    assert node.smoothed_latency > 0.1


def test_a_host_that_heard_only_bad_of_all_its_nodes_tries_again():
    """Townsville-later big-1: the prior stood at 0.75 s with no answer of late, and all was refused."""
    rig = Rig(nodes=4)
    for node in rig.host.state.nodes.values():
        node.latency.mean, node.latency.weight = 3.0, 5.0
    rig.step(after=1.0)
    assert rig.host.state.baseline.prior > 0.5
    for _ in range(12):
        rig.step(after=1.0)
    assert of(rig.step(rig.request()), Send)


def test_a_cancelled_attempt_teaches_that_a_node_is_slow():
    """Incident i48321c: crowded nodes looked quick, as only what came back in time was counted."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    slow, quick = of(rig.step(rig.request(units=1), rig.request(units=1)), Send)
    before = node.smoothed_latency
    rig.step(rig.ended(quick), after=0.05)
    middle = node.smoothed_latency
    rig.step(rig.ended(slow, Outcome.CANCELLED), after=0.3)
    assert node.smoothed_latency > max(before, middle)


def out_by_hand(rig: Rig, out: bool, node: str = "n0") -> list[Action]:
    return rig.step(OperatorOverride(node, out), after=0.1)


def test_what_only_a_node_out_by_hand_could_serve_is_refused_at_once_and_whatever_the_list_says():
    """Guards the operators' word: a list, whole or in part, must not lift it; one call back does."""
    rig = Rig(nodes=2, **COLD | {"hosts": 1})
    out_by_hand(rig, True)
    out_by_hand(rig, True)
    for kind in (DiscoveryUpdateKind.DELTA, DiscoveryUpdateKind.FULL):
        rig.step(DiscoveryUpdate(kind, 2, [NodeEntry("n0", shard=0), NodeEntry("n1", shard=1)]))
        assert of(rig.step(rig.request()), Reject)
    assert of(rig.step(rig.request(shard=None)), Send)[0].node == "n1"
    out_by_hand(rig, False)
    assert of(rig.step(rig.request(units=1)), Send)[0].node == "n0"


def test_what_waited_at_a_node_and_what_comes_back_from_it_goes_there_no_more():
    """Guards the drain rule: a try again is new work too."""
    rig = Rig(nodes=1)
    sends = fill(rig, units=1)
    waiting = [name for name, request in rig.host.state.requests.items() if not request.in_flight]
    refused = of(out_by_hand(rig, True), Reject)
    assert {action.request for action in refused} == set(waiting) and waiting
    seen = rig.step(rig.ended(sends[0], Outcome.REJECTED), after=0.05) + rig.wait(0.1)
    assert of(seen, Reject) and not of(seen, Send)


@pytest.mark.parametrize(("told", "cold_from"), [(None, "back"), (50.0, "back"), ("now", "told")])
def test_a_node_called_back_is_cold_from_the_latest_start_there_can_have_been(told, cold_from):
    """Guards a node that its operators restarted: no list has told of that yet, unless it has."""
    rig = Rig(nodes=2, **COLD | {"hosts": 1})
    node = rig.host.state.nodes["n0"]
    out_by_hand(rig, True)
    since = rig.now + 0.5 if told == "now" else told
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", started_at=since)]), after=1.0)
    out_by_hand(rig, False)
    assert node.slow_start_from == (since if cold_from == "told" else rig.now)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 3, [NodeEntry("n0", started_at=rig.now - 0.5)]))
    assert node.slow_start_from == rig.now - 0.5, "what the list tells of a start later counts"
    assert of(rig.step(rig.request(units=1)), Send), "and it is tried again at once"


def test_an_answer_that_has_begun_gives_its_node_free_and_teaches_its_first_byte():
    """Guards the others: a client that reads slowly kept its units out at the node, and made it look slow."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    (send,) = of(rig.step(rig.request(units=2)), Send)
    rig.step(StreamStarted(send.request, 0, "n0", 0.05), after=0.05)
    before = node.smoothed_latency
    assert node.units_in_flight == 0 and not rig.wait(9.0)
    rig.step(rig.ended(send, Outcome.OK))
    assert node.latency.mean < 0.1 and not rig.host.state.requests
    assert node.smoothed_latency <= max(before, rig.host.state.baseline.prior)


@pytest.mark.parametrize(("hosts", "rate", "within"), [(40, 8.0, 16.0), (4, 8.0, 1.0)])
def test_a_fleet_that_asks_discovery_at_one_instant_is_told_in_the_end(hosts, rate, within):
    """Guards against hosts that ask again sooner than discovery can serve all.

    At an interval of a second none but the first was told in 25 s; doubled from 0.5 s, it took 18.6 s.
    """
    rigs = [
        Rig(discovery_on_request=True, max_list_age=10.0, hosts=hosts, seed=seed) for seed in range(hosts)
    ]
    service, told, now = DiscoveryQueue(rate), set(), 0.0
    due = [(0.0, n, None) for n in range(hosts)]  # when, which host, how its call ended (None: it begins)
    while due and now < within:
        now, n, served = heappop(due)  # no two of one host, so nothing beyond it is compared
        if served is None:
            end, good = service.call(now)
            heappush(due, (end, n, good))
        elif served:
            told.add(n)
        else:
            rigs[n].step(DiscoveryUpdate(DiscoveryUpdateKind.FAILED), after=100.0 + now - rigs[n].now)
            assert of(rigs[n].wait(rigs[n].timer - rigs[n].now), WatchNodes)
            heappush(due, (rigs[n].now - 100.0, n, None))
    assert len(told) == hosts


def test_a_node_first_listed_as_draining_may_start_later():
    """Guards a rename: what a node's first entry says of its start was kept under a name that none read."""
    # given
    rig = Rig(**COLD | {"hosts": 1})
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n1", NodeState.DRAINING)]))
    # when
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 3, [NodeEntry("n1", started_at=rig.now)]))
    # then
    node = rig.host.state.nodes["n1"]
    assert node.open and node.started_at == node.slow_start_from == rig.now
