"""Apportionment of whole connections by a divisor method, Webster's (Sainte-Laguë's).

Every claimant first gets its floor.  Each further connection goes to the claimant below its ceiling with the
highest weight / (2a + 1), where a is the number of connections that it already has.  With this method one
more connection in the total takes none from any claimant (the largest remainder method can, which is the
Alabama paradox), a larger weight never gets less, and no connection stays unused while a ceiling permits its
use.  If the floors exceed the total, the same method apportions the total up to the floors.

All arithmetic is in integers.  Instead of handing out connections one by one, the method bisects on a
divisor: for a divisor m, a claimant gets all its steps with w / (2a + 1) >= W / m (W: the sum of weights),
which is one division for all claimants with the same terms.  The last few steps, at most one per claimant,
are sorted.

Ties are broken by a hash of salt and name.  The result is the same on all gateways, independent of the order
of claimants, and ties do not always favour the same claimant.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from fractions import Fraction
from functools import lru_cache
from hashlib import blake2b

HASH_BYTES = 8
HASH_MASK = (1 << 8 * HASH_BYTES) - 1


@dataclass(frozen=True, slots=True)
class Claimant:
    """A participant of an apportionment; its name is unique."""

    name: str
    weight: int = 1  # 0: it gets only its floor
    floor: int = 0
    ceiling: int | None = None  # None: unbounded; otherwise not below the floor


@dataclass(frozen=True, slots=True)
class ClaimantGroup:
    """Claimants with the same terms; each one gets from `start` to `limit` connections."""

    names: list[str]
    weight: int
    start: int
    limit: int


@lru_cache(maxsize=65_536)
def _hash(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=HASH_BYTES).digest(), "big")


def tie_breaker(salt: str) -> Callable[[str], tuple[int, str]]:
    """A sort key for names: the lowest wins a tie, and each salt gives a different order."""
    odd_multiplier = _hash(salt) | 1
    return lambda name: (_hash(name) * odd_multiplier & HASH_MASK, name)


def apportion(total: int, claimants: Iterable[Claimant], salt: str = "") -> dict[str, int]:
    """Connections by claimant name; their sum is `total` unless ceilings prevent it."""
    names_by_terms: dict[tuple[int, int, int | None], list[str]] = {}
    for claimant in claimants:
        terms = (claimant.weight, claimant.floor, claimant.ceiling)
        names_by_terms.setdefault(terms, []).append(claimant.name)
    floors = sum(floor * len(names) for (_, floor, _), names in names_by_terms.items())
    groups: list[ClaimantGroup] = []
    for (weight, floor, ceiling), names in names_by_terms.items():
        maximum = total if ceiling is None else min(ceiling, total)
        if floors > total:  # apportion only up to the floors; a weight of 0 counts as 1
            groups.append(ClaimantGroup(names, weight or 1, 0, min(floor, maximum)))
        else:
            limit = max(maximum, floor) if weight else floor
            groups.append(ClaimantGroup(names, weight or 1, floor, limit))
    return _allocate(total, groups, salt)


def _allocate(total: int, groups: list[ClaimantGroup], salt: str) -> dict[str, int]:
    """Allocates connections from each claimant's start to its limit, each step to the highest priority."""
    total = min(total, sum(group.limit * len(group.names) for group in groups))
    counts, next_counts = _bisect(total, groups)
    if _sum(next_counts, groups) == total:
        counts = next_counts
    allocated = {name: count for count, group in zip(counts, groups, strict=True) for name in group.names}
    remaining = total - _sum(counts, groups)
    candidates: dict[Fraction, list[str]] = {}
    for count, next_count, group in zip(counts, next_counts, groups, strict=True):
        if next_count > count:
            priority = Fraction(group.weight, 2 * count + 1)
            candidates.setdefault(priority, []).extend(group.names)
    for priority in sorted(candidates, reverse=True):
        names = candidates[priority]
        if len(names) > remaining:
            names = sorted(names, key=tie_breaker(salt))[:remaining]
        for name in names:
            allocated[name] += 1
        remaining -= len(names)
    return allocated


def _bisect(total: int, groups: list[ClaimantGroup]) -> tuple[list[int], list[int]]:
    """Counts by group for the largest divisor whose sum is within `total`, and for the next divisor.

    The two counts of a group differ by at most one, because no weight exceeds the sum of weights.
    """
    total_weight = sum(group.weight * len(group.names) for group in groups)

    def counts_at(divisor: int) -> list[int]:
        # A step from a to a + 1 is taken if weight * divisor >= total_weight * (2a + 1).
        return [
            max(group.start, min(group.limit, (group.weight * divisor // total_weight + 1) // 2))
            for group in groups
        ]

    low = 0
    high = 1
    while _sum(counts_at(high), groups) < total:
        low = high
        high *= 2
    while high - low > 1:
        middle = (low + high) // 2
        if _sum(counts_at(middle), groups) <= total:
            low = middle
        else:
            high = middle
    return counts_at(low), counts_at(high)


def _sum(counts: list[int], groups: list[ClaimantGroup]) -> int:
    return sum(count * len(group.names) for count, group in zip(counts, groups, strict=True))
