"""Listening socket of a stand-in, in its own thread and event loop."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable

from mallowbeam.standins.connection import Connection
from mallowbeam.standins.faults import Script
from mallowbeam.standins.store import Answer


class Server:
    """Base class of stand-ins that listen on loopback; `delay` of each answer in seconds."""

    def __init__(
        self, address: tuple[str, int] = ("127.0.0.1", 0), script: Script | None = None, delay: float = 0.0
    ) -> None:
        self.script = script or Script()
        self.delay = delay
        self.paused_until = 0.0  # monotonic time in seconds before which nothing is answered
        self.draining = False
        self.connections: set[Connection] = set()
        self.loop = asyncio.new_event_loop()
        self._server: asyncio.Server | None = None
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.address = address
        self.listen()

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Return the answer to a request; implemented by each stand-in."""
        raise NotImplementedError

    def listen(self) -> None:
        """Start listening; after `die`, on the same address as before."""

        async def start() -> None:
            self._server = await self.loop.create_server(lambda: Connection(self), *self.address)
            self.address = self._server.sockets[0].getsockname()[:2]

        asyncio.run_coroutine_threadsafe(start(), self.loop).result(10)

    def call(self, function: Callable[[], object]) -> None:
        """Run a function in the stand-in's thread."""
        self.loop.call_soon_threadsafe(function)

    def stand_still(self, seconds: float) -> None:
        """Answer nothing for a number of seconds, as a paused machine does."""
        self.paused_until = time.monotonic() + seconds

    def die(self) -> None:
        """Stop listening and reset open connections; must run in the stand-in's thread."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def close(self) -> None:
        """Stop the stand-in and its thread."""

        async def end() -> None:
            self.die()
            await asyncio.sleep(0)

        asyncio.run_coroutine_threadsafe(end(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)
        self.loop.close()

    @property
    def host_port(self) -> str:
        """The address on which it listens, as ``host:port``."""
        return f"{self.address[0]}:{self.address[1]}"
