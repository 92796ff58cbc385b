"""A model of two operators' calls whose duplicates are applied in any order, and a checker of their results.

Each call may be applied several times: its caller retries after a lost response, and members propose it again
after a change of leader. The result of each duplicate counts as reported to its caller. One replica is never
restored; a second one is restored from its own snapshot after each command.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from mallowbeam.router.configuration.accepted import RECORD
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    OUTCOME_UNKNOWN,
    CommandResult,
    PutConfiguration,
    ReplicatedState,
)

NewVersions = Callable[[], ConfigurationVersions]


class InvariantViolationError(AssertionError):
    """A result that must not be reported to an operator, or replicas that differ."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call of an operator, without the data that differs between its duplicates."""

    revision: int
    content: str
    based_on: int

    @property
    def document(self) -> tuple[int, str]:
        """The body's content; calls based on different versions may share it."""
        return self.revision, self.content

    def command(self) -> PutConfiguration:
        """The call's command in the log."""
        text = f"{self.revision} {self.content}".encode()
        digest = hashlib.blake2b(text, digest_size=16).digest()
        return PutConfiguration(
            body=zlib.compress(text), based_on=self.based_on, digest=digest, revision=self.revision
        )


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits of the records that the state machine keeps."""

    max_accepted: int
    max_rejected: int


@dataclass(slots=True)
class ResultChecker:
    """The results reported so far; checks that each further result is consistent with them."""

    bounds: Bounds
    in_effect: list[Call] = field(default_factory=list)
    refused: set[Call] = field(default_factory=set)
    acknowledged: set[Call] = field(default_factory=set)

    @property
    def revision(self) -> int:
        """The current revision."""
        return self.in_effect[-1].revision if self.in_effect else 0

    def copy(self) -> ResultChecker:
        """A copy, for a different continuation."""
        return ResultChecker(self.bounds, list(self.in_effect), set(self.refused), set(self.acknowledged))

    def check_result(self, call: Call, result: CommandResult) -> None:
        """Check and record one result; raises `InvariantViolationError`."""
        accepted = call.document in {one.document for one in self.in_effect}
        if result == DONE:
            self._require(not accepted, "accepted twice")
            self._require(call not in self.refused, "in effect although it was rejected")
            self._require(call.based_on == self.revision, "in effect although based on another version")
            self._require(call.revision > self.revision, "in effect although its revision is not higher")
            self.in_effect.append(call)
            self.acknowledged.add(call)
        elif result == ALREADY_DONE:
            self._require(accepted, "acknowledged but not in effect")
            self.acknowledged.add(call)
        elif result == OUTCOME_UNKNOWN:
            self._require(
                self._may_be_forgotten(call) or self._no_capacity(call), "unknown outcome without need"
            )
        else:
            self._require(not accepted and call not in self.acknowledged, "rejected after it was accepted")
            valid = call.based_on == self.revision < call.revision
            self._require(call in self.refused or not valid, "a valid change was rejected")
            self.refused.add(call)

    def check_bounds(self, state: ReplicatedState) -> None:
        """Raise `InvariantViolationError` if a replica keeps more records than its bounds allow."""
        recorded = len(state.taken_records) // RECORD.size
        self._require(recorded <= self.bounds.max_accepted, "more configurations are recorded than allowed")
        self._require(
            len(state.refused) <= self.bounds.max_rejected, "more rejections are recorded than allowed"
        )

    def _may_be_forgotten(self, call: Call) -> bool:
        dropped = self.in_effect[: max(0, len(self.in_effect) - self.bounds.max_accepted)]
        return bool(dropped) and call.revision <= dropped[-1].revision

    def _no_capacity(self, call: Call) -> bool:
        recorded_ahead = [one for one in self.refused if self.revision <= one.based_on < one.revision]
        return len(recorded_ahead) >= self.bounds.max_rejected and call.based_on > self.revision

    def _require(self, holds: bool, violation: str) -> None:
        if not holds:
            raise InvariantViolationError(violation)


class Replicas:
    """Two replicas of one log, and the checker of their results."""

    def __init__(self, new_versions: NewVersions, checker: ResultChecker) -> None:
        self._new_versions = new_versions
        self.checker = checker
        self.unrestored = new_versions()
        self.restored = new_versions()

    def fork(self) -> Replicas:
        """A copy of the replicas, for a different continuation."""
        other = Replicas(self._new_versions, self.checker.copy())
        other.unrestored.restore(state_of(self.unrestored))
        other.restored.restore(state_of(self.restored))
        return other

    def apply(self, call: Call, command: PutConfiguration) -> None:
        """Apply one duplicate of a call to all replicas; raises `InvariantViolationError`."""
        result = self.unrestored.apply(command)
        if self.restored.apply(command) != result:
            raise InvariantViolationError("replicas return different results")
        self.restart()
        state = state_of(self.unrestored)
        if state != state_of(self.restored):
            raise InvariantViolationError("replicas have different states")
        self.checker.check_result(call, result)
        self.checker.check_bounds(state)

    def restart(self) -> None:
        """Rebuild one replica from its snapshot."""
        saved = state_of(self.restored)
        self.restored = self._new_versions()
        self.restored.restore(saved)


def state_of(versions: ConfigurationVersions) -> ReplicatedState:
    """A replica's snapshot."""
    state = ReplicatedState()
    versions.save(state)
    return state


def apply_in_all_orders(replicas: Replicas, calls: Sequence[Call], copies: int) -> int:
    """Apply `copies` duplicates of each call in each order; returns the number of applications."""
    commands = [call.command() for call in calls]
    return _apply_remaining(replicas, calls, commands, [copies] * len(calls))


def _apply_remaining(
    replicas: Replicas,
    calls: Sequence[Call],
    commands: Sequence[PutConfiguration],
    copies_left: Sequence[int],
) -> int:
    applied = 0
    for number in _calls_with_copies_left(copies_left):
        branch = replicas.fork()
        branch.apply(calls[number], commands[number])
        remaining = [count - (position == number) for position, count in enumerate(copies_left)]
        applied += 1 + _apply_remaining(branch, calls, commands, remaining)
    return applied


def _calls_with_copies_left(copies_left: Sequence[int]) -> Iterator[int]:
    return (number for number, count in enumerate(copies_left) if count)
