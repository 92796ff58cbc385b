"""The platform's protocol and the path to the nodes, on loopback sockets."""

from __future__ import annotations

import pytest
import uvloop
from scenario import World, play

READ = "GET /read/00000000000000aa/0000000000000001"


def test_an_answer_is_passed_on_byte_for_byte_and_the_request_unchanged():
    play(f"""
        c1 send read
        n0 expect '{READ}' x-request-id x-deadline-ms
        n0 send 200 x-meter:50 body='a b'
        c1 expect 200 '\\n\\na b$'
        c1 send write body=payload
        n0 expect PUT idempotency-key:.key-0000000000000002 '\\n\\npayload$'
        n0 send raw 'HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n'
        c1 expect 200 '\\n\\nok$'
        n0 expect nothing
    """)


def test_a_write_rejected_unexecuted_is_retried():
    play("""
        c1 send write deadline=900
        n0 expect PUT
        n0 send 503 x-not-run:1
        n0 expect PUT idempotency-key:.key-0000000000000001
        n0 send 200 body=stored
        c1 expect 200 stored
    """)


def test_a_silent_node_costs_one_answer_and_no_second_run_of_a_write():
    """A keyed write that timed out may have been executed: it fails once and is not retried."""
    play("""
        c1 send write deadline=300
        n0 expect PUT
        c1 expect 502
        n0 expect end
        wait 0.2
        n0 expect nothing
    """)


def test_a_node_that_refuses_connections_never_ran_anything_and_so_the_client_is_refused():
    play("""
        c1 send read
        n0 expect GET
        n0 send 200 body=x
        c1 expect 200
        n0 close all
        c1 send write deadline=300
        c1 expect 503 retry-after
    """)


def test_a_pooled_connection_that_the_node_closed_is_not_used():
    """Guards against a write reset by a node's idle timeout, which would count as possibly executed."""
    play("""
        c1 send read
        n0 expect GET
        n0 send 200 body=x
        c1 expect 200
        n0 close
        wait 0.05
        c1 send write
        n0 expect PUT
        n0 send 200 body=y
        c1 expect 200 y
    """)


def test_a_truncated_answer_is_retried():
    play("""
        c1 send write
        n0 expect PUT
        n0 send raw 'HTTP/1.1 200 OK\\r\\ncontent-length: 10\\r\\n\\r\\nhalf'
        wait 0.05
        n0 close
        n0 expect PUT idempotency-key:.key-0000000000000001
        n0 send 200 body=stored
        c1 expect 200 '\\n\\nstored$'
        n0 expect nothing
    """)


LONG = "9" * 5000


NL = "\\r\\n"


OK = f"HTTP/1.1 200 OK{NL}"


@pytest.mark.parametrize(
    ("front", "malformed"),
    [
        ("c", f"{OK}content-length: 3000000000{NL}{NL}ok"),
        *(
            (front, malformed)
            for front in "co"
            for malformed in (
                f"\\x00\\x01noise{NL}{NL}",
                f"HTTP/1.1 2x0 OK{NL}{NL}",
                f"{OK}content-length: -5{NL}{NL}ok",
                f"{OK}content-length: 2{NL}content-length: 3{NL}{NL}ok",
                f"{OK}content-length: {LONG}{NL}{NL}ok",
                f"{OK}transfer-encoding: chunked{NL}{NL}zz{NL}ok",
                f"{OK}transfer-encoding: gzip{NL}{NL}ok",
                f"{OK}x: " + "y" * 20000,
                f"HTTP/1.1 404 No{NL}transfer-encoding: chunked{NL}{NL}0{NL}x: " + "y" * 40000,
                f"HTTP/1.1 100 Continue{NL}{NL}" * 40,
                f"HTTP/1.1 101 On{NL}{NL}{OK}content-length: 0{NL}{NL}",
            )
        ),
    ],
    ids=lambda value: value[:50],
)
def test_a_malformed_answer_fails_the_attempt_and_not_the_node(front, malformed):
    """Guards against treating the node as down: the retry goes there, and so does the next request."""
    read = {"c": "c1 send read", "o": "o1 send GET /plates/a"}[front]
    play(f"""
        {read}
        n0 expect GET
        n0 send raw '{malformed}'
        n0 expect GET
        n0 send 200 body=good
        {front}1 expect 200 good
        {read}
        n0 expect GET
        n0 send 200 body=more
        {front}1 expect 200 more
    """)


@pytest.mark.parametrize("extra", ["\\x00noise", f"{OK}content-length: 3{NL}{NL}bad", f"{NL}{NL}HTTP/1.1"])
@pytest.mark.parametrize("connection", ["keep-alive", "close"])
def test_a_good_answer_with_more_behind_it_is_served_and_its_connection_dropped(extra, connection):
    """Guards the next request on that connection: the surplus bytes would be read as its answer."""
    play(f"""
        c1 send read
        n0 expect GET
        n0 send raw '{OK}connection: {connection}{NL}content-length: 4{NL}{NL}good{extra}'
        c1 expect 200 'good$'
        n0 expect end
        c1 send read
        n0 expect GET
        n0 send 200 body=next
        c1 expect 200 next
    """)


def test_interim_answers_and_figures_that_cannot_be_read_are_passed_over():
    """Guards the attempt's report: without it the scheduler would count it as in flight forever."""

    async def run() -> None:
        async with World() as world:
            await world.play(f"""
                c1 send read
                n0 expect GET
                n0 send raw 'HTTP/1.1 100 Continue{NL}{NL}HTTP/1.1 103 Early{NL}link: a{NL}{NL}'
                n0 send 200 x-meter:{LONG} x-delta:{LONG} x-load:inflight=-,queue= body=good
                c1 expect 200 'good$'
            """)
            assert not world.gateway.attempts.tasks and not world.gateway.scheduler.knows("0000000400000001")

    uvloop.run(run())


def test_an_answer_that_stops_short_is_tried_again_and_a_large_one_is_taken_whole():
    """Guards the latency target against a body shorter than its length, and answers of several 100 kB."""

    async def run() -> None:
        async with World() as world:
            await world.play(f"""
                c1 send read
                n0 expect GET
                n0 send raw '{OK}content-length: 4{NL}{NL}go'
                n0 expect GET
                n0 send 200 fill=400000
                c1 expect 200 'content-length: 400000'
            """)
            assert world.gateway.pool.budget.used == 0

    uvloop.run(run())


def test_answers_are_bounded_together():
    """Guards memory: an answer that exceeds the shared budget is a failed attempt."""

    async def run() -> None:
        async with World() as world:
            world.gateway.pool.budget.limit = 30000
            await world.play("""
                c1 send read
                n0 expect GET
                n0 send 200 fill=40000
                n0 expect GET
                n0 send 200 body=small
                c1 expect 200 small
            """)
            assert world.gateway.pool.budget.used == 0

    uvloop.run(run())


def test_a_request_id_is_rejected_until_its_answer_is_sent():
    """Guards the one final answer: the scheduler forgets a request before its client has the answer."""

    async def run() -> None:
        async with World() as world:
            pick, seen = world.gateway.scheduler.request_arrived, []

            def picked(now, request, **fields):
                orders = pick(now, request, **fields)
                seen.append((world.gateway.has_id(request), world.gateway.scheduler.knows(request)))
                return orders

            world.gateway.scheduler.request_arrived = picked
            await world.play("c1 send read shard=7\nc1 expect 503")
            assert seen == [(True, False)] and not world.gateway.has_id("0000000400000001")

    uvloop.run(run())


def test_a_client_disconnect_cancels_its_attempt():
    play("""
        c1 send read
        n0 expect GET
        c1 close
        n0 expect end
        c2 send read
        n0 expect GET
        n0 send 200 body=x
        c2 expect 200
    """)


@pytest.mark.parametrize(
    "change",
    [
        "cls=unknown",
        "plan=unknown",
        "deadline=0",
        "deadline=soon",
        "deadline=99999999",
        "units=0",
        "units=99",
        "shard=-2",
        "hosts=0",
        "hosts=9",
        "id=xyz",
        "volume=none",
        "key=0",
        "body=x",
        "cls=new-write",
        "x-request-id:00000000000000ff",
        "x-extent:units=1,shard=0,hosts=1",
    ],
)
def test_a_senseless_request_is_400_and_its_connection_goes_on(change):
    play(f"""
        c1 send read {change}
        c1 expect 400
        c1 send write idempotency-key:other
        c1 expect 400
        n0 expect nothing
        c1 send read
        n0 expect GET
        n0 send 200 body=x
        c1 expect 200
    """)


def test_only_what_the_protocol_names_is_passed_on():
    """Guards nodes: they close a connection on a header that they cannot parse, whatever else waits on it."""

    async def run() -> None:
        async with World() as world:
            await world.play("""
                c1 send write x-odd:1 cookie:a=b content-type:text/plain x-retry:1
                n0 expect PUT content-type x-retry x-class x-extent
                n0 send 200 body=x
                c1 expect 200
            """)
            names = {name for name, _ in world.parties["n0"].seen[0].headers}
            assert not names & {b"x-odd", b"cookie"}

    uvloop.run(run())


def test_a_deadline_beyond_the_class_counts_as_the_class_has_it():
    """Guards memory against requests held for a client that would wait for an hour."""

    async def run() -> None:
        async with World() as world:
            await world.play("c1 send read deadline=3600000\nn0 expect GET")
            (exchange,) = world.gateway.exchanges.values()
            assert exchange.deadline < world.gateway.now() + 1.5
            await world.play("n0 send 200 body=x\nc1 expect 200")

    uvloop.run(run())


def test_a_request_id_in_use_is_turned_down():
    """Guards the one final answer: two requests with the same id could not be told apart."""
    play("""
        c1 send read id=00000000000000ff
        n0 expect GET
        c2 send read id=00000000000000ff
        c2 expect 400
        n0 send 200 body=x
        c1 expect 200
    """)


def test_a_request_id_is_rejected_while_its_attempt_is_in_flight():
    """Guards the scheduler's state: the outcome of the first request's attempt would count for the second."""

    async def run() -> None:
        async with World(Ceilings={"Cancel": False}) as world:
            await world.play("""
                c1 send read id=00000000000000ff
                n0 expect GET
                c1 close
                wait 0.1
                c2 send read id=00000000000000ff
                c2 expect 400
                n0 send 200 body=x
                wait 0.1
                c2 send read id=00000000000000ff
                n0 expect GET
                n0 send 200 body=y
                c2 expect 200 y
            """)

    uvloop.run(run())


def test_a_fault_in_the_module_is_still_one_answer(monkeypatch):
    """Guards the client: after an internal error it gets a failure, and the next request is served."""

    async def run() -> None:
        async with World() as world:
            pick = world.gateway.scheduler.request_arrived

            def faulty(*args, **fields):
                world.gateway.scheduler.request_arrived = pick
                raise RuntimeError("once")

            world.gateway.scheduler.request_arrived = faulty
            await world.play("""
                c1 send read
                c1 expect 500
                c2 send read
                n0 expect GET
                n0 send 200 body=x
                c2 expect 200
            """)
            assert not world.gateway.exchanges

    uvloop.run(run())
