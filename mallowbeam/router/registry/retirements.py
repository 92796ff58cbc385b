"""Retirements, replicated through the log: instances that announced that they are leaving.

Commands are applied in log order on every member, so nothing here may depend on time or on what a single
member has received. An id is one incarnation of one instance, so a retirement is permanent.
"""

from __future__ import annotations

from mallowbeam.router.registry.limits import MAX_RETIRED
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

    def __init__(self, max_ids: int = MAX_RETIRED) -> None:
        """Remember at most `max_ids` ids."""
        self._kinds: dict[str, RetirementKind] = {}  # oldest first
        self._max_ids = max_ids

    def __len__(self) -> int:
        """The number of ids remembered."""
        return len(self._kinds)

    def kind(self, id: str) -> RetirementKind | None:
        """How `id` has been retired; None if it has not."""
        return self._kinds.get(id)

    def apply(self, command: RetireInstance) -> CommandResult:
        """Apply a retirement: DONE, or ALREADY_DONE if it is known. GONE after DRAINING is DONE."""
        known = self._kinds.get(command.id)
        if known in (GONE, command.kind):
            return ALREADY_DONE
        self._kinds.pop(command.id, None)
        self._kinds[command.id] = command.kind
        if len(self._kinds) > self._max_ids:
            del self._kinds[next(iter(self._kinds))]
        return DONE

    def all(self) -> list[RetireInstance]:
        """All remembered retirements, oldest first."""
        return [RetireInstance(id=id, kind=kind) for id, kind in self._kinds.items()]

    def save(self, state: ReplicatedState) -> None:
        """Write the retirements to a snapshot."""
        del state.retired[:]
        state.retired.extend(self.all())

    def restore(self, state: ReplicatedState) -> None:
        """Replace the retirements with those of a snapshot."""
        newest = list(state.retired)[-self._max_ids :]
        self._kinds = {retired.id: retired.kind for retired in newest}
