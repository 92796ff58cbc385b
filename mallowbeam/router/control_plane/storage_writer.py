"""A thread that makes writes durable, in the order in which they were submitted.

Writes that are queued while one is in progress are batched into one transaction with a single sync. The batch
size is limited, as a transaction can't use the pages that it frees. A failed write is retried at intervals;
meanwhile Raft detects the stalled write and the member steps down. Entries for which the store has no
capacity wait for the snapshot that removes others, and are written together with it.
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

RETRY_INTERVAL_S = 0.25  # between two attempts at a failed write
MAX_BATCH_BYTES = 8 * 1024 * 1024  # per transaction; a larger write gets its own

log = get_logger("mallowbeam.disk")


class Store(Protocol):
    """Makes writes durable; its methods block."""

    def write(self, writes: Sequence[Write]) -> None:
        """Make all of them durable together; raises `MallowbeamError` or OSError if that fails."""


class StorageWriter:
    """Writes to the store in a thread of its own, and notifies the event loop once writes are durable."""

    def __init__(self, store: Store, on_durable: Callable[[Sequence[Write]], None]) -> None:
        """`on_durable` is called in the event loop, with the writes of one sync in their order."""
        self._store = store
        self._on_durable = on_durable
        self._loop = asyncio.get_running_loop()
        self._queue: deque[Write] = deque()
        self._condition = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="disk-writer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def submit(self, write: Write) -> None:
        """Queue a write."""
        with self._condition:
            self._queue.append(write)
            self._condition.notify()

    async def stop(self, timeout_s: float) -> bool:
        """Write all queued writes, for at most `timeout_s`; returns whether the thread has ended."""
        with self._condition:
            self._stopping = True
            self._condition.notify()
        await asyncio.to_thread(self._thread.join, timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while (writes := self._next_writes()) is not None:
            written = self._write(writes)
            if written:
                self._loop.call_soon_threadsafe(self._on_durable, written)

    def _next_writes(self) -> tuple[Write, ...] | None:
        """Wait for the next batch of queued writes; None at the stop."""
        with self._condition:
            while not self._queue:
                if self._stopping:
                    return None
                self._condition.wait()
            writes = [self._queue.popleft()]
            size = writes[0].size()
            while self._queue and (size := size + self._queue[0].size()) <= MAX_BATCH_BYTES:
                writes.append(self._queue.popleft())
            return tuple(writes)

    def _write(self, writes: tuple[Write, ...]) -> tuple[Write, ...]:
        """Retry until a batch is written; returns the writes that it contained, or none at the stop."""
        while True:
            try:
                self._store.write(writes)
                return writes
            except (MallowbeamError, OSError) as error:
                log.error("a write failed: %s", error)
            with self._condition:
                if self._stopping:
                    return ()
                self._condition.wait(RETRY_INTERVAL_S)
                if self._stopping:
                    return ()
                writes += self._dequeue_up_to_snapshot(writes)

    def _dequeue_up_to_snapshot(self, writes: tuple[Write, ...]) -> tuple[Write, ...]:
        """Dequeue the writes up to the first with a snapshot; none if `writes` already contain one."""
        if any(write.snapshot is not None for write in writes):
            return ()
        for position, write in enumerate(self._queue):
            if write.snapshot is not None:
                return tuple(self._queue.popleft() for _ in range(position + 1))
        return ()
