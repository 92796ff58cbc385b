"""A disk that keeps no more than it promised: what was not synced is lost, torn or reordered at a power cut.

The calls are those of `mallowbeam.storage_gateway.write_buffer.disk`.  Every call that changes something is
counted; the power goes at the one told.  What a cut leaves is drawn from a seed: of each unsynced write any
set of its sectors, of unsynced names any.  Errors are scripted by call and file.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.write_buffer.disk import File, FolderLockedError

SECTOR = 512


class PowerLossError(Exception):
    """The machine is without power: nothing more is done."""


@dataclass(slots=True)
class Fault:
    """An error to come: at `call` (write, sync, open, cut, remove, folder) of names that begin so."""

    call: str
    code: int
    name: str = ""
    skip: int = 0
    times: int = 1  # -1 for ever


@dataclass(slots=True)
class Inode:
    """A file's bytes: as read now, as durable, and what was done since the last sync."""

    now: bytearray = field(default_factory=bytearray)
    kept: bytes = b""
    since: list[tuple[int, bytes] | int] = field(default_factory=list)  # a write, or a length cut to


class SimDisk:
    """A folder on such a disk."""

    def __init__(self) -> None:
        self.files: dict[str, Inode] = {}
        self.kept: dict[str, Inode] = {}  # names as durable
        self.faults: list[Fault] = []
        self.ops = 0
        self.power_loss_at: int | None = None
        self.locked = False
        self.capacity: int | None = None  # bytes of all files together, None for no bound

    def step(self, call: str, name: str) -> None:
        """Count a call that changes something; raises what is due."""
        if self.power_loss_at is not None and self.ops >= self.power_loss_at:
            raise PowerLossError
        self.ops += 1
        for fault in self.faults:
            if fault.call == call and name.startswith(fault.name) and fault.times:
                if fault.skip > 0:
                    fault.skip -= 1
                    continue
                fault.times -= fault.times > 0
                raise OSError(fault.code, os.strerror(fault.code))

    def used(self) -> int:
        """Bytes of all files."""
        return sum(len(inode.now) for inode in self.files.values())

    # --- the calls ------------------------------------------------------------------------------

    def names(self) -> list[str]:
        """The files in it."""
        return sorted(self.files)

    def open(self, name: str, new: bool = False) -> File:
        """Open or make a file."""
        if new:
            self.step("open", name)
            if name in self.files:
                raise FileExistsError(errno.EEXIST, name)
            self.files[name] = Inode()
        elif name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        return SimFile(self, name, self.files[name])

    def remove(self, name: str) -> None:
        """Take a name away; it may come back until the folder is synced."""
        self.step("remove", name)
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        del self.files[name]

    def sync(self) -> None:
        """Make the names durable."""
        self.step("folder", "")
        self.kept = dict(self.files)

    def lock(self) -> None:
        """Own the folder."""
        if self.locked:
            raise FolderLockedError("the folder is in use by another process")
        self.locked = True

    def unlock(self) -> None:
        """Own it no more."""
        self.locked = False

    # --- what happens to it ---------------------------------------------------------------------

    def crashed(self, seed: int) -> SimDisk:
        """What the power's return finds: a new disk with what was durable and chance's part of the rest."""
        chance, after = random.Random(seed), SimDisk()
        every = {**self.kept, **self.files}
        for name in sorted(every):
            known, now = self.kept.get(name), self.files.get(name)
            if known is not now and chance.random() < 0.5:  # the last change of the name came through
                known = now
            if known is not None:
                data = bytearray(known.kept)
                for change in known.since:
                    apply(data, change, chance)
                after.files[name] = after.kept[name] = Inode(data, bytes(data))
        return after

    def flip(self, name: str, offset: int, bit: int = 0) -> None:
        """One bit of a file changes by itself."""
        self.files[name].now[offset] ^= 1 << bit
        self.files[name].kept = bytes(self.files[name].now)


def apply(data: bytearray, change: tuple[int, bytes] | int, chance: random.Random) -> None:
    """An unsynced change as a power cut leaves it: any of its sectors, in no order."""
    if isinstance(change, int):
        if chance.random() < 0.5:
            del data[change:]
        return
    offset, written = change
    mode, at = chance.random(), 0
    while at < len(written):
        end = min(len(written), (offset + at) // SECTOR * SECTOR + SECTOR - offset)
        if mode < 0.3 or mode < 0.8 and chance.random() < 0.5:  # all of it, or any sectors of it, or none
            if len(data) < offset + end:
                data += bytes(offset + end - len(data))
            data[offset + at : offset + end] = written[at:end]
        at = end


class SimFile:
    """An open file on such a disk."""

    def __init__(self, disk: SimDisk, name: str, inode: Inode) -> None:
        self.disk, self.name, self.inode = disk, name, inode

    def write(self, parts: list[bytes], at: int) -> None:
        """Write; on a full disk only what there is room for."""
        data = b"".join(parts)
        self.disk.step("write", self.name)
        capacity = self.disk.capacity
        grows = max(0, at + len(data) - len(self.inode.now))
        if capacity is not None and self.disk.used() + grows > capacity:
            data = data[: max(0, len(data) - (self.disk.used() + grows - capacity))]
            self._put(data, at)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._put(data, at)

    def _put(self, data: bytes, at: int) -> None:
        now = self.inode.now
        if len(now) < at:
            now += bytes(at - len(now))
        now[at : at + len(data)] = data
        self.inode.since.append((at, data))

    def read(self, size: int, at: int) -> bytes:
        """Up to so many bytes."""
        return bytes(self.inode.now[at : at + size])

    def size(self) -> int:
        """Its length."""
        return len(self.inode.now)

    def truncate(self, size: int) -> None:
        """Set a shorter length."""
        self.disk.step("cut", self.name)
        del self.inode.now[size:]
        self.inode.since.append(size)

    def sync(self) -> None:
        """Make its data durable; after an error what was not synced counts as clean, as Linux has it."""
        try:
            self.disk.step("sync", self.name)
        except OSError:
            self.inode.since = []  # never written, though reads still show it
            raise
        self.inode.kept, self.inode.since = bytes(self.inode.now), []

    def close(self) -> None:
        """Nothing to do."""
