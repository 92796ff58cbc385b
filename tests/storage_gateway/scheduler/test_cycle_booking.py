"""Booking of requests: latency targets, value, capacity, runs for the same data."""

from __future__ import annotations

import pytest
from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler.interface import Outcome, Plan, Reject, Send


def test_idle_node_gets_a_booking_at_once():
    rig = Rig()
    assert [s.node for s in of(rig.step(rig.request()), Send)] == ["n0"]


def test_requests_that_no_cycle_can_finish_in_time_are_rejected_at_once():
    rig = Rig()
    actions = rig.step(*[rig.request(units=8) for _ in range(120)])
    assert of(actions, Send)
    assert len(of(actions, Reject)) > 60


def test_no_node_means_a_prompt_refusal():
    rig = Rig(nodes=0)
    assert of(rig.step(rig.request()), Reject)


def test_a_shard_without_a_node_means_a_prompt_refusal():
    rig = Rig(nodes=1)
    assert of(rig.step(rig.request(shard=5)), Reject)


def test_more_worth_pushes_less_worth_out():
    rig = Rig(plans={p.name: p for p in (Plan("gold", reserve=1000, price=10.0), Plan("basic", price=0.1))})
    rig.step(*[rig.request(plan="basic", volume="b") for _ in range(60)])
    gold = rig.request(plan="gold", volume="g")
    actions = rig.step(gold) + rig.wait(0.2)
    assert gold.request not in [a.request for a in of(actions, Reject)]


def test_ids_and_keys_of_any_form_are_taken():
    """A host's ids need not be hexadecimal, and a request may have no key."""
    rig = Rig(nodes=3)
    assert of(rig.step(rig.request(shard=None, key="plan/7"), rig.request(shard=None, key=None)), Send)


@pytest.mark.parametrize(("keys", "most"), [("k", 8 + 2 * 8), (None, 8)])
def test_requests_for_the_same_data_follow_at_once_within_a_bound(keys, most):
    """Reads come in runs of up to five, and the later ones of a run cost a node half the work."""
    rig = Rig()
    sent_units = 0
    for _ in range(12):
        request = rig.request(units=4, **({"key": keys} if keys else {}))
        sent_units += sum(4 for _ in of(rig.step(request), Send))
    assert sent_units == most


def test_requests_on_the_same_data_wait_and_go_together():
    """In the order of targets, a request for other data between two of them made the node seek twice."""
    rig = Rig()
    sends = of(rig.step(rig.request(units=8)), Send)
    for key in ("a", "b", "a", "b", "a", "b"):
        assert not of(rig.step(rig.request(units=2, key=key)), Send)
    order = [send.request for send in of(rig.step(rig.ended(sends[0])), Send)]
    assert order == ["r2", "r4", "r6", "r3", "r5", "r7"]


def test_the_target_of_a_clients_retry_counts_from_its_first_attempt():
    """Retries booked with a new latency target were answered late (incidents i19e2f3, i9b74b3)."""
    rig = Rig()
    rig.step(rig.request(expires_in=1.2))
    fresh, again = rig.request(expires_in=1.2), rig.request(expires_in=1.0)
    rig.step(again, fresh)
    seconds_to_target = {r.id: r.target_at - rig.now for r in rig.host.state.requests.values()}
    assert seconds_to_target[fresh.request] > 0.24 and abs(seconds_to_target[again.request] - 0.05) < 1e-6


def test_cheap_units_leave_room_once_dear_ones_were_lost():
    """Bulk requests, which can wait, took every free slot (incidents i19e2f3, i48321c)."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    node.price, node.price_at = 3.0, rig.now
    assert not of(rig.step(*[rig.request(volume="c", plan="silver", units=1) for _ in range(8)]), Send)
    assert len(of(rig.step(rig.request(volume="d", plan="gold", units=2)), Send)) == 1, "capacity was left"


def test_capacity_kept_for_valuable_units_is_used_at_the_last_chance_if_idle():
    """At an idle node requests waited for the price to fall until they were rejected (bulk+slow+pieces)."""
    for busy in (False, True):
        rig = Rig()
        node = rig.host.state.nodes["n0"]
        if busy:
            assert of(rig.step(rig.request(units=1)), Send)
        node.price, node.price_at = 30.0, rig.now
        cheap = rig.request(volume="c", plan="silver", units=1)
        assert not of(rig.step(cheap), Send)
        seen = rig.wait(0.24)
        sent = {action.request for action in of(seen, Send)}
        assert (cheap.request in sent) is not busy


def test_a_request_larger_than_the_room_is_paced():
    """With twelve hosts, sending to every idle node at once kept nodes full (incident i48321c)."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    first = of(rig.step(rig.request(units=2)), Send)[0]
    node.window, node.smoothed_latency = 1.0, 0.1
    rig.step(rig.ended(first), after=0.01)
    node.window = 1.0
    assert not of(rig.step(rig.request("log", units=2)), Send)
    assert of(rig.wait(0.25), Send)


def test_late_and_cheap_is_refused_at_once():
    """Late bookings were held until their deadline and then rejected (incident ic3bbc9)."""
    rig = Rig()
    rig.step(rig.request(expires_in=1.2))
    node = rig.host.state.nodes["n0"]
    node.price, node.price_at = 4.0, rig.now
    assert of(rig.step(rig.request(expires_in=0.9)), Reject), "its latency target has already passed"


def test_one_clients_long_deadline_makes_no_other_client_late():
    """The first attempt's time is inferred from the class, not from the longest deadline of any client."""
    rig = Rig()
    rig.step(rig.request(expires_in=3600.0, volume="odd"))
    send = of(rig.step(rig.request(expires_in=1.2)), Send)[0]
    assert abs(rig.host.state.requests[send.request].target_at - rig.now - 0.25) < 0.01


def test_a_keyed_write_that_may_have_run_is_booked_where_it_may_run_again():
    """A booking at another node cannot be sent: it waited there until its deadline."""
    rig = Rig(nodes=8)
    first = of(rig.step(rig.request("keyed", shard=None, units=1)), Send)[0]
    for node in rig.host.state.nodes.values():
        node.paused_until = rig.now + 9.0  # nothing is sent, so its booking stays visible
    rig.host.state.nodes[first.node].window = 0.0  # any other node could finish earlier
    rig.step(rig.ended(first, Outcome.ERROR), after=0.01)
    (holder,) = [node for node in rig.host.state.nodes.values() if node.queue]
    assert holder.zone == rig.host.state.nodes[first.node].zone


def test_at_a_node_loaded_by_other_hosts_spare_units_are_held_back_first():
    """With one request in flight per host, only latency shows that other hosts load the node."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    for _ in range(8):
        for send in of(rig.step(rig.request(units=1)), Send):
            rig.step(rig.ended(send), after=0.18)
    assert node.units_in_flight == 0 and 0.12 < node.smoothed_latency < 0.2
    assert not of(rig.step(rig.request(units=1, volume="s", plan="silver", shard=0)), Send)
    assert of(rig.step(rig.request("log", units=1)), Send), "units within the reserve are still sent"
