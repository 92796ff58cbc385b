"""Runs the gateway as a separate process on a modified example configuration."""

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

PATIENCE = 20.0  # seconds to wait for an expected event


@contextmanager
def program(tmp_path: Path, change: dict, files: int = 1024, fronts: str | None = None) -> Iterator:
    """Runs the gateway on a modified example configuration; yields the process and its listening address.

    `files` is the limit on descriptors; `fronts` is the text of the fronts file.
    """
    held, port = hold_port()  # reserved until the test ends
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
    watchdog = threading.Timer(2 * PATIENCE, process.kill)  # ends a test that would wait forever
    watchdog.start()
    try:
        yield process, ("127.0.0.1", port)
    finally:
        watchdog.cancel()
        process.kill()
        process.communicate()
        held.close()


def connect(address: tuple[str, int]) -> socket.socket:
    """Connects as soon as the program listens."""
    end = time.monotonic() + PATIENCE
    while True:
        try:
            return socket.create_connection(address, timeout=PATIENCE)
        except ConnectionRefusedError:
            assert time.monotonic() < end, "the program never listened"
            time.sleep(0.02)


def healthy(sock: socket.socket) -> bool:
    """Whether the health page returns 200."""
    sock.sendall(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
    return sock.recv(4096).startswith(b"HTTP/1.1 200")
