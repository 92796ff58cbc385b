"""Idle clients use all client descriptors: discovery, nodes and listeners must still get theirs."""

from __future__ import annotations

import json
import os
import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import pytest
from gateway_process import PATIENCE, connect, healthy, program
from scenario import EXAMPLE, free_port

from mallowbeam.storage_gateway.server import config as configs
from mallowbeam.storage_gateway.server.config import FRONT_SOCKETS, MIN_SOCKETS, RESERVED_SOCKETS

SHORT_LIVED = 3  # short-lived descriptors: a second discovery call, the other process, a file being read
READ = (
    b"GET /read/00000000000000aa/0000000000000001 HTTP/1.1\r\nhost: x\r\n"
    b"x-request-id: 0000000000000001\r\nx-class: read\r\nx-storage-class: silver\r\n"
    b"x-deadline-ms: 2000\r\nx-extent: units=1,shard=0,hosts=1\r\n\r\n"
)


def open_descriptors(pid: int) -> int:
    """The number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def node_share(most: int) -> int:
    """How many of `most` descriptors are for connections to nodes, without an admin endpoint."""
    return int((most - RESERVED_SOCKETS) * configs.NODE_SHARE)


@contextmanager
def discovery() -> Iterator[socket.socket]:
    """A discovery server that is down: a bound socket on which the test listens later."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(PATIENCE)
        yield sock


def address(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


def answer(sock: socket.socket, status: bytes, body: bytes) -> bytes:
    """Answers the next request on a connection and returns its request line."""
    sock.settimeout(PATIENCE)
    head = b""
    while b"\r\n\r\n" not in head:
        head += sock.recv(4096) or b"\r\n\r\n"
    sock.sendall(b"HTTP/1.1 %b\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body))
    return head.partition(b"\r\n")[0]


def test_idle_clients_leave_room_for_discovery_s_return_and_for_nodes(tmp_path: Path) -> None:
    """The process's limit is below the configured one, and clients use all descriptors they can get."""
    files = 100
    node = socket.create_server(("127.0.0.1", 0))
    member = json.loads((EXAMPLE / "config.json").read_text())["known"]["members"][0]
    listing = {
        "revision": 9,
        "complete": True,
        "members": [member | {"id": "n9", "cell": 0, "host_port": address(node)}],
    }
    with (
        node,
        discovery() as down,
        program(tmp_path, {"discovery": address(down)}, files) as (process, at),
        ExitStack() as idle_clients,
    ):
        for _ in range(files + 20):  # each stays idle after its response
            assert healthy(idle_clients.enter_context(connect(at)))
            assert open_descriptors(process.pid) <= files - node_share(files) - SHORT_LIVED
        full = open_descriptors(process.pid)
        assert full > files // 2  # the idle clients are connected
        down.listen()
        with down.accept()[0] as call:
            assert answer(call, b"200 OK", json.dumps(listing).encode()).startswith(b"GET /v1/servers")
            while b"since=9" not in call.recv(4096):  # the list is applied, and the watch continues
                pass
            with connect(at) as client:
                client.sendall(READ)
                node.settimeout(PATIENCE)
                with node.accept()[0] as link:
                    assert answer(link, b"200 OK", b"from n9").startswith(b"GET /read/")
                    assert b"from n9" in client.recv(4096)
        process.terminate()
        assert "cannot accept" not in process.communicate(timeout=PATIENCE)[1]


def test_with_every_front_on_and_full_the_limit_is_kept(tmp_path: Path) -> None:
    """Each further listener counts, with the connection that it accepts while evicting another."""
    files, doors = 128, {name: free_port() for name in ("objects", "health", "agent_check")}
    fronts = json.loads((EXAMPLE / "fronts.json").read_text())
    for name, port in doors.items():
        fronts[name]["listen"] = f"127.0.0.1:{port}"
    fronts["objects"] |= {"authentication": "off", "keys": None}
    with (
        discovery() as down,
        ExitStack() as idle_clients,
        program(tmp_path, {"discovery": address(down)}, files, json.dumps(fronts)) as (process, at),
    ):
        for _ in range(48):
            for port in (at[1], doors["objects"], doors["health"]):
                sock = idle_clients.enter_context(connect(("127.0.0.1", port)))
                sock.settimeout(PATIENCE)
                sock.sendall(b"PATCH /x HTTP/1.1\r\nhost: x\r\n\r\n")  # an error, then idle, on each front
                assert sock.recv(4096).startswith(b"HTTP/1.1 4")
            assert open_descriptors(process.pid) <= files - node_share(files) - SHORT_LIVED
        process.terminate()
        assert "cannot accept" not in process.communicate(timeout=PATIENCE)[1]


@pytest.mark.parametrize(
    ("said", "allowed", "counts"),
    [(512, 256, 256), (512, 512, 512), (512, 4096, 512), (512, None, 512), (512, 40, MIN_SOCKETS)],
)
def test_the_lower_limit_counts(said: int, allowed: int | None, counts: int) -> None:
    raw = json.loads((EXAMPLE / "config.json").read_text()) | {"limits": {"sockets": said}}
    raw.pop("admin_addr", None)
    config = configs.decode_config(raw, {}, allowed)
    assert config.node_sockets + config.client_sockets + config.own_sockets == counts
    assert config.own_sockets > 3 * FRONT_SOCKETS


def test_descriptor_limit_is_respected_and_not_raised(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configs.resource, "getrlimit", lambda _: (300, 4096))
    assert configs.descriptor_limit() == 300
    monkeypatch.setattr(configs.resource, "getrlimit", lambda _: (configs.resource.RLIM_INFINITY,) * 2)
    assert configs.descriptor_limit() is None


def test_discovery_s_call_waits_for_nobody_where_descriptors_are_short(tmp_path: Path) -> None:
    """Connections to hung nodes use only the nodes' share; discovery calls are still retried."""
    stand = socket.create_server(("127.0.0.1", 0), backlog=512)
    member = json.loads((EXAMPLE / "config.json").read_text())["known"]["members"][0]
    known = {
        "revision": 1,
        "complete": True,
        "members": [member | {"id": "n0", "cell": 0, "host_port": address(stand)}],
    }
    calls: list[bytes] = []

    def down() -> None:  # discovery is up, and rejects each call
        while True:
            try:
                with here.accept()[0] as call:
                    calls.append(answer(call, b"503 Service Unavailable", b""))
                    more.set()
            except OSError:
                return

    more = threading.Event()
    with (
        stand,
        socket.create_server(("127.0.0.1", 0)) as here,
        ExitStack() as idle_clients,
        program(tmp_path, {"discovery": address(here), "known": known}, MIN_SOCKETS) as (process, at),
    ):
        threading.Thread(target=down, daemon=True).start()
        for i in range(40):
            sock = idle_clients.enter_context(connect(at))
            sock.sendall(READ.replace(b"id: 0000000000000001", b"id: %016x" % (i + 2)))
        more.clear()
        assert more.wait(PATIENCE) and process.poll() is None
        assert open_descriptors(process.pid) <= MIN_SOCKETS
        here.shutdown(socket.SHUT_RDWR)
