"""Load of the whole fleet on the instances of one stage, estimated from this gateway's own share of it.

A gateway sees its own requests only, a few per second over dozens of instances: too few for an estimate of a
single instance, but enough for all instances of a stage.  So its own counts are taken over the stage,
multiplied by the number of gateways and divided by the number of instances.  Times are in seconds of the
monotonic clock.
"""

from __future__ import annotations

from collections.abc import Set
from math import exp

RATE_MEMORY_S = 4.0  # seconds in which the weight of an arrival for the rate decays to 1/e


class StageLoad:
    """Arrival rate of this gateway's bookings at one stage of a service."""

    __slots__ = ("_count", "_at", "_since")

    def __init__(self, now: float) -> None:
        self._count = 0.0  # arrivals, exponentially weighted
        self._at = self._since = now

    def arrived(self, now: float) -> None:
        """Record the arrival of a booking at this stage."""
        self._fade(now)
        self._count += 1.0

    def rate(self, now: float) -> float:
        """Return own arrivals per second over the last seconds; time before the first one counts as idle."""
        self._fade(now)
        span = 1.0 - exp(-max(1.0, now - self._since) / RATE_MEMORY_S)
        return self._count / (RATE_MEMORY_S * span)

    def _fade(self, now: float) -> None:
        if now > self._at:
            self._count *= exp((self._at - now) / RATE_MEMORY_S)
            self._at = now


class FleetLoad:
    """The loads of all stages, and the expected arrivals at one instance."""

    def __init__(self) -> None:
        self.gateways = 1
        self._stages: dict[tuple[str, str], StageLoad] = {}  # by service and stage

    def stage(self, backend: str, stage: str, now: float) -> StageLoad:
        """Return the load of a stage, created at its first use."""
        load = self._stages.get((backend, stage))
        if load is None:
            load = self._stages[backend, stage] = StageLoad(now)
        return load

    def keep_only(self, backends: Set[str]) -> None:
        """Forget services that are no longer configured."""
        for stage in [stage for stage in self._stages if stage[0] not in backends]:
            del self._stages[stage]

    def arrivals(self, backend: str, stage: str, instances: int, now: float) -> float:
        """Return the expected requests per second at one of `instances` instances, from all gateways."""
        load = self._stages.get((backend, stage))
        return load.rate(now) * self.gateways / max(1, instances) if load is not None else 0.0
