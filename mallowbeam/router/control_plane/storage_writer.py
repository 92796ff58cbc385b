"""One thread that makes writes durable, in the order in which they were handed over.

Writes that wait while one is under way go to the store together, with one sync, as far as they are small: a
transaction can't use the pages that it frees. A write that the disk refuses is tried again at intervals: the
member's consensus sees a write that stands still and steps down meanwhile. Entries that the store has no room
for wait for a snapshot, by which others are dropped: it goes to the store together with them.
"""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.consensus.interface import Write
from mallowbeam.router.processes.logs import get_logger

RETRY_S = 0.25  # seconds between two attempts at a write that the disk refused
MOST_TOGETHER = 8 * 1024 * 1024  # bytes that go to the store together; one write that is larger goes alone

log = get_logger("mallowbeam.disk")


class Store(Protocol):
    """What makes writes durable; blocking."""

    def write(self, writes: Sequence[Write]) -> None:
        """Make all of them durable together; raises `MallowbeamError` or OSError where the disk refuses."""


class StorageWriter:
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
            written = self._write(writes)
            if written:
                self._loop.call_soon_threadsafe(self._durable, written)

    def _next_writes(self) -> tuple[Write, ...] | None:
        """The writes that wait, as far as they go together, once there are any; None at the stop."""
        with self._changed:
            while not self._waiting:
                if self._stopping:
                    return None
                self._changed.wait()
            writes = [self._waiting.popleft()]
            size = writes[0].size()
            while self._waiting and (size := size + self._waiting[0].size()) <= MOST_TOGETHER:
                writes.append(self._waiting.popleft())
            return tuple(writes)

    def _write(self, writes: tuple[Write, ...]) -> tuple[Write, ...]:
        """Write until the disk takes it; what it took, with what had to go together; empty at the stop."""
        while True:
            try:
                self._store.write(writes)
                return writes
            except (MallowbeamError, OSError) as error:
                log.error("a write failed: %s", error)
            with self._changed:
                if self._stopping:
                    return ()
                self._changed.wait(RETRY_S)
                if self._stopping:
                    return ()
                writes += self._up_to_snapshot(writes)

    def _up_to_snapshot(self, writes: tuple[Write, ...]) -> tuple[Write, ...]:
        """The writes that wait up to the first one with a snapshot; none where `writes` have one already."""
        if any(write.snapshot is not None for write in writes):
            return ()
        for position, write in enumerate(self._waiting):
            if write.snapshot is not None:
                return tuple(self._waiting.popleft() for _ in range(position + 1))
        return ()
