"""Clients that disconnect while requests are pending, on loopback sockets: nothing more is forwarded."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from raw import LONG_LIMITS, RawClient, connect_client, request, send_unread, until
from scenario import World

from mallowbeam.http import connection as connections
from mallowbeam.http import read_ahead
from mallowbeam.http.connection import MAX_PIPELINED

MANY = 200  # more than is read ahead
DISCONNECTS = {
    "close": RawClient.disconnect,
    "reset": lambda client: client.disconnect(reset=True),
    "half": RawClient.end,
}


async def assert_nothing_more(world: World) -> None:
    """Checks that the pending call and its attempt are cancelled, and that no other reached the node."""
    await until(lambda: not world.gateway.exchanges and not world.gateway.attempts.tasks)
    await until(lambda: not world.gateway.servers[-1].connections)
    await world.play("n0 expect end\nn0 expect nothing")


def test_liveness_check_is_frequent_enough():
    """Starting a request 0.1 s after its client left is a violation; the check interval is half of that."""
    assert connections.LIVENESS_CHECK_INTERVAL_S <= 0.05


@pytest.fixture(params=[0, read_ahead.MAX_READ_AHEAD_BYTES], ids=["none", "much"])
def read_ahead_limit(monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest) -> int:
    """The read-ahead limit; beyond it a disconnect is only found by the liveness check."""
    monkeypatch.setattr(read_ahead, "MAX_READ_AHEAD_BYTES", request.param)
    return request.param


@pytest.mark.parametrize("way", DISCONNECTS)
@pytest.mark.parametrize("count", [1, MANY])
def test_a_client_that_sends_much_at_once_and_goes_is_noticed(monkeypatch, read_ahead_limit, way, count):
    """Behind unread requests neither an end nor a reset was noticed, and all requests were forwarded."""
    if read_ahead_limit:
        monkeypatch.setattr(connections, "peer_has_closed", lambda sock: False)  # the reader sees it

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, b"".join(request(i) for i in range(1, count + 1)))
            await world.play("n0 expect GET")
            if count > 1:
                await until(lambda: len(here.channel.framer.ready) > MAX_PIPELINED)
            DISCONNECTS[way](client)
            await assert_nothing_more(world)
            if way == "half":  # a half-close counts as a disconnect
                assert await client.read() == b""

    uvloop.run(run())


def test_a_request_whose_client_has_just_left_is_not_handed_on(monkeypatch):
    """Race between two liveness checks: the previous response arrives just as the client disconnects."""
    monkeypatch.setattr(read_ahead, "MAX_READ_AHEAD_BYTES", 0)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, b"".join(request(i) for i in range(1, MANY)))
            await world.play("n0 expect GET")
            await until(lambda: here.reading_paused)
            here.liveness_timer.cancel()  # no liveness check from here on
            client.disconnect()
            await world.play("n0 send 200 body=one")
            await until(lambda: not world.gateway.servers[-1].connections)
            await world.play("n0 expect nothing")
            assert not world.gateway.exchanges

    uvloop.run(run())


@pytest.mark.parametrize("way", DISCONNECTS)
def test_a_client_that_leaves_behind_what_breaks_http_is_noticed(way):
    """Garbage follows valid requests: nothing was read until these were answered."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1) + request(2) + b"\x00garbage\r\n\r\n")
            await world.play("n0 expect GET")
            await until(lambda: here.channel.framer.error is not None)
            send_unread(client, here, b"x" * 50_000)
            DISCONNECTS[way](client)
            await assert_nothing_more(world)

    uvloop.run(run())


@pytest.mark.parametrize("way", DISCONNECTS)
def test_a_client_that_leaves_while_its_bodys_taker_is_slow_is_noticed(way):
    """Nothing is read from the client while the node reads nothing: the attempt lasted until its time-out."""

    async def run() -> None:
        async with World() as world:
            head = request(1, "content-length: 30000000", "idempotency-key: k", method="PUT", cls="new-write")
            client, here = await connect_client(world, b"")
            world.parties["n0"].reading_stopped = True  # the node reads nothing
            client.send_now(head)
            while not here.reading_paused:  # the gateway's and the kernel's buffers are full
                try:
                    client.sock.send(b"x" * 65536)
                except BlockingIOError:
                    pass
                await asyncio.sleep(0)
            DISCONNECTS[way](client)
            await until(lambda: not world.gateway.exchanges and not world.gateway.attempts.tasks)
            await until(lambda: not world.gateway.servers[-1].connections)
            assert world.gateway.pool.count == 0

    uvloop.run(run())


def test_a_client_that_only_waits_stays(monkeypatch):
    """The liveness check doesn't drop connected clients: all waiting requests are answered."""
    monkeypatch.setattr(read_ahead, "MAX_READ_AHEAD_BYTES", 0)

    async def run() -> None:
        async with World(Classes=LONG_LIMITS) as world:
            client, here = await connect_client(
                world, b"".join(request(i, deadline=60_000) for i in range(1, 9))
            )
            await world.play("n0 expect GET")
            await until(lambda: here.reading_paused)
            looks = here.liveness_timer
            await until(lambda: here.liveness_timer is not looks)  # one liveness check has run
            await world.play("n0 send 200 body=one" + "\nn0 expect GET\nn0 send 200 body=more" * 7)
            await until(lambda: here.idle and here.answered)
            client.end()
            assert (await client.read()).count(b"HTTP/1.1 200") == 8

    uvloop.run(run())


def test_what_is_read_ahead_is_answered_in_turn(read_ahead_limit):
    """Many pipelined requests, among them one streamed and one buffered body, and garbage at the end."""

    async def run() -> None:
        async with World(Classes=LONG_LIMITS) as world:
            large = ["idempotency-key: k", "content-length: 100000"]
            small = ["idempotency-key: k", "content-length: 5"]
            write = {"method": "PUT", "cls": "new-write", "deadline": 60_000}
            parts = [request(i, deadline=60_000) for i in range(1, 150)]
            parts[5:5] = [request(901, *large, **write) + b"x" * 100_000]
            parts[40:40] = [request(902, *small, **write) + b"hello"]
            client, here = await connect_client(world, b"")
            data = b"".join(parts) + b"NOISE\r\n\r\n"
            sending = asyncio.create_task(client.loop.sock_sendall(client.sock, data))
            for turn in range(len(parts)):
                method = "PUT" if turn in (5, 40) else "GET"
                await world.play(f"n0 expect {method}\nn0 send 200 body={turn}.")
            got = await client.read()
            await sending
            answers = [int(part.rpartition(b"\n")[2]) for part in got.split(b".HTTP")[:-1]]
            assert answers == [*range(len(parts))]
            assert got.count(b"HTTP/1.1 200") == len(parts) and got.count(b"HTTP/1.1 400") == 1
            seen = world.parties["n0"].seen
            assert len(seen[5].body) == 100_000 and seen[40].body == b"hello"
            client.disconnect()
            await until(lambda: here.task.done())
            assert world.gateway.servers[-1].front.budget.used == 0

    uvloop.run(run())
