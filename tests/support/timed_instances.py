"""Stand-in instances with a given service time that record arrivals, for tests in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from failing_instances import ByName
from stream_head import EVENT_STREAM, stream_head

from mallowbeam.router.admission.messages import Plan, PlanRequest, Rejection
from mallowbeam.standins.model_server import ModelServer, ReceivedRequest, chunk


def now() -> float:
    """Return the loop's clock in seconds."""
    return asyncio.get_running_loop().time()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as an instance received it."""

    at: float
    seen: ReceivedRequest

    @property
    def deadline_ms(self) -> int:
        """The deadline that the instance received."""
        return int(self.seen.headers["deadline-ms"])


@dataclass
class Timed(ModelServer):
    """Works `service_time_s` seconds on each request, then answers; stops if its caller disconnects."""

    service_time_s: float = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    working: int = 0  # requests in progress

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if not seen.target.startswith("/mallowbeam/"):
            self.arrivals.append(Arrival(now(), seen))
        self.working += 1
        try:
            if self.service_time_s:
                await self._work(reader, self.service_time_s)
            return await super()._answer(seen, reader, writer)
        finally:
            self.working -= 1

    async def _work(self, reader: asyncio.StreamReader, seconds: float) -> None:
        """Work for a number of seconds.

        Raises:
            ConnectionResetError: the caller disconnected first.
        """
        try:
            async with asyncio.timeout(seconds):
                await reader.read(1)
        except TimeoutError:
            return
        self.cancelled += 1
        raise ConnectionResetError


@dataclass
class EndlessAnswers(Timed):
    """Sends an endless stream, or an endless plain answer, one piece every `interval_s` seconds."""

    interval_s: float = 0.2
    plain: bool = False

    async def _stream(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fault: object
    ) -> bool:
        content_type = "text/plain" if self.plain else EVENT_STREAM
        writer.write(stream_head(seen.headers["request-id"], self._stamp, content_type))
        number = int(seen.headers.get("last-event-id", "0"))
        while True:
            number += 1
            body = b"x" * 70_000 if self.plain else b"id: %d\ndata: token\n\n" % number
            writer.write(chunk(body))
            await self._work(reader, self.interval_s)


@dataclass
class TimedStream(Timed):
    """Sends an event every `interval_s` seconds for `lasts_s` seconds, then ends the stream.

    After half of the events it sends nothing for `silent_s` seconds.
    """

    interval_s: float = 0.1
    lasts_s: float = 1.0
    silent_s: float = 0.0

    def event_numbers(self, seen: ReceivedRequest) -> range:
        """Return the numbers of the events of a request's stream."""
        first = int(seen.headers.get("last-event-id", "0")) + 1
        return range(first, first + round(self.lasts_s / self.interval_s))

    async def _stream(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fault: object
    ) -> bool:
        writer.write(stream_head(seen.headers["request-id"], self._stamp))
        numbers = self.event_numbers(seen)
        for number in numbers:
            writer.write(chunk(b"id: %d\ndata: token\n\n" % number))
            silent_s = self.silent_s if number == numbers.start + len(numbers) // 2 else 0.0
            await self._work(reader, self.interval_s + silent_s)
        writer.write(b"0\r\n\r\n")
        return True


class DelayedStart(ByName):
    """A planner that has every request wait `start_in_s` seconds before it is sent."""

    def __init__(self, start_in_s: float, *prefill_ids: str) -> None:
        super().__init__(*prefill_ids)
        self.start_in_s = start_in_s

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Select by name, with the delayed start."""
        planned = super().plan(request, now)
        return planned if isinstance(planned, Rejection) else replace(planned, start_in_s=self.start_in_s)
