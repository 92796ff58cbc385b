"""Connections to nodes: late, partial or missing responses, and the connection count of the pool."""

from __future__ import annotations

import asyncio
import select
import socket

import pytest
import uvloop
from scenario import World

from mallowbeam.http import client as upstream
from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.client import ConnectionLimitError, Pool, RequestNotSentError

RESET = (socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
HEAD = "HTTP/1.1 200 OK\\r\\n"


def played(scenario: str, *later: str, rest: float = -1.0, monkeypatch=None, check=None) -> None:
    """Plays scenarios in turn, with `rest` as the pool's rest time; `check` is called at the end."""
    if monkeypatch is not None:
        monkeypatch.setattr(upstream, "REUSE_DELAY_S", rest)

    async def run() -> None:
        async with World() as world:
            for part in (scenario, *later):
                await world.play(part)
            if check is not None:
                check(world)

    uvloop.run(run())


def same_connection(world: World) -> bool:
    """Whether all requests used one connection to the node."""
    return world.gateway.pool.count == 1


@pytest.mark.parametrize("rests", [True, False])
def test_a_connection_rests_after_an_answer_before_the_next_request(monkeypatch, rests):
    """A stray second response, some milliseconds late, must not be read as the next request's response."""
    played(
        """
        c1 send read
        n0 expect GET
        n0 send 200 body=first
        c1 expect 200 first
        n0 send 200 body=stray
        c1 send read
        n0 expect GET
        n0 send 200 body=second
        c1 expect 200 '\\n\\nsecond$'
    """
        if rests
        else """
        c1 send read
        n0 expect GET
        n0 send 200 body=first
        c1 expect 200 first
        c1 send read
        n0 expect GET
        n0 send 200 body=second
        c1 expect 200 '\\n\\nsecond$'
    """,
        rest=1e6 if rests else -1.0,
        monkeypatch=monkeypatch,
        check=lambda world: same_connection(world) is not rests or pytest.fail("connections"),
    )


@pytest.mark.parametrize(
    "stray", ["x", "HTTP/1.1 2", *(f"{HEAD}content-length: 5\\r\\n\\r\\n{body}" for body in ("str", "stray"))]
)
def test_what_comes_between_the_connection_s_choice_and_the_write_is_nobody_s_answer(monkeypatch, stray):
    """The race is forced: stray bytes arrive after the connection is chosen and before the first write."""
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", -1.0)

    async def run() -> None:
        async with World() as world:
            await world.play("c1 send read\nn0 expect GET\nn0 send 200 body=a\nc1 expect 200 a")
            (link,) = next(iter(world.gateway.pool.idle.values()))
            node = world.parties["n0"].writer.transport.get_extra_info("socket")
            may_begin = world.gateway.scheduler.may_begin

            def crossed(now: float, tried: object) -> bool:
                world.gateway.scheduler.may_begin = may_begin
                socket.socket.send(node._sock, stray.encode().decode("unicode_escape").encode())
                assert select.select([link.channel.sock], [], [], 5)[0]
                return may_begin(now, tried)

            world.gateway.scheduler.may_begin = crossed
            await world.play("c1 send write\nn0 expect PUT\nn0 send 200 body=news\nc1 expect 200 news$")
            assert link.channel.sock.fileno() == -1 and world.gateway.pool.count == 1

    uvloop.run(run())


@pytest.mark.parametrize("body", ["half", "half" * 20000], ids=["held", "passed on"])
def test_a_body_without_length_that_is_reset_has_no_end(body):
    """A body without a length ends with an orderly close; a reset must not count as its end."""

    async def run() -> None:
        patient = {"new-write": {"OnTime": 30.0, "HardLimit": 60.0}}  # so that no deadline ends it
        async with World(Classes=patient) as world:
            await world.play(f"""
                c1 send write deadline=60000
                n0 expect PUT
                n0 send raw '{HEAD}\\r\\n{body}'
            """)
            node = world.parties["n0"].writer
            await node.drain()
            if len(body) > 65536:  # it is being streamed
                async with asyncio.timeout(5):
                    while world.gateway.exchanges:
                        await asyncio.sleep(0)
            node.transport.get_extra_info("socket").setsockopt(*RESET)
            node.transport.abort()
            if len(body) > 65536:
                await world.play("c1 expect end")
                assert not world.parties["c1"].seen
            else:
                await world.play("n0 expect PUT\nn0 send 200 body=whole\nc1 expect 200 '\\n\\nwhole$'")

    uvloop.run(run())


def test_a_node_may_reset_long_after_the_request_began():
    played(
        """
        c1 send read deadline=1500
        n0 expect GET
        n0 send raw 'HTTP/1.1 200 OK\\r\\ncontent-le'
    """,
        "n0 close",
        "n0 expect GET\nn0 send 200 body=x\nc1 expect 200 x",
    )


# --- the connection count --------------------------------------------------------------------------------


def pool(most: int = 2) -> Pool:
    return Pool(most, 10.0, 5.0, 65536, BodyBudget(1 << 20))


def address(listener: socket.socket) -> str:
    return "{}:{}".format(*listener.getsockname())


@pytest.mark.parametrize("what", ["cancel", "timeout", "forget", "refused", "malformed"])
def test_connection_count_is_right_after_any_event_while_connecting(monkeypatch, what):
    """The event occurs in the step in which the connection is open but its task has not resumed yet."""

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            place, links = address(listener), pool()
            if what == "refused":
                listener.close()
            if what == "malformed":
                place = "nowhere"
            task = asyncio.create_task(links.take(place))
            await asyncio.sleep(0)  # its first step: connecting
            if what in ("cancel", "timeout", "forget"):
                async with asyncio.timeout(5):
                    while True:
                        try:
                            peer = listener.accept()[0]
                            break
                        except BlockingIOError:
                            await asyncio.sleep(0)
                assert links.count == 1
            if what == "cancel":
                task.cancel()
            elif what == "timeout":
                task.cancel("as a limit does")
            elif what == "forget":
                links.forget(place)
            await asyncio.wait([task])
            if what == "forget":
                links.drop(task.result())
            elif what in ("refused", "malformed"):
                assert isinstance(task.exception(), RequestNotSentError)
            elif not task.cancelled():  # the connection was open already, and is returned
                links.drop(task.result())
            assert links.count == 0 and not any(links.idle.values())
            if what in ("cancel", "timeout", "forget"):
                peer.close()

    uvloop.run(run())


def test_an_eviction_makes_room_for_one_and_a_full_pool_says_so():
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.1", 0)) as two:
            links = pool(most=2)
            held = [await links.take(address(one)) for _ in range(2)]
            with pytest.raises(ConnectionLimitError):
                await links.take(address(two))
            assert links.keep(held[0])
            third = await links.take(address(two))
            assert links.count == 2 and held[0].channel.sock.fileno() == -1
            links.drop(held[1])
            links.drop(third)
            assert links.count == 0

    uvloop.run(run())


def test_a_connection_never_used_needs_no_rest(monkeypatch):
    """A connection opened for an attempt that could not begin any more is used for the next one at once."""
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", 1e6)

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            links = pool()
            links.idle_lifetime = 1e9
            link = await links.take(address(listener))
            assert links.keep(link) and await links.take(address(listener)) is link
            links.drop(link)
            assert links.count == 0

    uvloop.run(run())
