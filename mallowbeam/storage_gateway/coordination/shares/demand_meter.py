"""Measures the demand at one gateway and decides which changes are worth a report.

Units are counted by flow in windows.  A window above the reported rate is reported at once, with a little
headroom.  A lower rate is reported once the highest of the last `SHORT_TERM_WINDOWS` windows is well below
the reported rate, or the highest of the last `LONG_TERM_WINDOWS` ones a little below: fluctuations that are
faster, or within that band, cause no report.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.coordination.shares.demand_encoding import RATE_STEPS, rate_code

HEADROOM = 1.003  # reported over measured: with the rounding up, 0.6% at most
SHORT_TERM_WINDOWS = 3  # windows
SHORT_TERM_THRESHOLD = 0.7  # of the reported rate
LONG_TERM_WINDOWS = 12  # windows
LONG_TERM_THRESHOLD = 0.96  # of the reported rate
INITIAL_RATE = 1000  # milli-units a second of a new flow, until its first window is over
NO_WINDOWS = (0.0,)


@dataclass(slots=True)
class DemandMeter:
    """One gateway's demand by flow; flows beyond `max_flows` are not counted."""

    max_flows: int
    units: dict[int, float] = field(default_factory=dict)  # in the current window
    windows: dict[int, tuple[float, ...]] = field(default_factory=dict)  # milli-units a second, newest first

    def add(self, flow: int, units: float) -> bool:
        """Count requested units; returns whether the flow is new here."""
        if flow in self.units:
            self.units[flow] += units
            return False
        if len(self.units) >= self.max_flows:
            return False
        self.units[flow] = units
        return flow not in self.windows

    def current_demand(self) -> dict[int, int]:
        """Milli-units a second by flow: the higher of the last two windows; `INITIAL_RATE` for new flows."""
        measured = {flow: int(max(windows[:2]) * HEADROOM) for flow, windows in self.windows.items()}
        return {**dict.fromkeys(self.units, INITIAL_RATE), **measured}

    def end_window(self, seconds: float, reported: Mapping[int, int]) -> dict[int, int]:
        """End the window; returns the rate codes to report, by flow.

        `reported` is this gateway's demand in the log, in milli-units a second by flow.
        """
        for flow in self.windows.keys() | self.units.keys():
            newest = self.units.get(flow, 0.0) * 1000 / seconds
            windows = (newest, *self.windows.get(flow, ())[: LONG_TERM_WINDOWS - 1])
            if any(windows):
                self.windows[flow] = windows
            else:
                del self.windows[flow]
        self.units.clear()
        rows: dict[int, int] = {}
        for flow in self.windows.keys() | reported.keys():
            before = reported.get(flow, 0)
            rate = _rate_to_report(self.windows.get(flow, NO_WINDOWS), before)
            if rate is not None and RATE_STEPS[code := rate_code(int(rate * HEADROOM))] != before:
                rows[flow] = code
        return rows


def _rate_to_report(windows: tuple[float, ...], reported: int) -> float | None:
    """The rate that replaces the reported one; None while the reported one stays good enough."""
    highest = max(windows[:SHORT_TERM_WINDOWS])
    if windows[0] > reported:
        return highest
    if highest >= reported * SHORT_TERM_THRESHOLD:
        highest = max(windows)
        if len(windows) < LONG_TERM_WINDOWS or highest >= reported * LONG_TERM_THRESHOLD:
            return None
        return highest
    if len(windows) < SHORT_TERM_WINDOWS and windows != NO_WINDOWS:
        return None
    return highest
