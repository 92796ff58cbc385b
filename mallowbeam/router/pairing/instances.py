"""One gateway's view of the instances: own bookings, measured prefill pace, prefix caches."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from mallowbeam.router.pairing.hashing import Ring
from mallowbeam.router.pairing.prefill_model import PrefillModel
from mallowbeam.router.pairing.prefix_cache import PrefixCache
from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.router.pairing.stages import PREFILL
from mallowbeam.scheduling.cycles import CycleBook
from mallowbeam.scheduling.slot_time import FadingMean, SlotTimer, SlotTimeSettings

DEFAULT_KV_CAPACITY = 200_000


class Engine(Protocol):
    """A model server as configured (`messages.Engine` and `configuration.model.Engine` both fit)."""

    @property
    def slots(self) -> int:
        """Requests that run concurrently."""

    @property
    def kv_capacity(self) -> int:
        """Tokens that its KV cache holds."""

    @property
    def kv_token_bytes(self) -> int:
        """Bytes of KV cache for each token."""

    @property
    def link_mbps(self) -> float:
        """Rate of KV cache transfers, in Mbit/s."""


class ModelVersion(Protocol):
    """A model that an instance has loaded."""

    @property
    def name(self) -> str:
        """Name of the model."""

    @property
    def revision(self) -> int:
        """The version of its weights."""


class InstanceEntry(Protocol):
    """An instance as the feed delivers it (`messages.Instance`)."""

    id: str
    backend: str
    zone: str
    slots: int
    stage: str

    @property
    def state(self) -> int:
        """READY, DRAINS or ENDED, as a value of `messages.InstanceState`."""

    @property
    def models(self) -> Iterable[ModelVersion]:
        """The models that it has loaded."""


class TrackedInstance:
    """One instance: this gateway's bookings and measurements there."""

    __slots__ = (
        "id",
        "backend",
        "zone",
        "slots",
        "stage",
        "ready",
        "versions",
        "settings",
        "timer",
        "cycles",
        "prefix_cache",
        "pending_prefills",
        "pending_tokens",
        "occupied_slots",
        "occupied_tokens",
        "model",
        "join_delay",
        "handover_delay",
        "transfer_failures",
        "rejected_until",
    )

    def __init__(
        self,
        entry: InstanceEntry,
        settings: PairingSettings,
        slot_time: SlotTimeSettings,
        cycle_s: float,
        kv_capacity: int,
    ) -> None:
        self.id = entry.id
        self.backend = entry.backend
        self.zone = entry.zone
        self.slots = max(1, entry.slots)
        self.stage = entry.stage
        self.ready = False
        self.versions: tuple[tuple[str, int], ...] = ()
        self.settings = settings
        self.timer = SlotTimer(slot_time)
        self.cycles = CycleBook(cycle_s)
        self.prefix_cache = PrefixCache(kv_capacity)
        self.pending_prefills: dict[int, int] = {}  # by booking: tokens still to be prefilled here
        self.pending_tokens = 0
        self.occupied_slots = 0  # bookings that occupy a slot, or will do so
        self.occupied_tokens = 0  # tokens of KV cache that they need
        self.model = self._new_model()
        self.join_delay = FadingMean(settings.delay_memory_s)  # seconds, of transfers that it received
        self.handover_delay = FadingMean(settings.delay_memory_s)  # seconds, of transfers that it sent
        self.transfer_failures = FadingMean(settings.delay_memory_s)  # fraction of sent transfers that failed
        self.rejected_until = float("-inf")

    @property
    def idle(self) -> bool:
        """Whether this gateway has no request in flight and no pending prefill there."""
        return self.timer.idle and not self.pending_prefills

    def _new_model(self) -> PrefillModel:
        settings = self.settings
        prefill = self.stage == PREFILL
        pace = settings.prefill_tokens_per_s if prefill else settings.decode_tokens_per_s
        return PrefillModel(settings, pace)

    def change_stage(self, stage: str) -> None:
        """Change the stage, and restart the measurement of the prefill pace."""
        self.stage = stage
        self.model = self._new_model()

    def wait_s(self, now: float) -> float:
        """Return a new prefill's expected queueing delay in seconds, by own and other gateways' work."""
        own_work_s = self.pending_tokens * self.model.token_s
        age = self.timer.oldest_age(now)
        overdue_s = max(0.0, age - own_work_s - self.settings.overhead_s) if self.pending_prefills else 0.0
        progress = min(age, own_work_s / 2)
        return max(0.0, own_work_s - progress) + self.model.delay_s(now) + overdue_s

    def measured_wait_s(self, now: float) -> float:
        """Return the measured queueing delay in seconds, of ended prefills or of the oldest pending one."""
        age = self.timer.oldest_age(now) if self.pending_prefills else 0.0
        own_work_s = self.pending_tokens * self.model.token_s + self.settings.overhead_s
        return max(self.model.backlog_s(now), age - own_work_s)

    def prefill_started(self, booking: int, tokens: int) -> None:
        """Record that a booking has `tokens` tokens to be prefilled here."""
        self.pending_prefills[booking] = tokens
        self.pending_tokens += tokens

    def prefill_ended(self, booking: int) -> int:
        """Remove a booking's pending tokens, whether prefilled or not; returns their number."""
        tokens = self.pending_prefills.pop(booking, 0)
        self.pending_tokens -= tokens
        return tokens

    def join_s(self, prefiller: TrackedInstance, now: float) -> float:
        """Return the seconds from a prefill's end to the first token, without transfer and contention."""
        settings = self.settings
        received_delay_s = self.join_delay.value(settings.join_s, 1.0, now)
        sent_delay_s = prefiller.handover_delay.value(settings.join_s, 1.0, now)
        return max(received_delay_s, sent_delay_s)

    def learn_join(self, prefiller: TrackedInstance, elapsed_s: float, transfer_s: float, now: float) -> None:
        """Learn from a first token `elapsed_s` after the prefill, with an expected `transfer_s`."""
        measured_s = max(0.0, elapsed_s - transfer_s)
        self.join_delay.add(measured_s, now)
        prefiller.handover_delay.add(measured_s, now)
        prefiller.transfer_failures.add(0.0, now)

    def occupy_slot(self, tokens: int) -> None:
        """Record that a booking occupies a slot and `tokens` tokens of KV cache."""
        self.occupied_slots += 1
        self.occupied_tokens += tokens

    def release_slot(self, tokens: int) -> None:
        """Record that a booking releases its slot and KV cache."""
        self.occupied_slots -= 1
        self.occupied_tokens -= tokens

    def has_capacity(self, tokens: int) -> bool:
        """Whether this gateway's own bookings leave a slot, and KV cache for `tokens` more tokens."""
        if self.occupied_slots >= self.slots * (1.0 + self.settings.queue_fraction):
            return False
        return not self.occupied_slots or self.occupied_tokens + tokens <= self.prefix_cache.capacity


class InstanceTracker:
    """All instances by service, stage and zone, with their hash rings."""

    def __init__(self, settings: PairingSettings, slot_time: SlotTimeSettings, cycle_s: float) -> None:
        self.settings = settings
        self.slot_time = slot_time
        self.cycle_s = cycle_s
        self.instances: dict[str, TrackedInstance] = {}
        self.rings: dict[
            tuple[str, str, str], Ring
        ] = {}  # by service, stage and zone; zone "" stands for all zones
        self.capacities: dict[str, int] = {}
        self.ejected: frozenset[str] = frozenset()

    def update(self, entry: InstanceEntry, ready: bool) -> None:
        """Add an instance, or apply its new state."""
        instance = self.instances.get(entry.id)
        if instance is None:
            capacity = self.capacities.get(entry.backend, DEFAULT_KV_CAPACITY)
            instance = TrackedInstance(entry, self.settings, self.slot_time, self.cycle_s, capacity)
            self.instances[entry.id] = instance
        self._leave_rings(instance)
        versions = tuple((model.name, model.revision) for model in entry.models)
        if versions != instance.versions:
            instance.versions = versions
            instance.prefix_cache.clear()
        if entry.stage != instance.stage:
            instance.change_stage(entry.stage)
        instance.zone, instance.slots, instance.ready = entry.zone, max(1, entry.slots), ready
        if ready:
            self._join_rings(instance)

    def remove(self, instance_id: str) -> None:
        """Remove an instance that has ended; its remaining bookings end without effect on the others."""
        if instance := self.instances.pop(instance_id, None):
            self._leave_rings(instance)

    def set_capacity(self, backend: str, kv_capacity: int) -> None:
        """Set the KV cache size of a service's instances, in tokens."""
        if kv_capacity <= 0 or self.capacities.get(backend) == kv_capacity:
            return
        self.capacities[backend] = kv_capacity
        for instance in self.instances.values():
            if instance.backend == backend:
                instance.prefix_cache.resize(kv_capacity)

    def ranked(
        self, backend: str, stage: str, zone: str, key: int, excluded: frozenset[str]
    ) -> Iterator[TrackedInstance]:
        """Yield usable instances in rendezvous order of a key; zone "" stands for all zones."""
        ring = self.rings.get((backend, stage, zone))
        if ring is None:
            return
        for name in ring.ranked(key):
            if name not in excluded and name not in self.ejected:
                yield self.instances[name]

    def size(self, backend: str, stage: str) -> int:
        """Return the number of ready instances of a stage."""
        return len(self.rings.get((backend, stage, ""), ()))

    def _join_rings(self, instance: TrackedInstance) -> None:
        for zone in ("", instance.zone):
            self.rings.setdefault((instance.backend, instance.stage, zone), Ring()).add(instance.id)

    def _leave_rings(self, instance: TrackedInstance) -> None:
        for zone in ("", instance.zone):
            if ring := self.rings.get((instance.backend, instance.stage, zone)):
                ring.remove(instance.id)
