"""Watches that time out: retried at once, unlike rejected ones, but not by all gateways in one moment."""

from __future__ import annotations

import json
import random
from heapq import heappop, heappush

import pytest
import uvloop
from discovery_queue import DiscoveryQueue
from scenario import World, play
from scheduler_rig import Rig
from watch_intervals import ask

from mallowbeam.storage_gateway.scheduler.interface import DiscoveryUpdate, DiscoveryUpdateKind
from mallowbeam.storage_gateway.scheduler.node_health import MAX_WATCH_RETRY_S
from mallowbeam.storage_gateway.server import discovery

MISSED_LIST_LIMIT_S = 6.0  # seconds after a silent break within which the gateway must have the missed list
DRAIN_LIMIT_S = 0.25  # seconds within which a drain must take effect


def test_a_silent_watch_is_asked_anew_at_once_and_a_refused_one_within_a_draw_over_the_whole_time():
    """With the backoff of a rejected call, 200 hosts retried too late to learn of a drain in time."""
    drawn = []
    for seed in range(200):
        rig = Rig(discovery_on_request=True, max_list_age=10.0, hosts=200, seed=seed)
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.FAILED))
        drawn.append(ask(rig))
        rig = Rig(discovery_on_request=True, max_list_age=10.0, hosts=200, seed=seed)
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.TIMED_OUT))
        assert ask(rig) == 0.0
    assert min(drawn) > 0.0 and max(drawn) <= MAX_WATCH_RETRY_S + 0.001
    parts = [sum(n < drawn_at / MAX_WATCH_RETRY_S * 10 <= n + 1 for drawn_at in drawn) for n in range(10)]
    assert min(parts) >= 8 and max(parts) <= 36, "they are spread over all of it"


def test_repeated_timeouts_back_off_until_a_list_arrives():
    """With a discovery that never responds, hosts would otherwise retry as fast as each call times out."""
    rig = Rig(discovery_on_request=True, max_list_age=10.0, hosts=200)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.TIMED_OUT))
    ask(rig)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.TIMED_OUT))
    assert 0.8 * MAX_WATCH_RETRY_S <= ask(rig) <= MAX_WATCH_RETRY_S + 0.001
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2))
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.TIMED_OUT))
    assert ask(rig) == 0.0


@pytest.mark.parametrize("kind", [DiscoveryUpdateKind.TIMED_OUT, DiscoveryUpdateKind.FAILED])
def test_agent_is_retried_within_the_grace_period_of_a_drain(kind):
    """With pushed lists, a drain must take effect from the moment the agent receives it after an outage."""
    rig = Rig(hosts=200)
    for _ in range(500):  # however long the outage is
        rig.step(DiscoveryUpdate(kind))
        assert (
            ask(rig) + discovery.AGENT_RETRY_WAIT_S + discovery.AGENT_TIMEOUT_MARGIN_S <= DRAIN_LIMIT_S + 1e-9
        )


def watch(pushed: bool, draw=lambda: 0.0) -> discovery.Watch:
    return discovery.Watch("127.0.0.1:1", 1, lambda told: None, pushed, draw)


def test_a_call_falls_silent_soon_enough_to_ask_again():
    """After the time-out 1.5 s must be left, as the next call may queue for a second."""
    for pushed in (False, True):
        for drawn in (0.0, 1.0):
            wait, silent = watch(pushed, lambda drawn=drawn: drawn)._call_times()
            assert wait < silent <= MISSED_LIST_LIMIT_S - 1.5


@pytest.mark.parametrize("hosts", [200, 60])
def test_a_fleet_whose_watches_fall_silent_at_one_instant_is_told_before_it_counts(hosts):
    """Discovery can't serve all of them at once, so their waits are randomized."""
    rigs = [
        Rig(discovery_on_request=True, max_list_age=10.0, hosts=hosts, seed=seed) for seed in range(hosts)
    ]
    service, due, told = DiscoveryQueue(120.0), [], set()
    for n, rig in enumerate(rigs):
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2))
        silent = watch(False, random.Random(n).random)._call_times()[1]
        rig.step(DiscoveryUpdate(DiscoveryUpdateKind.TIMED_OUT), after=silent)
        ask(rig)
        heappush(due, (rig.now - 100.0, n, None))
    while due:
        now, n, served = heappop(due)
        if served is None:
            end, good = service.call(now)
            heappush(due, (end, n, good))
        elif served and now <= MISSED_LIST_LIMIT_S:
            told.add(n)
    assert len(told) == hosts


def test_a_watch_that_falls_silent_is_given_up_and_opened_anew(monkeypatch):
    """When discovery is cut off silently, the connection stays open without a response."""
    monkeypatch.setattr(discovery, "LONG_POLL_RANGE_S", (0.1, 0.1))
    monkeypatch.setattr(discovery, "TIMEOUT_MARGIN_S", 0.1)
    play("""
        d expect GET 'since=1&timeout_ms=100'
        d expect end
        d expect GET since=1
    """)


def test_an_agent_is_asked_with_shorter_waits_after_silence_until_it_answers(monkeypatch):
    """A broken connection to the agent looks like a discovery that is down, so drains need fast retries."""
    monkeypatch.setattr(discovery, "AGENT_WAIT_S", 0.15)
    play(
        """
        d expect GET 'since=1&timeout_ms=150'
        d expect GET 'since=1&timeout_ms=100'
        d expect GET 'since=1&timeout_ms=100'
        d send 200 'body={"revision":5,"complete":true,"members":[]}'
        d expect GET 'since=5&timeout_ms=150'
    """,
        pushed=True,
    )


def test_a_call_for_the_whole_list_falls_silent_too(monkeypatch):
    """The discovery of a new configuration may accept the call and never respond."""
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT_S", 0.1)

    async def run() -> None:
        async with World() as here:
            await here.play("d expect GET since=1")
            here.gateway.watch.address = "elsewhere"
            here.gateway.peer.move_discovery(here.parties["d"].address)
            await here.play(r"""
                d expect 'GET /v1/servers\n'
                d expect 'GET /v1/servers\n'
                d send 200 'body={"revision":3,"complete":true,"members":[]}'
                d expect GET since=3
            """)

    uvloop.run(run())


def test_an_indented_list_is_read():
    """The JSON of a list may be indented."""
    text = json.dumps({"revision": 7, "complete": True, "members": []}, indent=4)
    escaped = text.replace("\n", r"\n")
    play(rf"""
        d expect GET since=1
        d send raw 'HTTP/1.1 200 OK\r\ncontent-length: {len(text)}\r\n\r\n{escaped}'
        d expect GET since=7
    """)
