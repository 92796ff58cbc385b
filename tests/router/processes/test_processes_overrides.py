"""Overrides of the decision cores' default settings."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.pairing.stage_balancer import StageBalancerSettings
from mallowbeam.router.processes.overrides import apply_overrides, read_overrides
from mallowbeam.router.processes.settings import SettingsFieldError, SettingsUnreadableError


class Overrides(unittest.TestCase):
    def read(self, text: str) -> PlannerSettings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "decisions.toml"
            path.write_text(text)
            return apply_overrides(PlannerSettings(), read_overrides(str(path)), "planner")

    def test_no_file_changes_nothing(self) -> None:
        self.assertEqual(read_overrides("/no/such/file.toml"), {})
        self.assertEqual(apply_overrides(StageBalancerSettings(), {}, "stages"), StageBalancerSettings())

    def test_values_and_tables_inside(self) -> None:
        settings = self.read("[planner]\ncycle_s = 1\nlong_units = 4\n[planner.pairing]\nwait_loss = 0\n")
        self.assertEqual((settings.cycle_s, settings.long_units, settings.pairing.wait_loss), (1.0, 4, 0.0))
        self.assertIs(type(settings.pairing.wait_loss), float)
        self.assertEqual(settings.pairing.read_choices, PlannerSettings().pairing.read_choices)

    def test_wrong_keys_and_values(self) -> None:
        for text, where in (
            ("[planner]\nnone = 1\n", "planner.none"),
            ("[planner.pairing]\nnone = 1\n", "planner.pairing.none"),
            ("[planner]\nlong_units = 1.5\n", "planner.long_units"),
            ("[planner]\ncycle_s = true\n", "planner.cycle_s"),
            ("[planner]\ncycle_s = 'x'\n", "planner.cycle_s"),
            ("[planner]\npairing = 3\n", "planner.pairing"),
            ("planner = 3\n", "planner"),
        ):
            with self.subTest(text), self.assertRaises(SettingsFieldError) as caught:
                self.read(text)
            self.assertEqual(caught.exception.where, where)

    def test_no_toml(self) -> None:
        with self.assertRaises(SettingsUnreadableError):
            self.read("[planner")


if __name__ == "__main__":
    unittest.main()
