"""Open-loop clients, and storage nodes that record the requests that reach them.

Clients send at moments drawn from the seed, whether earlier requests have ended or not.  Each request has a
connection of its own, which stays open a little after the response, so that a second response would be seen.
The upper bits of a request's id number its gateway.  Nodes record a request once it is complete, before they
execute it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import httptools

from mallowbeam.lab.faults.observations import (
    ConnectionChanged,
    Observations,
    RequestArrived,
    RequestExecuted,
    RequestSent,
    ResponseReceived,
)
from mallowbeam.standins.faults import Rule, Script
from mallowbeam.standins.node import Answer, Connection, ObjectNode

RESPONSE_TIMEOUT_S = 4.0  # seconds that a client waits for a response; deadlines are shorter
LINGER_S = 0.05  # seconds that it listens for a second response
TICK_S = 0.01  # seconds between two measurements of the recorder's own delay
MAX_IN_FLIGHT = 400  # requests of one gateway's clients; beyond these none is sent
READ_BYTES = 65536
DEADLINE_MS = 1500
MIN_FINAL_STATUS = 200  # below it a response is an interim one


class RecorderDelay:
    """Measures how late this process itself runs, which no node or gateway is to blame for."""

    def __init__(self) -> None:
        self.last = time.monotonic()
        self.spans = [(0.0, 0.0)]  # monotonic time at the end of a delay, and its length; seconds

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            self.last = time.monotonic()
            await asyncio.sleep(TICK_S)
            if (over := time.monotonic() - self.last - TICK_S) > TICK_S:
                self.spans.append((time.monotonic(), over))

    def at(self, now: float) -> float:
        """By how many seconds an event recorded at `now` may be late."""
        until, over = self.spans[-1]
        return max(now - self.last - TICK_S, over if now - until < over else 0.0, 0.0)


class RecordedConnections(set[Connection]):
    """A stand-in's open connections; `on_change` is called with True for one opened, False for one closed."""

    def __init__(self, on_change: Callable[[bool], None]) -> None:
        super().__init__()
        self.on_change = on_change

    def add(self, connection: Connection) -> None:
        """A connection was opened."""
        super().add(connection)
        self.on_change(True)

    def discard(self, connection: object) -> None:
        """A connection was closed."""
        if connection in self:
            self.remove(connection)  # type: ignore[arg-type]
            self.on_change(False)


class Arrivals(Script):
    """A fault script without faults; `on_arrival` is called with the path of each complete request."""

    def __init__(self, on_arrival: Callable[[str], None]) -> None:
        super().__init__()
        self.on_arrival = on_arrival

    def take(self, method: str, path: str) -> Rule | None:
        """A request is complete; no fault applies to it."""
        self.on_arrival(path)
        return super().take(method, path)


class RecordingNode(ObjectNode):
    """A storage node that records arrivals, executions and connections."""

    def __init__(
        self, name: str, observations: Observations, recorder: RecorderDelay, began: float, delay: float
    ) -> None:
        self.name = name
        self.observations = observations
        self.recorder = recorder
        self.began = began
        super().__init__(delay=delay, script=Arrivals(self._arrived))
        self.connections = RecordedConnections(self._linked)

    def _arrived(self, path: str) -> None:
        now = time.monotonic()
        if (number := path.rpartition("/")[2]) and path.startswith("/new-write/"):
            self.observations.add(RequestArrived(now - self.began, self.name, number, self.recorder.at(now)))

    def _linked(self, opened: bool) -> None:
        self.observations.add(ConnectionChanged(time.monotonic() - self.began, self.name, opened))

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Execute a request."""
        if target.startswith("/new-write/"):
            self.observations.add(
                RequestExecuted(time.monotonic() - self.began, self.name, target.rpartition("/")[2])
            )
        return super().handle(method, target, headers, body)


class _ResponseReader:
    """Parses the responses on one connection; `on_response` is called with the status of each final one."""

    def __init__(self, on_response: Callable[[int], None]) -> None:
        self.on_response = on_response
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Called by httptools: a response is complete."""
        if (status := self.parser.get_status_code()) >= MIN_FINAL_STATUS:
            self.on_response(status)


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """The load of one gateway's clients: requests a second, and what they address."""

    rate: float
    shards: int
    volumes: int = 4


class Clients:
    """The clients of one gateway, which is named g0, g1 and so on and listens at `port` on loopback."""

    def __init__(
        self,
        observations: Observations,
        gateway: str,
        port: int,
        began: float,
        seed: int,
        profile: LoadProfile,
    ) -> None:
        self.observations = observations
        self.gateway = gateway
        self.port = port
        self.began = began
        self.rng = random.Random(seed)
        self.profile = profile
        self.number = int(gateway[1:]) << 32
        self.in_flight: set[asyncio.Task[None]] = set()

    def _now(self) -> float:
        """Seconds from the trial's start."""
        return time.monotonic() - self.began

    async def run(self) -> None:
        """Send requests until cancelled; then wait for those in flight."""
        due = time.monotonic()
        try:
            while True:
                due += self.rng.expovariate(self.profile.rate)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if len(self.in_flight) < MAX_IN_FLIGHT:
                    self._send_one()
        finally:
            await asyncio.gather(*self.in_flight, return_exceptions=True)

    def _send_one(self) -> None:
        """Start the next request, to a random volume and shard."""
        self.number += 1
        volume = self.rng.randrange(self.profile.volumes) + 1
        shard = self.rng.randrange(self.profile.shards)
        task = asyncio.create_task(self._request(f"{self.number:016x}", f"{volume:016x}", shard))
        self.in_flight.add(task)
        task.add_done_callback(self.in_flight.discard)

    async def _request(self, id: str, volume: str, shard: int) -> None:
        """Send one request and record how it ends."""
        self.observations.add(RequestSent(self._now(), self.gateway, id, volume, shard=shard))
        writer: asyncio.StreamWriter | None = None
        statuses: list[int] = []

        def on_response(status: int) -> None:
            statuses.append(status)
            self.observations.add(ResponseReceived(self._now(), id, status))

        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(_request_bytes(id, volume, shard))
                parser = _ResponseReader(on_response).parser
                while not statuses and (data := await reader.read(READ_BYTES)):
                    parser.feed_data(data)
            with suppress(TimeoutError):
                async with asyncio.timeout(LINGER_S):
                    while data := await reader.read(READ_BYTES):
                        parser.feed_data(data)
        except (OSError, TimeoutError, httptools.HttpParserError):
            pass
        finally:
            if not statuses:
                self.observations.add(ResponseReceived(self._now(), id, 0, writer is not None))
            if writer is not None:
                writer.close()


def _request_bytes(id: str, volume: str, shard: int) -> bytes:
    """A write of one byte to a volume, in the gateway's protocol."""
    return (
        f"PUT /new-write/{volume}/{id} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\n"
        f"X-Class: new-write\r\nX-Storage-Class: silver\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
        f"X-Extent: units=1,shard={shard},hosts=1\r\nIdempotency-Key: {id}\r\n"
        "Content-Length: 1\r\n\r\nx"
    ).encode()
