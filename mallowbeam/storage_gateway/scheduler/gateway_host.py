"""Adapter between the gateway and the scheduler: method calls in, `Orders` out.

It hides the scheduler's events and actions from network code.  It takes no decisions and reads no clock:
every call is given the time, in seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    Fail,
    NodeEntry,
    NodeState,
    OperatorOverride,
    Outcome,
    Plan,
    PlanChanged,
    Reject,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    SiblingSend,
    StreamStarted,
    TimerFired,
    UploadProgress,
    WatchNodes,
)
from mallowbeam.storage_gateway.scheduler.volumes import VolumeKey, shard_of

NEVER = float("inf")
MAX_ALLOTMENTS = 20_000  # plans and allotments together, about 10 MB; further ones are rejected


class InvalidPlanError(MallowbeamError):
    """A plan or an allotment that the scheduler can't enforce."""

    error_name = "BadPlan"
    remedy = "Give figures of 0 or more, a part from 0 to 1, and a volume with each shard."


class TooManyAllotmentsError(MallowbeamError):
    """The gateway keeps no further allotment."""

    error_name = "TooManyAllotments"
    remedy = "Take back allotments that are not needed (their plan's own figures, no part)."


class AttemptOrder(NamedTuple):
    """An attempt to start now; `timeout` is how long to wait for its answer, in seconds."""

    request: str
    number: int
    node: str
    timeout: float | None


class FinalAnswer(NamedTuple):
    """The final answer to a request that no node answered; `retry_after` in seconds."""

    request: str
    rejected: bool  # True: it was not run, a retry is harmless; False: it failed
    retry_after: float | None


@dataclass(slots=True)
class Orders:
    """What the gateway must do after a call."""

    attempts: list[AttemptOrder] = field(default_factory=list)
    cancellations: list[tuple[str, int]] = field(default_factory=list)  # request, number of the attempt
    final_answers: list[FinalAnswer] = field(default_factory=list)
    watch_nodes: bool = False  # start a watch on the list of nodes


class SchedulerHost:
    """One gateway's scheduler.

    It owns the attempt numbers and the time of the next `tick`; the scheduler owns everything else.
    """

    def __init__(self, settings: Settings, now: float) -> None:
        self._scheduler = Scheduler(settings, now)
        self._attempts: dict[str, int] = {}  # attempts so far of each request without a final answer
        self.wake_at = NEVER  # when `tick` is due

    def knows(self, request: str) -> bool:
        """Whether a request id is in use, by an unanswered request or by an attempt in flight."""
        return request in self._scheduler.state.requests

    @property
    def nodes_open(self) -> int:
        """Number of nodes that accept new work."""
        return len(self._scheduler.state.open_nodes)

    @property
    def nodes_listed(self) -> int:
        """Number of nodes that discovery lists, in any state."""
        return sum(node.state is not NodeState.REMOVED for node in self._scheduler.state.nodes.values())

    @property
    def nodes_unavailable(self) -> int:
        """Number of listed nodes that get no new work, or only trial requests."""
        return sum(
            node.state is not NodeState.REMOVED and (not node.open or node.suspect or node.failing)
            for node in self._scheduler.state.nodes.values()
        )

    def request_arrived(self, now: float, request: str, **fields: Any) -> Orders:
        """Hand over a new request; the fields are those of `interface.RequestArrived`."""
        self._attempts[request] = 0
        return self._step(now, RequestArrived(request, **fields))

    def report(
        self,
        now: float,
        attempt: AttemptOrder,
        outcome: Outcome,
        latency: float,
        usage: tuple[float | None, int] = (None, 0),
    ) -> Orders:
        """Report that an attempt ended; with `Outcome.OK` its answer goes to the client.

        `usage` is the volume's use as the answer reports it: `AttemptEnded.usage_ratio` and `remote_units`.
        """
        if outcome is Outcome.OK:
            self._attempts.pop(attempt.request, None)
        finished = attempt.request not in self._attempts
        return self._step(
            now,
            AttemptEnded(
                attempt.request, attempt.number, attempt.node, outcome, latency, finished, usage[0], usage[1]
            ),
        )

    def may_begin(self, now: float, attempt: AttemptOrder) -> bool:
        """Whether an attempt may send its first byte; to be asked once, when its connection is up."""
        return self._scheduler.may_begin(now, attempt.request, attempt.number)

    def stream_started(self, now: float, attempt: AttemptOrder, latency: float) -> Orders:
        """Report that a streamed answer has begun: the request is answered, the attempt still in flight."""
        self._attempts.pop(attempt.request, None)
        return self._step(now, StreamStarted(attempt.request, attempt.number, attempt.node, latency))

    def upload_progress(self, now: float, attempt: AttemptOrder, time_left: float | None) -> Orders:
        """Report that a large body is being forwarded; with `time_left` (seconds), that all of it is sent."""
        return self._step(now, UploadProgress(attempt.request, attempt.number, time_left))

    def client_disconnected(self, now: float, request: str) -> Orders:
        """Report that the client of a request no longer waits."""
        self._attempts.pop(request, None)
        return self._step(now, ClientDisconnected(request))

    def update_nodes(
        self,
        now: float,
        kind: DiscoveryUpdateKind,
        version: int = 0,
        entries: list[NodeEntry] | None = None,
    ) -> Orders:
        """Report a list from discovery, or the failure to get one."""
        return self._step(now, DiscoveryUpdate(kind, version, entries or []))

    def override_node(self, now: float, node: str, disabled: bool, listed: bool = True) -> Orders | None:
        """Disable a node on an operator's request, or enable it again.

        Returns None and does nothing where the node is neither listed nor disabled, unless `listed` is False.
        """
        known = self._scheduler.state.nodes.get(node)
        is_listed = known is not None and known.state is not NodeState.REMOVED
        if listed and not is_listed and node not in self._scheduler.state.disabled_nodes:
            return None
        return self._step(now, OperatorOverride(node, disabled))

    def sibling_sent(self, now: float, event: SiblingSend) -> Orders:
        """Count units that another process of this host sent to a node."""
        return self._step(now, event)

    def change_plan(
        self,
        now: float,
        plan: Plan,
        volume: str = "",
        shard: int | None = None,
        limit_share: float | None = None,
    ) -> Orders:
        """Apply a plan to all volumes on it, or as an allotment of one volume: see `interface.PlanChanged`.

        Raises:
            InvalidPlanError: a value is out of range, or a shard is given without a volume.
            TooManyAllotmentsError: it is a new allotment, and `MAX_ALLOTMENTS` are already kept.

        In both cases nothing has changed.
        """
        figures = (plan.reserve, plan.weight, plan.price, plan.limit, plan.limit_burst, plan.limit_slack)
        if not all(0 <= value < NEVER for value in figures) or not 0 <= (limit_share or 0.0) <= 1:
            raise InvalidPlanError(
                "a value is negative or infinite, or the limit share is not from 0 to 1", f"plan {plan.name}"
            )
        if shard is not None and not volume:
            raise InvalidPlanError("an allotment for a shard names no volume", f"plan {plan.name}")
        known = self._scheduler.volumes.plans
        key: VolumeKey = (volume, plan.name) if shard is None else (volume, plan.name, shard)
        if key not in known and len(known) >= MAX_ALLOTMENTS:
            raise TooManyAllotmentsError(
                f"{MAX_ALLOTMENTS} plans and allotments are already kept", f"volume {volume}"
            )
        return self._step(now, PlanChanged(plan, volume, shard, limit_share))

    def node_entries(self, now: float) -> list[NodeEntry]:
        """The current list of nodes; for a node that is warming up, with its known or assumed start time."""
        return [
            NodeEntry(
                node.id,
                node.state,
                node.shard,
                node.zone,
                node.slow_start_from if now < node.slow_start_until else node.started_at,
            )
            for node in self._scheduler.state.nodes.values()
            if node.state is not NodeState.REMOVED
        ]

    def export_state(self, now: float) -> dict[str, object]:
        """The state that this host's next process needs to decide as this one would, in plain values.

        The keys and the plans' field names are a format that processes of different versions exchange.
        Allotments for one shard are included, but not the levels of their limits: the successor starts those
        empty.
        """
        scheduler = self._scheduler
        return {
            "out": scheduler.state.disabled_nodes,
            "plans": self._changed_plans(),
            "stores": self._limit_levels(now),
            "cold": [
                [node.id, sum(send.units for send in node.slow_start_sends)]
                for node in scheduler.state.nodes.values()
                if node.slow_start_sends
            ],
        }

    def _changed_plans(self) -> list[list[object]]:
        """Allotments, and plans that differ from the settings: volume, fields, shard, this host's share."""
        configured = self._scheduler.state.settings.plans
        return [
            [key[0], asdict(plan), shard_of(key), limit_share]
            for key, (plan, limit_share) in self._scheduler.volumes.plans.items()
            if key[0] or limit_share is not None or plan != configured.get(key[1])
        ]

    def _limit_levels(self, now: float) -> list[list[object]]:
        """The limits' token buckets, refilled up to now: volume, plan, hosts, level."""
        levels: list[list[object]] = []
        for key, volume in self._scheduler.volumes.by_key.items():
            if volume.plan.limit > 0 and shard_of(key) is None:
                volume.refill(now)
                levels.append([key[0], key[1], volume.hosts, volume.limit_level])
        return levels

    def import_state(self, now: float, state: dict[str, Any]) -> None:
        """Restore the state of this host's previous process (`export_state`); the nodes must be known."""
        for node, disabled_at in state["out"].items():
            self._step(now, OperatorOverride(node, True, disabled_at))
        for volume, figures, shard, limit_share in state.get("plans", ()):
            self._step(now, PlanChanged(Plan(**figures), volume, shard, limit_share))
        for volume, plan, hosts, level in state["stores"]:
            self._step(now, SiblingSend(volume, plan, hosts, limit_level=level))
        for node, units in state["cold"]:
            self._step(now, SiblingSend("", "", 1, node, units))

    def accepts_work(self, node: str) -> bool:
        """Whether new work may now go to a node."""
        known = self._scheduler.state.nodes.get(node)
        return known is not None and known.open

    def attempts_at(self, node: str) -> int:
        """Number of attempts in flight at a node."""
        known = self._scheduler.state.nodes.get(node)
        return len(known.in_flight) if known is not None else 0

    def tick(self, now: float) -> Orders:
        """Fire the timer; does nothing before `wake_at`, as the scheduler relies on its last timer."""
        if now < self.wake_at:
            return Orders()
        self.wake_at = NEVER
        return self._step(now, TimerFired(0))

    def _step(self, now: float, event: Event) -> Orders:
        """Feed one event, and translate the scheduler's actions."""
        orders = Orders()
        for action in self._scheduler.step(now, [event]):
            match action:
                case Send(request, node, timeout):
                    orders.attempts.append(AttemptOrder(request, self._attempts[request], node, timeout))
                    self._attempts[request] += 1
                case Cancel(request, attempt):
                    orders.cancellations.append((request, attempt))
                case Reject(request, retry_after):
                    self._attempts.pop(request, None)
                    orders.final_answers.append(FinalAnswer(request, True, retry_after))
                case Fail(request):
                    self._attempts.pop(request, None)
                    orders.final_answers.append(FinalAnswer(request, False, None))
                case SetTimer(at):
                    self.wake_at = min(self.wake_at, at)
                case WatchNodes(active):
                    orders.watch_nodes = active
                case _:
                    raise TypeError(f"the gateway does not support this action: {action}")
        return orders
