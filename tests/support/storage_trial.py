"""Power loss trials: after every call on a simulated disk, random disk images are generated and opened.

For a longer run: ``python tests/support/storage_trial.py --images 20000 --seed 1``.
"""

from __future__ import annotations

import argparse
import collections
import errno
import os
import random
import shutil
import tempfile
from dataclasses import dataclass, field

from storage_disk import Disk, Inode, SystemCalls, draw_crash_image
from storage_model import IDENTITY, INITIAL_SNAPSHOT, Model, draw_batch

from mallowbeam.router.consensus.interface import Write
from mallowbeam.router.consensus.storage import ReplicaStore, StoreFailedError, StoreFullError
from mallowbeam.router.consensus.storage.store import STORE_FILE

DISK_MB = 16


class LostWriteError(AssertionError):
    """An image did not open with the acknowledged state."""


@dataclass
class Trial:
    """The trial of one seed, in a temporary folder.  Probabilities are from 0 to 1."""

    seed: int
    images_per_change: int = 3
    kill_probability: float = 0.3  # probability of a killed process at each call
    fault_probability: float = 0.15  # probability of a failed call in each batch
    second_loss_probability: float = 0.2  # probability of another power loss at each call while opening
    calls: SystemCalls = field(default_factory=SystemCalls)
    counts: collections.Counter[str] = field(default_factory=collections.Counter)
    allowed_states: list[Model | None] = field(default_factory=lambda: [None])  # valid states; None: no store

    def run(self, batches: int) -> collections.Counter[str]:
        """Create, write, reopen and discard a store; return the number of opened images by kind."""
        self.rng = random.Random(self.seed)
        self.folder = tempfile.mkdtemp(prefix="mallowbeam-store-")
        try:
            with self.calls.patched():
                self._run_store(batches)
        finally:
            shutil.rmtree(self.folder)
        return self.counts

    def _run_store(self, batches: int) -> None:
        self.disk = Disk(os.path.join(self.folder, "live"))
        self.disk.load({}, {})
        self.disk.on_change = lambda label: self._lose_power(self.disk, label, 0)
        self.calls.disks.append(self.disk)
        store = ReplicaStore.open(self.disk.root, DISK_MB)
        model = Model()
        self.allowed_states = [None, model]
        store.create(IDENTITY, INITIAL_SNAPSHOT)
        self.allowed_states = [model]
        for _ in range(batches):
            writes = draw_batch(model, self.rng)
            self.allowed_states = [model, model.after_all(writes)]
            if self.rng.random() < self.fault_probability:
                self._write_with_fault(store, model, writes)
            store.write(writes)
            model = model.after_all(writes)
            self.allowed_states = [model]
            self._lose_power(self.disk, "acknowledged", 0)
            if self.rng.random() < 0.1:
                store.close()
                store = ReplicaStore.open(self.disk.root, DISK_MB)
        store.close()
        self.allowed_states = [model, None]
        ReplicaStore.discard(self.disk.root)
        self.allowed_states = [None]
        self._lose_power(self.disk, "discarded", 0)

    def _write_with_fault(self, store: ReplicaStore, model: Model, writes: list[Write]) -> None:
        """Let one call of a batch fail: the batch must not be stored, and the caller retries it."""
        call = self.rng.choice(("commit", "pwrite", "sync"))
        code = self.rng.choice((errno.ENOSPC, errno.EIO))
        self.disk.faults[call] = OSError(code, os.strerror(code))
        kind = StoreFullError if code == errno.ENOSPC else StoreFailedError
        try:
            store.write(writes)
        except kind:
            self.counts[f"refused: {call}"] += 1
        else:
            raise LostWriteError(f"seed {self.seed}: a failed {call} was not reported")
        self._lose_power(self.disk, "refused", 0)
        if self.rng.random() < 0.5:
            if store.load() != model.persistent_state():
                raise LostWriteError(f"seed {self.seed}: a failed batch was loaded")
            self.allowed_states = [model]
            self._lose_power(self.disk, "rolled back", 0)
            self.allowed_states = [model, model.after_all(writes)]

    # ------------------------------------------------------------ power losses

    def _lose_power(self, disk: Disk, label: str, depth: int) -> None:
        """Reopen images of a power loss and, at random, of a killed process with a later power loss."""
        if depth > 0 and self.rng.random() > self.second_loss_probability:
            return
        for _ in range(self.images_per_change if depth == 0 else 1):
            image = {name: Inode(data) for name, data in draw_crash_image(disk, self.rng).items()}
            self._reopen(image, image, f"power lost, {label}", depth)
        failed_sync = any(file.abandoned for file in disk.names.values())
        if depth == 0 and not failed_sync and self.rng.random() < self.kill_probability:
            self._reopen(disk.names, disk.durable, f"killed, {label}", depth)

    def _reopen(self, names: dict[str, Inode], durable: dict[str, Inode], label: str, depth: int) -> None:
        """Open an image with further power losses during and after; a state that was read must persist."""
        self.counts[f"{label} (depth {depth})"] += 1
        self.counts["images"] += 1
        outer = self.allowed_states
        disk = Disk(tempfile.mkdtemp(prefix="image-", dir=self.folder))
        disk.load(names, durable)
        if depth < 2:
            disk.on_change = lambda inner: self._lose_power(disk, f"reopened: {inner}", depth + 1)
        self.calls.disks.append(disk)
        try:
            found = self._open_and_check(disk, label)
            self.allowed_states = [found]
            disk.report_change("opened", STORE_FILE)
            if depth == 0 and found is not None and self.rng.random() < 0.3:
                self._check_writable(disk, found, label)
        finally:
            self.allowed_states = outer
            self.calls.disks.remove(disk)
            shutil.rmtree(disk.root)

    def _open_and_check(self, disk: Disk, label: str) -> Model | None:
        """Return the contents of the image; raises LostWriteError unless they are allowed."""
        store = ReplicaStore.open(disk.root, DISK_MB)
        try:
            if store.identity is None:
                found = None
            else:
                restored = store.load()
                found = Model(restored.hard_state, restored.snapshot, restored.entries)
        finally:
            store.close()
        if found not in self.allowed_states or store.identity not in (None, IDENTITY):
            raise LostWriteError(f"seed {self.seed}, {label}: not the acknowledged state")
        return found

    def _check_writable(self, disk: Disk, model: Model, label: str) -> None:
        """Write two more batches and read them back, so that the store is known to be writable too."""
        on_change, disk.on_change = disk.on_change, lambda inner: None
        store = ReplicaStore.open(disk.root, DISK_MB)
        for _ in range(2):
            writes = draw_batch(model, self.rng)
            store.write(writes)
            model = model.after_all(writes)
        store.close()
        self.allowed_states = [model]
        self._open_and_check(disk, f"{label}, written on")
        disk.on_change = on_change
        self.counts["written on"] += 1


def main() -> None:
    """Run trials until the requested number of images has been opened."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--images", type=int, default=5000)
    parser.add_argument("--batches", type=int, default=30)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    counts: collections.Counter[str] = collections.Counter()
    seed = options.seed
    while counts["images"] < options.images:
        counts += Trial(seed).run(options.batches)
        seed += 1
    for label, count in sorted(counts.items()):
        print(f"{count:8} {label}")
    print(f"seeds {options.seed} to {seed - 1}: every image opened with the acknowledged state")


if __name__ == "__main__":
    main()
