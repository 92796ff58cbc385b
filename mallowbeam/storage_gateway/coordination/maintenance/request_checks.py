"""Checks that reject a pushed policy's unacceptable maintenance requests.

A request that could never be met is rejected immediately, with a remedy.  Rejections are the same on all
gateways, so their wording is the same in all versions of the program.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence

from msgspec.structs import replace

from mallowbeam.storage_gateway.coordination.maintenance.constraints import DEFAULT_REMEDY, REMEDIES
from mallowbeam.storage_gateway.coordination.maintenance.fleet_view import FleetView
from mallowbeam.storage_gateway.coordination.maintenance.section import Request
from mallowbeam.storage_gateway.coordination.maintenance.selection import MachineSelector
from mallowbeam.storage_gateway.coordination.maintenance.state import MaintenanceState
from mallowbeam.storage_gateway.coordination.replicated_log import Refusal


class RequestChecks:
    """Checks one push against the state and the fleet's view at that moment."""

    def __init__(self, selector: MachineSelector, state: MaintenanceState, view: FleetView) -> None:
        self.selector = selector
        self.state = state
        self.view = view
        self.in_progress = sorted(view.in_progress)

    def rejections(self, requests: Sequence[Request]) -> Iterator[Refusal]:
        """All reasons for rejecting the requests, in a fixed order."""
        for request_id, count in Counter(request.id for request in requests).items():
            if count > 1:
                yield Refusal(
                    f"{count} requests are called {request_id}",
                    f"maintenance.{request_id}",
                    "give each its own id",
                )
        for request in requests:
            yield from self._changed_constraints(request)
            yield from self._too_narrow(request)
            for machine in request.machines:
                yield from self._machine(request, machine)

    def _changed_constraints(self, request: Request) -> Iterator[Refusal]:
        """A request's constraints must not change while one of its machines is in progress."""
        previous = self.state.requests.get(request.id)
        if previous is None or _same_constraints(previous, request):
            return
        machines = self.state.machines
        busy = [name for name in self.in_progress if request.id in machines[name].request_ids]
        if busy:
            yield Refusal(
                f"its constraints can't change while {busy[0]} is {machines[busy[0]].step}",
                f"maintenance.{request.id}",
                "wait until none of its machines is away, or take them back first",
            )

    def _too_narrow(self, request: Request) -> Iterator[Refusal]:
        """A request that adds a machine in progress must allow as many machines as are in progress."""
        joined = [
            name
            for name in self.in_progress
            if name in request.machines and request.id not in self.state.machines[name].request_ids
        ]
        if not joined:
            return
        zones = Counter(self.view.zone(name) for name in self.in_progress)
        if len(self.in_progress) > request.at_once or max(zones.values()) > request.at_once_zone:
            yield Refusal(
                f"{joined[0]} is away for another request, with {len(self.in_progress) - 1} more; this one "
                f"allows {request.at_once} at once and {request.at_once_zone} in one zone",
                f"maintenance.{request.id}",
                "raise at_once and at_once_zone, or push it when the other request is done",
            )

    def _machine(self, request: Request, machine: str) -> Iterator[Refusal]:
        """A machine must be known, not be both node and gateway, and be able to go out of service."""
        where = f"maintenance.{request.id}.{machine}"
        is_node = machine in self.view.nodes
        is_gateway = machine in self.selector.members
        if is_node and is_gateway:
            yield Refusal("a node and a gateway have this name", where, "rename one of them")
        elif self._accepted_before(request, machine):
            return
        elif not is_node and not is_gateway:
            yield Refusal(
                "no live gateway lists it, and it is no gateway"
                if self.state.reports
                else "no gateway has said yet which nodes it lists",
                where,
                "see that its name is that of discovery and that it is listed, and push again",
            )
        else:
            yield from self._never_possible(request, machine, where)

    def _accepted_before(self, request: Request, machine: str) -> bool:
        previous = self.state.requests.get(request.id)
        return previous is not None and machine in previous.machines and _same_constraints(previous, request)

    def _never_possible(self, request: Request, machine: str, where: str) -> Iterator[Refusal]:
        """Constraints that exclude the machine even while all other machines are available."""
        all_available = FleetView(self.view.nodes, self.view.zones, self.view.members)
        for constraint in self.selector.constraints:
            if reason := constraint(all_available, machine, request):
                yield Refusal(f"it could never go: {reason}", where, REMEDIES.get(constraint, DEFAULT_REMEDY))


def _same_constraints(one: Request, other: Request) -> bool:
    return replace(one, machines=()) == replace(other, machines=())
