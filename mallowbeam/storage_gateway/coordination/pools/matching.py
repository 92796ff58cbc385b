"""Matches expressions against nodes, gateways and tenants, and evaluates conditions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from mallowbeam.storage_gateway.coordination.pools.expressions import (
    And,
    Expression,
    InMaintenance,
    KeyIn,
    Not,
    Or,
    ZoneOut,
)
from mallowbeam.storage_gateway.coordination.pools.fleet import Facts, Gateway, Node, Tenant
from mallowbeam.storage_gateway.coordination.pools.rules import TenantClass

Traits = Mapping[str, frozenset[str]]
"""The values of a node, gateway or tenant that expressions can match, by key."""


def node_traits(node: Node) -> Traits:
    """A node's name, zone and model."""
    return {
        "name": frozenset((node.name,)),
        "zone": frozenset((node.zone,)),
        "model": frozenset((node.model,)),
    }


def gateway_traits(gateway: Gateway) -> Traits:
    """A gateway's name and zone."""
    return {"name": frozenset((gateway.name,)), "zone": frozenset((gateway.zone,))}


def tenant_traits(tenant: Tenant, classes: Iterable[TenantClass]) -> Traits:
    """A tenant's name, plan and classes; `classes` are in the text's order, as each may use earlier ones."""
    traits = {"name": frozenset((tenant.name,)), "plan": frozenset((tenant.plan,)), "class": frozenset[str]()}
    for tenant_class in classes:
        if matches(tenant_class.members, traits):
            traits["class"] |= {tenant_class.name}
    return traits


def matches(expression: Expression, traits: Traits) -> bool:
    """Whether an expression matches a node, gateway or tenant with these traits."""
    match expression:
        case KeyIn(key, names):
            return not traits[key].isdisjoint(names)
        case Not(operand):
            return not matches(operand, traits)
        case And(operands):
            return all(matches(operand, traits) for operand in operands)
        case Or(operands):
            return any(matches(operand, traits) for operand in operands)
    return True


def holds(condition: Expression, facts: Facts) -> bool:
    """Whether a condition holds under these facts."""
    match condition:
        case ZoneOut(zone):
            return zone in facts.zones_out
        case InMaintenance(machine):
            return machine in facts.in_maintenance
        case Not(operand):
            return not holds(operand, facts)
        case And(operands):
            return all(holds(operand, facts) for operand in operands)
        case Or(operands):
            return any(holds(operand, facts) for operand in operands)
    return True
