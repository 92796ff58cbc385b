"""A member's store: opening, initial state, loading, durable writes.

One caller at a time uses a store, possibly in a different thread for each call.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator, Sequence

import lmdb
from google.protobuf.message import DecodeError

from mallowbeam.router.consensus.interface import PersistentState, Write
from mallowbeam.router.consensus.storage import batch, restore
from mallowbeam.router.consensus.storage.errors import (
    StoreDamagedError,
    StoreFullError,
    StoreOrderError,
    StoreVersionError,
)
from mallowbeam.router.consensus.storage.files import (
    make_folder,
    raised_as_store_error,
    remove_file,
    sync_folder,
)
from mallowbeam.router.consensus.storage.store_file import (
    MEGABYTE,
    MIN_MAP_BYTES,
    StoreFile,
    write_initial_state,
)
from mallowbeam.router.rpc.messages_pb2 import Snapshot

STORE_FILE = "replica.lmdb"
UNFINISHED_FILE = "replica.new"  # a store whose initial state was never acknowledged

MAX_MAP_BYTES = 1024 * MEGABYTE
ENTRY_SPACE_DIVISOR = 2  # entries may use this fraction of the map size; the rest is for snapshots


class ReplicaStore:
    """The durable state of one member in one folder; create it with `open`.

    Every method raises `StoreFullError` if the disk is full and `StoreFailedError` if a system call fails.  A
    failed batch may be retried.
    """

    def __init__(self, folder: str, map_bytes: int) -> None:
        self._folder = folder
        self._path = os.path.join(folder, STORE_FILE)
        self._map_bytes = map_bytes
        self._file = StoreFile(self._path, map_bytes)
        self._identity: int | None = None

    @classmethod
    def open(cls, folder: str, disk_mb: int) -> ReplicaStore:
        """Open the store in `folder`, which is created if absent, on a disk of `disk_mb` mebibytes.

        Raises:
            StoreDamagedError: the store cannot be read.
            StoreVersionError: a newer program wrote it.
        """
        map_bytes = min(max(disk_mb * MEGABYTE // 2, MIN_MAP_BYTES), MAX_MAP_BYTES)
        store = cls(folder, map_bytes)
        with raised_as_store_error("open", folder):
            make_folder(folder)
            remove_file(os.path.join(folder, UNFINISHED_FILE))
            sync_folder(folder)  # a killed process may have renamed a file without this
            exists = os.path.exists(store._path)
        if exists:
            store._file.open()
            store._identity = store._read_identity()
        return store

    @classmethod
    def discard(cls, folder: str) -> None:
        """Durably remove the store in `folder`, so that `open` finds none."""
        with raised_as_store_error("discard", folder):
            remove_file(os.path.join(folder, STORE_FILE))
            remove_file(os.path.join(folder, UNFINISHED_FILE))
            if os.path.isdir(folder):
                sync_folder(folder)

    @property
    def identity(self) -> int | None:
        """The member's id; None before `create`."""
        return self._identity

    def size_bytes(self) -> int:
        """Return the bytes in use by identity, hard state, entries and snapshot, in complete pages."""
        return self._file.used_bytes

    def create(self, identity: int, snapshot: Snapshot) -> None:
        """Make the initial state durable: identity, first snapshot, an empty hard state, no entries.

        Raises:
            StoreOrderError: the store exists already.
        """
        if self._identity is not None:
            raise StoreOrderError("the store already has an identity", self._folder, step="create")
        unfinished = os.path.join(self._folder, UNFINISHED_FILE)
        with raised_as_store_error("create", unfinished):
            remove_file(unfinished)
            write_initial_state(unfinished, self._map_bytes, identity, snapshot)
            os.rename(unfinished, self._path)
            sync_folder(self._folder)
        self._file.open()
        self._identity = identity

    def load(self) -> PersistentState:
        """Return the stored state.

        Raises:
            StoreDamagedError: a record is missing or damaged.
        """
        file = self._existing_file()
        with self._read_errors(), file.environment.begin() as transaction:
            return restore.restore(transaction.cursor())

    def write(self, writes: Sequence[Write]) -> None:
        """Make all of `writes` durable in one transaction, in order; return when both syncs are done.

        A failed call leaves the stored state unchanged.

        Raises:
            StoreFullError: the disk is full, or the size limit of entries is reached.
            StoreFailedError: a system call failed.
            StoreOrderError: a write does not fit the stored state, such as entries that leave a gap.
        """
        file = self._existing_file()
        environment = file.environment
        self._check_capacity(writes)
        try:
            commit_errors = raised_as_store_error("commit", self._path)
            with commit_errors, environment.begin(write=True) as transaction:
                batch.apply(transaction, writes)
            file.seal_and_sync()
        except BaseException:
            file.close()
            raise

    def close(self) -> None:
        """Close the file; the next call opens it again."""
        self._file.close()

    def _existing_file(self) -> StoreFile:
        if self._identity is None:
            raise StoreOrderError("the store has no initial state yet", self._folder, step="open")
        return self._file

    def _read_identity(self) -> int:
        with self._read_errors(), self._file.environment.begin() as transaction:
            return restore.read_identity(transaction.cursor())

    def _check_capacity(self, writes: Sequence[Write]) -> None:
        """Reject entries that would leave no space for a snapshot, which is needed to drop entries."""
        if any(write.snapshot is not None for write in writes):
            return
        added = sum(
            entry.ByteSize() + batch.ENTRY_OVERHEAD_BYTES for write in writes for entry in write.entries
        )
        used = self._file.used_bytes
        limit = self._map_bytes // ENTRY_SPACE_DIVISOR
        if added and used + added > limit:
            added -= self._replaced_bytes(writes)
        if added > 0 and used + added > limit:
            message = f"{used} bytes in use; {added} more would exceed the limit of {limit}"
            raise StoreFullError(message, self._path, step="bound")

    def _replaced_bytes(self, writes: Sequence[Write]) -> int:
        """Return the bytes of the stored entries that a batch replaces."""
        first = min(write.entries[0].index for write in writes if write.entries)
        errors = raised_as_store_error("read", self._path)
        with errors, self._file.environment.begin() as transaction:
            return batch.stored_bytes(transaction.cursor(), first)

    @contextlib.contextmanager
    def _read_errors(self) -> Iterator[None]:
        """Raise unreadable data as `StoreDamagedError`, with the path."""
        try:
            yield
        except (lmdb.Error, DecodeError) as error:
            raise StoreDamagedError(str(error), self._path, step="read") from error
        except (StoreDamagedError, StoreVersionError) as error:
            error.where = error.where or self._path
            raise
