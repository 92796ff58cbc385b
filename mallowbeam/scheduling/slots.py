"""Calculations of the cycle mechanism: slot time, slots per cycle, and means with decaying samples.

This is a separate module because the storage gateway imports nothing else of the package.
"""

from __future__ import annotations

from math import exp

MAX_SLOTS = 32
"""Maximum slots of a cycle, whatever the measured slot time."""


def slots_per_cycle(cycle_s: float, slot_s: float, min_slots: int = 1, max_slots: int = MAX_SLOTS) -> int:
    """Slots of a cycle (m): the floor of its length over slot time, from `min_slots` to `max_slots`."""
    return int(min(max_slots, max(min_slots, cycle_s / slot_s))) if slot_s > 0 else max_slots


def slot_time(latency_s: float, *units_in_flight: float) -> float:
    """Seconds per unit where units take `latency_s` while the larger of the counts are in flight."""
    return latency_s / max(1.0, *units_in_flight)


def blend(weight: float, mean: float, prior_weight: float, prior: float) -> float:
    """Weighted mean of a measured mean and a prior."""
    return (weight * mean + prior_weight * prior) / (weight + prior_weight)


class FadingMean:
    """A mean whose samples lose weight exponentially with time."""

    __slots__ = ("memory_s", "mean", "weight", "updated_at")

    def __init__(self, memory_s: float) -> None:
        """Start without samples; a sample's weight falls to 1/e in `memory_s` seconds."""
        self.memory_s, self.mean, self.weight, self.updated_at = memory_s, 0.0, 0.0, 0.0

    def fade(self, now: float) -> None:
        """Decay the weight of the samples up to `now`."""
        if now > self.updated_at:
            self.weight *= exp((self.updated_at - now) / self.memory_s)
            self.updated_at = now

    def add(self, value: float, now: float, weight: float = 1.0) -> None:
        """Add a sample."""
        self.fade(now)
        self.weight += weight
        self.mean += (value - self.mean) * weight / self.weight

    def value(self, prior: float, prior_weight: float, now: float) -> float:
        """The mean as of `now`, which approaches `prior` as samples age."""
        self.fade(now)
        return blend(self.weight, self.mean, prior_weight, prior)
