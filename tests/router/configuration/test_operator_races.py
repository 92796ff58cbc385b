"""Operators that race through leader changes, lost responses, late duplicates, wiped disks and restarts."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from configuration_variants import ForgetsOnRestart, ForgetsRejections, ForgetsRejectionsOnRestart
from operator_races import RacesPlayer, RandomRace
from project_paths import SCENARIOS as SCENARIO_FOLDER

from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.control_plane import raft_driver, state_machine
from mallowbeam.simulation.scenario import ViolationError, scenario_tests

FOLDER = SCENARIO_FOLDER / "operators"
SNAPSHOT_ENTRIES = 4  # few, so that members that were away get snapshots
SEEDS = range(1, 7)
ROUNDS = 3

OperatorScenarios = scenario_tests(FOLDER, RacesPlayer)


BROKEN = (ForgetsRejections, ForgetsOnRestart, ForgetsRejectionsOnRestart)


@contextmanager
def members_with(kind: type[ConfigurationVersions]) -> Iterator[None]:
    """Members that take snapshots often, with a state machine of this kind."""
    with (
        mock.patch.object(raft_driver, "COMPACT_ENTRIES", SNAPSHOT_ENTRIES),
        mock.patch.object(state_machine, "ConfigurationVersions", kind),
    ):
        yield


def play(seed: int, kind: type[ConfigurationVersions] = ConfigurationVersions) -> RacesPlayer:
    """One random race."""
    with members_with(kind):
        race = RandomRace(seed, ROUNDS)
        race.play()
    return race.player


class WithSnapshots(unittest.TestCase):
    """The scenario files with members that take and send snapshots often."""

    def test_scenarios(self) -> None:
        for path in sorted(FOLDER.glob("*.txt")):
            with self.subTest(path.stem), members_with(ConfigurationVersions):
                RacesPlayer(path.read_text()).play()

    def test_broken_ones_are_found(self) -> None:
        for kind in BROKEN:
            with self.subTest(kind.__name__), members_with(kind), self.assertRaises(ViolationError):
                RacesPlayer((FOLDER / "late_copy.txt").read_text()).play()


class RandomRaces(unittest.TestCase):
    def test_random_races(self) -> None:
        results: list[str] = []
        for seed in SEEDS:
            with self.subTest(seed=seed):
                results += [one for order in play(seed).orders.values() for one in order.results]
        self.assertGreater(results.count("taken"), ROUNDS * len(SEEDS) // 2)
        self.assertGreater(results.count("refused"), ROUNDS * len(SEEDS) // 2)

    def test_broken_ones_are_found(self) -> None:
        for kind in BROKEN:
            with self.subTest(kind.__name__), self.assertRaises(ViolationError):
                for seed in range(1, 4):
                    play(seed, kind)


if __name__ == "__main__":
    unittest.main()
