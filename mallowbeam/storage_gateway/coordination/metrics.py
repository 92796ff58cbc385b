"""The fleet's figures in Prometheus's text exposition, for the policy listener's page `/fleet/metrics`.

A registry of its own: no figures of the process, and nothing that the platform's path would touch.  The
figures are read when the page is asked for.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest
from prometheus_client.registry import Collector

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
UNFIT = re.compile(r"[^a-zA-Z0-9_]")

Figures = Callable[[], Mapping[str, Mapping[str, float]]]  # by subsystem, then by name


class _Fleet(Collector):
    """All subsystems' figures, as they are now."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """One gauge each."""
        for part, gauges in self.figures().items():
            for name, value in gauges.items():
                full = UNFIT.sub("_", "_".join(filter(None, ("mallowbeam_fleet", part, name))))
                yield GaugeMetricFamily(full, f"{part or 'fleet'}: {name}", value=value)


class FleetMetrics:
    """The page's body."""

    def __init__(self, figures: Figures) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(_Fleet(figures))

    def text(self) -> bytes:
        """All figures."""
        return generate_latest(self.registry)
