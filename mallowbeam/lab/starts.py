"""How soon a gateway is ready: many started at once, while discovery turns every caller away.

From `exec` to the first 200 on /healthz, each in a process of its own on loopback, and the processor time and
memory that it took up to there.  The clock is the machine's: run it with nothing else beside it.
"""

from __future__ import annotations

import os
import re
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from mallowbeam.lab.rig import hold_port, launch, write_files
from mallowbeam.standins.discovery import Discovery, member
from mallowbeam.standins.faults import Rule

PATIENCE = 30.0  # seconds after which a gateway was not ready
LOOK = 0.01  # seconds between two looks


@dataclass(slots=True)
class Start:
    """One gateway's start."""

    ready_s: float  # from exec to the first 200; `PATIENCE` if there was none
    cpu_s: float  # processor time up to there
    peak_kb: int  # memory, at its peak up to there


def start(folder: Path, name: str, discovery: Discovery) -> Start:
    """Start one gateway, wait until it is ready, and end it."""
    held, port = hold_port()
    write_files(folder, name, port, discovery, {})
    began = time.monotonic()
    with open(folder / "log", "wb") as log:
        process = launch(folder, log)
    try:
        while time.monotonic() - began < PATIENCE and not ready(port):
            time.sleep(LOOK)
        took = time.monotonic() - began
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        peak = re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{process.pid}/status").read_text())
        return Start(
            took, (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), int(peak[1]) if peak else 0
        )
    finally:
        process.kill()
        process.wait()
        held.close()


def ready(port: int) -> bool:
    """Whether the gateway there says so."""
    client = HTTPConnection("127.0.0.1", port, timeout=PATIENCE)
    try:
        client.request("GET", "/healthz")
        return client.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        client.close()


def run(count: int, hosts: int) -> list[Start]:
    """Start so many at once, each with so many nodes in its list; the slowest last."""
    members = [member(f"s{i}", f"127.0.0.1:{i + 1}", i) for i in range(hosts)]
    discovery = Discovery(members)
    discovery.script.clear()
    discovery.script.add(Rule("status", times=-1, status=503))
    try:
        with tempfile.TemporaryDirectory() as place, ThreadPoolExecutor(count) as threads:
            found = list(threads.map(lambda i: start(Path(place) / str(i), f"g{i}", discovery), range(count)))
    finally:
        discovery.close()
    return sorted(found, key=lambda one: one.ready_s)
