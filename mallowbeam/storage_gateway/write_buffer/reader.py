"""Reads buffered writes, with a cache: most writes are sent while they are still cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import AsyncIterator

from mallowbeam.storage_gateway.write_buffer.core import Core
from mallowbeam.storage_gateway.write_buffer.entries import Entry
from mallowbeam.storage_gateway.write_buffer.errors import LogIOError
from mallowbeam.storage_gateway.write_buffer.records import RelocatedWrite, Write, unpack
from mallowbeam.storage_gateway.write_buffer.store import Store

CACHED_WRITE_BYTES = 1024  # memory of a cached write besides its body


class WriteReader:
    """Reads writes by their entry; keeps at most `cache_bytes` of them in memory."""

    def __init__(self, core: Core, cache_bytes: int) -> None:
        self.cached_bytes = 0
        self.store: Store  # set once the folder is open
        self.cache: OrderedDict[int, tuple[Write, bytes]] = OrderedDict()
        self._core = core
        self._cache_bytes = cache_bytes

    def newest(self, bucket: str, name: bytes) -> Entry | None:
        """The newest durable write of a name that is still buffered."""
        return self._core.newest_of(bucket, name)

    async def read(self, entry: Entry) -> tuple[Write, bytes]:
        """Read a write, and its body unless that is in chunks; raises `LogIOError` or ValueError."""
        cached = self.cache.get(entry.lsn)
        if cached is not None:
            return cached
        record = await self.store.read(entry.position)
        content, body = unpack(record.kind, record.payload)
        write = content.write if isinstance(content, RelocatedWrite) else content
        if not isinstance(write, Write):
            raise LogIOError("the record is not a write")
        return write, bytes(body)

    async def body(self, write: Write, inline: bytes, start: int, end: int) -> AsyncIterator[bytes]:
        """Yield a body's bytes from `start` to `end`, in chunks; raises `LogIOError`.

        `inline` is the body if it is not in chunks, as returned by `read`.
        """
        if not write.chunks:
            yield inline[start:end]
            return
        offset = 0
        for segment, position, size in write.chunks:
            if offset < end and offset + size > start:
                record = await self.store.read((segment, position))
                yield bytes(record.payload[max(0, start - offset) : end - offset])
            offset += size

    def remember(self, lsn: int, write: Write, body: bytes) -> None:
        """Cache a write; evicts the oldest ones beyond `cache_bytes`."""
        self.cache[lsn] = write, body
        self.cached_bytes += len(body) + CACHED_WRITE_BYTES
        while self.cached_bytes > self._cache_bytes:
            _, (_, oldest_body) = self.cache.popitem(last=False)
            self.cached_bytes -= len(oldest_body) + CACHED_WRITE_BYTES

    def forget(self, lsn: int) -> None:
        """Remove a write from the cache: it is no longer pending, or was relocated."""
        cached = self.cache.pop(lsn, None)
        if cached is not None:
            _, body = cached
            self.cached_bytes -= len(body) + CACHED_WRITE_BYTES
