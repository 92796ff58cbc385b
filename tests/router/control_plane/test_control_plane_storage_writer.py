"""The disk's thread: what goes to the store together, and what becomes of a write that is refused."""

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
FOUNDERS = Membership(members=[Member(id=1, voter=True)], target_voters=1)


def entry_write(ticket: int, size: int = 10) -> Write:
    entry = Entry(index=ticket, term=1, kind=COMMAND, payload=os.urandom(size))
    return Write(ticket, entries=(entry,))


def snapshot_write(ticket: int, index: int, size: int = 10) -> Write:
    return Write(ticket, snapshot=Snapshot(index=index, term=1, membership=FOUNDERS, state=os.urandom(size)))


class NotingStore:
    """Notes what it is given; refuses as it is told."""

    def __init__(self, refuses: Callable[[Sequence[Write]], bool] = lambda writes: False) -> None:
        self._refuses = refuses
        self.taken: list[list[int]] = []
        self.refused: list[list[int]] = []

    def write(self, writes: Sequence[Write]) -> None:
        tickets = [write.ticket for write in writes]
        if self._refuses(writes):
            self.refused.append(tickets)
            raise StoreFullError("the store's bound is reached", step="bound")
        self.taken.append(tickets)


def play(store: object, writes: Sequence[Write]) -> list[list[int]]:
    """Hand writes over before the thread begins; the tickets that were told durable, by sync."""

    async def run() -> list[list[int]]:
        told: list[list[int]] = []
        all_durable = asyncio.Event()

        def durable(done: Sequence[Write]) -> None:
            told.append([write.ticket for write in done])
            if told[-1][-1] == writes[-1].ticket:
                all_durable.set()

        writer = StorageWriter(store, durable)
        for write in writes:
            writer.submit(write)
        writer.start()
        await asyncio.wait_for(all_durable.wait(), 60.0)
        await writer.stop(10.0)
        return told

    with mock.patch.object(storage_writer, "RETRY_INTERVAL_S", 0.001):
        return asyncio.run(run())


class Together(unittest.TestCase):
    def test_small_writes_are_batched_in_one_sync(self) -> None:
        store = NotingStore()
        self.assertEqual(play(store, [entry_write(ticket) for ticket in range(1, 6)]), [[1, 2, 3, 4, 5]])

    def test_large_ones_do_not(self) -> None:
        store = NotingStore()
        writes = [entry_write(ticket, 3 * MEGABYTE) for ticket in range(1, 6)]
        writes.append(entry_write(6, 9 * MEGABYTE))
        self.assertEqual(play(store, writes), [[1, 2], [3, 4], [5], [6]])


class Refused(unittest.TestCase):
    def test_retried_until_there_is_capacity(self) -> None:
        refusals = iter([True, True, False])
        store = NotingStore(lambda writes: next(refusals))
        self.assertEqual(play(store, [entry_write(1), entry_write(2)]), [[1, 2]])
        self.assertEqual(store.refused, [[1, 2], [1, 2]])

    def test_entries_over_capacity_are_written_with_the_snapshot_that_frees_it(self) -> None:
        def full(writes: Sequence[Write]) -> bool:
            return all(write.snapshot is None for write in writes)

        large = 5 * MEGABYTE
        writes = [entry_write(1, large), entry_write(2, large), snapshot_write(3, 2)]
        store = NotingStore(full)
        self.assertEqual(play(store, writes), [[1, 2, 3]])
        self.assertEqual(store.refused, [[1]])

    def test_real_store_on_a_full_disk_continues_once_there_is_capacity(self) -> None:
        """Seals are refused for a while: nothing is told durable meanwhile, all of it afterwards."""
        refused = iter([True] * 6)
        pwrite = os.pwrite

        def full(*arguments: object) -> int:
            if next(refused, False):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return pwrite(*arguments)

        with tempfile.TemporaryDirectory() as folder:
            store = ReplicaStore.open(folder, 32)
            store.create(1, Snapshot(index=0, term=0, membership=FOUNDERS))
            writes = [entry_write(1, 3 * MEGABYTE), snapshot_write(2, 1, 3 * MEGABYTE)]
            with mock.patch("os.pwrite", full):
                self.assertEqual(play(store, writes), [[1, 2]])
            self.assertIsNone(next(refused, None))
            self.assertEqual(store.load().snapshot, writes[-1].snapshot)
            store.close()

    def test_real_store_takes_a_queue_that_is_larger_than_itself(self) -> None:
        """Together they would never fit: a transaction can't use the pages that it frees."""
        with tempfile.TemporaryDirectory() as folder:
            store = ReplicaStore.open(folder, 32)
            store.create(1, Snapshot(index=0, term=0, membership=FOUNDERS))
            writes: list[Write] = []
            for index in range(1, 13):
                payload = os.urandom(2 * MEGABYTE)
                entry = Entry(index=index, term=1, kind=COMMAND, payload=payload)
                writes.append(Write(2 * index - 1, entries=(entry,)))
                writes.append(snapshot_write(2 * index, index, 2 * MEGABYTE))
            with self.assertRaises(StoreFullError):
                store.write(writes)
            play(store, writes)
            self.assertEqual(store.load().snapshot, writes[-1].snapshot)
            store.close()

    def test_real_store_is_not_stuck_at_its_bound(self) -> None:
        """Entries up to the bound and one more, which fits only with the snapshot that waits behind it."""
        with tempfile.TemporaryDirectory() as folder:
            store = ReplicaStore.open(folder, 32)
            store.create(1, Snapshot(index=0, term=0, membership=FOUNDERS))
            writes = [entry_write(ticket, 3 * MEGABYTE) for ticket in range(1, 4)]
            writes.append(snapshot_write(4, 3, 3 * MEGABYTE))
            told = play(store, writes)
            self.assertEqual(told, [[1, 2], [3, 4]])
            restored = store.load()
            store.close()
        self.assertEqual((restored.snapshot.index, restored.entries), (3, ()))


if __name__ == "__main__":
    unittest.main()
