"""Draws test days: any kind of fault of a deployment, at any moment, several at once and repeatedly."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mallowbeam.lab.days.kinds import CLOSINGS, KINDS, Closing, Kind, Span, Variant
from mallowbeam.lab.days.site import Site

Value = int | float | str
FIRST_S = 1.0  # seconds from the start of traffic to the earliest fault
QUIET_END_S = 2.0  # seconds before the day's end in which no fault begins
MAX_MOMENTS = 6  # of a day, at each of which faults begin together
MAX_AT_ONCE = 4
MOMENT_SPAN_S = 0.8  # seconds within which the faults of one moment begin
MAX_CHANGES = 8  # of the configuration, besides the faults
OPTIONAL_CHANCE = 0.5
TARGET_CHANCE = 0.3
CORE_CHANCE = 0.6  # that a kind which may hit members of the control plane does
CLOSING_CHANCE = 0.7
DOWN = Span(0.5, 2.0)  # seconds
LARGEST_SEED = 2**28
TARGET_NAMES = {
    "zone": "zones",
    "to_zone": "zones",
    "region": "regions",
    "service": "services",
    "class": "request_classes",
}


@dataclass(frozen=True, slots=True)
class Entry:
    """One fault or planned operation: the fields of its TOML table, in order."""

    planned: bool
    fields: tuple[tuple[str, Value], ...]

    @property
    def kind(self) -> str:
        """The kind's name."""
        return str(dict(self.fields)["kind"])

    @property
    def at(self) -> float:
        """When it begins, in seconds from the start of traffic."""
        return float(dict(self.fields)["at"])

    @property
    def how(self) -> frozenset[str]:
        """The words of its variant."""
        return frozenset(str(dict(self.fields).get("how", "")).split())


@dataclass(frozen=True, slots=True)
class Day:
    """A day of one deployment."""

    name: str
    seed: int
    entries: tuple[Entry, ...]
    closing: tuple[tuple[str, Value], ...] = ()


def kinds_of(site: Site) -> tuple[Kind, ...]:
    """The kinds of faults that can occur on a deployment."""
    return tuple(
        kind
        for kind in KINDS
        if (not kind.only_if or kind.only_if in site.contracts)
        and (not kind.only_named or kind.name in site.named_kinds)
    )


def draw_day(site: Site, seed: int) -> Day:
    """Draw a day; the same site and seed give the same day."""
    random = Random(seed)
    kinds = kinds_of(site)
    entries = []
    for _ in range(random.randint(1, MAX_MOMENTS)):
        moment = random.uniform(FIRST_S, site.length_s - QUIET_END_S)
        for _ in range(random.randint(1, MAX_AT_ONCE)):
            at = moment + random.uniform(0.0, MOMENT_SPAN_S)
            entries.append(_entry(random, site, random.choice(kinds), at))
    entries += _changes(random, site)
    closing = _closing(random) if random.random() < CLOSING_CHANCE else ()
    return Day(f"drawn-{seed}", random.randrange(1, LARGEST_SEED), tuple(entries), closing)


def _changes(random: Random, site: Site) -> list[Entry]:
    """Ordinary configuration changes over the day: many defects show only in them."""
    change = next(kind for kind in KINDS if kind.name == "config_change")
    return [
        _entry(random, site, change, random.uniform(FIRST_S, site.length_s - QUIET_END_S))
        for _ in range(random.randint(0, MAX_CHANGES))
    ]


def _entry(random: Random, site: Site, kind: Kind, at: float) -> Entry:
    """Draw the fields of one fault."""
    fields: list[tuple[str, Value]] = [("at", round(at, 2)), ("kind", kind.name)]
    fields += _target(random, site, kind)
    fields += [(name, _number(random, span)) for name, span in kind.fields.items()]
    fields += [
        (name, _number(random, span))
        for name, span in kind.optional.items()
        if random.random() < OPTIONAL_CHANCE
    ]
    if how := _how(random, kind.variants):
        fields.append(("how", how))
    return Entry(kind.planned, tuple(fields))


def _target(random: Random, site: Site, kind: Kind) -> list[tuple[str, Value]]:
    """Draw the fields that name the target, as far as the fault has one."""
    fields: list[tuple[str, Value]] = []
    if "core" in kind.on and random.random() < CORE_CHANCE:
        return [("on", "core"), ("count", random.choice((1, 1, 2)))]
    others = [name for name in kind.on if name != "core" and name in site.machine_classes]
    if others and random.random() < TARGET_CHANCE:
        fields.append(("on", random.choice(others)))
    for target in kind.targets:
        names = getattr(site, TARGET_NAMES[target])
        if names and random.random() < TARGET_CHANCE:
            fields.append((target, random.choice(names)))
    return fields


def _how(random: Random, variants: Iterable[Variant]) -> str:
    """Draw the words of `how`, each at most once; empty for none."""
    words = [random.choice(variant.words) for variant in variants if random.random() < variant.chance]
    return " ".join(dict.fromkeys(" ".join(words).split()))


def _number(random: Random, span: Span) -> Value:
    """Draw a number from a range, with three significant digits unless it is an integer."""
    if span.integer:
        return random.randint(int(span.least), int(span.most))
    return float(f"{random.uniform(span.least, span.most):.3g}")


def _closing(random: Random) -> tuple[tuple[str, Value], ...]:
    """Draw the disaster at the day's end."""
    closing: Closing = random.choice(CLOSINGS)
    fields: list[tuple[str, Value]] = [("kind", closing.name), ("down_s", _number(random, DOWN))]
    if how := _how(random, closing.variants):
        fields.append(("how", how))
    return tuple(fields)
