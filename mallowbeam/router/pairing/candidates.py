"""The candidates for a request: pairs of instances with estimated first token and loss; the least loss wins.

A prompt is prefilled at a prefill instance and its KV cache is transferred to a decode instance, or a decode
instance prefills it itself at a slower pace.  Cached segments are not prefilled again.  The prefill instance
is found by rendezvous hashing on the deepest shared segment, so that all gateways choose the same one; the
next ones in that order are chosen when its queue costs more than prefilling the shared segments again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice

from mallowbeam.router.pairing.hashing import WINDOW, score, stable_hash
from mallowbeam.router.pairing.instances import InstanceTracker, TrackedInstance
from mallowbeam.router.pairing.load import FleetLoad
from mallowbeam.router.pairing.losses import Losses
from mallowbeam.router.pairing.prefill_model import CachedFraction
from mallowbeam.router.pairing.prompt import Prompt
from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.router.pairing.stages import DECODE, PREFILL

BITS_PER_MBIT = 1e6
OVERDUE = 3.0  # usual latencies after which a plain answer is overdue


@dataclass(frozen=True, slots=True)
class Candidate:
    """One pair of instances for a request, with its estimates."""

    prefiller: TrackedInstance
    decoder: TrackedInstance
    known: int
    """Tokens that certainly miss the prefix cache."""
    unseen: int
    """Shared tokens that may be cached there, by other gateways' requests."""
    uncached_tokens: int
    """Expected number of tokens to be prefilled."""
    wait_s: float
    """Queueing delay before the prefill begins."""
    prefill_s: float
    transfer_s: float
    join_s: float
    """From the end of the prefill, or of the transfer, to the first token."""
    loss: float

    @property
    def first_token_s(self) -> float:
        """Seconds until the first token."""
        return self.wait_s + self.prefill_s + self.transfer_s + self.join_s

    @property
    def split(self) -> bool:
        """Whether prefill and decode run at different instances."""
        return self.prefiller is not self.decoder


@dataclass(frozen=True, slots=True)
class _Choices:
    """The instances considered for a prompt, and the one that is its home by hashing."""

    prefillers: list[TrackedInstance]
    decoders: list[TrackedInstance]
    home: TrackedInstance | None


class Pairing:
    """Chooses instances for one gateway."""

    def __init__(self, settings: PairingSettings, table: InstanceTracker, gateway: str) -> None:
        """The gateway's name salts the choices that should differ among gateways."""
        self.settings = settings
        self.table = table
        self.salt = gateway
        self.load = FleetLoad()
        self.losses = Losses(settings, table, self.load)
        self.cached_fraction = CachedFraction(settings.unseen_cached_fraction)
        self.sessions: dict[str, str] = {}  # last segment: the instance that has it

    def candidates(self, prompt: Prompt, now: float) -> list[Candidate]:
        """The candidates that are weighed, least loss first; none where no instance is ready."""
        found = self._choices(prompt)
        if source := self.table.instances.get(prompt.read_at):
            return sorted(
                (self._transferred(prompt, source, decoder, now) for decoder in found.decoders),
                key=lambda candidate: candidate.loss,
            )
        candidates = [self._direct(prompt, decoder, found.home, now) for decoder in found.decoders]
        candidates += [
            self._split(prompt, prefiller, decoder, found.home, now)
            for prefiller in found.prefillers
            for decoder in found.decoders
            if decoder.stage == DECODE
        ]
        return sorted(candidates, key=lambda candidate: candidate.loss)

    def plain_candidates(self, prompt: Prompt, now: float) -> list[Candidate]:
        """The candidates of a request to a service whose instances have no stages, best first."""
        key = stable_hash(self.salt + prompt.request_id)
        near = list(self.table.ranked(prompt.backend, "", prompt.zone, key, prompt.excluded))
        names = {instance.id for instance in near}
        far = [
            instance
            for instance in self.table.ranked(prompt.backend, "", "", key, prompt.excluded)
            if instance.id not in names
        ]
        return sorted(
            (self._plain(prompt, instance, now) for instance in near + far),
            key=lambda candidate: candidate.loss,
        )

    def remember(self, segment_id: str, instance_id: str) -> None:
        """Remember where a session's last segment is cached."""
        self.sessions.pop(segment_id, None)
        self.sessions[segment_id] = instance_id
        while len(self.sessions) > self.settings.session_entries:
            del self.sessions[next(iter(self.sessions))]

    # ---------------------------------------------------------------- candidates

    def _choices(self, prompt: Prompt) -> _Choices:
        key, settings = stable_hash(prompt.affinity), self.settings
        prefillers = self._first(prompt, PREFILL, "", key, settings.read_choices)
        by_key = self._first(prompt, DECODE, "", key, settings.decode_choices)
        home = self._home(prompt, key, prefillers[:1] + by_key[:1])
        found = {instance.id: instance for instance in (*self._session(prompt), *by_key)}
        drawn = stable_hash(self.salt + prompt.request_id)
        for zone in ("", *sorted({prefiller.zone for prefiller in prefillers})):
            for instance in self._first(prompt, DECODE, zone, drawn, settings.spread_choices):
                found[instance.id] = instance
        decoders = list(found.values()) or self._any(prompt, key)
        return _Choices(prefillers, decoders, home or (decoders[0] if decoders else None))

    def _home(self, prompt: Prompt, key: int, firsts: Sequence[TrackedInstance]) -> TrackedInstance | None:
        """The home of a key: the better ranked, by weight, of each stage's first instance."""
        if not firsts:
            return None
        return max(
            firsts, key=lambda instance: score(stable_hash(instance.id), key, self._weight(prompt, instance))
        )

    def _weight(self, prompt: Prompt, instance: TrackedInstance) -> float:
        weight = 1.0 if instance.stage == PREFILL else self.settings.decode_home_weight
        return weight * max(1.0, self.table.size(prompt.backend, instance.stage) / WINDOW)

    def _session(self, prompt: Prompt) -> list[TrackedInstance]:
        """The decode instance that caches the whole session, if it may be used."""
        name = self.sessions.get(prompt.segments[-1].id) if prompt.segments else None
        instance = self.table.instances.get(name) if name else None
        if instance is None or not instance.ready or instance.stage != DECODE:
            return []
        return [] if instance.id in prompt.excluded or instance.id in self.table.ejected else [instance]

    def _any(self, prompt: Prompt, key: int) -> list[TrackedInstance]:
        """Where none decodes: instances without a stage.  A prefill instance would reject the request."""
        return self._first(prompt, "", "", key, self.settings.read_choices)

    def _first(self, prompt: Prompt, stage: str, zone: str, key: int, count: int) -> list[TrackedInstance]:
        return list(islice(self.table.ranked(prompt.backend, stage, zone, key, prompt.excluded), count))

    # ---------------------------------------------------------------- estimates

    def _direct(
        self, prompt: Prompt, instance: TrackedInstance, home: TrackedInstance | None, now: float
    ) -> Candidate:
        known, unseen, read = self._unread(prompt, instance, home)
        losses, wait = self.losses, instance.wait_s(now)
        reading = read * instance.model.token_s
        prefill_s = self.settings.overhead_s + reading
        join = losses.running(instance) * self.settings.running_s
        loss = losses.late(wait + prefill_s + join, prompt) + losses.reread(prompt, instance, home)
        loss += losses.interruption(instance, reading)
        loss += losses.contention(instance) + losses.full(prompt, instance, now)
        return Candidate(instance, instance, known, unseen, read, wait, prefill_s, 0.0, join, loss)

    def _split(
        self,
        prompt: Prompt,
        prefiller: TrackedInstance,
        decoder: TrackedInstance,
        home: TrackedInstance | None,
        now: float,
    ) -> Candidate:
        known, unseen, read = self._unread(prompt, prefiller, home)
        losses, wait = self.losses, prefiller.wait_s(now)
        reading = read * prefiller.model.token_s
        prefill_s = self.settings.overhead_s + reading
        transfer_s = self.transfer_s(prompt, prefiller, decoder)
        join = self._join_s(prefiller, decoder, now)
        loss = losses.late(wait + prefill_s + transfer_s + join, prompt) + losses.reread(
            prompt, prefiller, home
        )
        loss += losses.waiting(prompt, decoder, transfer_s, now)
        loss += losses.contention(decoder) + losses.full(prompt, decoder, now)
        loss += losses.rejected(prefiller, now) + losses.hand_over(prefiller, decoder, now)
        return Candidate(prefiller, decoder, known, unseen, read, wait, prefill_s, transfer_s, join, loss)

    def _transferred(
        self, prompt: Prompt, source: TrackedInstance, decoder: TrackedInstance, now: float
    ) -> Candidate:
        """The KV cache exists already at `source`: only the transfer is left."""
        losses, transfer_s = self.losses, self.transfer_s(prompt, source, decoder)
        join = self._join_s(source, decoder, now)
        loss = losses.late(transfer_s + join, prompt) + losses.waiting(prompt, decoder, transfer_s, now)
        loss += losses.contention(decoder) + losses.full(prompt, decoder, now)
        loss += losses.hand_over(source, decoder, now)
        return Candidate(decoder, decoder, 0, 0, 0, 0.0, 0.0, transfer_s, join, loss)

    def _join_s(self, prefiller: TrackedInstance, decoder: TrackedInstance, now: float) -> float:
        """Seconds from the end of the prefill to the first token elsewhere, without the transfer."""
        return decoder.join_s(prefiller, now) + self.losses.running(decoder) * self.settings.running_s

    def _plain(self, prompt: Prompt, instance: TrackedInstance, now: float) -> Candidate:
        load = (instance.occupied_slots + 1) / instance.slots
        usual = instance.timer.latency_s(prompt.target_latency_s, now)
        queued = max(0, instance.occupied_slots + 1 - instance.slots) / instance.slots
        wait = queued * usual + max(0.0, instance.timer.oldest_age(now) - OVERDUE * usual)
        first = wait + usual
        loss = self.settings.contention_loss * load * load + self.losses.late(first, prompt)
        loss += self.losses.full(prompt, instance, now)
        loss += self.settings.zone_loss if instance.zone != prompt.zone else 0.0
        return Candidate(instance, instance, 0, 0, 0, wait, 0.0, 0.0, usual, loss)

    def transfer_s(self, prompt: Prompt, prefiller: TrackedInstance, decoder: TrackedInstance) -> float:
        """Expected transfer time of a prompt's KV cache, in seconds."""
        settings, engine = self.settings, prompt.engine
        if engine is None or engine.link_mbps <= 0:
            return settings.move_setup_s
        size = prompt.tokens * engine.kv_token_bytes
        seconds = settings.move_setup_s + size * 8.0 / (engine.link_mbps * BITS_PER_MBIT)
        return seconds if prefiller.zone == decoder.zone else seconds * settings.zone_move_factor

    def _unread(
        self, prompt: Prompt, instance: TrackedInstance, home: TrackedInstance | None
    ) -> tuple[int, int, int]:
        """Certain cache misses, tokens that other gateways' requests may have cached, expected misses."""
        left = max(1, prompt.tokens - instance.prefix_cache.cached_tokens(prompt.segments))
        shared = prompt.segments[:-1]
        if instance is not home or not shared or self.load.gateways <= 1:
            return left, 0, left
        unseen = min(
            left - 1, sum(segment.tokens for segment in shared) - instance.prefix_cache.cached_tokens(shared)
        )
        known = left - unseen
        return known, unseen, known + int(unseen * (1.0 - self.cached_fraction.value))
