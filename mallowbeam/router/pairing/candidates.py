"""The candidates for a request: pairs of instances with their estimated time to first token and loss.

A prompt is prefilled at a prefill instance and its KV cache is transferred to a decode instance, or a decode
instance prefills it itself at a slower pace.  Cached segments are not prefilled again.  The prefill instance
is found by rendezvous hashing on the deepest shared segment, so that all gateways choose the same one, its
home; the next ones in that order are chosen when the home's queue costs more than prefilling the shared
segments again.  The candidate of least loss is chosen.
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
OVERDUE_FACTOR = 3.0  # multiple of the usual latency after which an answer without stages is overdue


@dataclass(frozen=True, slots=True)
class Candidate:
    """One pair of instances for a request, with its estimates."""

    prefiller: TrackedInstance
    decoder: TrackedInstance
    known_misses: int
    """Prompt tokens that certainly miss the prefix cache of the prefill instance."""
    unseen_tokens: int
    """Shared tokens not sent there by this gateway; other gateways' requests may have cached them."""
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
    """The instances considered for a prompt, and its home instance by rendezvous hashing."""

    prefillers: list[TrackedInstance]
    decoders: list[TrackedInstance]
    home: TrackedInstance | None


class Pairing:
    """Chooses instances for one gateway."""

    def __init__(self, settings: PairingSettings, tracker: InstanceTracker, gateway: str) -> None:
        """The gateway's name salts the choices that should differ among gateways."""
        self.settings = settings
        self.tracker = tracker
        self.salt = gateway
        self.load = FleetLoad()
        self.losses = Losses(settings, tracker, self.load)
        self.cached_fraction = CachedFraction(settings.unseen_cached_fraction)
        self.sessions: dict[str, str] = {}  # by id of a last segment: the instance that caches it

    def candidates(self, prompt: Prompt, now: float) -> list[Candidate]:
        """Return the candidates, least loss first; none if no instance is ready."""
        choices = self._choices(prompt)
        if source := self.tracker.instances.get(prompt.kv_cache_source):
            return sorted(
                (self._transferred(prompt, source, decoder, now) for decoder in choices.decoders),
                key=lambda candidate: candidate.loss,
            )
        candidates = [self._direct(prompt, decoder, choices.home, now) for decoder in choices.decoders]
        candidates += [
            self._split(prompt, prefiller, decoder, choices.home, now)
            for prefiller in choices.prefillers
            for decoder in choices.decoders
            if decoder.stage == DECODE
        ]
        return sorted(candidates, key=lambda candidate: candidate.loss)

    def unstaged_candidates(self, prompt: Prompt, now: float) -> list[Candidate]:
        """Return the candidates for a service whose instances have no stages, least loss first."""
        key = stable_hash(self.salt + prompt.request_id)
        same_zone = list(self.tracker.ranked(prompt.backend, "", prompt.zone, key, prompt.excluded))
        names = {instance.id for instance in same_zone}
        other_zones = [
            instance
            for instance in self.tracker.ranked(prompt.backend, "", "", key, prompt.excluded)
            if instance.id not in names
        ]
        return sorted(
            (self._unstaged_candidate(prompt, instance, now) for instance in same_zone + other_zones),
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
        prefillers = self._top_ranked(prompt, PREFILL, "", key, settings.read_choices)
        by_key = self._top_ranked(prompt, DECODE, "", key, settings.decode_choices)
        home = self._home(prompt, key, prefillers[:1] + by_key[:1])
        choices = {instance.id: instance for instance in (*self._session_instances(prompt), *by_key)}
        draw = stable_hash(self.salt + prompt.request_id)
        for zone in ("", *sorted({prefiller.zone for prefiller in prefillers})):
            for instance in self._top_ranked(prompt, DECODE, zone, draw, settings.spread_choices):
                choices[instance.id] = instance
        decoders = list(choices.values()) or self._without_stage(prompt, key)
        return _Choices(prefillers, decoders, home or (decoders[0] if decoders else None))

    def _home(self, prompt: Prompt, key: int, firsts: Sequence[TrackedInstance]) -> TrackedInstance | None:
        """Return the home of a key: the first instance of either stage, whichever has the higher score."""
        if not firsts:
            return None
        return max(
            firsts, key=lambda instance: score(stable_hash(instance.id), key, self._weight(prompt, instance))
        )

    def _weight(self, prompt: Prompt, instance: TrackedInstance) -> float:
        weight = 1.0 if instance.stage == PREFILL else self.settings.decode_home_weight
        return weight * max(1.0, self.tracker.size(prompt.backend, instance.stage) / WINDOW)

    def _session_instances(self, prompt: Prompt) -> list[TrackedInstance]:
        """Return the decode instance that caches the whole session, if it may be used."""
        name = self.sessions.get(prompt.segments[-1].id) if prompt.segments else None
        instance = self.tracker.instances.get(name) if name else None
        if instance is None or not instance.ready or instance.stage != DECODE:
            return []
        return [] if instance.id in prompt.excluded or instance.id in self.tracker.ejected else [instance]

    def _without_stage(self, prompt: Prompt, key: int) -> list[TrackedInstance]:
        """Return instances without a stage, for services without decode instances.

        A prefill instance would reject the request.
        """
        return self._top_ranked(prompt, "", "", key, self.settings.read_choices)

    def _top_ranked(
        self, prompt: Prompt, stage: str, zone: str, key: int, count: int
    ) -> list[TrackedInstance]:
        return list(islice(self.tracker.ranked(prompt.backend, stage, zone, key, prompt.excluded), count))

    # ---------------------------------------------------------------- estimates

    def _direct(
        self, prompt: Prompt, instance: TrackedInstance, home: TrackedInstance | None, now: float
    ) -> Candidate:
        known_misses, unseen_tokens, uncached_tokens = self._cache_misses(prompt, instance, home)
        losses, wait_s = self.losses, instance.wait_s(now)
        compute_s = uncached_tokens * instance.model.token_s
        prefill_s = self.settings.overhead_s + compute_s
        join_s = losses.running_requests(instance) * self.settings.running_s
        loss = losses.latency(wait_s + prefill_s + join_s, prompt) + losses.repeated_prefill(
            prompt, instance, home
        )
        loss += losses.interruption(instance, compute_s)
        loss += losses.contention(instance) + losses.missing_capacity(prompt, instance, now)
        return Candidate(
            instance,
            instance,
            known_misses,
            unseen_tokens,
            uncached_tokens,
            wait_s,
            prefill_s,
            0.0,
            join_s,
            loss,
        )

    def _split(
        self,
        prompt: Prompt,
        prefiller: TrackedInstance,
        decoder: TrackedInstance,
        home: TrackedInstance | None,
        now: float,
    ) -> Candidate:
        known_misses, unseen_tokens, uncached_tokens = self._cache_misses(prompt, prefiller, home)
        losses, wait_s = self.losses, prefiller.wait_s(now)
        compute_s = uncached_tokens * prefiller.model.token_s
        prefill_s = self.settings.overhead_s + compute_s
        transfer_s = self.transfer_s(prompt, prefiller, decoder)
        join_s = self._join_s(prefiller, decoder, now)
        loss = losses.latency(wait_s + prefill_s + transfer_s + join_s, prompt) + losses.repeated_prefill(
            prompt, prefiller, home
        )
        loss += losses.delayed_requests(prompt, decoder, transfer_s, now)
        loss += losses.contention(decoder) + losses.missing_capacity(prompt, decoder, now)
        loss += losses.rejected(prefiller, now) + losses.transfer(prefiller, decoder, now)
        return Candidate(
            prefiller,
            decoder,
            known_misses,
            unseen_tokens,
            uncached_tokens,
            wait_s,
            prefill_s,
            transfer_s,
            join_s,
            loss,
        )

    def _transferred(
        self, prompt: Prompt, source: TrackedInstance, decoder: TrackedInstance, now: float
    ) -> Candidate:
        """Return a candidate whose KV cache exists already at `source`: only the transfer is left."""
        losses, transfer_s = self.losses, self.transfer_s(prompt, source, decoder)
        join_s = self._join_s(source, decoder, now)
        loss = losses.latency(transfer_s + join_s, prompt) + losses.delayed_requests(
            prompt, decoder, transfer_s, now
        )
        loss += losses.contention(decoder) + losses.missing_capacity(prompt, decoder, now)
        loss += losses.transfer(source, decoder, now)
        return Candidate(decoder, decoder, 0, 0, 0, 0.0, 0.0, transfer_s, join_s, loss)

    def _join_s(self, prefiller: TrackedInstance, decoder: TrackedInstance, now: float) -> float:
        """Return the seconds from the prefill's end to the first token at `decoder`, without the transfer."""
        return (
            decoder.join_s(prefiller, now) + self.losses.running_requests(decoder) * self.settings.running_s
        )

    def _unstaged_candidate(self, prompt: Prompt, instance: TrackedInstance, now: float) -> Candidate:
        load = (instance.occupied_slots + 1) / instance.slots
        usual_latency_s = instance.timer.latency_s(prompt.target_latency_s, now)
        queued = max(0, instance.occupied_slots + 1 - instance.slots) / instance.slots
        wait_s = queued * usual_latency_s + max(
            0.0, instance.timer.oldest_age(now) - OVERDUE_FACTOR * usual_latency_s
        )
        first_token_s = wait_s + usual_latency_s
        loss = self.settings.contention_loss * load * load + self.losses.latency(first_token_s, prompt)
        loss += self.losses.missing_capacity(prompt, instance, now)
        loss += self.settings.zone_loss if instance.zone != prompt.zone else 0.0
        return Candidate(instance, instance, 0, 0, 0, wait_s, 0.0, 0.0, usual_latency_s, loss)

    def transfer_s(self, prompt: Prompt, prefiller: TrackedInstance, decoder: TrackedInstance) -> float:
        """Return the expected transfer time of a prompt's KV cache, in seconds."""
        settings, engine = self.settings, prompt.engine
        if engine is None or engine.link_mbps <= 0:
            return settings.move_setup_s
        size = prompt.tokens * engine.kv_token_bytes
        seconds = settings.move_setup_s + size * 8.0 / (engine.link_mbps * BITS_PER_MBIT)
        return seconds if prefiller.zone == decoder.zone else seconds * settings.zone_move_factor

    def _cache_misses(
        self, prompt: Prompt, instance: TrackedInstance, home: TrackedInstance | None
    ) -> tuple[int, int, int]:
        """Return, in tokens: certain misses, those that other gateways may have cached, expected misses."""
        missing_tokens = max(1, prompt.tokens - instance.prefix_cache.cached_tokens(prompt.segments))
        shared = prompt.segments[:-1]
        if instance is not home or not shared or self.load.gateways <= 1:
            return missing_tokens, 0, missing_tokens
        unseen_tokens = min(
            missing_tokens - 1,
            sum(segment.tokens for segment in shared) - instance.prefix_cache.cached_tokens(shared),
        )
        known_misses = missing_tokens - unseen_tokens
        return (
            known_misses,
            unseen_tokens,
            known_misses + int(unseen_tokens * (1.0 - self.cached_fraction.value)),
        )
