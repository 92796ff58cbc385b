"""What members tell gateways of the configuration: whole, or what changed; and how a gateway takes it in.

Routes are known by `Route.place`, services by name. Gateways import this module; it must not import
marshmallow or json (a test holds it to that).
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TypeVar

from mallowbeam.router.configuration.errors import UpdateMismatch
from mallowbeam.router.configuration.model import (
    Backend,
    ClientLimits,
    Configuration,
    Engine,
    Route,
    WeightedBackend,
)
from mallowbeam.router.rpc import messages_pb2 as messages

Value = TypeVar("Value", Route, Backend)


def to_update(configuration: Configuration) -> messages.ConfigurationUpdate:
    """The whole configuration as a message."""
    return messages.ConfigurationUpdate(
        revision=configuration.revision,
        whole=True,
        routes=[encode_route(route) for route in configuration.routes.values()],
        backends=[encode_backend(backend) for backend in configuration.backends.values()],
        limits=encode_limits(configuration.limits),
    )


def difference(old: Configuration, new: Configuration) -> messages.ConfigurationUpdate:
    """What has to change in `old` to make it `new`."""
    return messages.ConfigurationUpdate(
        revision=new.revision,
        based_on=old.revision,
        routes=[encode_route(route) for route in changed_values(old.routes, new.routes)],
        backends=[encode_backend(backend) for backend in changed_values(old.backends, new.backends)],
        removed_routes=[place for place in old.routes if place not in new.routes],
        removed_backends=[name for name in old.backends if name not in new.backends],
        limits=encode_limits(new.limits) if new.limits != old.limits else None,
    )


def changed_values(old: Mapping[str, Value], new: Mapping[str, Value]) -> Iterator[Value]:
    """Values of `new` that `old` lacks or has otherwise; what is the same object is not compared."""
    for key, value in new.items():
        known = old.get(key)
        if known is not value and known != value:
            yield value


def apply_update(held: Configuration | None, update: messages.ConfigurationUpdate) -> Configuration:
    """The configuration after an update; `held` itself if the update is no newer.

    Raises `UpdateMismatch` if a change builds on another revision than the one held.
    """
    if held is not None and update.revision <= held.revision:
        return held
    if update.whole:
        return decode_whole(update)
    if held is None or held.revision != update.based_on:
        holds = held.revision if held is not None else 0
        raise UpdateMismatch(f"revision {update.revision} builds on {update.based_on}; {holds} is held")
    return decode_change(held, update)


def decode_whole(update: messages.ConfigurationUpdate) -> Configuration:
    """A configuration from a whole update."""
    routes = [decode_route(route) for route in update.routes]
    backends = [decode_backend(backend) for backend in update.backends]
    return Configuration(
        revision=update.revision,
        routes={route.place: route for route in routes},
        backends={backend.name: backend for backend in backends},
        limits=decode_limits(update.limits) if update.HasField("limits") else ClientLimits(),
    )


def decode_change(held: Configuration, update: messages.ConfigurationUpdate) -> Configuration:
    """A configuration from the one that is held and a change to it."""
    routes = dict(held.routes)
    for place in update.removed_routes:
        routes.pop(place, None)
    for message in update.routes:
        route = decode_route(message)
        routes[route.place] = route
    backends = dict(held.backends)
    for name in update.removed_backends:
        backends.pop(name, None)
    for changed in update.backends:
        backends[changed.name] = decode_backend(changed)
    limits = decode_limits(update.limits) if update.HasField("limits") else held.limits
    return Configuration(update.revision, routes, backends, limits)


def encode_route(route: Route) -> messages.Route:
    """A route as a message."""
    return messages.Route(
        name=route.name,
        hostname=route.hostname,
        path_prefix=route.path_prefix,
        route_type=route.route_type,
        timeout_ms=route.timeout_ms,
        target_latency_ms=route.target_latency_ms,
        priority=route.priority,
        max_retries=route.max_retries,
        session_affinity=route.session_affinity,
        resumable=route.resumable,
        gap_aim_ms=route.gap_aim_ms,
        backends=[
            messages.WeightedBackend(backend=entry.backend, weight=entry.weight) for entry in route.backends
        ],
    )


def decode_route(route: messages.Route) -> Route:
    """A route from its message."""
    return Route(
        hostname=route.hostname,
        path_prefix=route.path_prefix,
        timeout_ms=route.timeout_ms,
        backends=tuple(WeightedBackend(entry.backend, entry.weight) for entry in route.backends),
        name=route.name,
        route_type=route.route_type,
        target_latency_ms=route.target_latency_ms,
        priority=route.priority,
        max_retries=route.max_retries,
        session_affinity=route.session_affinity,
        resumable=route.resumable,
        gap_aim_ms=route.gap_aim_ms,
    )


def encode_backend(backend: Backend) -> messages.Backend:
    """A service as a message."""
    return messages.Backend(
        name=backend.name,
        health_check=backend.health_check,
        max_connections=backend.max_connections,
        engine=encode_engine(backend.engine) if backend.engine is not None else None,
    )


def decode_backend(backend: messages.Backend) -> Backend:
    """A service from its message."""
    return Backend(
        name=backend.name,
        health_check=backend.health_check,
        max_connections=backend.max_connections,
        engine=decode_engine(backend.engine) if backend.HasField("engine") else None,
    )


def encode_engine(engine: Engine) -> messages.Engine:
    """What is known of a service's model servers as a message."""
    return messages.Engine(
        slots=engine.slots,
        kv_capacity=engine.kv_capacity,
        kv_token_bytes=engine.kv_token_bytes,
        link_mbps=engine.link_mbps,
        stride=engine.stride,
        handle_ttl_s=engine.handle_ttl_s,
        switch_s=engine.switch_s,
        models=engine.models,
    )


def decode_engine(engine: messages.Engine) -> Engine:
    """What is known of a service's model servers from its message."""
    return Engine(
        slots=engine.slots,
        kv_capacity=engine.kv_capacity,
        kv_token_bytes=engine.kv_token_bytes,
        link_mbps=engine.link_mbps,
        stride=engine.stride,
        handle_ttl_s=engine.handle_ttl_s,
        switch_s=engine.switch_s,
        models=tuple(engine.models),
    )


def encode_limits(limits: ClientLimits) -> messages.ClientLimits:
    """The limits as a message."""
    return messages.ClientLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )


def decode_limits(limits: messages.ClientLimits) -> ClientLimits:
    """The limits from their message."""
    return ClientLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )
