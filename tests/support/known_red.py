"""Reads the list of tests known to fail: `KNOWN-RED.txt` at the root, lines of `test id | cause | issue`.

`.ci/run` runs these tests separately and prints their results; all other tests decide whether it passes. A
line must hold one complete test id, so that it can hide no other test. A line without a cause or an issue, or
whose id is no collected test, is an error.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from project_paths import ROOT

LIST = ROOT / "KNOWN-RED.txt"
SEPARATOR = " | "
FIELDS = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Parse the list, skipping empty lines and comments (#); raises ValueError with the invalid line."""
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"line {number}: expected `test id | cause | issue`: {line}")
        if any(fields[0] == known.test for known in found):
            raise ValueError(f"line {number}: {fields[0]} is listed twice")
        found.append(KnownRed(*fields))
    return found


def read() -> list[KnownRed]:
    """Read the list of this checkout; empty if the file does not exist."""
    return parse(LIST.read_text()) if LIST.exists() else []


def listed_tests(known: Iterable[KnownRed], collected: Iterable[str]) -> set[str]:
    """Return the listed test ids; raises ValueError if one of them is not a collected test."""
    listed = {one.test for one in known}
    unknown = listed - set(collected)
    if unknown:
        raise ValueError(f"listed, but no test has this id: {', '.join(sorted(unknown))}")
    return listed
