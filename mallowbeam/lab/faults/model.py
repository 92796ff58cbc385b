"""Every order of events for a few gateways that hand over shares: a bounded model checker, and random walks.

A `World` is true time, the log's states, and for each gateway its life and what it has taken in.  `choices`
names what may happen next, `after` makes the world in which it has happened; worlds are never changed, so a
search goes back by keeping the old one.  Nothing need happen: a message not chosen is lost, a gateway not
chosen is cut off or stopped, a tick not chosen was missed.  What each may use is asked of all at every world.

    epoch        the next of the script is committed             take G    G is told the log's next entry
    mark G       G puts a mark in; one on its way is lost        jump G    G is told the newest state, whole
    commit X     something on its way is committed               tick G    G's timer runs
    restart G    G is killed; a new life has what G had heard    time      a unit of true time passes
    fit G        what G has out above what it may use ends       (with connections only)

A gateway uses all that it may: of shares what is usable now, of connections whatever was usable, until it is
ended (`fit`) or has to be closed by force (`hard_limit`). Checked at each world: the sum of what is in use is
within the capacity of one epoch, and of none whose successor was committed longer than lease and linger ago.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Generic

from mallowbeam.storage_gateway.coordination.quota_epochs import (
    MAX_OPEN_EPOCHS,
    Bounds,
    N,
    QuotaEpochs,
    next_epoch,
    release,
)
from mallowbeam.storage_gateway.coordination.quota_transfer import QuotaTransfer, Release, TransferTiming

RELATIVE_TOLERANCE = 1e-9  # of a capacity: a sum of floats
GATEWAYS = ("a", "b", "c")
Rows = Mapping[str, Mapping[str, N]]


@dataclass(frozen=True)
class Script(Generic[N]):
    """What a run is of: epochs as (rows, capacity by resource); clocks' rates, `drift` apart at most."""

    epochs: Sequence[tuple[Rows[N], Mapping[str, N]]]
    floor: N
    lease: float = 2.0
    drift: float = 0.5
    linger: float = 0.0
    rates: tuple[float, ...] = (1.0, 1.5, 1.0)
    lives: int = 2  # restarts of each at most
    counted: bool = False  # whole connections that stay out until they are closed
    kind: type[QuotaTransfer[Any]] = QuotaTransfer
    names: tuple[str, ...] = GATEWAYS

    def least(self, resource: str, holder: str) -> N:
        """The floor, the same for all."""
        return self.floor

    def view(self, name: str, started_at: float) -> QuotaTransfer[N]:
        """A new incarnation's view; it proposes no release twice."""
        timing = TransferTiming(self.lease, self.drift, self.linger, retry=1e9)
        return self.kind(name, self.names, self.least, timing, started_at)


@dataclass(frozen=True)
class Mark:
    """A mark on its way or in the log."""

    by: int
    life: int
    proposed_at: float


@dataclass(frozen=True)
class Word:
    """A release on its way: the holder's own or, once its lease is over, another's for it."""

    holder: str
    epoch: int


@dataclass(frozen=True)
class Line(Generic[N]):
    """One entry of the log and the state after it; no mark: an epoch or a release, and the state says all."""

    mark: Mark | None
    state: QuotaEpochs[N]
    key: int  # of all lines up to this one


@dataclass
class Seat(Generic[N]):
    """One gateway: which life it is in, how far it has taken in the log, and its core."""

    life: int
    at: int
    view: QuotaTransfer[N]
    out: dict[str, N] = field(default_factory=dict)
    key: tuple[object, ...] = ()

    def copy(self) -> Seat[N]:
        """The same, to be changed."""
        view = object.__new__(type(self.view))
        for name, value in self.view.__dict__.items():
            if name == "open_rows":
                value = {resource: list(rows) for resource, rows in value.items()}
            elif name == "blocking":
                value = {holder: set(held) for holder, held in value.items()}
            elif isinstance(value, dict | list):
                value = value.copy()
            view.__dict__[name] = value
        return Seat(self.life, self.at, view, dict(self.out))

    def sealed(self) -> Seat[N]:
        """Changed no more: its key says all that decides what it will do."""
        v = self.view
        opened = tuple((name, rows[0][0]) for name, rows in sorted(v.open_rows.items()))
        self.key = (
            self.life,
            self.at,
            v.epoch,
            v.expired_epoch,
            v.renewed_at,
            v.started_at,
            opened,
            tuple(v.unreleased_epochs),
            v.last_release[0],
            tuple(sorted(v.released_epochs.items())),
            tuple(sorted(v.epochs_seen.items())),
            tuple(sorted(self.out.items())),
        )
        return self


@dataclass(frozen=True)
class World(Generic[N]):
    """All of it at one moment of true time."""

    script: Script[N]
    time: int
    log: tuple[Line[N], ...]
    commits: tuple[int, ...]  # when each epoch of the script was committed
    way: frozenset[Mark | Word]
    seats: tuple[Seat[N], ...]
    ghosts: tuple[tuple[float, tuple[tuple[str, N], ...]], ...] = ()  # a dead life's connections, until when

    @classmethod
    def begin(cls, script: Script[N]) -> World[N]:
        """The first epoch is settled, and everybody has just proven that it knows it."""
        rows, capacity = script.epochs[0]
        state = next_epoch(
            QuotaEpochs[N](holders=script.names), rows, Bounds(script.least, capacity.__getitem__)
        )
        seats = []
        for name in script.names:
            view = script.view(name, -1e9)
            view.restore(state, 0.0)
            view.lease_renewed(0.0)
            seats.append(Seat(0, 1, view))
        world = cls(script, 0, (Line(None, state, 0),), (0,), frozenset(), tuple(seats))
        for number in range(len(seats)):
            world._use(number, seats[number])
            seats[number].sealed()
        return world

    @property
    def key(self) -> tuple[object, ...]:
        """Equal for worlds that can't be told apart from here on."""
        return (
            self.time,
            self.log[-1].key,
            self.commits,
            self.way,
            tuple(seat.key for seat in self.seats),
            self.ghosts,
        )

    def now(self, number: int) -> float:
        """What this gateway's steady clock says."""
        return self.time * self.script.rates[number]

    # --- what may happen --------------------------------------------------------------------------

    def choices(self) -> list[str]:
        """Names of all that may happen next and would change something."""
        can = ["time"]
        newest = self.log[-1].state
        if len(self.commits) < len(self.script.epochs) and len(newest.open_epochs) < MAX_OPEN_EPOCHS:
            can.append("epoch")
        for thing in sorted(self.way, key=repr):
            can.append(f"commit {thing!r}")
        for number, (name, seat) in enumerate(zip(self.script.names, self.seats, strict=True)):
            behind = len(self.log) - seat.at
            if behind:
                can.append(f"take {name}")
            if behind > 1:
                can.append(f"jump {name}")
            if Mark(number, seat.life, self.now(number)) not in self.way:
                can.append(f"mark {name}")
            if any(self.now(number) > at + seat.view.grow_delay for at, _ in seat.view.epochs_seen.values()):
                can.append(f"tick {name}")
            if seat.life < self.script.lives:
                can.append(f"restart {name}")
            now = self.now(number)
            if any(amount > seat.view.usable(resource, now) for resource, amount in seat.out.items()):
                can.append(f"fit {name}")
        return can

    def after(self, choice: str) -> World[N]:
        """The world in which this has happened."""
        what, _, rest = choice.partition(" ")
        if what == "time":
            return self._later()
        if what == "epoch":
            rows, capacity = self.script.epochs[len(self.commits)]
            state = next_epoch(self.log[-1].state, rows, Bounds(self.script.least, capacity.__getitem__))
            return replace(self._grown(None, state), commits=(*self.commits, self.time))
        if what == "commit":
            thing = next(thing for thing in self.way if repr(thing) == rest)
            return self._commit(thing)
        number = self.script.names.index(rest)
        seat = self.seats[number].copy()
        world = self
        now, said = self.now(number), list[Release]()
        if what == "mark":
            mine = frozenset(thing for thing in self.way if isinstance(thing, Mark) and thing.by == number)
            return replace(self, way=(self.way - mine) | {Mark(number, seat.life, now)})
        if what == "restart":
            world, seat = self._restart(number, seat)
        elif what == "take":
            said = self._take(number, seat)
        elif what == "jump":
            said = seat.view.follow(self.log[-1].state, now)
            for line in self.log[seat.at :]:
                self._prove(number, seat, line.mark)
            seat.at = len(self.log)
        elif what == "tick":
            said = seat.view.tick(now)
        elif what == "fit":
            for resource, amount in seat.out.items():
                seat.out[resource] = min(amount, seat.view.usable(resource, now))
        said += world._use(number, seat)
        words = {Word(rest, word.epoch) for word in said}
        words |= {Word(*pair) for pair in seat.view.expired_holders(self.log[-1].state).items()}
        seats = tuple(seat.sealed() if at == number else other for at, other in enumerate(self.seats))
        return replace(world, way=world.way | words, seats=seats)

    def _later(self) -> World[N]:
        time = self.time + 1
        world = replace(self, time=time, ghosts=tuple(ghost for ghost in self.ghosts if ghost[0] >= time))
        if not self.script.counted:
            return world
        seats = list(self.seats)
        for number, seat in enumerate(seats):
            now = world.now(number)
            if any(amount > seat.view.hard_limit(resource, now) for resource, amount in seat.out.items()):
                seats[number] = seat = seat.copy()
                for resource, amount in seat.out.items():
                    seat.out[resource] = min(amount, seat.view.hard_limit(resource, now))
                seat.sealed()
        return replace(world, seats=tuple(seats))

    def _commit(self, thing: Mark | Word) -> World[N]:
        way, state = self.way - {thing}, self.log[-1].state
        if isinstance(thing, Word):
            state = release(state, thing.holder, thing.epoch)
            if state is self.log[-1].state:
                return replace(self, way=way)
            return replace(self._grown(None, state), way=way)
        return replace(self._grown(thing, state), way=way)

    def _grown(self, mark: Mark | None, state: QuotaEpochs[N]) -> World[N]:
        key = hash((self.log[-1].key, mark, state.epoch, tuple(sorted(state.released.items()))))
        return replace(self, log=self.log + (Line(mark, state, key),))

    def _take(self, number: int, seat: Seat[N]) -> list[Release]:
        line = self.log[seat.at]
        seat.at += 1
        self._prove(number, seat, line.mark)
        said = [] if line.mark else seat.view.follow(line.state, self.now(number))
        while seat.at < len(self.log) and (mark := self.log[seat.at].mark) is not None and mark.by != number:
            seat.at += 1  # of no concern here: taken in along with it
        return said

    def _prove(self, number: int, seat: Seat[N], mark: Mark | None) -> None:
        if mark is not None and (mark.by, mark.life) == (number, seat.life):
            seat.view.lease_renewed(mark.proposed_at)

    def _restart(self, number: int, seat: Seat[N]) -> tuple[World[N], Seat[N]]:
        script, now = self.script, self.now(number)
        ghosts = self.ghosts
        if script.linger and seat.out:
            ghosts += ((self.time + script.linger, tuple(sorted(seat.out.items()))),)
        view = script.view(script.names[number], now)
        view.restore(self.log[seat.at - 1].state, now)
        return replace(self, ghosts=ghosts), Seat(seat.life + 1, seat.at, view)

    # --- what is in use ---------------------------------------------------------------------------

    def _use(self, number: int, seat: Seat[N]) -> list[Release]:
        """Connections are opened as many as may be."""
        if not self.script.counted:
            return []
        now, said = self.now(number), list[Release]()
        for resource in self.script.epochs[0][1]:
            out = seat.out.get(resource, self.script.floor * 0)
            out = max(min(out, seat.view.hard_limit(resource, now)), seat.view.usable(resource, now))
            if out != seat.out.get(resource):
                seat.out[resource] = out
            said += seat.view.report_use(resource, out, now)
        return said

    def used(self, number: int, resource: str) -> N:
        """What this gateway has in use now."""
        seat = self.seats[number]
        return seat.out[resource] if self.script.counted else seat.view.usable(resource, self.now(number))

    def wrong(self) -> str:
        """What is above its capacity, or nothing."""
        script, first = self.script, 0
        for epoch, at in enumerate(self.commits):
            if self.time > at + script.lease / min(script.rates) + script.linger:
                first = epoch
        for resource in script.epochs[0][1]:
            capacity_of_epochs = max(
                capacity[resource] for _, capacity in script.epochs[first : len(self.commits)]
            )
            total = sum(self.used(number, resource) for number in range(len(self.seats)))
            total += sum(amount for _, held in self.ghosts for name, amount in held if name == resource)
            if total > capacity_of_epochs * (1 + RELATIVE_TOLERANCE):
                return f"{resource}: {total} in use, {capacity_of_epochs} at most"
        return ""


def follow(script: Script[N], choices: Sequence[str]) -> World[N]:
    """The world after these; for a trace that a search found, too."""
    world = World.begin(script)
    for choice in choices:
        world = world.after(choice)
    return world


@dataclass(frozen=True)
class Found:
    """What a search came to: worlds that differ, and if one was wrong, how it was come to."""

    worlds: int
    wrong: str = ""
    trace: tuple[str, ...] = ()


def explore(script: Script[N], depth: int, after: Sequence[str] = (), most_worlds: int = 10_000_000) -> Found:
    """Every order of events up to this depth, breadth first, so that a trace found is the shortest.

    `after`: what has happened before that.  Stops at `most_worlds` worlds and says how many they were.
    """
    begin = follow(script, after)
    seen = {hash(begin.key)}  # 64 bits of each: two alike are not to be feared
    layer: list[tuple[World[N], tuple[Any, ...]]] = [(begin, ())]
    for last in range(depth - 1, -1, -1):
        below: list[tuple[World[N], tuple[Any, ...]]] = []
        for world, trace in layer:
            for choice in world.choices():
                then = world.after(choice)
                trail: tuple[Any, ...] = (trace, choice)
                if (key := hash(then.key)) in seen:
                    continue
                seen.add(key)
                if wrong := then.wrong():
                    return Found(len(seen), wrong, (*after, *_unrolled(trail)))
                if last:
                    below.append((then, trail))
                if len(seen) >= most_worlds:
                    return Found(len(seen))
        layer = below
    return Found(len(seen))


def walk(script: Script[N], seed: int, steps: int, weigh: Callable[[str], float] | None = None) -> Found:
    """One long random walk; `weigh` makes some choices rarer."""
    rng, world, trace = random.Random(seed), World.begin(script), []
    for step in range(steps):
        choices = world.choices()
        weights = [(weigh or usual)(choice) for choice in choices]
        choice = rng.choices(choices, weights)[0]
        trace.append(choice)
        world = world.after(choice)
        if wrong := world.wrong():
            return Found(step + 1, wrong, tuple(trace))
    return Found(steps)


def usual(choice: str) -> float:
    """Weights under which walks get far: restarts and jumps are rare, the rest alike."""
    return {"restart": 0.03, "jump": 0.2, "time": 0.8, "epoch": 0.5}.get(choice.split(" ", 1)[0], 1.0)


def _unrolled(trace: tuple[Any, ...]) -> tuple[str, ...]:
    steps: list[str] = []
    while trace:
        trace, step = trace
        steps.append(step)
    return tuple(reversed(steps))


TEN = {"t1": 10, "t2": 10}
SHIFTS: Sequence[tuple[Rows[int], Mapping[str, int]]] = (
    ({"t1": {"a": 8}, "t2": {"b": 8}}, TEN),
    ({"t1": {"b": 8}, "t2": {"c": 8}}, TEN),
    ({"t1": {"c": 5}, "t2": {"a": 8}}, {"t1": 7, "t2": 10}),
    ({"t1": {"a": 5}, "t2": {"b": 8}}, {"t1": 7, "t2": 10}),
)
SHARES = Script(SHIFTS, 1)  # two tenants' units move on in each epoch
COUNTED = Script(SHIFTS, 1, counted=True)
LINGERS = Script(SHIFTS, 1, counted=True, linger=1.0)
