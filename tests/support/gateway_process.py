"""The gateway as a process of its own, on a changed example configuration, reached over sockets."""

from __future__ import annotations

import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from project_paths import EXAMPLE

from mallowbeam.lab.rig import hold_port

PATIENCE = 20.0  # seconds until what is expected counts as missing


@contextmanager
def program(tmp_path: Path, change: dict, files: int = 1024, fronts: str | None = None) -> Iterator:
    """The program on a changed example configuration, and its listening address."""
    held, port = hold_port()  # nobody else is given it meanwhile
    raw = json.loads((EXAMPLE / "config.json").read_text()) | {"listen": f"127.0.0.1:{port}"} | change
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    env = {**os.environ, "BALANCER_CONFIG": str(path)}
    if fronts is not None:
        (tmp_path / "fronts.json").write_text(fronts)
        env["MALLOWBEAM_FRONTS"] = str(tmp_path / "fronts.json")
    process = subprocess.Popen(
        [sys.executable, "-m", "mallowbeam"],
        env=env,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (files, files)),
    )
    watchdog = threading.Timer(2 * PATIENCE, process.kill)  # a test that waits for ever fails instead
    watchdog.start()
    try:
        yield process, ("127.0.0.1", port)
    finally:
        watchdog.cancel()
        process.kill()
        process.communicate()
        held.close()


def connect(address: tuple[str, int]) -> socket.socket:
    """A connection, as soon as the program listens."""
    end = time.monotonic() + PATIENCE
    while True:
        try:
            return socket.create_connection(address, timeout=PATIENCE)
        except ConnectionRefusedError:
            assert time.monotonic() < end, "the program never listened"
            time.sleep(0.02)


def healthy(sock: socket.socket) -> bool:
    """Whether the health page answers 200."""
    sock.sendall(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
    return sock.recv(4096).startswith(b"HTTP/1.1 200")
