"""A real gateway process between stand-ins, for trials: its files, its ports, its starts and ends."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from mallowbeam.lab.ask import ask
from mallowbeam.standins.discovery import Discovery, member
from mallowbeam.standins.node import ObjectNode

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = ROOT / "example" / "config.json"  # the platform's settings here are the example's


def hold_port(option: int = socket.SO_REUSEPORT) -> tuple[socket.socket, int]:
    """A port from the kernel, kept for a process that shares it: held, and never listened on here.

    `option` is the one that this process sets: SO_REUSEPORT, or SO_REUSEADDR.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, option, 1)
    sock.bind(("127.0.0.1", 0))
    return sock, sock.getsockname()[1]


def write_files(folder: Path, name: str, port: int, discovery: Discovery, fronts: dict[str, Any]) -> None:
    """A gateway's two files: the platform's, with the example's settings and what is listed, and `fronts`."""
    settings = json.loads(EXAMPLE.read_text())["settings"]
    settings["FamilyInfo"]["SlotsTotal"] = len(discovery.members)
    config = {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seed": "5eed",
        "discovery": discovery.host_port,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": True, "members": discovery.members},
        "settings": settings,
    }
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "fronts.json").write_text(json.dumps(fronts))


def launch(
    folder: Path, log: IO[bytes], *arguments: str, module: str = "mallowbeam"
) -> subprocess.Popen[bytes]:
    """Start a gateway, or what stands for one, on the two files in its folder."""
    env = {
        **os.environ,
        "BALANCER_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(folder),
        "MALLOWBEAM_FRONTS": str(folder / "fronts.json"),
        "PYTHONPATH": str(ROOT),
    }
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments], env=env, cwd=ROOT, stdout=log, stderr=log
    )


@dataclass
class Rig:
    """A folder of files, stand-ins, and one gateway process at a time."""

    folder: Path
    nodes: list[ObjectNode]
    buffer: dict[str, Any] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = None
    log: IO[bytes] | None = None

    def __post_init__(self) -> None:
        """Write the files; the ports are held from here on."""
        self.held, self.ports = [], []
        for _ in range(2):
            sock, port = hold_port()
            self.held.append(sock)
            self.ports.append(port)
        self.store = self.folder / "buffer"
        self.store.mkdir(parents=True)
        members = [member(f"n{i}", node.host_port, i) for i, node in enumerate(self.nodes)]
        self.discovery = Discovery(members)
        fronts = {
            "objects": {
                "listen": f"127.0.0.1:{self.ports[1]}",
                "classes": {"read": "read", "write": "new-write"},
                "plan": "silver",
                "plans": {},
                "authentication": "off",
                "unit_bytes": 1048576,
                "max_body_bytes": 2097152,
                "held_bytes": 16777216,
            }
        }
        if self.buffer:
            fronts["buffer"] = {"folder": str(self.store), **self.buffer}
        write_files(self.folder, "lab", self.ports[0], self.discovery, fronts)

    @property
    def port(self) -> int:
        """The object front's."""
        return self.ports[1]

    def start(self) -> None:
        """Start the gateway."""
        self.log = open(self.folder / "log.txt", "ab")  # noqa: SIM115 (closed by `end`)
        self.process = launch(self.folder, self.log)

    async def ready(self, seconds: float = 20.0) -> None:
        """Wait until the object front answers, and the buffer, where it is on."""
        bucket = (self.buffer.get("buckets") or ["none"])[0]
        async with asyncio.timeout(seconds):
            while True:
                try:
                    if (await ask(self.port, "GET", f"/{bucket}/never-there")).status == 404:
                        return
                except (OSError, EOFError):
                    pass
                assert self.process is not None and self.process.poll() is None, "the gateway has ended"
                await asyncio.sleep(0.005)

    def end(self, number: int = signal.SIGKILL) -> int:
        """End the gateway; its exit status."""
        assert self.process is not None and self.log is not None
        self.process.send_signal(number)
        status = self.process.wait(20)
        self.log.close()
        return status

    def close(self) -> None:
        """End everything."""
        if self.process is not None and self.process.poll() is None:
            self.end()
        for server in (*self.nodes, self.discovery):
            server.close()
        for sock in self.held:
            sock.close()
