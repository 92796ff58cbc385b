"""The decision module in blocking style: `pick`, `report`, `tick`.

Network code calls these and gets `Orders`, plain values, at once; it never sees the module's events or
actions.  Nothing is decided here, and the clock is handed in with every call.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import NamedTuple

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

NEVER = float("inf")
GONE = NodeState.REMOVED
MOST_ALLOTMENTS = 20_000  # plans and allotments held at once, some 10 MB: a new one past that is refused


class BadPlan(MallowbeamError):
    """A plan or an allotment that the module can't hold to."""

    error_name = "BadPlan"
    remedy = "Give figures of 0 or more, a part from 0 to 1, and a volume with each shard."


class TooManyAllotments(MallowbeamError):
    """More allotments than a gateway keeps."""

    error_name = "TooManyAllotments"
    remedy = "Take back allotments that are not needed (their plan's own figures, no part)."


class Try(NamedTuple):
    """Send a request to a node now, and stop waiting after `timeout` seconds."""

    request: str
    number: int
    node: str
    timeout: float | None


class Verdict(NamedTuple):
    """The final answer of a request that no node served."""

    request: str
    refused: bool
    retry_after: float | None


@dataclass(slots=True)
class Orders:
    """What is to be done now."""

    tries: list[Try] = field(default_factory=list)
    cancels: list[tuple[str, int]] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    watch: bool = False  # begin a watch on the list of nodes


class Facade:
    """One host's decisions, called from network code."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._scheduler = Scheduler(settings, now)
        self._attempts: dict[str, int] = {}  # requests that are not over: attempts so far
        self.wake = NEVER  # when `tick` is due

    def knows(self, request: str) -> bool:
        """Whether this id is in use: held, or over with an attempt still out."""
        return request in self._scheduler.requests

    @property
    def nodes_open(self) -> int:
        """How many nodes take new work, as discovery last said."""
        return len(self._scheduler.open)

    @property
    def nodes_listed(self) -> int:
        """How many nodes discovery lists, in whatever state."""
        return sum(node.state is not GONE for node in self._scheduler.nodes.values())

    @property
    def nodes_avoided(self) -> int:
        """How many of them get no new work now, or next to none."""
        return sum(
            node.state is not GONE and (not node.open or node.suspect or node.fails)
            for node in self._scheduler.nodes.values()
        )

    def pick(self, now: float, request: str, **fields) -> Orders:
        """A request has come; the fields are those of `interface.RequestArrived`."""
        self._attempts[request] = 0
        return self._step(now, RequestArrived(request, **fields))

    def report(
        self,
        now: float,
        tried: Try,
        outcome: Outcome,
        latency: float,
        used: float | None = None,
        elsewhere: int = 0,
    ) -> Orders:
        """An attempt has ended; `OK` means that its answer goes to the client."""
        if outcome is Outcome.OK:
            self._attempts.pop(tried.request, None)
        return self._step(
            now,
            AttemptEnded(
                tried.request,
                tried.number,
                tried.node,
                outcome,
                latency,
                tried.request not in self._attempts,
                used,
                elsewhere,
            ),
        )

    def may_begin(self, now: float, tried: Try) -> bool:
        """Whether an attempt's first byte may go out, its connection being up; asked once, just before."""
        return self._scheduler.may_begin(now, tried.request, tried.number)

    def begun(self, now: float, tried: Try, latency: float) -> Orders:
        """A streamed answer has begun: the request is over but for the rest of this attempt."""
        self._attempts.pop(tried.request, None)
        return self._step(now, StreamStarted(tried.request, tried.number, tried.node, latency))

    def uploading(self, now: float, tried: Try, left: float | None) -> Orders:
        """A large body has begun to pass through, or its last byte is out and `left` seconds remain."""
        return self._step(now, UploadProgress(tried.request, tried.number, left))

    def leave(self, now: float, request: str) -> Orders:
        """The client has gone; no answer is owed."""
        self._attempts.pop(request, None)
        return self._step(now, ClientDisconnected(request))

    def listed(
        self, now: float, kind: DiscoveryUpdateKind, version: int = 0, entries: list[NodeEntry] | None = None
    ) -> Orders:
        """Word from discovery, a failure included."""
        return self._step(now, DiscoveryUpdate(kind, version, entries or []))

    def by_hand(self, now: float, node: str, out: bool, listed: bool = True) -> Orders | None:
        """An operator takes a node out, or calls it back; None for one not listed, if it must be."""
        known = self._scheduler.nodes.get(node)
        if listed and (known is None or known.state is GONE) and node not in self._scheduler.banned:
            return None
        return self._step(now, OperatorOverride(node, out))

    def sent_beside(
        self, now: float, volume: str, plan: str, hosts: int, node: str, units: int, drawn: int
    ) -> Orders:
        """Another process of this host has sent to a node."""
        return self._step(now, SiblingSend(volume, plan, hosts, node, units, drawn))

    def planned(
        self, now: float, plan: Plan, volume: str = "", shard: int | None = None, part: float | None = None
    ) -> Orders:
        """From now on this plan holds, for all volumes on it or as one's allotment: `interface.PlanChanged`.

        Raises `BadPlan`, or `TooManyAllotments` for a new one past MOST_ALLOTMENTS; nothing has changed then.
        """
        figures = (plan.reserve, plan.weight, plan.price, plan.limit, plan.limit_burst, plan.limit_slack)
        if not all(0 <= value < NEVER for value in figures) or not 0 <= (part or 0.0) <= 1:
            raise BadPlan("a figure is below 0, or the part is not from 0 to 1", f"plan {plan.name}")
        if shard is not None and not volume:
            raise BadPlan("an allotment at a shard names no volume", f"plan {plan.name}")
        known = self._scheduler.plans
        name = (volume, plan.name) if shard is None else (volume, plan.name, shard)
        if name not in known and len(known) >= MOST_ALLOTMENTS:
            raise TooManyAllotments(f"{MOST_ALLOTMENTS} are held already", f"volume {volume}")
        return self._step(now, PlanChanged(plan, volume, shard, part))

    def entries(self, now: float) -> list[NodeEntry]:
        """The list as it stands here; a node held cold counts from the start told or presumed."""
        return [
            NodeEntry(
                node.id,
                node.state,
                node.shard,
                node.zone,
                node.cold_from if now < node.cold_until else node.started_at,
            )
            for node in self._scheduler.nodes.values()
            if node.state is not GONE
        ]

    def state(self, now: float) -> dict[str, object]:
        """What another process of this host must know to decide as this one would, in plain values.

        An allotment at one shard is told of, but not the level of its store: that starts at the bottom.
        """
        volumes = [
            (*key, volume)
            for key, volume in self._scheduler.volumes.items()
            if volume.plan.limit > 0 and len(key) == 2
        ]
        for *_, volume in volumes:
            volume.refill(now)
        plans = [
            [name[0], asdict(plan), name[2] if len(name) > 2 else None, part]
            for name, (plan, part) in self._scheduler.plans.items()
            if name[0] or part is not None or plan != self._scheduler.settings.plans.get(name[1])
        ]
        return {
            "out": self._scheduler.banned,
            "plans": plans,
            "stores": [[name, plan, v.hosts, v.limit_level] for name, plan, v in volumes],
            "cold": [
                [node.id, sum(units for _, units in node.cold_sent)]
                for node in self._scheduler.nodes.values()
                if node.cold_sent
            ],
        }

    def inherit(self, now: float, state: dict) -> None:
        """Take in the state of the process before this one, once the list is known."""
        for node, since in state["out"].items():
            self._step(now, OperatorOverride(node, True, since))
        for volume, figures, shard, part in state.get("plans", ()):
            self._step(now, PlanChanged(Plan(**figures), volume, shard, part))
        for volume, plan, hosts, level in state["stores"]:
            self._step(now, SiblingSend(volume, plan, hosts, limit_level=level))
        for node, units in state["cold"]:
            self._step(now, SiblingSend("", "", 1, node, units))

    def takes(self, node: str) -> bool:
        """Whether new work may go to a node at this moment."""
        known = self._scheduler.nodes.get(node)
        return known is not None and known.open

    def out(self, node: str) -> int:
        """How many attempts are out at a node."""
        known = self._scheduler.nodes.get(node)
        return len(known.out) if known is not None else 0

    def tick(self, now: float) -> Orders:
        """Time has passed; does nothing before `wake`, since the module counts on its own last timer."""
        if now < self.wake:
            return Orders()
        self.wake = NEVER
        return self._step(now, TimerFired(0))

    def _step(self, now: float, event: Event) -> Orders:
        """One event in, and what the module wants done as plain values."""
        orders = Orders()
        for action in self._scheduler.step(now, [event]):
            match action:
                case Send(request, node, timeout):
                    orders.tries.append(Try(request, self._attempts[request], node, timeout))
                    self._attempts[request] += 1
                case Cancel(request, attempt):
                    orders.cancels.append((request, attempt))
                case Reject(request, retry_after):
                    self._attempts.pop(request, None)
                    orders.verdicts.append(Verdict(request, True, retry_after))
                case Fail(request):
                    self._attempts.pop(request, None)
                    orders.verdicts.append(Verdict(request, False, None))
                case SetTimer(at):
                    self.wake = min(self.wake, at)
                case WatchNodes(active):
                    orders.watch = active
                case _:
                    raise TypeError(f"the module asked for what no socket offers: {action}")
        return orders
