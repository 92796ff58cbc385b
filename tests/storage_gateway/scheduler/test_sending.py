"""Attempts: retries, the single final answer, order by key, the retry budget, uploads."""

from __future__ import annotations

import pytest
from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Fail,
    Outcome,
    Reject,
    Send,
    StreamStarted,
    TimerFired,
    UploadProgress,
)

NEVER_RAN = (Outcome.REJECTED, Outcome.NO_CONNECTION)
MAY_HAVE_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR)


@pytest.mark.parametrize("cls", ["read", "log", "keyed"])
def test_an_unanswered_request_ends_once_by_its_deadline(cls):
    rig = Rig()
    rig.step(rig.request(cls))
    actions = rig.wait(rig.settings.classes[cls].deadline + 0.004)
    assert len(of(actions, Reject) + of(actions, Fail)) == 1


def test_no_final_answer_after_the_client_disconnected():
    rig = Rig()
    request = rig.request()
    send = of(rig.step(request), Send)[0]
    actions = rig.step(ClientDisconnected(request.request)) + rig.step(rig.ended(send, Outcome.CANCELLED))
    assert not of(actions + rig.wait(5), Reject) and not of(actions, Fail)


def test_events_of_things_unknown_are_ignored():
    rig = Rig()
    assert (
        rig.step(
            ClientDisconnected("nobody"),
            TimerFired(99),
            StreamStarted("x", 0, "n9", 0.1),
            AttemptEnded("x", 0, "n9", Outcome.OK, 0.1, True),
        )
        == []
    )


def test_a_started_stream_is_left_to_its_client():
    rig = Rig()
    send = of(rig.step(rig.request()), Send)[0]
    rig.step(StreamStarted(send.request, 0, "n0", 0.1))
    assert rig.wait(10) == []


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_unsafe_is_failed_once_it_may_have_run(outcome):
    rig = Rig(nodes=2)
    send = of(rig.step(rig.request("log", shard=None)), Send)[0]
    actions = rig.step(rig.ended(send, outcome), after=0.05)
    assert of(actions, Fail) and not of(actions, Send) and not of(actions, Reject)


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_unsafe_is_never_failed_while_proven_unrun(outcome):
    rig = Rig(nodes=2)
    send = of(rig.step(rig.request("log", shard=None)), Send)[0]
    actions = rig.step(rig.ended(send, outcome), after=0.05) + rig.wait(4)
    assert not of(actions, Fail) or len(of(actions, Send)) > 0


def test_a_keyed_request_is_retried_only_within_its_scope_and_window():
    rig = Rig(nodes=2)
    send = of(rig.step(rig.request("keyed")), Send)[0]
    again = rig.step(rig.ended(send, Outcome.ERROR), after=0.05)
    assert [s.node for s in of(again, Send)] == [send.node]
    late = rig.step(rig.ended(send, Outcome.ERROR, attempt=1), after=1.0)
    assert not of(late, Send) and of(late, Fail)


def test_requests_of_an_ordered_key_run_one_at_a_time_with_a_pause():
    rig = Rig(order_settle_time=0.2)
    one, two = rig.request("ordered", key="aa"), rig.request("ordered", key="aa")
    sends = of(rig.step(one, two), Send)
    assert [s.request for s in sends] == [one.request]
    actions = rig.step(rig.ended(sends[0], Outcome.TIMEOUT), after=0.05) + rig.wait(0.19)
    assert not of(actions, Send)
    assert [s.request for s in of(rig.wait(0.05), Send)] == [two.request]


def test_further_attempts_stay_within_the_budget():
    rig = Rig(retry_budget_floor=2.0, retry_budget_ratio=0.0, retry_budget_window=5.0)
    retries = 0
    for _ in range(8):
        actions = rig.step(rig.request(), after=0.1)
        sends = of(actions, Send)
        if sends:
            retries += len(of(rig.step(rig.ended(sends[0], Outcome.ERROR)), Send))
    assert retries == 2


def test_an_attempt_sent_in_time_ends_at_its_latency_target():
    """With many hosts, requests otherwise queue at the node behind work that is already late."""
    rig = Rig()
    send = of(rig.step(rig.request()), Send)[0]
    assert abs(send.timeout - 0.25) < 1e-6
    assert of(rig.step(rig.ended(send, Outcome.TIMEOUT), after=0.25), Reject)


def test_timers_of_requests_that_are_over_do_not_pile_up():
    """Memory must stay bounded with deadlines hours ahead."""
    rig = Rig()
    for _ in range(3000):
        for send in of(rig.step(rig.request(units=1, expires_in=3600.0), after=0.002), Send):
            rig.step(rig.ended(send))
    assert len(rig.host.state.timers) < 2000


@pytest.mark.parametrize(("cls", "again"), [("read", True), ("keyed", True), ("log", False)])
def test_an_attempt_that_later_ones_overtook_is_cancelled_and_retried(cls, again):
    """A silent connection at a healthy node used up the rest of the latency target."""
    rig = Rig(max_attempts=4)
    for _ in range(20):
        rig.step(rig.ended(of(rig.step(rig.request(units=1)), Send)[0]), after=0.005)
        rig.wait(0.1)
    stuck = of(rig.step(rig.request(cls, units=1)), Send)[0]
    cancels = []
    for _ in range(8):
        send = of(rig.step(rig.request(units=1)), Send)[0]
        cancels += of(rig.step(rig.ended(send), after=0.005) + rig.wait(0.01), Cancel)
    assert cancels == ([Cancel(stuck.request, 0)] if again else [])
    ended = rig.step(rig.ended(stuck, Outcome.CANCELLED))
    assert bool(of(ended, Send)) == again
    assert rig.host.state.nodes["n0"].smoothed_latency < 0.03, "it must not count for the node's latency"


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.REJECTED, Outcome.NOT_SENT])
def test_after_its_last_attempt_a_request_is_answered_at_once(outcome):
    """A request that cannot be sent again was held until its deadline."""
    rig = Rig(max_attempts=2)
    send = of(rig.step(rig.request(units=1)), Send)[0]
    seen = rig.step(rig.ended(send, outcome), after=0.01) + rig.wait(0.15)
    assert of(rig.step(rig.ended(of(seen, Send)[0], outcome, 1)), Reject)


def test_a_large_body_suspends_the_deadline_and_is_sent_only_once():
    """The deadline of a slow client counts from the last byte, and a forwarded body cannot be sent again."""
    rig = Rig()
    node = rig.host.state.nodes["n0"]
    (send,) = of(rig.step(rig.request("keyed", units=2)), Send)
    rig.step(UploadProgress(send.request, 0))
    assert node.units_in_flight == 0, "its node has no work yet"
    assert not rig.wait(30.0) and not node.suspect
    rig.step(UploadProgress(send.request, 0, 3.0))
    assert node.units_in_flight == 2 and rig.host.state.requests[send.request].deadline == rig.now + 3.0
    seen = rig.step(rig.ended(send, Outcome.REJECTED), after=0.05) + rig.wait(0.5)
    assert of(seen, Reject) and not of(seen, Send)
    assert node.units_in_flight == 0


def test_an_incomplete_large_body_ends_with_its_attempt():
    rig = Rig()
    (send,) = of(rig.step(rig.request("keyed", units=2)), Send)
    rig.step(UploadProgress(send.request, 0))
    assert of(rig.step(rig.ended(send, Outcome.NOT_SENT), after=9.0), Reject)
    assert not rig.host.state.requests and rig.host.state.nodes["n0"].units_in_flight == 0


def test_a_misdirected_request_is_not_retried_and_does_not_shrink_the_window():
    """Reads of data on another node were sent four times, and shrank windows (bulk+slow+pieces)."""
    rig = Rig()
    (send,) = of(rig.step(rig.request(units=2)), Send)
    window = rig.host.state.nodes["n0"].window
    seen = rig.step(rig.ended(send, Outcome.MISDIRECTED), after=0.01)
    assert of(seen, Reject) and not of(seen, Send)
    assert rig.host.state.nodes["n0"].window == window and rig.host.state.nodes["n0"].paused_until <= rig.now
