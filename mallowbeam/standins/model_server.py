"""Stand-in for an instance: a model server (prefill or decode) or a plain service, on loopback.

Faults are scripted: each request takes the next fault of `script`; without one it is answered correctly.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

EVENTS = 5  # events of a complete stream
FAULTY_EVENT = 3  # number of the event at which a stream fails
Headers = dict[str, str]


class Fault(Enum):
    """What the stand-in does instead of a correct answer."""

    REJECT = "reject"  # 503 with Not-Executed
    MISDIRECT = "misdirect"  # 421
    FAIL = "fail"  # 500 with its signature
    UNPROVEN_503 = "unproven_503"  # 503 without Not-Executed
    RESET = "reset"  # closes the connection once the request is read
    SILENT = "silent"  # never answers; waits until the client closes
    OTHER_ID = "other_id"  # an answer with the id of another request
    NO_SIGNATURE = "no_signature"
    TRUNCATED = "truncated"  # a stream ends inside its third event
    REPEAT_ID = "repeat_id"  # the third event repeats the second event's id
    STALLED = "stalled"  # a stream sends nothing after its second event
    SURPLUS = "surplus"  # a complete answer followed by another one


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as received."""

    method: str
    target: str
    headers: Headers
    body: bytes
    repeated: frozenset[str] = frozenset()  # names of headers that occur more than once


@dataclass
class ModelServer:
    """One instance; `keep_alive_s` is the keep-alive timeout that it announces, in seconds."""

    id: str
    stage: str = ""  # prefill, decode, or empty for a plain service
    keep_alive_s: int = 5
    script: deque[Fault] = field(default_factory=deque)
    seen: list[ReceivedRequest] = field(default_factory=list)
    handles: set[str] = field(default_factory=set)  # KV handles created here and not fetched yet
    freed: list[str] = field(default_factory=list)
    peers: dict[str, ModelServer] = field(default_factory=dict)  # prefill instances by address
    connections: int = 0  # accepted so far
    cancelled: int = 0  # requests whose client closed the connection first
    body: bytes = b"answer"
    gate: asyncio.Event | None = None  # a stream waits for it after its first event
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and cancel all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            while (seen := await read_request(reader)) is not None:
                if not await self._answer(seen, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if seen.target.startswith("/mallowbeam/kv-handle/"):
            return self._free(seen, writer)
        self.seen.append(seen)
        if seen.repeated & SINGLE:
            return self._respond(writer, seen, 400, b"ambiguous", "Not-Executed: 1\r\n")
        fault = self._next_fault(seen)
        if fault is Fault.RESET:
            return False
        if fault is Fault.SILENT:
            await reader.read()
            self.cancelled += 1
            return False
        return await self._serve(seen, reader, writer, fault)

    def _next_fault(self, seen: ReceivedRequest) -> Fault | None:
        """Return the next scripted fault; without one, MISDIRECT for a request to another instance."""
        fault = self.script.popleft() if self.script else None
        if fault is None and seen.headers.get("target-instance", self.id) != self.id:
            return Fault.MISDIRECT
        return fault

    async def _serve(
        self,
        seen: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: Fault | None,
    ) -> bool:
        """Answer by the stage of the instance; returns whether the connection stays open."""
        if fault in STATUSES:
            status, extra = STATUSES[fault]
            return self._respond(writer, seen, status, b"no", extra)
        if self.stage == "prefill":
            return self._prefill(seen, writer)
        if not self._take_handle(seen):
            return self._respond(writer, seen, 503, b"no memory", "Not-Executed: 1\r\n")
        if self.stage == "decode":
            return await self._stream(seen, reader, writer, fault)
        return self._answer_plain(seen, writer, fault)

    def _answer_plain(self, seen: ReceivedRequest, writer: asyncio.StreamWriter, fault: Fault | None) -> bool:
        """Answer as a plain service."""
        if fault is Fault.NO_SIGNATURE:
            return self._respond(writer, seen, 200, self.body, "")
        self._respond(writer, seen, 200, self.body, self._stamp, other=fault is Fault.OTHER_ID)
        if fault is Fault.SURPLUS:
            self._respond(writer, seen, 200, b"surplus", self._stamp)
        return True

    @property
    def _stamp(self) -> str:
        return f"Server-Signature: stamp.{self.id}\r\n"

    def _respond(
        self,
        writer: asyncio.StreamWriter,
        seen: ReceivedRequest,
        status: int,
        body: bytes,
        extra: str,
        other: bool = False,
    ) -> bool:
        name = "ffffffffffffffff" if other else seen.headers.get("request-id", "")
        head = (
            f"HTTP/1.1 {status} X\r\nRequest-Id: {name}\r\nKeep-Alive: timeout={self.keep_alive_s}\r\n"
            f"Content-Length: {len(body)}\r\n{extra}\r\n"
        )
        writer.write(head.encode() + body)
        return True

    def _free(self, seen: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        handle = seen.target.rpartition("/")[2]
        self.handles.discard(handle)
        self.freed.append(handle)
        return self._respond(writer, seen, 200, b"", "")

    def _prefill(self, seen: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if seen.headers.get("stage") != "prefill":
            return self._respond(writer, seen, 421, b"", "")
        handle = f"{len(self.seen):04x}{seen.headers['request-id'][:8]}"
        self.handles.add(handle)
        body = json.dumps({"kv_handle": handle, "tokens": 10, "revision": 1}).encode()
        return self._respond(writer, seen, 200, body, "Content-Type: application/json\r\n")  # never signed

    def _take_handle(self, seen: ReceivedRequest) -> bool:
        """Fetch the KV handle that a request names; False if it does not exist."""
        address, _, handle = seen.headers.get("kv-from", "").partition("/")
        if not address:
            return True
        peer = self.peers.get(address)
        if peer is None or handle not in peer.handles:
            return False
        peer.handles.discard(handle)
        return True

    async def _stream(
        self,
        seen: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: Fault | None,
    ) -> bool:
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {seen.headers.get('request-id', '')}\r\n{self._stamp}"
            f"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"Keep-Alive: timeout={self.keep_alive_s}\r\n\r\n"
        )
        writer.write(head.encode())
        first = int(seen.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if number == FAULTY_EVENT and fault is Fault.TRUNCATED:
                writer.write(chunk(event[:9]))
                return False
            if number == FAULTY_EVENT and fault is Fault.STALLED:
                await reader.read()
                self.cancelled += 1
                return False
            if number == FAULTY_EVENT and fault is Fault.REPEAT_ID:
                event = b"id: 2\ndata: token 2\n\n"
            writer.write(chunk(event))
            await writer.drain()
            if number == 1 and self.gate is not None:
                await self._wait_at(self.gate, reader)
        writer.write(b"0\r\n\r\n")
        return True

    async def _wait_at(self, gate: asyncio.Event, reader: asyncio.StreamReader) -> None:
        """Wait for the gate; raises ConnectionResetError if the client closes first."""
        opened, closed = asyncio.ensure_future(gate.wait()), asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((opened, closed), return_when=asyncio.FIRST_COMPLETED)
            if closed.done():
                self.cancelled += 1
                raise ConnectionResetError
        finally:
            opened.cancel()
            closed.cancel()


SINGLE = frozenset(
    ("request-id", "host", "deadline-ms", "last-event-id", "priority", "target-instance", "stage", "kv-from")
)
STATUSES = {
    Fault.REJECT: (503, "Not-Executed: 1\r\nRetry-After: 0.2\r\n"),
    Fault.MISDIRECT: (421, ""),
    Fault.FAIL: (500, "Server-Signature: stamp.failed\r\n"),
    Fault.UNPROVEN_503: (503, "Server-Signature: stamp.failed\r\n"),
}


def chunk(data: bytes) -> bytes:
    """Encode bytes as one HTTP chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """Read one request with a Content-Length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    pairs = [
        (name.strip().lower(), value.strip())
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    ]
    headers = dict(pairs)
    counts = Counter(name for name, _ in pairs)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(
        method, target, headers, body, frozenset(name for name in counts if counts[name] > 1)
    )
