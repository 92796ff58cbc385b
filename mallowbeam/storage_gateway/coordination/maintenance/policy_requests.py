"""Merges a pushed policy's maintenance requests into the state.

A machine that two requests name goes out of service once for both, under the constraints of both.  A machine
that no request names any more returns to service: if its maintenance has not begun it is dropped, before
`out` it is aborted, and after that it only takes the steps back into service.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from msgspec.structs import replace

from mallowbeam.storage_gateway.coordination.maintenance.fleet_view import merge_reports
from mallowbeam.storage_gateway.coordination.maintenance.request_checks import RequestChecks
from mallowbeam.storage_gateway.coordination.maintenance.section import Request, read_section
from mallowbeam.storage_gateway.coordination.maintenance.selection import MachineSelector
from mallowbeam.storage_gateway.coordination.maintenance.state import (
    MAX_DECISIONS,
    Decision,
    MachineState,
    MaintenanceState,
)
from mallowbeam.storage_gateway.coordination.maintenance.steps import FINISHED, RECALLABLE, Step
from mallowbeam.storage_gateway.coordination.replicated_log import Refusal


def apply_policy(
    selector: MachineSelector, state: MaintenanceState, index: int, policy: Any
) -> MaintenanceState | Refusal:
    """The state under this policy, or the reason for rejecting the policy."""
    try:
        requests = read_section(policy).requests
    except msgspec.ValidationError as error:
        return Refusal(str(error), "maintenance", "put it right as docs/maintenance.md says, and push again")
    checks = RequestChecks(selector, state, merge_reports(state, selector.members))
    rejection = next(checks.rejections(requests), None)
    if rejection is not None:
        return rejection
    return _merge(selector.members, state, index, requests, _drained_nodes(policy))


def _merge(
    members: tuple[str, ...],
    state: MaintenanceState,
    index: int,
    requests: tuple[Request, ...],
    drained_nodes: Iterable[str],
) -> MaintenanceState:
    by_id = {request.id: request for request in requests}
    named = _request_ids_by_machine(requests)
    machines = {
        name: _requested(members, state.machines.get(name), name, ids, index) for name, ids in named.items()
    }
    decisions: list[Decision] = []
    for name, machine in state.machines.items():
        if name in named or machine.step in FINISHED or machine.step == Step.PROPOSED:
            continue
        machines[name], decision = _withdrawn(machine, index)
        decisions.append(decision)
    return replace(
        state,
        requests=by_id | _still_applicable(state, by_id, machines),
        machines=machines,
        halted_requests={
            request_id: reason for request_id, reason in state.halted_requests.items() if request_id in by_id
        },
        drained_by_policy=frozenset(drained_nodes),
        decisions=(*state.decisions, *decisions)[-MAX_DECISIONS:],
    )


def _drained_nodes(policy: Any) -> Iterable[str]:
    names: Iterable[str] = policy.get("drains", ()) if isinstance(policy, dict) else policy.drains
    return names


def _request_ids_by_machine(requests: Iterable[Request]) -> dict[str, tuple[str, ...]]:
    found: dict[str, tuple[str, ...]] = {}
    for request in requests:
        for machine in dict.fromkeys(request.machines):
            found[machine] = (*found.get(machine, ()), request.id)
    return found


def _requested(
    members: tuple[str, ...],
    machine: MachineState | None,
    name: str,
    request_ids: tuple[str, ...],
    index: int,
) -> MachineState:
    """A machine that the policy names: it continues at its step, or starts over for a new request."""
    starts_over = (
        machine is None
        or machine.step == Step.ABORTED
        or (machine.step in FINISHED and not set(request_ids) <= set(machine.request_ids))
    )
    if machine is None or starts_over:
        machine = MachineState(
            name,
            name in members,
            request_ids,
            version=machine.version + 1 if machine else 0,
            step_index=index,
            reason=f"asked for by {', '.join(request_ids)}",
        )
    return replace(machine, request_ids=request_ids, withdrawn=False)


def _withdrawn(machine: MachineState, index: int) -> tuple[MachineState, Decision]:
    """A machine in progress that no request names any more, and the decision to be recorded."""
    if machine.step in RECALLABLE:  # it has not gone out of service, so it stays in service
        aborted = replace(
            machine,
            step=Step.ABORTED,
            version=machine.version + 1,
            step_index=index,
            reason="taken back",
        )
        reason = "its request was taken back before it was out"
        return aborted, Decision(index, machine.name, Step.ABORTED, reason)
    reason = "its request was taken back: it only comes back"
    return replace(machine, withdrawn=True), Decision(index, machine.name, machine.step, reason)


def _still_applicable(
    state: MaintenanceState, by_id: Mapping[str, Request], machines: Mapping[str, MachineState]
) -> dict[str, Request]:
    """Withdrawn requests whose constraints still apply until their machines are back in service."""
    return {
        request_id: request
        for request_id, request in state.requests.items()
        if request_id not in by_id
        and any(machine.withdrawn and request_id in machine.request_ids for machine in machines.values())
    }
