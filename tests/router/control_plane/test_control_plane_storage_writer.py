"""The storage thread: batching of writes, and retries of failed ones."""

from __future__ import annotations

import asyncio
import errno
import os
import tempfile
import unittest
from collections.abc import Callable, Sequence
from unittest import mock

from mallowbeam.router.consensus.interface import Write
from mallowbeam.router.consensus.storage import ReplicaStore, StoreFullError
from mallowbeam.router.control_plane import storage_writer
from mallowbeam.router.control_plane.storage_writer import StorageWriter
from mallowbeam.router.rpc.messages_pb2 import COMMAND, Entry, Member, Membership, Snapshot

MEGABYTE = 1 << 20
MEMBERSHIP = Membership(members=[Member(id=1, voter=True)], target_voters=1)


def entry_write(ticket: int, size: int = 10) -> Write:
    entry = Entry(index=ticket, term=1, kind=COMMAND, payload=os.urandom(size))
    return Write(ticket, entries=(entry,))


def snapshot_write(ticket: int, index: int, size: int = 10) -> Write:
    return Write(
        ticket, snapshot=Snapshot(index=index, term=1, membership=MEMBERSHIP, state=os.urandom(size))
    )


class RecordingStore:
    """Records the tickets of writes; rejects writes that `rejects` selects."""

    def __init__(self, rejects: Callable[[Sequence[Write]], bool] = lambda writes: False) -> None:
        self._rejects = rejects
        self.written: list[list[int]] = []
        self.rejected: list[list[int]] = []

    def write(self, writes: Sequence[Write]) -> None:
        tickets = [write.ticket for write in writes]
        if self._rejects(writes):
            self.rejected.append(tickets)
            raise StoreFullError("the store's bound is reached", step="bound")
        self.written.append(tickets)


def write_all(store: object, writes: Sequence[Write]) -> list[list[int]]:
    """Submit writes before the thread starts; returns the tickets reported as durable, by sync."""

    async def run() -> list[list[int]]:
        reported: list[list[int]] = []
        all_durable = asyncio.Event()

        def durable(done: Sequence[Write]) -> None:
            reported.append([write.ticket for write in done])
            if reported[-1][-1] == writes[-1].ticket:
                all_durable.set()

        writer = StorageWriter(store, durable)
        for write in writes:
            writer.submit(write)
        writer.start()
        await asyncio.wait_for(all_durable.wait(), 60.0)
        await writer.stop(10.0)
        return reported

    with mock.patch.object(storage_writer, "RETRY_INTERVAL_S", 0.001):
        return asyncio.run(run())


class Batching(unittest.TestCase):
    def test_small_writes_are_batched_in_one_sync(self) -> None:
        store = RecordingStore()
        self.assertEqual(write_all(store, [entry_write(ticket) for ticket in range(1, 6)]), [[1, 2, 3, 4, 5]])

    def test_large_writes_are_split_over_several_syncs(self) -> None:
        store = RecordingStore()
        writes = [entry_write(ticket, 3 * MEGABYTE) for ticket in range(1, 6)]
        writes.append(entry_write(6, 9 * MEGABYTE))
        self.assertEqual(write_all(store, writes), [[1, 2], [3, 4], [5], [6]])


class FailedWrites(unittest.TestCase):
    def test_retried_until_there_is_capacity(self) -> None:
        rejections = iter([True, True, False])
        store = RecordingStore(lambda writes: next(rejections))
        self.assertEqual(write_all(store, [entry_write(1), entry_write(2)]), [[1, 2]])
        self.assertEqual(store.rejected, [[1, 2], [1, 2]])

    def test_entries_over_capacity_are_written_with_the_snapshot_that_frees_it(self) -> None:
        def full(writes: Sequence[Write]) -> bool:
            return all(write.snapshot is None for write in writes)

        large = 5 * MEGABYTE
        writes = [entry_write(1, large), entry_write(2, large), snapshot_write(3, 2)]
        store = RecordingStore(full)
        self.assertEqual(write_all(store, writes), [[1, 2, 3]])
        self.assertEqual(store.rejected, [[1]])

    def test_real_store_on_a_full_disk_continues_once_there_is_capacity(self) -> None:
        """Seals fail for a while: no write is reported as durable meanwhile, and all of them afterwards."""
        rejected = iter([True] * 6)
        pwrite = os.pwrite

        def full(*arguments: object) -> int:
            if next(rejected, False):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return pwrite(*arguments)

        with tempfile.TemporaryDirectory() as folder:
            store = ReplicaStore.open(folder, 32)
            store.create(1, Snapshot(index=0, term=0, membership=MEMBERSHIP))
            writes = [entry_write(1, 3 * MEGABYTE), snapshot_write(2, 1, 3 * MEGABYTE)]
            with mock.patch("os.pwrite", full):
                self.assertEqual(write_all(store, writes), [[1, 2]])
            self.assertIsNone(next(rejected, None))
            self.assertEqual(store.load().snapshot, writes[-1].snapshot)
            store.close()

    def test_real_store_accepts_a_queue_that_is_larger_than_itself(self) -> None:
        """In one transaction they would never fit, as it can't use the pages that it frees."""
        with tempfile.TemporaryDirectory() as folder:
            store = ReplicaStore.open(folder, 32)
            store.create(1, Snapshot(index=0, term=0, membership=MEMBERSHIP))
            writes: list[Write] = []
            for index in range(1, 13):
                payload = os.urandom(2 * MEGABYTE)
                entry = Entry(index=index, term=1, kind=COMMAND, payload=payload)
                writes.append(Write(2 * index - 1, entries=(entry,)))
                writes.append(snapshot_write(2 * index, index, 2 * MEGABYTE))
            with self.assertRaises(StoreFullError):
                store.write(writes)
            write_all(store, writes)
            self.assertEqual(store.load().snapshot, writes[-1].snapshot)
            store.close()

    def test_real_store_is_not_stuck_at_its_bound(self) -> None:
        """Entries up to the bound and one more, which fits only with the snapshot that is queued after it."""
        with tempfile.TemporaryDirectory() as folder:
            store = ReplicaStore.open(folder, 32)
            store.create(1, Snapshot(index=0, term=0, membership=MEMBERSHIP))
            writes = [entry_write(ticket, 3 * MEGABYTE) for ticket in range(1, 4)]
            writes.append(snapshot_write(4, 3, 3 * MEGABYTE))
            reported = write_all(store, writes)
            self.assertEqual(reported, [[1, 2], [3, 4]])
            restored = store.load()
            store.close()
        self.assertEqual((restored.snapshot.index, restored.entries), (3, ()))


if __name__ == "__main__":
    unittest.main()
