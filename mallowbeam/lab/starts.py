"""Measures start-up: many gateways started at once, while discovery rejects every caller.

From `exec` to the first 200 on /healthz, each in a process of its own on loopback, with processor time and
peak memory until then.  It measures wall time: run it on an idle machine.
"""

from __future__ import annotations

import os
import re
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from mallowbeam.lab.rig import hold_port, launch, write_files
from mallowbeam.standins.discovery import Discovery, member
from mallowbeam.standins.faults import Rule

PATIENCE = 30.0  # seconds after which a gateway was not ready
POLL_INTERVAL_S = 0.01  # seconds between two health checks


@dataclass(slots=True)
class Start:
    """The start of one gateway; its field names are keys of the `--json` output."""

    ready_s: float  # from exec to the first 200; `PATIENCE` if there was none
    cpu_s: float  # processor time up to there
    peak_kb: int  # resident memory at its peak up to there


def start(folder: Path, name: str, discovery: Discovery) -> Start:
    """Start one gateway, wait until it is ready, and end it."""
    held, port = hold_port()
    write_files(folder, name, port, discovery, {})
    began = time.monotonic()
    with open(folder / "log", "wb") as log:
        process = launch(folder, log)
    try:
        while time.monotonic() - began < PATIENCE and not ready(port):
            time.sleep(POLL_INTERVAL_S)
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
    """Whether the gateway at a port answers its health check with 200."""
    client = HTTPConnection("127.0.0.1", port, timeout=PATIENCE)
    try:
        client.request("GET", "/healthz")
        return client.getresponse().status == HTTPStatus.OK
    except (OSError, HTTPException):
        return False
    finally:
        client.close()


def run(count: int, hosts: int) -> list[Start]:
    """Start `count` gateways at once, each with `hosts` nodes in its list; the slowest comes last."""
    members = [member(f"s{i}", f"127.0.0.1:{i + 1}", i) for i in range(hosts)]
    discovery = Discovery(members)
    discovery.script.clear()
    discovery.script.add(Rule("status", times=-1, status=503))
    try:
        with tempfile.TemporaryDirectory() as directory, ThreadPoolExecutor(count) as threads:
            found = list(
                threads.map(lambda i: start(Path(directory) / str(i), f"g{i}", discovery), range(count))
            )
    finally:
        discovery.close()
    return sorted(found, key=lambda start: start.ready_s)
