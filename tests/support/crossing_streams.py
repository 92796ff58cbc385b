"""Streams that the test writes itself, so that an event crosses whatever ends a read of it.

An event is cut into two writes, and the first or the second of them, or the whole event, arrives a chosen
number of loop turns before or after the other happening.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from stream_head import stream_head
from virtual_time import VirtualLoop

from mallowbeam.standins.model_server import EVENTS, ModelServer, ReceivedRequest, chunk

FORWARDED = 2  # events that the client has received before the silence
SETTLING_TURNS = 12  # turns of the loop after which nothing goes on any more
CUT = 9  # bytes of the encoded event in its first part


class Part(Enum):
    """Which part of the next event crosses."""

    WHOLE = "the whole event"
    TWO = "the event, in two writes at once"
    ENDS = "its end; its begin came before"
    BEGINS = "its begin; its end comes later"


def event(number: int) -> bytes:
    """Return one event of a stream, as `gateway_bench.events` has it."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


@dataclass
class WrittenByTest(ModelServer):
    """An instance that writes only what the test calls for, until the test ends it or its caller leaves."""

    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    writer: asyncio.StreamWriter | None = None

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.seen.append(seen)
        self.writer = writer
        self.arrived.set()
        leaving, ended = asyncio.ensure_future(reader.read(1)), asyncio.ensure_future(self.ended.wait())
        try:
            await asyncio.wait((leaving, ended), return_when=asyncio.FIRST_COMPLETED)
        finally:
            leaving.cancel()
            ended.cancel()
        return False

    def write(self, data: bytes) -> None:
        """Write bytes to the caller."""
        assert self.writer is not None
        self.writer.write(data)

    def write_events(self, first: int, last: int) -> None:
        """Write events, a chunk each."""
        for number in range(first, last + 1):
            self.write(chunk(event(number)))

    def begin_stream(self) -> None:
        """Write the head of a stream."""
        self.write(stream_head(self.seen[-1].headers["request-id"], self._stamp))

    def end_stream(self, after: int) -> None:
        """Write the events after that number, and the stream's end."""
        self.write_events(after + 1, EVENTS)
        self.write(b"0\r\n\r\n")

    def refuse(self, status: int, extra: str = "") -> None:
        """Write an answer that is no stream."""
        request_id = self.seen[-1].headers["request-id"]
        self.write(
            f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\nContent-Length: 0\r\n{extra}\r\n".encode()
        )

    def break_off(self) -> None:
        """Close the connection at once, inside whatever was written last."""
        assert self.writer is not None
        self.writer.transport.abort()
        self.ended.set()


@dataclass(frozen=True, slots=True)
class NextEvent:
    """The silent instance's next event, of which a part crosses."""

    instance: WrittenByTest
    part: Part

    def before(self) -> None:
        """Write what comes before the crossing."""
        if self.part is Part.ENDS:
            self.instance.write(self._parts[0])

    def cross(self) -> None:
        """Write what crosses."""
        begin, end = self._parts
        match self.part:
            case Part.WHOLE:
                self.instance.write(chunk(event(FORWARDED + 1)))
            case Part.TWO:
                self.instance.write(begin)
                self.instance.write(end)
            case Part.ENDS:
                self.instance.write(end)
            case Part.BEGINS:
                self.instance.write(begin)

    def after(self) -> None:
        """Write what comes after the crossing."""
        if self.part is Part.BEGINS:
            self.instance.write(self._parts[1])

    @property
    def _parts(self) -> tuple[bytes, bytes]:
        encoded = event(FORWARDED + 1)
        return chunk(encoded[:CUT]), chunk(encoded[CUT:])


async def turns(number: int) -> None:
    """Let the loop turn that often."""
    for _ in range(number):
        await asyncio.sleep(0)


async def cross(lead: int, write: Callable[[], None], end: Callable[[], None]) -> None:
    """Have `write` happen `lead` turns before `end`, or after it if that is negative, and let both settle."""
    first, second = (write, end) if lead >= 0 else (end, write)
    first()
    await turns(abs(lead))
    second()
    await turns(SETTLING_TURNS)


def pass_time(seconds: float) -> None:
    """Have the clock jump, so that a timer is due in the next turn."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.now += seconds
