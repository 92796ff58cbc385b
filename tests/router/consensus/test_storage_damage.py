"""Damage of bits, pages and lengths that no power loss causes is detected and never crashes the process."""

from __future__ import annotations

import os
import random
import tempfile
import unittest

from storage_model import IDENTITY, INITIAL_SNAPSHOT, Model, draw_batch, draw_entries

from mallowbeam.router.consensus.interface import HardState, PersistentState, Write
from mallowbeam.router.consensus.storage import ReplicaStore, StoreDamagedError, pages, records, restore, seal
from mallowbeam.router.consensus.storage.records import RecordKind
from mallowbeam.router.rpc.messages_pb2 import Entry

DISK_MB = 16


class Damage(unittest.TestCase):
    """Damaged copies of one intact store."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        rng, model = random.Random(7), Model()
        store = ReplicaStore.open(os.path.join(self.folder, "whole"), DISK_MB)
        store.create(IDENTITY, INITIAL_SNAPSHOT)
        for _ in range(40):
            writes = draw_batch(model, rng)
            store.write(writes)
            model = model.after_all(writes)
        for _ in range(10):  # enough entries for the tree to have branch pages
            writes = [Write(1, None, draw_entries(model.last_index + 1, 30, 99, rng))]
            store.write(writes)
            model = model.after_all(writes)
        store.close()
        self.expected = model.persistent_state()
        with open(os.path.join(self.folder, "whole", "replica.lmdb"), "rb") as file:
            self.intact = file.read()
        os.mkdir(os.path.join(self.folder, "copy"))

    def load(self, data: bytes) -> PersistentState:
        """Return the contents of a store with these bytes; check that it can be written and read again."""
        folder = os.path.join(self.folder, "copy")
        with open(os.path.join(folder, "replica.lmdb"), "wb") as file:
            file.write(data)
        store = ReplicaStore.open(folder, DISK_MB)
        try:
            found = store.load()
            store.write([Write(1, HardState(99, 9))])
            assert store.load().entries == found.entries
        finally:
            store.close()
        return found

    def test_intact_store_loads(self) -> None:
        self.assertEqual(self.load(self.intact), self.expected)

    def test_any_damage_is_detected_or_without_effect(self) -> None:
        rng = random.Random(8)
        detected = 0
        start = newer_meta_slot(self.intact) * seal.PAGE_BYTES
        numbers = pages.check_pages(self.intact, self.intact[start : start + seal.META_BYTES])
        in_use, free = numbers.in_use, numbers.free
        for _ in range(200):
            data = damaged(self.intact, rng, sorted(in_use if rng.random() < 0.8 else free))
            try:
                found = self.load(data)
            except StoreDamagedError as error:
                self.assertEqual(error.code, "STORE_DAMAGED")
                self.assertTrue(error.where)
                detected += 1
            else:
                self.assertTrue(found == self.expected or looks_torn(self.intact, data))
        self.assertGreater(detected, 100)

    def test_a_truncated_file_is_detected(self) -> None:
        for length in (0, 10, 4096, 8191, 8192, len(self.intact) - 1, len(self.intact) - 4096):
            with self.assertRaises(StoreDamagedError):
                self.load(self.intact[:length])

    def test_a_complete_older_state_is_not_damage(self) -> None:
        """Damaged roots in the newer meta page look like a torn write, so the older state is restored."""
        data = bytearray(self.intact)
        data[newer_meta_slot(self.intact) * seal.PAGE_BYTES + 100] ^= 1
        self.assertTrue(looks_torn(self.intact, bytes(data)))
        self.assertNotEqual(self.load(bytes(data)), self.expected)

    def test_damage_in_the_rest_of_a_meta_page_is_detected(self) -> None:
        for slot in seal.META_SLOTS:
            for offset in (0, 7, 10, 16, 20, 31):
                data = bytearray(self.intact)
                data[slot * seal.PAGE_BYTES + offset] ^= 1
                with self.assertRaises(StoreDamagedError):
                    self.load(bytes(data))

    def test_the_page_check_reads_every_page_in_use(self) -> None:
        """Pages in use and free pages are all pages of the file, so the check skips none in use."""
        start = newer_meta_slot(self.intact) * seal.PAGE_BYTES
        found = pages.check_pages(self.intact, self.intact[start : start + seal.META_BYTES])
        all_pages = found.in_use | found.free
        self.assertEqual(all_pages, set(range(max(all_pages) + 1)))


class Records(unittest.TestCase):
    def items(self, *entries: tuple[int, int, bytes]) -> list[tuple[bytes, bytes]]:
        return [item for record in entries for item in records.encode_record(*record)]

    def test_records_of_all_lengths_round_trip(self) -> None:
        chunk = records.CHUNK_BYTES
        for length in (0, 1, chunk - 9, chunk - 8, chunk - 7, 2 * chunk - 8, 2 * chunk - 7, 100_000):
            record = (RecordKind.ENTRY, 1 << 40, bytes(length))
            self.assertEqual(list(records.decode_records(self.items(record))), [record])

    def test_missing_chunk_moved_record_and_unknown_kind_are_detected(self) -> None:
        items = self.items((RecordKind.ENTRY, 1, bytes(9000)))
        moved = [
            (key, value)
            for (key, _), (_, value) in zip(
                self.items((RecordKind.ENTRY, 2, b"x")), self.items((RecordKind.ENTRY, 1, b"x")), strict=True
            )
        ]
        wrong = [
            items[1:],
            items[:-1],
            [items[0], items[2]],
            moved,
            self.items((9, 1, b"")),
            [(b"key", b"")],
            [(items[0][0], b"1234567")],
        ]
        for found in wrong:
            with self.assertRaises(StoreDamagedError):
                list(records.decode_records(found))

    def test_incomplete_state_is_detected(self) -> None:
        hard_state = (RecordKind.HARD_STATE, 0, records.HARD_STATE_PAYLOAD.pack(1, 2))
        taken = (RecordKind.SNAPSHOT, 0, INITIAL_SNAPSHOT.SerializeToString())
        second = (RecordKind.SNAPSHOT, 4, b"\x08\x04")
        entry = (RecordKind.ENTRY, 2, Entry(index=2).SerializeToString())
        misplaced = (RecordKind.ENTRY, 1, Entry(index=2).SerializeToString())
        short = (RecordKind.HARD_STATE, 0, b"1")
        for wrong in (
            (hard_state,),
            (taken,),
            (hard_state, taken, second),
            (hard_state, taken, entry),
            (hard_state, taken, misplaced),
            (short, taken),
        ):
            with self.assertRaises(StoreDamagedError):
                restore.restore_items(self.items(*wrong))


def newer_meta_slot(intact: bytes) -> int:
    """Return the number of the meta page that the last transaction wrote."""
    starts = [slot * seal.PAGE_BYTES + seal.TRANSACTION_OFFSET for slot in seal.META_SLOTS]
    return int(intact[starts[0] : starts[0] + 8][::-1] < intact[starts[1] : starts[1] + 8][::-1])


def looks_torn(intact: bytes, data: bytes) -> bool:
    """Return whether the bytes differ only in the roots and the seal of the newer meta page."""
    start = newer_meta_slot(intact) * seal.PAGE_BYTES
    written = {
        *range(start + seal.ROOTS_OFFSET, start + seal.META_BYTES),
        *range(start + seal.SEAL_OFFSET, start + seal.SEAL_OFFSET + seal.SEAL.size),
    }
    return all(at in written for at in range(len(intact)) if intact[at] != data[at])


def damaged(intact: bytes, rng: random.Random, numbers: list[int]) -> bytes:
    """Apply a random kind of damage to one of the given pages."""
    data = bytearray(intact)
    page = rng.choice(numbers) * seal.PAGE_BYTES
    kind = rng.randrange(5)
    if kind == 0:
        data[page + rng.randrange(seal.PAGE_BYTES)] ^= 1 << rng.randrange(8)
    elif kind == 1:  # page header and first node offsets
        data[page + rng.randrange(64)] ^= 1 << rng.randrange(8)
    elif kind == 2:
        data[page : page + seal.PAGE_BYTES] = bytes(seal.PAGE_BYTES)
    elif kind == 3:
        data[page : page + seal.PAGE_BYTES] = rng.randbytes(seal.PAGE_BYTES)
    else:  # bytes of another page
        other = rng.randrange(len(data) // seal.PAGE_BYTES) * seal.PAGE_BYTES
        data[page : page + seal.PAGE_BYTES] = intact[other : other + seal.PAGE_BYTES]
    return bytes(data)


if __name__ == "__main__":
    unittest.main()
