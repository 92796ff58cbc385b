"""One thread that makes writes durable, in the order in which they were handed over.

Writes that wait while one is under way go to the store together, with one sync. A write that the disk refuses is
tried again at intervals: the member's consensus sees a write that stands still and steps down meanwhile.
"""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from mallowbeam.consensus.interface import Write
from mallowbeam.errors import MallowbeamError
from mallowbeam.processes.logs import get_logger

RETRY_S = 0.25                 # seconds between two attempts at a write that the disk refused

log = get_logger("mallowbeam.disk")


class Store(Protocol):
    """What makes writes durable; blocking."""

    def write(self, writes: Sequence[Write]) -> None:
        """Make all of them durable together; raises `MallowbeamError` or OSError where the disk refuses."""


class DiskWriter:
    """Hands writes to the store in a thread of its own, and tells the event loop once they are durable."""

    def __init__(self, store: Store, durable: Callable[[Sequence[Write]], None]) -> None:
        """`durable` is called in the event loop, with the writes of one sync in their order."""
        self._store, self._durable = store, durable
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Write] = deque()
        self._changed = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="disk-writer", daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def submit(self, write: Write) -> None:
        """Queue a write."""
        with self._changed:
            self._waiting.append(write)
            self._changed.notify()

    async def stop(self, within: float) -> bool:
        """Finish what waits, for at most `within` seconds; whether the thread has ended."""
        with self._changed:
            self._stopping = True
            self._changed.notify()
        await asyncio.to_thread(self._thread.join, within)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while (writes := self._next_writes()) is not None:
            if self._write(writes):
                self._loop.call_soon_threadsafe(self._durable, writes)

    def _next_writes(self) -> Sequence[Write] | None:
        """All writes that wait, once there are any; None at the stop."""
        with self._changed:
            while not self._waiting:
                if self._stopping:
                    return None
                self._changed.wait()
            writes = tuple(self._waiting)
            self._waiting.clear()
            return writes

    def _write(self, writes: Sequence[Write]) -> bool:
        """Write until the disk takes it; False where the stop came first."""
        while True:
            try:
                self._store.write(writes)
                return True
            except (MallowbeamError, OSError) as error:
                log.error("a write failed: %s", error)
            with self._changed:
                if self._stopping:
                    return False
                self._changed.wait(RETRY_S)
                if self._stopping:
                    return False
