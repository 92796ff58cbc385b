"""The configuration's part of the replicated state machine: the current version and the accepted ones.

Every member applies the same commands in the same order and reaches the same state; nothing here reads a
clock, draws a random number or does I/O.
"""

from __future__ import annotations

import zlib

from mallowbeam.router.configuration.accepted import MAX_ACCEPTED, AcceptedConfigurations
from mallowbeam.router.configuration.document import ConfigurationDocument, digest_of
from mallowbeam.router.configuration.errors import ConfigurationError, NameNotFoundError
from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.configuration.parsing import ConfigurationParser, ParsedConfiguration
from mallowbeam.router.configuration.patch import ConfigurationPatch, apply_patch, parse_patch
from mallowbeam.router.configuration.rejections import MAX_REJECTED, CommandIdentity, RejectedCommands
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    INVALID_OUTCOME,
    OUTCOME_UNKNOWN,
    REVISION_NOT_ABOVE,
    VERSION_MISMATCH,
    CommandResult,
    PutConfiguration,
    ReplicatedState,
)

COMPRESSION_LEVEL = 1  # of zlib; bodies are written to the log, where speed matters more than size


def put_command(parsed: ParsedConfiguration, based_on: int) -> PutConfiguration:
    """The command that proposes a complete configuration on top of revision `based_on`."""
    return PutConfiguration(
        body=zlib.compress(parsed.canonical, COMPRESSION_LEVEL),
        based_on=based_on,
        digest=parsed.digest,
        revision=parsed.configuration.revision,
    )


def patch_command(patch: ConfigurationPatch, based_on: int) -> PutConfiguration:
    """The command that proposes a patch of revision `based_on`."""
    return PutConfiguration(
        body=zlib.compress(patch.canonical, COMPRESSION_LEVEL),
        based_on=based_on,
        digest=patch.digest(based_on),
        revision=patch.revision,
        patch=True,
    )


class ConfigurationVersions:
    """The current configuration, those accepted before, and rejected commands that could still succeed."""

    def __init__(
        self,
        parser: ConfigurationParser | None = None,
        max_accepted: int = MAX_ACCEPTED,
        max_rejected: int = MAX_REJECTED,
    ) -> None:
        """Start without a configuration; `parser` is that of the API, so that no body is parsed twice."""
        self._parser = parser if parser is not None else ConfigurationParser()
        self._accepted = AcceptedConfigurations(max_accepted)
        self._rejected = RejectedCommands(max_rejected)
        self._revision = 0
        self._body = b""  # zlib of the canonical JSON; empty if it has to be built from the document
        self._patched = False  # whether the current configuration is the outcome of a patch
        self._document: ConfigurationDocument | None = None  # parsed from the body on first use

    @property
    def revision(self) -> int:
        """Revision of the current configuration; 0 if none has been accepted yet."""
        return self._revision

    def apply(self, command: PutConfiguration) -> CommandResult:
        """Apply one committed command; duplicates of one command get results that agree."""
        if self._accepted.contains(command.revision, command.digest) or self._is_current(command):
            return ALREADY_DONE
        identity = CommandIdentity(command.digest, command.based_on)
        rejection = self._rejected.result(identity)
        if rejection is not None:
            return rejection
        result = self._decide(command)
        if result == DONE:
            result = self._accept(command)
        elif self._could_succeed_later(command) and not self._rejected.add(identity, result):
            return OUTCOME_UNKNOWN
        return result

    def _decide(self, command: PutConfiguration) -> CommandResult:
        """The result of a command of which no duplicate is known."""
        if self._accepted.may_be_forgotten(command.revision):
            return OUTCOME_UNKNOWN
        if command.based_on != self._revision:
            return VERSION_MISMATCH
        if command.revision <= self._revision:
            return REVISION_NOT_ABOVE
        return DONE

    def _could_succeed_later(self, command: PutConfiguration) -> bool:
        """Whether a later revision could be the one on which a rejected command builds."""
        return self._revision < command.based_on < command.revision

    def _is_current(self, command: PutConfiguration) -> bool:
        """Whether a complete document equals the outcome of the patch that gave the current revision.

        If the current document was not sent as a patch, its digest is recorded and is not computed again.
        """
        if not self._patched or command.patch or command.revision != self._revision:
            return False
        return digest_of(self.current_body()) == command.digest

    def _accept(self, command: PutConfiguration) -> CommandResult:
        """Make a command's configuration the current one; INVALID_OUTCOME if a patch does not apply."""
        if command.patch:
            try:
                patch = parse_patch(zlib.decompress(command.body))
                document = apply_patch(self._current_document(), patch)
            except ConfigurationError:
                return INVALID_OUTCOME
            self._document = document
            self._body = b""
        else:
            self._document = None
            self._body = command.body
        self._patched = command.patch
        self._revision = command.revision
        self._accepted.add(command.revision, command.digest)
        self._rejected.drop_below(command.revision)
        return DONE

    def check_patch(self, patch: ConfigurationPatch, based_on: int) -> None:
        """Raise `ConfigurationError` if a patch of the current revision has an invalid outcome.

        A patch of any other revision passes, since it may be current when the command is applied.
        """
        if based_on == self._revision and self._revision:
            apply_patch(self._current_document(), patch)

    def current_body(self) -> bytes:
        """Canonical JSON of the current configuration; empty if none has been accepted yet."""
        if self._body:
            return zlib.decompress(self._body)
        return self._document.canonical() if self._document is not None else b""

    def current(self) -> Configuration | None:
        """The current configuration, parsed on first use; None if none has been accepted yet."""
        return self._current_document().configuration if self._revision else None

    def _current_document(self) -> ConfigurationDocument:
        """The current document; raises `NameNotFoundError` if there is none to patch."""
        if self._document is None:
            if not self._body:
                raise NameNotFoundError(
                    "no configuration has been accepted yet; send a complete one", "If-Match"
                )
            parsed = self._parser.recall(self._accepted.last_digest) or self._parser.parse(
                self.current_body()
            )
            self._document = parsed.document
        return self._document

    def _compressed(self) -> bytes:
        body = self.current_body()
        return zlib.compress(body, COMPRESSION_LEVEL) if body else b""

    def save(self, state: ReplicatedState) -> None:
        """Write the configuration's fields of a snapshot."""
        state.revision = self._revision
        state.body = self._body or self._compressed()
        state.patched = self._patched
        self._accepted.save(state)
        self._rejected.save(state)

    def restore(self, state: ReplicatedState) -> None:
        """Replace everything by the configuration's fields of a snapshot."""
        self._revision = state.revision
        self._body = state.body
        self._patched = state.patched
        self._document = None
        self._accepted.restore(state)
        self._rejected.restore(state)
