"""Where the buffer's bytes go: the few calls on files that it makes, and the real files behind them.

`mallowbeam.standins.disk` has the same calls on a disk that loses what was not synced.
"""

from __future__ import annotations

import fcntl
import os
from typing import Protocol

from mallowbeam.errors import MallowbeamError


class Locked(MallowbeamError):
    """Another process has the folder."""

    error_name = "Locked"
    remedy = "end the process that has it, or name another folder"


class File(Protocol):
    """An open file."""

    def write(self, parts: list[bytes], at: int) -> None:
        """Write all of the parts, one behind the other, from an offset on; raises OSError."""

    def read(self, size: int, at: int) -> bytes:
        """Up to so many bytes from an offset on; raises OSError."""

    def size(self) -> int:
        """Its length in bytes."""

    def cut(self, size: int) -> None:
        """Make it shorter, or longer with zeros."""

    def sync(self) -> None:
        """Make its data durable (fdatasync); raises OSError, after which the file is not to be trusted."""

    def close(self) -> None:
        """Let it go."""


class Disk(Protocol):
    """A folder."""

    def names(self) -> list[str]:
        """The files in it."""

    def open(self, name: str, new: bool = False) -> File:
        """A file to read and write; `new` where there must be none yet."""

    def remove(self, name: str) -> None:
        """Take a file away."""

    def sync(self) -> None:
        """Make the names durable."""

    def lock(self) -> None:
        """Own the folder; raises `Locked`."""

    def unlock(self) -> None:
        """Own it no more."""


class RealFile:
    """A file of the operating system's."""

    def __init__(self, fd: int) -> None:
        self.fd = fd

    def write(self, parts: list[bytes], at: int) -> None:
        """All of it, in as many calls as it takes."""
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        view = memoryview(data)
        while view:
            count = os.pwrite(self.fd, view, at)
            view, at = view[count:], at + count

    def read(self, size: int, at: int) -> bytes:
        """One read."""
        return os.pread(self.fd, size, at)

    def size(self) -> int:
        """Its length."""
        return os.fstat(self.fd).st_size

    def cut(self, size: int) -> None:
        """ftruncate."""
        os.ftruncate(self.fd, size)

    def sync(self) -> None:
        """fdatasync: the data, and the length where that changed."""
        os.fdatasync(self.fd)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.fd)


class RealDisk:
    """A folder of the operating system's."""

    def __init__(self, path: str, read_only: bool = False) -> None:
        self.path, self.read_only = path, read_only
        self.fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self.lock_fd: int | None = None

    def names(self) -> list[str]:
        """The files in it, sorted."""
        return sorted(os.listdir(self.fd))

    def open(self, name: str, new: bool = False) -> RealFile:
        """Open or make a file; only its owner may read it."""
        flags = os.O_RDONLY if self.read_only else os.O_RDWR | (os.O_CREAT | os.O_EXCL if new else 0)
        return RealFile(os.open(name, flags | os.O_CLOEXEC, 0o600, dir_fd=self.fd))

    def remove(self, name: str) -> None:
        """unlink."""
        os.unlink(name, dir_fd=self.fd)

    def sync(self) -> None:
        """fsync of the folder."""
        os.fsync(self.fd)

    def lock(self) -> None:
        """flock: ends with the process, however that ends."""
        fd = os.open("lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self.fd)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            raise Locked(f"{self.path} is in use by another process") from None
        self.lock_fd = fd

    def unlock(self) -> None:
        """Let the lock go."""
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    def close(self) -> None:
        """Let the folder go."""
        self.unlock()
        os.close(self.fd)
