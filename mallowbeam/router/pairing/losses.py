"""The loss of a candidate as a fraction of the request's value, by time to first token and by prices.

Time is lost by the request itself and by those that it delays: a resource that is busy for `s` seconds while
`a` requests a second arrive delays about `a * s` of them, by half of `s` on average.  Their value and target
latency are assumed to be like the request's own.
"""

from __future__ import annotations

from mallowbeam.router.pairing.instances import InstanceTracker, TrackedInstance
from mallowbeam.router.pairing.load import FleetLoad
from mallowbeam.router.pairing.prompt import Prompt
from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.router.pairing.stages import DECODE

REJECTED_LOSS, NO_CAPACITY_LOSS = 5.0, 10.0  # above any other loss: such instances are chosen last
LEAST_TARGET_S = 1e-3


class Losses:
    """The terms of a candidate's loss."""

    def __init__(self, settings: PairingSettings, table: InstanceTracker, load: FleetLoad) -> None:
        self._settings = settings
        self._table = table
        self._load = load

    def late(self, first_token_s: float, prompt: Prompt) -> float:
        """By the request's own time to first token, in seconds."""
        ratio = first_token_s / max(prompt.target_latency_s, LEAST_TARGET_S)
        half = self._settings.late_loss / 2
        return half * ratio**3 if ratio <= 1.0 else half * ratio

    def waiting(self, prompt: Prompt, instance: TrackedInstance, busy_s: float, now: float) -> float:
        """By requests that arrive at an instance while it is busy for `busy_s` more seconds."""
        arrivals = self._load.arrivals(instance.backend, instance.stage, self._size(instance), now)
        delayed_s = arrivals * busy_s * busy_s / 2
        return self._settings.wait_loss * delayed_s / max(prompt.target_latency_s, LEAST_TARGET_S)

    def interruption(self, instance: TrackedInstance, reading_s: float) -> float:
        """By prefilling between the tokens of the requests that a decode instance runs."""
        if instance.stage != DECODE:
            return 0.0
        return self._settings.interruption_loss_per_s * (1 + self.running(instance)) * reading_s

    def reread(self, prompt: Prompt, instance: TrackedInstance, home: TrackedInstance | None) -> float:
        """By prefilling shared segments again away from their home."""
        shared = prompt.segments[:-1]
        if instance is home or not shared:
            return 0.0
        again = sum(segment.tokens for segment in shared) - instance.prefix_cache.cached_tokens(shared)
        settings = self._settings
        return min(settings.reread_loss_most, settings.reread_loss_per_1000 * again / 1000.0)

    def contention(self, instance: TrackedInstance) -> float:
        """By contention: requests at a decode instance slow one another and share its KV cache."""
        contention = self.running(instance) / instance.slots
        return self._settings.contention_loss * contention * contention

    def full(self, prompt: Prompt, instance: TrackedInstance, now: float) -> float:
        """By missing capacity: a full instance comes after all that have some."""
        loss = self.rejected(instance, now)
        return (
            loss if instance.has_capacity(prompt.tokens + prompt.answer_tokens) else loss + NO_CAPACITY_LOSS
        )

    def hand_over(self, prefiller: TrackedInstance, decoder: TrackedInstance, now: float) -> float:
        """By the KV cache transfer: one between zones has a price, and some fail."""
        settings = self._settings
        far = 0.0 if prefiller.zone == decoder.zone else settings.zone_move_loss
        return far + settings.hand_over_loss * prefiller.failures.value(0.0, 1.0, now)

    @staticmethod
    def rejected(instance: TrackedInstance, now: float) -> float:
        """By a recent rejection: such an instance comes after all others."""
        return REJECTED_LOSS if now < instance.rejected_until else 0.0

    def running(self, instance: TrackedInstance) -> int:
        """Requests of all gateways at an instance, assuming that each has as many there as this one."""
        return instance.occupied_slots * self._load.gateways

    def _size(self, instance: TrackedInstance) -> int:
        return self._table.size(instance.backend, instance.stage)
