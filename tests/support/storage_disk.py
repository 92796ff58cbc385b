"""A simulated disk under the replica store, which can lose power after every call.

lmdb makes its own system calls, so its file is compared before and after each transaction. All other calls
(open, write, sync, rename, unlink) go through a replacement of the module `os`. In addition to the real files
the disk records the durable content and the writes since then, in lmdb's documented order: data pages, sync,
meta page. It calls `on_change` after every call that changes something; `draw_crash_image` then returns the
files as a power loss may leave them. After a failed sync, unsynced writes can still be read but no later sync
makes them durable, as on Linux.
"""

from __future__ import annotations

import contextlib
import os
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import lmdb

from mallowbeam.router.consensus.storage import files, seal, store, store_file

SECTOR_BYTES = 512
META_START, META_END = 32, 152  # byte range that lmdb writes in a meta page


@dataclass(slots=True)
class Inode:
    """A file's content: durable bytes, writes abandoned by a failed sync, writes since the last sync."""

    durable: bytes = b""
    unsynced: list[tuple[int, bytes]] = field(default_factory=list)
    abandoned: list[tuple[int, bytes]] = field(default_factory=list)

    def content(self) -> bytes:
        """Return the bytes as a reader sees them now."""
        data = bytearray(self.durable)
        for offset, written in self.abandoned + self.unsynced:
            apply_write(data, offset, written)
        return bytes(data)

    def sync(self) -> None:
        """Make the writes since the last sync durable."""
        data = bytearray(self.durable)
        for offset, written in self.unsynced:
            apply_write(data, offset, written)
            self.abandoned = parts_outside(self.abandoned, offset, offset + len(written))
        self.durable, self.unsynced = bytes(data), []

    def fail_sync(self) -> None:
        """Record a failed sync: later syncs do not cover the writes before it."""
        self.abandoned += self.unsynced
        self.unsynced = []

    def copy(self) -> Inode:
        """Return an independent copy."""
        return Inode(self.durable, list(self.unsynced), list(self.abandoned))


class Disk:
    """One folder on the simulated disk."""

    def __init__(self, root: str, on_change: Callable[[str], None] = lambda label: None) -> None:
        self.root = root
        self.on_change = on_change
        self.names: dict[str, Inode] = {}  # current directory entries
        self.durable: dict[str, Inode] = {}  # durable directory entries
        self.faults: dict[str, Exception] = {}

    def load(self, names: dict[str, Inode], durable: dict[str, Inode]) -> None:
        """Create files with their unsynced writes; `durable` contains the durable directory entries."""
        os.makedirs(self.root, exist_ok=True)
        copies = {id(inode): inode.copy() for inode in (*names.values(), *durable.values())}
        self.names = {name: copies[id(inode)] for name, inode in names.items()}
        self.durable = {name: copies[id(inode)] for name, inode in durable.items()}
        for name, inode in self.names.items():
            with open(os.path.join(self.root, name), "wb") as file:
                file.write(inode.content())

    def report_change(self, call: str, name: str) -> None:
        """Report a call that has changed the disk."""
        self.on_change(f"{call} {name}")

    def raise_fault(self, call: str) -> None:
        """Raise the fault injected for a call, if any; it occurs once."""
        error = self.faults.pop(call, None)
        if error is not None:
            raise error

    def sync(self, name: str) -> None:
        """Sync a file's bytes and the name of a new file; a rename needs a sync of the folder."""
        inode = self.names[name]
        inode.sync()
        if not any(inode is durable for durable in self.durable.values()):
            self.durable[name] = inode

    def sync_names(self) -> None:
        """Sync the folder: make all names durable."""
        self.durable = dict(self.names)


def draw_crash_image(disk: Disk, rng: random.Random) -> dict[str, bytes]:
    """Return the files after a random power loss: unsynced names and writes are kept, lost or torn."""
    parts_of = rng.choice((missing, complete, mixed, mixed, mixed, mixed))
    image: dict[str, bytes] = {}
    for name in sorted({**disk.durable, **disk.names}):
        inode = disk.durable.get(name)
        if inode is not disk.names.get(name) and rng.random() < 0.5:
            inode = disk.names.get(name)
        if inode is None:
            continue
        data = bytearray(inode.durable)
        for offset, written in inode.abandoned + inode.unsynced:
            for start, end in parts_of(len(written), offset, rng):
                apply_write(data, offset + start, written[start:end])
        image[name] = bytes(data)
    return image


def missing(length: int, offset: int, rng: random.Random) -> list[tuple[int, int]]:
    """Return no part of a write."""
    return []


def complete(length: int, offset: int, rng: random.Random) -> list[tuple[int, int]]:
    """Return the whole write."""
    return [(0, length)]


def mixed(length: int, offset: int, rng: random.Random) -> list[tuple[int, int]]:
    """Return random parts of a write: none, all, start, end, middle, some sectors or some bytes."""
    first, second = sorted((rng.randint(0, length), rng.randint(0, length)))
    kind = rng.randrange(7)
    if kind < 2:
        return [(0, length)][:kind]
    if kind == 2:
        return [(0, first)]
    if kind == 3:
        return [(first, length)]
    if kind == 4:
        return [(first, second)]
    if kind == 5:
        edges = [0, *range(SECTOR_BYTES - offset % SECTOR_BYTES, length, SECTOR_BYTES), length]
        spans = zip(edges, edges[1:], strict=False)
        return [span for span in spans if rng.random() < 0.5]
    return [(position, position + 1) for position in range(min(length, 4096)) if rng.random() < 0.5]


def parts_outside(writes: list[tuple[int, bytes]], start: int, end: int) -> list[tuple[int, bytes]]:
    """Return the parts of writes outside of the range from `start` to `end`."""
    parts = []
    for offset, written in writes:
        before, skipped_bytes = max(0, start - offset), max(0, end - offset)
        parts += [(offset, written[:before]), (offset + skipped_bytes, written[skipped_bytes:])]
    return [(offset, written) for offset, written in parts if written]


def apply_write(data: bytearray, offset: int, written: bytes) -> None:
    """Apply a write to a file's bytes."""
    if written and len(data) < offset:
        data += bytes(offset - len(data))
    data[offset : offset + len(written)] = written


class SystemCalls:
    """Replaces `os` and `lmdb` in the store's modules; paths outside of simulated disks are passed on."""

    def __init__(self) -> None:
        self.disks: list[Disk] = []
        self.open_files: dict[int, tuple[Disk, str]] = {}
        self.ignore_syncs = False  # ignore syncs, to test that a missing sync is detected

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    @contextlib.contextmanager
    def patched(self) -> Iterator[SystemCalls]:
        """Replace the modules until the end of the block."""
        lmdb_calls = mock.Mock(wraps=lmdb, Error=lmdb.Error)
        lmdb_calls.open = self.open_environment
        with contextlib.ExitStack() as stack:
            for module in (files, seal, store, store_file):
                stack.enter_context(mock.patch.object(module, "os", self))
            stack.enter_context(mock.patch.object(store_file, "lmdb", lmdb_calls))
            yield self

    def locate(self, path: str) -> tuple[Disk | None, str]:
        """Return the disk and file name of a path; an empty name is the folder itself."""
        for disk in reversed(self.disks):
            if path == disk.root or path.startswith(disk.root + os.sep):
                return disk, path[len(disk.root) + 1 :]
        return None, ""

    # ------------------------------------------------------------ calls of os

    def open(self, path: str, flags: int) -> int:
        """Open an existing file or the folder."""
        disk, name = self.locate(path)
        if disk is not None:
            disk.raise_fault("open")
        descriptor = os.open(path, flags)
        if disk is not None:
            self.open_files[descriptor] = (disk, name)
        return descriptor

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        self.open_files.pop(descriptor, None)
        os.close(descriptor)

    def pwrite(self, descriptor: int, data: bytes, offset: int) -> int:
        """Write to a file; not durable until a sync."""
        if descriptor not in self.open_files:
            return os.pwrite(descriptor, data, offset)
        disk, name = self.open_files[descriptor]
        disk.raise_fault("pwrite")
        written = os.pwrite(descriptor, data, offset)
        disk.names[name].unsynced.append((offset, data[:written]))
        disk.report_change("pwrite", name)
        return written

    def fdatasync(self, descriptor: int) -> None:
        """Sync a file, or the names in the folder."""
        if descriptor not in self.open_files:
            os.fdatasync(descriptor)
            return
        if self.ignore_syncs:
            return
        disk, name = self.open_files[descriptor]
        try:
            disk.raise_fault("sync")
        except OSError:
            disk.names[name].fail_sync()
            raise
        if name:
            disk.sync(name)
        else:
            disk.sync_names()
        disk.report_change("sync", name)

    fsync = fdatasync

    def rename(self, source: str, target: str) -> None:
        """Rename a file; not durable until a sync of the folder."""
        disk, name = self.locate(source)
        os.rename(source, target)
        if disk is not None:
            disk.names[self.locate(target)[1]] = disk.names.pop(name)
            disk.report_change("rename", name)

    def unlink(self, path: str) -> None:
        """Remove a file; not durable until a sync of the folder."""
        disk, name = self.locate(path)
        os.unlink(path)
        if disk is not None:
            del disk.names[name]
            disk.report_change("unlink", name)

    # ------------------------------------------------------------ lmdb

    def open_environment(self, path: str, **options: Any) -> Any:
        """Open with lmdb, which writes the meta pages of a new file without a sync."""
        disk, name = self.locate(path)
        if disk is None:
            return lmdb.open(path, **options)
        environment = lmdb.open(path, **options)
        data = read(path)
        if name not in disk.names:
            disk.names[name] = Inode(b"", [(0, data)])
            disk.report_change("lmdb.open", name)
        assert data == disk.names[name].content(), "lmdb.open changed an existing file"
        return Environment(environment, disk, name)


class Environment:
    """An lmdb environment that reports its write transactions to the simulated disk."""

    def __init__(self, environment: Any, disk: Disk, name: str) -> None:
        self._environment, self._disk, self._name = environment, disk, name

    def __getattr__(self, name: str) -> Any:
        return getattr(self._environment, name)

    @contextlib.contextmanager
    def begin(self, write: bool = False) -> Iterator[Any]:
        """Begin a transaction; its commit is reported step by step."""
        if not write:
            with self._environment.begin() as transaction:
                yield transaction
            return
        with self._environment.begin(write=True) as transaction:
            yield transaction
            self._disk.raise_fault("commit")
            assert self._read() == self._inode().content(), "put or delete wrote to the file"
            self._disk.report_change("put and delete", self._name)
        self._committed(self._inode(), self._read())

    def _committed(self, inode: Inode, after: bytes) -> None:
        before = inode.content()
        pages = range(2 * seal.PAGE_BYTES, len(after), seal.PAGE_BYTES)
        for start in pages:
            page = after[start : start + seal.PAGE_BYTES]
            if page != before[start : start + seal.PAGE_BYTES]:
                inode.unsynced.append((start, page))
                self._disk.report_change("commit: page", self._name)
        self._disk.sync(self._name)
        self._disk.report_change("commit: sync", self._name)
        for slot in seal.META_SLOTS:
            start, end = slot * seal.PAGE_BYTES + META_START, slot * seal.PAGE_BYTES + META_END
            if after[start:end] != before[start:end]:
                inode.unsynced.append((start, after[start:end]))
        assert (
            len(inode.unsynced) <= 1 and inode.content() == after
        ), "lmdb wrote outside of pages and meta data"
        self._disk.report_change("commit: meta page", self._name)

    def _inode(self) -> Inode:
        return self._disk.names[self._name]

    def _read(self) -> bytes:
        return read(os.path.join(self._disk.root, self._name))


def read(path: str) -> bytes:
    """Return all bytes of a file."""
    with open(path, "rb") as file:
        return file.read()
