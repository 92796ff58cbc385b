"""The file operations that the log needs, and their implementation by the operating system.

`mallowbeam.standins.disk` implements them on a simulated disk that loses what was not synced.
"""

from __future__ import annotations

import fcntl
import os
from typing import Protocol

from mallowbeam.errors import MallowbeamError


class FolderLockedError(MallowbeamError):
    """Another process has locked the folder."""

    error_name = "Locked"
    remedy = "end the process that has it, or name another folder"


class File(Protocol):
    """An open file."""

    def write(self, parts: list[bytes], at: int) -> None:
        """Write all parts consecutively, starting at an offset; raises OSError."""

    def read(self, size: int, at: int) -> bytes:
        """Read up to `size` bytes, starting at an offset; raises OSError."""

    def size(self) -> int:
        """The file's length in bytes."""

    def truncate(self, size: int) -> None:
        """Set the length in bytes; a longer file is filled with zeros."""

    def sync(self) -> None:
        """Make the data durable (fdatasync); raises OSError, after which the file can't be trusted."""

    def close(self) -> None:
        """Close the file."""


class Disk(Protocol):
    """A folder on a disk; all calls raise OSError."""

    def names(self) -> list[str]:
        """The names of the files in the folder."""

    def open(self, name: str, new: bool = False) -> File:
        """Open a file to read and write; `new`: create it, which fails if it exists."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync(self) -> None:
        """Make the file names durable (fsync of the folder)."""

    def lock(self) -> None:
        """Lock the folder for this process; raises `FolderLockedError`."""

    def unlock(self) -> None:
        """Release the lock."""


class RealFile:
    """A file of the operating system, accessed by its descriptor."""

    def __init__(self, fd: int) -> None:
        self.fd = fd

    def write(self, parts: list[bytes], at: int) -> None:
        """Write with pwrite, in as many calls as it takes."""
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        view = memoryview(data)
        while view:
            count = os.pwrite(self.fd, view, at)
            view = view[count:]
            at += count

    def read(self, size: int, at: int) -> bytes:
        """Read with pread."""
        return os.pread(self.fd, size, at)

    def size(self) -> int:
        """The length in bytes, by fstat."""
        return os.fstat(self.fd).st_size

    def truncate(self, size: int) -> None:
        """Set the length with ftruncate."""
        os.ftruncate(self.fd, size)

    def sync(self) -> None:
        """Make the data, and a changed length, durable with fdatasync."""
        os.fdatasync(self.fd)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.fd)


class RealDisk:
    """A folder of the operating system."""

    def __init__(self, path: str, read_only: bool = False) -> None:
        self.path = path
        self.read_only = read_only
        self.fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self.lock_fd: int | None = None

    def names(self) -> list[str]:
        """The names of the files in the folder, sorted."""
        return sorted(os.listdir(self.fd))

    def open(self, name: str, new: bool = False) -> RealFile:
        """Open or create a file; only its owner may read it."""
        flags = os.O_RDONLY if self.read_only else os.O_RDWR | (os.O_CREAT | os.O_EXCL if new else 0)
        return RealFile(os.open(name, flags | os.O_CLOEXEC, 0o600, dir_fd=self.fd))

    def remove(self, name: str) -> None:
        """Remove a file with unlink."""
        os.unlink(name, dir_fd=self.fd)

    def sync(self) -> None:
        """Make the file names durable with fsync of the folder."""
        os.fsync(self.fd)

    def lock(self) -> None:
        """Lock with flock, which the kernel releases when the process ends in any way."""
        fd = os.open("lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self.fd)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            raise FolderLockedError(f"{self.path} is in use by another process") from None
        self.lock_fd = fd

    def unlock(self) -> None:
        """Release the lock."""
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    def close(self) -> None:
        """Release the lock and close the folder."""
        self.unlock()
        os.close(self.fd)
