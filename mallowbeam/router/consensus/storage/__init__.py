"""The durable home of one Raft member on lmdb: identity, hard state, log entries, snapshot.

The format is described in ``docs/formats/replica-store.md``.
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
