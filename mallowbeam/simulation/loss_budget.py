"""Counts the members that are lost at the same time, by the operators' fault model; does no I/O.

A member counts as lost while it is down, frozen, slow or partitioned, and for the catch-up time after its
return. A removed member counts as lost until its successor's catch-up time is over. Times are in simulated
seconds.
"""

from __future__ import annotations

from math import inf

CATCH_UP_S = 4.0  # catch-up time that a member needs after its return


class LossBudget:
    """Tracks lost members and decides whether another member may be lost."""

    def __init__(self, tolerance: int) -> None:
        self.tolerance = tolerance
        self._lost_until: dict[str, float] = {}  # end of each member's catch-up time; inf during a fault
        self._faulty: set[str] = set()
        self.last_change = -inf  # time of the last event of any member

    def begin(self, name: str, now: float) -> bool:
        """Mark a member as lost; returns False if it already is or if the tolerance is used up."""
        if name in self._faulty or len(self._counted_as_lost(now) - {name}) >= self.tolerance:
            return False
        self._faulty.add(name)
        self._lost_until[name] = inf
        self.last_change = now
        return True

    def begin_all(self, names: list[str], now: float) -> None:
        """Mark all members as lost at once (disks intact); this exceeds the tolerance on purpose."""
        self._faulty.update(names)
        self._lost_until.update(dict.fromkeys(names, inf))
        self.last_change = now

    def end(self, name: str, now: float) -> None:
        """End a member's fault: it returned, or its successor started."""
        self._faulty.discard(name)
        self._lost_until[name] = now + CATCH_UP_S
        self.last_change = now

    def removed(self, name: str, now: float, successor_at: float) -> None:
        """Record that a member was removed for good; its successor started at `successor_at`."""
        self._faulty.discard(name)
        self._lost_until[name] = max(now, successor_at + CATCH_UP_S)
        self.last_change = now

    def disturbed(self, now: float) -> None:
        """Record another event of a member, such as a start."""
        self.last_change = now

    def is_lost(self, name: str) -> bool:
        """Whether a member has a fault now, not counting the catch-up time."""
        return name in self._faulty

    @property
    def active(self) -> frozenset[str]:
        """Members that have a fault now, not counting the catch-up time."""
        return frozenset(self._faulty)

    def time_since_event(self, now: float) -> float:
        """Seconds since the last event of any member."""
        return now - self.last_change

    def _counted_as_lost(self, now: float) -> set[str]:
        """Members that count as lost, including those in their catch-up time."""
        return {name for name, until in self._lost_until.items() if until > now}
