"""The phases of the gateway, on loopback sockets: graceful shutdown, and health checks meanwhile."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import tempfile

import uvloop
from scenario import EXAMPLE, TIMEOUT_S, World, play

from mallowbeam.storage_gateway.application import open_servers
from mallowbeam.storage_gateway.server import config as configs
from mallowbeam.storage_gateway.server import gateway
from mallowbeam.storage_gateway.server.calls import Phase
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.handover import Takeover

HEALTHZ = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"


def connect_and_send(address: tuple[str, int], data: bytes) -> socket.socket:
    """Connects and sends a request without yielding to the event loop, so it stays in the accept queue."""
    sock = socket.create_connection(address, timeout=TIMEOUT_S)
    sock.sendall(data)
    return sock


def on_phase(monkeypatch, phase: Phase, hook) -> None:
    """Calls a hook in the same step in which a gateway enters a phase."""
    enter = Gateway._enter

    def entered(self: Gateway, to: Phase) -> None:
        enter(self, to)
        if to is phase:
            hook()

    monkeypatch.setattr(Gateway, "_enter", entered)


def test_told_to_stop_it_serves_on_for_clients_that_keep_their_connection():
    """When closed at once, clients were without a gateway for as long as a restart takes."""
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
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.0)
    monkeypatch.setattr(gateway, "LAME_DUCK_S", 0.02)

    async def run() -> None:
        async with World() as world:
            await world.play("""
                c2 send GET /healthz
                c2 expect 200
                c1 send read
                n0 expect GET
                g close
            """)
            while world.gateway.phase is not Phase.DRAINING:
                await asyncio.sleep(0)
            await world.play("""
                n0 send 200 body=held
                c1 expect 200 held 'connection: close'
                g expect end
                c2 expect end
            """)

    uvloop.run(run())


def test_requests_during_shutdown_are_limited_to_the_time_left(monkeypatch):
    """SIGKILL follows, and requests without a response by then are lost."""
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 1.0)
    monkeypatch.setattr(gateway, "DRAIN_S", 0.1)

    async def run() -> None:
        async with World() as world:
            await world.play("g close\nwait 0.05\nc1 send write deadline=2000\nn0 expect PUT")
            (exchange,) = world.gateway.exchanges.values()
            assert exchange.deadline < world.gateway.shutdown_deadline + 0.1
            await world.play("n0 send 200 body=x\nc1 expect 200\ng expect end")

    uvloop.run(run())


def test_a_request_that_never_comes_in_whole_does_not_hold_up_a_planned_stop(monkeypatch):
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.6)
    play("""
        c1 send raw 'GET / HTTP/1.1\\r\\n'
        wait 0.05
        g close
        g expect end
        c1 expect end
    """)


def test_requests_arriving_as_listeners_close_are_answered(monkeypatch):
    """Race: the requests are in the accept queues of both listeners in the step in which draining begins."""
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.0)
    monkeypatch.setattr(gateway, "LAME_DUCK_S", 0.02)

    async def run() -> None:
        async with World() as world:
            socks: list[socket.socket] = []
            on_phase(
                monkeypatch,
                Phase.DRAINING,
                lambda: socks.extend(
                    connect_and_send(address, HEALTHZ)
                    for address in [world.platform] * 20 + [world.objects] * 5
                ),
            )
            await world.play("g close\ng expect end")
            assert len(socks) == 25
            for sock in socks:  # all responses were sent before the gateway ended
                sock.setblocking(False)
                with sock:
                    assert re.match(rb"HTTP/1.1 [45]", sock.recv(4096))

    uvloop.run(run())


def test_an_operators_call_in_the_last_moment_is_answered(monkeypatch):
    """Race: the request is in the admin endpoint's accept queue when the last subsystem has stopped."""
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.0)
    monkeypatch.setattr(gateway, "LAME_DUCK_S", 0.02)

    class LastSubsystem:
        async def stop(self) -> None:
            calls.append(connect_and_send(world.admin, b"GET /_ready HTTP/1.1\r\nhost: x\r\n\r\n"))

    calls: list[socket.socket] = []
    world = World()

    async def run() -> None:
        async with world:
            world.gateway.subsystems.append(LastSubsystem())
            await world.play("g close\ng expect end")
            calls[0].setblocking(False)
            with calls[0]:
                assert calls[0].recv(4096).endswith(b"draining\n")

    uvloop.run(run())


def test_a_client_that_connects_and_sends_nothing_finds_an_end(monkeypatch):
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.6)
    play("""
        c1 send raw ''
        g close
        c1 expect end
        g expect end
    """)


def test_told_to_stop_before_it_is_ready_and_again_it_never_is_and_ends(monkeypatch):
    """Race: SIGTERM, twice, before the first listener starts; clients get 503."""
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.0)

    async def run() -> None:
        world = World()
        config = configs.decode_config(await world.configuration(), {})
        here = Gateway(config)
        servers = open_servers(here, json.loads((EXAMPLE / "fronts.json").read_text()) | {"objects": {}})
        here.stop()
        here.stop()
        socks: list[socket.socket] = []
        on_phase(
            monkeypatch, Phase.SERVING, lambda: socks.append(connect_and_send(servers[-1].address, HEALTHZ))
        )
        async with asyncio.timeout(TIMEOUT_S):
            await here.run(servers)
        with socks[0] as sock:
            assert sock.recv(4096).startswith(b"HTTP/1.1 503")
        for party in world.parties.values():
            party.server.close()

    uvloop.run(run())


def test_told_to_stop_again_while_it_leaves_changes_nothing(monkeypatch):
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 0.6)
    play("""
        c1 send read
        n0 expect GET
        g close
        wait 0.01
        g close
        n0 send 200 body=held
        c1 expect 200 held
        g close
        g expect end
    """)


def test_told_to_stop_while_it_hands_over_it_leaves_in_its_time(monkeypatch, tmp_path):
    """Race: SIGTERM with a pending request, after the next process has confirmed the hand-over."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    monkeypatch.setattr(gateway, "SHUTDOWN_LIMIT_S", 1.0)

    async def run() -> None:
        async with World(meet=True) as old:
            await old.play("c1 send read deadline=1000\nn0 expect GET")
            async with World(before=old) as new:
                while old.gateway.phase is not Phase.HANDED_OVER:
                    await asyncio.sleep(0)
                old.gateway.stop()
                async with asyncio.timeout(TIMEOUT_S):
                    while old.gateway.shutdown_deadline > old.gateway.now() + gateway.SHUTDOWN_LIMIT_S:
                        await asyncio.sleep(0)
                await new.play("n0 send 200 body=held\nc1 expect '200|503'")  # 503 if it waited too long
                await old.play("g expect end")

    uvloop.run(run())


def test_handed_over_listener_of_a_disabled_front_is_closed():
    """Clients of a handed-over listener that is not served would wait in its accept queue."""

    async def run() -> None:
        world = World()
        config = configs.decode_config(await world.configuration(), {})
        listener = socket.create_server(("127.0.0.1", 0))
        link, _ = socket.socketpair()
        with link, listener:
            servers = open_servers(Gateway(config), {}, Takeover(link, {"health": listener}, {}, b""))
            assert listener.fileno() < 0 and [server.name for server in servers] == ["platform"]
        servers[0].sock.close()
        for party in world.parties.values():
            party.server.close()

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
    """HAProxy reads one line: ready with a weight, down without nodes, drain during the shutdown."""

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
