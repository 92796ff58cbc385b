"""Durable changes of folders and files, and the mapping of system and lmdb errors to the store's."""

from __future__ import annotations

import contextlib
import errno
import os
from collections.abc import Iterator

import lmdb

from mallowbeam.router.consensus.storage.errors import StoreDamagedError, StoreFailedError, StoreFullError

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
DAMAGE_ERRORS = (lmdb.InvalidError, lmdb.VersionMismatchError, lmdb.CorruptedError, lmdb.PageNotFoundError)


def sync_folder(folder: str) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: str) -> None:
    """Create a folder with its missing parents and make its name durable.

    The name of an existing folder is made durable too: a process killed after `mkdir` may have created it.
    """
    parent = os.path.dirname(os.path.abspath(folder))
    if not os.path.isdir(folder):
        if not os.path.isdir(parent):
            make_folder(parent)
        os.mkdir(folder)
    sync_folder(parent)


def remove_file(path: str) -> None:
    """Remove a file if it exists."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)


@contextlib.contextmanager
def raised_as_store_error(step: str, where: str) -> Iterator[None]:
    """Raise errors of the system and of lmdb as the store's errors, with the step and the path.

    Raises:
        StoreFullError: the disk is full or lmdb's map size is reached.
        StoreDamagedError: lmdb cannot read the file.
        StoreFailedError: any other error of lmdb or of a system call.
    """
    try:
        yield
    except lmdb.MapFullError as error:
        raise StoreFullError("the store's size limit is reached", where, step=step) from error
    except DAMAGE_ERRORS as error:
        raise StoreDamagedError(str(error), where, step=step) from error
    except lmdb.Error as error:
        raise _failure(str(error), where, step, int(getattr(error, "code", 0))) from error
    except OSError as error:
        raise _failure(error.strerror or str(error), where, step, error.errno or 0) from error


def _failure(what: str, where: str, step: str, number: int) -> StoreFullError | StoreFailedError:
    kind = StoreFullError if number in DISK_FULL_ERRNOS else StoreFailedError
    return kind(f"{step}: {what}", where, step=step, errno=max(number, 0))
