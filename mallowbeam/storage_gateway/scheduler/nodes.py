"""Storage nodes: which take new work, by lists, operators and answers, and what is learned of them."""

from math import exp
from zlib import crc32

from mallowbeam.storage_gateway.scheduler.interface import (
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    NodeEntry,
    NodeState,
    OperatorOverride,
)
from mallowbeam.storage_gateway.scheduler.requests import PRICE_LASTS, Attempt, Request, Volume

MEMORY, PRIOR = 1.0, 0.5  # seconds for which an answer says much; what all nodes' latency counts, in answers
CLIP = 3.0  # a sample counts as at most this many times the mean: one pause can't poison it
PRICE_STEP = 0.5  # how far one request without a slot moves a node's price towards its worth
TARGET = 0.35  # of the cycle: the latency steered to; the rest is for waiting here, still movable
GROW, SHRINK = 0.7, 0.3  # units that a round trip under target adds to the room; share that twice it takes
M_EXTRA, M_MOST = 4, 32  # a cycle has room for the largest request and this more, and no more than M_MOST
WATCH_AGAIN, AGENT_AGAIN = 1.0, 0.05  # seconds to a failed call's repeat: most for few; at its agent
MOST_AGAIN, FLEET_CALLS = 2.2, 5.0  # the most in any fleet (`net/discovery.py`); calls a second by all hosts
UNTOLD = 3.0  # seconds by which lists run late: so long a node not reached is taken for cold
BREAKS, REFUSAL = 6, 3  # broken connections in a row after which a node has ended; one refused counts 3
EVEN_PART, LOAD_PART = 0.5, 0.7  # of what a cold node bears: dealt out over hosts, or over what they ask
COLD_PART = (0.35, 0.04, 0.04)  # of what is asked, in what tips it: by tier, whatever the load
MOST_PART, SURGE_PART = 0.5, 0.2  # the same, at most; and of what it bears, through one host


class Node:
    """A storage node as this host sees it: bookings, slot time and health."""

    def __init__(self, entry: NodeEntry, sched) -> None:
        self.id, self.shard, self.zone = entry.node, entry.shard, entry.zone
        self.started_at = entry.started_at
        self.state, self.open = entry.state, False  # as listed; whether new work may go there
        self.queue: list[tuple[float, int, Request]] = []  # bookings not sent, by aim
        self.out: dict[tuple[str, int], Attempt] = {}  # what it is at work on, in the order sent
        self.sched, self.out_units = sched, 0
        self.mean = self.n_latency = sched.prior  # answers of late, for the usual size; and with the prior
        self.weight, self.fresh_at = 0.0, sched.now  # how many answers of late that mean stands on
        self.n_out, self.cycle_at, self.cycle_used = sched.settings.typical_units, sched.now, 0
        self.window = float(sched.settings.max_units)  # units that may be out at once
        self.last_answer = self.held = sched.now  # held: nothing goes before this time
        self.sent_at, self.wake, self.last = -1e9, -1e9, ""  # last: the data of what was sent there last
        self.answered = -1e9  # when the latest sent of those that it answered went out
        self.suspect, self.breaks = False, 0  # silent or not reached; connections broken since an answer
        self.faults, self.fails = 0.0, False  # share of its answers of late that were errors; too many
        self.cold_from = self.cold_until = -1e9  # its start, as told or presumed, and when it is warm
        self.cold_sent: list[list[float]] = []  # when units went there while cold, and how many
        self.shares: dict[Volume, list[float]] = {}  # share level, filled at, last request
        self.weights, self.weights_at, self.price, self.price_at = 0.0, -1e9, 0.0, sched.now

    def refresh(self) -> None:
        """Let answers fade with time, so that few a second weigh as they should: recent or not at all."""
        if (now := self.sched.now) > self.fresh_at:
            self.weight, self.fresh_at = self.weight * exp((self.fresh_at - now) / MEMORY), now
            self.n_latency = (self.weight * self.mean + PRIOR * self.sched.prior) / (self.weight + PRIOR)

    def learn(self, units: int, latency: float, at_least: bool) -> None:
        """Steer the units out here so that answers, or lower bounds on them, take TARGET of a cycle."""
        self.refresh()
        sched = self.sched
        usual = max(latency - sched.slope * (units - sched.settings.typical_units), 0.2 * latency)
        if at_least and usual <= self.n_latency:
            usual = self.n_latency
        else:
            self.mean += (min(usual, CLIP * self.n_latency) - self.mean) / (self.weight + 1.0)
            self.weight += 1.0
            self.n_latency = (self.weight * self.mean + PRIOR * sched.prior) / (self.weight + PRIOR)
        over = usual / (sched.floor + TARGET * max(0.0, sched.cycle - sched.floor)) - 1.0
        if over > 0:
            self.window = max(1.0, self.window - SHRINK * units * min(1.0, over))
        elif self.queue or self.out_units + units > 0.7 * self.window:
            self.window = min(float(M_MOST), self.window + GROW * units / self.window)

    def silence(self) -> float:
        """How long two attempts are overdue, or one, which may be costly, for a cycle more."""
        if not (two := list(self.out.values())[:2]):
            return 0.0
        due = two[-1].sent_at + self.sched.slope * two[-1].request.units + self.sched.cycle * (len(two) < 2)
        return max(0.0, self.sched.now - max(self.last_answer, due))

    def serve_time(self, units: int) -> float:
        """Expected latency of a request of this size sent now."""
        self.refresh()
        base = self.n_latency - self.sched.slope * self.sched.settings.typical_units
        return max(base, self.silence()) + self.sched.slope * units

    def bid(self, now: float, worth: float = 0.0) -> float:
        """The price of a unit here, moved by what found no slot and forgotten within seconds."""
        self.price, self.price_at = self.price * exp((self.price_at - now) / PRICE_LASTS), now
        self.price += PRICE_STEP * max(0.0, worth - self.price)
        return self.price

    def slot(self) -> float:
        """Measured slot time: the node's smoothed latency over this host's units out there."""
        return self.n_latency / max(1.0, self.n_out, self.out_units)


class Health:
    """The Scheduler's part that opens, closes and paces nodes."""

    def _on_list(self, event: DiscoveryUpdate) -> None:
        if event.kind in (DiscoveryUpdateKind.FAILED, DiscoveryUpdateKind.TIMED_OUT):
            # Guards discovery at its return: calls are drawn apart, the first over all of the time that what
            # it has may stay untold, later ones near its end.  Where a watch fell silent it is asked at once.
            self.watch_failures += 1
            most = min(max(WATCH_AGAIN, self.settings.hosts / FLEET_CALLS), MOST_AGAIN)
            wait = most * (1.0 - self.random.random() * (1.0 if self.watch_failures == 1 else 0.2))
            wait = min(wait, self.settings.max_list_age or wait)
            wait *= event.kind is DiscoveryUpdateKind.FAILED or self.watch_failures > 1
            return self._at(self.now + (wait if self.settings.discovery_on_request else AGENT_AGAIN), "")
        self.watch_failures, entries = 0, event.entries
        if event.kind is not DiscoveryUpdateKind.DELTA:  # what a whole list leaves out is gone
            named = {entry.node for entry in entries}
            entries = [NodeEntry(n, NodeState.REMOVED) for n in self.nodes if n not in named] + entries
        for entry in entries:
            fresh, since = entry.node not in self.nodes, entry.started_at
            if fresh and entry.state is NodeState.REMOVED:
                continue
            node = self.nodes[entry.node] = Node(entry, self) if fresh else self.nodes[entry.node]
            node.state = entry.state
            if node.state is NodeState.READY:
                if fresh and since is None and event.kind is DiscoveryUpdateKind.DELTA:
                    since = self.now  # a machine that joins unexplained is a replacement, so cold
                if since is not None and (fresh or since != node.started_at):
                    self._chill(node, since)
                    self._alive(node)  # it runs: what fell silent did so before
                node.started_at = since
            self._admit(node)
        return None

    def _on_hand(self, event: OperatorOverride) -> None:
        """Out by hand, or back: one call back lifts all that stands, and the node was restarted meanwhile."""
        banned = self.disabled_nodes.pop(event.node, None)
        if event.disabled:
            self.disabled_nodes[event.node] = banned or event.disabled_at or self.now
        if node := self.nodes.get(event.node):
            if banned is not None and not event.disabled:
                if (node.started_at or 0.0) < banned:  # no list has told of a start: the latest is presumed
                    self._chill(node, self.now)
                node.suspect = True  # what was known of it is forgotten, as with a first answer
                self._alive(node)
            self._admit(node)

    def _chill(self, node: Node, since: float, lasts: float | None = None) -> None:
        if self.settings.overload_window and self.settings.slow_start_time:
            node.cold_from, node.cold_until = since, since + (lasts or self.settings.slow_start_time)

    def _admit(self, node: Node) -> None:
        node.open = node.state is NodeState.READY and node.id not in self.disabled_nodes
        self.open = [known for known in self.nodes.values() if known.open]
        if not node.open:
            self._rebook(node, lambda request: True)
        self.touched[node.id] = node

    def _rebook(self, node: Node, wanted) -> None:
        moved = [entry[2] for entry in node.queue if wanted(entry[2])]
        node.queue = [entry for entry in node.queue if not wanted(entry[2])]
        for request in moved:
            self._book(request)

    def _alive(self, node: Node) -> None:
        """An answer came; what the silence before it seemed to tell is forgotten."""
        node.last_answer, node.breaks = self.now, 0
        if node.suspect:
            node.suspect, node.weight, node.held = False, 0.0, self.now
            self.touched[node.id] = node

    def _broke(self, node: Node, weight: int) -> None:
        """A connection broke or was refused: a node that ends breaks all of them, one that lives answers."""
        node.breaks += weight
        if node.breaks >= BREAKS:
            self._suspect(node)
            if node.cold_until < self.now + UNTOLD:  # it may be back, and cold, before any list says so
                self._chill(node, self.now, UNTOLD)

    def _suspect(self, node: Node) -> None:
        """No answers, or no connection: only a trickle goes there until one comes."""
        if not node.suspect:
            node.suspect = True
            self._rebook(node, lambda request: request.shard is None)
            self.touched[node.id] = node

    def _cold_bars(self, node: Node, request: Request) -> bool:
        """Whether a node is too cold for it: past its even part a host sends a part, by key and demand."""
        if self.now >= node.cold_until:
            return False
        s = self.settings  # the ramp is taken at the middle of the rule's window
        age = max(0.0, self.now - node.cold_from - s.overload_window / 2)
        ramp = min(1.0, s.slow_start_capacity + (1.0 - s.slow_start_capacity) * age / s.slow_start_time)
        tips, bears = (
            (s.overload_multiple or 0.0) * ramp,
            (s.slow_start_units or 0.0) * ramp / max(s.slow_start_capacity, 1e-9),
        )
        node.cold_sent = [sent for sent in node.cold_sent if sent[0] > self.now - s.overload_window]
        sent = sum((units for _, units in node.cold_sent), request.units)
        even = EVEN_PART * bears / max(1, s.hosts)
        share = COLD_PART[request.tier] * tips / (1 if request.tier else request.volume.hosts)
        if even < request.units:
            heard = 1.0 - exp((self.born - self.now) / s.overload_window)
            share += LOAD_PART * bears * max(1, s.shards) * heard / (self.asked * max(1, s.hosts))
        dealt = crc32(request.data.encode()) < min(share, MOST_PART * tips) * 2**32
        return sent > even and (
            not dealt or request.tries > 0 or sent > max(SURGE_PART * bears, min(request.units, bears))
        )
