"""The buffer's log on a simulated disk: power loss at every call, flipped bits, full and failing disks."""

from __future__ import annotations

import errno
import json

import pytest
from logged import Workload, body_of, check_restored, done, filled_disk, open_log, run, write

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
    total_calls = run(Workload(), SimDisk(), None).ops
    assert total_calls > 60
    for calls_before_loss in range(total_calls + 1):
        for seed in range(3):
            work = Workload()
            disk = run(work, SimDisk(), calls_before_loss).crashed(calls_before_loss * 31 + seed)
            _, bodies, quarantined, _ = open_log(disk)
            check_restored([work], bodies, quarantined)


def test_a_second_power_loss_at_every_call_of_the_recovery_and_after_it():
    """Two power losses in a row: the second at every call from the start of the recovery on."""
    for calls_before_first_loss, seed in ((17, 1), (40, 2), (58, 3)):

        def disk() -> tuple[Workload, SimDisk]:
            work = Workload()
            return work, run(work, SimDisk(), calls_before_first_loss).crashed(seed)  # noqa: B023

        _, probe = disk()
        calls = run(Workload(batches=6), probe, None).ops
        for calls_before_loss in range(calls + 1):
            first, crashed_disk = disk()
            second = Workload(first=10_000, batches=6)
            after = run(second, crashed_disk, calls_before_loss).crashed(calls_before_loss)
            _, bodies, quarantined, _ = open_log(after)
            check_restored([first, second], bodies, quarantined)


def test_the_checker_reports_the_losses_of_a_log_that_does_not_sync():
    """The checker must report the losses of a log that does not sync."""

    class UnsyncedDisk(SimDisk):
        def open(self, name, new=False):
            file = super().open(name, new)
            if name.startswith("segment-"):
                file.sync = lambda: None
            return file

    detected = 0
    for calls_before_loss in range(10, 60, 5):
        work = Workload()
        crashed_disk = run(work, UnsyncedDisk(), calls_before_loss).crashed(calls_before_loss)
        try:
            _, bodies, quarantined, _ = open_log(crashed_disk)
            check_restored([work], bodies, quarantined)
        except AssertionError:
            detected += 1
    assert detected


def test_every_flipped_bit_is_reported_and_costs_no_other_record():
    """Damage to an acknowledged record is reported with its position, and all other records are restored."""
    disk, work = filled_disk()
    name = next(n for n in disk.names() if n.startswith("segment-"))
    size = len(disk.files[name].now)
    for offset in range(0, size, 37):
        copy = disk.crashed(0)
        copy.flip(name, offset, offset % 8)
        _, bodies, quarantined, _ = open_log(copy)
        lost = work.acknowledged_lsns - work.maybe_finished - set(bodies)
        assert len(lost) <= 1
        if lost:
            assert [a.acknowledged for a in quarantined] == [True]
            assert quarantined[0].offset <= offset < quarantined[0].offset + quarantined[0].length
            assert (
                copy.files[quarantined[0].name].now
                == copy.files[name].now[quarantined[0].offset : quarantined[0].offset + quarantined[0].length]
            )
        assert all(data == body_of(lsn) for lsn, data in bodies.items())


def test_a_damaged_head_costs_no_record_and_a_missing_segment_is_reported():
    disk, work = filled_disk(20)
    segments = [n for n in disk.names() if n.startswith("segment-")]
    disk.flip(segments[1], 3)
    _, bodies, quarantined, scan_result = open_log(disk.crashed(0))
    assert work.acknowledged_lsns - work.maybe_finished <= set(bodies) and not scan_result.missing
    copy = disk.crashed(0)
    del copy.files[segments[1]]
    *_, scan_result = open_log(copy)
    assert scan_result.missing == [int(segments[1][8:-4])]


def test_damage_is_reported_once_and_its_file_is_kept():
    disk, _ = filled_disk()
    name = next(n for n in disk.names() if n.startswith("segment-"))
    disk.flip(name, SEGMENT.size + RECORD.size + 9)
    log, _, quarantined, _ = open_log(disk)
    assert [a.acknowledged for a in quarantined] == [True]
    log.close()
    log, _, again, _ = open_log(disk)
    assert again == [] and quarantined[0].name in disk.names()


def test_a_full_disk_truncates_a_failed_batch_and_still_records_done_writes():
    disk = SimDisk()
    log, *_ = open_log(disk)
    log.commit([write(1)])
    disk.capacity = disk.used() + 500
    with pytest.raises(DiskFullError):
        log.commit([write(2, b"x" * 5000)])
    assert disk.files[segment_name(log.number)].now.endswith(body_of(1))
    with pytest.raises(DiskFullError):
        log.commit([done(3, 1), write(4, b"x" * 5000)])
    disk.capacity = disk.used()
    with pytest.raises(DiskFullError):
        log.commit([done(5, 1)])
    log.commit([done(6, 1)], finishes_writes=True)
    assert "reserve" not in disk.names()
    log.close()
    _, bodies, quarantined, _ = open_log(disk.crashed(1))
    assert bodies == {} and quarantined == []


@pytest.mark.parametrize("call", ["write", "sync"])
def test_a_file_that_failed_is_never_written_again(call):
    disk = SimDisk()
    log, *_ = open_log(disk)
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
        _, bodies, *_ = open_log(disk.crashed(seed))
        assert bodies == {1: body_of(1), 5: body_of(5)}


def test_a_folder_in_use_is_read_while_its_oldest_segment_is_removed():
    disk, work = filled_disk(20)

    class BusyDisk(SimDisk):
        def names(self):
            return [*disk.names(), segment_name(0)]  # listed, but removed since

        def open(self, name, new=False):
            return disk.open(name, new)

    owner = bytes.fromhex(json.loads(disk.files["folder.json"].now)["id"])
    assert work.acknowledged_lsns - work.finished <= {
        r.lsn for r in read_records(BusyDisk(), owner, ScanResult())
    }


def test_a_new_segment_that_cannot_be_made_leaves_no_file_behind():
    disk = SimDisk()
    log, *_ = open_log(disk)
    log.abandon()
    names = disk.names()
    for code, error in ((errno.ENOSPC, DiskFullError), (errno.EIO, LogIOError)):
        disk.faults = [Fault("sync", code, "segment-")]
        with pytest.raises(error):
            log.commit([write(1)])
        assert disk.names() == names
    log.commit([write(2)])
