"""Constraints on maintenance.

Each constraint returns the reason why a machine may not go out of service now, or "".  are part
of the replicated state, so their wording is the same in all versions of the program.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from mallowbeam.storage_gateway.coordination.maintenance.fleet_view import FleetView
from mallowbeam.storage_gateway.coordination.maintenance.section import Request

Constraint = Callable[[FleetView, str, Request], str]
"""Takes the fleet, a machine's name and a request; returns the reason against it, or ""."""

WEIGHT_FRACTION_TOLERANCE = 1e-9  # for comparisons between fractions of weight
MAX_SHOWN_NAMES = 3  # machines listed by name in a reason


def max_unavailable(view: FleetView, machine: str, request: Request) -> str:
    """At most `at_once` machines are unavailable; lost machines do not count as in progress."""
    competing = sorted(view.competing(machine))
    if len(competing) + 1 <= request.at_once:
        return ""
    return f"{_names_with_verb(competing)} not there, {request.id} allows {request.at_once} at once"


def max_unavailable_in_zone(view: FleetView, machine: str, request: Request) -> str:
    """At most `at_once_zone` machines of the machine's zone are unavailable."""
    zone = view.zone(machine)
    competing = sorted(name for name in view.competing(machine) if view.zone(name) == zone)
    if len(competing) + 1 <= request.at_once_zone:
        return ""
    return (
        f"{_names_with_verb(competing)} not there in zone {zone!r}, "
        f"{request.id} allows {request.at_once_zone} in one zone"
    )


def zone_capacity(view: FleetView, machine: str, request: Request) -> str:
    """At least `zone_floor` of the weight of the machine's zone stays available."""
    node = view.nodes.get(machine)
    if node is None:
        return ""
    group = [name for name, other in view.nodes.items() if other.zone == node.zone]
    remaining = _remaining_weight(view, machine, group)
    return _capacity_reason(f"zone {node.zone!r}", remaining, request.id, request.zone_floor)


def shard_capacity(view: FleetView, machine: str, request: Request) -> str:
    """At least `shard_floor` of the weight of the machine's shard stays available."""
    node = view.nodes.get(machine)
    if node is None:
        return ""
    group = [name for name, other in view.nodes.items() if other.shard == node.shard]
    remaining = _remaining_weight(view, machine, group)
    return _capacity_reason(f"shard {node.shard}", remaining, request.id, request.shard_floor)


def sole_data(view: FleetView, machine: str, request: Request) -> str:
    """Data that no other available node serves stays in service, unless the request says otherwise."""
    node = view.nodes.get(machine)
    if request.sole_data or node is None:
        return ""
    excluded = view.unavailable | {machine}
    has_replica = any(
        other.shard == node.shard and name not in excluded for name, other in view.nodes.items()
    )
    if has_replica and not node.sole_replica:
        return ""
    return f"only {machine} serves {'some of its data' if has_replica else f'shard {node.shard}'}"


def retry_peers(view: FleetView, machine: str, request: Request) -> str:
    """Nodes that serve retries of the same keyed requests are not unavailable together."""
    node = view.nodes.get(machine)
    if not request.repeats or node is None:
        return ""
    for name in sorted(view.unavailable - {machine}):
        other = view.nodes.get(name)
        if other is not None and (
            request.repeats == "all"
            or (request.repeats == "zone" and other.zone == node.zone)
            or (request.repeats == "shard" and other.shard == node.shard)
        ):
            return f"{name} is not there and shares repeats with it ({request.id}: {request.repeats})"
    return ""


def quorum(view: FleetView, machine: str, request: Request) -> str:
    """More than half of the gateways stay available, so that the replicated log keeps its quorum."""
    if machine not in view.members:
        return ""
    unavailable = sorted(name for name in view.members if name in view.unavailable and name != machine)
    if len(unavailable) + 1 <= (len(view.members) - 1) // 2:
        return ""
    return (
        f"{len(unavailable) + 1} of {len(view.members)} gateways would not be there"
        f"{f' ({_names_with_verb(unavailable)} now)' if unavailable else ''}: the log needs more than half"
    )


CONSTRAINTS: tuple[Constraint, ...] = (
    max_unavailable,
    max_unavailable_in_zone,
    zone_capacity,
    shard_capacity,
    sole_data,
    retry_peers,
    quorum,
)
"""All constraints; the first that applies gives the reason, so all versions check them in this order."""

DEFAULT_REMEDY = "lower the constraint that is named"
REMEDIES: Mapping[Constraint, str] = {
    zone_capacity: "lower zone_floor, or add capacity to the zone first",
    shard_capacity: "lower shard_floor, or add capacity to the shard first",
    sole_data: "copy its data elsewhere first, or set sole_data to true and accept that it is not served",
    quorum: "a fleet of three gateways or more can do without one; leave gateways out of the request",
}
"""What an operator can change if a constraint permanently excludes a machine."""


def _capacity_reason(group: str, remaining: float, request_id: str, floor: float) -> str:
    """The reason against a machine if its group would keep less than `floor` of its weight; else ""."""
    if remaining >= floor - WEIGHT_FRACTION_TOLERANCE:
        return ""
    return f"{group} would keep {remaining:.2f} of its capacity, {request_id} wants {floor:.2f}"


def _remaining_weight(view: FleetView, machine: str, group: Sequence[str]) -> float:
    """The fraction of a group's weight that stays available once this machine is out of service.

    It is 1 for a group whose weights sum to zero.
    """
    total = sum(view.nodes[name].weight for name in group)
    if not total > 0:
        return 1.0
    excluded = view.unavailable | {machine}
    return sum(view.nodes[name].weight for name in group if name not in excluded) / total


def _names_with_verb(names: Sequence[str]) -> str:
    text = ", ".join(names[:MAX_SHOWN_NAMES])
    if len(names) > MAX_SHOWN_NAMES:
        text += f" and {len(names) - MAX_SHOWN_NAMES} more"
    return f"{text} {'is' if len(names) == 1 else 'are'}"
