"""Checks over all combinations of nodes, gateways, tenants and scenarios.

The checks are exhaustive, not sampled.  Nodes, gateways or tenants that no rule distinguishes form one
*kind*, and conditions are sets of scenarios, so each combination of kinds is checked once for all scenarios.

A check that holds for the largest allowed fleet holds for any smaller one, because one more gateway adds a
claimant and its floor.  A gateway that is not known yet (`Fleet.max_gateways` exceeds the named ones) counts
with the highest floor of any known zone.  Tenants' floors at a gateway must fit into the gateway's floor,
because only that is certain at any fleet size.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from mallowbeam.storage_gateway.coordination.pools.allocation import make_claimant
from mallowbeam.storage_gateway.coordination.pools.errors import (
    PoolError,
    PoolOvercommittedError,
    PoolTooFewError,
)
from mallowbeam.storage_gateway.coordination.pools.first_match import FirstMatch, RuleSet, matching_rules
from mallowbeam.storage_gateway.coordination.pools.fleet import Fleet
from mallowbeam.storage_gateway.coordination.pools.matching import (
    Traits,
    gateway_traits,
    node_traits,
    tenant_traits,
)
from mallowbeam.storage_gateway.coordination.pools.rules import (
    DEFAULT_GATEWAY_FLOOR,
    BudgetRule,
    PoolsDocument,
    Terms,
)
from mallowbeam.storage_gateway.coordination.pools.scenarios import (
    Scenarios,
    ScenarioSet,
    facts_in,
    members,
)


@dataclass(frozen=True, slots=True)
class NodeKind:
    """Nodes that no rule distinguishes, by the rules that match them."""

    budgets: RuleSet
    gateways: RuleSet
    sharing: RuleSet
    tenants: RuleSet


@dataclass(frozen=True, slots=True)
class GatewayKind:
    """Gateways that no rule distinguishes, by the rules that match them."""

    gateways: RuleSet
    sharing: RuleSet
    tenants: RuleSet


TenantCounts = tuple[tuple[RuleSet, int], ...]
"""The tenants that connect through a gateway: sets of matching rules, and the number of tenants of each."""


@dataclass(frozen=True, slots=True)
class FloorCase:
    """A gateway's floor in some scenarios: its own, or that of its group (`group`: a sharing rule)."""

    group: int | None
    floor: int
    scenarios: ScenarioSet


@dataclass(slots=True)
class ScenarioFloors:
    """The floors at a node in one scenario: (floor, number) of single gateways, and the groups."""

    single: list[tuple[int, int]]
    groups: set[int]


@dataclass(slots=True)
class TenantFloors:
    """By scenario, the sum of tenants' floors at a gateway and node, and the last rule that contributed."""

    needed: list[int]
    last_rules: list[int | None]


class CaseChecks:
    """Kinds of nodes, gateways and tenants, and the decisions of the rules for each combination."""

    def __init__(self, document: PoolsDocument, fleet: Fleet) -> None:
        self._document = document
        self._fleet = fleet
        conditions = [
            *(rule.when for rule in document.budgets),
            *(rule.when for rule in document.gateways),
            *(rule.when for rule in document.sharing),
            *(rule.when for rule in document.tenants),
        ]
        self._scenarios = Scenarios(set().union(*map(facts_in, conditions)))
        self._first_budget = FirstMatch(document.budgets, self._scenarios)
        self._first_gateway = FirstMatch(document.gateways, self._scenarios)
        self._first_sharing = FirstMatch(document.sharing, self._scenarios)
        self._first_tenant = FirstMatch(document.tenants, self._scenarios)
        self._node_kinds = self._find_node_kinds()
        tenants = self._tenant_rules()
        self._gateway_kinds = self._find_gateway_kinds(tenants)
        self._unnamed_kinds = [
            self._gateway_kind({"name": frozenset(), "zone": frozenset((zone,))})
            for zone in sorted({gateway.zone for gateway in fleet.gateways})
        ]
        tenant_kinds = max(1, len({rules for _, rules in tenants}))
        self.count = len(self._node_kinds) * len(self._gateway_kinds) * tenant_kinds

    # --- kinds ----------------------------------------------------------------------------------------

    def _find_node_kinds(self) -> dict[NodeKind, str]:
        """Kinds of nodes, with the name of one node of each."""
        document = self._document
        found: dict[NodeKind, str] = {}
        for node in self._fleet.nodes:
            traits = node_traits(node)
            kind = NodeKind(
                matching_rules([rule.nodes for rule in document.budgets], traits),
                matching_rules([rule.nodes for rule in document.gateways], traits),
                matching_rules([rule.nodes for rule in document.sharing], traits),
                matching_rules([rule.nodes for rule in document.tenants], traits),
            )
            found.setdefault(kind, node.name)
        return found

    def _tenant_rules(self) -> list[tuple[frozenset[str] | None, RuleSet]]:
        """For each tenant, its gateways and the rules that match it."""
        subjects = [rule.tenants for rule in self._document.tenants]
        return [
            (tenant.gateways, matching_rules(subjects, tenant_traits(tenant, self._document.classes)))
            for tenant in self._fleet.tenants
        ]

    def _find_gateway_kinds(
        self, tenants: list[tuple[frozenset[str] | None, RuleSet]]
    ) -> dict[tuple[GatewayKind, TenantCounts], tuple[int, str]]:
        """Gateways by kind and tenants: how many there are, and the name of one of them."""
        everywhere = Counter(rules for gateways, rules in tenants if gateways is None)
        found: dict[tuple[GatewayKind, TenantCounts], tuple[int, str]] = {}
        for gateway in self._fleet.gateways:
            counts = everywhere + Counter(
                rules for gateways, rules in tenants if gateways and gateway.name in gateways
            )
            key = (self._gateway_kind(gateway_traits(gateway)), tuple(sorted(counts.items())))
            number, _ = found.get(key, (0, ""))
            found[key] = (number + 1, gateway.name)
        return found

    def _gateway_kind(self, traits: Traits) -> GatewayKind:
        document = self._document
        return GatewayKind(
            matching_rules([rule.gateways for rule in document.gateways], traits),
            matching_rules([rule.gateways for rule in document.sharing], traits),
            matching_rules([rule.gateways for rule in document.tenants], traits),
        )

    # --- budgets and gateways -------------------------------------------------------------------------

    def budget_errors(self) -> Iterator[PoolError]:
        """Budgets that can never apply."""
        for kind in self._node_kinds:
            self._first_budget.decide(kind.budgets)
        yield from self._first_budget.unreachable()

    def gateway_errors(self) -> Iterator[PoolError]:
        """Budgets too small for the gateways or their floors, and rules that can never apply."""
        reported: set[int] = set()
        for kind, node in self._node_kinds.items():
            floors = self._floors_by_scenario(kind)
            unnamed_floor = self._unnamed_floors(kind)
            for match in self._first_budget.decide(kind.budgets):
                if match.rule is None:
                    continue
                budget = self._document.budgets[match.rule]
                for scenario in members(match.scenarios):
                    needed, claimants = self._required_connections(floors[scenario], unnamed_floor[scenario])
                    if needed > budget.connections and match.rule not in reported:
                        reported.add(match.rule)
                        yield self._budget_error(budget, node, needed, claimants, scenario)
        yield from self._first_gateway.unreachable()
        yield from self._first_sharing.unreachable()

    def _floors_by_scenario(self, kind: NodeKind) -> list[ScenarioFloors]:
        found = [ScenarioFloors([], set()) for _ in range(self._scenarios.count)]
        for (gateway_kind, _), (number, _) in self._gateway_kinds.items():
            for case in self._floor_cases(kind, gateway_kind):
                for scenario in members(case.scenarios):
                    if case.group is None:
                        found[scenario].single.append((case.floor, number))
                    else:
                        found[scenario].groups.add(case.group)
        return found

    @property
    def _unnamed_gateways(self) -> int:
        """How many gateways that are not named yet may join."""
        return max(0, self._fleet.max_gateways - len(self._fleet.gateways))

    def _unnamed_floors(self, kind: NodeKind) -> list[int]:
        """By scenario, the highest floor of a gateway that is not named yet."""
        highest = [0] * self._scenarios.count
        for gateway_kind in self._unnamed_kinds if self._unnamed_gateways else ():
            for case in self._floor_cases(kind, gateway_kind):
                for scenario in members(case.scenarios):
                    highest[scenario] = max(highest[scenario], case.floor)
        return highest

    def _floor_cases(self, node: NodeKind, gateway: GatewayKind) -> Iterator[FloorCase]:
        """The floors of one kind of gateway at one kind of node."""
        for sharing_match in self._first_sharing.decide(node.sharing & gateway.sharing):
            if sharing_match.rule is not None:
                yield FloorCase(
                    sharing_match.rule, self._group_floor(sharing_match.rule), sharing_match.scenarios
                )
                continue
            for match in self._first_gateway.decide(node.gateways & gateway.gateways):
                both = match.scenarios & sharing_match.scenarios
                if both:
                    yield FloorCase(None, self._gateway_floor(match.rule), both)

    def _gateway_floor(self, rule: int | None) -> int:
        terms = Terms() if rule is None else self._document.gateways[rule].terms
        return make_claimant("", terms, DEFAULT_GATEWAY_FLOOR).floor

    def _group_floor(self, rule: int) -> int:
        return make_claimant("", self._document.sharing[rule].terms, DEFAULT_GATEWAY_FLOOR).floor

    def _required_connections(self, floors: ScenarioFloors, unnamed_floor: int) -> tuple[int, int]:
        """The sum of floors in the largest allowed fleet, and the number of claimants with a floor."""
        unnamed = self._unnamed_gateways
        needed = unnamed * unnamed_floor
        claimants = unnamed if unnamed_floor > 0 else 0
        remaining = (self._fleet.max_gateways or len(self._fleet.gateways)) - unnamed
        groups = [(self._group_floor(group), 1) for group in floors.groups]
        for floor, number in sorted(floors.single + groups, reverse=True):
            counted = min(number, remaining)
            needed += counted * floor
            claimants += counted if floor > 0 else 0
            remaining -= counted
        return needed, claimants

    def _budget_error(
        self, budget: BudgetRule, node: str, needed: int, claimants: int, scenario: int
    ) -> PoolError:
        where = f'at node "{node}" {self._scenarios.describe(scenario)}'
        if claimants > budget.connections:
            return PoolTooFewError(
                f"{budget.connections} connections for {claimants} gateways or groups {where}",
                position=budget.position,
            )
        return PoolOvercommittedError(
            f"floors of {needed} connections in a budget of {budget.connections} {where}",
            position=budget.position,
        )

    # --- tenants --------------------------------------------------------------------------------------

    def tenant_errors(self) -> Iterator[PoolError]:
        """Tenants' floors beyond their gateway's certain connections, and rules that can never apply."""
        reported: set[int] = set()
        for node_kind, node in self._node_kinds.items():
            for (gateway_kind, tenants), (_, gateway) in self._gateway_kinds.items():
                floors = self._tenant_floors(node_kind, gateway_kind, tenants)
                certain = self._certain_floors(node_kind, gateway_kind, gateway) if any(floors.needed) else ()
                for certain_floor, scenario in certain:
                    needed = floors.needed[scenario]
                    rule = floors.last_rules[scenario]
                    if needed <= certain_floor or rule is None or rule in reported:
                        continue
                    reported.add(rule)
                    yield self._tenant_error(rule, gateway, node, needed, certain_floor, scenario)
        yield from self._first_tenant.unreachable()

    def _tenant_floors(self, node: NodeKind, gateway: GatewayKind, tenants: TenantCounts) -> TenantFloors:
        """The floors of all tenants at one kind of gateway and node, where the node is bounded."""
        budgets = self._first_budget.decide(node.budgets)
        bounded = sum(match.scenarios for match in budgets if match.rule is not None)
        found = TenantFloors([0] * self._scenarios.count, [None] * self._scenarios.count)
        for tenant_rules, number in tenants:
            for match in self._first_tenant.decide(node.tenants & gateway.tenants & tenant_rules):
                floor = None if match.rule is None else self._document.tenants[match.rule].terms.floor
                if not floor:
                    continue
                for scenario in members(match.scenarios & bounded):
                    found.needed[scenario] += floor * number
                    found.last_rules[scenario] = match.rule
        return found

    def _certain_floors(self, node: NodeKind, gateway: GatewayKind, name: str) -> Iterator[tuple[int, int]]:
        """Pairs of floor and scenario: connections that a gateway has at any fleet size.

        This is its own floor, or its group's floor if the group goes through it, or else 0.
        """
        for case in self._floor_cases(node, gateway):
            is_own = case.group is None or self._document.sharing[case.group].through == name
            for scenario in members(case.scenarios):
                yield (case.floor if is_own else 0), scenario

    def _tenant_error(
        self, rule: int, gateway: str, node: str, needed: int, certain: int, scenario: int
    ) -> PoolError:
        return PoolOvercommittedError(
            f'floors of tenants add up to {needed} at gateway "{gateway}", node "{node}" '
            f"{self._scenarios.describe(scenario)}, where the gateway is sure of {certain}",
            position=self._document.tenants[rule].position,
            remedy="raise the gateway's floor there, or lower the tenants' floors",
        )
