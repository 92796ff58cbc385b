"""A simulated disk: writes become durable one after another, each in a time of its own.

What a write changes is the owner's: the disk runs the change at the moment at which it is durable, and holds
no bytes. A write that was under way when the process ended has reached the disk or not, and with it all that
came before it.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from mallowbeam.simulation.clock import Event, Step
from mallowbeam.simulation.machine import End, Machine

USUAL_LATENCY = (0.002, 0.006)  # seconds that a write and its sync take, between these
SLOW_LATENCY = (0.05, 0.4)


@dataclass(frozen=True, slots=True)
class _Write:
    """A change that waits, and whom to tell."""

    change: Step
    done: Step
    failed: Callable[[OSError], object] | None


class Disk:
    """The disk of one machine."""

    def __init__(self, machine: Machine) -> None:
        self._machine, self._simulator = machine, machine.simulator
        self._writes: deque[_Write] = deque()
        self._sync: Event | None = None
        self.latency = USUAL_LATENCY
        self.stalled = False  # nothing becomes durable
        self.full = False  # every write is refused
        machine.on_end(self._process_ended)

    @property
    def waiting(self) -> int:
        """Writes that are not durable yet."""
        return len(self._writes)

    def write(self, change: Step, done: Step, failed: Callable[[OSError], object] | None = None) -> None:
        """Make a change durable, then have the process take the step `done`.

        On a full disk the step `failed` is taken instead, or none where it is None: the write is gone.
        """
        self._writes.append(_Write(change, done, failed))
        self._go_on()

    def stall(self) -> None:
        """Have nothing become durable any more."""
        self.stalled = True
        if self._sync is not None:
            self._sync.cancel()
            self._sync = None

    def mend(self) -> None:
        """End all troubles."""
        self.stalled, self.full, self.latency = False, False, USUAL_LATENCY
        self._go_on()

    def _go_on(self) -> None:
        if self._writes and self._sync is None and not self.stalled:
            self._sync = self._simulator.after(self._simulator.random.uniform(*self.latency), self._synced)

    def _synced(self) -> None:
        self._sync = None
        write = self._writes.popleft()
        if not self.full:
            write.change()
            self._machine.after_true(0.0, write.done)
        elif write.failed is not None:
            failed, error = write.failed, OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            self._machine.after_true(0.0, lambda: failed(error))
        self._go_on()

    def _process_ended(self, _: End) -> None:
        """Some of what was under way has reached the disk, in its order."""
        reached = 0 if self.full or self.stalled else self._simulator.random.randint(0, len(self._writes))
        for write in list(self._writes)[:reached]:
            write.change()
        self._writes.clear()
        if self._sync is not None:
            self._sync.cancel()
            self._sync = None
