"""The replicated state machine: configurations, retirements and leases.

Every member applies the same commands in the same order and reaches the same state.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.updates import full_update, incremental_update
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.control_plane.state_format import decode_command, decode_state
from mallowbeam.router.registry.leases import Leases
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.rpc.messages_pb2 import (
    DONE,
    REFUSED,
    CommandResult,
    ConfigurationUpdate,
    ReplicatedState,
    RetireInstance,
)

RECENT_CONFIGURATIONS = 4  # kept as bases of incremental updates to the current one


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """The result of an applied command."""

    result: CommandResult
    index: int = 0  # log index at which it was applied
    token: int = 0  # a lease's fencing token


class ReplicatedStateMachine:
    """The state that results from applying the log."""

    def __init__(self, parser: ConfigurationParser, on_retired: Callable[[RetireInstance], None]) -> None:
        """`on_retired` is called for each new retirement, and for each one in a restored snapshot."""
        self.configurations = ConfigurationVersions(parser)
        self.retirements = Retirements()
        self.leases = Leases()
        self._on_retired = on_retired

    def apply(self, index: int, payload: bytes) -> CommandOutcome:
        """Apply one committed command; raises `UnsupportedFormatError` before it changes anything."""
        command = decode_command(index, payload)
        match command.WhichOneof("body"):
            case "put_configuration":
                return CommandOutcome(self.configurations.apply(command.put_configuration), index)
            case "retire_instance":
                return CommandOutcome(self._retire(command.retire_instance), index)
            case "acquire_lease":
                grant = self.leases.apply(command.acquire_lease)
                return CommandOutcome(grant.result, index, grant.token)
        return CommandOutcome(REFUSED, index)  # an empty command

    def _retire(self, retirement: RetireInstance) -> CommandResult:
        result = self.retirements.apply(retirement)
        if result == DONE:
            self._on_retired(retirement)
        return result

    def save(self) -> bytes:
        """The complete state, encoded for a snapshot."""
        state = ReplicatedState()
        self.configurations.save(state)
        self.retirements.save(state)
        self.leases.save(state)
        saved: bytes = state.SerializeToString()
        return saved

    def restore(self, saved: bytes) -> None:
        """Replace the state with a snapshot's; raises `UnsupportedFormatError` before it changes anything."""
        state = decode_state(saved)
        self.configurations.restore(state)
        self.retirements.restore(state)
        self.leases.restore(state)
        for retirement in state.retired:
            self._on_retired(retirement)


class ConfigurationFeed:
    """Computes updates to the current configuration; each is built once and shared by all subscribers."""

    def __init__(self, versions: ConfigurationVersions) -> None:
        self._versions = versions
        self._recent: dict[int, Configuration] = {}  # by revision, oldest first
        self._updates: dict[int, ConfigurationUpdate] = {}  # to the current configuration, by base revision
        self._updates_revision = 0

    @property
    def revision(self) -> int:
        """Revision of the current configuration; 0 if there is none."""
        return self._versions.revision

    def update_since(self, revision: int) -> ConfigurationUpdate | None:
        """The update from `revision`: a full one if its configuration is not kept; None if it is current."""
        current = self._versions.current()
        if current is None or revision >= current.revision:
            return None
        self._keep_as_base(current)
        update = self._updates.get(revision)
        if update is None:
            base = self._recent.get(revision)
            update = incremental_update(base, current) if base is not None else full_update(current)
            self._updates[revision] = update
        return update

    def _keep_as_base(self, current: Configuration) -> None:
        if self._updates_revision == current.revision:
            return
        self._updates_revision = current.revision
        self._updates.clear()
        self._recent[current.revision] = current
        while len(self._recent) > RECENT_CONFIGURATIONS:
            del self._recent[next(iter(self._recent))]
