"""How much is on its way to each shard of the nodes, and how much may be.

Source: windows by additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

from __future__ import annotations

from collections import deque

from mallowbeam.storage_gateway.write_buffer.entries import Entry
from mallowbeam.storage_gateway.write_buffer.limits import Limits


class Shard:
    """What is on its way to one shard."""

    __slots__ = ("window", "out", "until", "parked")

    def __init__(self, window: float) -> None:
        self.window = window  # writes that may be on their way
        self.out = 0  # writes that are
        self.until = 0.0  # when the shard may be sent to again
        self.parked: deque[Entry] = deque()

    @property
    def full(self) -> bool:
        """Whether as many are on their way as may be."""
        return self.out >= max(1, int(self.window))

    def widen(self, most: int) -> None:
        """A write was stored: one more may go in each round trip, `most` at most."""
        self.window = min(most, self.window + 1.0 / self.window)

    def narrow(self) -> None:
        """An attempt failed: half as many may go."""
        self.window = max(1.0, self.window / 2)


class ShardTable:
    """All shards, with what is on its way in total."""

    def __init__(self, limits: Limits) -> None:
        self.shards: dict[int, Shard] = {}
        self.out = 0  # writes and reads on their way
        self.out_bytes = 0  # of their bodies
        self._count = limits.shards
        self._first_window = float(limits.per_shard)
        self._crowded: set[int] = set()  # shards with parked writes

    def of(self, entry: Entry) -> Shard:
        """The shard that a write goes to."""
        number = self._number(entry)
        shard = self.shards.get(number)
        if shard is None:
            shard = self.shards[number] = Shard(self._first_window)
        return shard

    def begin(self, entry: Entry) -> None:
        """A write is on its way."""
        self.of(entry).out += 1
        self.out += 1
        self.out_bytes += entry.size

    def end(self, entry: Entry) -> Shard:
        """A write is no longer on its way: there is room for another."""
        shard = self.of(entry)
        shard.out -= 1
        self.out -= 1
        self.out_bytes -= entry.size
        return shard

    def park(self, entry: Entry) -> None:
        """A write waits for room at its shard."""
        self.of(entry).parked.append(entry)
        self._crowded.add(self._number(entry))

    def unpark(self) -> list[Entry]:
        """Writes that waited for room which is there now."""
        found = []
        for number in list(self._crowded):
            shard = self.shards[number]
            for _ in range(max(1, int(shard.window)) - shard.out):
                if shard.parked:
                    found.append(shard.parked.popleft())
            if not shard.parked:
                self._crowded.discard(number)
        return found

    def _number(self, entry: Entry) -> int:
        return entry.place % self._count
