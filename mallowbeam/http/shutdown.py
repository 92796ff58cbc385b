"""Connection shutdown: the lingering close of RFC 9112 section 9.6, and how a departed client is noticed.

A socket that is closed over bytes which nobody read resets its connection, and the reset may take an answer
away that was on its way.  So there is one order: our side ends (`shutdown`), what still comes up to the
client's end is read and dropped, within a bound of bytes and of time, and then the socket is closed.  What is
read after the shutdown is never sent on: its client sees our end, and sends again elsewhere.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
from contextlib import suppress
from enum import Enum
from typing import Protocol

from mallowbeam.http.framing import Channel, Message
from mallowbeam.http.handler import RequestHandler
from mallowbeam.http.read_ahead import ReadAhead

LINGER = 1.0  # seconds given to a client to read the last answer before the close
LINGER_LEAST = 0.05  # and where it was told to leave, or sends without end
LINGER_BYTES = 256 * 1024  # and what is read of it meanwhile, at most
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Stage(Enum):
    """How far a client's connection is; it only goes forward."""

    OPEN = "open"  # requests are read and answered
    LAST = "last"  # to be ended once what has come is answered
    LINGERING = "lingering"  # our side has ended: what still comes is read and dropped
    CLOSED = "closed"


def shut(sock: socket.socket) -> None:
    """End our side; where the other has reset the connection, its reader is told."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def gone(sock: socket.socket) -> bool:
    """Whether the client has ended or reset its connection, also behind bytes that are not read yet."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # a reset is told unasked
    return bool(poll.poll(0))


def drop(sock: socket.socket, buffer: memoryview, most: int) -> None:
    """Read what lies there and drop it, without waiting; `most` in bytes."""
    try:
        while most > 0 and (count := sock.recv_into(buffer)):
            most -= count
    except OSError:  # nothing more, or a reset: nothing is owed
        pass


def reset_at_close(sock: socket.socket) -> None:
    """Let the close be a reset.

    Guards a client against a part that looks whole, where the end of the connection marks that of the body.
    """
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


class Connections(Protocol):
    """The open connections of a server, as one of them sees these."""

    def discard(self, connection: ConnectionShutdown, /) -> None:
        """Take out a connection that is closed."""


class Owner(Protocol):
    """What a connection belongs to."""

    @property
    def front(self) -> RequestHandler:
        """What answers its requests."""

    @property
    def closing(self) -> bool:
        """Whether every answer closes its connection."""

    @property
    def connections(self) -> Connections:
        """Those that are open; one takes itself out at its end."""


class ConnectionShutdown:
    """How a client's connection ends.  A part of `Connection`, which makes what is named here."""

    server: Owner
    channel: Channel
    read_ahead: ReadAhead
    task: asyncio.Task[None]
    response_task: asyncio.Task[None] | None  # what answers, while a request is held
    streamed_request: Message | None  # a request whose body passes through
    writing: bool  # an answer is going out
    reading_may_resume: asyncio.Event

    state = Stage.OPEN
    closing_soon = False  # told to leave: nothing more can be hurried
    half_closed_at = 0.0  # when our side ended
    close_timer: asyncio.TimerHandle | None = None  # until when the client may end its own

    @property
    def closing(self) -> bool:
        """Whether it is about to end, or has ended."""
        return self.state is not Stage.OPEN

    def close_soon(self) -> None:
        """Begin the orderly end, without waiting; again and again is as good as once.

        What is being answered, and what has come in whole, is answered first; part of a request was never
        taken, and its client sends it again elsewhere.  Where our side has ended already, the time that its
        client has to end its own is cut short.
        """
        if self.state is Stage.LINGERING:
            self._close_by(self.half_closed_at + LINGER_LEAST)
        elif self.state is not Stage.CLOSED:
            if self.response_task is not None or self.writing or not self._nothing_unread():
                self.state = Stage.LAST
            else:
                self._half_close(LINGER_LEAST)
        self.closing_soon = True

    def _nothing_unread(self) -> bool:
        """Whether nothing lies unread: asked in the very step in which our side ends by our own choice.

        Guards a request that is taken but not read: a close over it would lose it.
        """
        return self.channel.peek() is None

    def _half_close(self, linger: float | None = None) -> None:
        """End our side; the client has `linger` seconds to read and to end its own before the close."""
        self.state, self.half_closed_at = Stage.LINGERING, time.monotonic()
        self.channel.framer.ready.clear()  # behind the last answer nothing is taken
        self.read_ahead.clear()
        shut(self.channel.sock)
        self._close_by(self.half_closed_at + (LINGER if linger is None else linger))
        self.closing_soon = False  # that may be cut short
        self.reading_may_resume.set()

    def _close_by(self, when: float) -> None:
        """Close it by then; an earlier time stands."""
        loop = self.channel.loop
        at = loop.time() + when - time.monotonic()
        if self.close_timer is None or at < self.close_timer.when():
            if self.close_timer is not None:
                self.close_timer.cancel()
            self.close_timer = loop.call_at(at, self.task.cancel)

    def _end_truncated(self, request: Message) -> None:
        """End after an answer that is not whole: in order where its framing shows that, else by a reset."""
        if request.until_close:
            reset_at_close(self.channel.sock)
            self.task.cancel()
        else:
            self._half_close()

    async def _discard_input(self) -> None:
        """Read on and drop it up to the client's end, so that the last answer is not lost with it."""
        most: int = max(LINGER_BYTES, getattr(self.server.front, "unread_body", 0))
        if self.streamed_request is not None:  # refused before its end
            most = max(most, self.streamed_request.length or self.channel.framer.max_body)
        while most > 0:
            if (count := await self.channel.read()) == 0:
                return
            most -= count or 0
        await asyncio.sleep(LINGER_LEAST)  # a flood: it has this long to read our answer
