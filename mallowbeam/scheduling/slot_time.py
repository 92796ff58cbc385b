"""Slot time: how long one unit of work takes a node, measured from the answers that this process receives.

A node's slot time is its smoothed unit latency over the count of units in flight there: with `n` units in
flight and a latency of `t` seconds, a unit ends every `t / n` seconds.  Before any measurement, it is a share
of the caller's target latency.  Nothing here reads a clock; times are seconds of any monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.scheduling.slots import FadingMean as FadingMean
from mallowbeam.scheduling.slots import blend as blend
from mallowbeam.scheduling.slots import slot_time as slot_time


@dataclass(frozen=True, slots=True)
class SlotTimeSettings:
    """How latencies are smoothed."""

    memory_s: float = 2.0
    """Seconds in which a sample's weight falls to 1/e."""
    prior_weight: float = 0.5
    """Weight of the first slot time, in samples."""
    clip: float = 3.0
    """Cap of a sample, in multiples of the current mean, so that one pause cannot dominate it."""
    first_share: float = 0.05
    """The first slot time, before any measurement, as a share of the class's target latency."""


class SlotTimer:
    """The slot time of one node, from the units that this process has in flight there."""

    __slots__ = ("settings", "latency", "mean_units_in_flight", "in_flight", "units_in_flight")

    def __init__(self, settings: SlotTimeSettings) -> None:
        self.settings = settings
        self.latency = FadingMean(settings.memory_s)
        self.mean_units_in_flight = FadingMean(settings.memory_s)
        self.in_flight: dict[int, tuple[float, int]] = {}  # by booking: when it was sent, and its units
        self.units_in_flight = 0

    @property
    def idle(self) -> bool:
        """Whether this process has nothing in flight at the node."""
        return not self.in_flight

    def sent(self, booking: int, units: int, now: float) -> None:
        """Record that a booking's units were sent to the node."""
        if booking not in self.in_flight:
            self.in_flight[booking] = (now, units)
            self.units_in_flight += units

    def done(self, booking: int, now: float, measured: bool = True) -> float | None:
        """Record that a booking's units ended.

        Returns their latency in seconds, or None if they were not in flight.  The latency counts as a sample
        only if `measured`.
        """
        entry = self.in_flight.pop(booking, None)
        if entry is None:
            return None
        sent_at, units = entry
        latency = max(0.0, now - sent_at)
        if measured:
            self._learn(latency, now)
        self.units_in_flight -= units
        return latency

    def _learn(self, latency: float, now: float) -> None:
        present = self.latency.mean if self.latency.weight > 0 else latency
        self.latency.add(min(latency, self.settings.clip * present), now)
        self.mean_units_in_flight.add(float(self.units_in_flight), now)

    def oldest_age(self, now: float) -> float:
        """Seconds since the oldest unit in flight was sent; 0 if none is in flight."""
        if not self.in_flight:
            return 0.0
        sent_at, _ = next(iter(self.in_flight.values()))
        return max(0.0, now - sent_at)

    def latency_s(self, target_latency_s: float, now: float) -> float:
        """The smoothed latency of a unit; before any measurement, the first slot time."""
        first = self.settings.first_share * target_latency_s
        return self.latency.value(first, self.settings.prior_weight, now)

    def slot_s(self, target_latency_s: float, now: float) -> float:
        """Seconds per unit: smoothed latency, or the age of the oldest unit, over the units in flight."""
        settings = self.settings
        first = settings.first_share * target_latency_s
        in_flight = self.mean_units_in_flight.value(1.0, settings.prior_weight, now)
        latency = self.latency.value(first * max(1.0, in_flight), settings.prior_weight, now)
        return slot_time(max(latency, self.oldest_age(now)), in_flight, self.units_in_flight)
