"""Opens a member's store: loads what it holds, or gives an empty one its identity and first state."""

from __future__ import annotations

import os
import random
from dataclasses import dataclass

from mallowbeam.consensus.interface import Restored
from mallowbeam.consensus.storage import ReplicaStore, StoreDamagedError
from mallowbeam.control_plane.first_start import first_state
from mallowbeam.errors import MallowbeamError
from mallowbeam.processes.logs import get_logger
from mallowbeam.processes.settings import NodeSettings

FOLDER = "replica"
LEAST_DISK_MB = 128            # taken where the settings name no bound

log = get_logger("mallowbeam.store")


class ControlSettingsError(MallowbeamError):
    """The settings lack what a member can't do without."""

    code = "CONTROL_SETTINGS"
    remedy = "give the role a data_dir and a control address in the settings file"


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """A store that has an identity, and what it held."""

    store: ReplicaStore
    identity: int
    restored: Restored


def open_store(settings: NodeSettings) -> OpenedStore:
    """Open the store; a damaged one is named in the log and treated as a disk that was wiped."""
    if settings.data_dir is None:
        raise ControlSettingsError("is missing", "data_dir")
    folder = os.path.join(settings.data_dir, FOLDER)
    disk_mb = int(settings.limits.disk_mb) or LEAST_DISK_MB
    try:
        return _load(ReplicaStore.open(folder, disk_mb), settings)
    except StoreDamagedError as error:
        log.error("the store is damaged, its member starts anew: %s", error.line)
    ReplicaStore.discard(folder)
    return _load(ReplicaStore.open(folder, disk_mb), settings, damaged=True)


def _load(store: ReplicaStore, settings: NodeSettings, damaged: bool = False) -> OpenedStore:
    if store.identity is None:
        _create(store, settings, damaged)
    identity = store.identity
    assert identity is not None
    return OpenedStore(store, identity, store.load())


def _create(store: ReplicaStore, settings: NodeSettings, damaged: bool) -> None:
    """Give an empty store its first state; a damaged one's old identity is never taken again."""
    control = settings.bind_addresses.control
    if control is None:
        raise ControlSettingsError("is missing", "bind_addresses.control")
    bootstrap = settings.bootstrap and not damaged
    first = first_state(control, settings.seeds, bootstrap, settings.port_range[0], random.SystemRandom())
    store.create(first.identity, first.snapshot)
    log.info("new identity %016x", first.identity)
