"""Requests through the complete gateway while instances fail; virtual time, stand-ins on loopback."""

from __future__ import annotations

import asyncio
import unittest

from failing_instances import (
    ByName,
    DirectFirst,
)
from gateway_bench import (
    ENGINE,
    Bench,
    configuration,
    events,
    route,
)
from virtual_time import play

from mallowbeam.router.data_plane.retry_budget import BudgetSettings
from mallowbeam.standins.model_server import Fault

ROUTES = configuration(
    route("/safe/", "safe"),
    route("/unsafe/", "unsafe"),
    route("/once/", "stream", ENGINE, gap_aim_ms=100, max_retries=1),
    route("/resume/", "stream", ENGINE, resumable=True, gap_aim_ms=100, max_retries=2),
)
NO_BUDGET = BudgetSettings(ratio=0.0, min_retries=0)
PROMPT = {"Token-Usage": "1000,5", "Prompt-Prefix": "aa:600,bb:400"}


def now() -> float:
    return asyncio.get_running_loop().time()


class Case(unittest.TestCase):
    """Base of tests that run a scenario in virtual time."""

    def assertBetween(self, least: float, value: float, most: float) -> None:
        self.assertGreaterEqual(value, least)
        self.assertLessEqual(value, most)


class InstancesPerRequest(Case):
    """The number of instances on which one request runs."""

    def test_prompt_is_prefilled_separately_only_before_any_arrival(self):
        async def scenario():
            async with Bench(ROUTES, DirectFirst("p-1")) as bench:
                prefill = await bench.add("p-1", ENGINE, "prefill")
                decodes = [await bench.add(f"d-{number}", ENGINE, "decode") for number in (1, 2, 3)]
                decodes[0].script.append(Fault.FAIL)
                answer = await bench.ask("/resume/", headers=PROMPT)
                self.assertEqual((answer.status, answer.body), (200, events()))
                self.assertEqual([len(one.seen) for one in (prefill, *decodes)], [0, 1, 1, 0])

        play(scenario())

    def test_stream_that_breaks_after_a_hand_over_is_resumed(self):
        async def scenario():
            for fault in (Fault.TRUNCATED, Fault.RESET, Fault.FAIL):
                async with Bench(ROUTES, ByName("p-1")) as bench:
                    prefill = await bench.add("p-1", ENGINE, "prefill")
                    decodes = [await bench.add(f"d-{number}", ENGINE, "decode") for number in (1, 2, 3)]
                    decodes[0].script.append(fault)
                    answer = await bench.ask("/resume/", headers=PROMPT)
                    self.assertEqual((answer.complete, answer.body), (True, events()), fault)
                    self.assertEqual([len(one.seen) for one in (prefill, *decodes)], [1, 1, 1, 0], fault)

        play(scenario())


if __name__ == "__main__":
    unittest.main()
