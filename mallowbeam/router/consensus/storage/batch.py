"""What a batch does within one lmdb transaction, and what a store's records amount to."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

from mallowbeam.router.consensus.interface import HardState, Restored, Write
from mallowbeam.router.consensus.storage import records
from mallowbeam.router.consensus.storage.errors import StoreDamagedError, StoreOrderError, StoreVersionError
from mallowbeam.router.rpc.messages_pb2 import Entry, Snapshot

_Numbered = TypeVar("_Numbered", Entry, Snapshot)

ENTRY_OVERHEAD = 32  # bytes: head, key and node of an entry's first part


def apply_first(transaction: Any, identity: int, snapshot: Snapshot) -> None:
    """Put the first state: format version and identity, hard state, snapshot."""
    payload = records.IDENTITY_PAYLOAD.pack(records.FORMAT_VERSION, identity)
    _put(transaction, records.IDENTITY, 0, payload)
    _put_hard_state(transaction, HardState())
    _put(transaction, records.SNAPSHOT, snapshot.index, snapshot.SerializeToString())


def apply(transaction: Any, writes: Sequence[Write]) -> None:
    """Apply `writes` in order; raises `StoreOrderError` where one does not fit what is stored."""
    for write in writes:
        _apply_one(transaction, write)


def _apply_one(transaction: Any, write: Write) -> None:
    """Entries that reach over the snapshot's index from below come before it, others after it."""
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
    """Entries take the place of all at their first index and behind it; those in the snapshot are dropped."""
    covered = _last_number(transaction, records.SNAPSHOT) or 0
    entries = [entry for entry in entries if entry.index > covered]
    if not entries:
        return
    last = _last_number(transaction, records.ENTRY) or covered
    first = entries[0].index
    if first > last + 1:
        raise StoreOrderError(f"entry {first} does not follow entry {last}", step="put")
    if first <= last:
        _delete(transaction, records.ENTRY, first, last)
    for position, entry in enumerate(entries):
        if entry.index != first + position:
            raise StoreOrderError(f"entry {entry.index} where {first + position} is due", step="put")
        _put(transaction, records.ENTRY, entry.index, entry.SerializeToString())


def _replace_snapshot(transaction: Any, snapshot: Snapshot) -> None:
    """A snapshot drops the entries it covers, and all others unless the log has the snapshot's last entry."""
    before = _last_number(transaction, records.SNAPSHOT) or 0
    if snapshot.index < before:
        raise StoreOrderError(f"snapshot {snapshot.index} is older than snapshot {before}", step="put")
    last = _last_number(transaction, records.ENTRY)
    if last is not None:
        agrees = snapshot.index == before or _term_of(transaction, snapshot.index) == snapshot.term
        _delete(transaction, records.ENTRY, 0, min(snapshot.index, last) if agrees else last)
    _delete(transaction, records.SNAPSHOT, 0, before)
    _put(transaction, records.SNAPSHOT, snapshot.index, snapshot.SerializeToString())


def _term_of(transaction: Any, index: int) -> int | None:
    """The term of a stored entry; None where there is none."""
    cursor = transaction.cursor()
    if not cursor.set_key(records.first_key(records.ENTRY, index)):
        return None
    prefix = records.KEY.pack(records.ENTRY, index, 0)[:-2]
    items = []
    for key, value in cursor.iternext():
        if key[:-2] != prefix:
            break
        items.append((key, value))
    ((_kind, _number, payload),) = records.decode_records(items)
    return int(Entry.FromString(payload).term)


def _put_hard_state(transaction: Any, hard_state: HardState) -> None:
    payload = records.HARD_STATE_PAYLOAD.pack(hard_state.term, hard_state.vote)
    _put(transaction, records.HARD_STATE, 0, payload)


def _put(transaction: Any, kind: int, number: int, payload: bytes) -> None:
    for key, value in records.encode_record(kind, number, payload):
        transaction.put(key, value, append=kind == records.ENTRY)


def _delete(transaction: Any, kind: int, first: int, last: int) -> None:
    """Delete the records of a kind from number `first` to `last`."""
    end = records.KEY.pack(kind, last, 0xFFFF)
    cursor = transaction.cursor()
    found = cursor.set_range(records.first_key(kind, first))
    while found and cursor.key() <= end:
        found = cursor.delete()  # moves to the next item


def _last_number(transaction: Any, kind: int) -> int | None:
    """The highest number of a kind; None where there is no such record."""
    cursor = transaction.cursor()
    found = cursor.set_range(records.first_key(kind + 1))
    found = cursor.prev() if found else cursor.last()
    if not found:
        return None
    key_kind, number, _part = records.KEY.unpack(cursor.key())
    return int(number) if key_kind == kind else None


def stored_bytes(cursor: Any, first: int) -> int:
    """Bytes of the stored entries from index `first` on, which are the last records."""
    if not cursor.set_range(records.first_key(records.ENTRY, first)):
        return 0
    return sum(len(value) for _key, value in cursor.iternext())


def read_identity(cursor: Any) -> int:
    """The member's id; raises `StoreVersionError` for a format of a newer program."""
    if not cursor.set_key(records.first_key(records.IDENTITY)):
        raise StoreDamagedError("no identity", step="read")
    ((_kind, _number, payload),) = records.decode_records([cursor.item()])
    return _identity(payload)


def _identity(payload: bytes) -> int:
    version = int.from_bytes(payload[:2], "little")
    if version > records.FORMAT_VERSION:
        what = f"format version {version}; this program knows up to {records.FORMAT_VERSION}"
        raise StoreVersionError(what, step="read")
    if len(payload) != records.IDENTITY_PAYLOAD.size:
        raise StoreDamagedError("identity of a wrong size", step="read")
    return int(records.IDENTITY_PAYLOAD.unpack(payload)[1])


def restore(cursor: Any) -> Restored:
    """All records as a member's state; raises `StoreDamagedError` where one is missing."""
    return restore_items(cursor.iternext() if cursor.first() else ())


def restore_items(items: Iterable[tuple[bytes, bytes]]) -> Restored:
    """The same from keys and values in the order of keys."""
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []
    for kind, number, payload in records.decode_records(items):
        if kind == records.HARD_STATE:
            hard_state = _hard_state(payload)
        elif kind == records.ENTRY:
            entries.append(_numbered(Entry.FromString(payload), number))
        elif kind == records.SNAPSHOT:
            if snapshot is not None:
                raise StoreDamagedError("more than one snapshot", step="read")
            snapshot = _numbered(Snapshot.FromString(payload), number)
    if hard_state is None or snapshot is None:
        raise StoreDamagedError("no hard state or no snapshot", step="read")
    for position, entry in enumerate(entries):
        if entry.index != snapshot.index + 1 + position:
            raise StoreDamagedError(f"entry {snapshot.index + 1 + position} is missing", step="read")
    return Restored(hard_state, snapshot, tuple(entries))


def _hard_state(payload: bytes) -> HardState:
    if len(payload) != records.HARD_STATE_PAYLOAD.size:
        raise StoreDamagedError("hard state of a wrong size", step="read")
    return HardState(*records.HARD_STATE_PAYLOAD.unpack(payload))


def _numbered(message: _Numbered, number: int) -> _Numbered:
    if message.index != number:
        raise StoreDamagedError(f"index {message.index} under number {number}", step="read")
    return message
