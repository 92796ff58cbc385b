"""Inputs and outputs of one gateway's maintenance core: timings, the local view, and actions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.coordination.maintenance.entries import NodeStatus
from mallowbeam.storage_gateway.coordination.replicated_log import Entry


@dataclass(frozen=True, slots=True)
class Timings:
    """Intervals of the core in seconds; `lease_s` must be the same on all gateways."""

    lease_s: float = 2.0  # a gateway may serve this long after proposing its newest committed report
    max_clock_rate_ratio: float = 1.1  # the clock rates of two gateways differ by less than this factor
    drain_grace_s: float = 0.25  # from a drain until no request can still be on its way to the machine
    report_s: float = 0.5  # between reports while maintenance is active
    idle_report_s: float = 30.0  # between reports while no maintenance is active
    changed_report_s: float = 0.1  # between reports whose content differs
    proposal_timeout_s: float = 1.0  # after this a proposal counts as lost and is repeated
    due_refresh_s: float = 0.2  # between computations of the due entries while only reports are committed
    rank_delay_s: float = 0.5  # extra delay before proposing, for each rank behind the leader
    warmup_s: float = 5.0  # a machine that is back in service counts as cold for this long


@dataclass(frozen=True, slots=True)
class LocalView:
    """The gateway's current observations."""

    nodes: Mapping[str, NodeStatus] = field(default_factory=dict)
    in_flight: int = 0  # requests that the gateway has accepted and not answered
    released_allotments: bool = False  # the gateway uses none of its quota allotments
    leader: str | None = None  # of the replicated log; None if this gateway does not know it
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose this entry to the replicated log; the proposal may be lost."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Drain:
    """Send no new requests to this node."""

    node: str


@dataclass(frozen=True, slots=True)
class Undrain:
    """Send requests to this node again."""

    node: str


@dataclass(frozen=True, slots=True)
class WarmUp:
    """Treat this node as cold; `share` (0 to 1) is this gateway's part of the limit for cold nodes."""

    node: str
    share: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """Take this gateway out of service: release allotments and, if `reject`, accept no requests."""

    reject: bool


@dataclass(frozen=True, slots=True)
class StepUp:
    """Put this gateway back into service."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the operators' log."""

    text: str


Action = Propose | Drain | Undrain | WarmUp | StepDown | StepUp | LogMessage
