"""What is wrong with a text for a given fleet, found before it takes hold; without I/O.

Everything is looked at, not sampled: nodes, gateways and tenants that no rule tells apart are one *kind*,
and conditions are sets of worlds (`select.Worlds`), so each combination of kinds is looked at once for all
worlds.  How many combinations there may be is bounded (`MOST_CASES`).

What holds at the largest allowed fleet holds at any smaller one: a gateway more adds a seat and its floor.
A gateway not known yet (`Fleet.most` above those named) counts with the highest floor that a known zone has.
A tenant's floor at a gateway must fit into the floor of that gateway, which is all that is sure at any size.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from difflib import get_close_matches

from mallowbeam.storage_gateway.coordination.pools import model as m
from mallowbeam.storage_gateway.coordination.pools.errors import (
    PoolBound,
    PoolError,
    PoolName,
    PoolOvercommitted,
    PoolTerms,
    PoolTooFew,
    PoolUnreachable,
)
from mallowbeam.storage_gateway.coordination.pools.evaluate import seat
from mallowbeam.storage_gateway.coordination.pools.model import Expr
from mallowbeam.storage_gateway.coordination.pools.select import (
    Traits,
    Worlds,
    facts_in,
    matches,
    tenant_traits,
    traits,
)

MOST_CASES = 500_000  # kinds of nodes x gateways x tenants looked at; beyond: PoolBound


def check(pools: m.Pools, fleet: m.Fleet) -> None:
    """Raises the first `PoolError` that there is."""
    for error in faults(pools, fleet):
        raise error


def faults(pools: m.Pools, fleet: m.Fleet) -> Iterator[PoolError]:
    """All that is wrong; what stands on sound names and terms is looked at only where those are."""
    found = [*_names(pools, fleet), *_terms(pools)]
    yield from found
    if not found:
        cases = Cases(pools, fleet)
        if cases.count > MOST_CASES:
            yield PoolBound(
                f"{cases.count} combinations of nodes, gateways and tenants to check, at most "
                f"{MOST_CASES}",
                remedy="tell fewer apart by name: use zones, models and classes",
            )
            return
        yield from cases.budgets()
        yield from cases.seats()
        yield from cases.tenants()


# --- names and terms ----------------------------------------------------------------------------------


def _names(pools: m.Pools, fleet: m.Fleet) -> Iterator[PoolError]:
    nodes = {
        "name": {n.name for n in fleet.nodes},
        "zone": {n.zone for n in fleet.nodes},
        "model": {n.model for n in fleet.nodes},
    }
    edges = {"name": {g.name for g in fleet.gateways}, "zone": {g.zone for g in fleet.gateways}}
    classes: set[str] = set()
    tenants = {
        "name": {t.name for t in fleet.tenants},
        "plan": {t.plan for t in fleet.tenants} | fleet.plans,
        "class": classes,
    }
    facts = {"zone": nodes["zone"] | edges["zone"], "machine": nodes["name"] | edges["name"]}
    for each in pools.classes:
        yield from _known(each.of, "tenant", tenants)
        classes.add(each.name)
    for budget in pools.budgets:
        yield from _known(budget.nodes, "node", nodes)
        yield from _known(budget.when, "fact", facts)
    seats: list[m.Gateways | m.Share] = [*pools.gateways, *pools.shares]
    for rule in seats:
        yield from _known(rule.who, "gateway", edges)
        yield from _known(rule.nodes, "node", nodes)
        yield from _known(rule.when, "fact", facts)
    for share in pools.shares:
        if share.through is not None and not any(
            g.name == share.through and matches(share.who, traits(g)) for g in fleet.gateways
        ):
            yield PoolName(
                f'"{share.through}" is none of the gateways that share',
                place=share.at,
                remedy="name one of those that the rule is about",
            )
    for loan in pools.tenants:
        yield from _known(loan.who, "tenant", tenants)
        yield from _known(loan.loan.to, "tenant", tenants)
        yield from _known(loan.nodes, "node", nodes)
        yield from _known(loan.gateways, "gateway", edges)
        yield from _known(loan.when, "fact", facts)


def _known(of: Expr, sort: str, known: Mapping[str, set[str]]) -> Iterator[PoolError]:
    match of:
        case m.Is(key, names):
            for name in names:
                if name not in known[key]:
                    yield _unknown(sort if key == "name" else key, name, known[key], of.at)
        case m.ZoneOut(name):
            if name not in known["zone"]:
                yield _unknown("zone", name, known["zone"], of.at)
        case m.InMaintenance(name):
            if name not in known["machine"]:
                yield _unknown("machine", name, known["machine"], of.at)
        case m.Not(one):
            yield from _known(one, sort, known)
        case m.And(parts) | m.Or(parts):
            for part in parts:
                yield from _known(part, sort, known)


def _unknown(sort: str, name: str, known: set[str], at: m.Place) -> PoolName:
    near = get_close_matches(name, sorted(known), 1)
    known_here = ", ".join(sorted(known)[:8]) or "none"
    hint = (
        f'did you mean "{near[0]}"?'
        if near
        else ("define the class above its first use" if sort == "class" else f"known here: {known_here}")
    )
    return PoolName(f'no {sort} is named "{name}"', remedy=hint, place=at)


def _terms(pools: m.Pools) -> Iterator[PoolError]:
    rules: list[m.Gateways | m.Share | m.Tenants] = [*pools.gateways, *pools.shares, *pools.tenants]
    for rule in rules:
        terms, seats = rule.terms, not isinstance(rule, m.Tenants)
        if terms.weight == 0:
            yield PoolTerms(
                "a weight of 0: it would never get more than its floor",
                place=rule.at,
                remedy="give a weight of 1 or more, or a ceiling",
            )
        if terms.ceiling is not None and terms.floor is not None and terms.ceiling < terms.floor:
            yield PoolTerms(
                f"the ceiling of {terms.ceiling} is below the floor of {terms.floor}",
                place=rule.at,
                remedy="raise the ceiling or lower the floor",
            )
        if seats and terms.floor == 0 and terms.ceiling != 0:
            yield PoolTerms(
                "a floor of 0: these gateways might never reach the node",
                place=rule.at,
                remedy="say who shares (`share gateways ...`), or who holds none: `ceiling 0`",
            )
        if isinstance(rule, m.Share) and terms.ceiling == 0:
            yield PoolTerms(
                "they share nothing: the ceiling is 0",
                place=rule.at,
                remedy="use `gateways ...: ceiling 0;` for those that hold none",
            )


# --- cases --------------------------------------------------------------------------------------------


def _mask(rules: Sequence[Expr], of_it: Traits) -> int:
    return sum(1 << i for i, of in enumerate(rules) if matches(of, of_it))


class First:
    """Rules of one kind: which is the first to match, world by world."""

    def __init__(self, rules: Sequence[m.Rule], whens: Sequence[Expr], worlds: Worlds) -> None:
        self.rules, self.worlds = rules, worlds
        self.where = [worlds.of(when) for when in whens]
        self.reached, self.seen = 0, 0
        self.before: dict[int, int] = {}
        self.made: dict[int, list[tuple[int | None, int]]] = {}

    def of(self, mask: int) -> list[tuple[int | None, int]]:
        """For what these rules match (bits): which rule decides in which worlds; None where none does."""
        if (made := self.made.get(mask)) is not None:
            return made
        left, made, bits = self.worlds.all, [], mask
        while bits:
            low = bits & -bits
            i, bits = low.bit_length() - 1, bits ^ low
            if hit := self.where[i] & left:
                made.append((i, hit))
                left &= ~hit
                self.reached |= low
            elif self.where[i]:
                took = next(j for j, worlds in made if j is not None and worlds & self.where[i])
                self.before.setdefault(i, took)
        self.seen |= mask
        if left:
            made.append((None, left))
        self.made[mask] = made
        return made

    def unreachable(self) -> Iterator[PoolError]:
        """Rules that never were the first, once all cases have been asked for."""
        for i, rule in enumerate(self.rules):
            if self.reached >> i & 1:
                continue
            if not self.where[i]:
                yield PoolUnreachable(
                    "its condition can never hold",
                    place=rule.at,
                    remedy="correct what stands after `when`, or take the rule out",
                )
            elif not self.seen >> i & 1:
                yield PoolUnreachable(
                    "it is about nothing in this fleet",
                    place=rule.at,
                    remedy="correct what it chooses, or take it out",
                )
            else:
                line = self.rules[self.before[i]].at.line
                yield PoolUnreachable(
                    f"earlier rules decide all that it is about, as the one on line {line}", place=rule.at
                )


class Cases:
    """Kinds of nodes, gateways and tenants, and what the rules say of each combination."""

    def __init__(self, pools: m.Pools, fleet: m.Fleet) -> None:
        p, self.fleet = pools, fleet
        whens = [r.when for r in p.budgets] + [r.when for r in p.gateways]
        whens += [r.when for r in p.shares] + [r.when for r in p.tenants]
        worlds = self.worlds = Worlds(set().union(*map(facts_in, whens)))
        self.first_budget, self.first_terms, self.first_share, self.first_loan = (
            First(kind, [rule.when for rule in kind], worlds)
            for kind in (p.budgets, p.gateways, p.shares, p.tenants)
        )
        self.pools = p
        tenants = [(t, _mask([r.who for r in p.tenants], tenant_traits(t, p.classes))) for t in fleet.tenants]
        every = Counter(mask for t, mask in tenants if t.gateways is None)
        self.node_kinds: dict[tuple[int, int, int, int], str] = {}
        for node in fleet.nodes:
            at = traits(node)
            kind = (
                _mask([r.nodes for r in p.budgets], at),
                _mask([r.nodes for r in p.gateways], at),
                _mask([r.nodes for r in p.shares], at),
                _mask([r.nodes for r in p.tenants], at),
            )
            self.node_kinds.setdefault(kind, node.name)
        # gateways alike to all rules and with tenants alike: how many, and one of their names
        self.edge_kinds: dict[tuple[int, int, int, tuple[tuple[int, int], ...]], tuple[int, str]] = {}
        for gateway in fleet.gateways:
            through = every + Counter(
                mask for t, mask in tenants if t.gateways and gateway.name in t.gateways
            )
            edge = (*self._edge(traits(gateway)), tuple(sorted(through.items())))
            self.edge_kinds[edge] = (self.edge_kinds.get(edge, (0, ""))[0] + 1, gateway.name)
        zones = sorted({g.zone for g in fleet.gateways})
        self.new = [self._edge({"name": frozenset(), "zone": frozenset((zone,))}) for zone in zones]
        self.count = len(self.node_kinds) * len(self.edge_kinds) * max(1, len({mask for _, mask in tenants}))
        self.floors: dict[tuple[int, int, int], list[int]] = {}

    def _edge(self, of_it: Traits) -> tuple[int, int, int]:
        p = self.pools
        return (
            _mask([r.who for r in p.gateways], of_it),
            _mask([r.who for r in p.shares], of_it),
            _mask([r.gateways for r in p.tenants], of_it),
        )

    def budgets(self) -> Iterator[PoolError]:
        """Budgets that can't be reached."""
        for kind in self.node_kinds:
            self.first_budget.of(kind[0])
        yield from self.first_budget.unreachable()

    def seats(self) -> Iterator[PoolError]:
        """Budgets too small for the gateways, floors beyond them, rules never reached."""
        told: set[int] = set()
        more = max(0, self.fleet.most - len(self.fleet.gateways))
        for kind, node in self.node_kinds.items():
            floors: list[list[tuple[int, int]]] = [[] for _ in range(self.worlds.count)]  # (floor, times)
            groups: list[set[int]] = [set() for _ in range(self.worlds.count)]
            for edge, (times, _) in self.edge_kinds.items():
                self._add(kind, edge[:3], times, floors, groups)
            worst = [0] * self.worlds.count
            for new in self.new if more else ():
                for _, floor, worlds in self._floors(kind, new):
                    for w in self._each(worlds):
                        worst[w] = max(worst[w], floor)
            for rule, worlds in self.first_budget.of(kind[0]):
                if rule is None:
                    continue
                budget = self.pools.budgets[rule]
                for w in self._each(worlds):
                    once = [(self._share_floor(i), 1) for i in groups[w]]
                    need, seats = self._largest(floors[w] + once, worst[w], more)
                    if need > budget.connections and rule not in told:
                        told.add(rule)
                        yield self._beyond(budget, node, need, seats, w)
        yield from self.first_terms.unreachable()
        yield from self.first_share.unreachable()

    def _add(
        self,
        kind: tuple[int, int, int, int],
        edge: tuple[int, int, int],
        times: int,
        floors: list[list[tuple[int, int]]],
        groups: list[set[int]],
    ) -> None:
        for group, floor, worlds in self._floors(kind, edge):
            for w in self._each(worlds):
                if group is None:
                    floors[w].append((floor, times))
                else:
                    groups[w].add(group)

    def _floors(
        self, kind: tuple[int, int, int, int], edge: tuple[int, int, int]
    ) -> Iterator[tuple[int | None, int, int]]:
        """Of one kind of gateway at one of nodes: group, floor, and the worlds of that."""
        for group, worlds in self.first_share.of(kind[2] & edge[1]):
            if group is not None:
                yield group, self._share_floor(group), worlds
                continue
            for rule, hit in self.first_terms.of(kind[1] & edge[0]):
                if both := hit & worlds:
                    terms = m.Terms() if rule is None else self.pools.gateways[rule].terms
                    yield None, seat("", terms, m.SEAT).floor, both

    def _share_floor(self, i: int) -> int:
        return seat("", self.pools.shares[i].terms, m.SEAT).floor

    def _largest(self, floors: list[tuple[int, int]], worst: int, more: int) -> tuple[int, int]:
        """What the largest allowed fleet's floors add up to, and how many seats it has."""
        left, need, seats = self.fleet.most or len(self.fleet.gateways), more * worst, more * (worst > 0)
        left -= more
        for floor, times in sorted(floors, reverse=True):
            taken = min(times, left)
            need, seats, left = need + taken * floor, seats + taken * (floor > 0), left - taken
        return need, seats

    def _beyond(self, budget: m.Budget, node: str, need: int, seats: int, world: int) -> PoolError:
        where = f'at node "{node}" {self.worlds.told(world)}'
        if seats > budget.connections:
            return PoolTooFew(
                f"{budget.connections} connections for {seats} gateways or groups {where}", place=budget.at
            )
        return PoolOvercommitted(
            f"floors of {need} connections in a budget of {budget.connections} {where}", place=budget.at
        )

    def _each(self, worlds: int) -> Iterator[int]:
        while worlds:
            low = worlds & -worlds
            worlds ^= low
            yield low.bit_length() - 1

    def tenants(self) -> Iterator[PoolError]:
        """Tenants' floors beyond what a gateway is sure of, rules never reached."""
        told: set[int] = set()
        for kind, node in self.node_kinds.items():
            bounded = sum(worlds for rule, worlds in self.first_budget.of(kind[0]) if rule is not None)
            for edge, (_, name) in self.edge_kinds.items():
                needs = [0] * self.worlds.count
                by: list[int | None] = [None] * self.worlds.count
                for mask, times in edge[3]:
                    for rule, worlds in self.first_loan.of(kind[3] & edge[2] & mask):
                        if rule is not None and (floor := self.pools.tenants[rule].terms.floor):
                            for w in self._each(worlds & bounded):
                                needs[w], by[w] = needs[w] + floor * times, rule
                for sure, worlds in self._sure(kind, edge[:3], name) if any(needs) else ():
                    for w in self._each(worlds):
                        if needs[w] > sure and (last := by[w]) is not None and last not in told:
                            told.add(last)
                            yield PoolOvercommitted(
                                f'floors of tenants add up to {needs[w]} at gateway "{name}", node "{node}" '
                                f"{self.worlds.told(w)}, where the gateway is sure of {sure}",
                                place=self.pools.tenants[last].at,
                                remedy="raise the gateway's floor there, or lower the tenants' floors",
                            )
        yield from self.first_loan.unreachable()

    def _sure(
        self, kind: tuple[int, int, int, int], edge: tuple[int, int, int], name: str
    ) -> Iterator[tuple[int, int]]:
        """What a gateway has at least at any size: its floor, or that of a group that goes through it."""
        for group, floor, worlds in self._floors(kind, edge):
            yield (floor if group is None or self.pools.shares[group].through == name else 0), worlds
