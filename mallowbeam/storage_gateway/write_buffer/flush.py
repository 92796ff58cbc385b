"""Executes the core's actions: records intents, sends writes, reads back, and compacts the log."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import msgspec
from loguru import logger

from mallowbeam.storage_gateway.server.log import RateLimitedWarning
from mallowbeam.storage_gateway.write_buffer import actions
from mallowbeam.storage_gateway.write_buffer.entries import Entry, State
from mallowbeam.storage_gateway.write_buffer.errors import LogIOError
from mallowbeam.storage_gateway.write_buffer.intake import Intake
from mallowbeam.storage_gateway.write_buffer.interface import NodeSender, Upload
from mallowbeam.storage_gateway.write_buffer.reader import WriteReader
from mallowbeam.storage_gateway.write_buffer.records import (
    Barrier,
    Done,
    Intent,
    Kind,
    RelocatedWrite,
    Suspension,
    Write,
    pack,
)
from mallowbeam.storage_gateway.write_buffer.runtime import Runtime
from mallowbeam.storage_gateway.write_buffer.store import (
    CommitUnknownError,
    PendingRecord,
    RecordRejectedError,
    Store,
)
from mallowbeam.storage_gateway.write_buffer.waiters import Waiters

DONE_DELAY_S = 0.05  # delay of done records, so that they join another batch
MAX_DONE_PER_RECORD = 4096  # writes
RELOCATE_RETRY_S = 1.0  # delay after a failed relocation


class Flush:
    """Executes the core's decisions on the log and the nodes."""

    def __init__(self, runtime: Runtime, reader: WriteReader, intake: Intake, sender: NodeSender) -> None:
        self.sender = sender
        self.store: Store  # set once the folder is open
        self.waiters = Waiters(runtime.core)
        self.calls_in_flight = 0  # at the gateway
        self._runtime = runtime
        self._core = runtime.core
        self._reader = reader
        self._intake = intake
        self._done: list[int] = []  # writes done, not yet recorded in the log
        self._done_timer: asyncio.TimerHandle | None = None
        self._suspension_warning = RateLimitedWarning(
            "buffer: a write is suspended until an operator decides"
        )
        self.disk_warning = RateLimitedWarning("buffer: disk error")

    def execute(self) -> None:
        """Execute the core's pending actions, and wake clients whose direct write is allowed now."""
        for action in self._core.take():
            self._execute_one(action)
        self.waiters.wake_direct()

    def _execute_one(self, action: actions.Action) -> None:
        match action:
            case actions.Send():
                self._runtime.spawn(self._send(action))
            case actions.ReadBack():
                self._runtime.spawn(self._read_back(action))
            case actions.Intend(lsns):
                self._runtime.spawn(self._intend(lsns))
            case actions.RecordDone(lsns):
                self._queue_done(lsns)
            case actions.Suspend(lsn, reason):
                self._runtime.spawn(self._record_suspension(lsn, reason))
            case actions.BarrierPassed(lsn):
                self.waiters.pass_barrier(lsn)
            case actions.Relocate(lsns):
                self._runtime.spawn(self._relocate(lsns))
            case actions.Remove(segments):
                self._runtime.spawn(self._remove(segments))

    def _append(self, kind: Kind, parts: list[bytes]) -> PendingRecord:
        return self.store.append(kind, self.store.next_lsn(), parts)

    # --- attempts at nodes ----------------------------------------------------------------------

    async def _intend(self, lsns: list[int]) -> None:
        """Record the intent to send writes; it is durable before the first byte is sent."""
        self.record_done()
        shards = self._core.limits.shards
        intent = Intent(lsns, self._runtime.boot, self._runtime.clock(), shards)
        try:
            await self._append(Kind.INTENT, pack(Kind.INTENT, intent)).done
        except (RecordRejectedError, CommitUnknownError) as error:
            self.disk_warning(error)
            self._core.intent_lost(self._runtime.clock(), lsns)
        else:
            self._core.intent_durable(self._runtime.clock(), lsns)
        self._runtime.wakeup.set()

    @contextmanager
    def _count_call(self) -> Iterator[None]:
        """Count a call in flight at the gateway."""
        self.calls_in_flight += 1
        try:
            yield
        finally:
            self.calls_in_flight -= 1

    async def _send(self, action: actions.Send) -> None:
        entry = self._core.entries[action.lsn]
        try:
            write, inline = await self._reader.read(entry)
            body = await self._complete_body(write, inline)
        except (LogIOError, ValueError) as error:
            logger.error(
                "buffer: write {lsn} can't be read from the log: {why}", lsn=action.lsn, why=str(error)
            )
            self._core.suspend(action.lsn, f"its bytes can't be read: {error}")
        else:
            with self._count_call():
                result = await self.sender.send(write, body, action.timeout_s, action.expected_version)
            self._core.attempt_ended(self._runtime.clock(), action.lsn, *result)
        self._runtime.wakeup.set()

    async def _complete_body(self, write: Write, inline: bytes) -> bytes:
        if not write.chunks:
            return inline
        return b"".join([chunk async for chunk in self._reader.body(write, inline, 0, write.size)])

    async def _read_back(self, action: actions.ReadBack) -> None:
        entry = self._core.entries[action.lsn]
        try:
            write, _ = await self._reader.read(entry)
        except (LogIOError, ValueError) as error:
            self._core.suspend(action.lsn, f"its bytes can't be read: {error}")
        else:
            with self._count_call():
                result = await self.sender.read_version(write, action.timeout_s)
            self._core.version_read(self._runtime.clock(), action.lsn, result.version, result.answered)
        self._runtime.wakeup.set()

    # --- records of finished and suspended writes -----------------------------------------------

    def _queue_done(self, lsns: list[int]) -> None:
        """Record done writes with the next intent, or after `DONE_DELAY_S`."""
        for lsn in lsns:
            self._reader.forget(lsn)
        self._done += lsns
        if self._done_timer is None:
            self._done_timer = asyncio.get_running_loop().call_later(DONE_DELAY_S, self.record_done)

    def record_done(self) -> None:
        """Append the records of all done writes now."""
        if self._done_timer is not None:
            self._done_timer.cancel()
            self._done_timer = None
        while self._done:
            lsns = self._done[:MAX_DONE_PER_RECORD]
            self._done = self._done[MAX_DONE_PER_RECORD:]
            pending = self._append(Kind.DONE, pack(Kind.DONE, Done(lsns)))
            self._runtime.spawn(self._commit_done(lsns, pending))

    async def _commit_done(self, lsns: list[int], pending: PendingRecord) -> None:
        try:
            await pending.done
        except (RecordRejectedError, CommitUnknownError) as error:
            self.disk_warning(error)
            await asyncio.sleep(DONE_DELAY_S)
            self._core.done_lost(lsns)
        else:
            self._core.done_durable(lsns)
        self._runtime.wakeup.set()

    async def _record_suspension(self, lsn: int, reason: str) -> None:
        if reason:
            self._suspension_warning(f"{lsn}: {reason}")
        with suppress(RecordRejectedError, CommitUnknownError):  # after a restart the reason is found again
            await self._append(Kind.HELD, pack(Kind.HELD, Suspension(lsn, reason))).done

    # --- compaction of the log ------------------------------------------------------------------

    async def _relocate(self, lsns: list[int]) -> None:
        """Copy writes and barriers to the end of the log."""
        try:
            for lsn in lsns:
                await self._relocate_one(lsn)
        except (RecordRejectedError, CommitUnknownError, LogIOError, ValueError) as error:
            self.disk_warning(error)
            await asyncio.sleep(RELOCATE_RETRY_S)
        self._core.relocation_ended()
        self._runtime.wakeup.set()

    async def _relocate_one(self, lsn: int) -> None:
        barrier = self._core.barriers.get(lsn)
        if barrier is not None:
            bucket, _ = barrier
            await self._relocate_barrier(lsn, bucket)
            return
        entry = self._core.entries.get(lsn)
        if entry is None:
            return
        write, body = await self._reader.read(entry)
        upload = Upload()
        try:
            write = await self._copy_chunks(upload, write)
            if entry.state is not State.FINISHED:
                await self._relocate_write(entry, write, body)
        finally:
            self._intake.drop(upload)

    async def _relocate_barrier(self, lsn: int, bucket: str) -> None:
        pending = self._append(Kind.BARRIER, pack(Kind.BARRIER, Barrier(bucket, lsn)))
        await pending.done
        if lsn in self._core.barriers:
            self._core.barrier_relocated(lsn, pending.record.segment)

    async def _copy_chunks(self, upload: Upload, write: Write) -> Write:
        """Copy a large body; returns the write with its new chunks."""
        async for chunk in self._reader.body(write, b"", 0, write.size if write.chunks else 0):
            if chunk:
                await self._intake.add(upload, chunk)
        write = msgspec.structs.replace(write)
        if write.chunks:
            await self._intake.complete(upload, write)
        return write

    async def _relocate_write(self, entry: Entry, write: Write, body: bytes) -> None:
        relocated = RelocatedWrite(entry.lsn, write, self._intent_of(entry), entry.reason or None)
        pending = self._append(Kind.MOVED, pack(Kind.MOVED, relocated, body))
        await pending.done
        self._reader.forget(entry.lsn)
        record = pending.record
        self._core.relocated(
            entry.lsn,
            (record.segment, record.offset),
            [segment for segment, _, _ in write.chunks],
        )

    def _intent_of(self, entry: Entry) -> tuple[bytes, float, int] | None:
        """From when on a write may have been sent: boot id, time on that boot's clock, number of shards."""
        if entry.intent_at is None:
            return None
        sent_at = entry.intent_at if entry.uncertain_since is None else max(0.0, entry.uncertain_since)
        return self._runtime.boot, sent_at, self._core.limits.shards

    async def _remove(self, segments: list[int]) -> None:
        removed = await self.store.remove(segments)
        self._core.segments_removed(removed)
        self._runtime.wakeup.set()
