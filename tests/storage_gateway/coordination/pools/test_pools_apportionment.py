"""Apportionment by Webster's divisor method, against a reference that allocates connections one by one."""

from __future__ import annotations

from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st
from pool_texts import RANDOM_TEXTS

from mallowbeam.storage_gateway.coordination.pools.apportionment import Claimant, apportion, tie_breaker

MANY = RANDOM_TEXTS or 150


@st.composite
def seats(draw: st.DrawFn) -> list[Claimant]:
    made = []
    for i in range(draw(st.integers(1, 9))):
        floor = draw(st.integers(0, 6))
        ceiling = draw(st.none() | st.integers(floor, floor + 9))
        made.append(Claimant(f"g{i}", draw(st.integers(1, 4) | st.integers(1, 10_000)), floor, ceiling))
    return made


def one_by_one(total: int, some: list[Claimant], salt: str) -> dict[str, int]:
    """The method without bisection: each connection goes to the highest w / (2a + 1)."""
    beyond = sum(seat.floor for seat in some) > total
    have = {seat.name: 0 if beyond else seat.floor for seat in some}
    while sum(have.values()) < total:
        open_ = [
            seat
            for seat in some
            if beyond
            and have[seat.name] < seat.floor
            or not beyond
            and (seat.ceiling is None or have[seat.name] < seat.ceiling)
        ]
        if not open_:
            break
        best = min(
            open_,
            key=lambda seat: (-Fraction(seat.weight, 2 * have[seat.name] + 1), tie_breaker(salt)(seat.name)),
        )
        have[best.name] += 1
    return have


@settings(max_examples=MANY)
@given(seats(), st.integers(0, 120), st.text(max_size=3), st.randoms(use_true_random=False))
def test_it_is_webster_with_floors_and_ceilings_in_any_order(some, total, salt, chance):
    """Guards the bisection, and ties: the same on all gateways whatever the order of seats."""
    have = apportion(total, some, salt)
    assert have == one_by_one(total, some, salt)
    mixed = list(some)
    chance.shuffle(mixed)
    assert apportion(total, mixed, salt) == have


@settings(max_examples=MANY)
@given(seats(), st.integers(0, 120))
def test_no_integer_is_lost_and_floors_and_ceilings_hold(some, total):
    have = apportion(total, some)
    room = sum(total if seat.ceiling is None else seat.ceiling for seat in some)
    floors = sum(seat.floor for seat in some)
    assert sum(have.values()) == min(total, room)
    for seat in some:
        assert floors > total or have[seat.name] >= seat.floor
        assert seat.ceiling is None or have[seat.name] <= seat.ceiling


@settings(max_examples=MANY)
@given(seats(), st.integers(0, 120), st.integers(0, 8), st.integers(1, 10_000))
def test_one_more_takes_from_nobody_and_a_larger_weight_never_has_less(some, total, who, more):
    """House-monotone and weight-monotone: what largest remainder is not."""
    have = apportion(total, some)
    after = apportion(total + 1, some)
    assert all(after[name] >= have[name] for name in have)
    one = some[who % len(some)]
    heavier = [
        seat if seat is not one else Claimant(one.name, one.weight + more, one.floor, one.ceiling)
        for seat in some
    ]
    assert apportion(total, heavier)[one.name] >= have[one.name]
    fewer = [seat for seat in some if seat is not one]
    if sum(seat.floor for seat in some) <= total:
        assert all(count >= have[name] for name, count in apportion(total, fewer).items())


def largest_remainder(total: int, weights: dict[str, int]) -> dict[str, int]:
    """The largest remainder method, for comparison."""
    whole = sum(weights.values())
    have = {name: total * weight // whole for name, weight in weights.items()}
    rest = sorted(weights, key=lambda name: (-(total * weights[name] % whole), name))
    return have | {name: have[name] + 1 for name in rest[: total - sum(have.values())]}


def test_the_paradox_that_largest_remainder_has():
    """Shows a case in which the tests above fail: weights 6, 6 and 2 with 10 and then 11 connections."""
    weights = {"g0": 6, "g1": 6, "g2": 2}
    some = [Claimant(name, weight) for name, weight in weights.items()]
    assert largest_remainder(10, weights)["g2"] == 2 > largest_remainder(11, weights)["g2"] == 1
    assert apportion(10, some)["g2"] <= apportion(11, some)["g2"]


def test_ties_do_not_favour_one_gateway():
    """Ten equal gateways and one connection at each of 1,000 nodes: each gateway gets some of them."""
    some = [Claimant(f"g{i}") for i in range(10)]
    wins = dict.fromkeys((seat.name for seat in some), 0)
    for n in range(1000):
        for name, count in apportion(1, some, f"n{n}").items():
            wins[name] += count
    assert sum(wins.values()) == 1000 and min(wins.values()) > 60 and max(wins.values()) < 150, wins
