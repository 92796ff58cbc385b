"""Power loss at every call of the replica store; the trial itself must detect missing protections."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import unittest
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from project_paths import ROOT, SUPPORT
from storage_trial import LostWriteError, Trial

from mallowbeam.router.consensus.storage import ReplicaStore, StoreError, seal, store
from mallowbeam.router.consensus.storage.store_file import StoreFile

SEEDS = range(100, 102)
BATCHES = 5
ATTEMPTS = 40  # seeds within which a missing protection must be detected


class PowerLoss(unittest.TestCase):
    def test_every_image_opens_with_what_was_acknowledged(self) -> None:
        counts: Counter[str] = Counter()
        for seed in SEEDS:
            counts += Trial(seed, images_per_change=2, fault_probability=0.4).run(BATCHES)
        self.assertGreater(counts["images"], 200)
        for call in (
            "lmdb.open replica.new",
            "rename replica.new",
            "put and delete replica.lmdb",
            "commit: page replica.lmdb",
            "commit: meta page replica.lmdb",
            "pwrite replica.lmdb",
            "sync replica.lmdb",
            "unlink replica.lmdb",
            "acknowledged",
            "refused",
        ):
            self.assertGreater(counts[f"power lost, {call} (depth 0)"], 0, call)
        self.assertGreater(counts["power lost, reopened: pwrite replica.lmdb (depth 1)"], 0)
        self.assertGreater(counts["written on"], 20)


class MissingProtections(unittest.TestCase):
    """Each variant omits one protection, so some image must lose acknowledged state."""

    def assert_detected(
        self,
        broken: Callable[[Trial], contextlib.AbstractContextManager[Any]],
        first_seed: int = 200,
        batches: int = BATCHES,
        **probabilities: float,
    ) -> None:
        for seed in range(first_seed, first_seed + ATTEMPTS):
            trial = Trial(seed, **probabilities)
            try:
                with broken(trial):
                    trial.run(batches)
            except (LostWriteError, StoreError):
                return
        self.fail("the trial did not detect the missing protection")

    def test_no_seal_check(self) -> None:
        unchecked = seal._read_page

        def trusting(descriptor: int, slot: int) -> seal.MetaPage:
            page = unchecked(descriptor, slot)
            return seal.MetaPage(slot, page.transaction, True, 0, page.content)

        self.assert_detected(lambda trial: mock.patch.object(seal, "_read_page", trusting), first_seed=210)

    def test_no_sync_while_opening(self) -> None:
        self.assert_detected(
            lambda trial: syncs_ignored_in(trial, StoreFile, "_restore_meta_pages"),
            first_seed=212,
            batches=2,
            kill_probability=1.0,
            second_loss_probability=1.0,
        )

    def test_no_sync_of_the_meta_page(self) -> None:
        self.assert_detected(lambda trial: syncs_ignored_in(trial, StoreFile, "seal_and_sync"))

    def test_no_sync_of_the_first_state(self) -> None:
        self.assert_detected(lambda trial: syncs_ignored_in(trial, store, "write_initial_state"))

    def test_no_sync_of_the_folder_after_the_first_state(self) -> None:
        self.assert_detected(lambda trial: mock.patch.object(store, "sync_folder", lambda folder: None))

    def test_no_sync_of_the_folder_while_opening(self) -> None:
        original = ReplicaStore.open

        def unsynced(folder: str, disk_mb: int) -> ReplicaStore:
            with mock.patch.object(store, "sync_folder", lambda folder: None):
                return original(folder, disk_mb)

        self.assert_detected(
            lambda trial: mock.patch.object(ReplicaStore, "open", unsynced), batches=0, kill_probability=1.0
        )

    def test_no_roll_back_after_a_failure(self) -> None:
        newest = seal.newest_sealed

        def forgetful(pages: list[seal.MetaPage], at_most: int) -> seal.MetaPage | None:
            return newest(pages)

        self.assert_detected(
            lambda trial: mock.patch.object(seal, "newest_sealed", forgetful), fault_probability=1.0
        )

    def test_no_replacement_of_a_torn_meta_page(self) -> None:
        """Runs in a subprocess because lmdb may crash the process."""
        script = (
            "from unittest import mock\n"
            "from storage_trial import Trial\n"
            "from mallowbeam.router.consensus.storage import seal\n"
            "with mock.patch.object(seal, 'replace_page', lambda *_: None):\n"
            f"    for seed in range(200, 230): Trial(seed, fault_probability=1.0).run({BATCHES})\n"
        )
        path = {"PYTHONPATH": f"{SUPPORT}:{ROOT}", "PYTHONDONTWRITEBYTECODE": "1"}
        process = subprocess.run([sys.executable, "-c", script], env=path, capture_output=True, check=False)
        self.assertNotEqual(process.returncode, 0)
        reported = b"LostWriteError" in process.stderr or b"Store" in process.stderr
        self.assertTrue(process.returncode < 0 or reported, process.stderr)


@contextlib.contextmanager
def syncs_ignored_in(trial: Trial, owner: object, name: str) -> Iterator[None]:
    """Ignore syncs while the method `name` of `owner` runs."""
    method = getattr(owner, name)

    def without_syncs(*arguments: Any) -> Any:
        trial.calls.ignore_syncs = True
        try:
            return method(*arguments)
        finally:
            trial.calls.ignore_syncs = False

    with mock.patch.object(owner, name, without_syncs):
        yield


if __name__ == "__main__":
    unittest.main()
