"""Counts how this gateway's attempts at each instance ended, between two reports to its member.  No I/O."""

from __future__ import annotations

from mallowbeam.router.health.fleet_attempts import AttemptSum
from mallowbeam.router.rpc.messages_pb2 import InstanceAttempts


class AttemptMeter:
    """Answered and failed attempts by instance since the last sample."""

    def __init__(self) -> None:
        self._counts: dict[str, AttemptSum] = {}

    def ended(self, instance: str, answered: bool) -> None:
        """Count an attempt at an instance that ended with or without an answer."""
        counts = self._counts.setdefault(instance, AttemptSum())
        if answered:
            counts.answered += 1
        else:
            counts.failed += 1

    def sample(self) -> list[InstanceAttempts]:
        """Return the counts since the last sample and reset them."""
        counts, self._counts = self._counts, {}
        return [
            InstanceAttempts(id=id, failed=one.failed, answered=one.answered) for id, one in counts.items()
        ]
