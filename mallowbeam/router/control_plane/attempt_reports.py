"""How the fleet's attempts at instances end: from this member's gateways and the others, to its gateways.

Nothing here is decided or replicated: a member that is cut off tells what its own gateways say, and what is
not renewed is forgotten within seconds.
"""

from __future__ import annotations

from mallowbeam.router.health.fleet_attempts import (
    MOST_INSTANCES_PER_SOURCE,
    MOST_REPORTED,
    AttemptTable,
    add_sums,
    failing,
    messages_of,
)
from mallowbeam.router.rpc.messages_pb2 import InstanceAttempts, RegistryGossip

REPORT_S = 0.4  # between two words to the other members, at the least


class AttemptReports:
    """What gateways and members told of late."""

    def __init__(self) -> None:
        self.gateways = AttemptTable()  # by the subscriber's number
        self._members = AttemptTable()  # by member id
        self._tell_at = 0.0

    def heard(self, member: int, gossip: RegistryGossip, now: float) -> None:
        """What another member's gateways met."""
        if gossip.tells_attempts:
            self._members.record(member, gossip.attempts, now)

    def tell(self, gossip: RegistryGossip, now: float) -> None:
        """Add what this member's gateways met, where it is due."""
        if now >= self._tell_at:
            self._tell_at = now + REPORT_S
            gossip.tells_attempts = True
            gossip.attempts.extend(messages_of(self.gateways.sums(now), MOST_INSTANCES_PER_SOURCE))

    def for_gateways(self, now: float) -> list[InstanceAttempts]:
        """The whole fleet's, of instances with failures."""
        fleet = add_sums((self.gateways.sums(now), self._members.sums(now)))
        return messages_of(failing(fleet), MOST_REPORTED)
