"""Member losses right after repairs, in groups of 3 to 8 members; see `membership_plays`."""

from __future__ import annotations

import unittest
from unittest import mock

from membership_plays import PLAYS, SIZES, run
from project_paths import SCENARIOS as SCENARIO_FOLDER

from mallowbeam.router.control_plane import membership_policy
from mallowbeam.router.control_plane.cluster_join import ClusterJoin
from mallowbeam.router.control_plane.graceful_leave import GracefulLeave
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.scenario import ViolationError

SCENARIOS = SCENARIO_FOLDER / "system"

MIN_LOSS_INTERVAL_S = 4.0  # documented minimum time between two tolerated losses
REPAIR_LIMIT_S = 3.0  # limit of any repair, until the next loss is tolerated
PLANNED_REPAIR_LIMIT_S = 0.5  # limit of a replacement after SIGTERM if there is a learner
SEEDS = {"planned_then_loss": 5, "planned_then_wipe": 5}
OTHER_SEEDS = 2


class Plays(unittest.TestCase):
    def _play(self, name: str) -> None:
        for size in SIZES:
            for seed in range(1, SEEDS.get(name, OTHER_SEEDS) + 1):
                with self.subTest(size=size, seed=seed):
                    self._check(run(name, size, seed).repairs)

    def _check(self, repairs: dict[str, list[float]]) -> None:
        self.assertLess(REPAIR_LIMIT_S, MIN_LOSS_INTERVAL_S)
        for kind, times in repairs.items():
            self.assertLess(max(times), PLANNED_REPAIR_LIMIT_S if kind == "planned" else REPAIR_LIMIT_S, kind)


def _test_of(name: str):
    def test(self: Plays) -> None:
        self._play(name)

    test.__doc__ = PLAYS[name].__doc__
    return test


for _name in PLAYS:
    setattr(Plays, f"test_{_name}", _test_of(_name))


async def leave_at_once(self: GracefulLeave, timeout_s: float = 0.0) -> bool:
    """Leave without requesting a replacement."""
    return False


class BrokenVariants(unittest.TestCase):
    def test_a_member_that_ends_at_once(self) -> None:
        with mock.patch.object(GracefulLeave, "leave", leave_at_once):
            player = FleetPlayer((SCENARIOS / "planned_replacement_then_loss.txt").read_text())
            with self.assertRaises(ViolationError):
                player.play()
            repairs = run("silent_then_loss", 3, 1).repairs  # it is still replaced after the voter timeout
        self.assertLess(max(repairs["silent"]), REPAIR_LIMIT_S)

    def test_a_wiped_member_that_asks_the_seeds_alone(self) -> None:
        with mock.patch.object(ClusterJoin, "add_caller", lambda self, address: None):
            with self.assertRaisesRegex(ViolationError, "repaired after wiped"):
                run("planned_then_wipe", 5, 1)

    def test_a_dead_voter_that_keeps_its_place(self) -> None:
        with mock.patch.object(membership_policy, "VOTER_TIMEOUT_S", 99.0):
            with self.assertRaisesRegex(ViolationError, "repaired after silent"):
                run("silent_then_loss", 3, 1)


if __name__ == "__main__":
    unittest.main()
