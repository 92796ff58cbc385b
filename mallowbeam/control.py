"""All decisions of a mallowbeam host.  Its types, events and actions: mallowbeam/interface.py.

A request is booked, a slot for each unit, into the earliest cycle with room at its node, by measured slot
time; one that no cycle finishes before its deadline is refused at once.  What departs: docs/design.md.
"""

from __future__ import annotations

import random
from bisect import insort
from collections import deque
from heapq import heapify, heappop, heappush
from math import exp
from zlib import crc32

from mallowbeam import interface as io

# A cycle lasts as long as the tightest aim: what is out at a node then comes back within one.
FIRST_SLOT = 1 / 20     # of the aim, a unit, before anything was measured (design page)
M_EXTRA, M_MOST = 4, 32  # a cycle has room for the largest request and this more, and no more than M_MOST
TARGET = 0.35           # of the cycle: the latency steered to; the rest is for waiting here, still movable
GROW = 0.7              # units by which the room out there grows a round trip while latency is under target
SHRINK = 0.3            # share of it given up a round trip at twice the target: one pause closes no node
SMOOTH = 0.1            # weight of one sample in what is counted by answers: some ten, not one, move it
MEMORY = 1.0            # seconds: surges, pauses and their ends are this long, so older answers say little
PRIOR = 0.5             # of an answer: what the other nodes' latency counts at a node with none of its own
CREEP = 0.01            # a second: how fast the lowest measured latency may be forgotten, for a slower day
CLIP = 3.0              # a sample counts as at most this many times the mean: one pause can't poison it
SILENT = 1.5            # cycles without an answer while work is out: pauses are shorter, hung nodes longer
CHOICES, HOLE = 6, 1.25  # other nodes looked at for a new object; how much later the hashed one may be
RUN = 2                 # largest requests: what may be out beyond the room behind one of the same data
LOOK = 0.1              # of a cycle: how often a node with work waiting or out is looked at again
ACTIVE = 2.0            # seconds for which a volume counts in the sharing of a node after its last request
STUCK = 5.0             # times the expected time after which an attempt passed over by later ones is given up
FORGET = 30.0           # seconds after which what a volume has drawn says nothing any more
WATCH_AGAIN, AGENT_AGAIN = 0.5, 0.05  # seconds to a failed call's repeat; and at this host's own agent
FLEET_CALLS = 5.0       # calls a second by all hosts, where calls fail
PRICE_LASTS = 2.0       # seconds: surges come and go within seconds, and so must what they make slots worth
KEPT = 0.5              # of a limit's store: left to the dearest that it refused in PRICE_LASTS
PRICE_STEP = 0.5        # how far one request without a slot moves a node's price towards its worth
CROWD = 0.3             # of the dearest unit: what one must be worth where waiting takes up the aim
UNTOLD = 3.0            # seconds by which lists run late: so long a node not reached is taken for cold
BREAKS = 6              # broken connections in a row after which a node counts as ended: on some days one
REFUSAL = 3             # in five breaks; a connection refused or never up, as after an end, counts for more
FAULTY = 0.3            # share of errors from which a node counts as failing: single ones are all in a day
COLD_PART = (0.5, 0.35, 0.35)  # of the units that tip a cold node, by tier; replacements may be slower
SURGE_PART, EVEN_PART = 0.25, 0.5  # of what it always bears: one host's most beyond reserves; all evenly
WARM_ENOUGH = 2.0       # times its full capacity: a node that tips only beyond that is open to all units
CAPACITY_DEALT = 0.9    # of a node's power is dealt out by weight (the users' terms)
EPS = 2e-6              # seconds: a clock that counts in microseconds may round a timer down

ALIVE = (io.Outcome.OK, io.Outcome.ERROR, io.Outcome.REJECTED, io.Outcome.ASTRAY)
NEVER_RAN = (io.Outcome.REJECTED, io.Outcome.ASTRAY, io.Outcome.NO_CONNECTION, io.Outcome.NOT_SENT)
MAY_STILL_RUN = (io.Outcome.TIMEOUT, io.Outcome.RESET, io.Outcome.CANCELLED)
UNSENT = (io.Outcome.NO_CONNECTION, io.Outcome.NOT_SENT)  # on sockets: its last byte never left


class Request:
    """A request this host has taken."""

    def __init__(self, event: io.RequestArrived, cls: io.RequestClass, volume: Volume, now: float,
                 seq: int, spent: float) -> None:
        self.id, self.cls, self.volume, self.units = event.request, cls, volume, max(1, event.units)
        self.shard, self.key, self.seq = event.shard, event.key, seq
        self.data, self.deadline = event.key or event.request, now + event.expires_in
        self.aim_at = min(now + cls.aim - spent, self.deadline)
        self.base = self.density = cls.worth * volume.plan.price  # a unit's worth: in full, and now
        self.tries = 0                         # attempts so far, as the wire numbers them
        self.out: dict[int, Attempt] = {}
        self.ran: list[tuple[Node, float]] = []  # attempts that may have run: where, and when sent
        self.done = self.late = self.asked = self.priced = self.drawn = False  # drawn: from its limit
        self.tier = 2                          # 0 inside reserve, 1 inside share, 2 spare


class Attempt:
    """One attempt that is out."""

    def __init__(self, request: Request, number: int, node: Node, now: float, coming: int) -> None:
        self.request, self.number, self.node, self.sent_at = request, number, node, now
        self.stuck, self.coming = False, coming  # passed over and given up; units no node may have yet


class Volume:
    """What one volume has drawn through this host, against its reserve and its limit."""

    def __init__(self, plan: io.Plan, hosts: int, settings: io.Settings, since: float) -> None:
        self.plan, self.hosts = plan, hosts
        # Guards the limit across hosts and restarts: only this host's part of the store is ever drawn, and as
        # an earlier life may have spent all of it a moment before this one, that starts at the bottom.
        self.limit_level, self.at = -plan.limit_slack / hosts, since  # nothing was drawn here after that
        self.dear, self.dear_at = 0.0, since   # what the limit refused: a unit's worth, and when
        self.pending = self.coming = 0         # units booked and not sent; and those whose body still comes
        self.reserve_level = self.reserve_top = plan.reserve + settings.units_top if plan.reserve else 0.0

    def refill(self, now: float) -> None:
        """Let both stores fill up to now; the reserve counts whole, less what is told of other hosts."""
        passed, self.at = now - self.at, now
        self.limit_level = min(self.plan.limit_burst / self.hosts - self.coming,
                               self.limit_level + passed * self.plan.limit / self.hosts)
        self.reserve_level = min(self.reserve_top, self.reserve_level + passed * self.plan.reserve)

    def limit_wait(self, units: int, worth: float = 0.0) -> float:
        """Seconds until the limit bears so many units more; cheap ones leave a part of it; refill first."""
        if self.plan.limit <= 0:
            return 0.0
        # First come would spend what is scarce on the cheap.  Harm: the dear may not come, and some is left.
        dearer = 0 < worth < self.dear and self.at < self.dear_at + PRICE_LASTS
        kept = KEPT * self.plan.limit_burst * dearer
        missing = units + 1e-6 + (kept - self.plan.limit_slack) / self.hosts - self.limit_level
        if missing > 0 and worth and not dearer:
            self.dear, self.dear_at = worth, self.at
        return max(0.0, missing * self.hosts / self.plan.limit)


class Node:
    """A storage node as this host sees it: bookings, slot time and health."""

    def __init__(self, entry: io.NodeEntry, sched: Scheduler) -> None:
        self.id, self.shard, self.zone, self.since = entry.node, entry.shard, entry.zone, entry.since
        self.state, self.open = entry.state, False  # as listed; whether new work may go there
        self.queue: list[tuple[float, int, Request]] = []  # bookings not sent, by aim
        self.out_units = 0
        self.out: dict[tuple[str, int], Attempt] = {}  # what it is at work on, in the order sent
        self.sched = sched
        self.mean = self.n_latency = sched.prior  # answers of late, for the usual size; and with the prior
        self.weight, self.fresh_at = 0.0, sched.now  # how many answers of late that mean stands on
        self.n_out = sched.settings.usual_units
        self.window = float(sched.settings.units_top)  # units that may be out at once
        self.last_answer = self.held = sched.now  # held: nothing goes before this time
        self.sent_at, self.wake, self.last = -1e9, -1e9, ""  # last: the data of what was sent there last
        self.suspect = False                   # silent or not reached
        self.answered = -1e9                   # when the latest sent of those that it answered went out
        self.breaks = 0                        # connections broken or refused since the last answer
        self.faults, self.fails = 0.0, False   # share of its answers of late that were errors; too many
        self.cold_from = self.cold_until = -1e9  # its start, as told or presumed, and when it is warm
        self.cold_sent: list[tuple[float, int]] = []  # when units went there while cold, and how many
        self.cycle_at, self.cycle_used = sched.now, 0
        self.shares: dict[Volume, list[float]] = {}  # share level, filled at, last request
        self.weights, self.weights_at, self.price, self.price_at = 0.0, -1e9, 0.0, sched.now

    def refresh(self) -> None:
        """Let answers fade with time, so that few a second weigh as they should: recent or not at all."""
        now = self.sched.now
        if now > self.fresh_at:
            self.weight, self.fresh_at = self.weight * exp((self.fresh_at - now) / MEMORY), now
            self.n_latency = (self.weight * self.mean + PRIOR * self.sched.prior) / (self.weight + PRIOR)

    def measure(self, units: int, latency: float, at_least: bool) -> float:
        """Take in one answer; return its latency for the usual size.  One given up on is a lower bound."""
        self.refresh()
        usual = max(latency - self.sched.slope * (units - self.sched.settings.usual_units), 0.2 * latency)
        if at_least and usual <= self.n_latency:
            return self.n_latency
        self.mean += (min(usual, CLIP * self.n_latency) - self.mean) / (self.weight + 1.0)
        self.weight += 1.0
        self.n_latency = (self.weight * self.mean + PRIOR * self.sched.prior) / (self.weight + PRIOR)
        return usual

    def silence(self) -> float:
        """How long work is overdue here with nothing coming back: a lower bound on the wait of others.

        It takes two attempts, each given the time of its own size, or one for a cycle more: a single costly
        request must not close a node that is well.
        """
        two = list(self.out.values())[:2]
        if not two:
            return 0.0
        due = two[-1].sent_at + self.sched.slope * two[-1].request.units + self.sched.cycle * (len(two) < 2)
        return max(0.0, self.sched.now - max(self.last_answer, due))

    def serve_time(self, units: int) -> float:
        """Expected latency of a request of this size sent now."""
        self.refresh()
        base = self.n_latency - self.sched.slope * self.sched.settings.usual_units
        return max(base, self.silence()) + self.sched.slope * units

    def bid(self, now: float, worth: float = 0.0) -> float:
        """The price of a unit here, moved by what found no slot and forgotten within seconds."""
        self.price, self.price_at = self.price * exp((self.price_at - now) / PRICE_LASTS), now
        if worth > self.price:
            self.price += PRICE_STEP * (worth - self.price)
        return self.price

    def slot(self) -> float:
        """Measured slot time: the node's smoothed latency over this host's units out there."""
        return self.n_latency / max(1.0, self.n_out, self.out_units)


class Scheduler:
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

    # --- events --------------------------------------------------------------------------------

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
        if cls.ordered and request.key:
            self.chains.setdefault(request.key, deque()).append(request)
            self._advance(request.key)
        else:
            self._book(request)

    def _volume(self, name: str, plan: str, hosts: int) -> Volume:
        """A volume on its plan, as it stands or new."""
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

    def _on_list(self, event: io.NodesListed) -> None:
        if event.kind in (io.ListKind.FAILED, io.ListKind.SILENT):
            # Guards discovery, which takes calls in turn: hosts that come back sooner than it can serve all
            # of them wait until each gives up, and nobody is told anything.  Alone, a host soon asks again,
            # and one whose watch broke without a word, at once: what that missed soon counts as told.
            self.watch_failures += 1
            most = max(2 * WATCH_AGAIN, self.settings.hosts / FLEET_CALLS)
            wait = min(max(WATCH_AGAIN, most / 4) * 2.0 ** min(self.watch_failures - 1, 2), most)
            wait = min(wait * (0.5 + self.random.random()), self.settings.ask_every or 1e9)
            wait *= event.kind is io.ListKind.FAILED or self.watch_failures > 1
            return self._at(self.now + (wait if self.settings.discovery_on_request else AGENT_AGAIN), "")
        self.watch_failures, named = 0, {entry.node for entry in event.entries}
        if event.kind is not io.ListKind.CHANGES:
            for node in self.nodes.values():
                if node.id not in named:
                    node.state = io.NodeState.GONE
                    self._admit(node)
        for entry in event.entries:
            fresh, since = entry.node not in self.nodes, entry.since
            if fresh and entry.state is io.NodeState.GONE:
                continue
            node = self.nodes[entry.node] = Node(entry, self) if fresh else self.nodes[entry.node]
            node.state = entry.state
            if node.state is io.NodeState.READY:
                if fresh and since is None and event.kind is io.ListKind.CHANGES:
                    since = self.now           # a machine that joins unexplained is a replacement, so cold
                if since is not None and (fresh or since != node.since):
                    self._chill(node, since)
                    self._alive(node)          # it runs: what fell silent did so before
                node.since = since
            self._admit(node)

    def _on_hand(self, event: io.ByHand) -> None:
        """Out by hand, or back: one call back lifts all that stands, and the node was restarted meanwhile."""
        banned = self.banned.pop(event.node, None)
        if event.out:
            self.banned[event.node] = banned or event.since or self.now
        if node := self.nodes.get(event.node):
            if banned is not None and not event.out:
                if (node.since or 0.0) < banned:  # no list has told of a start: the latest is presumed
                    self._chill(node, self.now)
                node.suspect = True            # what was known of it is forgotten, as with a first answer
                self._alive(node)
            self._admit(node)

    def _chill(self, node: Node, since: float, lasts: float | None = None) -> None:
        """Hold a node cold from its start on, where the rule on cold nodes binds."""
        if self.settings.fall_window is not None:
            node.cold_from, node.cold_until = since, since + (lasts or self.settings.cold_time or 0.0)

    def _admit(self, node: Node) -> None:
        """Let new work to a node listed as ready and not out by hand; book anew what waits at another."""
        node.open = node.state is io.NodeState.READY and node.id not in self.banned
        self.open = [known for known in self.nodes.values() if known.open]
        if not node.open:
            self._rebook(node, lambda request: True)
        self.touched[node.id] = node

    def _rebook(self, node: Node, wanted) -> None:
        """Take the wanted bookings off a node and book them again."""
        moved = [entry[2] for entry in node.queue if wanted(entry[2]) and not entry[2].done]
        node.queue = [entry for entry in node.queue if not wanted(entry[2])]
        for request in moved:
            self._book(request)

    def _on_stream(self, event: io.StreamStarted) -> None:
        """An answer has begun: its node is done with it, and what is left is passing it on."""
        if request := self.requests.get(event.request):
            node, request.done = request.out[event.attempt].node, True
            self._idle(request.out[event.attempt])
            self._alive(node)
            self._learn(node, request.units, event.latency, False)

    def _on_upload(self, event: io.Upload) -> None:
        """A large body passes through: until its last byte is out no time runs, and it goes out only once."""
        request = self.requests.get(event.request)
        if (attempt := request.out.get(event.attempt) if request else None) is None:
            return
        self._idle(attempt)
        request.volume.coming -= attempt.coming  # drawn when sent, but the limit counts from the last byte
        attempt.coming = request.units if event.left is None else 0
        request.volume.coming += attempt.coming
        request.tries, request.deadline = self.most_tries, float("inf")
        if event.left is not None:
            attempt.sent_at, request.deadline = self.now, self.now + event.left
            self._at(request.deadline - self.settings.tick, request)
            attempt.node.out[request.id, event.attempt] = attempt
            attempt.node.out_units += request.units

    def _idle(self, attempt: Attempt) -> bool:
        """Take an attempt off its node's work, unless that is over or has not begun; tell which."""
        worked = attempt.node.out.pop((attempt.request.id, attempt.number), None) is not None
        attempt.node.out_units -= attempt.request.units * worked
        return worked

    def _on_gone(self, event: io.ClientGone) -> None:
        if request := self.requests.get(event.request):
            self._end(request, owed=False)

    def _on_ended(self, event: io.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        attempt = request.out.pop(event.attempt, None) if request else None
        if attempt is None:
            return
        node, outcome, worked = attempt.node, event.outcome, self._idle(attempt)
        request.volume.coming -= attempt.coming
        if attempt.coming and outcome in UNSENT and request.tries == attempt.number + 1:  # no node has it
            request.drawn, request.volume.limit_level = False, request.volume.limit_level + attempt.coming
            request.volume.pending += attempt.coming
        self.touched[node.id] = node
        if event.elsewhere:
            request.volume.reserve_level = max(-request.volume.reserve_top,
                                               request.volume.reserve_level - event.elsewhere)
        if outcome in ALIVE:
            self._alive(node)
            node.answered = max(node.answered, attempt.sent_at)
            failed = outcome is io.Outcome.ERROR
            node.faults += SMOOTH * (failed - node.faults)
            node.fails = node.faults > FAULTY
            if failed and node.fails and attempt.sent_at >= node.cycle_at:
                node.cycle_used -= request.units  # no slot: what is sent again must not use up the cycle
        if outcome in (io.Outcome.OK, io.Outcome.TIMEOUT, io.Outcome.CANCELLED):
            # Silence is no slot time: what is given up on at a silent node teaches nothing.
            if worked and (outcome is io.Outcome.OK or not node.suspect and not attempt.stuck):
                self._learn(node, request.units, self.now - attempt.sent_at, outcome is not io.Outcome.OK)
        elif outcome is io.Outcome.REJECTED:
            # Guards against a full queue, whoever filled it: fewer out there, and a pause of a round trip.
            if self.now >= node.held:
                node.window = max(1.0, node.window * (1.0 - SHRINK))
            node.held = self.now + node.n_latency
        elif outcome in (io.Outcome.NO_CONNECTION, io.Outcome.RESET):
            self._broke(node, REFUSAL if outcome is io.Outcome.NO_CONNECTION else 1)
        if outcome not in NEVER_RAN:
            request.ran.append((node, attempt.sent_at))
        if outcome in MAY_STILL_RUN and request.cls.ordered and request.key:
            self.rests[request.key] = self.now + self.settings.order_settle
        again = outcome is io.Outcome.RESET or attempt.stuck
        if (event.finished or outcome in MAY_STILL_RUN and not again or outcome is io.Outcome.ASTRAY or not
                self._may_repeat(request) or request.tries >= self.most_tries):  # it would wait in vain
            self._end(request, owed=not event.finished)
        else:
            self._book(request)
        self._forget(request)

    def _free_stuck(self, node: Node) -> None:
        """Give up attempts long passed over while another can meet the aim: their connection fell silent."""
        for attempt in node.out.values():
            request = attempt.request
            if attempt.sent_at >= node.answered:
                break
            time = node.serve_time(request.units)
            if (not attempt.stuck and not request.done
                    and request.cls.repeat is not io.Repeat.UNSAFE and not request.tries >= self.most_tries
                    and self.now - attempt.sent_at > STUCK * time and self.now + time < request.aim_at):
                attempt.stuck = True
                self.actions.append(io.Cancel(request.id, attempt.number))

    def _alive(self, node: Node) -> None:
        """An answer came; what the silence before it seemed to tell is forgotten."""
        node.last_answer, node.breaks = self.now, 0
        if node.suspect:
            node.suspect, node.weight, node.held = False, 0.0, self.now
            self.touched[node.id] = node

    def _broke(self, node: Node, weight: int) -> None:
        """A connection broke or was refused: a node that ends breaks all of them, one that lives answers."""
        node.breaks += weight
        if node.breaks < BREAKS:
            return
        self._suspect(node)
        if node.cold_until < self.now + UNTOLD:  # it may be back, and cold, before any list says so
            self._chill(node, self.now, UNTOLD)

    def _suspect(self, node: Node) -> None:
        """No answers, or no connection: only a trickle goes there until one comes."""
        if not node.suspect:
            node.suspect = True
            self._rebook(node, lambda request: request.shard is None)
            self.touched[node.id] = node

    def _learn(self, node: Node, units: int, latency: float, at_least: bool) -> None:
        """Steer the units out at a node so that answers take TARGET of a cycle."""
        usual = node.measure(units, latency, at_least)
        over = usual / (self.floor + TARGET * max(0.0, self.cycle - self.floor)) - 1.0
        if over > 0:
            node.window = max(1.0, node.window - SHRINK * units * min(1.0, over))
        elif node.queue or node.out_units + units > 0.7 * node.window:
            node.window = min(float(M_MOST), node.window + GROW * units / node.window)

    # --- booking -------------------------------------------------------------------------------

    def _book(self, request: Request) -> None:
        """Book a request at its node, or refuse it at once."""
        if request.done or request.out:
            return
        node, volume = self._choose(request), request.volume
        if node is None:
            return self._end(request)
        if not request.asked:
            volume.refill(self.now)
            if (wait := volume.limit_wait(request.units + volume.pending, request.base)) > 0:
                return self._end(request, retry_after=wait)
            request.asked = True
            volume.pending += request.units
        insort(node.queue, (request.aim_at, request.seq, request))
        self.touched[node.id] = node

    def _choose(self, request: Request) -> Node | None:
        """The open node that holds the shard; for a new object the one hashed, unless a hole is earlier.

        It is held against CHOICES others, hashed too: work stays the same in a large fleet, and hosts that
        see the same idle node do not all turn to it.
        """
        # Guards against a booking where it may never be sent: it would be held there to its deadline.
        nodes = [node for node in self.open if request.shard in (None, node.shard)
                 and (not request.ran or self._may_repeat(request, node))]
        key = crc32(request.data.encode())
        best, least = None, 0.0
        for turn in range(min(CHOICES + 1, len(nodes))):
            node = nodes[(key + turn * (1 + key % 7)) % len(nodes)]
            finish = self._finish(node, request.units)
            if best is None or finish * HOLE < least:
                best, least = node, finish
        return best

    def _finish(self, node: Node, units: int) -> float:
        """Seconds until a request booked last at a node would be answered."""
        if node.suspect or self.now < node.cold_until:
            return 60.0 + node.silence()
        ahead = sum(entry[2].units for entry in node.queue) + node.out_units + units - node.window
        # Guards new objects against a node that fails them at once, and so always seems to have a hole.
        return (max(0.0, ahead) * node.slot() + node.serve_time(units)
                + (10 * self.cycle if node.fails else 0.0))

    def _value(self, node: Node) -> None:
        """What each booking's units are worth now: inside the reserve, inside the share by weight, or spare.

        Worked out anew at each layout and drawn when sent, so that within a volume the classes worth most
        take what is due first, whoever came first.
        """
        now, settings = self.now, self.settings
        if now - node.weights_at > ACTIVE / 4:
            node.shares = {v: known for v, known in node.shares.items() if now - known[2] <= ACTIVE}
            node.weights_at, node.weights = now, sum(v.plan.weight for v in node.shares)
        power = CAPACITY_DEALT * node.window / max(node.n_latency, 1e-3) / max(node.weights, 1e-9)
        left: dict[Volume, list[float]] = {}
        for request in sorted((entry[2] for entry in node.queue), key=lambda r: -r.cls.worth):
            volume, units = request.volume, request.units
            known = left.get(volume)
            if known is None:
                volume.refill(now)
                share = node.shares.setdefault(volume, [float(settings.units_top), now, now])
                rate = power * volume.plan.weight
                share[0] = min(max(rate, float(settings.units_top)), share[0] + rate * (now - share[1]))
                share[1] = share[2] = now
                known = left[volume] = [volume.reserve_level, share[0]]
            request.tier = 0 if known[0] >= units / 2 else 1 if known[1] >= units / 2 else 2
            if request.tier < 2:
                known[request.tier] -= units
            request.density = request.base * (1.0, settings.share_worth, settings.spare_worth)[request.tier]

    def _price(self, node: Node) -> float:
        """What a unit must be worth to take room at a node now.

        What found no slot here asks for its own worth.  Latency above the lowest is work of others in front:
        as it takes up the aim, first spare, then share, then cheap reserved units are left out.
        """
        node.refresh()
        waiting = max(node.n_latency, node.silence()) - self.floor
        part = min(1.0, max(0.0, waiting) / max(self.cycle - self.floor, self.cycle / 4))
        return max(node.bid(self.now), CROWD * self.top * part ** 2)

    def _run_node(self, node: Node) -> None:
        """Lay out a node's bookings in its cycles, send what is due, refuse what has no slot."""
        if node.open and node.silence() > SILENT * self.cycle:
            self._suspect(node)
        if self.settings.may_cancel:
            self._free_stuck(node)
        node.queue = [entry for entry in node.queue if not entry[2].done]
        if node.queue:
            order, refused = self._layout(node)
            self._send_due(node, order)
            for request in [request for request in refused if not request.out]:
                self._end(request)
            node.queue = [entry for entry in node.queue if not entry[2].done and not entry[2].out]
        if (node.queue or node.out) and node.wake <= self.now + EPS:
            node.wake = self.now + LOOK * self.cycle
            self._at(node.wake, node)          # one pending wake a node, however often it is looked at

    def _layout(self, node: Node) -> tuple[list[Request], list[Request]]:
        """Order of the bookings: those that meet their aims, then late ones; and those without a slot.

        Each is laid into the earliest hole.  One that would miss its aim there pushes the bookings due the
        least, among those before it, to later holes; one that no hole finishes by its deadline is refused.
        """
        self._value(node)
        now, slot = self.now, node.slot()
        room = node.window - node.out_units
        heap: list[tuple[float, int, Request]] = []
        refused: list[Request] = []
        total = 0
        for _, seq, request in node.queue:
            request.late = self._cold_bars(node, request)
            if request.late:
                refused.append(request)
                continue
            time = node.serve_time(request.units)
            heappush(heap, (request.density, -seq, request))
            total += request.units
            while heap and now + max(0.0, total - room) * slot + time > request.aim_at:
                victim = heappop(heap)[2]
                victim.late = True
                total -= victim.units
                if now + time < victim.aim_at and not victim.priced:
                    victim.priced = True       # lost to others, not to its own size
                    node.bid(now, victim.density)
                if victim is request:
                    break
        order = [entry[2] for entry in node.queue if not entry[2].late]
        late = [entry[2] for entry in node.queue if entry[2].late and entry[2] not in refused]
        price = self._price(node)
        for request in sorted(late, key=lambda r: (-r.density * r.cls.late_worth, r.seq)):
            time = node.serve_time(request.units)
            end = now + max(0.0, total + request.units - room) * slot + time
            if end > request.deadline or node.suspect or request.density * request.cls.late_worth < price:
                refused.append(request)
            else:
                total += request.units
                order.append(request)
        if node.suspect and not order:
            order = sorted(refused, key=lambda r: (r.cls.repeat is io.Repeat.UNSAFE, r.units, r.seq))
        return order, refused

    def _send_due(self, node: Node, order: list[Request]) -> None:
        """Send bookings whose cycle is the present one, as long as there is room out there."""
        if self.now - node.cycle_at >= self.cycle:
            node.cycle_at, node.cycle_used = self.now, 0
        # The m of the paper: slots that a cycle holds by measured slot time, within the floor and the most.
        slots = int(min(M_MOST, max(self.settings.units_top + M_EXTRA, self.cycle / node.slot())))
        if node.suspect and self.now >= node.held and order and self._send(order[0], node):
            node.held = self.now + self.cycle
        if node.suspect or self.now < node.held:
            return
        price = self._price(node)
        # What follows on the same data costs a node a part of its work: it goes at once, behind its first.
        turns = {request.data: turn for turn, request in reversed(list(enumerate(order)))}
        for request in sorted(order, key=lambda r: -1 if r.data == node.last else turns[r.data]):
            room = node.window + (RUN * self.settings.units_top if request.data == node.last else 0)
            # Room left for dearer units that is still empty at a request's last chance is of use to nobody.
            last = self.now + node.serve_time(request.units) + 2 * LOOK * self.cycle > request.aim_at
            if request.density * (request.cls.late_worth if request.late else 1.0) < price and (
                    node.out_units or request.late or not last):
                continue
            if node.out_units + request.units > room and (
                    node.out_units or self.now - node.sent_at < request.units / node.window * node.n_latency):
                break
            if request.data != node.last and node.cycle_used and node.cycle_used + request.units > slots:
                break
            self._send(request, node)

    # --- sending -------------------------------------------------------------------------------

    def _cold_bars(self, node: Node, request: Request) -> bool:
        """Whether a request must not go to a node because that is cold.

        Each host sends a part of each tier, the key says which: repeats fare alike, and a lead that moves or
        a new life of a host changes nothing.  Reserves fit a node, and so does a part of them at every host;
        what is beyond surges through few hosts, so one's is bounded; its even part is free of all this.
        """
        if self.now >= node.cold_until:
            return False
        s = self.settings                      # the ramp is taken at the middle of the rule's window
        age = max(0.0, self.now - node.cold_from - s.fall_window / 2)
        ramp = min(1.0, s.cold_start + (1.0 - s.cold_start) * age / max(s.cold_time, 1e-9))
        if (tips := (s.fall_multiple or 0.0) * ramp) >= WARM_ENOUGH:
            return False
        node.cold_sent = [sent for sent in node.cold_sent if sent[0] > self.now - s.fall_window]
        sent = sum((units for _, units in node.cold_sent), request.units)
        bears = (s.cold_units or 0.0) * ramp / max(s.cold_start, 1e-9)
        dealt = crc32(request.data.encode()) < COLD_PART[request.tier] * tips * 2 ** 32
        return sent > EVEN_PART * bears / max(1, s.hosts) and not (
            dealt and (request.tier == 0 or sent <= SURGE_PART * bears))

    def _budget_left(self) -> bool:
        """Whether one more attempt beyond a request's first stays within the budget."""
        s = self.settings
        if s.budget_floor is None:
            return True
        for log in (self.taken, self.extras):
            while log and log[0] <= self.now - s.budget_window + (s.tick if log is self.taken else -s.tick):
                log.popleft()
        return len(self.extras) + 1 <= s.budget_floor + s.budget_share * len(self.taken)

    def _may_repeat(self, request: Request, node: Node | None = None) -> bool:
        """Whether another attempt can have no second effect; without a node, whether any could."""
        cls = request.cls
        if not request.ran or cls.repeat is io.Repeat.SAFE:
            return True
        ends = request.ran[0][1] + cls.repeat_window - self.settings.tick
        if cls.repeat is io.Repeat.UNSAFE or self.now > ends:
            return False
        first = request.ran[0][0]
        return node is None or cls.scope is io.Scope.ALL or (
            node.zone == first.zone if cls.scope is io.Scope.ZONE else node.shard == first.shard)

    def _has_turn(self, request: Request) -> bool:
        """Order by key: only the oldest that is not over, and only once the key has rested."""
        if not request.cls.ordered or not request.key:
            return True
        return self.chains[request.key][0] is request and (
            request.tries > 0 or self.rests.get(request.key, 0.0) <= self.now)

    def _send(self, request: Request, node: Node) -> bool:
        """The one way out to a node.  Every rule on sending is checked here."""
        if (request.done or request.out or not node.open or request.deadline <= self.now
                or request.shard is not None and request.shard != node.shard
                or request.tries >= self.most_tries
                or not self._may_repeat(request, node) or not self._has_turn(request)
                or self._cold_bars(node, request)
                or request.tries and not self._budget_left()):
            return False
        if not request.drawn:
            request.volume.refill(self.now)
            if request.volume.limit_wait(request.units) > 0:
                return False
            request.volume.limit_level -= request.units
            request.volume.pending -= request.units
        if request.tries:
            self.extras.append(self.now)
        elif request.tier == 0:
            request.volume.reserve_level -= request.units
        elif request.tier == 1 and request.volume in node.shares:
            node.shares[request.volume][0] -= request.units
        if self.now < node.cold_until:
            node.cold_sent.append((self.now, request.units))
        # Guards a limit counted at a node's last byte: kept from filling a full store, given back if unsent.
        coming = request.units * (self.settings.limit_at_arrival and not request.drawn)
        attempt, request.drawn = Attempt(request, request.tries, node, self.now, coming), True
        request.volume.coming += coming
        request.out[request.tries] = node.out[(request.id, request.tries)] = attempt
        request.tries += 1
        node.out_units += request.units
        node.cycle_used += request.units
        node.sent_at, node.last = self.now, request.data
        node.n_out += SMOOTH * (node.out_units - node.n_out)
        # Guards against work of many times the usual size, and against queues filled by others: past its aim
        # an attempt gives way.  Harm: an answer about to come, worth a little, is lost.
        until = request.aim_at if self.now < request.aim_at else request.deadline
        self.actions.append(io.Send(request.id, node.id, until - self.now))
        return True

    # --- ending --------------------------------------------------------------------------------

    def _end(self, request: Request, owed: bool = True, retry_after: float | None = None) -> None:
        """The one way a request ends: refused where that is a true promise, else failed."""
        if request.done:
            return
        request.done = True
        if owed:
            cls = request.cls
            if not (request.ran or request.out) or cls.repeat is io.Repeat.SAFE or (
                    cls.repeat is io.Repeat.KEYED and cls.scope is io.Scope.ALL):
                wait = min(retry_after or self.cycle, self.settings.max_retry_after)
                self.actions.append(io.Refuse(request.id, wait if self.settings.retry_after else None))
            else:
                self.actions.append(io.Fail(request.id))
        if self.settings.may_cancel:
            for attempt in request.out.values():
                self.actions.append(io.Cancel(request.id, attempt.number))
        if request.asked and not request.drawn:  # never sent, so what its booking spoke for is given back
            request.volume.pending -= request.units
        self._forget(request)

    def _forget(self, request: Request) -> None:
        """Drop a request that is over and has nothing out; the next of its key may follow."""
        if request.done and not request.out:
            self.requests.pop(request.id, None)
            if request.cls.ordered and request.key:
                self._advance(request.key)

    def _advance(self, key: str) -> None:
        """Give the turn of an ordered key to the oldest request that is not over."""
        chain = self.chains.get(key)
        while chain and chain[0].done and not chain[0].out:
            chain.popleft()
        rest = self.rests.get(key, 0.0)
        if chain and not chain[0].asked and not chain[0].done:
            if rest > self.now:
                self._at(rest, key)
            else:
                self._book(chain[0])
        elif chain is not None and not chain:
            del self.chains[key]
            if rest <= self.now:
                self.rests.pop(key, None)


HANDLERS = {
    io.RequestArrived: Scheduler._on_request,
    io.NodesListed: Scheduler._on_list,
    io.ByHand: Scheduler._on_hand,
    io.SentBeside: Scheduler._on_beside,
    io.AttemptEnded: Scheduler._on_ended,
    io.StreamStarted: Scheduler._on_stream,
    io.Upload: Scheduler._on_upload,
    io.ClientGone: Scheduler._on_gone,
    io.TimerFired: Scheduler._on_timer,
}
