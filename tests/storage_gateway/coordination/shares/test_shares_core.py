"""One core and its division, by hand."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from test_shares_fleet import T, fair, fleet
from test_shares_state_machine import NAMES, demand, log, put

from mallowbeam.storage_gateway.coordination.shares.flow_division import divide_quota
from mallowbeam.storage_gateway.coordination.shares.gateway_core import Propose, SharesCore
from mallowbeam.storage_gateway.coordination.shares.state_machine import CloseEpoch


def closes(actions):
    return [a.entry for a in actions if isinstance(a, Propose) and isinstance(a.entry, CloseEpoch)]


def core(it, **more) -> SharesCore:
    return SharesCore("g0", NAMES, it.states["shares"], 0.0, **more)


def test_a_stopped_gateway_takes_nobody_for_silent():
    it = log()
    demand(it, "g1", {0: 5_000})
    mine = core(it, is_leader=True)
    mine.tick(0.1)
    (told,) = closes(mine.tick(60.0))
    assert told.silent == ()
    later = [entry for at in range(1, 80) for entry in closes(mine.tick(60 + at / 10))]
    assert later[0].silent == () and later[-1].silent == ("g1", "g2")


def test_others_close_an_epoch_when_the_leader_does_not():
    it = log()
    demand(it, "g1", {0: 5_000})
    leader, other = core(it, is_leader=True), core(it)
    assert closes(leader.tick(0.1))  # a policy was pushed: at once
    late = [at / 10 for at in range(1, 60) if closes(other.tick(at / 10))]
    assert T.epoch * (1 + T.patience) <= late[0] <= T.epoch * (1 + T.patience) + 0.2


def test_a_dead_gateway_does_not_keep_epochs_open():
    it = fleet(3).run(10)
    it.kill("g0")
    del it.demand["g0", "a", "n0"], it.demand["g0", "b", "n0"]
    for at in range(12):
        it.demand["g3", "a", "n0"] = 40 + 20 * (at % 2) + at
        it.run(4.5)
    fair(it)
    assert len(it.state.quota.open_epochs) <= 2


def divided(wants, usable):
    """Two tenants at two nodes, 30 for each flow."""
    it = log()
    demand(it, "g0", dict.fromkeys(range(4), 10_000))
    put(it, "g0", CloseEpoch(1))
    granted_rates = dict.fromkeys(range(4), 10_000)
    return divide_quota(it.states["shares"], granted_rates, wants, lambda name: usable.get(name, 10**6))


def test_what_one_flow_does_not_ask_for_is_lent_but_for_a_tenth():
    told = divided({0: 19_000, 2: 0, 1: 10_000, 3: 10_000}, {"n:n0": 20_000, "n:n1": 20_000})
    assert told == {0: 19_000, 1: 10_000, 2: 1_000, 3: 10_000}
    assert divided({}, {}) == dict.fromkeys(range(4), 10_000)


SUMS = st.integers(0, 40_000)


@given(st.dictionaries(st.integers(0, 3), SUMS), st.lists(SUMS, min_size=3, max_size=3))
def test_whatever_is_asked_for_the_sums_fit(wants, sums):
    told = divided(wants, dict(zip(("n:n0", "n:n1", "t:b"), sums, strict=True)))
    assert told[0] + told[2] <= sums[0] and told[1] + told[3] <= sums[1] and told[2] + told[3] <= sums[2]
    assert all(rate >= 0 for rate in told.values())
