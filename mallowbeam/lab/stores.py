"""Three stores under the same work: our segmented log, LMDB and SQLite in WAL mode, all with full sync.

Each gets the same group commit (writers that wait together share one transaction or batch), so what is
compared is what a synced batch costs, how many bytes it writes and how long it takes to read all back.
"""

from __future__ import annotations

import asyncio
import os
import sqlite3
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import lmdb
import uvloop

from mallowbeam.storage_gateway.write_buffer.disk import RealDisk
from mallowbeam.storage_gateway.write_buffer.log import Log, NewRecord, ScanResult
from mallowbeam.storage_gateway.write_buffer.records import Kind, Write, pack, unpack

BODY = os.urandom(1024)


class Backend(Protocol):
    """A store: batches in, and all of it back."""

    def commit(self, batch: list[tuple[int, bytes]]) -> None:
        """Make a batch durable."""

    def close(self) -> None:
        """Let it go."""

    def recover(self) -> int:
        """Open it again and read all of it; how many records."""


class LogBackend:
    """The buffer's own log."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log = Log(RealDisk(str(folder)), 16 << 20)
        found = self.log.open()
        list(self.log.records(found))
        self.log.recover(found)

    def commit(self, batch: list[tuple[int, bytes]]) -> None:
        """One write and one fdatasync."""
        items = []
        for number, body in batch:
            words = Write("PUT", "b", b"/b/%d" % number, number, [], b"token", '"etag"', len(body), 0.0)
            items.append(NewRecord(Kind.WRITE, number, pack(Kind.WRITE, words, body)))
        self.log.commit(items)

    def close(self) -> None:
        """Close the files."""
        self.log.close()

    def recover(self) -> int:
        """Read, check and unpack every record."""
        log, found, count = Log(RealDisk(str(self.folder)), 16 << 20), ScanResult(), 0
        log.open()
        for record in log.records(found):
            if record.kind is Kind.WRITE:
                unpack(record.kind, record.payload)
                count += 1
        log.close()
        return count


class LmdbBackend:
    """LMDB: a copy-on-write B+tree, synced at each commit."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.env = lmdb.open(str(folder), map_size=8 << 30, sync=True, metasync=True)

    def commit(self, batch: list[tuple[int, bytes]]) -> None:
        """One transaction."""
        with self.env.begin(write=True) as txn:
            for number, body in batch:
                txn.put(number.to_bytes(8, "big"), body, append=True)

    def close(self) -> None:
        """Close it."""
        self.env.close()

    def recover(self) -> int:
        """Walk the tree."""
        env = lmdb.open(str(self.folder), map_size=8 << 30)
        with env.begin() as txn:
            count = sum(len(value) > 0 for _, value in txn.cursor())
        env.close()
        return count


class SqliteBackend:
    """SQLite: WAL mode, synchronous=FULL."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "db"
        self.db = self._connect()
        self.db.execute("create table if not exists writes (number integer primary key, body blob)")

    def _connect(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None)
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        return db

    def commit(self, batch: list[tuple[int, bytes]]) -> None:
        """One transaction."""
        self.db.execute("begin immediate")
        self.db.executemany("insert into writes values (?, ?)", batch)
        self.db.execute("commit")

    def close(self) -> None:
        """Leave the WAL as a crash would: SQLite folds it in at the next start, which counts as recovery."""
        self.db.execute("pragma wal_autocheckpoint=0")
        self.db.close()

    def recover(self) -> int:
        """Read every row."""
        db = self._connect()
        count = sum(len(body) > 0 for _, body in db.execute("select number, body from writes"))
        db.close()
        return count


BACKENDS: dict[str, Callable[[Path], Backend]] = {
    "log": LogBackend,
    "lmdb": LmdbBackend,
    "sqlite": SqliteBackend,
}


@dataclass(slots=True)
class Result:
    """One store under one load."""

    store: str
    writers: int
    acks_per_s: float
    p50_ms: float
    p99_ms: float
    batch: float  # records for each sync
    written_per_taken: float  # bytes sent to the device for each byte of body
    recover_s: float
    records: int


def written() -> int:
    """Bytes that this process has had written to a device, as the kernel counts them."""
    for line in Path("/proc/self/io").read_text().splitlines():
        if line.startswith("write_bytes:"):
            return int(line.split()[1])
    return 0


async def load(backend: Backend, writers: int, seconds: float, alone: bool) -> tuple[list[float], int, float]:
    """Latencies, batches and time of so many writers that each wait for their word."""
    loop, thread = asyncio.get_running_loop(), ThreadPoolExecutor(1)
    queue: list[tuple[int, bytes, asyncio.Future[None]]] = []
    more, batches, number, latencies = asyncio.Event(), 0, 0, list[float]()
    end = time.perf_counter() + seconds

    async def commit() -> None:
        nonlocal batches
        while True:
            await more.wait()
            batch = queue[:1] if alone else queue[:]
            del queue[: len(batch)]
            if not queue:
                more.clear()
            await loop.run_in_executor(thread, backend.commit, [(n, body) for n, body, _ in batch])
            batches += 1
            for *_, future in batch:
                future.set_result(None)

    async def writer() -> None:
        nonlocal number
        while time.perf_counter() < end:
            number += 1
            future, began = loop.create_future(), time.perf_counter()
            queue.append((number, BODY, future))
            more.set()
            await future
            latencies.append(time.perf_counter() - began)

    committer, began = asyncio.create_task(commit()), time.perf_counter()
    await asyncio.gather(*(writer() for _ in range(writers)))
    took = time.perf_counter() - began
    committer.cancel()
    thread.shutdown()
    return latencies, batches, took


def measure(name: str, folder: Path, writers: int, seconds: float, alone: bool = False) -> Result:
    """One store under one load, in a folder of its own."""
    folder.mkdir(parents=True)
    backend = BACKENDS[name](folder)
    before = written()
    latencies, batches, took = uvloop.run(load(backend, writers, seconds, alone))
    out = written() - before
    backend.close()
    began = time.perf_counter()
    count = backend.recover()
    recover = time.perf_counter() - began
    assert count == len(latencies), f"{name} lost {len(latencies) - count} records"
    latencies.sort()
    return Result(
        name + (" alone" if alone else ""),
        writers,
        round(len(latencies) / took, 1),
        round(1000 * latencies[len(latencies) // 2], 3),
        round(1000 * latencies[int(len(latencies) * 0.99)], 3),
        round(len(latencies) / batches, 1),
        round(out / (len(latencies) * len(BODY)), 2),
        round(recover, 3),
        count,
    )


def compare(folder: Path, seconds: float, rounds: int) -> list[Result]:
    """All stores in turn at 1, 16 and 64 writers, and our log with a sync for each record."""
    results = []
    for turn in range(rounds):
        for writers in (1, 16, 64):
            for name in BACKENDS:
                results.append(measure(name, folder / f"{name}-{writers}-{turn}", writers, seconds))
        results.append(measure("log", folder / f"alone-{turn}", 64, seconds, alone=True))
    return results
