"""The checkers of what clients and nodes saw: a good record passes, and each rule broken is caught."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.lab.faults import observation_checks
from mallowbeam.lab.faults.observations import (
    ConnectionBudget,
    ConnectionChanged,
    Disturbance,
    DrainLimits,
    Event,
    Machine,
    Observations,
    PageObserved,
    RequestArrived,
    RequestExecuted,
    RequestSent,
    ResponseReceived,
    StepLogged,
    WarmupStarted,
)

PLACES = [
    *(Machine(f"n{i}", "ab"[i % 2], i // 2) for i in range(6)),
    *(Machine(f"g{i}", gateway=True) for i in range(5)),
]
LIMITS = DrainLimits(2, 1)


def good() -> Observations:
    """Two gateways, a node drained at 1.0, worked at from 2.0 to 3.0 and back at 4.0; a gateway killed."""
    return Observations(
        [
            RequestSent(0.1, "g0", "a", "v1"),
            RequestArrived(0.12, "n0", "a"),
            RequestExecuted(0.15, "n0", "a"),
            ResponseReceived(0.2, "a", 200),
            RequestSent(1.1, "g0", "b", "v1"),
            RequestArrived(1.29, "n0", "b"),
            RequestExecuted(1.29, "n0", "b"),  # within 250 ms
            ResponseReceived(1.3, "b", 200),
            RequestSent(2.1, "g1", "c", "v2"),
            ResponseReceived(2.1, "c", 503),
            Disturbance(2.2, "kill", ("g1",)),
            RequestSent(2.15, "g1", "d", "v2"),
            ResponseReceived(2.25, "d", 0),
            Disturbance(2.9, "start", ("g1",)),
            StepLogged(1.0, "g0", "n0", "draining"),
            StepLogged(1.05, "g1", "n0", "draining"),
            StepLogged(1.5, "g0", "n0", "out"),
            StepLogged(1.55, "g1", "n0", "out"),
            Disturbance(2.0, "work", ("n0",)),
            Disturbance(3.0, "done", ("n0",)),
            StepLogged(4.0, "g0", "n0", "warming"),
            StepLogged(4.05, "g1", "n0", "warming"),
            RequestSent(4.1, "g0", "e", "v1"),
            RequestArrived(4.2, "n0", "e"),
            RequestExecuted(4.2, "n0", "e"),
            ResponseReceived(4.3, "e", 200),
            WarmupStarted(4.0, "n0", 5.0),
            PageObserved(1.6, "g0", 9, {"n0": "out", "n3": "draining"}, ("3 n0", "6 n3")),
            PageObserved(1.6, "g1", 5, {"n0": "draining", "n3": "proposed"}, ("3 n0",)),
            ConnectionBudget(0.0, "n0", 2),
            ConnectionBudget(0.0, "n0", 1, "v1"),
            ConnectionChanged(0.1, "n0", True, "g0", "v1"),
            ConnectionChanged(0.2, "n0", True, "g1", "v2"),
            ConnectionChanged(1.0, "n0", False, "g0", "v1"),
            ConnectionChanged(1.0, "n0", True, "g1", "v1"),
        ]
    )


def judge(record: Observations) -> dict[str, list[str]]:
    """All checkers, by name."""
    found = {
        "answer": observation_checks.exactly_one_response(record),
        "new": observation_checks.no_arrivals_after_drain(record),
        "out": observation_checks.unavailability_within_limits(record, PLACES, LIMITS),
        "order": observation_checks.consistent_order(record),
        "units": observation_checks.rates_within_limits(record, {"n0": 2.0}, {"v1": 2.0}, 1.0, 1.0),
        "links": observation_checks.connections_within_budgets(record),
        "cold": observation_checks.warmup_within_bound(record, 1.0),
    }
    return {name: wrong for name, wrong in found.items() if wrong}


def test_a_good_record_passes():
    assert judge(good()) == {}


def many(*times: float, volume: str = "v9", node: str = "n9") -> list[Event]:
    """Requests that do well, at these times."""
    return [
        event
        for number, at in enumerate(times)
        for event in (
            RequestSent(at, "g3", f"m{number}", volume),
            RequestArrived(at, node, f"m{number}"),
            RequestExecuted(at, node, f"m{number}"),
            ResponseReceived(at, f"m{number}", 200),
        )
    ]


@pytest.mark.parametrize(
    ("rule", "more"),
    [
        ("answer", [RequestSent(5.0, "g0", "x", "v1")]),  # never ended
        ("answer", [ResponseReceived(0.4, "a", 200)]),  # answered twice
        (
            "answer",
            [RequestSent(5.0, "g0", "x", "v1"), ResponseReceived(9.0, "x", 0)],
        ),  # lost by one undisturbed
        (
            "answer",
            [RequestSent(3.5, "g1", "x", "v1"), ResponseReceived(7.0, "x", 0)],
        ),  # lost after the restart
        ("answer", [RequestExecuted(2.6, "n1", "c")]),  # run after a refusal
        (
            "answer",
            [RequestSent(5.0, "g0", "x", "v1"), ResponseReceived(5.1, "x", 200)],
        ),  # served, and nobody ran it
        (
            "answer",
            [
                RequestSent(2.5, "g1", "x", "v1"),
                ResponseReceived(2.5, "x", 0, False),
                RequestExecuted(2.6, "n1", "x"),
            ],
        ),
        ("answer", [ResponseReceived(5.0, "nobody's", 200)]),
        ("new", [RequestArrived(1.31, "n0", "b")]),  # 10 ms after the slack
        ("new", [RequestArrived(2.5, "n0", "d")]),  # while it is worked at
        (
            "new",
            [
                RequestSent(3.5, "g0", "x", "v8"),
                RequestArrived(3.6, "n0", "x"),
                RequestExecuted(3.6, "n0", "x"),
                ResponseReceived(3.7, "x", 200),
            ],
        ),  # between work and back
        (
            "new",
            [
                RequestSent(3.0, "g1", "x", "v8"),
                RequestArrived(3.1, "n0", "x"),
                RequestExecuted(3.1, "n0", "x"),
                ResponseReceived(3.2, "x", 200),
            ],
        ),  # by a new life that has not learned
        (
            "out",
            [PageObserved(2, "g0", 11, {"n0": "out", "n3": "empty", "g4": "draining"}, ("3 n0", "6 n3"))],
        ),
        ("out", [PageObserved(2, "g0", 11, {"n0": "out", "n2": "draining"}, ("3 n0", "6 n3"))]),  # one zone
        ("out", [Disturbance(2.5, "work", ("n2",)), Disturbance(2.6, "done", ("n2",))]),  # together with n0's
        ("order", [PageObserved(2, "g2", 12, {}, ("6 n3",))]),
        ("order", [PageObserved(2, "g0", 12, {}, ("3 n0",))]),  # it forgets
        ("order", [StepLogged(1.0, "g2", "n0", "draining"), StepLogged(1.1, "g2", "n0", "warming")]),
        ("order", [StepLogged(4.2, "g1", "n0", "draining")]),  # back to a step before
        ("units", many(6.0, 6.1, 6.2, 6.3, volume="v1")),
        ("units", many(5.9, 6.0, 6.8, 6.85, node="n0")),  # over a second's edge
        ("links", [ConnectionChanged(2.0, "n0", True, "g0", "v2")]),
        (
            "links",
            [ConnectionChanged(1.5, "n0", False, "g1", "v2"), ConnectionChanged(2.0, "n0", True, "g0", "v1")],
        ),  # a tenant's
        ("links", [ConnectionBudget(3.0, "n0", 1)]),  # a budget moved too early
        ("links", [ConnectionChanged(2.0, "n0", False, "g0", "v7")]),
        ("cold", [RequestArrived(4.3 + i / 100, "n0", "e") for i in range(7)]),
    ],
)
def test_each_rule_broken_is_caught(rule, more):
    record = good()
    record.events += more
    assert rule in judge(record), judge(record)
    assert all(any(character.isdigit() for character in line) for line in judge(record)[rule])


@pytest.mark.parametrize(
    ("limits", "steps", "said"),
    [
        (DrainLimits(9, 1, 0.0), {"n0": "out", "n2": "empty"}, "out in zone a"),
        (DrainLimits(9, 9, 0.7), {"n0": "out"}, "left in zone a"),
        (DrainLimits(9, 9, 0.0, 0.6), {"n0": "out"}, "left in shard 0"),
        (DrainLimits(9, 9, 0.0), {"g0": "out", "g1": "draining", "g2": "empty"}, "no majority"),
    ],
)
def test_floors_and_the_majority(limits, steps, said):
    def shown(steps: dict[str, str]) -> list[str]:
        return observation_checks.unavailability_within_limits(
            Observations([PageObserved(1.0, "g0", 1, steps, ())]), PLACES, limits
        )

    assert [line for line in shown(steps) if said in line]
    assert shown(dict.fromkeys(steps, "done")) == []


@given(
    st.lists(st.tuples(st.integers(0, 400), st.integers(1, 5)), min_size=1, max_size=30), st.integers(1, 100)
)
def test_the_fullest_window_is_as_counted_by_hand(units, window):
    units = sorted((float(at), float(count)) for at, count in units)
    by_hand = max(sum(count for when, count in units if at <= when < at + window) for at, _ in units)
    assert observation_checks.busiest_window(units, float(window))[1] == by_hand


@given(st.lists(st.sampled_from(["n0", "n1"]), max_size=30), st.integers(0, 5), st.integers(0, 29))
def test_budgets_are_counted_at_each_moment(opened, budget, closing):
    events: list[Event] = [ConnectionBudget(0.0, node, budget) for node in ("n0", "n1")]
    events += [ConnectionChanged(float(i + 1), node, True) for i, node in enumerate(opened)]
    if closing < len(opened):
        events.append(ConnectionChanged(closing + 1.5, opened[closing], False))
    most = {"n0": 0, "n1": 0}
    now = dict(most)
    for event in sorted(events, key=lambda event: event.at):
        if isinstance(event, ConnectionChanged):
            now[event.node] += 1 if event.opened else -1
            most[event.node] = max(most[event.node], now[event.node])
    assert bool(observation_checks.connections_within_budgets(Observations(events))) == (
        max(most.values()) > budget
    )
