"""Maintenance joined to its gateway: what the core says is done, what is seen here is told to it.

The door is shut by the clock at each request (`serves`), not by a tick: a process that stood still refuses
before it has heard anything.  An operator's word that a machine is back (`PUT /fleet/maintenance/back?NAME`)
is kept here until the log has it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from loguru import logger

from mallowbeam.storage_gateway.coordination.errors import FleetError
from mallowbeam.storage_gateway.coordination.maintenance import core as c
from mallowbeam.storage_gateway.coordination.maintenance.machine import Maintenance, describe
from mallowbeam.storage_gateway.coordination.maintenance.state import AWAY, OVER, NodeFacts, Section
from mallowbeam.storage_gateway.coordination.policy_document import register_section
from mallowbeam.storage_gateway.coordination.replicated_log import Committed
from mallowbeam.storage_gateway.coordination.subsystem import SubsystemContext
from mallowbeam.storage_gateway.operator_settings import MaintenanceSection
from mallowbeam.storage_gateway.scheduler.interface import NodeState

register_section("maintenance", Section)


class NotOut(FleetError):
    """Said to be back, and not out."""

    error_name = "NotOut"
    status = 409
    remedy = "see at /fleet which machines are out, and say so of one of them"


class MaintenanceSubsystem:
    """The subsystem; `allotments` are asked to give up what this gateway holds, and say whether they have."""

    def __init__(self, context: SubsystemContext, section: MaintenanceSection) -> None:
        self.context = context
        self.state_machine = Maintenance(context.members)
        now = time.monotonic()
        self.core = c.MaintenanceCore(
            context.me,
            f"{time.time_ns():x}",
            context.members,
            now,
            c.Times(lease=section.lease_s, report=section.report_s, warm=section.warm_s),
        )
        self.allotments: list[Callable[[bool], bool]] = []
        self.warmers: list[Callable[[str, float], None]] = []
        self.down = False  # it has been told to step down
        context.gateway().gates.append(lambda: self.core.serves(time.monotonic()))

    def committed(self, told: Committed, now: float) -> None:
        """The log's next entry."""
        self._do(self.core.committed(told, now))

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """A mark came back."""
        self.core.mark(proposed_at)

    def tick(self, now: float) -> None:
        """What the gateway sees now, and what is due."""
        context = self.context
        nodes = {
            entry.node: NodeFacts(
                entry.zone, entry.shard, entry.weight, entry.state is NodeState.READY, context.out(entry.node)
            )
            for entry in context.nodes()
        }
        gave_up = self.down and all([give(True) for give in self.allotments])  # noqa: C419 -- each one is asked
        self.core.reports(c.Local(nodes, context.held(), gave_up, context.me if context.leader() else None))
        self._do(self.core.tick(now))

    def asked(self, act: str, what: str) -> dict[str, object]:
        """An operator's word at the page; raises a `FleetError`."""
        item = self.core.state.items.get(what)
        if act != "back" or item is None or item.step not in ("out", "lost"):
            step = item.step if item else "no machine of a request"
            raise NotOut(f"{what!r} is {step}", f"maintenance/{act}")
        self.core.back(what)
        return {"machine": what, "step": item.step, "told": "back"}

    def describe(self) -> dict[str, object]:
        """Steps, order and reasons."""
        return describe(self.state_machine, self.core.state) | {"counted": self.core.serves(time.monotonic())}

    def gauges(self) -> Mapping[str, float]:
        """How many machines are where."""
        items = self.core.state.items.values()
        return {
            "waiting": sum(item.step == "proposed" for item in items),
            "away": sum(item.step in AWAY for item in items),
            "lost": sum(item.step == "lost" for item in items),
            "over": sum(item.step in OVER for item in items),
        }

    def _do(self, actions: list[c.Action]) -> None:
        for action in actions:
            match action:
                case c.Propose(entry):
                    self.context.propose(entry)
                case c.Drain(node):
                    self.context.drain(node, True)
                case c.Undrain(back):
                    self.context.drain(back, False)
                case c.Warm(cold, share):
                    for warm in self.warmers:
                        warm(cold, share)
                case c.StepDown(refuse):
                    self.down = True
                    self.context.gate(not refuse)
                case c.StepUp():
                    self.down = False
                    for give in self.allotments:
                        give(False)
                    self.context.gate(True)
                case c.Note(text):
                    logger.bind(maintenance="step").info("maintenance: {}", text)


def open_subsystem(context: SubsystemContext, section: MaintenanceSection) -> MaintenanceSubsystem:
    """The subsystem on these hands."""
    return MaintenanceSubsystem(context, section)
