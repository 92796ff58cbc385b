"""Connects the maintenance core to its gateway: executes its actions and passes it observations.

`MaintenanceCore.serves` compares the lease with the clock at each request, not at each tick, so that a
process that was suspended rejects requests even before it has received any log entry.  The core keeps an
operator's report that the work on a machine is done (`PUT /fleet/maintenance/back?NAME`) until it is
committed.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from loguru import logger

from mallowbeam.storage_gateway.coordination.errors import CoordinationError
from mallowbeam.storage_gateway.coordination.maintenance.actions import (
    Action,
    Drain,
    LocalView,
    LogMessage,
    Propose,
    StepDown,
    StepUp,
    Timings,
    Undrain,
    WarmUp,
)
from mallowbeam.storage_gateway.coordination.maintenance.entries import NodeStatus
from mallowbeam.storage_gateway.coordination.maintenance.gateway_core import MaintenanceCore
from mallowbeam.storage_gateway.coordination.maintenance.section import Section
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import (
    MaintenanceStateMachine,
    describe,
)
from mallowbeam.storage_gateway.coordination.maintenance.steps import (
    FINISHED,
    IN_PROGRESS,
    OUT_OF_SERVICE,
    Step,
)
from mallowbeam.storage_gateway.coordination.policy_document import register_section
from mallowbeam.storage_gateway.coordination.replicated_log import Committed
from mallowbeam.storage_gateway.coordination.subsystem import SubsystemContext
from mallowbeam.storage_gateway.operator_settings import MaintenanceSection
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, NodeState

register_section("maintenance", Section)


class MachineNotOutError(CoordinationError):
    """An operator reports work as done on a machine that is not out of service."""

    error_name = "NotOut"
    status = 409
    remedy = "see at /fleet which machines are out, and say so of one of them"


def _start_count(entry: NodeEntry) -> int:
    """Identifies a node's latest start: its time from discovery, in milliseconds; 0 if unknown.

    It is the only evidence of a restart if the node is down for less than most gateways' report interval.
    """
    return round(entry.started_at * 1000) if entry.started_at is not None else 0


class MaintenanceSubsystem:
    """The maintenance subsystem of one gateway.

    Attributes:
        allotment_callbacks: release this gateway's quota allotments when called with True and return
            whether they hold none any more; called with False, they may acquire allotments again.
        warmup_callbacks: receive a cold node and this gateway's share (0 to 1) of the limit for cold
            nodes.
    """

    def __init__(self, context: SubsystemContext, section: MaintenanceSection) -> None:
        self.context = context
        self.state_machine = MaintenanceStateMachine(context.members)
        self.core = MaintenanceCore(
            context.me,
            f"{time.time_ns():x}",
            context.members,
            time.monotonic(),
            Timings(lease_s=section.lease_s, report_s=section.report_s, warmup_s=section.warm_s),
        )
        self.allotment_callbacks: list[Callable[[bool], bool]] = []
        self.warmup_callbacks: list[Callable[[str, float], None]] = []
        self.stepped_down = False
        context.gateway().gates.append(lambda: self.core.serves(time.monotonic()))

    def committed(self, committed: Committed, now: float) -> None:
        """The log has committed an entry of this topic; `now` is the monotonic clock in seconds."""
        self._execute(self.core.committed(committed, now))

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """A marker that this gateway proposed at `proposed_at` was committed."""
        self.core.caught_up(proposed_at)

    def tick(self, now: float) -> None:
        """Pass the gateway's current observations to the core and execute the actions that are due."""
        context = self.context
        nodes = {
            entry.node: NodeStatus(
                entry.zone,
                entry.shard,
                entry.weight,
                entry.state is NodeState.READY,
                context.attempts_at(entry.node),
                start_count=_start_count(entry),
            )
            for entry in context.nodes()
        }
        released = False
        if self.stepped_down:
            # A list, not a generator, so that every callback runs.
            released = all([release(True) for release in self.allotment_callbacks])  # noqa: C419
        leader = context.me if context.leader() else None
        self.core.observe(LocalView(nodes, context.open_requests(), released, leader))
        self._execute(self.core.tick(now))

    def complete_work(self, name: str) -> dict[str, object]:
        """Record an operator's report that the work on a machine is done; returns the response body.

        Raises:
            MachineNotOutError: the machine is not out of service.
        """
        machine = self.core.state.machines.get(name)
        if machine is None or machine.step not in OUT_OF_SERVICE:
            step = machine.step if machine else "no machine of a request"
            raise MachineNotOutError(f"{name!r} is {step}", "maintenance/back")
        self.core.complete_work(name)
        return {"machine": name, "step": machine.step, "told": "back"}

    def describe(self) -> dict[str, object]:
        """Steps, decisions and reasons for the page `/fleet`."""
        return describe(self.state_machine, self.core.state) | {"counted": self.core.serves(time.monotonic())}

    def gauges(self) -> Mapping[str, float]:
        """The number of machines by group of steps; the keys are metric names."""
        steps = [machine.step for machine in self.core.state.machines.values()]
        return {
            "waiting": steps.count(Step.PROPOSED),
            "away": sum(step in IN_PROGRESS for step in steps),
            "lost": steps.count(Step.LOST),
            "over": sum(step in FINISHED for step in steps),
        }

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Propose(entry):
                    self.context.propose(entry)
                case Drain(node):
                    self.context.drain(node, True)
                case Undrain(node):
                    self.context.drain(node, False)
                case WarmUp(node, share):
                    for warmer in self.warmup_callbacks:
                        warmer(node, share)
                case StepDown(reject):
                    self.stepped_down = True
                    self.context.gate(not reject)
                case StepUp():
                    self._step_up()
                case LogMessage(text):
                    logger.bind(maintenance="step").info("maintenance: {}", text)

    def _step_up(self) -> None:
        self.stepped_down = False
        for release in self.allotment_callbacks:
            release(False)
        self.context.gate(True)


def open_subsystem(context: SubsystemContext, section: MaintenanceSection) -> MaintenanceSubsystem:
    """Create the subsystem for a gateway; the coordination service looks this function up by name."""
    return MaintenanceSubsystem(context, section)
