"""Scenarios as text files, and the player that runs them.

A file has one statement per line; a ``#`` starts a comment. Times are in seconds::

    seed 7                              seed of the run; default 1
    WORD NAMES...                       a declaration, such as of machines; precedes all commands
    at 5 COMMAND ...                    a command at that time; commands run in the order of the file
    at 5 expect CONDITION               the condition is true at that time
    by 9 expect CONDITION               the condition becomes true by then; the run
                                        continues at that moment
    always CONDITION from 5 to 9        the condition is true after each event in the interval
    never CONDITION from 5 to 9         the condition is false after each event in the interval
    end 20

Declarations and commands are methods of a player, ``declare_WORD`` and ``do_COMMAND``; :data:`METHOD_NAMES`
lists the words whose method has another name. Conditions are evaluated by ``holds``.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from mallowbeam.errors import MallowbeamError
from mallowbeam.simulation.clock import Simulator

METHOD_NAMES = {  # methods not named after their scenario word, by kind and word
    ("do", "cut"): "do_partition",
    ("do", "mend-disk"): "do_repair_disk",
    ("do", "term"): "do_terminate",
}


class ScenarioError(MallowbeamError):
    """A scenario's text is invalid; `where` is its line."""

    code = "SCENARIO"
    remedy = "mend the line that is named; mallowbeam/simulation/scenario.py states what a line may hold"


class ViolationError(AssertionError):
    """A condition of a scenario, or an invariant of the simulated system, is violated."""


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a scenario."""

    line: int
    words: tuple[str, ...]

    @property
    def text(self) -> str:
        """The statement's words, joined by spaces."""
        return " ".join(self.words)


@dataclass(frozen=True, slots=True)
class Invariant:
    """An `always` or `never` statement; times in seconds."""

    statement: Statement
    condition: tuple[str, ...]
    expected: bool
    begin: float
    end: float


def read_statements(text: str) -> list[Statement]:
    """Parse the statements of a scenario's text."""
    lines = ((number, line.partition("#")[0].split()) for number, line in enumerate(text.splitlines(), 1))
    return [Statement(number, tuple(words)) for number, words in lines if words]


class ScenarioPlayer:
    """Plays a scenario in simulated time; subclasses add declarations, commands and conditions."""

    def __init__(self, text: str) -> None:
        """Parse the text; raises :class:`ScenarioError`."""
        self.statements = read_statements(text)
        self.simulator = Simulator(self._seed())
        self.invariants = [
            self._invariant(statement)
            for statement in self.statements
            if statement.words[0] in ("always", "never")
        ]
        self.simulator.check(self._check_invariants)
        self.prepare()

    def prepare(self) -> None:
        """Create the state that declarations need; called once, before them."""

    def holds(self, words: Sequence[str]) -> bool:
        """Whether a condition is true now; raises LookupError or ValueError if it is unknown."""
        raise ValueError("the player defines no conditions")

    def state(self) -> str:
        """Describe the simulated system, for the message of a violation."""
        return ""

    def play(self) -> None:
        """Run all statements; raises :class:`ViolationError` or :class:`ScenarioError`, naming the line."""
        for statement in self.statements:
            try:
                self._run(statement)
            except ViolationError as violation:
                raise ViolationError(f"line {statement.line}: {violation}") from violation.__cause__
            except (LookupError, TypeError, ValueError) as error:
                raise ScenarioError(f"{statement.text}: {error}", f"line {statement.line}") from error

    # ------------------------------------------------------------ statements

    def _run(self, statement: Statement) -> None:
        match statement.words:
            case ("seed", _) | ("always" | "never", *_):
                pass
            case ("at", time, "expect", *condition):
                self.simulator.run_until(float(time))
                self._expect(condition)
            case ("by", time, "expect", *condition):
                self._expect_by(condition, float(time))
            case ("at", time, command, *arguments):
                self.simulator.run_until(float(time))
                self._method("do", command)(*arguments)
            case ("end", time):
                self.simulator.run_until(float(time))
            case (word, *names):
                self._method("declare", word)(*names)

    def _method(self, kind: str, word: str) -> Callable[..., None]:
        name = METHOD_NAMES.get((kind, word), f"{kind}_{word.replace('-', '_')}")
        method: Callable[..., None] | None = getattr(self, name, None)
        if method is None:
            raise LookupError(f"no {'command' if kind == 'do' else 'declaration'} {word!r}")
        return method

    def _expect(self, condition: Sequence[str]) -> None:
        if not self.holds(condition):
            raise self._violation(f"not {' '.join(condition)}")

    def _expect_by(self, condition: Sequence[str], until: float) -> None:
        if self.simulator.run_while(lambda: not self.holds(condition), until):
            raise self._violation(f"not {' '.join(condition)} in time")

    def _violation(self, description: str) -> ViolationError:
        state = self.state()
        return ViolationError(
            f"{self.simulator.now:.3f} s, seed {self.simulator.seed}: {description}"
            + (f"\n{state}" if state else "")
        )

    # ------------------------------------------------------------ seed and invariants

    def _seed(self) -> int:
        for statement in self.statements:
            if statement.words[0] == "seed":
                try:
                    return int(statement.words[1])
                except (IndexError, ValueError):
                    raise ScenarioError("seed needs an integer", f"line {statement.line}") from None
        return 1

    def _invariant(self, statement: Statement) -> Invariant:
        match statement.words:
            case (kind, *condition, "from", begin, "to", end) if condition:
                try:
                    return Invariant(statement, tuple(condition), kind == "always", float(begin), float(end))
                except ValueError:
                    pass
        raise ScenarioError(
            f"{statement.text}: expected CONDITION from TIME to TIME", f"line {statement.line}"
        )

    def _check_invariants(self) -> None:
        for invariant in self.invariants:
            active = invariant.begin <= self.simulator.now <= invariant.end
            if active and self.holds(invariant.condition) is not invariant.expected:
                raise self._violation(f"{invariant.statement.text} (line {invariant.statement.line})")


def scenario_tests(folder: Path, player: type[ScenarioPlayer]) -> type[unittest.TestCase]:
    """Build a test case with one test per scenario file of a folder."""
    methods: dict[str, Callable[[unittest.TestCase], None]] = {}
    for path in sorted(folder.glob("*.txt")):
        methods[f"test_{path.stem}"] = _scenario_test(path.name, path.read_text(), player)
    return type("Scenarios", (unittest.TestCase,), methods)


def _scenario_test(name: str, text: str, player: type[ScenarioPlayer]) -> Callable[[unittest.TestCase], None]:
    def test(_: unittest.TestCase) -> None:
        player(text).play()

    test.__doc__ = f"{name}: {text.splitlines()[0].lstrip('# ')}"
    return test
