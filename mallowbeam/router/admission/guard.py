"""The guard against overload: as waits are measured to grow, a growing share of requests is refused at once.

Cycles hold back what a node does not get done, but they let the wait there stand where it is.  The guard
refuses the share that brings it down: none below one wait, all above another, both in target latencies.  It
goes by the wait alone, so a large request is refused as often as a small one; the more urgent bear more wait.
"""

from __future__ import annotations

from mallowbeam.router.admission.messages import PlanRequest
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.pairing.hashing import MASK, stable_hash
from mallowbeam.router.pairing.instances import InstanceBook
from mallowbeam.scheduling.slot_time import FadingMean

TARGET_MEMORY_S = 10.0  # of the mean target latency of a service
LEAST_TARGET_S = 1e-3


class _Service:
    """What is measured of the requests of one service."""

    __slots__ = ("target", "wait", "least_priority")

    def __init__(self, memory_s: float) -> None:
        self.target = FadingMean(TARGET_MEMORY_S)
        self.wait = FadingMean(memory_s)  # of a token, over all instances
        self.least_priority = 9


class OverloadGuard:
    """Refuses a share of the requests of one gateway."""

    def __init__(self, settings: PlannerSettings, salt: str) -> None:
        """The salt makes gateways refuse different requests."""
        self.settings, self.salt = settings, salt
        self.services: dict[str, _Service] = {}

    def waited(self, backend: str, tokens: int, wait_s: float, now: float) -> None:
        """A reading of so many tokens has waited so long, or at least so long."""
        self._service(backend).wait.add(wait_s, now, max(1, tokens))

    def refuses(self, request: PlanRequest, node: InstanceBook, now: float) -> bool:
        """Whether a request whose best node is this one is refused."""
        settings, service = self.settings, self._service(request.backend)
        service.target.add(request.target_latency_s, now)
        service.least_priority = min(service.least_priority, request.priority)
        here = node.measured_wait_s(now)
        if request.resumed or (node.idle and here < settings.guard_idle * service.target.mean):
            return False
        wait = max(here, service.wait.value(0.0, settings.guard_prior_tokens, now))
        share = self.share(wait, service.target.mean, request.priority - service.least_priority)
        return stable_hash(self.salt + request.request_id) / MASK < share

    def share(self, wait_s: float, target_s: float, steps: int) -> float:
        """The share refused at a wait, of requests so many priorities less urgent than the most urgent."""
        settings = self.settings
        lenient = 1.0 + settings.guard_leniency * 0.5 ** max(0, steps)
        wait = wait_s / (max(LEAST_TARGET_S, target_s) * lenient)
        return max(0.0, min(1.0, (wait - settings.guard_from) / (settings.guard_to - settings.guard_from)))

    def _service(self, backend: str) -> _Service:
        service = self.services.get(backend)
        if service is None:
            service = self.services[backend] = _Service(self.settings.guard_memory_s)
        return service
