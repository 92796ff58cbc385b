"""A request counts as sent once the kernel may have its last byte, even if its task is cancelled just then.

The race is forced: the last write is blocked once; in the step in which the peer has received everything, but
the writing task has not resumed, the task is cancelled or its time-out expires.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
import uvloop
from scenario import World

from mallowbeam.http.client import Link, RequestNotSentError
from mallowbeam.http.framing import READ_BUFFER_BYTES, Channel, Framer
from mallowbeam.storage_gateway.server import attempts

BODY = b"b" * 200


class BlockingSocket(socket.socket):
    """A socket that blocks once, just before the last of `whole` bytes is written."""

    whole, written, holds = 0, 0, True

    def send(self, data, *flags) -> int:
        if self.holds and self.written + len(data) >= self.whole:
            self.holds = False
            raise BlockingIOError
        count = super().send(data, *flags)
        self.written += count
        return count


async def interrupted_write(
    link: Link,
    peer: socket.socket,
    whole: int,
    write,
    interrupt: Callable[[asyncio.Task], object],
    at: int | None = None,
) -> asyncio.Task:
    """Writes; calls `interrupt` once the peer has `at` bytes (default: all), before the writer resumes."""
    link.channel.sock.whole = whole
    task, got, at = asyncio.create_task(write()), 0, whole if at is None else at
    peer.setblocking(False)
    async with asyncio.timeout(5):
        while got < at or link.channel.sock.holds:
            try:
                got += len(peer.recv(65536))
            except BlockingIOError:
                await asyncio.sleep(0)
    interrupt(task)
    await asyncio.wait([task])
    return task


def link_and_peer() -> tuple[Link, socket.socket]:
    """Returns a link to a node whose last write blocks once, and the node's socket."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = socket.create_connection(listener.getsockname())
        peer = listener.accept()[0]
    return Link(Channel(BlockingSocket(fileno=ours.detach()), Framer(answers=True)), ""), peer


WRITES = {
    "whole": (b"head" + BODY, lambda link: link.request(b"head", BODY)),
    "large": (
        b"head" + b"b" * (READ_BUFFER_BYTES + 1),
        lambda link: link.request(b"head", b"b" * (READ_BUFFER_BYTES + 1)),
    ),
    "pieces": (b"head" + BODY, lambda link: write_pieces(link, len(BODY))),
    "chunks": (
        b"head" + b"64\r\n" + BODY[:100] + b"\r\n64\r\n" + BODY[100:] + b"\r\n0\r\n\r\n",
        lambda link: write_pieces(link, None),
    ),
}


async def write_pieces(link: Link, length: int | None) -> None:
    """Writes a body in pieces, as `AttemptRunner` streams one."""
    await link.request(b"head", streamed_length=length)
    await link.write(BODY[:100])
    await link.write(BODY[100:])
    if length is None:
        await link.write(b"")


@pytest.mark.parametrize("how", WRITES)
def test_cancel_after_the_last_byte_counts_as_sent(how):
    async def run() -> None:
        link, peer = link_and_peer()
        data, write = WRITES[how]
        task = await interrupted_write(link, peer, len(data), lambda: write(link), asyncio.Task.cancel)
        assert link.request_sent and link.channel.unsent == 0 and not task.cancelled()
        peer.close()

    uvloop.run(run())


@pytest.mark.parametrize("how", WRITES)
def test_cancel_before_the_last_byte_counts_as_not_sent(how):
    """The last write is never made: its socket stays blocked."""

    async def run() -> None:
        link, peer = link_and_peer()
        data, write = WRITES[how]
        last = {"whole": len(data), "large": READ_BUFFER_BYTES + 1, "pieces": 100, "chunks": 5}[how]
        link._writable = link.channel._writable = asyncio.Event().wait
        task = await interrupted_write(
            link,
            peer,
            len(data),
            lambda: write(link),
            lambda task: None if task.done() else task.cancel(),
            len(data) - last,
        )
        while not task.done():
            task.cancel()
            await asyncio.sleep(0)
        assert not link.request_sent and link.channel.unsent == last
        peer.close()

    uvloop.run(run())


def test_a_connection_that_breaks_under_the_write_was_not_written():
    async def run() -> None:
        link, peer = link_and_peer()
        link.channel.sock.holds = False
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        peer.close()
        with pytest.raises(RequestNotSentError):
            for _ in range(3):  # the first write may still succeed
                await link.request(b"head", b"b" * READ_BUFFER_BYTES)
        assert not link.request_sent

    uvloop.run(run())


def test_a_request_whose_time_ran_out_as_it_was_written_is_not_sent_again(monkeypatch):
    """A write must run only once, even if it times out between its last byte and its task's next step."""

    async def run() -> None:
        limits, timeout = [], asyncio.timeout
        with socket.create_server(("127.0.0.1", 0)) as node:
            node.setblocking(False)
            async with World(servers=["{}:{}".format(*node.getsockname())]) as world:
                take = world.gateway.pool.take

                async def held(address: str) -> Link:
                    link = await take(address)
                    link.channel.sock = BlockingSocket(fileno=link.channel.sock.detach())
                    return link

                def recorded(seconds: float) -> asyncio.Timeout:
                    limits.append(timeout(seconds))
                    return limits[-1]

                world.gateway.pool.take = held
                monkeypatch.setattr(attempts.asyncio, "timeout", recorded)
                await world.play("c1 send write body=" + "b" * 200)
                got, peer = b"", None
                async with timeout(5):
                    while not got.endswith(b"b" * 200):
                        try:
                            peer = peer or node.accept()[0]
                            peer.setblocking(False)
                            got += peer.recv(65536)
                        except BlockingIOError:
                            await asyncio.sleep(0)
                task = next(iter(world.gateway.attempts.tasks.values()))
                limit = next(at for at in limits if at._task is task and at._state.name == "ENTERED")
                limit._on_timeout()  # in the step in which the node has the whole request
                monkeypatch.setattr(attempts.asyncio, "timeout", timeout)
                await world.play("c1 expect 502")
                with pytest.raises(BlockingIOError):
                    node.accept()  # the request was not sent again
                peer.close()

    uvloop.run(run())
