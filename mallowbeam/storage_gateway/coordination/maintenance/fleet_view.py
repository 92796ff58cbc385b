"""The fleet's view, merged from the reports of all gateways with a valid lease.

A node's zone, shard and weight are the values that most gateways report.  A node is down if at least half of
the gateways that list it report it as down.  Its requests in flight are the sum over all gateways.  All
gateways compute the same view from the same state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from mallowbeam.storage_gateway.coordination.maintenance.entries import NodeStatus, StatusReport
from mallowbeam.storage_gateway.coordination.maintenance.state import MaintenanceState
from mallowbeam.storage_gateway.coordination.maintenance.steps import IN_PROGRESS, Step

Value = TypeVar("Value", int, tuple[str, int, float])


@dataclass(frozen=True, slots=True)
class FleetView:
    """Nodes and gateways, and the reasons why some are unavailable."""

    nodes: dict[str, NodeStatus]
    zones: dict[str, str]  # by name of a node or gateway
    members: tuple[str, ...]  # the gateways
    in_progress: frozenset[str] = frozenset()  # under maintenance
    down: frozenset[str] = frozenset()  # failed, or drained by the policy
    lost: frozenset[str] = frozenset()  # out of service past their deadline

    @property
    def unavailable(self) -> frozenset[str]:
        """All machines that are out of service."""
        return self.in_progress | self.down | self.lost

    def competing(self, machine: str) -> set[str]:
        """Machines that count against the limit on machines out at once: those in progress and failed ones.

        Failed machines count only against machines of their own kind: a gateway that is down takes no
        capacity from the nodes and must not block their maintenance.
        """
        is_gateway = machine in self.members
        failed = {name for name in self.down if (name in self.members) == is_gateway}
        return set(self.in_progress | failed) - {machine}

    def without(self, machine: str) -> FleetView:
        """The same view with this machine not counted as unavailable."""
        return replace(self, in_progress=self.in_progress - {machine}, down=self.down - {machine})

    def zone(self, machine: str) -> str:
        """A machine's zone; empty if no gateway reports it."""
        return self.zones.get(machine, "")

    def in_flight(self, machine: str) -> int:
        """Requests of all gateways in flight at a node; 0 for a gateway."""
        node = self.nodes.get(machine)
        return node.in_flight if node is not None else 0

    def utilization(self, machine: str) -> float:
        """A node's highest reported utilization; 0 for a gateway."""
        node = self.nodes.get(machine)
        return node.utilization if node is not None else 0.0


def merge_reports(state: MaintenanceState, members: Sequence[str]) -> FleetView:
    """Merge the latest reports; reports of expired gateways count only if all gateways are expired."""
    statuses: dict[str, list[NodeStatus]] = {}
    for report in _counted_reports(state):
        for name, status in report.nodes.items():
            statuses.setdefault(name, []).append(status)
    nodes = {name: _merge_statuses(each) for name, each in statuses.items()}
    zones = {name: status.zone for name, status in nodes.items()}
    zones |= {name: report.zone for name, report in state.reports.items()}
    machines = state.machines.values()
    in_progress = frozenset(machine.name for machine in machines if machine.step in IN_PROGRESS)
    lost = frozenset(machine.name for machine in machines if machine.step == Step.LOST)
    down = _down_nodes(state, nodes) | _down_gateways(state, members)
    return FleetView(nodes, zones, tuple(members), in_progress, frozenset(down) - in_progress - lost, lost)


def _counted_reports(state: MaintenanceState) -> Iterable[StatusReport]:
    live = [state.reports[name] for name in sorted(state.reports) if name not in state.expired_gateways]
    return live or state.reports.values()


def _down_nodes(state: MaintenanceState, nodes: Mapping[str, NodeStatus]) -> set[str]:
    return {name for name, status in nodes.items() if not status.up or name in state.drained_by_policy}


def _down_gateways(state: MaintenanceState, members: Sequence[str]) -> set[str]:
    return {name for name in members if name in state.expired_gateways or name not in state.reports}


def _merge_statuses(statuses: list[NodeStatus]) -> NodeStatus:
    zone, shard, weight = _most_common([(each.zone, each.shard, each.weight) for each in statuses])
    return NodeStatus(
        zone,
        shard,
        weight,
        up=sum([each.up for each in statuses]) * 2 > len(statuses),
        in_flight=sum([each.in_flight for each in statuses]),
        utilization=max([each.utilization for each in statuses]),
        sole_replica=True in [each.sole_replica for each in statuses],
        start_count=_most_common([each.start_count for each in statuses]),
    )


def _most_common(values: list[Value]) -> Value:
    """The most frequent value; the smallest of a tie, so that all gateways choose the same one."""
    distinct = set(values)
    if len(distinct) == 1:
        return values[0]
    counts = Counter(values)
    highest = max(counts.values())
    return min(value for value in distinct if counts[value] == highest)
