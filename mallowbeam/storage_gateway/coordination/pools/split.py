"""Whole connections to seats by a divisor method, Webster's (Sainte-Laguë's).

Every seat first gets its floor; then each further connection goes to the seat below its ceiling whose weight
over (2a + 1) is highest, a being what it has.  So a budget larger by one takes none from anybody (largest
remainder does: the Alabama paradox), a larger weight never gets less, and nothing is lost while a ceiling
permits.
Where floors are more than there is, the same rule deals out the floors alone.

Integers only.  What would take h steps one by one is reached by bisection: for m, seat i has taken all its
steps of w / (2a + 1) >= W / m (W: all weights), which is one division for all seats of the same terms; the
last few, at most one a seat, are sorted.
Ties go by a hash of salt and name: the same on all gateways, in whatever order seats come, and
not always to the same seat.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from fractions import Fraction
from functools import lru_cache
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Seat:
    """Who takes part: weight (0: the floor only), floor, and ceiling (None: none; not below the floor)."""

    name: str
    weight: int = 1
    floor: int = 0
    ceiling: int | None = None


@lru_cache(maxsize=65_536)
def _hash(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def ties(salt: str) -> Callable[[str], tuple[int, str]]:
    """Who comes first among equals: the lowest by a hash of salt and name, another one by another salt."""
    odd = _hash(salt) | 1
    return lambda name: (_hash(name) * odd & (1 << 64) - 1, name)


def split(total: int, seats: Iterable[Seat], salt: str = "") -> dict[str, int]:
    """So many connections by name; their sum is `total` where ceilings permit.  Names differ."""
    kinds: dict[tuple[int, int, int | None], list[str]] = {}
    for each in seats:
        kinds.setdefault((each.weight, each.floor, each.ceiling), []).append(each.name)
    beyond = sum(floor * len(names) for (_, floor, _), names in kinds.items()) > total
    made: list[Kind] = []
    for (weight, floor, ceiling), names in kinds.items():
        most = total if ceiling is None else min(ceiling, total)
        if beyond:  # floors alone, by weight; 0 counts as the least there is
            made.append(Kind(names, weight or 1, 0, min(floor, most)))
        else:
            made.append(Kind(names, weight or 1, floor, max(most, floor) if weight else floor))
    return _deal(total, made, salt)


@dataclass(frozen=True, slots=True)
class Kind:
    """Seats with the same terms: what each has at the start, and at most."""

    names: list[str]
    weight: int
    start: int
    room: int


def _deal(total: int, kinds: list[Kind], salt: str) -> dict[str, int]:
    """From start up to room, each step to the highest priority."""
    total = min(total, sum(kind.room * len(kind.names) for kind in kinds))
    whole = sum(kind.weight * len(kind.names) for kind in kinds)

    def at(m: int) -> list[int]:
        # a step from a to a + 1 is taken if w * m >= W * (2a + 1)
        return [max(kind.start, min(kind.room, (kind.weight * m // whole + 1) // 2)) for kind in kinds]

    def count(of: list[int]) -> int:
        return sum(each * len(kind.names) for each, kind in zip(of, kinds, strict=True))

    low, high = 0, 1
    while count(at(high)) < total:
        low, high = high, high * 2
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if count(at(middle)) <= total else (low, middle)
    have, more = at(low), at(high)  # at most one step apart, as no weight is above W
    if count(more) == total:
        have = more
    out = {name: each for each, kind in zip(have, kinds, strict=True) for name in kind.names}
    left = total - count(have)
    waiting: dict[Fraction, list[str]] = {}
    for each, next_, kind in zip(have, more, kinds, strict=True):
        if next_ > each:
            waiting.setdefault(Fraction(kind.weight, 2 * each + 1), []).extend(kind.names)
    for priority in sorted(waiting, reverse=True):
        names = waiting[priority]
        if len(names) > left:
            names = sorted(names, key=ties(salt))[:left]
        for name in names:
            out[name] += 1
        left -= len(names)
    return out
