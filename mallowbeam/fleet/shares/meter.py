"""What comes in at one gateway, and when that is worth a word to the fleet.

Units are counted by flow in windows.  A level follows a window that is higher at once and goes half the way
down to one that is lower.  What is told is the level with some headroom, rounded up; a new word is due when
the level is above what was told, or when it has stayed well below for some windows in a row: a flicker
within the band changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mallowbeam.fleet.shares.packed import STEPS, code

HEADROOM = 1.1              # told over measured, so that a small rise needs no epoch
BAND = 0.7                  # of what is told: below it a level is well below
FALLS = 3                   # windows in a row, before less is told
SMALL = 10                  # milli-units a second: below it nothing is asked


@dataclass(slots=True)
class Meter:
    """One gateway's demand by flow; `most` bounds the flows, further ones are not counted."""

    most: int
    counts: dict[int, float] = field(default_factory=dict)
    levels: dict[int, float] = field(default_factory=dict)    # milli-units a second
    falls: dict[int, int] = field(default_factory=dict)

    def came(self, flow: int, units: float) -> bool:
        """Units were asked for; whether the flow is new here."""
        if flow in self.counts:
            self.counts[flow] += units
            return False
        if len(self.counts) >= self.most:
            return False
        self.counts[flow] = units
        return flow not in self.levels

    def window(self, seconds: float, told: Mapping[int, int]) -> dict[int, int]:
        """A window is over: the codes by flow of what should be told anew."""
        for flow in self.levels.keys() | self.counts.keys():
            rate = self.counts.get(flow, 0.0) * 1000 / seconds
            had = self.levels.get(flow, 0.0)
            level = max(rate, (rate + had) / 2)
            if level < SMALL and not rate:
                self.levels.pop(flow, None)
            else:
                self.levels[flow] = level
        self.counts.clear()
        rows: dict[int, int] = {}
        for flow in self.levels.keys() | told.keys():
            level, said = self.levels.get(flow, 0.0), told.get(flow, 0)
            if level > said:
                rows[flow] = code(int(level * HEADROOM))
            elif level * HEADROOM < said * BAND:
                self.falls[flow] = falls = self.falls.get(flow, 0) + 1
                if falls < FALLS:
                    continue
                rows[flow] = code(int(level * HEADROOM)) if level >= SMALL else 0
            self.falls.pop(flow, None)
        return {flow: new for flow, new in rows.items() if STEPS[new] != told.get(flow, 0)}
