"""The adapter between gateway and scheduler: translates calls and actions, takes no decisions."""

from __future__ import annotations

import pytest
from scheduler_rig import make_settings

from mallowbeam.storage_gateway.scheduler.gateway_host import NEVER, FinalAnswer, SchedulerHost
from mallowbeam.storage_gateway.scheduler.interface import (
    DiscoveryUpdateKind,
    HealthCheck,
    NodeEntry,
    Outcome,
)

FIELDS = {
    "request_class": "read",
    "expires_in": 1.2,
    "shard": 0,
    "units": 2,
    "volume": "v",
    "plan": "gold",
    "volume_hosts": 1,
}


def make_host(**settings) -> SchedulerHost:
    made = SchedulerHost(make_settings(**settings), 100.0)
    made.update_nodes(100.0, DiscoveryUpdateKind.CACHED, 1, [NodeEntry("n0")])
    return made


def test_a_request_is_tried_and_its_answer_ends_it():
    host = make_host()
    (attempt,) = host.request_arrived(100.0, "a", **FIELDS).attempts
    assert (attempt.request, attempt.number, attempt.node) == ("a", 0, "n0")
    orders = host.report(100.05, attempt, Outcome.OK, 0.05)
    assert not orders.attempts and not orders.final_answers and not host.knows("a")


def test_attempts_are_numbered_in_turn():
    host = make_host()
    (first,) = host.request_arrived(100.0, "a", **FIELDS).attempts
    orders = host.report(100.01, first, Outcome.ERROR, 0.01)
    assert [attempt.number for attempt in orders.attempts] == [1]


def test_without_a_node_the_final_answer_is_a_rejection_at_once():
    host = SchedulerHost(make_settings(), 100.0)
    (answer,) = host.request_arrived(100.0, "a", **FIELDS).final_answers
    assert answer.request == "a" and answer.rejected and answer.retry_after > 0


def test_a_write_that_may_have_run_fails():
    host = make_host()
    (attempt,) = host.request_arrived(100.0, "a", **(FIELDS | {"request_class": "log"})).attempts
    assert host.report(100.4, attempt, Outcome.TIMEOUT, 0.4).final_answers == [FinalAnswer("a", False, None)]


def test_a_client_disconnect_cancels_the_attempts_in_flight():
    host = make_host()
    (attempt,) = host.request_arrived(100.0, "a", **FIELDS).attempts
    assert host.client_disconnected(100.1, "a").cancellations == [("a", 0)]
    assert host.knows("a")
    host.report(100.1, attempt, Outcome.CANCELLED, 0.1)
    assert not host.knows("a")


def test_a_tick_before_its_time_changes_nothing():
    """The scheduler has one pending timer: if it fired early, it would never be set again."""
    host = make_host()
    host.request_arrived(100.0, "a", **FIELDS)
    due = host.wake_at
    assert 100.0 < due < NEVER
    host.tick(due - 0.001)
    assert host.wake_at == due
    host.tick(due)
    assert due < host.wake_at < NEVER


def test_a_streamed_answer_that_breaks_off_gets_no_second_answer():
    host = make_host()
    (attempt,) = host.request_arrived(100.0, "a", **FIELDS).attempts
    host.stream_started(100.1, attempt, 0.1)
    orders = host.report(100.2, attempt, Outcome.RESET, 0.2)
    assert not orders.final_answers and not orders.attempts
    assert not host.tick(102.0).final_answers


def test_an_action_that_the_gateway_does_not_support_is_an_error(monkeypatch):
    host = make_host()
    monkeypatch.setattr(host._scheduler, "step", lambda now, events: [HealthCheck("n0")])
    with pytest.raises(TypeError):
        host.request_arrived(100.0, "a", **FIELDS)


def test_a_watch_is_asked_for_where_discovery_must_be_asked():
    host = SchedulerHost(make_settings(discovery_on_request=True), 100.0)
    assert host.update_nodes(100.0, DiscoveryUpdateKind.CACHED, 1, []).watch_nodes
