"""Every attempt's way: what may be sent at all, what came of it, and how a request ends."""

from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    Send,
    StreamStarted,
    UploadProgress,
)
from mallowbeam.storage_gateway.scheduler.nodes import REFUSAL, SHRINK, Node
from mallowbeam.storage_gateway.scheduler.requests import EPS, Attempt, Request

SMOOTH, FAULTY = 0.1, 0.3  # weight of one answer in a node's share of errors; the share that fails a node
STUCK = 5.0  # times the expected time after which an attempt passed over by later ones is given up
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
UNSENT = (Outcome.NO_CONNECTION, Outcome.NOT_SENT)  # on sockets: its last byte never left
NEVER_RAN = (*UNSENT, Outcome.REJECTED, Outcome.MISDIRECTED)


class Sending:
    """The Scheduler's part that sends, hears of attempts and ends requests."""

    def _budget_left(self) -> bool:
        s = self.settings
        if s.retry_budget_floor is None:
            return True
        for log in (self.taken, self.extras):
            while log and log[0] <= self.now - s.retry_budget_window + (
                s.tick if log is self.taken else -s.tick
            ):
                log.popleft()
        return len(self.extras) + 1 <= s.retry_budget_floor + s.retry_budget_ratio * len(self.taken)

    def _may_repeat(self, request: Request, node: Node | None = None) -> bool:
        """Whether another attempt can have no second effect; without a node, whether any could."""
        cls = request.request_class
        if not request.ran or cls.idempotency is Idempotency.SAFE:
            return True
        first, sent_at = request.ran[0]
        if (
            cls.idempotency is Idempotency.UNSAFE
            or self.now > sent_at + cls.dedup_window - self.settings.tick
        ):
            return False
        return (
            node is None
            or cls.dedup_scope is DeduplicationScope.ALL
            or (
                node.zone == first.zone
                if cls.dedup_scope is DeduplicationScope.ZONE
                else node.shard == first.shard
            )
        )

    def _forbidden(self, request: Request, node: Node) -> bool:  # when it is decided, and when it begins
        return (
            request.done
            or not node.open
            or request.deadline <= self.now
            or not self._may_repeat(request, node)
        )

    def may_begin(self, now: float, name: str, number: int) -> bool:
        """Whether an attempt's first byte may go out, its connection being up: the last look, on sockets."""
        self.now, request = now, self.requests.get(name)
        attempt = request.out.get(number) if request else None
        begins = (
            attempt is not None
            and now < attempt.until
            and not self._forbidden(request, attempt.node)
            and attempt.cold_from == attempt.node.cold_from
        )
        if begins and now < attempt.node.cold_until:  # what counts at a cold node is when it comes there
            attempt.cold[1], attempt.cold = 0, [now, request.units]
            attempt.node.cold_sent.append(attempt.cold)
        return begins

    def _send(self, request: Request, node: Node) -> bool:
        """The one way out to a node.  Every rule on sending is checked here."""
        # Order by key: only the oldest that is not over, and only once the key has rested.
        turn = (
            not (chain := self.chains.get(request.key))
            or chain[0] is request
            and (request.tries > 0 or self.rests.get(request.key, 0.0) <= self.now)
        )
        if (
            self._forbidden(request, node)
            or request.out
            or request.shard not in (None, node.shard)
            or request.tries >= self.most_tries
            or not turn
            or self._cold_bars(node, request)
            or request.tries
            and not self._budget_left()
        ):
            return False
        if not request.drawn:
            if request.volume.limit_wait(self.now, request.units) > 0:
                return False
            request.volume.limit_level -= request.units
            request.volume.pending -= request.units
        if request.tries:
            self.extras.append(self.now)
        elif request.tier == 0:
            request.volume.reserve_level -= request.units
        elif request.tier == 1 and request.volume in node.shares:
            node.shares[request.volume][0] -= request.units
        # Counted by the limit at its last byte: kept from filling a full store, and given back if unsent.
        coming = request.units * (self.settings.limit_at_arrival and not request.drawn)
        attempt, request.drawn = Attempt(request, request.tries, node, self.now, coming), True
        request.volume.coming += coming
        request.out[request.tries] = node.out[(request.id, request.tries)] = attempt
        request.tries += 1
        node.out_units += request.units
        node.cycle_used += request.units
        node.sent_at, node.last = self.now, request.data
        if self.now < node.cold_until:
            node.cold_sent.append(attempt.cold)
        node.n_out += SMOOTH * (node.out_units - node.n_out)
        # Guards against queues and outsize work: past its aim it gives way.  Harm: a late answer is lost.
        attempt.until = request.aim_at if self.now < request.aim_at else request.deadline
        self.actions.append(Send(request.id, node.id, attempt.until - self.now))
        return True

    def _on_stream(self, event: StreamStarted) -> None:
        """An answer has begun: its node is done with it, and what is left is passing it on."""
        if request := self.requests.get(event.request):
            node, request.done = request.out[event.attempt].node, True
            self._idle(request.out[event.attempt])
            self._alive(node)
            node.learn(request.units, event.latency, False)

    def _on_upload(self, event: UploadProgress) -> None:
        """A large body passes through: until its last byte is out no time runs, and it goes out only once."""
        request = self.requests.get(event.request)
        if (attempt := request.out.get(event.attempt) if request else None) is None:
            return
        self._idle(attempt)
        request.volume.coming -= attempt.coming  # drawn when sent, but the limit counts from the last byte
        attempt.coming = request.units if event.time_left is None else 0
        request.volume.coming += attempt.coming
        request.tries, request.deadline = self.most_tries, float("inf")
        if event.time_left is not None:
            attempt.sent_at, request.deadline = self.now, self.now + event.time_left
            self._at(request.deadline - self.settings.tick, request)
            attempt.node.out[request.id, event.attempt] = attempt
            attempt.node.out_units += request.units

    def _idle(self, attempt: Attempt) -> bool:
        """Take an attempt off its node's work, unless that is over or has not begun; tell which."""
        worked = attempt.node.out.pop((attempt.request.id, attempt.number), None) is not None
        attempt.node.out_units -= attempt.request.units * worked
        return worked

    def _on_gone(self, event: ClientDisconnected) -> None:
        if request := self.requests.get(event.request):
            self._end(request, owed=False)

    def _on_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        attempt = request.out.pop(event.attempt, None) if request else None
        if attempt is None:
            return
        node, outcome, worked = attempt.node, event.outcome, self._idle(attempt)
        self.touched[node.id], volume = node, request.volume
        volume.coming -= attempt.coming
        if outcome in UNSENT:  # no node has it: it is charged to nothing
            attempt.cold[1] = 0
            volume.reserve_level += request.units * (not attempt.number and request.tier == 0)
            if attempt.coming and request.tries == attempt.number + 1:
                request.drawn, volume.limit_level = False, volume.limit_level + attempt.coming
                volume.pending += attempt.coming
        volume.reserve_level = max(-volume.reserve_top, volume.reserve_level - event.remote_units)
        if outcome not in MAY_STILL_RUN + UNSENT:
            self._alive(node)
            node.answered, failed = max(node.answered, attempt.sent_at), outcome is Outcome.ERROR
            node.faults += SMOOTH * (failed - node.faults)
            node.fails = node.faults > FAULTY
            if failed and node.fails and attempt.sent_at >= node.cycle_at:
                node.cycle_used -= request.units  # no slot: what is sent again must not use up the cycle
        if outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED):
            # Silence is no slot time: what is given up on at a silent node teaches nothing.
            if worked and (outcome is Outcome.OK or not node.suspect and not attempt.stuck):
                node.learn(request.units, self.now - attempt.sent_at, outcome is not Outcome.OK)
        elif outcome is Outcome.REJECTED:
            # Guards against a full queue, whoever filled it: fewer out there, and a pause of a round trip.
            if self.now >= node.held:
                node.window = max(1.0, node.window * (1.0 - SHRINK))
            node.held = self.now + node.n_latency
        elif outcome in (Outcome.NO_CONNECTION, Outcome.RESET):
            self._broke(node, REFUSAL if outcome is Outcome.NO_CONNECTION else 1)
        if outcome not in NEVER_RAN:
            request.ran.append((node, attempt.sent_at))
        if outcome in MAY_STILL_RUN and request.key:
            self.rests[request.key] = self.now + self.settings.order_settle_time
        again = outcome is Outcome.RESET or attempt.stuck
        if (
            event.finished
            or outcome in MAY_STILL_RUN
            and not again
            or outcome is Outcome.MISDIRECTED
            or not self._may_repeat(request)
            or request.tries >= self.most_tries
        ):  # it would wait in vain
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
            if (
                not attempt.stuck
                and not request.done
                and request.request_class.idempotency is not Idempotency.UNSAFE
                and not request.tries >= self.most_tries
                and self.now - attempt.sent_at > STUCK * time
                and self.now + time < request.aim_at
            ):
                attempt.stuck = True
                self.actions.append(Cancel(request.id, attempt.number))

    def _end(self, request: Request, owed: bool = True, retry_after: float | None = None) -> None:
        """The one way a request ends: refused where that is a true promise, else failed."""
        if request.done:
            return
        request.done, cls = True, request.request_class
        harmless = (
            cls.idempotency is Idempotency.SAFE
            or cls.idempotency is Idempotency.KEYED
            and cls.dedup_scope is DeduplicationScope.ALL
        )
        if owed and (harmless or not (request.ran or request.out)):
            wait = min(retry_after or self.cycle, self.settings.max_retry_after)
            self.actions.append(Reject(request.id, wait if self.settings.retry_after else None))
        elif owed:
            self.actions.append(Fail(request.id))
        if self.settings.may_cancel:
            self.actions += [Cancel(request.id, number) for number in request.out]
        if request.asked and not request.drawn:  # never sent, so what its booking spoke for is given back
            request.volume.pending -= request.units
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.done and not request.out:
            self.requests.pop(request.id, None)
            if request.key:
                self._advance(request.key)

    def _advance(self, key: str) -> None:
        """Give the turn of an ordered key to the oldest request that is not over."""
        chain, rest = self.chains.get(key), self.rests.get(key, 0.0)
        while chain and chain[0].done and not chain[0].out:
            chain.popleft()
        if chain and not chain[0].asked and not chain[0].done:
            if rest > self.now + EPS:  # else the timer due now would be set again, for ever
                self._at(rest, key)
            else:
                self._book(chain[0])
        elif chain is not None and not chain:
            del self.chains[key]
