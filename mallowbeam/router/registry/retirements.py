"""The replicated part of the registry: instances that said that they leave.

Applied in log order on every member, so nothing here may depend on time or on what a single member has heard.
An id is one incarnation of one instance, so a retirement is never taken back.
"""

from __future__ import annotations

from mallowbeam.router.registry.limits import MOST_RETIRED
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    GONE,
    CommandResult,
    ReplicatedState,
    RetireInstance,
    RetirementKind,
)


class Retirements:
    """Retired ids with the kind of their retirement, bounded; the oldest are dropped first."""

    def __init__(self, most: int = MOST_RETIRED) -> None:
        self._kinds: dict[str, RetirementKind] = {}  # oldest first
        self._most = most

    def __len__(self) -> int:
        """How many ids are remembered."""
        return len(self._kinds)

    def kind(self, id: str) -> RetirementKind | None:
        """How `id` has been retired; None: it has not."""
        return self._kinds.get(id)

    def apply(self, command: RetireInstance) -> CommandResult:
        """Take a retirement: DONE, or ALREADY_DONE where it is known. GONE after DRAINING is DONE."""
        known = self._kinds.get(command.id)
        if known in (GONE, command.kind):
            return ALREADY_DONE
        self._kinds.pop(command.id, None)
        self._kinds[command.id] = command.kind
        if len(self._kinds) > self._most:
            del self._kinds[next(iter(self._kinds))]
        return DONE

    def all(self) -> list[RetireInstance]:
        """Every retirement that is remembered, oldest first."""
        return [RetireInstance(id=id, kind=kind) for id, kind in self._kinds.items()]

    def save(self, state: ReplicatedState) -> None:
        """Write to a snapshot."""
        del state.retired[:]
        state.retired.extend(self.all())

    def restore(self, state: ReplicatedState) -> None:
        """Replace everything by a snapshot's content."""
        kept = list(state.retired)[-self._most :]
        self._kinds = {retired.id: retired.kind for retired in kept}
