"""Simulated time: a heap of events, run in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

Step = Callable[[], object]  # the result is ignored


@dataclass(slots=True)
class Event:
    """A scheduled step; it can be cancelled until it runs."""

    step: Step | None

    def cancel(self) -> None:
        """Prevent the step from running."""
        self.step = None


class Simulator:
    """The clock, the event queue and the only random generator of a run; times are in seconds."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.now = 0.0  # seconds
        self.steps = 0  # events that have run
        self.digest = 0  # hash over the times and the order of all events that have run
        # Time in seconds, scheduling order (breaks ties) and event.
        self._events: list[tuple[float, int, Event]] = []
        self._last_order = 0
        self._checks: list[Step] = []

    def at(self, time: float, step: Step) -> Event:
        """Schedule a step at a time in seconds; a time in the past counts as now."""
        self._last_order += 1
        event = Event(step)
        heapq.heappush(self._events, (max(time, self.now), self._last_order, event))
        return event

    def after(self, delay: float, step: Step) -> Event:
        """Schedule a step after a delay in seconds."""
        return self.at(self.now + delay, step)

    def check(self, check: Step) -> None:
        """Register a check that runs after each event and raises if an invariant is violated."""
        self._checks.append(check)

    def run_until(self, until: float) -> None:
        """Run all events up to a time in seconds."""
        self.run_while(lambda: True, until)

    def run_while(self, condition: Callable[[], bool], until: float) -> bool:
        """Run events while `condition` is true, at most up to `until` seconds; returns its last value."""
        while condition():
            if not self._run_next(until):
                self.now = max(self.now, until)
                return condition()
        return False

    def _run_next(self, until: float) -> bool:
        """Run the next event that is due by `until`; returns False if there is none."""
        while self._events and self._events[0][0] <= until:
            time, order, event = heapq.heappop(self._events)
            if event.step is not None:
                self.now = time
                self.steps += 1
                self.digest = hash((self.digest, time, order))
                event.step()
                for check in self._checks:
                    check()
                return True
        return False
