"""Two short soaks of the router fleet with real processes, and its judge shown able to fail.

The long run is started by hand: see the docstring of `tests/support/outage_soak.py`.
"""

from __future__ import annotations

import unittest
from collections import Counter

import pytest
from run_python import run_script
from soak_judge import (
    CONFIG_S,
    CONTACT_S,
    DRAIN_S,
    LOSS_SLACK_S,
    BrokenOff,
    Configurations,
    Disturbances,
    Exchange,
    Judge,
    planned_stop,
    service_of,
)

SEEDS = (1, 4)  # both failed where a gateway kept the seeds of its start
TIMEOUT_S = 300.0  # a run takes about a minute; only a failure comes near the limit
GATEWAY = "data-plane-1"


@pytest.mark.parametrize("seed", SEEDS)
def test_outages_that_overlap_break_no_rule(seed):
    summary = run_script("outage_soak.py", "--first", str(seed), timeout_s=TIMEOUT_S)
    assert summary["members_started"] >= 2 * summary["members"]
    assert summary["judged"]["CONFIG"] and summary["judged"]["unsafe requests run"]


class JudgeOfTheSoak(unittest.TestCase):
    """Each rule is broken once, and once not; revision 1 is acknowledged at 10 s, revision 2 at 20 s."""

    def setUp(self) -> None:
        self.disturbances = Disturbances()
        self.configurations = Configurations(2, {1: 10.0, 2: 20.0})
        self.judge = Judge(self.disturbances, self.configurations)

    def answer(self, path: str, status: int, sent_at: float, service: str = "", life: int = 0) -> list[str]:
        """Judge one answer; returns the rules that are broken so far."""
        self.judge.answered(Exchange(GATEWAY, life, path, sent_at, sent_at + 0.01, status, service))
        return self.rules()

    def rules(self) -> list[str]:
        return [violation.partition(":")[0] for violation in self.judge.violations]

    def test_a_configuration_binds_after_its_time(self) -> None:
        late = 20.0 + CONFIG_S + 0.1
        self.assertEqual(self.answer("/moving/x", 200, 20.0 + CONFIG_S - 0.1, service_of(1)), [])
        self.assertEqual(self.answer("/rev-2/x", 404, 20.0 + CONFIG_S - 0.1), [])
        self.assertEqual(self.answer("/moving/x", 200, late, service_of(2)), [])
        self.assertEqual(self.answer("/rev-1/x", 404, late), [])
        self.assertEqual(self.answer("/moving/x", 200, late, service_of(1)), ["CONFIG"])
        self.assertEqual(self.answer("/rev-2/x", 404, late), ["CONFIG"] * 2)
        self.assertEqual(self.answer("/rev-1/x", 200, late, life=1), ["CONFIG"] * 3)
        self.assertEqual(self.answer("/moving/x", 404, late), ["CONFIG"] * 3 + ["DENIED"])

    def test_a_gateway_that_was_disturbed_is_bound_once_it_is_in_touch(self) -> None:
        self.disturbances.begin(GATEWAY, 15.0).until = 25.0
        self.assertEqual(self.answer("/rev-2/x", 404, 25.0 + CONTACT_S - 0.1), [])
        self.assertEqual(self.answer("/rev-2/x", 404, 25.0 + CONTACT_S + 0.1), ["CONFIG"])

    def test_a_gateway_does_not_go_back_within_one_life(self) -> None:
        self.disturbances.begin(GATEWAY, 0.0)  # also one that is out of touch
        self.answer("/rev-2/x", 200, 20.0)
        self.assertEqual(self.answer("/rev-1/x", 200, 21.0, life=1), [])
        self.assertEqual(self.answer("/rev-1/x", 200, 21.0), ["CONFIG"])

    def test_a_planned_stop_excuses_no_request_that_was_read(self) -> None:
        self.judge.stop_sent(GATEWAY, 30.0)
        self.disturbances.begin(planned_stop(GATEWAY), 30.0)
        lost = BrokenOff(GATEWAY, "/slow/x", 31.0, 31.05, reached_instance=False, answer_bytes=0)
        self.judge.broken_off(lost)
        self.assertEqual(self.rules(), [])  # it crossed the close
        reached = BrokenOff(GATEWAY, "/slow/x", 31.0, 31.05, reached_instance=True, answer_bytes=0)
        late = BrokenOff(
            GATEWAY, "/slow/x", 31.0, 31.1 + LOSS_SLACK_S, reached_instance=False, answer_bytes=0
        )
        for one in (reached, late):
            self.judge.broken_off(one)
        self.assertEqual(self.rules(), ["LOST"] * 2)
        self.disturbances.begin(GATEWAY, 31.04)
        self.judge.broken_off(reached)
        self.assertEqual(self.rules(), ["LOST"] * 2)  # its gateway was killed

    def test_an_instance_that_drains_gets_no_request_after_its_time(self) -> None:
        self.judge.arrived(GATEWAY, "first-0", 40.0, 40.0, 40.0 + DRAIN_S - 0.1)
        self.assertEqual(self.rules(), [])
        self.judge.arrived(GATEWAY, "first-0", 40.0, 42.0, 40.0 + DRAIN_S + 0.1)
        self.assertEqual(self.rules(), ["DRAIN"])

    def test_an_unsafe_request_runs_once(self) -> None:
        self.judge.runs(Counter(a=1, b=2))
        self.assertEqual(self.rules(), ["TWICE"])
