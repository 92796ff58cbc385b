"""Quota transfer under all orders of events up to a depth, under random walks, and with broken variants."""

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
    result = explore(SCRIPTS[name], depth)
    assert result.wrong == "", result.trace
    assert result.worlds > worlds


HARD_CASES = {
    # the events before; from there on every order of events is explored
    "a large share is killed": ["epoch", "restart a", "restart b"],
    "cut in two, the small side holds": ["epoch", "take b", "take c", "time", "time"],
    "cut in three": ["epoch", "time", "time", "take b"],
    "stopped, wakes with an old allotment": ["epoch", "take b", "take c", "time", "time", "time", "tick b"],
    "changed while a shift is under way": ["epoch", "take a", "epoch", "take b", "epoch"],
    "entries late, told at once": ["epoch", "epoch", "epoch", "jump b", "take a"],
    "restarts in a row": ["epoch", "take a", "restart a", "take b", "restart b", "take c", "restart c"],
    "capacity falls at once": ["epoch", "take a", "take b", "take c", "epoch", "time"],
}


@pytest.mark.parametrize("name", HARD_CASES)
@pytest.mark.parametrize("script", [SHARES, LINGERS], ids=["shares", "lingers"])
def test_every_order_of_events_after_a_hard_case(name, script):
    result = explore(script, 3, HARD_CASES[name])
    assert result.wrong == "", result.trace
    assert result.worlds > 200


@pytest.mark.parametrize("name", SCRIPTS)
def test_long_walks(name):
    for seed in range(12):
        result = walk(repeated(SCRIPTS[name]), seed, 400)
        assert result.wrong == "", (seed, result.trace)


def repeated(script: Script) -> Script:
    """Repeat the script's epochs, back and forth."""
    return replace(script, epochs=[*script.epochs] * 8, lives=100)


@given(st.data())
def test_walks_of_any_script(data):
    whole = data.draw(st.booleans(), "connections")
    number = st.integers(0, 6) if whole else st.floats(0, 6)
    floor = data.draw(st.integers(0, 2) if whole else st.floats(0, 2), "floor")

    def epoch():
        rows = {
            name: {
                holder_name: floor + data.draw(number)
                for holder_name in data.draw(st.sets(st.sampled_from("abc")))
            }
            for name in TEN
        }
        fits = {name: sum(row.values()) + (3 - len(row)) * floor for name, row in rows.items()}
        return rows, fits  # the capacity equals the grants, so that any excess is found

    epochs = [epoch() for _ in range(data.draw(st.integers(2, 7), "epochs"))]
    script = Script(
        epochs,
        floor,
        counted=whole,
        linger=data.draw(st.sampled_from([0.0, 1.0]), "linger"),
        rates=tuple(data.draw(st.tuples(*[st.sampled_from([1.0, 1.2, 1.5])] * 3))),
        lives=10,
    )
    result = walk(script, data.draw(st.integers(0, 1000), "seed"), 120)
    assert result.wrong == "", result.trace


def run_turn(world, names="abc"):
    """One turn of the log: pending proposals are committed, and these members process them and act."""
    for choice in [choice for choice in world.choices() if choice.startswith("commit")]:
        world = world.after(choice)
    for event in ("take", "tick", "fit", "mark"):
        for name in names:
            while f"{event} {name}" in world.choices():
                world = world.after(f"{event} {name}")
    assert world.wrong() == ""
    return world


def run_without_faults(world, units, names="abc"):
    """Run some units of time without message loss, with three turns of the log in each."""
    for _ in range(units):
        for _ in range(3):
            world = run_turn(world, names)
        world = world.after("time")
        assert world.wrong() == ""
    return world


def unmet_targets(world):
    """The holders and resources whose usable amount differs from the newest target."""
    rows = world.log[-1].state.amounts
    return [
        (seat.view.me, name)
        for number, seat in enumerate(world.seats)
        for name in TEN
        if seat.view.usable(name, world.now(number)) != rows.get(name, {}).get(seat.view.me, 1)
    ]


@pytest.mark.parametrize("script", [SHARES, COUNTED, LINGERS], ids=["shares", "counted", "lingers"])
def test_without_faults_a_grower_has_its_target_within_two_turns(script):
    world = run_without_faults(World.begin(repeated(script)), 1)
    for _ in range(6):
        world = run_turn(run_turn(world.after("epoch")))
        assert unmet_targets(world) == []
        assert world.log[-1].state.open_epochs == ()
        world = run_without_faults(world, 1)


@pytest.mark.parametrize("script", [SHARES, COUNTED, LINGERS], ids=["shares", "counted", "lingers"])
def test_after_a_heal_all_have_their_targets_within_lease_and_three_epochs(script):
    for seed in range(8):
        world, rng = World.begin(repeated(script)), random.Random(seed)
        for _ in range(150):
            choices = world.choices()
            world = world.after(rng.choices(choices, [usual(choice) for choice in choices])[0])
        world = run_without_faults(world, int(script.lease + script.linger) + 3)
        assert unmet_targets(world) == [], seed
        assert world.log[-1].state.open_epochs == (), seed


@pytest.mark.parametrize("dead_holder", "abc")
def test_a_dead_holder_keeps_epochs_open_for_its_lease_only(dead_holder):
    world = World.begin(repeated(SHARES))
    for _ in range(14):
        world = world.after("epoch") if "epoch" in world.choices() else world
        world = run_without_faults(world, 2, [name for name in "abc" if name != dead_holder])
    assert len(world.commits) == 15  # no epoch was refused for long
    assert len(world.log[-1].state.open_epochs) <= 3


# --- broken variants: each one must be detected ---------------------------------------------------


class GrowsAtOnce(QuotaTransfer):
    def _blocker(self, resource, rows, position, now):
        return None


class IgnoresItsLease(QuotaTransfer):
    def has_lease(self, now):
        return True


class ChecksItsLeaseInTicksOnly(QuotaTransfer):
    """Checks its lease in ticks only."""

    ticked = -1e9

    def tick(self, now):
        self.ticked = now
        return super().tick(now)

    def has_lease(self, now):
        return super().has_lease(min(now, max(self.ticked, self.renewed_at)))


class UsesQuotaBeforeItsFirstHeartbeat(QuotaTransfer):
    """A new incarnation uses its restored quota before a heartbeat of it is committed."""

    def has_lease(self, now):
        return super().has_lease(now) or self.renewed_at == float("-inf")


class UsesTheFloorsOfOthers(QuotaTransfer):
    """Uses the others' floors where its row names no other holder."""

    def usable(self, resource, now):
        used = super().usable(resource, now)
        return used + 2 if list(self.rows.get(resource, ())) == [self.me] and used > 1 else used


class IgnoresClockDrift(QuotaTransfer):
    """Waits without a margin for clock drift."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.grow_delay = self.lease


class TrustsAnyRelease(QuotaTransfer):
    """Counts a release of an older epoch as one of the newest."""

    def _record_release(self, holder, epoch):
        super()._record_release(holder, self.epoch if epoch > self.released_epochs.get(holder, 0) else epoch)


class IgnoresIntermediateEpochs(QuotaTransfer):
    """Uses the lower of the first and the newest target, not the lowest of all open epochs."""

    def _find_complete_epoch(self, resource, now):
        super()._find_complete_epoch(resource, now)
        if resource in self.open_rows:
            first_target, newest_target = (
                rows.get(self.me, 1) for rows in (self.open_rows[resource][0][1], self.rows[resource])
            )
            self.allowed[resource] = min(first_target, newest_target)


class WaitsFromItsLastRenewal(QuotaTransfer):
    """Waits for others' leases from its last renewal, not from when it saw the epoch."""

    def _see_epoch(self, epoch, rows, now):
        super()._see_epoch(epoch, rows, max(self.renewed_at, now - self.lease))


class ReleasesTooSoon(QuotaTransfer):
    """Releases an epoch while its open connections do not fit."""

    def _due_release(self, now):
        out, self.in_use = self.in_use, {}
        releases = super()._due_release(now)
        self.in_use = out
        return releases


class NeverCloses(QuotaTransfer):
    def hard_limit(self, resource, now):
        return 8


class IgnoresLingeringConnections(QuotaTransfer):
    """A new incarnation does not wait for the connections that its earlier one left at a silent node."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.linger = 0.0


def heartbeat_events(number: int, proposed_at: float) -> list[str]:
    """A heartbeat that is proposed, committed at once, and processed by its gateway."""
    name = "abc"[number]
    return [f"mark {name}", f"commit Mark(by={number}, life=0, proposed_at={proposed_at})", f"take {name}"]


OPPOSITE_CHANGES = replace(
    SHARES,
    epochs=[
        ({"t1": {holder_name: 8}, "t2": {other_holder: 8}}, TEN)
        for holder_name, other_holder in ("aa", "ba", "bb")
    ],
)
THERE_AND_BACK = replace(
    SHARES, epochs=[({"t1": {"a": 6, "c": 3}}, TEN), ({"t1": {"b": 8}}, TEN), ({"t1": {"a": 6, "c": 3}}, TEN)]
)
BROKEN = [
    (GrowsAtOnce, SHARES, []),
    (IgnoresItsLease, SHARES, ["epoch", "take b"]),
    (ChecksItsLeaseInTicksOnly, SHARES, ["epoch", "take b"]),
    (UsesQuotaBeforeItsFirstHeartbeat, SHARES, ["epoch", "take b"]),
    (UsesTheFloorsOfOthers, SHARES, []),
    (IgnoresClockDrift, SHARES, ["epoch", "take b", "time", *heartbeat_events(1, 1.5)]),
    (
        WaitsFromItsLastRenewal,
        SHARES,
        ["time", *heartbeat_events(0, 1.0), "epoch", "take b", "time", *heartbeat_events(1, 3.0)],
    ),
    (TrustsAnyRelease, OPPOSITE_CHANGES, ["epoch"]),
    (
        IgnoresIntermediateEpochs,
        THERE_AND_BACK,
        [
            "epoch",
            "take b",
            "time",
            "time",
            *heartbeat_events(1, 3.0),
            "epoch",
            "take a",
            "mark a",
            "commit Mark(by=0, life=0, proposed_at=2.0)",
        ],
    ),
    (ReleasesTooSoon, COUNTED, ["epoch"]),
    (NeverCloses, COUNTED, ["epoch", "take b", "time"]),
    (IgnoresLingeringConnections, LINGERS, []),
]


@pytest.mark.parametrize("kind, script, before", BROKEN, ids=[kind.__name__ for kind, *_ in BROKEN])
def test_broken_variants_are_detected(kind, script, before):
    assert explore(script, 2, before).wrong == ""
    result = explore(replace(script, kind=kind), DEPTH, before)
    assert result.wrong
    assert follow(replace(script, kind=kind), result.trace).wrong() == result.wrong  # and the trace replays
