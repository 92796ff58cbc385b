"""Loans at one gateway: opened within the sum, called back idle and busy, never beyond the budget."""

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


def offer(ceiling=None, percent=100, keep=0, to=ALL, recall=2.0):
    return TenantTerms(ceiling, LoanTerms(percent, keep, frozenset(to), recall))


def lending(own, total=None, **offers):
    made = ConnectionTracker()
    made.set_budget(
        "n",
        own,
        {name: offers.get(name, offer()) for name in ALL},
        sum(own.values()) if total is None else total,
    )
    return made


def open_all(made, tenant):
    count = 0
    while made.may_open("n", tenant):
        made.opened("n", tenant)
        count += 1
    return count


def test_a_tenant_with_all_its_work_on_one_node_has_all_that_is_idle():
    assert open_all(lending({"a": 2, "b": 2, "c": 4}), "a") == 8


@pytest.mark.parametrize(
    "offers, count",
    [
        ({"b": offer(percent=50), "c": offer(percent=25)}, 2 + 1 + 1),
        ({"b": offer(keep=1), "c": offer(keep=4)}, 2 + 1),
        ({"b": offer(to={"c"}), "c": offer(percent=0)}, 2),
        ({"a": offer(ceiling=3)}, 3),
    ],
)
def test_what_is_lent_follows_the_rule(offers, count):
    assert open_all(lending({"a": 2, "b": 2, "c": 4}, **offers), "a") == count


def test_a_loan_is_called_back_idle_ones_at_once():
    made = lending({"a": 2, "b": 2, "c": 0})
    open_all(made, "a")
    assert made.keep("n", "a")  # one of the four is idle
    assert made.acquire("n", "b", 9.0) == (Acquisition.WAIT, 2.0)
    assert made.idle_to_close("n") == {"a": 1}
    made.closed("n", "a", busy=False)
    assert not made.may_open("n", "a") and not made.may_open("n", "c")  # it is b's, who waits
    made.waited("n", "b")
    assert made.acquire("n", "b", 9.0)[0] is Acquisition.OPEN


def test_a_busy_loan_comes_back_when_its_request_ends_and_a_wait_is_bounded():
    made = lending({"a": 2, "b": 2, "c": 0})
    open_all(made, "a")
    assert made.acquire("n", "b", 0.25) == (Acquisition.WAIT, 0.25)
    assert made.acquire("n", "b", 9.0) == (Acquisition.WAIT, 2.0)
    assert (
        made.acquire("n", "b", 9.0)[0] is Acquisition.REJECT
    )  # both of b's are called: no third one is coming
    assert made.acquire("n", "c", 9.0)[0] is Acquisition.REJECT  # c has none of its own to call back
    assert made.idle_to_close("n") == {} and not made.keep("n", "a")
    made.closed("n", "a", busy=True)
    made.waited("n", "b")
    assert made.may_open("n", "b")
    made.opened("n", "b")
    assert not made.keep("n", "a")  # the second one is still called


def test_a_borrower_that_gives_back_keeps_its_own():
    made = lending({"a": 2, "b": 1, "c": 0})
    open_all(made, "a")
    made.acquire("n", "b", 9.0)
    assert not made.keep("n", "a")
    made.closed("n", "a", busy=True)
    assert made.keep("n", "a") and made.keep("n", "a")


def test_a_borrower_that_gives_back_takes_no_new_loan():
    made = lending({"a": 2, "b": 2, "c": 2})
    made.opened("n", "c")
    assert open_all(made, "a") == 5 and made.acquire("n", "b", 9.0)[0] is Acquisition.WAIT
    made.waited("n", "b")  # b gave up, and c has closed its own: all of theirs is idle
    made.closed("n", "c", busy=True)
    assert not made.may_open("n", "a")
    made.closed("n", "a", busy=True)  # given back
    assert made.may_open("n", "a")


def test_an_idle_connection_changes_accounts():
    made = lending({"a": 1, "b": 1, "c": 0}, b=offer(to={"a"}))
    made.opened("n", "b")
    made.keep("n", "b")
    assert made.reusable("n", "b", "a") and made.reusable("n", "b", "c")  # the latter by what a lends
    made.nodes["n"].terms["a"] = offer(percent=0)
    assert made.reusable("n", "b", "a") and not made.reusable("n", "b", "c")
    made.reused("n", "b", "a")
    assert made.nodes["n"].busy == {"a": 1} and not made.nodes["n"].idle


def test_a_budget_that_fell_is_closed_down_to():
    made = lending({"a": 3, "b": 2, "c": 0})
    open_all(made, "a")
    made.keep("n", "a")
    made.keep("n", "a")
    made.set_budget("n", {"a": 1, "b": 1}, {}, 2)
    assert not made.fits("n", 2) and made.idle_to_close("n") == {"a": 2}
    made.closed("n", "a", busy=False)
    made.closed("n", "a", busy=False)
    assert not made.may_open("n", "b") and not made.fits("n", 2) and not made.keep("n", "a")
    made.closed("n", "a", busy=True)
    assert made.fits("n", 2)


def test_a_node_that_becomes_bounded_knows_what_is_open():
    """Guards a first push: connections of before it count."""
    made = ConnectionTracker()
    assert open_some(made, 5)
    made.set_budget("n", {"a": 2}, {}, 2)
    assert not made.may_open("n", "a") and not made.fits("n", 4)
    made.set_budget("n", {}, {}, None)
    for _ in range(5):
        assert made.may_open("n", "a")
        made.closed("n", "a", busy=True)
    assert not made.nodes


def open_some(made, count):
    for _ in range(count):
        assert made.may_open("n", "a")
        made.opened("n", "a")
    return True


def test_who_waits_is_bounded(monkeypatch):
    made = lending({"a": 1, "b": MAX_WAITING + 5, "c": 0})
    open_all(made, "a")
    told = [made.acquire("n", "b", 9.0)[0] for _ in range(MAX_WAITING + 3)]
    assert told.count(Acquisition.WAIT) == MAX_WAITING and told[-1] is Acquisition.REJECT


@pytest.mark.parametrize("seed", range(20))
def test_whatever_comes_the_node_never_sees_more_than_the_total(seed):
    """A walk of the pool's calls, and at its end the owner of most gets its own back."""
    chance = random.Random(seed)
    own = {name: chance.randrange(5) for name in sorted(ALL)}
    made = lending(
        own,
        **{
            name: offer(chance.choice([None, 6]), chance.choice([0, 50, 100]), chance.randrange(2))
            for name in ALL
        },
    )
    held = made.nodes["n"]
    waits: list[str] = []
    for _ in range(400):
        who = chance.choice(sorted(ALL))
        before = held.total_open()
        match chance.randrange(4):
            case 0:
                if (said := made.acquire("n", who, 1.0)[0]) is Acquisition.OPEN:
                    made.opened("n", who)
                elif said is Acquisition.WAIT:
                    waits.append(who)
            case 1:
                if held.busy.get(who) and not made.keep("n", who):
                    made.closed("n", who, busy=True)
            case 2:
                owner = chance.choice(sorted(ALL))
                if held.idle.get(owner) and made.reusable("n", owner, who):
                    made.reused("n", owner, who)
            case 3:
                for name, count in made.idle_to_close("n").items():
                    for _ in range(count):
                        made.closed("n", name, busy=False)
                if waits:
                    made.waited("n", waits.pop(0))
        assert held.total_open() <= max(before, held.total) and held.total_open() <= held.total
        counts = (held.busy, held.idle, held.recalled, held.waiting)
        assert all(count > 0 for each in counts for count in each.values())
        assert all(n <= held.borrowed(name) for name, n in held.recalled.items())
    for name in waits:
        made.waited("n", name)
    owner = max(own, key=own.__getitem__)
    for _ in range(own[owner] - held.open(owner)):
        if not made.may_open("n", owner):
            assert made.acquire("n", owner, 1.0)[0] is Acquisition.WAIT
            for name in sorted(ALL):
                while held.recalled.get(name):
                    made.closed("n", name, busy=bool(held.busy.get(name)))
            made.waited("n", owner)
        assert made.may_open("n", owner)
        made.opened("n", owner)
