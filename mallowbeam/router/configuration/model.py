"""The operator's configuration as the processes use it: immutable, and free of everything that parses it.

Gateways import this module; it must not import marshmallow or json (a test holds it to that).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MOST_UINT32 = 2**32 - 1
MOST_UINT64 = 2**64 - 1


@dataclass(frozen=True, slots=True)
class WeightedBackend:
    """A service and its share of a route's requests; a weight of 0 receives none."""

    backend: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what may be done with them."""

    hostname: str  # in lower case
    path_prefix: str
    timeout_ms: int
    backends: tuple[WeightedBackend, ...]  # weights sum to more than 0
    name: str = ""
    route_type: str = "unsafe"  # the type that promises least, where none is given
    target_latency_ms: int = 0  # 0: none given
    priority: int = 0  # 0 is highest
    max_retries: int = 1  # instances to which one request may be sent
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: int = 0  # 0: none given
    place: str = field(init=False, repr=False, compare=False)  # host and prefix: no two routes share them

    def __post_init__(self) -> None:
        """Join the place once: it is the key of every table of routes."""
        object.__setattr__(self, "place", f"{self.hostname} {self.path_prefix}")


@dataclass(frozen=True, slots=True)
class Engine:
    """What the operator says of a service's model servers; 0: not given."""

    slots: int = 0
    kv_capacity: int = 0  # tokens
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
    stride: int = 0  # tokens an event carries
    handle_ttl_s: float = 0.0
    switch_s: float = 0.0
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Backend:
    """A service."""

    name: str
    health_check: str = ""  # path; empty: none
    max_connections: int = 0  # to one instance, from all callers; 0: not given
    engine: Engine | None = None  # None: no model server


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, in bytes, and how long it may take or rest, in milliseconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One revision of the operator's configuration. The mappings are never changed."""

    revision: int
    routes: Mapping[str, Route]  # by `Route.place`
    backends: Mapping[str, Backend]  # by name
    limits: ClientLimits = field(default_factory=ClientLimits)
