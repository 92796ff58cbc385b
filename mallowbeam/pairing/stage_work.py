"""How much work each stage of a service has, in instances that would be busy with it all the time.

Prefill.  Gateways tell how many calls are under way at prefill instances.  An instance with `L` of them on
average is busy for the share `rho` of its time for which a queue of fixed service time holds `L` requests:
L = rho + rho^2 / (2 (1 - rho)), so rho = 1 + L - sqrt(1 + L^2).  Tokens given to prefill instances over their
busy time give the seconds that a token takes, in the gateways' own count of tokens, whatever is kept.  Tokens
that spilled to decode instances, or were refused, are work as well, at the same seconds for each token.

Decode.  Tokens generated a second times the seconds of a token at an instance that is not crowded give the
requests that would run if none were crowded.  The count that runs now won't do: where prompts spill, tokens
slow down and more requests run at once, which would look like a want of decode instances.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, hypot

from mallowbeam.rpc.messages_pb2 import StageDemand


@dataclass(frozen=True, slots=True)
class WorkSettings:
    """How demand is smoothed."""

    memory_s: float = 2.5
    """Seconds in which a sample of demand loses its weight to 1/e."""
    pace_memory_s: float = 15.0
    """Likewise for the measured reading pace."""
    tokens_per_s: float = 40_000.0
    """Reading pace of a prefill instance before it is measured."""
    prior_tokens: float = 20_000.0
    """Tokens that this first pace counts as against measured ones."""
    token_rise: float = 0.01
    """The share by which the least time of a generated token rises in a second, towards the present one."""
    token_fall: float = 0.3
    """The share of the way that it falls towards a shorter one with a sample."""
    least_generated: float = 20.0
    """Tokens a second below which a sample says nothing of their time."""
    observed_s: float = 1.5
    """Demand must have been seen for so long before it is acted on."""


@dataclass(frozen=True, slots=True)
class StageWork:
    """Work of both stages: instances of prefill that would be busy, and requests that would decode."""

    prefill: float
    decode: float


class WorkMeter:
    """Smooths a service's demand and turns it into work. Times are seconds of the steady clock."""

    def __init__(self, settings: WorkSettings) -> None:
        self._settings = settings
        self._first_at: float | None = None
        self._at = 0.0
        self._tokens = _Faded(settings.memory_s)
        self._generated = _Faded(settings.memory_s)
        self._busy = _Faded(settings.pace_memory_s)
        self._read = _Faded(settings.pace_memory_s)
        self._token_s = 0.0                    # least time of a generated token, 0 before any

    def observe(self, demand: StageDemand, prefill_count: int, now: float) -> None:
        """Take the fleet's demand of the last second, while `prefill_count` instances read prompts."""
        if self._first_at is None:
            self._first_at = self._at = now
        passed, self._at = now - self._at, now
        self._tokens.add(demand.read_tokens + demand.spilled_tokens, passed)
        self._generated.add(demand.generated, passed)
        if prefill_count > 0:
            self._busy.add(prefill_count * utilisation(demand.reading / prefill_count), passed)
            self._read.add(demand.read_tokens, passed)
        if demand.generated >= self._settings.least_generated:
            self._learn_token(demand.decoding / demand.generated, passed)

    def forget(self) -> None:
        """Start anew: the demand was not seen for some time. The measured paces stay."""
        self._first_at = None
        self._tokens = _Faded(self._settings.memory_s)
        self._generated = _Faded(self._settings.memory_s)

    def work(self, now: float) -> StageWork | None:
        """The work as smoothed; None while too little was seen."""
        if self._first_at is None or now - self._first_at < self._settings.observed_s:
            return None
        return StageWork(self._tokens.value * self.seconds_per_token(),
                         self._generated.value * self._token_s)

    def seconds_per_token(self) -> float:
        """Seconds that a prefill instance is busy for a token to be read, as measured of late."""
        settings = self._settings
        read = self._read.value * settings.pace_memory_s
        busy = self._busy.value * settings.pace_memory_s
        prior = settings.prior_tokens
        return (busy + prior / settings.tokens_per_s) / (read + prior)

    def _learn_token(self, seconds: float, passed: float) -> None:
        settings = self._settings
        if self._token_s <= 0.0:
            self._token_s = seconds
        elif seconds < self._token_s:
            self._token_s += (seconds - self._token_s) * settings.token_fall
        else:
            self._token_s = min(seconds, self._token_s * (1.0 + settings.token_rise * passed))


class _Faded:
    """An exponential mean of samples that each hold since the one before; the first one counts whole."""

    __slots__ = ("value", "_memory_s", "_empty")

    def __init__(self, memory_s: float) -> None:
        self.value, self._memory_s, self._empty = 0.0, memory_s, True

    def add(self, sample: float, passed: float) -> None:
        """Take a sample that stands for the last `passed` seconds."""
        weight = 1.0 if self._empty else 1.0 - exp(-passed / self._memory_s)
        self._empty = False
        self.value += (sample - self.value) * weight


def utilisation(under_way: float) -> float:
    """The share of its time for which an instance with so many calls under way on average is busy."""
    return 1.0 + under_way - hypot(1.0, under_way)
