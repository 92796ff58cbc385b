"""The replicated state of maintenance: requests, gateways' reports and each machine's step.

The classes are immutable values without behaviour.  `MachineState.version` counts a machine's steps, so that
an entry proposed for an earlier state is recognised as a duplicate.  Encoded field names are fixed
(`rename`), because states are part of snapshots.
"""

from __future__ import annotations

import msgspec

from mallowbeam.storage_gateway.coordination.maintenance.entries import StatusReport
from mallowbeam.storage_gateway.coordination.maintenance.section import Request
from mallowbeam.storage_gateway.coordination.maintenance.steps import FINISHED, Step

MAX_DECISIONS = 1024  # past decisions kept for `/fleet`; the oldest are dropped


class MachineState(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "machine",
        "is_gateway": "gateway",
        "request_ids": "asked",
        "version": "turn",
        "step_index": "at",
        "agreed_index": "began",
        "draining_index": "drained",
        "reason": "why",
        "start_count": "started",
        "incarnation": "life",
        "withdrawn": "dropped",
        "warmup_shares": "warm",
    },
):
    """One machine under maintenance; each `*_index` is an index of the replicated log."""

    name: str
    is_gateway: bool
    request_ids: tuple[str, ...]
    step: Step = Step.PROPOSED
    version: int = 0
    step_index: int = 0  # the entry that caused this step
    agreed_index: int = 0  # the entry that selected the machine
    draining_index: int = 0  # the entry that started to drain it
    reason: str = ""
    start_count: int = 0  # the node's start when it went out; see `NodeStatus`
    incarnation: str = ""  # the gateway's when it went out
    seen_down: bool = False  # the machine was reported down after it went out
    withdrawn: bool = False  # no request names it any more, so it only returns to service
    warmup_shares: dict[str, float] = {}  # by gateway: its fraction (0 to 1) of the limit for cold nodes


class Decision(msgspec.Struct, frozen=True, rename={"reason": "why"}):
    """A step that was decided, kept for `/fleet`."""

    index: int
    machine: str
    step: Step
    reason: str


class MaintenanceState(
    msgspec.Struct,
    frozen=True,
    rename={
        "machines": "items",
        "expired_gateways": "gone",
        "halted_requests": "stopped",
        "drained_by_policy": "drains",
        "decisions": "order",
        "selections": "turn",
    },
):
    """All that the gateways have agreed on."""

    requests: dict[str, Request] = {}
    machines: dict[str, MachineState] = {}
    reports: dict[str, StatusReport] = {}  # the latest of each gateway
    expired_gateways: frozenset[str] = frozenset()  # gateways whose lease has expired
    halted_requests: dict[str, str] = {}  # requests that start no further machine, and the reason
    drained_by_policy: frozenset[str] = frozenset()  # nodes drained by the policy itself, so unavailable
    decisions: tuple[Decision, ...] = ()
    selections: int = 0

    @property
    def active(self) -> bool:
        """Whether any maintenance is unfinished; waiting machines of halted requests do not count."""
        return any(
            machine.step not in FINISHED and not (machine.step == Step.PROPOSED and self.is_halted(machine))
            for machine in self.machines.values()
        )

    def is_halted(self, machine: MachineState) -> bool:
        """Whether one of the requests that name this machine is halted."""
        return any(request_id in self.halted_requests for request_id in machine.request_ids)
