"""A simulated disk: writes become durable one after another, each after its own random latency.

The disk stores no bytes: it runs the owner's change at the moment the write becomes durable. When a process
ends, a prefix of its pending writes becomes durable; its length is random.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from mallowbeam.simulation.clock import Event, Step
from mallowbeam.simulation.machine import End, Machine

NORMAL_LATENCY_RANGE_S = (0.002, 0.006)  # minimum and maximum of a write and its sync
SLOW_LATENCY_RANGE_S = (0.05, 0.4)


@dataclass(frozen=True, slots=True)
class _Write:
    """A pending change and its completion callbacks."""

    change: Step
    done: Step
    failed: Callable[[OSError], object] | None


class Disk:
    """The disk of one machine."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._simulator = machine.simulator
        self._writes: deque[_Write] = deque()
        self._sync: Event | None = None
        self.latency = NORMAL_LATENCY_RANGE_S
        self.stalled = False  # no write completes
        self.full = False  # every write fails with ENOSPC
        machine.on_end(self._process_ended)

    @property
    def pending_writes(self) -> int:
        """Number of writes that are not durable yet."""
        return len(self._writes)

    def write(self, change: Step, done: Step, failed: Callable[[OSError], object] | None = None) -> None:
        """Make a change durable, then run the step `done` of the process.

        On a full disk the write is lost and `failed`, if given, runs with the OSError.
        """
        self._writes.append(_Write(change, done, failed))
        self._start_next_write()

    def stall(self) -> None:
        """Stop completing writes until `repair`."""
        self.stalled = True
        if self._sync is not None:
            self._sync.cancel()
            self._sync = None

    def repair(self) -> None:
        """Clear all faults of the disk."""
        self.stalled = False
        self.full = False
        self.latency = NORMAL_LATENCY_RANGE_S
        self._start_next_write()

    def _start_next_write(self) -> None:
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
        self._start_next_write()

    def _process_ended(self, _: End) -> None:
        """Apply a random prefix of the pending writes and drop the rest."""
        durable_count = (
            0 if self.full or self.stalled else self._simulator.random.randint(0, len(self._writes))
        )
        for write in list(self._writes)[:durable_count]:
            write.change()
        self._writes.clear()
        if self._sync is not None:
            self._sync.cancel()
            self._sync = None
