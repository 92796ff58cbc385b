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

SMALL = 4096  # bytes of a segment, so small that a workload fills many


def body(lsn: int) -> bytes:
    return random.Random(lsn).randbytes(1 + lsn * 211 % 1700)


def write(lsn: int, data: bytes | None = None) -> NewRecord:
    data = body(lsn) if data is None else data
    words = Write("PUT", "b", b"/b/%d" % lsn, lsn, [(b"content-type", b"x")], b"t", '"e"', len(data), 1.0)
    return NewRecord(Kind.WRITE, lsn, pack(Kind.WRITE, words, data))


def done(lsn: int, *lsns: int) -> NewRecord:
    return NewRecord(Kind.DONE, lsn, pack(Kind.DONE, Done(list(lsns))))


def opened(disk: SimDisk) -> tuple[Log, dict[int, bytes], list[QuarantinedRange], ScanResult]:
    """Open and recover a log: the log, restored bodies by lsn, quarantined ranges and scan result."""
    log = Log(disk, SMALL)
    found = log.open()
    state = replay(log, found, 2.0, 2.0)
    apart = log.recover(found)
    stands = {}
    for lsn, restored in state.writes.items():
        record = log.read(*restored.position)
        stands[lsn] = bytes(unpack(record.kind, record.payload)[1])
    return log, stands, apart, found


class Work:
    """A workload of batches and the writes acknowledged of it; it can be run on any disk."""

    def __init__(self, first: int = 1, batches: int = 24) -> None:
        self.first, self.batches = first, batches
        self.acked: set[int] = set()
        self.over: set[int] = set()  # writes whose DONE record was acknowledged
        self.maybe_over: set[int] = set()
        self.offered: set[int] = set()

    def __call__(self, disk: SimDisk) -> None:
        log, _, _, found = opened(disk)
        lsn = max(self.first, log.durable + 1)
        segments: dict[int, set[int]] = {number: {0} for number in found.segments}  # kept
        for batch in range(self.batches):
            items = [write(lsn + i) for i in range(1 + batch * 7 % 5)]
            lsn += len(items)
            lsns = [item.lsn for item in items]
            ends = sorted(self.acked - self.over)[:2] if batch % 3 == 2 else []
            if ends:
                items.append(done(lsn, *ends))
                lsn += 1
            self.offered |= set(lsns)
            self.maybe_over |= set(ends)
            log.commit(items)
            self.acked |= set(lsns)
            self.over |= set(ends)
            for item in items:
                if item.kind is Kind.WRITE:
                    segments.setdefault(item.segment, set()).add(item.lsn)
            if batch % 6 == 5:  # removes the oldest unneeded segments, as the core does
                free = []
                for number in sorted(log.sizes):
                    if number == log.number or segments.get(number, set()) - self.over:
                        break
                    free.append(number)
                if free:
                    log.remove(free)
        log.close()


def run(work: Work, disk: SimDisk, cut: int | None) -> SimDisk:
    disk.power_loss_at = None if cut is None else disk.ops + cut
    try:
        work(disk)
    except PowerLossError:
        pass
    return disk


def judge(works: list[Work], stands: dict[int, bytes], apart: list[QuarantinedRange]) -> None:
    """Check that all acknowledged, unfinished writes are restored intact, and no unknown write is."""
    offered = set().union(*(work.offered for work in works))
    ended = set().union(*(work.maybe_over for work in works))
    for work in works:
        missing = work.acked - ended - set(stands)
        assert not missing, f"acknowledged and lost: {sorted(missing)}"
    assert set(stands) <= offered
    assert not set(stands) & set().union(*(work.over for work in works)), "finished writes were restored"
    for lsn, data in stands.items():
        assert data == body(lsn)
    assert not any(a.acknowledged for a in apart), "a power loss was reported as damage"


def filled(batches: int = 6) -> tuple[SimDisk, Work]:
    work = Work(batches=batches)
    disk = run(work, SimDisk(), None)
    disk.locked = False
    return disk, work
