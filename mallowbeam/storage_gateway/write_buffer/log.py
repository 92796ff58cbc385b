"""The segmented log: appends, syncs and reads records, and removes whole segments.

Calls block; one thread at a time.  A batch is written after the last synced byte and synced once.  A batch
that cannot be written or synced is never acknowledged: if the disk is full, its bytes are truncated; after
any other failure to write or sync, the file is no longer trusted and a new segment begins.
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
from mallowbeam.storage_gateway.write_buffer.errors import DiskFullError, LogIOError
from mallowbeam.storage_gateway.write_buffer.records import (
    RECORD,
    SEGMENT,
    VERSION,
    DamagedRange,
    Kind,
    Record,
    UnsupportedFormatError,
    check,
    frame,
    marker_at,
    pack,
    read_head,
    scan,
    segment_head,
)

READ_BYTES = 1 << 20  # per read while the log is scanned
RESERVE_BYTES = 1 << 20  # reserved for records that finish writes on a full disk
FOLDER_FILE = "folder.json"
FOLDER_FORMAT = "mallowbeam-buffer"
MAX_FOLDER_FILE_BYTES = 4096
RESERVE_FILE = "reserve"
SEGMENT_PREFIX = "segment-"
SEGMENT_SUFFIX = ".log"
DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


@dataclass(slots=True)
class NewRecord:
    """A record to be appended; `segment` and `offset` are set when it is written."""

    kind: Kind
    lsn: int
    parts: list[bytes]
    segment: int = 0
    offset: int = 0

    @property
    def size(self) -> int:
        """Bytes that the record takes in the log."""
        return RECORD.size + sum(map(len, self.parts))


@dataclass(slots=True)
class QuarantinedRange:
    """Bytes that are not a record, copied to a file of their own."""

    name: str
    segment: int
    offset: int
    length: int
    acknowledged: bool  # whether it held records known to be durable; otherwise it is a torn end


@dataclass(slots=True)
class ScanResult:
    """The results of scanning a folder, besides its records."""

    last_lsn: int = 0  # the highest
    durable: int = 0  # records say that the log is durable up to this lsn
    segments: dict[int, int] = field(default_factory=dict)  # bytes of each
    damaged: list[DamagedRange] = field(default_factory=list)
    headless: list[int] = field(default_factory=list)  # segments without a readable head
    missing: list[int] = field(default_factory=list)  # missing numbers between existing segments


def segment_name(number: int) -> str:
    """A segment's file name."""
    return f"{SEGMENT_PREFIX}{number:010d}{SEGMENT_SUFFIX}"


def segment_numbers(disk: Disk) -> list[int]:
    """The segments of a folder, oldest first."""
    names = (
        name.removeprefix(SEGMENT_PREFIX).removesuffix(SEGMENT_SUFFIX)
        for name in disk.names()
        if name.startswith(SEGMENT_PREFIX) and name.endswith(SEGMENT_SUFFIX)
    )
    return sorted(int(name) for name in names if name.isdigit())


def folder_id(disk: Disk) -> bytes | None:
    """The folder's id, None for an empty folder; raises `UnsupportedFormatError`."""
    if FOLDER_FILE not in disk.names():
        if segment_numbers(disk):
            raise UnsupportedFormatError(f"there are segments but no {FOLDER_FILE}")
        return None
    file = disk.open(FOLDER_FILE)
    try:
        header = json.loads(file.read(MAX_FOLDER_FILE_BYTES, 0))
        if header["format"] != FOLDER_FORMAT:
            raise UnsupportedFormatError("it is no buffer folder of this program")
        if header["version"] > VERSION:
            raise UnsupportedFormatError(
                f"it is of version {header['version']}, this program reads {VERSION}"
            )
        return bytes.fromhex(header["id"])
    except (ValueError, KeyError, TypeError):
        if segment_numbers(disk):
            raise UnsupportedFormatError(f"{FOLDER_FILE} can't be read") from None
        return None  # the power failed while it was being created
    finally:
        file.close()


def create_folder(disk: Disk) -> bytes:
    """Initialize an empty folder as a buffer's; returns its new id."""
    owner = os.urandom(16)
    if FOLDER_FILE in disk.names():
        disk.remove(FOLDER_FILE)
    file = disk.open(FOLDER_FILE, new=True)
    text = json.dumps({"format": FOLDER_FORMAT, "version": VERSION, "id": owner.hex()})
    file.write([text.encode() + b"\n"], 0)
    file.sync()
    file.close()
    disk.sync()
    return owner


def read_chunks(file: File, offset: int) -> Iterator[bytes]:
    """Yield a file's bytes from an offset to its end."""
    while data := file.read(READ_BYTES, offset):
        offset += len(data)
        yield data


def read_records(disk: Disk, owner: bytes, result: ScanResult) -> Iterator[Record]:
    """Yield all records of a folder in order, and fill in `result`.  The folder is not changed."""
    numbers = segment_numbers(disk)
    result.missing = sorted(set(range(numbers[0], numbers[-1])) - set(numbers)) if numbers else []
    for number in numbers:
        try:
            file = disk.open(segment_name(number))
        except FileNotFoundError:  # its owner has just removed it: all its writes are done
            continue
        try:
            yield from _read_segment(file, number, owner, result)
        finally:
            file.close()


def _read_segment(file: File, number: int, owner: bytes, result: ScanResult) -> Iterator[Record]:
    size = result.segments[number] = file.size()
    marker = _segment_marker(file, number, owner)
    if marker is None:
        result.headless.append(number)
        is_blank = not any(map(any, read_chunks(file, 0)))
        result.damaged.append(DamagedRange(number, 0, size, is_blank, result.last_lsn, True))
        return
    for found in scan(read_chunks(file, SEGMENT.size), number, marker, result.last_lsn):
        if isinstance(found, DamagedRange):
            result.damaged.append(found)
            continue
        result.last_lsn = max(result.last_lsn, found.lsn)
        result.durable = max(result.durable, found.durable)
        yield found


def _segment_marker(file: File, number: int, owner: bytes) -> int | None:
    """A segment's marker, from its head or, if that is damaged, from its first record."""
    marker = read_head(file.read(SEGMENT.size, 0), owner, number)
    if marker is None:
        marker = marker_at(file.read(READ_BYTES + RECORD.size, SEGMENT.size))
    return marker


class Log:
    """The log of a folder that this process has locked."""

    def __init__(self, disk: Disk, segment_bytes: int) -> None:
        self.disk = disk
        self.segment_bytes = segment_bytes
        self.owner = b""  # the folder's id
        self.sizes: dict[int, int] = {}  # bytes by segment
        self.number = 0  # of the segment being written
        self.offset = 0  # of its next record
        self.file: File | None = None
        self.durable = 0  # the highest durable lsn
        self.syncs = 0  # file syncs so far
        self._files: dict[int, File] = {}
        self._markers: dict[int, int] = {}
        self._has_reserve = False
        self._files_lock = threading.Lock()  # reads run in other threads

    # --- opening --------------------------------------------------------------------------------

    def open(self) -> ScanResult:
        """Lock the folder; call `records` and `recover` next.

        Raises `FolderLockedError`, `UnsupportedFormatError` or OSError.
        """
        self.disk.lock()
        self.owner = folder_id(self.disk) or create_folder(self.disk)
        return ScanResult()

    def records(self, result: ScanResult) -> Iterator[Record]:
        """Yield all records in order, and fill in `result`."""
        yield from read_records(self.disk, self.owner, result)

    def recover(self, result: ScanResult) -> list[QuarantinedRange]:
        """Quarantine damaged bytes and begin a new segment; call it after all records were read.

        A torn end is truncated: otherwise it would look like damage to acknowledged records once later
        records say that the log is durable beyond it.
        """
        self.sizes = dict(result.segments)
        self.number = max(result.segments, default=0)
        self.durable = result.last_lsn
        quarantined: list[QuarantinedRange] = []
        for damage in result.damaged:
            if not damage.is_blank:
                quarantined += self._quarantine(damage, damage.last_lsn < result.durable)
            if damage.is_last and damage.offset:
                self._truncate_segment(damage.segment, damage.offset)
        for number in result.headless:
            self.disk.remove(segment_name(number))
            del self.sizes[number]
        if result.headless or quarantined:
            self.disk.sync()
        self._begin_segment(result.last_lsn + 1)
        self._create_reserve()
        return quarantined

    def _truncate_segment(self, number: int, size: int) -> None:
        file = self.disk.open(segment_name(number))
        file.truncate(size)
        file.sync()
        file.close()
        self.sizes[number] = size

    def _quarantine(self, damage: DamagedRange, acknowledged: bool) -> list[QuarantinedRange]:
        """Copy damaged bytes to a file; an empty list if an earlier process has copied and reported them."""
        name = f"apart-{damage.segment:010d}-{damage.offset}.bin"
        if name in self.disk.names():
            return []
        source = self.disk.open(segment_name(damage.segment))
        target = self.disk.open(name, new=True)
        offset = damage.offset
        end = damage.offset + damage.length
        while offset < end and (data := source.read(min(READ_BYTES, end - offset), offset)):
            target.write([data], offset - damage.offset)
            offset += len(data)
        target.sync()
        target.close()
        source.close()
        return [QuarantinedRange(name, damage.segment, damage.offset, damage.length, acknowledged)]

    # --- appending ------------------------------------------------------------------------------

    def commit(self, batch: list[NewRecord], finishes_writes: bool = False) -> None:
        """Append a batch and sync it; after `DiskFullError` or `LogIOError` none of it counts as durable.

        `finishes_writes`: the batch frees space, so it may use the reserve if the disk is full.
        """
        try:
            self._write(batch)
        except DiskFullError:
            if not (finishes_writes and self._has_reserve):
                raise
            try:
                self._release_reserve()
            except OSError as error:
                raise LogIOError(f"the reserved space can't be released: {error}") from None
            self._write(batch)
        assert self.file is not None
        try:
            self.file.sync()
        except OSError as error:
            self.abandon()
            raise LogIOError(f"sync of {segment_name(self.number)}: {error}") from None
        self.syncs += 1
        self.durable = max(self.durable, batch[-1].lsn)

    def _write(self, batch: list[NewRecord]) -> None:
        if self.file is None or self.offset >= self.segment_bytes:
            try:
                self._begin_segment(batch[0].lsn)
            except OSError as error:
                self.abandon()
                kind = DiskFullError if error.errno in DISK_FULL_ERRORS else LogIOError
                raise kind(f"new segment: {error}") from None
        assert self.file is not None
        parts: list[bytes] = []
        offset = self.offset
        marker = self._markers[self.number]
        for record in batch:
            record.segment = self.number
            record.offset = offset
            parts += frame(marker, record.kind, record.lsn, self.durable, record.parts)
            offset += record.size
        try:
            self.file.write(parts, self.offset)
        except OSError as error:
            # Truncates the part of the batch that was written before the disk was full.
            if error.errno in DISK_FULL_ERRORS and self._truncate_batch():
                raise DiskFullError(str(error)) from None
            self.abandon()
            raise LogIOError(f"write to {segment_name(self.number)}: {error}") from None
        self.offset = self.sizes[self.number] = offset

    def _truncate_batch(self) -> bool:
        assert self.file is not None
        try:
            self.file.truncate(self.offset)
        except OSError:
            return False
        return True

    def abandon(self) -> None:
        """Stop writing to the current segment."""
        self.file = None

    def _begin_segment(self, first_lsn: int) -> None:
        """Begin a segment; its head and its file name are durable before the first record is written."""
        number = self.number + 1
        marker = int.from_bytes(os.urandom(4), "little") | 1
        file = self.disk.open(segment_name(number), new=True)
        self.file = None
        try:
            file.write([segment_head(marker, self.owner, number, first_lsn)], 0)
            file.sync()
            self.disk.sync()
        except OSError:
            file.close()
            self.disk.remove(segment_name(number))  # otherwise each new attempt would leave a file behind
            raise
        self._markers[number] = marker
        self._files[number] = file
        self.number = number
        self.file = file
        self.offset = SEGMENT.size
        self.sizes[number] = SEGMENT.size

    def _create_reserve(self) -> None:
        """Reserve disk space, so that finished writes can still be recorded when the disk is full."""
        if RESERVE_FILE in self.disk.names():
            self.disk.remove(RESERVE_FILE)
        try:
            file = self.disk.open(RESERVE_FILE, new=True)
            try:
                file.write([bytes(RESERVE_BYTES)], 0)
                file.sync()
                self._has_reserve = True
            finally:
                file.close()
        except OSError:
            self._has_reserve = False

    def _release_reserve(self) -> None:
        self.disk.remove(RESERVE_FILE)
        self.disk.sync()
        self._has_reserve = False

    # --- reading and removing -------------------------------------------------------------------

    def read(self, segment: int, offset: int) -> Record:
        """Read one record; raises `LogIOError` if it can't be read or is damaged."""
        try:
            file = self._open_segment(segment)
            head = file.read(RECORD.size, offset)
            size = RECORD.unpack(head)[2] if len(head) == RECORD.size else 0
            data = memoryview(head + file.read(min(size, READ_BYTES), offset + RECORD.size))
        except (OSError, UnsupportedFormatError) as error:
            raise LogIOError(f"{segment_name(segment)} at {offset}: {error}") from None
        found = check(data, 0, self._markers[segment])
        if found is None:
            raise LogIOError(f"{segment_name(segment)} at {offset}: the record is damaged")
        kind, lsn, durable, _ = found
        return Record(Kind(kind), lsn, durable, segment, offset, data[RECORD.size :])

    def _open_segment(self, segment: int) -> File:
        """Return a segment's file, after loading its marker."""
        with self._files_lock:
            file = self._files.get(segment)
            if file is None:
                file = self._files[segment] = self.disk.open(segment_name(segment))
            if segment not in self._markers:
                marker = _segment_marker(file, segment, self.owner)
                if marker is None:
                    raise LogIOError(f"the head of {segment_name(segment)} is damaged")
                self._markers[segment] = marker
            return file

    def remove(self, segments: list[int]) -> None:
        """Remove segments that are no longer needed; raises OSError."""
        for number in segments:
            file = self._files.pop(number, None)
            if file is not None:
                file.close()
            with suppress(FileNotFoundError):  # an interrupted removal is repeated
                self.disk.remove(segment_name(number))
            self.sizes.pop(number, None)
            self._markers.pop(number, None)
        self.disk.sync()
        if not self._has_reserve:
            self._create_reserve()

    def close(self) -> None:
        """Close the files and unlock the folder."""
        for file in self._files.values():
            file.close()
        self._files = {}
        self.file = None
        self.disk.unlock()


def durability_marker(lsn: int) -> NewRecord:
    """A record without content, whose header says how far the log is durable."""
    return NewRecord(Kind.MARK, lsn, pack(Kind.MARK, None))
