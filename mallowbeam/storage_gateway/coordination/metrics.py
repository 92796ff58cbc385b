"""The fleet's metrics in Prometheus's text exposition, for the page `/fleet/metrics`.

They are read when the page is requested, into a registry of their own, without the metrics of the process.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest
from prometheus_client.registry import Collector

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
INVALID_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")

GaugesBySubsystem = Callable[[], Mapping[str, Mapping[str, float]]]  # the log's own are under the empty name


class _SubsystemCollector(Collector):
    """Collects the current gauges of all subsystems."""

    def __init__(self, gauges_by_subsystem: GaugesBySubsystem) -> None:
        self.gauges_by_subsystem = gauges_by_subsystem

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield one metric for each gauge."""
        for subsystem, gauges in self.gauges_by_subsystem().items():
            for name, value in gauges.items():
                full_name = "_".join(filter(None, ("mallowbeam_fleet", subsystem, name)))
                yield GaugeMetricFamily(
                    INVALID_CHARACTERS.sub("_", full_name), f"{subsystem or 'fleet'}: {name}", value=value
                )


class CoordinationMetrics:
    """Renders the body of the page."""

    def __init__(self, gauges_by_subsystem: GaugesBySubsystem) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(_SubsystemCollector(gauges_by_subsystem))

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self.registry)
