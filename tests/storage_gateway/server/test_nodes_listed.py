"""The list of nodes, on loopback sockets: the watch on discovery, and nodes that drain or are removed."""

from __future__ import annotations

import pytest
import uvloop
from scenario import World, play


def test_draining_nodes_get_nothing_new_and_the_watch_goes_on():
    drained = (
        '{"revision":2,"complete":false,"members":[{"id":"n0","host_port":"$n0","cell":0,'
        '"phase":"draining"}]}'
    )
    play(
        f"""
        d expect GET 'since=1&timeout_ms='
        d send 200 'body={drained}'
        d expect GET 'since=2&timeout_ms='
        c1 send write shard=-1
        n1 expect PUT
        n1 send 200 body=x
        c1 expect 200
        c1 send read shard=0
        c1 expect 503
        n0 expect nothing
    """,
        nodes=2,
    )


@pytest.mark.parametrize(
    "failure",
    [
        "d send 503",
        "d close",
        "d send 200 body=nonsense",
        'd send 200 \'body={"revision":1,"complete":true,"members":[{}]}\'',
    ],
)
def test_a_failed_watch_is_begun_again(failure):
    play(f"""
        d expect GET since=1
        {failure}
        d expect GET since=1
    """)


DRAINED = '{"revision":2,"complete":false,"members":[{"id":"n0","cell":0,"phase":"draining"}]}'


def test_a_node_that_drains_while_a_connection_comes_up_gets_nothing():
    """The rule on draining holds even if connecting takes longer than the grace period."""

    async def run() -> None:
        async with World() as world:
            gate = world.hold_connecting()
            await world.play(f"""
                c1 send read
                d expect GET since=1
                d send 200 'body={DRAINED}'
                d expect GET since=2
            """)
            gate.set()
            await world.play("c1 expect 503\nn0 expect nothing")

    uvloop.run(run())


def test_idle_connections_to_a_node_that_is_listed_no_more_are_closed():
    play("""
        c1 send read
        n0 expect GET
        n0 send 200 body=x
        c1 expect 200
        d expect GET since=1
        d send 200 'body={"revision":2,"complete":true,"members":[]}'
        n0 expect end
    """)


@pytest.mark.parametrize("pushed", [False, True])
def test_error_with_one_list_ends_neither_the_watch_nor_loses_its_drain(pushed):
    """Continuing from the failed list's revision, the watch never received the drain in it again."""
    whole = '{"revision":2,"complete":true,"members":[{"id":"n0","cell":0,"phase":"draining"}]}'

    async def run() -> None:
        async with World(pushed=pushed) as world:
            told, faults = (
                world.gateway.watch.on_update,
                iter([RuntimeError("once"), RuntimeError("at its end")]),
            )

            def faulty(listing) -> None:
                for fault in faults:
                    raise fault
                told(listing)

            world.gateway.watch.on_update = faulty
            await world.play(rf"""
                d expect GET since=1
                d send 200 'body={DRAINED}'
                d expect 'GET /v1/servers\n'
                d send 200 'body={whole}'
                d expect GET since=2
                c1 send read
                c1 expect 503
            """)

    uvloop.run(run())
