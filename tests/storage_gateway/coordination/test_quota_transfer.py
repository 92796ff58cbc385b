"""Shrink before grow: the replicated state's functions, and one gateway's view, by hand."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.quota_epochs import (
    MAX_OPEN_EPOCHS,
    Bounds,
    EpochTarget,
    FloorsExceedCapacityError,
    InvalidTargetError,
    QuotaEpochs,
    TooManyOpenEpochsError,
    next_epoch,
    release,
)
from mallowbeam.storage_gateway.coordination.quota_transfer import (
    NEVER,
    QuotaTransfer,
    Release,
    TransferTiming,
)

NAMES = ("a", "b", "c")


def floor(resource, holder):
    return 1


def ten(resource):
    return 10


def opened(*epochs, handed=None):
    handed = handed or QuotaEpochs[int](holders=NAMES)
    for rows in epochs:
        handed = next_epoch(handed, rows, Bounds(floor, ten))
    return handed


def resumed(me, handed, now, started_at=NEVER, **settings):
    """A new incarnation's view of the log's state, before any heartbeat of it is committed."""
    core = QuotaTransfer(me, handed.holders, floor, TransferTiming(4.0, **settings), started_at)
    core.restore(handed, now)
    return core


def view(me, handed, **settings):
    core = resumed(me, handed, 0.0, **settings)
    core.lease_renewed(0.0)
    return core


# --- the replicated side --------------------------------------------------------------------------


def test_an_epoch_names_the_awaited_releases_and_is_complete_after_them():
    handed = opened({"x": {"a": 8}}, {"x": {"b": 7, "c": 2}})
    assert (handed.epoch, handed.base_epoch, handed.awaited_releases) == (2, 1, {"a": 2})
    assert release(handed, "b", 2).base_epoch == 1
    assert release(handed, "a", 1).base_epoch == 1
    done = release(handed, "a", 2)
    assert (done.base_epoch, done.open_epochs, done.rows) == (2, (), {"x": {"b": 7, "c": 2}})
    assert release(done, "a", 2) is done and release(done, "a", 3) is done and release(done, "who", 1) is done


def test_epochs_complete_in_order():
    handed = opened({"x": {"a": 8}, "y": {"b": 8}}, {"y": {"b": 8}}, {})
    assert handed.awaited_releases == {"a": 2, "b": 3}
    assert release(handed, "b", 3).base_epoch == 1  # a still owes the one before it
    assert release(release(handed, "b", 3), "a", 2).base_epoch == 3
    assert release(release(handed, "b", 3), "a", 2).rows == {}


def test_unchanged_amounts_open_no_epoch_and_gains_alone_complete_at_once():
    handed = opened({"x": {"a": 4}})
    assert next_epoch(handed, {"x": {"a": 4}}, Bounds(floor, ten)) is handed
    assert next_epoch(handed, {}, Bounds(floor, ten), complete=False) is handed
    more = opened({"x": {"a": 5, "b": 4}}, handed=handed)
    assert (more.base_epoch, more.open_epochs) == (2, ())
    assert next_epoch(more, {"y": {"c": 2}}, Bounds(floor, ten), complete=False).amounts["x"] == {
        "a": 5,
        "b": 4,
    }


@pytest.mark.parametrize(
    "rows, capacity, kind",
    [
        ({"x": {"a": 9}}, 10, InvalidTargetError),  # with the two floors it is 11
        ({"x": {"a": 0}}, 10, InvalidTargetError),
        ({"x": {"d": 2}}, 10, InvalidTargetError),
        ({"x": {"a": float("nan")}}, 10, InvalidTargetError),
        ({"x": {}}, 2, FloorsExceedCapacityError),
    ],
)
def test_a_target_that_must_not_be_is_refused_with_a_remedy(rows, capacity, kind):
    with pytest.raises(kind) as told:
        next_epoch(QuotaEpochs(holders=NAMES), rows, Bounds(floor, lambda resource: capacity))
    assert isinstance(told.value, MallowbeamError) and told.value.where == "x" and told.value.cure


def test_a_capacity_that_fell_is_checked_for_rows_that_did_not_change():
    with pytest.raises(InvalidTargetError):
        next_epoch(opened({"x": {"a": 8}}), {"x": {"a": 8}}, Bounds(floor, lambda resource: 9))


def test_at_the_bound_the_next_epoch_is_refused_until_a_release():
    handed = opened(*({"x": {"abc"[n % 3]: 8}} for n in range(MAX_OPEN_EPOCHS + 1)))
    assert len(handed.open_epochs) == MAX_OPEN_EPOCHS
    with pytest.raises(TooManyOpenEpochsError) as told:
        opened({"x": {"a": 2}}, handed=handed)
    assert "a" in told.value.where
    assert opened({"x": {"a": 2}}, handed=release(handed, "a", 5)).epoch == handed.epoch + 1


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(1, 9)), max_size=30), st.data())
def test_what_is_kept_is_bounded_and_reads_back(moves, data):
    handed = QuotaEpochs[int](holders=NAMES)
    for who, epoch in moves:
        rows = {name: {data.draw(st.sampled_from(NAMES)): data.draw(st.integers(1, 8))} for name in "xy"}
        try:
            handed = next_epoch(handed, rows, Bounds(floor, ten))
        except TooManyOpenEpochsError:
            assert len(handed.open_epochs) == MAX_OPEN_EPOCHS
        handed = release(handed, who, epoch)
        assert len(handed.open_epochs) <= MAX_OPEN_EPOCHS and len(handed.rows) <= 2
        assert not handed.open_epochs or handed.awaited_releases
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(handed), type=QuotaEpochs[int]) == handed


# --- one gateway's view ---------------------------------------------------------------------------


def test_a_loser_has_less_at_once_and_a_grower_waits_for_it():
    before = opened({"x": {"a": 8}})
    loser, grower = view("a", before), view("b", before)
    target = EpochTarget(2, {"x": {"b": 8}})
    assert loser.epoch_committed(target, 1.0) == [Release(2)] and loser.usable("x", 1.0) == 1
    assert grower.epoch_committed(target, 1.0) == [] and grower.usable("x", 1.0) == 1
    assert grower.describe(1.0)["x"].waits_for == ("a",) and grower.describe(1.0)["x"].target == 8
    grower.release_committed("a", 1, 1.1)
    grower.release_committed("c", 2, 1.1)
    assert grower.usable("x", 1.1) == 1
    grower.release_committed("a", 2, 1.2)
    assert grower.usable("x", 1.2) == 8 and grower.describe(1.2)["x"].waits_for == () and not grower.open_rows
    assert grower.release_committed("a", 2, 1.3) == [] and grower.epoch_committed(target, 1.3) == []


def test_a_grower_waits_for_lease_and_drift_from_when_it_saw_the_epoch():
    grower = view("b", opened({"x": {"a": 8}}))
    grower.epoch_committed(EpochTarget(2, {"x": {"b": 8}}), 3.0)
    grower.epoch_committed(EpochTarget(2, {"x": {"b": 8}}), 5.0)  # told twice: counted from the first time
    grower.lease_renewed(6.0)
    grower.lease_renewed(1.0)
    grower.tick(7.4)
    assert grower.usable("x", 7.4) == 1
    grower.tick(7.41)
    assert grower.usable("x", 7.41) == 8 and grower.epochs_seen == {}
    assert grower.expired_holders(opened({"x": {"a": 8}}, {"x": {"b": 8}})) == {"a": 2}


def test_by_the_clock_alone_an_old_allotment_becomes_the_floor():
    holder = view("a", opened({"x": {"a": 8}}))
    assert (holder.usable("x", 4.0), holder.usable("x", 4.01), holder.hard_limit("x", 4.01)) == (8, 1, 1)
    fresh = resumed("a", opened({"x": {"a": 8}}), 9.0, 9.0)
    assert fresh.usable("x", 9.1) == 1
    fresh.lease_renewed(9.1)
    assert fresh.usable("x", 9.2) == 8 and fresh.usable("unknown", 9.2) == 1


def test_a_release_waits_until_what_is_out_fits_and_is_put_in_again_if_lost():
    loser = view("a", opened({"x": {"a": 8}}))
    loser.report_use("x", 6, 0.5)
    loser.lease_renewed(1.0)
    assert loser.epoch_committed(EpochTarget(2, {"x": {"a": 5, "b": 4}}), 1.5) == []
    assert loser.epoch_committed(EpochTarget(3, {"x": {"a": 3, "b": 6}}), 1.6) == []
    assert (loser.usable("x", 1.6), loser.hard_limit("x", 1.6)) == (3, 8)
    loser.lease_renewed(3.0)
    assert loser.report_use("x", 5, 2.0) == [Release(2)]  # the older one fits already
    assert loser.hard_limit("x", 5.0) == 5 and loser.hard_limit("x", 5.01) == 3
    assert loser.report_use("x", 3, 2.1) == [Release(3)]
    assert loser.tick(2.2) == [] and loser.tick(2.7) == [Release(3)]
    assert loser.release_committed("a", 3, 2.8) == [] and loser.tick(9.0) == []


def test_a_new_incarnation_uses_and_releases_nothing_while_connections_may_linger():
    handed = opened({"x": {"a": 8}}, {"x": {"b": 8}})
    fresh = resumed("a", handed, 10.0, 10.0, drift=0.1, linger=2.0)
    fresh.lease_renewed(10.0)
    assert fresh.usable("x", 12.2) == 0 and fresh.tick(12.2) == [] and fresh.hard_limit("x", 12.2) == 0
    assert fresh.usable("x", 12.3) == 1 and fresh.tick(12.3) == [Release(2)]


def test_a_state_that_skipped_epochs_is_restored():
    first = opened({"x": {"a": 8}})
    away = view("c", first)
    handed = release(opened({"x": {"b": 8}}, {"x": {"c": 8}}, handed=first), "a", 2)
    handed = opened({"x": {"c": 7}}, {"x": {"a": 6}}, handed=release(handed, "b", 3))
    assert away.follow(handed, 1.0) == [Release(5)]  # it knows of 3 as settled, 4 and 5 as open
    assert (away.usable("x", 1.0), away.epoch) == (1, 5)
    assert away.follow(handed, 1.1) == [] and away.follow(release(handed, "c", 5), 1.2) == []
    assert not away.open_rows


def test_a_complete_row_is_kept_once_and_unchanged_rows_are_not_visited():
    grower = view("b", opened({f"r{n}": {"a": 8} for n in range(50)}))
    for epoch in range(2, 40):
        grower.epoch_committed(EpochTarget(epoch, {"r1": {"ab"[epoch % 2]: 8}}), epoch * 0.1)
        grower.release_committed("a", epoch, epoch * 0.1)
        grower.release_committed("b", epoch, epoch * 0.1)
        assert list(grower.open_rows) in ([], ["r1"]) and not any(grower.blocking.values())
    grower.epoch_committed(EpochTarget(40, {"r1": {}, "r2": {"a": 8}}), 4.0)
    grower.tick(100.0)
    assert "r1" not in grower.rows and not grower.epochs_seen and not grower.allowed


def test_a_grower_waits_for_what_a_dead_holder_leaves_too():
    grower = view("b", opened({"x": {"a": 8}}), linger=2.0)
    grower.epoch_committed(EpochTarget(2, {"x": {"b": 8}}), 1.0)
    grower.lease_renewed(7.0)
    grower.tick(7.6)
    assert grower.usable("x", 7.6) == 1
    grower.tick(7.61)
    assert grower.usable("x", 7.61) == 8


def test_past_its_lease_it_closes_down_to_the_floor_while_others_move():
    holder = view("a", opened({"x": {"a": 4, "b": 4}}))
    holder.epoch_committed(EpochTarget(2, {"x": {"a": 4, "c": 4}}), 1.0)
    assert (holder.hard_limit("x", 4.0), holder.hard_limit("x", 4.01)) == (4, 1)


def test_late_and_duplicated_releases_undo_nothing():
    grower = view("b", opened({"x": {"a": 8}}))
    grower.release_committed("a", 3, 0.5)
    grower.release_committed("a", 2, 0.6)
    grower.epoch_committed(EpochTarget(3, {"x": {"b": 8}}), 1.0)
    assert grower.usable("x", 1.0) == 8
    assert (
        view(
            "a", release(opened({"x": {"a": 8}, "y": {"b": 3}}, {"y": {"a": 3}}, {"x": {"b": 8}}), "a", 3)
        ).tick(1.0)
        == []
    )


def test_a_restored_state_keeps_when_known_epochs_were_seen():
    first = opened({"x": {"a": 8}, "y": {"b": 8}})
    second = opened({"x": {"c": 8}, "y": {"b": 8}}, handed=first)
    away = view("c", first)
    away.follow(second, 1.0)
    away.restore(second, 5.0)
    away.lease_renewed(5.0)
    away.tick(5.41)
    assert away.usable("x", 5.41) == 8


def test_a_release_is_not_repeated_by_the_next_incarnation():
    handed = opened({"x": {"a": 8}, "y": {"b": 8}}, {"x": {"c": 8}, "y": {"c": 8}})
    assert view("a", handed).tick(1.0) == [Release(2)]
    assert view("a", release(handed, "a", 2)).tick(1.0) == []
