"""Clients of the stop soak: streams, pipelined requests and bodies in parts on connections that are kept.

A client sends on its connection until the connection is gone, and gives up a stream that is silent for too
long. Some heed `Connection: close` and send nothing
after it, others go on.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import time
from contextlib import suppress
from dataclasses import dataclass
from math import inf

from real_processes import HOST, Gateway
from stop_soak_judge import Sent, SentConnection, StopJudge, connection_key, peer_has_ended

CONNECT_S = 1.0
STREAM_ROUTES = ("talk", "once")  # resumable and not
STREAM_TIMEOUT_S = 8.0
PLAIN_TIMEOUT_S = 6.0  # of the other routes
SHORT_STREAMS_S, LONG_STREAMS_S = (0.1, 2.0), (2.0, 7.5)  # how long they last
LONG_SHARE = 0.3  # of the streams
SILENCES_S = (0.8, 3.5)  # how long an instance is silent in the middle of a stream
SILENT_SHARE = 0.3  # of the streams
GIVES_UP_AFTER_S = 2.0  # without a byte of a stream that has begun
DEADLINES_S = (2.0, 10.0)
PARTS = (2, 5)
PART_PAUSE_S = 0.4
PAUSE_S = 0.3
DEPTHS = (1, 1, 2, 4)  # requests without an answer that a client has at most
BODY_BYTES = 400
ANSWER_S = 30.0  # a client waits no longer for an answer
RESUMABLE, NOT_RESUMABLE = STREAM_ROUTES


@dataclass(frozen=True, slots=True)
class Habits:
    """How one client uses its connection."""

    depth: int
    in_parts: bool
    heeds_close: bool


class StopClients:
    """Makes clients, each with habits drawn at random."""

    def __init__(self, draw: random.Random, judge: StopJudge) -> None:
        self.draw = draw
        self.judge = judge
        self._numbers = itertools.count(1)

    async def run(self, gateway: Gateway, stopping: asyncio.Event) -> None:
        """Use one connection after another until told to stop."""
        host, port = gateway.front.split(":")
        while not stopping.is_set():
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            habits = Habits(
                self.draw.choice(DEPTHS), self.draw.random() < 0.4, heeds_close=self.draw.random() < 0.7
            )
            client = StopClient(self, gateway.name, habits, reader, writer)
            await client.run(stopping)

    def next_id(self) -> str:
        """An id that no other request has."""
        return f"{os.getpid() & 0xFFFF:04x}{next(self._numbers):012x}"


class StopClient:
    """One connection: a task that sends, and one that reads the answers in their order."""

    def __init__(
        self,
        clients: StopClients,
        gateway: str,
        habits: Habits,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._clients, self._habits = clients, habits
        self._reader, self._writer = reader, writer
        self._draw, self._judge = clients.draw, clients.judge
        self._connection = SentConnection(gateway, connection_key(writer.get_extra_info("socket")))
        self._may_send = asyncio.Event()
        self._may_send.set()
        self._close_announced = False

    async def run(self, stopping: asyncio.Event) -> None:
        """Send and read until the connection is gone, or all is answered and the soak ends."""
        self._judge.open.add(self._connection)
        sending = asyncio.create_task(self._send_requests(stopping))
        try:
            await self._read_answers(sending)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except TimeoutError:
            self._judge.violations.append(f"no answer within {ANSWER_S:g} s: {self._connection.waiting}")
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            self._judge.ended(self._connection, time.monotonic())
            self._writer.close()
            with suppress(OSError):
                await self._writer.wait_closed()

    # ------------------------------------------------------------ sending

    async def _send_requests(self, stopping: asyncio.Event) -> None:
        with suppress(OSError):
            while not stopping.is_set() and not (self._close_announced and self._habits.heeds_close):
                await self._may_send.wait()
                together = self._draw.randint(1, max(1, self._habits.depth - len(self._connection.waiting)))
                if self._habits.in_parts:
                    await self._send_in_parts()
                else:
                    self._send_together(together if self._draw.random() < 0.3 else 1)
                if self._draw.random() < 0.5:
                    await asyncio.sleep(self._draw.uniform(0.0, PAUSE_S))

    def _send_together(self, count: int) -> None:
        """Send requests in one write."""
        data, begun = b"", self._connection.written
        for _ in range(count):
            sent, head, body = self._new_request()
            data += head + body
            sent.end = begun + len(data)
        self._write(data)

    async def _send_in_parts(self) -> None:
        """Send a request whose body comes in parts."""
        sent, head, body = self._new_request()
        parts = self._draw.randint(*PARTS)
        size = len(body) // parts
        self._write(head)
        for number in range(parts):
            await asyncio.sleep(self._draw.uniform(0.0, PART_PAUSE_S))
            last = number == parts - 1
            part = body[number * size : None if last else (number + 1) * size]
            if last:
                sent.end = self._connection.written + len(part)
            self._write(part)

    def _write(self, data: bytes) -> None:
        """Write what the kernel takes at once: requests are smaller than its buffers."""
        too_late = peer_has_ended(self._writer.get_extra_info("socket"))
        self._writer.write(data)
        self._connection.written += len(data)
        for sent in self._connection.waiting:
            if sent.end and sent.sent_at == inf:
                sent.sent_at, sent.too_late = time.monotonic(), too_late

    def _new_request(self) -> tuple[Sent, bytes, bytes]:
        """A request, its head and its body; it waits for an answer from now on."""
        kind = self._draw.choice(("unsafe", "slow", *STREAM_ROUTES, *STREAM_ROUTES))
        streams = kind in STREAM_ROUTES
        lasting_s = LONG_STREAMS_S if self._draw.random() < LONG_SHARE else SHORT_STREAMS_S
        silent_s = self._draw.uniform(*SILENCES_S) if self._draw.random() < SILENT_SHARE else 0.0
        path = f"/{kind}/{silent_s:.2f}/{self._draw.uniform(*lasting_s):.2f}" if streams else f"/{kind}/x"
        deadline_s = self._draw.uniform(*DEADLINES_S)
        limit_s = min(deadline_s, STREAM_TIMEOUT_S if streams else PLAIN_TIMEOUT_S)
        sent = Sent(self._clients.next_id(), path, limit_s)
        self._connection.waiting.append(sent)
        if len(self._connection.waiting) >= self._habits.depth:
            self._may_send.clear()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {sent.id}\r\n"
            f"Deadline-Ms: {deadline_s * 1000:.0f}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        return sent, head.encode(), b"q" * BODY_BYTES

    # ------------------------------------------------------------ reading

    async def _read_answers(self, sending: asyncio.Task[None]) -> None:
        while True:
            while not self._connection.waiting:
                if sending.done():
                    return
                await self._wait_for_end_or_request()
            async with asyncio.timeout(ANSWER_S):
                await self._read_answer()

    async def _wait_for_end_or_request(self) -> None:
        """Wait until there is a request to be answered; an end while there is none is in order."""
        if self._reader.at_eof():
            raise asyncio.IncompleteReadError(b"", None)
        await asyncio.sleep(0.005)

    async def _read_chunk(self) -> bytes:
        """Read one chunk of a stream; empty if it is the last one.

        Raises:
            ConnectionAbortedError: the client gives up, as the stream was silent for too long.
        """
        try:
            async with asyncio.timeout(GIVES_UP_AFTER_S):
                size = int(await self._reader.readline(), 16)
                return (await self._reader.readexactly(size + 2))[:size]
        except TimeoutError:
            self._connection.given_up = True
            raise ConnectionAbortedError from None

    async def _read_stream(self, sent: Sent) -> None:
        """Read a stream to its end."""
        while chunk := await self._read_chunk():
            sent.stream += chunk
        self._judge.stream_ended(sent, complete=True)

    async def _read_answer(self) -> None:
        """Read one complete answer: it is the first waiting request's."""
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {name.lower(): text.strip() for name, _, text in (one.partition(":") for one in lines[1:])}
        if headers.get("connection", "").lower() == "close":
            self._close_announced = True
        if headers.get("transfer-encoding") == "chunked":
            await self._read_stream(self._connection.waiting[0])
        else:
            await self._reader.readexactly(int(headers.get("content-length", "0")))
        sent = self._connection.waiting.pop(0)
        self._may_send.set()
        self._judge.judged[f"answers {status}"] += 1
        if headers.get("request-id", sent.id) != sent.id:
            self._judge.violations.append(f"MIXED: {sent} got the answer to {headers['request-id']}")
        if status in (429, 503) and self._judge.runs.get(sent.id):
            self._judge.violations.append(f"REFUSED: {sent} got {status}, and has run")
