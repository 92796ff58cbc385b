"""What comes in at one gateway, and when that is worth a word to the fleet.

Units are counted by flow in windows.  A window above what was told is told at once, with a little headroom.
Less is told after the highest of `SHORT` windows has been well below, or the highest of `LONG` ones a little
below: what flickers faster than that, or within the band, changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.coordination.shares.demand_encoding import STEPS, code

HEADROOM = 1.003  # told over measured: with the rounding up, 0.6% at most
SHORT, WELL = 3, 0.7  # windows, and the part of what was told that is well below
FIRST = 1000  # milli-units a second, until the first window is over
LONG, BAND = 12, 0.96  # windows, and what is a little below


@dataclass(slots=True)
class Meter:
    """One gateway's demand by flow; `most` bounds the flows, further ones are not counted."""

    most: int
    counts: dict[int, float] = field(default_factory=dict)
    past: dict[int, tuple[float, ...]] = field(default_factory=dict)  # milli-units a second, the newest first

    def came(self, flow: int, units: float) -> bool:
        """Units were asked for; whether the flow is new here."""
        if flow in self.counts:
            self.counts[flow] += units
            return False
        if len(self.counts) >= self.most:
            return False
        self.counts[flow] = units
        return flow not in self.past

    def wants(self) -> dict[int, int]:
        """What is asked for now, by flow, in milli-units a second; a new one by `FIRST`."""
        known = {flow: int(max(past[:2]) * HEADROOM) for flow, past in self.past.items()}
        return {**dict.fromkeys(self.counts, FIRST), **known}

    def window(self, seconds: float, told: Mapping[int, int]) -> dict[int, int]:
        """A window is over: the codes by flow of what should be told anew."""
        for flow in self.past.keys() | self.counts.keys():
            past = (self.counts.get(flow, 0.0) * 1000 / seconds, *self.past.get(flow, ())[: LONG - 1])
            if any(past):
                self.past[flow] = past
            else:
                del self.past[flow]
        self.counts.clear()
        rows: dict[int, int] = {}
        for flow in self.past.keys() | told.keys():
            past, said = self.past.get(flow, (0.0,)), told.get(flow, 0)
            level = max(past[:SHORT])
            if past[0] <= said and level >= said * WELL:
                level = max(past)
                if len(past) < LONG or level >= said * BAND:
                    continue
            elif past[0] <= said and len(past) < SHORT and past != (0.0,):
                continue
            rows[flow] = code(int(level * HEADROOM))
        return {flow: new for flow, new in rows.items() if STEPS[new] != told.get(flow, 0)}
