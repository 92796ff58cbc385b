"""A TCP connection that carries frames, with bounds on silence and on what waits to be written."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from google.protobuf.message import Message

from mallowbeam.router.rpc.framing import FrameError, FrameReader, encode_frame

USER_TIMEOUT_MS = 1500  # unacknowledged bytes on a silent network end the connection after this time
KEEPALIVE_IDLE_S = 1  # seconds of rest before the kernel probes
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2
MOST_UNSENT = 8 * 1024 * 1024  # bytes that may wait for a slow peer before the connection is given up


class FrameConnection(asyncio.Protocol):
    """One connection. `received` is called with each frame's body, `closed` once at the end."""

    def __init__(
        self, received: Callable[[FrameConnection, bytes], None], closed: Callable[[FrameConnection], None]
    ) -> None:
        self._received, self._closed = received, closed
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.peer = ""
        self.last_received = 0.0  # loop time, in seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up so that a silent cut is noticed."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure(sock)
        address = transport.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if address else ""
        self.last_received = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Cut what came into frames; what is no frame ends the connection.

        Guards the owner against late frames: those that came together with the one for which it ended the
        connection, and any behind them, are handed on to nobody.
        """
        if not self.open:
            return
        self.last_received = asyncio.get_running_loop().time()
        try:
            frames = self._reader.feed(data)
        except FrameError:
            self.abort()
            return
        for frame in frames:
            if not self.open:
                return
            self._received(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner, once."""
        self._transport = None
        self._closed(self)

    @property
    def open(self) -> bool:
        """Whether frames can still be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message: Message) -> bool:
        """Queue a message; False where the connection is over or its peer reads too slowly."""
        return self.send_encoded(encode_frame(message))

    def send_encoded(self, frame: bytes) -> bool:
        """Queue a frame that `encode_frame` made, perhaps for many connections; as `send` otherwise."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MOST_UNSENT:
            self.abort()
            return False
        self._transport.write(frame)
        return True

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def abort(self) -> None:
        """End the connection at once; what waits to be written is dropped."""
        if self._transport is not None:
            self._transport.abort()


def configure(sock: socket.socket) -> None:
    """No delay for small frames, and prompt notice of a peer that is cut off."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def connect(
    address: str,
    received: Callable[[FrameConnection, bytes], None],
    closed: Callable[[FrameConnection], None],
    timeout: float,
) -> FrameConnection:
    """Open a connection to IP:PORT within `timeout` seconds; raises OSError (TimeoutError among them)."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, connection = await loop.create_connection(
            lambda: FrameConnection(received, closed), host, int(port)
        )
    return connection


async def listen(
    ip: str,
    port: int,
    received: Callable[[FrameConnection, bytes], None],
    opened: Callable[[FrameConnection], None],
    closed: Callable[[FrameConnection], None],
) -> asyncio.Server:
    """Accept connections at an address; `opened` is called with each."""

    def make() -> FrameConnection:
        connection = FrameConnection(received, closed)
        opened(connection)
        return connection

    return await asyncio.get_running_loop().create_server(make, ip, port, backlog=512, reuse_address=True)
