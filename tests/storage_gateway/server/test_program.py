"""The gateway process as the platform starts it: configuration, signals, descriptors."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest
from gateway_process import PATIENCE, connect, healthy, program
from scenario import EXAMPLE, free_port

from mallowbeam.lab import starts
from mallowbeam.storage_gateway.scheduler.settings import flatten, read_pairs, read_settings
from mallowbeam.storage_gateway.server.config import read_config, read_config_for_reload


def test_sigterm_ends_it_with_status_0(tmp_path):
    with program(tmp_path, {}) as (process, address), connect(address) as sock:
        assert healthy(sock)
        process.send_signal(signal.SIGTERM)
        with connect(address) as late:  # new connections are still accepted for a while
            late.sendall(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            assert late.recv(4096).startswith(b"HTTP/1.1 503")
        assert process.wait(PATIENCE) == 0
        assert "Traceback" not in process.stderr.read()


@pytest.mark.parametrize(
    ("change", "fronts", "word"),
    [
        ({"settings": {}}, None, "classes"),
        ({"known": {"members": 3}}, None, "malformed"),
        ({"listen": "nowhere"}, None, "nowhere"),
        ({"listen": "192.0.2.1:80"}, None, "listen"),
        ({"settings": None}, None, "malformed"),
        ({"discovery": "x"}, None, "address"),
        ({"limits": {"sockets": 63}}, None, "sockets"),
        (
            {"limits": {"sockets": 64}, "admin_addr": "127.0.0.1:0"},
            '{"health": {"listen": "127.0.0.1:0"}, "agent_check": {"listen": "127.0.0.1:0"}}',
            "limits.sockets",
        ),
        ({"limits": {"memory_mb": 0}}, None, "memory"),
        ({}, "{", "fronts.json"),
        ({}, '{"health": {"listen": "x"}}', "health.listen"),
        ({}, '{"objects": {"listen": "127.0.0.1:1"}}', "objects: "),
        ({}, '{"objects": 3}', "objects: expected"),
    ],
)
def test_a_bad_configuration_ends_it_with_one_plain_line(tmp_path, change, fronts, word):
    with program(tmp_path, change, fronts=fronts) as (process, _):
        _, text = process.communicate(timeout=PATIENCE)
    assert process.returncode == 2
    assert text.startswith("mallowbeam: ") and word in text and text.count("\n") == 1


def test_a_start_waits_for_no_answer_of_discovery():
    """When many gateways start at once discovery rejects them all; each serves from its configured list."""
    (first,) = starts.run(count=1, hosts=3)
    assert first.ready_s < starts.PATIENCE and first.cpu_s > 0 and first.peak_kb > 0


def test_a_start_loads_only_what_is_on():
    """Requests are lost for as long as a start takes, so it must not import what is off."""
    run = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, mallowbeam.__main__, mallowbeam.storage_gateway.application\n" "print(*sys.modules)",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    unneeded = {"mallowbeam.storage_gateway.frontends.object_api", "xml.sax", "urllib.request"}
    assert not unneeded & set(run.stdout.split())


def test_no_configuration_at_all():
    env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER")}
    run = subprocess.run(
        [sys.executable, "-m", "mallowbeam"], env=env, capture_output=True, text=True, check=False
    )
    assert run.returncode == 2 and run.stderr.startswith("mallowbeam: BALANCER_CONFIG is not set (")


def test_descriptors_running_out_crash_nothing(tmp_path):
    """The limit is lowered after the start: accepting pauses, and open connections continue."""
    with program(tmp_path, {}) as (process, address):
        with connect(address) as first:
            assert healthy(first)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (40, 40))
            crowd = [connect(address) for _ in range(60)]
            while "cannot accept" not in process.stderr.readline():
                assert process.poll() is None
            assert healthy(first)
            for sock in crowd:
                sock.close()
            with connect(address) as late:
                assert healthy(late)
        assert process.poll() is None
        process.terminate()
        # The warning is rate-limited.
        assert process.communicate(timeout=PATIENCE)[1].count("cannot accept") <= 1


def test_the_limit_on_sockets_is_kept(tmp_path):
    """With a limit of 64 the gateway was once killed for opening one descriptor too many."""
    with program(tmp_path, {"limits": {"sockets": 64}}) as (process, address):
        crowd = []
        for _ in range(80):
            crowd.append(connect(address))
            assert healthy(crowd[-1])
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 64 - 16  # the rest is for nodes
        for sock in crowd:
            sock.close()


def test_both_hosts_decode_the_same_settings():
    raw = json.loads((EXAMPLE / "config.json").read_text())["settings"]
    flat = flatten(raw)
    assert read_settings(7, flat) == read_settings(7, read_pairs([f"{k}={v}" for k, v in flat.items()]))
    settings = read_settings(7, flat)
    assert settings.classes["new-write"].dedup_window == 4.0 and settings.shards == 2
    assert [c.writes for c in settings.classes.values()] == [False, True]
    assert settings.plans["bronze"].limit == 49.0 and settings.may_cancel and settings.discovery_on_request
    assert flatten({"a": [1, True, None], "b": None}) == {"a": "1,true,-", "b": "-"}


def test_sighup_moves_the_watch_and_a_bad_file_changes_nothing(tmp_path):
    """The default action of SIGHUP would kill the process and its pending requests."""
    old, new = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
    addresses = ["{}:{}".format(*s.getsockname()) for s in (old, new)]
    with old, new, program(tmp_path, {"discovery": addresses[0]}) as (process, address):
        path = tmp_path / "config.json"
        good = json.loads(path.read_text())
        with connect(address) as sock, old.accept()[0] as watch:
            watch.settimeout(PATIENCE)
            assert healthy(sock) and watch.recv(4096).startswith(b"GET /v1/servers?since=")
            for text in ("{", json.dumps(good | {"discovery": "nowhere"})):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
                while "reload failed, keeping the old values" not in process.stderr.readline():
                    assert process.poll() is None
            path.write_text(json.dumps(good | {"discovery": addresses[1]}))
            process.send_signal(signal.SIGHUP)
            new.settimeout(PATIENCE)
            with new.accept()[0] as moved:
                assert moved.recv(4096).startswith(b"GET /v1/servers HTTP/1.1")
                assert watch.recv(4096) == b""  # the call in flight is cancelled
                assert healthy(sock)
                process.send_signal(signal.SIGTERM)
                assert process.wait(PATIENCE) == 0


@contextmanager
def starting(tmp_path: Path, raw: dict) -> Iterator:
    """Runs the program and blocks its start in reading the configuration.

    Yields the process, the path of the configuration, and a function that lets the start continue.
    """
    path = tmp_path / "config.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "mallowbeam"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )
    watchdog = threading.Timer(PATIENCE, process.kill)
    watchdog.start()
    file = open(path, "w")  # returns once the program opens the file
    try:
        yield process, path, lambda: (file.write(json.dumps(raw)), file.close())
    finally:
        watchdog.cancel()
        process.kill()
        process.communicate()


def test_a_sighup_in_the_middle_of_the_start_is_not_lost(tmp_path):
    """Race: the configuration file is replaced while the old one is being read."""
    old, new = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
    raws = [
        json.loads((EXAMPLE / "config.json").read_text())
        | {"listen": f"127.0.0.1:{free_port()}", "discovery": "{}:{}".format(*sock.getsockname())}
        for sock in (old, new)
    ]
    with old, new, starting(tmp_path, raws[0]) as (process, path, go_on):
        (tmp_path / "new").write_text(json.dumps(raws[1]))
        (tmp_path / "new").rename(path)
        process.send_signal(signal.SIGHUP)
        go_on()
        new.settimeout(PATIENCE)
        with new.accept()[0] as moved:
            assert moved.recv(4096).startswith(b"GET /v1/servers")


def test_a_sighup_while_the_program_is_loaded_does_not_end_it():
    """Race: the signal arrives at the first import of the gateway's modules."""
    code = (
        "import os, runpy, signal, sys\n"
        "class Crossing:\n"
        "    def find_spec(name, *_):\n"
        "        if name == 'mallowbeam.storage_gateway.application':\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.meta_path.insert(0, Crossing)\n"
        "runpy.run_module('mallowbeam', run_name='__main__')\n"
    )
    env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER")}
    run = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=False)
    assert run.returncode == 2 and "BALANCER_CONFIG is not set" in run.stderr


def test_a_sigterm_in_the_middle_of_the_start_ends_it_at_once(tmp_path):
    """It has accepted nothing yet, so it exits without listening."""
    raw = json.loads((EXAMPLE / "config.json").read_text()) | {"listen": f"127.0.0.1:{free_port()}"}
    with starting(tmp_path, raw) as (process, _, go_on):
        process.send_signal(signal.SIGTERM)
        assert process.wait(PATIENCE) == -signal.SIGTERM
        with suppress(BrokenPipeError):
            go_on()


def test_at_a_reload_the_file_names_discovery_before_the_environment(tmp_path):
    raw = json.loads((EXAMPLE / "config.json").read_text()) | {"discovery": "127.0.0.1:2"}
    (tmp_path / "config.json").write_text(json.dumps(raw))
    env = {"BALANCER_CONFIG": str(tmp_path / "config.json"), "BALANCER_DISCOVERY": "127.0.0.1:1"}
    assert read_config(env).discovery == "127.0.0.1:1"
    assert read_config_for_reload(env).discovery == "127.0.0.1:2"
