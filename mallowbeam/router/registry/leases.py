"""Leases with fencing tokens, replicated through the log: the holder and the token of each subject.

The log has no notion of time, so a lease does not expire here: a member that wants to take over a lease waits
for the lease time by its own monotonic clock before it proposes. The token increases with each new holder,
across all subjects, so that delayed messages of an earlier holder are recognized.

This is the granting side. The holder's side, which decides when a granted token may be used, is
`mallowbeam.router.pairing.order_lease`: it depends on time and on one member's view of its leadership, which
replicated state must not. The storage gateway's lease (`storage_gateway.coordination.maintenance.lease`) has
neither holder nor token: a gateway renews its own permission to serve with each committed report, and the
others wait until it has certainly expired.
"""

from __future__ import annotations

from typing import NamedTuple

from mallowbeam.router.registry.limits import MAX_LEASES
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
    """The outcome of a request for a lease; `token` is 0 if it was rejected."""

    result: CommandResult
    token: int


class Leases:
    """The holder and fencing token of each subject, bounded; the oldest grant is dropped first."""

    def __init__(self, max_subjects: int = MAX_LEASES) -> None:
        """Remember at most `max_subjects` subjects."""
        self._leases: dict[str, Lease] = {}  # by subject, oldest grant first
        self._max_subjects = max_subjects

    def get(self, subject: str) -> Lease | None:
        """A copy of the lease on `subject`; None if it was never granted or has been dropped."""
        lease = self._leases.get(subject)
        return None if lease is None else _duplicate(lease)

    def apply(self, command: AcquireLease) -> LeaseGrant:
        """Grant a lease: DONE with a higher token to a new holder, ALREADY_DONE to the current one."""
        if not command.subject or not command.holder:
            return LeaseGrant(REFUSED, 0)
        lease = self._leases.get(command.subject)
        if lease is not None and lease.holder == command.holder:
            return LeaseGrant(ALREADY_DONE, lease.token)
        token = self._last_token() + 1
        self._leases.pop(command.subject, None)
        self._leases[command.subject] = Lease(subject=command.subject, holder=command.holder, token=token)
        if len(self._leases) > self._max_subjects:
            del self._leases[next(iter(self._leases))]
        return LeaseGrant(DONE, token)

    def save(self, state: ReplicatedState) -> None:
        """Write the leases to a snapshot."""
        del state.leases[:]
        state.leases.extend(self._leases.values())

    def restore(self, state: ReplicatedState) -> None:
        """Replace the leases with those of a snapshot."""
        newest = list(state.leases)[-self._max_subjects :]
        self._leases = {lease.subject: _duplicate(lease) for lease in newest}

    def _last_token(self) -> int:
        """The highest token granted so far: that of the newest grant, which is never dropped."""
        if not self._leases:
            return 0
        return self._leases[next(reversed(self._leases))].token


def _duplicate(lease: Lease) -> Lease:
    """An independent message with the same fields."""
    duplicate = Lease()
    duplicate.CopyFrom(lease)
    return duplicate
