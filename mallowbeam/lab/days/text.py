"""Writes days as TOML, in the form that site files have."""

from __future__ import annotations

import json
from collections.abc import Iterable

from mallowbeam.lab.days.draw import Day, Entry, Value


def day_text(day: Day, site_name: str) -> str:
    """Format one day as TOML."""
    lines = [f"# drawn for {site_name}", f'name = "{day.name}"', f"seed = {day.seed}"]
    if day.closing:
        lines.append(f"closing = {_table(day.closing)}")
    for name, planned in (("plan", True), ("faults", False)):
        lines += _entries(name, [entry for entry in day.entries if entry.planned is planned])
    return "\n".join(lines) + "\n"


def _entries(name: str, entries: Iterable[Entry]) -> list[str]:
    """The lines of an array of entries, ordered by time."""
    in_order = sorted(entries, key=lambda entry: entry.at)
    return [f"{name} = [", *(f"  {_table(entry.fields)}," for entry in in_order), "]"]


def _table(fields: Iterable[tuple[str, Value]]) -> str:
    """An inline table."""
    return "{ " + ", ".join(f"{name} = {json.dumps(value)}" for name, value in fields) + " }"
