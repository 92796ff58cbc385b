"""The immutable model of the operator's configuration, without the code that parses it.

Gateways import this module; it must not import marshmallow or json (a test enforces it).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_UINT32 = 2**32 - 1
MAX_UINT64 = 2**64 - 1


@dataclass(frozen=True, slots=True)
class WeightedBackend:
    """A service and its weight among a route's services; a weight of 0 receives no requests."""

    backend: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, with the policy for their retries and latency."""

    hostname: str  # in lower case
    path_prefix: str
    timeout_ms: int
    backends: tuple[WeightedBackend, ...]  # the sum of the weights is above 0
    name: str = ""
    route_type: str = "unsafe"  # the most restrictive type is the default
    target_latency_ms: int = 0  # 0: none configured
    priority: int = 0  # 0 is highest
    max_retries: int = 1  # instances to which one request may be sent
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: int = 0  # target for the time between two events of a stream; 0: none configured
    key: str = field(init=False, repr=False, compare=False)  # host and prefix, unique among the routes

    def __post_init__(self) -> None:
        """Build the key once, because every table of routes is indexed by it."""
        object.__setattr__(self, "key", f"{self.hostname} {self.path_prefix}")


@dataclass(frozen=True, slots=True)
class Engine:
    """Properties of a service's model servers; 0 if not configured."""

    slots: int = 0
    kv_capacity: int = 0  # tokens
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
    stride: int = 0  # tokens per event of a stream
    handle_ttl_s: float = 0.0
    switch_s: float = 0.0
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Backend:
    """A service."""

    name: str
    health_check: str = ""  # path; empty: none
    max_connections: int = 0  # to one instance, from all gateways together; 0: not configured
    engine: Engine | None = None  # None: no model server


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of a client's requests: sizes in bytes, time-outs in milliseconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One revision of the operator's configuration. The mappings are never modified."""

    revision: int
    routes: Mapping[str, Route]  # by `Route.key`
    backends: Mapping[str, Backend]  # by name
    limits: ClientLimits = field(default_factory=ClientLimits)
