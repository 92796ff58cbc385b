"""The platform's front and the path behind it, on loopback sockets."""

from __future__ import annotations

import asyncio
import re

import pytest
import uvloop
from scenario import World, play

from mallowbeam.net import gateway, server

PLAIN = ("GET /read/00000000000000aa/0000000000000001 HTTP/1.1\\r\\nhost: x\\r\\nx-class: read\\r\\n"
         "x-storage-class: silver\\r\\nx-deadline-ms: 900\\r\\nx-extent: units=1,shard=0,hosts=1\\r\\n"
         "x-request-id: 00000000000000f{}\\r\\n\\r\\n")
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


def test_turned_away_unrun_is_tried_again_and_a_failed_write_is_not():
    play("""
        c1 send write deadline=900
        n0 expect PUT
        n0 send 503 x-not-run:1
        n0 expect PUT idempotency-key:.key-0000000000000001
        n0 send 200 body=stored
        c1 expect 200 stored
    """)


def test_a_silent_node_costs_one_answer_and_no_second_run_of_a_write():
    """A keyed write that timed out may have run: it fails, once, and is not sent again."""
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
    """Guards against a reset of a write by a node's idle limit: it would count as perhaps run."""
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


def test_a_break_inside_the_answer_is_no_answer():
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


@pytest.mark.parametrize(("front", "spoilt"), [("c", f"{OK}content-length: 3000000000{NL}{NL}ok"), *(
    (front, spoilt) for front in "co" for spoilt in (
        f"\\x00\\x01noise{NL}{NL}", f"HTTP/1.1 2x0 OK{NL}{NL}", f"{OK}content-length: -5{NL}{NL}ok",
        f"{OK}content-length: 2{NL}content-length: 3{NL}{NL}ok", f"{OK}content-length: {LONG}{NL}{NL}ok",
        f"{OK}transfer-encoding: chunked{NL}{NL}zz{NL}ok", f"{OK}transfer-encoding: gzip{NL}{NL}ok",
        f"{OK}x: " + "y" * 20000,
        f"HTTP/1.1 404 No{NL}transfer-encoding: chunked{NL}{NL}0{NL}x: " + "y" * 40000,
        f"HTTP/1.1 100 Continue{NL}{NL}" * 40, f"HTTP/1.1 101 On{NL}{NL}{OK}content-length: 0{NL}{NL}"))],
    ids=lambda value: value[:50])
def test_a_spoilt_answer_is_a_failed_attempt_of_a_node_that_lives(front, spoilt):
    """Guards against holding the node cold: the request is tried again there, and so is the next."""
    read = {"c": "c1 send read", "o": "o1 send GET /plates/a"}[front]
    play(f"""
        {read}
        n0 expect GET
        n0 send raw '{spoilt}'
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
    """Guards the next request against the rest: on that connection it would be read as its answer."""
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
    """Guards the report of an attempt: lost, the module would count the request as out for ever."""

    async def run() -> None:
        async with World() as world:
            await world.play(f"""
                c1 send read
                n0 expect GET
                n0 send raw 'HTTP/1.1 100 Continue{NL}{NL}HTTP/1.1 103 Early{NL}link: a{NL}{NL}'
                n0 send 200 x-meter:{LONG} x-delta:{LONG} x-load:inflight=-,queue= body=good
                c1 expect 200 'good$'
            """)
            assert not world.gateway.tasks and not world.gateway.facade.knows("0000000400000001")

    uvloop.run(run())


def test_an_answer_that_stops_short_is_tried_again_and_a_large_one_is_taken_whole():
    """Guards the aim against a length that never comes, and answers of a few hundred kilobytes."""

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
    """Guards memory: many answers at once are failed attempts, not more held than what is stated."""

    async def run() -> None:
        async with World() as world:
            world.gateway.pool.budget.most = 30000
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


def test_whole_requests_before_noise_are_answered_first():
    play(f"""
        c1 send raw '{PLAIN.format(1)}\\x00\\x01noise'
        n0 expect GET 0f1
        n0 send 200 body=one
        c1 expect 200 one
        c1 expect 400
        c1 expect end
    """)


def test_an_id_whose_answer_is_not_out_yet_is_turned_down():
    """Guards the one final answer: the module forgets a request before its client has the answer."""

    async def run() -> None:
        async with World() as world:
            pick, seen = world.gateway.facade.pick, []

            def picked(now, request, **fields):
                orders = pick(now, request, **fields)
                seen.append((world.gateway.holds(request), world.gateway.facade.knows(request)))
                return orders

            world.gateway.facade.pick = picked
            await world.play("c1 send read shard=7\nc1 expect 503")
            assert seen == [(True, False)] and not world.gateway.holds("0000000400000001")

    uvloop.run(run())


def test_a_client_that_leaves_takes_its_attempt_along():
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


@pytest.mark.parametrize("change", [
    "cls=unknown", "plan=unknown", "deadline=0", "deadline=soon", "deadline=99999999", "units=0", "units=99",
    "shard=-2", "hosts=0", "hosts=9", "id=xyz", "volume=none", "key=0", "body=x", "cls=new-write",
    "x-request-id:00000000000000ff", "x-extent:units=1,shard=0,hosts=1"])
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


@pytest.mark.parametrize(("raw", "status"), [
    ("GET / HTTP/1.1\\r\\nhost x\\r\\n\\r\\n", 400), ("NONSENSE\\r\\n\\r\\n", 400),
    ("GET / HTTP/1.1\\r\\nhost: x\\r\\nx: " + "y" * 20000 + "\\r\\n\\r\\n", 431),
    ("GET / HTTP/1.1\\r\\nhost: x\\r\\nx: " + "y" * 20000, 431),
    ("GET /" + "y" * 20000 + " HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n", 431),
    ("PUT / HTTP/1.1\\r\\nhost: x\\r\\ncontent-length: 60000000\\r\\n\\r\\n", 413),
    ("PUT / HTTP/1.1\\r\\nhost: x\\r\\ncontent-length: 1\\r\\ncontent-length: 2\\r\\n\\r\\n", 400),
    ("GET / HTTP/1.1\\r\\nhost: x\\r\\nupgrade: h2c\\r\\nconnection: upgrade\\r\\n\\r\\n", 400)])
def test_what_breaks_http_or_a_bound_gets_its_status_and_a_close(raw, status):
    play(f"""
        c1 send raw '{raw}'
        c1 expect {status}
        c1 expect end
        n0 expect nothing
    """)


def test_only_what_the_protocol_names_is_passed_on():
    """Guards nodes: they close on what they can't read, whatever else waits on that connection."""

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
    """Guards memory: what is held for a client that would wait for an hour."""

    async def run() -> None:
        async with World() as world:
            await world.play("c1 send read deadline=3600000\nn0 expect GET")
            exchange, = world.gateway.exchanges.values()
            assert exchange.deadline < world.gateway.now() + 1.5
            await world.play("n0 send 200 body=x\nc1 expect 200")

    uvloop.run(run())


def test_a_request_id_in_use_is_turned_down():
    """Guards the one final answer: two requests under one id could not be told apart."""
    play("""
        c1 send read id=00000000000000ff
        n0 expect GET
        c2 send read id=00000000000000ff
        c2 expect 400
        n0 send 200 body=x
        c1 expect 200
    """)


def test_an_id_whose_attempt_is_still_out_is_turned_down():
    """Guards the module's book-keeping: the outcome of the first request's attempt would be the second's."""

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


def test_pipelined_requests_are_answered_in_turn():
    play(f"""
        c1 send raw '{PLAIN.format(1)}{PLAIN.format(2)}'
        n0 expect GET 0f1
        n0 send 200 body=one
        c1 expect 200 one
        n0 expect GET 0f2
        n0 send 200 body=two
        c1 expect 200 two
    """)


def test_draining_nodes_get_nothing_new_and_the_watch_goes_on():
    drained = ('{"revision":2,"complete":false,"members":[{"id":"n0","host_port":"$n0","cell":0,'
               '"phase":"draining"}]}')
    play(f"""
        d expect GET 'since=1&timeout_ms='
        d send 200 'body={drained}'
        d expect GET 'since=2&timeout_ms='
        c1 send write shard=-1
        n1 expect PUT
        n1 send 200 body=x
        c1 expect 200
        c1 send read shard=0
        c1 expect 503
        n0 expect nothing
    """, nodes=2)


@pytest.mark.parametrize("failure", ["d send 503", "d close", "d send 200 body=nonsense",
                                     "d send 200 'body={\"revision\":1,\"complete\":true,\"members\":[{}]}'"])
def test_a_failed_watch_is_begun_again(failure):
    play(f"""
        d expect GET since=1
        {failure}
        d expect GET since=1
    """)


def test_told_to_stop_it_serves_on_for_clients_that_keep_their_connection():
    """Guards them: closed at once, they found their gateway gone for as long as a restart takes."""
    play("""
        c1 send GET /healthz
        c1 expect 200
        g close
        wait 0.05
        c2 send GET /healthz
        c2 expect 503
        c1 send read
        n0 expect GET
        n0 send 200 body=late
        c1 expect 200 late
        c1 send GET /healthz
        c1 expect 503
    """)


def test_a_planned_stop_answers_what_is_held_and_closes_connections(monkeypatch):
    monkeypatch.setattr(gateway, "STAY", 0.0)
    monkeypatch.setattr(gateway, "LAME_DUCK", 0.02)
    play("""
        c1 send read
        n0 expect GET
        c2 send GET /healthz
        c2 expect 200
        g close
        wait 0.1
        n0 send 200 body=held
        c1 expect 200 held 'connection: close'
        g expect end
        c2 expect end
    """)


def test_what_comes_while_leaving_has_only_the_time_that_is_left(monkeypatch):
    """Guards the one final answer: SIGKILL follows, and what it finds unanswered is lost."""
    monkeypatch.setattr(gateway, "STAY", 1.0)
    monkeypatch.setattr(gateway, "LEAVE", 0.1)

    async def run() -> None:
        async with World() as world:
            await world.play("g close\nwait 0.05\nc1 send write deadline=2000\nn0 expect PUT")
            exchange, = world.gateway.exchanges.values()
            assert exchange.deadline < world.gateway.leave_at + 0.1
            await world.play("n0 send 200 body=x\nc1 expect 200\ng expect end")

    uvloop.run(run())


def test_clients_beyond_the_descriptors_wait_and_are_served():
    """Guards against a crash when descriptors run out: idle connections make room."""
    lines = "".join(f"c{i} send GET /healthz\nc{i} expect 200\n" for i in range(60))
    play(lines, sockets=120)


def test_clients_beyond_the_last_busy_connection_are_refused_at_once():
    """Guards the one final answer: what waits in the backlog is taken, and was lost at its deadline."""

    async def run() -> None:
        async with World(sockets=120) as world:
            room = world.gateway.servers[-1].most - world.gateway.servers[-1].spare
            world.gateway.submit = lambda call: asyncio.Event().wait()
            await world.play("".join(f"c{i} send read\n" for i in range(room)) + "wait 0.1")
            await world.play("".join(f"""
                c{i} send read
                c{i} expect 503 retry-after 'connection: close'
                c{i} expect end
            """ for i in range(room, room + 9)))

    uvloop.run(run())


def test_those_that_have_been_answered_make_room_before_those_that_have_not(monkeypatch):
    """Guards first requests: clients that connected a moment ago lost theirs to those that came after."""
    monkeypatch.setattr(server, "FRESH", 0.0)

    async def run() -> None:
        async with World(sockets=120) as world:
            here = world.gateway.servers[-1]
            first = [await asyncio.open_connection(*world.platform)]
            await world.play("".join(f"c{i} send GET /healthz\nc{i} expect 200\n"
                                     for i in range(here.most - here.spare + 5)))
            await world.play("wait 0.05")
            assert any(not c.answered for c in here.connections)
            first[0][1].write(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await first[0][0].read(12)).endswith(b"200")

    uvloop.run(run())


def test_a_connection_that_has_just_come_or_holds_an_unread_request_is_not_let_go():
    """Guards requests that are taken but not read: closed to make room, their connections lost them."""

    async def run() -> None:
        async with World(sockets=120) as world:
            await world.play("c1 send GET /healthz\nc1 expect 200")
            connection, = world.gateway.servers[-1].connections
            assert connection.spare
            world.parties["c1"].raw("GET /healthz")
            while not connection.channel.stale():  # the loop has not read it yet
                await asyncio.sleep(0)
                if not connection.idle:
                    break
            assert not connection.spare
            _, writer = await asyncio.open_connection(*world.platform)
            while len(world.gateway.servers[-1].connections) < 2:
                await asyncio.sleep(0)
            fresh, = world.gateway.servers[-1].connections - {connection}
            assert fresh.idle and not fresh.spare
            writer.close()

    uvloop.run(run())


def test_health_pages_and_the_agent_line_tell_the_true_state():
    gone = '{"revision":2,"complete":true,"members":[]}'
    play(f"""
        h1 send GET /status
        h1 expect 200 '"nodes_open": 1'
        h1 send GET /livez
        h1 expect 200
        h1 send GET /other
        h1 expect 404
        h1 send POST /status
        h1 expect 405
        d expect GET since
        d send 200 'body={gone}'
        d expect GET since=2
        h1 send GET /status
        h1 expect 200 '"nodes_open": 0'
    """)


def test_the_agent_line_follows_the_phase_and_the_nodes():
    """HAProxy reads one line up to its end: ready with a weight, down without nodes, drain when leaving."""

    async def run() -> list[str]:
        lines = []

        async def ask(world: World) -> None:
            reader, writer = await asyncio.open_connection(*world.agent)
            lines.append((await reader.read()).decode())
            writer.close()

        async with World() as world:
            await ask(world)
            await world.play("""
                d expect GET since
                d send 200 'body={"revision":2,"complete":true,"members":[]}'
                d expect GET since=2
            """)
            await ask(world)
            await world.play("g close\nwait 0.05")
            await ask(world)
        return lines

    ready, down, leaving = uvloop.run(run())
    assert re.fullmatch(r"up ready \d+%\n", ready)
    assert down.startswith("down ") and leaving == "up drain\n"


DRAINED = '{"revision":2,"complete":false,"members":[{"id":"n0","cell":0,"phase":"draining"}]}'


def test_a_node_that_drains_while_a_connection_comes_up_gets_nothing():
    """Guards the rule on draining where connecting takes longer than the grace."""

    async def run() -> None:
        async with World() as world:
            gate = world.hold_connecting()
            await world.play(f"""
                c1 send read
                d expect GET since=1
                d send 200 'body={DRAINED}'
                d expect GET since=2
            """)
            gate.set()
            await world.play("c1 expect 503\nn0 expect nothing")

    uvloop.run(run())


def test_idle_connections_to_a_node_that_is_listed_no_more_are_closed():
    play("""
        c1 send read
        n0 expect GET
        n0 send 200 body=x
        c1 expect 200
        d expect GET since=1
        d send 200 'body={"revision":2,"complete":true,"members":[]}'
        n0 expect end
    """)


def test_a_fault_with_one_list_does_not_end_the_watch():
    async def run() -> None:
        async with World() as world:
            told, faults = world.gateway.watch.told, iter([RuntimeError("once")])

            def faulty(listing) -> None:
                for fault in faults:
                    raise fault
                told(listing)

            world.gateway.watch.told = faulty
            await world.play(f"""
                d expect GET since=1
                d send 200 'body={DRAINED}'
                d expect GET since=2
            """)

    uvloop.run(run())


@pytest.mark.parametrize("front", ["c", "o"])
def test_a_client_that_stalls_inside_a_request_gets_408_and_a_close(monkeypatch, front):
    """Guards against requests that come in a trickle, or never: each held its connection for 10 s or more."""
    monkeypatch.setattr(server, "STALLED", 0.2)
    monkeypatch.setattr(gateway, "SWEEP", 0.05)
    drip = f"{front}2 send raw x\nwait 0.1\n"
    play(f"""
        {front}1 send raw 'GET / HTTP/1.1{NL}host: x{NL}'
        {front}1 expect 408
        {front}1 expect end
        {front}2 send PUT /plates/a content-length:5
        {drip * 5}
        {front}2 expect 408
        {front}2 expect end
        n0 expect nothing
    """)


@pytest.mark.parametrize("front", ["c", "o"])
def test_a_client_that_says_nothing_is_closed_long_before_one_that_has_been_answered(monkeypatch, front):
    """Guards the descriptors: connections opened by the hundred lay there for two minutes."""
    monkeypatch.setattr(server, "STALLED", 0.2)
    monkeypatch.setattr(gateway, "SWEEP", 0.05)
    play(f"""
        {front}1 send GET /_/other
        {front}1 expect 400
        {front}2 send raw ''
        {front}2 expect end
        {front}1 send GET /_/other
        {front}1 expect 400
    """)


@pytest.mark.parametrize("front", ["c", "o"])
def test_what_follows_a_request_that_is_too_large_is_read_for_a_while_only(monkeypatch, front):
    """Guards the core: a client that sends 60 MB at full speed was read for as long as it went on."""
    monkeypatch.setattr(server, "LINGER", 60.0)

    async def run() -> None:
        async with World() as world:
            await world.play(f"{front}1 send raw 'PUT /a/b HTTP/1.1{NL}content-length: 60000000{NL}{NL}'\n"
                             f"{front}1 expect 413")
            writer = world.parties[f"{front}1"].writer
            with pytest.raises(ConnectionError):
                for _ in range(512):           # 32 MB: far more than the sockets hold between them
                    writer.write(b"x" * 65536)
                    await writer.drain()

    uvloop.run(run())


def test_a_request_that_never_comes_in_whole_does_not_hold_up_a_planned_stop(monkeypatch):
    monkeypatch.setattr(gateway, "STAY", 0.6)
    play("""
        c1 send raw 'GET / HTTP/1.1\\r\\n'
        wait 0.05
        g close
        g expect end
        c1 expect end
    """)


def test_a_fault_in_the_module_is_still_one_answer(monkeypatch):
    """Guards the client: whatever goes wrong here, it gets a failure, and the next request is served."""

    async def run() -> None:
        async with World() as world:
            pick = world.gateway.facade.pick

            def faulty(*args, **fields):
                world.gateway.facade.pick = pick
                raise RuntimeError("once")

            world.gateway.facade.pick = faulty
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
