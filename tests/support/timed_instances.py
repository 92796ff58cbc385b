"""Stand-in instances that take their time and keep account of it, for tests in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from failing_instances import ByName

from mallowbeam.router.admission.messages import Plan, PlanRequest, Rejection
from mallowbeam.standins.model_server import ModelServer, ReceivedRequest, chunk


def now() -> float:
    """The loop's clock, in seconds."""
    return asyncio.get_running_loop().time()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it reached an instance."""

    at: float
    seen: ReceivedRequest

    @property
    def deadline_ms(self) -> int:
        """The time that the instance was handed."""
        return int(self.seen.headers["deadline-ms"])


@dataclass
class Timed(ModelServer):
    """Works `takes_s` seconds on each request before it answers; ends at once where its caller closes."""

    takes_s: float = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    working: int = 0  # requests on which it works now

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if not seen.target.startswith("/mallowbeam/"):
            self.arrivals.append(Arrival(now(), seen))
        self.working += 1
        try:
            if self.takes_s:
                await self._work(reader, self.takes_s)
            return await super()._answer(seen, reader, writer)
        finally:
            self.working -= 1

    async def _work(self, reader: asyncio.StreamReader, seconds: float) -> None:
        """Work; raises where the caller closes first."""
        try:
            async with asyncio.timeout(seconds):
                await reader.read(1)
        except TimeoutError:
            return
        self.cancelled += 1
        raise ConnectionResetError


@dataclass
class Trickling(Timed):
    """Sends an endless stream, or an endless answer without a length, a piece every `apart_s` seconds."""

    apart_s: float = 0.2
    plain: bool = False

    async def _stream(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fault: object
    ) -> bool:
        kind = "text/plain" if self.plain else "text/event-stream"
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {seen.headers['request-id']}\r\n{self._stamp}"
                f"Content-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        number = int(seen.headers.get("last-event-id", "0"))
        while True:
            number += 1
            body = b"x" * 70_000 if self.plain else b"id: %d\ndata: token\n\n" % number
            writer.write(chunk(body))
            await self._work(reader, self.apart_s)


class Held(ByName):
    """Has every request wait `start_in_s` before it is sent."""

    def __init__(self, start_in_s: float, *readers: str) -> None:
        super().__init__(*readers)
        self.start_in_s = start_in_s

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """As by name, but later."""
        planned = super().plan(request, now)
        return planned if isinstance(planned, Rejection) else replace(planned, start_in_s=self.start_in_s)
