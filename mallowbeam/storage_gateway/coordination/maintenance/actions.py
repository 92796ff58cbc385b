"""What goes into and comes out of one gateway's maintenance core: settings, its view, and its actions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.coordination.maintenance.entries import NodeStatus
from mallowbeam.storage_gateway.coordination.replicated_log import Entry


@dataclass(frozen=True, slots=True)
class Timings:
    """Intervals of the core, in seconds; `lease_s` is the same on all gateways."""

    lease_s: float = 2.0  # of the policy
    clock_drift: float = 1.1  # by which clocks may differ in rate, as a factor
    drain_grace_s: float = 0.25  # from a drain until nothing is on its way to the machine any more
    report_s: float = 0.5  # between reports while maintenance is active
    idle_report_s: float = 30.0  # the same while it is not
    changed_report_s: float = 0.1  # between reports where the content has changed
    proposal_timeout_s: float = 1.0  # after which a proposal counts as lost
    due_refresh_s: float = 0.2  # between computations of what is due while only reports are committed
    rank_delay_s: float = 0.5  # by which each member waits for the one before it
    warmup_s: float = 5.0  # for which a machine that is back counts as cold


@dataclass(frozen=True, slots=True)
class LocalView:
    """What the gateway sees now."""

    nodes: Mapping[str, NodeStatus] = field(default_factory=dict)
    in_flight: int = 0  # requests that it has accepted and not answered
    released_allotments: bool = False  # it uses none of its quota allotments
    leader: str | None = None  # of the replicated log, where this gateway knows it
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Propose:
    """Put this entry into the log; it may be lost."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Drain:
    """Send nothing new to this node."""

    node: str


@dataclass(frozen=True, slots=True)
class Undrain:
    """Let this node serve again."""

    node: str


@dataclass(frozen=True, slots=True)
class WarmUp:
    """This node is cold: this gateway's share (0 to 1) of the limit for cold nodes."""

    node: str
    share: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """This gateway goes out of service: release allotments, and with `reject` accept no requests either."""

    reject: bool


@dataclass(frozen=True, slots=True)
class StepUp:
    """This gateway serves again."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators' log."""

    text: str


Action = Propose | Drain | Undrain | WarmUp | StepDown | StepUp | LogMessage
