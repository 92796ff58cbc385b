"""The rules and the path of a request, each seen from outside the module."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from itertools import count

import pytest
from conftest import Rig, Store, of

from mallowbeam import interface as io

PROVEN = (io.Outcome.REJECTED, io.Outcome.NO_CONNECTION)
UNPROVEN = (io.Outcome.TIMEOUT, io.Outcome.RESET, io.Outcome.CANCELLED, io.Outcome.ERROR)


def test_idle_node_gets_a_booking_at_once():
    rig = Rig()
    assert [s.node for s in of(rig.step(rig.request()), io.Send)] == ["n0"]


def test_what_no_cycle_finishes_in_time_is_refused_at_once():
    rig = Rig()
    actions = rig.step(*[rig.request(units=8) for _ in range(120)])
    assert of(actions, io.Send)
    assert len(of(actions, io.Refuse)) > 60


def test_no_node_means_a_prompt_refusal():
    rig = Rig(nodes=0)
    assert of(rig.step(rig.request()), io.Refuse)


def test_a_shard_without_a_node_means_a_prompt_refusal():
    rig = Rig(nodes=1)
    assert of(rig.step(rig.request(shard=5)), io.Refuse)


def test_more_worth_pushes_less_worth_out():
    rig = Rig(plans={p.name: p for p in (io.Plan("gold", reserve=1000, price=10.0),
                                         io.Plan("basic", price=0.1))})
    rig.step(*[rig.request(plan="basic", volume="b") for _ in range(60)])
    gold = rig.request(plan="gold", volume="g")
    actions = rig.step(gold) + rig.wait(0.2)
    assert gold.request not in [a.request for a in of(actions, io.Refuse)]


def test_a_silent_node_refuses_early_and_recovers():
    rig = Rig()
    first = of(rig.step(rig.request(), rig.request()), io.Send)[0]
    rig.wait(0.7)
    actions = rig.step(*[rig.request() for _ in range(10)])
    assert len(of(actions, io.Refuse)) >= 8, "only a trickle goes to a node that answers nothing"
    rig.step(rig.ended(first), *[rig.ended(send) for send in of(actions, io.Send)])
    for attempt in list(rig.host.nodes["n0"].out.values()):
        rig.step(rig.ended(io.Send(attempt.request.id, "n0"), io.Outcome.CANCELLED, attempt.number))
    assert of(rig.step(rig.request()), io.Send)


def test_one_slow_answer_does_not_close_a_node():
    rig = Rig()
    for latency in [0.05] * 20 + [0.35]:
        send = of(rig.step(rig.request()), io.Send)[0]
        rig.step(rig.ended(send), after=latency)
    assert of(rig.step(rig.request()), io.Send)


# --- exactly one final answer ------------------------------------------------------------------


@pytest.mark.parametrize("cls", ["read", "log", "keyed"])
def test_an_unanswered_request_ends_once_by_its_deadline(cls):
    rig = Rig()
    rig.step(rig.request(cls))
    actions = rig.wait(rig.settings.classes[cls].deadline + 0.004)
    assert len(of(actions, io.Refuse) + of(actions, io.Fail)) == 1


def test_nothing_is_said_after_the_client_has_gone():
    rig = Rig()
    request = rig.request()
    send = of(rig.step(request), io.Send)[0]
    actions = rig.step(io.ClientGone(request.request)) + rig.step(rig.ended(send, io.Outcome.CANCELLED))
    assert not of(actions + rig.wait(5), io.Refuse) and not of(actions, io.Fail)


def test_events_of_things_unknown_are_ignored():
    rig = Rig()
    assert rig.step(io.ClientGone("nobody"), io.TimerFired(99), io.StreamStarted("x", 0, "n9", 0.1),
                    io.AttemptEnded("x", 0, "n9", io.Outcome.OK, 0.1, True)) == []


def test_a_started_stream_is_left_to_its_client():
    rig = Rig()
    send = of(rig.step(rig.request()), io.Send)[0]
    rig.step(io.StreamStarted(send.request, 0, "n0", 0.1))
    assert rig.wait(10) == []


# --- no effect twice ---------------------------------------------------------------------------


@pytest.mark.parametrize("outcome", UNPROVEN)
def test_unsafe_is_failed_once_it_may_have_run(outcome):
    rig = Rig(nodes=2)
    send = of(rig.step(rig.request("log", shard=None)), io.Send)[0]
    actions = rig.step(rig.ended(send, outcome), after=0.05)
    assert of(actions, io.Fail) and not of(actions, io.Send) and not of(actions, io.Refuse)


@pytest.mark.parametrize("outcome", PROVEN)
def test_unsafe_is_never_failed_while_proven_unrun(outcome):
    rig = Rig(nodes=2)
    send = of(rig.step(rig.request("log", shard=None)), io.Send)[0]
    actions = rig.step(rig.ended(send, outcome), after=0.05) + rig.wait(4)
    assert not of(actions, io.Fail) or len(of(actions, io.Send)) > 0


def test_keyed_is_repeated_only_in_its_group_and_window():
    rig = Rig(nodes=2)
    send = of(rig.step(rig.request("keyed")), io.Send)[0]
    again = rig.step(rig.ended(send, io.Outcome.ERROR), after=0.05)
    assert [s.node for s in of(again, io.Send)] == [send.node]
    late = rig.step(rig.ended(send, io.Outcome.ERROR, attempt=1), after=1.0)
    assert not of(late, io.Send) and of(late, io.Fail)


# --- drains and cold nodes ---------------------------------------------------------------------


@pytest.mark.parametrize("state", [io.NodeState.DRAINING, io.NodeState.GONE])
def test_nothing_new_goes_to_a_node_that_leaves(state):
    rig = Rig(nodes=1)
    rig.step(*[rig.request() for _ in range(12)])
    actions = rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", state)]))
    actions += rig.step(rig.request()) + rig.wait(2)
    assert not of(actions, io.Send)
    assert of(actions, io.Refuse)


def test_a_node_missing_from_a_full_list_is_gone():
    rig = Rig(nodes=2)
    rig.step(io.NodesListed(io.ListKind.FULL, 2, [io.NodeEntry("n1", shard=1)]))
    assert of(rig.step(rig.request()), io.Refuse)


COLD = dict(cold_units=24.0, cold_start=0.2, cold_time=10.0, fall_multiple=2.0, fall_window=2.0, hosts=112)


def cold_share(plan: str, age: float, since: float | None = 999.9) -> int:
    """How many of forty requests one of many hosts sends a node that started so long ago."""
    rig = Rig(nodes=0, now=1000.0, **(COLD | {"hosts": 112, "fall_multiple": 3.0}))
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", shard=0, zone="a", since=since)]))
    rig.wait(age)
    sent = 0
    for i in range(40):
        request = rig.request(units=1, plan=plan, key=f"{i * 2654435769 % 2 ** 32:016x}")
        for send in of(rig.step(request, after=0.05), io.Send):
            sent += 1
            rig.step(rig.ended(send), after=0.02)
    return sent


@pytest.mark.parametrize("since", [999.9, None])
def test_a_cold_node_gets_a_part_of_what_is_inside_reserves(since):
    """Incident iaa0fd1: with 112 hosts a cold node's certain budget is under a unit each, so it idled."""
    assert 5 <= cold_share("gold", 0.0, since) <= 20
    assert cold_share("gold", 0.0, since) < cold_share("gold", 5.0, since)
    assert 0 < cold_share("silver", 0.0, since) < cold_share("gold", 0.0, since)


@pytest.mark.parametrize(("hosts", "age", "least", "most"), [
    (1, 0.0, 12, 13), (4, 0.0, 3, 7), (1, 4.5, 20, 40)])
def test_a_cold_node_gets_each_hosts_even_part_of_what_it_always_bears(hosts, age, least, most):
    """Guards against an idle node: units beyond reserves were barred for the whole time that it was cold."""
    rig = Rig(nodes=0, now=1000.0, **(COLD | {"hosts": hosts, "fall_multiple": 3.0}))
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", shard=0, since=1000.0)]))
    rig.wait(age)
    sent = 0
    for _ in range(60):                        # within less than the rule's window
        for send in of(rig.step(rig.request(units=1, plan="silver"), after=0.02), io.Send):
            sent += 1
            rig.step(rig.ended(send), after=0.005)
    assert least <= sent <= most


def test_one_hosts_surge_at_a_cold_node_is_bounded():
    """Guards against a flare that comes through one host: its part by key alone would tip the node."""
    rig = Rig(nodes=0, now=1000.0, **(COLD | {"hosts": 40}))
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", shard=0, since=1000.0)]))
    sent = 0
    for _ in range(200):                       # within half of the rule's window
        for send in of(rig.step(rig.request(units=1, plan="silver"), after=0.0045), io.Send):
            sent += 1
            rig.step(rig.ended(send))
    assert 4 <= sent <= 24.0 / 4


def test_a_fleet_uses_a_zone_that_returns_cold_and_does_not_push_it_over():
    """Guards against both: 40 hosts with under a unit each left it idle, all they have would tip it.

    A node of 20 units a second at full; the fleet asks for twice that in reads beyond reserves.
    """
    hosts, full, sent = 40, 20.0, []
    settings = dict(cold_units=14.0, cold_start=0.18, cold_time=17.0, fall_multiple=4.0, fall_window=3.0)
    rigs = [Rig(nodes=0, now=1000.0, hosts=hosts, seed=n, **settings) for n in range(hosts)]
    for rig in rigs:
        rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", shard=0, since=1000.0)]))
    for turn in range(240):                    # 6 s, a request of 1 unit each 25 ms: 40 a second
        rig = rigs[turn % hosts]
        rig.wait(1000.0 + turn * 0.025 - rig.now)
        for send in of(rig.step(rig.request(units=1, plan="silver", key=f"{turn:016x}")), io.Send):
            sent.append(turn * 0.025)
            rig.step(rig.ended(send, latency=0.2))
    for first in (0.0, 1.0, 2.0, 3.0):
        least = full * (0.18 + 0.82 * first / 17.0)
        part = sum(first <= at < first + 3.0 for at in sent) / 3.0
        assert 0.4 * least < part < 4.0 * least, "it serves, and nowhere near what tips it"


@pytest.mark.parametrize("told", [True, False])
def test_a_start_that_the_list_tells_ends_the_trickle(told):
    """Guards against a zone that is back: each host barred it until a trickle of its own got through."""
    rig = Rig(now=1000.0, **(COLD | {"hosts": 40}))
    for _ in range(4):
        for send in of(rig.step(rig.request(plan="gold", units=1)), io.Send):
            rig.step(rig.ended(send, io.Outcome.NO_CONNECTION))
    assert rig.host.nodes["n0"].suspect
    since = 999.9 if told else None
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", shard=0, zone="a", since=since)]))
    assert rig.host.nodes["n0"].suspect is not told


def test_repeats_of_a_request_fare_alike_at_a_cold_node():
    """A client's tries must not add up to more chances, or retries would fill a cold node."""
    rig = Rig(now=1000.0, **COLD)
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", shard=0, since=999.9)]))
    fates = []
    for key in ("a", "b", "c", "d"):
        tries = [of(rig.step(rig.request("log", key=key, units=1), after=0.05), io.Send) for _ in range(4)]
        fates.append({bool(sends) for sends in tries})
    assert all(len(fate) == 1 for fate in fates) and {False} in fates


def test_ids_and_keys_of_any_form_are_taken():
    """A host's own ids need not be hexadecimal, and a request may have no key."""
    rig = Rig(nodes=3)
    assert of(rig.step(rig.request(shard=None, key="plan/7"), rig.request(shard=None, key=None)), io.Send)


@pytest.mark.parametrize("count", [0, None])
def test_a_volume_of_no_stated_hosts_is_held_to_come_through_all(count):
    rig = Rig(hosts=4)
    rig.wait(5.0)
    sent = sum(s.request != "" for s in of(rig.step(*[
        rig.request(volume="b", plan="basic", units=1, hosts_of_volume=count) for _ in range(40)]), io.Send))
    assert sent <= 40 / 4


# --- order -------------------------------------------------------------------------------------


def test_requests_of_a_key_take_turns_and_the_key_rests():
    rig = Rig(order_settle=0.2)
    one, two = rig.request("ordered", key="aa"), rig.request("ordered", key="aa")
    sends = of(rig.step(one, two), io.Send)
    assert [s.request for s in sends] == [one.request]
    quiet = rig.step(rig.ended(sends[0], io.Outcome.TIMEOUT), after=0.05) + rig.wait(0.19)
    assert not of(quiet, io.Send)
    assert [s.request for s in of(rig.wait(0.05), io.Send)] == [two.request]


# --- budget ------------------------------------------------------------------------------------


def test_further_attempts_stay_within_the_budget():
    rig = Rig(budget_floor=2.0, budget_share=0.0, budget_window=5.0)
    extras = 0
    for _ in range(8):
        actions = rig.step(rig.request(), after=0.1)
        sends = of(actions, io.Send)
        if sends:
            extras += len(of(rig.step(rig.ended(sends[0], io.Outcome.ERROR)), io.Send))
    assert extras == 2


# --- runs on the same data ----------------------------------------------------------------------


@pytest.mark.parametrize(("keys", "most"), [("k", 8 + 2 * 8), (None, 8)])
def test_what_follows_on_the_same_data_goes_at_once_within_a_bound(keys, most):
    """Lindores' reads come in runs of up to five, and a node does the ones that follow for half the work."""
    rig = Rig()
    out = 0
    for _ in range(12):
        came = rig.request(units=4, **({"key": keys} if keys else {}))
        out += sum(4 for _ in of(rig.step(came), io.Send))
    assert out == most


def test_requests_on_the_same_data_wait_and_go_together():
    """They lay in turn of their aims, so that another's between two of them made the node seek twice."""
    rig = Rig()
    sends = of(rig.step(rig.request(units=8)), io.Send)
    for key in ("a", "b", "a", "b", "a", "b"):
        assert not of(rig.step(rig.request(units=2, key=key)), io.Send)
    order = [send.request for send in of(rig.step(rig.ended(sends[0])), io.Send)]
    assert order == ["r2", "r4", "r6", "r3", "r5", "r7"]


# --- limits ------------------------------------------------------------------------------------


def test_a_new_life_starts_with_its_part_of_the_limit_spent():
    rig = Rig()
    assert of(rig.step(rig.request(plan="basic", volume="b")), io.Refuse)


def test_a_host_draws_only_its_part_of_the_limit():
    rig = Rig()
    sent = 0
    rig.step(rig.request(plan="basic", volume="b", hosts_of_volume=2))
    for _ in range(300):
        actions = rig.step(rig.request(plan="basic", volume="b", hosts_of_volume=2), after=0.02)
        for send in of(actions, io.Send):
            sent += 2
            rig.step(rig.ended(send))
    assert 0.7 * 60 < sent <= 10 * 6.0, "10 units a second, for 6 s, from nothing"


def test_a_first_attempt_whose_connection_never_came_up_takes_nothing_from_the_limit():
    """Day split+mass: units drawn at a full store 0.25 s before any node had them took it past the slack."""
    rig = Rig(nodes=2, limit_at_arrival=True)
    rig.wait(5.0)                              # the host's part stands full, as the platform's store does
    store = Store(rig.settings.plans["basic"], rig.now)
    first = of(rig.step(rig.request(plan="basic", volume="b", units=8, shard=None)), io.Send)[0]
    again = of(rig.step(rig.ended(first, io.Outcome.NO_CONNECTION), after=0.3), io.Send)
    assert again, "sent again at once to the other node"
    store.take(rig.now, 8)
    rig.step(rig.ended(again[0], attempt=1))
    for _ in range(100):
        for send in of(rig.step(rig.request(plan="basic", volume="b", shard=None), after=0.02), io.Send):
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
    bronze = io.Plan("bronze", limit=12, limit_burst=48, limit_slack=8, price=0.8)
    draw = random.Random(23)
    cut = set(draw.sample(range(200), 40))
    rigs = [Rig(nodes=0 if n in cut else 10, now=0.0, hosts=200, seed=n, limit_at_arrival=True,
                plans={"bronze": bronze}) for n in range(200)]
    volumes = {f"v{v}": draw.sample(range(200), draw.choice((1, 2, 3))) for v in range(60)}
    stores = {name: Store(bronze, 0.0) for name in volumes}
    due: list[tuple[float, int, int, object]] = []  # when, order, which host, what comes
    order = count()
    for second in range(20):                   # each second some volumes are quiet, some surge
        for name, hosts in volumes.items():
            for _ in range(draw.choice((0, 1, 3, 8, 30))):
                heappush(due, (second + draw.random(), next(order), draw.choice(hosts), name))
    listed = io.NodesListed(io.ListKind.CACHED, 1, [io.NodeEntry(f"n{i}", shard=i) for i in range(10)])
    for n in cut:
        heappush(due, (2.0, next(order), n, listed))  # the list comes 2 s late
    counted: set[str] = set()
    asked: dict[str, tuple[str, int]] = {}     # each request's volume and units
    tries: dict[tuple[int, str], int] = {}
    while due:
        now, _, n, what = heappop(due)
        rig = rigs[n]
        rig.now = now
        if what == "timer":
            if rig.timer is None or rig.timer > now:
                continue
            rig.timer, event = None, io.TimerFired(0)
        elif isinstance(what, io.Event):
            event = what
        else:
            event = rig.request(request=f"q{next(order)}", plan="bronze", volume=str(what), shard=None,
                                hosts_of_volume=len(volumes[str(what)]), units=draw.randint(1, 4))
            asked[event.request] = (event.volume, event.units)
        for send in of(rig.step(event), io.Send):
            number = tries[n, send.request] = tries.get((n, send.request), -1) + 1
            if 6.0 <= now < 12.0 and send.node in ("n0", "n1"):
                outcome, after = io.Outcome.NO_CONNECTION, 0.25
            else:
                outcome, after = draw.choices([(io.Outcome.OK, 0.05), (io.Outcome.TIMEOUT, 0.3), (
                    io.Outcome.RESET, 0.02), (io.Outcome.NO_CONNECTION, 0.25)], weights=(80, 8, 7, 5))[0]
            if outcome is not io.Outcome.NO_CONNECTION and send.request not in counted:
                counted.add(send.request)
                stores[asked[send.request][0]].take(now, asked[send.request][1])
            heappush(due, (now + after, next(order), n, rig.ended(send, outcome, number, after)))
        if rig.timer is not None:
            heappush(due, (rig.timer, next(order), n, "timer"))
    assert len(counted) > 3000
    assert min(store.least for store in stores.values()) >= -bronze.limit_slack


# --- discovery ---------------------------------------------------------------------------------


def test_on_request_discovery_is_watched_and_asked_again_after_a_failure():
    rig = Rig(discovery_on_request=True, ask_every=10.0)
    assert of(rig.first, io.Watch)
    rig.step(io.NodesListed(io.ListKind.FAILED))
    assert len(of(rig.wait(1.0), io.Watch)) == 1


# --- failures found on the bench, each without it ----------------------------------------------


def fill(rig: Rig, **fields) -> list[io.Send]:
    """Requests until the node's room is taken; returns what went out."""
    return of(rig.step(*[rig.request(**fields) for _ in range(12)]), io.Send)


def test_aim_of_a_further_try_runs_from_the_first():
    """Incidents i19e2f3, i9b74b3: retries were booked as if their aim began anew, and came late."""
    rig = Rig()
    rig.step(rig.request(expires_in=1.2))
    fresh, again = rig.request(expires_in=1.2), rig.request(expires_in=1.0)
    rig.step(again, fresh)
    aims = {r.id: r.aim_at - rig.now for r in rig.host.requests.values()}
    assert aims[fresh.request] > 0.24 and abs(aims[again.request] - 0.05) < 1e-6


def test_cheap_units_leave_room_once_dear_ones_were_lost():
    """Incidents i19e2f3, i48321c: bulk, which can wait, took every slot that came free."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    node.price, node.price_at = 3.0, rig.now
    assert not of(rig.step(*[rig.request(volume="c", plan="silver", units=1) for _ in range(8)]), io.Send)
    assert len(of(rig.step(rig.request(volume="d", plan="gold", units=2)), io.Send)) == 1, "room was left"


def test_room_left_for_dearer_units_is_used_at_the_last_chance_unless_the_node_is_at_work():
    """Day bulk+slow+pieces: with nothing out, requests waited for a price to fall until they were refused."""
    for busy in (False, True):
        rig = Rig()
        node = rig.host.nodes["n0"]
        if busy:
            assert of(rig.step(rig.request(units=1)), io.Send)
        node.price, node.price_at = 30.0, rig.now
        cheap = rig.request(volume="c", plan="silver", units=1)
        assert not of(rig.step(cheap), io.Send)
        seen = rig.wait(0.24)
        sent = {action.request for action in of(seen, io.Send)}
        assert (cheap.request in sent) is not busy


def test_a_request_larger_than_the_room_is_paced():
    """Incident i48321c: with twelve hosts, 'idle nodes get bookings at once' kept nodes full."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    first = of(rig.step(rig.request(units=2)), io.Send)[0]
    node.window, node.n_latency = 1.0, 0.1
    rig.step(rig.ended(first), after=0.01)
    node.window = 1.0
    assert not of(rig.step(rig.request("log", units=2)), io.Send)
    assert of(rig.wait(0.25), io.Send)


def test_one_costly_request_does_not_close_a_node():
    """Quiet days: a lone request of many times the usual work made its node look silent."""
    rig = Rig()
    rig.step(rig.request("log", units=8))
    rig.wait(0.39)
    assert not rig.host.nodes["n0"].suspect
    assert not of(rig.step(rig.request("log", units=1)), io.Refuse)


def test_an_attempt_ends_at_the_aim_it_was_sent_in_time_for():
    """Big days: with many hosts the bookings wait at the node, behind work already late for its clients."""
    rig = Rig()
    send = of(rig.step(rig.request()), io.Send)[0]
    assert abs(send.timeout - 0.25) < 1e-6
    assert of(rig.step(rig.ended(send, io.Outcome.TIMEOUT), after=0.25), io.Refuse)


def test_late_and_cheap_is_refused_at_once():
    """Incident ic3bbc9: late bookings were held to their deadline, then refused."""
    rig = Rig()
    rig.step(rig.request(expires_in=1.2))
    node = rig.host.nodes["n0"]
    node.price, node.price_at = 4.0, rig.now
    assert of(rig.step(rig.request(expires_in=0.9)), io.Refuse), "its aim has passed already"


def test_a_cut_connection_puts_a_node_on_a_trickle():
    rig = Rig()
    sends = fill(rig, units=1)
    rig.step(*[rig.ended(send, io.Outcome.NO_CONNECTION) for send in sends[:2]])
    assert rig.host.nodes["n0"].suspect
    assert len(of(rig.wait(0.24), io.Send)) <= 1


@pytest.mark.parametrize(("outcome", "count"), [(io.Outcome.NO_CONNECTION, 1), (io.Outcome.RESET, 3)])
def test_single_broken_connections_close_no_node(outcome, count):
    """Guards a node that answers between them: it was held cold for seconds after each."""
    rig = Rig(**COLD)
    for _ in range(4):
        send = of(rig.step(rig.request(units=1)), io.Send)[0]
        for attempt in range(count):
            send = of(rig.step(rig.ended(send, outcome, attempt), after=0.01), io.Send)[0]
        rig.step(rig.ended(send, attempt=count), after=0.01)
        assert of(rig.step(rig.request(plan="silver", volume="s")), io.Send)


def test_one_odd_deadline_makes_no_other_client_late():
    """Guards the aim, which runs from a first try: that was told by the longest time of any client."""
    rig = Rig()
    rig.step(rig.request(expires_in=3600.0, volume="odd"))
    send = of(rig.step(rig.request(expires_in=1.2)), io.Send)[0]
    assert abs(rig.host.requests[send.request].aim_at - rig.now - 0.25) < 0.01


def test_what_never_comes_back_is_forgotten():
    """Guards memory over a long day: replaced nodes, volumes that came once, timers of requests long over."""
    rig = Rig()
    for i in range(1500):
        send = of(rig.step(rig.request(volume=f"v{i}", plan="silver", units=1, expires_in=1.2)), io.Send)[0]
        rig.step(rig.ended(send))
        rig.wait(0.02)
    for i in range(50):
        rig.step(io.NodesListed(io.ListKind.CHANGES, 2 + i, [
            io.NodeEntry(f"m{i}", shard=1), io.NodeEntry(f"m{i - 1}", io.NodeState.GONE, 1)]), after=0.1)
    rig.wait(35.0)
    rig.step(rig.request(units=1))
    assert set(rig.host.nodes) == {"n0", "m49"}
    assert len(rig.host.volumes) == 1 and len(rig.host.timers) < 1100


def test_timers_of_requests_that_are_over_do_not_pile_up():
    """Guards memory against clients whose deadlines lie hours ahead."""
    rig = Rig()
    for _ in range(3000):
        for send in of(rig.step(rig.request(units=1, expires_in=3600.0), after=0.002), io.Send):
            rig.step(rig.ended(send))
    assert len(rig.host.timers) < 2000


def test_what_is_forgotten_comes_back_under_the_rules():
    """Guards the limit and cold nodes: a new store holds one part and no more, a node is as its list says."""
    rig = Rig(nodes=2, **COLD)
    rig.step(rig.request(plan="basic", volume="b"))
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n1", io.NodeState.GONE, 1)]))
    rig.wait(35.0)
    rig.step(rig.request(units=1))
    assert "n1" not in rig.host.nodes and ("b", "basic") not in rig.host.volumes
    drawn = [of(rig.step(rig.request(plan="basic", volume="b", units=8)), io.Refuse) for _ in range(6)]
    assert drawn[-1] and not drawn[0]
    rig.step(io.NodesListed(io.ListKind.CHANGES, 3, [io.NodeEntry("n1", shard=1, since=rig.now)]))
    assert of(rig.step(rig.request(plan="silver", volume="s", shard=1)), io.Refuse)


def test_a_store_fills_from_the_start_of_a_life_not_from_its_volume_s_first_request():
    """Day herd: after every return the first request of each limited volume was refused."""
    rig = Rig(hosts=1)
    rig.wait(5.0)
    assert of(rig.step(rig.request(plan="basic", volume="b", units=8)), io.Send)
    fresh = Rig(hosts=1)
    assert of(fresh.step(fresh.request(plan="basic", volume="b", units=8)), io.Refuse)


def test_a_volume_first_seen_late_in_a_life_has_the_whole_of_its_part():
    """A store began at its bottom with a first request past 30 s of a life, though nothing had been drawn."""
    rig = Rig(hosts=1)
    rig.wait(40.0)
    sent = 0
    for _ in range(20):
        for send in of(rig.step(rig.request(plan="basic", volume="b", units=4)), io.Send):
            rig.step(rig.ended(send))
            sent += 4
    assert 32 <= sent <= 32 + 8


def test_a_volume_with_a_body_on_its_way_is_not_forgotten():
    """Guards the limit: its units are drawn here and count there only once its last byte is out."""
    rig = Rig(hosts=1, limit_at_arrival=True)
    rig.wait(5.0)
    send = of(rig.step(rig.request(plan="basic", volume="b", units=8)), io.Send)[0]
    rig.step(io.Upload(send.request, 0))
    for _ in range(40):
        rig.wait(1.0)
        rig.step(rig.request())
    assert rig.host.volumes["b", "basic"].coming == 8


@pytest.mark.parametrize(("classes", "reads"), [(("read", "log"), 0.75), (("log",), 0.0)])
def test_where_a_limit_binds_the_class_worth_most_has_it(classes, reads):
    """Lindores' surges: units went to whoever came first, two in five of them to the class worth less."""
    rig = Rig(hosts=1)
    rig.wait(5.0)
    units = dict.fromkeys(("read", "log"), 0)
    for turn in range(1000):
        cls = classes[turn % len(classes)]
        for send in of(rig.step(rig.request(cls, plan="basic", volume="b", units=1), after=0.01), io.Send):
            units[cls] += 1
            rig.step(rig.ended(send))
    assert units["read"] >= reads * sum(units.values())
    assert sum(units.values()) >= 0.85 * (10.0 * 20 + 32), "what is kept for the dear is not lost"


def test_a_limit_holds_whatever_one_client_says_of_its_volume():
    """Guards the limit: the first request of a volume alone told its plan and how many hosts it has."""
    rig = Rig(hosts=4)
    rig.step(rig.request(plan="gold", volume="b", hosts_of_volume=1))
    rig.step(rig.request(plan="basic", volume="b", hosts_of_volume=1), after=1.0)
    rig.step(rig.request(plan="basic", volume="b", hosts_of_volume=4))
    sent = 0
    for _ in range(100):
        came = rig.request(plan="basic", volume="b", hosts_of_volume=4)
        for send in of(rig.step(came, after=0.1), io.Send):
            rig.step(rig.ended(send))
            sent += 2
    assert sent <= 10.0 * 20 / 4 + 32 / 4 + 8 / 4


def test_discovery_is_asked_again_within_seconds_however_often_it_failed():
    """Guards drains: they count as told a few seconds later, whether word of them came or not."""
    rig = Rig(discovery_on_request=True)
    for _ in range(2000):                      # no overflow either, however long discovery is down
        rig.step(io.NodesListed(io.ListKind.FAILED))
        assert of(rig.wait(1.5), io.Watch)


@pytest.mark.parametrize(("cls", "again"), [("read", True), ("keyed", True), ("log", False)])
def test_an_attempt_that_later_ones_pass_is_given_up_and_sent_again(cls, again):
    """Guards against a connection that fell silent at a node that lives: it took the rest of the aim."""
    rig = Rig(max_attempts=4)
    for _ in range(20):
        rig.step(rig.ended(of(rig.step(rig.request(units=1)), io.Send)[0]), after=0.005)
        rig.wait(0.1)
    stuck = of(rig.step(rig.request(cls, units=1)), io.Send)[0]
    cancels = []
    for _ in range(8):
        send = of(rig.step(rig.request(units=1)), io.Send)[0]
        cancels += of(rig.step(rig.ended(send), after=0.005) + rig.wait(0.01), io.Cancel)
    assert cancels == ([io.Cancel(stuck.request, 0)] if again else [])
    ended = rig.step(rig.ended(stuck, io.Outcome.CANCELLED))
    assert bool(of(ended, io.Send)) == again
    assert rig.host.nodes["n0"].n_latency < 0.03, "it tells nothing of the node's speed"


@pytest.mark.parametrize("outcome", [io.Outcome.ERROR, io.Outcome.REJECTED, io.Outcome.NOT_SENT])
def test_after_its_last_attempt_a_request_is_answered_at_once(outcome):
    """Guards the client: what can't be sent any more was held to its deadline."""
    rig = Rig(max_attempts=2)
    send = of(rig.step(rig.request(units=1)), io.Send)[0]
    seen = rig.step(rig.ended(send, outcome), after=0.01) + rig.wait(0.15)
    assert of(rig.step(rig.ended(of(seen, io.Send)[0], outcome, 1)), io.Refuse)


def test_new_objects_keep_away_from_a_node_that_fails_at_once():
    """Guards against a node that answers everything with an error: always idle, it drew all new objects."""
    rig = Rig(nodes=2, max_attempts=4)
    for _ in range(3):                         # reads must go there, and are tried again
        sends = of(rig.step(rig.request(units=1, shard=0)), io.Send)
        for attempt in range(4):
            sends = of(rig.step(rig.ended(sends[0], io.Outcome.ERROR, attempt), after=0.001), io.Send)
    assert rig.host.nodes["n0"].fails
    assert rig.host.nodes["n0"].cycle_used < 12, "what fails at once takes no slot"
    sends = [of(rig.step(rig.request("log", units=1, shard=None, volume="w")), io.Send) for _ in range(4)]
    assert {send.node for sent in sends for send in sent} == {"n1"}
    while rig.host.nodes["n0"].fails:
        send, = of(rig.step(rig.request(units=1, shard=0)), io.Send)
        rig.step(rig.ended(send), after=0.05)


def test_a_keyed_write_that_may_have_run_is_booked_where_it_may_run_again():
    """Guards against a booking that can't be sent: it waited at another node until its deadline."""
    rig = Rig(nodes=8)
    first = of(rig.step(rig.request("keyed", shard=None, units=1)), io.Send)[0]
    for node in rig.host.nodes.values():
        node.held = rig.now + 9.0              # nothing goes out: where it is booked can be seen
    rig.host.nodes[first.node].window = 0.0    # any other node has an earlier hole
    rig.step(rig.ended(first, io.Outcome.ERROR), after=0.01)
    holder, = [node for node in rig.host.nodes.values() if node.queue]
    assert holder.zone == rig.host.nodes[first.node].zone


@pytest.mark.parametrize("outcome", [io.Outcome.NO_CONNECTION, io.Outcome.RESET])
def test_a_node_not_reached_is_taken_for_cold_until_the_list_tells(outcome):
    """Incident ibf7f54: nodes came back before the list said so, and all hosts at once pushed them over."""
    rig = Rig(nodes=3, **COLD)
    count = {io.Outcome.NO_CONNECTION: 2, io.Outcome.RESET: 6}[outcome]
    *broken, last = [of(rig.step(rig.request(units=1)), io.Send)[0] for _ in range(count + 1)]
    rig.step(*[rig.ended(send, outcome) for send in broken], after=0.01)
    rig.step(rig.ended(last), after=0.3)
    assert not of(rig.step(rig.request(plan="silver", volume="s")), io.Send)
    rig.wait(4.0)
    assert of(rig.step(rig.request(plan="silver", volume="s")), io.Send)


def test_what_a_silence_taught_is_soon_forgotten():
    """Townsville rough-1: attempts cancelled at nodes cut off taught them a latency that outlived the cut."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    sends = fill(rig, units=1)
    rig.wait(1.0)
    rig.step(*[rig.ended(send, io.Outcome.CANCELLED) for send in sends[1:]])
    rig.step(rig.ended(sends[0]))
    rig.wait(3.0)
    for _ in range(6):
        send = of(rig.step(rig.request("log", units=2), after=0.5), io.Send)[0]
        rig.step(rig.ended(send), after=0.05)
    assert node.n_latency < 0.15


def test_a_host_with_an_answer_in_seconds_believes_the_last_one():
    """Kolkata-later overload: answers smoothed by count took minutes to tell that every node was full."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    for _ in range(4):
        send = of(rig.step(rig.request("log", units=2), after=2.0), io.Send)[0]
        rig.step(rig.ended(send), after=0.05)
    send = of(rig.step(rig.request("log", units=2), after=2.0), io.Send)[0]
    rig.step(rig.ended(send), after=0.14)
    assert node.n_latency > 0.1


def test_at_a_crowded_node_spare_units_are_left_out_first():
    """Big days: with one request out a host, only latency tells that others have filled the node."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    for _ in range(8):
        for send in of(rig.step(rig.request(units=1)), io.Send):
            rig.step(rig.ended(send), after=0.18)
    assert node.out_units == 0 and 0.12 < node.n_latency < 0.2
    assert not of(rig.step(rig.request(units=1, volume="s", plan="silver", shard=0)), io.Send)
    assert of(rig.step(rig.request("log", units=1)), io.Send), "what is inside the reserve still goes"


def test_a_host_that_heard_only_bad_of_all_its_nodes_tries_again():
    """Townsville-later big-1: the prior stood at 0.75 s with no answer of late, and all was refused."""
    rig = Rig(nodes=4)
    for node in rig.host.nodes.values():
        node.mean, node.weight = 3.0, 5.0
    rig.step(after=1.0)
    assert rig.host.prior > 0.5
    for _ in range(12):
        rig.step(after=1.0)
    assert of(rig.step(rig.request()), io.Send)


def test_a_cancelled_attempt_teaches_that_a_node_is_slow():
    """Incident i48321c: crowded nodes looked quick, as only what came back in time was counted."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    slow, quick = of(rig.step(rig.request(units=1), rig.request(units=1)), io.Send)
    before = node.n_latency
    rig.step(rig.ended(quick), after=0.05)
    middle = node.n_latency
    rig.step(rig.ended(slow, io.Outcome.CANCELLED), after=0.3)
    assert node.n_latency > max(before, middle)


def out_by_hand(rig: Rig, out: bool, node: str = "n0") -> list[io.Action]:
    return rig.step(io.ByHand(node, out), after=0.1)


def test_what_only_a_node_out_by_hand_could_serve_is_refused_at_once_and_whatever_the_list_says():
    """Guards the operators' word: a list, whole or in part, must not lift it; one call back does."""
    rig = Rig(nodes=2, **COLD | {"hosts": 1})
    out_by_hand(rig, True)
    out_by_hand(rig, True)
    for kind in (io.ListKind.CHANGES, io.ListKind.FULL):
        rig.step(io.NodesListed(kind, 2, [io.NodeEntry("n0", shard=0), io.NodeEntry("n1", shard=1)]))
        assert of(rig.step(rig.request()), io.Refuse)
    assert of(rig.step(rig.request(shard=None)), io.Send)[0].node == "n1"
    out_by_hand(rig, False)
    assert of(rig.step(rig.request(units=1)), io.Send)[0].node == "n0"


def test_what_waited_at_a_node_and_what_comes_back_from_it_goes_there_no_more():
    """Guards the drain rule: a try again is new work too."""
    rig = Rig(nodes=1)
    sends = fill(rig, units=1)
    waiting = [name for name, request in rig.host.requests.items() if not request.out]
    refused = of(out_by_hand(rig, True), io.Refuse)
    assert {action.request for action in refused} == set(waiting) and waiting
    seen = rig.step(rig.ended(sends[0], io.Outcome.REJECTED), after=0.05) + rig.wait(0.1)
    assert of(seen, io.Refuse) and not of(seen, io.Send)


@pytest.mark.parametrize(("told", "cold_from"), [(None, "back"), (50.0, "back"), ("now", "told")])
def test_a_node_called_back_is_cold_from_the_latest_start_there_can_have_been(told, cold_from):
    """Guards a node that its operators restarted: no list has told of that yet, unless it has."""
    rig = Rig(nodes=2, **COLD | {"hosts": 1})
    node = rig.host.nodes["n0"]
    out_by_hand(rig, True)
    since = rig.now + 0.5 if told == "now" else told
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n0", since=since)]), after=1.0)
    out_by_hand(rig, False)
    assert node.cold_from == (since if cold_from == "told" else rig.now)
    rig.step(io.NodesListed(io.ListKind.CHANGES, 3, [io.NodeEntry("n0", since=rig.now - 0.5)]))
    assert node.cold_from == rig.now - 0.5, "what the list tells of a start later counts"
    assert of(rig.step(rig.request(units=1)), io.Send), "and it is tried again at once"


def test_what_a_sister_process_sends_counts_against_limit_and_cold_node():
    """Guards the rules through an upgrade: two processes are one host, with one store and one part."""
    rig = Rig(nodes=2, **COLD | {"hosts": 1})
    rig.step(io.SentBeside("v", "basic", 1, level=20.0))
    rig.step(io.SentBeside("v", "basic", 1, "n1", 4, 4))
    assert rig.host.volumes["v", "basic"].limit_level == pytest.approx(16.0)
    rig.step(io.NodesListed(io.ListKind.CHANGES, 2, [io.NodeEntry("n1", shard=1, since=rig.now)]))
    rig.step(io.SentBeside("v", "gold", 1, "n1", 3, 0))
    assert [units for _, units in rig.host.nodes["n1"].cold_sent] == [3]


def test_no_time_runs_while_a_large_body_comes_and_it_goes_out_only_once():
    """Guards slow clients: their time counts from the last byte, and what has been passed on is gone."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    send, = of(rig.step(rig.request("keyed", units=2)), io.Send)
    rig.step(io.Upload(send.request, 0))
    assert node.out_units == 0, "its node has nothing to do yet"
    assert not rig.wait(30.0) and not node.suspect
    rig.step(io.Upload(send.request, 0, 3.0))
    assert node.out_units == 2 and rig.host.requests[send.request].deadline == rig.now + 3.0
    seen = rig.step(rig.ended(send, io.Outcome.REJECTED), after=0.05) + rig.wait(0.5)
    assert of(seen, io.Refuse) and not of(seen, io.Send)
    assert node.out_units == 0


def test_a_large_body_that_never_comes_to_its_end_is_ended_with_its_attempt():
    rig = Rig()
    send, = of(rig.step(rig.request("keyed", units=2)), io.Send)
    rig.step(io.Upload(send.request, 0))
    assert of(rig.step(rig.ended(send, io.Outcome.NOT_SENT), after=9.0), io.Refuse)
    assert not rig.host.requests and rig.host.nodes["n0"].out_units == 0


def test_the_limit_counts_a_large_body_from_its_last_byte():
    """Day bulk+slow+pieces, seed 3: stores filled up while bodies still came, and let too much through."""
    rig = Rig(hosts=1)
    rig.step(rig.request("keyed", plan="basic", volume="b", units=1))
    rig.wait(5.0)
    send, = of(rig.step(rig.request("keyed", plan="basic", volume="b", units=8)), io.Send)
    rig.step(io.Upload(send.request, 0))
    rig.wait(5.0)
    volume = rig.host.volumes["b", "basic"]
    volume.refill(rig.now)
    assert volume.limit_level == 32 - 8
    rig.step(io.Upload(send.request, 0, 1.0))
    rig.wait(0.5)
    volume.refill(rig.now)
    assert volume.limit_level == 32


def test_an_answer_that_has_begun_gives_its_node_free_and_teaches_its_first_byte():
    """Guards the others: a client that reads slowly kept its units out at the node, and made it look slow."""
    rig = Rig()
    node = rig.host.nodes["n0"]
    send, = of(rig.step(rig.request(units=2)), io.Send)
    rig.step(io.StreamStarted(send.request, 0, "n0", 0.05), after=0.05)
    before = node.n_latency
    assert node.out_units == 0 and not rig.wait(9.0)
    rig.step(rig.ended(send, io.Outcome.OK))
    assert node.mean < 0.1 and node.n_latency <= max(before, rig.host.prior) and not rig.host.requests


def test_a_node_that_is_not_the_place_is_asked_once_and_not_taken_for_full():
    """Day bulk+slow+pieces: reads of data that lies elsewhere went out four times, and closed windows."""
    rig = Rig()
    send, = of(rig.step(rig.request(units=2)), io.Send)
    window = rig.host.nodes["n0"].window
    seen = rig.step(rig.ended(send, io.Outcome.ASTRAY), after=0.01)
    assert of(seen, io.Refuse) and not of(seen, io.Send)
    assert rig.host.nodes["n0"].window == window and rig.host.nodes["n0"].held <= rig.now


class OneQueue:
    """Discovery as one service: calls in turn, `rate` a second, and whoever has waited 2 s is turned away.

    Work on a call is not undone by its caller's patience, as in any queue whose clients give up.
    """

    PATIENCE, ROOM = 2.0, 40

    def __init__(self, rate: float) -> None:
        self.work, self.free_at, self.ends = 1.0 / rate, 0.0, []

    def call(self, now: float) -> tuple[float, bool]:
        """When a call that comes now ends, and whether it was served."""
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= self.ROOM:
            return now, False
        self.free_at = max(self.free_at, now) + self.work
        self.ends.append(self.free_at)
        return min(self.free_at, now + self.PATIENCE), self.free_at <= now + self.PATIENCE


@pytest.mark.parametrize(("hosts", "rate", "within"), [(40, 8.0, 16.0), (4, 8.0, 1.0)])
def test_a_fleet_that_asks_discovery_at_one_instant_is_told_in_the_end(hosts, rate, within):
    """Guards against hosts that ask again sooner than discovery can serve all.

    At an interval of a second none but the first was told in 25 s; doubled from 0.5 s, it took 18.6 s.
    """
    rigs = [Rig(discovery_on_request=True, ask_every=10.0, hosts=hosts, seed=seed) for seed in range(hosts)]
    service, told, now = OneQueue(rate), set(), 0.0
    due = [(0.0, n, None) for n in range(hosts)]  # when, which host, how its call ended (None: it begins)
    while due and now < within:
        now, n, served = heappop(due)          # no two of one host, so nothing beyond it is compared
        if served is None:
            end, good = service.call(now)
            heappush(due, (end, n, good))
        elif served:
            told.add(n)
        else:
            rigs[n].step(io.NodesListed(io.ListKind.FAILED), after=100.0 + now - rigs[n].now)
            assert of(rigs[n].wait(rigs[n].timer - rigs[n].now), io.Watch)
            heappush(due, (rigs[n].now - 100.0, n, None))
    assert len(told) == hosts
