"""The player of scenario files, on simulated machines that greet each other."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path

from mallowbeam.simulation.machine_scenarios import MachinesPlayer
from mallowbeam.simulation.scenario import ScenarioError, ScenarioPlayer, ViolationError, scenario_tests


class Greeters(MachinesPlayer):
    """Each machine greets all others ten times a second and records when it last received each greeting."""

    def prepare(self) -> None:
        super().prepare()
        self.last_greeting: dict[str, dict[str, float]] = {}
        self.written: dict[str, int] = {}

    def declare_greeters(self, *names: str) -> None:
        for name in names:
            self.add_machine(name, lambda name=name: self.boot(name), group="greeters", disk=True).start()

    def boot(self, name: str) -> None:
        self.last_greeting[name] = {}
        self.written.setdefault(name, 0)
        self.greet(name)

    def greet(self, name: str) -> None:
        machine = self.network.machines[name]
        for other in self.network.machines:
            if other != name:
                self.network.send(machine, other, lambda other=other: self.hear(other, name))
        machine.later(0.1, lambda: self.greet(name))

    def hear(self, name: str, sender: str) -> None:
        self.last_greeting[name][sender] = self.simulator.now
        self.disks[name].write(lambda: self.written.update({name: self.written[name] + 1}), lambda: None)

    def holds(self, words: Sequence[str]) -> bool:
        match words:
            case (target, "hears", source):
                return all(
                    self.simulator.now - self.last_greeting[name].get(other, -9.0) < 0.3
                    for name in self.names(target)
                    for other in self.names(source)
                    if other != name
                )
            case (target, "wrote", least):
                return all(self.written[name] >= int(least) for name in self.names(target))
        raise ValueError("unknown condition")

    def state(self) -> str:
        return str(self.last_greeting)


DECLARATION = "greeters a b c\n"


class PlayerTest(unittest.TestCase):
    def play(self, text: str) -> Greeters:
        player = Greeters(text)
        player.play()
        return player

    def violation(self, text: str) -> str:
        with self.assertRaises(ViolationError) as caught:
            self.play(text)
        return str(caught.exception)

    def test_expectations_at_and_by_a_time(self):
        player = self.play(
            DECLARATION + "by 2 expect all hears all\nat 1 expect a hears b  # a comment\nend 3"
        )
        self.assertEqual(player.simulator.now, 3.0)

    def test_by_continues_at_the_moment_the_condition_is_true(self):
        player = self.play(DECLARATION + "by 9 expect all hears all")
        self.assertLess(player.simulator.now, 0.2)

    def test_a_violation_names_line_time_seed_and_state(self):
        text = self.violation(
            "seed 4\n" + DECLARATION + "at 1 isolate c\nat 2 heal a b\nby 3 expect a hears c"
        )
        self.assertIn("line 5: 3.000 s, seed 4: not a hears c in time", text)
        self.assertIn("'b':", text)
        self.assertIn("not a hears c", self.violation(DECLARATION + "at 1 isolate c\nat 2 expect a hears c"))

    def test_always_and_never(self):
        self.play(
            DECLARATION + "always a hears b from 0.5 to 4\nnever b hears c from 2 to 4\nat 1 cut b c\nend 4"
        )
        text = self.violation(
            DECLARATION + "always a hears b from 0.5 to 4\nat 1 cut a > b\nat 2 cut b > a\nend 4"
        )
        self.assertIn("always a hears b from 0.5 to 4 (line 2)", text)
        self.assertIn("line 5: 2.20", text)
        self.assertIn("never", self.violation(DECLARATION + "never all hears all from 1 to 2\nend 3"))

    def test_each_fault(self):
        self.play(
            DECLARATION
            + """
            at 1 cut a b
            by 2 expect a hears c
            at 2 expect b hears c
            never a hears b from 1.5 to 2.9
            at 3 heal a b
            by 4 expect all hears all
            at 4 kill a b
            at 4.5 start a
            by 5 expect c hears a
            at 5 start b
            at 6 freeze greeters
            at 7 thaw all
            by 8 expect all hears all
            at 8 power-off b
            at 9 start b
            at 9 slow c 0.05
            at 9.5 slow c 0
            at 10 path a all 0.1 0.2
            at 11 path b c 0.01 0.02 1
            at 12 expect c hears a
            never b hears c from 12 to 13
            at 13 path b c 0.001 0.002
            at 14 clock a 1.5
            by 15 expect all hears all
        """
        )

    def test_disks(self):
        self.play(
            DECLARATION
            + """
            at 1 stall-disk a
            at 2 fill-disk b
            never a wrote 40 from 0 to 5
            never b wrote 60 from 0 to 6
            at 5 expect c wrote 60
            at 5 slow-disk c
            at 6 mend-disk all
            by 9 expect all wrote 60
        """
        )

    def test_the_same_text_gives_the_same_run(self):
        text = "seed {}\n" + DECLARATION + "at 0 path a b 0.001 0.1 0.5\nend 20"
        one, two, other = (self.play(text.format(seed)).last_greeting for seed in (3, 3, 4))
        self.assertEqual(one, two)
        self.assertNotEqual(one, other)

    def test_invalid_texts_name_their_line(self):
        cases = [
            "dancers a",
            "at 1 dance",
            "at x kill a",
            "at 1 kill z",
            "at 1 kill",
            "at 1 cut a",
            "seed x",
            "seed",
            "at 1 expect a",
            "never a hears b",
            "always from 1 to 2",
            "at 1 slow a",
            "end",
            "by 1",
            "at 1 expect z hears a",
            "never a hears b from x to y",
        ]
        for line in cases:
            with self.subTest(line), self.assertRaises(ScenarioError) as caught:
                self.play(DECLARATION + "\n" + line)
            self.assertEqual(caught.exception.where, "line 3")
            self.assertEqual(caught.exception.code, "SCENARIO")

    def test_a_bare_player_has_no_condition(self):
        with self.assertRaises(ScenarioError):
            ScenarioPlayer("at 1 expect anything").play()

    def test_a_folder_becomes_a_test_case(self):
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "good.txt").write_text("# It is quiet.\n" + DECLARATION + "end 1")
            Path(folder, "bad.txt").write_text("# It is not.\n" + DECLARATION + "at 1 expect a wrote 99")
            case = scenario_tests(Path(folder), Greeters)
        names = unittest.defaultTestLoader.getTestCaseNames(case)
        self.assertEqual(names, ["test_bad", "test_good"])
        result = unittest.TestResult()
        unittest.defaultTestLoader.loadTestsFromTestCase(case).run(result)
        self.assertEqual((result.testsRun, len(result.failures), len(result.errors)), (2, 1, 0))
        self.assertEqual(case("test_good").shortDescription(), "good.txt: It is quiet.")


if __name__ == "__main__":
    unittest.main()
