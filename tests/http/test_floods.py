"""Malformed and excessive client input, on loopback sockets: rejected or closed, others are served."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest
import uvloop
from loguru import logger
from raw import HEALTH, RawClient, connect_client, request, send_unread, until
from scenario import World

from mallowbeam.http import connection as connections
from mallowbeam.http.framing import MAX_FRAMING_BYTES, READ_BUFFER_BYTES

PUT = {"method": "PUT", "cls": "new-write"}
KEY = "idempotency-key: k"
TLS = bytes.fromhex("16030100c8010000c40303") + bytes(range(200))


@pytest.fixture(autouse=True)
def no_logged_faults() -> Iterator[None]:
    """Client input must never cause a logged warning, error or traceback."""
    logged: list[str] = []
    sink = logger.add(logged.append, level="WARNING", backtrace=False)
    yield
    logger.remove(sink)
    assert not logged, logged


def put(*headers: str, body: bytes = b"") -> bytes:
    return request(1, KEY, *headers, **PUT) + body


async def serves_others(world: World) -> None:
    await world.play("c9 send GET /healthz\nc9 expect 200 serving")


BAD = {
    "two lengths": put("content-length: 1", "content-length: 2", body=b"ab"),
    "length and chunks": put("content-length: 1", "transfer-encoding: chunked", body=b"0\r\n\r\n"),
    "chunks and length": put("transfer-encoding: chunked", "content-length: 1", body=b"0\r\n\r\n"),
    "a list of lengths": put("content-length: 1, 1", body=b"a"),
    "a negative length": put("content-length: -1"),
    "a signed length": put("content-length: +1", body=b"a"),
    "a length in words": put("content-length: one", body=b"a"),
    "a length in hex": put("content-length: 0x1", body=b"a"),
    "an underscored length": put("content-length: 1_0", body=b"a" * 10),
    "a length of 21 digits": put("content-length: " + "9" * 21),
    "a length of 5000 digits": put("content-length: " + "9" * 5000),
    "a length over the bound": put("content-length: 999999999999"),
    "another coding": put("transfer-encoding: gzip", body=b"abc"),
    "a chunk of no size": put("transfer-encoding: chunked", body=b"zz\r\nabc\r\n"),
    "a huge chunk": put("transfer-encoding: chunked", body=b"f" * 20 + b"\r\nabc"),
    "a chunk without its end": put("transfer-encoding: chunked", body=b"1\r\nabcdef\r\n"),
    "a header without a colon": put("nothing here"),
    "a space before the colon": put("x : y"),
    "a null in a header": put("x: \x00y"),
    "a version of its own": request(1, version="9.9"),
    "HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "TLS": TLS,
    "a tunnel": b"CONNECT other:443 HTTP/1.1\r\nhost: other:443\r\n\r\n",
    "nulls": bytes(5000),
    "a long line": b"GET /" + b"x" * 30_000,
}


@pytest.mark.parametrize("raw", BAD.values(), ids=BAD.keys())
def test_malformed_requests_are_rejected_and_closed_while_others_are_served(raw):
    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, raw)
            await serves_others(world)
            got = await client.read()  # an orderly end, no reset
            assert got.startswith((b"HTTP/1.1 400", b"HTTP/1.1 413", b"HTTP/1.1 431")), got
            assert got.count(b"HTTP/1.1") == 1
            client.disconnect()
            await until(lambda: here.task.done())
            await world.play("n0 expect nothing")
            assert world.gateway.servers[-1].front.budget.used == 0

    uvloop.run(run())


@pytest.mark.parametrize("front", ["objects", "health", "admin"])
@pytest.mark.parametrize(
    "raw",
    [
        b"NONSENSE\r\n\r\n",
        TLS,
        b"GET / HTTP/1.1\r\nx: " + b"y" * 30_000,
        b"PUT /a/b HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
    ],
    ids=["line", "TLS", "head", "length"],
)
def test_every_endpoint_rejects_malformed_requests(front, raw):
    async def run() -> None:
        async with World() as world:
            client = RawClient(getattr(world, front))
            client.send_now(raw)
            assert (await client.read()).startswith(b"HTTP/1.1 4")

    uvloop.run(run())


ENDLESS = {
    "a line": (b"GET /", b"x" * 65536),
    "a header": (b"GET / HTTP/1.1\r\nx: ", b"y" * 65536),
    "headers": (b"GET / HTTP/1.1\r\n", b"x: y\r\n" * 10_000),
    "blank lines": (b"", b"\r\n" * 30_000),
    "chunk marks": (put("transfer-encoding: chunked") + b"1;", b"x" * 65536),
    "trailers": (put("transfer-encoding: chunked") + b"0\r\n", b"x: y\r\n" * 10_000),
    "a body": (put("content-length: 10") + b"x" * 10, b"x" * 65536),
    "noise": (b"", bytes(range(256)) * 256),
    "requests": (b"", b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n" * 1500),
}


@pytest.mark.parametrize("start, more", ENDLESS.values(), ids=ENDLESS.keys())
def test_a_flood_is_closed_within_limits_of_time_and_memory(start, more):
    """The client sends until the connection fails: the gateway answers, discards a limited amount, closes."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, start)
            most = 0

            async def flood() -> None:
                nonlocal most
                while True:
                    await client.loop.sock_sendall(client.sock, more)
                    most = max(most, here.channel.framer.pending_bytes)

            flooding = asyncio.create_task(flood())
            if start.endswith(b"x" * 10):  # a complete request precedes the flood and is answered first
                await world.play("n0 expect PUT\nn0 send 200 body=stored")
            await serves_others(world)
            with pytest.raises(ConnectionError):
                await asyncio.wait_for(flooding, 5)
            await until(lambda: here.task.done())
            assert most <= MAX_FRAMING_BYTES + READ_BUFFER_BYTES
            await world.play("n0 expect nothing")

    uvloop.run(run())


def test_endless_pipelining_is_read_ahead_up_to_a_limit():
    """While one request is answered, memory is limited: flow control holds back the client."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1))
            await world.play("n0 expect GET")
            flooding = asyncio.create_task(client.loop.sock_sendall(client.sock, HEALTH * 300_000))
            await until(lambda: here.reading_paused)
            looks = here.liveness_timer
            await until(lambda: here.liveness_timer is not looks)
            assert (
                len(here.channel.framer.ready)
                <= connections.MAX_PIPELINED + READ_BUFFER_BYTES // len(HEALTH) + 1
            )
            assert not flooding.done()
            await serves_others(world)
            flooding.cancel()
            await asyncio.wait([flooding])
            client.disconnect()
            await until(lambda: here.task.done() and not world.gateway.exchanges)

    uvloop.run(run())


TRICKLES = {
    "line": (b"G", b"ET "),
    "head": (request(1)[:40], b"xxx"),
    "upload": (put("content-length: 90000", body=b"x"), b"xxx"),
    "body": (put("content-length: 9", body=b"x"), b"xxx"),
    "chunk": (put("transfer-encoding: chunked", body=b"1"), b"000"),
    "trailer": (put("transfer-encoding: chunked", body=b"1\r\nx\r\n0\r\nx"), b"xxx"),
}


@pytest.mark.parametrize("raw, drops", TRICKLES.values(), ids=TRICKLES.keys())
def test_a_trickled_request_times_out(raw, drops):
    """A byte per second does not extend the request's time."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, raw)
            await until(lambda: here.incoming is not None)
            start = here.waiting_since
            for drop, passed in zip(drops, (1.0, 2.0, 2.4), strict=True):
                here.sweep(start + passed)
                assert not here.closing
                send_unread(client, here, bytes([drop]))
                await until(lambda: here.channel.peek() is None)
            assert (
                here.waiting_since - start < connections.REQUEST_TIMEOUT_S / 2
            )  # moved only while the consumer was slow
            here.sweep(here.waiting_since + connections.REQUEST_TIMEOUT_S + 0.01)
            # An upload is being forwarded already: its consumer reports the truncation.
            assert (await client.read()).startswith(b"HTTP/1.1 503" if b"90000" in raw else b"HTTP/1.1 408")
            client.disconnect()
            await until(lambda: here.task.done())

    uvloop.run(run())


def test_a_slow_upload_is_answered():
    """64 KiB/s is above the minimum rate: each second's bytes extend the time by more than a second."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, put("content-length: 1310720", body=b"x"))
            await until(lambda: here.streamed_request is not None)
            start, sent = here.waiting_since, 1
            for second in range(20):
                here.sweep(start + second)
                piece = min(65536, 1310720 - sent)
                send_unread(client, here, b"x" * piece)
                sent += piece
                await until(lambda: here.streamed_request is None or here.streamed_request.received == sent)  # noqa: B023
                here.waiting_since = start  # excludes the consumer's and this machine's delays
            await world.play("n0 expect PUT\nn0 send 200 body=stored")
            assert (await client.read(until=b"stored")).startswith(b"HTTP/1.1 200")

    uvloop.run(run())
