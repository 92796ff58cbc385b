"""Rendezvous hashing: every gateway ranks the same instances for a key in the same order, without a message.

For a large service only a window of instances near the key on a ring is ranked, so that a request's cost does
not grow with the service.  When an instance comes or goes, only the keys that it had or gets change place.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from hashlib import blake2b
from math import log

WINDOW = 48
"""Instances ranked for one key."""
MASK = (1 << 64) - 1
MIX = 0x9E3779B97F4A7C15


def stable_hash(text: str) -> int:
    """64 bits that are the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def rank(instance: int, key: int) -> int:
    """An instance's weight for a key, from both hashes; the highest one comes first."""
    value = (instance ^ key) & MASK
    value = ((value ^ (value >> 31)) * MIX) & MASK
    value = ((value ^ (value >> 29)) * 0xBF58476D1CE4E5B9) & MASK
    return value ^ (value >> 32)


def score(instance: int, key: int, weight: float) -> float:
    """A rank among instances of unequal weights: each comes first for a share of keys like its weight."""
    return -weight / log((rank(instance, key) + 1) / (MASK + 2))


class Ring:
    """Instances by hash, in order."""

    __slots__ = ("points",)

    def __init__(self) -> None:
        self.points: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """How many there are."""
        return len(self.points)

    def __iter__(self) -> Iterator[str]:
        """Their names, in the ring's order."""
        return (name for _, name in self.points)

    def add(self, name: str) -> None:
        """Add an instance; one that is there already stays as it is."""
        point = (stable_hash(name), name)
        index = bisect_left(self.points, point)
        if self.points[index : index + 1] != [point]:
            insort(self.points, point)

    def remove(self, name: str) -> None:
        """Take an instance out, if it is there."""
        point = (stable_hash(name), name)
        index = bisect_left(self.points, point)
        if self.points[index : index + 1] == [point]:
            del self.points[index]

    def ranked(self, key: int) -> list[str]:
        """The instances near the key, best first by rendezvous rank."""
        points = self._window(key)
        return [name for _, name in sorted(points, key=lambda point: -rank(point[0], key))]

    def _window(self, key: int) -> list[tuple[int, str]]:
        count = len(self.points)
        if count <= WINDOW:
            return self.points
        start = bisect_left(self.points, (key, ""))
        chosen = self.points[start : start + WINDOW]
        return chosen + self.points[: WINDOW - len(chosen)]
