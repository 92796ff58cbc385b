"""The gateway's connection to the member it follows; carries out the decisions of `FeedSubscriber`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from contextlib import suppress

from google.protobuf.message import DecodeError

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.feed.limits import CONNECT_TIMEOUT_S
from mallowbeam.router.feed.subscriber import Close, Connect, FeedEvents, FeedSubscriber
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.connection import FrameConnection, connect
from mallowbeam.router.rpc.messages_pb2 import FeedFrame, GatewayFrame, LinkFrame

MIN_WAIT_S = 0.01  # minimum delay between two queries of the subscriber
POLL_PERIOD_S = 0.25  # while a feed is open, minimum delay between two checks for silence

log = get_logger("mallowbeam.feed")


class FeedLink:
    """Follows one member at a time; calls `on_changes` with the changes of each frame."""

    def __init__(
        self,
        subscriber: FeedSubscriber[Configuration],
        on_changes: Callable[[FeedEvents[Configuration], float], None],
    ) -> None:
        self._subscriber = subscriber
        self._on_changes = on_changes
        self._connection: FrameConnection | None = None
        self._address = ""
        self._wake = asyncio.Event()  # the connection in use has ended, or the seeds have changed

    async def run(self) -> None:
        """Follow members until cancelled."""
        try:
            while True:
                await self._step()
        finally:
            self._close()

    def send(self, frame: GatewayFrame) -> bool:
        """Send a frame to the member that is followed; False if there is none."""
        connection = self._connection
        return connection is not None and connection.send(LinkFrame(gateway=frame))

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the addresses from the settings, HOST:PORT; without a feed they are tried at once."""
        self._subscriber.replace_seeds(seeds)
        self._wake.set()

    async def _step(self) -> None:
        now = time.monotonic()
        action = self._subscriber.next_action(now)
        if isinstance(action, Connect):
            await self._connect(action.address)
        elif isinstance(action, Close):
            log.info("feed closed: %s", action.address)
            self._close()
        else:
            await self._wait(max(MIN_WAIT_S, action.until - now))

    async def _wait(self, seconds: float) -> None:
        """Wait for a number of seconds, until the connection ends or until the seeds change."""
        if self._connection is not None:
            seconds = max(seconds, POLL_PERIOD_S)
        self._wake.clear()
        if not self._has_ended():
            with suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._wake.wait()
        if self._has_ended():
            self._handle_disconnect()

    def _has_ended(self) -> bool:
        """Whether the connection in use is no longer open."""
        return self._connection is not None and not self._connection.open

    async def _connect(self, address: str) -> None:
        """Open a feed; report a failure to the subscriber."""
        self._close()
        try:
            connection = await connect(address, self._received, self._closed, CONNECT_TIMEOUT_S)
        except (OSError, ValueError):
            self._subscriber.failed(address, time.monotonic())
            return
        self._connection = connection
        self._address = address
        connection.send(LinkFrame(gateway=GatewayFrame(hello=self._subscriber.hello())))
        self._subscriber.connected(address, time.monotonic())
        log.info("feed opened: %s", address)

    def _received(self, connection: FrameConnection, data: bytes) -> None:
        if connection is not self._connection:
            return
        try:
            frame = FeedFrame.FromString(data)
        except DecodeError:
            connection.abort()
            return
        now = time.monotonic()
        self._on_changes(self._subscriber.received(frame, now), now)

    def _closed(self, connection: FrameConnection) -> None:
        if connection is self._connection:
            self._wake.set()

    def _handle_disconnect(self) -> None:
        """Report that the member ended the connection."""
        address = self._address
        self._close()
        log.info("feed lost: %s", address)
        self._subscriber.failed(address, time.monotonic())

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
