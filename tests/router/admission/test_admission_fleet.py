"""A model of a fleet in simulated time: blind gateways with a planner each, instances, and clients.

The instances read in pieces, decode in steps, keep parts by last use and move memory one at a time; clients
come back once after a refusal.  It says how the planners' choices interact, not what a deployment would
measure.  `test_admission_simulation.py` has the tests and the report.
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
from mallowbeam.router.pairing.stage_demand import add_up
from mallowbeam.router.rpc import messages_pb2 as messages

ZONES = ("a", "b", "c")
ENGINE = messages.Engine(
    slots=64, kv_capacity=400_000, kv_token_bytes=18_432, link_mbps=500_000.0, switch_s=1.7
)
READ_MS, PAIRS_MS, PIECE = 1 / 57.0, 0.165e-6, 2_048
STEP_MS, RUNNING_MS, FIRST_MS, SETUP_MS, WAY_MS = 3.2, 0.1, 13.0, 3.3, 1.0
QUEUE = 192
BACKEND = "llm"
ORDER_CYCLE_S = 1.0  # between two looks of the leader at the fleet's demand
ANNOUNCED_S = 0.05  # from an order to the gateways' knowledge of it
AGAIN_S = 6.0


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    rate: float
    chain: tuple[tuple[int, int], ...]  # of each shared part: mean tokens, and how many there are
    own: int
    spread: float
    own_most: int
    out: int
    aim_s: float
    time_s: float
    worth: float
    priority: int


KINDS = (
    Kind("long", 26.2, ((2520, 4), (3780, 297)), 2890, 1.0, 39_600, 52, 0.4, 3.0, 2.0, 1),
    Kind("medium", 28.2, ((341, 8), (227, 212)), 1800, 1.3, 6_870, 22, 0.3, 2.5, 3.0, 0),
    Kind("short", 13.9, ((103, 20), (69, 157)), 543, 0.89, 2_310, 280, 0.25, 8.0, 1.0, 2),
)


@dataclass
class Job:
    """One try of a request."""

    kind: Kind
    request: PlanRequest
    gateway: int
    started: float
    answer: int
    first_try: float
    tries: int = 1
    plan: Plan | None = None
    first_at: float | None = None
    last_at: float = 0.0
    pause: float = 0.0
    produced: int = 0
    unread: float = 0.0
    read: int = 0
    on_read: Callable[[], None] = lambda: None
    gone: bool = False

    @property
    def urgency(self) -> int:
        """The priority that was set for the engine's queue."""
        return self.plan.engine_priority if self.plan else 5


class Server:
    """A model server."""

    def __init__(self, world: World, name: str, zone: str, stage: str, speed: float) -> None:
        self.world, self.name, self.zone, self.stage, self.speed = world, name, zone, stage, speed
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.kept_tokens = 0
        self.pinned = 0
        self.queue: list[Job] = []
        self.running: list[Job] = []
        self.link_free = 0.0
        self.busy = False
        self.down_until = 0.0
        self.switching_to = ""
        self.arrivals = self.tokens_read = 0

    @property
    def taken(self) -> int:
        return len(self.queue) + len(self.running)

    def take(self, job: Job, on_read: Callable[[], None]) -> bool:
        """Queue a prompt for reading."""
        if self.switching_to or self.taken >= ENGINE.slots + QUEUE:
            return False
        job.on_read, job.unread = on_read, -1.0
        self.arrivals += 1
        self.queue.append(job)
        self.queue.sort(key=lambda other: (other.unread < 0, other.urgency))  # those begun go on first
        self._wake()
        return True

    def join(self, job: Job) -> None:
        """A prompt whose memory is here starts decoding."""
        self._use(job)
        self.running.append(job)
        self._wake()

    def order(self, stage: str) -> None:
        """Change the stage: what runs reaches its end, and the server is back `switch_s` later."""
        self.switching_to = stage
        if not self.taken and not self.busy:
            self._switch()

    def _switch(self) -> None:
        def switched() -> None:
            self.stage, self.switching_to = self.switching_to, ""
            self.world.announce(self)

        self.world.at(self.world.now + ENGINE.switch_s, switched)

    def _wake(self) -> None:
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
        ms, read = 0.0, []
        if self.queue:
            ms, read = self._read_piece()
        if self.running:
            ms += STEP_MS + RUNNING_MS * len(self.running)
        ms *= self.speed
        decoding = list(self.running)
        self.world.at(self.world.now + ms / 1e3, lambda: self._stepped(decoding, read))

    def _read_piece(self) -> tuple[float, list[Job]]:
        own = self.stage == "prefill"
        room = PIECE if own else PIECE // 4
        pace = READ_MS if own else 2 * READ_MS
        ms, read = 0.0, []
        for job in list(self.queue):
            if job.gone:
                self.queue.remove(job)
                continue
            if room <= 0 or (not own and len(self.running) >= ENGINE.slots):
                break
            if job.unread < 0:
                job.unread = float(self._unkept(job))
                self.tokens_read += int(job.unread)
            tokens = min(room, job.unread)
            total = job.request.prompt_tokens
            ms += tokens * pace + tokens * (total - job.unread) * PAIRS_MS
            job.unread -= tokens
            room -= tokens
            if job.unread <= 0:
                self.queue.remove(job)
                read.append(job)
        return ms, read

    def _stepped(self, decoding: list[Job], read: list[Job]) -> None:
        for job in decoding:
            if job in self.running and not self.world.token(job, self):
                self.running.remove(job)
        for job in read:
            self._use(job)
            self.world.at(self.world.now + FIRST_MS / 1e3, job.on_read)
        self._step()

    def _unkept(self, job: Job) -> int:
        parts, kept, world = job.request.prompt_segments, 0, self.world
        leading = True
        for part in parts[:-1]:
            leading = leading and part.id in self.kept
            last = world.part_used.get(part.id, -1e9)
            if leading:
                kept += part.tokens
            elif world.now - last < AGAIN_S:
                world.reread += part.tokens
            world.part_used[part.id] = world.now
        if leading and parts[-1].id in self.kept:
            kept += parts[-1].tokens
        return max(1, job.request.prompt_tokens - kept)

    def _use(self, job: Job) -> None:
        for part in reversed(job.request.prompt_segments):
            self.kept_tokens += part.tokens - self.kept.pop(part.id, 0)
            self.kept[part.id] = part.tokens
            self.world.part_used[part.id] = self.world.now
        while self.kept_tokens > ENGINE.kv_capacity and self.kept:
            _, tokens = self.kept.popitem(last=False)
            self.kept_tokens -= tokens


@dataclass
class Tally:
    """What came of one kind of request."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    again: int = 0
    refused_twice: int = 0
    refused: int = 0
    refused_early: int = 0
    refusals: int = 0
    lost: int = 0
    held: int = 0
    split: int = 0
    firsts: list[float] = field(default_factory=list)
    paused: int = 0
    large: int = 0
    large_served: int = 0

    def first(self, share: float) -> float:
        """A quantile of the first-token times, in seconds."""
        ordered = sorted(self.firsts) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    @property
    def served(self) -> float:
        """The share that was served, of those asked."""
        return (self.in_time + self.again + self.late) / max(1, self.asked)

    @property
    def large_share(self) -> float:
        """The share served of the largest requests."""
        return self.large_served / max(1, self.large)


class StageOrders:
    """The leader's stage orders: the fleet's demand once a second into the real decision core."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.balancer = StageBalancer(StageBalancerSettings())
        self.orders = 0
        world.at(ORDER_CYCLE_S, self._cycle)

    def _cycle(self) -> None:
        world = self.world
        instances = [self._instance(server) for server in world.servers.values()]
        samples = [demand for meter in world.meters for demand in meter.sample(world.now)]
        self.balancer.observe(add_up(samples).get(BACKEND), instances, world.now)
        for order in self.balancer.decide(instances, ENGINE.slots, ENGINE.switch_s, world.now):
            self._send(order)
        world.at(world.now + ORDER_CYCLE_S, self._cycle)

    def _instance(self, server: Server) -> StageInstance:
        return StageInstance(server.name, server.name, server.stage, server.zone, server.switching_to)

    def _send(self, order: StageOrder) -> None:
        self.orders += 1
        server = self.world.servers[order.id]
        server.order(order.stage)
        self.balancer.answered(order, OrderResult.ACCEPTED, ENGINE.switch_s, self.world.now)
        self.world.at(self.world.now + ANNOUNCED_S, lambda: self.world.announce(server))


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
        self.now, self.events, self.turn = 0.0, [], 0
        self.random = random.Random(seed)
        self.load, self.seconds = load, seconds
        self.part_used: dict[str, float] = {}
        self.reread, self.moved_gb, self.moved_far_gb = 0, 0.0, 0.0
        self.tallies: dict[str, Tally] = defaultdict(Tally)
        speeds = (1.0, 1.0, 1.3)
        stages = ["prefill"] * prefill + ["decode"] * decode
        order = list(range(len(stages)))
        self.random.shuffle(order)
        self.servers = {
            f"s{k}": Server(self, f"s{k}", ZONES[place % 3], stages[k], speeds[place % 3])
            for place, k in enumerate(order)
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
        self.shares = [1.0 + 0.6 * self.random.random() for _ in range(gateways)]
        self.sizes: dict[str, int] = {}
        self.number = 0
        self.stage_orders = StageOrders(self) if stage_orders else None

    def announce(self, server: Server) -> None:
        """All gateways hear of a server's state; one that changes its stage gets no new request."""
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

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.turn += 1
        heapq.heappush(self.events, (when, self.turn, what))

    def run(self) -> World:
        """Play the traffic and let what is under way end."""
        for kind in self.kinds:
            self._next(kind)
        while self.events and self.now < self.seconds + 15.0:
            self.now, _, what = heapq.heappop(self.events)
            what()
        return self

    # ------------------------------------------------------------ clients

    def _next(self, kind: Kind) -> None:
        when = self.now + self.random.expovariate(kind.rate * self.load)
        if when < self.seconds:
            self.at(when, lambda: self._arrive(kind))

    def _arrive(self, kind: Kind) -> None:
        self._next(kind)
        self.number += 1
        parts = []
        for depth, (mean, count) in enumerate(kind.chain):
            name = f"{kind.name}-{depth}-{self.random.randrange(count)}"
            size = random.Random(name).uniform(0.6, 1.4)
            parts.append(PromptSegment(name, int(mean * size)))
        sigma = kind.spread * 0.8
        own = int(min(kind.own_most, max(8, self.random.lognormvariate(0, sigma) * kind.own * 0.72)))
        parts.append(PromptSegment(f"own-{self.number}", own))
        answer = max(1, int(self.random.expovariate(1 / kind.out)))
        gateway = self.random.choices(range(len(self.planners)), self.shares)[0]
        request = PlanRequest(
            f"r{self.number}",
            BACKEND,
            ENGINE,
            tuple(parts),
            sum(p.tokens for p in parts),
            3 * kind.out,
            kind.priority,
            kind.aim_s,
            kind.time_s,
            ZONES[gateway % 3],
        )
        tally = self.tallies[kind.name]
        tally.asked += 1
        tally.large += own > 2.5 * kind.own
        self._try(Job(kind, request, gateway, self.now, answer, self.now))

    def _try(self, job: Job) -> None:
        planner = self.measured[job.gateway]
        left = job.kind.time_s - (self.now - job.first_try)
        decision = planner.plan(replace(job.request, time_left_s=left), self.now)
        if isinstance(decision, Rejection):
            self._refused(job, decision.retry_after_s)
            return
        job.plan = decision
        self.tallies[job.kind.name].held += decision.start_in_s > 0
        self.tallies[job.kind.name].split += decision.prefill_instance is not None
        self.at(self.now + decision.start_in_s, lambda: self._send(job))
        self.at(job.first_try + job.kind.time_s, lambda: self._give_up(job))

    def _refused(self, job: Job, after: float) -> None:
        tally = self.tallies[job.kind.name]
        tally.refusals += 1
        places = sum(min(server.taken, ENGINE.slots) for server in self.servers.values())
        waits = any(len(server.queue) > 1 for server in self.servers.values())  # the first is being read
        tally.refused_early += not waits and places < ENGINE.slots * len(self.servers) / 2
        left = job.kind.time_s - (self.now - job.first_try)
        if job.tries < 2 and after < left / 3:
            gateway = self.random.randrange(len(self.planners))
            again = replace(job, tries=2, started=self.now + after, plan=None, gone=False, gateway=gateway)
            self.at(self.now + after, lambda: self._try(again))
        else:
            tally.refused += 1
            tally.refused_twice += job.tries > 1

    def _send(self, job: Job) -> None:
        plan, planner = job.plan, self.measured[job.gateway]
        if plan is None or job.gone:
            return
        reader = self.servers[plan.prefill_instance or plan.decode_instance]
        if reader.switching_to:  # seen at the moment of sending: it is planned anew
            self._plan_again(job, reader)
            return
        planner.begun(plan.booking, self.now)
        then = self._read if plan.prefill_instance else self._ready
        taken = reader.take(job, lambda: self.at(self.now + WAY_MS / 1e3, lambda: then(job)))
        if not taken:
            self._end(job, Outcome.REJECTED)
            self._refused(job, 0.3)

    def _plan_again(self, job: Job, switching: Server) -> None:
        """A server changes its stage: the request is planned without it, within the same deadline."""
        self._end(job, Outcome.CANCELLED)
        request = replace(job.request, excluded=job.request.excluded | {switching.name})
        self._try(replace(job, request=request, plan=None, gone=False))

    def _read(self, job: Job) -> None:
        plan, planner = job.plan, self.measured[job.gateway]
        if plan is None or job.gone:
            return
        planner.prefill_done(plan.booking, self.now)
        source, target = self.servers[plan.prefill_instance or ""], self.servers[plan.decode_instance]
        if target.switching_to:
            self._plan_again(job, target)
            return
        size = job.request.prompt_tokens * ENGINE.kv_token_bytes
        seconds = SETUP_MS / 1e3 + size * 8 / (ENGINE.link_mbps * 1e6)
        far = source.zone != target.zone
        seconds *= 2 if far else 1
        self.moved_gb += size / 1e9
        self.moved_far_gb += size / 1e9 * far
        start = max(self.now + WAY_MS / 1e3, source.link_free, target.link_free)
        source.link_free = target.link_free = start + seconds
        self.at(start + seconds, lambda: target.join(job))

    def _ready(self, job: Job) -> None:
        if not job.gone and job.plan is not None:
            self.servers[job.plan.decode_instance].join(job)

    def token(self, job: Job, server: Server) -> bool:
        """A decode step gave a token; whether more are to come."""
        if job.gone or job.plan is None:
            return False
        job.produced += 1
        meter = self.meters[job.gateway]
        meter.count(
            BACKEND, TokenKind.GENERATED if job.first_at is not None else TokenKind.FIRST, 1, self.now
        )
        arrived = self.now + 2 * WAY_MS / 1e3
        if job.first_at is None:
            job.first_at = arrived
            self.measured[job.gateway].first_token(job.plan.booking, self.now)
        else:
            job.pause = max(job.pause, arrived - job.last_at)
        job.last_at = arrived
        if job.produced < job.answer:
            return True
        self._end(job, Outcome.COMPLETED)
        tally = self.tallies[job.kind.name]
        first = job.first_at - job.first_try
        tally.firsts.append(first)
        in_time = first <= job.kind.aim_s and job.pause <= 0.25
        again = not in_time and job.first_at - job.started <= job.kind.aim_s and job.pause <= 0.25
        tally.paused += job.pause > 0.25
        tally.in_time += in_time
        tally.again += again
        tally.late += not in_time and not again
        tally.large_served += job.request.prompt_segments[-1].tokens > 2.5 * job.kind.own
        return False

    def _give_up(self, job: Job) -> None:
        if not job.gone and job.plan is not None:
            self._end(job, Outcome.CANCELLED)
            self.tallies[job.kind.name].lost += 1

    def _end(self, job: Job, outcome: Outcome) -> None:
        job.gone = True
        if job.plan is not None:
            self.measured[job.gateway].finished(job.plan.booking, outcome, self.now)
