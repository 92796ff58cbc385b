"""The buffer's log on a simulated disk: power loss at every call, flipped bits, full and failing disks."""

from __future__ import annotations

import errno
import json

import pytest
from logged import Work, body, done, filled, judge, opened, run, write

from mallowbeam.standins.disk import Fault, SimDisk
from mallowbeam.storage_gateway.write_buffer.errors import DiskFullError, LogIOError
from mallowbeam.storage_gateway.write_buffer.log import NewRecord, ScanResult, read_records, segment_name
from mallowbeam.storage_gateway.write_buffer.records import (
    RECORD,
    SEGMENT,
    Done,
    Kind,
    pack,
)


def test_power_loss_at_every_write_and_sync_of_a_workload():
    """Each power loss is tried with three random choices of the data that the disk kept."""
    whole = run(Work(), SimDisk(), None).ops
    assert whole > 60
    for cut in range(whole + 1):
        for seed in range(3):
            work = Work()
            disk = run(work, SimDisk(), cut).crashed(cut * 31 + seed)
            _, stands, apart, _ = opened(disk)
            judge([work], stands, apart)


def test_a_second_power_loss_at_every_call_of_the_recovery_and_after_it():
    """Two power losses in a row: the second at every call from the start of the recovery on."""
    for first_cut, seed in ((17, 1), (40, 2), (58, 3)):

        def disk() -> tuple[Work, SimDisk]:
            work = Work()
            return work, run(work, SimDisk(), first_cut).crashed(seed)  # noqa: B023

        _, probe = disk()
        calls = run(Work(batches=6), probe, None).ops
        for cut in range(calls + 1):
            first, left = disk()
            second = Work(first=10_000, batches=6)
            after = run(second, left, cut).crashed(cut)
            _, stands, apart, _ = opened(after)
            judge([first, second], stands, apart)


def test_the_checker_reports_the_losses_of_a_log_that_does_not_sync():
    """The checker must report the losses of a log that does not sync."""

    class Lazy(SimDisk):
        def open(self, name, new=False):
            file = super().open(name, new)
            if name.startswith("segment-"):
                file.sync = lambda: None
            return file

    caught = 0
    for cut in range(10, 60, 5):
        work = Work()
        left = run(work, Lazy(), cut).crashed(cut)
        try:
            _, stands, apart, _ = opened(left)
            judge([work], stands, apart)
        except AssertionError:
            caught += 1
    assert caught


def test_every_flipped_bit_is_reported_and_costs_no_other_record():
    """Damage to an acknowledged record is reported with its position, and all other records are restored."""
    disk, work = filled()
    name = next(n for n in disk.names() if n.startswith("segment-"))
    size = len(disk.files[name].now)
    for offset in range(0, size, 37):
        copy = disk.crashed(0)
        copy.flip(name, offset, offset % 8)
        _, stands, apart, _ = opened(copy)
        lost = work.acked - work.maybe_over - set(stands)
        assert len(lost) <= 1
        if lost:
            assert [a.acknowledged for a in apart] == [True]
            assert apart[0].offset <= offset < apart[0].offset + apart[0].length
            assert (
                copy.files[apart[0].name].now
                == copy.files[name].now[apart[0].offset : apart[0].offset + apart[0].length]
            )
        assert all(data == body(lsn) for lsn, data in stands.items())


def test_a_damaged_head_costs_no_record_and_a_missing_segment_is_reported():
    disk, work = filled(20)
    segments = [n for n in disk.names() if n.startswith("segment-")]
    disk.flip(segments[1], 3)
    _, stands, apart, found = opened(disk.crashed(0))
    assert work.acked - work.maybe_over <= set(stands) and not found.missing
    copy = disk.crashed(0)
    del copy.files[segments[1]]
    *_, found = opened(copy)
    assert found.missing == [int(segments[1][8:-4])]


def test_damage_is_reported_once_and_its_file_is_kept():
    disk, _ = filled()
    name = next(n for n in disk.names() if n.startswith("segment-"))
    disk.flip(name, SEGMENT.size + RECORD.size + 9)
    log, _, apart, _ = opened(disk)
    assert [a.acknowledged for a in apart] == [True]
    log.close()
    log, _, again, _ = opened(disk)
    assert again == [] and apart[0].name in disk.names()


def test_a_full_disk_truncates_a_failed_batch_and_still_records_done_writes():
    disk = SimDisk()
    log, *_ = opened(disk)
    log.commit([write(1)])
    disk.capacity = disk.used() + 500
    with pytest.raises(DiskFullError):
        log.commit([write(2, b"x" * 5000)])
    assert disk.files[segment_name(log.number)].now.endswith(body(1))
    with pytest.raises(DiskFullError):
        log.commit([done(3, 1), write(4, b"x" * 5000)])
    disk.capacity = disk.used()
    with pytest.raises(DiskFullError):
        log.commit([done(5, 1)])
    log.commit([done(6, 1)], finishes_writes=True)
    assert "reserve" not in disk.names()
    log.close()
    _, stands, apart, _ = opened(disk.crashed(1))
    assert stands == {} and apart == []


@pytest.mark.parametrize("call", ["write", "sync"])
def test_a_file_that_failed_is_never_written_again(call):
    disk = SimDisk()
    log, *_ = opened(disk)
    log.commit([write(1)])
    bad = log.number
    disk.faults = [Fault(call, errno.EIO, "segment-")]
    with pytest.raises(LogIOError, match="Input/output"):
        log.commit([write(2)])
    size = len(disk.files[segment_name(bad)].now)
    log.commit([NewRecord(Kind.VOID, 4, pack(Kind.VOID, Done([2]))), write(5)])
    assert log.number == bad + 1 and len(disk.files[segment_name(bad)].now) == size
    log.close()
    for seed in range(20):  # with and without the failed batch on the disk
        _, stands, *_ = opened(disk.crashed(seed))
        assert stands == {1: body(1), 5: body(5)}


def test_a_folder_in_use_is_read_while_its_oldest_segment_is_removed():
    disk, work = filled(20)

    class Busy(SimDisk):
        def names(self):
            return [*disk.names(), segment_name(0)]  # listed, but removed since

        def open(self, name, new=False):
            return disk.open(name, new)

    owner = bytes.fromhex(json.loads(disk.files["folder.json"].now)["id"])
    assert work.acked - work.over <= {r.lsn for r in read_records(Busy(), owner, ScanResult())}


def test_a_new_segment_that_cannot_be_made_leaves_no_file_behind():
    disk = SimDisk()
    log, *_ = opened(disk)
    log.abandon()
    names = disk.names()
    for code, error in ((errno.ENOSPC, DiskFullError), (errno.EIO, LogIOError)):
        disk.faults = [Fault("sync", code, "segment-")]
        with pytest.raises(error):
            log.commit([write(1)])
        assert disk.names() == names
    log.commit([write(2)])
