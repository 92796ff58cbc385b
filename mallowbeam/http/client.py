"""Connections to nodes: opened when needed, kept while idle, retired well before the node would close them.

What has run decides every error here.  Up to the last byte of a request none is complete at its node
(`RequestNotSentError`); from then on it may have run (`ConnectionBrokenError`).  A node that answers before
it has read a complete request may have run it all the same: a caller that must not send twice checks
`Link.begun`, which only the kernel's count of accepted bytes decides.  This module never retries.
"""

from __future__ import annotations

import asyncio
import socket
import time
from bisect import bisect_right, insort

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import CHUNK, Channel, Framer, Message

RETIRE = 0.8  # of the nodes' idle limit: a connection idle for longer is not used again
MAX_IDLE_EACH = 32  # idle connections kept to one node
REST = 0.02  # seconds after an answer before the next request: a second answer shows by then
FIRST_INTERIM, FIRST_FINAL = 100, 200  # status codes: 1xx are interim (RFC 9110 section 15.2)
MOST_INTERIM = 16  # interim answers (1xx) in front of one answer


class RequestNotSentError(MallowbeamError):
    """The connection failed before the request's last byte was written: it never ran."""

    error_name = "Unsent"
    remedy = "if it goes on, look at the node and at the way to it"


class ConnectionLimitError(RequestNotSentError):
    """No socket is left here: says nothing of the node."""

    error_name = "NoRoom"
    remedy = "raise the limit on sockets, or look for nodes that stand still"


class ConnectionBrokenError(MallowbeamError):
    """The connection broke after the request was written: it may have run."""

    error_name = "Broken"
    remedy = "if it goes on, look at the node and at what lies between"


class RemoteProtocolError(ConnectionBrokenError):
    """What came back can't be read, or never ends: the request may have run, and the node lives."""

    error_name = "Spoilt"
    remedy = "look at the node's software and at what lies between"


class Link:
    """One connection to a server, carrying one request at a time."""

    def __init__(self, channel: Channel, address: str) -> None:
        self.channel, self.address, self.idle_since = channel, address, 0.0
        self.request_sent = False  # the request's last byte is the kernel's: it may run
        self.body_left: int | None = 0  # bytes of its body that are not written; None: comes in chunks
        self._start = channel.bytes_sent  # the count of bytes taken as the request began
        self._writer: asyncio.Task[None] | None = None  # writes what the kernel did not take at once
        self._refused = False  # a write failed: the end of the connection is no orderly one

    @property
    def begun(self) -> bool:
        """Whether the kernel has taken any byte of the request; if not, it is proven unsent."""
        return self.channel.bytes_sent > self._start

    async def request(
        self, head: bytes, body: bytes | bytearray = b"", bodiless: bool = False, follows: int | None = 0
    ) -> None:
        """Write a request; `bodiless` if its answer has no body.  Raises `RequestNotSentError`.

        `follows` tells how many bytes of its body come by `write`, None where they come in chunks.
        """
        self._begin(bodiless, follows)
        if len(body) > CHUNK:  # a large body is not copied
            await self._send(head, False)
            await self._send(body, True)
        else:
            await self._send(head + body, follows == 0)

    async def round_trip(self, head: bytes, body: bytes | bytearray = b"", bodiless: bool = False) -> Message:
        """Write a request and return its answer, headers read.

        The kernel is given the request in this step, with nothing awaited before.  What it does not take at
        once is written beside the reading: a node may answer before it has read a long body, and reads on
        later.  Until all is written the connection is of no further use.

        Raises `RequestNotSentError` and `ConnectionBrokenError`.
        """
        self._begin(bodiless, 0)
        data = head if len(body) > CHUNK else head + body
        rest = [self._push(data)]
        if len(body) > CHUNK:
            rest.append(memoryview(body) if rest[0] else self._push(body))
        if any(rest):
            self._writer = asyncio.create_task(self._write_rest(rest))
        else:
            self.request_sent = True
        return await self.read_head()

    def _begin(self, bodiless: bool, follows: int | None) -> None:
        """A request begins; the one before it is over."""
        self.channel.framer.bodiless = bodiless
        self.request_sent, self.body_left = False, follows
        self._start = self.channel.bytes_sent

    def _push(self, data: bytes | bytearray) -> memoryview:
        """Write what the kernel takes at once; what is left."""
        try:
            return memoryview(data)[self.channel.push(data) :]
        except OSError as error:
            raise RequestNotSentError(str(error)) from None

    async def _write_rest(self, rest: list[memoryview]) -> None:
        """Write what is left of a request; a failure shows in what is read."""
        try:
            for piece in rest:
                await self.channel.send(piece)
        except OSError:
            self._refused = True
        else:
            self.request_sent = True

    async def write(self, piece: bytes | bytearray) -> None:
        """Write a piece of a body; in chunks, an empty one is its end.  Raises `RequestNotSentError`."""
        if self.body_left is None:
            return await self._send(b"".join((b"%x\r\n" % len(piece), piece, b"\r\n")), not piece)
        self.body_left -= len(piece)
        await self._send(piece, self.body_left <= 0)
        return None

    async def _send(self, data: bytes | bytearray, last: bool) -> None:
        """Write; `last` if the request ends with it.  From its last byte to `written` nothing can strike."""
        try:
            await self.channel.send(data)
        except OSError as error:
            raise RequestNotSentError(str(error)) from None
        self.request_sent = last

    async def exceeds(self, answer: Message, hold: int, most: int | None, standstill: float | None) -> bool:
        """Whether an answer is larger than what is held whole, as any is where nothing is.

        Guards a large answer's further try up to its first byte, and a small one's up to its last.
        """
        if hold == 0:
            return True
        if answer.length is not None and most is not None and answer.length > most:
            raise RemoteProtocolError(f"an answer of {answer.length} bytes")
        if answer.length is not None and answer.length > hold:
            hold = 1  # its first bytes are worth passing on
        while len(answer.body) < hold and not answer.complete:
            await self._on(answer, standstill)
        return not answer.complete

    async def read_head(self) -> Message:
        """The answer, its headers read and its body perhaps still coming; raises `ConnectionBrokenError`."""
        framer = self.channel.framer
        for _ in range(MOST_INTERIM + 1):
            answer = await self._next_head()
            if (
                not FIRST_INTERIM <= answer.status < FIRST_FINAL
            ):  # else an interim answer: the real one follows
                break
        else:
            raise RemoteProtocolError("interim answers without end")
        if framer.bodiless:
            answer.complete = True
        return answer

    async def _next_head(self) -> Message:
        """The next answer, an interim one too, as soon as its headers are read."""
        framer = self.channel.framer
        while True:
            if framer.ready:
                return framer.ready.popleft()
            if (part := framer.incoming) is not None and not framer.in_head:
                return part
            if not await self._read():
                raise ConnectionBrokenError("the connection ended before the answer")

    async def read_more(self, answer: Message) -> None:
        """Read on in an answer's body; raises `ConnectionBrokenError`."""
        if not await self._read():
            # A write that failed has taken the reset that a read would have told of.
            if not answer.until_close or self._refused:
                raise ConnectionBrokenError("the connection ended inside the answer")
            answer.complete, answer.keep_alive = True, False
        ready = self.channel.framer.ready
        if ready and ready[0] is answer:  # one behind it stays: such a connection is not used again
            ready.popleft()

    async def read_body(self, answer: Message, standstill: float | None = None) -> bytearray:
        """The whole body of an answer that is not passed on in pieces.

        Guards against one that stops short: past `standstill` seconds without a byte no more of it comes.
        """
        if answer.length is not None and answer.length > self.channel.framer.max_body and not answer.complete:
            raise RemoteProtocolError(f"an answer of {answer.length} bytes")
        while not answer.complete:
            await self._on(answer, standstill)
        return answer.body

    async def _on(self, answer: Message, standstill: float | None) -> None:
        """Read on, but not for longer than `standstill` seconds without a byte."""
        try:
            async with asyncio.timeout(standstill):
                await self.read_more(answer)
        except TimeoutError:
            raise RemoteProtocolError("the answer stopped short") from None

    async def _read(self) -> bool:
        """Read once; raises `RemoteProtocolError` for what is malformed, unless an answer came before it."""
        framer = self.channel.framer
        try:
            going_on = framer.error is None and await self.channel.receive()
        except OSError as error:
            raise ConnectionBrokenError(str(error)) from None
        if framer.error is not None and not framer.ready:
            raise RemoteProtocolError(str(framer.error))
        return going_on

    def reusable(self, answer: Message) -> bool:
        """Whether another request may follow on this connection."""
        framer = self.channel.framer
        return (
            self.request_sent
            and answer.complete
            and answer.keep_alive
            and not answer.until_close
            and not framer.bodiless
            and framer.empty
            and framer.error is None
        )

    def close(self) -> None:
        """Close the connection: what is out on it is given up."""
        self.channel.close()


async def connect(address: str, timeout: float, max_body: int, budget: BodyBudget | None = None) -> Link:
    """Open a connection, whose answers' bodies `budget` bounds together; raises `RequestNotSentError`."""
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # descriptors have run out: this attempt fails, nothing else
        raise ConnectionLimitError(str(error)) from None
    try:
        sock.setblocking(False)
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, (host.strip("[]"), int(port)))
        return Link(Channel(sock, Framer(answers=True, max_body=max_body, budget=budget)), address)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:  # or the address is none
        sock.close()
        raise RequestNotSentError(str(error) or "the connection never came up") from None
    except BaseException:
        sock.close()
        raise


class Pool:
    """The idle connections to nodes, and how many there are in all."""

    def __init__(
        self,
        most: int,
        idle_limit: float | None,
        connect_timeout: float | None,
        max_body: int,
        budget: BodyBudget,
    ) -> None:
        self.configured_limit = self.connection_limit = (
            most  # connections in all, and how many of them may be open now
        )
        self.max_body, self.budget = max_body, budget
        self.idle_lifetime = (idle_limit or 10.0) * RETIRE  # seconds that a connection may lie idle
        self.connect_timeout = connect_timeout or 1.0
        self.idle: dict[str, list[Link]] = {}
        self.count = 0  # connections open or being opened

    async def take(self, address: str) -> Link:
        """An idle connection, or a new one; whether it is still good is looked at just before the write.

        Guards an answer against being taken for another request's: one that is late behind the answer before
        it would be read as the next one's, so a connection rests first.
        """
        idle, now = self.idle.get(address, []), time.monotonic()
        rested = bisect_right(idle, now - REST, key=lambda link: link.idle_since)
        while rested:
            rested -= 1
            link = idle.pop(rested)
            if now - link.idle_since < self.idle_lifetime:
                return link
            self.drop(link)
        if self.count >= self.connection_limit and not self._evict():
            raise ConnectionLimitError("as many connections are open as are allowed")
        self.count += 1
        try:
            return await connect(address, self.connect_timeout, self.max_body, self.budget)
        except BaseException:
            self.count -= 1
            raise

    def put(self, link: Link, answer: Message) -> bool:
        """Keep a connection whose answer was read whole, once it has rested; False if it is of no use."""
        return link.reusable(answer) and self.keep(link, time.monotonic())

    def keep(self, link: Link, since: float | None = None) -> bool:
        """Keep a connection on which nothing is out, idle `since` or unused; False if there are enough."""
        idle = self.idle.setdefault(link.address, [])
        if len(idle) >= MAX_IDLE_EACH:
            return False
        link.channel.framer.release()
        link.channel.shrink_buffer()
        link.request_sent, link.idle_since = False, time.monotonic() - REST if since is None else since
        insort(idle, link, key=lambda link: link.idle_since)
        return True

    def drop(self, link: Link) -> None:
        """Close a connection that was taken."""
        self.count -= 1
        link.channel.framer.release()
        link.close()

    def limit_to_part(self, parts: int) -> None:
        """Keep to one of so many equal parts of connections and bodies; idle ones beyond it are closed."""
        self.connection_limit, self.budget.limit = (
            self.configured_limit // parts,
            self.budget.configured_limit // parts,
        )
        while self.count > self.connection_limit and self._evict():
            pass

    def sweep(self) -> None:
        """Close what has been idle for too long, oldest first in each list."""
        limit = time.monotonic() - self.idle_lifetime
        for address, idle in list(self.idle.items()):
            while idle and idle[0].idle_since < limit:
                self.drop(idle.pop(0))
            if not idle:
                del self.idle[address]

    def forget(self, address: str) -> None:
        """Close the idle connections to a node that is gone."""
        for link in self.idle.pop(address, []):
            self.drop(link)

    def _evict(self) -> bool:
        """Close one idle connection to make room."""
        for idle in self.idle.values():
            if idle:
                self.drop(idle.pop(0))
                return True
        return False
