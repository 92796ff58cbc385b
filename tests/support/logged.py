"""Logs on a simulated disk, a workload and its checker, shared by the tests of the buffer's log."""

from __future__ import annotations

import random

from mallowbeam.standins.disk import PowerLossError, SimDisk
from mallowbeam.storage_gateway.write_buffer.log import Log, NewRecord, QuarantinedRange, ScanResult
from mallowbeam.storage_gateway.write_buffer.records import (
    Done,
    Kind,
    Write,
    pack,
    unpack,
)
from mallowbeam.storage_gateway.write_buffer.reopen import replay

SEGMENT_BYTES = 4096  # small, so that a workload fills many segments


def body_of(lsn: int) -> bytes:
    return random.Random(lsn).randbytes(1 + lsn * 211 % 1700)


def write(lsn: int, data: bytes | None = None) -> NewRecord:
    data = body_of(lsn) if data is None else data
    content = Write("PUT", "b", b"/b/%d" % lsn, lsn, [(b"content-type", b"x")], b"t", '"e"', len(data), 1.0)
    return NewRecord(Kind.WRITE, lsn, pack(Kind.WRITE, content, data))


def done(lsn: int, *lsns: int) -> NewRecord:
    return NewRecord(Kind.DONE, lsn, pack(Kind.DONE, Done(list(lsns))))


def open_log(disk: SimDisk) -> tuple[Log, dict[int, bytes], list[QuarantinedRange], ScanResult]:
    """Open and recover a log: the log, restored bodies by lsn, quarantined ranges and scan result."""
    log = Log(disk, SEGMENT_BYTES)
    scan_result = log.open()
    state = replay(log, scan_result, 2.0, 2.0)
    quarantined = log.recover(scan_result)
    bodies = {}
    for lsn, restored in state.writes.items():
        record = log.read(*restored.position)
        bodies[lsn] = bytes(unpack(record.kind, record.payload)[1])
    return log, bodies, quarantined, scan_result


class Workload:
    """A workload of batches and the writes acknowledged of it; it can be run on any disk."""

    def __init__(self, first: int = 1, batches: int = 24) -> None:
        self.first, self.batches = first, batches
        self.acknowledged_lsns: set[int] = set()
        self.finished: set[int] = set()  # writes whose DONE record was acknowledged
        self.maybe_finished: set[int] = set()
        self.offered: set[int] = set()

    def __call__(self, disk: SimDisk) -> None:
        log, _, _, scan_result = open_log(disk)
        lsn = max(self.first, log.durable + 1)
        segments: dict[int, set[int]] = {number: {0} for number in scan_result.segments}  # never removed
        for batch in range(self.batches):
            items = [write(lsn + i) for i in range(1 + batch * 7 % 5)]
            lsn += len(items)
            lsns = [item.lsn for item in items]
            finishing = sorted(self.acknowledged_lsns - self.finished)[:2] if batch % 3 == 2 else []
            if finishing:
                items.append(done(lsn, *finishing))
                lsn += 1
            self.offered |= set(lsns)
            self.maybe_finished |= set(finishing)
            log.commit(items)
            self.acknowledged_lsns |= set(lsns)
            self.finished |= set(finishing)
            for item in items:
                if item.kind is Kind.WRITE:
                    segments.setdefault(item.segment, set()).add(item.lsn)
            if batch % 6 == 5:  # removes the oldest unneeded segments, as the core does
                free = []
                for number in sorted(log.sizes):
                    if number == log.number or segments.get(number, set()) - self.finished:
                        break
                    free.append(number)
                if free:
                    log.remove(free)
        log.close()


def run(work: Workload, disk: SimDisk, calls_before_loss: int | None) -> SimDisk:
    disk.power_loss_at = None if calls_before_loss is None else disk.ops + calls_before_loss
    try:
        work(disk)
    except PowerLossError:
        pass
    return disk


def check_restored(
    works: list[Workload], bodies: dict[int, bytes], quarantined: list[QuarantinedRange]
) -> None:
    """Check that all acknowledged, unfinished writes are restored intact, and no unknown write is."""
    offered = set().union(*(work.offered for work in works))
    ended = set().union(*(work.maybe_finished for work in works))
    for work in works:
        missing = work.acknowledged_lsns - ended - set(bodies)
        assert not missing, f"acknowledged and lost: {sorted(missing)}"
    assert set(bodies) <= offered
    assert not set(bodies) & set().union(*(work.finished for work in works)), "finished writes were restored"
    for lsn, data in bodies.items():
        assert data == body_of(lsn)
    assert not any(a.acknowledged for a in quarantined), "a power loss was reported as damage"


def filled_disk(batches: int = 6) -> tuple[SimDisk, Workload]:
    work = Workload(batches=batches)
    disk = run(work, SimDisk(), None)
    disk.locked = False
    return disk, work
