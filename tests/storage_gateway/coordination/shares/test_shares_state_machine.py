"""The shares' state machine: deterministic, bounded, with clear refusals; and the demand's encoding."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.storage_gateway.coordination.replicated_log import Refusal, ReplicatedLog
from mallowbeam.storage_gateway.coordination.shares.core_driver import SharesDriver
from mallowbeam.storage_gateway.coordination.shares.demand_encoding import (
    RATE_STEPS,
    InvalidDemandError,
    decode_demand,
    encode_demand,
    rate_code,
)
from mallowbeam.storage_gateway.coordination.shares.demand_meter import LONG_TERM_WINDOWS, DemandMeter
from mallowbeam.storage_gateway.coordination.shares.gateway_core import SharesCore
from mallowbeam.storage_gateway.coordination.shares.quota_rows import trim_row
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    CloseEpoch,
    DemandReport,
    NodeCapacity,
    NodeLost,
    QuotaReleased,
    SharesPolicy,
    SharesStateMachine,
    TenantShare,
    granted_rates,
)

NAMES = ("g0", "g1", "g2")
POLICY = SharesPolicy(
    {"a": TenantShare(), "b": TenantShare(3000, limit=40_000)},
    {"n0": NodeCapacity(60_000, "x"), "n1": NodeCapacity(50_000, "x")},
)


@dataclass(frozen=True)
class PushedPolicy:
    shares: SharesPolicy | None


def make_log(policy=POLICY) -> ReplicatedLog:
    log = ReplicatedLog([SharesStateMachine(NAMES)])
    assert not isinstance(log.push(PushedPolicy(policy)), Refusal)
    return log


def apply_entry(log: ReplicatedLog, by: str, entry):
    result = log.apply(log.encode("shares", by, entry))
    assert result is not None
    return result


def report_demand(log, by, rows, **more):
    return apply_entry(
        log,
        by,
        DemandReport(
            log.states["shares"].numbering, encode_demand({f: rate_code(r) for f, r in rows.items()}), **more
        ),
    )


@given(st.dictionaries(st.integers(0, 9_999), st.integers(0, len(RATE_STEPS) - 1), max_size=40))
def test_encoded_demand_decodes_to_the_same_rows(rows):
    assert decode_demand(encode_demand(rows), 10_000) == rows


@given(st.binary(max_size=60))
def test_any_bytes_are_rows_or_refused(body):
    try:
        assert all(
            0 <= flow < 500 and step < len(RATE_STEPS) for flow, step in decode_demand(body, 500).items()
        )
    except InvalidDemandError:
        pass


@given(st.integers(0, 10**9))
def test_a_step_is_never_below_its_rate_and_close_above(rate):
    assert rate <= RATE_STEPS[rate_code(rate)] <= rate * 1.004 + 1


def test_every_member_has_the_same_state_and_so_has_a_snapshots_reader():
    one, two = make_log(), make_log()
    for log in (one, two):
        report_demand(log, "g0", {0: 50_000, 2: 40_000})
        report_demand(log, "g1", {0: 30_000, 3: 30_000})
        apply_entry(log, "g2", CloseEpoch(1))
        apply_entry(log, "g1", NodeLost("n1", True))
        apply_entry(log, "g0", QuotaReleased(1))
    assert one.dump() == two.dump()
    three = ReplicatedLog([SharesStateMachine(NAMES)])
    three.load(one.dump())
    assert three.states == one.states
    state = one.states["shares"]
    rates = [granted_rates(state, name) for name in NAMES]
    assert sum(rate.get(0, 0) + rate.get(2, 0) for rate in rates) <= 60_000
    assert state.recompute == 2 and state.lost_nodes == {"n1": ("g1",)}


def test_entries_that_come_late_or_twice_change_nothing():
    log = make_log()
    assert report_demand(log, "g0", {0: 5_000}).refusal is None
    assert apply_entry(log, "g1", CloseEpoch(1)).refusal is None
    assert apply_entry(log, "g2", CloseEpoch(1)).refusal is not None
    before = log.states["shares"]
    report_demand(log, "g0", {0: 5_000})
    assert log.states["shares"] is before
    log.push(PushedPolicy(SharesPolicy({**POLICY.tenants, "0": TenantShare()}, POLICY.nodes)))
    assert apply_entry(log, "g0", DemandReport(before.numbering, encode_demand({0: 9}))).refusal is not None
    assert log.states["shares"].total_demand == {
        2: before.total_demand[0]
    }  # the same flow under its new number


def test_a_silent_gateway_asks_for_nothing_until_it_reports_again():
    log = make_log()
    report_demand(log, "g0", {0: 5_000})
    report_demand(log, "g1", {0: 9_000})
    apply_entry(log, "g2", NodeLost("n1", True))
    apply_entry(log, "g1", CloseEpoch(1, ("g0", "g2", "nobody")))
    state = log.states["shares"]
    assert (
        state.silent == ("g0", "g2")
        and state.total_demand == {0: state.demand["g1"][0]}
        and not state.lost_nodes
    )
    report_demand(log, "g0", {})
    assert log.states["shares"].silent == ("g2",)


@pytest.mark.parametrize(
    ("policy", "where"),
    [
        (SharesPolicy({"a": TenantShare(0)}), "shares.tenants.a"),
        (SharesPolicy({"a": TenantShare(limit=-1)}), "shares.tenants.a"),
        (SharesPolicy(nodes={"n": NodeCapacity(-5)}), "shares.nodes.n"),
        (SharesPolicy(probe=900), "shares.probe"),
        (SharesPolicy({**POLICY.tenants, "b": TenantShare(limit=10)}, POLICY.nodes), "shares.tenants.b"),
        (SharesPolicy(POLICY.tenants, {"n0": NodeCapacity(1)}), "shares.nodes.n0"),
        (SharesPolicy(POLICY.tenants, POLICY.nodes, {"x": 3}), "shares.zones.x"),
    ],
)
def test_an_invalid_policy_is_refused_as_a_whole(policy, where):
    log = make_log()
    before = log.states["shares"]
    result = log.push(PushedPolicy(policy))
    assert isinstance(result, Refusal) and result.where == where and result.remedy
    assert log.states["shares"] is before


@given(st.dictionaries(st.sampled_from("abcdefgh"), st.integers(11, 900), max_size=8), st.integers(100, 3000))
def test_a_trimmed_row_fits_with_the_floors(row, capacity):
    after = trim_row(row, capacity, 10, 8)
    assert sum(after.values()) + 10 * (8 - len(after)) <= capacity
    assert all(10 < after[name] <= row[name] for name in after)


def test_the_meter_reports_rises_at_once_and_falls_after_some_windows():
    meter, reported = DemandMeter(2), {}

    def window(units):
        if units:
            meter.add(1, units)
        rows = meter.end_window(1.0, reported)
        reported.update((flow, RATE_STEPS[step]) for flow, step in rows.items())
        return bool(rows)

    assert window(10) and not window(10) and window(12)
    assert not any(window(11 + at % 2) for at in range(30))  # fluctuations within the band
    assert [window(5) for _ in range(3)] == [False, False, True]
    assert not any(window(4.7) for _ in range(LONG_TERM_WINDOWS - 1)) and window(4.7)
    assert [window(0) for _ in range(3)] == [False, False, True] and reported[1] == 0
    assert meter.add(2, 1) and not meter.add(2, 1)
    meter.add(3, 1)
    assert not meter.add(4, 1) and 4 not in meter.units  # full: not counted


def test_the_state_is_plain_data():
    log = make_log()
    report_demand(log, "g0", {0: 5_000})
    apply_entry(log, "g1", CloseEpoch(1))
    state = log.states["shares"]
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=type(state)) == state


def test_the_driver_carries_out_the_cores_actions():
    log, entries, allotted = make_log(), [], {}
    driver = SharesDriver(
        SharesCore("g0", NAMES, log.states["shares"], 0.0),
        entries.append,
        lambda tenant, node, rate, of: allotted.update({(tenant, node): rate}),
    )
    driver.lease_renewed(0.0, 0.0)
    for at in range(1, 30):
        driver.observed("a", "n0", 2.0, at / 10)
        driver.lease_renewed(at / 10, at / 10)
        driver.tick(at / 10, is_leader=True)
        while entries:
            driver.committed(apply_entry(log, "g0", entries.pop(0)), at / 10)
    assert allotted["a", "n0"] == pytest.approx(20, rel=0.1) and driver.describe(3.0)["live"]
    driver.node_changed("n0", True, 3.0)
    assert entries == [NodeLost("n0", True)]
