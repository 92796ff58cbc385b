"""Instances: their heartbeats and ends as callers bring them, what other members pass on, expiry.

What is soft is known here and passed on at once; only a retirement goes through the log before it is
acknowledged.
"""

from __future__ import annotations

import time
from collections.abc import Callable
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

OUT_OF_TOUCH = 1.0  # seconds unheard after which another member, or the group, is out of touch


class InstanceService:
    """Joins the table with the log and the other members."""

    def __init__(
        self,
        table: InstanceTable,
        retirements: Retirements,
        commands: CommandForwarder,
        links: PeerLinks,
        changed: Callable[[], None],
        gateways: Callable[[], int],
        gate: ResponseGate,
        random: Random,
    ) -> None:
        """`changed` is called when gateways must learn of something.

        `gateways` counts those that follow this member.
        """
        self._table, self._retirements, self._commands = table, retirements, commands
        self._links, self._changed, self._random = links, changed, random
        self._gateways, self._gate = gateways, gate
        self.gateway_counts = GatewayCounts()

    # ------------------------------------------------------------ calls

    async def heartbeat(self, instance: Instance, since: float) -> None:
        """Take a heartbeat; returns once it may be acknowledged, raises as `Commands.submit`.

        A member that is out of touch with the group takes it and raises `IsolatedMemberError`, so that the
        instance turns to another member.
        """
        draining = instance.state == DRAINS
        before = self._table.version
        self._table.receive_heartbeat(instance, time.monotonic())
        self._tell(before)
        if draining:
            await self._retire(instance.id, DRAINING, since)
        else:
            self._gate.check(ResponseKind.HEARTBEAT_ACKNOWLEDGED)

    async def delete(self, id: str, since: float) -> None:
        """An instance has ended; returns once that may be acknowledged, raises as `Commands.submit`."""
        self.retired(RetireInstance(id=id, kind=GONE), announce=True)
        await self._retire(id, GONE, since)

    async def _retire(self, id: str, kind: RetirementKind, since: float) -> None:
        """Have the log hold a retirement, unless this member has applied it, or one that says more."""
        if self._retirements.kind(id) in (kind, GONE):
            self._gate.check(ResponseKind.RETIREMENT_KNOWN)
            return
        self._gate.check_reachable()
        command = Command(retire_instance=RetireInstance(id=id, kind=kind))
        outcome = await self._commands.submit(command, since)
        self._gate.check(ResponseKind.RETIREMENT_ACKNOWLEDGED, AppliedEntry(outcome.index))

    # ------------------------------------------------------------ from the log and from other members

    def retired(self, retirement: RetireInstance, announce: bool = False) -> None:
        """A retirement, from the log or, with `announce`, from a call."""
        before = self._table.version
        self._table.retire(retirement.id, retirement.kind, time.monotonic(), announce)
        self._tell(before)

    def gossip(self, sender: int, gossip: RegistryGossip) -> None:
        """What another member passes on."""
        now = time.monotonic()
        self.gateway_counts.record(sender, gossip.gateways, now)
        if gossip.wants_whole:
            self._links.send(sender, PeerFrame(registry=self._table.full_gossip(now, self._gateways())))
        before = self._table.version
        self._table.merge(gossip, now)
        self._tell(before)

    # ------------------------------------------------------------ time

    def link_lost(self) -> None:
        """Another member's connection ended: what was under way on it is asked for again."""
        self._table.link_lost(time.monotonic())

    def look(self, members: list[int]) -> None:
        """Let time pass; to be called several times a second with the ids of the other members."""
        now = time.monotonic()
        if self._gate.silence() > OUT_OF_TOUCH:
            self._table.mark_isolated(now)
        before = self._table.version
        self._table.expire(now)
        self._tell(before)
        missing = [member for member in members if (self._links.silence(member) or 0.0) > OUT_OF_TOUCH]
        reachable = [member for member in members if member not in missing]
        if reachable and self._table.should_request_full_gossip(now, links_missing=bool(missing)):
            asked = self._random.choice(reachable)
            question = RegistryGossip(wants_whole=True, gateways=self._gateways())
            self._links.send(asked, PeerFrame(registry=question))

    def gossip_at(self) -> float:
        """When `pass_on` is due, by the steady clock."""
        return self._table.gossip_at()

    def pass_on(self, stages: StageController, attempts: AttemptReports) -> None:
        """Tell the other members what came in here since the last time, and what the gateways say."""
        now = time.monotonic()
        batch = self._table.gossip(now, self._gateways())
        stages.tell(batch, now)
        attempts.tell(batch, now)
        self._links.send_to_group(lambda: PeerFrame(registry=batch))

    def _tell(self, version_before: int) -> None:
        if self._table.version != version_before or self._table.urgent:
            self._changed()
