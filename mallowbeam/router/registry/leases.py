"""Leases with fencing tokens, replicated through the log.

The log has no time, so a lease does not lapse here: whoever wants one from another holder waits out the lease
time by its own steady clock before it proposes. The token rises with each new holder, over all subjects, so
that what an earlier holder still sends is known as late.
"""

from __future__ import annotations

from typing import NamedTuple

from mallowbeam.router.registry.limits import MOST_LEASES
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    REFUSED,
    AcquireLease,
    CommandResult,
    Lease,
    ReplicatedState,
)


class LeaseGrant(NamedTuple):
    """What came of a request for a lease; `token` is 0 where it was refused."""

    result: CommandResult
    token: int


class Leases:
    """The holder and token of each subject, bounded; the oldest grant is dropped first."""

    def __init__(self, most: int = MOST_LEASES) -> None:
        self._leases: dict[str, Lease] = {}  # oldest grant first
        self._most = most

    def get(self, subject: str) -> Lease | None:
        """The lease over `subject`, a copy; None: nobody has had one."""
        held = self._leases.get(subject)
        if held is None:
            return None
        copy = Lease()
        copy.CopyFrom(held)
        return copy

    def apply(self, command: AcquireLease) -> LeaseGrant:
        """Give the lease: a new holder gets a higher token (DONE), the present one its own (ALREADY_DONE)."""
        if not command.subject or not command.holder:
            return LeaseGrant(REFUSED, 0)
        held = self._leases.get(command.subject)
        if held is not None and held.holder == command.holder:
            return LeaseGrant(ALREADY_DONE, held.token)
        token = self._last_token() + 1
        self._leases.pop(command.subject, None)
        self._leases[command.subject] = Lease(subject=command.subject, holder=command.holder, token=token)
        if len(self._leases) > self._most:
            del self._leases[next(iter(self._leases))]
        return LeaseGrant(DONE, token)

    def save(self, state: ReplicatedState) -> None:
        """Write to a snapshot."""
        del state.leases[:]
        state.leases.extend(self._leases.values())

    def restore(self, state: ReplicatedState) -> None:
        """Replace everything by a snapshot's content."""
        self._leases = {}
        for lease in list(state.leases)[-self._most :]:
            copy = Lease()
            copy.CopyFrom(lease)
            self._leases[lease.subject] = copy

    def _last_token(self) -> int:
        """The highest token given so far: that of the newest grant, which is never dropped."""
        if not self._leases:
            return 0
        return self._leases[next(reversed(self._leases))].token
