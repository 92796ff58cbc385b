"""A buffer's folder looked at from outside: what it holds, whether it is whole, its writes as files.

Changes nothing in the folder, so a folder in use may be looked at too; what is written meanwhile may be seen
or not.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from urllib.parse import quote

from mallowbeam.storage_gateway.write_buffer.core import Known
from mallowbeam.storage_gateway.write_buffer.disk import RealDisk
from mallowbeam.storage_gateway.write_buffer.log import Found, Log, folder_id, name_of, numbers, walk
from mallowbeam.storage_gateway.write_buffer.records import Moved, Newer, Record, Write, unpack
from mallowbeam.storage_gateway.write_buffer.reopen import boot_clock, replay


class Tally(Log):
    """A log that is read and not owned, and counts what it reads."""

    def __init__(self, disk: RealDisk, told: Callable[[int], None] | None) -> None:
        super().__init__(disk, 0)
        owner = folder_id(disk)
        if owner is None:
            raise Newer("it holds no buffer")
        self.owner, self.told, self.kinds = owner, told, dict[str, int]()

    def records(self, found: Found) -> Iterator[Record]:
        """All records, counted."""
        read = 0
        for record in walk(self.disk, self.owner, found):
            name = record.kind.name.lower()
            self.kinds[name] = self.kinds.get(name, 0) + 1
            read += record.end - record.offset
            if self.told is not None and read > 1 << 20:
                self.told(read)
                read = 0
            yield record
        if self.told is not None:
            self.told(read)


@dataclass(slots=True)
class Damage:
    """Bytes that are no record."""

    segment: int
    offset: int
    length: int
    kind: str  # damaged, torn, blank


@dataclass(slots=True)
class Report:
    """What a folder holds."""

    folder: str
    segments: int = 0
    bytes: int = 0
    records: dict[str, int] = field(default_factory=dict)
    last_lsn: int = 0
    writes: int = 0
    write_bytes: int = 0
    barriers: int = 0
    in_doubt: int = 0  # writes that may have been sent
    held: list[dict[str, object]] = field(default_factory=list)
    oldest_s: float = 0.0  # age of the oldest write by the wall clock
    buckets: dict[str, int] = field(default_factory=dict)
    damage: list[Damage] = field(default_factory=list)
    missing: list[int] = field(default_factory=list)  # segments
    unreadable: list[int] = field(default_factory=list)  # writes whose pieces can't be read
    apart: list[str] = field(default_factory=list)  # files of damaged bytes

    @property
    def whole(self) -> bool:
        """Whether nothing that was acknowledged is damaged or missing."""
        return not (self.missing or self.unreadable or any(d.kind == "damaged" for d in self.damage))

    def json(self) -> str:
        """As JSON, for scripts."""
        return json.dumps(asdict(self) | {"whole": self.whole}, indent=2)


def size_of(folder: str) -> int:
    """Bytes of a folder's segments."""
    disk = RealDisk(folder, read_only=True)
    try:
        return sum(os.stat(Path(folder) / name_of(number)).st_size for number in numbers(disk))
    finally:
        disk.close()


def look(folder: str, pieces: bool = False, told: Callable[[int], None] | None = None) -> Report:
    """Read a folder through; `pieces`: also those of large bodies, one by one.  Raises `Newer`, OSError."""
    disk = RealDisk(folder, read_only=True)
    try:
        log, found, now = Tally(disk, told), Found(), boot_clock()
        state = replay(log, found, time.time(), now)
        report = Report(folder, len(numbers(disk)), sum(found.segments.values()), log.kinds, found.last)
        report.missing = found.missing
        firsts: dict[str, int] = {}  # by bucket: the first write still here
        for lsn, known in state.writes.items():
            firsts[known.entry.bucket] = min(lsn, firsts.get(known.entry.bucket, lsn))
        report.barriers = sum(firsts.get(bucket, lsn) < lsn for lsn, (bucket, _) in state.barriers.items())
        report.apart = [name for name in disk.names() if name.startswith("apart-")]
        for bad in found.bad:
            kind = "blank" if bad.blank else "damaged" if bad.after < found.durable else "torn"
            report.damage.append(Damage(bad.segment, bad.offset, bad.length, kind))
        for lsn, known in state.writes.items():
            entry = known.entry
            report.writes += 1
            report.write_bytes += entry.size
            report.in_doubt += known.intent is not None
            report.buckets[entry.bucket] = report.buckets.get(entry.bucket, 0) + 1
            report.oldest_s = max(report.oldest_s, round(now - entry.at, 3))
            if known.held is not None:
                report.held.append(
                    {
                        "lsn": lsn,
                        "method": entry.method,
                        "target": entry.name.decode("latin-1"),
                        "bytes": entry.size,
                        "reason": known.held,
                    }
                )
            if pieces and not readable(log, known):
                report.unreadable.append(lsn)
        return report
    finally:
        disk.close()


def readable(log: Log, known: Known) -> bool:
    """Whether a write and its pieces stand where the log says."""
    from mallowbeam.storage_gateway.write_buffer.errors import Failed

    try:
        write, _ = words(log, known)
        for segment, offset, _ in write.pieces:
            log.read(segment, offset)
    except (Failed, ValueError, OSError):
        return False
    return True


def words(log: Log, known: Known) -> tuple[Write, memoryview]:
    """A write's words and what of its body stands with them."""
    record = log.read(*known.where)
    told, body = unpack(record.kind, record.payload)
    write = told.write if isinstance(told, Moved) else told
    assert isinstance(write, Write)
    return write, body


def export(folder: str, target: Path, told: Callable[[int], None] | None = None) -> int:
    """Write every write that is still here as a file, and `index.json` beside them; how many there were.

    Files are named by the order in which they came: the last of one name is what a reader would see.
    """
    disk = RealDisk(folder, read_only=True)
    try:
        log, found = Tally(disk, None), Found()
        state = replay(log, found, time.time(), boot_clock())
        target.mkdir(parents=True)  # an export never adds to another
        index = []
        for lsn in sorted(state.writes):
            write, body = words(log, state.writes[lsn])
            name = f"{lsn:012d}-{write.method}-" + quote(write.target, safe="")[:150]
            if write.method == "PUT":
                with open(target / name, "xb") as file:
                    file.write(body)
                    for segment, offset, _ in write.pieces:
                        file.write(log.read(segment, offset).payload)
            index.append(
                {
                    "lsn": lsn,
                    "file": name,
                    "method": write.method,
                    "bucket": write.bucket,
                    "target": write.target.decode("latin-1"),
                    "bytes": write.size,
                    "etag": write.etag,
                    "headers": [[n.decode("latin-1"), v.decode("latin-1")] for n, v in write.headers],
                    "held": state.writes[lsn].held,
                }
            )
            if told is not None:
                told(write.size)
        (target / "index.json").write_text(json.dumps(index, indent=1))
        return len(index)
    finally:
        disk.close()
