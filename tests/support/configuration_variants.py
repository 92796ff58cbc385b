"""State machines of configurations that are broken on purpose: scenarios and the model must find each."""

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


def changed(command: PutConfiguration, based_on: int) -> PutConfiguration:
    """The same command on another revision."""
    copy = PutConfiguration()
    copy.CopyFrom(command)
    copy.based_on = based_on
    return copy


class ForgetsDigests(ConfigurationVersions):
    """Knows no configuration again."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self._accepted = AcceptedConfigurations()
        return super().apply(command)


class ForgetsOnRestart(ConfigurationVersions):
    """A snapshot loses the digests."""

    def restore(self, state: ReplicatedState) -> None:
        super().restore(state)
        self._accepted = AcceptedConfigurations()


class ComparesNothing(ConfigurationVersions):
    """Takes a change whatever it builds on."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        return super().apply(changed(command, self.revision))


class TakesAnyNumber(ConfigurationVersions):
    """Takes a revision that is not above the current one."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self._revision, revision = min(self._revision, command.revision - 1), self._revision
        based_on = self._revision if command.based_on == revision else command.based_on
        result = super().apply(changed(command, based_on))
        if result != DONE:
            self._revision = revision
        return result


class KeepsAll(ConfigurationVersions):
    """Remembers digests without a bound."""

    def __init__(self, parser: ConfigurationParser | None = None, **bounds: int) -> None:
        super().__init__(parser)


class KeepsTheOldModel(ConfigurationVersions):
    """Does not parse again after a change."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self.current()
        before = self._document
        result = super().apply(command)
        self._document = before
        return result


class ForgetsWhatAPatchLedTo(ConfigurationVersions):
    """Does not know a whole document that a patch has led to."""

    def _is_current(self, command: PutConfiguration) -> bool:
        return False


class PatchesWithoutRemoval(ConfigurationVersions):
    """Adds and replaces entries, and removes none."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        if not command.patch:
            return super().apply(command)
        document = json.loads(zlib.decompress(command.body))
        del document["remove"]
        copy = changed(command, command.based_on)
        copy.body = zlib.compress(json.dumps(document).encode())
        return super().apply(copy)


class PatchesOnlyHere(ConfigurationVersions):
    """Saves what was there before a patch."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        result = super().apply(command)
        if result == DONE and not command.patch:
            self.saved = self.current_body()
        return result

    def save(self, state: ReplicatedState) -> None:
        super().save(state)
        state.body = zlib.compress(self.saved)


class RefusesTheForgotten(ConfigurationVersions):
    """Refuses what it may have taken long ago."""

    def _decide(self, command: PutConfiguration) -> CommandResult:
        self._accepted._forgotten_revision = 0
        return super()._decide(command)


class ForgetsRefusals(ConfigurationVersions):
    """Takes a late copy of a call that it has refused."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        self._rejected = RejectedCommands()
        return super().apply(command)


class ForgetsRefusalsOnRestart(ConfigurationVersions):
    """A snapshot loses the refused calls."""

    def restore(self, state: ReplicatedState) -> None:
        super().restore(state)
        self._rejected = RejectedCommands()


class DropsTheOldestRefusal(ConfigurationVersions):
    """Makes room for a refusal by forgetting one that could still succeed."""

    def _decide(self, command: PutConfiguration) -> CommandResult:
        refused = self._rejected
        if len(refused) >= refused._most:
            del refused._results[next(iter(refused._results))]
        return super()._decide(command)


class DropsRefusalsOfTheNextBase(ConfigurationVersions):
    """Forgets refusals at the very moment at which they could succeed."""

    def _accept(self, command: PutConfiguration) -> None:
        super()._accept(command)
        self._rejected.drop_below(command.revision + 1)


class KnowsByNumberAlone(ConfigurationVersions):
    """Takes another document of a taken number for the taken one."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        if 0 < command.revision <= self.revision:
            return ALREADY_DONE
        return super().apply(command)


class KnowsByBaseAlone(ConfigurationVersions):
    """Takes every change of a version for the one that won."""

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


class RemembersRefusalsWithoutBase(ConfigurationVersions):
    """Refuses a document on the right version because it was refused on another one."""

    def apply(self, command: PutConfiguration) -> CommandResult:
        for call in self._rejected._results:
            if call.digest == command.digest:
                return self._rejected._results[CommandIdentity(*call)]
        return super().apply(command)
