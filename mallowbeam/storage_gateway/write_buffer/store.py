"""Runs the log off the event loop: group commit in one thread, reads in others.

Concurrent writers share one sync: while a batch is being synced, the next one accumulates.  If the disk is
full, a batch of both new writes and records that finish older ones is split, as the latter free space.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from loguru import logger

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.write_buffer.errors import DiskFullError, LogIOError
from mallowbeam.storage_gateway.write_buffer.log import Log, NewRecord, durability_marker
from mallowbeam.storage_gateway.write_buffer.records import Done, Kind, Record, pack

MAX_BATCH_BYTES = 4 << 20  # synced at once
IDLE_MARKER_S = 0.05  # without a batch, after which a marker record says how far the log is durable
RETRY_S = 0.5  # between attempts to write to a failing disk
READ_THREADS = 2
AWAITED_KINDS = (Kind.WRITE, Kind.PIECE, Kind.BARRIER)  # of new writes; all others finish or relocate writes


class RecordRejectedError(MallowbeamError):
    """The record is not in the log and will never be: it was not acknowledged and can't be restored."""

    error_name = "NotTaken"
    remedy = "look at the disk and at the bounds of the buffer; clients repeat by themselves"


class CommitUnknownError(MallowbeamError):
    """It is not known whether the log has the record: it may be restored after a restart."""

    error_name = "Doubtful"
    remedy = "look at the disk, then run mallowbeam buffer show on the folder"


@dataclass(slots=True)
class PendingRecord:
    """A record to be appended, and the future of its commit."""

    record: NewRecord
    done: asyncio.Future[None] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    @property
    def is_awaited(self) -> bool:
        """Whether the record is part of a new write, for which a client waits."""
        return self.record.kind in AWAITED_KINDS

    def committed(self) -> None:
        """Complete the future: the record is durable."""
        if not self.done.done():
            self.done.set_result(None)

    def failed(self, error: Exception) -> None:
        """Fail the future: the record is not durable."""
        if not self.done.done():
            self.done.set_exception(error)
            self.done.exception()  # marks the exception as retrieved, as nobody may be waiting


class Store:
    """The log of an open folder, for use on the event loop.

    `on_failure` is called with the reason and the lsns of uncertain records when the disk fails, and with
    None when it works again; `on_segments` with the sizes of segments by number, and the newest one.
    """

    def __init__(
        self,
        log: Log,
        last_lsn: int,
        on_failure: Callable[[str | None, list[int]], None],
        on_segments: Callable[[dict[int, int], int], None],
    ) -> None:
        self.log = log
        self.lsn = last_lsn
        self._on_failure = on_failure
        self._on_segments = on_segments
        self._writer = ThreadPoolExecutor(1, "buffer-log")
        self._reader = ThreadPoolExecutor(READ_THREADS, "buffer-read")
        self._queue: deque[PendingRecord] = deque()
        self._wakeup = asyncio.Event()
        self._unvoided: list[int] = []  # lsns never acknowledged that may be in an untrusted file
        self._pins: Counter[int] = Counter()  # reads by segment
        self._removable: list[int] = []  # segments to be removed once no read uses them
        self._closing = False
        self._closed = False
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._ended)

    def next_lsn(self) -> int:
        """Allocate the lsn of the next record."""
        self.lsn += 1
        return self.lsn

    def append(self, kind: Kind, lsn: int, parts: list[bytes]) -> PendingRecord:
        """Queue a record; its future completes once it is synced, or fails with one of this module's errors.

        The core bounds the queue, as it counts the bytes being committed.
        """
        pending = PendingRecord(NewRecord(kind, lsn, parts))
        if self._closed:
            pending.failed(RecordRejectedError("the log is closed"))
            return pending
        self._queue.append(pending)
        self._wakeup.set()
        return pending

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Reject all queued records once the commit task has ended, so that no caller waits for ever."""
        self._closed = True
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("buffer: unexpected error in the log writer")
            self._on_failure("a fault in the log", [])
        self._reject_queue()

    # --- committing -----------------------------------------------------------------------------

    async def _run(self) -> None:
        needs_marker = False
        while True:
            try:
                async with asyncio.timeout(self._timeout(needs_marker)):
                    await self._wakeup.wait()
            except TimeoutError:
                if self._unvoided:
                    await self._write_void()
                else:
                    needs_marker = False
                    await self._commit([PendingRecord(durability_marker(self.next_lsn()))])
                continue
            if self._closing and not self._queue:
                return
            if self._unvoided:  # no new records before VOID covers the untrusted files
                await self._write_void()
                if self._unvoided:
                    self._reject_queue()
                    continue
            await self._commit(self._next_batch())
            needs_marker = True

    def _timeout(self, needs_marker: bool) -> float | None:
        if self._unvoided:
            return RETRY_S
        return IDLE_MARKER_S if needs_marker else None

    def _next_batch(self) -> list[PendingRecord]:
        batch: list[PendingRecord] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            batch.append(self._queue.popleft())
            size += batch[-1].record.size
        if not self._queue and not self._closing:
            self._wakeup.clear()
        return batch

    def _reject_queue(self) -> None:
        """Reject all queued records because the disk fails."""
        if not self._closing:
            self._wakeup.clear()
        while self._queue:
            self._queue.popleft().failed(RecordRejectedError("the disk accepts no writes"))

    async def _commit_in_thread(self, records: list[NewRecord], finishes_writes: bool) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._writer, self.log.commit, records, finishes_writes)

    async def _commit(self, batch: list[PendingRecord], finishes_writes: bool = False) -> None:
        """Commit a batch: all of it is durable, or none."""
        try:
            await self._commit_in_thread([pending.record for pending in batch], finishes_writes)
        except DiskFullError as error:
            await self._disk_full(batch, str(error), finishes_writes)
        except LogIOError as error:
            await self._distrust(batch, str(error))
        else:
            for pending in batch:
                pending.committed()
        self._on_segments(dict(self.log.sizes), self.log.number)

    async def _disk_full(self, batch: list[PendingRecord], reason: str, finishes_writes: bool) -> None:
        """Reject new writes; commit the records that finish writes separately, as they free space."""
        finishing = [pending for pending in batch if not pending.is_awaited]
        for pending in batch:
            if pending.is_awaited:
                pending.failed(RecordRejectedError(reason))
        if finishing and not finishes_writes:
            await self._commit(finishing, True)
            return
        for pending in finishing:
            pending.failed(RecordRejectedError(reason))

    async def _distrust(self, batch: list[PendingRecord], reason: str) -> None:
        """Record in another segment that the last batch of an untrusted file was never acknowledged.

        Otherwise a write that failed here and was then sent directly could be restored with an older body.
        """
        lost = [pending.record.lsn for pending in batch if pending.record.kind in (Kind.WRITE, Kind.BARRIER)]
        self._unvoided += lost
        if lost:
            await self._write_void()
        if lost and self._unvoided:
            self._on_failure(reason, lost)
        for pending in batch:
            if self._unvoided and pending.record.lsn in lost:
                pending.failed(CommitUnknownError(reason))
            else:
                pending.failed(RecordRejectedError(reason))

    async def _write_void(self) -> None:
        parts = pack(Kind.VOID, Done(self._unvoided))
        try:
            await self._commit_in_thread([NewRecord(Kind.VOID, self.next_lsn(), parts)], True)
        except (DiskFullError, LogIOError):
            return
        self._unvoided = []
        self._on_failure(None, [])

    # --- reading and removing -------------------------------------------------------------------

    async def read(self, position: tuple[int, int]) -> Record:
        """Read the record at a segment and offset; raises `LogIOError`, also once the log is closed."""
        if self._closed:
            raise LogIOError("the log is closed")
        segment, offset = position
        self._pins[segment] += 1
        try:
            return await asyncio.get_running_loop().run_in_executor(
                self._reader, self.log.read, segment, offset
            )
        finally:
            self._pins[segment] -= 1

    async def remove(self, segments: list[int]) -> list[int]:
        """Remove segments, those being read only by a later call; returns the segments removed now."""
        self._removable += segments
        free = [segment for segment in self._removable if not self._pins[segment]]
        try:
            await asyncio.get_running_loop().run_in_executor(self._writer, self.log.remove, free)
        except OSError:
            return []
        self._removable = [segment for segment in self._removable if segment not in free]
        return free

    async def close(self) -> None:
        """Commit the queued records, then close and unlock the folder."""
        self._closing = True
        self._wakeup.set()
        await self._task
        if not self._unvoided:
            await self._commit([PendingRecord(durability_marker(self.next_lsn()))])
        await asyncio.get_running_loop().run_in_executor(self._writer, self.log.close)
        self._writer.shutdown(wait=False)
        self._reader.shutdown(wait=False)
