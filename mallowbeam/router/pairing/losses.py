"""The loss of a candidate as a fraction of the request's value, by time to first token and by fixed prices.

Time is lost by the request itself and by the requests that it delays: a resource that is busy for `s` seconds
while `a` requests per second arrive delays about `a * s` of them, by half of `s` on average.  Their value and
target latency are assumed to be equal to the request's own.
"""

from __future__ import annotations

from mallowbeam.router.pairing.instances import InstanceTracker, TrackedInstance
from mallowbeam.router.pairing.load import FleetLoad
from mallowbeam.router.pairing.prompt import Prompt
from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.router.pairing.stages import DECODE

REJECTED_LOSS, NO_CAPACITY_LOSS = 5.0, 10.0  # larger than all other losses: such instances are chosen last
MIN_TARGET_S = 1e-3


class Losses:
    """The terms of a candidate's loss."""

    def __init__(self, settings: PairingSettings, tracker: InstanceTracker, load: FleetLoad) -> None:
        self._settings = settings
        self._tracker = tracker
        self._load = load

    def latency(self, first_token_s: float, prompt: Prompt) -> float:
        """Return the loss by the request's own time to first token."""
        ratio = first_token_s / max(prompt.target_latency_s, MIN_TARGET_S)
        half = self._settings.late_loss / 2
        return half * ratio**3 if ratio <= 1.0 else half * ratio

    def delayed_requests(self, prompt: Prompt, instance: TrackedInstance, busy_s: float, now: float) -> float:
        """Return the loss by delaying the requests that arrive while an instance is busy for `busy_s`."""
        arrivals = self._load.arrivals(instance.backend, instance.stage, self._size(instance), now)
        delayed_s = arrivals * busy_s * busy_s / 2
        return self._settings.wait_loss * delayed_s / max(prompt.target_latency_s, MIN_TARGET_S)

    def interruption(self, instance: TrackedInstance, prefill_s: float) -> float:
        """Return the loss by a prefill that interrupts the running requests of a decode instance."""
        if instance.stage != DECODE:
            return 0.0
        return self._settings.interruption_loss_per_s * (1 + self.running_requests(instance)) * prefill_s

    def repeated_prefill(
        self, prompt: Prompt, instance: TrackedInstance, home: TrackedInstance | None
    ) -> float:
        """Return the loss by prefilling shared segments again away from their home."""
        shared = prompt.segments[:-1]
        if instance is home or not shared:
            return 0.0
        repeated_tokens = sum(segment.tokens for segment in shared) - instance.prefix_cache.cached_tokens(
            shared
        )
        settings = self._settings
        return min(settings.reread_loss_most, settings.reread_loss_per_1000 * repeated_tokens / 1000.0)

    def contention(self, instance: TrackedInstance) -> float:
        """Return the loss by contention: requests at a decode instance share its compute and KV cache."""
        contention = self.running_requests(instance) / instance.slots
        return self._settings.contention_loss * contention * contention

    def missing_capacity(self, prompt: Prompt, instance: TrackedInstance, now: float) -> float:
        """Return the loss by missing capacity: a full instance ranks after all others."""
        loss = self.rejected(instance, now)
        return (
            loss if instance.has_capacity(prompt.tokens + prompt.answer_tokens) else loss + NO_CAPACITY_LOSS
        )

    def transfer(self, prefiller: TrackedInstance, decoder: TrackedInstance, now: float) -> float:
        """Return the loss by the KV cache transfer: its price between zones, and its expected failures."""
        settings = self._settings
        zone_loss = 0.0 if prefiller.zone == decoder.zone else settings.zone_move_loss
        return zone_loss + settings.hand_over_loss * prefiller.transfer_failures.value(0.0, 1.0, now)

    @staticmethod
    def rejected(instance: TrackedInstance, now: float) -> float:
        """Return the loss by a recent rejection: such an instance ranks after all others with capacity."""
        return REJECTED_LOSS if now < instance.rejected_until else 0.0

    def running_requests(self, instance: TrackedInstance) -> int:
        """Return the fleet's requests at an instance, assuming that each gateway has as many as this one."""
        return instance.occupied_slots * self._load.gateways

    def _size(self, instance: TrackedInstance) -> int:
        return self._tracker.size(instance.backend, instance.stage)
