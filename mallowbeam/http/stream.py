"""A streamed body, passed on in chunks with back-pressure from its consumer to its producer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

HELD_CHUNKS = 2  # chunks queued for a slow consumer: limits the memory of many bodies at once
MOST = 40 * 1024 * 1024  # largest body, in bytes, streamed by the platform front


class Writer(Protocol):
    """Destination of a body, such as a `Channel`."""

    async def send(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of the data; raises `OSError`."""


class Stream:
    """Bounded queue of chunks between the producer and the consumer of one body."""

    def __init__(
        self, closed: Callable[[], object] | None = None, wanted: Callable[[], object] | None = None
    ) -> None:
        self._pieces: asyncio.Queue[bytearray | None] = asyncio.Queue(HELD_CHUNKS)
        self._closed, self._wanted = closed, wanted  # called once: at `close`; before the first `get`
        self.aborted = self.closed = False

    @property
    def full(self) -> bool:
        """Whether the next `put` would wait."""
        return not self.closed and self._pieces.full()

    async def put(self, piece: bytearray | None) -> None:
        """Queue a chunk, or None at the end; waits while the queue is full."""
        if not self.closed:
            await self._pieces.put(piece)

    def abort(self) -> None:
        """Mark the body as truncated and wake the consumer."""
        self.aborted = True
        if self._pieces.full():
            self._pieces.get_nowait()
        self._pieces.put_nowait(None)

    async def get(self) -> bytearray | None:
        """Return the next chunk; None at the end, and if the body was truncated (`aborted`)."""
        wanted = self._wanted
        if wanted is not None:
            self._wanted = None
            wanted()
        piece = await self._pieces.get()
        return None if self.aborted else piece

    def close(self) -> None:
        """Stop consuming: queued chunks are dropped, and a waiting `put` returns."""
        if not self.closed:
            self.closed = True
            while not self._pieces.empty():
                self._pieces.get_nowait()
            if self._closed is not None:
                self._closed()


async def copy(stream: Stream, channel: Writer, skip: int, size: int | None, chunked: bool) -> bool:
    """Write `size` bytes of a stream from offset `skip`, or all to its end; False if it was truncated."""
    left = size
    while left is None or left > 0:
        piece = await stream.get()
        if piece is None:
            if stream.aborted or left is not None:
                return False
            if chunked:
                await channel.send(b"0\r\n\r\n")
            return True
        skipped = min(skip, len(piece))
        skip -= skipped
        data = memoryview(piece)[skipped:] if left is None else memoryview(piece)[skipped : skipped + left]
        if not data:
            continue
        if chunked:
            await channel.send(b"".join((b"%x\r\n" % len(data), data, b"\r\n")))
        else:
            left = None if left is None else left - len(data)
            await channel.send(data)
    return True
