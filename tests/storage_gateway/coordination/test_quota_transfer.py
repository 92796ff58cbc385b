"""Quota transfer, shrink before grow: the replicated state's functions, and one gateway's view."""

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


def capacity_of_ten(resource):
    return 10


def open_epochs_of(*epochs, quota=None):
    quota = quota or QuotaEpochs[int](holders=NAMES)
    for rows in epochs:
        quota = next_epoch(quota, rows, Bounds(floor, capacity_of_ten))
    return quota


def restored_view(me, quota, now, started_at=NEVER, **settings):
    """A new incarnation's view of the log's state, before any heartbeat of it is committed."""
    core = QuotaTransfer(me, quota.holders, floor, TransferTiming(4.0, **settings), started_at)
    core.restore(quota, now)
    return core


def view(me, quota, **settings):
    core = restored_view(me, quota, 0.0, **settings)
    core.lease_renewed(0.0)
    return core


# --- the replicated side --------------------------------------------------------------------------


def test_an_epoch_names_the_awaited_releases_and_is_complete_after_them():
    quota = open_epochs_of({"x": {"a": 8}}, {"x": {"b": 7, "c": 2}})
    assert (quota.epoch, quota.base_epoch, quota.awaited_releases) == (2, 1, {"a": 2})
    assert release(quota, "b", 2).base_epoch == 1
    assert release(quota, "a", 1).base_epoch == 1
    completed = release(quota, "a", 2)
    assert (completed.base_epoch, completed.open_epochs, completed.rows) == (2, (), {"x": {"b": 7, "c": 2}})
    assert (
        release(completed, "a", 2) is completed
        and release(completed, "a", 3) is completed
        and release(completed, "who", 1) is completed
    )


def test_epochs_complete_in_order():
    quota = open_epochs_of({"x": {"a": 8}, "y": {"b": 8}}, {"y": {"b": 8}}, {})
    assert quota.awaited_releases == {"a": 2, "b": 3}
    assert release(quota, "b", 3).base_epoch == 1  # a still owes a release to the one before it
    assert release(release(quota, "b", 3), "a", 2).base_epoch == 3
    assert release(release(quota, "b", 3), "a", 2).rows == {}


def test_unchanged_amounts_open_no_epoch_and_gains_alone_complete_at_once():
    quota = open_epochs_of({"x": {"a": 4}})
    assert next_epoch(quota, {"x": {"a": 4}}, Bounds(floor, capacity_of_ten)) is quota
    assert next_epoch(quota, {}, Bounds(floor, capacity_of_ten), complete=False) is quota
    more = open_epochs_of({"x": {"a": 5, "b": 4}}, quota=quota)
    assert (more.base_epoch, more.open_epochs) == (2, ())
    assert next_epoch(more, {"y": {"c": 2}}, Bounds(floor, capacity_of_ten), complete=False).amounts["x"] == {
        "a": 5,
        "b": 4,
    }


@pytest.mark.parametrize(
    "rows, capacity, kind",
    [
        ({"x": {"a": 9}}, 10, InvalidTargetError),  # 11 with the two floors
        ({"x": {"a": 0}}, 10, InvalidTargetError),
        ({"x": {"d": 2}}, 10, InvalidTargetError),
        ({"x": {"a": float("nan")}}, 10, InvalidTargetError),
        ({"x": {}}, 2, FloorsExceedCapacityError),
    ],
)
def test_an_invalid_target_is_rejected_with_a_remedy(rows, capacity, kind):
    with pytest.raises(kind) as caught:
        next_epoch(QuotaEpochs(holders=NAMES), rows, Bounds(floor, lambda resource: capacity))
    assert (
        isinstance(caught.value, MallowbeamError) and caught.value.where == "x" and caught.value.remedy_text
    )


def test_a_capacity_that_fell_is_checked_for_rows_that_did_not_change():
    with pytest.raises(InvalidTargetError):
        next_epoch(open_epochs_of({"x": {"a": 8}}), {"x": {"a": 8}}, Bounds(floor, lambda resource: 9))


def test_at_the_bound_the_next_epoch_is_refused_until_a_release():
    quota = open_epochs_of(*({"x": {"abc"[n % 3]: 8}} for n in range(MAX_OPEN_EPOCHS + 1)))
    assert len(quota.open_epochs) == MAX_OPEN_EPOCHS
    with pytest.raises(TooManyOpenEpochsError) as caught:
        open_epochs_of({"x": {"a": 2}}, quota=quota)
    assert "a" in caught.value.where
    assert open_epochs_of({"x": {"a": 2}}, quota=release(quota, "a", 5)).epoch == quota.epoch + 1


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(1, 9)), max_size=30), st.data())
def test_the_replicated_state_is_bounded_and_survives_encoding(releases, data):
    quota = QuotaEpochs[int](holders=NAMES)
    for holder_name, epoch in releases:
        rows = {name: {data.draw(st.sampled_from(NAMES)): data.draw(st.integers(1, 8))} for name in "xy"}
        try:
            quota = next_epoch(quota, rows, Bounds(floor, capacity_of_ten))
        except TooManyOpenEpochsError:
            assert len(quota.open_epochs) == MAX_OPEN_EPOCHS
        quota = release(quota, holder_name, epoch)
        assert len(quota.open_epochs) <= MAX_OPEN_EPOCHS and len(quota.rows) <= 2
        assert not quota.open_epochs or quota.awaited_releases
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(quota), type=QuotaEpochs[int]) == quota


# --- one gateway's view ---------------------------------------------------------------------------


def test_a_loser_has_less_at_once_and_a_grower_waits_for_it():
    before = open_epochs_of({"x": {"a": 8}})
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
    grower = view("b", open_epochs_of({"x": {"a": 8}}))
    grower.epoch_committed(EpochTarget(2, {"x": {"b": 8}}), 3.0)
    grower.epoch_committed(EpochTarget(2, {"x": {"b": 8}}), 5.0)  # a duplicate: the first one counts
    grower.lease_renewed(6.0)
    grower.lease_renewed(1.0)
    grower.tick(7.4)
    assert grower.usable("x", 7.4) == 1
    grower.tick(7.41)
    assert grower.usable("x", 7.41) == 8 and grower.epochs_seen == {}
    assert grower.expired_holders(open_epochs_of({"x": {"a": 8}}, {"x": {"b": 8}})) == {"a": 2}


def test_an_expired_lease_lowers_the_allotment_to_the_floor():
    holder = view("a", open_epochs_of({"x": {"a": 8}}))
    assert (holder.usable("x", 4.0), holder.usable("x", 4.01), holder.hard_limit("x", 4.01)) == (8, 1, 1)
    restarted = restored_view("a", open_epochs_of({"x": {"a": 8}}), 9.0, 9.0)
    assert restarted.usable("x", 9.1) == 1
    restarted.lease_renewed(9.1)
    assert restarted.usable("x", 9.2) == 8 and restarted.usable("unknown", 9.2) == 1


def test_a_release_waits_until_the_use_fits_and_is_proposed_again_if_lost():
    loser = view("a", open_epochs_of({"x": {"a": 8}}))
    loser.report_use("x", 6, 0.5)
    loser.lease_renewed(1.0)
    assert loser.epoch_committed(EpochTarget(2, {"x": {"a": 5, "b": 4}}), 1.5) == []
    assert loser.epoch_committed(EpochTarget(3, {"x": {"a": 3, "b": 6}}), 1.6) == []
    assert (loser.usable("x", 1.6), loser.hard_limit("x", 1.6)) == (3, 8)
    loser.lease_renewed(3.0)
    assert loser.report_use("x", 5, 2.0) == [Release(2)]  # the use fits the older epoch already
    assert loser.hard_limit("x", 5.0) == 5 and loser.hard_limit("x", 5.01) == 3
    assert loser.report_use("x", 3, 2.1) == [Release(3)]
    assert loser.tick(2.2) == [] and loser.tick(2.7) == [Release(3)]
    assert loser.release_committed("a", 3, 2.8) == [] and loser.tick(9.0) == []


def test_a_new_incarnation_uses_and_releases_nothing_while_connections_may_linger():
    quota = open_epochs_of({"x": {"a": 8}}, {"x": {"b": 8}})
    restarted = restored_view("a", quota, 10.0, 10.0, drift=0.1, linger=2.0)
    restarted.lease_renewed(10.0)
    assert (
        restarted.usable("x", 12.2) == 0
        and restarted.tick(12.2) == []
        and restarted.hard_limit("x", 12.2) == 0
    )
    assert restarted.usable("x", 12.3) == 1 and restarted.tick(12.3) == [Release(2)]


def test_a_state_that_skipped_epochs_is_restored():
    first = open_epochs_of({"x": {"a": 8}})
    view_of_c = view("c", first)
    quota = release(open_epochs_of({"x": {"b": 8}}, {"x": {"c": 8}}, quota=first), "a", 2)
    quota = open_epochs_of({"x": {"c": 7}}, {"x": {"a": 6}}, quota=release(quota, "b", 3))
    assert view_of_c.follow(quota, 1.0) == [Release(5)]  # epoch 3 is complete, 4 and 5 are open
    assert (view_of_c.usable("x", 1.0), view_of_c.epoch) == (1, 5)
    assert view_of_c.follow(quota, 1.1) == [] and view_of_c.follow(release(quota, "c", 5), 1.2) == []
    assert not view_of_c.open_rows


def test_a_complete_row_is_kept_once_and_unchanged_rows_are_not_visited():
    grower = view("b", open_epochs_of({f"r{n}": {"a": 8} for n in range(50)}))
    for epoch in range(2, 40):
        grower.epoch_committed(EpochTarget(epoch, {"r1": {"ab"[epoch % 2]: 8}}), epoch * 0.1)
        grower.release_committed("a", epoch, epoch * 0.1)
        grower.release_committed("b", epoch, epoch * 0.1)
        assert list(grower.open_rows) in ([], ["r1"]) and not any(grower.blocking.values())
    grower.epoch_committed(EpochTarget(40, {"r1": {}, "r2": {"a": 8}}), 4.0)
    grower.tick(100.0)
    assert "r1" not in grower.rows and not grower.epochs_seen and not grower.allowed


def test_a_grower_also_waits_for_lingering_connections_of_a_dead_holder():
    grower = view("b", open_epochs_of({"x": {"a": 8}}), linger=2.0)
    grower.epoch_committed(EpochTarget(2, {"x": {"b": 8}}), 1.0)
    grower.lease_renewed(7.0)
    grower.tick(7.6)
    assert grower.usable("x", 7.6) == 1
    grower.tick(7.61)
    assert grower.usable("x", 7.61) == 8


def test_an_expired_holder_closes_connections_down_to_its_floor():
    holder = view("a", open_epochs_of({"x": {"a": 4, "b": 4}}))
    holder.epoch_committed(EpochTarget(2, {"x": {"a": 4, "c": 4}}), 1.0)
    assert (holder.hard_limit("x", 4.0), holder.hard_limit("x", 4.01)) == (4, 1)


def test_late_and_duplicated_releases_undo_nothing():
    grower = view("b", open_epochs_of({"x": {"a": 8}}))
    grower.release_committed("a", 3, 0.5)
    grower.release_committed("a", 2, 0.6)
    grower.epoch_committed(EpochTarget(3, {"x": {"b": 8}}), 1.0)
    assert grower.usable("x", 1.0) == 8
    assert (
        view(
            "a",
            release(open_epochs_of({"x": {"a": 8}, "y": {"b": 3}}, {"y": {"a": 3}}, {"x": {"b": 8}}), "a", 3),
        ).tick(1.0)
        == []
    )


def test_a_restored_state_keeps_when_known_epochs_were_seen():
    first = open_epochs_of({"x": {"a": 8}, "y": {"b": 8}})
    second = open_epochs_of({"x": {"c": 8}, "y": {"b": 8}}, quota=first)
    view_of_c = view("c", first)
    view_of_c.follow(second, 1.0)
    view_of_c.restore(second, 5.0)
    view_of_c.lease_renewed(5.0)
    view_of_c.tick(5.41)
    assert view_of_c.usable("x", 5.41) == 8


def test_a_release_is_not_repeated_by_the_next_incarnation():
    quota = open_epochs_of({"x": {"a": 8}, "y": {"b": 8}}, {"x": {"c": 8}, "y": {"c": 8}})
    assert view("a", quota).tick(1.0) == [Release(2)]
    assert view("a", release(quota, "a", 2)).tick(1.0) == []
