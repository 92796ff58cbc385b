"""All scenarios that a text can distinguish.

A scenario assigns true or false to each fact in the text's conditions.  A set of scenarios is one integer
with a bit for each (at most 2**8): `and`, `or` and `not` are one operation each, so one check covers all
scenarios.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from mallowbeam.storage_gateway.coordination.pools.expressions import (
    And,
    Expression,
    InMaintenance,
    Not,
    Or,
    ZoneOut,
)

Fact = tuple[str, str]
"""("zone", name): the zone is out; ("machine", name): the machine is in maintenance."""

ScenarioSet = int
"""A set of scenarios, one bit each."""


def facts_in(condition: Expression) -> set[Fact]:
    """The facts that a condition tests."""
    match condition:
        case ZoneOut(zone):
            return {("zone", zone)}
        case InMaintenance(machine):
            return {("machine", machine)}
        case Not(operand):
            return facts_in(operand)
        case And(operands) | Or(operands):
            return set().union(*map(facts_in, operands))
    return set()


def members(scenarios: ScenarioSet) -> Iterator[int]:
    """The numbers of the scenarios in a set, ascending."""
    while scenarios:
        lowest = scenarios & -scenarios
        scenarios ^= lowest
        yield lowest.bit_length() - 1


class Scenarios:
    """The scenarios of some facts; bit i of a scenario's number tells whether the i-th fact is true."""

    def __init__(self, facts: Iterable[Fact]) -> None:
        self.facts = sorted(facts)
        self.count = 1 << len(self.facts)
        self.all: ScenarioSet = (1 << self.count) - 1
        self._true_in: dict[Fact, ScenarioSet] = {
            fact: sum(1 << number for number in range(self.count) if number >> i & 1)
            for i, fact in enumerate(self.facts)
        }

    def where(self, condition: Expression) -> ScenarioSet:
        """The scenarios in which a condition holds."""
        match condition:
            case ZoneOut(zone):
                return self._true_in["zone", zone]
            case InMaintenance(machine):
                return self._true_in["machine", machine]
            case Not(operand):
                return self.all & ~self.where(operand)
            case And(operands):
                return self._intersection(operands)
            case Or(operands):
                return self._union(operands)
        return self.all

    def _intersection(self, operands: Iterable[Expression]) -> ScenarioSet:
        found = self.all
        for operand in operands:
            found &= self.where(operand)
        return found

    def _union(self, operands: Iterable[Expression]) -> ScenarioSet:
        found = 0
        for operand in operands:
            found |= self.where(operand)
        return found

    def describe(self, number: int) -> str:
        """A scenario as text for an error."""
        true_facts = [
            f'zone "{name}" is out' if kind == "zone" else f'machine "{name}" is in maintenance'
            for i, (kind, name) in enumerate(self.facts)
            if number >> i & 1
        ]
        return "when " + " and ".join(true_facts) if true_facts else "in peace"
