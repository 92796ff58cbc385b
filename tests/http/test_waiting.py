"""Pipelined requests that wait on one connection: their deadline counts from their last byte."""

from __future__ import annotations

import uvloop
from raw import connect_client, request, until
from scenario import World

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.connection import MAX_PIPELINED
from mallowbeam.http.read_ahead import CHUNK_OVERHEAD_BYTES, MAX_READ_AHEAD_BYTES, ReadAhead

PIPE = MAX_PIPELINED + 20


def test_pipelined_requests_past_their_deadline_are_rejected_and_not_forwarded():
    """The requests queued behind one in progress are dated back, so that their deadlines have passed."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, b"".join(request(i) for i in range(1, PIPE + 1)))
            await world.play("n0 expect GET")
            await until(lambda: len(here.channel.framer.ready) + len(here.read_ahead.chunks) > MAX_PIPELINED)
            for waiting in here.channel.framer.ready:
                waiting.completed_at -= 60.0
            here.read_ahead.chunks = type(here.read_ahead.chunks)(
                (at - 60.0, data) for at, data in here.read_ahead.chunks
            )
            here.channel.framer.read_at -= 60.0
            await world.play("n0 send 200 body=one")
            answers: list[bytes] = []
            while len(answers) < PIPE:
                await client.read(until=b"\r\n\r\n")
                head, _, client.got = client.got.partition(b"\r\n\r\n")
                answers.append(head.rpartition(b"HTTP/1.1 ")[2][:3])
            assert answers == [b"200"] + [b"503"] * (PIPE - 1)
            await world.play("n0 expect nothing")
            assert world.gateway.metrics.upstream_requests == 1

    uvloop.run(run())


def test_a_request_that_did_not_wait_keeps_its_whole_deadline():
    async def run() -> None:
        async with World() as world:
            _, here = await connect_client(world, request(1))
            await world.play("n0 expect GET")
            assert 0.2 < float(world.parties["n0"].seen[0].get(b"x-deadline-ms")) / 1000 <= 0.3
            assert here.request.completed_at <= here.channel.last_activity

    uvloop.run(run())


def test_read_ahead_keeps_read_times_and_limits_small_chunks():
    """Limits memory under one-byte reads, whose chunks take up a hundred times their payload."""
    budget = BodyBudget(1 << 30)
    ahead = ReadAhead(budget)
    while not ahead.full:
        ahead.append(memoryview(b"x"), float(len(ahead.chunks)))
    assert (
        len(ahead.chunks) <= MAX_READ_AHEAD_BYTES / CHUNK_OVERHEAD_BYTES + 1 and budget.used == ahead.buffered
    )
    assert [ahead.popleft() for _ in range(2)] == [(0.0, b"x"), (1.0, b"x")]
    ahead.clear()
    assert budget.used == ahead.buffered == 0 and not ahead
