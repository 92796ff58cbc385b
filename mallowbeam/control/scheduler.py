"""The Scheduler: events in, actions out, and the time between."""

import random
from collections import deque
from heapq import heapify, heappop, heappush
from math import exp

from mallowbeam import interface as io
from mallowbeam.control.booking import EPS, Booking
from mallowbeam.control.nodes import MEMORY, Health, Node
from mallowbeam.control.requests import Request, Volume
from mallowbeam.control.sending import Sending

# A cycle lasts as long as the tightest aim: what is out at a node then comes back within one.
FIRST_SLOT = 1 / 20     # of the aim, a unit, before anything was measured (design page)
CREEP = 0.01            # a second: how fast the lowest measured latency may be forgotten, for a slower day
FORGET = 30.0           # seconds after which what a volume has drawn says nothing any more


class Scheduler(Health, Booking, Sending):
    """The decisions of one host."""

    def __init__(self, settings: io.Settings, now: float) -> None:
        self.settings, self.now = settings, now
        self.random = random.Random(settings.seed)
        self.cycle = min((c.aim for c in settings.classes.values()), default=0.3)
        self.slope = self.cycle * FIRST_SLOT   # latency a further unit of a request costs, at any node
        self.prior = self.floor = 2 * settings.usual_units * self.slope  # usual and lowest latency
        self.surveyed = self.born = now
        self.top = max((c.worth for c in settings.classes.values()), default=1.0) * max(
            (p.price for p in settings.plans.values()), default=1.0)  # a unit's worth, at the most
        self.nodes: dict[str, Node] = {}
        self.open: list[Node] = []             # where new work may go
        self.banned: dict[str, float] = {}     # out by hand, and since when: whatever discovery says
        self.requests: dict[str, Request] = {}
        self.most_tries = settings.max_attempts or float("inf")
        self.volumes: dict[tuple[str, str], Volume] = {}  # by name and plan
        self.full_time: dict[str, float] = {}  # class: the longest time that a try came with
        self.chains: dict[str, deque[Request]] = {}  # ordered keys: requests in the order taken
        self.rests: dict[str, float] = {}      # ordered keys: when an attempt that may still run is settled
        self.taken, self.extras = deque(), deque()  # times of requests taken, and of further attempts
        self.timers: list[tuple[float, int, object]] = []
        self.timer_set, self.seq, self.watch_failures = float("inf"), 0, 0
        self.touched: dict[str, Node] = {}
        self.actions: list[io.Action] = []
        if settings.discovery_on_request:
            self.actions.append(io.Watch(True))

    def step(self, now: float, events: list[io.Event]) -> list[io.Action]:
        """Take in what happened up to `now`; return what to do."""
        self.now = now
        self._survey()
        for event in events:
            if handler := HANDLERS.get(type(event)):
                handler(self, event)
        while self.touched:
            self._run_node(self.touched.popitem()[1])
        if self.timers and self.timers[0][0] < self.timer_set:
            self.timer_set = self.timers[0][0]
            self.seq += 1
            self.actions.append(io.SetTimer(max(self.timer_set, now), self.seq))
        actions, self.actions = self.actions, []
        return actions

    def _survey(self) -> None:
        """Once a second: the usual latency and the lowest, from the nodes that answered of late."""
        if (passed := self.now - self.surveyed) < 1.0:
            return
        self.surveyed = self.now
        self._tidy()
        known = sorted(node.mean for node in self.nodes.values()
                       if not node.suspect and node.weight * exp((node.fresh_at - self.now) / MEMORY) > 0.1)
        # With few answers the median fades to the lowest: one that stood would shut every node for good.
        self.prior += min(1.0, passed / MEMORY / 2) * (self.floor - self.prior)
        if len(known) > 2:
            self.prior = known[len(known) // 2]
            self.floor = min(self.floor * (1.0 + CREEP * passed), known[len(known) // 4])
            self.slope = self.floor / self.settings.usual_units

    def _tidy(self) -> None:
        """Guards memory: forget ids that may never come back, and timers of requests that are over."""
        now = self.now
        self.volumes = {name: volume for name, volume in self.volumes.items()
                        if volume.pending or volume.coming or now - volume.at <= FORGET}
        self.nodes = {name: node for name, node in self.nodes.items()
                      if node.state is not io.NodeState.GONE or node.out or now <= node.cold_until}
        if len(self.timers) > 2 * (len(self.requests) + len(self.nodes)) + 1000:
            self.timers = [entry for entry in self.timers if not getattr(entry[2], "done", False)]
            heapify(self.timers)

    def _at(self, when: float, what: Node | Request | str) -> None:
        """Come back to a node, a request, a key or (empty text) discovery at some time."""
        self.seq += 1
        heappush(self.timers, (when, self.seq, what))

    def _on_timer(self, _: io.TimerFired) -> None:
        due = self.now + EPS
        if due < self.timer_set:
            return                             # an older timer: the one that counts is still to come
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
                self.actions.append(io.Watch(True))

    def _on_request(self, event: io.RequestArrived) -> None:
        cls = self.settings.classes.get(event.cls) or io.RequestClass(event.cls, aim=event.expires_in)
        volume = self._volume(event.volume, event.plan, max(1, event.hosts_of_volume or self.settings.hosts))
        self.seq += 1
        # A client's further try has less time left than a first one, and its aim runs from the first.  Guards
        # against an odd client, whose hours would make all others late: none waits longer than its class.
        expires = min(event.expires_in, cls.deadline)
        full = self.full_time[cls.name] = max(self.full_time.get(cls.name, 0.0), expires)
        request = Request(event, cls, volume, self.now, self.seq, full - expires)
        self.requests[request.id] = request
        if self.settings.budget_floor is not None:
            self.taken.append(self.now)
        self._at(request.deadline - self.settings.tick, request)
        if request.key:
            self.chains.setdefault(request.key, deque()).append(request)
            self._advance(request.key)
        else:
            self._book(request)

    def _volume(self, name: str, plan: str, hosts: int) -> Volume:
        volume = self.volumes.get((name, plan))
        if volume is None:
            known = self.settings.plans.get(plan) or io.Plan(plan)
            since = max(self.born, self.now - FORGET)  # it filled all that time: nothing was drawn here
            volume = self.volumes[name, plan] = Volume(known, hosts, self.settings, since)
        # Guards the limit against one client that names another plan or fewer hosts for the same volume.
        volume.hosts = max(volume.hosts, hosts)
        return volume

    def _on_beside(self, event: io.SentBeside) -> None:
        """Counts what the other process of this host has sent, from the level that it handed over."""
        volume = self._volume(event.volume, event.plan, event.hosts)
        volume.refill(self.now)
        volume.limit_level = (volume.limit_level if event.level is None else event.level) - event.drawn
        if event.node in self.nodes and self.now < self.nodes[event.node].cold_until:
            self.nodes[event.node].cold_sent.append((self.now, event.units))


HANDLERS = {
    io.RequestArrived: Scheduler._on_request, io.ClientGone: Scheduler._on_gone,
    io.AttemptEnded: Scheduler._on_ended, io.StreamStarted: Scheduler._on_stream,
    io.Upload: Scheduler._on_upload, io.SentBeside: Scheduler._on_beside,
    io.NodesListed: Scheduler._on_list, io.ByHand: Scheduler._on_hand, io.TimerFired: Scheduler._on_timer,
}
