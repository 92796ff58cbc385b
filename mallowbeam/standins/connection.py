"""One HTTP connection to a stand-in: parses requests, applies scripted faults, writes answers.

Each answer is sent in one write.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple, Protocol

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
TRUNCATED_ANSWER_BYTES = 40  # sent by `answer-cut` before the connection is closed
NOT_EXECUTED: Answer = (503, {"X-Not-Run": "1"}, b"")


class Request(NamedTuple):
    """A parsed request, in the order of the arguments of `Host.handle`."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Host(Protocol):
    """The stand-in that owns a connection."""

    script: Script
    delay: float
    """Seconds before each answer."""
    paused_until: float
    """Monotonic time in seconds before which nothing is answered."""
    draining: bool
    connections: set[Connection]

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Return the answer to a request."""

    def die(self) -> None:
        """Stop listening and reset the open connections."""


class Connection(asyncio.Protocol):
    """One HTTP connection to a stand-in, with its scripted faults."""

    def __init__(self, server: Host) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport
        self.target = b""
        self.body = bytearray()
        self.headers: dict[str, str] = {}
        self.pending: list[Request] = []
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: a client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection has ended; cancel a delayed answer."""
        self.server.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """asyncio: parse received bytes; reset the connection if they are invalid."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """httptools: a request begins."""
        self.target = b""
        self.headers = {}
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        """httptools: part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """httptools: a header."""
        self.headers[name.decode().lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """httptools: the request head is complete."""
        if self.headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """httptools: part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """httptools: the request is complete."""
        method = self.parser.get_method().decode()
        self.pending.append(Request(method, self.target.decode("latin-1"), self.headers, bytes(self.body)))
        if self.task is None or self.task.done():
            self._answer_pending()

    def _answer_pending(self) -> None:
        """Answer the pending requests; only a delayed answer needs a task."""
        while self.pending and not self.transport.is_closing():
            request = self.pending.pop(0)
            rule = self.server.script.take(request.method, request.target)
            delay = max(
                self.server.paused_until - time.monotonic(),
                rule.seconds if rule is not None and rule.action == "stall" else self.server.delay,
            )
            if delay > 0:
                self.task = asyncio.create_task(self._answer_later(delay, rule, request))
                return
            self._answer(rule, request)

    async def _answer_later(self, seconds: float, rule: Rule | None, request: Request) -> None:
        await asyncio.sleep(seconds)
        self._answer(rule, request)
        self._answer_pending()

    def _answer(self, rule: Rule | None, request: Request) -> None:
        """Answer a request, or apply the fault of the rule."""
        action = rule.action if rule is not None else ""
        if action == "cut":
            self.transport.abort()
            return
        answer = self._unexecuted_answer(rule)
        if answer is not None:
            self._write(answer, request.method)
            return
        answer = self.server.handle(*request)
        if action == "run-cut":
            self.transport.abort()
            return
        self._write(answer, request.method, TRUNCATED_ANSWER_BYTES if action == "answer-cut" else None)
        if action == "answer-die":
            asyncio.get_running_loop().call_soon(self.server.die)

    def _unexecuted_answer(self, rule: Rule | None) -> Answer | None:
        """Return the answer to a request that is not executed; None if the request is to be executed."""
        match rule.action if rule is not None else "":
            case "refuse":
                return NOT_EXECUTED
            case "error":
                return 500, {}, b""
            case "status":
                assert rule is not None
                return rule.status, {}, b""
        return NOT_EXECUTED if self.server.draining else None

    def _write(self, answer: Answer, method: str, limit: int | None = None) -> None:
        """Send an answer; with `limit` send only its first `limit` bytes and close the connection."""
        status, headers, data = answer
        lines = [
            f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if status not in (204, 304):
            lines.append(f"Content-Length: {len(data)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        self.transport.write((head if method == "HEAD" else head + data)[:limit])
        if limit is not None:
            self.transport.close()
