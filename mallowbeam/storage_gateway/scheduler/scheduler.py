"""The Scheduler: events in, actions out, and the time between."""

import random
from collections import deque
from heapq import heapify, heappop, heappush
from math import exp

from mallowbeam.storage_gateway.scheduler.booking import Booking
from mallowbeam.storage_gateway.scheduler.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    DiscoveryUpdate,
    Event,
    NodeState,
    OperatorOverride,
    Plan,
    PlanChanged,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    SiblingSend,
    StreamStarted,
    TimerFired,
    UploadProgress,
    WatchNodes,
)
from mallowbeam.storage_gateway.scheduler.nodes import MEMORY, Health, Node
from mallowbeam.storage_gateway.scheduler.requests import EPS, Request, Volume
from mallowbeam.storage_gateway.scheduler.sending import Sending

FIRST_SLOT, FIRST_MOST = 1 / 20, 0.3  # of the cycle, a unit and a usual request, before anything was measured
CREEP = 0.01  # a second: how fast the lowest measured latency may be forgotten, for a slower day
FORGET = 30.0  # seconds after which what a volume has drawn says nothing any more


class Scheduler(Health, Booking, Sending):
    """The decisions of one host."""

    def __init__(self, settings: Settings, now: float) -> None:
        self.settings, self.now = settings, now
        self.random = random.Random(settings.seed)
        # A cycle lasts as long as the tightest aim: what is out at a node then comes back within one.
        self.cycle = min((c.latency_target for c in settings.classes.values()), default=0.3)
        # Usual and lowest latency; latency that a further unit of a request costs, at any node.
        self.prior = self.floor = self.cycle * min(2 * settings.typical_units * FIRST_SLOT, FIRST_MOST)
        self.slope = self.floor / settings.typical_units / 2
        self.surveyed = self.born = now
        self.dearest = max((c.value for c in settings.classes.values()), default=1.0)
        self.top = self.dearest * max((p.price for p in settings.plans.values()), default=1.0)  # of a unit
        self.plans = {("", name): (plan, None) for name, plan in settings.plans.items()}  # by volume; parts
        self.changed: dict[tuple, float] = {}  # and when, as long as that matters
        self.nodes, self.requests = {}, {}  # by id
        self.open: list[Node] = []  # where new work may go
        self.disabled_nodes: dict[str, float] = {}  # out by hand, and since when: whatever discovery says
        self.most_tries = settings.max_attempts or float("inf")
        self.volumes: dict[tuple, Volume] = {}  # by name and plan, and shard where it has an allotment there
        self.full_time: dict[str, float] = {}  # class: the longest time that a try came with
        self.chains: dict[str, deque[Request]] = {}  # ordered keys: requests in the order taken
        self.rests: dict[str, float] = {}  # ordered keys: when an attempt that may still run is settled
        self.taken, self.extras = deque(), deque()  # times of requests taken, and of further attempts
        self.timer_set, self.seq, self.watch_failures = float("inf"), 0, 0
        self.timers, self.touched = [], {}  # what is due, by time; nodes to be looked at in this step
        self.actions: list[Action] = [WatchNodes(True)] if settings.discovery_on_request else []

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Take in what happened up to `now`; return what to do."""
        self.now = now
        self._survey()
        for event in events:
            if handler := HANDLERS.get(type(event)):
                handler(self, event)
        while self.touched:
            self._run_node(self.touched.popitem()[1])
        if self.timers and self.timers[0][0] < self.timer_set:
            self.timer_set, self.seq = self.timers[0][0], self.seq + 1
            self.actions.append(SetTimer(max(self.timer_set, now), self.seq))
        actions, self.actions = self.actions, []
        return actions

    def _survey(self) -> None:
        """Once a second: what is forgotten; the usual and the lowest latency, from recent answers."""
        if (passed := self.now - self.surveyed) < 1.0:
            return
        self.surveyed = self.now
        # Guards memory: forget ids that may never come back, and timers of requests that are over.
        self._budget_left()  # drops what is past its window
        self.rests = {key: until for key, until in self.rests.items() if until > self.now}
        self.changed = {name: at for name, at in self.changed.items() if self.now - at <= FORGET}
        self.volumes = {
            name: volume
            for name, volume in self.volumes.items()
            if volume.pending or volume.coming or self.now - volume.at <= FORGET
        }
        self.nodes = {
            name: node
            for name, node in self.nodes.items()
            if node.state is not NodeState.REMOVED or node.out or self.now <= node.cold_until
        }
        if len(self.timers) > 2 * (len(self.requests) + len(self.nodes)) + 1000:
            self.timers = [entry for entry in self.timers if not getattr(entry[2], "done", False)]
            heapify(self.timers)
        known = sorted(
            node.mean
            for node in self.nodes.values()
            if not node.suspect and node.weight * exp((node.fresh_at - self.now) / MEMORY) > 0.1
        )
        # With few answers the median fades to the lowest: one that stood would shut every node for good.
        self.prior += min(1.0, passed / MEMORY / 2) * (self.floor - self.prior)
        if len(known) > 2:
            self.prior = known[len(known) // 2]
            self.floor = min(self.floor * (1.0 + CREEP * passed), known[len(known) // 4])
            self.slope = self.floor / self.settings.typical_units

    def _at(self, when: float, what: Node | Request | str) -> None:
        """Come back to a node, a request, a key or (empty text) discovery at some time."""
        self.seq += 1
        heappush(self.timers, (when, self.seq, what))

    def _on_timer(self, _: TimerFired) -> None:
        due = self.now + EPS
        if due < self.timer_set:
            return  # an older timer: the one that counts is still to come
        self.timer_set = float("inf")
        while self.timers and self.timers[0][0] <= due:
            what = heappop(self.timers)[2]
            if isinstance(what, Node):
                if self.nodes.get(what.id) is what:  # else forgotten meanwhile
                    self.touched[what.id] = what
            elif isinstance(what, Request):
                if what.deadline - self.settings.tick <= due:  # else it has been given more time
                    self._end(what)
            elif what:
                self._advance(what)
            else:
                self.actions.append(WatchNodes(True))

    def _on_request(self, event: RequestArrived) -> None:
        cls = self.settings.classes.get(event.request_class) or RequestClass(
            event.request_class, latency_target=event.expires_in
        )
        hosts = max(1, event.volume_hosts or self.settings.hosts)
        volume = self._volume(event.volume, event.plan, hosts, event.shard)
        self.seq += 1
        # A further try has less time left: its aim runs from the first.  None waits longer than its class.
        expires = min(event.expires_in, cls.deadline)
        full = self.full_time[cls.name] = max(self.full_time.get(cls.name, 0.0), expires)
        request = Request(event, cls, volume, self.now, self.seq, full - expires)
        self.requests[request.id] = request
        if self.settings.retry_budget_floor is not None:
            self.taken.append(self.now)
        self._at(request.deadline - self.settings.tick, request)
        if request.key:
            self.chains.setdefault(request.key, deque()).append(request)
            self._advance(request.key)
        else:
            self._book(request)

    def _on_plan(self, event: PlanChanged) -> None:
        """A plan holds from now on; an allotment with its plan's figures and no part is none any more."""
        plan, part, whole = event.plan, event.limit_share, ("", event.plan.name)
        name = (event.volume, plan.name) if event.shard is None else (event.volume, plan.name, event.shard)
        self.plans[name], self.changed[name] = (plan, part), self.now
        if event.volume and part is None and plan == self.plans.get(whole, (None,))[0]:
            del self.plans[name]
            plan, part = self.plans[whole]
        if not event.volume:
            self.top = self.dearest * max(owed[0].price for each, owed in self.plans.items() if not each[0])
        if event.shard is not None and name not in self.plans and (apart := self.volumes.pop(name, None)):
            apart.refill(self.now)
            self._volume(*name[:2], apart.hosts).limit_level += min(0.0, apart.limit_level)  # still owed
        for each in [name] if event.volume else [each for each in self.volumes if each[1] == plan.name]:
            if each in self.volumes and (each == name or each not in self.plans):
                self.volumes[each].change(plan, part, self.now)
        for request in self.requests.values():  # what waits for a shard is counted where that now belongs
            old, units = request.volume, request.units * request.asked
            if old.name[:2] == name[:2] and request.shard == event.shard and not request.drawn:
                request.volume = self._volume(*name[:2], old.hosts, event.shard)
                old.pending -= units
                request.volume.pending += units

    def _volume(self, name: str, plan: str, hosts: int, shard: int | None = None) -> Volume:
        key, whole = (name, plan, shard) if (name, plan, shard) in self.plans else (name, plan), ("", plan)
        if (volume := self.volumes.get(key)) is None:  # it filled all that time: nothing was drawn here
            since = max(self.now - FORGET, *(self.changed.get(each, self.born) for each in (key, whole)))
            volume = self.volumes[key] = Volume(key, hosts, self.settings.max_units, since)
            volume.change(*self.plans.get(key, self.plans.get(whole, (Plan(plan), None))), since)
            volume.reserve_level = volume.reserve_top
        # Guards the limit against one client that names another plan or fewer hosts for the same volume.
        volume.hosts = max(volume.hosts, hosts)
        return volume

    def _on_beside(self, event: SiblingSend) -> None:
        """Counts what the other process of this host has sent, from the level that it handed over."""
        node = self.nodes.get(event.node)
        volume = self._volume(event.volume, event.plan, event.host_count, node.shard if node else None)
        volume.refill(self.now)
        volume.limit_level = (
            volume.limit_level if event.limit_level is None else event.limit_level
        ) - event.charged_units
        if node and self.now < node.cold_until:
            node.cold_sent.append([self.now, event.units])


HANDLERS = {
    RequestArrived: Scheduler._on_request,
    ClientDisconnected: Scheduler._on_gone,
    AttemptEnded: Scheduler._on_ended,
    StreamStarted: Scheduler._on_stream,
    UploadProgress: Scheduler._on_upload,
    SiblingSend: Scheduler._on_beside,
    DiscoveryUpdate: Scheduler._on_list,
    OperatorOverride: Scheduler._on_hand,
    PlanChanged: Scheduler._on_plan,
    TimerFired: Scheduler._on_timer,
}
