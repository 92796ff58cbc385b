"""The machine: the same everywhere, bounded, and clear in what it refuses."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.storage_gateway.coordination.replicated_log import Refusal, ReplicatedLog
from mallowbeam.storage_gateway.coordination.shares.core_driver import Shares
from mallowbeam.storage_gateway.coordination.shares.demand_encoding import STEPS, BadRows, code, pack, unpack
from mallowbeam.storage_gateway.coordination.shares.demand_meter import LONG, Meter
from mallowbeam.storage_gateway.coordination.shares.quota_rows import trim
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    Close,
    Demand,
    Gone,
    Node,
    Released,
    Setup,
    Share,
    SharesStateMachine,
    targets,
)

NAMES = ("g0", "g1", "g2")
SETUP = Setup(
    {"a": Share(), "b": Share(3000, limit=40_000)}, {"n0": Node(60_000, "x"), "n1": Node(50_000, "x")}
)


@dataclass(frozen=True)
class Push:
    shares: Setup | None


def log(setup=SETUP) -> ReplicatedLog:
    it = ReplicatedLog([SharesStateMachine(NAMES)])
    assert not isinstance(it.push(Push(setup)), Refusal)
    return it


def put(it: ReplicatedLog, by: str, entry):
    told = it.apply(it.encode("shares", by, entry))
    assert told is not None
    return told


def demand(it, by, rows, **more):
    return put(it, by, Demand(it.states["shares"].roll, pack({f: code(r) for f, r in rows.items()}), **more))


@given(st.dictionaries(st.integers(0, 9_999), st.integers(0, len(STEPS) - 1), max_size=40))
def test_rows_come_out_of_their_bytes(rows):
    assert unpack(pack(rows), 10_000) == rows


@given(st.binary(max_size=60))
def test_any_bytes_are_rows_or_refused(body):
    try:
        assert all(0 <= flow < 500 and step < len(STEPS) for flow, step in unpack(body, 500).items())
    except BadRows:
        pass


@given(st.integers(0, 10**9))
def test_a_step_is_never_below_its_rate_and_close_above(rate):
    assert rate <= STEPS[code(rate)] <= rate * 1.004 + 1


def test_every_member_has_the_same_state_and_so_has_a_snapshots_reader():
    one, two = log(), log()
    for it in (one, two):
        demand(it, "g0", {0: 50_000, 2: 40_000})
        demand(it, "g1", {0: 30_000, 3: 30_000})
        put(it, "g2", Close(1))
        put(it, "g1", Gone("n1", True))
        put(it, "g0", Released(1))
    assert one.dump() == two.dump()
    three = ReplicatedLog([SharesStateMachine(NAMES)])
    three.load(one.dump())
    assert three.states == one.states
    state = one.states["shares"]
    rates = [targets(state, name) for name in NAMES]
    assert sum(rate.get(0, 0) + rate.get(2, 0) for rate in rates) <= 60_000
    assert state.dirty == 2 and state.gone == {"n1": ("g1",)}


def test_entries_that_come_late_or_twice_change_nothing():
    it = log()
    assert demand(it, "g0", {0: 5_000}).refusal is None
    assert put(it, "g1", Close(1)).refusal is None
    assert put(it, "g2", Close(1)).refusal is not None
    before = it.states["shares"]
    demand(it, "g0", {0: 5_000})
    assert it.states["shares"] is before
    it.push(Push(Setup({**SETUP.tenants, "0": Share()}, SETUP.nodes)))
    assert put(it, "g0", Demand(before.roll, pack({0: 9}))).refusal is not None
    assert it.states["shares"].total == {2: before.total[0]}  # the same flow under its new number


def test_a_silent_gateway_asks_for_nothing_until_it_reports_again():
    it = log()
    demand(it, "g0", {0: 5_000})
    demand(it, "g1", {0: 9_000})
    put(it, "g2", Gone("n1", True))
    put(it, "g1", Close(1, ("g0", "g2", "nobody")))
    state = it.states["shares"]
    assert state.quiet == ("g0", "g2") and state.total == {0: state.demand["g1"][0]} and not state.gone
    demand(it, "g0", {})
    assert it.states["shares"].quiet == ("g2",)


@pytest.mark.parametrize(
    ("setup", "where"),
    [
        (Setup({"a": Share(0)}), "shares.tenants.a"),
        (Setup({"a": Share(limit=-1)}), "shares.tenants.a"),
        (Setup(nodes={"n": Node(-5)}), "shares.nodes.n"),
        (Setup(probe=900), "shares.probe"),
        (Setup({**SETUP.tenants, "b": Share(limit=10)}, SETUP.nodes), "shares.tenants.b"),
        (Setup(SETUP.tenants, {"n0": Node(1)}), "shares.nodes.n0"),
        (Setup(SETUP.tenants, SETUP.nodes, {"x": 3}), "shares.zones.x"),
    ],
)
def test_a_setup_that_cannot_hold_is_refused_whole(setup, where):
    it = log()
    before = it.states["shares"]
    told = it.push(Push(setup))
    assert isinstance(told, Refusal) and told.where == where and told.remedy
    assert it.states["shares"] is before


@given(st.dictionaries(st.sampled_from("abcdefgh"), st.integers(11, 900), max_size=8), st.integers(100, 3000))
def test_a_trimmed_row_fits_with_the_floors(row, most):
    after = trim(row, most, 10, 8)
    assert sum(after.values()) + 10 * (8 - len(after)) <= most
    assert all(10 < after[name] <= row[name] for name in after)


def test_the_meter_tells_rises_at_once_and_falls_after_some_windows():
    meter, told = Meter(2), {}

    def window(units):
        if units:
            meter.came(1, units)
        rows = meter.window(1.0, told)
        told.update((flow, STEPS[step]) for flow, step in rows.items())
        return bool(rows)

    assert window(10) and not window(10) and window(12)
    assert not any(window(11 + at % 2) for at in range(30))  # a flicker that comes back
    assert [window(5) for _ in range(3)] == [False, False, True]
    assert not any(window(4.7) for _ in range(LONG - 1)) and window(4.7)
    assert [window(0) for _ in range(3)] == [False, False, True] and told[1] == 0
    assert meter.came(2, 1) and not meter.came(2, 1)
    meter.came(3, 1)
    assert not meter.came(4, 1) and 4 not in meter.counts  # full: not counted


def test_the_state_is_plain_data():
    it = log()
    demand(it, "g0", {0: 5_000})
    put(it, "g1", Close(1))
    state = it.states["shares"]
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=type(state)) == state


def test_the_service_hands_on_what_the_core_returns():
    it, entries, allotted = log(), [], {}
    part = Shares(
        "g0",
        NAMES,
        it.states["shares"],
        0.0,
        entries.append,
        lambda tenant, node, rate, of: allotted.update({(tenant, node): rate}),
    )
    part.lease_renewed(0.0, 0.0)
    for at in range(1, 30):
        part.observed("a", "plan", "n0", 2.0, at / 10)
        part.lease_renewed(at / 10, at / 10)
        part.tick(at / 10, leads=True)
        while entries:
            part.committed(put(it, "g0", entries.pop(0)), at / 10)
    assert allotted["a", "n0"] == pytest.approx(20, rel=0.1) and part.describe(3.0)["live"]
    part.node("n0", True, 3.0)
    assert entries == [Gone("n0", True)]
