"""Taking writes in, large bodies and barriers, and reading them again.

A write is the core's from the moment that the log is asked for it, and acknowledged once the log has it.  Its
words stay at hand within a bound, as most are sent before they need be read again.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from mallowbeam.storage_gateway.write_buffer.core import Core, Entry, Offer
from mallowbeam.storage_gateway.write_buffer.errors import Failed
from mallowbeam.storage_gateway.write_buffer.records import RECORD, Barrier, Kind, Moved, Write, pack, unpack
from mallowbeam.storage_gateway.write_buffer.store import Doubtful, NotTaken, Store
from mallowbeam.storage_gateway.write_buffer.terms import Settings, Upload

PIECE = 256 * 1024  # bytes of a body that stand in one record: larger ones come in pieces


class Intake:
    """What comes in and is read again.  A part of `Buffer`, which makes what is named here."""

    settings: Settings
    core: Core
    store: Store
    clock: Callable[[], float]
    _stir: asyncio.Event  # look again at what is to be done
    _through: dict[int, list[asyncio.Future[None]]]  # by barrier: who waits for it to pass
    _clear: list[tuple[str, bytes, asyncio.Future[None]]]  # who waits, by bucket and name
    _cache: OrderedDict[int, tuple[Write, bytes]]
    _cached: int  # bytes in the cache
    _spawn: Callable[[Coroutine[Any, Any, None]], None]

    # --- taking in ------------------------------------------------------------------------------

    def offer(self, bucket: str, name: bytes, size: int) -> Offer:
        """What becomes of a write of so many bytes."""
        return self.core.offer(self.clock(), bucket, name, size + 1024)

    async def put(self, write: Write, body: bytes) -> Entry:
        """Take a write in; comes back once it is durable.  Raises `NotTaken` or `Doubtful`."""
        parts = pack(Kind.WRITE, write, body)
        lsn = self.store.next_lsn()
        cost = RECORD.size + sum(map(len, parts)) + sum(RECORD.size + size for *_, size in write.pieces)
        entry = Entry(
            lsn,
            write.bucket,
            write.target,
            write.method,
            write.place,
            write.etag,
            write.size,
            cost,
            self.clock(),
        )
        self.core.accept(entry)
        waiting = self.store.append(Kind.WRITE, lsn, parts)
        # The log's word counts whether or not its client still waits: it is taken by a task of its own.
        if not write.pieces:
            self._remember(lsn, write, body)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._spawn(self._taken(entry, write, waiting.done, waiting.item, done))
        await done
        return entry

    async def _taken(
        self, entry: Entry, write: Write, word: asyncio.Future[None], item: Any, done: asyncio.Future[None]
    ) -> None:
        try:
            await word
        except (NotTaken, Doubtful) as error:
            if isinstance(error, Doubtful):
                self.core.tainted.add(entry.key)
            self.core.lost(entry.lsn)
            self._forget(entry.lsn)
            if not done.done():
                done.set_exception(error)
        else:
            self.core.durable(
                self.clock(),
                entry.lsn,
                (item.segment, item.offset),
                [segment for segment, _, _ in write.pieces],
            )
            if not done.done():
                done.set_result(None)
        self._stir.set()

    async def add(self, upload: Upload, data: bytes | bytearray | memoryview) -> None:
        """Take in more of a large body, a piece at a time; raises `NotTaken` or `Doubtful`."""
        upload.rest += data
        upload.size += len(data)
        while len(upload.rest) >= PIECE:
            await self._piece(upload, PIECE)

    async def _piece(self, upload: Upload, size: int) -> None:
        data = bytes(upload.rest[:size])
        del upload.rest[:size]
        if not self.core.room(RECORD.size + size):
            raise NotTaken("the buffer is full")
        waiting = self.store.append(Kind.PIECE, self.store.next_lsn(), [data])
        await waiting.done
        self.core.pin(waiting.item.segment)
        upload.pieces.append((waiting.item.segment, waiting.item.offset, size))

    async def complete(self, upload: Upload, write: Write) -> None:
        """The body is whole and in the log; `put` makes a write of it."""
        if upload.rest:
            await self._piece(upload, len(upload.rest))
        write.pieces, write.size = list(upload.pieces), upload.size

    def drop(self, upload: Upload) -> None:
        """The body's pieces need not stay for its own sake: it is a write now, or nothing."""
        for segment, _, _ in upload.pieces:
            self.core.pin(segment, -1)
        upload.pieces = []

    async def barrier(self, bucket: str) -> int:
        """A point in the bucket's order, durable once this comes back; raises `NotTaken` or `Doubtful`."""
        lsn = self.store.next_lsn()
        self.core.barrier(lsn, bucket)
        waiting = self.store.append(Kind.BARRIER, lsn, pack(Kind.BARRIER, Barrier(bucket)))
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._spawn(self._barrier_taken(lsn, waiting.done, waiting.item, done))
        await done
        return lsn

    async def _barrier_taken(
        self, lsn: int, word: asyncio.Future[None], item: Any, done: asyncio.Future[None]
    ) -> None:
        try:
            await word
        except (NotTaken, Doubtful) as error:
            self.core.barrier_lost(lsn)
            if not done.done():
                done.set_exception(error)
        else:
            self.core.barrier_durable(lsn, item.segment)
            if not done.done():
                done.set_result(None)
        self._stir.set()

    async def through(self, lsn: int, seconds: float) -> bool:
        """Wait until a barrier has passed, or until it is clear that it will not in that time."""
        if self.core.before(lsn) is None:
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._through.setdefault(lsn, []).append(future)
        return await self._within(future, seconds)

    async def clear(self, bucket: str, name: bytes, seconds: float) -> bool:
        """Wait until nothing here stands before a direct write of that name."""
        if not self.core.ordered(bucket, name):
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._clear.append((bucket, name, future))
        return await self._within(future, seconds)

    @staticmethod
    async def _within(future: asyncio.Future[None], seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds):
                await future
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if not future.cancelled() or (task := asyncio.current_task()) is not None and task.cancelling():
                raise
            return False  # the folder was handed over
        return True

    # --- reading --------------------------------------------------------------------------------

    def newest(self, bucket: str, name: bytes) -> Entry | None:
        """The last durable write of a name that is still here."""
        return self.core.newest_of(bucket, name)

    async def words(self, entry: Entry) -> tuple[Write, bytes]:
        """A write's words, and its body unless that stands in pieces; raises `Failed`."""
        held = self._cache.get(entry.lsn)
        if held is not None:
            return held
        record = await self.store.read(entry.where)
        words, body = unpack(record.kind, record.payload)
        write = words.write if isinstance(words, Moved) else words
        if not isinstance(write, Write):
            raise Failed("a record of another kind")
        return write, bytes(body)

    async def body(self, write: Write, whole: bytes, start: int, end: int) -> AsyncIterator[bytes]:
        """A body's bytes from `start` to `end`, in pieces; raises `Failed`."""
        if not write.pieces:
            yield whole[start:end]
            return
        at = 0
        for segment, offset, size in write.pieces:
            if at < end and at + size > start:
                record = await self.store.read((segment, offset))
                yield bytes(record.payload[max(0, start - at) : end - at])
            at += size

    def _remember(self, lsn: int, write: Write, body: bytes) -> None:
        """Keep a write at hand, within the bound: most are sent before they need be read again."""
        self._cache[lsn] = write, body
        self._cached += len(body) + 1024
        while self._cached > self.settings.cache_bytes:
            _, (_, old) = self._cache.popitem(last=False)
            self._cached -= len(old) + 1024

    def _forget(self, lsn: int) -> None:
        if (held := self._cache.pop(lsn, None)) is not None:
            self._cached -= len(held[1]) + 1024
