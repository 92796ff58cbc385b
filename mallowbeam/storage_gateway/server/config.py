"""The platform's configuration of a gateway, decoded once; any fault in it raises `GatewayConfigError`."""

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

# File descriptors reserved for the process itself, never used for clients or nodes, so that the discovery
# call and each listener's accept always find one, and the process stays within its limit on sockets.  In
# steady state: 3 of stdio, 9 of the event loop and its signals, the listener, the hand-over socket, and the
# discovery call.  For a short time also: the discovery call replaced after a change of address, the link to
# the other process, a file being read, an accepted connection that evicts another.  The rest is spare.
RESERVED_SOCKETS = 24
FRONT_SOCKETS = 2  # for each further front: its listener, and an accepted connection that evicts another
ADMIN_SOCKETS = 16  # connections to the admin endpoint, if there is one
NODE_SHARE = 0.4  # share of the remaining descriptors for connections to nodes; the others are for clients
MIN_SOCKETS = 64


class GatewayConfigError(MallowbeamError):
    """The configuration is invalid; the message gives the reason on one line."""

    error_name = "BadConfig"
    remedy = "mend the file that is named; mallowbeam config check says the same without a start"


@dataclass(slots=True, frozen=True)
class Config:
    """The values that the process uses."""

    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None  # address of the admin endpoint, None if there is none
    discovery: str
    node_sockets: int  # maximum connections to nodes
    client_sockets: int  # maximum client connections over all fronts
    own_sockets: int  # descriptors reserved for the process itself and the admin endpoint
    memory: int  # bytes that the process may use
    known: Listing
    settings: Settings
    idle_limit: float | None
    connect_timeout: float | None


def read_address(text: str) -> tuple[str, int]:
    """Parses `host:port` into a socket address; raises ValueError."""
    host, sep, port = str(text).rpartition(":")
    if not sep or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def read_file(path: str) -> dict[str, Any]:
    """Reads a JSON object from a file; raises `GatewayConfigError`."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise GatewayConfigError(f"cannot read {path}: {error}") from None
    if not isinstance(raw, dict):
        raise GatewayConfigError(f"{path} does not contain a JSON object")
    return raw


def read_config(env: Mapping[str, str]) -> Config:
    """Reads the configuration file named by the environment; raises `GatewayConfigError`."""
    path = env.get("BALANCER_CONFIG")
    if not path:
        raise GatewayConfigError("BALANCER_CONFIG is not set")
    raw = read_file(path)
    try:
        return decode_config(raw, env, descriptor_limit())
    except KeyError as error:
        raise GatewayConfigError(f"{path} lacks {error}, or has an unknown value there") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise GatewayConfigError(f"{path} is malformed: {error}") from None


def descriptor_limit() -> int | None:
    """Returns the process's soft limit on descriptors, None if unlimited; the limit is never raised."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


def read_config_for_reload(env: Mapping[str, str]) -> Config:
    """Reads the configuration for a reload: the file's discovery address overrides the environment's."""
    return read_config({name: value for name, value in env.items() if name != "BALANCER_DISCOVERY"})


def decode_config(raw: dict[str, Any], env: Mapping[str, str], max_descriptors: int | None = None) -> Config:
    """Decodes the configuration; the environment overrides the file.

    `max_descriptors` is the process's limit on descriptors; the lower of it and `limits.sockets` applies.
    """
    flat = flatten(raw["settings"])

    def seconds(path: str) -> float | None:
        value: float | None = parse_optional(flat.get(path, "-"), float)
        return value

    settings = replace(read_settings(int(str(raw.get("seed", "0")), 16), flat), limit_at_arrival=True)
    if not settings.classes:
        raise ValueError("the settings define no classes")
    discovery = str(env.get("BALANCER_DISCOVERY") or raw["discovery"])
    read_address(discovery)
    sockets = int(raw.get("limits", {}).get("sockets", 1024))
    if sockets < MIN_SOCKETS:
        raise ValueError(f"limits.sockets must be at least {MIN_SOCKETS}")
    if max_descriptors is not None and max_descriptors < sockets:
        logger.warning(
            "limits.sockets is {}, but this process may open only {} descriptors", sockets, max_descriptors
        )
        sockets = max(MIN_SOCKETS, max_descriptors)
    memory = int(raw.get("limits", {}).get("memory_mb", 192)) * 1024 * 1024
    if memory <= 0:
        raise ValueError("limits.memory_mb must be greater than 0")
    admin_address = env.get("BALANCER_ADMIN_ADDR") or raw.get("admin_addr")
    reserved = RESERVED_SOCKETS + (ADMIN_SOCKETS if admin_address else 0)
    shared_sockets = sockets - reserved
    node_sockets = int(shared_sockets * NODE_SHARE)
    return Config(
        name=str(env.get("BALANCER_NAME") or raw["name"]),
        listen=read_address(env.get("BALANCER_LISTEN") or raw["listen"]),
        admin=read_address(admin_address) if admin_address else None,
        discovery=discovery,
        node_sockets=node_sockets,
        client_sockets=shared_sockets - node_sockets,
        own_sockets=reserved,
        memory=memory,
        known=read_listing(raw["known"]),
        settings=settings,
        idle_limit=seconds("Ceilings.ConnIdle"),
        connect_timeout=seconds("Ceilings.ConnectTimeout"),
    )
