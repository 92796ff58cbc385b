"""A listener on real sockets: connections in its accept queue, at its shutdown, and under accept errors."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from loguru import logger

from mallowbeam.http import server as servers
from mallowbeam.http.framing import Message
from mallowbeam.http.handler import Response, text_response
from mallowbeam.http.server import Server

TIMEOUT_S = 10.0  # seconds to wait for an expected event
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
CLOSING_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


class GatedHandler:
    """A front that answers every request once `held` is set, which it is at first."""

    max_body, max_buffered_body, budget = 0, 0, None

    def __init__(self) -> None:
        self.held, self.count = asyncio.Event(), 0
        self.held.set()

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        self.count += 1
        await self.held.wait()
        return text_response(200, "here", closing())

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        return text_response(status, text, close)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        pass


class HookedSocket(socket.socket):
    """A listening socket with hooks before and after each accept, and before its close."""

    before: Callable[[], None] = staticmethod(lambda: None)
    after: Callable[[], None] = staticmethod(lambda: None)
    closed: Callable[[], None] = staticmethod(lambda: None)

    def accept(self) -> tuple[socket.socket, object]:
        self.before()
        accepted = super().accept()
        self.after()
        return accepted

    def close(self) -> None:
        self.closed()
        super().close()


def run_with_server(play: Callable[[Server], Awaitable[None]], most: int = 64) -> None:
    """Run a coroutine with a server that does not listen yet."""

    async def run() -> None:
        server = Server(("127.0.0.1", 0), GatedHandler(), most)
        server.sock = HookedSocket(fileno=server.sock.detach())
        async with asyncio.timeout(TIMEOUT_S):
            await play(server)

    uvloop.run(run())


def connect_with_request(server: Server, data: bytes = REQUEST) -> socket.socket:
    """Connect and send a request without a loop step: the connection stays in the accept queue."""
    sock = socket.create_connection(server.address, timeout=TIMEOUT_S)
    sock.sendall(data)
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """Read to the end of the stream; a reset raises."""
    sock.setblocking(False)
    received = b""
    with sock:
        while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
            received += data
    return received


async def read_statuses(socks: list[socket.socket]) -> list[bytes]:
    return [received[:12] for received in await asyncio.gather(*map(read_to_end, socks))]


def test_queued_connections_are_answered_at_shutdown():
    """Closing a listener resets the connections that it has not accepted."""

    async def play(server: Server) -> None:
        server.start()
        socks = [connect_with_request(server) for _ in range(40)]
        drained = asyncio.create_task(server.drain())
        assert await read_statuses(socks) == [b"HTTP/1.1 200"] * 40
        await drained

    run_with_server(play)


def test_an_accept_queue_longer_than_the_limit_is_answered_completely():
    """Each gets 200, or 503 over the limit; none is closed unread, and the limit holds."""

    async def play(server: Server) -> None:
        server.start()
        held = [connect_with_request(server)]
        server.front.held.clear()
        await asyncio.sleep(0)
        socks = held + [connect_with_request(server) for _ in range(40)]
        drained = asyncio.create_task(server.drain())
        got = asyncio.create_task(read_statuses(socks))
        while not server.connections:
            await asyncio.sleep(0)
        server.front.held.set()
        while not got.done():
            assert len(server.connections) <= server.connection_limit + 1
            await asyncio.sleep(0)
        assert set(got.result()) <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}
        await drained

    run_with_server(play, most=8)


def test_the_time_for_the_accept_queue_is_bounded():
    """A client that occupies the only connection must not delay the shutdown beyond its deadline."""

    async def play(server: Server) -> None:
        server.start()
        server.front.held.clear()
        with connect_with_request(server), connect_with_request(server), connect_with_request(server):
            while len(server.connections) <= server.connection_limit:
                await asyncio.sleep(0)
            await server.stop_accepting(0.05)
            assert server.sock.fileno() < 0
        server.front.held.set()
        await server.drain()

    run_with_server(play, most=1)


def test_a_connection_accepted_as_shutdown_begins_is_answered():
    """Race: the listener is closed between the accept and the acceptor's next loop step."""

    async def play(server: Server) -> None:
        ends = []
        server.sock.after = lambda: ends or ends.append(asyncio.ensure_future(server.drain()))
        server.start()
        assert await read_statuses([connect_with_request(server)]) == [b"HTTP/1.1 200"]
        await ends[0]

    run_with_server(play)


def test_connections_that_arrive_while_the_listener_closes_are_answered():
    """Race: connections arrive while the listener is being closed."""

    async def play(server: Server) -> None:
        socks = []
        server.start()
        await asyncio.sleep(0)
        server.sock.before = lambda: len(socks) < 3 and socks.append(connect_with_request(server))
        drained = asyncio.create_task(server.drain())
        while len(socks) < 3:
            await asyncio.sleep(0)
        assert await read_statuses(socks) == [b"HTTP/1.1 200"] * 3
        await drained

    run_with_server(play)


def test_a_queue_that_is_handed_over_is_answered_once_by_either():
    """Race: the old process stops right after its first accept; the new process accepts the rest."""

    async def play(server: Server) -> None:
        new, shuts = Server(server.address, GatedHandler(), 64, handed=server.sock.dup()), []
        server.sock.after = lambda: shuts or shuts.append(asyncio.ensure_future(server.stop_accepting()))
        server.start()
        socks = [connect_with_request(server) for _ in range(40)]
        while server.sock.fileno() >= 0:
            await asyncio.sleep(0)
        new.start()
        got = asyncio.create_task(read_statuses(socks))
        while new.front.count + server.front.count < 40:
            await asyncio.sleep(0)
        await asyncio.gather(server.drain(), new.drain())
        assert await got == [b"HTTP/1.1 200"] * 40
        assert server.front.count and new.front.count and server.front.count + new.front.count == 40

    run_with_server(play)


def test_a_connection_opened_as_closing_begins_gets_a_response_and_a_close():
    async def play(server: Server) -> None:
        server.start()
        sock = connect_with_request(server)
        server.close_after_responses()
        received = await read_to_end(sock)
        assert received.startswith(b"HTTP/1.1 200") and b"connection: close" in received
        await server.drain()

    run_with_server(play)


def test_an_unread_request_is_answered_at_the_drain_deadline():
    """Race: a new connection's first request arrives as its time to send it ends."""

    async def play(server: Server) -> None:
        server.start()
        sock = connect_with_request(server, b"")
        while not server.connections:
            await asyncio.sleep(0)
        server.sock.closed = lambda: sock.sendall(REQUEST)  # the first check follows in the same loop step
        drained = asyncio.create_task(server.drain(0.0))
        assert await read_statuses([sock]) == [b"HTTP/1.1 200"]
        await drained

    run_with_server(play)


@pytest.mark.parametrize("data", [b"", b"GET / HT"])
def test_a_stalled_client_does_not_delay_shutdown(monkeypatch, data):
    monkeypatch.setattr(servers, "LINGER_S", 8 * TIMEOUT_S)

    async def play(server: Server) -> None:
        server.start()
        sock = connect_with_request(server, data)
        while not server.connections:
            await asyncio.sleep(0)
        drained = asyncio.create_task(server.drain(0.0))
        assert not (await read_to_end(sock)).startswith(b"HTTP/1.1 200")
        await drained

    run_with_server(play)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN])
def test_a_connection_aborted_before_its_accept_does_not_delay_others(monkeypatch, number):
    monkeypatch.setattr(servers, "ACCEPT_RETRY_DELAY_S", 8 * TIMEOUT_S)

    async def play(server: Server) -> None:
        def fail() -> None:
            if not failed:
                failed.append(number)
                raise OSError(number, "gone")

        failed: list[int] = []
        server.sock.before = fail
        server.start()
        sock = connect_with_request(server, CLOSING_REQUEST)
        assert await read_statuses([sock]) == [b"HTTP/1.1 200"] and failed
        await server.drain()

    run_with_server(play)


def test_a_client_gone_right_after_its_accept_is_not_logged():
    """Any call on the socket of a departed client may fail; that must not be logged or affect others."""

    async def play(server: Server) -> None:
        def gone(*_: object) -> None:
            server.connection = original
            raise OSError(errno.EINVAL, "invalid argument")

        original, server.connection = server.connection, gone
        server.start()
        with connect_with_request(server):
            assert await read_statuses([connect_with_request(server, CLOSING_REQUEST)]) == [b"HTTP/1.1 200"]
        await server.drain()

    lines: list[str] = []
    sink = logger.add(lines.append, level="WARNING")
    run_with_server(play)
    logger.remove(sink)
    assert not lines


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])
def test_without_descriptors_open_connections_go_on_and_queued_ones_are_answered_at_shutdown(number):
    async def play(server: Server) -> None:
        def fail() -> None:
            if not spared:
                refused.set()
                raise OSError(number, "too many open files")

        refused, spared = asyncio.Event(), [1]
        server.sock.before = fail
        server.start()
        held = connect_with_request(server)
        held.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(held, 4096)
        spared.clear()
        sock = connect_with_request(server, CLOSING_REQUEST)
        await refused.wait()
        held.send(REQUEST)
        assert await asyncio.get_running_loop().sock_recv(held, 4096)
        drained = asyncio.create_task(server.drain())
        refused.clear()
        await refused.wait()  # hit again as the shutdown empties the queue
        spared.append(1)
        assert await read_statuses([sock, held]) == [b"HTTP/1.1 200", b""]
        await drained

    run_with_server(play)


def test_a_listener_that_fails_for_good_does_not_spin():
    """A persistent accept error is retried after a pause, so it does not occupy the event loop."""

    async def play(server: Server) -> None:
        tries = []

        def fail() -> None:
            tries.append(1)
            raise OSError(errno.EINVAL, "no listener")

        server.sock.before = fail
        server.start()
        with connect_with_request(server):
            while not tries:
                await asyncio.sleep(0)
            for _ in range(50):  # loop steps
                await asyncio.sleep(0)
            assert len(tries) < 10
            await server.drain()
            assert server.sock.fileno() < 0

    run_with_server(play)
