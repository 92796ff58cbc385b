"""A model of a fleet in simulated time: independent gateways with a planner each, instances, and clients.

The instances prefill in chunks, decode in steps, cache segments by last use and transfer one KV cache at a
time; clients retry once after a rejection.  The model shows how the planners' choices interact, not what a
deployment would measure.  `test_admission_simulation.py` has the tests and the report.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mallowbeam.router.admission.messages import Outcome, Plan, PlanRequest, PromptSegment, Rejection
from mallowbeam.router.admission.planner import Planner
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.data_plane.demand import DemandMeter, MeasuredPlanner, TokenKind
from mallowbeam.router.pairing.stage_balancer import (
    OrderResult,
    StageBalancer,
    StageBalancerSettings,
    StageInstance,
    StageOrder,
)
from mallowbeam.router.pairing.stage_demand import sum_demands
from mallowbeam.router.rpc import messages_pb2 as messages

ZONES = ("a", "b", "c")
ENGINE = messages.Engine(
    slots=64, kv_capacity=400_000, kv_token_bytes=18_432, link_mbps=500_000.0, switch_s=1.7
)
PREFILL_MS_PER_TOKEN, ATTENTION_MS_PER_PAIR, CHUNK_TOKENS = 1 / 57.0, 0.165e-6, 2_048
STEP_MS, STEP_MS_PER_REQUEST, FIRST_TOKEN_MS, TRANSFER_SETUP_MS, NETWORK_MS = 3.2, 0.1, 13.0, 3.3, 1.0
MAX_QUEUED = 192
BACKEND = "llm"
ORDER_INTERVAL_S = 1.0  # between two decisions of the leader
ANNOUNCEMENT_DELAY_S = 0.05  # from an order until the gateways know of it
REPEATED_WITHIN_S = 6.0


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    rate: float
    shared_segments: tuple[tuple[int, int], ...]  # mean tokens and number of distinct ones
    own_tokens: int
    own_spread: float
    max_own_tokens: int
    mean_answer_tokens: int
    target_latency_s: float
    time_limit_s: float
    value: float
    priority: int


KINDS = (
    Kind("long", 26.2, ((2520, 4), (3780, 297)), 2890, 1.0, 39_600, 52, 0.4, 3.0, 2.0, 1),
    Kind("medium", 28.2, ((341, 8), (227, 212)), 1800, 1.3, 6_870, 22, 0.3, 2.5, 3.0, 0),
    Kind("short", 13.9, ((103, 20), (69, 157)), 543, 0.89, 2_310, 280, 0.25, 8.0, 1.0, 2),
)


@dataclass
class Job:
    """One attempt of a request."""

    kind: Kind
    request: PlanRequest
    gateway: int
    started: float
    answer_tokens: int
    first_attempt_at: float
    attempts: int = 1
    plan: Plan | None = None
    first_token_at: float | None = None
    last_at: float = 0.0
    longest_pause_s: float = 0.0
    generated: int = 0
    uncached_left: float = 0.0
    read: int = 0
    on_prefilled: Callable[[], None] = lambda: None
    ended: bool = False

    @property
    def urgency(self) -> int:
        """The priority in the engine's queue."""
        return self.plan.engine_priority if self.plan else 5


class Server:
    """A model server."""

    def __init__(self, world: World, name: str, zone: str, stage: str, speed: float) -> None:
        self.world, self.name, self.zone, self.stage, self.speed = world, name, zone, stage, speed
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0
        self.pinned = 0
        self.queue: list[Job] = []
        self.running: list[Job] = []
        self.link_free_at = 0.0
        self.busy = False
        self.down_until = 0.0
        self.switching_to = ""
        self.arrivals = self.prefilled_tokens = 0

    @property
    def occupancy(self) -> int:
        return len(self.queue) + len(self.running)

    def enqueue(self, job: Job, on_prefilled: Callable[[], None]) -> bool:
        """Queue a prompt for its prefill."""
        if self.switching_to or self.occupancy >= ENGINE.slots + MAX_QUEUED:
            return False
        job.on_prefilled, job.uncached_left = on_prefilled, -1.0
        self.arrivals += 1
        self.queue.append(job)
        # Prefills in progress come first.
        self.queue.sort(key=lambda other: (other.uncached_left < 0, other.urgency))
        self._schedule_step()
        return True

    def join(self, job: Job) -> None:
        """Start decoding a prompt whose KV cache is here."""
        self._record_use(job)
        self.running.append(job)
        self._schedule_step()

    def order(self, stage: str) -> None:
        """Change the stage: running requests complete, and the server is ready again `switch_s` later."""
        self.switching_to = stage
        if not self.occupancy and not self.busy:
            self._switch()

    def _switch(self) -> None:
        def switched() -> None:
            self.stage, self.switching_to = self.switching_to, ""
            self.world.announce(self)

        self.world.at(self.world.now + ENGINE.switch_s, switched)

    def _schedule_step(self) -> None:
        if not self.busy:
            self.busy = True
            self.world.at(max(self.world.now, self.down_until), self._step)

    def _step(self) -> None:
        if self.world.now < self.down_until:
            self.world.at(self.down_until, self._step)
            return
        if not self.queue and not self.running:
            self.busy = False
            if self.switching_to:
                self._switch()
            return
        ms, prefilled = 0.0, []
        if self.queue:
            ms, prefilled = self._prefill_chunk()
        if self.running:
            ms += STEP_MS + STEP_MS_PER_REQUEST * len(self.running)
        ms *= self.speed
        decoding = list(self.running)
        self.world.at(self.world.now + ms / 1e3, lambda: self._finish_step(decoding, prefilled))

    def _prefill_chunk(self) -> tuple[float, list[Job]]:
        is_prefill_stage = self.stage == "prefill"
        budget = CHUNK_TOKENS if is_prefill_stage else CHUNK_TOKENS // 4
        pace = PREFILL_MS_PER_TOKEN if is_prefill_stage else 2 * PREFILL_MS_PER_TOKEN
        ms, prefilled = 0.0, []
        for job in list(self.queue):
            if job.ended:
                self.queue.remove(job)
                continue
            if budget <= 0 or (not is_prefill_stage and len(self.running) >= ENGINE.slots):
                break
            if job.uncached_left < 0:
                job.uncached_left = float(self._uncached_tokens(job))
                self.prefilled_tokens += int(job.uncached_left)
            tokens = min(budget, job.uncached_left)
            total = job.request.prompt_tokens
            ms += tokens * pace + tokens * (total - job.uncached_left) * ATTENTION_MS_PER_PAIR
            job.uncached_left -= tokens
            budget -= tokens
            if job.uncached_left <= 0:
                self.queue.remove(job)
                prefilled.append(job)
        return ms, prefilled

    def _finish_step(self, decoding: list[Job], prefilled: list[Job]) -> None:
        for job in decoding:
            if job in self.running and not self.world.token(job, self):
                self.running.remove(job)
        for job in prefilled:
            self._record_use(job)
            self.world.at(self.world.now + FIRST_TOKEN_MS / 1e3, job.on_prefilled)
        self._step()

    def _uncached_tokens(self, job: Job) -> int:
        segments, cached_tokens, world = job.request.prompt_segments, 0, self.world
        leading = True
        for segment in segments[:-1]:
            leading = leading and segment.id in self.cached
            last = world.segment_used_at.get(segment.id, -1e9)
            if leading:
                cached_tokens += segment.tokens
            elif world.now - last < REPEATED_WITHIN_S:
                world.repeated_tokens += segment.tokens
            world.segment_used_at[segment.id] = world.now
        if leading and segments[-1].id in self.cached:
            cached_tokens += segments[-1].tokens
        return max(1, job.request.prompt_tokens - cached_tokens)

    def _record_use(self, job: Job) -> None:
        for segment in reversed(job.request.prompt_segments):
            self.cached_tokens += segment.tokens - self.cached.pop(segment.id, 0)
            self.cached[segment.id] = segment.tokens
            self.world.segment_used_at[segment.id] = self.world.now
        while self.cached_tokens > ENGINE.kv_capacity and self.cached:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens


@dataclass
class Tally:
    """Outcomes of one kind of request."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    retried_in_time: int = 0
    rejected_twice: int = 0
    rejected: int = 0
    rejected_early: int = 0
    rejections: int = 0
    timed_out: int = 0
    delayed: int = 0
    split: int = 0
    first_token_times: list[float] = field(default_factory=list)
    paused: int = 0
    large: int = 0
    large_served: int = 0

    def first_token_quantile(self, quantile: float) -> float:
        """Return a quantile of the times to first token, in seconds."""
        ordered = sorted(self.first_token_times) or [0.0]
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]

    @property
    def served_fraction(self) -> float:
        """The fraction of requests that was served."""
        return (self.in_time + self.retried_in_time + self.late) / max(1, self.requests)

    @property
    def large_served_fraction(self) -> float:
        """The fraction of the largest requests that was served."""
        return self.large_served / max(1, self.large)


class StageOrders:
    """The leader's stage orders: the real `StageBalancer` with the fleet's demand, once a second."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.balancer = StageBalancer(StageBalancerSettings())
        self.orders = 0
        world.at(ORDER_INTERVAL_S, self._cycle)

    def _cycle(self) -> None:
        world = self.world
        instances = [self._instance(server) for server in world.servers.values()]
        samples = [demand for meter in world.meters for demand in meter.sample(world.now)]
        self.balancer.observe(sum_demands(samples).get(BACKEND), instances, world.now)
        for order in self.balancer.decide(instances, ENGINE.slots, ENGINE.switch_s, world.now):
            self._send(order)
        world.at(world.now + ORDER_INTERVAL_S, self._cycle)

    def _instance(self, server: Server) -> StageInstance:
        return StageInstance(server.name, server.name, server.stage, server.zone, server.switching_to)

    def _send(self, order: StageOrder) -> None:
        self.orders += 1
        server = self.world.servers[order.id]
        server.order(order.stage)
        self.balancer.record_result(order, OrderResult.ACCEPTED, ENGINE.switch_s, self.world.now)
        self.world.at(self.world.now + ANNOUNCEMENT_DELAY_S, lambda: self.world.announce(server))


class World:
    """Gateways, instances and clients on one event heap."""

    def __init__(
        self,
        settings: PlannerSettings,
        load: float = 1.0,
        seed: int = 1,
        gateways: int = 7,
        prefill: int = 4,
        decode: int = 5,
        seconds: float = 20.0,
        kinds: tuple[Kind, ...] = KINDS,
        stage_orders: bool = False,
    ) -> None:
        self.kinds = kinds
        self.now, self.events, self.sequence = 0.0, [], 0
        self.random = random.Random(seed)
        self.load, self.seconds = load, seconds
        self.segment_used_at: dict[str, float] = {}
        self.repeated_tokens, self.transferred_gb, self.cross_zone_gb = 0, 0.0, 0.0
        self.tallies: dict[str, Tally] = defaultdict(Tally)
        speeds = (1.0, 1.0, 1.3)
        stages = ["prefill"] * prefill + ["decode"] * decode
        order = list(range(len(stages)))
        self.random.shuffle(order)
        self.servers = {
            f"s{k}": Server(self, f"s{k}", ZONES[position % 3], stages[k], speeds[position % 3])
            for position, k in enumerate(order)
        }
        self.planners = [Planner(settings, f"g{k}") for k in range(gateways)]
        self.meters = [DemandMeter() for _ in range(gateways)]
        self.measured = [
            MeasuredPlanner(planner, meter) for planner, meter in zip(self.planners, self.meters, strict=True)
        ]
        for planner in self.planners:
            planner.gateways_changed(gateways)
            planner.configuration_changed([messages.Backend(name=BACKEND, engine=ENGINE)], 0.0)
            planner.instances_changed([self.entry(server) for server in self.servers.values()], 0.0)
        self.gateway_weights = [1.0 + 0.6 * self.random.random() for _ in range(gateways)]
        self.sizes: dict[str, int] = {}
        self.request_count = 0
        self.stage_orders = StageOrders(self) if stage_orders else None

    def announce(self, server: Server) -> None:
        """Announce a server's state to all gateways; one that changes its stage gets no new request."""
        for measured in self.measured:
            measured.instances_changed([self.entry(server)], self.now)

    def entry(self, server: Server) -> messages.Instance:
        return messages.Instance(
            id=server.name,
            backend=BACKEND,
            zone=server.zone,
            slots=ENGINE.slots,
            stage=server.stage,
            state=messages.DRAINS if server.switching_to else messages.READY,
        )

    def at(self, when: float, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, callback))

    def run(self) -> World:
        """Run the traffic, and then until the requests in flight end."""
        for kind in self.kinds:
            self._next(kind)
        while self.events and self.now < self.seconds + 15.0:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return self

    # ------------------------------------------------------------ clients

    def _next(self, kind: Kind) -> None:
        when = self.now + self.random.expovariate(kind.rate * self.load)
        if when < self.seconds:
            self.at(when, lambda: self._arrive(kind))

    def _arrive(self, kind: Kind) -> None:
        self._next(kind)
        self.request_count += 1
        segments = []
        for depth, (mean, count) in enumerate(kind.shared_segments):
            name = f"{kind.name}-{depth}-{self.random.randrange(count)}"
            size = random.Random(name).uniform(0.6, 1.4)
            segments.append(PromptSegment(name, int(mean * size)))
        sigma = kind.own_spread * 0.8
        own = int(
            min(kind.max_own_tokens, max(8, self.random.lognormvariate(0, sigma) * kind.own_tokens * 0.72))
        )
        segments.append(PromptSegment(f"own-{self.request_count}", own))
        answer = max(1, int(self.random.expovariate(1 / kind.mean_answer_tokens)))
        gateway = self.random.choices(range(len(self.planners)), self.gateway_weights)[0]
        request = PlanRequest(
            f"r{self.request_count}",
            BACKEND,
            ENGINE,
            tuple(segments),
            sum(p.tokens for p in segments),
            3 * kind.mean_answer_tokens,
            kind.priority,
            kind.target_latency_s,
            kind.time_limit_s,
            ZONES[gateway % 3],
        )
        tally = self.tallies[kind.name]
        tally.requests += 1
        tally.large += own > 2.5 * kind.own_tokens
        self._attempt(Job(kind, request, gateway, self.now, answer, self.now))

    def _attempt(self, job: Job) -> None:
        planner = self.measured[job.gateway]
        left = job.kind.time_limit_s - (self.now - job.first_attempt_at)
        decision = planner.plan(replace(job.request, time_left_s=left), self.now)
        if isinstance(decision, Rejection):
            self._reject(job, decision.retry_after_s)
            return
        job.plan = decision
        self.tallies[job.kind.name].delayed += decision.start_in_s > 0
        self.tallies[job.kind.name].split += decision.prefill_instance is not None
        self.at(self.now + decision.start_in_s, lambda: self._send(job))
        self.at(job.first_attempt_at + job.kind.time_limit_s, lambda: self._time_out(job))

    def _reject(self, job: Job, after: float) -> None:
        tally = self.tallies[job.kind.name]
        tally.rejections += 1
        occupied_slots = sum(min(server.occupancy, ENGINE.slots) for server in self.servers.values())
        # The first prompt of a queue is being prefilled.
        waits = any(len(server.queue) > 1 for server in self.servers.values())
        tally.rejected_early += not waits and occupied_slots < ENGINE.slots * len(self.servers) / 2
        left = job.kind.time_limit_s - (self.now - job.first_attempt_at)
        if job.attempts < 2 and after < left / 3:
            gateway = self.random.randrange(len(self.planners))
            again = replace(
                job, attempts=2, started=self.now + after, plan=None, ended=False, gateway=gateway
            )
            self.at(self.now + after, lambda: self._attempt(again))
        else:
            tally.rejected += 1
            tally.rejected_twice += job.attempts > 1

    def _send(self, job: Job) -> None:
        plan, planner = job.plan, self.measured[job.gateway]
        if plan is None or job.ended:
            return
        reader = self.servers[plan.prefill_instance or plan.decode_instance]
        if reader.switching_to:  # detected when sending: the request is planned again
            self._replan(job, reader)
            return
        planner.begun(plan.booking, self.now)
        then = self._start_transfer if plan.prefill_instance else self._join
        accepted = reader.enqueue(job, lambda: self.at(self.now + NETWORK_MS / 1e3, lambda: then(job)))
        if not accepted:
            self._end(job, Outcome.REJECTED)
            self._reject(job, 0.3)

    def _replan(self, job: Job, switching: Server) -> None:
        """Plan the request without a server that changes its stage, within the same deadline."""
        self._end(job, Outcome.CANCELLED)
        request = replace(job.request, excluded=job.request.excluded | {switching.name})
        self._attempt(replace(job, request=request, plan=None, ended=False))

    def _start_transfer(self, job: Job) -> None:
        plan, planner = job.plan, self.measured[job.gateway]
        if plan is None or job.ended:
            return
        planner.prefill_done(plan.booking, self.now)
        source, target = self.servers[plan.prefill_instance or ""], self.servers[plan.decode_instance]
        if target.switching_to:
            self._replan(job, target)
            return
        size = job.request.prompt_tokens * ENGINE.kv_token_bytes
        seconds = TRANSFER_SETUP_MS / 1e3 + size * 8 / (ENGINE.link_mbps * 1e6)
        far = source.zone != target.zone
        seconds *= 2 if far else 1
        self.transferred_gb += size / 1e9
        self.cross_zone_gb += size / 1e9 * far
        start = max(self.now + NETWORK_MS / 1e3, source.link_free_at, target.link_free_at)
        source.link_free_at = target.link_free_at = start + seconds
        self.at(start + seconds, lambda: target.join(job))

    def _join(self, job: Job) -> None:
        if not job.ended and job.plan is not None:
            self.servers[job.plan.decode_instance].join(job)

    def token(self, job: Job, server: Server) -> bool:
        """Record a token of a decode step; returns whether more follow."""
        if job.ended or job.plan is None:
            return False
        job.generated += 1
        meter = self.meters[job.gateway]
        meter.count(
            BACKEND, TokenKind.GENERATED if job.first_token_at is not None else TokenKind.FIRST, 1, self.now
        )
        arrived = self.now + 2 * NETWORK_MS / 1e3
        if job.first_token_at is None:
            job.first_token_at = arrived
            self.measured[job.gateway].first_token(job.plan.booking, self.now)
        else:
            job.longest_pause_s = max(job.longest_pause_s, arrived - job.last_at)
        job.last_at = arrived
        if job.generated < job.answer_tokens:
            return True
        self._end(job, Outcome.COMPLETED)
        tally = self.tallies[job.kind.name]
        first = job.first_token_at - job.first_attempt_at
        tally.first_token_times.append(first)
        in_time = first <= job.kind.target_latency_s and job.longest_pause_s <= 0.25
        again = (
            not in_time
            and job.first_token_at - job.started <= job.kind.target_latency_s
            and job.longest_pause_s <= 0.25
        )
        tally.paused += job.longest_pause_s > 0.25
        tally.in_time += in_time
        tally.retried_in_time += again
        tally.late += not in_time and not again
        tally.large_served += job.request.prompt_segments[-1].tokens > 2.5 * job.kind.own_tokens
        return False

    def _time_out(self, job: Job) -> None:
        if not job.ended and job.plan is not None:
            self._end(job, Outcome.CANCELLED)
            self.tallies[job.kind.name].timed_out += 1

    def _end(self, job: Job, outcome: Outcome) -> None:
        job.ended = True
        if job.plan is not None:
            self.measured[job.gateway].finished(job.plan.booking, outcome, self.now)
