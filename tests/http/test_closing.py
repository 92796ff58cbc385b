"""Closing of a client's connection, on loopback sockets, and its races with requests and responses."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop
from raw import RawClient, connect_client, request, send_unread, until
from scenario import World

from mallowbeam.http import connection as connections
from mallowbeam.http import shutdown
from mallowbeam.http.connection import Connection
from mallowbeam.http.framing import Channel
from mallowbeam.http.shutdown import Stage

SWEEP_DELAY_S = 60.0  # seconds; longer than every idle and stall time-out


def sweep(here: Connection) -> None:
    here.sweep(time.monotonic() + SWEEP_DELAY_S)


WAYS = {"sweep": sweep, "leave": Connection.close_soon}


@pytest.mark.parametrize("way", WAYS)
def test_an_unread_request_is_answered_when_its_connection_is_closed(way):
    """The socket was closed although it held an unread request."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world)
            send_unread(client, here, request(1))
            WAYS[way](here)
            await world.play("n0 expect GET\nn0 send 200 body=one")
            got = await client.read(until=b"one")
            assert got.startswith(b"HTTP/1.1 200") and (b"connection: close" in got) == (way == "leave")
            if way == "leave":
                assert await client.read() == got

    uvloop.run(run())


@pytest.mark.parametrize("way", WAYS)
def test_an_unread_partial_request_gets_its_whole_time_limit(way):
    """The socket was closed although half a request line had just arrived from a slow client."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world)
            send_unread(client, here, request(1)[:20])
            WAYS[way](here)
            await until(lambda: here.incoming is not None)
            client.send_now(request(1)[20:])
            await world.play("n0 expect GET\nn0 send 200 body=one")
            await client.read(until=b"one")
            client, here = await connect_client(world)
            send_unread(client, here, request(2)[:20])
            WAYS[way](here)
            await until(lambda: here.incoming is not None)
            sweep(here)  # its time is over
            assert (await client.read()).startswith(b"HTTP/1.1 408")

    uvloop.run(run())


class Crossing:
    """Runs an action once, right before the gateway shuts down or closes a socket, whichever is first."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.action, self.shuts, self.over = None, 0, 0
        shutdown, close = socket.socket.shutdown, Channel.close

        def shut(sock: socket.socket, how: int) -> None:
            self.shuts += 1
            self._run_action()
            shutdown(sock, how)

        def closed(channel: Channel) -> None:
            self._run_action()
            self.over += channel.peek() is True  # closed over unread bytes
            close(channel)

        monkeypatch.setattr(socket.socket, "shutdown", shut)
        monkeypatch.setattr(Channel, "close", closed)

    def _run_action(self) -> None:
        action, self.action = self.action, None
        if action is not None:
            action()


@pytest.mark.parametrize("count", [1, 300])
@pytest.mark.parametrize("way", WAYS)
def test_requests_that_race_the_close_see_an_orderly_end_and_are_not_forwarded(monkeypatch, way, count):
    """The client sends between the gateway's check of the idle connection and the shutdown."""
    crossing = Crossing(monkeypatch)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world)
            crossing.action = lambda: send_unread(client, here, b"".join(request(i) for i in range(count)))
            WAYS[way](here)
            assert await client.read() == b""  # an end, and no reset
            client.send_now(request(999))  # and once more, after it
            client.disconnect()
            await until(lambda: here.task.done())
            await world.play("n0 expect nothing")
            assert not world.gateway.exchanges and crossing.action is None

    uvloop.run(run())


def test_requests_that_race_the_last_response_do_not_destroy_it(monkeypatch):
    crossing = Crossing(monkeypatch)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1, "connection: close"))
            await world.play("n0 expect GET")
            crossing.action = lambda: send_unread(client, here, b"".join(request(i) for i in range(2, 300)))
            await world.play("n0 send 200 body=one")
            await until(lambda: crossing.action is None)
            client.send_now(request(999))
            assert (await client.read()).endswith(b"one")
            client.disconnect()
            await until(lambda: here.task.done())
            await world.play("n0 expect nothing")

    uvloop.run(run())


@pytest.mark.parametrize(
    "behind",
    [
        b"".join(request(i) for i in range(2, 400)),
        b"x" * 100_000,
        request(2, "content-length: 90000", method="PUT", cls="new-write") + b"x" * 90_000,
    ],
    ids=["pipeline", "garbage", "upload"],
)
def test_input_after_a_closing_request_is_discarded(monkeypatch, behind):
    """The reader stopped at the first bytes, and closing with the rest unread reset the last response."""
    crossing = Crossing(monkeypatch)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, b"")
            client.send_now(request(1, "connection: close") + behind)
            await world.play("n0 expect GET\nn0 send 200 body=one")
            # The client reads only once the gateway has read all, or closed.
            await until(lambda: here.task.done() or here.closing and here.channel.peek() is None)
            got = await client.read()
            assert got.startswith(b"HTTP/1.1 200") and b"\r\n\r\none" in got and got.count(b"HTTP/1.1") == 1
            client.disconnect()
            await until(lambda: here.task.done())
            await world.play("n0 expect nothing")
            assert not crossing.over

    uvloop.run(run())


def test_a_flood_after_the_last_response_is_read_up_to_a_limit(monkeypatch):
    """An endless sender must not occupy the core, and the close must not destroy its response."""
    monkeypatch.setattr(shutdown, "LINGER_S", SWEEP_DELAY_S)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1, "connection: close"))
            await world.play("n0 expect GET\nn0 send 200 body=one")
            await until(lambda: here.state is Stage.LINGERING)
            with pytest.raises(ConnectionError):
                while True:  # far more than the socket buffers hold
                    await client.loop.sock_sendall(client.sock, b"x" * 65536)

    uvloop.run(run())


def test_close_soon_is_idempotent(monkeypatch):
    crossing = Crossing(monkeypatch)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world)
            for _ in range(3):
                here.close_soon()
            assert here.closing_soon and here.closing and here.state is Stage.LINGERING
            await client.read()
            await until(lambda: here.task.done())  # after MIN_LINGER_S if the client does not end it
            here.close_soon()
            assert here.state is Stage.CLOSED and crossing.shuts == 1
            assert here not in world.gateway.servers[-1].connections

    uvloop.run(run())


def test_a_closing_connection_answers_all_complete_requests():
    """The first response with `connection: close` lost the queued requests."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, b"".join(request(i) for i in range(1, 6)))
            await world.play("n0 expect GET")
            here.close_soon()
            here.close_soon()
            assert not here.can_be_closed and here.pending == 5
            await world.play("n0 send 200 body=one" + "\nn0 expect GET\nn0 send 200 body=more" * 4)
            got = await client.read()
            assert got.count(b"HTTP/1.1 200") == 5
            assert b"connection: close" in got.rpartition(b"HTTP/1.1")[2]
            assert got.count(b"connection: close") == 1

    uvloop.run(run())


def test_a_partial_request_on_a_closing_connection_gets_an_orderly_end_without_a_response():
    """The client sends a partial request again elsewhere, whereas a 4xx would have failed it."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1)[:40])
            await until(lambda: here.incoming is not None)
            here.close_soon()
            client.send_now(request(1)[40:])  # crosses the close
            assert await client.read() == b""
            client.disconnect()
            await until(lambda: here.task.done())
            await world.play("n0 expect nothing")

    uvloop.run(run())


def test_a_response_being_written_on_a_closing_connection_is_completed():
    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1))
            await world.play("n0 expect GET\nn0 send 200 fill=3000000")
            await client.read(until=b"\r\n\r\n")
            here.close_soon()
            assert here.writing and here.state is Stage.DRAINING
            got = await client.read()
            assert len(got.partition(b"\r\n\r\n")[2]) == 3_000_000

    uvloop.run(run())


def test_a_client_that_reads_nothing_is_reset(monkeypatch):
    """Where the close marks the body's end, an orderly one makes a truncated body look complete."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1, version="1.0"))
            await world.play("n0 expect GET\nn0 send raw 'HTTP/1.1 200 OK\\r\\n\\r\\n' fill=9000000")
            await until(lambda: here.writing)
            sweep(here)
            with pytest.raises(ConnectionResetError):
                await client.read()

    uvloop.run(run())


def test_a_response_without_a_length_that_the_exit_cuts_does_not_look_complete():
    """The process ended such a connection in order: an HTTP/1.0 client took the part for the whole."""

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, request(1, version="1.0"))
            await world.play("n0 expect GET\nn0 send raw 'HTTP/1.1 200 OK\\r\\n\\r\\n' fill=9000000")
            await until(lambda: here.writing)
            here.task.cancel()  # as the end of the event loop does
            with pytest.raises(ConnectionResetError):
                await client.read()

    uvloop.run(run())


@pytest.mark.parametrize("way", WAYS)
def test_an_upload_is_answered_when_its_connection_is_closed(way):
    """A stalled upload is aborted at the node and gets 503; one that goes on gets the node's response."""

    async def run() -> None:
        async with World() as world:
            head = request(1, "content-length: 300000", "idempotency-key: k", method="PUT", cls="new-write")
            client, here = await connect_client(world, head + b"x" * 100_000)
            await until(
                lambda: here.streamed_request is not None
                and here.streamed_request.received == 100_000
                and not here.consumer_is_slow
            )
            WAYS[way](here)
            if way == "leave":
                client.send_now(b"x" * 200_000)
                await world.play("n0 expect PUT\nn0 send 200 body=stored")
            got = await client.read()
            assert got.startswith(b"HTTP/1.1 200" if way == "leave" else b"HTTP/1.1 503")

    uvloop.run(run())


def test_a_client_that_never_ends_its_side_is_closed_when_its_time_is_over(monkeypatch):
    monkeypatch.setattr(shutdown, "LINGER_S", 0.05)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world)
            sweep(here)
            await asyncio.wait_for(here.task, 5)
            assert await client.read() == b""
            for raw in (b"NONSENSE\r\n\r\n", request(1)[:30]):
                client, here = await connect_client(world, raw)
                await until(lambda: here.incoming is not None or here.closing)  # noqa: B023
                sweep(here)
                await asyncio.wait_for(here.task, 5)
                assert (await client.read()).startswith(b"HTTP/1.1 4")
            assert not world.gateway.servers[-1].connections

    uvloop.run(run())


def test_close_soon_cuts_lingering_short(monkeypatch):
    monkeypatch.setattr(shutdown, "LINGER_S", SWEEP_DELAY_S)
    monkeypatch.setattr(shutdown, "MIN_LINGER_S", 0.0)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world)
            sweep(here)
            assert here.can_be_closed and not here.closing_soon
            here.close_soon()
            send_unread(client, here, request(1))  # it must be read, or the close would be a reset
            await asyncio.wait_for(here.task, 5)
            assert await client.read() == b""
            await world.play("n0 expect nothing")

    uvloop.run(run())


def test_an_agent_check_has_its_line_and_an_orderly_end():
    async def run() -> None:
        async with World() as world:
            server = next(s for s in world.gateway.servers if s.address == world.agent)
            client = RawClient(world.agent)
            client.send_now(b"check\n" * 100)
            await until(lambda: server.connections)
            for here in server.connections:
                here.close_soon()
            assert (await client.read()).startswith(b"up ready")
            client.disconnect()

    uvloop.run(run())


@pytest.mark.parametrize("parsed", [False, True], ids=["unread", "parsed"])
def test_a_request_that_races_the_last_response_of_a_stopping_gateway_is_answered(parsed):
    """The next request arrives while a response with `connection: close` is being written."""

    async def run() -> None:
        async with World() as world:
            server = world.gateway.servers[-1]
            server.close_after_responses()
            client, here = await connect_client(world, request(1))
            await world.play("n0 expect GET")
            send = here.channel.send

            async def crossed(data: bytes) -> None:
                here.channel.send = send
                await send(data)
                send_unread(client, here, request(2))
                if parsed:
                    await until(lambda: here.channel.framer.ready)

            here.channel.send = crossed
            await world.play("n0 send 200 body=one\nn0 expect GET\nn0 send 200 body=two")
            got = await client.read()
            assert got.count(b"HTTP/1.1 200") == 2 and got.endswith(b"two")
            assert got.count(b"connection: close") == 2

    uvloop.run(run())


def test_endless_requests_do_not_keep_a_closing_connection_open(monkeypatch):
    """Requests that arrive during a close are served for a limited time only, and those read are rejected."""
    monkeypatch.setattr(shutdown, "LINGER_S", 0.0)
    monkeypatch.setattr(connections, "LINGER_S", 0.0)

    async def run() -> None:
        async with World() as world:
            client, here = await connect_client(world, b"".join(request(i) for i in range(1, 6)))
            await world.play("n0 expect GET")
            here.close_soon()
            await world.play("n0 send 200 body=one")
            got = await client.read()
            assert got.count(b"HTTP/1.1 200") == 1 and got.count(b"HTTP/1.1 503") == 4
            assert b"connection: close" in got.rpartition(b"HTTP/1.1")[2]
            assert got.count(b"connection: close") == 1
            await world.play("n0 expect nothing")

    uvloop.run(run())


@pytest.mark.parametrize("slow", [False, True])
def test_a_request_behind_a_streamed_response_stays_unread_and_its_close_spares_the_response(
    monkeypatch, slow
):
    """Read requests that wait for a stream had no answer when the process exited first."""
    monkeypatch.setattr(connections, "LINGER_S", 0.0)
    monkeypatch.setattr(shutdown, "LINGER_S", 0.05)
    size = 3_000_000

    async def run() -> None:
        async with World() as world:
            world.gateway.servers[-1].front.reads_ahead = False
            client, here = await connect_client(world, request(1))
            if slow:  # the rest of the response waits in the gateway's socket
                client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            head = rf"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n"
            await world.play(f"n0 expect GET\nn0 send raw '{head}' fill={size // 2}")
            await client.read(until=b"\r\n\r\n")
            assert here.streams_response
            client.send_now(request(2))
            await until(lambda: here.input_is_deferred)
            server = world.gateway.servers[-1]
            server.close_after_responses()
            head_bytes = client.got.index(b"\r\n\r\n") + 4
            await world.play(f"n0 send raw '' fill={size // 2}")
            if slow:
                await until(lambda: here.task.done())
            assert len(await client.read()) == head_bytes + size
            assert here.state in (Stage.LINGERING, Stage.CLOSED)
            client.disconnect()
            await until(lambda: here.task.done())
            await world.play("n0 expect nothing")
            assert server.dropped_requests == 0

    uvloop.run(run())


def test_a_client_that_leaves_while_its_next_request_is_unread_is_noticed():
    """The end of its connection is hidden behind the unread request."""

    async def run() -> None:
        async with World() as world:
            world.gateway.servers[-1].front.reads_ahead = False
            client, here = await connect_client(world, request(1))
            await world.play("n0 expect GET\nn0 send 200 fill=9000000")
            await client.read(until=b"\r\n\r\n")
            client.send_now(request(2))
            await until(lambda: here.input_is_deferred)
            client.end()
            await until(lambda: here.task.done())

    uvloop.run(run())


def test_a_request_that_was_left_unread_is_served_after_the_streamed_response():
    async def run() -> None:
        async with World() as world:
            world.gateway.servers[-1].front.reads_ahead = False
            client, here = await connect_client(world, request(1))
            await world.play("n0 expect GET\nn0 send 200 fill=3000000")
            await client.read(until=b"\r\n\r\n")
            client.send_now(request(2) + request(3))
            await until(lambda: here.input_is_deferred)
            answers = asyncio.create_task(client.read(until=b"three"))
            await world.play("n0 expect GET\nn0 send 200 body=two\nn0 expect GET\nn0 send 200 body=three")
            assert (await answers).count(b"HTTP/1.1 200") == 3
            assert not here.input_is_deferred

    uvloop.run(run())
