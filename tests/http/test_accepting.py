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

PATIENCE = 10.0  # seconds to wait for an expected event
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
LAST = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


class Pages:
    """A front that answers every request once `held` is set, which it is at first."""

    max_body, max_buffered_body, budget = 0, 0, None

    def __init__(self) -> None:
        self.held, self.count = asyncio.Event(), 0
        self.held.set()

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        self.count += 1
        await self.held.wait()
        return text_response(200, "here", closing())

    def error_response(self, status: int, text: str) -> Response:
        return text_response(status, text, True)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        pass


class Crossed(socket.socket):
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


def scene(play: Callable[[Server], Awaitable[None]], most: int = 64) -> None:
    """Run a coroutine with a server that does not listen yet."""

    async def run() -> None:
        server = Server(("127.0.0.1", 0), Pages(), most)
        server.sock = Crossed(fileno=server.sock.detach())
        async with asyncio.timeout(PATIENCE):
            await play(server)

    uvloop.run(run())


def knock(server: Server, data: bytes = REQUEST) -> socket.socket:
    """Connect and send a request without a loop step: the connection stays in the accept queue."""
    sock = socket.create_connection(server.address, timeout=PATIENCE)
    sock.sendall(data)
    return sock


async def answer(sock: socket.socket) -> bytes:
    """Read to the end of the stream; a reset raises."""
    sock.setblocking(False)
    whole = b""
    with sock:
        while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
            whole += data
    return whole


async def answers(socks: list[socket.socket]) -> list[bytes]:
    return [whole[:12] for whole in await asyncio.gather(*map(answer, socks))]


def test_what_lies_in_the_accept_queue_at_the_end_is_answered():
    """Closing a listener resets the connections that it has not accepted."""

    async def play(server: Server) -> None:
        server.start()
        socks = [knock(server) for _ in range(40)]
        drained = asyncio.create_task(server.drain())
        assert await answers(socks) == [b"HTTP/1.1 200"] * 40
        await drained

    scene(play)


def test_a_queue_longer_than_the_room_is_answered_to_the_last():
    """Each gets 200, or 503 over the limit; none is closed unread, and the limit holds."""

    async def play(server: Server) -> None:
        server.start()
        held = [knock(server)]
        server.front.held.clear()
        await asyncio.sleep(0)
        socks = held + [knock(server) for _ in range(40)]
        drained = asyncio.create_task(server.drain())
        got = asyncio.create_task(answers(socks))
        while not server.connections:
            await asyncio.sleep(0)
        server.front.held.set()
        while not got.done():
            assert len(server.connections) <= server.connection_limit + 1
            await asyncio.sleep(0)
        assert set(got.result()) <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}
        await drained

    scene(play, most=8)


def test_the_time_for_the_accept_queue_is_bounded():
    """A client that occupies the only connection must not delay the shutdown beyond its deadline."""

    async def play(server: Server) -> None:
        server.start()
        server.front.held.clear()
        with knock(server), knock(server), knock(server):
            while len(server.connections) <= server.connection_limit:
                await asyncio.sleep(0)
            await server.stop_accepting(0.05)
            assert server.sock.fileno() < 0
        server.front.held.set()
        await server.drain()

    scene(play, most=1)


def test_one_accepted_in_the_very_instant_of_the_end_is_answered():
    """Race: the listener is closed between the accept and the acceptor's next loop step."""

    async def play(server: Server) -> None:
        ends = []
        server.sock.after = lambda: ends or ends.append(asyncio.ensure_future(server.drain()))
        server.start()
        assert await answers([knock(server)]) == [b"HTTP/1.1 200"]
        await ends[0]

    scene(play)


def test_one_that_comes_with_the_last_look_at_the_queue_is_answered():
    """Race: connections arrive while the listener is being closed."""

    async def play(server: Server) -> None:
        socks = []
        server.start()
        await asyncio.sleep(0)
        server.sock.before = lambda: len(socks) < 3 and socks.append(knock(server))
        drained = asyncio.create_task(server.drain())
        while len(socks) < 3:
            await asyncio.sleep(0)
        assert await answers(socks) == [b"HTTP/1.1 200"] * 3
        await drained

    scene(play)


def test_a_queue_that_is_handed_over_is_answered_once_by_either():
    """Race: the old process stops right after its first accept; the new process accepts the rest."""

    async def play(server: Server) -> None:
        new, shuts = Server(server.address, Pages(), 64, handed=server.sock.dup()), []
        server.sock.after = lambda: shuts or shuts.append(asyncio.ensure_future(server.stop_accepting()))
        server.start()
        socks = [knock(server) for _ in range(40)]
        while server.sock.fileno() >= 0:
            await asyncio.sleep(0)
        new.start()
        got = asyncio.create_task(answers(socks))
        while new.front.count + server.front.count < 40:
            await asyncio.sleep(0)
        await asyncio.gather(server.drain(), new.drain())
        assert await got == [b"HTTP/1.1 200"] * 40
        assert server.front.count and new.front.count and server.front.count + new.front.count == 40

    scene(play)


def test_a_connection_opened_in_the_step_of_the_last_answers_gets_one_and_a_close():
    async def play(server: Server) -> None:
        server.start()
        sock = knock(server)
        server.close_after_responses()
        whole = await answer(sock)
        assert whole.startswith(b"HTTP/1.1 200") and b"connection: close" in whole
        await server.drain()

    scene(play)


def test_a_request_that_lies_unread_when_time_is_up_is_answered():
    """Race: a new connection's first request arrives as its time to send it ends."""

    async def play(server: Server) -> None:
        server.start()
        sock = knock(server, b"")
        while not server.connections:
            await asyncio.sleep(0)
        server.sock.closed = lambda: sock.sendall(REQUEST)  # the first check follows in the same loop step
        drained = asyncio.create_task(server.drain(0.0))
        assert await answers([sock]) == [b"HTTP/1.1 200"]
        await drained

    scene(play)


@pytest.mark.parametrize("data", [b"", b"GET / HT"])
def test_a_client_that_stands_still_does_not_hold_up_the_end(monkeypatch, data):
    monkeypatch.setattr(servers, "LINGER_S", 8 * PATIENCE)

    async def play(server: Server) -> None:
        server.start()
        sock = knock(server, data)
        while not server.connections:
            await asyncio.sleep(0)
        drained = asyncio.create_task(server.drain(0.0))
        assert not (await answer(sock)).startswith(b"HTTP/1.1 200")
        await drained

    scene(play)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN])
def test_one_that_has_gone_before_its_accept_holds_up_nobody(monkeypatch, number):
    monkeypatch.setattr(servers, "ACCEPT_RETRY_DELAY_S", 8 * PATIENCE)

    async def play(server: Server) -> None:
        def fail() -> None:
            if not failed:
                failed.append(number)
                raise OSError(number, "gone")

        failed: list[int] = []
        server.sock.before = fail
        server.start()
        sock = knock(server, LAST)
        assert await answers([sock]) == [b"HTTP/1.1 200"] and failed
        await server.drain()

    scene(play)


def test_one_that_has_gone_right_after_its_accept_is_no_fault():
    """Any call on the socket of a departed client may fail; that must not be logged or affect others."""

    async def play(server: Server) -> None:
        def gone(*_: object) -> None:
            server.connection = whole
            raise OSError(errno.EINVAL, "invalid argument")

        whole, server.connection = server.connection, gone
        server.start()
        with knock(server):
            assert await answers([knock(server, LAST)]) == [b"HTTP/1.1 200"]
        await server.drain()

    lines: list[str] = []
    sink = logger.add(lines.append, level="WARNING")
    scene(play)
    logger.remove(sink)
    assert not lines


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])
def test_without_descriptors_those_held_go_on_and_what_waits_is_answered_at_the_end(number):
    async def play(server: Server) -> None:
        def fail() -> None:
            if not spared:
                refused.set()
                raise OSError(number, "too many open files")

        refused, spared = asyncio.Event(), [1]
        server.sock.before = fail
        server.start()
        held = knock(server)
        held.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(held, 4096)
        spared.clear()
        sock = knock(server, LAST)
        await refused.wait()
        held.send(REQUEST)
        assert await asyncio.get_running_loop().sock_recv(held, 4096)
        drained = asyncio.create_task(server.drain())
        refused.clear()
        await refused.wait()  # hit again as the shutdown empties the queue
        spared.append(1)
        assert await answers([sock, held]) == [b"HTTP/1.1 200", b""]
        await drained

    scene(play)


def test_a_listener_that_fails_for_good_does_not_spin():
    """A persistent accept error is retried after a pause, so it does not occupy the event loop."""

    async def play(server: Server) -> None:
        tries = []

        def fail() -> None:
            tries.append(1)
            raise OSError(errno.EINVAL, "no listener")

        server.sock.before = fail
        server.start()
        with knock(server):
            while not tries:
                await asyncio.sleep(0)
            for _ in range(50):  # loop steps
                await asyncio.sleep(0)
            assert len(tries) < 10
            await server.drain()
            assert server.sock.fileno() < 0

    scene(play)
