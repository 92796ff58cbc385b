"""What stands in the buffer's log: bytes to records and back, as docs/formats/buffer-log.md has it.

No I/O.  A record's checksum covers its header and payload; a marker drawn at random for each segment stands
before every record, so that the next record is found behind damaged bytes, and bytes that a client stores
can't pass for records.
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
MOST_PAYLOAD = 1 << 20  # bytes of one record's payload
META = struct.Struct("<I")  # bytes of the msgpack part in front of a body


class Newer(MallowbeamError):
    """The folder was written by a newer version, or is no folder of ours; the text says which."""

    error_name = "Newer"
    remedy = "run the version that wrote it, or name another folder"


class Kind(IntEnum):
    """What a record says."""

    WRITE = 1  # a write taken in: its words, then its body or the list of its pieces
    PIECE = 2  # a piece of a large body, ahead of its WRITE
    BARRIER = 3  # what comes later in this bucket waits for what came before
    INTENT = 4  # these writes are about to be sent for the first time
    DONE = 5  # these writes are on their nodes, absorbed by later ones, or dropped by an operator
    HELD = 6  # a write that waits for an operator, and why
    VOID = 7  # writes that were never acknowledged: nobody was told yes
    MARK = 8  # nothing but how far the log is durable
    MOVED = 9  # a write copied on from an old segment, with what was known of it


class Write(msgspec.Struct, array_like=True):
    """A write as it was taken in."""

    method: str
    bucket: str
    target: bytes  # path and query as they go to the node
    place: int  # what its name hashes to
    headers: list[tuple[bytes, bytes]]  # those that go to the node
    token: bytes  # its idempotency key
    etag: str  # S3's: the quoted MD5 of the body
    size: int
    at: float  # Unix seconds, when it was taken in
    pieces: list[tuple[int, int, int]] = []  # segment, offset and bytes of each piece of a large body


class Barrier(msgspec.Struct, array_like=True):
    """A point in a bucket's order; copied on from an old segment it names the lsn that it keeps."""

    bucket: str
    lsn: int = 0


class Intent(msgspec.Struct, array_like=True):
    """Writes that may go out from now on: when that was, by a clock that one boot of the machine counts."""

    lsns: list[int]
    boot: bytes
    at: float  # seconds of that clock
    shards: int  # in how many shards objects lie: their places depend on it


class Done(msgspec.Struct, array_like=True):
    """Writes that are settled."""

    lsns: list[int]


class Held(msgspec.Struct, array_like=True):
    """A write set apart until an operator says what becomes of it; without a reason it is let go again."""

    lsn: int
    reason: str


class Moved(msgspec.Struct, array_like=True):
    """A write copied on: the lsn that it keeps, its intent and why it is held, where there are any."""

    lsn: int
    write: Write
    intent: tuple[bytes, float, int] | None = None  # boot, time, shards
    held: str | None = None


PACKED = {
    Kind.WRITE: Write,
    Kind.BARRIER: Barrier,
    Kind.INTENT: Intent,
    Kind.DONE: Done,
    Kind.HELD: Held,
    Kind.VOID: Done,
    Kind.MOVED: Moved,
}
ENCODER = msgspec.msgpack.Encoder()
DECODERS = {kind: msgspec.msgpack.Decoder(packed) for kind, packed in PACKED.items()}
Words = Write | Barrier | Intent | Done | Held | Moved


@dataclass(slots=True)
class Record:
    """A record as read: where it stands, and its payload still packed."""

    kind: Kind
    lsn: int
    durable: int
    segment: int
    offset: int
    payload: bytes | memoryview

    @property
    def end(self) -> int:
        """The offset right behind it."""
        return self.offset + RECORD.size + len(self.payload)


@dataclass(slots=True)
class Bad:
    """Bytes of a segment that are no record."""

    segment: int
    offset: int
    length: int
    blank: bool  # zeros only: room that was never written
    after: int  # the highest lsn read before it
    last: bool  # no record follows in this segment


def pack(kind: Kind, words: Words | None, body: bytes | bytearray | memoryview = b"") -> list[bytes]:
    """A record's payload in parts that follow each other."""
    if kind is Kind.PIECE:
        return [bytes(body)]
    if words is None:
        return []
    meta = ENCODER.encode(words)
    return [META.pack(len(meta)), meta, bytes(body)] if body else [META.pack(len(meta)), meta]


def unpack(kind: Kind, payload: bytes | memoryview) -> tuple[Words, memoryview]:
    """The words of a payload and the body behind them; raises ValueError where it can't be read."""
    view = memoryview(payload)
    if len(view) < META.size:
        raise ValueError("a payload without words")
    size = META.unpack_from(view)[0]
    if META.size + size > len(view):
        raise ValueError("a payload that ends within its words")
    try:
        words: Words = DECODERS[kind].decode(view[META.size : META.size + size])
    except (msgspec.DecodeError, KeyError) as error:
        raise ValueError(str(error)) from None
    return words, view[META.size + size :]


def frame(marker: int, kind: Kind, lsn: int, durable: int, parts: list[bytes]) -> list[bytes]:
    """A whole record in parts that follow each other."""
    size = sum(map(len, parts))
    if size > MOST_PAYLOAD:
        raise ValueError("a record over its bound")
    crc = crc32c(RECORD.pack(marker, 0, size, kind, lsn, durable))
    for part in parts:
        crc = crc32c(part, crc)
    return [RECORD.pack(marker, crc, size, kind, lsn, durable), *parts]


def segment_head(marker: int, folder: bytes, number: int, first: int) -> bytes:
    """The first bytes of a segment."""
    head = SEGMENT.pack(MAGIC, VERSION, 0, marker, folder, number, first, 0)[:-4]
    return head + struct.pack("<I", crc32c(head))


def read_head(data: bytes, folder: bytes, number: int) -> int | None:
    """A segment's marker; None where its head is damaged.  Raises `Newer` for what is not for us."""
    if len(data) < SEGMENT.size:
        return None
    magic, version, _, marker, owner, told, _, crc = SEGMENT.unpack_from(data)
    if crc32c(data[: SEGMENT.size - 4]) != crc:
        return None
    if magic != MAGIC or owner != folder or told != number:
        raise Newer(f"segment {number} belongs to another folder")
    if version > VERSION:
        raise Newer(f"segment {number} is of version {version}, this program reads {VERSION}")
    return int(marker)


def check(data: memoryview, at: int, marker: int) -> tuple[int, int, int, int] | None:
    """Kind, lsn, durable lsn and payload size of the record at an offset; None where there is none whole."""
    if at + RECORD.size > len(data):
        return None
    mark, crc, size, kind, lsn, durable = RECORD.unpack_from(data, at)
    if mark != marker or size > MOST_PAYLOAD or not 1 <= kind <= 9 or at + RECORD.size + size > len(data):
        return None
    told = crc32c(RECORD.pack(marker, 0, size, kind, lsn, durable))
    if crc32c(data[at + RECORD.size : at + RECORD.size + size], told) != crc:
        return None
    return kind, lsn, durable, size


def marker_at(data: bytes) -> int | None:
    """The marker of a segment whose head is damaged, from its first record; None where that is no record."""
    if len(data) < RECORD.size:
        return None
    marker = int(RECORD.unpack_from(data)[0])
    return marker if marker and check(memoryview(data), 0, marker) is not None else None


def scan(read: Iterator[bytes], segment: int, marker: int, last: int) -> Iterator[Record | Bad]:
    """Records and bad bytes of a segment, in order, from the bytes behind its head.

    `last` is the highest lsn before it.  Holds a few records' worth of bytes at once.
    """
    mark, data, base, ended = struct.pack("<I", marker), bytearray(), SEGMENT.size, False
    at, bad, blank = 0, -1, True  # in `data`; where bad bytes began in the file; all zeros
    while True:
        if not ended and len(data) - at < RECORD.size + MOST_PAYLOAD:
            more = next(read, b"")
            ended = not more
            del data[:at]
            base, at = base + at, 0
            data += more
            continue
        if at >= len(data):
            if bad >= 0:
                yield Bad(segment, bad, base + at - bad, blank, last, True)
            return
        with memoryview(data) as view:
            found = check(view, at, marker)
            if found is not None:
                kind, lsn, durable, size = found
                payload = bytes(view[at + RECORD.size : at + RECORD.size + size])
        if found is not None:
            if bad >= 0:
                yield Bad(segment, bad, base + at - bad, blank, last, False)
                bad, blank = -1, True
            yield Record(Kind(kind), lsn, durable, segment, base + at, payload)
            last, at = max(last, lsn), at + RECORD.size + size
            continue
        if bad < 0:
            bad = base + at
        # Guards what stands behind damaged bytes: the next marker may begin a record that is whole.
        following = data.find(mark, at + 1)
        skip = following if following >= 0 else len(data) if ended else max(at + 1, len(data) - 3)
        blank = blank and not any(data[at:skip])
        at = skip
