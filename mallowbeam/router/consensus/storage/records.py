"""Encoding of records as lmdb keys and values, with checksums.

A record has a kind and a number.  Its payload follows a header (length, checksum) and is split into chunks,
each of which is one lmdb value that fills one page: a record of several megabytes never needs adjacent free
pages.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

from mallowbeam.router.consensus.storage.errors import StoreDamagedError

FORMAT_VERSION = 1
CHUNK_BYTES = 4096 - 16  # a page without its header


class RecordKind(IntEnum):
    """Kinds of records, in the order of their keys."""

    IDENTITY = 1  # number 0
    HARD_STATE = 2  # number 0
    SNAPSHOT = 3  # number: the snapshot's index
    ENTRY = 4  # number: the entry's index; last, so that lmdb can append entries


KEY = struct.Struct(">BQH")  # kind, number, chunk: keys sort by number, then by chunk
LAST_CHUNK = 0xFFFF
RECORD_HEADER = struct.Struct("<II")  # payload bytes, checksum
IDENTITY_PAYLOAD = struct.Struct("<HQ")  # format version, member id
HARD_STATE_PAYLOAD = struct.Struct("<QQ")  # term, vote


class Record(NamedTuple):
    """A decoded record."""

    kind: int
    number: int
    payload: bytes


def first_key(kind: int, number: int = 0) -> bytes:
    """Return the key of a record's first chunk, which sorts before all later keys of the kind."""
    return KEY.pack(kind, number, 0)


def last_key(kind: int, number: int) -> bytes:
    """Return the greatest possible key of a record."""
    return KEY.pack(kind, number, LAST_CHUNK)


def encode_record(kind: int, number: int, payload: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the lmdb keys and values of a record."""
    blob = RECORD_HEADER.pack(len(payload), _checksum(kind, number, payload)) + payload
    for chunk, start in enumerate(range(0, len(blob), CHUNK_BYTES)):
        yield KEY.pack(kind, number, chunk), blob[start : start + CHUNK_BYTES]


def decode_records(items: Iterable[tuple[bytes, bytes]]) -> Iterator[Record]:
    """Yield the records in lmdb's items, which are in the order of their keys.

    Raises:
        StoreDamagedError: a key is unknown, a chunk is missing, or a length or checksum is wrong.
    """
    current: tuple[int, int] | None = None
    chunks: list[bytes] = []
    for key, value in items:
        if len(key) != KEY.size:
            raise StoreDamagedError(f"unknown key {key.hex()}", step="read")
        kind, number, chunk = KEY.unpack(key)
        if (kind, number) != current:
            if current is not None:
                yield _decode(*current, chunks)
            current = (kind, number)
            chunks = []
        if chunk != len(chunks) or not RecordKind.IDENTITY <= kind <= RecordKind.ENTRY:
            raise StoreDamagedError(f"unexpected chunk {chunk} of {record_name(kind, number)}", step="read")
        chunks.append(value)
    if current is not None:
        yield _decode(*current, chunks)


def record_name(kind: int, number: int) -> str:
    """Return the name of a record in error messages."""
    names: dict[int, str] = {
        RecordKind.IDENTITY: "identity",
        RecordKind.HARD_STATE: "hard state",
        RecordKind.ENTRY: f"entry {number}",
        RecordKind.SNAPSHOT: f"snapshot {number}",
    }
    return names.get(kind, f"record of kind {kind}")


def _decode(kind: int, number: int, chunks: list[bytes]) -> Record:
    blob = b"".join(chunks)
    if len(blob) < RECORD_HEADER.size:
        raise StoreDamagedError(f"{record_name(kind, number)} is too short", step="read")
    length, checksum = RECORD_HEADER.unpack_from(blob)
    payload = blob[RECORD_HEADER.size :]
    if length != len(payload):
        message = f"{record_name(kind, number)} has {len(payload)} bytes, {length} expected"
        raise StoreDamagedError(message, step="read")
    if checksum != _checksum(kind, number, payload):
        raise StoreDamagedError(f"{record_name(kind, number)} has a wrong checksum", step="read")
    return Record(kind, number, payload)


def _checksum(kind: int, number: int, payload: bytes) -> int:
    return crc32(payload, crc32(KEY.pack(kind, number, 0)))
