"""The clients' side: a listening socket, its connections, and their bounds.

A front is called with each whole request and returns the one answer; a client that closes its connection
cancels that call.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol

from loguru import logger

from mallowbeam.net.http import BadMessage, Budget, Channel, Framer, Message, write_head
from mallowbeam.net.log import Sparse
from mallowbeam.net.stream import Stream

BACKLOG = 512
SPARE = 8                   # one in so many connections is kept for refusing those beyond the others
PIPELINED = 2               # whole requests that may wait behind the one being answered
STALLED = 2.5               # seconds in which a request must come in, on a new connection from its start on
SLOWEST = 48 * 1024         # bytes of a body that are worth a second more
UNREAD = 10.0               # seconds without a byte after which an answer has stopped going out
IDLE = 10.0                 # seconds that a connection may lie idle after an answer
LINGER = 1.0                # seconds given to a client to read the last answer before the close
LINGER_BYTES = 256 * 1024   # and what is read of it meanwhile, at most, where it breaks HTTP or a bound
FRESH = 1.0                 # seconds in which a client that has just come begins, where room is short
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_DESCRIPTORS = 0.05       # seconds without accepting after descriptors ran out


class Reply(NamedTuple):
    """An answer: its status, and its bytes or what writes them as they come (False: it broke off)."""

    status: int
    data: bytes = b""
    write: Callable[[Channel], Awaitable[bool]] | None = None


class Front(Protocol):
    """What speaks a protocol to clients."""

    max_body: int
    whole: int                                 # bytes of a body up to which it is held whole
    budget: Budget | None

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Reply:
        """The answer to a request.

        `closing`, asked when the answer is known, tells whether the connection is closed after it.
        """

    def complain(self, status: int, text: str) -> Reply:
        """The answer to what breaks HTTP or a bound; the connection is closed after it."""

    def ended(self, request: Message, status: int, whole: bool) -> None:
        """A request's answer has gone out, or broken off: the one place where requests are counted."""


class Connection:
    """One client's connection: a task that reads, and while a request is held one that answers."""

    def __init__(self, server: Server, sock: socket.socket, over: bool = False) -> None:
        self.server, front = server, server.front
        self.over = over                       # no room for it: its request is refused at once
        self.channel = Channel(sock, Framer(answers=False, max_body=front.max_body, budget=front.budget))
        self.part: Message | None = None       # the request that is coming in
        self.since = time.monotonic()          # when that began, or the last answer went out
        self.busy: asyncio.Task | None = None
        self.request: Message | None = None    # the one that is being answered
        self.taking: Message | None = None     # the same, while its body passes through
        self.blocked = False                   # nothing is read: the body's taker is slow
        self.writing = self.closing = self.answered = False
        self.leaving = False                   # being closed to make room
        self.room = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    @property
    def idle(self) -> bool:
        """Whether nothing is coming in, held or going out."""
        return self.busy is None and self.channel.framer.empty

    @property
    def pending(self) -> int:
        """Requests here that have come in whole and are not over yet."""
        return len(self.channel.framer.ready) + (self.request is not None and self.request.whole)

    @property
    def spare(self) -> bool:
        """Whether it may be closed to make room.

        Guards requests on their way in: a client that has just come is about to send one, and one that lies
        unread in the socket is taken and would be lost with it.
        """
        if self.closing:                       # it has had its last answer
            return True
        return (self.idle and (self.answered or time.monotonic() - self.since > FRESH)
                and not self.channel.stale())

    async def _run(self) -> None:
        framer = self.channel.framer
        try:
            while await self.channel.receive() and not self.closing:
                if framer.part is not self.part:
                    self.part = framer.part
                    if self.answered:          # the first request has its time from the connection's start
                        self.since = time.monotonic()
                self._pump()
                if framer.fault is not None:
                    raise framer.fault
                if self.busy is None and framer.wants_continue():
                    await self.channel.send(CONTINUE)
                await self._pass_on()
                while len(framer.ready) > PIPELINED:
                    self.room.clear()
                    await self.room.wait()
            if self.closing and self.taking is not None:
                await self._read_out(self.taking.length or self.server.front.max_body)
        except BadMessage as error:
            if self.taking is not None:        # what is passed on of it can't be finished
                self.taking.stream.break_off()
            await self._last_word(error.status, str(error))
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:
            logger.opt(exception=error).error("a connection failed unforeseen")
        finally:
            if self.busy is not None:
                self.busy.cancel()
                await asyncio.gather(self.busy, return_exceptions=True)
            if self.taking is not None:
                self.taking.stream.close()
            framer.release()
            self.channel.close()
            self.server.connections.discard(self)

    def _pump(self) -> None:
        """Begin to answer the next request that is whole, or too large to be held, unless one is answered."""
        framer = self.channel.framer
        if self.busy is not None or self.closing:
            return
        if framer.ready:
            request = framer.ready.popleft()
        elif framer.holds_more_than(self.server.front.whole):
            request = self.taking = framer.part
            request.stream = Stream(wanted=self._wanted)
            self.channel.widen()
        else:
            return
        self.busy = asyncio.create_task(self._answer(request))

    def _wanted(self) -> None:
        """The first piece of a large body is asked for: a client that waits for a word gets it."""
        if self.channel.framer.wants_continue():
            try:                               # a few bytes, and nothing else is being written
                self.channel.sock.send(CONTINUE)
            except OSError:
                pass

    async def _pass_on(self) -> None:
        """Hand on what came of a large body; while its taker is slow nothing is read, and no time counts."""
        request = self.taking
        if request is None:
            return
        if piece := request.take():
            self.channel.framer.release()
            began, self.blocked = time.monotonic(), True
            await request.stream.put(piece)
            self.since += time.monotonic() - began
            self.blocked = False
        if request.whole:
            self.taking = None
            self.channel.narrow()
            await request.stream.put(None)

    async def _answer(self, request: Message) -> None:
        """One request, from its last byte in to its answer's last byte out."""
        try:
            self.request = request
            whole = await self._write(request)
            close = self._closes(request)
        except OSError:
            whole = close = False
        except Exception as error:
            logger.opt(exception=error).error("a request failed unforeseen")
            whole, close = False, True
        self.writing, self.busy, self.since, self.answered = False, None, time.monotonic(), True
        self.request = None
        if request.stream is not None:
            request.stream.close()
        if self.channel.framer.empty:
            self.channel.framer.release()
        if not whole:
            self.task.cancel()
        elif close:
            self._hang_up()
        else:
            self._pump()
            self.room.set()

    async def _write(self, request: Message) -> bool:
        """Write the front's answer to a request; False if it broke off."""
        try:
            if self.over:
                request.keep_alive = False
                reply = self.server.front.complain(503, "too many connections")
            else:
                reply = await self.server.front.handle(
                    request, lambda: self._closes(request))
        except Exception as error:
            # Guards the client against a fault of ours: it still gets its one answer.
            logger.opt(exception=error).error("a request failed unforeseen")
            reply = self.server.front.complain(500, "internal error")
            request.keep_alive = False
        self.channel.moved, self.writing, whole = time.monotonic(), True, False
        try:
            if reply.write is None:
                head_only = request.method == b"HEAD"  # its answer ends with the headers, whatever they say
                await self.channel.send(reply.data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" if head_only
                                        else reply.data)
            whole = reply.write is None or await reply.write(self.channel)
        finally:
            self.server.front.ended(request, reply.status, whole)
        return whole

    def _closes(self, request: Message) -> bool:
        """Whether the connection is closed after the answer to a request: its body may still be coming."""
        return self.server.closing or not request.keep_alive or not request.whole

    def leave(self) -> None:
        """Close the connection now."""
        self.closing = self.leaving = True
        self.task.cancel()

    def _hang_up(self) -> None:
        """End our side; the client has a moment to read before the socket is closed."""
        self.closing = True
        try:
            self.channel.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        asyncio.get_running_loop().call_later(LINGER, self.task.cancel)

    async def _last_word(self, status: int, text: str) -> None:
        """Answer what breaks HTTP once the request before it has its answer, then read until the close.

        Guards against a reset that would take the answer away: what the client still sends is read, not kept.
        """
        while self.busy is not None:           # whole requests before it have their answers first
            await asyncio.wait([self.busy])
        if self.closing:
            return
        self.closing, channel = True, self.channel
        try:
            async with asyncio.timeout(LINGER):
                await channel.send(self._complaint(status, text))
                channel.sock.shutdown(socket.SHUT_WR)
                await self._read_out(LINGER_BYTES)
        except (OSError, TimeoutError):
            pass

    async def _read_out(self, most: int) -> None:
        """Read on and drop it, so that the last answer is not lost with what is still unread."""
        channel = self.channel
        while most > 0 and (count := await channel.loop.sock_recv_into(channel.sock, channel.buffer)):
            most -= count

    def _complaint(self, status: int, text: str) -> bytes:
        """The last word on a request that does not come in whole; it counts if its head has."""
        part = self.channel.framer.part
        if part is not None and not self.channel.framer.in_head:
            self.server.front.ended(part, status, True)
        return self.server.front.complain(status, text).data

    def sweep(self, now: float) -> None:
        """Close a connection that has been idle or stalled for too long."""
        if self.writing:
            if now - self.channel.moved > UNREAD:
                self.task.cancel()
        elif self.idle:
            if now - self.since > (IDLE if self.answered else STALLED):
                self.task.cancel()
        elif self.taking is not None and not self.closing:
            if not self.blocked and now - self.since > self._patience():
                self.taking.stream.break_off()  # its taker ends it, and that is answered
        elif self.busy is None and not self.closing and now - self.since > self._patience():
            try:                               # best effort: a stalled client may not read either
                self.channel.sock.send(self._complaint(408, "the request did not come in time"))
            except OSError:
                pass
            self.task.cancel()

    def _patience(self) -> float:
        """Seconds that the request which is coming in may take, by what came: a trickle is no upload."""
        part = self.channel.framer.part
        return STALLED + (part.came / SLOWEST if part else 0.0)


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
                over = not self._make_room()
                if over:
                    self.crowded(f"{len(self.connections)} of {self.most}")
                self.connections.add(self.connection(self, sock, over))
                while len(self.connections) > self.most:
                    # Guards those that wait to be accepted: what has had its last answer goes first.
                    self._let_go(self.connections)
                    await asyncio.wait([c.task for c in self.connections],
                                       return_when=asyncio.FIRST_COMPLETED)
            except OSError as error:
                # Guards against descriptors running out: those held go on, new clients wait in the backlog.
                cannot_accept(error)
                await asyncio.sleep(NO_DESCRIPTORS)

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
            connection.sweep(now)

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


def plain(status: int, text: str, close: bool, headers: list[tuple[bytes, bytes]] | None = None) -> Reply:
    """A whole answer with a line of text."""
    body = text.encode() + b"\n"
    head = write_head(status, [(b"content-type", b"text/plain"), *(headers or [])], len(body), close)
    return Reply(status, head + body)
