"""Applies a document to a fleet: connections by node, gateway and tenant.

There are two levels.  A node's budget is apportioned over claimants, which are gateways or groups of gateways
that share connections.  Then a gateway's connections to the node are apportioned over the tenants that
connect through it.  One more connection in the budget goes to one claimant, and there to one tenant, so the
whole is house-monotone because each apportionment is.

For each query the first matching rule decides all terms.  A node that no budget matches is unbounded.  A
group `in turns` divides its connections evenly among its members; any remainder goes to members in an order
that rotates with the epoch number (`epoch`).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import TypeVar

from mallowbeam.storage_gateway.coordination.pools.apportionment import Claimant, apportion, tie_breaker
from mallowbeam.storage_gateway.coordination.pools.expressions import Expression
from mallowbeam.storage_gateway.coordination.pools.fleet import NO_FACTS, Facts, Fleet
from mallowbeam.storage_gateway.coordination.pools.matching import (
    Traits,
    gateway_traits,
    holds,
    matches,
    node_traits,
    tenant_traits,
)
from mallowbeam.storage_gateway.coordination.pools.rules import (
    DEFAULT_GATEWAY_FLOOR,
    DEFAULT_LENT_PERCENT,
    DEFAULT_RECALL_MS,
    DEFAULT_TENANT_FLOOR,
    DEFAULT_WEIGHT,
    BudgetRule,
    GatewayRule,
    PoolsDocument,
    SharingRule,
    TenantRule,
    Terms,
)

MS_PER_S = 1000
KEY_SEPARATOR = "\0"  # occurs in no name


@dataclass(frozen=True, slots=True)
class NodeBudget:
    """A node's total connections, and the part of each gateway (0 for a gateway that has none)."""

    total: int
    gateways: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class SharingGroup:
    """Gateways that share one part of a node's budget."""

    rule: SharingRule
    members: list[str]


@dataclass(frozen=True, slots=True)
class LoanTerms:
    """The terms on which a tenant lends its idle connections."""

    percent: int  # of its own connections, 0 to 100
    reserve: int  # connections that are never lent
    borrowers: frozenset[str]
    recall_s: float  # deadline for the return of a recalled connection


@dataclass(frozen=True, slots=True)
class TenantTerms:
    """A tenant's terms at a node and gateway."""

    ceiling: int | None  # maximum connections including borrowed ones; None: unbounded
    loan: LoanTerms


ConditionalRule = TypeVar("ConditionalRule", BudgetRule, GatewayRule, SharingRule, TenantRule)

TenantClaims = tuple[list[Claimant], dict[str, TenantTerms]]
GatewayClaims = tuple[list[Claimant], dict[str, SharingGroup]]


def make_claimant(name: str, terms: Terms, default_floor: int) -> Claimant:
    """A claimant with these terms; a ceiling below the default floor lowers the floor."""
    floor = default_floor if terms.floor is None else terms.floor
    if terms.ceiling is not None and terms.floor is None:
        floor = min(floor, terms.ceiling)
    weight = DEFAULT_WEIGHT if terms.weight is None else terms.weight
    return Claimant(name, weight, floor, terms.ceiling)


def _applicable_rules(rules: Sequence[ConditionalRule], facts: Facts) -> list[ConditionalRule]:
    return [rule for rule in rules if holds(rule.when, facts)]


class Allocation:
    """A document applied to a fleet under given facts; computed on demand by node, and cached."""

    def __init__(
        self, document: PoolsDocument, fleet: Fleet, facts: Facts = NO_FACTS, epoch: int = 0
    ) -> None:
        self.fleet = fleet
        self.epoch = epoch
        self._budgets = _applicable_rules(document.budgets, facts)
        self._gateway_rules = _applicable_rules(document.gateways, facts)
        self._sharing_rules = _applicable_rules(document.sharing, facts)
        self._tenant_rules = _applicable_rules(document.tenants, facts)
        self._recall_ms = DEFAULT_RECALL_MS if document.recall_ms is None else document.recall_ms
        self._classes = document.classes
        self._nodes = {node.name: node_traits(node) for node in fleet.nodes}
        self._gateways = {gateway.name: gateway_traits(gateway) for gateway in fleet.gateways}
        # By the matching rules: nodes that match the same rules have the same claimants.
        self._gateway_claims: dict[tuple[tuple[int, ...], tuple[int, ...]], GatewayClaims] = {}
        self._tenant_claims: dict[tuple[str, tuple[int, ...]], TenantClaims] = {}

    # --- nodes and gateways ---------------------------------------------------------------------------

    def budget(self, node: str) -> int | None:
        """A node's total connections; None if no budget matches it."""
        traits = self._nodes[node]
        return next((rule.connections for rule in self._budgets if matches(rule.nodes, traits)), None)

    def node_budget(self, node: str) -> NodeBudget | None:
        """A node's budget and each gateway's part of it; None if no budget matches the node."""
        total = self.budget(node)
        if total is None:
            return None
        claimants, groups = self.gateway_claimants(node)
        counts = apportion(total, claimants, node)
        for name, group in groups.items():
            counts |= self._within_group(counts.pop(name), group, node)
        return NodeBudget(total, counts)

    def gateway_claimants(self, node: str) -> GatewayClaims:
        """The claimants of a node's budget (gateways and groups), and the groups by claimant name."""
        traits = self._nodes[node]
        rules = tuple(i for i, rule in enumerate(self._gateway_rules) if matches(rule.nodes, traits))
        sharing = tuple(i for i, rule in enumerate(self._sharing_rules) if matches(rule.nodes, traits))
        if (rules, sharing) not in self._gateway_claims:
            self._gateway_claims[rules, sharing] = self._find_gateway_claimants(rules, sharing)
        return self._gateway_claims[rules, sharing]

    def _find_gateway_claimants(self, rules: Sequence[int], sharing: Sequence[int]) -> GatewayClaims:
        claimants: list[Claimant] = []
        members: dict[int, list[str]] = {}
        for name, traits in self._gateways.items():
            shared = next((i for i in sharing if matches(self._sharing_rules[i].gateways, traits)), None)
            if shared is not None:
                members.setdefault(shared, []).append(name)
            else:
                claimants.append(
                    make_claimant(name, self._gateway_terms(rules, traits), DEFAULT_GATEWAY_FLOOR)
                )
        # A group is named after its members, so that ties do not depend on the order of rules.
        groups = {
            KEY_SEPARATOR.join(["", *sorted(names)]): SharingGroup(self._sharing_rules[i], names)
            for i, names in members.items()
        }
        claimants += [
            make_claimant(name, group.rule.terms, DEFAULT_GATEWAY_FLOOR) for name, group in groups.items()
        ]
        return claimants, groups

    def _gateway_terms(self, rules: Sequence[int], traits: Traits) -> Terms:
        matching = (
            rule for rule in (self._gateway_rules[i] for i in rules) if matches(rule.gateways, traits)
        )
        first = next(matching, None)
        return Terms() if first is None else first.terms

    def _within_group(self, count: int, group: SharingGroup, node: str) -> dict[str, int]:
        """Divides a group's connections over its members."""
        members = sorted(group.members, key=tie_breaker(node))
        through = group.rule.through
        if through in members:  # a gateway that is not in the fleet is ignored, and the members take turns
            return {name: count if name == through else 0 for name in members}
        quotient, remainder = divmod(count, len(members))
        return {
            name: quotient + ((position - self.epoch) % len(members) < remainder)
            for position, name in enumerate(members)
        }

    # --- tenants --------------------------------------------------------------------------------------

    def tenant_connections(self, node: str, gateway: str, count: int) -> dict[str, int]:
        """A gateway's `count` connections to a node by tenant."""
        claimants, _ = self._tenant_claimants(node, gateway)
        return apportion(count, claimants, f"{node}{KEY_SEPARATOR}{gateway}")

    def tenant_terms(self, node: str, gateway: str) -> Mapping[str, TenantTerms]:
        """Ceilings and loans by tenant."""
        _, terms = self._tenant_claimants(node, gateway)
        return terms

    def _tenant_claimants(self, node: str, gateway: str) -> TenantClaims:
        node_traits_, gateway_traits_ = self._nodes[node], self._gateways[gateway]
        rules = tuple(
            i
            for i, rule in enumerate(self._tenant_rules)
            if matches(rule.nodes, node_traits_) and matches(rule.gateways, gateway_traits_)
        )
        found = self._tenant_claims.get((gateway, rules))
        if found is None:
            found = self._tenant_claims[gateway, rules] = self._find_tenant_claimants(gateway, rules)
        return found

    def _find_tenant_claimants(self, gateway: str, rules: tuple[int, ...]) -> TenantClaims:
        loans = {i: self._loan_terms(i) for i in (None, *rules)}
        claimants: list[Claimant] = []
        terms_by_tenant: dict[str, TenantTerms] = {}
        for tenant in self.fleet.tenants:
            if tenant.gateways is not None and gateway not in tenant.gateways:
                continue
            first = next((i for i in rules if tenant.name in self._rule_tenants[i]), None)
            terms = Terms() if first is None else self._tenant_rules[first].terms
            claimants.append(make_claimant(tenant.name, terms, DEFAULT_TENANT_FLOOR))
            terms_by_tenant[tenant.name] = TenantTerms(terms.ceiling, loans[first])
        return claimants, terms_by_tenant

    def _loan_terms(self, rule: int | None) -> LoanTerms:
        if rule is None:
            all_tenants = frozenset(self._tenants)
            return LoanTerms(DEFAULT_LENT_PERCENT, 0, all_tenants, self._recall_ms / MS_PER_S)
        loan = self._tenant_rules[rule].loan
        return LoanTerms(
            DEFAULT_LENT_PERCENT if loan.percent is None else loan.percent,
            loan.reserve or 0,
            self._rule_borrowers[rule],
            (self._recall_ms if loan.recall_ms is None else loan.recall_ms) / MS_PER_S,
        )

    @cached_property
    def _tenants(self) -> dict[str, Traits]:
        """Tenants' traits by name."""
        return {tenant.name: tenant_traits(tenant, self._classes) for tenant in self.fleet.tenants}

    @cached_property
    def _rule_tenants(self) -> list[frozenset[str]]:
        """By tenant rule, the tenants that it matches."""
        return [self._matching_tenants(rule.tenants) for rule in self._tenant_rules]

    @cached_property
    def _rule_borrowers(self) -> list[frozenset[str]]:
        """By tenant rule, the tenants that may borrow under it."""
        return [self._matching_tenants(rule.loan.borrowers) for rule in self._tenant_rules]

    def _matching_tenants(self, expression: Expression) -> frozenset[str]:
        return frozenset(name for name, traits in self._tenants.items() if matches(expression, traits))


def gateway_connections(allocation: Allocation) -> dict[str, dict[str, int]]:
    """Connections by bounded node and gateway, which is what the fleet agrees on."""
    budgets = {node.name: allocation.node_budget(node.name) for node in allocation.fleet.nodes}
    return {name: dict(budget.gateways) for name, budget in budgets.items() if budget is not None}


def connection_table(allocation: Allocation) -> dict[tuple[str, str, str], int]:
    """Connections by node, gateway and tenant; for small fleets and for tests."""
    return {
        (node, gateway, tenant): tenant_count
        for node, gateways in gateway_connections(allocation).items()
        for gateway, count in gateways.items()
        for tenant, tenant_count in allocation.tenant_connections(node, gateway, count).items()
    }
