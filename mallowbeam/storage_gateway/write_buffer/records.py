"""Encodes and decodes the records of the buffer's log, as specified in docs/formats/buffer-log.md.

No I/O.  A record's checksum covers its header and payload.  Every record starts with a marker that is drawn
at random for each segment, so that the next record is found after damaged bytes, and bytes that a client
stores can't be mistaken for records.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

import msgspec
from crc32c import crc32c

from mallowbeam.errors import MallowbeamError

VERSION = 1
MAGIC = b"MBWBSEG\n"
SEGMENT = struct.Struct("<8sHHI16sQQI")  # magic, version, 0, marker, folder id, number, first lsn, crc
RECORD = struct.Struct("<IIIBxxxQQ")  # marker, crc, payload bytes, kind, lsn, durable lsn
MAX_PAYLOAD_BYTES = 1 << 20  # of one record
MAX_RECORD_BYTES = RECORD.size + MAX_PAYLOAD_BYTES
CONTENT_HEADER = struct.Struct("<I")  # bytes of the msgpack part in front of a body


class UnsupportedFormatError(MallowbeamError):
    """The folder was written by a newer version, or is not a buffer's; the message says which."""

    error_name = "Newer"
    remedy = "run the version that wrote it, or name another folder"


class Kind(IntEnum):
    """The kinds of records; the numbers are in the log, the names in the output of `mallowbeam buffer`."""

    WRITE = 1  # an accepted write: its description, then its body or the list of its chunks
    PIECE = 2  # a chunk of a large body, before its WRITE
    BARRIER = 3  # later writes of this bucket wait for the earlier ones
    INTENT = 4  # these writes are about to be sent for the first time
    DONE = 5  # these writes are on their nodes, absorbed by later ones, or dropped by an operator
    HELD = 6  # a write is suspended until an operator decides, and why
    VOID = 7  # writes that were never acknowledged
    MARK = 8  # no content: its header says how far the log is durable
    MOVED = 9  # a write relocated from an old segment, with its intent and suspension


class Write(msgspec.Struct, array_like=True):
    """A write as it was accepted."""

    method: str
    bucket: str
    target: bytes  # path and query as sent to the node
    placement_hash: int  # hash of its name, which selects the shard
    headers: list[tuple[bytes, bytes]]  # those sent to the node
    token: bytes  # its idempotency key
    etag: str  # S3's: the quoted MD5 of the body
    size: int
    accepted_at: float  # Unix seconds
    chunks: list[tuple[int, int, int]] = []  # segment, offset and bytes of each chunk of a large body


class Barrier(msgspec.Struct, array_like=True):
    """A barrier in a bucket's order of writes; `lsn` is set in a relocated copy, to the original's lsn."""

    bucket: str
    lsn: int = 0


class Intent(msgspec.Struct, array_like=True):
    """Writes that may be sent from now on, and the time of this record."""

    lsns: list[int]
    boot: bytes  # the id of the machine's boot
    at: float  # seconds of that boot's clock
    shards: int  # the number of shards, which determines the node of an object


class Done(msgspec.Struct, array_like=True):
    """Writes that are done."""

    lsns: list[int]


class Suspension(msgspec.Struct, array_like=True):
    """A write suspended until an operator decides; an empty reason means that it is resumed."""

    lsn: int
    reason: str


class RelocatedWrite(msgspec.Struct, array_like=True):
    """A relocated write with its lsn, and its intent and suspension where there are any."""

    lsn: int
    write: Write
    intent: tuple[bytes, float, int] | None = None  # boot, time, shards
    suspension: str | None = None  # why it is suspended


FIRST_KIND, LAST_KIND = int(min(Kind)), int(max(Kind))
CONTENT_TYPES = {
    Kind.WRITE: Write,
    Kind.BARRIER: Barrier,
    Kind.INTENT: Intent,
    Kind.DONE: Done,
    Kind.HELD: Suspension,
    Kind.VOID: Done,
    Kind.MOVED: RelocatedWrite,
}
ENCODER = msgspec.msgpack.Encoder()
DECODERS = {kind: msgspec.msgpack.Decoder(packed) for kind, packed in CONTENT_TYPES.items()}
RecordContent = Write | Barrier | Intent | Done | Suspension | RelocatedWrite


@dataclass(slots=True)
class Record:
    """A record as read: its position, and its payload, still encoded."""

    kind: Kind
    lsn: int
    durable: int  # all records up to this lsn were durable when it was written
    segment: int
    offset: int
    payload: bytes | memoryview

    @property
    def end(self) -> int:
        """The offset of the first byte after it."""
        return self.offset + RECORD.size + len(self.payload)


@dataclass(slots=True)
class DamagedRange:
    """Bytes of a segment that are not a record."""

    segment: int
    offset: int
    length: int
    is_blank: bool  # zeros only: space that was never written
    last_lsn: int  # the highest read before it
    is_last: bool  # no record follows in this segment


def pack(
    kind: Kind, content: RecordContent | None, body: bytes | bytearray | memoryview = b""
) -> list[bytes]:
    """Encode a record's payload, as consecutive parts."""
    if kind is Kind.PIECE:
        return [bytes(body)]
    if content is None:
        return []
    encoded = ENCODER.encode(content)
    parts = [CONTENT_HEADER.pack(len(encoded)), encoded]
    if body:
        parts.append(bytes(body))
    return parts


def unpack(kind: Kind, payload: bytes | memoryview) -> tuple[RecordContent, memoryview]:
    """Decode a payload into its content and the body after it; raises ValueError if it is malformed."""
    view = memoryview(payload)
    if len(view) < CONTENT_HEADER.size:
        raise ValueError("payload is shorter than its content header")
    size = CONTENT_HEADER.unpack_from(view)[0]
    if CONTENT_HEADER.size + size > len(view):
        raise ValueError("payload ends within its content")
    try:
        content: RecordContent = DECODERS[kind].decode(view[CONTENT_HEADER.size : CONTENT_HEADER.size + size])
    except (msgspec.DecodeError, KeyError) as error:
        raise ValueError(str(error)) from None
    return content, view[CONTENT_HEADER.size + size :]


def frame(marker: int, kind: Kind, lsn: int, durable: int, parts: list[bytes]) -> list[bytes]:
    """Encode a complete record, as consecutive parts."""
    size = sum(map(len, parts))
    if size > MAX_PAYLOAD_BYTES:
        raise ValueError("record payload exceeds the maximum size")
    crc = crc32c(RECORD.pack(marker, 0, size, kind, lsn, durable))
    for part in parts:
        crc = crc32c(part, crc)
    return [RECORD.pack(marker, crc, size, kind, lsn, durable), *parts]


def segment_head(marker: int, folder: bytes, number: int, first: int) -> bytes:
    """Encode the head of a segment."""
    head = SEGMENT.pack(MAGIC, VERSION, 0, marker, folder, number, first, 0)[:-4]
    return head + struct.pack("<I", crc32c(head))


def read_head(data: bytes, folder: bytes, number: int) -> int | None:
    """Decode a segment's head and return its marker; None if the head is damaged.

    Raises `UnsupportedFormatError` for a segment of another folder or a newer version.
    """
    if len(data) < SEGMENT.size:
        return None
    magic, version, _, marker, owner, segment, _, crc = SEGMENT.unpack_from(data)
    if crc32c(data[: SEGMENT.size - 4]) != crc:
        return None
    if magic != MAGIC or owner != folder or segment != number:
        raise UnsupportedFormatError(f"segment {number} belongs to another folder")
    if version > VERSION:
        raise UnsupportedFormatError(
            f"segment {number} is of version {version}, this program reads {VERSION}"
        )
    return int(marker)


def check(data: memoryview, at: int, marker: int) -> tuple[int, int, int, int] | None:
    """Kind, lsn, durable lsn and payload size of the record at an offset; None if there is no valid one."""
    if at + RECORD.size > len(data):
        return None
    record_marker, crc, size, kind, lsn, durable = RECORD.unpack_from(data, at)
    if (
        record_marker != marker
        or size > MAX_PAYLOAD_BYTES
        or not FIRST_KIND <= kind <= LAST_KIND
        or at + RECORD.size + size > len(data)
    ):
        return None
    header_crc = crc32c(RECORD.pack(marker, 0, size, kind, lsn, durable))
    if crc32c(data[at + RECORD.size : at + RECORD.size + size], header_crc) != crc:
        return None
    return kind, lsn, durable, size


def marker_at(data: bytes) -> int | None:
    """The marker of a segment whose head is damaged, from its first record; None if that is invalid."""
    if len(data) < RECORD.size:
        return None
    marker = int(RECORD.unpack_from(data)[0])
    return marker if marker and check(memoryview(data), 0, marker) is not None else None


def scan(
    chunks: Iterator[bytes], segment: int, marker: int, last_lsn: int
) -> Iterator[Record | DamagedRange]:
    """Yield the records and damaged ranges of a segment in order, from the bytes after its head.

    `last_lsn` is the highest lsn of earlier segments.  Only a few records' worth of bytes are held in memory.
    """
    marker_bytes = struct.pack("<I", marker)
    data = bytearray()
    base, at = SEGMENT.size, 0  # the file offset of `data`, and the position in `data`
    ended = False
    damage_at, is_blank = -1, True  # the file offset where damaged bytes began, -1 for none
    while True:
        if not ended and len(data) - at < MAX_RECORD_BYTES:
            chunk = next(chunks, b"")
            ended = not chunk
            del data[:at]
            base, at = base + at, 0
            data += chunk
            continue
        if at >= len(data):
            break
        with memoryview(data) as view:
            header = check(view, at, marker)
            payload = b"" if header is None else bytes(view[at + RECORD.size : at + RECORD.size + header[3]])
        if header is None:
            damage_at = base + at if damage_at < 0 else damage_at
            following = _next_candidate(data, at, marker_bytes, ended)
            is_blank = is_blank and not any(data[at:following])
            at = following
            continue
        if damage_at >= 0:
            yield DamagedRange(segment, damage_at, base + at - damage_at, is_blank, last_lsn, False)
            damage_at, is_blank = -1, True
        kind, lsn, durable, size = header
        yield Record(Kind(kind), lsn, durable, segment, base + at, payload)
        last_lsn, at = max(last_lsn, lsn), at + RECORD.size + size
    if damage_at >= 0:
        yield DamagedRange(segment, damage_at, base + at - damage_at, is_blank, last_lsn, True)


def _next_candidate(data: bytearray, at: int, marker_bytes: bytes, ended: bool) -> int:
    """Where a record may begin after damaged bytes: at the next marker, or after the bytes read so far."""
    following = data.find(marker_bytes, at + 1)
    if following >= 0:
        return following
    if ended:
        return len(data)
    return max(at + 1, len(data) - len(marker_bytes) + 1)
