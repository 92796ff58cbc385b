"""The cycle mechanism: a node's time is divided into cycles of m slots, and each unit of work takes a slot.

After Wu and Shu, "Optimal Scheduling for Parallel CBR Video Servers": m is the floor of cycle length over
slot time, and a request whose cycle is full is delayed to the next cycle with enough free slots.  Here all
units of a request are booked at one node; a request with more units than m spans cycles.  A released booking
leaves free slots, which later requests fill.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mallowbeam.scheduling.slots import MAX_SLOTS as MAX_SLOTS
from mallowbeam.scheduling.slots import slots_per_cycle as slots_per_cycle

HORIZON_CYCLES = 256
"""How many cycles ahead a node may be booked; a request that needs more is not placed."""
MIN_CYCLE_S = 0.01
"""The shortest cycle, in seconds."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The slots that a booking would get, and when they start and end (seconds of a monotonic clock)."""

    slots_by_cycle: tuple[tuple[int, int], ...]
    """Pairs of a cycle's number and the count of slots in it, earliest first."""
    starts_at: float
    ends_at: float


@dataclass(slots=True)
class _Cycle:
    """One cycle of a node."""

    start: float
    length: float
    used: int = 0

    @property
    def end(self) -> float:
        return self.start + self.length


class CycleBook:
    """The cycles of one node, with the bookings of one gateway.

    A cycle lasts `cycle_s`, or 32 slots if those take less time, so that the maximum of m does not bound the
    rate of a fast node.  The first cycle begins with a booking, and each further one where the previous ends.
    """

    __slots__ = ("cycle_s", "slot_s", "first_number", "cycles", "bookings")

    def __init__(self, cycle_s: float) -> None:
        """Start without bookings; a cycle lasts at most `cycle_s` seconds."""
        if cycle_s <= 0:
            raise ValueError("a cycle's length must be above 0")
        self.cycle_s = self.slot_s = cycle_s
        self.first_number = 0  # number of `cycles[0]`
        self.cycles: deque[_Cycle] = deque()
        self.bookings: dict[int, Placement] = {}

    @property
    def slots(self) -> int:
        """The number of slots (m) of a cycle that would begin now."""
        return slots_per_cycle(self._length(), self.slot_s)

    def set_slot_time(self, slot_s: float) -> None:
        """Set the slot time in seconds; it also applies to cycles that already hold bookings."""
        self.slot_s = slot_s

    def advance(self, now: float) -> None:
        """Drop the cycles that have ended by `now`."""
        while self.cycles and self.cycles[0].end <= now:
            self.cycles.popleft()
            self.first_number += 1

    def place(self, units: int, now: float) -> Placement | None:
        """The earliest cycle with slots for `units`, or the cycles they span if m is less; None if full."""
        self.advance(now)
        units = max(1, units)
        slots_by_cycle = (
            self._within_one_cycle(units, now) if units <= self.slots else self._spanning_cycles(units, now)
        )
        return self._placement(slots_by_cycle, now) if slots_by_cycle else None

    def place_now(self, units: int, now: float) -> Placement:
        """The current cycle, even if it is full: for an idle node."""
        self.advance(now)
        self._cycle(0, now)
        return Placement(((self.first_number, max(1, units)),), now, now + max(1, units) * self.slot_s)

    def book(self, booking: int, placement: Placement) -> None:
        """Take the slots of a placement for a booking's number."""
        self.release(booking)
        for number, count in placement.slots_by_cycle:
            self._add_used(number, count)
        self.bookings[booking] = placement

    def release(self, booking: int) -> None:
        """Free a booking's slots in the cycles that have not passed."""
        placement = self.bookings.pop(booking, None)
        if placement is None:
            return
        for number, count in placement.slots_by_cycle:
            self._add_used(number, -count)

    def forget(self, booking: int) -> None:
        """End a booking whose work is done: its slots stay taken until their cycles have passed."""
        self.bookings.pop(booking, None)

    def free_slots(self, cycles_ahead: int, now: float) -> int:
        """Free slots of the cycle that follows the current one by `cycles_ahead`."""
        cycle = self._cycle(cycles_ahead, now)
        return max(0, slots_per_cycle(cycle.length, self.slot_s) - cycle.used)

    def _length(self) -> float:
        return max(MIN_CYCLE_S, min(self.cycle_s, MAX_SLOTS * self.slot_s))

    def _cycle(self, cycles_ahead: int, now: float) -> _Cycle:
        while len(self.cycles) <= cycles_ahead:
            start = self.cycles[-1].end if self.cycles else now
            self.cycles.append(_Cycle(start, self._length()))
        return self.cycles[cycles_ahead]

    def _within_one_cycle(self, units: int, now: float) -> tuple[tuple[int, int], ...]:
        for cycles_ahead in range(HORIZON_CYCLES):
            if self.free_slots(cycles_ahead, now) >= units:
                return ((self.first_number + cycles_ahead, units),)
        return ()

    def _spanning_cycles(self, units: int, now: float) -> tuple[tuple[int, int], ...]:
        slots_by_cycle: list[tuple[int, int]] = []
        left = units
        for cycles_ahead in range(HORIZON_CYCLES):
            count = min(left, self.free_slots(cycles_ahead, now))
            if count:
                slots_by_cycle.append((self.first_number + cycles_ahead, count))
                left -= count
            if not left:
                return tuple(slots_by_cycle)
        return ()

    def _placement(self, slots_by_cycle: tuple[tuple[int, int], ...], now: float) -> Placement:
        starts_at = max(now, self.cycles[slots_by_cycle[0][0] - self.first_number].start)
        last, count = self.cycles[slots_by_cycle[-1][0] - self.first_number], slots_by_cycle[-1][1]
        ends_at = max(last.start + (last.used + count) * self.slot_s, now + count * self.slot_s)
        return Placement(slots_by_cycle, starts_at, ends_at)

    def _add_used(self, number: int, count: int) -> None:
        index = number - self.first_number
        if 0 <= index < len(self.cycles):
            self.cycles[index].used = max(0, self.cycles[index].used + count)
