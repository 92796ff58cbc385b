"""The host state that every node reads: settings, clock, cycle, and latency over all nodes."""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler.interface import Settings

LATENCY_MEMORY_S = 1.0  # seconds in which an answer's weight falls to 1/e
FIRST_SLOT_FRACTION = 1 / 20  # of the cycle: a unit's latency before any measurement
FIRST_REQUEST_FRACTION = 0.3  # of the cycle: maximum of a typical request's latency before any measurement
FLOOR_GROWTH_PER_S = 0.01  # relative rise of the lowest measured latency, at most, to follow slower nodes
MIN_SAMPLED_NODES = 3  # with fewer nodes, latencies say nothing about each other
DEFAULT_CYCLE_S = 0.3  # seconds, where the settings have no classes


class LatencyBaseline:
    """Latencies over all nodes of a host, in seconds."""

    __slots__ = ("cycle", "floor", "prior", "slope", "typical_units")

    def __init__(self, typical_units: float, cycle: float) -> None:
        self.typical_units = typical_units
        self.cycle = cycle
        # The median and the lowest latency of a typical request.
        self.prior = self.floor = cycle * min(2 * typical_units * FIRST_SLOT_FRACTION, FIRST_REQUEST_FRACTION)
        self.slope = self.floor / typical_units / 2  # added by each further unit of a request, at any node

    def update(self, node_latencies: list[float], passed: float) -> None:
        """Add the latencies of nodes with recent answers, `passed` seconds after the previous call."""
        # Without new answers the median decays to the lowest: a high one that stayed would block every node.
        self.prior += min(1.0, passed / LATENCY_MEMORY_S / 2) * (self.floor - self.prior)
        if len(node_latencies) >= MIN_SAMPLED_NODES:
            node_latencies.sort()
            self.prior = node_latencies[len(node_latencies) // 2]
            lowest = node_latencies[len(node_latencies) // 4]
            self.floor = min(self.floor * (1.0 + FLOOR_GROWTH_PER_S * passed), lowest)
            self.slope = self.floor / self.typical_units


class HostContext:
    """The part of a scheduler's state that its nodes read."""

    __slots__ = ("baseline", "cycle", "now", "settings")

    def __init__(self, settings: Settings, now: float) -> None:
        self.settings = settings
        self.now = now
        # A cycle is as long as the tightest latency target: units in flight at a node return within one.
        targets = (request_class.latency_target for request_class in settings.classes.values())
        self.cycle = min(targets, default=DEFAULT_CYCLE_S)
        self.baseline = LatencyBaseline(settings.typical_units, self.cycle)
