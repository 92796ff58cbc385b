"""How many attempts are in flight to each shard of the nodes, and how many may be.

Source: windows by additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

from __future__ import annotations

from collections import deque

from mallowbeam.storage_gateway.write_buffer.entries import Entry
from mallowbeam.storage_gateway.write_buffer.limits import Limits


class Shard:
    """The congestion window of one shard."""

    __slots__ = ("window", "in_flight", "blocked_until", "parked")

    def __init__(self, window: float) -> None:
        self.window = window  # attempts that may be in flight
        self.in_flight = 0
        self.blocked_until = 0.0  # when the shard may be sent to again
        self.parked: deque[Entry] = deque()

    @property
    def is_full(self) -> bool:
        """Whether as many attempts are in flight as may be."""
        return self.in_flight >= max(1, int(self.window))

    def widen(self, most: int) -> None:
        """A write was stored: one attempt more in each round trip, `most` at most."""
        self.window = min(most, self.window + 1.0 / self.window)

    def narrow(self) -> None:
        """An attempt failed: half as many."""
        self.window = max(1.0, self.window / 2)


class ShardTable:
    """All shards, and what is in flight in total."""

    def __init__(self, limits: Limits) -> None:
        self.shards: dict[int, Shard] = {}
        self.in_flight = 0  # writes and reads
        self.in_flight_bytes = 0  # of their bodies
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
        """An attempt of a write begins."""
        self.of(entry).in_flight += 1
        self.in_flight += 1
        self.in_flight_bytes += entry.size

    def end(self, entry: Entry) -> Shard:
        """An attempt of a write has ended; its shard."""
        shard = self.of(entry)
        shard.in_flight -= 1
        self.in_flight -= 1
        self.in_flight_bytes -= entry.size
        return shard

    def park(self, entry: Entry) -> None:
        """A write waits until its shard's window has space."""
        self.of(entry).parked.append(entry)
        self._crowded.add(self._number(entry))

    def unpark(self) -> list[Entry]:
        """Parked writes for which their shard's window has space now."""
        found = []
        for number in list(self._crowded):
            shard = self.shards[number]
            for _ in range(max(1, int(shard.window)) - shard.in_flight):
                if shard.parked:
                    found.append(shard.parked.popleft())
            if not shard.parked:
                self._crowded.discard(number)
        return found

    def _number(self, entry: Entry) -> int:
        return entry.placement_hash % self._count
