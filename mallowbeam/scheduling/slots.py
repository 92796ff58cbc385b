"""The figures of the cycle mechanism: slot time, slots per cycle, and means whose samples fade.

A module of its own, light to import: the storage gateway uses these alone.
"""

from __future__ import annotations

from math import exp

MAX_SLOTS = 32
"""The most slots that a cycle has, whatever the measured slot time."""


def slots_per_cycle(cycle_s: float, slot_s: float, min_slots: int = 1, max_slots: int = MAX_SLOTS) -> int:
    """The m of a cycle: the floor of its length over slot time, from `min_slots` to `max_slots`."""
    return int(min(max_slots, max(min_slots, cycle_s / slot_s))) if slot_s > 0 else max_slots


def slot_time(latency_s: float, *units_in_flight: float) -> float:
    """Seconds per unit where units take `latency_s` while the larger of the counts are in flight."""
    return latency_s / max(1.0, *units_in_flight)


def blend(weight: float, mean: float, prior_weight: float, prior: float) -> float:
    """Mean of measured values, which count `weight`, and a prior, which counts `prior_weight`."""
    return (weight * mean + prior_weight * prior) / (weight + prior_weight)


class FadingMean:
    """A mean whose samples lose weight with time: recent ones count, old ones are forgotten."""

    __slots__ = ("memory_s", "mean", "weight", "at")

    def __init__(self, memory_s: float) -> None:
        """Start without samples; a sample's weight falls to 1/e in `memory_s` seconds."""
        self.memory_s, self.mean, self.weight, self.at = memory_s, 0.0, 0.0, 0.0

    def fade(self, now: float) -> None:
        """Bring the weight of what was seen up to `now`."""
        if now > self.at:
            self.weight *= exp((self.at - now) / self.memory_s)
            self.at = now

    def add(self, value: float, now: float, weight: float = 1.0) -> None:
        """Take in a sample."""
        self.fade(now)
        self.weight += weight
        self.mean += (value - self.mean) * weight / self.weight

    def value(self, prior: float, prior_weight: float, now: float) -> float:
        """The mean as of `now`, drawn towards `prior` as samples age."""
        self.fade(now)
        return blend(self.weight, self.mean, prior_weight, prior)
