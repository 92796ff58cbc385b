"""Client connections on loopback sockets: protocol violations, stalls, and eviction when slots run out."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from scenario import World, play

from mallowbeam.http import connection, shutdown
from mallowbeam.storage_gateway.server import gateway

PLAIN = (
    "GET /read/00000000000000aa/0000000000000001 HTTP/1.1\\r\\nhost: x\\r\\nx-class: read\\r\\n"
    "x-storage-class: silver\\r\\nx-deadline-ms: 900\\r\\nx-extent: units=1,shard=0,hosts=1\\r\\n"
    "x-request-id: 00000000000000f{}\\r\\n\\r\\n"
)
NL = "\\r\\n"


def test_whole_requests_before_noise_are_answered_first():
    play(f"""
        c1 send raw '{PLAIN.format(1)}\\x00\\x01noise'
        n0 expect GET 0f1
        n0 send 200 body=one
        c1 expect 200 one
        c1 expect 400
        c1 expect end
    """)


def test_pipelined_requests_are_answered_in_turn():
    play(f"""
        c1 send raw '{PLAIN.format(1)}{PLAIN.format(2)}'
        n0 expect GET 0f1
        n0 send 200 body=one
        c1 expect 200 one
        n0 expect GET 0f2
        n0 send 200 body=two
        c1 expect 200 two
    """)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        ("GET / HTTP/1.1\\r\\nhost x\\r\\n\\r\\n", 400),
        ("NONSENSE\\r\\n\\r\\n", 400),
        ("GET / HTTP/1.1\\r\\nhost: x\\r\\nx: " + "y" * 20000 + "\\r\\n\\r\\n", 431),
        ("GET / HTTP/1.1\\r\\nhost: x\\r\\nx: " + "y" * 20000, 431),
        ("GET /" + "y" * 20000 + " HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n", 431),
        ("PUT / HTTP/1.1\\r\\nhost: x\\r\\ncontent-length: 60000000\\r\\n\\r\\n", 413),
        ("PUT / HTTP/1.1\\r\\nhost: x\\r\\ncontent-length: 1\\r\\ncontent-length: 2\\r\\n\\r\\n", 400),
        ("GET / HTTP/1.1\\r\\nhost: x\\r\\nupgrade: h2c\\r\\nconnection: upgrade\\r\\n\\r\\n", 400),
    ],
)
def test_what_breaks_http_or_a_bound_gets_its_status_and_a_close(raw, status):
    play(f"""
        c1 send raw '{raw}'
        c1 expect {status}
        c1 expect end
        n0 expect nothing
    """)


def test_clients_beyond_the_descriptors_wait_and_are_served():
    """Descriptors ran out and the gateway crashed; idle connections must be evicted instead."""
    lines = "".join(f"c{i} send GET /healthz\nc{i} expect 200\n" for i in range(60))
    play(lines, sockets=120)


def test_clients_beyond_the_last_busy_connection_are_refused_at_once():
    """Requests in the backlog were lost at their deadline; they must be accepted and refused."""

    async def run() -> None:
        async with World(sockets=120) as world:
            room = world.gateway.servers[-1].connection_limit - world.gateway.servers[-1].spare
            world.gateway.submit = lambda call: asyncio.Event().wait()
            await world.play("".join(f"c{i} send read\n" for i in range(room)) + "wait 0.1")
            await world.play(
                "".join(
                    f"""
                c{i} send read
                c{i} expect 503 retry-after 'connection: close'
                c{i} expect end
            """
                    for i in range(room, room + 9)
                )
            )

    uvloop.run(run())


def test_answered_connections_are_evicted_first(monkeypatch):
    """Connections that had not sent their first request yet were evicted for later ones."""
    monkeypatch.setattr(connection, "NEW_CONNECTION_GRACE_S", 0.0)

    async def run() -> None:
        async with World(sockets=120) as world:
            here = world.gateway.servers[-1]
            first = [await asyncio.open_connection(*world.platform)]
            await world.play(
                "".join(
                    f"c{i} send GET /healthz\nc{i} expect 200\n"
                    for i in range(here.connection_limit - here.spare + 5)
                )
            )
            await world.play("wait 0.05")
            assert any(not c.answered for c in here.connections)
            first[0][1].write(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await first[0][0].read(12)).endswith(b"200")

    uvloop.run(run())


def test_a_connection_that_has_just_come_or_holds_an_unread_request_is_not_let_go():
    """Evicting a connection with a received but unread request lost the request."""

    async def run() -> None:
        async with World(sockets=120) as world:
            await world.play("c1 send GET /healthz\nc1 expect 200")
            (connection,) = world.gateway.servers[-1].connections
            assert connection.can_be_closed
            world.parties["c1"].raw("GET /healthz")
            while not connection.channel.stale():  # the event loop has not read it yet
                await asyncio.sleep(0)
                if not connection.idle:
                    break
            assert not connection.can_be_closed
            _, writer = await asyncio.open_connection(*world.platform)
            while len(world.gateway.servers[-1].connections) < 2:
                await asyncio.sleep(0)
            (fresh,) = world.gateway.servers[-1].connections - {connection}
            assert fresh.idle and not fresh.can_be_closed
            writer.close()

    uvloop.run(run())


@pytest.mark.parametrize("front", ["c", "o"])
def test_a_client_that_stalls_inside_a_request_gets_408_and_a_close(monkeypatch, front):
    """Requests sent in a trickle, or never completed, held their connections for 10 s or more."""
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(gateway, "SWEEP_INTERVAL_S", 0.05)
    drip = f"{front}2 send raw x\nwait 0.1\n"
    play(f"""
        {front}1 send raw 'GET / HTTP/1.1{NL}host: x{NL}'
        {front}1 expect 408
        {front}1 expect end
        {front}2 send PUT /plates/a content-length:5
        {drip * 5}
        {front}2 expect 408
        {front}2 expect end
        n0 expect nothing
    """)


@pytest.mark.parametrize("front", ["c", "o"])
def test_a_client_that_says_nothing_is_closed_long_before_one_that_has_been_answered(monkeypatch, front):
    """Hundreds of silent connections kept their descriptors for two minutes."""
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(gateway, "SWEEP_INTERVAL_S", 0.05)
    play(f"""
        {front}1 send GET /_/other
        {front}1 expect 400
        {front}2 send raw ''
        {front}2 expect end
        {front}1 send GET /_/other
        {front}1 expect 400
    """)


@pytest.mark.parametrize("front", ["c", "o"])
def test_what_follows_a_request_that_is_too_large_is_read_for_a_while_only(monkeypatch, front):
    """A client that sent 60 MB at full speed was read to the end, which kept the CPU core busy."""
    monkeypatch.setattr(shutdown, "LINGER_S", 60.0)

    async def run() -> None:
        async with World() as world:
            await world.play(
                f"{front}1 send raw 'PUT /a/b HTTP/1.1{NL}content-length: 60000000{NL}{NL}'\n"
                f"{front}1 expect 413"
            )
            writer = world.parties[f"{front}1"].writer
            with pytest.raises(ConnectionError):
                for _ in range(512):  # 32 MB: far more than the socket buffers hold
                    writer.write(b"x" * 65536)
                    await writer.drain()

    uvloop.run(run())
