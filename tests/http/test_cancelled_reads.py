"""A read of a connection that is cancelled loses no byte: the connection can be read on."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager, suppress

import pytest
import uvloop
from virtual_time import VirtualLoop

from mallowbeam.http.client import ConnectionBrokenError, Link
from mallowbeam.http.framing import Channel, Framer

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
LOOPS = {"asyncio": VirtualLoop, "uvloop": uvloop.new_event_loop}
MOST_TURNS = 5  # turns of the loop between a part's arrival and the cancellation of its read
LOST_BYTES_TIMEOUT_S = 5.0  # ends a wait for bytes that were lost


class _WithoutOptions(socket.socket):
    """A Unix socket, which has no TCP options."""

    def setsockopt(self, *_: object) -> None:
        """Do nothing."""


def run(scenario: Callable[[], Coroutine[None, None, None]], loop_name: str) -> None:
    """Run a scenario on a fresh loop of that kind."""
    with asyncio.Runner(loop_factory=LOOPS[loop_name]) as runner:
        runner.run(asyncio.wait_for(scenario(), LOST_BYTES_TIMEOUT_S))


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[Link, socket.socket]]:
    """Return a connection and the server's end of it."""
    ours, server = socket.socketpair()
    link = Link(Channel(_WithoutOptions(fileno=ours.detach()), Framer(answers=True)), "server")
    try:
        yield link, server
    finally:
        link.close()
        server.close()


async def cancel_after(reading: asyncio.Task, turns: int) -> None:
    """Cancel a task after some turns of the loop; it may have ended or broken before."""
    for _ in range(turns):
        await asyncio.sleep(0)
    reading.cancel()
    with suppress(asyncio.CancelledError, ConnectionBrokenError):
        await reading


@pytest.fixture(params=LOOPS)
def loop_name(request) -> str:
    return request.param


@pytest.mark.parametrize("turns", range(MOST_TURNS + 1))
def test_a_cancelled_read_loses_no_byte(loop_name, turns):
    async def scenario() -> None:
        async with connected() as (link, server):
            server.sendall(HEAD)
            answer = await link.read_head()
            for byte in b"0123456789":
                reading = asyncio.ensure_future(link.read_more(answer))
                await asyncio.sleep(0)  # it waits for input
                server.sendall(bytes((byte,)))
                await cancel_after(reading, turns)
            assert await link.read_body(answer) == b"0123456789"

    run(scenario, loop_name)


@pytest.mark.parametrize("turns", range(MOST_TURNS + 1))
def test_an_end_that_crosses_a_cancelled_read_is_still_seen(loop_name, turns):
    async def scenario() -> None:
        async with connected() as (link, server):
            server.sendall(HEAD)
            answer = await link.read_head()
            reading = asyncio.ensure_future(link.read_more(answer))
            await asyncio.sleep(0)
            server.close()
            await cancel_after(reading, turns)
            with pytest.raises(ConnectionBrokenError):
                await link.read_body(answer)

    run(scenario, loop_name)


def test_a_connection_may_be_closed_while_its_cancelled_read_has_not_ended(loop_name):
    async def scenario() -> None:
        async with connected() as (link, server):
            server.sendall(HEAD)
            answer = await link.read_head()
            reading = asyncio.ensure_future(link.read_more(answer))
            await asyncio.sleep(0)
            server.sendall(b"0")
            reading.cancel()
            link.close()
            with pytest.raises(asyncio.CancelledError):
                await reading

    run(scenario, loop_name)
