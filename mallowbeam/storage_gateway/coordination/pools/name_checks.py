"""Finds names in a document that the fleet does not know."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from difflib import get_close_matches

from mallowbeam.storage_gateway.coordination.pools.errors import PoolError, PoolNameError
from mallowbeam.storage_gateway.coordination.pools.expressions import (
    And,
    Expression,
    InMaintenance,
    KeyIn,
    Not,
    Or,
    SourcePosition,
    ZoneOut,
)
from mallowbeam.storage_gateway.coordination.pools.fleet import Fleet
from mallowbeam.storage_gateway.coordination.pools.matching import gateway_traits, matches
from mallowbeam.storage_gateway.coordination.pools.rules import GatewayRule, PoolsDocument, SharingRule

MAX_SHOWN_NAMES = 8  # known names listed in an error

KnownNames = Mapping[str, set[str]]
"""The names that exist, by key."""


def check_names(document: PoolsDocument, fleet: Fleet) -> Iterator[PoolError]:
    """An error for each name that does not exist for the key under which it is used."""
    return _NameChecks(fleet).check(document)


class _NameChecks:
    """The names that expressions about nodes, gateways, tenants and facts may use."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._nodes = {
            "name": {node.name for node in fleet.nodes},
            "zone": {node.zone for node in fleet.nodes},
            "model": {node.model for node in fleet.nodes},
        }
        self._gateways = {
            "name": {gateway.name for gateway in fleet.gateways},
            "zone": {gateway.zone for gateway in fleet.gateways},
        }
        self._tenants: dict[str, set[str]] = {
            "name": {tenant.name for tenant in fleet.tenants},
            "plan": {tenant.plan for tenant in fleet.tenants} | fleet.plans,
            "class": set(),  # filled class by class, as a class may use earlier ones
        }
        self._facts = {
            "zone": self._nodes["zone"] | self._gateways["zone"],
            "machine": self._nodes["name"] | self._gateways["name"],
        }

    def check(self, document: PoolsDocument) -> Iterator[PoolError]:
        """All unknown names, in the order of kinds and rules."""
        for tenant_class in document.classes:
            yield from _unknown_names(tenant_class.members, "tenant", self._tenants)
            self._tenants["class"].add(tenant_class.name)
        for budget in document.budgets:
            yield from _unknown_names(budget.nodes, "node", self._nodes)
            yield from _unknown_names(budget.when, "fact", self._facts)
        gateway_rules: tuple[GatewayRule | SharingRule, ...] = (*document.gateways, *document.sharing)
        for rule in gateway_rules:
            yield from _unknown_names(rule.gateways, "gateway", self._gateways)
            yield from _unknown_names(rule.nodes, "node", self._nodes)
            yield from _unknown_names(rule.when, "fact", self._facts)
        for sharing in document.sharing:
            yield from self._check_through(sharing)
        for tenant_rule in document.tenants:
            yield from _unknown_names(tenant_rule.tenants, "tenant", self._tenants)
            yield from _unknown_names(tenant_rule.loan.borrowers, "tenant", self._tenants)
            yield from _unknown_names(tenant_rule.nodes, "node", self._nodes)
            yield from _unknown_names(tenant_rule.gateways, "gateway", self._gateways)
            yield from _unknown_names(tenant_rule.when, "fact", self._facts)

    def _check_through(self, rule: SharingRule) -> Iterator[PoolError]:
        """The gateway that a group goes through must be a member of the group."""
        if rule.through is None:
            return
        is_member = any(
            gateway.name == rule.through and matches(rule.gateways, gateway_traits(gateway))
            for gateway in self._fleet.gateways
        )
        if not is_member:
            yield PoolNameError(
                f'"{rule.through}" is none of the gateways that share',
                position=rule.position,
                remedy="name one of those that the rule is about",
            )


def _unknown_names(expression: Expression, subject: str, known: KnownNames) -> Iterator[PoolError]:
    """Errors for unknown names of an expression about a subject: a node, gateway, tenant or fact."""
    for key, name, position in _used_names(expression):
        if name not in known[key]:
            yield _unknown(subject if key == "name" else key, name, known[key], position)


def _used_names(expression: Expression) -> Iterator[tuple[str, str, SourcePosition]]:
    """Each name that an expression uses: its key, the name, and the position of the key."""
    match expression:
        case KeyIn(key, names):
            for name in names:
                yield key, name, expression.position
        case ZoneOut(name):
            yield "zone", name, expression.position
        case InMaintenance(name):
            yield "machine", name, expression.position
        case Not(operand):
            yield from _used_names(operand)
        case And(operands) | Or(operands):
            for operand in operands:
                yield from _used_names(operand)


def _unknown(kind: str, name: str, known: set[str], position: SourcePosition) -> PoolNameError:
    similar = get_close_matches(name, sorted(known), 1)
    if similar:
        remedy = f'did you mean "{similar[0]}"?'
    elif kind == "class":
        remedy = "define the class above its first use"
    else:
        remedy = f"known here: {', '.join(sorted(known)[:MAX_SHOWN_NAMES]) or 'none'}"
    return PoolNameError(f'no {kind} is named "{name}"', remedy=remedy, position=position)
