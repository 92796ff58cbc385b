"""Unit tests of the buffer core's decisions."""

from __future__ import annotations

import random

import pytest
from buffer_world import DEADLINE_S, LIMITS, WINDOW_S, WRITE_LOG_BYTES, World, sent

from mallowbeam.storage_gateway.write_buffer.core import Core
from mallowbeam.storage_gateway.write_buffer.dispatch import NODE_DROP_S, WINDOW_MARGIN_S
from mallowbeam.storage_gateway.write_buffer.entries import Admission, Outcome, State
from mallowbeam.storage_gateway.write_buffer.limits import Limits
from mallowbeam.storage_gateway.write_buffer.replay import Replay, RestoredWrite


def test_a_later_write_absorbs_an_earlier_one_unsent_but_never_past_a_barrier():
    world = World()
    first, second = world.put("a", b"k"), world.put("a", b"k")
    world.commit()
    assert list(world.core.entries) == [second] and world.core.counts.absorbed == 1 and first != second
    world.barrier("a")
    third = world.put("a", b"k")
    world.commit()
    assert list(world.core.entries) == [second, third]
    assert sent(world) == [second]


def test_a_write_behind_a_barrier_waits_for_all_before_it_in_its_bucket_only():
    world = World()
    before, barrier, after = world.put("a", b"1"), world.barrier("a"), world.put("a", b"2")
    elsewhere = world.put("b", b"3")
    world.commit()
    assert sent(world) == [before, elsewhere] and world.core.writes_before(barrier) == 1
    world.answer(before, "stored")
    assert barrier in world.passed and world.core.writes_before(barrier) is None
    assert after in sent(world)


def test_an_uncertain_attempt_is_retried_only_within_the_window():
    world = World()
    lsn = world.put("a", b"k")
    world.commit()
    assert sent(world) == [lsn]
    world.answer(lsn, "ran")
    world.advance(0.5)
    assert sent(world) == [lsn] and world.sends[lsn].timeout_s <= WINDOW_S - 0.5
    world.answer(lsn, "gone")
    world.advance(WINDOW_S)
    world.plan()
    assert not world.sends and list(world.reads) == [lsn]
    world.finish_read_back(lsn, True)
    assert not world.core.entries and world.core.counts.retries == 1


def test_a_retry_gets_no_more_time_than_the_window_has_left():
    world = World()
    lsn = world.put("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "gone")
    world.advance(WINDOW_S - WINDOW_MARGIN_S - 0.3)
    world.plan()
    assert 0 < world.sends[lsn].timeout_s <= 0.3 + 1e-9


@pytest.mark.parametrize("ran", [True, False])
def test_after_a_reboot_an_uncertain_attempt_is_read_back_once_it_can_no_longer_run(ran):
    world = World()
    lsn = world.put("a", b"k")
    world.commit()
    sent(world)
    if ran:
        assert world.run(world.core.entries[lsn], None)
    world.crash(0, True, [False])
    world.plan()
    assert not world.sends and not world.reads
    world.advance(DEADLINE_S + NODE_DROP_S + 0.01)
    world.plan()
    assert list(world.reads) == [lsn]
    world.finish_read_back(lsn, True)
    if not ran:
        assert sent(world) == [lsn] and world.sends[lsn].expected_version == ""
        world.answer(lsn, "stored")
    assert not world.core.entries


def test_within_one_boot_a_crash_leaves_the_rest_of_the_window():
    world = World()
    lsn = world.put("a", b"k")
    world.commit()
    sent(world)
    world.advance(1.0)
    world.crash(0, False, [False])
    assert sent(world) == [lsn] and world.sends[lsn].expected_version is None
    assert world.sends[lsn].timeout_s <= WINDOW_S - 1.0 - WINDOW_MARGIN_S + 1e-9


def test_an_intent_of_another_boot_or_shard_count_is_read_back():
    """A write is read back if its intent is in the future, of another boot, or of another shard count."""
    for intent in ((b"b0", 200.0, 2), (b"other", 99.9, 2), (b"b0", 99.9, 3)):
        world = World()
        state = Replay()
        state.write(RestoredWrite(world.entry(1, "a", b"k", "PUT", 0.0), (1, 0), []))
        state.intent([1], intent)
        core = Core(LIMITS, random.Random(1))
        state.build(core, 100.0, b"b0")
        core.plan(100.0)
        assert core.take() == [] and core.entries[1].state is State.UNCERTAIN


def test_a_write_is_suspended_if_reading_back_finds_another_writers_version():
    from dataclasses import replace

    world = World(replace(LIMITS, sole_writer=False))
    lsn = world.put("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "gone")
    world.nodes.versions["a", b"k"] = 77
    world.advance(9.0)
    world.plan()
    world.finish_read_back(lsn, True)
    assert world.core.entries[lsn].state is State.SUSPENDED and world.core.suspended == 1
    assert world.core.suspended_before_barrier("a") is world.core.entries[lsn]
    world.crash(9, True, [False])
    assert world.core.entries[lsn].state is State.SUSPENDED and sent(world) == []
    assert not world.core.release(world.now, 999, True)
    assert world.core.release(world.now, lsn, False)
    world.execute_actions()
    world.commit()
    assert sent(world) == [lsn]


def test_a_declined_write_is_suspended_and_blocks_only_writes_after_a_barrier():
    world = World()
    lsn, other = world.put("a", b"1"), world.put("a", b"2")
    world.commit()
    sent(world)
    world.core.attempt_ended(world.now, lsn, Outcome.DECLINED, reason="its node answers 403")
    world.sends.pop(lsn)
    world.answer(other, "stored")
    barrier, after = world.barrier("a"), world.put("a", b"3")
    world.commit()
    assert sent(world) == [] and world.core.writes_before(barrier) == 1
    assert world.core.release(world.now, lsn, True)
    world.nodes.applied["a", b"1"] = lsn  # a dropped write no longer holds up the barrier
    assert sent(world) == [after] and lsn not in world.core.entries


def test_a_full_core_admits_writes_direct_unless_their_order_forbids_it():
    from dataclasses import replace

    for limits in (
        replace(LIMITS, max_records=1),
        replace(LIMITS, max_bytes=WRITE_LOG_BYTES + 10),
        replace(LIMITS, max_age=5.0),
    ):
        world = World(limits)
        world.put("a", b"k")
        world.commit()
        world.advance(6.0)
        admit = world.core.admit
        assert admit(world.now, "a", b"other", WRITE_LOG_BYTES) is Admission.DIRECT
        assert admit(world.now, "a", b"k", WRITE_LOG_BYTES) is Admission.SLOW_DOWN
        world.barrier("a")
        assert admit(world.now, "a", b"other", WRITE_LOG_BYTES) is Admission.SLOW_DOWN
        assert admit(world.now, "b", b"other", WRITE_LOG_BYTES) is Admission.DIRECT


def test_writes_are_rejected_until_the_folder_has_been_read():
    core = Core(LIMITS, random.Random(1))
    assert core.admit(0.0, "a", b"k", 1) is Admission.SLOW_DOWN
    core.unavailable, core.failure = False, "no disk"
    assert core.admit(0.0, "a", b"k", 1) is Admission.DIRECT
    core.untrusted_keys.add(("a", b"k"))
    assert core.admit(0.0, "a", b"k", 1) is Admission.SLOW_DOWN


def test_a_suspended_write_does_not_count_for_the_buffers_age():
    world = World()
    lsn = world.put("a", b"k")
    world.commit()
    world.core.suspend(lsn, "unreadable")
    world.advance(2000.0)
    assert world.core.oldest_age(world.now) == 0.0
    assert world.core.admit(world.now, "a", b"x", WRITE_LOG_BYTES) is Admission.ACCEPT


def test_the_flush_yields_to_direct_traffic_until_the_buffer_fills_up():
    world = World(Limits(in_flight=32, max_records=100))
    assert world.core.allowed_in_flight(0.0, 0) == 32
    assert world.core.allowed_in_flight(0.0, 8) == 16 and world.core.allowed_in_flight(0.0, 1000) == 3
    for i in range(75):
        world.put("a", b"%d" % i)
    assert world.core.allowed_in_flight(world.now, 1000) == 16
    for i in range(75, 100):
        world.put("a", b"%d" % i)
    assert world.core.allowed_in_flight(world.now, 1000) == 32


def test_retries_keep_to_the_budget_and_its_minimum_rate():
    """All nodes fail: once the saved budget is used, retries are sent at the minimum rate."""
    world = World(
        Limits(shards=1, in_flight=64, per_shard=64, min_retries_per_second=2.0, window=None, max_backoff=0.1)
    )
    for i in range(40):
        world.put("a", b"%d" % i)
    world.commit()
    for lsn in sent(world):
        world.answer(lsn, "gone")
    retries = 0
    for _ in range(400):
        world.advance(0.05)
        for lsn in sent(world):
            retries += 1
            world.answer(lsn, "gone")
    assert 2.0 * 20 <= retries <= 2.0 * 20 + 11


def test_a_shard_that_rejects_is_blocked_while_others_continue():
    world = World(Limits(shards=2, per_shard=4, in_flight=8))
    slow = [world.put("a", b"%d" % i) for i in range(0, 6, 2)]  # b"0", b"2", ...: all on the first shard
    world.commit()
    sent(world)
    for lsn in slow:
        world.core.attempt_ended(world.now, lsn, Outcome.REJECTED, 10.0)
        world.sends.pop(lsn)
    healthy = world.put("a", b"1")
    late = world.put("a", b"8")
    world.commit()
    assert sent(world) == [healthy]
    world.advance(25.0)
    assert late in sent(world)
    assert world.core.shards[0].window < 4


def test_an_old_segment_needed_by_one_suspended_write_is_compacted():
    from dataclasses import replace

    world = World(replace(LIMITS, max_bytes=3000, max_records=1000))
    suspended = world.put("a", b"k")
    barrier = world.barrier("a")
    world.commit()
    world.core.suspend(suspended, "unreadable")
    for i in range(60):
        world.put("b", b"%d" % i)
        world.commit()
        for lsn in sent(world):
            world.answer(lsn, "stored")
        world.commit()
        world.plan()
    assert world.core.counts.relocated >= 1 and world.core.bytes < 3000
    assert min(segment for segment, _ in world.log) > 1
    world.crash(9, True, [False])
    assert world.core.entries[suspended].state is State.SUSPENDED and world.core.writes_before(barrier) == 1


def test_without_idempotency_keys_an_uncertain_write_is_read_back_first():
    from dataclasses import replace

    world = World(replace(LIMITS, keyed=False))
    lsn = world.put("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "ran")
    world.advance(0.2)
    world.plan()
    assert not world.sends
    world.advance(DEADLINE_S + 1)
    world.plan()
    world.finish_read_back(lsn, True)
    assert not world.core.entries


def test_a_direct_write_waits_until_the_earlier_writes_done_record_is_durable():
    """Otherwise a crash would restore the finished write, and it would replace the direct write."""
    world = World()
    lsn = world.put("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "stored")
    assert not world.core.entries
    assert not world.direct("a", b"k")
    world.commit()
    assert world.direct("a", b"k")
    world.crash(0, True, [False])
    world.drain()


def test_a_later_write_waits_until_the_absorbed_writes_done_record_is_durable():
    """Otherwise a crash would restore the absorbed write, and it would be sent after the later one."""
    world = World()
    world.put("a", b"k")
    world.commit()
    later = world.put("a", b"k")
    world.commit()
    done = world.pending
    assert done and done[0][0] == "done"
    world.pending = []  # the disk did not store the done record
    world.plan()
    assert not world.pending and not world.sends
    world.core.done_lost(done[0][1])
    world.execute_actions()
    world.commit()
    assert sent(world) == [later]
