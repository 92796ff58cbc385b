"""The handover under every order of events to a depth, under random walks, and variants broken on purpose."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.lab.faults.model import (
    COUNTED,
    LINGERS,
    SHARES,
    TEN,
    Script,
    World,
    explore,
    follow,
    usual,
    walk,
)
from mallowbeam.storage_gateway.coordination.quota_transfer import QuotaTransfer

DEPTH = 5
SCRIPTS = {
    "shares": SHARES,
    "counted": COUNTED,
    "lingers": LINGERS,
    "floats": replace(SHARES, floor=0.7, rates=(1.5, 1.0, 1.2)),
}


@pytest.mark.parametrize(
    "name, depth, worlds",
    [("shares", 5, 9000), ("counted", 4, 1600), ("lingers", 5, 13000), ("floats", 4, 1600)],
)
def test_every_order_of_events_keeps_the_sum_within_the_capacity(name, depth, worlds):
    found = explore(SCRIPTS[name], depth)
    assert found.wrong == "", found.trace
    assert found.worlds > worlds


HARD = {
    # what has happened before; from there on every order of events is tried
    "a large share is killed": ["epoch", "restart a", "restart b"],
    "cut in two, the small side holds": ["epoch", "take b", "take c", "time", "time"],
    "cut in three": ["epoch", "time", "time", "take b"],
    "stopped, wakes with an old allotment": ["epoch", "take b", "take c", "time", "time", "time", "tick b"],
    "changed while a shift is under way": ["epoch", "take a", "epoch", "take b", "epoch"],
    "entries late, told at once": ["epoch", "epoch", "epoch", "jump b", "take a"],
    "restarts in a row": ["epoch", "take a", "restart a", "take b", "restart b", "take c", "restart c"],
    "capacity falls at once": ["epoch", "take a", "take b", "take c", "epoch", "time"],
}


@pytest.mark.parametrize("name", HARD)
@pytest.mark.parametrize("script", [SHARES, LINGERS], ids=["shares", "lingers"])
def test_every_order_of_events_after_a_hard_case(name, script):
    found = explore(script, 3, HARD[name])
    assert found.wrong == "", found.trace
    assert found.worlds > 200


@pytest.mark.parametrize("name", SCRIPTS)
def test_long_walks(name):
    for seed in range(12):
        found = walk(longer(SCRIPTS[name]), seed, 400)
        assert found.wrong == "", (seed, found.trace)


def longer(script: Script) -> Script:
    """The same shifts over and over, back and forth."""
    return replace(script, epochs=[*script.epochs] * 8, lives=100)


@given(st.data())
def test_walks_of_any_script(data):
    whole = data.draw(st.booleans(), "connections")
    number = st.integers(0, 6) if whole else st.floats(0, 6)
    floor = data.draw(st.integers(0, 2) if whole else st.floats(0, 2), "floor")

    def epoch():
        rows = {
            name: {who: floor + data.draw(number) for who in data.draw(st.sets(st.sampled_from("abc")))}
            for name in TEN
        }
        fits = {name: sum(row.values()) + (3 - len(row)) * floor for name, row in rows.items()}
        return rows, fits  # the capacity is what the epoch grants: no room to hide in

    epochs = [epoch() for _ in range(data.draw(st.integers(2, 7), "epochs"))]
    script = Script(
        epochs,
        floor,
        counted=whole,
        linger=data.draw(st.sampled_from([0.0, 1.0]), "linger"),
        rates=tuple(data.draw(st.tuples(*[st.sampled_from([1.0, 1.2, 1.5])] * 3))),
        lives=10,
    )
    found = walk(script, data.draw(st.integers(0, 1000), "seed"), 120)
    assert found.wrong == "", found.trace


def turn(world, names="abc"):
    """One turn of the log: what is on its way is committed, then told to these, who do their part."""
    for choice in [choice for choice in world.choices() if choice.startswith("commit")]:
        world = world.after(choice)
    for what in ("take", "tick", "fit", "mark"):
        for name in names:
            while f"{what} {name}" in world.choices():
                world = world.after(f"{what} {name}")
    assert world.wrong() == ""
    return world


def healed(world, units, names="abc"):
    """Some units of time in which nothing is lost, with three turns of the log in each."""
    for _ in range(units):
        for _ in range(3):
            world = turn(world, names)
        world = world.after("time")
        assert world.wrong() == ""
    return world


def unmet(world):
    """Which newest targets are not what may be used."""
    rows = world.log[-1].state.amounts
    return [
        (seat.view.me, name)
        for number, seat in enumerate(world.seats)
        for name in TEN
        if seat.view.usable(name, world.now(number)) != rows.get(name, {}).get(seat.view.me, 1)
    ]


@pytest.mark.parametrize("script", [SHARES, COUNTED, LINGERS], ids=["shares", "counted", "lingers"])
def test_in_peace_a_grower_has_its_target_within_two_turns(script):
    world = healed(World.begin(longer(script)), 1)
    for _ in range(6):
        world = turn(turn(world.after("epoch")))
        assert unmet(world) == []
        assert world.log[-1].state.open_epochs == ()
        world = healed(world, 1)


@pytest.mark.parametrize("script", [SHARES, COUNTED, LINGERS], ids=["shares", "counted", "lingers"])
def test_after_a_heal_all_have_their_targets_within_lease_and_three_epochs(script):
    for seed in range(8):
        world, rng = World.begin(longer(script)), random.Random(seed)
        for _ in range(150):
            choices = world.choices()
            world = world.after(rng.choices(choices, [usual(choice) for choice in choices])[0])
        world = healed(world, int(script.lease + script.linger) + 3)
        assert unmet(world) == [], seed
        assert world.log[-1].state.open_epochs == (), seed


@pytest.mark.parametrize("lost", "abc")
def test_a_dead_holder_keeps_epochs_open_for_its_lease_only(lost):
    world = World.begin(longer(SHARES))
    for _ in range(14):
        world = world.after("epoch") if "epoch" in world.choices() else world
        world = healed(world, 2, [name for name in "abc" if name != lost])
    assert len(world.commits) == 15  # none was refused for long
    assert len(world.log[-1].state.open_epochs) <= 3


# --- variants broken on purpose: each one must be found -------------------------------------------


class GrowsAtOnce(QuotaTransfer):
    def _blocker(self, resource, rows, position, now):
        return None


class IgnoresItsLease(QuotaTransfer):
    def has_lease(self, now):
        return True


class WakesWithTheOld(QuotaTransfer):
    """Looks at its lease in ticks alone."""

    ticked = -1e9

    def tick(self, now):
        self.ticked = now
        return super().tick(now)

    def has_lease(self, now):
        return super().has_lease(min(now, max(self.ticked, self.renewed_at)))


class TrustsItsJournal(QuotaTransfer):
    """A new life serves what it remembers, before a mark has come back."""

    def has_lease(self, now):
        return super().has_lease(now) or self.renewed_at == float("-inf")


class ForgetsTheFloor(QuotaTransfer):
    """Uses what the others' floors keep free, as nobody else is named in the row."""

    def usable(self, resource, now):
        used = super().usable(resource, now)
        return used + 2 if list(self.rows.get(resource, ())) == [self.me] and used > 1 else used


class WaitsTooShort(QuotaTransfer):
    """By its own clock as if all ran alike."""

    def __init__(self, *given):
        super().__init__(*given)
        self.grow_delay = self.lease


class TrustsAnyRelease(QuotaTransfer):
    """A release of an older epoch counts as one of the newest."""

    def _record_release(self, holder, epoch):
        super()._record_release(holder, self.epoch if epoch > self.released_epochs.get(holder, 0) else epoch)


class TakesTheNewest(QuotaTransfer):
    """What it may use is the newest target once that is lower, not the lowest of all open."""

    def _find_complete_epoch(self, resource, now):
        super()._find_complete_epoch(resource, now)
        if resource in self.open_rows:
            first, last = (
                rows.get(self.me, 1) for rows in (self.open_rows[resource][0][1], self.rows[resource])
            )
            self.allowed[resource] = min(first, last)


class CountsFromThePast(QuotaTransfer):
    """The wait of others' leases begins at the last proof, not when the epoch was heard of."""

    def _see_epoch(self, epoch, rows, now):
        super()._see_epoch(epoch, rows, max(self.renewed_at, now - self.lease))


class ReleasesTooSoon(QuotaTransfer):
    """With connections out that do not fit."""

    def _due_release(self, now):
        out, self.in_use = self.in_use, {}
        said = super()._due_release(now)
        self.in_use = out
        return said


class NeverCloses(QuotaTransfer):
    def hard_limit(self, resource, now):
        return 8


class ForgetsItsDead(QuotaTransfer):
    """A new life does not wait for what its earlier one left at a silent node."""

    def __init__(self, *given):
        super().__init__(*given)
        self.linger = 0.0


def mark(number: int, proposed_at: float) -> list[str]:
    """A mark that is put in and comes back at once, told to its gateway."""
    name = "abc"[number]
    return [f"mark {name}", f"commit Mark(by={number}, life=0, proposed_at={proposed_at})", f"take {name}"]


TWICE = replace(
    SHARES, epochs=[({"t1": {who: 8}, "t2": {whose: 8}}, TEN) for who, whose in ("aa", "ba", "bb")]
)
THERE_AND_BACK = replace(
    SHARES, epochs=[({"t1": {"a": 6, "c": 3}}, TEN), ({"t1": {"b": 8}}, TEN), ({"t1": {"a": 6, "c": 3}}, TEN)]
)
BROKEN = [
    (GrowsAtOnce, SHARES, []),
    (IgnoresItsLease, SHARES, ["epoch", "take b"]),
    (WakesWithTheOld, SHARES, ["epoch", "take b"]),
    (TrustsItsJournal, SHARES, ["epoch", "take b"]),
    (ForgetsTheFloor, SHARES, []),
    (WaitsTooShort, SHARES, ["epoch", "take b", "time", *mark(1, 1.5)]),
    (CountsFromThePast, SHARES, ["time", *mark(0, 1.0), "epoch", "take b", "time", *mark(1, 3.0)]),
    (TrustsAnyRelease, TWICE, ["epoch"]),
    (
        TakesTheNewest,
        THERE_AND_BACK,
        [
            "epoch",
            "take b",
            "time",
            "time",
            *mark(1, 3.0),
            "epoch",
            "take a",
            "mark a",
            "commit Mark(by=0, life=0, proposed_at=2.0)",
        ],
    ),
    (ReleasesTooSoon, COUNTED, ["epoch"]),
    (NeverCloses, COUNTED, ["epoch", "take b", "time"]),
    (ForgetsItsDead, LINGERS, []),
]


@pytest.mark.parametrize("kind, script, before", BROKEN, ids=[kind.__name__ for kind, *_ in BROKEN])
def test_what_is_broken_on_purpose_is_found(kind, script, before):
    assert explore(script, 2, before).wrong == ""
    found = explore(replace(script, kind=kind), DEPTH, before)
    assert found.wrong
    assert follow(replace(script, kind=kind), found.trace).wrong() == found.wrong  # and replays
