"""Opening a folder: checks whether it can be used, and reads the state that the previous process left."""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

from mallowbeam.storage_gateway.write_buffer.disk import FolderLockedError, RealDisk
from mallowbeam.storage_gateway.write_buffer.entries import Entry
from mallowbeam.storage_gateway.write_buffer.interface import Settings
from mallowbeam.storage_gateway.write_buffer.log import Log, ScanResult, folder_id
from mallowbeam.storage_gateway.write_buffer.records import (
    RECORD,
    Barrier,
    Done,
    Intent,
    Kind,
    Record,
    RelocatedWrite,
    Suspension,
    UnsupportedFormatError,
    Write,
    unpack,
)
from mallowbeam.storage_gateway.write_buffer.replay import Replay, RestoredWrite

BOOT_ID_FILE = "/proc/sys/kernel/random/boot_id"
BOOT_ID_BYTES = 64


def boot_clock() -> float:
    """Seconds of a clock that is never set and runs through one boot of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> bytes:
    """The id of this boot; random if the system has none, so that no two processes share a boot."""
    try:
        with open(BOOT_ID_FILE, "rb") as file:
            return file.read(BOOT_ID_BYTES).strip()
    except OSError:
        return os.urandom(16)


def check_folder(settings: Settings, wait: bool) -> str | None:
    """Why the folder cannot be used, in one line; None if it can.

    `wait`: another process has locked the folder and will hand it over.
    """
    try:
        disk = RealDisk(settings.folder)
    except OSError as error:
        return f"buffer.folder: {settings.folder}: {error.strerror}"
    try:
        if not os.access(settings.folder, os.W_OK | os.X_OK):
            return f"buffer.folder: {settings.folder}: it can't be written to"
        folder_id(disk)
        if not wait:
            disk.lock()
    except (UnsupportedFormatError, FolderLockedError) as error:
        return f"buffer.folder: {settings.folder}: {error}"
    except OSError as error:
        return f"buffer.folder: {settings.folder}: {error.strerror}"
    finally:
        disk.close()
    return None


@contextmanager
def no_garbage_collection() -> Iterator[None]:
    """Disable cyclic garbage collection, which takes a third of the time of creating many acyclic objects."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def replay(log: Log, result: ScanResult, wall: float, now: float) -> Replay:
    """Read the log and rebuild the state at the end of the previous process.

    `wall` is Unix time and `now` the boot clock, in seconds.  Raises `UnsupportedFormatError` or OSError.
    """
    state = Replay()
    for record in log.records(result):
        if record.kind in (Kind.PIECE, Kind.MARK):
            continue
        try:
            content, body = unpack(record.kind, record.payload)
        except ValueError as error:
            raise UnsupportedFormatError(f"segment {record.segment} at {record.offset}: {error}") from None
        match content:
            case Write():
                state.write(restore_write(record, record.lsn, content, wall, now))
            case RelocatedWrite(lsn, write, intent, suspension):
                restored = restore_write(record, lsn, write, wall, now)
                restored.intent = intent
                restored.suspension = suspension
                state.write(restored)
            case Barrier(bucket, lsn):
                state.barrier(lsn or record.lsn, bucket, record.segment)
            case Intent(lsns, boot, at, shards):
                state.intent(lsns, (boot, at, shards))
            case Done(lsns):
                state.done(lsns)
            case Suspension(lsn, reason):
                state.suspended(lsn, reason)
    return state


def restore_write(record: Record, lsn: int, write: Write, wall: float, now: float) -> RestoredWrite:
    """Restore a write from its record; its age is by the wall clock, and zero if that was set back."""
    log_bytes = RECORD.size + len(record.payload) + sum(RECORD.size + size for _, _, size in write.chunks)
    write.bucket = sys.intern(write.bucket)
    entry = Entry(lsn, write, log_bytes, now - max(0.0, wall - write.accepted_at))
    return RestoredWrite(entry, (record.segment, record.offset), [segment for segment, _, _ in write.chunks])
