"""The cycle mechanism: a node's time is cut into cycles of m slots, and each unit of work takes a slot.

After Wu and Shu, "Optimal Scheduling for Parallel CBR Video Servers": m is the floor of cycle length over
slot time, and what finds its cycle full is delayed to the nearest later one with room.  Here the work of a
request sits on one node, so all of its units are booked there; one with more units than m spans cycles.  A
booking that is given back leaves a hole, which the next request takes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import floor

MOST_SLOTS = 32
"""The most slots that a cycle has, whatever the measured slot time."""
HORIZON_CYCLES = 256
"""How many cycles ahead a node may be booked; what would need more finds no room."""


def slots_per_cycle(cycle_s: float, slot_s: float, least: int = 1, most: int = MOST_SLOTS) -> int:
    """The m of a cycle: the floor of its length over slot time, from `least` to `most`."""
    return int(min(most, max(least, cycle_s / slot_s))) if slot_s > 0 else most


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a booking would go: its slots by cycle, and when they start and end (steady seconds)."""

    taken: tuple[tuple[int, int], ...]
    """Pairs of a cycle's number and the slots taken in it, earliest first."""
    starts_at: float
    ends_at: float


class CycleBook:
    """The cycles of one node, as one gateway has booked them."""

    __slots__ = ("cycle_s", "first", "used", "bookings", "slots")

    def __init__(self, cycle_s: float) -> None:
        """Start empty; a cycle lasts `cycle_s` seconds and cycle k begins at k times that."""
        if cycle_s <= 0:
            raise ValueError("a cycle's length must be above 0")
        self.cycle_s = cycle_s
        self.first = 0                          # number of the cycle that `used[0]` counts
        self.used: deque[int] = deque()
        self.bookings: dict[int, Placement] = {}
        self.slots = 1

    def slots_per_cycle(self, slot_s: float) -> int:
        """Set and return m for a measured slot time."""
        self.slots = slots_per_cycle(self.cycle_s, slot_s)
        return self.slots

    def advance(self, now: float) -> None:
        """Forget the cycles that have ended by `now`."""
        current = floor(now / self.cycle_s)
        while self.used and self.first < current:
            self.used.popleft()
            self.first += 1
        self.first = max(self.first, current)

    def place(self, units: int, now: float) -> Placement | None:
        """The earliest cycle with room for `units`, or the cycles they span where m is less; None beyond."""
        self.advance(now)
        units = max(1, units)
        if units <= self.slots:
            taken = self._one_cycle(units)
        else:
            taken = self._span(units)
        if not taken:
            return None
        return Placement(taken, self._starts_at(taken[0][0], now), self._ends_at(*taken[-1], now))

    def book(self, booking: int, placement: Placement) -> None:
        """Take the slots of a placement under a booking's number."""
        self.release(booking)
        for cycle, count in placement.taken:
            self._change(cycle, count)
        self.bookings[booking] = placement

    def release(self, booking: int) -> None:
        """Give a booking's slots back; those of cycles that have passed are of no use any more."""
        placement = self.bookings.pop(booking, None)
        if placement is None:
            return
        for cycle, count in placement.taken:
            self._change(cycle, -count)

    def forget(self, booking: int) -> None:
        """End a booking whose work was done: its slots stay taken until their cycles pass."""
        self.bookings.pop(booking, None)

    def room(self, cycle: int) -> int:
        """Free slots of a cycle, by its number."""
        index = cycle - self.first
        used = self.used[index] if 0 <= index < len(self.used) else 0
        return max(0, self.slots - used)

    def _one_cycle(self, units: int) -> tuple[tuple[int, int], ...]:
        for cycle in range(self.first, self.first + HORIZON_CYCLES):
            if self.room(cycle) >= units:
                return ((cycle, units),)
        return ()

    def _span(self, units: int) -> tuple[tuple[int, int], ...]:
        taken: list[tuple[int, int]] = []
        left = units
        for cycle in range(self.first, self.first + HORIZON_CYCLES):
            count = min(left, self.room(cycle))
            if count:
                taken.append((cycle, count))
                left -= count
            if not left:
                return tuple(taken)
        return ()

    def _starts_at(self, cycle: int, now: float) -> float:
        return max(now, cycle * self.cycle_s)

    def _ends_at(self, cycle: int, count: int, now: float) -> float:
        position = self.slots - self.room(cycle) + count
        start = cycle * self.cycle_s
        slot_s = self.cycle_s / self.slots
        return max(start + position * slot_s, now + count * slot_s)

    def _change(self, cycle: int, count: int) -> None:
        index = cycle - self.first
        if index < 0:
            return
        while len(self.used) <= index:
            self.used.append(0)
        self.used[index] = max(0, self.used[index] + count)
