"""Invariant checkers of maintenance over a history: what the log committed, and what the nodes saw.

A checker returns the violations, one line each.  It knows the requests and the failure domains of the
machines, and none of the code that it judges.  Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

DRAIN_EFFECTIVE_S = 0.25  # seconds after which a drain that a gateway knows of is in effect
FAILURE_KNOWN_S = 8.0  # seconds after which all gateways know of a failure: an election and a lease
CAUGHT_UP_S = 2.0  # seconds before the end; each gateway has read what was committed before
UNAVAILABLE_STEPS = ("agreed", "draining", "empty", "out", "back", "warming")
ROUNDING = 1e-9  # by which sums of floats may be off


@dataclass(frozen=True, slots=True)
class Moved:
    """The log committed a machine's step."""

    at: float
    index: int
    machine: str
    step: str


@dataclass(frozen=True, slots=True)
class StepRead:
    """A gateway read from the log that a machine took a step."""

    at: float
    gateway: str
    index: int
    machine: str
    step: str


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """A gateway begins or ends to drain a node."""

    at: float
    gateway: str
    node: str
    out: bool


@dataclass(frozen=True, slots=True)
class Arrival:
    """A node received a request and executes it until `end`."""

    at: float
    gateway: str
    node: str
    end: float


@dataclass(frozen=True, slots=True)
class Down:
    """A machine fails or recovers."""

    at: float
    machine: str
    down: bool


@dataclass(frozen=True, slots=True)
class Ended:
    """The walk ended; `rest` says whether no machine was under way any more."""

    at: float
    rest: bool


@dataclass(frozen=True, slots=True)
class RequestsActivated:
    """A policy was committed: these requests are in force from now on."""

    at: float
    ids: tuple[str, ...]


Event = Moved | StepRead | DrainChanged | Arrival | Down | Ended | RequestsActivated
History = Sequence[Event]


@dataclass(frozen=True, slots=True)
class MachineLocation:
    """The failure domains of a machine, and its share of capacity."""

    zone: str
    shard: int = 0
    weight: float = 1.0
    gateway: bool = False


class _Progress:
    """The machines that are unavailable or have failed, as of an event of the history."""

    def __init__(self) -> None:
        self.step: dict[str, str] = {}
        self.down: dict[str, float] = {}
        self.ids: tuple[str, ...] | None = None

    def binding(self, requests: list[Mapping[str, Any]]) -> list[Mapping[str, Any]]:
        """The requests in force that have a machine unavailable."""
        return [
            request
            for request in requests
            if (self.ids is None or request["id"] in self.ids) and self.away() & set(request["machines"])
        ]

    def apply(self, event: Event) -> None:
        """Advance to the next event."""
        if isinstance(event, Moved):
            self.step[event.machine] = event.step
        elif isinstance(event, RequestsActivated):
            self.ids = event.ids
        elif isinstance(event, Down):
            if event.down:
                self.down[event.machine] = event.at
            else:
                self.down.pop(event.machine, None)

    def away(self) -> set[str]:
        """The machines whose step makes them unavailable."""
        return {name for name, step in self.step.items() if step in UNAVAILABLE_STEPS}

    def known_failed(self, now: float) -> set[str]:
        """The machines that failed so long ago that every gateway knows."""
        return {name for name, at in self.down.items() if now > at + FAILURE_KNOWN_S}


def too_many(
    history: History, places: Mapping[str, MachineLocation], requests: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Never more machines unavailable than each binding request allows, in all and in one zone."""
    violations: list[str] = []
    progress = _Progress()
    known_requests = list(requests)
    for event in history:
        progress.apply(event)
        if not isinstance(event, Moved) or event.step not in ("agreed", "draining", "out"):
            continue
        away = progress.away()
        down = progress.known_failed(event.at) if event.step == "out" else set()
        there = away | {name for name in down if places[name].gateway == places[event.machine].gateway}
        there -= {name for name, step in progress.step.items() if step == "lost"}
        for request in progress.binding(known_requests):
            if len(there) > request.get("at_once", 1):
                violations.append(
                    f"{event.at:.2f}: {sorted(there)} away, {request['id']} allows "
                    f"{request.get('at_once', 1)}"
                )
            zone = [name for name in there if places[name].zone == places[event.machine].zone]
            if len(zone) > request.get("at_once_zone", 1):
                violations.append(
                    f"{event.at:.2f}: {sorted(zone)} away in a zone, {request['id']} allows "
                    f"{request.get('at_once_zone', 1)}"
                )
    return violations


def _nodes_let_go(
    history: History, places: Mapping[str, MachineLocation], progress: _Progress
) -> Iterator[Moved]:
    """The events at which a storage node begins to drain or goes out; `progress` is advanced to each."""
    for event in history:
        progress.apply(event)
        if (
            isinstance(event, Moved)
            and event.step in ("draining", "out")
            and (not places[event.machine].gateway)
        ):
            yield event


def below_floor(
    history: History, places: Mapping[str, MachineLocation], requests: Iterable[Mapping[str, Any]]
) -> list[str]:
    """No node is drained whose zone or shard would fall below its capacity floor, failed nodes counted."""
    violations: list[str] = []
    progress = _Progress()
    known_requests = list(requests)
    for event in _nodes_let_go(history, places, progress):
        away = progress.away()
        lost = {name for name, step in progress.step.items() if step == "lost"}
        gone = away | lost | (progress.known_failed(event.at) if event.step == "out" else set())
        for request in progress.binding(known_requests):
            for what, floor in (
                ("zone", request.get("zone_floor", 0.5)),
                ("shard", request.get("shard_floor", 0.0)),
            ):
                group = [
                    name
                    for name, place in places.items()
                    if not place.gateway and getattr(place, what) == getattr(places[event.machine], what)
                ]
                left = sum(places[name].weight for name in group if name not in gone)
                share = left / sum(places[name].weight for name in group)
                if share < floor - ROUNDING:
                    violations.append(
                        f"{event.at:.2f}: {event.machine} {event.step}, {what} keeps {share:.2f}"
                    )
    return violations


def orders_differ(history: History) -> list[str]:
    """Every gateway, in every incarnation, reads the same steps at the same log indexes and misses none."""
    violations: list[str] = []
    first: dict[int, tuple[str, frozenset[tuple[str, str]]]] = {}
    read: dict[tuple[str, int, float], set[tuple[str, str]]] = {}
    for event in history:
        if isinstance(event, StepRead):
            read.setdefault((event.gateway, event.index, event.at), set()).add((event.machine, event.step))
        elif isinstance(event, Moved):
            read.setdefault(("the log", event.index, event.at), set()).add((event.machine, event.step))
    for (gateway, index, _), steps in read.items():
        by, other = first.setdefault(index, (gateway, frozenset(steps)))
        if other != steps:
            violations.append(f"place {index}: {by} reads {sorted(other)}, {gateway} {sorted(steps)}")
    committed: dict[int, float] = {}  # by log index at which anybody read a step: when first
    for _, index, at in read:
        committed[index] = min(at, committed.get(index, at))
    ends = [event.at for event in history if isinstance(event, Ended)]
    for name in {gateway for gateway, *_ in read}:
        missed = {index for index, at in committed.items() if ends and at < ends[-1] - CAUGHT_UP_S} - {
            index for gateway, index, _ in read if gateway == name
        }
        violations += [f"place {index}: {name} never read it" for index in sorted(missed)]
    return violations


def sent_to_drained(history: History) -> list[str]:
    """A gateway sends nothing to a node that it drains; nobody sends to a node that is out."""
    violations: list[str] = []
    drained_since: dict[tuple[str, str], float] = {}
    out: set[str] = set()
    busy: dict[str, list[Arrival]] = {}
    for event in history:
        match event:
            case DrainChanged(at, gateway, node, True):
                drained_since[gateway, node] = at
            case DrainChanged(_, gateway, node, False):
                drained_since.pop((gateway, node), None)
            case Moved(at, _, machine, step):
                if step == "out":
                    out.add(machine)
                    violations += [
                        f"{at:.2f}: {machine} is let go with {one.gateway}'s work until {one.end:.2f}"
                        for one in busy.get(machine, ())
                        if one.end > at
                    ]
                elif step != "lost":
                    out.discard(machine)
            case Arrival(at, gateway, node, _):
                busy[node] = [one for one in busy.get(node, ()) if one.end > at] + [event]
                if at > drained_since.get((gateway, node), at) + DRAIN_EFFECTIVE_S:
                    violations.append(
                        f"{at:.2f}: {gateway} sends to {node}, told {drained_since[gateway, node]:.2f}"
                    )
                if node in out:
                    violations.append(f"{at:.2f}: {gateway} sends to {node}, which is out")
    return violations


def without_quorum(history: History, places: Mapping[str, MachineLocation]) -> list[str]:
    """A gateway goes out only while a majority stays up, failed gateways counted."""
    violations: list[str] = []
    progress = _Progress()
    members = {name for name, place in places.items() if place.gateway}
    for event in history:
        progress.apply(event)
        if isinstance(event, Moved) and event.step == "out" and event.machine in members:
            gone = {name for name in members if progress.step.get(name) in ("out", "lost")}
            gone |= progress.known_failed(event.at) & members
            if len(gone) * 2 >= len(members):
                violations.append(
                    f"{event.at:.2f}: {sorted(gone)} of {len(members)} gateways are out or down"
                )
    return violations


def unended(history: History) -> list[str]:
    """Once all faults are healed every machine comes to rest."""
    return [
        f"{event.at:.2f}: machines are still on their way"
        for event in history
        if isinstance(event, Ended) and not event.rest
    ]


def together(
    history: History, places: Mapping[str, MachineLocation], requests: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Nodes that are retry peers of one another are not drained together."""
    violations: list[str] = []
    progress = _Progress()
    known_requests = list(requests)
    for event in _nodes_let_go(history, places, progress):
        away = progress.away()
        for what in {
            request["repeats"] for request in progress.binding(known_requests) if request.get("repeats")
        }:
            near = {
                name
                for name in away
                if not places[name].gateway
                and (what == "all" or getattr(places[name], what) == getattr(places[event.machine], what))
            }
            if len(near) > 1:
                violations.append(f"{event.at:.2f}: {sorted(near)} share repeats by {what}")
    return violations
