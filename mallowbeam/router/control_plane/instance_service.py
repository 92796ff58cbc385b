"""Instances: heartbeats and retirements from callers, gossip with the other members, and expiry.

Heartbeats are soft state, recorded by this member and gossiped. Only retirements go through the replicated
log, before they are acknowledged.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from mallowbeam.router.control_plane.attempt_reports import AttemptReports
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.response_gate import AppliedEntry, ResponseGate, ResponseKind
from mallowbeam.router.control_plane.stage_controller import StageController
from mallowbeam.router.registry.gateway_counts import GatewayCounts
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import (
    DRAINING,
    DRAINS,
    GONE,
    Command,
    Instance,
    PeerFrame,
    RegistryGossip,
    RetireInstance,
    RetirementKind,
)

CONTACT_TIMEOUT_S = 1.0  # without contact for longer, another member or the group counts as unreachable


@dataclass(frozen=True, slots=True)
class RegistryParts:
    """The state of the instances, and the parts that replicate it."""

    table: InstanceTable
    retirements: Retirements
    commands: CommandForwarder
    links: PeerLinks
    gate: ResponseGate


class InstanceService:
    """Connects the instance table with the replicated log and with the other members."""

    def __init__(
        self,
        registry: RegistryParts,
        gateways_outdated: Callable[[], None],
        count_gateways: Callable[[], int],
        random: Random,
    ) -> None:
        """`gateways_outdated` is called when a change must be sent to the gateways.

        `count_gateways` returns the number of gateways that follow this member.
        """
        self._table = registry.table
        self._retirements = registry.retirements
        self._commands = registry.commands
        self._links = registry.links
        self._gate = registry.gate
        self._gateways_outdated = gateways_outdated
        self._count_gateways = count_gateways
        self._random = random
        self.gateway_counts = GatewayCounts()

    # ------------------------------------------------------------ calls

    async def heartbeat(self, instance: Instance, since: float) -> None:
        """Record a heartbeat; returns once it may be acknowledged, raises as `CommandForwarder.submit`.

        A member that has lost contact with the group records the heartbeat and raises `IsolatedMemberError`,
        so that the instance turns to another member.
        """
        draining = instance.state == DRAINS
        version_before = self._table.version
        self._table.receive_heartbeat(instance, time.monotonic())
        self._notify_if_changed(version_before)
        if draining:
            await self._retire(instance.id, DRAINING, since)
        else:
            self._gate.check(ResponseKind.HEARTBEAT_ACKNOWLEDGED)

    async def delete(self, id: str, since: float) -> None:
        """Retire an instance; returns once that may be acknowledged, raises as `CommandForwarder.submit`."""
        self.apply_retirement(RetireInstance(id=id, kind=GONE), announce=True)
        await self._retire(id, GONE, since)

    async def _retire(self, id: str, kind: RetirementKind, since: float) -> None:
        """Commit a retirement, unless this member has already applied it or a stronger one."""
        if self._retirements.kind(id) in (kind, GONE):
            self._gate.check(ResponseKind.RETIREMENT_KNOWN)
            return
        self._gate.check_reachable()
        command = Command(retire_instance=RetireInstance(id=id, kind=kind))
        outcome = await self._commands.submit(command, since)
        self._gate.check(ResponseKind.RETIREMENT_ACKNOWLEDGED, AppliedEntry(outcome.index))

    # ------------------------------------------------------------ from the log and from other members

    def apply_retirement(self, retirement: RetireInstance, announce: bool = False) -> None:
        """Apply a retirement from the log, or from a call: then `announce` is set, and it is gossiped."""
        version_before = self._table.version
        self._table.retire(retirement.id, retirement.kind, time.monotonic(), announce)
        self._notify_if_changed(version_before)

    def receive_gossip(self, sender: int, gossip: RegistryGossip) -> None:
        """Merge another member's instances; if it requests the full table, send it."""
        now = time.monotonic()
        self.gateway_counts.record(sender, gossip.gateways, now)
        if gossip.wants_whole:
            self._links.send(sender, PeerFrame(registry=self._table.full_gossip(now, self._count_gateways())))
        version_before = self._table.version
        self._table.merge(gossip, now)
        self._notify_if_changed(version_before)

    # ------------------------------------------------------------ time

    def link_lost(self) -> None:
        """Note that a member's connection ended, so that gossip in flight on it is requested again."""
        self._table.link_lost(time.monotonic())

    def run_cycle(self, members: list[int]) -> None:
        """Expire instances, and request a full table if needed; to be called several times a second.

        `members` are the ids of the other members.
        """
        now = time.monotonic()
        if self._gate.staleness() > CONTACT_TIMEOUT_S:
            self._table.mark_isolated(now)
        version_before = self._table.version
        self._table.expire(now)
        self._notify_if_changed(version_before)
        unreachable = [
            member
            for member in members
            if (self._links.seconds_since_contact(member) or 0.0) > CONTACT_TIMEOUT_S
        ]
        reachable = [member for member in members if member not in unreachable]
        if reachable and self._table.should_request_full_gossip(now, links_missing=bool(unreachable)):
            peer = self._random.choice(reachable)
            request = RegistryGossip(wants_whole=True, gateways=self._count_gateways())
            self._links.send(peer, PeerFrame(registry=request))

    def next_gossip_at(self) -> float:
        """Return when `send_gossip` is due, by the monotonic clock."""
        return self._table.next_gossip_at()

    def send_gossip(self, stages: StageController, attempts: AttemptReports) -> None:
        """Send the other members the changes received here since the last call, and the gateways' reports."""
        now = time.monotonic()
        batch = self._table.gossip(now, self._count_gateways())
        stages.add_to_gossip(batch, now)
        attempts.add_to_gossip(batch, now)
        self._links.send_to_group(lambda: PeerFrame(registry=batch))

    def _notify_if_changed(self, version_before: int) -> None:
        if self._table.version != version_before or self._table.urgent:
            self._gateways_outdated()
