"""Scenarios of consensus, each with its seeds."""

from __future__ import annotations

import unittest

from consensus_scenario import FOLDER, parse, play


class Scenarios(unittest.TestCase):
    def test_all(self) -> None:
        paths = sorted(FOLDER.glob("*.txt"))
        self.assertGreater(len(paths), 20)
        for path in paths:
            scenario = parse(path)
            for seed in scenario.seeds:
                with self.subTest(scenario=scenario.name, seed=seed):
                    play(scenario, seed)

    def test_unreadable(self) -> None:
        path = FOLDER / "first_election.txt"
        scenario = parse(path)
        self.assertEqual((scenario.voters, scenario.learners, len(scenario.seeds)), (3, 1, 10))
        self.assertEqual(scenario.statements[0].words, ("expect", "leader", "within", "1.2"))


if __name__ == "__main__":
    unittest.main()
