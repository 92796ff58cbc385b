"""A TCP connection that carries frames, with limits on silence and on unsent bytes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from google.protobuf.message import Message

from mallowbeam.router.rpc.framing import FrameError, FrameReader, encode_frame

USER_TIMEOUT_MS = 1500  # the kernel closes a connection whose bytes stay unacknowledged for this long
KEEPALIVE_IDLE_S = 1  # idle time before the kernel's first keep-alive probe
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # queued for a slow peer; more ends the connection
LISTEN_BACKLOG = 512


class FrameConnection(asyncio.Protocol):
    """One connection: calls `on_frame` with the body of each frame and `on_closed` once at the end."""

    def __init__(
        self, on_frame: Callable[[FrameConnection, bytes], None], on_closed: Callable[[FrameConnection], None]
    ) -> None:
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.peer = ""  # IP:PORT
        self.last_received = 0.0  # in seconds of the event loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket so that a network partition is noticed."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is not derived from it
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_socket(sock)
        address = transport.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if address else ""
        self.last_received = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Split received bytes into frames; an invalid frame ends the connection.

        Once the owner has aborted the connection, no further frame is delivered, not even one that was
        received in the same read.
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
            self._on_frame(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the owner, once."""
        self._transport = None
        self._on_closed(self)

    @property
    def open(self) -> bool:
        """Whether frames can still be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message: Message) -> bool:
        """Queue a message; return False if the connection has ended or its peer reads too slowly."""
        return self.send_encoded(encode_frame(message))

    def send_encoded(self, frame: bytes) -> bool:
        """Queue a frame made by `encode_frame`, which many connections may share; returns as `send` does."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return False
        self._transport.write(frame)
        return True

    @property
    def unsent_bytes(self) -> int:
        """Queued bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def abort(self) -> None:
        """Close the connection immediately; queued bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()


def configure_socket(sock: socket.socket) -> None:
    """Set TCP options: small frames are sent at once, and an unreachable peer is noticed soon."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def connect(
    address: str,
    on_frame: Callable[[FrameConnection, bytes], None],
    on_closed: Callable[[FrameConnection], None],
    timeout_s: float,
) -> FrameConnection:
    """Connect to IP:PORT.

    Raises:
        TimeoutError: the connection was not established within `timeout_s` seconds.
        OSError: the connection failed.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: FrameConnection(on_frame, on_closed), host, int(port)
        )
    return connection


async def listen(
    ip: str,
    port: int,
    on_frame: Callable[[FrameConnection, bytes], None],
    on_opened: Callable[[FrameConnection], None],
    on_closed: Callable[[FrameConnection], None],
) -> asyncio.Server:
    """Accept connections at an address and call `on_opened` with each.

    Raises:
        OSError: the address can't be bound.
    """

    def accept() -> FrameConnection:
        connection = FrameConnection(on_frame, on_closed)
        on_opened(connection)
        return connection

    loop = asyncio.get_running_loop()
    return await loop.create_server(accept, ip, port, backlog=LISTEN_BACKLOG, reuse_address=True)
