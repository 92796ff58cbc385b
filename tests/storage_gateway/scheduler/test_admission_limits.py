"""Limits, reserves and what is forgotten of volumes, seen from outside the scheduler."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from itertools import count

import pytest
from scheduler_rig import COLD, Rig, Store, of

from mallowbeam.storage_gateway.scheduler.interface import (
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    NodeEntry,
    NodeState,
    Outcome,
    Plan,
    Reject,
    Send,
    SiblingSend,
    TimerFired,
    UploadProgress,
)


@pytest.mark.parametrize("count", [0, None])
def test_a_volume_of_no_stated_hosts_is_held_to_come_through_all(count):
    rig = Rig(hosts=4)
    rig.wait(5.0)
    sent = sum(
        s.request != ""
        for s in of(
            rig.step(
                *[rig.request(volume="b", plan="basic", units=1, volume_hosts=count) for _ in range(40)]
            ),
            Send,
        )
    )
    assert sent <= 40 / 4


def test_a_new_life_starts_with_its_part_of_the_limit_spent():
    rig = Rig()
    assert of(rig.step(rig.request(plan="basic", volume="b")), Reject)


def test_a_host_draws_only_its_part_of_the_limit():
    rig = Rig()
    sent = 0
    rig.step(rig.request(plan="basic", volume="b", volume_hosts=2))
    for _ in range(300):
        actions = rig.step(rig.request(plan="basic", volume="b", volume_hosts=2), after=0.02)
        for send in of(actions, Send):
            sent += 2
            rig.step(rig.ended(send))
    assert 0.7 * 60 < sent <= 10 * 6.0, "10 units a second, for 6 s, from nothing"


def test_a_first_attempt_whose_connection_never_came_up_takes_nothing_from_the_limit():
    """Day split+mass: units drawn at a full store 0.25 s before any node had them took it past the slack."""
    rig = Rig(nodes=2, limit_at_arrival=True)
    rig.wait(5.0)  # the host's part stands full, as the platform's store does
    store = Store(rig.settings.plans["basic"], rig.now)
    first = of(rig.step(rig.request(plan="basic", volume="b", units=8, shard=None)), Send)[0]
    again = of(rig.step(rig.ended(first, Outcome.NO_CONNECTION), after=0.3), Send)
    assert again, "sent again at once to the other node"
    store.take(rig.now, 8)
    rig.step(rig.ended(again[0], attempt=1))
    for _ in range(100):
        for send in of(rig.step(rig.request(plan="basic", volume="b", shard=None), after=0.02), Send):
            store.take(rig.now, 2)
            rig.step(rig.ended(send))
    assert store.least >= -rig.settings.plans["basic"].limit_slack


def test_a_limit_holds_across_200_hosts_while_a_fifth_of_them_is_cut_off():
    """Day split+mass at 200 gateways: what all hosts of a volume send stays within its one store.

    Each volume comes through one to three hosts in bursts; for 6 s a fifth of the nodes is cut off (attempts
    there end unsent after the connect time, and go again elsewhere); a fifth of the hosts had their list 2 s
    late; answers are lost after the node ran and connections reset under requests, which are sent again.  The
    store counts as the platform does: a request's units go at its first attempt that reached a node.
    """
    bronze = Plan("bronze", limit=12, limit_burst=48, limit_slack=8, price=0.8)
    draw = random.Random(23)
    cut = set(draw.sample(range(200), 40))
    rigs = [
        Rig(
            nodes=0 if n in cut else 10,
            now=0.0,
            hosts=200,
            seed=n,
            limit_at_arrival=True,
            plans={"bronze": bronze},
        )
        for n in range(200)
    ]
    volumes = {f"v{v}": draw.sample(range(200), draw.choice((1, 2, 3))) for v in range(60)}
    stores = {name: Store(bronze, 0.0) for name in volumes}
    due: list[tuple[float, int, int, object]] = []  # when, order, which host, what comes
    order = count()
    for second in range(20):  # each second some volumes are quiet, some surge
        for name, hosts in volumes.items():
            for _ in range(draw.choice((0, 1, 3, 8, 30))):
                heappush(due, (second + draw.random(), next(order), draw.choice(hosts), name))
    listed = DiscoveryUpdate(DiscoveryUpdateKind.CACHED, 1, [NodeEntry(f"n{i}", shard=i) for i in range(10)])
    for n in cut:
        heappush(due, (2.0, next(order), n, listed))  # the list comes 2 s late
    counted: set[str] = set()
    asked: dict[str, tuple[str, int]] = {}  # each request's volume and units
    tries: dict[tuple[int, str], int] = {}
    while due:
        now, _, n, what = heappop(due)
        rig = rigs[n]
        rig.now = now
        if what == "timer":
            if rig.timer is None or rig.timer > now:
                continue
            rig.timer, event = None, TimerFired(0)
        elif isinstance(what, Event):
            event = what
        else:
            event = rig.request(
                request=f"q{next(order)}",
                plan="bronze",
                volume=str(what),
                shard=None,
                volume_hosts=len(volumes[str(what)]),
                units=draw.randint(1, 4),
            )
            asked[event.request] = (event.volume, event.units)
        for send in of(rig.step(event), Send):
            number = tries[n, send.request] = tries.get((n, send.request), -1) + 1
            if 6.0 <= now < 12.0 and send.node in ("n0", "n1"):
                outcome, after = Outcome.NO_CONNECTION, 0.25
            else:
                outcome, after = draw.choices(
                    [
                        (Outcome.OK, 0.05),
                        (Outcome.TIMEOUT, 0.3),
                        (Outcome.RESET, 0.02),
                        (Outcome.NO_CONNECTION, 0.25),
                    ],
                    weights=(80, 8, 7, 5),
                )[0]
            if outcome is not Outcome.NO_CONNECTION and send.request not in counted:
                counted.add(send.request)
                stores[asked[send.request][0]].take(now, asked[send.request][1])
            heappush(due, (now + after, next(order), n, rig.ended(send, outcome, number, after)))
        if rig.timer is not None:
            heappush(due, (rig.timer, next(order), n, "timer"))
    assert len(counted) > 3000
    assert min(store.least for store in stores.values()) >= -bronze.limit_slack


def test_what_never_comes_back_is_forgotten():
    """Guards memory over a long day: replaced nodes, volumes that came once, timers of requests long over."""
    rig = Rig()
    for i in range(1500):
        send = of(rig.step(rig.request(volume=f"v{i}", plan="silver", units=1, expires_in=1.2)), Send)[0]
        rig.step(rig.ended(send))
        rig.wait(0.02)
    for i in range(50):
        rig.step(
            DiscoveryUpdate(
                DiscoveryUpdateKind.DELTA,
                2 + i,
                [NodeEntry(f"m{i}", shard=1), NodeEntry(f"m{i - 1}", NodeState.REMOVED, 1)],
            ),
            after=0.1,
        )
    rig.wait(35.0)
    rig.step(rig.request(units=1))
    assert set(rig.host.state.nodes) == {"n0", "m49"}
    assert len(rig.host.volumes.by_key) == 1 and len(rig.host.state.timers) < 1100


def test_what_is_forgotten_comes_back_under_the_rules():
    """Guards the limit and cold nodes: a new store holds one part and no more, a node is as its list says."""
    rig = Rig(nodes=2, **COLD)
    rig.step(rig.request(plan="basic", volume="b"))
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n1", NodeState.REMOVED, 1)]))
    rig.wait(35.0)
    rig.step(rig.request(units=1))
    assert "n1" not in rig.host.state.nodes and ("b", "basic") not in rig.host.volumes.by_key
    drawn = [of(rig.step(rig.request(plan="basic", volume="b", units=8)), Reject) for _ in range(6)]
    assert drawn[-1] and not drawn[0]
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 3, [NodeEntry("n1", shard=1, started_at=rig.now)]))
    assert of(rig.step(rig.request(plan="silver", volume="s", shard=1)), Reject)


def test_a_store_fills_from_the_start_of_a_life_not_from_its_volume_s_first_request():
    """Day herd: after every return the first request of each limited volume was refused."""
    rig = Rig(hosts=1)
    rig.wait(5.0)
    assert of(rig.step(rig.request(plan="basic", volume="b", units=8)), Send)
    fresh = Rig(hosts=1)
    assert of(fresh.step(fresh.request(plan="basic", volume="b", units=8)), Reject)


def test_a_volume_first_seen_late_in_a_life_has_the_whole_of_its_part():
    """A store began at its bottom with a first request past 30 s of a life, though nothing had been drawn."""
    rig = Rig(hosts=1)
    rig.wait(40.0)
    sent = 0
    for _ in range(20):
        for send in of(rig.step(rig.request(plan="basic", volume="b", units=4)), Send):
            rig.step(rig.ended(send))
            sent += 4
    assert 32 <= sent <= 32 + 8


def test_a_volume_with_a_body_on_its_way_is_not_forgotten():
    """Guards the limit: its units are drawn here and count there only once its last byte is out."""
    rig = Rig(hosts=1, limit_at_arrival=True)
    rig.wait(5.0)
    send = of(rig.step(rig.request(plan="basic", volume="b", units=8)), Send)[0]
    rig.step(UploadProgress(send.request, 0))
    for _ in range(40):
        rig.wait(1.0)
        rig.step(rig.request())
    assert rig.host.volumes.by_key["b", "basic"].uploading_units == 8


@pytest.mark.parametrize(("classes", "reads"), [(("read", "log"), 0.75), (("log",), 0.0)])
def test_where_a_limit_binds_the_class_worth_most_has_it(classes, reads):
    """Lindores' surges: units went to whoever came first, two in five of them to the class worth less."""
    rig = Rig(hosts=1)
    rig.wait(5.0)
    units = dict.fromkeys(("read", "log"), 0)
    for turn in range(1000):
        cls = classes[turn % len(classes)]
        for send in of(rig.step(rig.request(cls, plan="basic", volume="b", units=1), after=0.01), Send):
            units[cls] += 1
            rig.step(rig.ended(send))
    assert units["read"] >= reads * sum(units.values())
    assert sum(units.values()) >= 0.85 * (10.0 * 20 + 32), "what is kept for the dear is not lost"


def test_a_limit_holds_whatever_one_client_says_of_its_volume():
    """Guards the limit: the first request of a volume alone told its plan and how many hosts it has."""
    rig = Rig(hosts=4)
    rig.step(rig.request(plan="gold", volume="b", volume_hosts=1))
    rig.step(rig.request(plan="basic", volume="b", volume_hosts=1), after=1.0)
    rig.step(rig.request(plan="basic", volume="b", volume_hosts=4))
    sent = 0
    for _ in range(100):
        came = rig.request(plan="basic", volume="b", volume_hosts=4)
        for send in of(rig.step(came, after=0.1), Send):
            rig.step(rig.ended(send))
            sent += 2
    assert sent <= 10.0 * 20 / 4 + 32 / 4 + 8 / 4


def test_what_a_sister_process_sends_counts_against_limit_and_cold_node():
    """Guards the rules through an upgrade: two processes are one host, with one store and one part."""
    rig = Rig(nodes=2, **COLD | {"hosts": 1})
    rig.step(SiblingSend("v", "basic", 1, limit_level=20.0))
    rig.step(SiblingSend("v", "basic", 1, "n1", 4, 4))
    assert rig.host.volumes.by_key["v", "basic"].limit_level == pytest.approx(16.0)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n1", shard=1, started_at=rig.now)]))
    rig.step(SiblingSend("v", "gold", 1, "n1", 3, 0))
    assert [send.units for send in rig.host.state.nodes["n1"].slow_start_sends] == [3]


def test_the_limit_counts_a_large_body_from_its_last_byte():
    """Day bulk+slow+pieces, seed 3: stores filled up while bodies still came, and let too much through."""
    rig = Rig(hosts=1)
    rig.step(rig.request("keyed", plan="basic", volume="b", units=1))
    rig.wait(5.0)
    (send,) = of(rig.step(rig.request("keyed", plan="basic", volume="b", units=8)), Send)
    rig.step(UploadProgress(send.request, 0))
    rig.wait(5.0)
    volume = rig.host.volumes.by_key["b", "basic"]
    volume.refill(rig.now)
    assert volume.limit_level == 32 - 8
    rig.step(UploadProgress(send.request, 0, 1.0))
    rig.wait(0.5)
    volume.refill(rig.now)
    assert volume.limit_level == 32
