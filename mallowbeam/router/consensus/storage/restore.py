"""Reading a member's state from the records of a store."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from mallowbeam.router.consensus.interface import HardState, PersistentState
from mallowbeam.router.consensus.storage import records
from mallowbeam.router.consensus.storage.errors import StoreDamagedError, StoreVersionError
from mallowbeam.router.consensus.storage.records import RecordKind
from mallowbeam.router.rpc.messages_pb2 import Entry, Snapshot

_Numbered = TypeVar("_Numbered", Entry, Snapshot)

VERSION_BYTES = 2  # the format version at the start of the identity


def read_identity(cursor: Any) -> int:
    """Return the member's id.

    Raises:
        StoreVersionError: a newer program wrote the store.
        StoreDamagedError: the identity is missing or damaged.
    """
    if not cursor.set_key(records.first_key(RecordKind.IDENTITY)):
        raise StoreDamagedError("the identity record is missing", step="read")
    (record,) = records.decode_records([cursor.item()])
    return _identity(record.payload)


def _identity(payload: bytes) -> int:
    version = int.from_bytes(payload[:VERSION_BYTES], "little")
    if version > records.FORMAT_VERSION:
        message = f"format version {version}; this program supports versions up to {records.FORMAT_VERSION}"
        raise StoreVersionError(message, step="read")
    if len(payload) != records.IDENTITY_PAYLOAD.size:
        raise StoreDamagedError("the identity record has a wrong size", step="read")
    return int(records.IDENTITY_PAYLOAD.unpack(payload)[1])


def restore(cursor: Any) -> PersistentState:
    """Return the stored state.

    Raises:
        StoreDamagedError: a record is missing or damaged.
    """
    return restore_items(cursor.iternext() if cursor.first() else ())


def restore_items(items: Iterable[tuple[bytes, bytes]]) -> PersistentState:
    """Return the state from lmdb's keys and values in the order of the keys; raises as `restore` does."""
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []
    for record in records.decode_records(items):
        if record.kind == RecordKind.HARD_STATE:
            hard_state = _hard_state(record.payload)
        elif record.kind == RecordKind.ENTRY:
            entries.append(_numbered(Entry.FromString(record.payload), record.number))
        elif record.kind == RecordKind.SNAPSHOT:
            if snapshot is not None:
                raise StoreDamagedError("more than one snapshot", step="read")
            snapshot = _numbered(Snapshot.FromString(record.payload), record.number)
    if hard_state is None or snapshot is None:
        raise StoreDamagedError("the hard state or the snapshot is missing", step="read")
    _check_contiguous(entries, snapshot.index + 1)
    return PersistentState(hard_state, snapshot, tuple(entries))


def _check_contiguous(entries: Iterable[Entry], first_index: int) -> None:
    for expected, entry in enumerate(entries, first_index):
        if entry.index != expected:
            raise StoreDamagedError(f"entry {expected} is missing", step="read")


def _hard_state(payload: bytes) -> HardState:
    if len(payload) != records.HARD_STATE_PAYLOAD.size:
        raise StoreDamagedError("the hard state record has a wrong size", step="read")
    return HardState(*records.HARD_STATE_PAYLOAD.unpack(payload))


def _numbered(message: _Numbered, number: int) -> _Numbered:
    """Check that the index in a message equals the number in its key."""
    if message.index != number:
        raise StoreDamagedError(f"index {message.index} is stored under key number {number}", step="read")
    return message
