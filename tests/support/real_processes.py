"""Real processes of the router fleet on loopback addresses of their own, and calls to them, for trials.

A trial has a class for its fleet, which names the ports and the seeds (`ProcessFleet`).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

PATIENCE_S = 40.0  # for what should take a second or two: only a failure takes so long
CALL_S = 2.0
HEARTBEAT_MS = 600
HOST = "alpha.example"
OLD, NEW = "old", "new"
FAULT_WORDS = (  # of both versions: some texts were reworded
    "unforeseen",
    "unexpected error",
    "Traceback",
    "unreadable frame",
    "a frame can't be decoded",
    "can't be understood",
    "ERROR",
    "CRITICAL",
)
SERVICE = {"health_check": "/healthz", "max_connections": 50, "protocol": "h1", "tls": False}


class TrialFailedError(Exception):
    """Something that must come did not."""


@dataclass
class Answer:
    """An answer as a client saw it; status 0: none that is whole."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    surplus: bool = False


async def call(
    address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Answer:
    """One request on a connection of its own; the connection's end is awaited where it is to close."""
    host, port = address.split(":")
    fields = {"Host": HOST, **(headers or {}), "Content-Length": str(len(body)), "Connection": "close"}
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Answer(0)
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """A whole answer by its own framing, and whether bytes follow it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
    answer = Answer(int(head[0].split(" ")[1]), headers)
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        answer.body = await reader.readexactly(int(headers.get("content-length", "0")))
    if headers.get("connection", "").lower() == "close":
        answer.surplus = bool(await reader.read(1))
    return answer


async def until(what: str, condition: Callable[[], Awaitable[Any]], patience: float = PATIENCE_S) -> Any:
    """Wait for a condition; its value."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        if value := await condition():
            return value
        await asyncio.sleep(0.05)
    raise TrialFailedError(f"not seen within {patience:g} s: {what}")


def keys_of(value: Any) -> set[str]:
    """The names in an object of a page, or in the first of a list."""
    if isinstance(value, list):
        value = value[0] if value else {}
    return set(value or {})


def free_port(ip: str) -> int:
    """A port that nobody uses at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        port: int = sock.getsockname()[1]
        return port


class ProcessFleet(Protocol):
    """What a process is told of the fleet that it belongs to."""

    code: dict[str, Path]  # the work tree of each version
    folder: Path
    subnet: int
    control_port: int
    peer_port: int
    front_port: int
    metrics_port: int

    def seeds(self) -> list[str]:
        """The control addresses that settings files name now."""


class Process:
    """One process of the fleet, on an address of its own, by one of the two versions."""

    role = ""

    def __init__(self, fleet: ProcessFleet, number: int, version: str) -> None:
        self.fleet, self.version = fleet, version
        self.name = f"{self.role}-{number}"
        self.ip = f"127.{fleet.subnet}.{1 if self.role == 'control-plane' else 2}.{number}"
        self.folder = fleet.folder / self.name
        (self.folder / "disk").mkdir(parents=True)
        self.process: subprocess.Popen[bytes] | None = None
        self.first_start = True  # of the fleet: an empty disk is a new member's from then on
        self.planned_ends: list[int] = []

    def settings(self) -> list[str]:
        """The lines of its settings file."""
        raise NotImplementedError

    @property
    def settings_path(self) -> Path:
        """Where its settings file is."""
        return self.folder / "settings.toml"

    def write_settings(self) -> None:
        """Write its settings file, or replace it in one step."""
        written = self.settings_path.with_suffix(".new")
        written.write_text("\n".join(self.settings()) + "\n")
        written.replace(self.settings_path)

    def start(self) -> None:
        """Start it with the code of its version."""
        self.write_settings()
        self.first_start = False
        code = str(self.fleet.code[self.version])
        environment = {
            "MALLOWBEAM_NODE_FILE": str(self.settings_path),
            "PATH": os.environ["PATH"],
            "PYTHONPATH": code,
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.folder / "log", "ab") as log:
            log.write(f"--- started as {self.version}\n".encode())
            log.flush()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "mallowbeam", self.role],
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def end(self, number: int) -> None:
        """Send a signal and wait for the end."""
        process, self.process = self.process, None
        assert process is not None
        process.send_signal(number)
        code = await asyncio.to_thread(process.wait, PATIENCE_S)
        if number == signal.SIGTERM:
            self.planned_ends.append(code)

    async def shown_names(self) -> dict[str, list[str]]:
        """Names of its metrics, which operators and their tools go by."""
        answer = await call(f"{self.ip}:{self.fleet.metrics_port}", "GET", "/metrics")
        lines = answer.body.decode().splitlines()
        return {"metrics": sorted({line.split()[2] for line in lines if line.startswith("# TYPE")})}

    def swap(self) -> None:
        """From its next start on it is of the other version."""
        self.version = NEW if self.version == OLD else OLD

    def log(self) -> str:
        """What it has logged in all its lives."""
        return (self.folder / "log").read_text(errors="replace")

    def faults(self) -> list[str]:
        """Lines of its log that tell of a fault."""
        lines = self.log().splitlines()
        return [f"{self.name}: {line}" for line in lines if any(word in line for word in FAULT_WORDS)]


class Member(Process):
    """A member of the control plane."""

    role = "control-plane"

    @property
    def control(self) -> str:
        """Where its control API is."""
        return f"{self.ip}:{self.fleet.control_port}"

    async def shown_names(self) -> dict[str, list[str]]:
        """Names on its pages, and loggers in its log."""
        page = await self.status() or {}
        rows = {
            f"{name}.{key}" for name in ("member", "members", "instances") for key in keys_of(page.get(name))
        }
        return {"status": sorted({*page, *rows}), **await super().shown_names()}

    def settings(self) -> list[str]:
        """The lines of its settings file."""
        return [
            f'node_name = "{self.name}"',
            f'role = "{self.role}"',
            'machine_class = "core"',
            'serves = ["control"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.name}"',
            'region = "r"',
            f"port_range = [{self.fleet.peer_port}, {self.fleet.peer_port}]",
            f"seeds = {json.dumps(self.fleet.seeds())}",
            f"bootstrap = {json.dumps(self.first_start)}",
            "counts_for_quorum = true",
            f'data_dir = "{self.folder / "disk"}"',
            f"heartbeat_ms = {HEARTBEAT_MS}",
            f'metrics = "{self.fleet.metrics_port}/metrics"',
            "[bind_addresses]",
            f'control = "{self.control}"',
            "[limits]",
            "disk_mb = 64",
        ]

    async def status(self) -> dict[str, Any] | None:
        """Its status page, where it answers."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALL_S):
                answer = await call(self.control, "GET", "/mallowbeam/status")
                return json.loads(answer.body) if answer.status == 200 else None
        return None

    async def configuration(self) -> bytes:
        """The configuration as it answers it; empty where it gives none."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALL_S):
                answer = await call(self.control, "GET", "/mallowbeam/config")
                return answer.body if answer.status == 200 else b""
        return b""


class Gateway(Process):
    """A gateway of the data plane."""

    role = "data-plane"
    ready = False
    passed = 0  # requests sent through it

    @property
    def front(self) -> str:
        """Where clients connect."""
        return f"{self.ip}:{self.fleet.front_port}"

    def settings(self) -> list[str]:
        """The lines of its settings file."""
        return [
            f'node_name = "{self.name}"',
            f'role = "{self.role}"',
            'machine_class = "edge"',
            'serves = ["edge"]',
            f'ip = "{self.ip}"',
            'zone = "z1"',
            'region = "r"',
            f"port_range = [{self.fleet.peer_port}, {self.fleet.peer_port}]",
            f"seeds = {json.dumps(self.fleet.seeds())}",
            f'metrics = "{self.fleet.metrics_port}/metrics"',
            "[bind_addresses]",
            f'front = "{self.front}"',
            f'readiness = "{self.ip}:{self.fleet.control_port}"',
            "[bounds]",
            "grace_s = 8",
        ]

    async def look(self) -> bool:
        """Whether it says that clients may be sent to it."""
        self.ready = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALL_S):
                address = f"{self.ip}:{self.fleet.control_port}"
                self.ready = (await call(address, "GET", "/mallowbeam/readyz")).status == 200
        return self.ready


def route(name: str, kind: str, backend: str, **more: object) -> dict[str, Any]:
    """A route by its path, as an operator writes it."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 6000,
        "target_latency_ms": 500,
        "priority": 0,
        "backend": backend,
        "max_retries": 3,
        **more,
    }
