"""What stood at the end of the life before: the folder looked at, its log read through, by which clock."""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

from mallowbeam.storage_gateway.write_buffer.core import Entry, Known, Replay
from mallowbeam.storage_gateway.write_buffer.disk import Locked, RealDisk
from mallowbeam.storage_gateway.write_buffer.log import Found, Log, folder_id
from mallowbeam.storage_gateway.write_buffer.records import (
    RECORD,
    Barrier,
    Done,
    Held,
    Intent,
    Kind,
    Moved,
    Newer,
    Record,
    Write,
    unpack,
)
from mallowbeam.storage_gateway.write_buffer.terms import Settings


def boot_clock() -> float:
    """Seconds of a clock that steps with nobody's hand and runs through one boot of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> bytes:
    """What tells this boot from others; without it no two lives are of one boot."""
    try:
        with open("/proc/sys/kernel/random/boot_id", "rb") as file:
            return file.read(64).strip()
    except OSError:
        return os.urandom(16)


def probe(settings: Settings, wait: bool) -> str | None:
    """Why the folder can't be used, in a line; None where it can.  `wait`: who has it will hand it over."""
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
    except (Newer, Locked) as error:
        return f"buffer.folder: {settings.folder}: {error}"
    except OSError as error:
        return f"buffer.folder: {settings.folder}: {error.strerror}"
    finally:
        disk.close()
    return None


@contextmanager
def no_collection() -> Iterator[None]:
    """Look for no cycles while very many objects come into being that are in none: a third of the time."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def replay(log: Log, found: Found, wall: float, now: float) -> Replay:
    """Read the log through and put together what stood at the end of the life before."""
    state = Replay()
    for record in log.records(found):
        if record.kind in (Kind.PIECE, Kind.MARK):
            continue
        try:
            words, body = unpack(record.kind, record.payload)
        except ValueError as error:
            raise Newer(f"segment {record.segment} at {record.offset}: {error}") from None
        match words:
            case Write():
                state.write(known(record, record.lsn, words, wall, now))
            case Moved(lsn, write, intent, held):
                copy = known(record, lsn, write, wall, now)
                copy.intent, copy.held = intent, held
                state.write(copy)
            case Barrier(bucket, lsn):
                state.barrier(lsn or record.lsn, bucket, record.segment)
            case Intent(lsns, boot, at, shards):
                state.intent(lsns, (boot, at, shards))
            case Done(lsns):
                state.settled(lsns)
            case Held(lsn, reason):
                state.held(lsn, reason)
    return state


def known(record: Record, lsn: int, write: Write, wall: float, now: float) -> Known:
    """A write as its record tells of it; its age by the wall clock, and none where that stepped back."""
    cost = RECORD.size + len(record.payload) + sum(RECORD.size + size for _, _, size in write.pieces)
    entry = Entry(
        lsn,
        sys.intern(write.bucket),
        write.target,
        write.method,
        write.place,
        write.etag,
        write.size,
        cost,
        now - max(0.0, wall - write.at),
    )
    return Known(entry, (record.segment, record.offset), [segment for segment, _, _ in write.pieces])
