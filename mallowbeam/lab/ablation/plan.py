"""The plan of an ablation: variants of the settings, days with their seeds, and the jobs left to play."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from mallowbeam.errors import MallowbeamError

BASE = "base"  # the settings as they are


class VariantsError(MallowbeamError):
    """A file of variants, or a day on the command line, is invalid."""

    code = "LAB_VARIANTS"
    remedy = "give a TOML table of settings for each variant, and days as DAY:SEED"


@dataclass(frozen=True, slots=True)
class Variant:
    """Settings that differ from the defaults: tables of `deploy/decisions.toml`."""

    name: str
    overrides: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Play:
    """A day of a deployment with a seed."""

    site: str
    day: str
    seed: int

    @property
    def key(self) -> str:
        """The identifier of this play in the file of results."""
        return f"{self.site} {self.day}:{self.seed}"


@dataclass(frozen=True, slots=True)
class Job:
    """One day to play with one variant."""

    variant: Variant
    play: Play


def read_variants(text: str) -> list[Variant]:
    """Parse variants from TOML, a table of settings for each name; raises `VariantsError`."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise VariantsError(str(error)) from None
    variants = []
    for name, overrides in tables.items():
        if name == BASE or not isinstance(overrides, dict) or not overrides:
            raise VariantsError(f"{name}: must be a table of settings, and not be named {BASE}")
        variants.append(Variant(name, overrides))
    return variants


def read_days(texts: Iterable[str]) -> list[tuple[str, int]]:
    """Parse days written as DAY:SEED; raises `VariantsError`."""
    days = []
    for text in texts:
        day, colon, seed = text.rpartition(":")
        if not colon or not day or not seed.isdigit():
            raise VariantsError(f"{text}: must be DAY:SEED")
        days.append((day, int(seed)))
    return days


def jobs_of(variants: Sequence[Variant], plays: Sequence[Play], done: Iterable[tuple[str, str]]) -> list[Job]:
    """The jobs not done yet, day by day so that pairs are complete early; the base comes first.

    `done` are pairs of a variant's name and a play's key.
    """
    finished = set(done)
    return [
        Job(variant, play)
        for play in plays
        for variant in (Variant(BASE, {}), *variants)
        if (variant.name, play.key) not in finished
    ]


def overrides_text(overrides: Mapping[str, Any]) -> str:
    """Format overrides as TOML."""
    return "\n".join(_table(overrides, "")) + "\n"


def _table(table: Mapping[str, Any], path: str) -> list[str]:
    """The lines of a table below the dotted `path`, its scalar values before its tables."""
    plain = {key: value for key, value in table.items() if not isinstance(value, Mapping)}
    lines = [f"[{path}]"] if path and plain else []
    lines += [f"{key} = {msgspec.json.encode(value).decode()}" for key, value in plain.items()]
    for key, value in table.items():
        if isinstance(value, Mapping):
            lines += _table(value, f"{path}.{key}" if path else key)
    return lines
