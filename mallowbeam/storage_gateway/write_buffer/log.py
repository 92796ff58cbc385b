"""The segmented log: records appended, synced, read again, and whole segments taken away.

Blocking; one thread at a time.  A batch is written behind the last synced byte and synced once.  A batch that
can't be written or synced is never acknowledged: where the disk is full its bytes are cut off again; where
writing or syncing failed otherwise, that file is trusted no more and a new segment begins.
"""

from __future__ import annotations

import errno
import json
import os
import threading
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.write_buffer.disk import Disk, File
from mallowbeam.storage_gateway.write_buffer.errors import DiskFull, Failed
from mallowbeam.storage_gateway.write_buffer.records import (
    RECORD,
    SEGMENT,
    VERSION,
    Bad,
    Kind,
    Newer,
    Record,
    check,
    frame,
    marker_at,
    pack,
    read_head,
    scan,
    segment_head,
)

READ = 1 << 20  # bytes read at once when the log is read through
RESERVE = 1 << 20  # bytes kept back for what ends writes, where the disk is full
FOLDER = "folder.json"
FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


@dataclass(slots=True)
class Item:
    """One record to be appended; `segment` and `offset` are known once it is written."""

    kind: Kind
    lsn: int
    parts: list[bytes]
    segment: int = 0
    offset: int = 0

    @property
    def size(self) -> int:
        """Bytes in the log."""
        return RECORD.size + sum(map(len, self.parts))


@dataclass(slots=True)
class Apart:
    """Bytes that were no record, set apart in a file of their own."""

    name: str
    segment: int
    offset: int
    length: int
    acknowledged: bool  # it held records known to be durable; else a torn end


@dataclass(slots=True)
class Found:
    """What a look at the folder brought, beside its records."""

    last: int = 0  # the highest lsn
    durable: int = 0  # up to here records were told to be durable
    segments: dict[int, int] = field(default_factory=dict)  # bytes of each
    bad: list[Bad] = field(default_factory=list)
    headless: list[int] = field(default_factory=list)  # segments without a readable head
    missing: list[int] = field(default_factory=list)  # segments that should lie between others


def name_of(number: int) -> str:
    """A segment's file name."""
    return f"segment-{number:010d}.log"


def numbers(disk: Disk) -> list[int]:
    """The segments of a folder, oldest first."""
    return sorted(
        int(name[8:-4])
        for name in disk.names()
        if name.startswith("segment-") and name.endswith(".log") and name[8:-4].isdigit()
    )


def folder_id(disk: Disk) -> bytes | None:
    """The folder's own id, None for an empty one; raises `Newer` for what is no folder of ours."""
    if FOLDER not in disk.names():
        if numbers(disk):
            raise Newer(f"there are segments but no {FOLDER}")
        return None
    file = disk.open(FOLDER)
    try:
        told = json.loads(file.read(4096, 0))
        if told["format"] != "mallowbeam-buffer":
            raise Newer("it is no buffer of this program's")
        if told["version"] > VERSION:
            raise Newer(f"it is of version {told['version']}, this program reads {VERSION}")
        return bytes.fromhex(told["id"])
    except (ValueError, KeyError, TypeError):
        if numbers(disk):
            raise Newer(f"{FOLDER} can't be read") from None
        return None  # the power went while it was being made
    finally:
        file.close()


def make_folder(disk: Disk) -> bytes:
    """Begin an empty folder."""
    owner = os.urandom(16)
    if FOLDER in disk.names():
        disk.remove(FOLDER)
    file = disk.open(FOLDER, new=True)
    text = json.dumps({"format": "mallowbeam-buffer", "version": VERSION, "id": owner.hex()})
    file.write([text.encode() + b"\n"], 0)
    file.sync()
    file.close()
    disk.sync()
    return owner


def pieces(file: File, at: int) -> Iterator[bytes]:
    """A file's bytes from an offset on."""
    while data := file.read(READ, at):
        at += len(data)
        yield data


def walk(disk: Disk, owner: bytes, found: Found) -> Iterator[Record]:
    """All records of a folder in order; `found` is filled in on the way.  Changes nothing."""
    known = numbers(disk)
    found.missing = sorted(set(range(known[0], known[-1])) - set(known)) if known else []
    for number in known:
        try:
            file = disk.open(name_of(number))
        except FileNotFoundError:  # its owner has just taken it away: all in it is settled
            continue
        try:
            size = found.segments[number] = file.size()
            marker = read_head(file.read(SEGMENT.size, 0), owner, number)
            if marker is None:  # the records may stand for all that
                marker = marker_at(file.read(READ + RECORD.size, SEGMENT.size))
            if marker is None:
                found.headless.append(number)
                blank = not any(map(any, pieces(file, 0)))
                found.bad.append(Bad(number, 0, size, blank, found.last, True))
                continue
            for thing in scan(pieces(file, SEGMENT.size), number, marker, found.last):
                if isinstance(thing, Bad):
                    found.bad.append(thing)
                    continue
                found.last = max(found.last, thing.lsn)
                found.durable = max(found.durable, thing.durable)
                yield thing
        finally:
            file.close()


class Log:
    """The log of a folder that this process owns."""

    def __init__(self, disk: Disk, segment_bytes: int) -> None:
        self.disk, self.segment_bytes = disk, segment_bytes
        self.owner = b""
        self.files: dict[int, File] = {}
        self.sizes: dict[int, int] = {}
        self.markers: dict[int, int] = {}
        self.number = self.at = 0  # of the segment written to; where the next record goes
        self.file: File | None = None
        self.durable = 0
        self.synced = 0  # syncs of a file so far
        self.reserve = False
        self._opening = threading.Lock()  # readers are threads of their own

    # --- coming up ------------------------------------------------------------------------------

    def open(self) -> Found:
        """Own the folder and make ready; raises `Locked`, `Newer` or OSError.  `records` follows."""
        self.disk.lock()
        self.owner = folder_id(self.disk) or make_folder(self.disk)
        return Found()

    def records(self, found: Found) -> Iterator[Record]:
        """All records that stand, in order."""
        yield from walk(self.disk, self.owner, found)

    def settle(self, found: Found) -> list[Apart]:
        """Once the records are read: set bad bytes apart, and begin a new segment.

        Guards the next life: a torn end is cut off its segment, or it would look like damage to what was
        acknowledged once later records say that the log is durable beyond it.
        """
        self.sizes = dict(found.segments)
        self.number = max(found.segments, default=0)
        self.durable = found.last
        apart = []
        for bad in found.bad:
            if not bad.blank:
                apart += self._set_apart(bad, bad.after < found.durable)
            if bad.last and bad.offset:
                file = self.disk.open(name_of(bad.segment))
                file.cut(bad.offset)
                file.sync()
                file.close()
                self.sizes[bad.segment] = bad.offset
        for number in found.headless:
            self.disk.remove(name_of(number))
            del self.sizes[number]
        if found.headless or apart:
            self.disk.sync()
        self._next_segment(found.last + 1)
        self._keep_reserve()
        return apart

    def _set_apart(self, bad: Bad, acknowledged: bool) -> list[Apart]:
        name = f"apart-{bad.segment:010d}-{bad.offset}.bin"
        if name in self.disk.names():  # known from an earlier life, and told then
            return []
        file, copy = self.disk.open(name_of(bad.segment)), self.disk.open(name, new=True)
        at, end = bad.offset, bad.offset + bad.length
        while at < end and (data := file.read(min(READ, end - at), at)):
            copy.write([data], at - bad.offset)
            at += len(data)
        copy.sync()
        copy.close()
        file.close()
        return [Apart(name, bad.segment, bad.offset, bad.length, acknowledged)]

    # --- appending ------------------------------------------------------------------------------

    def commit(self, items: list[Item], last: bool = False) -> None:
        """Append a batch and sync it; raises `DiskFull` or `Failed`, and then none of it is durable.

        `last`: what ends writes and so makes room; where the disk is full the reserve is for it.
        """
        try:
            self._write(items)
        except DiskFull:
            if not (last and self.reserve):
                raise
            try:
                self._spend_reserve()
            except OSError as error:
                raise Failed(f"the reserve can't be let go: {error}") from None
            self._write(items)
        assert self.file is not None
        try:
            self.file.sync()
        except OSError as error:
            self.abandon()
            raise Failed(f"sync of {name_of(self.number)}: {error}") from None
        self.synced += 1
        self.durable = max(self.durable, items[-1].lsn)

    def _write(self, items: list[Item]) -> None:
        if self.file is None or self.at >= self.segment_bytes:
            try:
                self._next_segment(items[0].lsn)
            except OSError as error:
                self.abandon()
                raise (DiskFull if error.errno in FULL else Failed)(f"new segment: {error}") from None
        assert self.file is not None
        parts: list[bytes] = []
        at, marker = self.at, self.markers[self.number]
        for item in items:
            item.segment, item.offset = self.number, at
            parts += frame(marker, item.kind, item.lsn, self.durable, item.parts)
            at += item.size
        try:
            self.file.write(parts, self.at)
        except OSError as error:
            # Guards the end of the log: what went out of a batch that has no room is cut off again.
            if error.errno in FULL and self._cut_back():
                raise DiskFull(str(error)) from None
            self.abandon()
            raise Failed(f"write to {name_of(self.number)}: {error}") from None
        self.at = self.sizes[self.number] = at

    def _cut_back(self) -> bool:
        assert self.file is not None
        try:
            self.file.cut(self.at)
        except OSError:
            return False
        return True

    def abandon(self) -> None:
        """Write no more to this segment."""
        self.file = None

    def _next_segment(self, first: int) -> None:
        """Begin a segment: its head and its name are durable before a record stands in it."""
        number, marker = self.number + 1, int.from_bytes(os.urandom(4), "little") | 1
        file = self.disk.open(name_of(number), new=True)
        self.file = None
        try:
            file.write([segment_head(marker, self.owner, number, first)], 0)
            file.sync()
            self.disk.sync()
        except OSError:
            file.close()
            self.disk.remove(name_of(number))  # or each new try would leave a file
            raise
        self.markers[number], self.files[number] = marker, file
        self.number, self.file, self.at = number, file, SEGMENT.size
        self.sizes[number] = SEGMENT.size

    def _keep_reserve(self) -> None:
        """Hold room back, so that a full disk can still be told what is done."""
        if "reserve" in self.disk.names():
            self.disk.remove("reserve")
        try:
            file = self.disk.open("reserve", new=True)
            try:
                file.write([bytes(RESERVE)], 0)
                file.sync()
                self.reserve = True
            finally:
                file.close()
        except OSError:
            self.reserve = False

    def _spend_reserve(self) -> None:
        self.disk.remove("reserve")
        self.disk.sync()
        self.reserve = False

    # --- reading and taking away ----------------------------------------------------------------

    def read(self, segment: int, offset: int) -> Record:
        """A record again; raises `Failed` where it is no longer what was written."""
        try:
            file = self._open(segment)
            head = file.read(RECORD.size, offset)
            size = RECORD.unpack(head)[2] if len(head) == RECORD.size else 0
            data = memoryview(head + file.read(min(size, 1 << 20), offset + RECORD.size))
        except (OSError, Newer) as error:
            raise Failed(f"{name_of(segment)} at {offset}: {error}") from None
        told = check(data, 0, self.markers[segment])
        if told is None:
            raise Failed(f"{name_of(segment)} at {offset}: the record is damaged")
        kind, lsn, durable, _ = told
        return Record(Kind(kind), lsn, durable, segment, offset, data[RECORD.size :])

    def _open(self, segment: int) -> File:
        """A segment's file, and its marker known."""
        with self._opening:
            file = self.files.get(segment)
            if file is None:
                file = self.files[segment] = self.disk.open(name_of(segment))
            if segment not in self.markers:
                marker = read_head(file.read(SEGMENT.size, 0), self.owner, segment) or marker_at(
                    file.read(READ + RECORD.size, SEGMENT.size)
                )
                if marker is None:
                    raise Failed(f"the head of {name_of(segment)} is damaged")
                self.markers[segment] = marker
            return file

    def remove(self, segments: list[int]) -> None:
        """Take segments away that nothing needs any more."""
        for number in segments:
            file = self.files.pop(number, None)
            if file is not None:
                file.close()
            with suppress(FileNotFoundError):  # a removal that broke off is done again
                self.disk.remove(name_of(number))
            self.sizes.pop(number, None)
            self.markers.pop(number, None)
        self.disk.sync()
        if not self.reserve:
            self._keep_reserve()

    def close(self) -> None:
        """Let go of the files and the folder."""
        for file in self.files.values():
            file.close()
        self.files, self.file = {}, None
        self.disk.unlock()


def mark(lsn: int) -> Item:
    """A record that says no more than how far the log is durable."""
    return Item(Kind.MARK, lsn, pack(Kind.MARK, None))
