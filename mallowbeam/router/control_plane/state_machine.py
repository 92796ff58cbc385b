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

RECENT_CONFIGURATIONS = 4  # from which a difference to the current one can be computed


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """The result of an applied command."""

    result: CommandResult
    index: int = 0  # log index at which it was applied
    token: int = 0  # a lease's fencing token


class ReplicatedStateMachine:
    """The state that results from the log."""

    def __init__(self, parser: ConfigurationParser, retired: Callable[[RetireInstance], None]) -> None:
        """`retired` is called for each new retirement; after a snapshot, for each that it contains."""
        self.configurations = ConfigurationVersions(parser)
        self.retirements = Retirements()
        self.leases = Leases()
        self._retired = retired

    def apply(self, index: int, payload: bytes) -> CommandOutcome:
        """Apply one committed command; raises `UnsupportedFormatError` before anything of it is applied."""
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
            self._retired(retirement)
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
        """Replace the state by that of a snapshot; raises `UnsupportedFormatError` and changes nothing."""
        state = decode_state(saved)
        self.configurations.restore(state)
        self.retirements.restore(state)
        self.leases.restore(state)
        for retirement in state.retired:
            self._retired(retirement)


class ConfigurationFeed:
    """Tells subscribers what leads to the current configuration; each update is made once for all of them."""

    def __init__(self, versions: ConfigurationVersions) -> None:
        self._versions = versions
        self._recent: dict[int, Configuration] = {}  # by revision, oldest first
        self._updates: dict[int, ConfigurationUpdate] = {}  # to the current one, by the base revision
        self._updates_to = 0

    @property
    def revision(self) -> int:
        """Revision of the current configuration; 0: none."""
        return self._versions.revision

    def update_since(self, revision: int) -> ConfigurationUpdate | None:
        """The update from `revision`: in full if that is not known, None if it is the current one."""
        current = self._versions.current()
        if current is None or revision >= current.revision:
            return None
        self._remember(current)
        update = self._updates.get(revision)
        if update is None:
            base = self._recent.get(revision)
            update = incremental_update(base, current) if base is not None else full_update(current)
            self._updates[revision] = update
        return update

    def _remember(self, current: Configuration) -> None:
        if self._updates_to == current.revision:
            return
        self._updates_to = current.revision
        self._updates.clear()
        self._recent[current.revision] = current
        while len(self._recent) > RECENT_CONFIGURATIONS:
            del self._recent[next(iter(self._recent))]
