"""Which configurations were taken: one fixed-size record each, in the order of their revisions.

Revisions only rise, so records are found by bisection and the oldest ones are dropped from the front. What
was dropped is not known one by one, but its revisions are: none is above `forgotten_revision`.
"""

from __future__ import annotations

import struct
from bisect import bisect_left

from mallowbeam.router.rpc.messages_pb2 import ReplicatedState

RECORD = struct.Struct(">Q16s")  # revision, digest
MOST_TAKEN = 65_536  # remembered: 28 hours at 56,000 changes a day, 1.5 MiB of memory and of a snapshot
MOST_TAKEN_BEFORE = 4_096  # that earlier programs remembered, in `ReplicatedState.taken`


class TakenConfigurations:
    """Revisions and digests of the configurations that were taken, bounded."""

    def __init__(self, most: int = MOST_TAKEN) -> None:
        self._most = most
        self._records = bytearray()
        self._forgotten_revision = 0

    def __len__(self) -> int:
        """How many are remembered."""
        return len(self._records) // RECORD.size

    @property
    def last_digest(self) -> bytes:
        """Digest of the newest one; empty if none was taken yet."""
        return self._record(len(self) - 1)[1] if self._records else b""

    def holds(self, revision: int, digest: bytes) -> bool:
        """Whether this configuration was taken and is remembered."""
        position = bisect_left(range(len(self)), revision, key=lambda place: self._record(place)[0])
        return position < len(self) and self._record(position) == (revision, digest)

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a configuration of this revision that is not remembered may still have been taken."""
        return revision <= self._forgotten_revision

    def add(self, revision: int, digest: bytes) -> None:
        """Remember a configuration; its revision is above all others."""
        self._records += RECORD.pack(revision, digest)
        self._drop_surplus()

    def save(self, state: ReplicatedState) -> None:
        """Fill this part's fields of a snapshot."""
        state.taken_records = bytes(self._records)
        state.forgotten_revision = self._forgotten_revision

    def restore(self, state: ReplicatedState) -> None:
        """Take over this part of a snapshot, also of one that an earlier program wrote."""
        self._forgotten_revision = state.forgotten_revision
        if len(state.taken) >= MOST_TAKEN_BEFORE:
            self._forgotten_revision = state.taken[0].revision - 1
        self._records = bytearray().join(RECORD.pack(taken.revision, taken.digest) for taken in state.taken)
        self._records += state.taken_records
        self._drop_surplus()

    def _drop_surplus(self) -> None:
        surplus = len(self) - self._most
        if surplus > 0:
            self._forgotten_revision = self._record(surplus - 1)[0]
            del self._records[: surplus * RECORD.size]

    def _record(self, position: int) -> tuple[int, bytes]:
        revision, digest = RECORD.unpack_from(self._records, position * RECORD.size)
        return revision, digest
