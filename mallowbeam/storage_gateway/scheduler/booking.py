"""Where and when a request goes: its node, its value there, its place in the node's cycles."""

from bisect import insort
from heapq import heappop, heappush
from math import exp
from zlib import crc32

from mallowbeam.storage_gateway.scheduler.interface import Idempotency
from mallowbeam.storage_gateway.scheduler.nodes import M_EXTRA, M_MOST, Node
from mallowbeam.storage_gateway.scheduler.requests import EPS, Request, Volume

CHOICES, HOLE = 6, 1.25  # other nodes, hashed too, lest all turn to one; how much later the first may be
RUN = 2  # largest requests: what may be out beyond the room behind one of the same data
LOOK, SILENT = 0.1, 1.5  # cycles: how often a node at work is looked at; without an answer, as when it hangs
ACTIVE = 2.0  # seconds for which a volume counts in the sharing of a node after its last request
CROWD = 0.3  # of the dearest unit: what one must be worth where waiting takes up the aim
CAPACITY_DEALT = 0.9  # of a node's power is dealt out by weight (the users' terms)


class Booking:
    """The Scheduler's part that books requests and lays them out."""

    asked, asked_at = 0.0, 0.0  # units booked here within about a cold node's window, and when

    def _book(self, request: Request) -> None:
        if request.done or request.out:
            return None
        node, volume = self._choose(request), request.volume
        if node is None:
            return self._end(request)
        if not request.asked:
            worth = request.request_class.value * volume.plan.price
            if (wait := volume.limit_wait(self.now, request.units + volume.pending, worth)) > 0:
                return self._end(request, retry_after=wait)
            request.asked = True
            faded = exp((self.asked_at - self.now) / (self.settings.overload_window or 1.0))
            self.asked, self.asked_at = self.asked * faded + request.units, self.now
            volume.pending += request.units
        insort(node.queue, (request.aim_at, request.seq, request))
        self.touched[node.id] = node
        return None

    def _choose(self, request: Request) -> Node | None:
        """The open node that holds the shard; for a new object the one hashed, unless a hole is earlier."""
        # Guards against a booking where it may never be sent: it would be held there to its deadline.
        nodes = [
            node
            for node in self.open
            if request.shard in (None, node.shard) and (not request.ran or self._may_repeat(request, node))
        ]
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
        return (
            max(0.0, ahead) * node.slot() + node.serve_time(units) + (10 * self.cycle if node.fails else 0.0)
        )

    def _value(self, node: Node) -> None:
        """What each booking's units are worth now: inside the reserve, the share by weight, or spare."""
        now, settings, top = self.now, self.settings, float(self.settings.max_units)
        if now - node.weights_at > ACTIVE / 4:
            node.shares = {volume: share for volume, share in node.shares.items() if now - share[1] <= ACTIVE}
            node.weights_at, node.weights = now, sum(volume.plan.weight for volume in node.shares)
        power = CAPACITY_DEALT * node.window / max(node.n_latency, 1e-3) / max(node.weights, 1e-9)
        left: dict[Volume, list[float]] = {}  # anew each time: the classes worth most take what is due first
        for request in sorted((entry[2] for entry in node.queue), key=lambda r: -r.request_class.value):
            volume = request.volume
            if volume not in left:
                volume.refill(now)
                rate, share = power * volume.plan.weight, node.shares.setdefault(volume, [top, now])
                share[:] = min(max(rate, top), share[0] + rate * (now - share[1])), now
                left[volume] = [volume.reserve_level, share[0], float("inf")]
            levels = left[volume]
            request.tier = next(tier for tier in range(3) if levels[tier] >= request.units / 2)
            levels[request.tier] -= request.units
            worth = (1.0, settings.share_value, settings.spare_value)[request.tier]
            request.density = request.request_class.value * volume.plan.price * worth

    def _price(self, node: Node) -> float:
        """What a unit must be worth to go there now: bids, and as others' work takes up the aim, more."""
        node.refresh()
        waiting = max(node.n_latency, node.silence()) - self.floor
        part = min(1.0, max(0.0, waiting) / max(self.cycle - self.floor, self.cycle / 4))
        return max(node.bid(self.now), CROWD * self.top * part**2)

    def _run_node(self, node: Node) -> None:
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
            self._at(node.wake, node)  # one pending wake a node, however often it is looked at

    def _layout(self, node: Node) -> tuple[list[Request], list[Request]]:
        """Order of bookings: in their aims (the least due give way), then late; and those without a slot."""
        self._value(node)
        now, slot, room = self.now, node.slot(), node.window - node.out_units
        refused = [entry[2] for entry in node.queue if self._cold_bars(node, entry[2])]
        queue = [entry[2] for entry in node.queue if entry[2] not in refused]
        heap, total = [], 0  # of those that meet their aims: the one due the least first
        for request in queue:
            request.late, time = False, node.serve_time(request.units)
            heappush(heap, (request.density, -request.seq, request))
            total += request.units
            while heap and now + max(0.0, total - room) * slot + time > request.aim_at:
                victim = heappop(heap)[2]
                victim.late = True
                total -= victim.units
                if now + time < victim.aim_at and not victim.priced:
                    victim.priced = True  # lost to others, not to its own size
                    node.bid(now, victim.density)
                if victim is request:
                    break
        order, price = [request for request in queue if not request.late], self._price(node)
        late = [request for request in queue if request.late]
        for request in sorted(late, key=lambda r: (-r.density * r.request_class.late_value, r.seq)):
            end = now + max(0.0, total + request.units - room) * slot + node.serve_time(request.units)
            if (
                end > request.deadline
                or node.suspect
                or request.density * request.request_class.late_value < price
            ):
                refused.append(request)
            else:
                total += request.units
                order.append(request)
        if node.suspect and not order:
            order = sorted(
                refused, key=lambda r: (r.request_class.idempotency is Idempotency.UNSAFE, r.units, r.seq)
            )
        return order, refused

    def _send_due(self, node: Node, order: list[Request]) -> None:
        if self.now - node.cycle_at >= self.cycle:
            node.cycle_at, node.cycle_used = self.now, 0
        # The m of the paper: slots that a cycle holds by measured slot time, within the floor and the most.
        slots = int(min(M_MOST, max(self.settings.max_units + M_EXTRA, self.cycle / node.slot())))
        if node.suspect and self.now >= node.held and order and self._send(order[0], node):
            node.held = self.now + self.cycle
        if node.suspect or self.now < node.held:
            return
        price = self._price(node)
        turns = {request.data: turn for turn, request in reversed(list(enumerate(order)))}
        for request in sorted(order, key=lambda r: -1 if r.data == node.last else turns[r.data]):
            room = node.window + (RUN * self.settings.max_units if request.data == node.last else 0)
            # Room left for dearer units that is still empty at a request's last chance is of use to nobody.
            last = self.now + node.serve_time(request.units) + 2 * LOOK * self.cycle > request.aim_at
            if request.density * (request.request_class.late_value if request.late else 1.0) < price and (
                node.out_units or request.late or not last
            ):
                continue
            if node.out_units + request.units > room and (
                node.out_units or self.now - node.sent_at < request.units / node.window * node.n_latency
            ):
                break
            if request.data != node.last and node.cycle_used and node.cycle_used + request.units > slots:
                break
            self._send(request, node)
