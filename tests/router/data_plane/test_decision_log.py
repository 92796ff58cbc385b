"""The decision log: one line per request, with expected and measured times."""

from __future__ import annotations

import unittest

from mallowbeam.router.admission.messages import (
    Expectation,
    Outcome,
    Plan,
    PlanRequest,
    Rejection,
    RejectionReason,
)
from mallowbeam.router.data_plane.decision_log import DecisionLog
from mallowbeam.router.data_plane.planner_interface import LeastLoadedPlanner

REQUEST = PlanRequest("r", "models", None, prompt_tokens=9000, answer_tokens=7, target_latency_s=0.5)


class FixedDecision(LeastLoadedPlanner):
    """A planner that always returns the same decision."""

    def __init__(self, planned: Plan | Rejection) -> None:
        super().__init__()
        self.planned = planned

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        return self.planned


def plan(reader: str | None = "p-1") -> Plan:
    return Plan(
        1,
        reader,
        "d-1",
        0.25,
        9,
        0.4,
        uncached_tokens=8000,
        candidates=12,
        expected=Expectation(0.05, 0.2, 0.01, 0.02, 0.3),
    )


class Lines(unittest.TestCase):
    def lines(
        self, planned: Plan | Rejection, steps: list[tuple[str, float]], end: float | None
    ) -> list[str]:
        lines: list[str] = []
        log = DecisionLog(FixedDecision(planned), lines.append)
        log.plan(REQUEST, 10.0)
        for step, now in steps:
            getattr(log, step)(1, now)
        if end is not None:
            log.finished(1, Outcome.COMPLETED, end)
            log.finished(1, Outcome.COMPLETED, end)  # a second end logs nothing
        return lines

    def test_separately_prefilled_request(self) -> None:
        steps = [("begun", 10.25), ("prefill_done", 10.5), ("first_token", 10.6)]
        (line,) = self.lines(plan(), steps, 10.75)
        for word in (
            "completed",
            "service=models",
            "prompt=9000",
            "reader=p-1",
            "decoder=d-1",
            "ways=12",
            "held=0.250",
            "units=9",
            "unread=8000",
            "loss=0.300",
            "wait=0.050",
            "read=0.200",
            "move=0.010",
            "join=0.020",
            "first=0.400",
            "read=0.250",
            "first=0.600",
            "all=0.750",
        ):
            self.assertIn(f" {word} ", f" {line} ")

    def test_steps_that_were_not_reached(self) -> None:
        (line,) = self.lines(plan(None), [("begun", 10.25)], 11.0)
        self.assertIn("reader=- decoder=d-1", line)
        self.assertIn("seen: read=- first=- all=1.000", line)

    def test_refusals(self) -> None:
        (line,) = self.lines(Rejection(0.3, RejectionReason.NO_CYCLE), [], None)
        self.assertTrue(line.startswith("refused service=models"))
        self.assertTrue(line.endswith("reason=no_cycle"))


if __name__ == "__main__":
    unittest.main()
