"""Tests the command line: checking the configuration; showing, verifying, exporting and draining a buffer."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest
from scenario import EXAMPLE

from mallowbeam.lab.rig import Rig, hold_port, write_files
from mallowbeam.standins.discovery import Discovery
from mallowbeam.standins.node import ObjectNode
from mallowbeam.storage_gateway.operator_settings import check, schema
from mallowbeam.storage_gateway.server.config import GatewayConfigError
from mallowbeam.storage_gateway.write_buffer.disk import RealDisk
from mallowbeam.storage_gateway.write_buffer.log import Log, NewRecord
from mallowbeam.storage_gateway.write_buffer.records import Barrier, Kind, Suspension, Write, pack

ROOT = EXAMPLE.parent


def mallowbeam(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "mallowbeam", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "COLUMNS": "200"},
        check=False,
    )


def operators_file(**buffer) -> dict:
    raw = json.loads((EXAMPLE / "fronts.json").read_text())
    raw["buffer"] = {"folder": "/tmp", "buckets": ["plates"], **buffer}
    return raw


@pytest.mark.parametrize(
    "change, words",
    [
        ({"max_bytes": 1000}, r"buffer\.max_bytes: expected `int` >= 4194304"),
        ({"max_bytes": "1 MiB"}, r"buffer\.max_bytes: expected `int`, got `str`"),
        ({"buckets": ["UPPER"]}, r"buffer\.buckets\[.*\]: expected `str` matching"),
        ({"buckets": []}, r"buffer\.buckets: must name"),
        ({"color": 1}, r"buffer: object contains unknown field `color`"),
        ({"repeat_share": 2}, r"buffer\.repeat_share: expected `float` <= 1"),
        ({"max_bytes": 8 << 20}, r"buffer\.segment_bytes: must be at most a quarter"),
    ],
)
def test_a_wrong_setting_is_one_line_with_its_place(change, words):
    with pytest.raises(GatewayConfigError, match=words) as error:
        check(operators_file(**change))
    assert "\n" not in str(error.value)


def test_a_buffer_needs_the_front_that_it_stands_behind():
    raw = operators_file()
    raw["objects"]["listen"] = None
    with pytest.raises(GatewayConfigError, match="object API, which is off"):
        check(raw)


def test_the_files_in_the_repository_are_good_and_the_schema_names_every_section():
    for path in (EXAMPLE / "fronts.json", EXAMPLE / "buffered.json", ROOT / "deploy" / "fronts.json"):
        done = mallowbeam("config", "check", str(path))
        assert (done.returncode, done.stderr) == (0, "")
    done = mallowbeam(
        "config", "check", str(EXAMPLE / "fronts.json"), "--balancer", str(EXAMPLE / "config.json")
    )
    assert done.returncode == 0, done.stderr
    output = json.loads(mallowbeam("config", "schema").stdout)
    assert output == schema() and set(output["$defs"]["Operators"]["properties"]) == {
        "objects",
        "health",
        "agent_check",
        "buffer",
        "policy",
        "maintenance",
        "shares",
        "pools",
    }


def test_a_bad_file_ends_the_check_with_status_2(tmp_path):
    path = tmp_path / "fronts.json"
    path.write_text(json.dumps(operators_file(max_age_s=-1)))
    done = mallowbeam("config", "check", str(path))
    assert done.returncode == 2
    assert done.stderr.startswith("mallowbeam: buffer.max_age_s: expected `float` > 0.0 (")


def create_buffer_folder(path: Path, *bodies: bytes, held_lsn: int | None = None) -> str:
    path.mkdir()
    log = Log(RealDisk(str(path)), 1 << 20)
    log.recover(log.open())
    for lsn, body in enumerate(bodies, 1):
        write = Write("PUT", "plates", b"/plates/k%d" % lsn, lsn, [], b"t%d" % lsn, '"e"', len(body), 1.0)
        log.commit([NewRecord(Kind.WRITE, lsn, pack(Kind.WRITE, write, body))])
    for lsn, bucket in ((97, "plates"), (98, "other")):  # a pending barrier, and one with no write before it
        log.commit([NewRecord(Kind.BARRIER, lsn, pack(Kind.BARRIER, Barrier(bucket)))])
    if held_lsn is not None:
        log.commit([NewRecord(Kind.HELD, 99, pack(Kind.HELD, Suspension(held_lsn, "its node answers 403")))])
    log.close()
    return str(path)


def test_a_folder_is_shown_verified_and_exported(tmp_path):
    folder = create_buffer_folder(tmp_path / "b", b"one", b"two", held_lsn=2)
    output = json.loads(mallowbeam("buffer", "show", folder, "--json").stdout)
    assert (output["writes"], output["buckets"], output["whole"]) == (2, {"plates": 2}, True)
    assert output["barriers"] == 1
    assert output["held"][0]["reason"] == "its node answers 403"
    assert "its node answers 403" in mallowbeam("buffer", "show", folder).stdout
    assert mallowbeam("buffer", "verify", folder).returncode == 0
    done = mallowbeam("buffer", "export", folder, str(tmp_path / "out"), "--json")
    assert json.loads(done.stdout)["writes"] == 2
    index = json.loads((tmp_path / "out" / "index.json").read_text())
    assert [(tmp_path / "out" / entry["file"]).read_bytes() for entry in index] == [b"one", b"two"]
    assert mallowbeam("buffer", "export", folder, str(tmp_path / "out")).returncode == 2


def test_damage_is_found_by_verify_and_named(tmp_path):
    folder = Path(create_buffer_folder(tmp_path / "b", b"x" * 100, b"y" * 100, b"z"))
    segment = next(folder.glob("segment-*"))
    data = bytearray(segment.read_bytes())
    data[data.index(b"xxxx")] ^= 1
    segment.write_bytes(data)
    done = mallowbeam("buffer", "verify", str(folder), "--json")
    output = json.loads(done.stdout)
    assert done.returncode == 1 and not output["whole"] and output["writes"] == 2
    assert [bad["kind"] for bad in output["damage"]] == ["damaged"]


@pytest.mark.parametrize("command", [["show"], ["verify"], ["export"]])
def test_what_is_no_folder_of_ours_is_one_line(tmp_path, command):
    (tmp_path / "folder.json").write_text('{"format": "else", "version": 1, "id": ""}')
    more = [str(tmp_path / "out")] if command == ["export"] else []
    done = mallowbeam("buffer", *command, str(tmp_path), *more)
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "no buffer" in done.stderr


def test_drain_brings_a_folder_to_the_nodes_and_lets_go_what_was_held(tmp_path):
    node = ObjectNode()
    rig = Rig(
        tmp_path / "rig",
        [node],
        buffer={"buckets": ["plates"], "max_bytes": 16 << 20, "segment_bytes": 1 << 20},
    )
    try:
        rig.store.rmdir()
        create_buffer_folder(rig.store, b"one", b"two", b"three", held_lsn=2)
        args = [
            "buffer",
            "drain",
            "--fronts",
            str(rig.folder / "fronts.json"),
            "--balancer",
            str(rig.folder / "config.json"),
            "--seconds",
            "20",
            "--json",
        ]
        done = mallowbeam(*args)
        assert (done.returncode, json.loads(done.stdout)) == (1, {"left": 1, "held": 1}), done.stderr
        done = mallowbeam(*args, "--send-held", "2")
        assert (done.returncode, json.loads(done.stdout)) == (0, {"left": 0, "held": 0}), done.stderr
        assert {path: stored.body for path, stored in node.store.objects.items()} == {
            "/plates/k1": b"one",
            "/plates/k2": b"two",
            "/plates/k3": b"three",
        }
        assert json.loads(mallowbeam("buffer", "show", str(rig.store), "--json").stdout)["writes"] == 0
    finally:
        rig.close()


def test_the_gateway_alone_loads_nothing_of_it_all(tmp_path):
    """A gateway with optional features off imports neither command line, buffer nor their dependencies."""
    code = (
        "import sys, mallowbeam.__main__\n"
        "async def run(*_, **__): pass\n"
        "from mallowbeam.storage_gateway import application as program\n"
        "program.Gateway.run = run\n"  # once the listeners are created, every enabled module is loaded
        "assert program.run() == 0\n"
        "bad = [m for m in sys.modules if m.split('.')[0] in ('typer', 'click', 'rich', 'msgspec', "
        "'crc32c', 'lmdb', 'pydantic', 'pysyncobj', 'httpx', 'prometheus_client', 'lark') "
        "or m.startswith(('mallowbeam.storage_gateway.write_buffer', "
        "'mallowbeam.cli', 'mallowbeam.storage_gateway.coordination', "
        "'mallowbeam.lab', 'mallowbeam.standins', "
        "'mallowbeam.storage_gateway.operator_settings', "
        "'mallowbeam.storage_gateway.frontends.object_api'))]\n"
        "assert not bad, bad"
    )
    env = {**os.environ, "BALANCER_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
    env.pop("MALLOWBEAM_FRONTS", None)
    discovery, (sock, port) = Discovery([]), hold_port()
    write_files(tmp_path, "alone", port, discovery, {})
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=env, capture_output=True, text=True, check=False
    )
    discovery.close()
    sock.close()
    assert done.returncode == 0, done.stderr


def test_logs_come_as_json_lines_where_asked(tmp_path):
    done = mallowbeam("serve", "--log-format", "yaml")
    assert done.returncode == 2 and "text or json" in done.stderr
    rig = Rig(tmp_path / "rig", [ObjectNode()], buffer={"buckets": ["plates"]})
    env = {
        **os.environ,
        "TMPDIR": str(rig.folder),
        "BALANCER_CONFIG": str(rig.folder / "config.json"),
        "MALLOWBEAM_FRONTS": str(rig.folder / "fronts.json"),
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "mallowbeam", "serve", "--log-format", "json"],
        cwd=ROOT,
        env=env,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        lines = [json.loads(process.stderr.readline())["record"] for _ in range(2)]
        assert {line["level"]["name"] for line in lines} == {"INFO"}
        assert [line["extra"]["writes"] for line in lines if line["message"].startswith("buffer open")] == [0]
    finally:
        process.kill()
        process.wait(10)
        process.stderr.close()
        rig.close()


def test_the_stand_ins_of_a_configuration_come_up_and_answer(tmp_path):
    """Starts the stand-ins as the command line does, on ports assigned by the kernel."""
    config = json.loads((EXAMPLE / "config.json").read_text())
    sockets = []
    for entry in [*config["known"]["members"], config]:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
        entry["host_port" if "host_port" in entry else "discovery"] = "{}:{}".format(*sock.getsockname())
    (tmp_path / "config.json").write_text(json.dumps(config))
    for sock in sockets:
        sock.close()
    process = subprocess.Popen(
        [sys.executable, "-m", "mallowbeam.standins", str(tmp_path / "config.json")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert "2 nodes and discovery are up" in process.stdout.readline()
        with urllib.request.urlopen(f"http://{config['discovery']}/v1/servers", timeout=10) as answer:
            assert json.load(answer)["members"] == config["known"]["members"]
    finally:
        process.kill()
        process.wait(10)
        process.stdout.close()
