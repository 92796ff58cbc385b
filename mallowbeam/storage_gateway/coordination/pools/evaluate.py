"""What a text means for a fleet: whole connections by node, gateway and tenant.

Two levels.  A node's budget is split over its *seats*, which are gateways, or groups of them that share; then
what a gateway has there is split over the tenants that come through it.  One more connection in the budget
goes to one seat, and there to one tenant, so the whole is as house-monotone as each split.

For each question the first rule that matches decides all of its terms.  A node that no budget matches is not
bounded.
A group `in turns` deals what it has among its members, and where it has less than one for each, who comes
first moves on with the epoch: `turn` is the epoch's number.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from mallowbeam.storage_gateway.coordination.pools import model as m
from mallowbeam.storage_gateway.coordination.pools.select import Traits, holds, matches, tenant_traits, traits
from mallowbeam.storage_gateway.coordination.pools.split import Seat, split, ties

PEACE = m.Facts()
Groups = dict[str, tuple[m.Share, list[str]]]  # by a group's seat: its rule and members


@dataclass(frozen=True, slots=True)
class NodeBudget:
    """A node's connections in all, and what each gateway has of them (0 for those that hold none)."""

    total: int
    gateways: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Lends:
    """What a tenant lends: `percent` of its own, `keep` never, to whom, back within `recall` seconds."""

    percent: int
    keep: int
    to: frozenset[str]
    recall: float


@dataclass(frozen=True, slots=True)
class Offer:
    """A tenant's terms at a node and gateway: what it may hold with loans (None: all), what it lends."""

    ceiling: int | None
    lends: Lends


def seat(name: str, terms: m.Terms, floor: int) -> Seat:
    """A seat by its terms; a ceiling of 0 takes the default floor with it."""
    least = floor if terms.floor is None else terms.floor
    if terms.ceiling is not None and terms.floor is None:
        least = min(least, terms.ceiling)
    return Seat(name, m.WEIGHT if terms.weight is None else terms.weight, least, terms.ceiling)


class View:
    """A text under given facts, before a fleet: asked node by node."""

    def __init__(self, pools: m.Pools, fleet: m.Fleet, facts: m.Facts = PEACE, turn: int = 0) -> None:
        self.fleet, self.turn = fleet, turn
        self.budgets = [r for r in pools.budgets if holds(r.when, facts)]
        self.rules = [r for r in pools.gateways if holds(r.when, facts)]
        self.shares = [r for r in pools.shares if holds(r.when, facts)]
        self.loans = [r for r in pools.tenants if holds(r.when, facts)]
        self.recall = m.RECALL if pools.recall is None else pools.recall
        self.classes = pools.classes
        self.nodes = {node.name: traits(node) for node in fleet.nodes}
        self.edges = {gateway.name: traits(gateway) for gateway in fleet.gateways}
        self._seats: dict[tuple[int, ...], tuple[list[Seat], Groups]] = {}
        self._offers: dict[tuple[str, tuple[int, ...]], tuple[list[Seat], dict[str, Offer]]] = {}

    @cached_property
    def tenants(self) -> dict[str, Traits]:
        """Tenants' traits by name."""
        return {tenant.name: tenant_traits(tenant, self.classes) for tenant in self.fleet.tenants}

    @cached_property
    def borrowers(self) -> dict[int, frozenset[str]]:
        """By the place of a tenants' rule: to whom it lends."""
        return {
            i: frozenset(name for name, of_it in self.tenants.items() if matches(rule.loan.to, of_it))
            for i, rule in enumerate(self.loans)
        }

    @cached_property
    def who(self) -> dict[int, frozenset[str]]:
        """By the place of a tenants' rule: the tenants that it is about."""
        return {
            i: frozenset(name for name, of_it in self.tenants.items() if matches(rule.who, of_it))
            for i, rule in enumerate(self.loans)
        }

    def total(self, node: str) -> int | None:
        """A node's connections in all; None where no budget bounds it."""
        of_it = self.nodes[node]
        return next((rule.connections for rule in self.budgets if matches(rule.nodes, of_it)), None)

    def seats(self, node: str) -> tuple[list[Seat], Groups]:
        """Who takes part in a node's budget: single gateways and groups, and the groups' members by seat."""
        at = self.nodes[node]
        rules = [i for i, rule in enumerate(self.rules) if matches(rule.nodes, at)]
        shares = [i for i, rule in enumerate(self.shares) if matches(rule.nodes, at)]
        kind = (*rules, -1, *shares)  # nodes that no rule tells apart have the same seats
        if kind not in self._seats:
            self._seats[kind] = self._seat(rules, shares)
        return self._seats[kind]

    def _seat(self, rules: list[int], shares: list[int]) -> tuple[list[Seat], Groups]:
        seats: list[Seat] = []
        members: dict[int, list[str]] = {}
        for name, of_it in self.edges.items():
            group = next((i for i in shares if matches(self.shares[i].who, of_it)), None)
            if group is not None:
                members.setdefault(group, []).append(name)
            else:
                terms = next(
                    (self.rules[i].terms for i in rules if matches(self.rules[i].who, of_it)), m.Terms()
                )
                seats.append(seat(name, terms, m.SEAT))
        # A group is called by its members, so that ties do not go by the order of rules.
        groups: Groups = {
            "\0".join(["", *sorted(names)]): (self.shares[i], names) for i, names in members.items()
        }
        return seats + [seat(name, rule.terms, m.SEAT) for name, (rule, _) in groups.items()], groups

    def node(self, node: str) -> NodeBudget | None:
        """A node's budget and who has what of it; None where nothing bounds it."""
        if (total := self.total(node)) is None:
            return None
        seats, groups = self.seats(node)
        have = split(total, seats, node)
        for name, (rule, members) in groups.items():
            have |= self._within(have.pop(name), rule, sorted(members, key=ties(node)))
        return NodeBudget(total, have)

    def _within(self, count: int, rule: m.Share, members: list[str]) -> dict[str, int]:
        """What a group has, by member."""
        if rule.through in members:  # else it is gone: they take turns
            return {name: count if name == rule.through else 0 for name in members}
        each, more = divmod(count, len(members))
        return {name: each + ((i - self.turn) % len(members) < more) for i, name in enumerate(members)}

    def here(self, node: str, gateway: str, count: int) -> dict[str, int]:
        """What a gateway has at a node, by tenant that comes through it."""
        return split(count, self._terms(node, gateway)[0], f"{node}\0{gateway}")

    def offers(self, node: str, gateway: str) -> Mapping[str, Offer]:
        """Ceilings and loans by tenant."""
        return self._terms(node, gateway)[1]

    def _terms(self, node: str, gateway: str) -> tuple[list[Seat], dict[str, Offer]]:
        at, by = self.nodes[node], self.edges[gateway]
        rules = tuple(
            i for i, rule in enumerate(self.loans) if matches(rule.nodes, at) and matches(rule.gateways, by)
        )
        if (made := self._offers.get((gateway, rules))) is None:
            lends = {i: self._lends(i) for i in (None, *rules)}
            seats: list[Seat] = []
            offers: dict[str, Offer] = {}
            for tenant in self.fleet.tenants:
                if tenant.gateways is None or gateway in tenant.gateways:
                    found = next((i for i in rules if tenant.name in self.who[i]), None)
                    terms = m.Terms() if found is None else self.loans[found].terms
                    seats.append(seat(tenant.name, terms, 0))
                    offers[tenant.name] = Offer(terms.ceiling, lends[found])
            made = self._offers[gateway, rules] = seats, offers
        return made

    def _lends(self, rule: int | None) -> Lends:
        if rule is None:
            return Lends(100, 0, frozenset(self.tenants), self.recall / 1000)
        loan = self.loans[rule].loan
        return Lends(
            100 if loan.percent is None else loan.percent,
            loan.keep or 0,
            self.borrowers[rule],
            (self.recall if loan.recall is None else loan.recall) / 1000,
        )


def gateways(view: View) -> dict[str, dict[str, int]]:
    """Connections by node and gateway, bounded nodes only: what the fleet agrees on."""
    found = {node.name: view.node(node.name) for node in view.fleet.nodes}
    return {name: dict(budget.gateways) for name, budget in found.items() if budget is not None}


def table(view: View) -> dict[tuple[str, str, str], int]:
    """Connections by node, gateway and tenant: the whole of it, for small fleets and for tests."""
    return {
        (node, gateway, tenant): own
        for node, by in gateways(view).items()
        for gateway, count in by.items()
        for tenant, own in view.here(node, gateway, count).items()
    }
