"""The lmdb file of a store: checked opening, sealed commits, sizes.

One caller at a time uses the file, possibly in a different thread for each call, and no transaction outlives
the call that began it.  Therefore lmdb's own locks, which order processes and threads, are off.
"""

from __future__ import annotations

import os
from typing import Any

import lmdb

from mallowbeam.router.consensus.storage import batch, pages, seal
from mallowbeam.router.consensus.storage.errors import StoreDamagedError
from mallowbeam.router.consensus.storage.files import raised_as_store_error
from mallowbeam.router.rpc.messages_pb2 import Snapshot

MEGABYTE = 1 << 20
MIN_MAP_BYTES = 4 * MEGABYTE


class StoreFile:
    """An existing store file, opened on demand.

    The file is closed after each failure; the next opening rolls back to the last acknowledged transaction.
    """

    def __init__(self, path: str, map_bytes: int) -> None:
        self._path = path
        self._map_bytes = map_bytes  # lmdb's map size: the limit of the file's size
        self._environment: Any = None  # lmdb.Environment; None while closed
        self._descriptor = -1  # of the same file, for seals and syncs
        self._acknowledged: int | None = None  # number of the last durable transaction
        self.used_bytes = 0  # pages in use, from the last opening or commit

    @property
    def environment(self) -> Any:
        """The lmdb environment, opened if necessary; raises as `open` does."""
        if self._environment is None:
            self.open()
        return self._environment

    def open(self) -> None:
        """Roll back to the last durable transaction, check all pages and open the file with lmdb.

        Raises:
            StoreDamagedError: neither meta page has a valid seal, or a page is damaged.
            StoreFullError: the disk is full.
            StoreFailedError: a system call failed.
        """
        try:
            with raised_as_store_error("open", self._path):
                self._descriptor = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)
                valid = self._restore_meta_pages()
                self._check_pages(valid)
                self._environment = _open_environment(
                    self._path, max(self._map_bytes, valid.file_bytes + MIN_MAP_BYTES)
                )
            self._update_used_bytes()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the file; the next use opens it again."""
        environment = self._environment
        descriptor = self._descriptor
        self._environment = None
        self._descriptor = -1
        if environment is not None:
            environment.close()
        if descriptor >= 0:
            os.close(descriptor)

    def _restore_meta_pages(self) -> seal.MetaPage:
        """Return the meta page of the last durable transaction; replace the other one if it is torn or newer.

        The sync comes first because data that a killed process wrote without a sync can be read now and still
        be lost later.
        """
        os.fdatasync(self._descriptor)
        meta_pages = seal.read_pages(self._descriptor)
        valid = seal.newest_sealed(meta_pages, self._acknowledged)
        if valid is None:
            raise StoreDamagedError("no meta page has a matching checksum", self._path, step="check")
        other = meta_pages[1 - valid.slot]
        if not seal.same_header(other, valid):
            raise StoreDamagedError(f"page {other.slot}: not a valid meta page", self._path, step="check")
        if not other.sealed or other.transaction > valid.transaction:
            seal.replace_page(self._descriptor, other.slot, valid)
            os.fdatasync(self._descriptor)
        self._acknowledged = valid.transaction
        return valid

    def _check_pages(self, valid: seal.MetaPage) -> None:
        data = os.pread(self._descriptor, os.fstat(self._descriptor).st_size, 0)
        if len(data) < valid.file_bytes:
            raise StoreDamagedError("the file is shorter than when it was sealed", self._path, step="check")
        try:
            pages.check_pages(data, valid.content)
        except StoreDamagedError as error:
            error.where = self._path
            raise

    def seal_and_sync(self) -> None:
        """Make the last committed transaction durable together with the seal of its meta page.

        Raises:
            StoreFullError: the disk is full.
            StoreFailedError: a system call failed; the caller must close the file.
        """
        newest = max(seal.read_pages(self._descriptor), key=lambda page: page.transaction)
        if newest.transaction == self._acknowledged:
            return  # the transaction changed nothing
        with raised_as_store_error("seal", self._path):
            seal.write_seal(self._descriptor, newest.slot)
        with raised_as_store_error("sync", self._path):
            os.fdatasync(self._descriptor)
        self._acknowledged = newest.transaction
        self._update_used_bytes()

    def _update_used_bytes(self) -> None:
        statistics = self._environment.stat()
        used = statistics["branch_pages"] + statistics["leaf_pages"] + statistics["overflow_pages"]
        self.used_bytes = (used + len(seal.META_SLOTS)) * statistics["psize"]


def write_initial_state(path: str, map_bytes: int, identity: int, snapshot: Snapshot) -> None:
    """Create a store file with its initial state and sync it; its name is not durable yet."""
    environment = _open_environment(path, map_bytes)
    try:
        with environment.begin(write=True) as transaction:
            batch.apply_initial_state(transaction, identity, snapshot)
    finally:
        environment.close()
    descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    try:
        for slot in seal.META_SLOTS:
            seal.write_seal(descriptor, slot)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _open_environment(path: str, map_bytes: int) -> Any:
    """Open with lmdb; metasync is off because `seal_and_sync` syncs the meta page together with its seal."""
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
