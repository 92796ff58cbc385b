"""Rejected commands that could still succeed: a duplicate that is still in flight must get the same result.

A command is rejected if it builds on a revision that is not current. If that revision is below the current
one, the command can never succeed, since revisions only increase, and need not be remembered. If it is above,
the command could succeed once that revision has been accepted.
"""

from __future__ import annotations

from typing import NamedTuple

from mallowbeam.router.rpc.messages_pb2 import CommandResult, RefusedConfiguration, ReplicatedState

MAX_REJECTED = 1_024  # commands remembered; the result of a further one is reported as unknown


class CommandIdentity(NamedTuple):
    """Identifies a command and its duplicates; an operator's retry has the same identity."""

    digest: bytes
    based_on: int


class RejectedCommands:
    """Rejected commands with their results, bounded; none is dropped as long as it could succeed."""

    def __init__(self, max_commands: int = MAX_REJECTED) -> None:
        """Remember at most `max_commands` commands."""
        self._max_commands = max_commands
        self._results: dict[CommandIdentity, CommandResult] = {}  # oldest first

    def __len__(self) -> int:
        """The number of commands remembered."""
        return len(self._results)

    def result(self, command: CommandIdentity) -> CommandResult | None:
        """The result with which an earlier duplicate was rejected; None if there was none."""
        return self._results.get(command)

    def add(self, command: CommandIdentity, result: CommandResult) -> bool:
        """Remember a rejection; return False at capacity, in which case it must not be reported."""
        if len(self._results) >= self._max_commands:
            return False
        self._results[command] = result
        return True

    def drop_below(self, revision: int) -> None:
        """Forget commands that build on a revision below the current one: they can no longer succeed."""
        for command in [command for command in self._results if command.based_on < revision]:
            del self._results[command]

    def save(self, state: ReplicatedState) -> None:
        """Write the rejections to a snapshot."""
        del state.refused[:]
        state.refused.extend(
            RefusedConfiguration(digest=command.digest, based_on=command.based_on, result=result)
            for command, result in self._results.items()
        )

    def restore(self, state: ReplicatedState) -> None:
        """Replace the rejections by those of a snapshot."""
        self._results = {
            CommandIdentity(rejected.digest, rejected.based_on): rejected.result for rejected in state.refused
        }
