"""Inspects a buffer's folder from outside: reports its content and damage, and exports its writes as files.

The folder is not changed, so a folder in use may be inspected too; records written meanwhile may or may
not be seen.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from urllib.parse import quote

from mallowbeam.storage_gateway.write_buffer.disk import RealDisk
from mallowbeam.storage_gateway.write_buffer.errors import LogIOError
from mallowbeam.storage_gateway.write_buffer.log import (
    Log,
    ScanResult,
    folder_id,
    read_records,
    segment_name,
    segment_numbers,
)
from mallowbeam.storage_gateway.write_buffer.records import (
    DamagedRange,
    Record,
    RelocatedWrite,
    UnsupportedFormatError,
    Write,
    unpack,
)
from mallowbeam.storage_gateway.write_buffer.reopen import boot_clock, replay
from mallowbeam.storage_gateway.write_buffer.replay import Replay, RestoredWrite

PROGRESS_BYTES = 1 << 20  # between calls of the progress callback
MAX_FILE_NAME_CHARS = 150  # characters of a target in the name of an exported file
QUARANTINE_PREFIX = "apart-"

Progress = Callable[[int], None]
"""Called with the number of bytes read since the last call."""


class CountingLog(Log):
    """A log that is read without locking the folder, and counts its records by kind."""

    def __init__(self, disk: RealDisk, progress: Progress | None) -> None:
        super().__init__(disk, 0)
        owner = folder_id(disk)
        if owner is None:
            raise UnsupportedFormatError("it holds no buffer")
        self.owner = owner
        self.kinds: dict[str, int] = {}
        self._progress = progress

    def records(self, result: ScanResult) -> Iterator[Record]:
        """Yield all records in order, and count them."""
        unreported = 0
        for record in read_records(self.disk, self.owner, result):
            name = record.kind.name.lower()
            self.kinds[name] = self.kinds.get(name, 0) + 1
            unreported += record.end - record.offset
            if self._progress is not None and unreported > PROGRESS_BYTES:
                self._progress(unreported)
                unreported = 0
            yield record
        if self._progress is not None:
            self._progress(unreported)


@dataclass(slots=True)
class Damage:
    """Bytes that are not a record; the fields are keys of `mallowbeam buffer show --json`."""

    segment: int
    offset: int
    length: int
    kind: str  # damaged, torn, blank


@dataclass(slots=True)
class Report:
    """The content of a folder; the fields are keys of `mallowbeam buffer show --json`."""

    folder: str
    segments: int = 0
    bytes: int = 0
    records: dict[str, int] = field(default_factory=dict)
    last_lsn: int = 0
    writes: int = 0
    write_bytes: int = 0
    barriers: int = 0
    in_doubt: int = 0  # writes that may have been sent
    held: list[dict[str, object]] = field(default_factory=list)  # suspended writes
    oldest_s: float = 0.0  # age of the oldest write by the wall clock
    buckets: dict[str, int] = field(default_factory=dict)  # writes by bucket
    damage: list[Damage] = field(default_factory=list)
    missing: list[int] = field(default_factory=list)  # segments
    unreadable: list[int] = field(default_factory=list)  # writes whose chunks cannot be read
    apart: list[str] = field(default_factory=list)  # files of quarantined bytes

    @property
    def is_intact(self) -> bool:
        """Whether nothing that was acknowledged is damaged or missing."""
        return not (self.missing or self.unreadable or any(d.kind == "damaged" for d in self.damage))

    def json(self) -> str:
        """The report as JSON, for scripts."""
        return json.dumps(asdict(self) | {"whole": self.is_intact}, indent=2)


def folder_bytes(folder: str) -> int:
    """Bytes of a folder's segments."""
    disk = RealDisk(folder, read_only=True)
    try:
        return sum(os.stat(Path(folder) / segment_name(number)).st_size for number in segment_numbers(disk))
    finally:
        disk.close()


def inspect_folder(folder: str, chunks: bool = False, progress: Progress | None = None) -> Report:
    """Read a whole folder; `chunks`: also check each chunk of large bodies.

    Raises `UnsupportedFormatError` or OSError.
    """
    disk = RealDisk(folder, read_only=True)
    try:
        log = CountingLog(disk, progress)
        result = ScanResult()
        now = boot_clock()
        state = replay(log, result, time.time(), now)
        report = Report(folder, len(segment_numbers(disk)), sum(result.segments.values()))
        report.records = log.kinds
        report.last_lsn = result.last_lsn
        report.missing = result.missing
        report.barriers = _pending_barriers(state)
        report.apart = [name for name in disk.names() if name.startswith(QUARANTINE_PREFIX)]
        report.damage = [_describe_damage(damaged, result) for damaged in result.damaged]
        for lsn, restored in state.writes.items():
            _add_write(report, lsn, restored, now)
            if chunks and not is_readable(log, restored):
                report.unreadable.append(lsn)
        return report
    finally:
        disk.close()


def _pending_barriers(state: Replay) -> int:
    """The number of barriers that have a write of their bucket before them."""
    first_writes: dict[str, int] = {}  # by bucket
    for lsn, restored in state.writes.items():
        bucket = restored.entry.bucket
        first_writes[bucket] = min(lsn, first_writes.get(bucket, lsn))
    return sum(first_writes.get(bucket, lsn) < lsn for lsn, (bucket, _) in state.barriers.items())


def _describe_damage(damaged: DamagedRange, result: ScanResult) -> Damage:
    kind = "damaged" if damaged.last_lsn < result.durable else "torn"
    if damaged.is_blank:
        kind = "blank"
    return Damage(damaged.segment, damaged.offset, damaged.length, kind)


def _add_write(report: Report, lsn: int, restored: RestoredWrite, now: float) -> None:
    entry = restored.entry
    report.writes += 1
    report.write_bytes += entry.size
    report.in_doubt += restored.intent is not None
    report.buckets[entry.bucket] = report.buckets.get(entry.bucket, 0) + 1
    report.oldest_s = max(report.oldest_s, round(now - entry.accepted_at, 3))
    if restored.suspension is not None:
        report.held.append(
            {
                "lsn": lsn,
                "method": entry.method,
                "target": entry.name.decode("latin-1"),
                "bytes": entry.size,
                "reason": restored.suspension,
            }
        )


def is_readable(log: Log, restored: RestoredWrite) -> bool:
    """Whether a write and all its chunks can be read."""
    try:
        write, _ = read_write(log, restored)
        for segment, offset, _ in write.chunks:
            log.read(segment, offset)
    except (LogIOError, ValueError, OSError):
        return False
    return True


def read_write(log: Log, restored: RestoredWrite) -> tuple[Write, memoryview]:
    """Read a write, and its body unless that is in chunks; raises `LogIOError` or ValueError."""
    record = log.read(*restored.position)
    content, body = unpack(record.kind, record.payload)
    write = content.write if isinstance(content, RelocatedWrite) else content
    assert isinstance(write, Write)
    return write, body


def export_writes(folder: str, target: Path, progress: Progress | None = None) -> int:
    """Export every pending write to a file, and `index.json` beside them; returns the number of writes.

    File names sort in the order of the writes: the last one of a name is the object that a reader would see.
    """
    disk = RealDisk(folder, read_only=True)
    try:
        log = CountingLog(disk, None)
        state = replay(log, ScanResult(), time.time(), boot_clock())
        target.mkdir(parents=True)  # an export never adds to another
        index = []
        for lsn in sorted(state.writes):
            restored = state.writes[lsn]
            write, body = read_write(log, restored)
            name = f"{lsn:012d}-{write.method}-" + quote(write.target, safe="")[:MAX_FILE_NAME_CHARS]
            if write.method == "PUT":
                with open(target / name, "xb") as file:
                    file.write(body)
                    for segment, offset, _ in write.chunks:
                        file.write(log.read(segment, offset).payload)
            index.append(_index_row(lsn, name, write, restored))
            if progress is not None:
                progress(write.size)
        (target / "index.json").write_text(json.dumps(index, indent=1))
        return len(index)
    finally:
        disk.close()


def _index_row(lsn: int, file_name: str, write: Write, restored: RestoredWrite) -> dict[str, object]:
    return {
        "lsn": lsn,
        "file": file_name,
        "method": write.method,
        "bucket": write.bucket,
        "target": write.target.decode("latin-1"),
        "bytes": write.size,
        "etag": write.etag,
        "headers": [[name.decode("latin-1"), value.decode("latin-1")] for name, value in write.headers],
        "held": restored.suspension,
    }
