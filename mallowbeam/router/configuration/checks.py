"""What makes a configuration invalid although each of its fields is good."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from mallowbeam.router.configuration.errors import (
    DuplicateBackend,
    NoTimeout,
    NoWeight,
    SamePlace,
    SharedKey,
    UnknownBackend,
)
from mallowbeam.router.configuration.model import Backend, Route

KEY_FIELDS = ("key", "keys")  # of a tenant: one string, or a list of them


def backends_by_name(backends: Sequence[Backend]) -> dict[str, Backend]:
    """Services by name; raises `DuplicateBackend`."""
    by_name: dict[str, Backend] = {}
    for position, backend in enumerate(backends):
        if backend.name in by_name:
            raise DuplicateBackend(f"{backend.name!r} is there twice", f"backends[{position}].name")
        by_name[backend.name] = backend
    return by_name


def routes_by_place(routes: Sequence[Route], backends: dict[str, Backend]) -> dict[str, Route]:
    """Routes by place, each checked; raises a `ConfigurationError`."""
    by_place: dict[str, Route] = {}
    for position, route in enumerate(routes):
        check_route(route, backends, f"routes[{position}]")
        place = route.place
        if place in by_place:
            raise SamePlace(f"another route has {place!r}", f"routes[{position}].path_prefix")
        by_place[place] = route
    return by_place


def check_route(route: Route, backends: dict[str, Backend], where: str) -> None:
    """Raise a `ConfigurationError` unless the route has a time-out, weight, and services that are there."""
    if route.timeout_ms == 0:
        raise NoTimeout("must be above 0", f"{where}.timeout_ms")
    total = 0
    for entry in route.backends:
        if entry.backend not in backends:
            raise UnknownBackend(f"no service is named {entry.backend!r}", f"{where}.backend")
        total += entry.weight
    if total == 0:
        raise NoWeight("the weights sum to 0", f"{where}.weighted_backends")


def check_tenant_keys(document: dict[str, Any]) -> None:
    """Raise `SharedKey` if two entries of `tenants`, where the document has them, hold the same key."""
    tenants = document.get("tenants")
    if not isinstance(tenants, list):
        return
    owners: dict[str, int] = {}
    for position, tenant in enumerate(tenants):
        for key in tenant_keys(tenant):
            if owners.setdefault(key, position) != position:
                raise SharedKey(f"tenants[{owners[key]}] has the same key", f"tenants[{position}]")


def tenant_keys(tenant: object) -> Iterable[str]:
    """The keys of one tenant; a form that is not known has none."""
    if not isinstance(tenant, dict):
        return
    for name in KEY_FIELDS:
        value = tenant.get(name)
        entries = value if isinstance(value, list) else [value]
        yield from (entry for entry in entries if isinstance(entry, str))
