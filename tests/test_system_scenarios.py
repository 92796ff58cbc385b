"""The scenario files of the whole fleet, on simulated machines."""

from __future__ import annotations

import unittest
from pathlib import Path

from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.scenario import scenario_tests

FOLDER = Path(__file__).parent / "scenarios" / "system"

SystemScenarios = scenario_tests(FOLDER, FleetPlayer)


class Determinism(unittest.TestCase):
    def test_the_same_scenario_gives_the_same_run(self):
        text = (FOLDER / "leader_killed.txt").read_text()
        runs = []
        for _ in range(2):
            player = FleetPlayer(text)
            player.play()
            runs.append((player.simulator.steps, player.state()))
        self.assertEqual(*runs)


if __name__ == "__main__":
    unittest.main()
