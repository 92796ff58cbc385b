"""Rendezvous hashing: all gateways rank the instances for a key in the same order, without communication.

For a large service only a window of instances near the key on a ring is ranked, so that a request's cost does
not grow with the service.  When an instance is added or removed, only its own keys move.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from hashlib import blake2b
from math import log

WINDOW = 48
"""Number of instances ranked for one key."""
MASK = (1 << 64) - 1
MIX = 0x9E3779B97F4A7C15


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def rank(instance: int, key: int) -> int:
    """Return an instance's rank for a key, from both hashes; the highest rank is chosen first."""
    value = (instance ^ key) & MASK
    value = ((value ^ (value >> 31)) * MIX) & MASK
    value = ((value ^ (value >> 29)) * 0xBF58476D1CE4E5B9) & MASK
    return value ^ (value >> 32)


def score(instance: int, key: int, weight: float) -> float:
    """Return a weighted rank: an instance comes first for a fraction of keys in proportion to its weight."""
    return -weight / log((rank(instance, key) + 1) / (MASK + 2))


class Ring:
    """Instances ordered by the hash of their id."""

    __slots__ = ("points",)

    def __init__(self) -> None:
        self.points: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Return the number of instances."""
        return len(self.points)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the instance ids in ring order."""
        return (name for _, name in self.points)

    def add(self, name: str) -> None:
        """Add an instance, unless the ring has it already."""
        point = (stable_hash(name), name)
        index = bisect_left(self.points, point)
        if self.points[index : index + 1] != [point]:
            insort(self.points, point)

    def remove(self, name: str) -> None:
        """Remove an instance, if the ring has it."""
        point = (stable_hash(name), name)
        index = bisect_left(self.points, point)
        if self.points[index : index + 1] == [point]:
            del self.points[index]

    def ranked(self, key: int) -> list[str]:
        """Return the instances near the key, highest rendezvous rank first."""
        points = self._window(key)
        return [name for _, name in sorted(points, key=lambda point: -rank(point[0], key))]

    def _window(self, key: int) -> list[tuple[int, str]]:
        count = len(self.points)
        if count <= WINDOW:
            return self.points
        start = bisect_left(self.points, (key, ""))
        chosen = self.points[start : start + WINDOW]
        return chosen + self.points[: WINDOW - len(chosen)]
