"""The buffer's log on a disk that loses what was not synced: cut at every call, flipped, full, failing."""

from __future__ import annotations

import errno
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.buffer.errors import DiskFull, Failed
from mallowbeam.buffer.log import Apart, Found, Item, Log, name_of, walk
from mallowbeam.buffer.records import (
    RECORD,
    SEGMENT,
    Bad,
    Done,
    Intent,
    Kind,
    Newer,
    Record,
    Write,
    frame,
    pack,
    scan,
    unpack,
)
from mallowbeam.buffer.service import replay
from mallowbeam.standins.disk import Fault, PowerCut, SimDisk

SMALL = 4096                # bytes of a segment: a workload crosses many


def body(lsn: int) -> bytes:
    return random.Random(lsn).randbytes(1 + lsn * 211 % 1700)


def write(lsn: int, data: bytes | None = None) -> Item:
    data = body(lsn) if data is None else data
    words = Write("PUT", "b", b"/b/%d" % lsn, lsn, [(b"content-type", b"x")], b"t", '"e"', len(data), 1.0)
    return Item(Kind.WRITE, lsn, pack(Kind.WRITE, words, data))


def done(lsn: int, *lsns: int) -> Item:
    return Item(Kind.DONE, lsn, pack(Kind.DONE, Done(list(lsns))))


def opened(disk: SimDisk) -> tuple[Log, dict[int, bytes], list[Apart], Found]:
    """A log come up on a disk: what stands, by lsn, and what was set apart."""
    log = Log(disk, SMALL)
    found = log.open()
    state = replay(log, found, 2.0, 2.0)
    apart = log.settle(found)
    stands = {}
    for lsn, known in state.writes.items():
        record = log.read(*known.where)
        stands[lsn] = bytes(unpack(record.kind, record.payload)[1])
    return log, stands, apart, found


class Work:
    """A workload of batches, and what of it was acknowledged: it can be run on any disk, from any point."""

    def __init__(self, first: int = 1, batches: int = 24) -> None:
        self.first, self.batches = first, batches
        self.acked: set[int] = set()
        self.over: set[int] = set()            # DONE was acknowledged
        self.maybe_over: set[int] = set()
        self.offered: set[int] = set()

    def __call__(self, disk: SimDisk) -> None:
        log, _, _, found = opened(disk)
        lsn = max(self.first, log.durable + 1)
        segments: dict[int, set[int]] = {number: {0} for number in found.segments}  # others' stay
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
            if batch % 6 == 5:                 # the oldest that nothing needs go, as the core has it
                free = []
                for number in sorted(log.sizes):
                    if number == log.number or segments.get(number, set()) - self.over:
                        break
                    free.append(number)
                if free:
                    log.remove(free)
        log.close()


def run(work: Work, disk: SimDisk, cut: int | None) -> SimDisk:
    disk.cut_at = None if cut is None else disk.ops + cut
    try:
        work(disk)
    except PowerCut:
        pass
    return disk


def judge(works: list[Work], stands: dict[int, bytes], apart: list[Apart]) -> None:
    """All that was acknowledged and not ended stands with its bytes; nothing stands that nobody offered."""
    offered = set().union(*(work.offered for work in works))
    ended = set().union(*(work.maybe_over for work in works))
    for work in works:
        missing = work.acked - ended - set(stands)
        assert not missing, f"acknowledged and lost: {sorted(missing)}"
    assert set(stands) <= offered
    assert not set(stands) & set().union(*(work.over for work in works)), "what was over came back"
    for lsn, data in stands.items():
        assert data == body(lsn)
    assert not any(a.acknowledged for a in apart), "a power cut was taken for damage"


def test_the_power_goes_at_every_write_and_sync_of_a_workload():
    """Each cut is followed by three draws of what the disk kept, and each must come up whole."""
    whole = run(Work(), SimDisk(), None).ops
    assert whole > 60
    for cut in range(whole + 1):
        for seed in range(3):
            work = Work()
            disk = run(work, SimDisk(), cut).crashed(cut * 31 + seed)
            _, stands, apart, _ = opened(disk)
            judge([work], stands, apart)


def test_the_power_goes_again_at_every_call_of_the_recovery_and_of_the_life_after_it():
    """Two crashes in a row, the second at each call from the first of the recovery on."""
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


def test_a_checker_that_sees_no_loss_would_be_none():
    """A log that does not sync is caught by the same judge."""
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


def filled(batches: int = 6) -> tuple[SimDisk, Work]:
    work = Work(batches=batches)
    disk = run(work, SimDisk(), None)
    disk.locked = False
    return disk, work


def test_every_flipped_bit_is_named_and_costs_no_other_record():
    """Damage to what is known to be acknowledged is an error with its place; its neighbours still stand."""
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
            assert copy.files[apart[0].name].now == copy.files[name].now[
                apart[0].offset:apart[0].offset + apart[0].length]
        assert all(data == body(lsn) for lsn, data in stands.items())


def test_a_damaged_head_costs_nothing_and_a_missing_segment_is_named():
    disk, work = filled(20)
    segments = [n for n in disk.names() if n.startswith("segment-")]
    disk.flip(segments[1], 3)
    _, stands, apart, found = opened(disk.crashed(0))
    assert work.acked - work.maybe_over <= set(stands) and not found.missing
    copy = disk.crashed(0)
    del copy.files[segments[1]]
    *_, found = opened(copy)
    assert found.missing == [int(segments[1][8:-4])]


def test_damage_is_told_once_and_keeps_its_name():
    disk, _ = filled()
    name = next(n for n in disk.names() if n.startswith("segment-"))
    disk.flip(name, SEGMENT.size + RECORD.size + 9)
    log, _, apart, _ = opened(disk)
    assert [a.acknowledged for a in apart] == [True]
    log.close()
    log, _, again, _ = opened(disk)
    assert again == [] and apart[0].name in disk.names()


def test_a_full_disk_takes_back_what_it_could_not_hold_and_still_lets_writes_end():
    disk = SimDisk()
    log, *_ = opened(disk)
    log.commit([write(1)])
    disk.room = disk.used() + 500
    with pytest.raises(DiskFull):
        log.commit([write(2, b"x" * 5000)])
    assert disk.files[name_of(log.number)].now.endswith(body(1))
    with pytest.raises(DiskFull):
        log.commit([done(3, 1), write(4, b"x" * 5000)])
    disk.room = disk.used()
    with pytest.raises(DiskFull):
        log.commit([done(5, 1)])
    log.commit([done(6, 1)], last=True)
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
    with pytest.raises(Failed, match="Input/output"):
        log.commit([write(2)])
    size = len(disk.files[name_of(bad)].now)
    log.commit([Item(Kind.VOID, 4, pack(Kind.VOID, Done([2]))), write(5)])
    assert log.number == bad + 1 and len(disk.files[name_of(bad)].now) == size
    log.close()
    for seed in range(20):                     # whether or not the failed batch reached the disk
        _, stands, *_ = opened(disk.crashed(seed))
        assert stands == {1: body(1), 5: body(5)}


def test_a_folder_in_use_is_read_while_its_oldest_segment_goes():
    disk, work = filled(20)

    class Busy(SimDisk):
        def names(self):
            return [*disk.names(), name_of(0)]  # it was there a moment ago

        def open(self, name, new=False):
            return disk.open(name, new)

    owner = bytes.fromhex(json.loads(disk.files["folder.json"].now)["id"])
    assert work.acked - work.over <= {r.lsn for r in walk(Busy(), owner, Found())}


def test_a_new_segment_that_cannot_be_made_leaves_no_file_behind():
    disk = SimDisk()
    log, *_ = opened(disk)
    log.abandon()
    names = disk.names()
    for code, error in ((errno.ENOSPC, DiskFull), (errno.EIO, Failed)):
        disk.faults = [Fault("sync", code, "segment-")]
        with pytest.raises(error):
            log.commit([write(1)])
        assert disk.names() == names
    log.commit([write(2)])


@pytest.mark.parametrize("change, words", [
    ({"version": 2}, "version 2"), ({"format": "else"}, "no buffer"), (None, "can't be read")])
def test_what_is_not_ours_or_newer_is_refused(change, words):
    disk, _ = filled(2)
    told = json.loads(disk.files["folder.json"].now)
    disk.files["folder.json"].now[:] = b"{" if change is None else json.dumps(told | change).encode()
    with pytest.raises(Newer, match=words):
        Log(disk, SMALL).open()


def test_segments_without_their_folder_file_or_of_another_folder_are_refused():
    disk, _ = filled(2)
    del disk.files["folder.json"]
    with pytest.raises(Newer, match=r"no folder\.json"):
        Log(disk, SMALL).open()
    disk, other = filled(2)[0], filled(2)[0]
    name = next(n for n in disk.names() if n.startswith("segment-"))
    disk.files[name] = other.files[name]
    with pytest.raises(Newer, match="another folder"):
        opened(disk)


def test_bytes_that_a_client_stores_never_pass_for_records():
    """A body that holds a whole copy of the log, behind a record that was damaged, is searched through."""
    disk = SimDisk()
    log, *_ = opened(disk)
    log.commit([write(1)])
    forged = b"".join(frame(12345, Kind.DONE, 99, 0, pack(Kind.DONE, Done([1, 2]))))
    log.commit([write(2, forged * 3)])
    log.commit([write(3)])
    log.close()
    name = name_of(log.number)
    disk.flip(name, len(disk.files[name].now) - log.at + SEGMENT.size + RECORD.size + 2)
    _, stands, *_ = opened(disk)
    assert 3 in stands and 99 not in stands


@given(st.lists(st.one_of(
    st.tuples(st.just("record"), st.binary(max_size=300)),
    st.tuples(st.just("junk"), st.binary(max_size=300)),
    st.tuples(st.just("zeros"), st.integers(0, 300))), max_size=12), st.integers(1, 64))
def test_a_scan_gives_back_every_record_and_accounts_for_every_byte(things, chunk):
    marker, data, wanted = 0x51A7C0DE, b"", []
    for lsn, (kind, value) in enumerate(things, 1):
        if kind == "record":
            wanted.append((lsn, value))
            data += b"".join(frame(marker, Kind.PIECE, lsn, 0, [value]))
        else:
            data += value if kind == "junk" else bytes(value)
    parts = iter([data[at:at + chunk] for at in range(0, len(data), chunk)])
    found = list(scan(parts, 1, marker, 0))
    assert [(r.lsn, bytes(r.payload)) for r in found if isinstance(r, Record)] == wanted
    at = SEGMENT.size
    for thing in found:
        assert thing.offset == at
        at = thing.end if isinstance(thing, Record) else thing.offset + thing.length
        if isinstance(thing, Bad):
            piece = data[thing.offset - SEGMENT.size:][:thing.length]
            assert thing.blank == (not any(piece))
    assert at == SEGMENT.size + len(data)


@given(st.binary(max_size=200), st.sampled_from([kind for kind in Kind if kind is not Kind.PIECE]))
def test_words_that_cannot_be_read_are_a_value_error(data, kind):
    try:
        unpack(kind, data)
    except ValueError:
        pass


def test_a_marker_across_two_reads_is_found_behind_damaged_bytes():
    """More than a megabyte of it, so that the scan does not hold all at once."""
    marker = 0x51A7C0DE
    good = b"".join(frame(marker, Kind.PIECE, 1, 0, [b"behind"]))
    for short in range(-1, 5):                 # bytes of the marker that come before the second read ends
        data = b"j" * ((2 << 20) - short) + good
        parts = iter([data[at:at + (1 << 20)] for at in range(0, len(data), 1 << 20)])
        bad, record = scan(parts, 1, marker, 0)
        assert isinstance(bad, Bad) and bad.length == len(data) - len(good) and not bad.blank
        assert isinstance(record, Record) and record.payload == b"behind"


def test_a_torn_end_is_cut_off_so_that_later_records_do_not_make_it_damage():
    disk = SimDisk()
    log, *_ = opened(disk)
    log.commit([write(1)])
    torn = name_of(log.number)
    log.file.write([b"torn" * 50], log.at)
    log.close()
    log, stands, apart, _ = opened(disk)
    assert set(stands) == {1} and [a.acknowledged for a in apart] == [False]
    log.commit([write(5)])
    log.commit([write(6)])
    log.close()
    found = Found()
    assert [r.lsn for r in walk(disk, log.owner, found)] == [1, 5, 6] and found.bad == []
    assert not disk.files[torn].now.endswith(b"torn")


def test_a_large_log_is_read_through_in_little_memory():
    import tracemalloc
    disk = SimDisk()
    log = Log(disk, 64 << 20)
    log.settle(log.open())
    for first in range(0, 4000, 100):
        log.commit([Item(Kind.PIECE, first + i + 1, [bytes(4096)]) for i in range(100)])
    found = Found()
    tracemalloc.start()
    count = sum(1 for _ in log.records(found))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert count == 4000 and peak < 6 << 20 and sum(found.segments.values()) > 4000 * 4096


def test_an_intent_is_read_back_with_its_clock():
    words = Intent([1, 2], b"boot", 12.5, 3)
    parts = pack(Kind.INTENT, words)
    assert unpack(Kind.INTENT, b"".join(parts))[0] == words
