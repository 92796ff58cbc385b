"""Durable storage of one Raft member on lmdb; the format is described in ``docs/formats/replica-store.md``.

Owns the file ``replica.lmdb`` with the member's identity, hard state, log entries and snapshot.
Called by `control_plane.store_recovery` at start and by `control_plane.storage_writer` for each batch.
"""

from mallowbeam.router.consensus.storage.errors import (
    StoreDamagedError,
    StoreError,
    StoreFailedError,
    StoreFullError,
    StoreOrderError,
    StoreVersionError,
)
from mallowbeam.router.consensus.storage.store import ReplicaStore

__all__ = [
    "ReplicaStore",
    "StoreDamagedError",
    "StoreError",
    "StoreFailedError",
    "StoreFullError",
    "StoreOrderError",
    "StoreVersionError",
]
