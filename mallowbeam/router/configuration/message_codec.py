"""Converts routes, services and limits to protobuf messages and back, for both ends of the feed.

Gateways import this module; it must not import marshmallow or json (a test enforces it).
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from mallowbeam.router.configuration.model import Backend, ClientLimits, Engine, Route, WeightedBackend
from mallowbeam.router.rpc import messages_pb2 as messages

ENGINE_FIELDS = tuple(field.name for field in fields(Engine))
LIMIT_FIELDS = tuple(field.name for field in fields(ClientLimits))


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
    """The properties of a service's model servers as a message."""
    return messages.Engine(**_values(engine, ENGINE_FIELDS))


def decode_engine(engine: messages.Engine) -> Engine:
    """The properties of a service's model servers from their message."""
    values = _values(engine, ENGINE_FIELDS)
    values["models"] = tuple(engine.models)
    return Engine(**values)


def encode_limits(limits: ClientLimits) -> messages.ClientLimits:
    """The clients' limits as a message."""
    return messages.ClientLimits(**_values(limits, LIMIT_FIELDS))


def decode_limits(limits: messages.ClientLimits) -> ClientLimits:
    """The clients' limits from their message."""
    return ClientLimits(**_values(limits, LIMIT_FIELDS))


def _values(source: object, names: tuple[str, ...]) -> dict[str, Any]:
    """Fields that the model and its message have under the same names."""
    return {name: getattr(source, name) for name in names}
