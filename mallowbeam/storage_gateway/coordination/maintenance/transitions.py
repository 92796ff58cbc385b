"""Guards of the steps: the requirements of each transition, and the transitions that are due.

`empty` requires a report from *every* gateway whose lease may still be valid, made after the gateway applied
`draining` and listing the machine as empty.  `out` requires a further report from each of them, made after
`empty`.  A gateway that died in between makes no such report, so its lease must be known to have expired
before the machine goes out.
"""

from __future__ import annotations

from mallowbeam.storage_gateway.coordination.maintenance.entries import SelectNext, StatusReport, Transition
from mallowbeam.storage_gateway.coordination.maintenance.fleet_view import FleetView, merge_reports
from mallowbeam.storage_gateway.coordination.maintenance.selection import MachineSelector
from mallowbeam.storage_gateway.coordination.maintenance.state import MachineState, MaintenanceState
from mallowbeam.storage_gateway.coordination.maintenance.steps import RECALLABLE, Step
from mallowbeam.storage_gateway.coordination.replicated_log import Entry

AUTOMATIC_STEPS: dict[Step, Step] = {
    Step.AGREED: Step.DRAINING,
    Step.DRAINING: Step.EMPTY,
    Step.EMPTY: Step.OUT,
    Step.OUT: Step.BACK,
    Step.LOST: Step.BACK,
    Step.BACK: Step.WARMING,
    Step.WARMING: Step.DONE,
}
"""The next step that a machine takes without an operator's request, by its current step."""

CONSTRAINED_STEPS = frozenset({(Step.AGREED, Step.DRAINING), (Step.EMPTY, Step.OUT)})
"""Transitions that require all constraints to be checked again."""


class TransitionGuard:
    """Decides from the replicated state alone whether a machine may take a step."""

    def __init__(self, selector: MachineSelector) -> None:
        self.selector = selector
        self.members = selector.members

    def blocked_reason(
        self, state: MaintenanceState, machine: MachineState, target: Step, view: FleetView | None = None
    ) -> str:
        """The reason why a machine may not take this step now; "" if it may."""
        if target == Step.PROPOSED and machine.step in RECALLABLE:
            return "" if self._constraint(state, machine, view) else "it still fits"
        if (machine.step, target) in CONSTRAINED_STEPS:
            reason = self._constraint(state, machine, view)
            if reason:
                return reason
        return self._requirement(state, machine, target, view)

    def _requirement(
        self, state: MaintenanceState, machine: MachineState, target: Step, view: FleetView | None
    ) -> str:
        """The unmet requirement of the step itself, apart from the constraints; "" if there is none."""
        match machine.step, target:
            case Step.AGREED, Step.DRAINING:
                return self._allotments_reason(state, machine)
            case (Step.DRAINING, Step.EMPTY) | (Step.EMPTY, Step.OUT):
                return self.missing_report(state, machine, Step.EMPTY)
            case ((Step.OUT | Step.LOST), Step.BACK):
                restarted = self._has_restarted(state, machine, view)
                return "" if restarted else "it has not been seen down and up again"
            case Step.BACK, Step.WARMING:
                return ""
            case Step.WARMING, Step.DONE:
                return self.missing_report(state, machine, Step.WARMING)
        return f"no step leads from {machine.step} to {target}"

    def _constraint(self, state: MaintenanceState, machine: MachineState, view: FleetView | None) -> str:
        return self.selector.blocking_reason(state, machine, view or merge_reports(state, self.members))

    def _allotments_reason(self, state: MaintenanceState, machine: MachineState) -> str:
        """The reason if a gateway must still release its quota allotments before it is drained; else ""."""
        if not machine.is_gateway or machine.name in state.expired_gateways:
            return ""
        report = state.reports.get(machine.name)
        if report and report.released_allotments and report.applied_index >= machine.step_index:
            return ""
        return "it has not given up its allotments yet"

    def missing_report(self, state: MaintenanceState, machine: MachineState, step: Step) -> str:
        """Which live gateway has not yet reported the machine as empty (or as warm, for `WARMING`).

        Reports from before the machine's step do not count.  Returns "" if all gateways have reported it.
        """
        since = machine.draining_index if machine.step == Step.DRAINING else machine.step_index
        for name in self.members:
            if name in state.expired_gateways:
                continue
            report = state.reports.get(name)
            if report is None or report.applied_index < since or machine.name not in _reported(report, step):
                condition = "empty" if step == Step.EMPTY else "warm"
                return f"{name} has not said that {machine.name} is {condition}"
        return ""

    def _has_restarted(self, state: MaintenanceState, machine: MachineState, view: FleetView | None) -> bool:
        """Whether reports show that a machine has restarted since it went out of service."""
        if machine.is_gateway:
            report = state.reports.get(machine.name)
            return (
                report is not None
                and machine.name not in state.expired_gateways
                and report.incarnation != machine.incarnation
            )
        node = (view or merge_reports(state, self.members)).nodes.get(machine.name)
        if node is None or not node.up:
            return False
        newly_started = bool(machine.start_count) and node.start_count not in (0, machine.start_count)
        return machine.seen_down or newly_started

    def due(self, state: MaintenanceState) -> list[Entry]:
        """The entries that are due by the state, without those that depend on a clock."""
        if not state.active:
            return []
        view = merge_reports(state, self.members)
        found: list[Entry] = []
        recalls: list[MachineState] = []
        for name in sorted(state.machines):
            machine = state.machines[name]
            if machine.step in RECALLABLE and not self.blocked_reason(state, machine, Step.PROPOSED, view):
                recalls.append(machine)  # it would not be selected in the current state
                continue
            target = AUTOMATIC_STEPS.get(machine.step)
            if target is not None and not self.blocked_reason(state, machine, target, view):
                found.append(Transition(name, target, machine.version))
        if recalls:  # recall only the one selected last, as that may satisfy the constraints
            last = max(recalls, key=lambda machine: (machine.agreed_index, machine.name))
            found.append(Transition(last.name, Step.PROPOSED, last.version))
        elif self.selector.select(state, view).machine is not None:
            found.append(SelectNext(state.selections))
        return found


def _reported(report: StatusReport, step: Step) -> list[str]:
    return report.empty if step == Step.EMPTY else report.warm
