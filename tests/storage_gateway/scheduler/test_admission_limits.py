"""Limits, reserves and the expiry of volumes, through the scheduler's interface."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from itertools import count

import pytest
from scheduler_rig import SLOW_START_SETTINGS, LimitBucket, Rig, of

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
def test_a_volume_without_a_host_count_is_limited_as_if_through_all_hosts(count):
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


def test_a_new_scheduler_starts_with_its_share_of_the_limit_spent():
    rig = Rig()
    assert of(rig.step(rig.request(plan="basic", volume="b")), Reject)


def test_a_host_uses_only_its_share_of_the_limit():
    rig = Rig()
    sent = 0
    rig.step(rig.request(plan="basic", volume="b", volume_hosts=2))
    for _ in range(300):
        actions = rig.step(rig.request(plan="basic", volume="b", volume_hosts=2), after=0.02)
        for send in of(actions, Send):
            sent += 2
            rig.step(rig.ended(send))
    assert 0.7 * 60 < sent <= 10 * 6.0, "10 units a second, for 6 s, from nothing"


def test_an_attempt_without_a_connection_is_not_charged_to_the_limit():
    """Charging 0.25 s before a node had the units overdrew the bucket beyond its slack (split+mass)."""
    rig = Rig(nodes=2, limit_at_arrival=True)
    rig.wait(5.0)  # the host's share of the bucket is full, as the platform's bucket is
    bucket = LimitBucket(rig.settings.plans["basic"], rig.now)
    first = of(rig.step(rig.request(plan="basic", volume="b", units=8, shard=None)), Send)[0]
    again = of(rig.step(rig.ended(first, Outcome.NO_CONNECTION), after=0.3), Send)
    assert again, "retried at once at the other node"
    bucket.take(rig.now, 8)
    rig.step(rig.ended(again[0], attempt=1))
    for _ in range(100):
        for send in of(rig.step(rig.request(plan="basic", volume="b", shard=None), after=0.02), Send):
            bucket.take(rig.now, 2)
            rig.step(rig.ended(send))
    assert bucket.lowest_level >= -rig.settings.plans["basic"].limit_slack


def test_a_limit_holds_across_200_hosts_with_partitions_and_late_lists():
    """All hosts of a volume together stay within its limit (scenario split+mass at 200 gateways).

    Each volume is used through one to three hosts in bursts.  For 6 s a fifth of the nodes is unreachable:
    attempts there end unsent after the connect time and are retried elsewhere.  A fifth of the hosts gets its
    list 2 s late.  Answers are lost after the node ran, and connections are reset; these requests are
    retried.  The bucket counts as the platform does: units are charged at the first attempt that reached a
    node.
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
    buckets = {name: LimitBucket(bronze, 0.0) for name in volumes}
    due: list[tuple[float, int, int, object]] = []  # time, order, host, event
    order = count()
    for second in range(20):  # each second some volumes are idle and some surge
        for name, hosts in volumes.items():
            for _ in range(draw.choice((0, 1, 3, 8, 30))):
                heappush(due, (second + draw.random(), next(order), draw.choice(hosts), name))
    listed = DiscoveryUpdate(DiscoveryUpdateKind.CACHED, 1, [NodeEntry(f"n{i}", shard=i) for i in range(10)])
    for n in cut:
        heappush(due, (2.0, next(order), n, listed))  # the list comes 2 s late
    counted: set[str] = set()
    charges: dict[str, tuple[str, int]] = {}  # volume and units by request
    attempt_numbers: dict[tuple[int, str], int] = {}
    while due:
        now, _, n, entry = heappop(due)
        rig = rigs[n]
        rig.now = now
        if entry == "timer":
            if rig.timer is None or rig.timer > now:
                continue
            rig.timer, event = None, TimerFired(0)
        elif isinstance(entry, Event):
            event = entry
        else:
            event = rig.request(
                request=f"q{next(order)}",
                plan="bronze",
                volume=str(entry),
                shard=None,
                volume_hosts=len(volumes[str(entry)]),
                units=draw.randint(1, 4),
            )
            charges[event.request] = (event.volume, event.units)
        for send in of(rig.step(event), Send):
            number = attempt_numbers[n, send.request] = attempt_numbers.get((n, send.request), -1) + 1
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
                buckets[charges[send.request][0]].take(now, charges[send.request][1])
            heappush(due, (now + after, next(order), n, rig.ended(send, outcome, number, after)))
        if rig.timer is not None:
            heappush(due, (rig.timer, next(order), n, "timer"))
    assert len(counted) > 3000
    assert min(bucket.lowest_level for bucket in buckets.values()) >= -bronze.limit_slack


def test_unused_nodes_volumes_and_timers_are_dropped():
    """Memory must not grow with replaced nodes, volumes used once, or timers of ended requests."""
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


def test_dropped_volumes_and_nodes_return_under_the_rules():
    """A dropped volume returns with one share of its bucket, a dropped node with the start in its list."""
    rig = Rig(nodes=2, **SLOW_START_SETTINGS)
    rig.step(rig.request(plan="basic", volume="b"))
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n1", NodeState.REMOVED, 1)]))
    rig.wait(35.0)
    rig.step(rig.request(units=1))
    assert "n1" not in rig.host.state.nodes and ("b", "basic") not in rig.host.volumes.by_key
    answers = [of(rig.step(rig.request(plan="basic", volume="b", units=8)), Reject) for _ in range(6)]
    assert answers[-1] and not answers[0]
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 3, [NodeEntry("n1", shard=1, started_at=rig.now)]))
    assert of(rig.step(rig.request(plan="silver", volume="s", shard=1)), Reject)


def test_a_bucket_refills_from_the_schedulers_start_not_from_the_first_request():
    """Otherwise the first request of each limited volume is rejected after every restart (scenario herd)."""
    rig = Rig(hosts=1)
    rig.wait(5.0)
    assert of(rig.step(rig.request(plan="basic", volume="b", units=8)), Send)
    fresh = Rig(hosts=1)
    assert of(fresh.step(fresh.request(plan="basic", volume="b", units=8)), Reject)


def test_a_volume_first_used_late_has_its_full_share():
    """A bucket started empty if its first request came over 30 s after the start, though it was unused."""
    rig = Rig(hosts=1)
    rig.wait(40.0)
    sent = 0
    for _ in range(20):
        for send in of(rig.step(rig.request(plan="basic", volume="b", units=4)), Send):
            rig.step(rig.ended(send))
            sent += 4
    assert 32 <= sent <= 32 + 8


def test_a_volume_with_a_body_on_its_way_is_not_forgotten():
    """Its units are charged here, but count at the platform only when the last byte is sent."""
    rig = Rig(hosts=1, limit_at_arrival=True)
    rig.wait(5.0)
    send = of(rig.step(rig.request(plan="basic", volume="b", units=8)), Send)[0]
    rig.step(UploadProgress(send.request, 0))
    for _ in range(40):
        rig.wait(1.0)
        rig.step(rig.request())
    assert rig.host.volumes.by_key["b", "basic"].uploading_units == 8


@pytest.mark.parametrize(("classes", "reads"), [(("read", "log"), 0.75), (("log",), 0.0)])
def test_a_scarce_limit_goes_to_the_most_valuable_class(classes, reads):
    """In order of arrival, two in five units of a surge went to the less valuable class."""
    rig = Rig(hosts=1)
    rig.wait(5.0)
    units = dict.fromkeys(("read", "log"), 0)
    for turn in range(1000):
        cls = classes[turn % len(classes)]
        for send in of(rig.step(rig.request(cls, plan="basic", volume="b", units=1), after=0.01), Send):
            units[cls] += 1
            rig.step(rig.ended(send))
    assert units["read"] >= reads * sum(units.values())
    assert sum(units.values()) >= 0.85 * (
        10.0 * 20 + 32
    ), "units kept for valuable requests must not stay unused"


def test_a_limit_holds_whatever_host_count_a_client_states():
    """The first request of a volume alone must not fix its plan and its host count."""
    rig = Rig(hosts=4)
    rig.step(rig.request(plan="gold", volume="b", volume_hosts=1))
    rig.step(rig.request(plan="basic", volume="b", volume_hosts=1), after=1.0)
    rig.step(rig.request(plan="basic", volume="b", volume_hosts=4))
    sent = 0
    for _ in range(100):
        request = rig.request(plan="basic", volume="b", volume_hosts=4)
        for send in of(rig.step(request, after=0.1), Send):
            rig.step(rig.ended(send))
            sent += 2
    assert sent <= 10.0 * 20 / 4 + 32 / 4 + 8 / 4


def test_units_sent_by_a_sibling_process_count_for_limit_and_warming_node():
    """During an upgrade two processes are one host, with one bucket and one share."""
    rig = Rig(nodes=2, **SLOW_START_SETTINGS | {"hosts": 1})
    rig.step(SiblingSend("v", "basic", 1, limit_level=20.0))
    rig.step(SiblingSend("v", "basic", 1, "n1", 4, 4))
    assert rig.host.volumes.by_key["v", "basic"].limit_level == pytest.approx(16.0)
    rig.step(DiscoveryUpdate(DiscoveryUpdateKind.DELTA, 2, [NodeEntry("n1", shard=1, started_at=rig.now)]))
    rig.step(SiblingSend("v", "gold", 1, "n1", 3, 0))
    assert [send.units for send in rig.host.state.nodes["n1"].slow_start_sends] == [3]


def test_the_limit_counts_a_large_body_from_its_last_byte():
    """Buckets refilled during uploads and then admitted too much (scenario bulk+slow+pieces, seed 3)."""
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
