"""How many members are lost at one time, by the operators' fault model: a pure core.

A member counts as lost while it is down, frozen, slowed or cut off, and for the catch-up time after it
returns; one that is removed, until its successor has had that time. Times are true seconds.
"""

from __future__ import annotations

from math import inf

CATCH_UP_S = 4.0


class LossBudget:
    """Members in trouble, and whether another one may be."""

    def __init__(self, tolerance: int) -> None:
        self.tolerance = tolerance
        self._until: dict[str, float] = {}  # when a member's catch-up time is over
        self._active: set[str] = set()
        self.last_change = -inf  # when a trouble last began or ended

    def begin(self, name: str, now: float) -> bool:
        """Have a member be lost from now on, if it is in no trouble and few enough others count as lost."""
        if name in self._active or len(self._counted(now) - {name}) >= self.tolerance:
            return False
        self._active.add(name)
        self._until[name] = inf
        self.last_change = now
        return True

    def begin_all(self, names: list[str], now: float) -> None:
        """Have all members be lost at once, with their disks kept: that is outside of the tolerance."""
        self._active.update(names)
        self._until.update(dict.fromkeys(names, inf))
        self.last_change = now

    def end(self, name: str, now: float) -> None:
        """A member's trouble is over: it returned, or its successor started."""
        self._active.discard(name)
        self._until[name] = now + CATCH_UP_S
        self.last_change = now

    def removed(self, name: str, now: float, successor_at: float) -> None:
        """A member ended for good, whose successor started at some earlier time."""
        self._active.discard(name)
        self._until[name] = max(now, successor_at + CATCH_UP_S)
        self.last_change = now

    def disturbed(self, now: float) -> None:
        """Something else happened to the members, such as a start."""
        self.last_change = now

    def in_trouble(self, name: str) -> bool:
        """Whether a member is lost now, the catch-up time not counted."""
        return name in self._active

    @property
    def active(self) -> frozenset[str]:
        """Members that are lost now, the catch-up time not counted."""
        return frozenset(self._active)

    def calm_for(self, now: float) -> float:
        """Seconds since something last happened to the members."""
        return now - self.last_change

    def _counted(self, now: float) -> set[str]:
        return {name for name, until in self._until.items() if until > now}
