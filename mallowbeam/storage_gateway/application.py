"""Builds and runs a gateway from its two files, the configuration and the fronts file."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop
from loguru import logger

from mallowbeam.http.connection import Connection
from mallowbeam.http.handler import RequestHandler
from mallowbeam.http.server import ConnectionFactory, Server
from mallowbeam.reload_signal import defer_sighup
from mallowbeam.storage_gateway.frontends.platform import Platform
from mallowbeam.storage_gateway.server.admin import open_admin
from mallowbeam.storage_gateway.server.config import (
    FRONT_SOCKETS,
    Config,
    GatewayConfigError,
    read_address,
    read_config,
    read_file,
)
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.handover import Takeover, take_over
from mallowbeam.storage_gateway.server.health import AgentConnection, Health

if TYPE_CHECKING:  # loaded at run time only where the object API is on
    from mallowbeam.storage_gateway.frontends.object_api.buffered import BufferedObjects
    from mallowbeam.storage_gateway.frontends.object_api.settings import ObjectSettings

LOG_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"
DEFAULT_FRONTS_FILE = Path(__file__).parents[2] / "deploy" / "fronts.json"  # the default operators' file
MIN_CLIENT_CONNECTIONS = 2  # for each front: one is served, one refuses further clients
WATCHER_CONNECTIONS = 8  # client connections for each listener used only by load balancers


def open_servers(gateway: Gateway, fronts: dict[str, Any], takeover: Takeover | None = None) -> list[Server]:
    """Opens the platform's listener and those enabled in the fronts file; raises `GatewayConfigError`.

    Sockets handed over by the previous process are used as they are.
    """
    handed_over = takeover.listeners if takeover else {}
    try:
        servers = _open_enabled(gateway, fronts, handed_over, upgrade=takeover is not None)
    except (ValueError, AttributeError) as error:
        raise GatewayConfigError(f"the fronts file is malformed: {error}") from None
    for unused in handed_over.values():  # of a disabled front, whose clients would wait in the accept queue
        unused.close()
    return servers


def _open_enabled(
    gateway: Gateway, fronts: dict[str, Any], handed_over: dict[str, socket.socket], upgrade: bool
) -> list[Server]:
    """Opens every enabled front; removes from `handed_over` the sockets that it uses."""
    available = gateway.config.client_sockets
    servers: list[Server] = []
    objects = _read_objects(gateway, fronts)
    if fronts.get("policy", {}).get("folder") is not None:
        servers.append(open_fleet_log(gateway, fronts))
    servers += _open_health_checks(gateway, fronts, handed_over)
    available -= len(servers) * (WATCHER_CONNECTIONS + FRONT_SOCKETS)
    if objects is not None:
        gateway.pool.max_body = max(gateway.pool.max_body, objects.max_body)
        available = (available - FRONT_SOCKETS) // 2
        front = _object_front(gateway, fronts, objects, upgrade)
        inherited = handed_over.pop("objects", None)
        servers.append(Server(objects.listen, front, available, name="objects", handed=inherited))
    if available < MIN_CLIENT_CONNECTIONS:
        raise GatewayConfigError("limits.sockets leaves no client connections beside the enabled fronts")
    inherited = handed_over.pop("platform", None)
    servers.append(
        Server(
            gateway.config.listen,
            Platform(gateway),
            available,
            name="platform",
            handed=inherited,
        )
    )
    return servers


def _open_health_checks(
    gateway: Gateway, fronts: dict[str, Any], handed_over: dict[str, socket.socket]
) -> list[Server]:
    """Opens the listeners used only by load balancers: health pages and agent check, if enabled."""
    servers = []
    connections: dict[str, ConnectionFactory] = {
        "health": Connection,
        "agent_check": partial(AgentConnection, gateway),
    }
    for name, connection in connections.items():
        if listen := fronts.get(name, {}).get("listen"):
            address, inherited = read_address(listen), handed_over.pop(name, None)
            servers.append(Server(address, Health(gateway), WATCHER_CONNECTIONS, connection, name, inherited))
    return servers


def _read_objects(gateway: Gateway, fronts: dict[str, Any]) -> ObjectSettings | None:
    """Returns the settings of the object API, None if it is off."""
    if fronts.get("objects", {}).get("listen") is None:
        return None
    # Imported only if enabled: requests are lost for as long as a start takes.
    from mallowbeam.storage_gateway.frontends.object_api.settings import read_object_settings

    return read_object_settings(fronts["objects"], gateway)


def _object_front(
    gateway: Gateway, fronts: dict[str, Any], objects: ObjectSettings, upgrade: bool
) -> RequestHandler:
    """Returns the object API front, with the write-back buffer if that is enabled."""
    if fronts.get("buffer", {}).get("folder") is not None:
        return open_buffered(gateway, fronts, upgrade)
    from mallowbeam.storage_gateway.frontends.object_api.front import Objects

    return Objects(gateway, objects)


def open_fleet_log(gateway: Gateway, fronts: dict[str, Any]) -> Server:
    """Opens the listener of the fleet's log with the enabled subsystems; raises `GatewayConfigError`."""
    try:
        from mallowbeam.storage_gateway.coordination.status_pages import open_policy
        from mallowbeam.storage_gateway.operator_settings import SUBSYSTEMS, PolicySection, convert

        sections = {
            name: convert(kind, fronts[name], name)
            for name, kind in SUBSYSTEMS.items()
            if fronts.get(name, {}).get("on")
        }
        return open_policy(
            gateway, convert(PolicySection, fronts["policy"], "policy"), WATCHER_CONNECTIONS, sections
        )
    except ImportError as error:
        raise GatewayConfigError(
            f"the fleet's policy needs {error.name}: install the extra `fleet`"
        ) from None


def open_buffered(gateway: Gateway, fronts: dict[str, Any], upgrade: bool) -> BufferedObjects:
    """Returns the object API front with the write-back buffer; raises `GatewayConfigError`."""
    try:
        from mallowbeam.storage_gateway.frontends.object_api.buffered import (
            BufferedObjects,
            read_buffer_settings,
        )
    except ImportError as error:
        raise GatewayConfigError(f"the buffer needs {error.name}: install the extra `buffer`") from None
    from mallowbeam.storage_gateway.frontends.object_api.settings import read_object_settings

    objects = read_object_settings(fronts["objects"], gateway)
    settings = read_buffer_settings(fronts["buffer"], objects, gateway)
    return BufferedObjects(gateway, objects, settings, upgrade)


def any_enabled(fronts: dict[str, Any]) -> bool:
    """Whether the fronts file enables anything; if not, its validation needs no imports."""
    return any(
        not isinstance(section, dict)
        or section.get("listen") is not None
        or section.get("folder") is not None
        or section.get("on")
        for section in fronts.values()
    )


async def serve(config: Config, fronts: dict[str, Any], deferred_sighups: Sequence[int] = ()) -> None:
    """Runs a gateway until it is stopped; `deferred_sighups` came before the handler was installed."""
    takeover = take_over(config)
    gateway = Gateway(takeover.config(config) if takeover else config)
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: logger.opt(exception=context.get("exception")).error(
            "unexpected error: {}", context["message"]
        )
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, gateway.stop)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, gateway.reload, os.environ)
    if deferred_sighups:  # handled once the gateway serves
        asyncio.get_running_loop().call_soon(gateway.reload, os.environ)
    try:
        admin, servers = open_admin(gateway), open_servers(gateway, fronts, takeover)
    except OSError as error:
        raise GatewayConfigError(f"cannot listen: {error}") from None
    await gateway.run(servers, admin, takeover, await_successor=True)


def run(log_format: str = "text", deferred_sighups: Sequence[int] | None = None) -> int:
    """Runs the gateway; returns 0 after a graceful shutdown, 2 if the configuration is invalid.

    `deferred_sighups` are the SIGHUPs recorded before this module was loaded, None if they were not recorded.
    """
    deferred_sighups = defer_sighup() if deferred_sighups is None else deferred_sighups
    logger.remove()
    if log_format == "json":  # one JSON object per line, with the bound fields
        logger.add(sys.stderr, serialize=True, level="INFO", backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, format=LOG_FORMAT, level="INFO", backtrace=False, diagnose=False)
    try:
        fronts = read_file(os.environ.get("MALLOWBEAM_FRONTS") or str(DEFAULT_FRONTS_FILE))
        if any_enabled(fronts):
            from mallowbeam.storage_gateway.operator_settings import check

            check(fronts)
        uvloop.run(serve(read_config(os.environ), fronts, deferred_sighups))
    except GatewayConfigError as error:
        print(f"mallowbeam: {error.line}", file=sys.stderr)
        return 2
    return 0
