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


@dataclass(slots=True)
class Answered:
    """One answer as a client reads it."""

    status: int
    headers: dict[str, str]
    body: bytes


async def ask(port: int, method: str, target: str, body: bytes = b"",
              headers: dict[str, str] | None = None, host: str = "127.0.0.1") -> Answered:
    """One call on a connection of its own; raises OSError or EOFError where no whole answer came."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {target} HTTP/1.1", "host: x", "connection: close",
                 f"content-length: {len(body)}", *(f"{n}: {v}" for n, v in (headers or {}).items())]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split()[1])
        told = {name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in head[1:-2])}
        data = b""
        if method != "HEAD" and status not in (204, 304):
            data = await reader.readexactly(int(told.get("content-length", "0")))
        if await reader.read():
            raise AssertionError("a second answer")
        return Answered(status, told, data)
    finally:
        writer.close()


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
        settings = json.loads(EXAMPLE.read_text())["settings"]
        settings["FamilyInfo"]["SlotsTotal"] = len(self.nodes)
        config = {"name": "lab", "listen": f"127.0.0.1:{self.ports[0]}", "seed": "5eed",
                  "discovery": self.discovery.host_port,
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": {"revision": 1, "complete": True, "members": members}, "settings": settings}
        fronts = {"objects": {
            "listen": f"127.0.0.1:{self.ports[1]}", "classes": {"read": "read", "write": "new-write"},
            "plan": "silver", "plans": {}, "authentication": "off", "unit_bytes": 1048576,
            "max_body_bytes": 2097152, "held_bytes": 16777216}}
        if self.buffer:
            fronts["buffer"] = {"folder": str(self.store), **self.buffer}
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "fronts.json").write_text(json.dumps(fronts))

    @property
    def port(self) -> int:
        """The object front's."""
        return self.ports[1]

    def start(self) -> None:
        """Start the gateway."""
        self.log = open(self.folder / "log.txt", "ab")  # noqa: SIM115 (closed by `end`)
        env = {**os.environ, "BALANCER_CONFIG": str(self.folder / "config.json"),
               "MALLOWBEAM_FRONTS": str(self.folder / "fronts.json"), "TMPDIR": str(self.folder),
               "PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen([sys.executable, "-m", "mallowbeam"], env=env, cwd=ROOT,
                                        stdout=self.log, stderr=self.log)

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
