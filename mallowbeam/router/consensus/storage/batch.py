"""Changes of one batch of writes within one lmdb transaction."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from mallowbeam.router.consensus.interface import HardState, Write
from mallowbeam.router.consensus.storage import records
from mallowbeam.router.consensus.storage.errors import StoreOrderError
from mallowbeam.router.consensus.storage.records import RecordKind
from mallowbeam.router.rpc.messages_pb2 import Entry, Snapshot

ENTRY_OVERHEAD_BYTES = 32  # header, key and lmdb node of an entry's first chunk


def apply_initial_state(transaction: Any, identity: int, snapshot: Snapshot) -> None:
    """Write the initial state: format version and identity, empty hard state, snapshot."""
    payload = records.IDENTITY_PAYLOAD.pack(records.FORMAT_VERSION, identity)
    _put(transaction, RecordKind.IDENTITY, 0, payload)
    _put_hard_state(transaction, HardState())
    _put(transaction, RecordKind.SNAPSHOT, snapshot.index, snapshot.SerializeToString())


def apply(transaction: Any, writes: Sequence[Write]) -> None:
    """Apply `writes` in order.

    Raises:
        StoreOrderError: a write does not fit the stored state.
    """
    for write in writes:
        _apply_write(transaction, write)


def _apply_write(transaction: Any, write: Write) -> None:
    """Apply one write: entries that start at or before the snapshot's index before it, others after it."""
    snapshot = write.snapshot
    entries_first = bool(write.entries) and (snapshot is None or write.entries[0].index <= snapshot.index)
    if entries_first:
        _replace_entries(transaction, write.entries)
    if snapshot is not None:
        _replace_snapshot(transaction, snapshot)
    if not entries_first:
        _replace_entries(transaction, write.entries)
    if write.hard_state is not None:
        _put_hard_state(transaction, write.hard_state)


def _replace_entries(transaction: Any, entries: Sequence[Entry]) -> None:
    """Replace all entries from the first one's index on; skip those that the snapshot covers."""
    covered = _last_number(transaction, RecordKind.SNAPSHOT) or 0
    entries = [entry for entry in entries if entry.index > covered]
    if not entries:
        return
    last = _last_number(transaction, RecordKind.ENTRY) or covered
    first = entries[0].index
    if first > last + 1:
        raise StoreOrderError(f"entry {first} does not follow entry {last}", step="put")
    if first <= last:
        _delete(transaction, RecordKind.ENTRY, first, last)
    for position, entry in enumerate(entries):
        if entry.index != first + position:
            raise StoreOrderError(f"entry {entry.index} found, {first + position} expected", step="put")
        _put(transaction, RecordKind.ENTRY, entry.index, entry.SerializeToString())


def _replace_snapshot(transaction: Any, snapshot: Snapshot) -> None:
    """Drop the entries that the snapshot covers, or all unless the log has the snapshot's last entry."""
    previous = _last_number(transaction, RecordKind.SNAPSHOT) or 0
    if snapshot.index < previous:
        raise StoreOrderError(f"snapshot {snapshot.index} is older than snapshot {previous}", step="put")
    last = _last_number(transaction, RecordKind.ENTRY)
    if last is not None:
        matches = snapshot.index == previous or _term_of(transaction, snapshot.index) == snapshot.term
        _delete(transaction, RecordKind.ENTRY, 0, min(snapshot.index, last) if matches else last)
    _delete(transaction, RecordKind.SNAPSHOT, 0, previous)
    _put(transaction, RecordKind.SNAPSHOT, snapshot.index, snapshot.SerializeToString())


def _term_of(transaction: Any, index: int) -> int | None:
    """Return the term of a stored entry, or None if there is none."""
    cursor = transaction.cursor()
    if not cursor.set_key(records.first_key(RecordKind.ENTRY, index)):
        return None
    end = records.last_key(RecordKind.ENTRY, index)
    items = []
    for key, value in cursor.iternext():
        if key > end:
            break
        items.append((key, value))
    (record,) = records.decode_records(items)
    return int(Entry.FromString(record.payload).term)


def _put_hard_state(transaction: Any, hard_state: HardState) -> None:
    payload = records.HARD_STATE_PAYLOAD.pack(hard_state.term, hard_state.vote)
    _put(transaction, RecordKind.HARD_STATE, 0, payload)


def _put(transaction: Any, kind: RecordKind, number: int, payload: bytes) -> None:
    append = kind is RecordKind.ENTRY
    for key, value in records.encode_record(kind, number, payload):
        transaction.put(key, value, append=append)


def _delete(transaction: Any, kind: RecordKind, first: int, last: int) -> None:
    """Delete the records of a kind from number `first` to `last` inclusive."""
    end = records.last_key(kind, last)
    cursor = transaction.cursor()
    found = cursor.set_range(records.first_key(kind, first))
    while found and cursor.key() <= end:
        found = cursor.delete()  # moves to the next item


def _last_number(transaction: Any, kind: RecordKind) -> int | None:
    """Return the highest number of a kind, or None if there is no such record."""
    cursor = transaction.cursor()
    found = cursor.set_range(records.first_key(kind + 1))
    found = cursor.prev() if found else cursor.last()
    if not found:
        return None
    key_kind, number, _chunk = records.KEY.unpack(cursor.key())
    return int(number) if key_kind == kind else None


def stored_bytes(cursor: Any, first: int) -> int:
    """Return the value bytes of the stored entries from index `first` on, which are the last records."""
    if not cursor.set_range(records.first_key(RecordKind.ENTRY, first)):
        return 0
    return sum(len(value) for _key, value in cursor.iternext())
