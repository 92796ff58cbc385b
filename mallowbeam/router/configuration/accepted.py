"""The configurations accepted so far: one fixed-size record each, in ascending order of revision.

Revisions only increase, so a record is found by bisection and the oldest records are dropped from the front.
The revision of a dropped record is at most `_forgotten_revision`.
"""

from __future__ import annotations

import struct
from bisect import bisect_left

from mallowbeam.router.rpc.messages_pb2 import ReplicatedState

RECORD = struct.Struct(">Q16s")  # revision, digest
MAX_ACCEPTED = 65_536  # records: 28 hours at 56,000 changes a day; 1.5 MiB in memory and in a snapshot
MAX_ACCEPTED_IN_EARLIER_SNAPSHOTS = 4_096  # records that earlier versions kept, in `ReplicatedState.taken`


class AcceptedConfigurations:
    """Revisions and digests of the configurations that were accepted, bounded."""

    def __init__(self, max_records: int = MAX_ACCEPTED) -> None:
        """Keep at most `max_records` records."""
        self._max_records = max_records
        self._records = bytearray()
        self._forgotten_revision = 0

    def __len__(self) -> int:
        """The number of records."""
        return len(self._records) // RECORD.size

    @property
    def last_digest(self) -> bytes:
        """Digest of the newest configuration; empty if none has been accepted yet."""
        return self._record(len(self) - 1)[1] if self._records else b""

    def contains(self, revision: int, digest: bytes) -> bool:
        """Whether there is a record of this configuration."""
        index = bisect_left(range(len(self)), revision, key=lambda candidate: self._record(candidate)[0])
        return index < len(self) and self._record(index) == (revision, digest)

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a configuration of this revision may have been accepted but is no longer recorded."""
        return revision <= self._forgotten_revision

    def add(self, revision: int, digest: bytes) -> None:
        """Record a configuration; its revision must be above all recorded ones."""
        self._records += RECORD.pack(revision, digest)
        self._drop_surplus()

    def save(self, state: ReplicatedState) -> None:
        """Write the records to a snapshot."""
        state.taken_records = bytes(self._records)
        state.forgotten_revision = self._forgotten_revision

    def restore(self, state: ReplicatedState) -> None:
        """Replace the records by those of a snapshot, which an earlier version may have written."""
        self._forgotten_revision = state.forgotten_revision
        if len(state.taken) >= MAX_ACCEPTED_IN_EARLIER_SNAPSHOTS:
            self._forgotten_revision = state.taken[0].revision - 1
        self._records = bytearray().join(RECORD.pack(entry.revision, entry.digest) for entry in state.taken)
        self._records += state.taken_records
        self._drop_surplus()

    def _drop_surplus(self) -> None:
        surplus = len(self) - self._max_records
        if surplus > 0:
            self._forgotten_revision = self._record(surplus - 1)[0]
            del self._records[: surplus * RECORD.size]

    def _record(self, index: int) -> tuple[int, bytes]:
        revision, digest = RECORD.unpack_from(self._records, index * RECORD.size)
        return revision, digest
