"""The server side: a listening socket, its connection limit, and which connections are closed to make room.

Each connection is a task of its own (`http/connection.py`) that calls the front behind this server.
Connections in the kernel's accept queue must be answered like any other.  Each is accepted and becomes a
connection object in one loop step, so that a cancellation between the two loses none, and the listener is
closed in the step in which its queue was found empty.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections.abc import Sequence
from contextlib import suppress
from heapq import heapify, heappop
from typing import Protocol

from mallowbeam.http.connection import Connection
from mallowbeam.http.framing import Message
from mallowbeam.http.handler import RequestHandler
from mallowbeam.http.handler import Response as Response  # re-exported for the fleet's page
from mallowbeam.http.handler import text_response as text_response
from mallowbeam.http.reporting import RateLimitedWarning, logger
from mallowbeam.http.shutdown import LINGER_S
from mallowbeam.http.unanswered import UnansweredRequest

LISTEN_BACKLOG = 512
REJECT_ONLY_DIVISOR = 8  # one in this many connections is reserved for rejecting the excess ones
MAX_ACCEPTS_PER_STEP = 16  # connections accepted in one event-loop step
ACCEPT_RETRY_DELAY_S = 0.05  # after file descriptors ran out
# Errors of accept(2) that concern the connection being accepted, not the listener.
CONNECTION_ERRNOS = frozenset(
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
    """A client's connection, as far as its server uses it."""

    task: asyncio.Task[None]  # ends with the connection

    @property
    def closing(self) -> bool:
        """Whether the connection is closing or closed."""

    @property
    def closing_soon(self) -> bool:
        """Whether `close_soon` was called: the close can't be hastened further."""

    @property
    def answered(self) -> bool:
        """Whether any request on the connection has been answered."""

    @property
    def response_task(self) -> asyncio.Task[None] | None:
        """The task that answers a request, while there is one."""

    @property
    def waiting_since(self) -> float:
        """When the current wait began, by the monotonic clock."""

    @property
    def pending(self) -> int:
        """Number of requests received completely and not yet answered."""

    @property
    def can_be_closed(self) -> bool:
        """Whether the connection may be closed to make room."""

    def close_soon(self) -> None:
        """Begin the orderly close, without waiting."""

    def sweep(self, now: float) -> None:
        """End the connection if it has been idle or stalled for too long."""


class ConnectionFactory(Protocol):
    """Creates the connection object of an accepted socket."""

    def __call__(self, server: Server, sock: socket.socket, over_limit: bool, /) -> ServedConnection:
        """Serve the socket; with `over_limit` its request is rejected."""


class Server:
    """One listening address and the front behind it."""

    acceptor: asyncio.Task[None]  # set by `start`

    def __init__(  # noqa: PLR0913 (callers pass keywords)
        self,
        address: tuple[str, int],
        front: RequestHandler,
        max_connections: int,
        connection: ConnectionFactory = Connection,
        name: str = "",
        handed: socket.socket | None = None,
        shared: bool = True,
    ) -> None:
        self.front, self.closing, self.name = front, False, name
        self.configured_limit = self.connection_limit = (
            max_connections  # connections open at once: the configured limit, and the one in force
        )
        self.connection = connection
        self.sock = handed or bind_socket(address, shared)
        self.address = self.sock.getsockname()
        self.connections: set[ServedConnection] = set()
        self.all_busy, self.cannot_accept = (
            RateLimitedWarning("all connections are busy"),
            RateLimitedWarning("cannot accept"),
        )
        self.dropped_requests = 0  # requests read completely whose connection closed without a response

    @property
    def spare(self) -> int:
        """How many of the connections are reserved for rejecting requests.

        Requests left in the accept queue would be lost although their clients consider them received.  The
        last few connections reject at once, so that there is always room to accept one more.
        """
        return max(1, self.connection_limit // REJECT_ONLY_DIVISOR)

    @property
    def pending(self) -> int:
        """Number of requests received completely and not yet answered, over all connections."""
        return sum(connection.pending for connection in self.connections)

    @property
    def unanswered(self) -> list[UnansweredRequest]:
        """The requests received completely that have no complete response, over all connections."""
        connections = [one for one in self.connections if isinstance(one, Connection)]
        return [request for connection in connections for request in connection.unanswered]

    def dropped(self, requests: Sequence[Message]) -> None:
        """Count requests that were read completely and get no response."""
        self.dropped_requests += len(requests)

    def start(self) -> None:
        """Start to listen and accept connections."""
        self.sock.listen(LISTEN_BACKLOG)
        self.sock.setblocking(False)
        self.acceptor = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        while True:
            await self._wait_for_connection()
            await self._accept_queued()

    async def _wait_for_connection(self) -> None:
        """Wait for a connection in the accept queue; it stays there, so a cancellation loses nothing."""
        loop, readable = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(self.sock, readable.set)
        try:
            await readable.wait()
        finally:
            loop.remove_reader(self.sock)

    async def _accept_queued(self) -> bool:
        """Accept up to MAX_ACCEPTS_PER_STEP connections; return whether the queue was found empty.

        Nothing is awaited between the accept and the creation of the connection, so that no accepted socket
        is left without an owner.
        """
        for _ in range(MAX_ACCEPTS_PER_STEP):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno not in CONNECTION_ERRNOS:
                    self.cannot_accept(error)
                    # Without file descriptors, open connections go on and new clients wait in the queue.
                    await asyncio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            try:
                over_limit = not self._make_room()
                if over_limit:
                    self.all_busy(f"{len(self.connections)} of {self.connection_limit}")
                self.connections.add(self.connection(self, sock, over_limit))
            except OSError:  # the client has disconnected
                sock.close()
            except Exception as error:
                # A failure of one connection must not stop the listener.
                sock.close()
                logger.error("unforeseen error while a connection was accepted", exc_info=error)
            while len(self.connections) > self.connection_limit:
                # Makes room for the connections in the queue: those past their last response close first.
                self._close_one()
                tasks = [c.task for c in self.connections if c.closing] or [c.task for c in self.connections]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return False

    def _make_room(self) -> bool:
        """Whether another connection may serve requests; closes an idle connection for it if needed."""
        serving_limit = self.connection_limit - self.spare
        if len(self.connections) < serving_limit:  # the common case: no scan of the connections
            return True
        return sum(not c.closing for c in self.connections) < serving_limit or self._close_one(
            include_closing=False
        )

    def _close_one(self, include_closing: bool = True) -> bool:
        """Close one connection that may be closed; False if there is none.

        The order is: those already closing, then those that were answered before, then the longest idle.  A
        client whose connection closes after a response simply sends its next request again; a client without
        any response may be about to send its first request, which would fail.  With many new clients this
        scan dominates the cost, so it uses a heap of the candidates only instead of a full sort.
        """
        candidates = [
            (not closing, not c.answered, c.waiting_since, id(c), c)
            for c in self.connections
            if not c.closing_soon and (include_closing if (closing := c.closing) else c.response_task is None)
        ]
        heapify(candidates)
        while candidates:
            connection = heappop(candidates)[-1]
            if connection.can_be_closed:
                connection.close_soon()
                return True
        return False

    def sweep(self) -> None:
        """End connections that have been idle or stalled for too long."""
        now = time.monotonic()
        for connection in list(self.connections):
            try:
                connection.sweep(now)
            except Exception as error:
                # A failure of one connection must not stop the sweep of the others.
                logger.error("unforeseen error in a client connection", exc_info=error)
                connection.close_soon()

    def close_after_responses(self) -> None:
        """Make every response from now on close its connection."""
        self.closing = True

    async def stop_accepting(self, within: float | None = None) -> None:
        """Close the listener.

        Args:
            within: Seconds to accept the connections that are still in the queue, if there is no room for
                them at once; None leaves them to the next process that has this listener.
        """
        self.acceptor.cancel()
        await asyncio.gather(self.acceptor, return_exceptions=True)
        if self.sock.fileno() < 0:  # closed before
            return
        if within is not None:
            with suppress(TimeoutError):
                async with asyncio.timeout(within):  # can only expire while waiting for room
                    while not await self._accept_queued():
                        pass
        self.sock.close()  # in the loop step in which the queue was found empty

    async def drain(self, within: float = LINGER_S) -> None:
        """Shut down gracefully: stop accepting, close idle connections, and wait for pending requests.

        A partial request does not count as received; its client has at most `within` seconds, and never more
        than `LINGER_S`, to complete it.
        """
        self.close_after_responses()
        within = min(within, LINGER_S)
        end = time.monotonic() + within
        await self.stop_accepting(within)
        while self.connections:
            for connection in list(self.connections):
                if connection.closing:  # its close is under way and has a time limit
                    continue
                if connection.can_be_closed or time.monotonic() > end and self._has_no_request(connection):
                    connection.close_soon()
            await asyncio.wait(
                [c.task for c in self.connections], timeout=LINGER_S / 10, return_when=asyncio.FIRST_COMPLETED
            )

    @staticmethod
    def _has_no_request(connection: ServedConnection) -> bool:
        """Whether the connection has no request, answered or unread; an agent check ends by itself."""
        return (
            isinstance(connection, Connection)
            and connection.response_task is None
            and not connection.channel.stale()
        )


def bind_socket(address: tuple[str, int], shared: bool) -> socket.socket:
    """Bind a socket to an address; `shared` lets another process of this gateway bind the same one."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, shared)
    try:
        sock.bind(address)
    except BaseException:
        sock.close()
        raise
    return sock
