"""Events between the decision to send a request and its first byte, while the connection is being opened.

Each race is forced: connections to nodes are held back until the event has happened.
"""

from __future__ import annotations

import asyncio
import json

import pytest
import uvloop
from scenario import World
from scheduler_rig import SLOW_START_SETTINGS, Rig, of

from mallowbeam.storage_gateway.scheduler.interface import (
    ClientDisconnected,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    NodeEntry,
    NodeState,
    Outcome,
    Send,
)

SHORT_WINDOW = {"new-write": {"Window": 0.3}}


async def until_no_attempts(world: World) -> None:
    """Waits until no attempt is in flight."""
    async with asyncio.timeout(5):
        while world.gateway.attempts.tasks:
            await asyncio.sleep(0)


def assert_not_sent(before: str, meanwhile, after: str, reached: int = 0, **world: object) -> None:
    """Plays `before`, runs `meanwhile` during a held connect, and checks that `reached` requests were sent.

    If `before` is a tuple, its first scenario is played before connections are held.
    """

    async def run() -> None:
        async with World(**world) as here:
            if isinstance(before, tuple):
                await here.play(before[0])
            gate = here.hold_connecting()
            await here.play(before[-1] if isinstance(before, tuple) else before)
            await meanwhile(here)
            gate.set()
            await until_no_attempts(here)
            await here.play(after)
            assert here.gateway.metrics.upstream_requests == reached
            here.gateway.pool.sweep()
            assert here.gateway.pool.count == sum(map(len, here.gateway.pool.idle.values()))

    uvloop.run(run())


def advance_clock(seconds: float):
    """Returns a step that advances the gateway's clock while a connection is being opened."""

    async def advance(world: World) -> None:
        async with asyncio.timeout(5):
            await world.connect_blocked.wait()
        world.gateway.epoch += seconds

    return advance


def test_a_keyed_repeat_whose_window_has_closed_meanwhile_is_not_sent():
    """Seen in the run zone+brink: a write was retried outside its window because connecting took long."""
    assert_not_sent(
        ("c1 send write\nn0 expect PUT", "n0 close"),
        advance_clock(0.35),
        "c1 expect 502\nn0 expect nothing",
        reached=1,
        Classes=SHORT_WINDOW,
    )


def test_what_has_no_time_left_is_refused_and_not_sent():
    assert_not_sent("c1 send read", advance_clock(1.6), "c1 expect 503\nn0 expect nothing")


@pytest.mark.parametrize("cancel", [True, False])
def test_nothing_is_sent_for_a_client_gone_while_connecting(cancel):
    """Also where attempts may not be cancelled, so that the connection is opened all the same."""

    async def leave(world: World) -> None:
        await advance_clock(0.0)(world)
        await world.play("c1 close")
        async with asyncio.timeout(5):
            while world.gateway.exchanges:
                await asyncio.sleep(0)

    assert_not_sent("c1 send read", leave, "n0 expect nothing", Ceilings={"Cancel": cancel})


def test_final_answer_while_connecting_prevents_the_send():
    async def verdict(world: World) -> None:
        await advance_clock(0.0)(world)
        world.gateway.epoch += 1.6  # the scheduler's timer is due
        world.gateway.scheduler.wake_at = 0.0
        world.gateway._wake()

    assert_not_sent(
        "c1 send write deadline=1500", verdict, "c1 expect 502\nn0 expect nothing", Ceilings={"Cancel": False}
    )


def test_a_node_that_started_meanwhile_gets_it_as_a_cold_one_on_the_same_connection():
    async def run() -> None:
        async with World() as world:
            gate = world.hold_connecting()
            await world.play("c1 send read")
            started = {
                "id": "n0",
                "cell": 0,
                "phase": "up",
                "host_port": world.parties["n0"].address,
                "up_since_ms": round(world.gateway.now() * 1000),
            }
            told = json.dumps({"revision": 2, "complete": False, "members": [started]})
            await world.play(f"d expect GET since=1\nd send 200 'body={told}'\nd expect GET since=2")
            gate.set()
            await world.play("n0 expect GET\nn0 send 200 body=x\nc1 expect 200 x")
            node = world.gateway.scheduler._scheduler.state.nodes["n0"]
            assert [send.units for send in node.slow_start_sends if send.units] == [1]
            assert world.gateway.pool.count == 1 and world.gateway.metrics.upstream_requests == 1

    uvloop.run(run())


def test_the_time_that_a_node_is_told_is_what_is_left_when_the_request_is_written():
    """Connecting takes part of the deadline; the node must not work on for longer than the client waits."""

    async def run() -> None:
        async with World() as world:
            gate = world.hold_connecting()
            await world.play("c1 send read deadline=280")
            async with asyncio.timeout(5):
                await world.connect_blocked.wait()  # the attempt's time limit starts here
            await asyncio.sleep(0.1)
            gate.set()
            await world.play("n0 expect GET\nn0 send 200 body=x\nc1 expect 200")
            told = int(world.parties["n0"].seen[0].get(b"x-deadline-ms"))
            assert 0 < told <= 180

    uvloop.run(run())


# --- the scheduler alone: what an attempt that never began is charged ------------------------------------


def test_attempt_that_never_began_is_not_charged():
    rig = Rig(limit_at_arrival=True, **(SLOW_START_SETTINGS | {"hosts": 1, "slow_start_units": 100.0}))
    rig.wait(2.0)  # the rate limit's tokens fill up
    rig.step(
        DiscoveryUpdate(
            DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, zone="a", started_at=rig.now)]
        )
    )
    for plan in ("basic", "gold"):
        send = of(rig.step(rig.request(plan=plan, units=2)), Send)[0]
        volume, node = rig.host.volumes.by_key["v", plan], rig.host.state.nodes["n0"]
        held = sum(send.units for send in node.slow_start_sends)
        limit, reserve = volume.limit_level, volume.reserve_level
        rig.step(ClientDisconnected(send.request))
        assert not rig.host.may_begin(rig.now, send.request, 0)
        rig.step(rig.ended(send, Outcome.NOT_SENT))
        assert sum(send.units for send in node.slow_start_sends) == held - 2
        assert (volume.limit_level, volume.reserve_level) == (limit + 2, reserve + 2 * (plan == "gold"))


def test_units_count_at_a_cold_node_from_when_they_come_there():
    """Sends decided over a second can reach the node at one instant, so they count from when they start."""
    rig = Rig(limit_at_arrival=True, **(SLOW_START_SETTINGS | {"hosts": 1}))
    rig.step(
        DiscoveryUpdate(
            DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, zone="a", started_at=rig.now)]
        )
    )
    send = of(rig.step(rig.request(units=2)), Send)[0]
    assert rig.host.may_begin(rig.now + 0.2, send.request, 0)
    sends = rig.host.state.nodes["n0"].slow_start_sends
    assert [(sent.sent_at, sent.units) for sent in sends if sent.units] == [(rig.now + 0.2, 2)]


def test_units_that_come_later_than_the_window_since_they_were_decided_count_too():
    """A send decided more than a window ago was dropped from the count before it reached the node."""
    rig = Rig(limit_at_arrival=True, **(SLOW_START_SETTINGS | {"hosts": 1, "overload_window": 0.1}))
    rig.step(
        DiscoveryUpdate(
            DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n0", shard=0, zone="a", started_at=rig.now)]
        )
    )
    send = of(rig.step(rig.request(units=2)), Send)[0]
    rig.step(rig.request(units=1, volume="w"), after=0.15)  # prunes the node's older sends
    assert rig.host.may_begin(rig.now, send.request, 0)
    sends = rig.host.state.nodes["n0"].slow_start_sends
    assert (rig.now, 2) in [(sent.sent_at, sent.units) for sent in sends]


@pytest.mark.parametrize(
    ("listed", "goes"),
    [
        ([], True),
        ([NodeEntry("n0", NodeState.DRAINING)], False),
        ([NodeEntry("n0", NodeState.REMOVED)], False),
        ([NodeEntry("n0", shard=0, zone="a", started_at=100.0)], False),
    ],
)
def test_list_change_while_connecting_is_respected(listed, goes):
    rig = Rig(limit_at_arrival=True, **SLOW_START_SETTINGS)
    send = of(rig.step(rig.request(units=1)), Send)[0]
    if listed:
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, listed))
    assert rig.host.may_begin(rig.now, send.request, 0) is goes
