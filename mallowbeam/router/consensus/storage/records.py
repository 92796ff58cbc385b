"""How records lie in lmdb: keys, parts and checksums.

A record has a kind and a number. Its payload is preceded by a head (length, checksum) and cut into parts.
Each part is one lmdb value that fills one page: a record of several MB never needs adjacent free pages.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from zlib import crc32

from mallowbeam.router.consensus.storage.errors import StoreDamagedError

FORMAT_VERSION = 1
PART_BYTES = 4096 - 16  # a page without its header

IDENTITY = 1  # kinds of records; the number is 0 for the first two
HARD_STATE = 2
SNAPSHOT = 3  # number: the snapshot's index
ENTRY = 4  # number: the entry's index; last, so that entries are appended

KEY = struct.Struct(">BQH")  # kind, number, part: keys sort by number, then by part
HEAD = struct.Struct("<II")  # payload bytes, checksum
IDENTITY_PAYLOAD = struct.Struct("<HQ")  # format version, member id
HARD_STATE_PAYLOAD = struct.Struct("<QQ")  # term, vote


def first_key(kind: int, number: int = 0) -> bytes:
    """The key of a record's first part; every key of the kind from this number on sorts at or behind it."""
    return KEY.pack(kind, number, 0)


def encode_record(kind: int, number: int, payload: bytes) -> Iterator[tuple[bytes, bytes]]:
    """The lmdb keys and values of a record."""
    blob = HEAD.pack(len(payload), _checksum(kind, number, payload)) + payload
    for part, start in enumerate(range(0, len(blob), PART_BYTES)):
        yield KEY.pack(kind, number, part), blob[start : start + PART_BYTES]


def decode_records(items: Iterable[tuple[bytes, bytes]]) -> Iterator[tuple[int, int, bytes]]:
    """Records (kind, number, payload) from lmdb's items in the order of keys.

    Raises `StoreDamagedError` for an unknown key, a missing part, a wrong length or checksum.
    """
    current: tuple[int, int] | None = None
    parts: list[bytes] = []
    for key, value in items:
        if len(key) != KEY.size:
            raise StoreDamagedError(f"unknown key {key.hex()}", step="read")
        kind, number, part = KEY.unpack(key)
        if (kind, number) != current:
            if current is not None:
                yield (*current, _joined(*current, parts))
            current = (kind, number)
            parts = []
        if part != len(parts) or not IDENTITY <= kind <= ENTRY:
            raise StoreDamagedError(f"unexpected part {part} of {name(kind, number)}", step="read")
        parts.append(value)
    if current is not None:
        yield (*current, _joined(*current, parts))


def name(kind: int, number: int) -> str:
    """A record's name in messages."""
    kinds = {
        IDENTITY: "identity",
        HARD_STATE: "hard state",
        ENTRY: f"entry {number}",
        SNAPSHOT: f"snapshot {number}",
    }
    return kinds.get(kind, f"record of kind {kind}")


def _joined(kind: int, number: int, parts: list[bytes]) -> bytes:
    blob = b"".join(parts)
    if len(blob) < HEAD.size:
        raise StoreDamagedError(f"{name(kind, number)} is too short", step="read")
    length, checksum = HEAD.unpack_from(blob)
    payload = blob[HEAD.size :]
    if length != len(payload):
        raise StoreDamagedError(f"{name(kind, number)} has {len(payload)} bytes of {length}", step="read")
    if checksum != _checksum(kind, number, payload):
        raise StoreDamagedError(f"{name(kind, number)} has a wrong checksum", step="read")
    return payload


def _checksum(kind: int, number: int, payload: bytes) -> int:
    return crc32(payload, crc32(KEY.pack(kind, number, 0)))
