"""The list of tests known to fail: `KNOWN-RED.txt` at the root, one line each, `test id | cause | issue`.

`.ci/run` runs these apart, prints what came of them, and runs everything else for the verdict. A line is held
to one whole test id, so that it can hide no other test; a line that names no test, or no cause, is an error.
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
    """Read the list; empty lines and those that begin with # are skipped. Raises ValueError with the line."""
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"line {number}: not `test id | cause | issue`: {line}")
        if any(fields[0] == known.test for known in found):
            raise ValueError(f"line {number}: {fields[0]} stands twice")
        found.append(KnownRed(*fields))
    return found


def read() -> list[KnownRed]:
    """The list in the tree; empty where there is none."""
    return parse(LIST.read_text()) if LIST.exists() else []


def listed_tests(known: Iterable[KnownRed], collected: Iterable[str]) -> set[str]:
    """The listed test ids. Raises ValueError for one that is no collected test."""
    listed = {one.test for one in known}
    unknown = listed - set(collected)
    if unknown:
        raise ValueError(f"listed, but no test: {', '.join(sorted(unknown))}")
    return listed
