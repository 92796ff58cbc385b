"""Losses by the time of a request and of the requests that it delays, in one unit."""

from __future__ import annotations

import unittest

from mallowbeam.router.admission.messages import Outcome, Plan, PlanRequest, PromptSegment
from mallowbeam.router.admission.planner import Planner
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.configuration.model import Engine
from mallowbeam.router.pairing.load import FleetLoad, StageLoad
from mallowbeam.router.pairing.stages import DECODE, PREFILL
from mallowbeam.router.rpc.messages_pb2 import READY, Instance

GATEWAYS, INSTANCES = 90, 45


class Load(unittest.TestCase):
    def test_rate_covers_recent_arrivals(self) -> None:
        load = StageLoad(0.0)
        for step in range(100):
            load.arrived(step * 0.25)
        self.assertAlmostEqual(load.rate(24.75), 4.0, delta=0.8)
        self.assertLess(load.rate(60.0), 0.1)

    def test_a_single_arrival_gives_a_low_rate(self) -> None:
        load = StageLoad(0.0)
        load.arrived(0.0)
        self.assertLessEqual(load.rate(0.0), 1.2)

    def test_arrivals_at_one_instance(self) -> None:
        fleet = FleetLoad()
        fleet.gateways = GATEWAYS
        stage = fleet.stage("m", PREFILL, 0.0)
        for step in range(30):
            stage.arrived(step * 0.5)
        self.assertAlmostEqual(fleet.arrivals("m", PREFILL, INSTANCES, 14.5), 4.0, delta=0.8)
        self.assertEqual(fleet.arrivals("m", DECODE, INSTANCES, 14.5), 0.0)

    def test_services_that_are_gone_are_forgotten(self) -> None:
        fleet = FleetLoad()
        for backend in ("m", "n"):
            fleet.stage(backend, DECODE, 0.0).arrived(0.0)
        fleet.keep_only({"n", "o"})
        self.assertEqual(fleet.arrivals("m", DECODE, 1, 0.0), 0.0)
        self.assertGreater(fleet.arrivals("n", DECODE, 1, 0.0), 0.0)


class Ways(unittest.TestCase):
    """Whether long prompts are prefilled apart, on engines with different KV cache sizes per token."""

    def fraction_prefilled_apart(self, kv_token_bytes: int, link_mbps: float) -> float:
        engine = Engine(
            slots=64,
            kv_capacity=250_000,
            kv_token_bytes=kv_token_bytes,
            link_mbps=link_mbps,
            stride=8,
            handle_ttl_s=5.0,
            switch_s=1.0,
        )
        planner = Planner(PlannerSettings(), "g")
        stages = [PREFILL] * 18 + [DECODE] * 27
        planner.instances_changed(
            [
                Instance(id=f"i-{number:02}", backend="m", zone="z", slots=64, state=READY, stage=stage)
                for number, stage in enumerate(stages)
            ],
            0.0,
        )
        planner.gateways_changed(GATEWAYS)
        prefilled_apart = 0
        for number in range(100):
            now = number * 0.3
            segments = (PromptSegment(f"s-{number % 40}", 6_300), PromptSegment(f"own-{number}", 2_890))
            request = PlanRequest(f"r-{number}", "m", engine, segments, 9_190, 7, 1, 0.5, 4.0, "z")
            planned = planner.plan(request, now)
            assert isinstance(planned, Plan)
            prefilled_apart += planned.prefill_instance is not None
            planner.begun(planned.booking, now)
            if planned.prefill_instance:
                planner.prefill_done(planned.booking, now + 0.2)
            planner.first_token(planned.booking, now + 0.25)
            planner.finished(planned.booking, Outcome.COMPLETED, now + 0.28)
        return prefilled_apart / 100

    def test_large_memory_on_a_fast_link_moves_as_readily_as_small_memory(self) -> None:
        """With a price per byte, 3 GB moved in 10 ms would cost nearly half of a request's value."""
        self.assertGreater(self.fraction_prefilled_apart(18_432, 550_000.0), 0.8)
        self.assertGreater(self.fraction_prefilled_apart(327_680, 2_400_000.0), 0.8)

    def test_a_slow_link_is_avoided(self) -> None:
        """3 GB over 10 Gbit/s take 2.4 s."""
        self.assertLess(self.fraction_prefilled_apart(327_680, 10_000.0), 0.1)


if __name__ == "__main__":
    unittest.main()
