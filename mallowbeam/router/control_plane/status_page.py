"""The member's status: as JSON for operators, as metrics, and as the header of feed frames."""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterator

from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.response_gate import ResponseGate
from mallowbeam.router.feed.publisher import NO_TABLE, MemberStatus
from mallowbeam.router.processes.metrics import Metric
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import DRAINS, ENDED, Instance, Member

MAX_STALENESS_MS = 2**32 - 1  # the largest value of the messages' field
MAX_STALENESS_S = MAX_STALENESS_MS / 1000
STATE_NAMES = {DRAINS: "draining", ENDED: "ended"}


class StatusPage:
    """Collects the status from the member's parts."""

    def __init__(
        self,
        driver: RaftDriver,
        links: PeerLinks,
        table: InstanceTable,
        versions: ConfigurationVersions,
        gate: ResponseGate,
    ) -> None:
        self._driver = driver
        self._links = links
        self._table = table
        self._versions = versions
        self._gate = gate
        self.gateways = 0  # number in the fleet, as last counted

    def write(self) -> bytes:
        """Return the page as encoded JSON; the command line and operators rely on its keys."""
        node = self._driver.node
        own = self._links.own
        page = {
            "member": {
                "id": format_member_id(own.id),
                "address": own.address,
                "control": own.control,
                "zone": own.zone,
            },
            "leader": format_member_id(node.leader_id) if node.leader_id is not None else None,
            "term": node.term,
            "role": node.role.value,
            "silence_ms": to_milliseconds(self._gate.staleness()),
            "out_of_touch": self._gate.is_isolated,
            "commit_index": node.commit_index,
            "applied_index": self._driver.applied_index,
            "members": [self._member(member) for member in node.membership.members],
            "target_voters": node.membership.target_voters,
            "gateways": self.gateways,
            "instances": [
                instance_entry(instance) for instance in self._table.changes_since(NO_TABLE).instances
            ],
            "revision": self._versions.revision,
        }
        return json.dumps(page, separators=(",", ":")).encode()

    def metrics(self) -> Iterator[Metric]:
        """Yield this member's metrics."""
        node = self._driver.node
        yield Metric("mallowbeam_raft_term", node.term, "Term of the replicated group.")
        yield Metric("mallowbeam_raft_leader", int(self._driver.is_leader), "1 at the leader.")
        yield Metric("mallowbeam_raft_commit_index", node.commit_index, "Last committed log index.")
        yield Metric("mallowbeam_raft_applied_index", self._driver.applied_index, "Last applied log index.")
        staleness_help = "Time since a majority was heard of."
        yield Metric(
            "mallowbeam_silence_seconds", min(self._gate.staleness(), MAX_STALENESS_S), staleness_help
        )
        yield Metric("mallowbeam_members", len(node.membership.members), "Members, learners included.")
        yield Metric("mallowbeam_gateways", self.gateways, "Gateways of the fleet.")
        yield Metric("mallowbeam_configuration_revision", self._versions.revision, "Current configuration.")
        instances = self._table.changes_since(NO_TABLE).instances
        states = Counter(STATE_NAMES.get(instance.state, "ready") for instance in instances)
        for state, count in sorted(states.items()):
            yield Metric("mallowbeam_instances", count, "Instances by state.", label=("state", state))

    def feed_status(self) -> MemberStatus:
        """Return the status that feed frames carry besides the configuration and instances."""
        members = sorted(member.address for member in self._driver.node.membership.members)
        allowance = self._gate.feed_allowance()
        return MemberStatus(to_milliseconds(self._gate.staleness()), self.gateways, tuple(members), allowance)

    def other_controls(self) -> list[str]:
        """Return the control addresses of the other members, which may serve a call that is rejected here."""
        members = self._driver.node.membership.members
        return [member.control for member in members if member.control and member.id != self._links.own.id]

    def _member(self, member: Member) -> dict[str, object]:
        own = member.id == self._links.own.id
        contact_s = 0.0 if own else self._links.seconds_since_contact(member.id)
        return {
            "id": format_member_id(member.id),
            "address": member.address,
            "control": member.control,
            "zone": self._links.own.zone if own else self._links.zone(member),
            "voter": member.voter,
            "silence_ms": to_milliseconds(math.inf if contact_s is None else contact_s),
        }


def format_member_id(member: int) -> str:
    """Format a member's id as shown on pages and in logs."""
    return f"{member:016x}"


def to_milliseconds(seconds: float) -> int:
    """Convert seconds to whole milliseconds, at most `MAX_STALENESS_MS`."""
    return int(min(seconds * 1000, MAX_STALENESS_MS))


def instance_entry(instance: Instance) -> dict[str, object]:
    """Return an instance's entry on the page."""
    return {
        "id": instance.id,
        "backend": instance.backend,
        "address": instance.address,
        "zone": instance.zone,
        "state": STATE_NAMES.get(instance.state, "ready"),
        "stage": instance.stage,
    }
