"""Which machine is next, and why: pure functions of what is agreed.

A *picture* joins all live gateways' reports into one view: a node's place and weight are what most of them
say, it is down if at least half of those that know it say so, its work is the sum.  A *limit* says why a
machine may not go now, or nothing.  `choose` tries the machines in one order and takes the first that all
limits let go; they hold for each request that asked for it, and for each that has a machine away.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import TypeVar

from mallowbeam.storage_gateway.coordination.maintenance.state import (
    AWAY,
    Item,
    Maintained,
    NodeFacts,
    Request,
)


@dataclass(frozen=True, slots=True)
class Picture:
    """What all gateways see together; `away` and `down` are machines that are not there."""

    nodes: dict[str, NodeFacts]
    zones: dict[str, str]  # of nodes and gateways
    members: tuple[str, ...]
    away: frozenset[str] = frozenset()  # under way by an order
    down: frozenset[str] = frozenset()  # by themselves
    lost: frozenset[str] = frozenset()  # out past their time

    @property
    def absent(self) -> frozenset[str]:
        """All that are not there."""
        return self.away | self.down | self.lost

    def missing(self, machine: str) -> set[str]:
        """What counts beside this one: all under way, and of its own kind those down by themselves.

        A gateway that is down takes no capacity from the nodes, and must not hold their order up.
        """
        gateway = machine in self.members
        return set(self.away | {name for name in self.down if (name in self.members) == gateway}) - {machine}

    def without(self, machine: str) -> Picture:
        """The same with this one not counted as under way."""
        return replace(self, away=self.away - {machine}, down=self.down - {machine})


T = TypeVar("T", int, tuple[str, int, float])
Limit = Callable[[Picture, str, Request], str]


def picture(state: Maintained, members: Sequence[str]) -> Picture:
    """What all live gateways' reports say together."""
    live = [state.reports[name] for name in sorted(state.reports) if name not in state.gone]
    seen: dict[str, list[NodeFacts]] = {}
    for report in live or state.reports.values():
        for name, facts in report.nodes.items():
            seen.setdefault(name, []).append(facts)
    nodes = {name: _joined(told) for name, told in seen.items()}
    zones = {name: facts.zone for name, facts in nodes.items()}
    zones |= {name: report.zone for name, report in state.reports.items()}
    items = state.items.values()
    away = frozenset(item.machine for item in items if item.step in AWAY)
    lost = frozenset(item.machine for item in items if item.step == "lost")
    down = {name for name, facts in nodes.items() if not facts.up or name in state.drains}
    down |= {name for name in members if name in state.gone or name not in state.reports}
    return Picture(nodes, zones, tuple(members), away, frozenset(down) - away - lost, lost)


def _joined(told: list[NodeFacts]) -> NodeFacts:
    zone, shard, weight = _most([(facts.zone, facts.shard, facts.weight) for facts in told])
    return NodeFacts(
        zone,
        shard,
        weight,
        sum([facts.up for facts in told]) * 2 > len(told),
        sum([facts.work for facts in told]),
        max([facts.load for facts in told]),
        True in [facts.sole for facts in told],
        _most([facts.started for facts in told]),
    )


def _most(told: list[T]) -> T:
    """What most say; of several the least, so that all gateways take the same."""
    if len(values := set(told)) == 1:
        return told[0]
    counts = Counter(told)
    most = max(counts.values())
    return min(value for value in values if counts[value] == most)


# --- limits: why a machine may not go now, or "" ---------------------------------------------------


def in_all(view: Picture, machine: str, rule: Request) -> str:
    """At most so many not there at once; those past their time are given up as hands, not as capacity."""
    there = sorted(view.missing(machine))
    if len(there) + 1 <= rule.at_once:
        return ""
    return f"{_names(there)} not there, {rule.id} allows {rule.at_once} at once"


def in_zone(view: Picture, machine: str, rule: Request) -> str:
    """The same in one zone."""
    zone = view.zones.get(machine, "")
    there = sorted(name for name in view.missing(machine) if view.zones.get(name, "") == zone)
    if len(there) + 1 <= rule.at_once_zone:
        return ""
    return f"{_names(there)} not there in zone {zone!r}, {rule.id} allows {rule.at_once_zone} in one zone"


def zone_capacity(view: Picture, machine: str, rule: Request) -> str:
    """The share of its zone's weight that stays."""
    if (facts := view.nodes.get(machine)) is None:
        return ""
    left = _left(view, machine, (n for n, f in view.nodes.items() if f.zone == facts.zone))
    return (
        ""
        if left >= rule.zone_floor - 1e-9
        else (
            f"zone {facts.zone!r} would keep {left:.2f} of its capacity, "
            f"{rule.id} wants {rule.zone_floor:.2f}"
        )
    )


def shard_capacity(view: Picture, machine: str, rule: Request) -> str:
    """The share of its shard's weight that stays."""
    if (facts := view.nodes.get(machine)) is None:
        return ""
    left = _left(view, machine, (n for n, f in view.nodes.items() if f.shard == facts.shard))
    return (
        ""
        if left >= rule.shard_floor - 1e-9
        else (
            f"shard {facts.shard} would keep {left:.2f} of its capacity, "
            f"{rule.id} wants {rule.shard_floor:.2f}"
        )
    )


def sole_data(view: Picture, machine: str, rule: Request) -> str:
    """Data that only this machine serves stays in service."""
    if rule.sole_data or (facts := view.nodes.get(machine)) is None:
        return ""
    others = [n for n, f in view.nodes.items() if f.shard == facts.shard and n not in view.absent | {machine}]
    if others and not facts.sole:
        return ""
    return f"only {machine} serves {'some of its data' if others else f'shard {facts.shard}'}"


def apart(view: Picture, machine: str, rule: Request) -> str:
    """Nodes that share the repeats of keyed requests are not out together."""
    if not rule.repeats or (facts := view.nodes.get(machine)) is None:
        return ""
    for name in sorted(view.absent - {machine}):
        other = view.nodes.get(name)
        if other is not None and (
            rule.repeats == "all"
            or rule.repeats == "zone"
            and other.zone == facts.zone
            or rule.repeats == "shard"
            and other.shard == facts.shard
        ):
            return f"{name} is not there and shares repeats with it ({rule.id}: {rule.repeats})"
    return ""


def majority(view: Picture, machine: str, rule: Request) -> str:
    """Gateways that are not there stay a minority, those down by themselves and this one counted."""
    if machine not in view.members:
        return ""
    there = sorted(name for name in view.members if name in view.absent and name != machine)
    if len(there) + 1 <= (len(view.members) - 1) // 2:
        return ""
    return (
        f"{len(there) + 1} of {len(view.members)} gateways would not be there"
        f"{f' ({_names(there)} now)' if there else ''}: the log needs more than half"
    )


LIMITS: tuple[Limit, ...] = (in_all, in_zone, zone_capacity, shard_capacity, sole_data, apart, majority)


def _left(view: Picture, machine: str, names: Iterable[str]) -> float:
    group = list(names)
    whole = sum(view.nodes[name].weight for name in group)
    gone = view.absent | {machine}
    return sum(view.nodes[name].weight for name in group if name not in gone) / whole if whole > 0 else 1.0


def _names(names: Sequence[str]) -> str:
    describe = ", ".join(names[:3]) + (f" and {len(names) - 3} more" if len(names) > 3 else "")
    return f"{describe} {'is' if len(names) == 1 else 'are'}"


# --- the choice ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Choice:
    """The next machine, or none; why in either case."""

    machine: str | None
    why: str


@dataclass(frozen=True, slots=True)
class Order:
    """The rules of the order; a test takes limits away."""

    members: tuple[str, ...]
    limits: tuple[Limit, ...] = field(default=LIMITS)

    def hinders(self, state: Maintained, item: Item, view: Picture) -> str:
        """Why this machine may not go now; "" if it may."""
        view = view.without(item.machine)
        for rule in self._rules(state, item, view):
            for limit in self.limits:
                if why := limit(view, item.machine, rule):
                    return why
        return ""

    def _rules(self, state: Maintained, item: Item, view: Picture) -> list[Request]:
        """The requests that asked for it, and those with a machine away: each is kept."""
        ids = set(item.asked)
        for name in view.away:
            ids |= set(state.items[name].asked)
        return [state.requests[id] for id in sorted(ids) if id in state.requests]

    def waiting(self, state: Maintained, view: Picture) -> list[Item]:
        """Those that are not begun, as they are tried.

        Nodes before gateways, as gateways' reports are what the order rests on; a zone that is begun before
        another, so that few are disturbed; least work out there first, as it is soonest empty, then the least
        load; then by name.
        """
        begun = {
            view.zones.get(item.machine, "")
            for item in state.items.values()
            if item.step in AWAY or item.step == "done"
        }
        return sorted(
            (item for item in state.items.values() if item.step == "proposed" and not state.halted(item)),
            key=lambda item: (
                item.gateway,
                view.zones.get(item.machine, "") not in begun,
                _work(view, item.machine),
                round(_load(view, item.machine), 2),
                item.machine,
            ),
        )

    def choose(self, state: Maintained, view: Picture | None = None) -> Choice:
        """The next machine, the same on every gateway that has read as far."""
        view = view or picture(state, self.members)
        passed: list[str] = []
        for item in (waiting := self.waiting(state, view)):
            if why := self.hinders(state, item, view):
                passed.append(f"{item.machine} may not go: {why}")
                continue
            place = (
                "a gateway, as no node may go"
                if item.gateway
                else (
                    f"zone {view.zones.get(item.machine, '')!r}, "
                    f"{_work(view, item.machine)} attempts out there"
                )
            )
            told = f"{item.machine} is next of {len(waiting)} that wait: {place}"
            return Choice(item.machine, told + (f"; {passed[0]}" if passed else ""))
        if passed:
            return Choice(None, f"paused: {passed[0]}")
        if state.stopped and any(item.step == "proposed" for item in state.items.values()):
            return Choice(None, "stopped: " + "; ".join(state.stopped.values()))
        return Choice(None, "nothing waits")


def _work(view: Picture, machine: str) -> int:
    facts = view.nodes.get(machine)
    return facts.work if facts is not None else 0


def _load(view: Picture, machine: str) -> float:
    facts = view.nodes.get(machine)
    return facts.load if facts is not None else 0.0
