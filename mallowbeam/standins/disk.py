"""A simulated disk that loses, tears or reorders unsynced data at a power loss.

It implements the calls of `mallowbeam.storage_gateway.write_buffer.disk`. Every modifying call is counted;
power is lost at a chosen call. What remains is drawn from a seed: any subset of the sectors of each unsynced
write, and any subset of the unsynced directory changes. Errors are scripted by call and file.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.write_buffer.disk import File, FolderLockedError

SECTOR = 512  # bytes that are written atomically
DURABLE_PROBABILITY = 0.5  # that an unsynced name, length or sector is durable after a power loss
ALL_SECTORS_BOUND = 0.3  # below it all sectors of a write are durable
SOME_SECTORS_BOUND = 0.8  # between the bounds each sector is durable at random, above this one none


class PowerLossError(Exception):
    """The machine has lost power: no further call is executed."""


@dataclass(slots=True)
class Fault:
    """A scripted error of a `call` (write, sync, open, cut, remove, folder) on names with this prefix."""

    call: str
    code: int
    name: str = ""
    skip: int = 0
    times: int = 1  # -1: unlimited


@dataclass(slots=True)
class Inode:
    """A file: its current bytes, its durable bytes and the changes since the last sync."""

    now: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    unsynced: list[tuple[int, bytes] | int] = field(default_factory=list)  # a write, or a truncated length


class SimDisk:
    """A directory on the simulated disk."""

    def __init__(self) -> None:
        self.files: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}  # by durable names
        self.faults: list[Fault] = []
        self.ops = 0
        self.power_loss_at: int | None = None
        self.locked = False
        self.capacity: int | None = None  # bytes of all files together; None: unlimited

    def step(self, call: str, name: str) -> None:
        """Count a modifying call; raises PowerLossError or a scripted OSError."""
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
        """Return the bytes of all files."""
        return sum(len(inode.now) for inode in self.files.values())

    # --- calls ------------------------------------------------------------------------------

    def names(self) -> list[str]:
        """Return the file names, sorted."""
        return sorted(self.files)

    def open(self, name: str, new: bool = False) -> File:
        """Open a file, or create it if `new`; raises FileExistsError or FileNotFoundError."""
        if new:
            self.step("open", name)
            if name in self.files:
                raise FileExistsError(errno.EEXIST, name)
            self.files[name] = Inode()
        elif name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        return SimFile(self, name, self.files[name])

    def remove(self, name: str) -> None:
        """Remove a name; it may reappear after a power loss until the directory is synced."""
        self.step("remove", name)
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        del self.files[name]

    def sync(self) -> None:
        """Make the names of the directory durable."""
        self.step("folder", "")
        self.durable = dict(self.files)

    def lock(self) -> None:
        """Lock the directory; raises FolderLockedError if it is locked."""
        if self.locked:
            raise FolderLockedError("the folder is in use by another process")
        self.locked = True

    def unlock(self) -> None:
        """Unlock the directory."""
        self.locked = False

    # --- faults ---------------------------------------------------------------------

    def crashed(self, seed: int) -> SimDisk:
        """Return the disk after a power loss: the durable data and a random part of the unsynced changes."""
        rng = random.Random(seed)
        recovered = SimDisk()
        inodes = {**self.durable, **self.files}
        for name in sorted(inodes):
            inode, current = self.durable.get(name), self.files.get(name)
            if inode is not current and rng.random() < DURABLE_PROBABILITY:
                inode = current
            if inode is not None:
                data = bytearray(inode.durable)
                for change in inode.unsynced:
                    apply(data, change, rng)
                recovered.files[name] = recovered.durable[name] = Inode(data, bytes(data))
        return recovered

    def flip(self, name: str, offset: int, bit: int = 0) -> None:
        """Flip one bit of a file, as silent corruption does."""
        self.files[name].now[offset] ^= 1 << bit
        self.files[name].durable = bytes(self.files[name].now)


def apply(data: bytearray, change: tuple[int, bytes] | int, rng: random.Random) -> None:
    """Apply an unsynced change as a power loss may leave it: a random subset of the sectors of a write."""
    if isinstance(change, int):
        if rng.random() < DURABLE_PROBABILITY:
            del data[change:]
        return
    offset, written = change
    mode, position = rng.random(), 0
    while position < len(written):
        end = min(len(written), (offset + position) // SECTOR * SECTOR + SECTOR - offset)
        by_sector = mode < SOME_SECTORS_BOUND
        if mode < ALL_SECTORS_BOUND or (by_sector and rng.random() < DURABLE_PROBABILITY):
            if len(data) < offset + end:
                data += bytes(offset + end - len(data))
            data[offset + position : offset + end] = written[position:end]
        position = end


class SimFile:
    """An open file on the simulated disk."""

    def __init__(self, disk: SimDisk, name: str, inode: Inode) -> None:
        self.disk = disk
        self.name = name
        self.inode = inode

    def write(self, parts: list[bytes], at: int) -> None:
        """Write at an offset; on a full disk only the bytes that fit, then raises OSError (ENOSPC)."""
        data = b"".join(parts)
        self.disk.step("write", self.name)
        capacity = self.disk.capacity
        growth = max(0, at + len(data) - len(self.inode.now))
        if capacity is not None and self.disk.used() + growth > capacity:
            data = data[: max(0, len(data) - (self.disk.used() + growth - capacity))]
            self._put(data, at)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._put(data, at)

    def _put(self, data: bytes, at: int) -> None:
        now = self.inode.now
        if len(now) < at:
            now += bytes(at - len(now))
        now[at : at + len(data)] = data
        self.inode.unsynced.append((at, data))

    def read(self, size: int, at: int) -> bytes:
        """Read up to `size` bytes at an offset."""
        return bytes(self.inode.now[at : at + size])

    def size(self) -> int:
        """Return the length in bytes."""
        return len(self.inode.now)

    def truncate(self, size: int) -> None:
        """Truncate to `size` bytes."""
        self.disk.step("cut", self.name)
        del self.inode.now[size:]
        self.inode.unsynced.append(size)

    def sync(self) -> None:
        """Make the data durable; after an error the unsynced pages count as clean, as on Linux."""
        try:
            self.disk.step("sync", self.name)
        except OSError:
            self.inode.unsynced = []  # never written to disk, though reads still return it
            raise
        self.inode.durable = bytes(self.inode.now)
        self.inode.unsynced = []

    def close(self) -> None:
        """Do nothing: there is no descriptor."""
