"""Estimates the work of each stage of a service, in instances that it would keep busy.  A pure core.

Prefill.  Gateways report how many calls are in flight at prefill instances.  The utilization `rho` of an
instance with `L` calls in flight on average is that of a queue with fixed service time (M/D/1) and mean
occupancy `L`: L = rho + rho^2 / (2 (1 - rho)), so rho = 1 + L - sqrt(1 + L^2).  Busy time over prefilled
tokens gives the seconds per token, in tokens as the gateways count them, whatever the instances have cached.
Tokens that spilled over to decode instances, or were rejected, are work of prefill instances too, at the same
seconds per token.

Decode.  An instance is fully used while it runs `target_running` requests, at which its tokens are not much
slower than with a single one.  Running requests over generated tokens per second give the time per token.
Part of that time is not due to decoding: while an instance prefills a prompt, no request there gets a token.
That part is subtracted, because it vanishes when prompts no longer spill over; otherwise a shortage of
prefill instances would look like one of decode instances.  Prompts for which a prefill at the decode instance
is the better choice still count as decode work.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, hypot

from mallowbeam.router.rpc.messages_pb2 import StageDemand


@dataclass(frozen=True, slots=True)
class WorkSettings:
    """How demand is smoothed and weighted."""

    memory_s: float = 2.5
    """Seconds in which the weight of a demand sample decays to 1/e."""
    pace_memory_s: float = 15.0
    """The same for the measured prefill pace."""
    tokens_per_s: float = 40_000.0
    """Prior prefill pace of a prefill instance."""
    prior_tokens: float = 20_000.0
    """Weight of the prior pace, as a number of measured tokens."""
    decode_read_factor: float = 2.0
    """How many times longer a decode instance takes to prefill a token."""
    running_s: float = 0.0001
    """Seconds that each running request adds to a decode step."""
    most_reading: float = 0.75
    """Upper bound of the estimated fraction of time in which decode instances prefill."""
    least_token_fraction: float = 0.3
    """Lower bound of the fraction of a token's time that counts as decoding."""
    least_generated: float = 20.0
    """Generated tokens per second below which the decode stage counts as idle."""
    observed_s: float = 1.5
    """Seconds for which demand must have been observed before it is acted on."""


@dataclass(frozen=True, slots=True)
class StageWork:
    """Work of both stages, each as the number of instances that it would keep fully used."""

    prefill: float
    decode: float


class WorkMeter:
    """Smooths a service's demand and converts it into work. Times are in seconds of the monotonic clock."""

    def __init__(self, settings: WorkSettings) -> None:
        self._settings = settings
        self._busy_instances = _ExponentialMean(settings.pace_memory_s)
        self._prefilled_tokens_per_s = _ExponentialMean(settings.pace_memory_s)
        self.reset()

    def reset(self) -> None:
        """Reset the smoothed demand, after a gap in the reports. The measured prefill pace is kept."""
        memory_s = self._settings.memory_s
        self._first_observed_at: float | None = None
        self._observed_at = 0.0
        self._prompt_tokens_per_s = _ExponentialMean(memory_s)
        self._direct_tokens_per_s = _ExponentialMean(memory_s)
        self._spilled_tokens_per_s = _ExponentialMean(memory_s)
        self._decoding_requests = _ExponentialMean(memory_s)
        self._generated_tokens_per_s = _ExponentialMean(memory_s)
        self._first_tokens_per_s = _ExponentialMean(memory_s)
        self._decode_instances = _ExponentialMean(memory_s)

    def observe(self, demand: StageDemand, prefill_count: int, decode_count: int, now: float) -> None:
        """Record the fleet's demand of the last second, with the instances that each stage had."""
        if self._first_observed_at is None:
            self._first_observed_at = self._observed_at = now
        elapsed_s, self._observed_at = now - self._observed_at, now
        self._prompt_tokens_per_s.add(demand.read_tokens + demand.spilled_tokens, elapsed_s)
        self._direct_tokens_per_s.add(demand.direct_tokens, elapsed_s)
        self._spilled_tokens_per_s.add(demand.spilled_tokens, elapsed_s)
        self._decoding_requests.add(demand.decoding, elapsed_s)
        self._generated_tokens_per_s.add(demand.generated, elapsed_s)
        self._first_tokens_per_s.add(demand.first_tokens, elapsed_s)
        self._decode_instances.add(decode_count, elapsed_s)
        if prefill_count > 0:
            self._busy_instances.add(prefill_count * utilization(demand.reading / prefill_count), elapsed_s)
            self._prefilled_tokens_per_s.add(demand.done_tokens, elapsed_s)

    def work(self, target_running: float, now: float) -> StageWork | None:
        """Return the smoothed work; None until demand has been observed for `observed_s`.

        `target_running` is the number of running requests at which a decode instance is fully used.
        """
        if self._first_observed_at is None or now - self._first_observed_at < self._settings.observed_s:
            return None
        token_s = self.prefill_token_s()
        direct_work = self._direct_tokens_per_s.value * token_s * self._settings.decode_read_factor
        tokens = self._generated_tokens_per_s.value + self._first_tokens_per_s.value
        running_requests = tokens * self._generated_token_s(target_running)
        return StageWork(
            self._prompt_tokens_per_s.value * token_s, running_requests / target_running + direct_work
        )

    def prefill_token_s(self) -> float:
        """Return the recent busy seconds of a prefill instance for each prompt token."""
        settings = self._settings
        prefilled_tokens = self._prefilled_tokens_per_s.value * settings.pace_memory_s
        busy_s = self._busy_instances.value * settings.pace_memory_s
        prior = settings.prior_tokens
        return (busy_s + prior / settings.tokens_per_s) / (prefilled_tokens + prior)

    def _generated_token_s(self, target_running: float) -> float:
        """Return the seconds per token at an instance that runs `target_running` requests and no prefill."""
        settings = self._settings
        if (
            self._generated_tokens_per_s.value < settings.least_generated
            or self._decode_instances.value <= 0.0
        ):
            return 0.0
        token_s = self._decoding_requests.value / self._generated_tokens_per_s.value
        prefill_work = (
            self._direct_tokens_per_s.value + self._spilled_tokens_per_s.value
        ) * self.prefill_token_s()
        prefill_fraction = min(
            settings.most_reading, prefill_work * settings.decode_read_factor / self._decode_instances.value
        )
        running_per_instance = self._decoding_requests.value / self._decode_instances.value
        decode_token_s = token_s * (1.0 - prefill_fraction) + settings.running_s * (
            target_running - running_per_instance
        )
        return max(decode_token_s, token_s * settings.least_token_fraction)


class _ExponentialMean:
    """Exponential mean of samples that each cover the time since the previous one; the first counts fully."""

    __slots__ = ("value", "_memory_s", "_empty")

    def __init__(self, memory_s: float) -> None:
        self.value = 0.0
        self._memory_s = memory_s
        self._empty = True

    def add(self, sample: float, elapsed_s: float) -> None:
        """Add a sample that covers the last `elapsed_s` seconds."""
        weight = 1.0 if self._empty else 1.0 - exp(-elapsed_s / self._memory_s)
        self._empty = False
        self.value += (sample - self.value) * weight


def utilization(calls_in_flight: float) -> float:
    """Return the fraction of time for which an instance with this mean number of calls in flight is busy."""
    return 1.0 + calls_in_flight - hypot(1.0, calls_in_flight)
