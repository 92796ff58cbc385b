"""Opens a member's store: recovers its state, or writes the identity and initial state of an empty one."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.consensus.interface import PersistentState, Write
from mallowbeam.router.consensus.storage import ReplicaStore, StoreDamagedError
from mallowbeam.router.consensus.storage.files import make_folder, raised_as_store_error, sync_folder
from mallowbeam.router.control_plane.bootstrap import initial_state
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.processes.settings import NodeSettings

STORE_FOLDER = "replica"
DISCARDED_MARKER = "discarded"  # marker file: the identity derived at a first start is never used here again
DEFAULT_DISK_MB = 128  # if the settings state no limit

log = get_logger("mallowbeam.store")


class ControlSettingsError(MallowbeamError):
    """The settings lack a value that a member requires."""

    code = "CONTROL_SETTINGS"
    remedy = "give the role a data_dir and a control address in the settings file"


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """An opened store with its identity and the state that it contained."""

    store: ReplicaStore
    identity: int
    restored: PersistentState


class DamageReportingStore:
    """A store that reports damage to a callback besides raising it, as no later write can repair it."""

    def __init__(self, store: ReplicaStore, on_damaged: Callable[[StoreDamagedError], object]) -> None:
        """`on_damaged` is called in the writing thread."""
        self._store = store
        self._on_damaged = on_damaged

    def write(self, writes: Sequence[Write]) -> None:
        """Make all writes durable together, as the store does."""
        try:
            self._store.write(writes)
        except StoreDamagedError as error:
            self._on_damaged(error)
            raise


def open_store(settings: NodeSettings) -> OpenedStore:
    """Open the store; a damaged one is discarded and replaced by an empty one.

    Raises:
        StoreFailedError: the disk fails.
        StoreFullError: the disk is full.
        ControlSettingsError: a required setting is missing.
    """
    folder = _folder(settings)
    try:
        return _load(ReplicaStore.open(folder, _disk_mb(settings)), settings)
    except StoreDamagedError as error:
        log.error("the store is damaged; starting with an empty store and a new identity: %s", error.line)
    return discard_and_reopen(settings)


def discard_and_reopen(settings: NodeSettings) -> OpenedStore:
    """Discard the store and open an empty one under a new random identity."""
    folder = _folder(settings)
    _write_discarded_marker(folder)
    ReplicaStore.discard(folder)
    return _load(ReplicaStore.open(folder, _disk_mb(settings)), settings)


def _folder(settings: NodeSettings) -> str:
    if settings.data_dir is None:
        raise ControlSettingsError("is missing", "data_dir")
    return os.path.join(settings.data_dir, STORE_FOLDER)


def _disk_mb(settings: NodeSettings) -> int:
    return int(settings.limits.disk_mb) or DEFAULT_DISK_MB


def _write_discarded_marker(folder: str) -> None:
    """Make the marker durable before the store is removed, as this process may end in between."""
    with raised_as_store_error("discard", folder):
        make_folder(folder)
        with open(os.path.join(folder, DISCARDED_MARKER), "wb") as file:
            os.fsync(file.fileno())
        sync_folder(folder)


def _load(store: ReplicaStore, settings: NodeSettings) -> OpenedStore:
    if store.identity is None:
        _create(store, settings)
    identity = store.identity
    assert identity is not None
    return OpenedStore(store, identity, store.load())


def _create(store: ReplicaStore, settings: NodeSettings) -> None:
    """Write the initial state of an empty store; after a discarded store, the identity is random."""
    control = settings.bind_addresses.control
    if control is None:
        raise ControlSettingsError("is missing", "bind_addresses.control")
    bootstrap = settings.bootstrap and not os.path.exists(os.path.join(_folder(settings), DISCARDED_MARKER))
    initial = initial_state(control, settings.seeds, bootstrap, settings.port_range[0], random.SystemRandom())
    store.create(initial.identity, initial.snapshot)
    log.info("new identity %016x", initial.identity)
