"""Faults as data: which request of a stand-in is hit, how often, and what happens to it.

A script is a list of rules in order; the first whose conditions hold is used up by one and applied.  The
same script and the same requests give the same run: nothing here is random.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

ACTIONS = ("refuse", "error", "stall", "cut", "run-cut", "answer-cut", "answer-die", "status")


@dataclass(slots=True)
class Rule:
    """One fault.

    `refuse`: 503 with X-Not-Run, nothing ran.  `error`: 500, nothing ran.  `stall`: the request waits
    `seconds` before it runs.  `cut`: the connection is reset and nothing ran.  `run-cut`: it runs and the
    connection is reset before the answer.
    `answer-cut`: it runs and 40 bytes of the answer go out before the reset.
    `answer-die`: it runs, is answered, then the node takes no more.
    `status`: answered with `status`, nothing ran.
    """

    action: str
    method: str = ""  # empty: any
    path: str = ""  # a pattern searched for in the path; empty: any
    skip: int = 0  # matching requests passed over first
    times: int = 1  # requests hit, -1 for all
    seconds: float = 0.0
    status: int = 500

    def __post_init__(self) -> None:
        """Refuse a script with a fault that is none."""
        if self.action not in ACTIONS:
            raise ValueError(f"no such fault: {self.action}")


class Script:
    """Rules in order, each with its counts."""

    def __init__(self, rules: list[Rule] | None = None) -> None:
        self.rules = [*(rules or [])]

    def add(self, *rules: Rule) -> None:
        """Put rules behind those that are left."""
        self.rules.extend(rules)

    def clear(self) -> None:
        """No fault any more."""
        self.rules.clear()

    def take(self, method: str, path: str) -> Rule | None:
        """The fault that hits this request, None for none."""
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
    """Faults by turns, over and over: each request takes the next way, None for none."""

    def __init__(self, ways: list[Rule | None]) -> None:
        super().__init__()
        self.ways, self.turn = ways, 0

    def take(self, method: str, path: str) -> Rule | None:
        """The way whose turn it is."""
        self.turn += 1
        return self.ways[self.turn % len(self.ways)]
