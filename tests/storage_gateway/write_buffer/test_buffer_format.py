"""Reading the buffer's files: unsupported formats, the results of a scan, torn ends and damage."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from logged import SEGMENT_BYTES, filled_disk, open_log, write

from mallowbeam.standins.disk import SimDisk
from mallowbeam.storage_gateway.write_buffer.log import Log, NewRecord, ScanResult, read_records, segment_name
from mallowbeam.storage_gateway.write_buffer.records import (
    RECORD,
    SEGMENT,
    DamagedRange,
    Done,
    Intent,
    Kind,
    Record,
    UnsupportedFormatError,
    frame,
    pack,
    scan,
    unpack,
)


@pytest.mark.parametrize(
    "overrides, message",
    [({"version": 2}, "version 2"), ({"format": "else"}, "no buffer"), (None, "can't be read")],
)
def test_a_folder_of_another_format_or_a_newer_version_is_rejected(overrides, message):
    disk, _ = filled_disk(2)
    header = json.loads(disk.files["folder.json"].now)
    disk.files["folder.json"].now[:] = b"{" if overrides is None else json.dumps(header | overrides).encode()
    with pytest.raises(UnsupportedFormatError, match=message):
        Log(disk, SEGMENT_BYTES).open()


def test_segments_without_their_folder_file_or_of_another_folder_are_refused():
    disk, _ = filled_disk(2)
    del disk.files["folder.json"]
    with pytest.raises(UnsupportedFormatError, match=r"no folder\.json"):
        Log(disk, SEGMENT_BYTES).open()
    disk, other = filled_disk(2)[0], filled_disk(2)[0]
    name = next(n for n in disk.names() if n.startswith("segment-"))
    disk.files[name] = other.files[name]
    with pytest.raises(UnsupportedFormatError, match="another folder"):
        open_log(disk)


def test_bytes_that_a_client_stores_are_never_read_as_records():
    """A scan after a damaged record also searches a body, which here holds forged records."""
    disk = SimDisk()
    log, *_ = open_log(disk)
    log.commit([write(1)])
    forged = b"".join(frame(12345, Kind.DONE, 99, 0, pack(Kind.DONE, Done([1, 2]))))
    log.commit([write(2, forged * 3)])
    log.commit([write(3)])
    log.close()
    name = segment_name(log.number)
    disk.flip(name, len(disk.files[name].now) - log.offset + SEGMENT.size + RECORD.size + 2)
    _, bodies, *_ = open_log(disk)
    assert 3 in bodies and 99 not in bodies


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("record"), st.binary(max_size=300)),
            st.tuples(st.just("junk"), st.binary(max_size=300)),
            st.tuples(st.just("zeros"), st.integers(0, 300)),
        ),
        max_size=12,
    ),
    st.integers(1, 64),
)
def test_a_scan_gives_back_every_record_and_accounts_for_every_byte(things, chunk):
    marker, data, wanted = 0x51A7C0DE, b"", []
    for lsn, (kind, value) in enumerate(things, 1):
        if kind == "record":
            wanted.append((lsn, value))
            data += b"".join(frame(marker, Kind.PIECE, lsn, 0, [value]))
        else:
            data += value if kind == "junk" else bytes(value)
    parts = iter([data[at : at + chunk] for at in range(0, len(data), chunk)])
    found = list(scan(parts, 1, marker, 0))
    assert [(r.lsn, bytes(r.payload)) for r in found if isinstance(r, Record)] == wanted
    at = SEGMENT.size
    for thing in found:
        assert thing.offset == at
        at = thing.end if isinstance(thing, Record) else thing.offset + thing.length
        if isinstance(thing, DamagedRange):
            piece = data[thing.offset - SEGMENT.size :][: thing.length]
            assert thing.is_blank == (not any(piece))
    assert at == SEGMENT.size + len(data)


@given(st.binary(max_size=200), st.sampled_from([kind for kind in Kind if kind is not Kind.PIECE]))
def test_a_payload_that_can_not_be_decoded_raises_value_error(data, kind):
    try:
        unpack(kind, data)
    except ValueError:
        pass


def test_a_marker_across_two_reads_is_found_behind_damaged_bytes():
    """More than a megabyte is damaged, so that the scan does not hold it all at once."""
    marker = 0x51A7C0DE
    good = b"".join(frame(marker, Kind.PIECE, 1, 0, [b"behind"]))
    for short in range(-1, 5):  # bytes of the marker in the second read
        data = b"j" * ((2 << 20) - short) + good
        parts = iter([data[at : at + (1 << 20)] for at in range(0, len(data), 1 << 20)])
        bad, record = scan(parts, 1, marker, 0)
        assert isinstance(bad, DamagedRange) and bad.length == len(data) - len(good) and not bad.is_blank
        assert isinstance(record, Record) and record.payload == b"behind"


def test_a_torn_end_is_truncated_so_that_it_is_not_later_reported_as_damage():
    disk = SimDisk()
    log, *_ = open_log(disk)
    log.commit([write(1)])
    torn = segment_name(log.number)
    log.file.write([b"torn" * 50], log.offset)
    log.close()
    log, bodies, quarantined, _ = open_log(disk)
    assert set(bodies) == {1} and [a.acknowledged for a in quarantined] == [False]
    log.commit([write(5)])
    log.commit([write(6)])
    log.close()
    found = ScanResult()
    assert [r.lsn for r in read_records(disk, log.owner, found)] == [1, 5, 6] and found.damaged == []
    assert not disk.files[torn].now.endswith(b"torn")


def test_a_large_log_is_read_through_in_little_memory():
    import tracemalloc

    disk = SimDisk()
    log = Log(disk, 64 << 20)
    log.recover(log.open())
    for first in range(0, 4000, 100):
        log.commit([NewRecord(Kind.PIECE, first + i + 1, [bytes(4096)]) for i in range(100)])
    found = ScanResult()
    tracemalloc.start()
    count = sum(1 for _ in log.records(found))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert count == 4000 and peak < 6 << 20 and sum(found.segments.values()) > 4000 * 4096


def test_an_intent_is_read_back_with_its_clock():
    content = Intent([1, 2], b"boot", 12.5, 3)
    parts = pack(Kind.INTENT, content)
    assert unpack(Kind.INTENT, b"".join(parts))[0] == content
