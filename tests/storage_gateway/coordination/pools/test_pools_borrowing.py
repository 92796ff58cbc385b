"""Loans at one gateway: limits on borrowing, recall of idle and busy connections, and reduced budgets."""

from __future__ import annotations

import random

import pytest

from mallowbeam.storage_gateway.coordination.pools.allocation import LoanTerms, TenantTerms
from mallowbeam.storage_gateway.coordination.pools.borrowing import (
    MAX_WAITING,
    Acquisition,
    ConnectionTracker,
)

ALL = frozenset({"a", "b", "c"})


def terms_with(ceiling=None, percent=100, keep=0, to=ALL, recall=2.0):
    return TenantTerms(ceiling, LoanTerms(percent, keep, frozenset(to), recall))


def tracker_with(own, total=None, **offers):
    tracker = ConnectionTracker()
    tracker.set_budget(
        "n",
        own,
        {name: offers.get(name, terms_with()) for name in ALL},
        sum(own.values()) if total is None else total,
    )
    return tracker


def open_all(tracker, tenant):
    count = 0
    while tracker.may_open("n", tenant):
        tracker.opened("n", tenant)
        count += 1
    return count


def test_a_tenant_may_borrow_all_idle_connections_of_a_node():
    assert open_all(tracker_with({"a": 2, "b": 2, "c": 4}), "a") == 8


@pytest.mark.parametrize(
    "offers, count",
    [
        ({"b": terms_with(percent=50), "c": terms_with(percent=25)}, 2 + 1 + 1),
        ({"b": terms_with(keep=1), "c": terms_with(keep=4)}, 2 + 1),
        ({"b": terms_with(to={"c"}), "c": terms_with(percent=0)}, 2),
        ({"a": terms_with(ceiling=3)}, 3),
    ],
)
def test_what_is_lent_follows_the_rule(offers, count):
    assert open_all(tracker_with({"a": 2, "b": 2, "c": 4}, **offers), "a") == count


def test_a_loan_is_recalled_and_idle_connections_close_at_once():
    tracker = tracker_with({"a": 2, "b": 2, "c": 0})
    open_all(tracker, "a")
    assert tracker.keep("n", "a")  # one of the four is idle
    assert tracker.acquire("n", "b", 9.0) == (Acquisition.WAIT, 2.0)
    assert tracker.idle_to_close("n") == {"a": 1}
    tracker.closed("n", "a", busy=False)
    # The free connection is reserved for b, which waits.
    assert not tracker.may_open("n", "a") and not tracker.may_open("n", "c")
    tracker.wait_ended("n", "b")
    assert tracker.acquire("n", "b", 9.0)[0] is Acquisition.OPEN


def test_a_busy_loan_comes_back_when_its_request_ends_and_a_wait_is_bounded():
    tracker = tracker_with({"a": 2, "b": 2, "c": 0})
    open_all(tracker, "a")
    assert tracker.acquire("n", "b", 0.25) == (Acquisition.WAIT, 0.25)
    assert tracker.acquire("n", "b", 9.0) == (Acquisition.WAIT, 2.0)
    assert tracker.acquire("n", "b", 9.0)[0] is Acquisition.REJECT  # both of b's are recalled already
    assert tracker.acquire("n", "c", 9.0)[0] is Acquisition.REJECT  # c has none of its own to recall
    assert tracker.idle_to_close("n") == {} and not tracker.keep("n", "a")
    tracker.closed("n", "a", busy=True)
    tracker.wait_ended("n", "b")
    assert tracker.may_open("n", "b")
    tracker.opened("n", "b")
    assert not tracker.keep("n", "a")  # the second one is still recalled


def test_a_borrower_that_gives_back_keeps_its_own():
    tracker = tracker_with({"a": 2, "b": 1, "c": 0})
    open_all(tracker, "a")
    tracker.acquire("n", "b", 9.0)
    assert not tracker.keep("n", "a")
    tracker.closed("n", "a", busy=True)
    assert tracker.keep("n", "a") and tracker.keep("n", "a")


def test_a_borrower_that_gives_back_takes_no_new_loan():
    tracker = tracker_with({"a": 2, "b": 2, "c": 2})
    tracker.opened("n", "c")
    assert open_all(tracker, "a") == 5 and tracker.acquire("n", "b", 9.0)[0] is Acquisition.WAIT
    tracker.wait_ended("n", "b")  # b gave up and c closes its own, so all of theirs is idle
    tracker.closed("n", "c", busy=True)
    assert not tracker.may_open("n", "a")
    tracker.closed("n", "a", busy=True)  # returned
    assert tracker.may_open("n", "a")


def test_an_idle_connection_changes_accounts():
    tracker = tracker_with({"a": 1, "b": 1, "c": 0}, b=terms_with(to={"a"}))
    tracker.opened("n", "b")
    tracker.keep("n", "b")
    assert tracker.reusable("n", "b", "a") and tracker.reusable("n", "b", "c")  # c borrows from a
    tracker.nodes["n"].terms["a"] = terms_with(percent=0)
    assert tracker.reusable("n", "b", "a") and not tracker.reusable("n", "b", "c")
    tracker.reused("n", "b", "a")
    assert tracker.nodes["n"].busy == {"a": 1} and not tracker.nodes["n"].idle


def test_connections_beyond_a_reduced_budget_are_closed():
    tracker = tracker_with({"a": 3, "b": 2, "c": 0})
    open_all(tracker, "a")
    tracker.keep("n", "a")
    tracker.keep("n", "a")
    tracker.set_budget("n", {"a": 1, "b": 1}, {}, 2)
    assert not tracker.fits("n", 2) and tracker.idle_to_close("n") == {"a": 2}
    tracker.closed("n", "a", busy=False)
    tracker.closed("n", "a", busy=False)
    assert not tracker.may_open("n", "b") and not tracker.fits("n", 2) and not tracker.keep("n", "a")
    tracker.closed("n", "a", busy=True)
    assert tracker.fits("n", 2)


def test_a_node_that_becomes_bounded_knows_what_is_open():
    """Guards the first push of a budget: connections opened before it count."""
    tracker = ConnectionTracker()
    assert open_some(tracker, 5)
    tracker.set_budget("n", {"a": 2}, {}, 2)
    assert not tracker.may_open("n", "a") and not tracker.fits("n", 4)
    tracker.set_budget("n", {}, {}, None)
    for _ in range(5):
        assert tracker.may_open("n", "a")
        tracker.closed("n", "a", busy=True)
    assert not tracker.nodes


def open_some(tracker, count):
    for _ in range(count):
        assert tracker.may_open("n", "a")
        tracker.opened("n", "a")
    return True


def test_the_number_of_waits_is_bounded(monkeypatch):
    tracker = tracker_with({"a": 1, "b": MAX_WAITING + 5, "c": 0})
    open_all(tracker, "a")
    results = [tracker.acquire("n", "b", 9.0)[0] for _ in range(MAX_WAITING + 3)]
    assert results.count(Acquisition.WAIT) == MAX_WAITING and results[-1] is Acquisition.REJECT


@pytest.mark.parametrize("seed", range(20))
def test_a_random_walk_never_exceeds_the_total(seed):
    """A random walk of pool calls; at its end the tenant with the largest budget gets its own back."""
    rng = random.Random(seed)
    own = {name: rng.randrange(5) for name in sorted(ALL)}
    tracker = tracker_with(
        own,
        **{
            name: terms_with(rng.choice([None, 6]), rng.choice([0, 50, 100]), rng.randrange(2))
            for name in ALL
        },
    )
    connections = tracker.nodes["n"]
    waits: list[str] = []
    for _ in range(400):
        who = rng.choice(sorted(ALL))
        before = connections.total_open()
        match rng.randrange(4):
            case 0:
                if (result := tracker.acquire("n", who, 1.0)[0]) is Acquisition.OPEN:
                    tracker.opened("n", who)
                elif result is Acquisition.WAIT:
                    waits.append(who)
            case 1:
                if connections.busy.get(who) and not tracker.keep("n", who):
                    tracker.closed("n", who, busy=True)
            case 2:
                owner = rng.choice(sorted(ALL))
                if connections.idle.get(owner) and tracker.reusable("n", owner, who):
                    tracker.reused("n", owner, who)
            case 3:
                for name, count in tracker.idle_to_close("n").items():
                    for _ in range(count):
                        tracker.closed("n", name, busy=False)
                if waits:
                    tracker.wait_ended("n", waits.pop(0))
        assert (
            connections.total_open() <= max(before, connections.total)
            and connections.total_open() <= connections.total
        )
        counts = (connections.busy, connections.idle, connections.recalled, connections.waiting)
        assert all(count > 0 for each in counts for count in each.values())
        assert all(n <= connections.borrowed(name) for name, n in connections.recalled.items())
    for name in waits:
        tracker.wait_ended("n", name)
    owner = max(own, key=own.__getitem__)
    for _ in range(own[owner] - connections.open(owner)):
        if not tracker.may_open("n", owner):
            assert tracker.acquire("n", owner, 1.0)[0] is Acquisition.WAIT
            for name in sorted(ALL):
                while connections.recalled.get(name):
                    tracker.closed("n", name, busy=bool(connections.busy.get(name)))
            tracker.wait_ended("n", owner)
        assert tracker.may_open("n", owner)
        tracker.opened("n", owner)
