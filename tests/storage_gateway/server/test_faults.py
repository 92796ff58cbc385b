"""Unexpected errors in the gateway itself, on loopback sockets: each affects only its own request or part."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
import uvloop
from scenario import World

from mallowbeam.storage_gateway.scheduler.interface import Outcome
from mallowbeam.storage_gateway.server import gateway


def failing_once(real: Callable) -> Callable:
    """Wraps a function so that its first call fails."""
    faults = iter([RuntimeError("once")])

    def faulty(*args: object, **named: object) -> object:
        for fault in faults:
            raise fault
        return real(*args, **named)

    return faulty


class FailingSubsystem:
    """A subsystem that fails in the named methods."""

    def __init__(self, *fails: str) -> None:
        self.fails, self.called = fails, []

    def start(self) -> None:
        """Does nothing."""

    async def hand_over(self) -> None:
        await self._call("hand_over")

    async def stop(self) -> None:
        await self._call("stop")

    async def _call(self, name: str) -> None:
        if name in self.fails:
            raise RuntimeError(name)
        await asyncio.sleep(0.05)
        self.called.append(name)


def test_an_attempt_whose_pool_fails_was_never_sent():
    """Reported as possibly executed, a write without a key failed although no node ever received it."""

    async def run() -> None:
        async with World() as world:
            world.gateway.pool.take = failing_once(world.gateway.pool.take)
            report, outcomes = world.gateway.scheduler.report, []

            def reported(now, tried, outcome, *rest):
                outcomes.append(outcome)
                return report(now, tried, outcome, *rest)

            world.gateway.scheduler.report = reported
            await world.play("""
                c1 send write deadline=900
                n0 expect PUT
                n0 send 200 body=stored
                c1 expect 200 stored
                n0 expect nothing
            """)
            assert outcomes == [Outcome.NOT_SENT, Outcome.OK] and not world.gateway.attempts.tasks

    uvloop.run(run())


def test_error_with_a_new_connection_does_not_stop_accepting():
    async def run() -> None:
        async with World() as world:
            here = world.gateway.servers[-1]
            here.connection = failing_once(here.connection)
            await world.play("""
                c1 send GET /healthz
                c1 expect end
                c2 send GET /healthz
                c2 expect 200
            """)

    uvloop.run(run())


def test_a_fault_at_the_sweep_ends_that_connection_and_not_the_sweep(monkeypatch):
    monkeypatch.setattr(gateway, "SWEEP_INTERVAL_S", 0.02)

    async def run() -> None:
        async with World() as world:
            await world.play("c1 send GET /healthz\nc1 expect 200\nc2 send GET /healthz\nc2 expect 200")
            first, second = world.gateway.servers[-1].connections
            first.sweep = failing_once(first.sweep)
            async with asyncio.timeout(5):
                await asyncio.gather(first.task)
            assert world.gateway.servers[-1].connections == {second}
            second.waiting_since -= 60.0  # idle beyond the limit
            await world.play("c1 expect end\nc2 expect end")

    uvloop.run(run())


def test_a_part_that_fails_to_hand_over_does_not_end_the_calls_in_hand():
    async def run() -> None:
        async with World() as world:
            other = FailingSubsystem()
            world.gateway.subsystems += [FailingSubsystem("hand_over"), other]
            await world.play("c1 send read\nn0 expect GET")
            world.gateway.handed_over.set()
            await world.play("wait 0.1\nn0 send 200 body=held\nc1 expect 200 held\ng expect end")
            assert other.called == ["hand_over", "stop"]

    uvloop.run(run())


def test_a_part_that_fails_to_stop_is_told_once_the_others_have_ended(monkeypatch):
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.0)
    monkeypatch.setattr(gateway, "LAME_DUCK_S", 0.02)

    async def run() -> None:
        async with World() as world:
            other = FailingSubsystem()
            world.gateway.subsystems += [FailingSubsystem("stop"), other]
            with pytest.raises(RuntimeError, match="stop"):
                await world.play("g close\ng expect end")
            assert other.called == ["stop"] and world.gateway.phase is gateway.Phase.STOPPED

    uvloop.run(run())
