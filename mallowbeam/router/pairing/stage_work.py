"""How much work each stage of a service has, in instances that would be busy with it.  A pure core.

Prefill.  Gateways tell how many calls are under way at prefill instances.  An instance with `L` of them on
average is busy for the share `rho` of its time for which a queue of fixed service time holds `L` requests:
L = rho + rho^2 / (2 (1 - rho)), so rho = 1 + L - sqrt(1 + L^2).  Tokens read over busy time give the seconds
that a token takes, in the gateways' own count of tokens, whatever is kept.  Tokens that spilled to decode
instances, or were refused, are work of prefill instances too, at the same seconds for each token.

Decode.  An instance is fully used with a target_running number of requests, at which its tokens are not much
slower than alone.  Requests that run over tokens a second give the time of a token.  Part of it is not the
decode stage's own: while an instance reads a prompt, no request there gets a token.  That part is taken off,
because it goes away with the prompts that spill; else a want of prefill instances would look like one of
decode instances.  Prompts that are better read where they are decoded stay as work.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, hypot

from mallowbeam.router.rpc.messages_pb2 import StageDemand


@dataclass(frozen=True, slots=True)
class WorkSettings:
    """How demand is smoothed and weighed."""

    memory_s: float = 2.5
    """Seconds in which a sample of demand loses its weight to 1/e."""
    pace_memory_s: float = 15.0
    """Likewise for the measured reading pace."""
    tokens_per_s: float = 40_000.0
    """Reading pace of a prefill instance before it is measured."""
    prior_tokens: float = 20_000.0
    """Tokens that this first pace counts as against measured ones."""
    decode_read_factor: float = 2.0
    """How many times longer a decode instance reads a token."""
    running_s: float = 0.0001
    """What each running request adds to a decode step."""
    most_reading: float = 0.75
    """The largest share of their time that decode instances are taken to read prompts."""
    least_token_fraction: float = 0.3
    """The least share of a token's time that is taken to be the decode stage's own."""
    least_generated: float = 20.0
    """Tokens a second below which the decode stage counts as idle."""
    observed_s: float = 1.5
    """Demand must have been seen for so long before it is acted on."""


@dataclass(frozen=True, slots=True)
class StageWork:
    """Work of both stages, in instances that it would keep fully used."""

    prefill: float
    decode: float


class WorkMeter:
    """Smooths a service's demand and turns it into work. Times are seconds of the steady clock."""

    def __init__(self, settings: WorkSettings) -> None:
        self._settings = settings
        self._busy = _Faded(settings.pace_memory_s)
        self._read = _Faded(settings.pace_memory_s)
        self.forget()

    def forget(self) -> None:
        """Start anew: the demand was not seen for some time. The measured reading pace stays."""
        memory_s = self._settings.memory_s
        self._first_at: float | None = None
        self._at = 0.0
        self._prompts = _Faded(memory_s)
        self._direct = _Faded(memory_s)
        self._spilled = _Faded(memory_s)
        self._decoding = _Faded(memory_s)
        self._generated = _Faded(memory_s)
        self._first = _Faded(memory_s)
        self._decode_count = _Faded(memory_s)

    def observe(self, demand: StageDemand, prefill_count: int, decode_count: int, now: float) -> None:
        """Take the fleet's demand of the last second, while so many instances worked in each stage."""
        if self._first_at is None:
            self._first_at = self._at = now
        passed, self._at = now - self._at, now
        self._prompts.add(demand.read_tokens + demand.spilled_tokens, passed)
        self._direct.add(demand.direct_tokens, passed)
        self._spilled.add(demand.spilled_tokens, passed)
        self._decoding.add(demand.decoding, passed)
        self._generated.add(demand.generated, passed)
        self._first.add(demand.first_tokens, passed)
        self._decode_count.add(decode_count, passed)
        if prefill_count > 0:
            self._busy.add(prefill_count * utilisation(demand.reading / prefill_count), passed)
            self._read.add(demand.done_tokens, passed)

    def work(self, target_running: float, now: float) -> StageWork | None:
        """The work as smoothed; None while too little was seen.

        `target_running` is the number of requests with which a decode instance is fully used.
        """
        if self._first_at is None or now - self._first_at < self._settings.observed_s:
            return None
        token_s = self.seconds_per_read_token()
        direct = self._direct.value * token_s * self._settings.decode_read_factor
        tokens = self._generated.value + self._first.value
        running = tokens * self._generated_token_s(target_running)
        return StageWork(self._prompts.value * token_s, running / target_running + direct)

    def seconds_per_read_token(self) -> float:
        """Seconds that a prefill instance is busy for a token to be read, as measured of late."""
        settings = self._settings
        read = self._read.value * settings.pace_memory_s
        busy = self._busy.value * settings.pace_memory_s
        prior = settings.prior_tokens
        return (busy + prior / settings.tokens_per_s) / (read + prior)

    def _generated_token_s(self, target_running: float) -> float:
        """Seconds of a generated token at an instance that runs a target_running number and reads nothing."""
        settings = self._settings
        if self._generated.value < settings.least_generated or self._decode_count.value <= 0.0:
            return 0.0
        token_s = self._decoding.value / self._generated.value
        read = (self._direct.value + self._spilled.value) * self.seconds_per_read_token()
        reading = min(settings.most_reading, read * settings.decode_read_factor / self._decode_count.value)
        running_each = self._decoding.value / self._decode_count.value
        own = token_s * (1.0 - reading) + settings.running_s * (target_running - running_each)
        return max(own, token_s * settings.least_token_fraction)


class _Faded:
    """An exponential mean of samples that each hold since the one before; the first one counts whole."""

    __slots__ = ("value", "_memory_s", "_empty")

    def __init__(self, memory_s: float) -> None:
        self.value = 0.0
        self._memory_s = memory_s
        self._empty = True

    def add(self, sample: float, passed: float) -> None:
        """Take a sample that stands for the last `passed` seconds."""
        weight = 1.0 if self._empty else 1.0 - exp(-passed / self._memory_s)
        self._empty = False
        self.value += (sample - self.value) * weight


def utilisation(under_way: float) -> float:
    """The share of its time for which an instance with so many calls under way on average is busy."""
    return 1.0 + under_way - hypot(1.0, under_way)
