"""Refused calls that could succeed later: copies of them that are still under way must get the same answer.

A call is refused where it builds on a revision that is not current. One that builds on a lower revision than
the current one can never succeed, since revisions only rise: it needs no memory. One that builds on a higher
revision could, once that revision is taken.
"""

from __future__ import annotations

from typing import NamedTuple

from mallowbeam.router.rpc.messages_pb2 import CommandResult, RefusedConfiguration, ReplicatedState

MOST_REFUSED = 1_024  # remembered; beyond it further ones get no clear answer


class CallIdentity(NamedTuple):
    """By which copies of one call are known: the operator sends a call again unchanged."""

    digest: bytes
    based_on: int


class RefusedCalls:
    """Refused calls with their answers, bounded; none is dropped as long as it could succeed."""

    def __init__(self, most: int = MOST_REFUSED) -> None:
        self._most = most
        self._results: dict[CallIdentity, CommandResult] = {}  # oldest first

    def __len__(self) -> int:
        """How many are remembered."""
        return len(self._results)

    def result(self, call: CallIdentity) -> CommandResult | None:
        """How an earlier copy of this call was refused; None: none was."""
        return self._results.get(call)

    def add(self, call: CallIdentity, result: CommandResult) -> bool:
        """Remember a refusal; False where there is no room, so that it must not be told."""
        if len(self._results) >= self._most:
            return False
        self._results[call] = result
        return True

    def drop_below(self, revision: int) -> None:
        """Forget calls that build on less than the current revision: they can't succeed any more."""
        for call in [call for call in self._results if call.based_on < revision]:
            del self._results[call]

    def save(self, state: ReplicatedState) -> None:
        """Fill this part's field of a snapshot."""
        del state.refused[:]
        state.refused.extend(
            RefusedConfiguration(digest=call.digest, based_on=call.based_on, result=result)
            for call, result in self._results.items()
        )

    def restore(self, state: ReplicatedState) -> None:
        """Take over this part of a snapshot in place of all that was held."""
        self._results = {
            CallIdentity(refused.digest, refused.based_on): refused.result for refused in state.refused
        }
