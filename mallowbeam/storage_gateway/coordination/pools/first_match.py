"""Finds the first matching rule of one kind, for all scenarios at once."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mallowbeam.storage_gateway.coordination.pools.errors import PoolError, PoolUnreachableError
from mallowbeam.storage_gateway.coordination.pools.expressions import Expression
from mallowbeam.storage_gateway.coordination.pools.matching import Traits, matches
from mallowbeam.storage_gateway.coordination.pools.rules import (
    BudgetRule,
    GatewayRule,
    SharingRule,
    TenantRule,
)
from mallowbeam.storage_gateway.coordination.pools.scenarios import Scenarios, ScenarioSet

ConditionalRule = BudgetRule | GatewayRule | SharingRule | TenantRule

RuleSet = int
"""A set of rules of one kind: a bit mask by rule index."""


@dataclass(frozen=True, slots=True)
class Match:
    """The rule that decides in some scenarios; None if no rule does."""

    rule: int | None
    scenarios: ScenarioSet


def matching_rules(subjects: Sequence[Expression], traits: Traits) -> RuleSet:
    """The rules whose subject matches these traits."""
    return sum(1 << i for i, subject in enumerate(subjects) if matches(subject, traits))


class FirstMatch:
    """The rules of one kind; records which of them were the first to match in any queried case."""

    def __init__(self, rules: Sequence[ConditionalRule], scenarios: Scenarios) -> None:
        self._rules = rules
        self._all = scenarios.all
        self._holds_in = [scenarios.where(rule.when) for rule in rules]
        self._reached: RuleSet = 0
        self._considered: RuleSet = 0
        self._covered_by: dict[int, int] = {}  # by rule that did not decide: one that did instead
        self._decisions: dict[RuleSet, list[Match]] = {}

    def decide(self, candidates: RuleSet) -> list[Match]:
        """Of the rules whose subjects match: the deciding ones, each with its scenarios."""
        found = self._decisions.get(candidates)
        if found is None:
            found = self._decisions[candidates] = self._find(candidates)
        return found

    def _find(self, candidates: RuleSet) -> list[Match]:
        undecided = self._all
        found: list[Match] = []
        remaining = candidates
        while remaining:
            lowest = remaining & -remaining
            remaining ^= lowest
            rule = lowest.bit_length() - 1
            holds_in = self._holds_in[rule]
            decides_in = holds_in & undecided
            if decides_in:
                found.append(Match(rule, decides_in))
                undecided &= ~decides_in
                self._reached |= lowest
            elif holds_in:
                earlier = next(
                    match.rule for match in found if match.rule is not None and match.scenarios & holds_in
                )
                self._covered_by.setdefault(rule, earlier)
        self._considered |= candidates
        if undecided:
            found.append(Match(None, undecided))
        return found

    def unreachable(self) -> Iterator[PoolError]:
        """Errors for rules that never decided; valid after all cases have been queried."""
        for i, rule in enumerate(self._rules):
            if self._reached >> i & 1:
                continue
            if not self._holds_in[i]:
                yield PoolUnreachableError(
                    "its condition can never hold",
                    position=rule.position,
                    remedy="correct what stands after `when`, or take the rule out",
                )
            elif not self._considered >> i & 1:
                yield PoolUnreachableError(
                    "it is about nothing in this fleet",
                    position=rule.position,
                    remedy="correct what it chooses, or take it out",
                )
            else:
                line = self._rules[self._covered_by[i]].position.line
                yield PoolUnreachableError(
                    f"earlier rules decide all that it is about, as the one on line {line}",
                    position=rule.position,
                )
