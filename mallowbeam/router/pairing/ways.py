"""The ways that a request can go, each with its estimated first token and its loss; the least is taken.

A prompt is read at a prefill instance and its memory moved to a decode instance, or a decode instance reads
it itself at a slower pace.  Kept parts need no reading.  The reader is found by rendezvous hashing on the
deepest shared part, so that all gateways turn to the same one; the next ones in that order are taken when its
backlog costs more than reading the shared parts again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice

from mallowbeam.router.pairing.hashing import WINDOW, score, stable_hash
from mallowbeam.router.pairing.instances import InstanceBook, InstanceTable
from mallowbeam.router.pairing.load import FleetLoad
from mallowbeam.router.pairing.losses import Losses
from mallowbeam.router.pairing.prompt import Prompt
from mallowbeam.router.pairing.reading import KeptShare
from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.router.pairing.stages import DECODE, PREFILL

BITS_PER_MBIT = 1e6
OVERDUE = 3.0  # usual latencies after which a plain answer is overdue


@dataclass(frozen=True, slots=True)
class Way:
    """One way for a request."""

    reader: InstanceBook
    decoder: InstanceBook
    known: int
    """Tokens to be read for certain."""
    unseen: int
    """Shared tokens that may be kept there, by others' requests."""
    read_tokens: int
    """Tokens that are expected to be read."""
    wait_s: float
    """Until the reader turns to this prompt."""
    read_s: float
    move_s: float
    join_s: float
    """From the end of reading, or of the move, to the first token."""
    loss: float

    @property
    def first_token_s(self) -> float:
        """Seconds until the first token."""
        return self.wait_s + self.read_s + self.move_s + self.join_s

    @property
    def split(self) -> bool:
        """Whether the prompt is read apart."""
        return self.reader is not self.decoder


@dataclass(frozen=True, slots=True)
class _Candidates:
    """The instances weighed for a prompt, and the one that is its home."""

    readers: list[InstanceBook]
    decoders: list[InstanceBook]
    home: InstanceBook | None


class Pairing:
    """Chooses instances for one gateway."""

    def __init__(self, settings: PairingSettings, table: InstanceTable, gateway: str) -> None:
        """The gateway's name salts what is to differ among gateways."""
        self.settings, self.table, self.salt = settings, table, gateway
        self.load = FleetLoad()
        self.losses = Losses(settings, table, self.load)
        self.kept = KeptShare(settings.unseen_kept_share)
        self.sessions: dict[str, str] = {}  # last part: the instance that has it

    def ways(self, prompt: Prompt, now: float) -> list[Way]:
        """The ways that are weighed, least loss first; none where no instance is ready."""
        found = self._candidates(prompt)
        if holder := self.table.books.get(prompt.read_at):
            return sorted(
                (self._handed(prompt, holder, decoder, now) for decoder in found.decoders),
                key=lambda way: way.loss,
            )
        ways = [self._direct(prompt, decoder, found.home, now) for decoder in found.decoders]
        ways += [
            self._split(prompt, reader, decoder, found.home, now)
            for reader in found.readers
            for decoder in found.decoders
            if decoder.stage == DECODE
        ]
        return sorted(ways, key=lambda way: way.loss)

    def plain_ways(self, prompt: Prompt, now: float) -> list[Way]:
        """The ways of a request to a service whose instances have no stages."""
        key = stable_hash(self.salt + prompt.request_id)
        near = list(self.table.ranked(prompt.backend, "", prompt.zone, key, prompt.excluded))
        names = {book.id for book in near}
        far = [
            book
            for book in self.table.ranked(prompt.backend, "", "", key, prompt.excluded)
            if book.id not in names
        ]
        return sorted((self._plain(prompt, book, now) for book in near + far), key=lambda way: way.loss)

    def remember(self, part_id: str, instance_id: str) -> None:
        """A request's last part is kept at an instance now."""
        self.sessions.pop(part_id, None)
        self.sessions[part_id] = instance_id
        while len(self.sessions) > self.settings.session_entries:
            del self.sessions[next(iter(self.sessions))]

    # ---------------------------------------------------------------- candidates

    def _candidates(self, prompt: Prompt) -> _Candidates:
        key, settings = stable_hash(prompt.affinity), self.settings
        readers = self._first(prompt, PREFILL, "", key, settings.read_choices)
        by_key = self._first(prompt, DECODE, "", key, settings.decode_choices)
        home = self._home(prompt, key, readers[:1] + by_key[:1])
        found = {book.id: book for book in (*self._session(prompt), *by_key)}
        drawn = stable_hash(self.salt + prompt.request_id)
        for zone in ("", *sorted({reader.zone for reader in readers})):
            for book in self._first(prompt, DECODE, zone, drawn, settings.spread_choices):
                found[book.id] = book
        decoders = list(found.values()) or self._any(prompt, key)
        return _Candidates(readers, decoders, home or (decoders[0] if decoders else None))

    def _home(self, prompt: Prompt, key: int, firsts: Sequence[InstanceBook]) -> InstanceBook | None:
        """Of each stage's first instance the one that comes first by weight."""
        if not firsts:
            return None
        return max(firsts, key=lambda book: score(stable_hash(book.id), key, self._weight(prompt, book)))

    def _weight(self, prompt: Prompt, book: InstanceBook) -> float:
        weight = 1.0 if book.stage == PREFILL else self.settings.decode_home_weight
        return weight * max(1.0, self.table.size(prompt.backend, book.stage) / WINDOW)

    def _session(self, prompt: Prompt) -> list[InstanceBook]:
        """The decode instance that keeps all of the prompt's parts, if it may be used."""
        name = self.sessions.get(prompt.parts[-1].id) if prompt.parts else None
        book = self.table.books.get(name) if name else None
        if book is None or not book.ready or book.stage != DECODE:
            return []
        return [] if book.id in prompt.excluded or book.id in self.table.ejected else [book]

    def _any(self, prompt: Prompt, key: int) -> list[InstanceBook]:
        """Where none decodes: those without a stage.  A prefill instance would turn the request away."""
        return self._first(prompt, "", "", key, self.settings.read_choices)

    def _first(self, prompt: Prompt, stage: str, zone: str, key: int, count: int) -> list[InstanceBook]:
        return list(islice(self.table.ranked(prompt.backend, stage, zone, key, prompt.excluded), count))

    # ---------------------------------------------------------------- estimates

    def _direct(self, prompt: Prompt, book: InstanceBook, home: InstanceBook | None, now: float) -> Way:
        known, unseen, read = self._unread(prompt, book, home)
        losses, wait = self.losses, book.wait_s(now)
        reading = read * book.model.token_s
        read_s = self.settings.overhead_s + reading
        join = losses.running(book) * self.settings.running_s
        loss = losses.late(wait + read_s + join, prompt) + losses.reread(prompt, book, home)
        loss += losses.interruption(book, reading)
        loss += losses.crowd(book) + losses.full(prompt, book, now)
        return Way(book, book, known, unseen, read, wait, read_s, 0.0, join, loss)

    def _split(
        self,
        prompt: Prompt,
        reader: InstanceBook,
        decoder: InstanceBook,
        home: InstanceBook | None,
        now: float,
    ) -> Way:
        known, unseen, read = self._unread(prompt, reader, home)
        losses, wait = self.losses, reader.wait_s(now)
        reading = read * reader.model.token_s
        read_s = self.settings.overhead_s + reading
        move_s = self.move_s(prompt, reader, decoder)
        join = self._join_s(reader, decoder, now)
        loss = losses.late(wait + read_s + move_s + join, prompt) + losses.reread(prompt, reader, home)
        loss += losses.waiting(prompt, decoder, move_s, now)
        loss += losses.crowd(decoder) + losses.full(prompt, decoder, now)
        loss += losses.rejected(reader, now) + losses.hand_over(reader, decoder, now)
        return Way(reader, decoder, known, unseen, read, wait, read_s, move_s, join, loss)

    def _handed(self, prompt: Prompt, holder: InstanceBook, decoder: InstanceBook, now: float) -> Way:
        """What was read already is handed over: nothing is left to be read."""
        losses, move_s = self.losses, self.move_s(prompt, holder, decoder)
        join = self._join_s(holder, decoder, now)
        loss = losses.late(move_s + join, prompt) + losses.waiting(prompt, decoder, move_s, now)
        loss += losses.crowd(decoder) + losses.full(prompt, decoder, now)
        loss += losses.hand_over(holder, decoder, now)
        return Way(decoder, decoder, 0, 0, 0, 0.0, 0.0, move_s, join, loss)

    def _join_s(self, reader: InstanceBook, decoder: InstanceBook, now: float) -> float:
        """Seconds from the end of reading to the first token at another instance, without the move."""
        return decoder.join_s(reader, now) + self.losses.running(decoder) * self.settings.running_s

    def _plain(self, prompt: Prompt, book: InstanceBook, now: float) -> Way:
        load = (book.places + 1) / book.slots
        usual = book.timer.latency_s(prompt.target_latency_s, now)
        queued = max(0, book.places + 1 - book.slots) / book.slots
        wait = queued * usual + max(0.0, book.timer.oldest_age(now) - OVERDUE * usual)
        first = wait + usual
        loss = self.settings.crowd_loss * load * load + self.losses.late(first, prompt)
        loss += self.losses.full(prompt, book, now)
        loss += self.settings.zone_loss if book.zone != prompt.zone else 0.0
        return Way(book, book, 0, 0, 0, wait, 0.0, 0.0, usual, loss)

    def move_s(self, prompt: Prompt, reader: InstanceBook, decoder: InstanceBook) -> float:
        """Seconds that the move of a prompt's memory takes."""
        settings, engine = self.settings, prompt.engine
        if engine is None or engine.link_mbps <= 0:
            return settings.move_setup_s
        size = prompt.tokens * engine.kv_token_bytes
        seconds = settings.move_setup_s + size * 8.0 / (engine.link_mbps * BITS_PER_MBIT)
        return seconds if reader.zone == decoder.zone else seconds * settings.zone_move_factor

    def _unread(self, prompt: Prompt, book: InstanceBook, home: InstanceBook | None) -> tuple[int, int, int]:
        """Tokens to be read for certain, those that may be kept by others' requests, and the expected sum."""
        left = max(1, prompt.tokens - book.kept.kept(prompt.parts))
        if book is not home or len(prompt.parts) < 2 or self.load.gateways < 2:
            return left, 0, left
        shared = prompt.parts[:-1]
        unseen = min(left - 1, sum(part.tokens for part in shared) - book.kept.kept(shared))
        known = left - unseen
        return known, unseen, known + int(unseen * (1.0 - self.kept.value))
