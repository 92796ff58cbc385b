"""The checkers of what clients and nodes saw: a good record passes, and each rule broken is caught."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.lab.faults import checks
from mallowbeam.lab.faults import seen as s

PLACES = [
    *(s.Place(f"n{i}", "ab"[i % 2], i // 2) for i in range(6)),
    *(s.Place(f"g{i}", gateway=True) for i in range(5)),
]
LIMITS = s.Limits(2, 1)


def good() -> s.Record:
    """Two gateways, a node drained at 1.0, worked at from 2.0 to 3.0 and back at 4.0; a gateway killed."""
    return s.Record(
        [
            s.Asked(0.1, "g0", "a", "v1"),
            s.Arrived(0.12, "n0", "a"),
            s.Ran(0.15, "n0", "a"),
            s.Answered(0.2, "a", 200),
            s.Asked(1.1, "g0", "b", "v1"),
            s.Arrived(1.29, "n0", "b"),
            s.Ran(1.29, "n0", "b"),  # within 250 ms
            s.Answered(1.3, "b", 200),
            s.Asked(2.1, "g1", "c", "v2"),
            s.Answered(2.1, "c", 503),
            s.Laid(2.2, "kill", ("g1",)),
            s.Asked(2.15, "g1", "d", "v2"),
            s.Answered(2.25, "d", 0),
            s.Laid(2.9, "start", ("g1",)),
            s.Told(1.0, "g0", "n0", "draining"),
            s.Told(1.05, "g1", "n0", "draining"),
            s.Told(1.5, "g0", "n0", "out"),
            s.Told(1.55, "g1", "n0", "out"),
            s.Laid(2.0, "work", ("n0",)),
            s.Laid(3.0, "done", ("n0",)),
            s.Told(4.0, "g0", "n0", "warming"),
            s.Told(4.05, "g1", "n0", "warming"),
            s.Asked(4.1, "g0", "e", "v1"),
            s.Arrived(4.2, "n0", "e"),
            s.Ran(4.2, "n0", "e"),
            s.Answered(4.3, "e", 200),
            s.Cold(4.0, "n0", 5.0),
            s.Shown(1.6, "g0", 9, {"n0": "out", "n3": "draining"}, ("3 n0", "6 n3")),
            s.Shown(1.6, "g1", 5, {"n0": "draining", "n3": "proposed"}, ("3 n0",)),
            s.Budget(0.0, "n0", 2),
            s.Budget(0.0, "n0", 1, "v1"),
            s.Linked(0.1, "n0", True, "g0", "v1"),
            s.Linked(0.2, "n0", True, "g1", "v2"),
            s.Linked(1.0, "n0", False, "g0", "v1"),
            s.Linked(1.0, "n0", True, "g1", "v1"),
        ]
    )


def judge(record: s.Record) -> dict[str, list[str]]:
    """All checkers, by name."""
    found = {
        "answer": checks.one_answer(record),
        "new": checks.nothing_new(record),
        "out": checks.few_out(record, PLACES, LIMITS),
        "order": checks.one_order(record),
        "units": checks.within_units(record, {"n0": 2.0}, {"v1": 2.0}, 1.0, 1.0),
        "links": checks.within_budgets(record),
        "cold": checks.cold_bound(record, 1.0),
    }
    return {name: wrong for name, wrong in found.items() if wrong}


def test_a_good_record_passes():
    assert judge(good()) == {}


def many(*times: float, volume: str = "v9", node: str = "n9") -> list[s.Event]:
    """Requests that do well, at these times."""
    return [
        event
        for number, at in enumerate(times)
        for event in (
            s.Asked(at, "g3", f"m{number}", volume),
            s.Arrived(at, node, f"m{number}"),
            s.Ran(at, node, f"m{number}"),
            s.Answered(at, f"m{number}", 200),
        )
    ]


@pytest.mark.parametrize(
    ("rule", "more"),
    [
        ("answer", [s.Asked(5.0, "g0", "x", "v1")]),  # never ended
        ("answer", [s.Answered(0.4, "a", 200)]),  # answered twice
        ("answer", [s.Asked(5.0, "g0", "x", "v1"), s.Answered(9.0, "x", 0)]),  # lost by one undisturbed
        ("answer", [s.Asked(3.5, "g1", "x", "v1"), s.Answered(7.0, "x", 0)]),  # lost after the restart
        ("answer", [s.Ran(2.6, "n1", "c")]),  # run after a refusal
        ("answer", [s.Asked(5.0, "g0", "x", "v1"), s.Answered(5.1, "x", 200)]),  # served, and nobody ran it
        ("answer", [s.Asked(2.5, "g1", "x", "v1"), s.Answered(2.5, "x", 0, False), s.Ran(2.6, "n1", "x")]),
        ("answer", [s.Answered(5.0, "nobody's", 200)]),
        ("new", [s.Arrived(1.31, "n0", "b")]),  # 10 ms after the slack
        ("new", [s.Arrived(2.5, "n0", "d")]),  # while it is worked at
        (
            "new",
            [
                s.Asked(3.5, "g0", "x", "v8"),
                s.Arrived(3.6, "n0", "x"),
                s.Ran(3.6, "n0", "x"),
                s.Answered(3.7, "x", 200),
            ],
        ),  # between work and back
        (
            "new",
            [
                s.Asked(3.0, "g1", "x", "v8"),
                s.Arrived(3.1, "n0", "x"),
                s.Ran(3.1, "n0", "x"),
                s.Answered(3.2, "x", 200),
            ],
        ),  # by a new life that has not learned
        ("out", [s.Shown(2, "g0", 11, {"n0": "out", "n3": "empty", "g4": "draining"}, ("3 n0", "6 n3"))]),
        ("out", [s.Shown(2, "g0", 11, {"n0": "out", "n2": "draining"}, ("3 n0", "6 n3"))]),  # one zone
        ("out", [s.Laid(2.5, "work", ("n2",)), s.Laid(2.6, "done", ("n2",))]),  # together with n0's
        ("order", [s.Shown(2, "g2", 12, {}, ("6 n3",))]),
        ("order", [s.Shown(2, "g0", 12, {}, ("3 n0",))]),  # it forgets
        ("order", [s.Told(1.0, "g2", "n0", "draining"), s.Told(1.1, "g2", "n0", "warming")]),
        ("order", [s.Told(4.2, "g1", "n0", "draining")]),  # back to a step before
        ("units", many(6.0, 6.1, 6.2, 6.3, volume="v1")),
        ("units", many(5.9, 6.0, 6.8, 6.85, node="n0")),  # over a second's edge
        ("links", [s.Linked(2.0, "n0", True, "g0", "v2")]),
        (
            "links",
            [s.Linked(1.5, "n0", False, "g1", "v2"), s.Linked(2.0, "n0", True, "g0", "v1")],
        ),  # a tenant's
        ("links", [s.Budget(3.0, "n0", 1)]),  # a budget moved too early
        ("links", [s.Linked(2.0, "n0", False, "g0", "v7")]),
        ("cold", [s.Arrived(4.3 + i / 100, "n0", "e") for i in range(7)]),
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
        (s.Limits(9, 1, 0.0), {"n0": "out", "n2": "empty"}, "out in zone a"),
        (s.Limits(9, 9, 0.7), {"n0": "out"}, "left in zone a"),
        (s.Limits(9, 9, 0.0, 0.6), {"n0": "out"}, "left in shard 0"),
        (s.Limits(9, 9, 0.0), {"g0": "out", "g1": "draining", "g2": "empty"}, "no majority"),
    ],
)
def test_floors_and_the_majority(limits, steps, said):
    def shown(steps: dict[str, str]) -> list[str]:
        return checks.few_out(s.Record([s.Shown(1.0, "g0", 1, steps, ())]), PLACES, limits)

    assert [line for line in shown(steps) if said in line]
    assert shown(dict.fromkeys(steps, "done")) == []


@given(
    st.lists(st.tuples(st.integers(0, 400), st.integers(1, 5)), min_size=1, max_size=30), st.integers(1, 100)
)
def test_the_fullest_window_is_as_counted_by_hand(units, window):
    units = sorted((float(at), float(count)) for at, count in units)
    by_hand = max(sum(count for when, count in units if at <= when < at + window) for at, _ in units)
    assert checks.fullest(units, float(window))[1] == by_hand


@given(st.lists(st.sampled_from(["n0", "n1"]), max_size=30), st.integers(0, 5), st.integers(0, 29))
def test_budgets_are_counted_at_each_moment(opened, budget, closing):
    events: list[s.Event] = [s.Budget(0.0, node, budget) for node in ("n0", "n1")]
    events += [s.Linked(float(i + 1), node, True) for i, node in enumerate(opened)]
    if closing < len(opened):
        events.append(s.Linked(closing + 1.5, opened[closing], False))
    most = {"n0": 0, "n1": 0}
    now = dict(most)
    for event in sorted(events, key=lambda event: event.at):
        if isinstance(event, s.Linked):
            now[event.node] += 1 if event.opened else -1
            most[event.node] = max(most[event.node], now[event.node])
    assert bool(checks.within_budgets(s.Record(events))) == (max(most.values()) > budget)
