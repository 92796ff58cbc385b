"""A link between two processes: a proxy that passes bytes on, late, or not at all.

A link that is cut gives no sign: what is open stays open and silent, what is new comes up and stays silent,
as where a machine is cut off.  Healed, it ends what stood meanwhile, as a host that has forgotten it would.
"""

from __future__ import annotations

import asyncio
import contextlib

CHUNK = 65536


class Link:
    """A proxy on a port of its own before `target` (a port on loopback)."""

    def __init__(self, target: int) -> None:
        self.target, self.port = target, 0
        self.cut, self.delay = False, 0.0  # seconds by which each piece is late
        self.server: asyncio.Server | None = None
        self.flows: set[asyncio.Task[None]] = set()
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self) -> None:
        """Listen on a port from the kernel."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def sever(self) -> None:
        """Cut it."""
        self.cut = True
        self.whole.clear()

    def heal(self) -> None:
        """Whole again; the connections that stood through the cut end."""
        if self.cut:
            self.cut = False
            self.whole.set()
            for flow in self.flows:
                flow.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.flows.add(task)
        far: asyncio.StreamWriter | None = None
        try:
            await self.whole.wait()
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
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
        if self.delay:  # an end is told as late as all else, and not through a cut
            await asyncio.sleep(self.delay)
        await self.whole.wait()

    async def close(self) -> None:
        """End it and all that goes through it."""
        if self.server is not None:
            self.server.close()
        for flow in list(self.flows):
            flow.cancel()
        await asyncio.gather(*self.flows, return_exceptions=True)
