"""Runs stand-ins for the storage nodes and the discovery of a configuration, to try mallowbeam out."""

from __future__ import annotations

import argparse
import contextlib
import json
import threading
from pathlib import Path

from mallowbeam.standins.discovery import Discovery
from mallowbeam.standins.node import ObjectNode


def main() -> None:
    """Serve the nodes and the discovery of a configuration until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("config", type=Path, help="configuration file in the platform's format")
    config = json.loads(parser.parse_args().config.read_text())

    def address(text: str) -> tuple[str, int]:
        host, _, port = text.rpartition(":")
        return host, int(port)

    members = config["known"]["members"]
    nodes = [ObjectNode(address(member["host_port"])) for member in members]
    Discovery(members, address(config["discovery"]), poll=1.0)
    print(f"{len(nodes)} nodes and discovery are up; interrupt to stop", flush=True)
    with contextlib.suppress(KeyboardInterrupt):
        threading.Event().wait()


if __name__ == "__main__":
    main()
