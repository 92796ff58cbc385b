"""A link between two processes: a proxy that forwards bytes, delays them, or drops the link.

A severed link gives no error: open connections stay open and silent, new ones are accepted and silent, as
in a network partition.  Healed, it closes the connections of that time, as a host without their state would.
"""

from __future__ import annotations

import asyncio
import contextlib

CHUNK = 65536


class Link:
    """A proxy on a port of its own before `target` (a port on loopback)."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.cut = False
        self.delay = 0.0  # seconds by which each chunk is late
        self.server: asyncio.Server | None = None
        self.flows: set[asyncio.Task[None]] = set()
        self.connected = asyncio.Event()
        self.connected.set()

    async def start(self) -> None:
        """Listen on a port from the kernel."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def sever(self) -> None:
        """Sever the link."""
        self.cut = True
        self.connected.clear()

    def heal(self) -> None:
        """Restore the link; closes the connections that were open or opened meanwhile."""
        if self.cut:
            self.cut = False
            self.connected.set()
            for flow in self.flows:
                flow.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.flows.add(task)
        far: asyncio.StreamWriter | None = None
        try:
            await self.connected.wait()
            back, far = await asyncio.open_connection("127.0.0.1", self.target)
            ways = [asyncio.create_task(self._pass(*way)) for way in ((reader, far), (back, writer))]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.flows.discard(task)
            for end in (writer, far):
                if end is not None:
                    end.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.connected.wait()
                writer.write(data)
                await writer.drain()
        if self.delay:  # the end of a stream is delayed too, and does not pass a severed link
            await asyncio.sleep(self.delay)
        await self.connected.wait()

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for flow in list(self.flows):
            flow.cancel()
        await asyncio.gather(*self.flows, return_exceptions=True)
