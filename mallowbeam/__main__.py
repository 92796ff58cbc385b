"""Starts one real gateway: `python -m mallowbeam`."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import uvloop
from loguru import logger

from mallowbeam.fronts.platform import Platform
from mallowbeam.net.config import BadConfig, Config, read_config
from mallowbeam.net.gateway import Gateway
from mallowbeam.net.server import Server

LOG_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"


async def serve(config: Config) -> None:
    """Run a gateway with its fronts until it is told to stop."""
    gateway = Gateway(config)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, gateway.stop)
    try:
        servers = [Server(config.listen, Platform(gateway))]
    except OSError as error:
        raise BadConfig(f"cannot listen: {error}") from None
    await gateway.run(servers)


def main() -> int:
    """Exit status: 0 after a planned stop, 2 where the configuration can't be used."""
    logger.remove()
    logger.add(sys.stderr, format=LOG_FORMAT, level="INFO", backtrace=False, diagnose=False)
    try:
        uvloop.run(serve(read_config(os.environ)))
    except BadConfig as error:
        print(f"mallowbeam: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
