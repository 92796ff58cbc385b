"""Faulty variants of `ConfigurationVersions`, each of which the scenarios and the model must detect."""

from __future__ import annotations

import json
import zlib

from mallowbeam.router.configuration.accepted import AcceptedConfigurations
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.rejections import CommandIdentity, RejectedCommands
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    CommandResult,
    PutConfiguration,
    ReplicatedState,
)


def rebased(command: PutConfiguration, based_on: int) -> PutConfiguration:
    """The same command, based on another revision."""
    duplicate = PutConfiguration()
    duplicate.CopyFrom(command)
    duplicate.based_on = based_on
    return duplicate


class ForgetsDigests(ConfigurationVersions):
    """Forgets every configuration that was accepted."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self._accepted = AcceptedConfigurations()
        return super().apply(command)


class ForgetsOnRestart(ConfigurationVersions):
    """Loses the digests on restoring a snapshot."""

    def restore(self, state: ReplicatedState) -> None:
        super().restore(state)
        self._accepted = AcceptedConfigurations()


class AcceptsAnyBase(ConfigurationVersions):
    """Accepts a change whatever revision it builds on."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        return super().apply(rebased(command, self.revision))


class AcceptsAnyRevision(ConfigurationVersions):
    """Accepts a revision that is not above the current one."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self._revision, revision = min(self._revision, command.revision - 1), self._revision
        based_on = self._revision if command.based_on == revision else command.based_on
        result = super().apply(rebased(command, based_on))
        if result != DONE:
            self._revision = revision
        return result


class RecordsWithoutBound(ConfigurationVersions):
    """Records digests without a bound."""

    def __init__(self, parser: ConfigurationParser | None = None, **bounds: int) -> None:
        super().__init__(parser)


class KeepsPreviousDocument(ConfigurationVersions):
    """Keeps the previous parsed document after a change."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self.current()
        before = self._document
        result = super().apply(command)
        self._document = before
        return result


class ForgetsOutcomesOfPatches(ConfigurationVersions):
    """Does not recognize a complete document that equals the outcome of a patch."""

    def _is_current(self, command: PutConfiguration) -> bool:
        return False


class PatchesWithoutRemoval(ConfigurationVersions):
    """Ignores the entries that a patch removes."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        if not command.patch:
            return super().apply(command)
        document = json.loads(zlib.decompress(command.body))
        del document["remove"]
        duplicate = rebased(command, command.based_on)
        duplicate.body = zlib.compress(json.dumps(document).encode())
        return super().apply(duplicate)


class SavesWithoutPatches(ConfigurationVersions):
    """Saves the last complete document without the patches since then."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        result = super().apply(command)
        if result == DONE and not command.patch:
            self.saved = self.current_body()
        return result

    def save(self, state: ReplicatedState) -> None:
        super().save(state)
        state.body = zlib.compress(self.saved)


class RejectsForgottenCommands(ConfigurationVersions):
    """Rejects commands that it may have accepted long ago, and forgotten."""

    def _decide(self, command: PutConfiguration) -> CommandResult:
        self._accepted._forgotten_revision = 0
        return super()._decide(command)


class ForgetsRejections(ConfigurationVersions):
    """Accepts a late duplicate of a command that it has rejected."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self._rejected = RejectedCommands()
        return super().apply(command)


class ForgetsRejectionsOnRestart(ConfigurationVersions):
    """Loses the rejected commands on restoring a snapshot."""

    def restore(self, state: ReplicatedState) -> None:
        super().restore(state)
        self._rejected = RejectedCommands()


class DropsTheOldestRejection(ConfigurationVersions):
    """Evicts a rejected command that could still succeed."""

    def _decide(self, command: PutConfiguration) -> CommandResult:
        rejected = self._rejected
        if len(rejected) >= rejected._max_commands:
            del rejected._results[next(iter(rejected._results))]
        return super()._decide(command)


class DropsRejectionsOfCurrentBase(ConfigurationVersions):
    """Forgets rejected commands when the revision that they build on becomes current."""

    def _accept(self, command: PutConfiguration) -> None:
        super()._accept(command)
        self._rejected.drop_below(command.revision + 1)


class IdentifiesByRevisionAlone(ConfigurationVersions):
    """Treats another document of an accepted revision as the accepted one."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        if 0 < command.revision <= self.revision:
            return ALREADY_DONE
        return super().apply(command)


class IdentifiesByBaseAlone(ConfigurationVersions):
    """Treats every change of a revision as the one that was accepted."""

    def __init__(self, parser: ConfigurationParser | None = None, **bounds: int) -> None:
        super().__init__(parser, **bounds)
        self._bases: set[int] = set()

    def apply(self, command: PutConfiguration) -> CommandResult:
        if command.based_on in self._bases:
            return ALREADY_DONE
        result = super().apply(command)
        if result == DONE:
            self._bases.add(command.based_on)
        return result


class RemembersRejectionsWithoutBase(ConfigurationVersions):
    """Rejects a document on the current revision because it was rejected on another one."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        for identity in self._rejected._results:
            if identity.digest == command.digest:
                return self._rejected._results[CommandIdentity(*identity)]
        return super().apply(command)
