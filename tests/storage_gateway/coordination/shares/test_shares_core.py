"""One gateway's core, and the division of its quotas."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from test_shares_fleet import TIMING, assert_fair, fleet
from test_shares_state_machine import NAMES, apply_entry, make_log, report_demand

from mallowbeam.storage_gateway.coordination.shares.flow_division import divide_quota
from mallowbeam.storage_gateway.coordination.shares.gateway_core import Propose, SharesCore
from mallowbeam.storage_gateway.coordination.shares.state_machine import CloseEpoch


def closes(actions):
    return [a.entry for a in actions if isinstance(a, Propose) and isinstance(a.entry, CloseEpoch)]


def core(log, **more) -> SharesCore:
    return SharesCore("g0", NAMES, log.states["shares"], 0.0, **more)


def test_a_stopped_gateway_takes_nobody_for_silent():
    log = make_log()
    report_demand(log, "g1", {0: 5_000})
    first_core = core(log, is_leader=True)
    first_core.tick(0.1)
    (result,) = closes(first_core.tick(60.0))
    assert result.silent == ()
    later = [entry for at in range(1, 80) for entry in closes(first_core.tick(60 + at / 10))]
    assert later[0].silent == () and later[-1].silent == ("g1", "g2")


def test_others_close_an_epoch_when_the_leader_does_not():
    log = make_log()
    report_demand(log, "g1", {0: 5_000})
    leader, other = core(log, is_leader=True), core(log)
    assert closes(leader.tick(0.1))  # at once after a pushed policy
    closed_at = [at / 10 for at in range(1, 60) if closes(other.tick(at / 10))]
    assert TIMING.epoch * (1 + TIMING.patience) <= closed_at[0] <= TIMING.epoch * (1 + TIMING.patience) + 0.2


def test_a_dead_gateway_does_not_keep_epochs_open():
    simulation = fleet(3).run(10)
    simulation.kill("g0")
    del simulation.demand["g0", "a", "n0"], simulation.demand["g0", "b", "n0"]
    for at in range(12):
        simulation.demand["g3", "a", "n0"] = 40 + 20 * (at % 2) + at
        simulation.run(4.5)
    assert_fair(simulation)
    assert len(simulation.state.quota.open_epochs) <= 2


def divide_between_flows(wanted, usable):
    """Divide the quotas of two tenants at two nodes, with 10 units a second granted to each flow."""
    log = make_log()
    report_demand(log, "g0", dict.fromkeys(range(4), 10_000))
    apply_entry(log, "g0", CloseEpoch(1))
    granted_rates = dict.fromkeys(range(4), 10_000)
    return divide_quota(log.states["shares"], granted_rates, wanted, lambda name: usable.get(name, 10**6))


def test_an_unused_rate_is_lent_except_for_a_tenth():
    result = divide_between_flows({0: 19_000, 2: 0, 1: 10_000, 3: 10_000}, {"n:n0": 20_000, "n:n1": 20_000})
    assert result == {0: 19_000, 1: 10_000, 2: 1_000, 3: 10_000}
    assert divide_between_flows({}, {}) == dict.fromkeys(range(4), 10_000)


SUMS = st.integers(0, 40_000)


@given(st.dictionaries(st.integers(0, 3), SUMS), st.lists(SUMS, min_size=3, max_size=3))
def test_whatever_is_asked_for_the_sums_fit(wanted, sums):
    result = divide_between_flows(wanted, dict(zip(("n:n0", "n:n1", "t:b"), sums, strict=True)))
    assert (
        result[0] + result[2] <= sums[0]
        and result[1] + result[3] <= sums[1]
        and result[2] + result[3] <= sums[2]
    )
    assert all(rate >= 0 for rate in result.values())
