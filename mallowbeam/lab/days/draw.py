"""Draws days: any kind of trouble that occurs on a deployment, at any moment, several at once, repeatedly."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mallowbeam.lab.days.kinds import CLOSINGS, KINDS, Closing, Kind, Span, Variant
from mallowbeam.lab.days.site import Site

Value = int | float | str
FIRST_S = 1.0  # the earliest moment of a trouble
SPARE_S = 2.0  # before the day's end, without a new one
MOST_MOMENTS = 6  # at which troubles begin together
MOST_AT_ONCE = 4
TOGETHER_WITHIN_S = 0.8  # troubles of one moment begin within this span
MOST_CHANGES = 8  # of the configuration, besides the troubles
OPTIONAL_CHANCE = 0.5
PLACE_CHANCE = 0.3
CORE_CHANCE = 0.6  # a kind that may strike members does
CLOSING_CHANCE = 0.7
DOWN = Span(0.5, 2.0)
LARGEST_SEED = 2**28
PLACES = {
    "zone": "zones",
    "to_zone": "zones",
    "region": "regions",
    "service": "services",
    "class": "request_classes",
}


@dataclass(frozen=True, slots=True)
class Entry:
    """One trouble or piece of planned work: the fields of its table, in their order."""

    planned: bool
    fields: tuple[tuple[str, Value], ...]

    @property
    def kind(self) -> str:
        """The kind's name."""
        return str(dict(self.fields)["kind"])

    @property
    def at(self) -> float:
        """Seconds from the start of traffic."""
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
    """The kinds that occur on a deployment."""
    return tuple(
        kind
        for kind in KINDS
        if (not kind.only_if or kind.only_if in site.contracts)
        and (not kind.only_named or kind.name in site.named_kinds)
    )


def draw_day(site: Site, seed: int) -> Day:
    """A day; the same site and seed give the same one."""
    random = Random(seed)
    kinds = kinds_of(site)
    entries = []
    for _ in range(random.randint(1, MOST_MOMENTS)):
        moment = random.uniform(FIRST_S, site.length_s - SPARE_S)
        for _ in range(random.randint(1, MOST_AT_ONCE)):
            at = moment + random.uniform(0.0, TOGETHER_WITHIN_S)
            entries.append(_entry(random, site, random.choice(kinds), at))
    entries += _changes(random, site)
    closing = _closing(random) if random.random() < CLOSING_CHANCE else ()
    return Day(f"drawn-{seed}", random.randrange(1, LARGEST_SEED), tuple(entries), closing)


def _changes(random: Random, site: Site) -> list[Entry]:
    """Ordinary changes over the day: much of what may break shows only in them."""
    change = next(kind for kind in KINDS if kind.name == "config_change")
    return [
        _entry(random, site, change, random.uniform(FIRST_S, site.length_s - SPARE_S))
        for _ in range(random.randint(0, MOST_CHANGES))
    ]


def _entry(random: Random, site: Site, kind: Kind, at: float) -> Entry:
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
    """Where it strikes, as far as that is said."""
    fields: list[tuple[str, Value]] = []
    if "core" in kind.on and random.random() < CORE_CHANCE:
        return [("on", "core"), ("count", random.choice((1, 1, 2)))]
    others = [name for name in kind.on if name != "core" and name in site.machine_classes]
    if others and random.random() < PLACE_CHANCE:
        fields.append(("on", random.choice(others)))
    for place in kind.places:
        names = getattr(site, PLACES[place])
        if names and random.random() < PLACE_CHANCE:
            fields.append((place, random.choice(names)))
    return fields


def _how(random: Random, variants: Iterable[Variant]) -> str:
    words = [random.choice(variant.words) for variant in variants if random.random() < variant.chance]
    return " ".join(dict.fromkeys(" ".join(words).split()))


def _number(random: Random, span: Span) -> Value:
    if span.whole:
        return random.randint(int(span.least), int(span.most))
    return float(f"{random.uniform(span.least, span.most):.3g}")


def _closing(random: Random) -> tuple[tuple[str, Value], ...]:
    closing: Closing = random.choice(CLOSINGS)
    fields: list[tuple[str, Value]] = [("kind", closing.name), ("down_s", _number(random, DOWN))]
    if how := _how(random, closing.variants):
        fields.append(("how", how))
    return tuple(fields)
