"""Requests of different priorities for one service, in the model of `test_admission_fleet.py`.

While the fleet can serve nearly all requests, also in a burst, no kind is served clearly less often than a
less urgent one.  For higher loads, `docs/rules.md` has the figures: short prompts are then served where long
ones are not, whatever their priority.
"""

from __future__ import annotations

import unittest
from functools import cache

from test_admission_fleet import World

from mallowbeam.router.admission.messages import PlanRequest, PromptSegment, Rejection
from mallowbeam.router.admission.planner import Planner
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.rpc.messages_pb2 import READY, Backend, Engine, Instance

SEEDS = (1, 2, 3)
MARGIN = 0.05  # of the requests of a kind
USUAL, BURST = 0.7, 1.5  # load
BEGINS_S, ENDS_S, SECONDS = 4.0, 7.0, 14.0


class BurstWorld(World):
    """The usual load with a burst of three seconds."""

    def _next(self, kind):
        self.load = BURST if BEGINS_S <= self.now < ENDS_S else USUAL
        super()._next(kind)


@cache
def served_fractions() -> dict[str, float]:
    """Return the fraction served of each kind, over all seeds."""
    worlds = [BurstWorld(PlannerSettings(), USUAL, seed=seed, seconds=SECONDS).run() for seed in SEEDS]
    return {
        kind.name: sum(world.tallies[kind.name].served_fraction for world in worlds) / len(worlds)
        for kind in worlds[0].kinds
    }


def violations(shares: dict[str, float], priorities: dict[str, int]) -> dict[tuple[str, str], float]:
    """Return by how much each kind is served less often than a less urgent one, beyond the margin."""
    pairs = [(one, other) for one in shares for other in shares if priorities[one] < priorities[other]]
    return {(one, other): over for one, other in pairs if (over := shares[other] - shares[one] - MARGIN) > 0}


class ABurst(unittest.TestCase):
    PRIORITIES = {"medium": 0, "long": 1, "short": 2}

    def test_no_kind_is_put_behind_a_less_urgent_one(self) -> None:
        self.assertEqual(violations(served_fractions(), self.PRIORITIES), {})

    def test_the_check_can_fail(self) -> None:
        shares = {"medium": 0.90, "long": 0.94, "short": 0.96}
        self.assertEqual(set(violations(shares, self.PRIORITIES)), {("medium", "short")})


class Refusals(unittest.TestCase):
    """Of equal requests, the more urgent tolerate a longer wait before they are rejected."""

    REQUESTS = 400

    def rejected(self, priority: int) -> float:
        """Return the fraction rejected after long measured waits of the service."""
        planner = Planner(PlannerSettings(), "g")
        engine = Engine(slots=64, kv_capacity=400_000, kv_token_bytes=18_432, link_mbps=500_000.0)
        planner.configuration_changed([Backend(name="s", engine=engine)], 0.0)
        planner.instances_changed(
            [
                Instance(id=f"{stage}-{number}", backend="s", stage=stage, slots=64, state=READY)
                for stage in ("prefill", "decode")
                for number in range(3)
            ],
            0.0,
        )
        for urgent in range(3):  # so that all priorities are known
            planner.plan(self.request(f"known-{urgent}", urgent), 0.0)
        planner.guard.record_wait("s", 500_000, 0.9, 0.0)
        requests = [self.request(f"r-{number}", priority) for number in range(self.REQUESTS)]
        return sum(isinstance(planner.plan(one, 0.01), Rejection) for one in requests) / self.REQUESTS

    @staticmethod
    def request(name: str, priority: int) -> PlanRequest:
        engine = Engine(slots=64, kv_capacity=400_000, kv_token_bytes=18_432, link_mbps=500_000.0)
        return PlanRequest(
            name,
            "s",
            engine,
            (PromptSegment(name, 2000),),
            2000,
            10,
            priority=priority,
            target_latency_s=0.4,
            time_left_s=3.0,
        )

    def test_the_more_urgent_are_refused_less_often(self) -> None:
        shares = [self.rejected(priority) for priority in (0, 1, 2)]
        self.assertLess(shares[0] + 0.1, shares[1])
        self.assertLess(shares[1] + 0.05, shares[2])


if __name__ == "__main__":
    unittest.main()
