"""The end of a client's connection: what a close may still owe, and how a client that has left is seen.

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
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass


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
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        pass


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
    ahead: ReadAhead
    task: asyncio.Task[None]
    busy: asyncio.Task[None] | None  # what answers, while a request is held
    taking: Message | None  # a request whose body passes through
    writing: bool  # an answer is going out
    room: asyncio.Event

    stage = Stage.OPEN
    leaving = False  # told to leave: nothing more can be hurried
    shut_at = 0.0  # when our side ended
    cut: asyncio.TimerHandle | None = None  # until when the client may end its own

    @property
    def closing(self) -> bool:
        """Whether it is about to end, or has ended."""
        return self.stage is not Stage.OPEN

    def leave(self) -> None:
        """Begin the orderly end, without waiting; again and again is as good as once.

        What is being answered, and what has come in whole, is answered first; part of a request was never
        taken, and its client sends it again elsewhere.  Where our side has ended already, the time that its
        client has to end its own is cut short.
        """
        if self.stage is Stage.LINGERING:
            self._end_by(self.shut_at + LINGER_LEAST)
        elif self.stage is not Stage.CLOSED:
            if self.busy is not None or self.writing or not self._rests():
                self.stage = Stage.LAST
            else:
                self._hang_up(LINGER_LEAST)
        self.leaving = True

    def _rests(self) -> bool:
        """Whether nothing lies unread: asked in the very step in which our side ends by our own choice.

        Guards a request that is taken but not read: a close over it would lose it.
        """
        return self.channel.peek() is None

    def _hang_up(self, linger: float | None = None) -> None:
        """End our side; the client has `linger` seconds to read and to end its own before the close."""
        self.stage, self.shut_at = Stage.LINGERING, time.monotonic()
        self.channel.framer.ready.clear()  # behind the last answer nothing is taken
        self.ahead.drop()
        shut(self.channel.sock)
        self._end_by(self.shut_at + (LINGER if linger is None else linger))
        self.leaving = False  # that may be cut short
        self.room.set()

    def _end_by(self, when: float) -> None:
        """Close it by then; an earlier time stands."""
        loop = self.channel.loop
        at = loop.time() + when - time.monotonic()
        if self.cut is None or at < self.cut.when():
            if self.cut is not None:
                self.cut.cancel()
            self.cut = loop.call_at(at, self.task.cancel)

    def _break_off(self, request: Message) -> None:
        """End after an answer that is not whole: in order where its framing shows that, else by a reset."""
        if request.until_close:
            reset_at_close(self.channel.sock)
            self.task.cancel()
        else:
            self._hang_up()

    async def _read_out(self) -> None:
        """Read on and drop it up to the client's end, so that the last answer is not lost with it."""
        most: int = max(LINGER_BYTES, getattr(self.server.front, "unread_body", 0))
        if self.taking is not None:  # refused before its end
            most = max(most, self.taking.length or self.channel.framer.max_body)
        while most > 0:
            if (count := await self.channel.read()) == 0:
                return
            most -= count or 0
        await asyncio.sleep(LINGER_LEAST)  # a flood: it has this long to read our answer
