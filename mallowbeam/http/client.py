"""Connections to nodes: opened on demand, pooled while idle, retired before the node would close them.

The error types tell whether a request may have run.  Until its last byte is written the node can't have a
complete request (`RequestNotSentError`); after that the request may have run (`ConnectionBrokenError`).  A
node that answers before it has read the complete request may have run it nevertheless: a caller that must
not send twice checks `Link.write_started`, which depends only on how many bytes the kernel has accepted.
This module never retries.
"""

from __future__ import annotations

import asyncio
import socket
import time
from bisect import bisect_right, insort

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import READ_BUFFER_BYTES, Channel, Framer, Message

IDLE_LIFETIME_FRACTION = 0.8  # of the nodes' idle timeout: an older idle connection is not reused
MAX_IDLE_PER_NODE = 32  # idle connections kept for each node
REUSE_DELAY_S = 0.02  # seconds between a response and reuse: an unsolicited second response shows by then
MIN_INTERIM_STATUS, MIN_FINAL_STATUS = 100, 200  # status codes: 1xx are interim (RFC 9110 section 15.2)
MAX_INTERIM_RESPONSES = 16  # interim responses (1xx) before one final response


class RequestNotSentError(MallowbeamError):
    """The connection failed before the request's last byte was written: the request never ran."""

    error_name = "Unsent"
    remedy = "if it persists, check the node and the network path to it"


class ConnectionLimitError(RequestNotSentError):
    """This process has no socket left; the error says nothing about the node."""

    error_name = "NoRoom"
    remedy = "raise the socket limit, or look for nodes that hang"


class ConnectionBrokenError(MallowbeamError):
    """The connection broke after the request was written: the request may have run."""

    error_name = "Broken"
    remedy = "if it persists, check the node and any proxy before it"


class RemoteProtocolError(ConnectionBrokenError):
    """The response is malformed, too large or incomplete: the request may have run, and the node is alive."""

    error_name = "Spoilt"
    remedy = "check the node's software and any proxy before it"


class Link:
    """One connection to a server, carrying one request at a time."""

    def __init__(self, channel: Channel, address: str) -> None:
        self.channel, self.address, self.idle_since = channel, address, 0.0
        self.request_sent = False  # the kernel has accepted the request's last byte, so it may run
        self.body_left: int | None = 0  # unwritten bytes of the request's body; None: chunked
        self._bytes_sent_before = channel.bytes_sent  # `channel.bytes_sent` at the start of the request
        self._writer: asyncio.Task[None] | None = None  # writes what the kernel did not accept at once
        self._write_failed = False  # a write failed: an end of stream is not an orderly close

    @property
    def write_started(self) -> bool:
        """Whether the kernel has accepted any byte of the request; if not, it is certainly unsent."""
        return self.channel.bytes_sent > self._bytes_sent_before

    async def request(
        self,
        head: bytes,
        body: bytes | bytearray = b"",
        bodiless: bool = False,
        streamed_length: int | None = 0,
    ) -> None:
        """Write a request.

        Args:
            head: Start line and headers.
            body: The body, or its first bytes.
            bodiless: Whether the response has no body, as for HEAD.
            streamed_length: Body bytes that the caller passes to `write` later; None for a chunked body.

        Raises:
            RequestNotSentError: The connection failed before the last byte was written.
        """
        self._start_request(bodiless, streamed_length)
        if len(body) > READ_BUFFER_BYTES:  # a large body is not copied
            await self._send(head, False)
            await self._send(body, True)
        else:
            await self._send(head + body, streamed_length == 0)

    async def round_trip(self, head: bytes, body: bytes | bytearray = b"", bodiless: bool = False) -> Message:
        """Write a request and return its response once the headers are read.

        The request is passed to the kernel before the first await.  Bytes that the kernel does not accept at
        once are written while the response is read: a node may answer before it has read a long body and read
        the rest later.  The connection can't be reused until all is written.

        Raises:
            RequestNotSentError: The connection failed before the last byte was written.
            ConnectionBrokenError: The connection broke after that.
        """
        self._start_request(bodiless, 0)
        data = head if len(body) > READ_BUFFER_BYTES else head + body
        remainder = [self._write_now(data)]
        if len(body) > READ_BUFFER_BYTES:
            remainder.append(memoryview(body) if remainder[0] else self._write_now(body))
        if any(remainder):
            self._writer = asyncio.create_task(self._write_rest(remainder))
        else:
            self.request_sent = True
        return await self.read_head()

    def _start_request(self, bodiless: bool, streamed_length: int | None) -> None:
        """Reset the per-request state."""
        self.channel.framer.bodiless = bodiless
        self.request_sent, self.body_left = False, streamed_length
        self._bytes_sent_before = self.channel.bytes_sent

    def _write_now(self, data: bytes | bytearray) -> memoryview:
        """Write what the kernel accepts without waiting; return the rest."""
        try:
            return memoryview(data)[self.channel.push(data) :]
        except OSError as error:
            raise RequestNotSentError(str(error)) from None

    async def _write_rest(self, remainder: list[memoryview]) -> None:
        """Write the rest of a request; a failure is reported by the concurrent read."""
        try:
            for chunk in remainder:
                await self.channel.send(chunk)
        except OSError:
            self._write_failed = True
        else:
            self.request_sent = True

    async def write(self, chunk: bytes | bytearray) -> None:
        """Write part of a body; an empty one ends a chunked body.  Raises `RequestNotSentError`."""
        if self.body_left is None:
            return await self._send(b"".join((b"%x\r\n" % len(chunk), chunk, b"\r\n")), not chunk)
        self.body_left -= len(chunk)
        await self._send(chunk, self.body_left <= 0)
        return None

    async def _send(self, data: bytes | bytearray, last: bool) -> None:
        """Write data; `last` if it ends the request.

        No cancellation can occur between the kernel accepting the last byte and `request_sent` being set.
        """
        try:
            await self.channel.send(data)
        except OSError as error:
            raise RequestNotSentError(str(error)) from None
        self.request_sent = last

    async def exceeds(
        self, answer: Message, buffer_limit: int, max_length: int | None, stall_timeout: float | None
    ) -> bool:
        """Whether a response is larger than the `buffer_limit` bytes that are buffered (0: always true).

        Keeps a retry possible until the first byte of a large response, or until the last byte of a small
        one, has arrived.

        Args:
            answer: The response, its headers read.
            buffer_limit: Bytes of body that are buffered.
            max_length: Largest stated length that is accepted, in bytes; None for any.
            stall_timeout: Seconds without a byte after which reading fails; None for no limit.

        Raises:
            ConnectionBrokenError: The connection ended inside the response.
            RemoteProtocolError: The response is too large or stalled.
        """
        if buffer_limit == 0:
            return True
        if answer.length is not None and max_length is not None and answer.length > max_length:
            raise RemoteProtocolError(f"a response body of {answer.length} bytes exceeds the limit")
        if answer.length is not None and answer.length > buffer_limit:
            buffer_limit = 1  # wait only for its first bytes
        while len(answer.body) < buffer_limit and not answer.complete:
            await self._read_more_within(answer, stall_timeout)
        return not answer.complete

    async def read_head(self) -> Message:
        """Return the response once its headers are read; raises `ConnectionBrokenError`."""
        framer = self.channel.framer
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            answer = await self._next_head()
            if not MIN_INTERIM_STATUS <= answer.status < MIN_FINAL_STATUS:  # else a final one follows
                break
        else:
            raise RemoteProtocolError("too many interim responses")
        if framer.bodiless:
            answer.complete = True
        return answer

    async def _next_head(self) -> Message:
        """Return the next response, interim or final, once its headers are read."""
        framer = self.channel.framer
        while True:
            if framer.ready:
                return framer.ready.popleft()
            if (part := framer.incoming) is not None and not framer.in_head:
                return part
            if not await self._read():
                raise ConnectionBrokenError("the connection ended before the answer")

    async def read_more(self, answer: Message) -> None:
        """Read more of a response's body; raises `ConnectionBrokenError`."""
        if not await self._read():
            # A failed write consumes the reset error, so that the read reports a plain end of stream.
            if not answer.until_close or self._write_failed:
                raise ConnectionBrokenError("the connection ended inside the response")
            answer.complete, answer.keep_alive = True, False
        ready = self.channel.framer.ready
        if ready and ready[0] is answer:  # a response after it stays, which prevents reuse of the connection
            ready.popleft()

    async def read_body(self, answer: Message, stall_timeout: float | None = None) -> bytearray:
        """Return the complete body of a response that is not streamed.

        Raises:
            ConnectionBrokenError: The connection ended inside the response.
            RemoteProtocolError: The response is too large, or no byte of it came for `stall_timeout` seconds.
        """
        if answer.length is not None and answer.length > self.channel.framer.max_body and not answer.complete:
            raise RemoteProtocolError(f"a response body of {answer.length} bytes exceeds the limit")
        while not answer.complete:
            await self._read_more_within(answer, stall_timeout)
        return answer.body

    async def _read_more_within(self, answer: Message, stall_timeout: float | None) -> None:
        """Read more; raises `RemoteProtocolError` after `stall_timeout` seconds without a byte."""
        try:
            async with asyncio.timeout(stall_timeout):
                await self.read_more(answer)
        except TimeoutError:
            raise RemoteProtocolError("the response stalled before its end") from None

    async def _read(self) -> bool:
        """Read once; raises `RemoteProtocolError` for malformed data, unless a response preceded it."""
        framer = self.channel.framer
        try:
            stream_open = framer.error is None and await self.channel.receive()
        except OSError as error:
            raise ConnectionBrokenError(str(error)) from None
        if framer.error is not None and not framer.ready:
            raise RemoteProtocolError(str(framer.error))
        return stream_open

    def reusable(self, answer: Message) -> bool:
        """Whether the connection can carry another request."""
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
        """Close the connection and abandon any request in flight on it."""
        self.channel.close()


async def connect(address: str, timeout: float, max_body: int, budget: BodyBudget | None = None) -> Link:
    """Open a connection; `budget` limits its responses' bodies.  Raises `RequestNotSentError`."""
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # no file descriptors left: only this attempt fails
        raise ConnectionLimitError(str(error)) from None
    try:
        sock.setblocking(False)
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, (host.strip("[]"), int(port)))
        return Link(Channel(sock, Framer(answers=True, max_body=max_body, budget=budget)), address)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:  # or the address is invalid
        sock.close()
        raise RequestNotSentError(str(error) or "the connection attempt timed out") from None
    except BaseException:
        sock.close()
        raise


class Pool:
    """Pool of idle connections to nodes; also limits how many connections are open in total."""

    def __init__(
        self,
        max_connections: int,
        idle_limit: float | None,
        connect_timeout: float | None,
        max_body: int,
        budget: BodyBudget,
    ) -> None:
        self.configured_limit = self.connection_limit = (
            max_connections  # the configured total, and how many may be open now
        )
        self.max_body, self.budget = max_body, budget
        self.idle_lifetime = (idle_limit or 10.0) * IDLE_LIFETIME_FRACTION  # seconds
        self.connect_timeout = connect_timeout or 1.0
        self.idle: dict[str, list[Link]] = {}
        self.count = 0  # connections open or being opened

    async def take(self, address: str) -> Link:
        """Return an idle connection, or open one; the caller checks that it is still good before it writes.

        A connection is reused only `REUSE_DELAY_S` seconds after its last response: a late unsolicited
        response would otherwise be read as the response to the next request.

        Raises:
            ConnectionLimitError: No further connection is allowed.
            RequestNotSentError: The connection could not be opened.
        """
        idle, now = self.idle.get(address, []), time.monotonic()
        usable = bisect_right(idle, now - REUSE_DELAY_S, key=lambda link: link.idle_since)
        while usable:
            usable -= 1
            link = idle.pop(usable)
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
        """Return a connection whose response was read to the end to the pool; False if it can't be reused."""
        return link.reusable(answer) and self.keep(link, time.monotonic())

    def keep(self, link: Link, since: float | None = None) -> bool:
        """Pool a connection with no request in flight, idle `since` or unused; False if the pool is full."""
        idle = self.idle.setdefault(link.address, [])
        if len(idle) >= MAX_IDLE_PER_NODE:
            return False
        link.channel.framer.release()
        link.channel.shrink_buffer()
        link.request_sent, link.idle_since = (
            False,
            time.monotonic() - REUSE_DELAY_S if since is None else since,
        )
        insort(idle, link, key=lambda link: link.idle_since)
        return True

    def drop(self, link: Link) -> None:
        """Close a connection that was taken from the pool."""
        self.count -= 1
        link.channel.framer.release()
        link.close()

    def limit_to_part(self, parts: int) -> None:
        """Limit connections and body budget to 1/`parts` of the total, and close excess idle connections."""
        self.connection_limit, self.budget.limit = (
            self.configured_limit // parts,
            self.budget.configured_limit // parts,
        )
        while self.count > self.connection_limit and self._evict():
            pass

    def sweep(self) -> None:
        """Close connections that have been idle for too long; each list is ordered oldest first."""
        limit = time.monotonic() - self.idle_lifetime
        for address, idle in list(self.idle.items()):
            while idle and idle[0].idle_since < limit:
                self.drop(idle.pop(0))
            if not idle:
                del self.idle[address]

    def forget(self, address: str) -> None:
        """Close the idle connections to a node that has left."""
        for link in self.idle.pop(address, []):
            self.drop(link)

    def _evict(self) -> bool:
        """Close one idle connection to make room."""
        for idle in self.idle.values():
            if idle:
                self.drop(idle.pop(0))
                return True
        return False
