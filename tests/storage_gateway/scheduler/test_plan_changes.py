"""Changes of plans and allotments at run time: levels carry over, and nothing is granted twice."""

from __future__ import annotations

import random
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count

import pytest
from scheduler_rig import PLANS, LimitBucket, Rig, make_settings, of

from mallowbeam.storage_gateway.scheduler import gateway_host
from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    Event,
    Outcome,
    Plan,
    PlanChanged,
    Reject,
    Send,
    SiblingSend,
    TimerFired,
)
from mallowbeam.storage_gateway.scheduler.volume_table import FORGET_AFTER_S
from mallowbeam.storage_gateway.scheduler.volumes import Volume

BASIC = next(plan for plan in PLANS if plan.name == "basic")


def sent(rig: Rig, seconds: float, plan: str = "basic", every: float = 0.02, **fields) -> int:
    """Units sent within `seconds` under constant demand."""
    units, end = 0, rig.now + seconds
    while rig.now < end:
        request = rig.request(**{"units": 1, "plan": plan, "volume": "b"} | fields)
        for send in of(rig.step(request, after=every), Send):
            rig.step(rig.ended(send, latency=0.01))
            units += 1
    return units


def test_a_limit_raised_or_lowered_holds_from_then_on():
    rig = Rig()
    rig.wait(5.0)
    sent(rig, 5.0)
    assert sent(rig, 5.0) == pytest.approx(100, abs=8)
    rig.step(PlanChanged(replace(BASIC, limit=8.0)))
    assert sent(rig, 5.0) == pytest.approx(40, abs=8)
    rig.step(PlanChanged(replace(BASIC, limit=30.0)))
    assert sent(rig, 5.0) == pytest.approx(150, abs=8)


def test_a_grown_burst_is_not_full_at_once_and_a_shrunk_one_is_clipped():
    rig = Rig()
    rig.step(rig.request(plan="basic", volume="b"))
    rig.wait(5.0)
    volume = rig.host.volumes.by_key["b", "basic"]
    rig.step(PlanChanged(replace(BASIC, limit_burst=64)))
    assert volume.limit_level == 32.0
    rig.step(PlanChanged(replace(BASIC, limit_burst=10)))
    assert volume.limit_level == 10.0
    rig.step(PlanChanged(BASIC))
    assert volume.limit_level == 10.0
    rig.wait(0.5)
    volume.refill(rig.now)
    assert volume.limit_level == pytest.approx(20.0)


def test_debt_remains_and_added_slack_starts_empty():
    """The host that gave up the slack may have spent it: the gain must refill first."""
    rig = Rig()
    rig.step(SiblingSend("b", "basic", 1, limit_level=-7.0))
    volume, owed = rig.host.volumes.by_key["b", "basic"], -7.0
    rig.step(PlanChanged(BASIC, "b", limit_share=0.5))
    assert volume.limit_level == owed
    rig.step(PlanChanged(BASIC, "b", limit_share=1.0))
    assert volume.limit_level == owed - 4.0
    assert not of(rig.step(rig.request(plan="basic", volume="b", units=1)), Send)


def test_a_plan_that_gets_a_limit_starts_with_an_empty_bucket():
    rig = Rig()
    rig.wait(5.0)
    assert sent(rig, 2.0, "silver") > 50
    rig.step(PlanChanged(Plan("silver", price=0.5, limit=10.0, limit_burst=40.0, limit_slack=6.0)))
    assert of(rig.step(rig.request(plan="silver", volume="b", units=1)), Reject)
    assert 25 <= sent(rig, 4.0, "silver") <= 40


def test_an_upload_from_before_a_limit_is_not_refunded_to_it():
    """Units that were never charged would otherwise be refunded when the attempt is not sent."""
    rig = Rig(limit_at_arrival=True)
    (send,) = of(rig.step(rig.request(plan="silver", volume="b", units=8)), Send)
    rig.step(PlanChanged(Plan("silver", limit=10.0, limit_burst=40.0, limit_slack=6.0)))
    rig.step(rig.ended(send, Outcome.NOT_SENT))
    assert rig.host.volumes.by_key["b", "silver"].limit_level <= -6.0


def test_bookings_that_wait_are_judged_by_the_new_plan():
    """A limit of almost 0 holds queued requests back; removing the limit releases them."""
    for limit, burst, goes in ((0.001, 0.0, False), (0.0, 0.0, True)):
        rig = Rig()
        rig.wait(5.0)
        (first,) = of(rig.step(rig.request(plan="basic", volume="b", units=8)), Send)
        waits = rig.request("log", plan="basic", volume="b", units=4)
        assert rig.step(waits) == []
        rig.step(PlanChanged(Plan("basic", limit=limit, limit_burst=burst)))
        seen = rig.step(rig.ended(first, latency=0.01), after=0.01) + rig.wait(0.1)
        assert (waits.request in {send.request for send in of(seen, Send)}) is goes


def test_a_weight_moves_the_sharing_of_a_node():
    plans = {name: Plan(name, weight=1.0) for name in ("one", "two")}
    shares = []
    for weight in (1.0, 8.0):
        rig, served, sends = Rig(plans=plans), {"one": 0, "two": 0}, []
        rig.step(PlanChanged(Plan("one", weight=weight)))
        names = {}
        for turn in range(3000):
            plan = ("one", "two")[turn % 2]
            request = rig.request(plan=plan, volume=plan, units=2, expires_in=0.4)
            names[request.request] = plan
            sends += [(rig.now + 0.08, send) for send in of(rig.step(request, after=0.005), Send)]
            while sends and sends[0][0] <= rig.now:
                send = sends.pop(0)[1]
                served[names[send.request]] += 1
                sends += [(rig.now + 0.08, more) for more in of(rig.step(rig.ended(send)), Send)]
        shares.append(served["one"] / sum(served.values()))
    assert 0.4 < shares[0] < 0.6 and shares[1] > shares[0] + 0.1


def test_a_reserve_that_is_given_fills_from_nothing_and_one_taken_is_gone():
    rig = Rig()
    rig.step(rig.request(plan="silver", volume="s"))
    volume = rig.host.volumes.by_key["s", "silver"]
    rig.step(PlanChanged(Plan("silver", reserve=20.0, price=0.5)))
    assert volume.reserve_level == 0.0
    rig.wait(0.5)
    request = rig.request(plan="silver", volume="s", units=1)
    rig.step(request)
    assert rig.host.state.requests[request.request].tier == 0
    rig.step(PlanChanged(Plan("silver", price=0.5)))
    assert volume.reserve_level <= 0.0


def test_queued_requests_have_the_value_of_the_new_plan():
    """The value must not be fixed when a request arrives."""
    rig = Rig(plans={"one": Plan("one")})
    rig.step(rig.request(units=8, plan="one", volume="one"))
    rig.step(rig.request("log", units=8, plan="one", volume="one"))
    waits = rig.host.state.nodes["n0"].queue[0][2]
    before = waits.unit_value
    rig.step(PlanChanged(Plan("one", price=20.0)))
    rig.wait(0.05)
    assert not waits.done and waits.unit_value >= 20 * before and rig.host.volumes.max_unit_value == 20 * 3


def test_a_limit_share_moves_between_two_hosts():
    rigs = [Rig(hosts=2), Rig(hosts=2)]
    for rig in rigs:
        rig.wait(5.0)
        sent(rig, 5.0, volume_hosts=2)
    rigs[0].step(PlanChanged(BASIC, "b", limit_share=0.1))
    rigs[1].step(PlanChanged(BASIC, "b", limit_share=0.9))
    assert sent(rigs[0], 5.0, volume_hosts=2) == pytest.approx(10, abs=5)
    assert sent(rigs[1], 5.0, volume_hosts=2) == pytest.approx(90, abs=8)
    assert sent(rigs[1], 5.0, volume="other", volume_hosts=2) < 80, "other volumes keep their shares"


def test_an_allotment_for_a_shard_counts_separately_and_takes_queued_requests_over():
    rig = Rig(nodes=2)
    rig.wait(5.0)
    (first,) = of(rig.step(rig.request(plan="basic", volume="b", units=8)), Send)
    rig.step(rig.request("log", plan="basic", volume="b", units=4))
    volume = rig.host.volumes.by_key["b", "basic"]
    assert volume.pending_units == 4
    own = Plan("basic", limit=5.0, limit_burst=5.0)
    rig.step(PlanChanged(own, "b", shard=0))
    shard_volume = rig.host.volumes.by_key["b", "basic", 0]
    assert (volume.pending_units, shard_volume.pending_units) == (0, 4)
    rig.step(rig.ended(first))
    rig.wait(4.0)
    assert sent(rig, 5.0, shard=0) <= 5 * 5 + 5
    assert sent(rig, 2.0, shard=1) > 32 + 2 * 15, "the other shards have their own bucket"
    rig.step(SiblingSend("b", "basic", 1, "n0", 9, 9), SiblingSend("b", "basic", 1, "n1", 2, 2))
    assert shard_volume.limit_level < -2.0, "units that a sibling process sent to that shard count there, too"
    rig.now += 0.2
    volume.refill(rig.now)
    owed, level = shard_volume.limit_level + (rig.now - shard_volume.refilled_at) * 5.0, volume.limit_level
    assert owed < 0.0
    rig.step(PlanChanged(BASIC, "b", shard=0))
    assert volume.limit_level == pytest.approx(level + owed), "the debt remains"
    assert ("b", "basic", 0) not in rig.host.volumes.by_key
    assert ("b", "basic", 0) not in rig.host.volumes.plans
    assert shard_volume.pending_units == 0
    assert sent(rig, 5.0, shard=0) == pytest.approx(100, abs=15)


def test_an_allotment_outlives_its_dropped_volume_and_ends_when_revoked():
    rig = Rig()
    rig.wait(5.0)
    rig.step(PlanChanged(replace(BASIC, limit=4.0), "b"))
    sent(rig, 1.0)
    rig.step(PlanChanged(replace(BASIC, limit=10.0)))
    assert rig.host.volumes.by_key["b", "basic"].plan.limit == 4.0
    sent(rig, 5.0)
    rig.wait(FORGET_AFTER_S + 5.0)
    rig.step(rig.request(units=1))
    assert ("b", "basic") not in rig.host.volumes.by_key and not rig.host.volumes.changed_at
    sent(rig, 12.0)
    assert sent(rig, 5.0) == pytest.approx(20, abs=4), "its own limit, not the plan's"
    rig.step(PlanChanged(replace(BASIC, limit=10.0), "b"))
    assert ("b", "basic") not in rig.host.volumes.plans
    assert sent(rig, 5.0) == pytest.approx(50, abs=6)


@pytest.mark.parametrize("volume", ["", "b"])
def test_an_unknown_volume_starts_with_the_empty_bucket_of_a_new_plan(volume):
    """It counted as refilled for 30 s under a plan that took effect just before."""
    rig = Rig()
    rig.wait(60.0)
    rig.step(PlanChanged(replace(BASIC, limit_burst=320.0), volume))
    assert of(rig.step(rig.request(plan="basic", volume="b")), Reject)
    assert sent(rig, 2.0) <= 40


def test_the_adapter_applies_plans_rejects_invalid_ones_and_exports_them(monkeypatch):
    host = gateway_host.SchedulerHost(make_settings(), 100.0)
    assert host.change_plan(100.0, replace(BASIC, limit=5.0)) == gateway_host.Orders()
    host.change_plan(100.0, replace(BASIC, limit=3.0), "b", shard=1, limit_share=0.25)
    for bad in (
        {"plan": replace(BASIC, limit=-1.0)},
        {"plan": BASIC, "limit_share": 1.5},
        {"plan": BASIC, "shard": 2},
        {"plan": replace(BASIC, weight=float("inf"))},
    ):
        with pytest.raises(gateway_host.InvalidPlanError) as caught:
            host.change_plan(100.0, **bad)
        assert caught.value.remedy
    monkeypatch.setattr(gateway_host, "MAX_ALLOTMENTS", 4)
    with pytest.raises(gateway_host.TooManyAllotmentsError):
        host.change_plan(100.0, BASIC, "c", limit_share=0.5)
    host.change_plan(100.0, replace(BASIC, limit=2.0), "b", shard=1)
    successor = gateway_host.SchedulerHost(make_settings(), 101.0)
    successor.import_state(101.0, host.export_state(101.0))
    assert successor._scheduler.volumes.plans == host._scheduler.volumes.plans


def fleet(high: Plan, low: Plan) -> list[LimitBucket]:
    """200 hosts with 60 volumes over one to three of them; limits and shares change under load.

    Half of the volumes have allotments whose shares move between their hosts.  The plan is raised (the
    platform first, then host after host) and later lowered (host after host, then the platform).  The buckets
    count as the platform does: units are charged at the first attempt that reached a node.
    """
    draw = random.Random(29)
    rigs = [
        Rig(nodes=6, now=0.0, hosts=200, seed=n, limit_at_arrival=True, plans={"p": low}) for n in range(200)
    ]
    hosts = {f"v{v}": draw.sample(range(200), draw.choice((1, 2, 3))) for v in range(60)}
    moving = [name for v, name in enumerate(hosts) if v < 30]
    buckets, held = {name: LimitBucket(low, 0.0) for name in hosts}, {n: low for n in range(200)}
    shares = {(name, n): 1.0 / len(hosts[name]) for name in moving for n in hosts[name]}
    due, order = [], count()

    def at(when: float, n: int, entry: object) -> None:
        heappush(due, (when, next(order), n, entry))

    for second in range(20):
        for name, through in hosts.items():
            for _ in range(draw.choice((0, 3, 8, 30))):
                at(second + draw.random(), draw.choice(through), name)
        for name in draw.sample(moving, 12):
            at(second + draw.random(), 0, ("move", name, 0.0))
    for n in range(200):
        at(7.0 + draw.random(), n, high)
        at(13.0 + draw.random(), n, low)
    at(7.0, 0, ("platform", high, 0.0))
    at(14.0, 0, ("platform", low, 0.0))
    charges, attempt_numbers, counted = {}, {}, set()
    while due:
        now, _, n, entry = heappop(due)
        events: list[Event] = []
        if entry == "timer":
            if rigs[n].timer is None or rigs[n].timer > now:
                continue
            rigs[n].timer, events = None, [TimerFired(0)]
        elif isinstance(entry, Plan):
            held[n] = entry
            events = [
                PlanChanged(entry),
                *(
                    PlanChanged(entry, name, limit_share=share)
                    for (name, where), share in shares.items()
                    if where == n
                ),
            ]
        elif isinstance(entry, tuple) and entry[0] == "platform":
            for bucket in buckets.values():
                bucket.change(now, entry[1])
        elif isinstance(entry, tuple):  # one host's share shrinks first, and another's grows by as much later
            _, name, freed = entry
            if not freed:
                n = draw.choice(hosts[name])
                freed = 0.7 * shares[name, n]
                at(now + 0.3 * draw.random(), draw.choice(hosts[name]), ("move", name, freed))
                freed = -freed
            shares[name, n] += freed
            events = [PlanChanged(held[n], name, limit_share=shares[name, n])]
        elif isinstance(entry, AttemptEnded):
            events = [entry]
        else:
            events = [
                rigs[n].request(
                    request=f"q{next(order)}",
                    plan="p",
                    volume=entry,
                    shard=None,
                    volume_hosts=len(hosts[entry]),
                    units=draw.randint(1, 4),
                )
            ]
            charges[events[0].request] = (entry, events[0].units)
        rigs[n].now = now
        for send in of(rigs[n].step(*events), Send):
            number = attempt_numbers[send.request] = attempt_numbers.get(send.request, -1) + 1
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
            at(now + after, n, rigs[n].ended(send, outcome, number, after))
        if rigs[n].timer is not None:
            at(rigs[n].timer, n, "timer")
    assert len(counted) > 3000
    return list(buckets.values())


LOW_PLAN = Plan("p", limit=12, limit_burst=48, limit_slack=8, price=0.8)
HIGH_PLAN = replace(LOW_PLAN, limit=24, limit_burst=96)


def test_a_limit_holds_across_200_hosts_while_plans_and_shares_change():
    assert min(bucket.lowest_level for bucket in fleet(HIGH_PLAN, LOW_PLAN)) >= -LOW_PLAN.limit_slack


def lowest_level_while_share_moves() -> float:
    """The lowest bucket level while a limit share moves between two hosts that use all they may."""
    rigs, bucket = [Rig(nodes=16, hosts=2), Rig(nodes=16, hosts=2)], LimitBucket(BASIC, 100.0)
    for rig in rigs:
        rig.step(PlanChanged(BASIC, "b", limit_share=0.5), rig.request(plan="basic", volume="b"))
        rig.wait(5.0)
    for turn in range(12):
        for n in (turn % 2, 1 - turn % 2) if turn else ():  # the host that loses share is informed first
            rigs[n].step(PlanChanged(BASIC, "b", limit_share=(0.05, 0.95)[n != turn % 2]))
        for rig in rigs:
            for shard in range(32):
                request = rig.request(plan="basic", volume="b", units=1, shard=shard % 16)
                for send in of(rig.step(request), Send):
                    bucket.take(rig.now, 1)
                    rig.step(rig.ended(send, latency=0.01))
        for rig in rigs:
            rig.wait(0.01)
    return bucket.lowest_level


def test_a_limit_share_that_moves_to_and_fro_grants_nothing_twice():
    assert -BASIC.limit_slack <= lowest_level_while_share_moves() < 0.0


def without_carry_over(monkeypatch, broken: str) -> None:
    set_plan = Volume.set_plan

    def without(self: Volume, plan: Plan, limit_share: float | None, now: float) -> None:
        self.refill(now)
        slack, before, level = self.plan.limit_slack / self.share_count(), self.plan, self.limit_level
        set_plan(self, plan, limit_share, now)
        if before.limit:
            gained = max(0.0, plan.limit_slack / self.share_count() - slack)
            self.limit_level = {
                "full": plan.limit_burst / self.share_count(),
                "slack": self.limit_level + gained,
                "forgiven": max(level, 0.0),
            }[broken]

    monkeypatch.setattr(Volume, "set_plan", without)


def test_without_the_carry_over_the_limit_of_a_fleet_breaks(monkeypatch):
    """The check can fail: each bucket counts as full at a change."""
    without_carry_over(monkeypatch, "full")
    assert min(bucket.lowest_level for bucket in fleet(HIGH_PLAN, LOW_PLAN)) < -LOW_PLAN.limit_slack


@pytest.mark.parametrize("broken", ["full", "slack", "forgiven"])
def test_without_the_carry_over_a_moving_limit_share_breaks_the_limit(monkeypatch, broken):
    """The check can fail: bucket full at each change, added slack granted at once, debt forgiven."""
    without_carry_over(monkeypatch, broken)
    assert lowest_level_while_share_moves() < -BASIC.limit_slack
