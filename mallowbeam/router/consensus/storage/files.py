"""Folders, files and the system's errors, as the store needs them."""

from __future__ import annotations

import contextlib
import errno
import os
from collections.abc import Iterator

import lmdb

from mallowbeam.router.consensus.storage.errors import StoreDamagedError, StoreFailedError, StoreFullError

FULL = (errno.ENOSPC, errno.EDQUOT)
UNREADABLE = (lmdb.InvalidError, lmdb.VersionMismatchError, lmdb.CorruptedError, lmdb.PageNotFoundError)


def sync_folder(folder: str) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: str) -> None:
    """Make a folder with those above it, if absent, and make its name durable.

    The name of a folder that exists is made durable too: a process that was killed may have made it.
    """
    above = os.path.dirname(os.path.abspath(folder))
    if not os.path.isdir(folder):
        if not os.path.isdir(above):
            make_folder(above)
        os.mkdir(folder)
    sync_folder(above)


def remove_file(path: str) -> None:
    """Remove a file if it exists."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)


@contextlib.contextmanager
def raised_as_store_error(step: str, where: str) -> Iterator[None]:
    """Turn errors of the system and of lmdb into the store's, with the step."""
    try:
        yield
    except lmdb.MapFullError as error:
        raise StoreFullError("the store's bound is reached", where, step=step) from error
    except UNREADABLE as error:
        raise StoreDamagedError(str(error), where, step=step) from error
    except lmdb.Error as error:
        raise _failure(str(error), where, step, int(getattr(error, "code", 0))) from error
    except OSError as error:
        raise _failure(error.strerror or str(error), where, step, error.errno or 0) from error


def _failure(what: str, where: str, step: str, number: int) -> StoreFullError | StoreFailedError:
    kind = StoreFullError if number in FULL else StoreFailedError
    return kind(f"{step}: {what}", where, step=step, errno=max(number, 0))
