"""All Raft scenarios, each with its seeds, and the scenario parser."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from consensus_checkers import Violation
from consensus_scenario import CONSENSUS_SCENARIOS, Scenario, Statement, parse, play


class Scenarios(unittest.TestCase):
    def test_all(self) -> None:
        paths = sorted(CONSENSUS_SCENARIOS.glob("*.txt"))
        self.assertGreater(len(paths), 20)
        for path in paths:
            scenario = parse(path)
            for seed in scenario.seeds:
                with self.subTest(scenario=scenario.name, seed=seed):
                    play(scenario, seed)

    def _parse(self, text: str) -> Scenario:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "name.txt"
            path.write_text(text)
            return parse(path)

    def test_parse(self) -> None:
        scenario = self._parse(
            "# a comment\ngroup 3 voters 1 learners\nseeds 2 4\nset heartbeat_interval 0.2\n"
            "at 1.5 kill leader as old  # another\n"
        )
        self.assertEqual((scenario.voters, scenario.learners, scenario.seeds), (3, 1, range(2, 5)))
        self.assertEqual(scenario.settings.heartbeat_interval, 0.2)
        self.assertEqual(scenario.statements, [Statement(5, 1.5, ("kill", "leader", "as", "old"))])

    def test_unreadable(self) -> None:
        for line in ("group many", "at 1.0", "seeds 1", "kill leader"):
            with self.subTest(line=line), self.assertRaises(ValueError):
                self._parse(line)

    def test_unmet_expectation_fails(self) -> None:
        """An unmet expectation fails, immediately or at its timeout."""
        lines = ("at 1.5 expect no leader", "at 0.1 expect leader within 0.2", "at 2.0 expect voters 1 2")
        for line in lines:
            with self.subTest(line=line), self.assertRaises(Violation):
                play(self._parse(line), 1)


if __name__ == "__main__":
    unittest.main()
