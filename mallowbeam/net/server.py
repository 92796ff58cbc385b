"""The clients' side: a listening socket, how many connections it holds, and which of them make room.

Each connection is a task of its own (`net/connection.py`) that calls the front behind this server.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterable

from loguru import logger

from mallowbeam.net.connection import LINGER, Connection
from mallowbeam.net.front import Front
from mallowbeam.net.front import Reply as Reply  # for the fleet's page, which has them from here
from mallowbeam.net.front import plain as plain
from mallowbeam.net.log import Sparse

BACKLOG = 512
SPARE = 8                   # one in so many connections is kept for refusing those beyond the others
NO_DESCRIPTORS = 0.05       # seconds without accepting after descriptors ran out


class Server:
    """One listening address and the front behind it."""

    def __init__(self, address: tuple[str, int], front: Front, most: int,
                 connection: type = Connection, name: str = "", handed: socket.socket | None = None,
                 shared: bool = True) -> None:
        self.front, self.closing, self.name = front, False, name
        self.whole = self.most = most          # connections that may be held at once: in all, and now
        self.connection = connection
        self.sock = handed or bound(address, shared)
        self.address = self.sock.getsockname()
        self.connections: set[Connection] = set()
        self.crowded = Sparse("all connections are busy")
        self.acceptor: asyncio.Task | None = None

    @property
    def spare(self) -> int:
        """How many of the connections only refuse.

        Guards against requests lost in the backlog, where their clients count them as taken: the last few
        refuse, at once, so that there is always room for one more.
        """
        return max(1, self.most // SPARE)

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
        loop, cannot_accept = asyncio.get_running_loop(), Sparse("cannot accept")
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
                try:
                    over = not self._make_room()
                    if over:
                        self.crowded(f"{len(self.connections)} of {self.most}")
                    self.connections.add(self.connection(self, sock, over))
                except BaseException:
                    sock.close()
                    raise
                while len(self.connections) > self.most:
                    # Guards those that wait to be accepted: what has had its last answer goes first.
                    self._let_go(self.connections)
                    await asyncio.wait([c.task for c in self.connections],
                                       return_when=asyncio.FIRST_COMPLETED)
            except OSError as error:
                # Guards against descriptors running out: those held go on, new clients wait in the backlog.
                cannot_accept(error)
                await asyncio.sleep(NO_DESCRIPTORS)
            except Exception as error:
                # Guards the listener: a fault with one connection must not leave all later ones unheard.
                logger.opt(exception=error).error("a connection failed unforeseen")

    def _make_room(self) -> bool:
        """Whether there is room for one more request, if need be that of a connection which may be closed."""
        open_ones = [c for c in self.connections if not c.closing]
        return len(open_ones) < self.most - self.spare or self._let_go(open_ones)

    @staticmethod
    def _let_go(among: Iterable[Connection]) -> bool:
        """Close one that may be closed: hung up first, then the longest idle; False if there is none.

        Guards first requests: a client whose connection closes after an answer only sends again, while one
        that has had nothing yet may be about to send, and that request would fail.
        """
        staying = (c for c in among if not c.leaving)
        for connection in sorted(staying, key=lambda c: (not c.closing, not c.answered, c.since)):
            if connection.spare:
                connection.leave()
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
                logger.opt(exception=error).error("a connection failed unforeseen")
                connection.task.cancel()

    def last_answers(self) -> None:
        """From now on every answer closes its connection."""
        self.closing = True

    async def shut(self) -> None:
        """Take no new connection."""
        self.acceptor.cancel()
        await asyncio.gather(self.acceptor, return_exceptions=True)
        self.sock.close()

    async def drain(self) -> None:
        """Take no new connection, let go of idle ones, and wait for what is held."""
        self.last_answers()
        await self.shut()
        began = time.monotonic()
        while self.connections:
            for connection in self.connections:
                # A request that has not come in whole was never taken; its client has a moment to finish it.
                if connection.spare or connection.busy is None and time.monotonic() - began > LINGER:
                    connection.task.cancel()
            await asyncio.wait([c.task for c in self.connections], timeout=LINGER / 10,
                               return_when=asyncio.FIRST_COMPLETED)


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
