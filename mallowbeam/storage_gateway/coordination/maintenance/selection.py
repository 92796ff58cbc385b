"""Selection of the next machine: a pure function of the replicated state.

Candidates are tried in a fixed order, and the first one that satisfies all constraints is selected.  The
constraints apply for each request that names the candidate and each request with a machine in progress.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.coordination.maintenance.constraints import CONSTRAINTS, Constraint
from mallowbeam.storage_gateway.coordination.maintenance.fleet_view import FleetView, merge_reports
from mallowbeam.storage_gateway.coordination.maintenance.section import Request
from mallowbeam.storage_gateway.coordination.maintenance.state import MachineState, MaintenanceState
from mallowbeam.storage_gateway.coordination.maintenance.steps import IN_PROGRESS, Step


@dataclass(frozen=True, slots=True)
class Selection:
    """The selected machine, or None, and the reason."""

    machine: str | None
    reason: str


@dataclass(frozen=True, slots=True)
class MachineSelector:
    """Selects machines under the given constraints; `members` are the fleet's gateways."""

    members: tuple[str, ...]
    constraints: tuple[Constraint, ...] = field(default=CONSTRAINTS)

    def blocking_reason(self, state: MaintenanceState, machine: MachineState, view: FleetView) -> str:
        """The reason why this machine may not be out of service now; "" if it may."""
        view = view.without(machine.name)
        for request in self._applicable_requests(state, machine, view):
            for constraint in self.constraints:
                if reason := constraint(view, machine.name, request):
                    return reason
        return ""

    def _applicable_requests(
        self, state: MaintenanceState, machine: MachineState, view: FleetView
    ) -> list[Request]:
        """The requests that name this machine and those with a machine in progress, sorted by id."""
        ids = set(machine.request_ids)
        for name in view.in_progress:
            ids |= set(state.machines[name].request_ids)
        return [state.requests[request_id] for request_id in sorted(ids) if request_id in state.requests]

    def candidates(self, state: MaintenanceState, view: FleetView) -> list[MachineState]:
        """The machines that wait to be selected, in the order in which they are tried.

        The sort keys, most significant first: nodes before gateways, because the selection depends on
        gateways' reports; zones in which maintenance has begun, so that few zones are disturbed; fewest
        requests in flight, because such a machine is drained soonest; lowest utilization; name.
        """
        begun_zones = {
            view.zone(machine.name)
            for machine in state.machines.values()
            if machine.step in IN_PROGRESS or machine.step == Step.DONE
        }
        waiting = [
            machine
            for machine in state.machines.values()
            if machine.step == Step.PROPOSED and not state.is_halted(machine)
        ]
        return sorted(
            waiting,
            key=lambda machine: (
                machine.is_gateway,
                view.zone(machine.name) not in begun_zones,
                view.in_flight(machine.name),
                round(view.utilization(machine.name), 2),
                machine.name,
            ),
        )

    def select(self, state: MaintenanceState, view: FleetView | None = None) -> Selection:
        """Select the next machine; gateways that have applied the same entries get the same result."""
        view = view or merge_reports(state, self.members)
        candidates = self.candidates(state, view)
        blocked_reasons: list[str] = []
        for machine in candidates:
            if reason := self.blocking_reason(state, machine, view):
                blocked_reasons.append(f"{machine.name} may not go: {reason}")
                continue
            return Selection(
                machine.name, self._selected_reason(machine, view, len(candidates), blocked_reasons)
            )
        if blocked_reasons:
            return Selection(None, f"paused: {blocked_reasons[0]}")
        if state.halted_requests and any(
            machine.step == Step.PROPOSED for machine in state.machines.values()
        ):
            return Selection(None, "stopped: " + "; ".join(state.halted_requests.values()))
        return Selection(None, "nothing waits")

    def _selected_reason(
        self, machine: MachineState, view: FleetView, candidates: int, blocked_reasons: Sequence[str]
    ) -> str:
        if machine.is_gateway:
            preference = "a gateway, as no node may go"
        else:
            preference = (
                f"zone {view.zone(machine.name)!r}, {view.in_flight(machine.name)} attempts out there"
            )
        reason = f"{machine.name} is next of {candidates} that wait: {preference}"
        return f"{reason}; {blocked_reasons[0]}" if blocked_reasons else reason
