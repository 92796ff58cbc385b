"""What the platform tells a gateway, decoded once; anything wrong is one plain `GatewayConfigError`."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.scheduler.interface import Settings
from mallowbeam.storage_gateway.scheduler.settings import flatten, parse_optional, read_settings
from mallowbeam.storage_gateway.server.listing import MAX_PORT, Listing, read_listing

# Descriptors that are never given to clients or nodes.  Guards against a crash over the limit on sockets, and
# against clients that fill them: discovery's call and each listener's accept always find one.  Counted at
# rest: 3 of stdio, 9 of the loop and its signals, the listener, the place to meet the next process, and
# discovery's call.  For a moment more: the call that a move of discovery replaces, the other process, a file
# that is read, the connection that makes another one go.  The rest is in hand.
OWN_SOCKETS = 24
FRONT_SOCKETS = 2  # each further front: its listener, and the connection that makes another one go
ADMIN_SOCKETS = 16  # connections at the operators' door, where there is one
NODE_SHARE = 0.4  # of the rest: connections to nodes; the others are for clients
LEAST_SOCKETS = 64


class GatewayConfigError(MallowbeamError):
    """The configuration can't be used; the text says why, on one line."""

    error_name = "BadConfig"
    remedy = "mend the file that is named; mallowbeam config check says the same without a start"


@dataclass(slots=True, frozen=True)
class Config:
    """The few values that the program uses."""

    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None  # the operators' door, None where there is none
    discovery: str
    node_sockets: int  # connections to nodes, at most
    client_sockets: int  # connections of clients, at most, over all fronts
    own_sockets: int  # descriptors of the program itself and its operators' door
    memory: int  # bytes that the program may use
    known: Listing
    settings: Settings
    idle_limit: float | None
    connect_timeout: float | None


def read_address(text: str) -> tuple[str, int]:
    """`host:port` as a socket address."""
    host, sep, port = str(text).rpartition(":")
    if not sep or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def read_file(path: str) -> dict[str, Any]:
    """A JSON object from a file."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise GatewayConfigError(f"cannot read {path}: {error}") from None
    if not isinstance(raw, dict):
        raise GatewayConfigError(f"{path} holds no JSON object")
    return raw


def read_config(env: Mapping[str, str]) -> Config:
    """The configuration that the environment names."""
    path = env.get("BALANCER_CONFIG")
    if not path:
        raise GatewayConfigError("BALANCER_CONFIG is not set")
    raw = read_file(path)
    try:
        return decode(raw, env, descriptors())
    except KeyError as error:
        raise GatewayConfigError(f"{path} lacks {error}, or has an unknown word there") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise GatewayConfigError(f"{path} is malformed: {error}") from None


def descriptors() -> int | None:
    """How many descriptors this process may open, None if there is no limit; it is gone by, never raised."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


def read_again(env: Mapping[str, str]) -> Config:
    """The configuration at a reload: discovery's address in the file goes before the environment's of old."""
    return read_config({name: value for name, value in env.items() if name != "BALANCER_DISCOVERY"})


def decode(raw: dict[str, Any], env: Mapping[str, str], most: int | None = None) -> Config:
    """The configuration's few values; the environment goes before the file.

    `most` is how many descriptors the machine allows: the lower of the two limits counts.
    """
    flat = flatten(raw["settings"])

    def seconds(path: str) -> float | None:
        value: float | None = parse_optional(flat.get(path, "-"), float)
        return value

    settings = replace(read_settings(int(str(raw.get("seed", "0")), 16), flat), limit_at_arrival=True)
    if not settings.classes:
        raise ValueError("no classes in the settings")
    discovery = str(env.get("BALANCER_DISCOVERY") or raw["discovery"])
    read_address(discovery)
    sockets = int(raw.get("limits", {}).get("sockets", 1024))
    if sockets < LEAST_SOCKETS:
        raise ValueError(f"fewer than {LEAST_SOCKETS} sockets")
    if most is not None and most < sockets:
        logger.warning("limits.sockets is {}, but this process may open only {} descriptors", sockets, most)
        sockets = max(LEAST_SOCKETS, most)
    memory = int(raw.get("limits", {}).get("memory_mb", 192)) * 1024 * 1024
    if memory <= 0:
        raise ValueError("no memory")
    door = env.get("BALANCER_ADMIN_ADDR") or raw.get("admin_addr")
    own = OWN_SOCKETS + (ADMIN_SOCKETS if door else 0)
    dealt = sockets - own
    node_sockets = int(dealt * NODE_SHARE)
    return Config(
        name=str(env.get("BALANCER_NAME") or raw["name"]),
        listen=read_address(env.get("BALANCER_LISTEN") or raw["listen"]),
        admin=read_address(door) if door else None,
        discovery=discovery,
        node_sockets=node_sockets,
        client_sockets=dealt - node_sockets,
        own_sockets=own,
        memory=memory,
        known=read_listing(raw["known"]),
        settings=settings,
        idle_limit=seconds("Ceilings.ConnIdle"),
        connect_timeout=seconds("Ceilings.ConnectTimeout"),
    )
