"""Clients in open loop, and nodes that record what reaches them.

Clients ask at moments drawn from the seed, whether earlier requests are answered or not, each on a connection
of its own that is held a little after the answer, so that a second answer would be seen.  A request's id says
at which gateway it was asked.  Nodes record a request when it is whole, before they do anything with it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress

import httptools

from mallowbeam.lab.faults import seen as s
from mallowbeam.standins.faults import Rule, Script
from mallowbeam.standins.node import Answer, Connection, ObjectNode

WAIT_S = 4.0  # seconds that a client waits for an answer; deadlines are shorter
LINGER_S = 0.05  # seconds that it listens for a second answer
TICK_S = 0.01  # seconds between two looks at how late the recorder itself is
MOST_OUT = 400  # requests of the clients that are out; beyond these none is asked


class Late:
    """How late this process itself is: no node or gateway is to blame for that."""

    def __init__(self) -> None:
        self.last, self.spans = time.monotonic(), [(0.0, 0.0)]  # until when, and how late

    async def watch(self) -> None:
        """Look all the time."""
        while True:
            self.last = time.monotonic()
            await asyncio.sleep(TICK_S)
            if (over := time.monotonic() - self.last - TICK_S) > TICK_S:
                self.spans.append((time.monotonic(), over))

    def at(self, now: float) -> float:
        """How late something recorded now may be."""
        until, over = self.spans[-1]
        return max(now - self.last - TICK_S, over if now - until < over else 0.0, 0.0)


class Links(set[Connection]):
    """A stand-in's connections, each recorded as it comes and goes."""

    def __init__(self, told: Callable[[bool], None]) -> None:
        super().__init__()
        self.told = told

    def add(self, connection: Connection) -> None:
        """One is opened."""
        super().add(connection)
        self.told(True)

    def discard(self, connection: object) -> None:
        """One is closed."""
        if connection in self:
            self.remove(connection)  # type: ignore[arg-type]
            self.told(False)


class Arrivals(Script):
    """A script without faults that records what it is asked about."""

    def __init__(self, told: Callable[[str], None]) -> None:
        super().__init__()
        self.told = told

    def take(self, method: str, path: str) -> Rule | None:
        """A request is whole."""
        self.told(path)
        return super().take(method, path)


class RecordingNode(ObjectNode):
    """A node that records arrivals, runs and connections."""

    def __init__(self, name: str, record: s.Record, late: Late, began: float, delay: float) -> None:
        self.name, self.record, self.late, self.began = name, record, late, began
        super().__init__(delay=delay, script=Arrivals(self._arrived))
        self.connections = Links(self._linked)

    def _arrived(self, path: str) -> None:
        now = time.monotonic()
        if (number := path.rpartition("/")[2]) and path.startswith("/new-write/"):
            self.record.add(s.Arrived(now - self.began, self.name, number, self.late.at(now)))

    def _linked(self, opened: bool) -> None:
        self.record.add(s.Linked(time.monotonic() - self.began, self.name, opened))

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Run a request."""
        if target.startswith("/new-write/"):
            self.record.add(s.Ran(time.monotonic() - self.began, self.name, target.rpartition("/")[2]))
        return super().handle(method, target, headers, body)


class _Reading:
    """Answers as a client reads them."""

    def __init__(self, told: Callable[[int], None]) -> None:
        self.told, self.parser = told, httptools.HttpResponseParser(self)
        self.ended = asyncio.Event()

    def on_message_complete(self) -> None:
        """httptools: an answer is whole."""
        if (status := self.parser.get_status_code()) >= 200:
            self.told(status)
            self.ended.set()


class Clients:
    """The clients of one gateway."""

    def __init__(
        self,
        record: s.Record,
        gateway: str,
        port: int,
        began: float,
        seed: int,
        rate: float,
        shards: int,
        volumes: int = 4,
    ) -> None:
        self.record, self.gateway, self.port, self.began = record, gateway, port, began
        self.rng, self.rate, self.shards, self.volumes = random.Random(seed), rate, shards, volumes
        self.number = int(gateway[1:]) << 32
        self.out: set[asyncio.Task[None]] = set()

    def _now(self) -> float:
        return time.monotonic() - self.began

    async def run(self) -> None:
        """Ask until cancelled; what is out then is waited for."""
        due = time.monotonic()
        try:
            while True:
                due += self.rng.expovariate(self.rate)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if len(self.out) < MOST_OUT:
                    self.number += 1
                    task = asyncio.create_task(
                        self._ask(
                            self.number, self.rng.randrange(self.volumes) + 1, self.rng.randrange(self.shards)
                        )
                    )
                    self.out.add(task)
                    task.add_done_callback(self.out.discard)
        finally:
            await asyncio.gather(*self.out, return_exceptions=True)

    async def _ask(self, number: int, volume: int, shard: int) -> None:
        name, place = f"{number:016x}", f"{volume:016x}"
        head = (
            f"PUT /new-write/{place}/{name} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n"
            f"X-Class: new-write\r\nX-Storage-Class: silver\r\nX-Deadline-Ms: 1500\r\n"
            f"X-Extent: units=1,shard={shard},hosts=1\r\nIdempotency-Key: {name}\r\n"
            "Content-Length: 1\r\n\r\nx"
        ).encode()
        self.record.add(s.Asked(self._now(), self.gateway, name, place, shard=shard))
        writer: asyncio.StreamWriter | None = None
        statuses: list[int] = []

        def told(status: int) -> None:
            statuses.append(status)
            self.record.add(s.Answered(self._now(), name, status))

        try:
            async with asyncio.timeout(WAIT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(head)
                reading = _Reading(told)
                while not statuses and (data := await reader.read(65536)):
                    reading.parser.feed_data(data)
            with suppress(TimeoutError):
                async with asyncio.timeout(LINGER_S):
                    while data := await reader.read(65536):
                        reading.parser.feed_data(data)
        except (OSError, TimeoutError, httptools.HttpParserError):
            pass
        finally:
            if not statuses:
                self.record.add(s.Answered(self._now(), name, 0, writer is not None))
            if writer is not None:
                writer.close()
