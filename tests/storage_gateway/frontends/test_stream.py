"""Streamed bodies in both directions and all forms of HTTP/1.1 framing, on loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from scenario import TIMEOUT_S, World, play

from mallowbeam.http import connection
from mallowbeam.http.stream import MAX_QUEUED_CHUNKS, Stream
from mallowbeam.storage_gateway.frontends import platform
from mallowbeam.storage_gateway.server import gateway

NL = "\\r\\n"
WRITE = "/new-write/00000000000000aa/0000000000000001"
HEAD = (
    "x-request-id:00000000000000f1 x-class:new-write x-storage-class:silver x-deadline-ms:2000 "
    "x-extent:units=1,shard=0,hosts=1 idempotency-key:k"
)
RAW = f"PUT {WRITE} HTTP/1.1{NL}" + NL.join(HEAD.split()).replace(":", ": ") + NL
RAW_HTTP_1_0 = f"PUT {WRITE} HTTP/1.0{NL}" + NL.join(HEAD.split()).replace(":", ": ") + NL
LARGE = 300_000
START = f"{RAW}content-length: {LARGE}{NL}{NL}"
ANSWER = f"HTTP/1.1 200 OK{NL}content-length: {LARGE}{NL}{NL}"


def test_a_stream_holds_a_few_pieces_and_its_filler_waits():
    """Guards memory: a body of 32 MB must not accumulate here while its consumer is slow."""

    async def run() -> None:
        closed = []
        stream = Stream(closed=lambda: closed.append(1))
        filler = asyncio.create_task(fill(stream))
        for _ in range(50):
            await asyncio.sleep(0)
        assert stream._chunks.qsize() == MAX_QUEUED_CHUNKS and not filler.done()
        assert await stream.get() == b"x"
        stream.close()
        stream.close()
        await filler  # a blocked producer continues
        assert closed == [1]

    async def fill(stream: Stream) -> None:
        for _ in range(99):
            await stream.put(bytearray(b"x"))

    uvloop.run(run())


def test_a_large_request_goes_to_its_node_as_it_comes():
    """Guards against 413 for bodies too large to buffer: the node has the headers before the body ends."""

    async def run() -> None:
        async with World() as world:
            await world.play(f"c1 send raw '{START}' fill=100000")
            async with asyncio.timeout(TIMEOUT_S):
                while not world.gateway.pool.count:
                    await asyncio.sleep(0)
            assert world.gateway.metrics.upstream_requests == 0
            await world.play("c1 send raw '' fill=200000")
            await world.play(f"""
                n0 expect PUT 'content-length: {LARGE}' 'idempotency-key: k'
                n0 send 200 body=stored
                c1 expect 200 stored
                c1 send read
                n0 expect GET
                n0 send 200 body=x
                c1 expect 200
            """)
            assert bytes(world.parties["n0"].seen[0].body) == b"x" * 300_000

    uvloop.run(run())


def test_a_large_answer_reaches_its_client_before_its_end_and_byte_for_byte():
    async def run() -> None:
        async with World() as world:
            await world.play("c1 send read deadline=300\nn0 expect GET")
            await world.play(f"n0 send raw '{ANSWER}' fill=100000")
            async with asyncio.timeout(TIMEOUT_S):
                while not any(c.writing for c in world.gateway.servers[-1].connections):
                    await asyncio.sleep(0)
            await asyncio.sleep(0.4)  # past the deadline, which does not end an answer that has begun
            await world.play("n0 send raw '' fill=200000\nc1 expect 200")
            assert bytes(world.parties["c1"].seen[0].body) == b"x" * 300_000
            await world.play("c1 send read\nn0 expect GET\nn0 send 200 body=x\nc1 expect 200 x")

    uvloop.run(run())


def test_an_answer_truncated_midstream_is_not_retried():
    """Guards the one final answer: the client sees the connection end, and the request is not retried."""
    play(f"""
        c1 send read
        n0 expect GET
        n0 send raw '{ANSWER}' fill=100000
        wait 0.05
        n0 close
        c1 expect end
        n0 expect nothing
    """)


def test_a_large_answer_that_breaks_before_its_first_byte_is_tried_again():
    play(f"""
        c1 send read
        n0 expect GET
        n0 send raw '{ANSWER}'
        wait 0.02
        n0 close
        n0 expect GET
        n0 send 200 body=x
        c1 expect 200 x
    """)


def test_an_endless_answer_is_cut_off(monkeypatch):
    """Guards against a node that never stops sending: chunked framing declares no length beforehand."""
    monkeypatch.setattr(platform, "MAX_STREAMED_BYTES", 200_000)
    play(f"""
        c1 send read
        n0 expect GET
        n0 send raw 'HTTP/1.1 200 OK{NL}transfer-encoding: chunked{NL}{NL}ffffff{NL}' fill=300000
        n0 expect end
        c1 expect end
    """)


def test_an_upload_that_breaks_at_the_node_is_refused_and_not_sent_again():
    """Guards against a second execution: forwarded bytes are not kept and cannot be sent again."""
    connections = []

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(50_000)
        writer.transport.abort()

    async def run() -> None:
        served = await asyncio.start_server(node, "127.0.0.1", 0)
        async with World(servers=["{}:{}".format(*served.sockets[0].getsockname())]) as world:
            await world.play(f"""
                c1 send raw '{RAW}content-length: 9000000{NL}{NL}' fill=1000000
                c1 expect 503 'connection: close'
                c1 expect end
            """)
        assert len(connections) == 1

    uvloop.run(run())


def test_a_large_request_in_chunks_reaches_its_node_in_chunks():
    play(f"""
        c1 send raw '{RAW}transfer-encoding: chunked{NL}{NL}15f90;a=b{NL}' fill=90000
        wait 0.02
        c1 send raw '{NL}186a0{NL}' fill=100000
        c1 send raw '{NL}0{NL}x-t: 1{NL}{NL}'
        n0 expect PUT 'transfer-encoding: chunked' '\\n\\nx{{190000}}$'
        n0 send 200 body=x
        c1 expect 200 x
    """)


def test_an_upload_without_a_node_is_refused_instead_of_100_continue():
    play(f"""
        c1 send raw '{RAW.replace("shard=0", "shard=1")}expect: 100-continue{NL}content-length: 70000{NL}{NL}'
        c1 expect 503 'connection: close'
        c1 expect end
        n0 expect nothing
    """)


def test_an_upload_that_expects_100_continue_gets_it_once_the_node_is_there():
    play(f"""
        c1 send raw '{RAW}expect: 100-continue{NL}content-length: {LARGE}{NL}{NL}'
        c1 expect 100
        c1 send raw '' fill=300000
        n0 expect PUT
        n0 send 200 body=x
        c1 expect 200
    """)


def test_an_old_client_gets_no_interim_answer():
    play(f"""
        c1 send raw '{RAW_HTTP_1_0}expect: 100-continue{NL}content-length: 2{NL}{NL}'
        wait 0.05
        c1 send raw 'ab'
        n0 expect PUT
        n0 send 200 body=x
        c1 expect 200 x
    """)


def test_an_upload_that_stalls_is_given_up_and_one_that_is_slow_is_not(monkeypatch):
    """A client may send at 64 kB a second, but one that stops must not hold a node's connection."""
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(gateway, "SWEEP_INTERVAL_S", 0.05)
    drip = "c1 send raw '' fill=20000\nwait 0.1\n"
    play(f"""
        c1 send raw '{START}' fill=100000
        wait 0.1
        {drip * 10}
        n0 expect PUT
        n0 send 200 body=x
        c1 expect 200
        c2 send raw '{START}'
        c2 expect 503
        c2 expect end
    """)


@pytest.mark.parametrize(
    ("request_", "body"),
    [
        (
            f"{RAW}transfer-encoding: chunked{NL}{NL}3;a=b{NL}abc{NL}2{NL}de{NL}0{NL}x-t: 1{NL}{NL}",
            "abcde",
        ),
        (f"{NL}{NL}{RAW}content-length: 2 {NL}{NL}ab", "ab"),
        (f"{RAW}x-trace: t \\t{NL}content-length: 2\\t{NL}{NL}ab", "ab"),
        (f"{RAW.replace(' /', ' http://api.internal:80/')}content-length: 2{NL}{NL}ab", "ab"),
        (f"{RAW_HTTP_1_0}content-length: 2{NL}{NL}ab", "ab"),
    ],
    ids=["chunks", "blank lines", "space", "absolute", "1.0"],
)
def test_every_form_of_a_request_reaches_the_node_as_one(request_, body):
    play(f"""
        c1 send raw '{request_}'
        n0 expect 'PUT {WRITE}' '\\n\\n{body}$'
        n0 send 200 body=x
        c1 expect 200 x
    """)


@pytest.mark.parametrize("size", [5, 100_000])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("form", ["chunks", "close", "length"])
def test_every_form_of_an_answer_reaches_the_client_whole(size, version, form):
    answer = {
        "chunks": f"transfer-encoding: chunked{NL}{NL}{size:x};e=f{NL}",
        "close": NL,
        "length": f"content-length: {size}{NL}{NL}",
    }[form]
    end = {"chunks": f"n0 send raw '{NL}0{NL}x-t: 1{NL}{NL}'", "close": "n0 end", "length": ""}[form]
    head = RAW.replace("HTTP/1.1", f"HTTP/{version}")
    play(f"""
        c1 send raw '{head}content-length: 0{NL}{NL}'
        n0 expect PUT
        n0 send raw 'HTTP/1.1 200 OK{NL}{answer}' fill={size}
        wait 0.05
        {end}
        c1 expect 200 '\\n\\nx{{{size}}}$'
    """)


@pytest.mark.parametrize("call", ["c1 send HEAD /healthz", "h1 send HEAD /status", "q1 send HEAD /_ready"])
def test_an_answer_to_head_has_no_body(call):
    """Guards the connection: bytes after the headers would be read as the next answer."""

    async def run() -> None:
        async with World() as world:
            name, _, line = call.partition(" ")
            reader, writer = await asyncio.open_connection(
                *{"c1": world.platform, "h1": world.health, "q1": world.admin}[name]
            )
            start = line.removeprefix("send ")
            writer.write(f"{start} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode())
            data = await reader.read()
            assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"\r\n\r\n")

    uvloop.run(run())


@pytest.mark.parametrize("front", ["c", "o"])
def test_an_absolute_target_counts_from_its_path(front):
    play(f"""
        {front}1 send raw 'GET http://other/_/other HTTP/1.1{NL}host: x{NL}{NL}'
        {front}1 expect 400
    """)
