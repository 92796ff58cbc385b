"""Recovery after machines lost power: order and time bounds of the milestones."""

from __future__ import annotations

import unittest

from mallowbeam.router.feed.limits import READY_WITHOUT_COMPLETE_S
from mallowbeam.simulation.recovery import Milestone, RecoveryRun
from mallowbeam.simulation.walk import discard_logs

SEEDS = range(1, 6)
EVERYTHING = "members gateways instances"
BOUNDS_S = {
    Milestone.MAJORITY_STARTED: 0.1,
    Milestone.LEADER_ELECTED: 1.2,  # an election time-out of at most 0.8 s, and sometimes a second election
    Milestone.OWN_TERM_COMMITTED: 1.3,
    Milestone.MEMBERS_CURRENT: 1.6,
    Milestone.FIRST_GATEWAY_FED: 1.6,
    Milestone.GATEWAYS_READY: READY_WITHOUT_COMPLETE_S + 0.5,
    Milestone.INSTANCES_KNOWN: READY_WITHOUT_COMPLETE_S,
}
ORDER = (
    Milestone.FIRST_MEMBER_STARTED,
    Milestone.MAJORITY_STARTED,
    Milestone.LEADER_ELECTED,
    Milestone.OWN_TERM_COMMITTED,
    Milestone.FIRST_GATEWAY_FED,
    Milestone.FIRST_GATEWAY_READY,
    Milestone.GATEWAYS_READY,
)


class PowerLost(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        discard_logs()
        cls.runs = [RecoveryRun(seed, EVERYTHING).play() for seed in SEEDS]

    def test_every_milestone_is_reached_in_its_order(self) -> None:
        for reached in self.runs:
            self.assertEqual(reached.keys(), set(Milestone))
            times = [reached[milestone] for milestone in ORDER]
            self.assertEqual(times, sorted(times))

    def test_each_within_its_bound(self) -> None:
        for reached in self.runs:
            for milestone, bound_s in BOUNDS_S.items():
                self.assertLessEqual(reached[milestone], bound_s, milestone)

    def test_gateways_that_kept_power_stay_ready(self) -> None:
        reached = RecoveryRun(1, "members").play()
        self.assertAlmostEqual(reached[Milestone.GATEWAYS_READY], 0.0)


if __name__ == "__main__":
    unittest.main()
