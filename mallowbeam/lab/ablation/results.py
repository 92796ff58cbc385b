"""Results of plays, one JSON line each so that an interrupted ablation can continue, and their table.

`worth` and `broken` are the bench's own words: it prints them, and they are keys of the file of results.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import msgspec

from mallowbeam.lab.ablation.plan import BASE

WORTH_LINE = re.compile(r"^worth (-?\d+\.\d+) = ", re.MULTILINE)
BROKEN_RULES_LINE = re.compile(r"^(BROKEN_RULES_LINE.*|rules? broken.*)$", re.MULTILINE)
BAR_WIDTH = 30  # characters of the widest bar of a plot


class Result(msgspec.Struct, frozen=True):
    """The result of one play; its field names are keys of the file of results."""

    variant: str
    play: str
    worth: float  # value of the day by the bench
    broken: str = ""  # the bench's line on broken rules; empty: none


@dataclass(frozen=True, slots=True)
class Effect:
    """The effect of a mechanism: the base less the variant without it, over the same plays.

    Its field names are keys of the `--json` output.
    """

    variant: str
    worth_with: float  # median
    worth_without: float
    difference: float  # median of the pairs
    least: float  # of the pairs' differences
    most: float
    runs: int


def read_output(text: str, variant: str, play: str) -> Result | None:
    """Parse the result from the bench's output; None if it printed none."""
    found = WORTH_LINE.search(text)
    if found is None:
        return None
    violation = BROKEN_RULES_LINE.search(text)
    return Result(variant, play, float(found.group(1)), violation.group(1) if violation else "")


def load_results(path: Path) -> list[Result]:
    """Load the stored results; empty without a file.  A truncated line is skipped."""
    if not path.exists():
        return []
    results = []
    for line in path.read_bytes().splitlines():
        try:
            results.append(msgspec.json.decode(line, type=Result))
        except msgspec.DecodeError:
            continue
    return results


def keep_result(path: Path, result: Result) -> None:
    """Append a result to the file."""
    with path.open("ab") as file:
        file.write(msgspec.json.encode(result) + b"\n")


def effects(results: Iterable[Result]) -> list[Effect]:
    """A row for each variant with at least one pair, the largest difference first."""
    values: dict[str, dict[str, float]] = {}
    for result in results:
        values.setdefault(result.variant, {})[result.play] = result.worth
    base = values.pop(BASE, {})
    rows = [effect(name, base, without) for name, without in values.items() if base.keys() & without.keys()]
    return sorted(rows, key=lambda row: (-row.difference, row.variant))


def effect(name: str, base: dict[str, float], without: dict[str, float]) -> Effect:
    """Compare one variant with the base over the plays that both have; values are rounded to 4 digits."""
    plays = sorted(base.keys() & without.keys())
    differences = [base[play] - without[play] for play in plays]
    return Effect(
        name,
        round(median(base[play] for play in plays), 4),
        round(median(without[play] for play in plays), 4),
        round(median(differences), 4),
        round(min(differences), 4),
        round(max(differences), 4),
        len(plays),
    )


def plot(rows: Sequence[Effect]) -> str:
    """Plot the differences as text bars: `+` where a mechanism helps, `-` where it harms."""
    widest = max((abs(row.difference) for row in rows), default=0.0) or 1.0
    names = max((len(row.variant) for row in rows), default=0)
    return "\n".join(
        f"{row.variant:{names}} {row.difference:+.4f} "
        + ("+" if row.difference >= 0 else "-") * round(abs(row.difference) / widest * BAR_WIDTH)
        for row in rows
    )
