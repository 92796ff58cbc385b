"""Each rule on sending and ending in isolation: every other condition is met."""

from __future__ import annotations

import pytest
from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler.interface import (
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Fail,
    NodeEntry,
    NodeState,
    Outcome,
    Reject,
    Send,
)
from mallowbeam.storage_gateway.scheduler.model import PossibleRun


def booked(cls: str = "read", plan: str = "gold", count: int = 1, shard: int | None = 0, **settings):
    """A rig with requests held in the queue of n0, the last of these requests, and the node."""
    rig = Rig(nodes=2, **settings)
    node = rig.host.state.nodes["n0"]
    for other in rig.host.state.nodes.values():
        other.paused_until = rig.now + 9.0
    rig.wait(5.0)
    if plan == "basic":  # a limited volume starts with its share spent
        rig.step(rig.request(cls, plan=plan, volume=plan))
        rig.wait(1.0)
    key = "0a" if cls == "ordered" else "0b"
    for _ in range(count):
        rig.step(rig.request(cls, plan=plan, volume=plan, shard=shard, key=key))
    return rig, rig.host.state.requests[f"r{rig.request_count}"], node


def sends(rig: Rig, request, node) -> bool:
    """Whether the request is sent; the actions must agree."""
    sent = rig.host.sender.send(request, node)
    assert sent == bool(of(rig.host.state.actions, Send))
    return sent


@pytest.mark.parametrize("cls", ["read", "log", "keyed", "ordered"])
def test_with_every_condition_met_a_request_goes_out(cls):
    assert sends(*booked(cls))


def test_not_after_its_end():
    rig, request, node = booked()
    request.done = True
    assert not sends(rig, request, node)


def test_not_while_an_attempt_is_out():
    rig, request, node = booked()
    assert sends(rig, request, node)
    rig.host.state.actions.clear()
    assert not sends(rig, request, node)


def test_not_to_a_node_that_leaves():
    rig, request, node = booked()
    node.open = False
    assert not sends(rig, request, node)


def test_not_at_its_deadline():
    rig, request, node = booked()
    rig.host.state.now = request.deadline
    assert not sends(rig, request, node)


def test_not_to_a_node_without_its_shard():
    rig, request, _ = booked()
    assert not sends(rig, request, rig.host.state.nodes["n1"])


def test_not_beyond_the_number_of_tries():
    rig, request, node = booked(max_attempts=2)
    request.attempt_count = 2
    assert not sends(rig, request, node)


def test_not_an_unsafe_request_that_may_have_run():
    rig, request, node = booked("log")
    request.possible_runs.append(PossibleRun(node.zone, node.shard, rig.now))
    assert not sends(rig, request, node)


def test_not_outside_the_deduplication_scope():
    rig, request, node = booked("keyed", shard=None)
    first = rig.host.state.nodes["n0"]
    request.possible_runs.append(PossibleRun(first.zone, first.shard, rig.now))
    assert not sends(rig, request, rig.host.state.nodes["n1"])
    assert sends(rig, request, rig.host.state.nodes["n0"])


def test_not_before_an_older_request_of_its_key():
    rig, second, node = booked("ordered", count=2)
    assert not sends(rig, second, node)


def test_not_while_its_key_is_paused():
    rig, request, node = booked("ordered")
    rig.host.key_order.paused_until["0a"] = rig.now + 1.0
    assert not sends(rig, request, node)


def test_not_to_a_warming_node_beyond_its_budget():
    rig, request, node = booked(
        plan="silver",
        slow_start_units=0.0,
        slow_start_capacity=0.2,
        slow_start_time=10.0,
        overload_multiple=2.0,
        overload_window=2.0,
    )
    node.slow_start_from, node.slow_start_until = rig.now, rig.now + 9.0
    assert request.tier > 0 and not sends(rig, request, node)


def test_a_request_over_a_warming_nodes_budget_is_rejected_at_once():
    rig = Rig(
        slow_start_units=0.0,
        slow_start_capacity=0.2,
        slow_start_time=10.0,
        overload_multiple=2.0,
        overload_window=2.0,
    )
    node = rig.host.state.nodes["n0"]
    node.slow_start_from, node.slow_start_until = rig.now, rig.now + 9.0
    assert of(rig.step(rig.request(plan="silver", volume="s")), Reject)


def test_not_over_the_budget_of_attempts():
    rig, request, node = booked(retry_budget_floor=0.0, retry_budget_ratio=0.0, retry_budget_window=5.0)
    request.attempt_count = 1
    assert not sends(rig, request, node)


def test_not_over_the_limit():
    rig, request, node = booked(plan="basic")
    request.volume.limit_level = -8.0
    assert not sends(rig, request, node)


@pytest.mark.parametrize("cls", ["read", "log"])
def test_only_one_final_answer(cls):
    rig, request, _ = booked(cls)
    rig.host.endings.end(request)
    rig.host.endings.end(request)
    assert len(of(rig.host.state.actions, Reject) + of(rig.host.state.actions, Fail)) == 1


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.REMOVED])
def test_requests_queued_at_a_closed_node_are_answered_in_the_same_step(state):
    rig, request, _ = booked()
    update = DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", state, 0, "a")])
    assert [a.request for a in of(rig.step(update), Reject)] == [request.id]


def test_a_silent_node_gets_one_request_a_cycle_and_no_latency_samples():
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    first = of(rig.step(*[rig.request("log", units=1) for _ in range(4)]), Send)
    rig.wait(1.0)
    assert node.suspect
    assert len(of(rig.step(*[rig.request("log", units=1) for _ in range(4)]), Send)) <= 1
    rig.step(rig.ended(first[0], Outcome.CANCELLED))
    assert node.latency.weight == 0.0


def test_pending_timers_do_not_grow_with_a_nodes_requests():
    """One pending timer per node, and one per request for its deadline, however often the node is polled."""
    rig = Rig(nodes=4)
    for i in range(200):
        for send in of(rig.step(rig.request(units=1, shard=i % 4)), Send):
            rig.step(rig.ended(send))
        rig.wait(0.002)
    pending = [what for _, _, what in rig.host.state.timers if not hasattr(what, "deadline")]
    assert len(pending) <= 4
