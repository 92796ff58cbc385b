"""The replica store on a healthy disk, on a full disk, and with failing system calls."""

from __future__ import annotations

import errno
import os
import random
import resource
import signal
import tempfile
import threading
import unittest
from collections.abc import Sequence
from unittest import mock

from storage_model import IDENTITY, INITIAL_SNAPSHOT, Model, draw_batch, draw_entries

from mallowbeam.router.consensus.interface import HardState, PersistentState, Write
from mallowbeam.router.consensus.storage import (
    ReplicaStore,
    StoreFailedError,
    StoreFullError,
    StoreOrderError,
    StoreVersionError,
    records,
)
from mallowbeam.router.rpc.messages_pb2 import COMMAND, Entry, Snapshot

MEGABYTE = 1 << 20


def entries(first: int, count: int, term: int = 1, size: int = 50) -> tuple[Entry, ...]:
    return tuple(
        Entry(index=first + position, term=term, kind=COMMAND, payload=bytes([term]) * size)
        for position in range(count)
    )


def snapshot(index: int, term: int = 1, size: int = 50) -> Snapshot:
    return Snapshot(index=index, term=term, membership=INITIAL_SNAPSHOT.membership, state=os.urandom(size))


class StoreCase(unittest.TestCase):
    """A store in a temporary folder."""

    disk_mb = 128

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = os.path.join(folder.name, "data", "replica")
        self.store = ReplicaStore.open(self.folder, self.disk_mb)
        self.addCleanup(lambda: self.store.close())
        self.store.create(IDENTITY, INITIAL_SNAPSHOT)

    def write(
        self,
        added: Sequence[Entry] = (),
        *,
        hard_state: HardState | None = None,
        taken: Snapshot | None = None,
    ) -> None:
        self.store.write([Write(1, hard_state, tuple(added), taken)])

    def reopen(self) -> PersistentState:
        self.store.close()
        self.store = ReplicaStore.open(self.folder, self.disk_mb)
        return self.store.load()

    def indexes(self) -> list[int]:
        return [entry.index for entry in self.reopen().entries]


class Contents(StoreCase):
    def test_an_empty_folder_has_no_identity(self) -> None:
        other = ReplicaStore.open(self.folder + "-other", 128)
        self.assertIsNone(other.identity)
        with self.assertRaises(StoreOrderError):
            other.load()
        self.assertEqual(os.listdir(self.folder + "-other"), [])

    def test_the_first_state(self) -> None:
        self.assertEqual(self.reopen(), PersistentState(HardState(), INITIAL_SNAPSHOT))
        self.assertEqual(self.store.identity, IDENTITY)
        with self.assertRaises(StoreOrderError):
            self.store.create(IDENTITY, INITIAL_SNAPSHOT)

    def test_entries_replace_all_at_their_first_index_and_behind_it(self) -> None:
        self.write(entries(1, 10))
        self.write(entries(4, 2, term=2), hard_state=HardState(2, 7))
        expected = PersistentState(HardState(2, 7), INITIAL_SNAPSHOT, entries(1, 3) + entries(4, 2, term=2))
        self.assertEqual(self.reopen(), expected)

    def test_an_own_snapshot_drops_the_entries_it_covers(self) -> None:
        self.write(entries(1, 10))
        taken = snapshot(6)
        self.write(taken=taken)
        self.assertEqual(self.reopen(), PersistentState(HardState(), taken, entries(7, 4)))

    def test_a_snapshot_of_another_history_drops_all_entries(self) -> None:
        self.write(entries(1, 10))
        self.write(taken=snapshot(6, term=3))
        self.assertEqual(self.indexes(), [])
        self.write(entries(7, 3, term=3))
        self.write(entries(21, 2, term=3), taken=snapshot(20, term=3))
        self.assertEqual(self.indexes(), [21, 22])

    def test_entries_and_a_snapshot_that_covers_some_of_them_in_one_write(self) -> None:
        self.write(entries(1, 10), taken=snapshot(8))
        self.assertEqual(self.indexes(), [9, 10])
        self.write(entries(7, 5))  # entries covered by the snapshot are skipped
        self.assertEqual(self.indexes(), [9, 10, 11])

    def test_a_batch_of_writes_is_applied_in_order(self) -> None:
        self.store.write(
            [
                Write(1, HardState(1, 1), entries(1, 3)),
                Write(2, HardState(2, 0)),
                Write(3, None, entries(3, 1, term=2)),
            ]
        )
        expected = PersistentState(HardState(2, 0), INITIAL_SNAPSHOT, entries(1, 2) + entries(3, 1, term=2))
        self.assertEqual(self.reopen(), expected)

    def test_empty_write(self) -> None:
        self.store.write([])
        self.store.write([Write(1)])
        self.assertEqual(self.reopen(), PersistentState(HardState(), INITIAL_SNAPSHOT))

    def test_entries_and_snapshots_of_several_megabytes(self) -> None:
        large = draw_entries(1, 1, 1, random.Random(1))[0]
        large.payload = random.Random(2).randbytes(4 * MEGABYTE + 17)
        self.write([large])
        self.assertEqual(self.reopen().entries, (large,))
        taken = Snapshot(index=1, term=1, state=large.payload[::-1])
        self.write(taken=taken)
        self.assertEqual(self.reopen(), PersistentState(HardState(), taken))
        self.assertGreater(self.store.size_bytes(), 4 * MEGABYTE)

    def test_entries_that_leave_a_gap_are_a_fault_of_the_caller(self) -> None:
        self.write(entries(1, 3))
        for wrong in (entries(5, 1), (*entries(4, 1), *entries(6, 1))):
            with self.assertRaises(StoreOrderError):
                self.write(wrong, hard_state=HardState(9, 9))
        self.write(taken=snapshot(2))
        with self.assertRaises(StoreOrderError):
            self.write(taken=snapshot(1))
        self.assertEqual(self.reopen().hard_state, HardState())
        self.assertEqual(self.indexes(), [3])

    def test_calls_from_changing_threads(self) -> None:
        for first in range(1, 20):
            thread = threading.Thread(target=self.write, args=(entries(first, 1),))
            thread.start()
            thread.join()
        self.assertEqual(self.indexes(), list(range(1, 20)))

    def test_random_writes_equal_a_plain_model(self) -> None:
        for seed in range(3):
            rng, model = random.Random(seed), Model()
            self.store.close()
            ReplicaStore.discard(self.folder)
            self.store = ReplicaStore.open(self.folder, self.disk_mb)
            self.store.create(IDENTITY, INITIAL_SNAPSHOT)
            for step in range(60):
                writes = draw_batch(model, rng)
                self.store.write(writes)
                model = model.after_all(writes)
                found = self.reopen() if step % 10 == 0 else self.store.load()
                self.assertEqual(found, model.persistent_state(), f"seed {seed}, step {step}")


class Opening(StoreCase):
    def test_lmdb_syncs_data_before_the_meta_page_and_writes_through_no_mapping(self) -> None:
        """The power loss trial depends on these flags for its order of calls."""
        flags = self.store._file.environment.flags()
        self.assertEqual((flags["sync"], flags["metasync"], flags["writemap"]), (True, False, False))
        self.assertFalse(flags["map_async"])

    def test_a_first_state_that_was_never_acknowledged_is_an_empty_disk(self) -> None:
        whole = os.path.join(self.folder, "replica.lmdb")
        for length in (0, 1, 4096, 8192, 12288):
            with open(whole, "rb") as file:
                data = file.read()[:length]
            other = f"{self.folder}-{length}"
            os.mkdir(other)
            with open(os.path.join(other, "replica.new"), "wb") as file:
                file.write(data)
            found = ReplicaStore.open(other, 128)
            self.assertIsNone(found.identity)
            found.create(5, INITIAL_SNAPSHOT)
            self.assertEqual(found.load(), PersistentState(HardState(), INITIAL_SNAPSHOT))
            found.close()

    def test_opening_an_intact_store_writes_nothing(self) -> None:
        self.write(entries(1, 3))
        self.store.close()
        with mock.patch("os.pwrite", side_effect=OSError(errno.ENOSPC, "full")):
            self.assertEqual(self.indexes(), [1, 2, 3])

    def test_a_smaller_disk_keeps_what_is_there(self) -> None:
        self.write(entries(1, 100, size=50_000))
        self.disk_mb = 1
        self.assertEqual(len(self.reopen().entries), 100)
        with self.assertRaises(StoreFullError):
            self.write(entries(101, 1))
        self.write(hard_state=HardState(3, 3))
        self.assertEqual(self.reopen().hard_state, HardState(3, 3))

    def test_a_newer_format_is_no_damage(self) -> None:
        self.store.close()
        with mock.patch.object(records, "FORMAT_VERSION", records.FORMAT_VERSION + 1):
            ReplicaStore.discard(self.folder)
            newer = ReplicaStore.open(self.folder, 128)
            newer.create(IDENTITY, INITIAL_SNAPSHOT)
            newer.close()
        with self.assertRaises(StoreVersionError):
            ReplicaStore.open(self.folder, 128)

    def test_discard_removes_the_store(self) -> None:
        self.store.close()
        ReplicaStore.discard(self.folder)
        ReplicaStore.discard(self.folder)
        self.assertIsNone(ReplicaStore.open(self.folder, 128).identity)
        ReplicaStore.discard(self.folder + "-absent")


class Failures(StoreCase):
    disk_mb = 8  # the map size is 4 MB, of which entries may use 2 MB

    def test_entries_leave_space_for_a_snapshot(self) -> None:
        next_index = 1
        with self.assertRaises(StoreFullError) as caught:
            while True:
                self.write(entries(next_index, 10, size=1000))
                next_index += 10
        self.assertEqual((caught.exception.code, caught.exception.step), ("STORE_FULL", "bound"))
        self.write(hard_state=HardState(4, 4))
        for index in (3, 9, 15, next_index - 1):  # about a sixth of the map size with lmdb's overhead
            self.write(taken=snapshot(index, size=600_000))
        self.write(entries(next_index, 10, size=1000))
        self.assertEqual(len(self.reopen().entries), 10)

    def test_entries_at_the_limit_can_be_replaced_by_another_leaders(self) -> None:
        """Entries of a failed leader cannot be committed, so no snapshot ever drops them.

        A member that waited for a snapshot to make space, while the new leader waits for its acknowledgement,
        would be stuck.
        """
        next_index = 1
        with self.assertRaises(StoreFullError):
            while True:
                self.write(entries(next_index, 10, size=3000))
                next_index += 10
        with self.assertRaises(StoreFullError):
            self.write(entries(next_index, 10, term=2, size=3000))
        with self.assertRaises(StoreFullError):
            self.write(entries(next_index - 5, 100, term=2, size=3000))
        self.write(entries(5, 50, term=2, size=3000))
        self.assertEqual(self.indexes(), list(range(1, 55)))

    def test_repeated_compaction_at_the_limit_fits_the_map(self) -> None:
        next_index = 1
        for _round in range(30):
            try:
                while True:
                    self.write(entries(next_index, 20, size=3000))
                    next_index += 20
            except StoreFullError:
                self.write(taken=snapshot(next_index - 5, size=MEGABYTE // 4))
        self.assertEqual(len(self.reopen().entries), 4)
        self.assertLessEqual(os.path.getsize(os.path.join(self.folder, "replica.lmdb")), 4 * MEGABYTE)

    def test_a_snapshot_beyond_the_map_is_rejected_without_effect(self) -> None:
        self.write(entries(1, 3))
        with self.assertRaises(StoreFullError):
            self.write(taken=snapshot(2, size=5 * MEGABYTE))
        self.assertEqual(self.indexes(), [1, 2, 3])

    def test_failed_calls_have_no_effect(self) -> None:
        self.write(entries(1, 3))
        for call in ("os.pwrite", "os.fdatasync"):
            for number, kind in ((errno.ENOSPC, StoreFullError), (errno.EIO, StoreFailedError)):
                with mock.patch(call, side_effect=OSError(number, os.strerror(number))):
                    for _attempt in range(2):
                        with self.assertRaises(kind) as caught:
                            self.write(entries(4, 1))
                self.assertEqual(caught.exception.errno, number)
                self.assertTrue(caught.exception.step)
                self.assertEqual([entry.index for entry in self.store.load().entries], [1, 2, 3])
        self.write(entries(4, 1))
        self.assertEqual(self.indexes(), [1, 2, 3, 4])

    def test_failed_write_of_lmdb(self) -> None:
        """A file size limit makes lmdb's own writes fail."""
        self.write(entries(1, 3))
        length = os.path.getsize(os.path.join(self.folder, "replica.lmdb"))
        limits = resource.getrlimit(resource.RLIMIT_FSIZE)
        handler = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        try:
            resource.setrlimit(resource.RLIMIT_FSIZE, (length, limits[1]))
            for _attempt in range(3):
                with self.assertRaises(StoreFailedError) as caught:
                    self.write(entries(4, 50, size=3000))
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)
            signal.signal(signal.SIGXFSZ, handler)
        self.assertEqual(caught.exception.step, "commit")
        self.assertEqual([entry.index for entry in self.store.load().entries], [1, 2, 3])
        self.write(entries(4, 50, size=3000))
        self.assertEqual(len(self.reopen().entries), 53)


if __name__ == "__main__":
    unittest.main()
