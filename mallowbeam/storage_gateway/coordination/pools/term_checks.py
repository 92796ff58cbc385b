"""Finds terms of single rules that contradict each other or have no effect."""

from __future__ import annotations

from collections.abc import Iterator

from mallowbeam.storage_gateway.coordination.pools.errors import PoolError, PoolTermsError
from mallowbeam.storage_gateway.coordination.pools.rules import (
    GatewayRule,
    PoolsDocument,
    SharingRule,
    TenantRule,
)


def check_terms(document: PoolsDocument) -> Iterator[PoolError]:
    """All errors in terms, rule by rule."""
    rules: tuple[GatewayRule | SharingRule | TenantRule, ...] = (
        *document.gateways,
        *document.sharing,
        *document.tenants,
    )
    for rule in rules:
        yield from _check_rule(rule)


def _check_rule(rule: GatewayRule | SharingRule | TenantRule) -> Iterator[PoolError]:
    terms = rule.terms
    if terms.weight == 0:
        yield PoolTermsError(
            "a weight of 0: it would never get more than its floor",
            position=rule.position,
            remedy="give a weight of 1 or more, or a ceiling",
        )
    if terms.ceiling is not None and terms.floor is not None and terms.ceiling < terms.floor:
        yield PoolTermsError(
            f"the ceiling of {terms.ceiling} is below the floor of {terms.floor}",
            position=rule.position,
            remedy="raise the ceiling or lower the floor",
        )
    if not isinstance(rule, TenantRule) and terms.floor == 0 and terms.ceiling != 0:
        yield PoolTermsError(
            "a floor of 0: these gateways might never reach the node",
            position=rule.position,
            remedy="say who shares (`share gateways ...`), or who holds none: `ceiling 0`",
        )
    if isinstance(rule, SharingRule) and terms.ceiling == 0:
        yield PoolTermsError(
            "they share nothing: the ceiling is 0",
            position=rule.position,
            remedy="use `gateways ...: ceiling 0;` for those that hold none",
        )
