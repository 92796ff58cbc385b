"""Scripted faults: which requests of a stand-in fail, how often, and how.

A script is an ordered list of rules; the first rule that matches a request is applied and its count
decremented. Nothing is random: the same script and requests give the same run.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

ACTIONS = ("refuse", "error", "stall", "cut", "run-cut", "answer-cut", "answer-die", "status")


@dataclass(slots=True)
class Rule:
    """One scripted fault; `action` is one of :data:`ACTIONS`.

    `refuse`: answered with 503 and X-Not-Run, not executed.
    `error`: answered with 500, not executed.
    `stall`: executed after `seconds`.
    `cut`: not executed; the connection is reset.
    `run-cut`: executed; the connection is reset before the answer.
    `answer-cut`: executed; the connection is closed after 40 bytes of the answer.
    `answer-die`: executed and answered; then the node stops.
    `status`: answered with `status`, not executed.
    """

    action: str
    method: str = ""  # empty: any
    path: str = ""  # regular expression searched in the path; empty: any
    skip: int = 0  # matching requests that are skipped first
    times: int = 1  # requests that fail; -1: all
    seconds: float = 0.0
    status: int = 500

    def __post_init__(self) -> None:
        """Raise ValueError for an unknown action."""
        if self.action not in ACTIONS:
            raise ValueError(f"unknown fault action: {self.action}")


class Script:
    """An ordered list of rules with their remaining counts."""

    def __init__(self, rules: list[Rule] | None = None) -> None:
        self.rules = [*(rules or [])]

    def add(self, *rules: Rule) -> None:
        """Append rules."""
        self.rules.extend(rules)

    def clear(self) -> None:
        """Remove all rules."""
        self.rules.clear()

    def take(self, method: str, path: str) -> Rule | None:
        """Return the rule for this request and decrement its count; None: no fault."""
        for rule in self.rules:
            if rule.method not in ("", method) or not re.search(rule.path, path):
                continue
            if rule.skip > 0:
                rule.skip -= 1
                continue
            if rule.times == 0:
                continue
            rule.times -= rule.times > 0
            return rule
        return None


class Turns(Script):
    """Repeats a fixed sequence of rules, one per request; None: no fault."""

    def __init__(self, ways: list[Rule | None]) -> None:
        super().__init__()
        self.ways = ways
        self.turn = 0

    def take(self, method: str, path: str) -> Rule | None:
        """Return the next rule of the sequence."""
        self.turn += 1
        return self.ways[self.turn % len(self.ways)]
