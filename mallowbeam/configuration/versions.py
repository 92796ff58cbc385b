"""The replicated state machine's part for configurations: which one is current, and which were ever taken.

Every member applies the same commands in the same order and reaches the same state; nothing here reads a
clock, draws a random number or does I/O.
"""

from __future__ import annotations

import zlib

from mallowbeam.configuration.model import Configuration
from mallowbeam.configuration.parsing import ConfigurationParser, ParsedConfiguration
from mallowbeam.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    REVISION_NOT_ABOVE,
    VERSION_MISMATCH,
    CommandResult,
    PutConfiguration,
    ReplicatedState,
    TakenConfiguration,
)

# Digests that are remembered (about 100 KB of a snapshot). A configuration that is sent again after so many
# others were taken is no longer known: it is answered as a new one, with VERSION_MISMATCH or
# REVISION_NOT_ABOVE.
TAKEN_KEPT = 4096
COMPRESSION_LEVEL = 1  # a body is written to a log: fast counts for more than small


def put_command(parsed: ParsedConfiguration, based_on: int) -> PutConfiguration:
    """The command that proposes a configuration on top of revision `based_on`."""
    return PutConfiguration(
        body=zlib.compress(parsed.canonical, COMPRESSION_LEVEL),
        based_on=based_on,
        digest=parsed.digest,
        revision=parsed.configuration.revision,
    )


class ConfigurationVersions:
    """The current configuration and the digests of those that were taken."""

    def __init__(self, parser: ConfigurationParser | None = None, taken_kept: int = TAKEN_KEPT) -> None:
        """`parser` may be the one that the member's API uses, so that nothing is parsed twice."""
        self._parser = parser if parser is not None else ConfigurationParser()
        self._taken_kept = taken_kept
        self._revision = 0
        self._body = b""                       # zlib of the canonical JSON
        self._taken: dict[bytes, int] = {}     # revisions by digest, oldest first
        self._digest = b""                     # of the current configuration
        self._current: Configuration | None = None

    @property
    def revision(self) -> int:
        """The current configuration's revision; 0: none was taken yet."""
        return self._revision

    def apply(self, command: PutConfiguration) -> CommandResult:
        """Apply one committed command."""
        if command.digest in self._taken:
            return ALREADY_DONE
        if command.based_on != self._revision:
            return VERSION_MISMATCH
        if command.revision <= self._revision:
            return REVISION_NOT_ABOVE
        self._revision = command.revision
        self._body = command.body
        self._digest = command.digest
        self._current = None
        self._remember(command.digest, command.revision)
        return DONE

    def current_body(self) -> bytes:
        """The current configuration's canonical JSON; empty if none was taken yet."""
        return zlib.decompress(self._body) if self._body else b""

    def current(self) -> Configuration | None:
        """The current configuration, parsed when first asked for; None if none was taken yet."""
        if self._current is None and self._body:
            known = self._parser.recall(self._digest) or self._parser.parse(self.current_body())
            self._current = known.configuration
        return self._current

    def save(self, state: ReplicatedState) -> None:
        """Fill this part's fields of a snapshot."""
        state.revision = self._revision
        state.body = self._body
        del state.taken[:]
        state.taken.extend(
            TakenConfiguration(digest=digest, revision=revision) for digest, revision in self._taken.items()
        )

    def restore(self, state: ReplicatedState) -> None:
        """Take over this part of a snapshot in place of all that was held."""
        self._revision = state.revision
        self._body = state.body
        self._taken = {taken.digest: taken.revision for taken in state.taken}
        self._digest = state.taken[-1].digest if state.taken else b""
        self._current = None

    def _remember(self, digest: bytes, revision: int) -> None:
        self._taken[digest] = revision
        while len(self._taken) > self._taken_kept:
            del self._taken[next(iter(self._taken))]
