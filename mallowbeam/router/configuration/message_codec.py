"""Routes, services and limits as protobuf messages, and back. Both ends of the feed use it.

Gateways import this module; it must not import marshmallow or json (a test enforces it).
"""

from __future__ import annotations

from mallowbeam.router.configuration.model import Backend, ClientLimits, Engine, Route, WeightedBackend
from mallowbeam.router.rpc import messages_pb2 as messages


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
    """The properties of a service's model servers from their message."""
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
    """The clients' limits as a message."""
    return messages.ClientLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )


def decode_limits(limits: messages.ClientLimits) -> ClientLimits:
    """The clients' limits from their message."""
    return ClientLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )
