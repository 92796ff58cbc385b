"""Accepting writes, large bodies and barriers.

The core counts a write from the moment that it is queued for the log; it is acknowledged once it is durable.
"""

from __future__ import annotations

import asyncio

from mallowbeam.storage_gateway.write_buffer.entries import Admission, Entry
from mallowbeam.storage_gateway.write_buffer.interface import Upload
from mallowbeam.storage_gateway.write_buffer.reader import WriteReader
from mallowbeam.storage_gateway.write_buffer.records import RECORD, Barrier, Kind, Write, pack
from mallowbeam.storage_gateway.write_buffer.runtime import Runtime
from mallowbeam.storage_gateway.write_buffer.store import (
    CommitUnknownError,
    PendingRecord,
    RecordRejectedError,
    Store,
)

CHUNK_BYTES = 256 * 1024  # of a body in one record: larger bodies are written in chunks
MAX_DESCRIPTION_BYTES = 1024  # of a write besides its body, as admission counts it


class Intake:
    """Appends the writes of clients to the log."""

    def __init__(self, runtime: Runtime, reader: WriteReader) -> None:
        self.store: Store  # set once the folder is open
        self._runtime = runtime
        self._core = runtime.core
        self._reader = reader

    def admit(self, bucket: str, name: bytes, size: int) -> Admission:
        """Decide on a write with a body of `size` bytes."""
        return self._core.admit(self._runtime.clock(), bucket, name, size + MAX_DESCRIPTION_BYTES)

    async def put(self, write: Write, body: bytes) -> Entry:
        """Accept a write; returns once it is durable.

        Raises `RecordRejectedError` or `CommitUnknownError`.
        """
        parts = pack(Kind.WRITE, write, body)
        lsn = self.store.next_lsn()
        chunk_bytes = sum(RECORD.size + size for *_, size in write.chunks)
        log_bytes = RECORD.size + sum(map(len, parts)) + chunk_bytes
        entry = Entry(lsn, write, log_bytes, self._runtime.clock())
        self._core.accept(entry)
        pending = self.store.append(Kind.WRITE, lsn, parts)
        if not write.chunks:
            self._reader.remember(lsn, write, body)
        # A separate task awaits the commit, as it counts even if the client no longer waits.
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._runtime.spawn_commit(self._commit_write(entry, write, pending, done))
        await done
        return entry

    async def _commit_write(
        self, entry: Entry, write: Write, pending: PendingRecord, done: asyncio.Future[None]
    ) -> None:
        try:
            await pending.done
        except (RecordRejectedError, CommitUnknownError) as error:
            if isinstance(error, CommitUnknownError):
                self._core.untrusted_keys.add(entry.key)
            self._core.lost(entry.lsn)
            self._reader.forget(entry.lsn)
            if not done.done():
                done.set_exception(error)
        else:
            record = pending.record
            self._core.durable(
                self._runtime.clock(),
                entry.lsn,
                (record.segment, record.offset),
                [segment for segment, _, _ in write.chunks],
            )
            if not done.done():
                done.set_result(None)
        self._runtime.wakeup.set()

    async def add(self, upload: Upload, data: bytes | bytearray | memoryview) -> None:
        """Append more of a large body, in chunks; raises `RecordRejectedError` or `CommitUnknownError`."""
        upload.rest += data
        upload.size += len(data)
        while len(upload.rest) >= CHUNK_BYTES:
            await self._append_chunk(upload, CHUNK_BYTES)

    async def _append_chunk(self, upload: Upload, size: int) -> None:
        data = bytes(upload.rest[:size])
        del upload.rest[:size]
        if not self._core.has_capacity(RECORD.size + size):
            raise RecordRejectedError("the buffer is full")
        pending = self.store.append(Kind.PIECE, self.store.next_lsn(), [data])
        await pending.done
        record = pending.record
        self._core.pin(record.segment)
        upload.chunks.append((record.segment, record.offset, size))

    async def complete(self, upload: Upload, write: Write) -> None:
        """Append the rest of a complete large body and set the chunks of `write`, for `put`."""
        if upload.rest:
            await self._append_chunk(upload, len(upload.rest))
        write.chunks = list(upload.chunks)
        write.size = upload.size

    def drop(self, upload: Upload) -> None:
        """Release the segments of an upload's chunks: it became a write, or was abandoned."""
        for segment, _, _ in upload.chunks:
            self._core.pin(segment, -1)
        upload.chunks = []

    async def put_barrier(self, bucket: str) -> int:
        """Add a barrier to the bucket's order of writes; returns its lsn once it is durable.

        Raises `RecordRejectedError` or `CommitUnknownError`.
        """
        lsn = self.store.next_lsn()
        self._core.open_barrier(lsn, bucket)
        pending = self.store.append(Kind.BARRIER, lsn, pack(Kind.BARRIER, Barrier(bucket)))
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._runtime.spawn_commit(self._commit_barrier(lsn, pending, done))
        await done
        return lsn

    async def _commit_barrier(self, lsn: int, pending: PendingRecord, done: asyncio.Future[None]) -> None:
        try:
            await pending.done
        except (RecordRejectedError, CommitUnknownError) as error:
            self._core.barrier_lost(lsn)
            if not done.done():
                done.set_exception(error)
        else:
            self._core.barrier_durable(lsn, pending.record.segment)
            if not done.done():
                done.set_result(None)
        self._runtime.wakeup.set()
