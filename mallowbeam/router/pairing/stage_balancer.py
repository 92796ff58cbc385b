"""Decides how many instances of a service prefill, and which one changes its stage next.  A pure core.

The chosen number of prefill instances minimizes the utilization of the busier stage.  A change is ordered
only if it lowers that utilization clearly, has been worthwhile for `confirmation_s`, and does not reverse the
previous change too soon.  Times are in seconds of the monotonic clock.
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

MIN_INSTANCES = 2  # of a service: one for each stage
ORDER_WINDOW_S = 60.0  # sliding window of `StageBalancerSettings.most_orders`


@dataclass(frozen=True, slots=True)
class StageBalancerSettings:
    """Bounds of stage changes: minimum gains, rates and delays."""

    target_utilization: float = 0.4
    """Fraction of an instance's slots that may decode concurrently before its tokens slow down much."""
    least_utilisation: float = 0.2
    """Nothing changes while the utilization of the busier stage is below this."""
    least_gain: float = 0.1
    """Fraction by which a change must lower the utilization of the busier stage."""
    reverse_gain: float = 0.25
    """The same for a change that reverses the last one within `reverse_s` seconds of it."""
    reverse_s: float = 20.0
    confirmation_s: float = 1.0
    """Seconds for which a change must be worthwhile before it is ordered."""
    cooldown_s: float = 1.5
    """Seconds, beyond the duration of a switch, before a change that reverses the last one is considered."""
    most_in_progress: int = 2
    """Upper bound of orders in progress in a service, unless `in_progress_fraction` allows more."""
    in_progress_fraction: float = 0.1
    """Upper bound of orders in progress, as a fraction of a service's instances."""
    most_orders: int = 12
    """Upper bound of orders per minute in a service, or the number of its instances if that is more; beyond
    it only a stage without any instance gets one."""
    least_each: int = 2
    """Instances that each stage keeps in a service of at least `least_each_from` instances."""
    least_each_from: int = 6
    """Services with fewer instances than this keep one in each stage."""
    unanswered_s: float = 4.0
    """Seconds for which an order without an answer may still take effect; after them another one is tried."""
    rejection_backoff_s: float = 3.0
    """Seconds for which an instance that rejected an order gets no other one."""
    longest_switch_s: float = 15.0
    """Seconds, beyond the duration of a switch, for which an accepted order stays pending while the instance
    completes its running requests."""
    work: WorkSettings = field(default_factory=WorkSettings)


@dataclass(frozen=True, slots=True)
class StageInstance:
    """A live instance of a service, as the registry has it."""

    id: str
    address: str
    stage: str
    zone: str
    switching_to: str = ""
    ready: bool = True  # neither draining nor ended
    warming: bool = False


@dataclass(frozen=True, slots=True)
class StageOrder:
    """An order to an instance to change its stage."""

    id: str
    address: str
    stage: str


class OrderResult(Enum):
    """How sending an order ended."""

    ACCEPTED = "taken"  # the instance switches, or is in that stage already
    REJECTED = "refused"  # the instance did not accept it
    UNKNOWN = "unknown"  # sent without an answer: it may have been accepted
    NOT_SENT = "not_sent"  # nothing was sent


@dataclass(frozen=True, slots=True)
class _Pending:
    """An order that does not show in the instance's stage yet."""

    stage: str
    until: float


@dataclass(frozen=True, slots=True)
class _WantedChange:
    """A worthwhile change that is not confirmed yet: 1 adds prefill instances, -1 removes some."""

    direction: int
    since: float


class _StageCounts:
    """Instance counts by stage as they will be once all orders in progress are completed."""

    def __init__(self) -> None:
        self.by_stage: Counter[str] = Counter()
        self.zones: Counter[tuple[str, str]] = Counter()  # by stage and zone
        self.eligible: list[StageInstance] = []
        self.in_progress = 0

    @property
    def total(self) -> int:
        """Instances of both stages."""
        return self.by_stage[PREFILL] + self.by_stage[DECODE]

    def add(self, stage: str, zone: str) -> None:
        """Count an instance."""
        self.by_stage[stage] += 1
        self.zones[stage, zone] += 1

    def move(self, instance: StageInstance, stage: str) -> None:
        """Count an instance in another stage than its present one."""
        self.eligible.remove(instance)
        self.by_stage[instance.stage] -= 1
        self.zones[instance.stage, instance.zone] -= 1
        self.add(stage, instance.zone)
        self.in_progress += 1

    def next_to_move(self, stage: str) -> StageInstance | None:
        """Return the instance whose change to the other stage keeps both spread best over the zones.

        It is in the zone where the surplus of its stage over the other one is largest.
        """
        other = DECODE if stage == PREFILL else PREFILL
        candidates = [instance for instance in self.eligible if instance.stage == stage]
        return min(
            candidates,
            default=None,
            key=lambda instance: (
                self.zones[other, instance.zone] - self.zones[stage, instance.zone],
                -self.zones[stage, instance.zone],
                instance.id,
            ),
        )


class StageBalancer:
    """Decides for one service; keeps its orders until the registry shows their effect."""

    def __init__(self, settings: StageBalancerSettings) -> None:
        self._settings = settings
        self._meter = WorkMeter(settings.work)
        self.work: StageWork | None = None  # at the last decision
        self._pending: dict[str, _Pending] = {}
        self._backoff_until: dict[str, float] = {}  # by instance id
        self._wanted_change: _WantedChange | None = None
        self._last_direction = 0
        self._last_order_at = -inf
        self._order_times: deque[float] = deque()

    # ------------------------------------------------------------ inputs

    def observe(self, demand: StageDemand | None, instances: Iterable[StageInstance], now: float) -> None:
        """Record the fleet's demand of the last second; None if no gateway reported any."""
        if demand is None:
            self._meter.reset()
            return
        working = Counter(instance.stage for instance in instances if not instance.switching_to)
        self._meter.observe(demand, working[PREFILL], working[DECODE], now)

    def record_result(self, order: StageOrder, result: OrderResult, switch_s: float, now: float) -> None:
        """Record how sending an order ended; `switch_s` is the duration of a stage change."""
        settings = self._settings
        self._pending.pop(order.id, None)
        if result is OrderResult.ACCEPTED:
            self._pending[order.id] = _Pending(order.stage, now + switch_s + settings.longest_switch_s)
        elif result is OrderResult.UNKNOWN:
            self._pending[order.id] = _Pending(order.stage, now + switch_s + settings.unanswered_s)
        else:
            self._backoff_until[order.id] = now + settings.rejection_backoff_s

    # ------------------------------------------------------------ decision

    def decide(
        self, instances: Sequence[StageInstance], slots: int, switch_s: float, now: float
    ) -> list[StageOrder]:
        """Return the orders to be sent now; each is in flight until its `record_result`.

        Accepted orders show in the registry later.  `slots` is the number of slots of an instance, `switch_s`
        the duration of its stage change.
        """
        self._reconcile(instances, now)
        counts = self._count_stages(instances, now)
        if counts.total < MIN_INSTANCES:
            self._wanted_change = None
            return []
        if missing := self._missing_stage(counts):
            return self._choose_orders(counts, missing, 1, now)
        work = self.work = self._meter.work(max(1.0, slots * self._settings.target_utilization), now)
        if work is None:
            self._wanted_change = None
            return []
        change = self._worthwhile_change(counts, work, switch_s, now)
        if not self._confirmed(change, now):
            return []
        count = min(abs(change), self._orders_allowed(counts, now))
        return self._choose_orders(counts, PREFILL if change > 0 else DECODE, count, now)

    def _reconcile(self, instances: Sequence[StageInstance], now: float) -> None:
        """Drop orders that took effect, expired or whose instance is gone, and expired backoffs."""
        stages = {instance.id: instance.stage for instance in instances if instance.id in self._pending}
        self._pending = {
            id: pending
            for id, pending in self._pending.items()
            if now < pending.until and stages.get(id, pending.stage) != pending.stage
        }
        self._backoff_until = {id: until for id, until in self._backoff_until.items() if now < until}

    def _count_stages(self, instances: Sequence[StageInstance], now: float) -> _StageCounts:
        counts = _StageCounts()
        for instance in instances:
            if not instance.ready or instance.stage not in (PREFILL, DECODE):
                continue
            pending = self._pending.get(instance.id)
            target = pending.stage if pending is not None else instance.switching_to
            counts.add(target or instance.stage, instance.zone)
            if target:
                counts.in_progress += 1
            elif not instance.warming and instance.id not in self._backoff_until:
                counts.eligible.append(instance)
        return counts

    def _missing_stage(self, counts: _StageCounts) -> str:
        """Return a stage that has no instance; empty if both have one."""
        for stage in (PREFILL, DECODE):
            if not counts.by_stage[stage]:
                return stage
        return ""

    def _worthwhile_change(self, counts: _StageCounts, work: StageWork, switch_s: float, now: float) -> int:
        """Return the change in the number of prefill instances; 0 if it is not worthwhile now."""
        settings = self._settings
        prefill_count = counts.by_stage[PREFILL]
        min_per_stage = settings.least_each if counts.total >= settings.least_each_from else 1
        best_count = best_split(work, counts.total, min_per_stage)
        change = best_count - prefill_count
        if not change:
            return 0
        if min(prefill_count, counts.total - prefill_count) < min_per_stage:
            return change  # a stage is below its minimum
        present_utilization = busier_stage_utilization(work, prefill_count, counts.total)
        gain = 1.0 - busier_stage_utilization(work, best_count, counts.total) / max(present_utilization, 1e-9)
        if present_utilization < settings.least_utilisation or gain < settings.least_gain:
            return 0
        if change * self._last_direction < 0:
            elapsed_s = now - self._last_order_at
            if elapsed_s < switch_s + settings.cooldown_s:
                return 0
            if elapsed_s < settings.reverse_s and gain < settings.reverse_gain:
                return 0
        return change

    def _confirmed(self, change: int, now: float) -> bool:
        """Whether a change in this direction has been worthwhile for `confirmation_s`."""
        direction = (change > 0) - (change < 0)
        if not direction:
            self._wanted_change = None
        elif self._wanted_change is None or self._wanted_change.direction != direction:
            self._wanted_change = _WantedChange(direction, now)
        return (
            self._wanted_change is not None
            and now - self._wanted_change.since >= self._settings.confirmation_s
        )

    def _orders_allowed(self, counts: _StageCounts, now: float) -> int:
        """Return how many orders the bounds allow now."""
        settings = self._settings
        while self._order_times and now - self._order_times[0] > ORDER_WINDOW_S:
            self._order_times.popleft()
        in_progress = max(settings.most_in_progress, floor(settings.in_progress_fraction * counts.total))
        max_in_window = max(settings.most_orders, counts.total)
        return max(0, min(in_progress - counts.in_progress, max_in_window - len(self._order_times)))

    def _choose_orders(self, counts: _StageCounts, stage: str, count: int, now: float) -> list[StageOrder]:
        """Choose up to `count` instances that change to a stage, and record the orders as pending."""
        orders: list[StageOrder] = []
        for _ in range(count):
            chosen = counts.next_to_move(DECODE if stage == PREFILL else PREFILL)
            if chosen is None:
                break
            counts.move(chosen, stage)
            self._pending[chosen.id] = _Pending(stage, now + self._settings.unanswered_s)
            self._order_times.append(now)
            self._last_direction = 1 if stage == PREFILL else -1
            self._last_order_at = now
            orders.append(StageOrder(chosen.id, chosen.address, stage))
        return orders


def best_split(work: StageWork, total: int, min_per_stage: int) -> int:
    """Return the number of prefill instances, of `total`, that minimizes the utilization of the busier stage.

    Each stage keeps at least `min_per_stage` instances.
    """
    lowest, highest = min_per_stage, total - min_per_stage
    if work.prefill + work.decode <= 0.0:
        return max(lowest, min(highest, total // 2))
    crossing = floor(total * work.prefill / (work.prefill + work.decode))
    choices = {max(lowest, min(highest, count)) for count in (crossing, crossing + 1)}
    return min(sorted(choices), key=lambda count: busier_stage_utilization(work, count, total))


def busier_stage_utilization(work: StageWork, prefill_count: int, total: int) -> float:
    """Return the utilization of the busier stage with `prefill_count` of `total` instances prefilling."""
    return max(_utilization(work.prefill, prefill_count), _utilization(work.decode, total - prefill_count))


def _utilization(work: float, count: int) -> float:
    if count:
        return work / count
    return inf if work > 0.0 else 0.0
