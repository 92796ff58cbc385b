"""A model of two operators' calls whose duplicates are applied in any order, and a checker of their results.

Each call may be applied several times: its caller retries after a lost response, and members propose it again
after a change of leader. The result of every duplicate counts as reported to its caller. One replica is never
restored, a second one is restored from its own snapshot after each command.
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


class RuleBroken(AssertionError):
    """A result that must not be reported to an operator, or replicas that differ."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call of an operator: what all of its duplicates have in common."""

    revision: int
    content: str
    based_on: int

    @property
    def document(self) -> tuple[int, str]:
        """What the body says; calls on different versions may share it."""
        return self.revision, self.content

    def command(self) -> PutConfiguration:
        """The call as it stands in the log."""
        text = f"{self.revision} {self.content}".encode()
        digest = hashlib.blake2b(text, digest_size=16).digest()
        return PutConfiguration(
            body=zlib.compress(text), based_on=self.based_on, digest=digest, revision=self.revision
        )


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much the state machine remembers."""

    max_accepted: int
    max_rejected: int


@dataclass(slots=True)
class Judge:
    """The results reported so far, and whether one more agrees with them."""

    bounds: Bounds
    in_force: list[Call] = field(default_factory=list)
    refused: set[Call] = field(default_factory=set)
    acknowledged: set[Call] = field(default_factory=set)

    @property
    def revision(self) -> int:
        """The current revision."""
        return self.in_force[-1].revision if self.in_force else 0

    def copy(self) -> Judge:
        """The same history, to go on in another way."""
        return Judge(self.bounds, list(self.in_force), set(self.refused), set(self.acknowledged))

    def check_result(self, call: Call, result: CommandResult) -> None:
        """Check and record one result; raises `RuleBroken`."""
        accepted = call.document in {one.document for one in self.in_force}
        if result == DONE:
            self._must(not accepted, "accepted twice")
            self._must(call not in self.refused, "in force although it was refused")
            self._must(call.based_on == self.revision, "in force though another change of its version won")
            self._must(call.revision > self.revision, "in force though its revision is not above")
            self.in_force.append(call)
            self.acknowledged.add(call)
        elif result == ALREADY_DONE:
            self._must(accepted, "acknowledged and not in force")
            self.acknowledged.add(call)
        elif result == OUTCOME_UNKNOWN:
            self._must(
                self._may_be_forgotten(call) or self._no_capacity(call), "no clear answer without need"
            )
        else:
            self._must(not accepted and call not in self.acknowledged, "accepted, and then rejected")
            valid = call.based_on == self.revision < call.revision
            self._must(call in self.refused or not valid, "a valid change was refused")
            self.refused.add(call)

    def check_bounds(self, state: ReplicatedState) -> None:
        """Raise `RuleBroken` if a replica remembers more than its bounds allow."""
        recorded = len(state.taken_records) // RECORD.size
        self._must(recorded <= self.bounds.max_accepted, "more configurations are remembered than may be")
        self._must(len(state.refused) <= self.bounds.max_rejected, "more refusals are remembered than may be")

    def _may_be_forgotten(self, call: Call) -> bool:
        dropped = self.in_force[: max(0, len(self.in_force) - self.bounds.max_accepted)]
        return bool(dropped) and call.revision <= dropped[-1].revision

    def _no_capacity(self, call: Call) -> bool:
        waiting = [one for one in self.refused if self.revision <= one.based_on < one.revision]
        return len(waiting) >= self.bounds.max_rejected and call.based_on > self.revision

    def _must(self, holds: bool, what: str) -> None:
        if not holds:
            raise RuleBroken(what)


class Replicas:
    """Two replicas of one log, and the judge of what they answer."""

    def __init__(self, new_versions: NewVersions, judge: Judge) -> None:
        self._new_versions = new_versions
        self.judge = judge
        self.steady = new_versions()
        self.restored = new_versions()

    def fork(self) -> Replicas:
        """The same state, to go on in another way."""
        other = Replicas(self._new_versions, self.judge.copy())
        other.steady.restore(state_of(self.steady))
        other.restored.restore(state_of(self.restored))
        return other

    def apply(self, call: Call, command: PutConfiguration) -> None:
        """Apply one duplicate of a call to all replicas; raises `RuleBroken`."""
        result = self.steady.apply(command)
        if self.restored.apply(command) != result:
            raise RuleBroken("replicas answer differently")
        self.restart()
        state = state_of(self.steady)
        if state != state_of(self.restored):
            raise RuleBroken("replicas hold different states")
        self.judge.check_result(call, result)
        self.judge.check_bounds(state)

    def restart(self) -> None:
        """Build one replica anew from its snapshot."""
        saved = state_of(self.restored)
        self.restored = self._new_versions()
        self.restored.restore(saved)


def state_of(versions: ConfigurationVersions) -> ReplicatedState:
    """A replica's snapshot."""
    state = ReplicatedState()
    versions.save(state)
    return state


def apply_in_all_orders(replicas: Replicas, calls: Sequence[Call], copies: int) -> int:
    """Apply so many duplicates of each call in each order; returns the number of applications."""
    commands = [call.command() for call in calls]
    return _go_on(replicas, calls, commands, [copies] * len(calls))


def _go_on(
    replicas: Replicas, calls: Sequence[Call], commands: Sequence[PutConfiguration], left: Sequence[int]
) -> int:
    applied = 0
    for number in _with_copies(left):
        next_one = replicas.fork()
        next_one.apply(calls[number], commands[number])
        still_left = [count - (position == number) for position, count in enumerate(left)]
        applied += 1 + _go_on(next_one, calls, commands, still_left)
    return applied


def _with_copies(left: Sequence[int]) -> Iterator[int]:
    return (number for number, count in enumerate(left) if count)
