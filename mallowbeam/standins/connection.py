"""One connection to a stand-in: requests in, answers out, faults between.

Answers go out in one write.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

import httptools

from mallowbeam.standins.faults import Rule, Script
from mallowbeam.standins.store import Answer

REASONS = {
    200: "OK",
    204: "No Content",
    206: "Partial Content",
    304: "Not Modified",
    400: "Bad Request",
    404: "Not Found",
    412: "Precondition Failed",
    416: "Range Not Satisfiable",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
CUT_ANSWER = 40  # bytes of an answer that go out before the connection is cut


class Host(Protocol):
    """The stand-in that a connection belongs to."""

    script: Script
    delay: float
    """Seconds before each answer."""
    stands_until: float
    """Steady time before which nothing is answered."""
    draining: bool
    connections: set[Connection]

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """The answer to a request."""

    def die(self) -> None:
        """Take no connection and reset those open."""


class Connection(asyncio.Protocol):
    """One connection to a stand-in: requests in, answers out, faults between."""

    def __init__(self, server: Host) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport
        self.target, self.body = b"", bytearray()
        self.headers: dict[str, str] = {}
        self.waiting: list[tuple[str, str, dict[str, str], bytes]] = []
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone: what is standing still is given up."""
        self.server.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Bytes of requests."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """httptools: a request begins."""
        self.target, self.headers, self.body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        """httptools: a piece of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """httptools: a header."""
        self.headers[name.decode().lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """httptools: the head is over."""
        if self.headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """httptools: a piece of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """httptools: a request is whole."""
        method = self.parser.get_method().decode()
        self.waiting.append((method, self.target.decode("latin-1"), self.headers, bytes(self.body)))
        if self.task is None or self.task.done():
            self._next()

    def _next(self) -> None:
        """Answer what waits; only a fault that takes time needs a task."""
        while self.waiting and not self.transport.is_closing():
            request = self.waiting.pop(0)
            rule = self.server.script.take(request[0], request[1])
            hold = max(
                self.server.stands_until - time.monotonic(),
                rule.seconds if rule is not None and rule.action == "stall" else self.server.delay,
            )
            if hold > 0:
                self.task = asyncio.create_task(self._later(hold, rule, request))
                return
            self._answer(rule, request)

    async def _later(
        self, seconds: float, rule: Rule | None, request: tuple[str, str, dict[str, str], bytes]
    ) -> None:
        await asyncio.sleep(seconds)
        self._answer(rule, request)
        self._next()

    def _answer(self, rule: Rule | None, request: tuple[str, str, dict[str, str], bytes]) -> None:
        match rule.action if rule is not None else "":
            case "refuse":
                return self._write(503, {"X-Not-Run": "1"}, b"", request[0])
            case "error":
                return self._write(500, {}, b"", request[0])
            case "status":
                assert rule is not None
                return self._write(rule.status, {}, b"", request[0])
            case "cut":
                return self.transport.abort()
        if self.server.draining:
            return self._write(503, {"X-Not-Run": "1"}, b"", request[0])
        status, headers, data = self.server.handle(*request)
        if rule is not None and rule.action == "run-cut":
            return self.transport.abort()
        cut = CUT_ANSWER if rule is not None and rule.action == "answer-cut" else None
        self._write(status, headers, data, request[0], cut)
        if rule is not None and rule.action == "answer-die":
            asyncio.get_running_loop().call_soon(self.server.die)
            return None
        return None

    def _write(
        self, status: int, headers: dict[str, str], data: bytes, method: str, cut: int | None = None
    ) -> None:
        lines = [
            f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if status not in (204, 304):
            lines.append(f"Content-Length: {len(data)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        self.transport.write((head if method == "HEAD" else head + data)[:cut])
        if cut is not None:
            self.transport.close()
