"""How many instances of a service read prompts, and which one changes its stage next.  A pure core.

The number of prefill instances is the one at which the busier stage is least busy.  A change is ordered only
if that stage gains a clear share by it, has gained it for a moment, and not soon against the change before.
Times are seconds of the steady clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import floor, inf

from mallowbeam.router.pairing.stage_work import StageWork, WorkMeter, WorkSettings
from mallowbeam.router.pairing.stages import DECODE, PREFILL
from mallowbeam.router.rpc.messages_pb2 import StageDemand

LEAST_INSTANCES = 2  # of a service: one for each stage
WINDOW_S = 60.0  # of `StageBalancerSettings.most_orders`


@dataclass(frozen=True, slots=True)
class StageBalancerSettings:
    """What a change has to be worth."""

    target_utilization: float = 0.4
    """The share of an instance's slots that may decode at once before its tokens slow down much."""
    least_utilisation: float = 0.2
    """Nothing changes while the busier stage is less busy than this."""
    least_gain: float = 0.1
    """The share by which the busier stage's utilisation has to fall by a change."""
    reverse_gain: float = 0.25
    """Likewise for a change against the last one, within `reverse_s` of it."""
    reverse_s: float = 20.0
    confirmation_s: float = 1.0
    """How long a change has to be worth it before it is ordered."""
    cooldown_s: float = 1.5
    """Beyond the time that a switch takes, until a change against the last one is weighed."""
    most_in_progress: int = 2
    """Orders under way at once in a service,"""
    in_progress_fraction: float = 0.1
    """or this share of its instances where that is more."""
    most_orders: int = 12
    """Orders in a minute in a service, or as many as it has instances where that is more; beyond it only a
    stage without any instance gets one."""
    least_each: int = 2
    """Instances that each stage keeps,"""
    least_each_from: int = 6
    """in services of at least so many; smaller ones keep one."""
    unanswered_s: float = 4.0
    """How long an order without an answer may still show in the instance's stage, before another is tried."""
    rejection_backoff_s: float = 3.0
    """How long an instance that refused an order is left alone."""
    longest_switch_s: float = 15.0
    """Beyond the time that a switch takes, what runs may take to its end; then it is waited for no more."""
    work: WorkSettings = field(default_factory=WorkSettings)


@dataclass(frozen=True, slots=True)
class StageInstance:
    """A live instance of a service, as the registry knows it."""

    id: str
    address: str
    stage: str
    zone: str
    switching_to: str = ""
    ready: bool = True  # neither draining nor ended
    warming: bool = False


@dataclass(frozen=True, slots=True)
class StageOrder:
    """An instance is to change its stage."""

    id: str
    address: str
    stage: str


class OrderResult(Enum):
    """What became of an order."""

    ACCEPTED = "taken"  # the instance switches, or holds that stage already
    REJECTED = "refused"  # it was not taken
    UNKNOWN = "unknown"  # sent without an answer: it may have been taken
    NOT_SENT = "not_sent"  # nothing has left


@dataclass(frozen=True, slots=True)
class _Pending:
    """An order that has not shown in the instance's stage yet."""

    stage: str
    until: float


@dataclass(frozen=True, slots=True)
class _Intent:
    """A change that would be worth it: 1 towards more prefill instances, -1 towards fewer."""

    direction: int
    since: float


class _Plan:
    """Counts as they will be once all that is under way is done."""

    def __init__(self) -> None:
        self.count: Counter[str] = Counter()  # by stage
        self.zones: Counter[tuple[str, str]] = Counter()  # by stage and zone
        self.movable: list[StageInstance] = []
        self.under_way = 0

    @property
    def total(self) -> int:
        """Instances of both stages."""
        return self.count[PREFILL] + self.count[DECODE]

    def add(self, stage: str, zone: str) -> None:
        """Count an instance."""
        self.count[stage] += 1
        self.zones[stage, zone] += 1

    def move(self, instance: StageInstance, stage: str) -> None:
        """Count an instance on the other side."""
        self.movable.remove(instance)
        self.count[instance.stage] -= 1
        self.zones[instance.stage, instance.zone] -= 1
        self.add(stage, instance.zone)
        self.under_way += 1

    def next_to_leave(self, stage: str) -> StageInstance | None:
        """The instance whose change to the other stage keeps both spread best over the zones.

        That is one of the zone in which its stage has most instances beyond those of the other stage.
        """
        other = DECODE if stage == PREFILL else PREFILL
        fits = [instance for instance in self.movable if instance.stage == stage]
        return min(
            fits,
            default=None,
            key=lambda instance: (
                self.zones[other, instance.zone] - self.zones[stage, instance.zone],
                -self.zones[stage, instance.zone],
                instance.id,
            ),
        )


class StageBalancer:
    """Decides for one service; keeps what it ordered until the registry shows it."""

    def __init__(self, settings: StageBalancerSettings) -> None:
        self._settings = settings
        self._meter = WorkMeter(settings.work)
        self.work: StageWork | None = None  # at the last decision
        self._pending: dict[str, _Pending] = {}
        self._backoff_until: dict[str, float] = {}  # id: until when
        self._intent: _Intent | None = None
        self._last_direction = 0
        self._last_at = -inf
        self._orders_at: deque[float] = deque()

    # ------------------------------------------------------------ what comes in

    def observe(self, demand: StageDemand | None, instances: Iterable[StageInstance], now: float) -> None:
        """Take the fleet's demand of the last second; None where no gateway told of any."""
        if demand is None:
            self._meter.forget()
            return
        working = Counter(one.stage for one in instances if not one.switching_to)
        self._meter.observe(demand, working[PREFILL], working[DECODE], now)

    def answered(self, order: StageOrder, result: OrderResult, switch_s: float, now: float) -> None:
        """Say what became of an order."""
        settings = self._settings
        self._pending.pop(order.id, None)
        if result is OrderResult.ACCEPTED:
            self._pending[order.id] = _Pending(order.stage, now + switch_s + settings.longest_switch_s)
        elif result is OrderResult.UNKNOWN:
            self._pending[order.id] = _Pending(order.stage, now + switch_s + settings.unanswered_s)
        else:
            self._backoff_until[order.id] = now + settings.rejection_backoff_s

    # ------------------------------------------------------------ the decision

    def decide(
        self, instances: Sequence[StageInstance], slots: int, switch_s: float, now: float
    ) -> list[StageOrder]:
        """The orders to be sent now; each is under way until `answered`, and shows in the registry later.

        `slots` are those of one instance, `switch_s` is what a change of stage takes it.
        """
        self._reconcile(instances, now)
        plan = self._plan(instances, now)
        if plan.total < LEAST_INSTANCES:
            self._intent = None
            return []
        if missing := self._missing_stage(plan):
            return self._order(plan, missing, 1, now)
        work = self.work = self._meter.work(max(1.0, slots * self._settings.target_utilization), now)
        if work is None:
            self._intent = None
            return []
        change = self._change(plan, work, switch_s, now)
        if not self._confirmed(change, now):
            return []
        count = min(abs(change), self._may_order(plan, now))
        return self._order(plan, PREFILL if change > 0 else DECODE, count, now)

    def _reconcile(self, instances: Sequence[StageInstance], now: float) -> None:
        """Drop what has come true, has gone, or was waited for too long."""
        stages = {instance.id: instance.stage for instance in instances if instance.id in self._pending}
        self._pending = {
            id: pending
            for id, pending in self._pending.items()
            if now < pending.until and stages.get(id, pending.stage) != pending.stage
        }
        self._backoff_until = {id: until for id, until in self._backoff_until.items() if now < until}

    def _plan(self, instances: Sequence[StageInstance], now: float) -> _Plan:
        plan = _Plan()
        for instance in instances:
            if not instance.ready or instance.stage not in (PREFILL, DECODE):
                continue
            pending = self._pending.get(instance.id)
            target = pending.stage if pending is not None else instance.switching_to
            plan.add(target or instance.stage, instance.zone)
            if target:
                plan.under_way += 1
            elif not instance.warming and instance.id not in self._backoff_until:
                plan.movable.append(instance)
        return plan

    def _missing_stage(self, plan: _Plan) -> str:
        """A stage that has no instance, though the other one has some to give."""
        for stage in (PREFILL, DECODE):
            if not plan.count[stage]:
                return stage
        return ""

    def _change(self, plan: _Plan, work: StageWork, switch_s: float, now: float) -> int:
        """By how many the prefill instances should rise or fall now; 0 where that is not worth it."""
        settings = self._settings
        present = plan.count[PREFILL]
        least = settings.least_each if plan.total >= settings.least_each_from else 1
        best = best_split(work, plan.total, least)
        change = best - present
        if not change:
            return 0
        if min(present, plan.total - present) < least:
            return change  # a stage has fewer than it should keep
        worst = worse_utilisation(work, present, plan.total)
        gain = 1.0 - worse_utilisation(work, best, plan.total) / max(worst, 1e-9)
        if worst < settings.least_utilisation or gain < settings.least_gain:
            return 0
        if change * self._last_direction < 0:
            passed = now - self._last_at
            if passed < switch_s + settings.cooldown_s:
                return 0
            if passed < settings.reverse_s and gain < settings.reverse_gain:
                return 0
        return change

    def _confirmed(self, change: int, now: float) -> bool:
        """Whether a change in this direction has been worth it for long enough."""
        direction = (change > 0) - (change < 0)
        if not direction:
            self._intent = None
        elif self._intent is None or self._intent.direction != direction:
            self._intent = _Intent(direction, now)
        return self._intent is not None and now - self._intent.since >= self._settings.confirmation_s

    def _may_order(self, plan: _Plan, now: float) -> int:
        """How many orders the bounds allow now."""
        settings = self._settings
        while self._orders_at and now - self._orders_at[0] > WINDOW_S:
            self._orders_at.popleft()
        under_way = max(settings.most_in_progress, floor(settings.in_progress_fraction * plan.total))
        in_window = max(settings.most_orders, plan.total)
        return max(0, min(under_way - plan.under_way, in_window - len(self._orders_at)))

    def _order(self, plan: _Plan, stage: str, count: int, now: float) -> list[StageOrder]:
        """Choose instances for a stage."""
        orders: list[StageOrder] = []
        for _ in range(count):
            chosen = plan.next_to_leave(DECODE if stage == PREFILL else PREFILL)
            if chosen is None:
                break
            plan.move(chosen, stage)
            self._pending[chosen.id] = _Pending(stage, now + self._settings.unanswered_s)
            self._orders_at.append(now)
            self._last_direction = 1 if stage == PREFILL else -1
            self._last_at = now
            orders.append(StageOrder(chosen.id, chosen.address, stage))
        return orders


def best_split(work: StageWork, total: int, least: int) -> int:
    """The number of prefill instances, of `total`, at which the busier stage is least busy."""
    lowest, highest = least, total - least
    if work.prefill + work.decode <= 0.0:
        return max(lowest, min(highest, total // 2))
    crossing = floor(total * work.prefill / (work.prefill + work.decode))
    choices = {max(lowest, min(highest, count)) for count in (crossing, crossing + 1)}
    return min(sorted(choices), key=lambda count: worse_utilisation(work, count, total))


def worse_utilisation(work: StageWork, prefill_count: int, total: int) -> float:
    """The utilisation of the busier stage, where so many of all instances read prompts."""
    return max(_utilisation(work.prefill, prefill_count), _utilisation(work.decode, total - prefill_count))


def _utilisation(work: float, count: int) -> float:
    if count:
        return work / count
    return inf if work > 0.0 else 0.0
