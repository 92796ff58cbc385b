"""How long a folder takes to come up: rate against reading the file alone, and memory while it runs."""

from __future__ import annotations

import json
import os
import resource
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from mallowbeam.storage_gateway.write_buffer.core import Core
from mallowbeam.storage_gateway.write_buffer.disk import RealDisk
from mallowbeam.storage_gateway.write_buffer.limits import Limits
from mallowbeam.storage_gateway.write_buffer.log import (
    Log,
    NewRecord,
    ScanResult,
    segment_name,
    segment_numbers,
)
from mallowbeam.storage_gateway.write_buffer.records import Done, Kind, Write, pack
from mallowbeam.storage_gateway.write_buffer.reopen import boot_clock, no_garbage_collection, replay

BATCH = 2000
SEGMENT = 64 << 20


@dataclass(slots=True)
class Result:
    """One folder come up."""

    records: int
    held: int  # writes that were not settled
    megabytes: float
    read_s: float  # the files alone, from the page cache
    recover_s: float
    mb_per_s: float
    peak_mb: float  # of the process
    before_mb: float  # of the same before it began


def fill(folder: Path, records: int, size: int, settled: float) -> None:
    """A folder of so many writes, a share of them settled by later records."""
    folder.mkdir(parents=True)
    log, body = Log(RealDisk(str(folder)), SEGMENT), os.urandom(size)
    found = log.open()
    list(log.records(found))
    log.recover(found)
    lsn = 0
    for first in range(0, records, BATCH):
        items = []
        for number in range(first, min(first + BATCH, records)):
            lsn += 1
            words = Write(
                "PUT",
                "b",
                b"/b/%d" % number,
                number,
                [(b"content-type", b"text/plain")],
                b"%016x" % number,
                '"0123456789abcdef0123456789abcdef"',
                size,
                time.time(),
            )
            items.append(NewRecord(Kind.WRITE, lsn, pack(Kind.WRITE, words, body)))
        over = [item.lsn for item in items[: int(len(items) * settled)]]
        if over:
            lsn += 1
            items.append(NewRecord(Kind.DONE, lsn, pack(Kind.DONE, Done(over))))
        log.commit(items)
    log.close()


def peak() -> float:
    """The most memory this process has had, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def come_up(folder: Path) -> Result:
    """Read the files alone, then recover them, in this process."""
    import random

    disk, size = RealDisk(str(folder)), 0
    began = time.perf_counter()
    for number in segment_numbers(disk):
        with open(folder / segment_name(number), "rb", buffering=0) as file:
            while data := file.read(1 << 20):
                size += len(data)
    read, before = time.perf_counter() - began, peak()
    log, core = Log(disk, SEGMENT), Core(Limits(max_records=10_000_000), random.Random(1))
    began = time.perf_counter()
    found: ScanResult = log.open()
    with no_garbage_collection():
        state = replay(log, found, time.time(), boot_clock())
        log.recover(found)
        state.build(core, boot_clock(), b"boot")
    took = time.perf_counter() - began
    held = len(core.entries)
    log.close()
    return Result(
        found.last_lsn,
        held,
        round(size / 1e6, 1),
        round(read, 3),
        round(took, 3),
        round(size / 1e6 / took, 1),
        round(peak(), 1),
        round(before, 1),
    )


def measure(folder: Path, records: int, size: int, settled: float) -> Result:
    """A folder filled here, and brought up in a process of its own, so that memory is told apart."""
    fill(folder, records, size, settled)
    done = subprocess.run(
        [sys.executable, "-m", "mallowbeam.lab.recover", str(folder)],
        capture_output=True,
        check=True,
        text=True,
    )
    return Result(**json.loads(done.stdout))


if __name__ == "__main__":
    print(json.dumps(asdict(come_up(Path(sys.argv[1])))))
