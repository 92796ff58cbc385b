"""A body on its way through, in pieces: whoever hands it in waits while its taker is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

HELD_CHUNKS = 2  # pieces that wait for a slow taker: many bodies at once stay within memory
MOST = 40 * 1024 * 1024  # bytes of a body that passes through the platform's front, at most


class Writer(Protocol):
    """What a body is written to: a `Channel`."""

    async def send(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of the data; raises `OSError`."""


class Stream:
    """Between one who reads a body and one who passes it on; a few pieces wait here."""

    def __init__(
        self, closed: Callable[[], object] | None = None, wanted: Callable[[], object] | None = None
    ) -> None:
        self._pieces: asyncio.Queue[bytearray | None] = asyncio.Queue(HELD_CHUNKS)
        self._closed, self._wanted = closed, wanted  # told once: no more is wanted; the first piece is
        self.aborted = self.closed = False

    @property
    def full(self) -> bool:
        """Whether the next piece would wait."""
        return not self.closed and self._pieces.full()

    async def put(self, piece: bytearray | None) -> None:
        """Hand in a piece, or None at the end; waits while the taker is slow."""
        if not self.closed:
            await self._pieces.put(piece)

    def abort(self) -> None:
        """The body is over before its end."""
        self.aborted = True
        if self._pieces.full():
            self._pieces.get_nowait()
        self._pieces.put_nowait(None)

    async def get(self) -> bytearray | None:
        """The next piece; None at the end and where it broke."""
        wanted = self._wanted
        if wanted is not None:
            self._wanted = None
            wanted()
        piece = await self._pieces.get()
        return None if self.aborted else piece

    def close(self) -> None:
        """No more is wanted; who waits to hand in a piece goes on."""
        if not self.closed:
            self.closed = True
            while not self._pieces.empty():
                self._pieces.get_nowait()
            if self._closed is not None:
                self._closed()


async def copy(stream: Stream, channel: Writer, skip: int, size: int | None, chunked: bool) -> bool:
    """Write a stream's bytes from `skip` on: `size` of them, or all to its end; False if it broke off."""
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
