"""A streamed body, passed on in chunks with back-pressure from its consumer to its producer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

MAX_QUEUED_CHUNKS = 2  # chunks queued for a slow consumer: limits the memory of many bodies at once
MAX_STREAMED_BYTES = 40 * 1024 * 1024  # largest body streamed by the platform front


class Writer(Protocol):
    """Destination of a body, such as a `Channel`."""

    async def send(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of the data; raises `OSError`."""


class Stream:
    """Bounded queue of chunks between the producer and the consumer of one body."""

    def __init__(
        self, closed: Callable[[], object] | None = None, on_first_get: Callable[[], object] | None = None
    ) -> None:
        self._chunks: asyncio.Queue[bytearray | None] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self._on_close, self._on_first_get = closed, on_first_get  # each is called once
        self.aborted = self.closed = False

    @property
    def full(self) -> bool:
        """Whether the next `put` would wait."""
        return not self.closed and self._chunks.full()

    async def put(self, chunk: bytearray | None) -> None:
        """Queue a chunk, or None at the end; waits while the queue is full."""
        if not self.closed:
            await self._chunks.put(chunk)

    def abort(self) -> None:
        """Mark the body as truncated and wake the consumer."""
        self.aborted = True
        if self._chunks.full():
            self._chunks.get_nowait()
        self._chunks.put_nowait(None)

    async def get(self) -> bytearray | None:
        """Return the next chunk; None at the end, and if the body was truncated (`aborted`)."""
        on_first_get = self._on_first_get
        if on_first_get is not None:
            self._on_first_get = None
            on_first_get()
        chunk = await self._chunks.get()
        return None if self.aborted else chunk

    def close(self) -> None:
        """Stop consuming: queued chunks are dropped, and a waiting `put` returns."""
        if not self.closed:
            self.closed = True
            while not self._chunks.empty():
                self._chunks.get_nowait()
            if self._on_close is not None:
                self._on_close()


async def copy(stream: Stream, channel: Writer, skip: int, size: int | None, chunked: bool) -> bool:
    """Write `size` bytes of a stream from offset `skip`, or all to its end; False if it was truncated."""
    left = size
    while left is None or left > 0:
        chunk = await stream.get()
        if chunk is None:
            if stream.aborted or left is not None:
                return False
            if chunked:
                await channel.send(b"0\r\n\r\n")
            return True
        skipped = min(skip, len(chunk))
        skip -= skipped
        data = memoryview(chunk)[skipped:] if left is None else memoryview(chunk)[skipped : skipped + left]
        if not data:
            continue
        if chunked:
            await channel.send(b"".join((b"%x\r\n" % len(data), data, b"\r\n")))
        else:
            left = None if left is None else left - len(data)
            await channel.send(data)
    return True
