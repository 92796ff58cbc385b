"""Behaviour of real deployments: instances that drop idle connections silently, and wrong health reports."""

from __future__ import annotations

import asyncio
import unittest

from failing_instances import ByName, EarlyIdleTimeout, add, set_state
from gateway_bench import DEFAULT, Bench, configuration, route
from timed_instances import Timed
from virtual_time import play

from mallowbeam.router.rpc.messages_pb2 import ENDED

IDLE_S = 1.0  # longer than the idle timeout of `EarlyIdleTimeout`, shorter than it announces


class DroppedIdle(unittest.TestCase):
    """The instance drops an idle connection, which is reset when the gateway reuses it."""

    async def ask_twice(self, target: str) -> tuple[list[int], EarlyIdleTimeout, Timed]:
        async with Bench(DEFAULT, ByName()) as bench:
            dropping, other = EarlyIdleTimeout("i-1"), Timed("i-2")
            await add(bench, dropping)
            await add(bench, other)
            statuses = [(await bench.ask(target)).status]
            await asyncio.sleep(IDLE_S)
            statuses.append((await bench.ask(target)).status)
            return statuses, dropping, other

    def test_unsafe_request_is_not_retried_and_not_reported_as_not_run(self) -> None:
        async def scenario() -> None:
            statuses, dropping, other = await self.ask_twice("/unsafe/")
            self.assertEqual(statuses, [200, 502])
            self.assertEqual((dropping.reset, len(dropping.seen), len(other.seen)), (1, 1, 0))

        play(scenario())

    def test_safe_request_is_retried(self) -> None:
        async def scenario() -> None:
            statuses, dropping, other = await self.ask_twice("/safe/")
            self.assertEqual(statuses, [200, 200])
            self.assertEqual((dropping.reset, len(dropping.seen), len(other.seen)), (1, 1, 1))

        play(scenario())


class FalseHealth(unittest.TestCase):
    """There are no health checks: only request outcomes and the state that members report count."""

    def test_no_health_check_is_made(self) -> None:
        async def scenario() -> None:
            async with Bench(configuration(route("/safe/", "safe")), ByName()) as bench:
                instance = Timed("i-1")
                await add(bench, instance)
                for _ in range(3):
                    self.assertEqual((await bench.ask("/safe/")).status, 200)
                    await asyncio.sleep(5.0)
                    bench.gateway.sweep(1000.0)
                self.assertEqual({(seen.method, seen.target) for seen in instance.seen}, {("POST", "/safe/")})

        play(scenario())

    def test_an_instance_that_ended_gets_nothing_however_well_it_answers(self) -> None:
        async def scenario() -> None:
            async with Bench(DEFAULT, ByName()) as bench:
                first, second = Timed("i-1"), Timed("i-2")
                await add(bench, first)
                await add(bench, second)
                set_state(bench, "i-1", ENDED)
                self.assertEqual((await bench.ask("/unsafe/")).headers["server-signature"], "stamp.i-2")
                self.assertEqual(first.seen, [])

        play(scenario())


if __name__ == "__main__":
    unittest.main()
