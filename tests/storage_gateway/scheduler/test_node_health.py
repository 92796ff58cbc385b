"""Which nodes get new work: time-outs, failures, lists, operator overrides, and calls to discovery."""

from __future__ import annotations

from heapq import heappop, heappush

import pytest
from discovery_queue import DiscoveryQueue
from scheduler_rig import SLOW_START_SETTINGS, Rig, fill, of

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
    assert len(of(actions, Reject)) >= 8, "a node that does not answer gets only trial requests"
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
    assert of(rig.initial_actions, WatchNodes)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.FAILED))
    assert len(of(rig.wait(1.0), WatchNodes)) == 1


def test_one_costly_request_does_not_close_a_node():
    """A single request of many times the usual work made its node look silent."""
    rig = Rig()
    rig.step(rig.request("log", units=8))
    rig.wait(0.39)
    assert not rig.host.state.nodes["n0"].suspect
    assert not of(rig.step(rig.request("log", units=1)), Reject)


def test_refused_connections_limit_a_node_to_trial_requests():
    rig = Rig()
    sends = fill(rig, units=1)
    rig.step(*[rig.ended(send, Outcome.NO_CONNECTION) for send in sends[:2]])
    assert rig.host.state.nodes["n0"].suspect
    assert len(of(rig.wait(0.24), Send)) <= 1


def test_discovery_is_asked_again_within_seconds_however_often_it_failed():
    """Hosts count as informed of a drain after a few seconds, even if no list reached them."""
    rig = Rig(discovery_on_request=True)
    for _ in range(2000):  # and without overflow, however long discovery is down
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.FAILED))
        assert of(rig.wait(1.5), WatchNodes)


def test_new_objects_keep_away_from_a_node_that_fails_at_once():
    """A node that answers everything with an error is always idle, and attracted all new objects."""
    rig = Rig(nodes=2, max_attempts=4)
    for _ in range(3):  # reads must go there, and are retried
        sends = of(rig.step(rig.request(units=1, shard=0)), Send)
        for attempt in range(4):
            sends = of(rig.step(rig.ended(sends[0], Outcome.ERROR, attempt), after=0.001), Send)
    assert rig.host.state.nodes["n0"].failing
    assert rig.host.state.nodes["n0"].cycle_units < 12, "immediate failures take no slot"
    sends = [of(rig.step(rig.request("log", units=1, shard=None, volume="w")), Send) for _ in range(4)]
    assert {send.node for sent in sends for send in sent} == {"n1"}
    while rig.host.state.nodes["n0"].failing:
        (send,) = of(rig.step(rig.request(units=1, shard=0)), Send)
        rig.step(rig.ended(send), after=0.05)


def test_latency_measured_in_a_silence_is_soon_dropped():
    """Attempts cancelled in a partition left a latency that outlived it (Townsville rough-1)."""
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


def test_with_rare_answers_the_last_one_determines_the_latency():
    """Smoothing by count took minutes to show that every node was full (Kolkata-later overload)."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    for _ in range(4):
        send = of(rig.step(rig.request("log", units=2), after=2.0), Send)[0]
        rig.step(rig.ended(send), after=0.05)
    send = of(rig.step(rig.request("log", units=2), after=2.0), Send)[0]
    rig.step(rig.ended(send), after=0.14)
    assert node.smoothed_latency > 0.1


def test_after_high_latencies_at_all_nodes_requests_are_sent_again():
    """The prior stayed at 0.75 s without new answers: all was rejected (Townsville-later big-1)."""
    rig = Rig(nodes=4)
    for node in rig.host.state.nodes.values():
        node.latency.mean, node.latency.weight = 3.0, 5.0
    rig.step(after=1.0)
    assert rig.host.state.baseline.prior > 0.5
    for _ in range(12):
        rig.step(after=1.0)
    assert of(rig.step(rig.request()), Send)


def test_a_cancelled_attempt_raises_the_measured_latency():
    """Overloaded nodes looked fast, as only answers in time were counted (incident i48321c)."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    slow, quick = of(rig.step(rig.request(units=1), rig.request(units=1)), Send)
    before = node.smoothed_latency
    rig.step(rig.ended(quick), after=0.05)
    middle = node.smoothed_latency
    rig.step(rig.ended(slow, Outcome.CANCELLED), after=0.3)
    assert node.smoothed_latency > max(before, middle)


def set_disabled(rig: Rig, disabled: bool, node: str = "n0") -> list[Action]:
    return rig.step(OperatorOverride(node, disabled), after=0.1)


def test_requests_for_a_disabled_node_are_rejected_at_once_whatever_lists_say():
    """No list, full or delta, may enable a node that an operator disabled; one call to enable does."""
    rig = Rig(nodes=2, **SLOW_START_SETTINGS | {"hosts": 1})
    set_disabled(rig, True)
    set_disabled(rig, True)
    for kind in (DiscoveryUpdateKind.DELTA, DiscoveryUpdateKind.FULL):
        rig.step(DiscoveryUpdate(kind, 2, [NodeEntry("n0", shard=0), NodeEntry("n1", shard=1)]))
        assert of(rig.step(rig.request()), Reject)
    assert of(rig.step(rig.request(shard=None)), Send)[0].node == "n1"
    set_disabled(rig, False)
    assert of(rig.step(rig.request(units=1)), Send)[0].node == "n0"


def test_queued_and_returned_requests_are_not_sent_to_a_disabled_node():
    """A retry is new work, too."""
    rig = Rig(nodes=1)
    sends = fill(rig, units=1)
    waiting = [name for name, request in rig.host.state.requests.items() if not request.in_flight]
    rejections = of(set_disabled(rig, True), Reject)
    assert {action.request for action in rejections} == set(waiting) and waiting
    seen = rig.step(rig.ended(sends[0], Outcome.REJECTED), after=0.05) + rig.wait(0.1)
    assert of(seen, Reject) and not of(seen, Send)


@pytest.mark.parametrize(
    ("listed_start", "expected"), [(None, "enabled"), (50.0, "enabled"), ("now", "listed")]
)
def test_an_enabled_node_warms_up_from_the_latest_possible_start(listed_start, expected):
    """Operators may have restarted the node: without a later start in a list, assume a start just now."""
    rig = Rig(nodes=2, **SLOW_START_SETTINGS | {"hosts": 1})
    node = rig.host.state.nodes["n0"]
    set_disabled(rig, True)
    since = rig.now + 0.5 if listed_start == "now" else listed_start
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", started_at=since)]), after=1.0)
    set_disabled(rig, False)
    assert node.slow_start_from == (since if expected == "listed" else rig.now)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 3, [NodeEntry("n0", started_at=rig.now - 0.5)]))
    assert node.slow_start_from == rig.now - 0.5, "a start that a later list gives counts"
    assert of(rig.step(rig.request(units=1)), Send), "and it gets requests again at once"


def test_an_answer_that_has_begun_releases_its_node_and_counts_to_its_first_byte():
    """A client that reads slowly kept its units in flight at the node, and made the node look slow."""
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
def test_a_fleet_that_calls_discovery_at_one_instant_is_served_in_the_end(hosts, rate, within):
    """Hosts must not retry faster than discovery can serve them all.

    With an interval of 1 s, only the first was served in 25 s; with doubling from 0.5 s, all took 18.6 s.
    """
    rigs = [
        Rig(discovery_on_request=True, max_list_age=10.0, hosts=hosts, seed=seed) for seed in range(hosts)
    ]
    service, served_hosts, now = DiscoveryQueue(rate), set(), 0.0
    due = [(0.0, n, None) for n in range(hosts)]  # time, host, how its call ended (None: it begins)
    while due and now < within:
        now, n, served = heappop(due)  # one entry per host, so the third item is never compared
        if served is None:
            end, good = service.call(now)
            heappush(due, (end, n, good))
        elif served:
            served_hosts.add(n)
        else:
            rigs[n].step(DiscoveryUpdate(DiscoveryUpdateKind.FAILED), after=100.0 + now - rigs[n].now)
            assert of(rigs[n].wait(rigs[n].timer - rigs[n].now), WatchNodes)
            heappush(due, (rigs[n].now - 100.0, n, None))
    assert len(served_hosts) == hosts


def test_a_node_first_listed_as_draining_may_start_later():
    """The start time of a node's first entry was stored under a name that nothing read."""
    # given
    rig = Rig(**SLOW_START_SETTINGS | {"hosts": 1})
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n1", NodeState.DRAINING)]))
    # when
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 3, [NodeEntry("n1", started_at=rig.now)]))
    # then
    node = rig.host.state.nodes["n1"]
    assert node.open and node.started_at == node.slow_start_from == rig.now
