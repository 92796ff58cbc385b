"""What one gateway knows of the instances: its own work there, their measured pace, the parts they keep."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from mallowbeam.router.pairing.hashing import Ring
from mallowbeam.router.pairing.kept_parts import KeptParts
from mallowbeam.router.pairing.reading import ReadingModel
from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.router.pairing.stages import PREFILL
from mallowbeam.scheduling.cycles import CycleBook
from mallowbeam.scheduling.slot_time import FadingMean, SlotTimer, SlotTimeSettings

DEFAULT_KV_CAPACITY = 200_000


class Engine(Protocol):
    """What the operator's configuration says of a model server (`messages.Engine` and its model alike)."""

    @property
    def slots(self) -> int:
        """Requests that run at once."""

    @property
    def kv_capacity(self) -> int:
        """Tokens that the memory holds."""

    @property
    def kv_token_bytes(self) -> int:
        """Bytes of memory for each token."""

    @property
    def link_mbps(self) -> float:
        """Rate of moves of memory, in Mbit/s."""


class ModelVersion(Protocol):
    """A model that an instance has loaded."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def revision(self) -> int:
        """The version of its weights."""


class InstanceEntry(Protocol):
    """An instance as the feed tells of it (`messages.Instance`)."""

    id: str
    backend: str
    zone: str
    slots: int
    stage: str

    @property
    def state(self) -> int:
        """READY, DRAINS or ENDED, by the numbers of `messages.InstanceState`."""

    @property
    def models(self) -> Iterable[ModelVersion]:
        """What it has loaded."""


class InstanceBook:
    """One instance: what this gateway has there, and what it measured."""

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
        "kept",
        "reading",
        "read_tokens",
        "places",
        "memory",
        "model",
        "join",
        "hand",
        "failures",
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
        self.id, self.backend, self.zone = entry.id, entry.backend, entry.zone
        self.slots, self.stage, self.ready = max(1, entry.slots), entry.stage, False
        self.versions: tuple[tuple[str, int], ...] = ()
        self.settings = settings
        self.timer = SlotTimer(slot_time)
        self.cycles = CycleBook(cycle_s)
        self.kept = KeptParts(kv_capacity)
        self.reading: dict[int, int] = {}  # tokens that bookings have still to be read here
        self.read_tokens = 0
        self.places = 0  # bookings that hold or will take a place
        self.memory = 0  # tokens of memory that they need
        self.model = self._new_model()
        self.join = FadingMean(settings.delay_memory_s)  # hand-overs that it received
        self.hand = FadingMean(settings.delay_memory_s)  # hand-overs of what it read
        self.failures = FadingMean(settings.delay_memory_s)  # the share of the latter that failed
        self.rejected_until = float("-inf")

    @property
    def idle(self) -> bool:
        """Whether this gateway has nothing to be done there, as far as it knows."""
        return self.timer.idle and not self.reading

    def _new_model(self) -> ReadingModel:
        settings = self.settings
        prefill = self.stage == PREFILL
        pace = settings.prefill_tokens_per_s if prefill else settings.decode_tokens_per_s
        return ReadingModel(settings, pace)

    def changes_stage(self, stage: str) -> None:
        """It reads or decodes from now on; its pace is another."""
        self.stage = stage
        self.model = self._new_model()

    def wait_s(self, now: float) -> float:
        """Seconds until what this gateway has there is read, with what others' work added of late."""
        own = self.read_tokens * self.model.token_s
        age = self.timer.oldest_age(now)
        overdue = max(0.0, age - own - self.settings.overhead_s) if self.reading else 0.0
        progress = min(age, own / 2)
        return max(0.0, own - progress) + self.model.delay_s(now) + overdue

    def measured_wait_s(self, now: float) -> float:
        """The wait of readings that was seen, not estimated: of those ended, or of the oldest one out."""
        age = self.timer.oldest_age(now) if self.reading else 0.0
        own = self.read_tokens * self.model.token_s + self.settings.overhead_s
        return max(self.model.backlog_s(now), age - own)

    def read_started(self, booking: int, tokens: int) -> None:
        """A booking will have tokens read here."""
        self.reading[booking] = tokens
        self.read_tokens += tokens

    def read_ended(self, booking: int) -> int:
        """They were read, or will not be; how many there were."""
        tokens = self.reading.pop(booking, 0)
        self.read_tokens -= tokens
        return tokens

    def join_s(self, reader: InstanceBook, now: float) -> float:
        """Seconds from the end of reading at another instance to the first token, without move and crowd."""
        settings = self.settings
        here = self.join.value(settings.join_s, 1.0, now)
        there = reader.hand.value(settings.join_s, 1.0, now)
        return max(here, there)

    def learn_join(self, reader: InstanceBook, elapsed_s: float, move_s: float, now: float) -> None:
        """The first token came `elapsed_s` after the hand-over, of which the move was to take `move_s`."""
        seen = max(0.0, elapsed_s - move_s)
        self.join.add(seen, now)
        reader.hand.add(seen, now)
        reader.failures.add(0.0, now)

    def take_place(self, tokens: int) -> None:
        """A booking holds a place and memory here."""
        self.places += 1
        self.memory += tokens

    def leave_place(self, tokens: int) -> None:
        """It holds them no longer."""
        self.places -= 1
        self.memory -= tokens

    def has_room(self, tokens: int) -> bool:
        """Whether this gateway's own bookings alone leave a place and memory."""
        if self.places >= self.slots * (1.0 + self.settings.queue_share):
            return False
        return not self.places or self.memory + tokens <= self.kept.capacity


class InstanceTable:
    """All instances by service, stage and zone, with their rings."""

    def __init__(self, settings: PairingSettings, slot_time: SlotTimeSettings, cycle_s: float) -> None:
        self.settings, self.slot_time, self.cycle_s = settings, slot_time, cycle_s
        self.books: dict[str, InstanceBook] = {}
        self.rings: dict[tuple[str, str, str], Ring] = {}  # service, stage, zone; zone "" is all of them
        self.capacities: dict[str, int] = {}
        self.ejected: frozenset[str] = frozenset()

    def update(self, entry: InstanceEntry, ready: bool) -> None:
        """Take in what is told of an instance."""
        book = self.books.get(entry.id)
        if book is None:
            capacity = self.capacities.get(entry.backend, DEFAULT_KV_CAPACITY)
            book = InstanceBook(entry, self.settings, self.slot_time, self.cycle_s, capacity)
            self.books[entry.id] = book
        self._leave_rings(book)
        versions = tuple((model.name, model.revision) for model in entry.models)
        if versions != book.versions:
            book.versions = versions
            book.kept.clear()
        if entry.stage != book.stage:
            book.changes_stage(entry.stage)
        book.zone, book.slots, book.ready = entry.zone, max(1, entry.slots), ready
        if ready:
            self._join_rings(book)

    def remove(self, instance_id: str) -> None:
        """An instance has ended; bookings there keep their numbers, and end without effect."""
        if book := self.books.pop(instance_id, None):
            self._leave_rings(book)

    def set_capacity(self, backend: str, kv_capacity: int) -> None:
        """The memory of a service's instances, in tokens."""
        if kv_capacity <= 0 or self.capacities.get(backend) == kv_capacity:
            return
        self.capacities[backend] = kv_capacity
        for book in self.books.values():
            if book.backend == backend:
                book.kept.resize(kv_capacity)

    def ranked(
        self, backend: str, stage: str, zone: str, key: int, excluded: frozenset[str]
    ) -> Iterator[InstanceBook]:
        """Instances that may get work, in rendezvous order of a key; zone "" stands for all zones."""
        ring = self.rings.get((backend, stage, zone))
        if ring is None:
            return
        for name in ring.ranked(key):
            if name not in excluded and name not in self.ejected:
                yield self.books[name]

    def size(self, backend: str, stage: str) -> int:
        """How many instances of a stage are ready."""
        return len(self.rings.get((backend, stage, ""), ()))

    def _join_rings(self, book: InstanceBook) -> None:
        for zone in ("", book.zone):
            self.rings.setdefault((book.backend, book.stage, zone), Ring()).add(book.id)

    def _leave_rings(self, book: InstanceBook) -> None:
        for zone in ("", book.zone):
            if ring := self.rings.get((book.backend, book.stage, zone)):
                ring.remove(book.id)
