"""The hand-over between two processes of one gateway, and the state that they share."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import tempfile
import threading
import urllib.error
import urllib.request
from contextlib import suppress

import pytest
import uvloop
from gateway_process import PATIENCE, connect, healthy, program
from scenario import EXAMPLE, World, free_port

from mallowbeam.storage_gateway.server import config as configs
from mallowbeam.storage_gateway.server import handover
from mallowbeam.storage_gateway.server.calls import Phase

COLD = {"Guarantees": {"Cold": 17.0, "Fall": 3.0, "StartCapacity": 0.18, "TipMultiple": 4.0}}


@pytest.fixture(autouse=True)
def handover_folder(monkeypatch, tmp_path):
    """A temporary folder whose path is too long for a Unix socket address."""
    folder = tmp_path / ("long" * 40)
    folder.mkdir()
    monkeypatch.setattr(tempfile, "tempdir", str(folder))


async def until(condition) -> None:
    """Waits until a condition holds; fails after PATIENCE."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0)


def upgrade(before: str, after: str, check=None, **world: object) -> None:
    """Plays one scenario with the old gateway, then one with the new gateway while the old one still runs."""

    async def run() -> None:
        async with World(meet=True, **world) as old:
            await old.play(before)
            async with World(before=old, **world) as new:
                await until(lambda: old.gateway.phase is not Phase.SERVING)
                await new.play(after)
                if check:
                    await check(old, new)

    uvloop.run(run())


def test_the_new_process_takes_what_comes_and_the_old_one_ends_with_its_last_answer():
    """No client finds its connection closed early: an idle one gets one more response, with a close."""

    async def ended(old: World, new: World) -> None:
        await until(old.task.done)
        assert old.gateway.metrics.upstream_requests == 2 and new.gateway.metrics.upstream_requests == 1
        assert new.gateway.peer.link is None or not new.gateway.peer.link.request_ids

    upgrade(
        """
        c1 send GET /healthz
        c1 expect 200
        c2 send read
        n0 expect GET
    """,
        """
        n0 send 200 body=held
        c2 expect 200 held 'connection: close'
        c1 send read
        n0 expect GET
        n0 send 200 body=next
        c1 expect 200 next 'connection: close'
        c1 expect end
        c3 send read
        n0 expect GET
        n0 send 200 body=new
        c3 expect 200 new
        c3 send GET /healthz
        c3 expect 200
    """,
        ended,
    )


def test_what_waits_in_the_backlog_is_taken_by_the_new_process():
    """A listening socket that is closed resets the connections it has not accepted."""

    async def run() -> None:
        async with World(meet=True) as old:
            server = old.gateway.servers[-1]
            server.acceptor.cancel()  # as in a busy old process that accepts nothing
            await asyncio.sleep(0)
            await old.play("c1 send GET /healthz")
            async with World(before=old) as new:
                await new.play("c1 expect 200")
                assert new.gateway.servers[-1].connections and not server.connections

    uvloop.run(run())


def test_detached_nodes_lists_and_discovery_address_are_handed_over_first():
    """The configuration of the new process is older than the node list of the old one."""
    changed = (
        '{"revision":7,"complete":false,"members":[{"id":"n0","host_port":"$n0","cell":0,'
        '"phase":"draining"}]}'
    )

    async def check(old: World, new: World) -> None:
        assert new.gateway.scheduler.accepts_work("n2") and not new.gateway.scheduler.accepts_work("n0")
        await until(lambda: old.gateway.watch.task is None)  # the new process watches for both
        new.gateway.set_detached("n2", True)
        old.gateway.set_detached("n1", False)
        await until(
            lambda: new.gateway.scheduler.accepts_work("n1") and not old.gateway.scheduler.accepts_work("n2")
        )

    upgrade(
        f"""
        q1 send PUT /_storage-nodes/detach body=n1
        q1 expect 200
        d expect GET since=1
        d send 200 'body={changed}'
        d expect GET since=7
    """,
        """
        d expect GET since=7
        c1 send read shard=1
        c1 expect 503
        c1 send read shard=0
        c1 expect 503
    """,
        check,
        nodes=3,
    )


def test_rate_limits_slow_start_units_and_ids_apply_to_both():
    """Two processes with separate rate limits would admit twice the limit."""

    async def check(old: World, new: World) -> None:
        assert new.gateway.has_id("00000000000000ff") and old.gateway.has_id("00000000000000ee")
        tables = [w.gateway.scheduler._scheduler.volumes.by_key for w in (old, new)]
        stores = [table["00000000000000aa", "bronze"] for table in tables]
        assert abs(stores[0].limit_level - stores[1].limit_level) < 1.0
        sent = [w.gateway.scheduler._scheduler.state.nodes["n0"].slow_start_sends for w in (old, new)]
        assert [sum(send.units for send in each) for each in sent] == [16, 16]

    started = (
        '{"revision":2,"complete":false,"members":[{"id":"n0","host_port":"$n0","cell":0,'
        '"phase":"up","up_since_ms":99999999999999}]}'
    )
    upgrade(
        f"""
        d expect GET since=1
        d send 200 'body={started}'
        d expect GET since=2
        c1 send read plan=bronze units=8
        c1 expect 503
        wait 0.8
        c1 send read id=00000000000000ff plan=bronze units=8
        n0 expect GET
    """,
        """
        c2 send read id=00000000000000ff
        c2 expect 400
        c2 send read id=00000000000000ee plan=bronze units=8
        n0 expect GET
    """,
        check,
        FamilyInfo={"ColdBears": 1000.0},
        **COLD,
    )


def test_list_received_by_one_process_applies_to_both():
    gone = '{"revision":2,"complete":false,"members":[{"id":"n0","cell":0,"phase":"draining"}]}'

    async def check(old: World, new: World) -> None:
        await until(lambda: not old.gateway.scheduler.accepts_work("n0"))
        old.gateway.peer.listing_from_peer(old.gateway.config.known)  # an older list changes nothing
        assert not old.gateway.scheduler.accepts_work("n0")

    upgrade(
        "d expect GET since=1\nc1 send GET /healthz\nc1 expect 200",
        f"""
        d expect GET since=1
        d send 200 'body={gone}'
        d expect GET since=2
    """,
        check,
    )


def test_a_reload_of_either_moves_both_and_one_watch_stays():
    async def check(old: World, new: World) -> None:
        await until(lambda: old.gateway.watch.task is None)
        old.gateway.reload({"BALANCER_CONFIG": str(EXAMPLE / "config.json")})
        await until(lambda: new.gateway.watch.address == "127.0.0.1:8500")
        assert old.gateway.watch.address == "127.0.0.1:8500" and old.gateway.watch.task is None

    upgrade("c1 send GET /healthz\nc1 expect 200", "", check)


def test_descriptors_and_bodies_are_shared_while_there_are_two():
    async def check(old: World, new: World) -> None:
        for world in (old, new):
            assert world.gateway.pool.connection_limit == world.gateway.pool.configured_limit // 2
            assert world.gateway.pool.budget.limit == world.gateway.pool.budget.configured_limit // 2
        old.gateway.stop()
        await until(old.task.done)
        old.gateway.peer.link.close()  # as the end of the process would
        await until(lambda: new.gateway.peer.link is None)
        assert new.gateway.pool.connection_limit == new.gateway.pool.configured_limit
        assert new.gateway.servers[-1].connection_limit == new.gateway.servers[-1].configured_limit

    upgrade("c1 send GET /healthz\nc1 expect 200", "", check)


def send_on_accept(old: socket.socket, data: bytes) -> None:
    """Sends bytes to the first process that connects, which may have closed by then."""

    def run() -> None:
        with old.accept()[0] as sock, suppress(OSError):
            sock.sendall(data)

    threading.Thread(target=run, daemon=True).start()


def test_another_user_s_process_is_not_taken_over_from(monkeypatch):
    """$TMPDIR may be writable by other users."""
    config = configs.decode_config(json.loads((EXAMPLE / "config.json").read_text()), {})
    with handover.rendezvous_path(config) as path, socket.socket(socket.AF_UNIX) as old:
        old.bind(path)
        old.listen(1)
        monkeypatch.setattr(handover.os, "getuid", lambda: 987654)
        send_on_accept(
            old,
            b'{"doors": []}\n{"state": {"version": 1, "discovery": "127.0.0.1:1", "list": '
            b'{"revision": 1, "complete": true, "members": []}}}\n',
        )
        assert handover.take_over(config) is None


@pytest.mark.parametrize(
    "data",
    [b"", b"noise\n", b'{"doors": []}\n{"state": {}}\n', b'{"doors": []}\n{"state": {"version": 0}}\n'],
)
def test_an_old_process_that_hands_over_nothing_holds_up_no_start(monkeypatch, data):
    monkeypatch.setattr(handover, "HANDOVER_TIMEOUT_S", 0.1)
    config = configs.decode_config(json.loads((EXAMPLE / "config.json").read_text()), {})
    assert handover.take_over(config) is None  # no other process
    with handover.rendezvous_path(config) as path, socket.socket(socket.AF_UNIX) as old:
        old.bind(path)
        assert handover.take_over(config) is None  # a stale socket file
        old.listen(1)
        if data:
            send_on_accept(old, data)
        assert handover.take_over(config) is None


@pytest.mark.parametrize("meet", [True, False])
def test_a_second_start_takes_over_from_the_first(tmp_path, monkeypatch, meet):
    """The programs as the platform starts them: one client address, and an admin address each.

    Without a hand-over socket they share the client address.
    """
    monkeypatch.setenv("TMPDIR", tempfile.gettempdir())
    admin_addresses, listen = [f"127.0.0.1:{free_port()}" for _ in range(2)], f"127.0.0.1:{free_port()}"
    monkeypatch.setenv("BALANCER_LISTEN", listen)
    monkeypatch.setenv("BALANCER_ADMIN_ADDR", admin_addresses[0])
    host, _, port = listen.partition(":")
    address = (host, int(port))
    with program(tmp_path, {}) as (first, _), connect(address) as sock:
        assert healthy(sock)
        monkeypatch.setenv("BALANCER_ADMIN_ADDR", admin_addresses[1])
        monkeypatch.setenv("TMPDIR", tempfile.gettempdir() if meet else str(tmp_path))
        with program(tmp_path, {}) as (second, _):
            connect((host, int(admin_addresses[1].partition(":")[2]))).close()
            while True:
                try:
                    assert (
                        urllib.request.urlopen(f"http://{admin_addresses[1]}/_ready", timeout=PATIENCE).status
                        == 200
                    )
                    break
                except urllib.error.HTTPError as error:
                    assert error.code == 503  # until it serves clients
            first.send_signal(signal.SIGTERM)
            assert first.wait(PATIENCE) == 0
            with connect(address) as late:
                assert healthy(late)
            assert second.poll() is None
            second.terminate()
            assert second.wait(PATIENCE) == 0
            for process in (first, second):
                assert "Traceback" not in process.stderr.read()


def test_second_process_with_the_same_admin_address_does_not_start(tmp_path, monkeypatch):
    """Requests of operators for one process would sometimes reach the other."""
    monkeypatch.setenv("BALANCER_ADMIN_ADDR", f"127.0.0.1:{free_port()}")
    with program(tmp_path, {}) as (_, address):
        connect(address).close()
        with program(tmp_path, {}) as (second, _):
            _, text = second.communicate(timeout=PATIENCE)
        assert second.returncode == 2 and text.startswith("mallowbeam: cannot listen")
