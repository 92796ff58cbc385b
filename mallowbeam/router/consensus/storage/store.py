"""One member's store: opening, first state, loading, durable writes.

A store is used by one caller at a time, who may be in another thread at each call; a transaction never
outlives the call that began it. That is why lmdb's own locks, which order processes and threads, are off.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator, Sequence
from typing import Any

import lmdb
from google.protobuf.message import DecodeError

from mallowbeam.router.consensus.interface import Restored, Write
from mallowbeam.router.consensus.storage import batch, pages, seal
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
from mallowbeam.router.rpc.messages_pb2 import Snapshot

FILE = "replica.lmdb"
UNFINISHED = "replica.new"  # a store whose first state was never acknowledged

MEGABYTE = 1 << 20
LEAST_MAP_BYTES = 4 * MEGABYTE
MOST_MAP_BYTES = 1024 * MEGABYTE
ENTRIES_SHARE = 2  # entries may fill one part in so many; the rest is for snapshots


class ReplicaStore:
    """The durable state of one member in one folder.

    Every method raises `StoreFullError` or `StoreFailedError` where the disk refuses; a batch that failed may
    be tried again. Use `open`.
    """

    def __init__(self, folder: str, map_bytes: int) -> None:
        self._folder = folder
        self._path = os.path.join(folder, FILE)
        self._map_bytes = map_bytes
        self._environment: Any = None  # lmdb.Environment, absent before `create` and after a failure
        self._descriptor = -1  # of the same file, for seals and syncs
        self._acknowledged: int | None = None  # number of the last transaction that was made durable
        self._identity: int | None = None
        self._used_bytes = 0

    @classmethod
    def open(cls, folder: str, disk_mb: int) -> ReplicaStore:
        """Open the store in `folder`, which is made if absent, on a disk of `disk_mb` (1024 * 1024 bytes).

        Raises `StoreDamagedError` where what is there can't be read and `StoreVersionError` where a newer
        program wrote it.
        """
        map_bytes = min(max(disk_mb * MEGABYTE // 2, LEAST_MAP_BYTES), MOST_MAP_BYTES)
        store = cls(folder, map_bytes)
        with raised_as_store_error("open", folder):
            make_folder(folder)
            remove_file(os.path.join(folder, UNFINISHED))
            sync_folder(folder)  # a killed process may have renamed a file and not done this
            exists = os.path.exists(store._path)
        if exists:
            store._open_environment()
            store._identity = store._read_identity()
        return store

    @classmethod
    def discard(cls, folder: str) -> None:
        """Remove the store in `folder` for good, so that `open` finds an empty one."""
        with raised_as_store_error("discard", folder):
            remove_file(os.path.join(folder, FILE))
            remove_file(os.path.join(folder, UNFINISHED))
            if os.path.isdir(folder):
                sync_folder(folder)

    @property
    def identity(self) -> int | None:
        """The member's id; None before `create`."""
        return self._identity

    def size_bytes(self) -> int:
        """Bytes in use by identity, hard state, entries and snapshot, in whole pages."""
        return self._used_bytes

    def create(self, identity: int, snapshot: Snapshot) -> None:
        """Make the first state durable: identity, first snapshot, an empty hard state, no entries."""
        if self._identity is not None:
            raise StoreOrderError("the store has an identity already", self._folder, step="create")
        unfinished = os.path.join(self._folder, UNFINISHED)
        with raised_as_store_error("create", unfinished):
            remove_file(unfinished)
            self._write_first_state(unfinished, identity, snapshot)
            os.rename(unfinished, self._path)
            sync_folder(self._folder)
        self._open_environment()
        self._identity = identity

    def load(self) -> Restored:
        """All that is stored; raises `StoreDamagedError` where a record is missing or damaged."""
        with self._damage_as_error(), self._opened().begin() as transaction:
            return batch.restore(transaction.cursor())

    def write(self, writes: Sequence[Write]) -> None:
        """Make all of `writes` durable in one transaction, in their order; returns once both syncs are back.

        Raises `StoreFullError`, `StoreFailedError`, or `StoreOrderError` for entries that would leave a gap.
        On failure nothing of the batch is claimed and the store is as before.
        """
        environment = self._opened()
        self._check_room(writes)
        try:
            with self._steps("commit"):
                with environment.begin(write=True) as transaction:
                    batch.apply(transaction, writes)
            self._seal_and_sync()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the file; the next call opens it again."""
        environment, self._environment = self._environment, None
        descriptor, self._descriptor = self._descriptor, -1
        if environment is not None:
            environment.close()
        if descriptor >= 0:
            os.close(descriptor)

    # ------------------------------------------------------------ opening

    def _opened(self) -> Any:
        if self._environment is None:
            if self._identity is None:
                raise StoreOrderError("the store has no first state yet", self._folder, step="open")
            self._open_environment()
        return self._environment

    def _open_environment(self) -> None:
        try:
            with raised_as_store_error("open", self._path):
                self._descriptor = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)
                standing = self._restore_meta_pages()
                self._check_pages(standing)
                self._environment = self._lmdb_open(self._path, standing.file_bytes)
            self._note_size()
        except BaseException:
            self.close()
            raise

    def _restore_meta_pages(self) -> seal.MetaPage:
        """Leave nothing for lmdb to find but the last durable transaction.

        The sync comes first: what a killed process wrote and did not sync may be read here and lost later.
        """
        os.fdatasync(self._descriptor)
        meta_pages = seal.read_pages(self._descriptor)
        standing = seal.newest_sealed(meta_pages, self._acknowledged)
        if standing is None:
            raise StoreDamagedError("no meta page has a matching checksum", self._path, step="check")
        other = meta_pages[1 - standing.slot]
        if not seal.same_head(other, standing):
            raise StoreDamagedError(f"page {other.slot}: no meta page", self._path, step="check")
        if not other.sealed or other.transaction > standing.transaction:
            seal.replace_page(self._descriptor, other.slot, standing)
            os.fdatasync(self._descriptor)
        self._acknowledged = standing.transaction
        return standing

    def _check_pages(self, standing: seal.MetaPage) -> None:
        data = os.pread(self._descriptor, os.fstat(self._descriptor).st_size, 0)
        if len(data) < standing.file_bytes:
            raise StoreDamagedError("the file is shorter than it was", self._path, step="check")
        try:
            pages.check_pages(data, standing.content)
        except StoreDamagedError as error:
            error.where = self._path
            raise

    def _lmdb_open(self, path: str, file_bytes: int = 0) -> Any:
        """Open with room to write on where the file has outgrown the bound.

        metasync is off because `_seal_and_sync` syncs the meta page together with its seal.
        """
        map_bytes = max(self._map_bytes, file_bytes + LEAST_MAP_BYTES)
        return lmdb.open(
            path,
            map_size=map_bytes,
            subdir=False,
            lock=False,
            metasync=False,
            readahead=False,
            max_dbs=0,
            max_readers=1,
        )

    def _read_identity(self) -> int:
        with self._damage_as_error(), self._opened().begin() as transaction:
            return batch.read_identity(transaction.cursor())

    def _write_first_state(self, path: str, identity: int, snapshot: Snapshot) -> None:
        environment = self._lmdb_open(path)
        try:
            with environment.begin(write=True) as transaction:
                batch.apply_first(transaction, identity, snapshot)
        finally:
            environment.close()
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        try:
            for slot in seal.SLOTS:
                seal.write_seal(descriptor, slot)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    # ------------------------------------------------------------ writing

    def _check_room(self, writes: Sequence[Write]) -> None:
        """Refuse entries that would leave no room for the snapshot by which entries can be dropped."""
        if any(write.snapshot is not None for write in writes):
            return
        more = sum(entry.ByteSize() + batch.ENTRY_OVERHEAD for write in writes for entry in write.entries)
        bound = self._map_bytes // ENTRIES_SHARE
        if more and self._used_bytes + more > bound:
            more -= self._replaced_bytes(writes)
        if more > 0 and self._used_bytes + more > bound:
            what = f"{self._used_bytes} bytes in use, {more} more are over the bound of {bound}"
            raise StoreFullError(what, self._path, step="bound")

    def _replaced_bytes(self, writes: Sequence[Write]) -> int:
        """Bytes of the stored entries that those of a batch take the place of."""
        first = min(write.entries[0].index for write in writes if write.entries)
        with self._steps("read"), self._opened().begin() as transaction:
            return batch.stored_bytes(transaction.cursor(), first)

    def _seal_and_sync(self) -> None:
        newest = max(seal.read_pages(self._descriptor), key=lambda page: page.transaction)
        if newest.transaction == self._acknowledged:
            return  # the batch changed nothing
        with self._steps("seal"):
            seal.write_seal(self._descriptor, newest.slot)
        with self._steps("sync"):
            os.fdatasync(self._descriptor)
        self._acknowledged = newest.transaction
        self._note_size()

    def _note_size(self) -> None:
        statistics = self._environment.stat()
        used = statistics["branch_pages"] + statistics["leaf_pages"] + statistics["overflow_pages"]
        self._used_bytes = (used + len(seal.SLOTS)) * statistics["psize"]

    def _steps(self, step: str) -> contextlib.AbstractContextManager[None]:
        return raised_as_store_error(step, self._path)

    @contextlib.contextmanager
    def _damage_as_error(self) -> Iterator[None]:
        try:
            yield
        except (lmdb.Error, DecodeError) as error:
            raise StoreDamagedError(str(error), self._path, step="read") from error
        except (StoreDamagedError, StoreVersionError) as error:
            error.where = error.where or self._path
            raise
