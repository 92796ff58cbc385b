"""Simulated time: a heap of events, run in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

Step = Callable[[], object]  # its result is dropped


@dataclass(slots=True)
class Event:
    """A step that is due; it can be cancelled until then."""

    step: Step | None

    def cancel(self) -> None:
        """Have the step not run."""
        self.step = None


class Simulator:
    """The clock, the events that are due, and the one source of randomness of a run."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.now = 0.0  # seconds
        self.steps = 0  # events run so far
        self._events: list[tuple[float, int, Event]] = []  # events at one time run in the order of planning
        self._order = 0
        self._checks: list[Step] = []

    def at(self, time: float, step: Step) -> Event:
        """Run a step at a time; one that is past counts as now."""
        self._order += 1
        event = Event(step)
        heapq.heappush(self._events, (max(time, self.now), self._order, event))
        return event

    def after(self, delay: float, step: Step) -> Event:
        """Run a step after a delay in seconds."""
        return self.at(self.now + delay, step)

    def check(self, check: Step) -> None:
        """Run a check after each event; it raises where something does not hold."""
        self._checks.append(check)

    def run_until(self, until: float) -> None:
        """Let time pass."""
        self.run_while(lambda: True, until)

    def run_while(self, wanted: Callable[[], bool], until: float) -> bool:
        """Let time pass up to `until` as long as `wanted` says so; what it said last."""
        while wanted():
            if not self._run_next(until):
                self.now = max(self.now, until)
                return wanted()
        return False

    def _run_next(self, until: float) -> bool:
        """Run the next event that is due until then; False where there is none."""
        while self._events and self._events[0][0] <= until:
            time, _, event = heapq.heappop(self._events)
            if event.step is not None:
                self.now = time
                self.steps += 1
                event.step()
                for check in self._checks:
                    check()
                return True
        return False
