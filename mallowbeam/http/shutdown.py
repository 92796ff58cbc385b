"""Connection shutdown: the lingering close of RFC 9112 section 9.6, and how a departed client is noticed.

Closing a socket that holds unread bytes resets its connection, and the reset can destroy a response in
transit.  Therefore the server shuts down its sending side first, then reads and discards input until the
client ends too, within limits of bytes and time, and then closes the socket.  Requests read after the
shutdown are never forwarded: the client sees the end of the connection and sends them again elsewhere.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
import time
from array import array
from collections.abc import Awaitable, Sequence
from contextlib import suppress
from enum import Enum
from typing import Protocol

from mallowbeam.http.framing import Channel, Message
from mallowbeam.http.handler import RequestHandler
from mallowbeam.http.read_ahead import ReadAhead

LINGER_S = 1.0  # time for a client to read the last response before the close
MIN_LINGER_S = 0.05  # the same when the connection is to close soon, or the client keeps sending
MAX_DISCARDED_BYTES = 256 * 1024  # read and discarded meanwhile
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER that makes close() send a reset: on, 0 seconds


class Stage(Enum):
    """Stage of a client's connection; stages only advance."""

    OPEN = "open"  # requests are read and answered
    DRAINING = "last"  # closes once the received requests are answered
    LINGERING = "lingering"  # this side has ended: further input is read and discarded
    CLOSED = "closed"


def shutdown_write(sock: socket.socket) -> None:
    """Shut down the sending side; a reset by the peer is left to the reader to report."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the client has ended or reset its connection, even if unread bytes precede the end."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # resets are always reported
    return bool(poll.poll(0))


def discard_unread(sock: socket.socket, buffer: memoryview, max_bytes: int) -> None:
    """Read and discard pending input without waiting, up to about `max_bytes` bytes."""
    try:
        while max_bytes > 0 and (count := sock.recv_into(buffer)):
            max_bytes -= count
    except OSError:  # nothing left to read, or a reset
        pass


def all_acknowledged(sock: socket.socket) -> bool:
    """Whether the peer's kernel has acknowledged everything that was sent; False if that can't be told."""
    unacknowledged = array("i", [1])
    with suppress(OSError):
        fcntl.ioctl(sock, termios.TIOCOUTQ, unacknowledged)
    return not unacknowledged[0]


def reset_at_close(sock: socket.socket) -> None:
    """Make the later close send a reset.

    Where the end of the connection marks the end of the body, a client would otherwise take a truncated body
    for a complete one.
    """
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


class Connections(Protocol):
    """A server's set of open connections, as far as a connection uses it."""

    def discard(self, connection: ConnectionShutdown, /) -> None:
        """Remove a closed connection."""


class ConnectionOwner(Protocol):
    """The server that a connection belongs to, as far as the connection uses it."""

    @property
    def front(self) -> RequestHandler:
        """The application that answers its requests."""

    @property
    def closing(self) -> bool:
        """Whether every response closes its connection."""

    @property
    def connections(self) -> Connections:
        """The open connections; each removes itself when it closes."""

    def dropped(self, requests: Sequence[Message]) -> None:
        """Record requests that were read completely and get no response."""


class ConnectionShutdown:
    """Closing of a client's connection; the base of `Connection`, which sets the attributes declared here."""

    server: ConnectionOwner
    channel: Channel
    read_ahead: ReadAhead
    task: asyncio.Task[None]
    response_task: asyncio.Task[None] | None  # set while a request is being answered
    streamed_request: Message | None  # the request whose body is being streamed
    writing: bool  # a response is being written
    reading_may_resume: asyncio.Event

    state = Stage.OPEN
    closing_soon = False  # `close_soon` was called: the close can't be hastened further
    half_closed_at = 0.0  # when this side ended
    close_timer: asyncio.TimerHandle | None = None  # limits the client's time to end its own side

    @property
    def closing(self) -> bool:
        """Whether the connection is closing or closed."""
        return self.state is not Stage.OPEN

    @property
    def input_is_deferred(self) -> bool:
        """Whether input that has arrived is left in the socket."""
        raise NotImplementedError

    async def _wait_unread(self, wait: Awaitable[object]) -> None:
        """Wait with reading paused until the client leaves."""
        raise NotImplementedError

    def close_soon(self) -> None:
        """Begin the orderly close, without waiting; idempotent.

        Complete requests are answered first; a partial request does not count as received, and its client
        sends it again elsewhere.  If this side has ended already, the client's time to end its own is cut
        short.
        """
        if self.state is Stage.LINGERING:
            self._close_by(self.half_closed_at + MIN_LINGER_S)
        elif self.state is not Stage.CLOSED:
            if self.response_task is not None or self.writing or not self._nothing_unread():
                self.state = Stage.DRAINING
            else:
                self._half_close(MIN_LINGER_S)
        self.closing_soon = True

    def _nothing_unread(self) -> bool:
        """Whether the socket holds no unread bytes.

        Checked in the loop step in which this side ends by its own choice: a request that has arrived but is
        not read would otherwise be lost.
        """
        return self.channel.peek() is None

    def _half_close(self, linger: float | None = None) -> None:
        """End this side; the client has `linger` seconds to read and to end its own before the close."""
        self.state, self.half_closed_at = Stage.LINGERING, time.monotonic()
        if self.channel.framer.ready:
            self.server.dropped(self.channel.framer.ready)
        self.channel.framer.ready.clear()  # no request is accepted after the last response
        self.read_ahead.clear()
        shutdown_write(self.channel.sock)
        self._close_by(self.half_closed_at + (LINGER_S if linger is None else linger))
        self.closing_soon = False  # `close_soon` can still cut the lingering short
        self.reading_may_resume.set()

    def _close_by(self, when: float) -> None:
        """Close the socket at monotonic time `when` at the latest; an earlier deadline stays."""
        loop = self.channel.loop
        at = loop.time() + when - time.monotonic()
        if self.close_timer is None or at < self.close_timer.when():
            if self.close_timer is not None:
                self.close_timer.cancel()
            self.close_timer = loop.call_at(at, self.task.cancel)

    def _end_truncated(self, request: Message) -> None:
        """Close after a truncated response: orderly if its framing shows the truncation, else by a reset."""
        if request.until_close:
            reset_at_close(self.channel.sock)
            self.task.cancel()
        else:
            self._half_close()

    async def _discard_input(self) -> None:
        """Read and discard input until the client ends, so that no reset destroys the last response.

        Input that was left unread on purpose stays unread: the client has the same time to read the response.
        """
        if self.input_is_deferred:
            await self._wait_unread(asyncio.sleep(LINGER_S))
            return
        remaining: int = max(MAX_DISCARDED_BYTES, getattr(self.server.front, "unread_body", 0))
        if self.streamed_request is not None:  # rejected before its end
            remaining = max(remaining, self.streamed_request.length or self.channel.framer.max_body)
        while remaining > 0:
            if (count := await self.channel.read()) == 0:
                return
            remaining -= count or 0
        await asyncio.sleep(MIN_LINGER_S)  # the client keeps sending: it has this long to read the response
