"""The replicated state machine of maintenance: applies entries to the state, without clock or I/O.

An entry proposes a step, and the state machine decides from the state alone whether to take it.  So gateways
that propose different steps, or the same step twice, get one result.  After `LeaseExpired` the gateway's
reports are no longer required; its next report reverses that, and an `empty` machine at which it still has
requests in flight goes back to `draining`.

Reasons and rejections are part of the replicated state, so their wording is the same in all versions.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, ClassVar

import msgspec
from msgspec.structs import replace

from mallowbeam.storage_gateway.coordination.maintenance import policy_requests
from mallowbeam.storage_gateway.coordination.maintenance.constraints import CONSTRAINTS, Constraint
from mallowbeam.storage_gateway.coordination.maintenance.entries import (
    MAX_NODES,
    DeadlineExceeded,
    LeaseExpired,
    MaintenanceEntry,
    SelectNext,
    StatusReport,
    Transition,
    WorkCompleted,
)
from mallowbeam.storage_gateway.coordination.maintenance.fleet_view import merge_reports
from mallowbeam.storage_gateway.coordination.maintenance.selection import MachineSelector
from mallowbeam.storage_gateway.coordination.maintenance.state import (
    MAX_DECISIONS,
    Decision,
    MachineState,
    MaintenanceState,
)
from mallowbeam.storage_gateway.coordination.maintenance.steps import IN_PROGRESS, OUT_OF_SERVICE, Step
from mallowbeam.storage_gateway.coordination.maintenance.transitions import TransitionGuard
from mallowbeam.storage_gateway.coordination.replicated_log import Refusal, States

DUPLICATE = Refusal("this step is taken already", "", "nothing: another gateway asked first")


class MaintenanceStateMachine:
    """The topic `maintenance`; `members` are the gateways' names, the same on all gateways."""

    name: ClassVar[str] = "maintenance"
    entries: ClassVar[Any] = MaintenanceEntry
    state: ClassVar[type] = MaintenanceState

    def __init__(
        self,
        members: Sequence[str],
        constraints: tuple[Constraint, ...] = CONSTRAINTS,
        selector: type[MachineSelector] = MachineSelector,
        guard: type[TransitionGuard] = TransitionGuard,
    ) -> None:
        self.members = tuple(sorted(members))
        self.selector = selector(self.members, constraints)
        self.guard = guard(self.selector)

    def start(self) -> MaintenanceState:
        """The state before any entry."""
        return MaintenanceState()

    def apply_policy(self, states: States, index: int, policy: Any) -> MaintenanceState | Refusal:
        """The state under a new policy, or the reason for rejecting the policy."""
        return policy_requests.apply_policy(self.selector, states[self.name], index, policy)

    def apply(self, states: States, index: int, by: str, entry: Any) -> MaintenanceState | Refusal:
        """The state after an entry that gateway `by` proposed, or the reason for ignoring the entry."""
        state: MaintenanceState = states[self.name]
        match entry:
            case StatusReport():
                return self._apply_report(state, index, by, entry)
            case LeaseExpired():
                return self._apply_lease_expired(state, entry)
            case SelectNext(selection):
                return self._apply_select(state, index, selection)
            case DeadlineExceeded(machine, agreed_index):
                return self._apply_deadline(state, index, machine, agreed_index)
            case WorkCompleted(machine):
                return self._apply_work_completed(state, index, machine)
            case Transition():
                return self._apply_transition(state, index, entry)
        raise AssertionError(entry)

    # --- one method for each kind of entry --------------------------------------------------------

    def _apply_report(
        self, state: MaintenanceState, index: int, by: str, report: StatusReport
    ) -> MaintenanceState | Refusal:
        if by not in self.members or len(report.nodes) > MAX_NODES:
            return Refusal(f"a report by {by} of {len(report.nodes)} nodes", by, "the members are fixed")
        previous = state.reports.get(by)
        if previous is not None and not _is_newer(report, previous):
            return Refusal("an older report", by, "nothing: a newer one is here")
        if previous is not None and state.active:
            report = _with_missing_nodes(report, previous)
        after = replace(
            state,
            reports=state.reports | {by: report},
            expired_gateways=state.expired_gateways - {by},
        )
        steps = {machine.step for machine in state.machines.values()}
        if steps.isdisjoint(OUT_OF_SERVICE | {Step.EMPTY}):
            return after
        return self._update_unavailable(after, index, by, report)

    def _update_unavailable(
        self, state: MaintenanceState, index: int, by: str, report: StatusReport
    ) -> MaintenanceState:
        """Apply a report's observations of machines that are out of service or about to go out."""
        view = merge_reports(state, self.members)
        after = state
        for name, machine in state.machines.items():
            node = view.nodes.get(name)
            if machine.step in OUT_OF_SERVICE and not machine.seen_down and node is not None and not node.up:
                after = replace(after, machines=after.machines | {name: replace(machine, seen_down=True)})
            if (
                machine.step == Step.EMPTY
                and name not in report.empty
                and report.applied_index >= machine.draining_index
            ):
                after = self.take_step(after, index, machine, Step.DRAINING, f"{by} has work out there again")
        return after

    def _apply_lease_expired(
        self, state: MaintenanceState, entry: LeaseExpired
    ) -> MaintenanceState | Refusal:
        gateway = entry.gateway
        if gateway not in self.members or gateway in state.expired_gateways:
            return DUPLICATE
        last = state.reports.get(gateway)
        if last is None:
            is_outdated = bool(entry.incarnation)
        else:
            is_outdated = (last.incarnation, last.number) != (entry.incarnation, entry.report_number)
        if is_outdated:
            return Refusal(f"{gateway} has been heard since", gateway, "nothing: it is live")
        return replace(state, expired_gateways=state.expired_gateways | {gateway})

    def _apply_select(
        self, state: MaintenanceState, index: int, selection: int
    ) -> MaintenanceState | Refusal:
        if selection != state.selections:
            return DUPLICATE
        selected = self.selector.select(state)
        if selected.machine is None:
            return Refusal(selected.reason, "", "nothing: the order goes on when it may")
        machine = replace(state.machines[selected.machine], agreed_index=index)
        after = self.take_step(state, index, machine, Step.AGREED, selected.reason)
        return replace(after, selections=state.selections + 1)

    def _apply_deadline(
        self, state: MaintenanceState, index: int, name: str, agreed_index: int
    ) -> MaintenanceState | Refusal:
        machine = state.machines.get(name)
        if machine is None or machine.agreed_index != agreed_index or machine.step not in IN_PROGRESS:
            return DUPLICATE
        reason = f"time is up: {self._overdue_reason(state, machine)}"
        target = Step.LOST if machine.step == Step.OUT else Step.FAILED
        after = self.take_step(state, index, machine, target, reason)
        halted = {
            request_id: f"{name}: {reason}"
            for request_id in machine.request_ids
            if request_id in state.requests and state.requests[request_id].on_time_up == "stop"
        }
        return replace(after, halted_requests=after.halted_requests | halted)

    def _apply_work_completed(
        self, state: MaintenanceState, index: int, name: str
    ) -> MaintenanceState | Refusal:
        machine = state.machines.get(name)
        if machine is None or machine.step not in OUT_OF_SERVICE:
            return Refusal(f"{name} is not out", name, "say so of a machine whose step is out")
        return self.take_step(state, index, machine, Step.BACK, "an operator says that the work is done")

    def _apply_transition(
        self, state: MaintenanceState, index: int, entry: Transition
    ) -> MaintenanceState | Refusal:
        machine = state.machines.get(entry.machine)
        if machine is None or machine.version != entry.version:
            return DUPLICATE
        if reason := self.guard.blocked_reason(state, machine, entry.target):
            return Refusal(reason, entry.machine, "nothing: it is asked for again when it may be")
        return self.take_step(
            state, index, machine, entry.target, self._transition_reason(state, machine, entry.target)
        )

    # --- steps ------------------------------------------------------------------------------------

    def take_step(
        self, state: MaintenanceState, index: int, machine: MachineState, target: Step, reason: str
    ) -> MaintenanceState:
        """The state after a machine has taken a step, including the recorded decision."""
        after = replace(machine, step=target, version=machine.version + 1, step_index=index, reason=reason)
        if target == Step.DRAINING and machine.step == Step.AGREED:
            after = replace(after, draining_index=index)
        if target == Step.OUT:
            after = self._record_going_out(state, after)
        elif target == Step.WARMING:
            after = replace(after, warmup_shares=self._warmup_shares(state, machine))
        elif target == Step.DONE and machine.withdrawn:
            after = replace(after, step=Step.ABORTED)
        decision = Decision(index, machine.name, after.step, reason)
        return replace(
            state,
            machines=state.machines | {machine.name: after},
            decisions=(*state.decisions, decision)[-MAX_DECISIONS:],
        )

    def _record_going_out(self, state: MaintenanceState, machine: MachineState) -> MachineState:
        """Record a machine's start and incarnation when it goes out, to recognise a restart later."""
        node = merge_reports(state, self.members).nodes.get(machine.name)
        report = state.reports.get(machine.name)
        return replace(
            machine,
            start_count=node.start_count if node else 0,
            seen_down=False,
            incarnation=report.incarnation if report else "",
        )

    def _warmup_shares(self, state: MaintenanceState, machine: MachineState) -> dict[str, float]:
        """By live gateway, an equal share of the limit for cold nodes; empty if the machine is a gateway."""
        if machine.is_gateway:
            return {}
        live = [name for name in self.members if name not in state.expired_gateways]
        return {name: 1.0 / len(live) for name in live}

    # --- reasons ----------------------------------------------------------------------------------

    def _overdue_reason(self, state: MaintenanceState, machine: MachineState) -> str:
        default = f"it stood at {machine.step}"
        match machine.step:
            case Step.AGREED:
                return "it never gave up its allotments"
            case Step.DRAINING:
                return self.guard.missing_report(state, machine, Step.EMPTY) or default
            case Step.OUT:
                return "it never came back"
        return default

    def _transition_reason(self, state: MaintenanceState, machine: MachineState, target: Step) -> str:
        match target:
            case Step.PROPOSED:
                view = merge_reports(state, self.members)
                return f"called back: {self.selector.blocking_reason(state, machine, view)}"
            case Step.DRAINING:
                return "agreed in its turn; nothing new goes there"
            case Step.EMPTY:
                expired = ", ".join(sorted(state.expired_gateways))
                suffix = f" (or is gone: {expired})" if expired else ""
                return f"every gateway has said that it has nothing out there{suffix}"
            case Step.OUT:
                return "work may begin"
            case Step.BACK:
                return "it has been seen up again"
            case Step.WARMING:
                return "it serves again, each gateway with its share of the cold bound"
            case Step.DONE:
                return "warm everywhere"
        return f"after {machine.step}"


def _is_newer(report: StatusReport, previous: StatusReport) -> bool:
    return report.incarnation != previous.incarnation or report.number > previous.number


def _with_missing_nodes(report: StatusReport, previous: StatusReport) -> StatusReport:
    """The report, plus the nodes that only the gateway's previous report lists, as down.

    A node that discovery drops while machines are out is lost capacity, so it must count as down instead of
    disappearing.
    """
    missing = {
        name: replace(status, up=False, in_flight=0)
        for name, status in previous.nodes.items()
        if name not in report.nodes
    }
    return replace(report, nodes=dict(report.nodes) | missing) if missing else report


def describe(state_machine: MaintenanceStateMachine, state: MaintenanceState) -> dict[str, Any]:
    """Content of the page `/fleet`: each machine's step, past selections and the next one, with reasons."""
    return {
        "machines": {
            name: {"step": each.step, "why": each.reason, "requests": list(each.request_ids)}
            for name, each in sorted(state.machines.items())
        },
        "order": [
            msgspec.to_builtins(decision) for decision in state.decisions if decision.step == Step.AGREED
        ],
        "next": state_machine.selector.select(state).reason,
        "stopped": dict(state.halted_requests),
        "gone": sorted(state.expired_gateways),
    }
