"""Calls to discovery that fail, each in its way: what it has is told soon after its return, to any fleet.

A change counts as told 6 s after discovery had it and could be reached, whatever call failed.  The fleets run
on a simulated clock (`simulated.py`): a call that began while discovery was away stays as it is, which is the
worst phase of a return, and each call at the return waits a second in its queue.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from zlib import crc32

import pytest
import uvloop
from scenario import TIMEOUT_S, play
from scheduler_rig import Rig
from simulated import QUEUE, Service, Turns, outage, simulate
from watch_intervals import ask

from mallowbeam.storage_gateway.scheduler import node_health
from mallowbeam.storage_gateway.scheduler.interface import DiscoveryUpdate, DiscoveryUpdateKind
from mallowbeam.storage_gateway.server import discovery

TOLD = 5.45  # seconds after the return by which each host has the news: 6 are granted
GRANTED = 0.26  # the same where lists are pushed
FAILURES = ["refused", "lost", "reset", "silent", "503", "half", "cut"]


@pytest.fixture(autouse=True)
def quiet():
    """A fleet's warnings are written for nobody."""
    discovery.logger.disable("mallowbeam")
    yield
    discovery.logger.enable("mallowbeam")


def through(failing: str, seed: int, hosts: int, delay: Callable, **fleet) -> tuple[list, Service]:
    """A fleet through one outage: after how long each has the news, and the service."""
    service = Service(failing, delay)

    async def run() -> list:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "connect", service.connect)
            return await outage(service, random.Random(seed), hosts, **fleet)

    return simulate(run), service


def test_the_bound_holds_for_the_constants():
    """Guards the drains: from the end of one call to the answer of the next, at worst, it is under 6 s."""
    assert discovery.CONNECT_TIMEOUT <= discovery.ANSWER > QUEUE + discovery.NO_WAIT
    assert discovery.ANSWER + node_health.MAX_WATCH_RETRY + QUEUE <= 5.41
    assert discovery.WAITS[1] + discovery.OVERDUE + QUEUE <= 5.4
    assert discovery.AGENT_RETRY + discovery.AGENT_OVERDUE + node_health.AGENT_RETRY <= 0.25


@pytest.mark.parametrize("hosts", [1, 4, 40, 200, 5000])
def test_a_repeat_never_comes_later_than_the_bound_allows(hosts):
    for seed in range(20):
        rig = Rig(discovery_on_request=True, max_list_age=10.0, hosts=hosts, seed=seed)
        for failures in range(6):
            rig.step(
                DiscoveryUpdate(
                    DiscoveryUpdateKind.FAILED if seed % 2 or failures == 0 else DiscoveryUpdateKind.TIMED_OUT
                )
            )
            least = 0.0 if failures == 0 else 0.8 * min(max(1.0, hosts / 5), node_health.MAX_WATCH_RETRY)
            assert least < ask(rig) <= (1.0 if hosts < 6 else node_health.MAX_WATCH_RETRY) + 0.001


@pytest.mark.parametrize("hosts, runs", [(1, 6), (40, 1), (200, 1)])
@pytest.mark.parametrize("failing", FAILURES)
def test_whatever_call_failed_a_change_is_told_soon_after_the_return(failing, hosts, runs):
    """Guards the drains: at 200 hosts word of them came up to 15 s late."""
    for seed in range(runs):
        waits, _ = through(failing, crc32(failing.encode()) + seed, hosts, lambda: (QUEUE, True))
        assert None not in waits and max(waits) <= TOLD


@pytest.mark.parametrize("hosts", [1, 40, 200])
@pytest.mark.parametrize("failing", FAILURES)
def test_what_an_agent_has_at_its_return_is_told_at_once(failing, hosts):
    """Guards the drains where lists are pushed: a call that began in vain held up the next for a second."""
    waits, _ = through(
        failing, crc32(failing.encode()) + hosts, hosts, lambda: (0.0, True), pushed=True, alive=2
    )
    assert None not in waits and max(waits) <= GRANTED


@pytest.mark.parametrize("failing", ["refused", "reset", "silent"])
def test_calls_at_the_return_are_spread_and_none_of_two_hundred_is_late(failing):
    """Guards discovery, which serves a hundred calls a second and turns away who would wait over a second."""
    waits, service = through(failing, 11, 200, Turns(100.0))
    assert None not in waits and max(waits) <= 6.0
    most = max(
        sum(at <= call < at + 1.0 for call in service.calls) for at in service.calls if at >= service.back
    )
    assert most <= 125  # a second, of openings: 162 to 175 of a reset before the draw


async def told_of(serve: Callable) -> object:
    """What a real watch tells of a call to a server that answers in some odd way."""
    told: asyncio.Queue = asyncio.Queue()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        watch = discovery.Watch("{}:{}".format(*server.sockets[0].getsockname()), 1, told.put_nowait)
        watch.begin()
        async with asyncio.timeout(TIMEOUT_S):
            return await told.get()


@pytest.mark.parametrize(
    "first",
    [
        b"HTTP/1.1 200 OK\r\nx-y: ",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n",
    ],
)
def test_an_answer_at_a_byte_a_time_is_given_up_in_time(monkeypatch, first):
    """Guards the bound: a byte that comes must not give its call more time."""
    monkeypatch.setattr(discovery, "WAITS", (0.1, 0.1))
    monkeypatch.setattr(discovery, "OVERDUE", 0.1)

    async def trickle(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(first)
        with suppress(OSError):
            while not writer.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.01)

    assert uvloop.run(told_of(trickle)) is DiscoveryUpdateKind.TIMED_OUT


@pytest.mark.parametrize(
    "first",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx-y: ",
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n",
    ],
)
def test_an_answer_without_end_is_given_up_at_its_bound(monkeypatch, first):
    """Guards memory: a list has its most bytes, a head too, and a hundred interim answers are no answer."""
    monkeypatch.setattr(discovery, "MAX_LIST", 1 << 18)
    held = []

    async def flood(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        piece = b" " * 65536 if first else b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
        writer.write(first)
        with suppress(OSError):
            while not writer.is_closing():
                writer.write(piece)
                held.append(len(piece))
                await writer.drain()

    assert uvloop.run(told_of(flood)) is DiscoveryUpdateKind.FAILED
    assert sum(held) < 64 << 20  # what the kernel and the two ends hold of it, and no more


@pytest.mark.parametrize(
    "sent",
    [
        "HTTP/1.1 2",
        r"HTTP/1.1 200 OK\r\nx-y: z",
        r"HTTP/1.1 200 OK\r\n\r\n{",
        r"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{}",
    ],
)
@pytest.mark.parametrize("then", ["d end", "d close", ""])
def test_an_answer_that_stops_or_breaks_off_is_a_failed_call(monkeypatch, sent, then):
    """Half a head, half a body: given up by the end, the reset or the time-out, and asked again."""
    monkeypatch.setattr(discovery, "WAITS", (0.1, 0.1))
    monkeypatch.setattr(discovery, "OVERDUE", 0.1)
    monkeypatch.setattr(node_health, "MAX_WATCH_RETRY", 0.02)
    play(f"""
        d expect GET since=1
        d send raw '{sent}'
        {then}
        d expect end
        d expect GET 'since=1&timeout_ms=100'
    """)


def test_the_first_call_after_a_failure_waits_for_next_to_no_news_and_the_later_ones_as_before():
    play("""
        d expect GET 'since=1&timeout_ms=[234]...'
        d send 503
        d expect GET 'since=1&timeout_ms=100'
        d send 200 'body={"revision":1,"complete":false,"members":[]}'
        d expect GET 'since=1&timeout_ms=[234]...'
    """)
