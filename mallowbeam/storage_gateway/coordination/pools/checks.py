"""Finds errors of a document for a given fleet before it takes effect; without I/O."""

from __future__ import annotations

from collections.abc import Iterator

from mallowbeam.storage_gateway.coordination.pools.case_checks import CaseChecks
from mallowbeam.storage_gateway.coordination.pools.errors import PoolBoundError, PoolError
from mallowbeam.storage_gateway.coordination.pools.fleet import Fleet
from mallowbeam.storage_gateway.coordination.pools.name_checks import check_names
from mallowbeam.storage_gateway.coordination.pools.rules import PoolsDocument
from mallowbeam.storage_gateway.coordination.pools.term_checks import check_terms

MAX_CASES = 500_000  # kinds of nodes x gateways x tenants to check; more raise PoolBoundError


def check(document: PoolsDocument, fleet: Fleet) -> None:
    """Raise the first error of `find_errors`, if any.

    Raises:
        PoolError: the document is not valid for the fleet.
    """
    for error in find_errors(document, fleet):
        raise error


def find_errors(document: PoolsDocument, fleet: Fleet) -> Iterator[PoolError]:
    """All errors of a document; the checks of combinations run only if names and terms are valid."""
    errors = [*check_names(document, fleet), *check_terms(document)]
    yield from errors
    if errors:
        return
    cases = CaseChecks(document, fleet)
    if cases.count > MAX_CASES:
        yield PoolBoundError(
            f"{cases.count} combinations of nodes, gateways and tenants to check, at most {MAX_CASES}",
            remedy="tell fewer apart by name: use zones, models and classes",
        )
        return
    yield from cases.budget_errors()
    yield from cases.gateway_errors()
    yield from cases.tenant_errors()
