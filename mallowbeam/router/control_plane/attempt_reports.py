"""Reports of failed attempts at instances, gossiped between members and sent to gateways.

The reports are soft state, outside the replicated log: an isolated member reports what its own gateways send,
and reports that are not renewed expire within seconds.
"""

from __future__ import annotations

from mallowbeam.router.health.fleet_attempts import (
    MAX_INSTANCES_PER_SOURCE,
    MAX_REPORTED_INSTANCES,
    AttemptTable,
    add_sums,
    failing,
    messages_of,
)
from mallowbeam.router.rpc.messages_pb2 import InstanceAttempts, RegistryGossip

GOSSIP_INTERVAL_S = 0.4  # shortest time between two reports to the other members


class AttemptReports:
    """The latest reports of this member's gateways and of the other members."""

    def __init__(self) -> None:
        self.gateways = AttemptTable()  # by subscriber
        self._members = AttemptTable()  # by member id
        self._next_gossip_at = 0.0

    def receive_gossip(self, member: int, gossip: RegistryGossip, now: float) -> None:
        """Record the reports of another member's gateways."""
        if gossip.tells_attempts:
            self._members.record(member, gossip.attempts, now)

    def add_to_gossip(self, gossip: RegistryGossip, now: float) -> None:
        """Add the reports of this member's gateways to `gossip`, if a report is due."""
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_S
            gossip.tells_attempts = True
            gossip.attempts.extend(messages_of(self.gateways.sums(now), MAX_INSTANCES_PER_SOURCE))

    def for_gateways(self, now: float) -> list[InstanceAttempts]:
        """Return the sums over all gateways of the fleet, for instances with failures."""
        fleet = add_sums((self.gateways.sums(now), self._members.sums(now)))
        return messages_of(failing(fleet), MAX_REPORTED_INSTANCES)
