"""The replicated state machine's part for configurations: which one is current, and which were ever taken.

Every member applies the same commands in the same order and reaches the same state; nothing here reads a
clock, draws a random number or does I/O.
"""

from __future__ import annotations

import zlib

from mallowbeam.router.configuration.document import ConfigurationDocument, digest_of
from mallowbeam.router.configuration.errors import ConfigurationError, NameNotFound
from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.configuration.parsing import ConfigurationParser, ParsedConfiguration
from mallowbeam.router.configuration.patch import ConfigurationPatch, apply_patch, parse_patch
from mallowbeam.router.configuration.refusals import MOST_REFUSED, CallIdentity, RefusedCalls
from mallowbeam.router.configuration.taken import MOST_TAKEN, TakenConfigurations
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

COMPRESSION_LEVEL = 1  # a body is written to a log: fast counts for more than small


def put_command(parsed: ParsedConfiguration, based_on: int) -> PutConfiguration:
    """The command that proposes a configuration on top of revision `based_on`."""
    return PutConfiguration(
        body=zlib.compress(parsed.canonical, COMPRESSION_LEVEL),
        based_on=based_on,
        digest=parsed.digest,
        revision=parsed.configuration.revision,
    )


def patch_command(patch: ConfigurationPatch, based_on: int) -> PutConfiguration:
    """The command that proposes a change of named entries of revision `based_on`."""
    return PutConfiguration(
        body=zlib.compress(patch.canonical, COMPRESSION_LEVEL),
        based_on=based_on,
        digest=patch.digest(based_on),
        revision=patch.revision,
        patch=True,
    )


class ConfigurationVersions:
    """The current configuration, those that were taken, and refused calls that could still succeed."""

    def __init__(
        self,
        parser: ConfigurationParser | None = None,
        most_taken: int = MOST_TAKEN,
        most_refused: int = MOST_REFUSED,
    ) -> None:
        """`parser` may be the one that the member's API uses, so that nothing is parsed twice."""
        self._parser = parser if parser is not None else ConfigurationParser()
        self._taken = TakenConfigurations(most_taken)
        self._refused = RefusedCalls(most_refused)
        self._revision = 0
        self._body = b""  # zlib of the canonical JSON; empty where it has to be made of the document
        self._patched = False  # whether a patch led to the current configuration
        self._document: ConfigurationDocument | None = None  # read from the body when first needed

    @property
    def revision(self) -> int:
        """The current configuration's revision; 0: none was taken yet."""
        return self._revision

    def apply(self, command: PutConfiguration) -> CommandResult:
        """Apply one committed command; copies of one call get answers that agree."""
        if self._taken.holds(command.revision, command.digest) or self._is_current(command):
            return ALREADY_DONE
        call = CallIdentity(command.digest, command.based_on)
        refused = self._refused.result(call)
        if refused is not None:
            return refused
        result = self._judge(command)
        if result == DONE:
            result = self._take(command)
        elif self._could_succeed_later(command) and not self._refused.add(call, result):
            return OUTCOME_UNKNOWN
        return result

    def _judge(self, command: PutConfiguration) -> CommandResult:
        """What becomes of a call of which no copy is known."""
        if self._taken.may_be_forgotten(command.revision):
            return OUTCOME_UNKNOWN
        if command.based_on != self._revision:
            return VERSION_MISMATCH
        if command.revision <= self._revision:
            return REVISION_NOT_ABOVE
        return DONE

    def _could_succeed_later(self, command: PutConfiguration) -> bool:
        """Whether a later revision could be the one that a refused call builds on."""
        return self._revision < command.based_on < command.revision

    def _is_current(self, command: PutConfiguration) -> bool:
        """Whether a whole document is what a patch has led to under the same number.

        A document that came whole is known by its digest: it is neither read nor digested again.
        """
        if not self._patched or command.patch or command.revision != self._revision:
            return False
        return digest_of(self.current_body()) == command.digest

    def _take(self, command: PutConfiguration) -> CommandResult:
        if command.patch:
            try:
                patch = parse_patch(zlib.decompress(command.body))
                document = apply_patch(self._known_document(), patch)
            except ConfigurationError:
                return INVALID_OUTCOME
            self._document, self._body = document, b""
        else:
            self._document, self._body = None, command.body
        self._patched = command.patch
        self._revision = command.revision
        self._taken.add(command.revision, command.digest)
        self._refused.drop_below(command.revision)
        return DONE

    def check_patch(self, patch: ConfigurationPatch, based_on: int) -> None:
        """Raise a `ConfigurationError` where the outcome of a patch is known here, and not valid.

        Where another revision than the one that it builds on is current here, the log decides alone.
        """
        if based_on == self._revision and self._revision:
            apply_patch(self._known_document(), patch)

    def current_body(self) -> bytes:
        """The current configuration's canonical JSON; empty if none was taken yet."""
        if self._body:
            return zlib.decompress(self._body)
        return self._document.canonical() if self._document is not None else b""

    def current(self) -> Configuration | None:
        """The current configuration, parsed when first asked for; None if none was taken yet."""
        return self._known_document().configuration if self._revision else None

    def _known_document(self) -> ConfigurationDocument:
        """The current document; raises `NameNotFound` where none was taken yet: nothing can be patched."""
        if self._document is None:
            if not self._body:
                raise NameNotFound("no configuration was taken yet; send a whole one", "If-Match")
            known = self._parser.recall(self._taken.last_digest) or self._parser.parse(self.current_body())
            self._document = known.document
        return self._document

    def _compressed(self) -> bytes:
        body = self.current_body()
        return zlib.compress(body, COMPRESSION_LEVEL) if body else b""

    def save(self, state: ReplicatedState) -> None:
        """Fill this part's fields of a snapshot."""
        state.revision = self._revision
        state.body = self._body or self._compressed()
        state.patched = self._patched
        self._taken.save(state)
        self._refused.save(state)

    def restore(self, state: ReplicatedState) -> None:
        """Take over this part of a snapshot in place of all that was held."""
        self._revision = state.revision
        self._body = state.body
        self._patched = state.patched
        self._document = None
        self._taken.restore(state)
        self._refused.restore(state)
