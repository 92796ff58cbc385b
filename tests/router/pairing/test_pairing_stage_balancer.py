"""The balance of stages: the split of instances, its bounds, and the rate of orders."""

from __future__ import annotations

import unittest

from mallowbeam.router.pairing.stage_balancer import (
    OrderResult,
    StageBalancer,
    StageBalancerSettings,
    StageInstance,
    StageOrder,
    best_split,
)
from mallowbeam.router.pairing.stage_work import StageWork
from mallowbeam.router.pairing.stages import DECODE, PREFILL
from mallowbeam.router.rpc.messages_pb2 import StageDemand

SETTINGS = StageBalancerSettings()
SLOTS, SWITCH_S = 64, 1.0
# Prefills that keep about 40 instances busy, at 40,000 tokens per second each, and hardly any decoding.
HEAVY_PREFILL = StageDemand(
    backend="m",
    reading=60.0,
    read_tokens=1.6e6,
    done_tokens=7e5,
    decoding=20.0,
    generated=3e3,
    first_tokens=1e3,
)


class Fleet:
    """Instances that execute orders at once, and the `StageBalancer` that sends them."""

    def __init__(self, prefill: int, decode: int) -> None:
        self.stages = {
            f"i-{number:02}": PREFILL if number < prefill else DECODE for number in range(prefill + decode)
        }
        self.balancer = StageBalancer(SETTINGS)
        self.now = 0.0

    def instances(self) -> list[StageInstance]:
        return [StageInstance(id, f"{id}:1", stage, "z") for id, stage in self.stages.items()]

    def step(self, demand: StageDemand, seconds: float = 0.5) -> list[StageOrder]:
        """Report a demand, and execute the resulting orders."""
        self.now += seconds
        self.balancer.observe(demand, self.instances(), self.now)
        orders = self.balancer.decide(self.instances(), SLOTS, SWITCH_S, self.now)
        for order in orders:
            self.balancer.record_result(order, OrderResult.ACCEPTED, SWITCH_S, self.now)
            self.stages[order.id] = order.stage
        return orders

    def count(self, stage: str) -> int:
        return list(self.stages.values()).count(stage)


class Split(unittest.TestCase):
    def test_the_busier_stage_is_least_busy(self) -> None:
        self.assertEqual(best_split(StageWork(20.0, 20.0), 45, 2), 22)
        self.assertEqual(best_split(StageWork(30.0, 2.0), 45, 2), 42)
        self.assertEqual(best_split(StageWork(30.0, 2.0), 45, 9), 36)
        self.assertEqual(best_split(StageWork(2.0, 30.0), 45, 9), 9)


class Orders(unittest.TestCase):
    def test_each_stage_keeps_its_least_however_heavy_the_other(self) -> None:
        for prefill, decode, least in ((18, 27, 2), (4, 5, 2), (2, 2, 1)):
            fleet = Fleet(prefill, decode)
            for _ in range(40):
                fleet.step(HEAVY_PREFILL)
            self.assertGreaterEqual(fleet.count(DECODE), least)

    def test_the_split_adapts_within_seconds(self) -> None:
        """A tenth of the instances switch at once: more left too few to decode the requests just begun."""
        fleet = Fleet(18, 27)
        first = next(step for step in range(40) if fleet.step(HEAVY_PREFILL))
        self.assertLess(first * 0.5, 3.0)
        self.assertEqual(27 - fleet.count(DECODE), 4)
        for _ in range(10):
            fleet.step(HEAVY_PREFILL)
        self.assertLessEqual(fleet.count(DECODE), 10)

    def test_no_more_are_under_way_than_allowed(self) -> None:
        fleet = Fleet(18, 27)
        orders: list[StageOrder] = []
        while not orders:
            orders = fleet.step(HEAVY_PREFILL)
        self.assertLessEqual(len(orders), SETTINGS.in_progress_fraction * 45)


if __name__ == "__main__":
    unittest.main()
