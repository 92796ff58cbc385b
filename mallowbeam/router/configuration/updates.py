"""Updates that members send to gateways, complete or incremental, and how a gateway applies them.

Routes are identified by `Route.key`, services by name. Gateways import this module; it must not import
marshmallow or json (a test enforces it).
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TypeVar

from mallowbeam.router.configuration.errors import UpdateMismatchError
from mallowbeam.router.configuration.message_codec import (
    decode_backend,
    decode_limits,
    decode_route,
    encode_backend,
    encode_limits,
    encode_route,
)
from mallowbeam.router.configuration.model import Backend, ClientLimits, Configuration, Route
from mallowbeam.router.rpc import messages_pb2 as messages

Value = TypeVar("Value", Route, Backend)


def full_update(configuration: Configuration) -> messages.ConfigurationUpdate:
    """The complete configuration as a message."""
    return messages.ConfigurationUpdate(
        revision=configuration.revision,
        whole=True,
        routes=[encode_route(route) for route in configuration.routes.values()],
        backends=[encode_backend(backend) for backend in configuration.backends.values()],
        limits=encode_limits(configuration.limits),
    )


def incremental_update(old: Configuration, new: Configuration) -> messages.ConfigurationUpdate:
    """The message that turns `old` into `new`."""
    return messages.ConfigurationUpdate(
        revision=new.revision,
        based_on=old.revision,
        routes=[encode_route(route) for route in changed_values(old.routes, new.routes)],
        backends=[encode_backend(backend) for backend in changed_values(old.backends, new.backends)],
        removed_routes=[key for key in old.routes if key not in new.routes],
        removed_backends=[name for name in old.backends if name not in new.backends],
        limits=encode_limits(new.limits) if new.limits != old.limits else None,
    )


def changed_values(old: Mapping[str, Value], new: Mapping[str, Value]) -> Iterator[Value]:
    """Values of `new` that are missing from `old` or differ there; identical objects are not compared."""
    for key, value in new.items():
        known = old.get(key)
        if known is not value and known != value:
            yield value


def apply_update(current: Configuration | None, update: messages.ConfigurationUpdate) -> Configuration:
    """The configuration after an update; `current` itself if the update is not newer.

    Raises `UpdateMismatchError` if an incremental update builds on another revision than the current one.
    """
    if current is not None and update.revision <= current.revision:
        return current
    if update.whole:
        return decode_full_update(update)
    if current is None or current.revision != update.based_on:
        current_revision = current.revision if current is not None else 0
        raise UpdateMismatchError(
            f"revision {update.revision} builds on {update.based_on}, the current one is {current_revision}"
        )
    return decode_incremental_update(current, update)


def decode_full_update(update: messages.ConfigurationUpdate) -> Configuration:
    """The configuration that a complete update describes."""
    routes = [decode_route(route) for route in update.routes]
    backends = [decode_backend(backend) for backend in update.backends]
    return Configuration(
        revision=update.revision,
        routes={route.key: route for route in routes},
        backends={backend.name: backend for backend in backends},
        limits=decode_limits(update.limits) if update.HasField("limits") else ClientLimits(),
    )


def decode_incremental_update(current: Configuration, update: messages.ConfigurationUpdate) -> Configuration:
    """The configuration that an incremental update makes of the current one."""
    routes = dict(current.routes)
    for key in update.removed_routes:
        routes.pop(key, None)
    for message in update.routes:
        route = decode_route(message)
        routes[route.key] = route
    backends = dict(current.backends)
    for name in update.removed_backends:
        backends.pop(name, None)
    for changed in update.backends:
        backends[changed.name] = decode_backend(changed)
    limits = decode_limits(update.limits) if update.HasField("limits") else current.limits
    return Configuration(update.revision, routes, backends, limits)
