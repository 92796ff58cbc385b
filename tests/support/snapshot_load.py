"""Loads a member's log, disk writer and real store with large incompressible configurations, in one process.

    python tests/support/snapshot_load.py COUNT BYTES [DISK_MB]        with PYTHONPATH=.

Prints a JSON object: peak memory of the process and largest size of the store, in MiB, the revision and
entries that a restart reads back, and the total seconds.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.consensus.interface import RaftSettings
from mallowbeam.router.consensus.node import RaftNode
from mallowbeam.router.consensus.storage import ReplicaStore
from mallowbeam.router.control_plane.member_builder import TRAILING_ENTRIES
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.state_machine import ReplicatedStateMachine
from mallowbeam.router.control_plane.storage_writer import StorageWriter
from mallowbeam.router.rpc.messages_pb2 import DONE, Command, Member, Membership, PutConfiguration, Snapshot

MEMBER_ID = 1
CALLERS = 8  # concurrent operators
MIB_BYTES = 1 << 20
INITIAL_MEMBERSHIP = Membership(members=[Member(id=MEMBER_ID, voter=True)], target_voters=1)
INITIAL_SNAPSHOT = Snapshot(index=1, term=1, membership=INITIAL_MEMBERSHIP)


class Listener:
    """A listener of the driver that ignores every event."""

    def entries_applied(self) -> None:
        pass

    def membership_changed(self, membership: Membership) -> None:
        pass

    def store_unusable(self, error: MallowbeamError) -> None:
        raise error

    def program_outdated(self, error: MallowbeamError) -> None:
        raise error


class Load:
    """A group of one member under concurrent changes, and the resources that it used."""

    def __init__(self, folder: str, disk_mb: int) -> None:
        self.folder, self.disk_mb = folder, disk_mb
        self.file = Path(folder) / "replica.lmdb"
        self.largest_file = 0
        self.refused = 0

    async def run(self, count: int, size: int) -> None:
        store = ReplicaStore.open(self.folder, self.disk_mb)
        store.create(MEMBER_ID, INITIAL_SNAPSHOT)
        self.machine = machine = ReplicatedStateMachine(ConfigurationParser(), lambda _: None)
        disk = StorageWriter(store, lambda writes: self.driver.writes_durable(writes))
        settings = RaftSettings(MEMBER_ID, trailing_entries=TRAILING_ENTRIES)
        node = RaftNode(settings, store.load(), time.monotonic(), Random(1))
        self.driver = RaftDriver(node, machine, disk.submit, lambda recipient, message: None, Listener())
        disk.start()
        self.driver.start()
        while not self.driver.is_leader:
            await asyncio.sleep(0.01)
        numbers = iter(range(count))
        await asyncio.gather(*(self._caller(numbers, size) for _ in range(CALLERS)))
        await disk.stop(30.0)
        store.close()

    async def _caller(self, numbers, size: int) -> None:
        """Propose one change after another, retrying each on the latest revision until it is accepted."""
        for _ in numbers:
            body = os.urandom(size)
            while not await self._change(body):
                pass

    async def _change(self, body: bytes) -> bool:
        """Propose a change; returns False if another was first, or a slow disk has ended the term."""
        based_on = self.machine.configurations.revision
        put = PutConfiguration(body=body, based_on=based_on, digest=os.urandom(16), revision=based_on + 1)
        try:
            outcome = await self.driver.propose(Command(put_configuration=put).SerializeToString())
        except ConsensusError:
            self.refused += 1
            await asyncio.sleep(0.02)
            return False
        self.largest_file = max(self.largest_file, self.file.stat().st_size)
        return outcome.result == DONE


def peak_kib() -> int:
    """Return this process's peak memory in KiB; `getrusage` would include that of its parent process."""
    status = Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1])


def main() -> None:
    count, size = int(sys.argv[1]), int(sys.argv[2])
    disk_mb = int(sys.argv[3]) if len(sys.argv) > 3 else 128
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        load = Load(folder, disk_mb)
        asyncio.run(load.run(count, size))
        store = ReplicaStore.open(folder, disk_mb)
        restored = store.load()
        machine = ReplicatedStateMachine(ConfigurationParser(), lambda _: None)
        machine.restore(restored.snapshot.state)
        for entry in restored.entries:
            machine.apply(entry.index, entry.payload)
        store.close()
    peak = peak_kib() / 1024
    print(
        json.dumps(
            {
                "taken": load.machine.configurations.revision,
                "refused": load.refused,
                "peak_mib": round(peak, 1),
                "file_mib": round(load.largest_file / MIB_BYTES, 1),
                "revision_read_back": machine.configurations.revision,
                "entries_read_back": len(restored.entries),
                "seconds": round(time.monotonic() - began, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
