"""The admin endpoint and its metrics, on loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from scenario import EXAMPLE, World, play

from mallowbeam.http import connection
from mallowbeam.storage_gateway.server import gateway
from mallowbeam.storage_gateway.server.metrics import Metrics


def line(lane: str, result: str, count: int) -> str:
    return f"'app_downstream_requests\\{{lane=.{lane}.,result=.{result}.\\}} {count}\\n'"


def test_every_class_and_result_is_shown_from_zero():
    play(f"""
        q1 send GET /_vars
        q1 expect 200 {line('read', 'completed', 0)} {line('new-write', 'failed', 0)} 'app_members 1\\n' \
            'app_upstream_requests 0\\n' 'app_pending 0\\n' 'app_members_unavailable 0\\n' 'connection: close'
        q1 expect end
    """)


def test_the_figures_tell_how_requests_ended_and_what_is_pending():
    """A request counts once, when its response is sent; an attempt counts when it is completely written."""
    play(f"""
        c1 send read
        n0 expect GET
        q1 send GET /_vars
        q1 expect 200 'app_pending 1\\n' 'app_upstream_requests 1\\n' {line('read', 'completed', 0)}
        n0 send 200 body=x
        c1 expect 200
        c1 send write deadline=300
        n0 expect PUT
        c1 expect 502
        c1 send read shard=7
        c1 expect 503
        c1 send read plan=none
        c1 expect 400
        c1 send GET /healthz
        c1 expect 200
        q1 send GET /_vars
        q1 expect 200 'app_pending 0\\n' 'app_upstream_requests 2\\n' {line('read', 'completed', 1)} \
            {line('read', 'rejected', 1)} {line('read', 'failed', 1)} {line('new-write', 'failed', 1)}
    """)


def test_refused_connection_and_broken_off_response_are_counted():
    async def run() -> None:
        async with World(sockets=140) as world:
            here = world.gateway.servers[-1]
            here.connection_limit = 2
            await world.play(f"""
                c1 send read
                n0 expect GET
                c2 send read
                c2 expect 503
                n0 send 200 body=x
                c1 expect 200
                o1 send GET /plates/a
                n0 expect GET
                n0 send raw 'HTTP/1.1 200 OK\\r\\ncontent-length: 10\\r\\n\\r\\nhalf'
                o1 close
                n0 close
                q1 send GET /_vars
                q1 expect 200 {line('read', 'rejected', 1)} {line('read', 'completed', 1)}
            """)

    uvloop.run(run())


def test_a_broken_off_answer_is_no_completed_one():
    metrics = Metrics(["read"])
    metrics.request_finished("read", 200, False)
    metrics.request_finished("none", 200, True)  # an unknown class must not grow the table
    assert metrics.requests == {"read": {"completed": 0, "rejected": 0, "failed": 1}}


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ("GET /other", 404),
        ("PUT /_ready", "405 allow:.GET"),
        ("POST /_vars", "405 allow:.GET"),
        ("PUT /_ready content-length:999", 413),
        (f"GET /_ready x:{'y' * 20000}", 431),
        ("GET /_ready?x", 200),
    ],
)
def test_unknown_calls_get_an_error_status(call, status):
    play(f"q1 send {call}\nq1 expect {status}\nq1 expect end")


def test_ready_follows_the_phase():
    play("""
        q1 send GET /_ready
        q1 expect 200
        g close
        wait 0.05
        q1 send GET /_ready
        q1 expect 503
    """)


def test_half_sent_calls_do_not_keep_others_out(monkeypatch):
    """Clients that never finished a request made all later ones wait until those timed out."""
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT_S", 60.0)
    monkeypatch.setattr(gateway, "SWEEP_INTERVAL_S", 0.05)

    async def run() -> None:
        async with World() as world:
            await world.play("".join(f"q{i} send raw 'GET /_ready HT'\n" for i in range(2, 60)))
            async with asyncio.timeout(5.0):
                await world.play("q1 send GET /_ready\nq1 expect 200")

    uvloop.run(run())


def test_detached_node_gets_nothing_until_it_is_attached():
    play(
        """
        q1 send PUT /_storage-nodes/detach body=n0
        q1 expect 200
        q2 send GET /_vars
        q2 expect 200 'app_members 2\\n' 'app_members_unavailable 1\\n'
        c1 send read
        c1 expect 503 retry-after
        c1 send write shard=-1
        n1 expect PUT
        n1 send 200 body=x
        c1 expect 200
        q3 send PUT /_storage-nodes/attach 'body=n0 '
        q3 expect 200
        c1 send read
        n0 expect GET
        n0 send 200 body=x
        c1 expect 200
    """,
        nodes=2,
    )


@pytest.mark.parametrize("call", ["detach", "attach"])
@pytest.mark.parametrize(("body", "status"), [("n9", 404), ("", 400), ("'a b'", 400), ("y" * 300, 413)])
def test_unknown_or_invalid_node_id_is_rejected(call, body, status):
    play(f"q1 send PUT /_storage-nodes/{call} body={body}\nq1 expect {status}")


def test_a_node_taken_out_while_a_connection_comes_up_gets_nothing():
    """A detach takes effect within 250 ms of its 200 response, even if connecting takes longer."""

    async def run() -> None:
        async with World() as world:
            gate = world.hold_connecting()
            await world.play("c1 send read\nwait 0.05")
            await world.play("q1 send PUT /_storage-nodes/detach body=n0\nq1 expect 200")
            gate.set()
            await world.play("c1 expect 503\nn0 expect nothing")

    uvloop.run(run())


def test_a_reload_keeps_nodes_out():
    async def run() -> None:
        async with World() as world:
            await world.play("q1 send PUT /_storage-nodes/detach body=n0\nq1 expect 200")
            world.gateway.reload({"BALANCER_CONFIG": str(EXAMPLE / "config.json")})
            await world.play("wait 0.05\nc1 send read\nc1 expect 503\nn0 expect nothing")

    uvloop.run(run())
