"""The clients' side: a listening socket, how many connections it holds, and which of them make room.

Each connection is a task of its own (`http/connection.py`) that calls the front behind this server.  What the
kernel has taken for the listener lies in its accept queue and is owed an answer like any other: it is taken
from there and becomes a connection in one step, so that a cancel between the two loses none, and the listener
is closed in the step in which its queue was found empty.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from contextlib import suppress
from heapq import heapify, heappop
from typing import Protocol

from mallowbeam.http.connection import Connection
from mallowbeam.http.handler import RequestHandler
from mallowbeam.http.handler import Response as Response  # for the fleet's page, which has them from here
from mallowbeam.http.handler import text_response as text_response
from mallowbeam.http.reporting import RateLimitedWarning, logger
from mallowbeam.http.shutdown import LINGER

BACKLOG = 512
SPARE = 8  # one in so many connections is kept for refusing those beyond the others
AT_ONCE = 16  # connections accepted in one step of the loop, at most
NO_DESCRIPTORS = 0.05  # seconds without accepting after descriptors ran out
# What accept(2) says of the one connection that it was about to hand over, not of the listener.
GONE = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    )
)


class ServedConnection(Protocol):
    """A client's connection, as its server sees it."""

    task: asyncio.Task[None]  # ends with the connection

    @property
    def closing(self) -> bool:
        """Whether it is about to end, or has ended."""

    @property
    def closing_soon(self) -> bool:
        """Whether it was told to leave: nothing more can be hurried."""

    @property
    def answered(self) -> bool:
        """Whether a request on it has had its answer."""

    @property
    def response_task(self) -> asyncio.Task[None] | None:
        """What answers a request, while there is one."""

    @property
    def waiting_since(self) -> float:
        """When what it waits for began, by the monotonic clock."""

    @property
    def pending(self) -> int:
        """Requests here that have come in whole and are not over yet."""

    @property
    def can_be_closed(self) -> bool:
        """Whether it may be closed to make room."""

    def close_soon(self) -> None:
        """Begin the orderly end, without waiting."""

    def sweep(self, now: float) -> None:
        """End it where it has been idle or stalled for too long."""


class ConnectionFactory(Protocol):
    """Makes the connection of an accepted socket."""

    def __call__(self, server: Server, sock: socket.socket, over: bool, /) -> ServedConnection:
        """Begin to serve the socket; with `over` there is no room for it, and its request is refused."""


class Server:
    """One listening address and the front behind it."""

    acceptor: asyncio.Task[None]  # from `start` on

    def __init__(  # noqa: PLR0913 (all that a listener is; by name where called)
        self,
        address: tuple[str, int],
        front: RequestHandler,
        most: int,
        connection: ConnectionFactory = Connection,
        name: str = "",
        handed: socket.socket | None = None,
        shared: bool = True,
    ) -> None:
        self.front, self.closing, self.name = front, False, name
        self.configured_limit = self.connection_limit = (
            most  # connections that may be held at once: in all, and now
        )
        self.connection = connection
        self.sock = handed or bound(address, shared)
        self.address = self.sock.getsockname()
        self.connections: set[ServedConnection] = set()
        self.all_busy, self.cannot_accept = (
            RateLimitedWarning("all connections are busy"),
            RateLimitedWarning("cannot accept"),
        )

    @property
    def spare(self) -> int:
        """How many of the connections only refuse.

        Guards against requests lost in the backlog, where their clients count them as taken: the last few
        refuse, at once, so that there is always room for one more.
        """
        return max(1, self.connection_limit // SPARE)

    @property
    def pending(self) -> int:
        """Requests taken in whole that are not over yet."""
        return sum(connection.pending for connection in self.connections)

    def start(self) -> None:
        """Begin to listen."""
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.acceptor = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        while True:
            await self._knocked()
            await self._take_in()

    async def _knocked(self) -> None:
        """Wait until there is something in the accept queue; it stays there, so a cancel loses nothing."""
        loop, knocked = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(self.sock, knocked.set)
        try:
            await knocked.wait()
        finally:
            loop.remove_reader(self.sock)

    async def _take_in(self) -> bool:
        """Take in what lies in the accept queue, up to AT_ONCE of it; whether it was found empty at the end.

        Guards against an accepted socket without an owner: nothing is awaited before it is a connection.
        """
        for _ in range(AT_ONCE):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno not in GONE:
                    self.cannot_accept(error)
                    # Guards against descriptors running out: those held go on, new clients wait in the queue.
                    await asyncio.sleep(NO_DESCRIPTORS)
                continue
            try:
                over = not self._make_room()
                if over:
                    self.all_busy(f"{len(self.connections)} of {self.connection_limit}")
                self.connections.add(self.connection(self, sock, over))
            except OSError:  # its client has gone
                sock.close()
            except Exception as error:
                # Guards the listener: a fault with one connection must not leave all later ones unheard.
                sock.close()
                logger.error("a connection failed unforeseen", exc_info=error)
            while len(self.connections) > self.connection_limit:
                # Guards those that wait to be accepted: what has had its last answer goes first.
                self._let_go()
                ending = [c.task for c in self.connections if c.closing] or [c.task for c in self.connections]
                await asyncio.wait(ending, return_when=asyncio.FIRST_COMPLETED)
        return False

    def _make_room(self) -> bool:
        """Whether there is room for one more request, if need be that of a connection which may be closed."""
        room = self.connection_limit - self.spare
        if len(self.connections) < room:  # the usual case, without a look at any
            return True
        return sum(not c.closing for c in self.connections) < room or self._let_go(ending=False)

    def _let_go(self, ending: bool = True) -> bool:
        """Close one that may be closed: hung up first, then the longest idle; False if there is none.

        Guards first requests: a client whose connection closes after an answer only sends again, while one
        that has had nothing yet may be about to send, and that request would fail.  Where clients come in
        crowds this is most of the work: only those in question are put in order, as far as needed.
        """
        among = [
            (not closing, not c.answered, c.waiting_since, id(c), c)
            for c in self.connections
            if not c.closing_soon and (ending if (closing := c.closing) else c.response_task is None)
        ]
        heapify(among)
        while among:
            connection = heappop(among)[-1]
            if connection.can_be_closed:
                connection.close_soon()
                return True
        return False

    def sweep(self) -> None:
        """Look for connections that are idle or stalled for too long."""
        now = time.monotonic()
        for connection in list(self.connections):
            try:
                connection.sweep(now)
            except Exception as error:
                # Guards the others: a fault with one must not end the look at all of them.
                logger.error("a connection failed unforeseen", exc_info=error)
                connection.close_soon()

    def close_after_responses(self) -> None:
        """From now on every answer closes its connection."""
        self.closing = True

    async def stop_accepting(self, within: float | None = None) -> None:
        """Take no new connection.

        What lies in the accept queue is taken in first, for at most `within` seconds where there is no room
        for it at once; with None it stays there, for the next process that has this listener.
        """
        self.acceptor.cancel()
        await asyncio.gather(self.acceptor, return_exceptions=True)
        if self.sock.fileno() < 0:  # shut before
            return
        if within is not None:
            with suppress(TimeoutError):
                async with asyncio.timeout(within):  # strikes where there is no room, and nowhere else
                    while not await self._take_in():
                        pass
        self.sock.close()  # in the step in which the queue was found empty

    async def drain(self, within: float = LINGER) -> None:
        """Take no new connection, let go of idle ones, and wait for what is held.

        A request that has not come in whole was never taken; its client has a moment to finish it, at most
        `within` seconds.
        """
        self.close_after_responses()
        within = min(within, LINGER)
        end = time.monotonic() + within
        await self.stop_accepting(within)
        while self.connections:
            for connection in list(self.connections):
                if connection.closing:  # it has had its last answer, and a moment to read it
                    continue
                if connection.can_be_closed or time.monotonic() > end and self._nothing_taken(connection):
                    connection.close_soon()
            await asyncio.wait(
                [c.task for c in self.connections], timeout=LINGER / 10, return_when=asyncio.FIRST_COMPLETED
            )

    @staticmethod
    def _nothing_taken(connection: ServedConnection) -> bool:
        """Whether no request is held there, nor lies unread in the socket; an agent check ends by itself."""
        return (
            isinstance(connection, Connection)
            and connection.response_task is None
            and not connection.channel.stale()
        )


def bound(address: tuple[str, int], shared: bool) -> socket.socket:
    """A socket bound to an address, shared or not with another process of this gateway."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, shared)
    try:
        sock.bind(address)
    except BaseException:
        sock.close()
        raise
    return sock
