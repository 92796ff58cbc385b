"""Rules on a configuration that go beyond single fields: unique names, known services, weights, time-outs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from mallowbeam.router.configuration.errors import (
    DuplicateBackendError,
    DuplicateRouteError,
    DuplicateTenantKeyError,
    NoTimeoutError,
    NoWeightError,
    UnknownBackendError,
)
from mallowbeam.router.configuration.model import Backend, Route

KEY_FIELDS = ("key", "keys")  # of a tenant: one string, or a list of them


def index_backends(backends: Sequence[Backend]) -> dict[str, Backend]:
    """Index services by name; raises `DuplicateBackendError`."""
    by_name: dict[str, Backend] = {}
    for position, backend in enumerate(backends):
        if backend.name in by_name:
            raise DuplicateBackendError(f"{backend.name!r} is defined twice", f"backends[{position}].name")
        by_name[backend.name] = backend
    return by_name


def index_routes(routes: Sequence[Route], backends: dict[str, Backend]) -> dict[str, Route]:
    """Check routes and index them by key; raises a `ConfigurationError`."""
    routes_by_key: dict[str, Route] = {}
    for position, route in enumerate(routes):
        check_route(route, backends, f"routes[{position}]")
        add_route(routes_by_key, route, f"routes[{position}]")
    return routes_by_key


def add_route(routes_by_key: dict[str, Route], route: Route, where: str) -> None:
    """Add a checked route to the table; raises `DuplicateRouteError` if its key is present."""
    if route.key in routes_by_key:
        raise DuplicateRouteError(f"another route has {route.key!r}", f"{where}.path_prefix")
    routes_by_key[route.key] = route


def check_route(route: Route, backends: dict[str, Backend], where: str) -> None:
    """Raise a `ConfigurationError` if the time-out is 0, the weights sum to 0 or a service is unknown."""
    if route.timeout_ms == 0:
        raise NoTimeoutError("must be above 0", f"{where}.timeout_ms")
    total = 0
    for entry in route.backends:
        if entry.backend not in backends:
            raise UnknownBackendError(f"no service is named {entry.backend!r}", f"{where}.backend")
        total += entry.weight
    if total == 0:
        raise NoWeightError("the weights sum to 0", f"{where}.weighted_backends")


def check_tenant_keys(document: dict[str, Any]) -> None:
    """Raise `DuplicateTenantKeyError` if two entries of the optional list `tenants` have the same key."""
    tenants = document.get("tenants")
    if not isinstance(tenants, list):
        return
    owners: dict[str, int] = {}
    for position, tenant in enumerate(tenants):
        for key in tenant_keys(tenant):
            if owners.setdefault(key, position) != position:
                raise DuplicateTenantKeyError(
                    f"tenants[{owners[key]}] has the same key", f"tenants[{position}]"
                )


def tenant_keys(tenant: object) -> Iterable[str]:
    """The keys of one tenant; none if its form is unknown."""
    if not isinstance(tenant, dict):
        return
    for name in KEY_FIELDS:
        value = tenant.get(name)
        entries = value if isinstance(value, list) else [value]
        yield from (entry for entry in entries if isinstance(entry, str))
