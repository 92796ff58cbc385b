"""Load shedding: as measured waits grow, a growing fraction of requests is rejected at once.

Cycles delay requests that exceed an instance's capacity, but do not shorten its queue.  The guard rejects a
fraction of requests so that the queue gets shorter: none below a lower bound of the wait, all above an upper
bound, both in units of the target latency.  The fraction depends on the wait alone, so a large request is
rejected as often as a small one; more urgent requests tolerate a longer wait.
"""

from __future__ import annotations

from mallowbeam.router.admission.messages import PlanRequest
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.pairing.hashing import MASK, stable_hash
from mallowbeam.router.pairing.instances import TrackedInstance
from mallowbeam.scheduling.slot_time import FadingMean

TARGET_MEMORY_S = 10.0  # decay time of the mean target latency of a service
MIN_TARGET_S = 1e-3


class _Service:
    """Measurements of the requests of one service."""

    __slots__ = ("target", "wait", "least_priority")

    def __init__(self, memory_s: float) -> None:
        self.target = FadingMean(TARGET_MEMORY_S)
        self.wait = FadingMean(memory_s)  # seconds, weighted by tokens, over all instances
        self.least_priority = 9


class OverloadGuard:
    """Rejects a fraction of the requests of one gateway."""

    def __init__(self, settings: PlannerSettings, salt: str) -> None:
        """The salt makes gateways reject different requests."""
        self.settings = settings
        self.salt = salt
        self.services: dict[str, _Service] = {}

    def record_wait(self, backend: str, tokens: int, wait_s: float, now: float) -> None:
        """Record that a prefill of `tokens` tokens waited `wait_s` seconds, or at least that long."""
        self._service(backend).wait.add(wait_s, now, max(1, tokens))

    def rejects(self, request: PlanRequest, instance: TrackedInstance, now: float) -> bool:
        """Whether to reject a request whose best candidate prefills at this instance."""
        settings, service = self.settings, self._service(request.backend)
        service.target.add(request.target_latency_s, now)
        service.least_priority = min(service.least_priority, request.priority)
        instance_wait_s = instance.measured_wait_s(now)
        if request.resumed or (instance.idle and instance_wait_s < settings.guard_idle * service.target.mean):
            return False
        wait_s = max(instance_wait_s, service.wait.value(0.0, settings.guard_prior_tokens, now))
        fraction = self.rejected_fraction(
            wait_s, service.target.mean, request.priority - service.least_priority
        )
        return stable_hash(self.salt + request.request_id) / MASK < fraction

    def rejected_fraction(self, wait_s: float, target_s: float, priority_steps: int) -> float:
        """Return the fraction rejected of requests `priority_steps` below the most urgent priority."""
        settings = self.settings
        tolerance = 1.0 + settings.guard_leniency * 0.5 ** max(0, priority_steps)
        relative_wait = wait_s / (max(MIN_TARGET_S, target_s) * tolerance)
        return max(
            0.0, min(1.0, (relative_wait - settings.guard_from) / (settings.guard_to - settings.guard_from))
        )

    def _service(self, backend: str) -> _Service:
        service = self.services.get(backend)
        if service is None:
            service = self.services[backend] = _Service(self.settings.guard_memory_s)
        return service
