"""The number of attempts in flight to each shard of the nodes, and the window that limits it.

The windows follow additive increase, multiplicative decrease (Chiu and Jain, 1989).
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
        self.blocked_until = 0.0  # time before which no attempt is begun
        self.parked: deque[Entry] = deque()

    @property
    def is_full(self) -> bool:
        """Whether the window has no space for another attempt."""
        return self.in_flight >= max(1, int(self.window))

    def widen(self, max_window: int) -> None:
        """Widen the window after a stored write: by one attempt each round trip, up to `max_window`."""
        self.window = min(max_window, self.window + 1.0 / self.window)

    def narrow(self) -> None:
        """Halve the window after a failed attempt."""
        self.window = max(1.0, self.window / 2)


class ShardTable:
    """All shards, and the total in flight."""

    def __init__(self, limits: Limits) -> None:
        self.shards: dict[int, Shard] = {}
        self.in_flight = 0  # writes and reads
        self.in_flight_bytes = 0  # of their bodies
        self._count = limits.shards
        self._first_window = float(limits.per_shard)
        self._numbers_with_parked: set[int] = set()  # shards with parked writes

    def of(self, entry: Entry) -> Shard:
        """The shard that a write goes to."""
        number = self._number(entry)
        shard = self.shards.get(number)
        if shard is None:
            shard = self.shards[number] = Shard(self._first_window)
        return shard

    def begin(self, entry: Entry) -> None:
        """Count an attempt of a write that begins."""
        self.of(entry).in_flight += 1
        self.in_flight += 1
        self.in_flight_bytes += entry.size

    def end(self, entry: Entry) -> Shard:
        """Stop counting an attempt of a write that has ended; returns its shard."""
        shard = self.of(entry)
        shard.in_flight -= 1
        self.in_flight -= 1
        self.in_flight_bytes -= entry.size
        return shard

    def park(self, entry: Entry) -> None:
        """Let a write wait until its shard's window has space."""
        self.of(entry).parked.append(entry)
        self._numbers_with_parked.add(self._number(entry))

    def unpark(self) -> list[Entry]:
        """Remove and return the parked writes for which their shard's window has space now."""
        found = []
        for number in list(self._numbers_with_parked):
            shard = self.shards[number]
            for _ in range(max(1, int(shard.window)) - shard.in_flight):
                if shard.parked:
                    found.append(shard.parked.popleft())
            if not shard.parked:
                self._numbers_with_parked.discard(number)
        return found

    def _number(self, entry: Entry) -> int:
        return entry.placement_hash % self._count
