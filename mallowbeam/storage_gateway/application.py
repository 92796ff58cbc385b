"""One real gateway from its two files: its listeners, its subsystems, its start."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop
from loguru import logger

from mallowbeam.http.connection import Connection
from mallowbeam.http.server import Server
from mallowbeam.reload_signal import hold_hangups
from mallowbeam.storage_gateway.frontends.platform import Platform
from mallowbeam.storage_gateway.server.admin import open_admin
from mallowbeam.storage_gateway.server.config import (
    FRONT_SOCKETS,
    BadConfig,
    Config,
    read_address,
    read_config,
    read_file,
)
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.handover import Legacy, take_over
from mallowbeam.storage_gateway.server.health import AgentConnection, Health

LOG_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"
FRONTS = Path(__file__).parents[2] / "deploy" / "fronts.json"  # the fronts beside the platform's
LEAST_ROOM = 2  # connections for each front's clients: one is served, one refuses those beyond
WATCHER_CONNECTIONS = 8  # of the clients' connections, for each listener that only balancers ask


def open_servers(gateway: Gateway, fronts: dict, legacy: Legacy | None = None) -> list[Server]:
    """The listening sockets: the platform's, and what the fronts file turns on; raises `BadConfig`.

    Those that the process before this one handed over are taken as they are.
    """
    config, servers, handed = gateway.config, [], legacy.doors if legacy else {}
    room = config.client_sockets
    try:
        objects = None
        if fronts.get("objects", {}).get("listen") is not None:
            # Loaded only where it is on: a start is short, as each second of it loses requests.
            from mallowbeam.storage_gateway.frontends.object_api.front import Objects
            from mallowbeam.storage_gateway.frontends.object_api.settings import read_object_settings

            objects = read_object_settings(fronts["objects"], gateway)
        if fronts.get("policy", {}).get("folder") is not None:
            servers.append(open_fleet(gateway, fronts))
            room -= WATCHER_CONNECTIONS + FRONT_SOCKETS
        for name, front, connection in (
            ("health", Health(gateway), Connection),
            ("agent_check", gateway, AgentConnection),
        ):
            if listen := fronts.get(name, {}).get("listen"):
                servers.append(
                    Server(
                        read_address(listen),
                        front,
                        WATCHER_CONNECTIONS,
                        connection,
                        name,
                        handed.pop(name, None),
                    )
                )
                room -= WATCHER_CONNECTIONS + FRONT_SOCKETS
        if objects:
            gateway.pool.max_body = max(gateway.pool.max_body, objects.max_body)
            room = (room - FRONT_SOCKETS) // 2
            buffered = fronts.get("buffer", {}).get("folder") is not None
            front = open_buffered(gateway, fronts, legacy) if buffered else Objects(gateway, objects)
            servers.append(
                Server(objects.listen, front, room, name="objects", handed=handed.pop("objects", None))
            )
        if room < LEAST_ROOM:
            raise BadConfig("limits.sockets leaves no connection for clients beside the fronts that are on")
        servers.append(
            Server(
                config.listen, Platform(gateway), room, name="platform", handed=handed.pop("platform", None)
            )
        )
    except (ValueError, AttributeError) as error:
        raise BadConfig(f"the fronts file is malformed: {error}") from None
    for door in handed.values():  # of a front that is off now: who knocks there would wait
        door.close()
    return servers


def open_fleet(gateway: Gateway, fronts: dict) -> Server:
    """The fleet's log, with the subsystems that are on; raises `BadConfig`."""
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
        raise BadConfig(f"the fleet's policy needs {error.name}: install the extra `fleet`") from None


def open_buffered(gateway: Gateway, fronts: dict, legacy: Legacy | None):
    """The object front with the write-back buffer behind it; raises `BadConfig`."""
    try:
        from mallowbeam.storage_gateway.frontends.object_api.buffered import (
            BufferedObjects,
            read_buffer_settings,
        )
    except ImportError as error:
        raise BadConfig(f"the buffer needs {error.name}: install the extra `buffer`") from None
    from mallowbeam.storage_gateway.frontends.object_api.settings import read_object_settings

    objects = read_object_settings(fronts["objects"], gateway)
    settings = read_buffer_settings(fronts["buffer"], objects, gateway)
    return BufferedObjects(gateway, objects, settings, legacy is not None)


def any_on(fronts: dict) -> bool:
    """Whether the operators' file turns anything on: if not, nothing need be loaded to check it."""
    return any(
        not isinstance(section, dict)
        or section.get("listen") is not None
        or section.get("folder") is not None
        or section.get("on")
        for section in fronts.values()
    )


async def serve(config: Config, fronts: dict, hangups: Sequence[int] = ()) -> None:
    """Run a gateway with its fronts until it is told to stop; `hangups` came before it listened for them."""
    legacy = take_over(config)
    gateway = Gateway(legacy.config(config) if legacy else config)
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: logger.opt(exception=context.get("exception")).error(
            "unforeseen: {}", context["message"]
        )
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, gateway.stop)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, gateway.reload, os.environ)
    if hangups:  # its turn comes once the gateway serves
        asyncio.get_running_loop().call_soon(gateway.reload, os.environ)
    try:
        admin, servers = open_admin(gateway), open_servers(gateway, fronts, legacy)
    except OSError as error:
        raise BadConfig(f"cannot listen: {error}") from None
    await gateway.run(servers, admin, legacy, meet=True)


def run(log_format: str = "text", hangups: Sequence[int] | None = None) -> int:
    """Run the gateway; 0 after a planned stop, 2 where the configuration can't be used.

    `hangups` are the SIGHUPs kept since before this file was loaded, where they were.
    """
    hangups = hold_hangups() if hangups is None else hangups
    logger.remove()
    if log_format == "json":  # one object a line, with the fields that a line was given
        logger.add(sys.stderr, serialize=True, level="INFO", backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, format=LOG_FORMAT, level="INFO", backtrace=False, diagnose=False)
    try:
        fronts = read_file(os.environ.get("MALLOWBEAM_FRONTS") or str(FRONTS))
        if any_on(fronts):
            from mallowbeam.storage_gateway.operator_settings import check

            check(fronts)
        uvloop.run(serve(read_config(os.environ), fronts, hangups))
    except BadConfig as error:
        print(f"mallowbeam: {error.line}", file=sys.stderr)
        return 2
    return 0
