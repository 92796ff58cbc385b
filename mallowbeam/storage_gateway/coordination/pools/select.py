"""Which nodes, gateways and tenants an expression means, and which worlds a condition holds in.

A *world* says of each fact that a text names whether it holds.  A condition is one integer with a bit for
each world (2**8 of them at most): `and`, `or` and `not` are one operation each, a check looks at all at once.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from mallowbeam.storage_gateway.coordination.pools import model as m
from mallowbeam.storage_gateway.coordination.pools.model import Expr

Traits = Mapping[str, frozenset[str]]  # of a node, gateway or tenant: names by key
Fact = tuple[str, str]  # ("zone", name) or ("machine", name)


def traits(thing: m.Node | m.Gateway) -> Traits:
    """What a node or gateway can be chosen by."""
    found = {"name": frozenset((thing.name,)), "zone": frozenset((thing.zone,))}
    return found | {"model": frozenset((thing.model,))} if isinstance(thing, m.Node) else found


def tenant_traits(tenant: m.Tenant, classes: Sequence[m.Class]) -> Traits:
    """What a tenant can be chosen by; classes in order, as one may name earlier ones."""
    found = {"name": frozenset((tenant.name,)), "plan": frozenset((tenant.plan,)), "class": frozenset[str]()}
    for each in classes:
        if matches(each.of, found):
            found["class"] |= {each.name}
    return found


def matches(of: Expr, of_it: Traits) -> bool:
    """Whether it is one of those meant."""
    match of:
        case m.Is(key, names):
            return not of_it[key].isdisjoint(names)
        case m.Not(one):
            return not matches(one, of_it)
        case m.And(parts):
            return all(matches(part, of_it) for part in parts)
        case m.Or(parts):
            return any(matches(part, of_it) for part in parts)
    return True


def holds(of: Expr, facts: m.Facts) -> bool:
    """Whether a condition holds."""
    match of:
        case m.ZoneOut(zone):
            return zone in facts.out
        case m.InMaintenance(machine):
            return machine in facts.maintenance
        case m.Not(one):
            return not holds(one, facts)
        case m.And(parts):
            return all(holds(part, facts) for part in parts)
        case m.Or(parts):
            return any(holds(part, facts) for part in parts)
    return True


def facts_in(of: Expr) -> set[Fact]:
    """The facts that a condition names."""
    match of:
        case m.ZoneOut(zone):
            return {("zone", zone)}
        case m.InMaintenance(machine):
            return {("machine", machine)}
        case m.Not(one):
            return facts_in(one)
        case m.And(parts) | m.Or(parts):
            return set().union(*map(facts_in, parts))
    return set()


class Worlds:
    """All worlds of some facts; a set of them is an integer."""

    def __init__(self, facts: set[Fact]) -> None:
        self.facts = sorted(facts)
        self.count = 1 << len(self.facts)
        self.all = (1 << self.count) - 1
        self.where = {
            fact: sum(1 << w for w in range(self.count) if w >> i & 1) for i, fact in enumerate(self.facts)
        }

    def of(self, condition: Expr) -> int:
        """The worlds in which it holds."""
        match condition:
            case m.ZoneOut(zone):
                return self.where["zone", zone]
            case m.InMaintenance(machine):
                return self.where["machine", machine]
            case m.Not(one):
                return self.all & ~self.of(one)
            case m.And(parts):
                found = self.all
                for part in parts:
                    found &= self.of(part)
                return found
            case m.Or(parts):
                found = 0
                for part in parts:
                    found |= self.of(part)
                return found
        return self.all

    def told(self, world: int) -> str:
        """A world in words."""
        true = [
            f'zone "{name}" is out' if kind == "zone" else f'machine "{name}" is in maintenance'
            for i, (kind, name) in enumerate(self.facts)
            if world >> i & 1
        ]
        return "when " + " and ".join(true) if true else "in peace"
