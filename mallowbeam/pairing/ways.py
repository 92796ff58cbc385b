"""The ways that a request can go, each with its estimated first token and its loss; the least is taken.

A prompt is read at a prefill instance and its memory moved to a decode instance, or a decode instance reads
it itself at a slower pace.  Kept parts need no reading.  The reader is found by rendezvous hashing on the
deepest shared part, so that all gateways turn to the same one; the next ones in that order are taken when its
backlog costs more than reading the shared parts again.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mallowbeam.pairing.hashing import stable_hash
from mallowbeam.pairing.instances import DECODE, PREFILL, Engine, InstanceBook, InstanceTable
from mallowbeam.pairing.kept_parts import PromptPart
from mallowbeam.pairing.settings import PairingSettings

BYTES_PER_GB = 1e9
BITS_PER_MBIT = 1e6


@dataclass(frozen=True, slots=True)
class Prompt:
    """What pairing needs to know of a request."""

    request_id: str
    backend: str
    engine: Engine | None
    parts: tuple[PromptPart, ...]
    tokens: int
    answer_tokens: int
    target_latency_s: float
    zone: str
    excluded: frozenset[str]

    @property
    def affinity(self) -> str:
        """What is hashed: the deepest shared part; the only part where there is one; else the request."""
        if not self.parts:
            return self.request_id
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[0].id


@dataclass(frozen=True, slots=True)
class Way:
    """One way for a request."""

    reader: InstanceBook
    decoder: InstanceBook
    read_tokens: int
    move_s: float
    wait_s: float
    """Until the reader turns to this prompt."""
    first_token_s: float
    loss: float

    @property
    def split(self) -> bool:
        """Whether the prompt is read apart."""
        return self.reader is not self.decoder


class Pairing:
    """Chooses instances for one gateway."""

    def __init__(self, settings: PairingSettings, table: InstanceTable, gateway: str) -> None:
        """The gateway's name salts what is to differ among gateways."""
        self.settings, self.table, self.salt = settings, table, gateway
        self.gateways = 1
        self.sessions: dict[str, str] = {}      # last part: the instance that has it

    def ways(self, prompt: Prompt, now: float) -> list[Way]:
        """The ways that are weighed, least loss first; none where no instance is ready."""
        key = stable_hash(prompt.affinity)
        readers = self._readers(prompt, key)
        decoders = self._decoders(prompt, key, readers)
        found = [self._direct(prompt, decoder, now, home=not readers and index == 0)
                 for index, decoder in enumerate(decoders)]
        found += [self._split(prompt, reader, decoder, now, home=index == 0)
                  for index, reader in enumerate(readers) for decoder in decoders if decoder.stage == DECODE]
        return sorted(found, key=lambda way: way.loss)

    def plain_ways(self, prompt: Prompt, now: float) -> list[Way]:
        """The ways of a request to a service whose instances have no stages."""
        key = stable_hash(self.salt + prompt.request_id)
        near = list(self.table.ranked(prompt.backend, "", prompt.zone, key, prompt.excluded))
        names = {book.id for book in near}
        far = [book for book in self.table.ranked(prompt.backend, "", "", key, prompt.excluded)
               if book.id not in names]
        return sorted((self._plain(prompt, book, now) for book in near + far), key=lambda way: way.loss)

    def remember(self, part_id: str, instance_id: str) -> None:
        """A request's last part is kept at an instance now."""
        self.sessions.pop(part_id, None)
        self.sessions[part_id] = instance_id
        while len(self.sessions) > self.settings.session_entries:
            del self.sessions[next(iter(self.sessions))]

    def _readers(self, prompt: Prompt, key: int) -> list[InstanceBook]:
        found: list[InstanceBook] = []
        for book in self.table.ranked(prompt.backend, PREFILL, "", key, prompt.excluded):
            found.append(book)
            if len(found) >= self.settings.read_choices:
                break
        return found

    def _decoders(self, prompt: Prompt, key: int, readers: Sequence[InstanceBook]) -> list[InstanceBook]:
        settings = self.settings
        found: dict[str, InstanceBook] = {}
        if prompt.parts and (session := self.sessions.get(prompt.parts[-1].id)):
            book = self.table.books.get(session)
            if book and book.ready and book.stage == DECODE and self._open(book, prompt):
                found[book.id] = book
        for zone in ("", *sorted({reader.zone for reader in readers})):
            ranked = self.table.ranked(prompt.backend, DECODE, zone, key, prompt.excluded)
            self._take(found, ranked, settings.decode_choices)
        drawn = stable_hash(self.salt + prompt.request_id)
        ranked = self.table.ranked(prompt.backend, DECODE, "", drawn, prompt.excluded)
        self._take(found, ranked, settings.spread_choices)
        return list(found.values()) or self._any(prompt, key)

    def _any(self, prompt: Prompt, key: int) -> list[InstanceBook]:
        """Where none decodes: those without a stage, or whose stage may have changed since it was told."""
        found: dict[str, InstanceBook] = {}
        for stage in ("", PREFILL):
            self._take(found, self.table.ranked(prompt.backend, stage, "", key, prompt.excluded),
                       self.settings.read_choices)
            if found:
                break
        return list(found.values())

    def _open(self, book: InstanceBook, prompt: Prompt) -> bool:
        return book.id not in prompt.excluded and book.id not in self.table.ejected

    @staticmethod
    def _take(found: dict[str, InstanceBook], ranked: Iterator[InstanceBook], count: int) -> None:
        for _, book in zip(range(count), ranked, strict=False):
            found[book.id] = book

    def _direct(self, prompt: Prompt, book: InstanceBook, now: float, home: bool) -> Way:
        unread = self._unread(prompt, book)
        wait = book.wait_s(now)
        first = wait + unread * book.token_s(now) + book.join_s(self.gateways, now)
        loss = self._late_loss(first, prompt) + self._reread_loss(prompt, book, home)
        return Way(book, book, unread, 0.0, wait, first, loss + self._full_loss(prompt, book, now))

    def _split(self, prompt: Prompt, reader: InstanceBook, decoder: InstanceBook, now: float,
               home: bool) -> Way:
        settings = self.settings
        unread = self._unread(prompt, reader)
        wait = reader.wait_s(now)
        move_s, gigabytes = self.move(prompt, reader, decoder)
        near = reader.zone == decoder.zone
        first = (wait + settings.overhead_s + unread * reader.token_s(now) + move_s
                 + decoder.join_s(self.gateways, now))
        loss = self._late_loss(first, prompt) + self._reread_loss(prompt, reader, home)
        loss += gigabytes * settings.move_loss_per_gb * (1.0 if near else settings.zone_move_loss_factor)
        loss += self._full_loss(prompt, decoder, now) + self._rejected_loss(reader, now)
        return Way(reader, decoder, unread, move_s, wait, first, loss)

    def _plain(self, prompt: Prompt, book: InstanceBook, now: float) -> Way:
        load = (book.places + 1) / book.slots
        wait = book.wait_s(now)
        first = wait + book.timer.slot_s(prompt.target_latency_s, now)
        loss = 0.1 * load * load + self._late_loss(first, prompt) + self._full_loss(prompt, book, now)
        loss += self.settings.zone_loss if book.zone != prompt.zone else 0.0
        return Way(book, book, 0, 0.0, wait, first, loss)

    def move(self, prompt: Prompt, reader: InstanceBook, decoder: InstanceBook) -> tuple[float, float]:
        """Seconds that the move of a prompt's memory takes, and its size in GB."""
        settings, engine = self.settings, prompt.engine
        if engine is None or engine.link_mbps <= 0:
            return settings.move_setup_s, 0.0
        size = prompt.tokens * engine.kv_token_bytes
        seconds = settings.move_setup_s + size * 8.0 / (engine.link_mbps * BITS_PER_MBIT)
        if reader.zone != decoder.zone:
            seconds *= settings.zone_move_factor
        return seconds, size / BYTES_PER_GB

    @staticmethod
    def _unread(prompt: Prompt, book: InstanceBook) -> int:
        return max(1, prompt.tokens - book.kept.kept(prompt.parts))

    def _reread_loss(self, prompt: Prompt, book: InstanceBook, home: bool) -> float:
        """Shared parts read away from home are read again; at home, others may have had them read."""
        if home or len(prompt.parts) < 2:
            return 0.0
        shared = prompt.parts[:-1]
        again = sum(part.tokens for part in shared) - book.kept.kept(shared)
        return self.settings.reread_loss_per_1000 * again / 1000.0

    def _late_loss(self, first_token_s: float, prompt: Prompt) -> float:
        share = first_token_s / max(prompt.target_latency_s, 1e-3)
        half = self.settings.late_loss / 2
        return half * share ** 3 if share <= 1.0 else half * share

    def _full_loss(self, prompt: Prompt, book: InstanceBook, now: float) -> float:
        """An instance without room comes after all that have some."""
        loss = self._rejected_loss(book, now)
        return loss if book.has_room(prompt.tokens + prompt.answer_tokens) else loss + 10.0

    @staticmethod
    def _rejected_loss(book: InstanceBook, now: float) -> float:
        return 5.0 if now < book.rejected_until else 0.0
