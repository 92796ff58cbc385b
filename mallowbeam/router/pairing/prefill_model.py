"""How long an instance takes to prefill a prompt: its pace, and the queueing delay by others' work there.

Only the time from sending to the end of the prefill is observed.  How it grows with the tokens is the pace, a
property of the machine; what a prefill took beyond that was queueing, which is forgotten in seconds.  Whether
shared segments that this gateway has not used lately are cached at their home is not known; the fraction that
is gets corrected by each sample, so that prompts with and without such segments show the same queueing delay.
"""

from __future__ import annotations

from math import exp

from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.scheduling.slot_time import FadingMean

PACE_MEMORY_S = 20.0  # seconds in which the weight of a sample for the pace decays to 1/e
PACE_PRIOR_TOKENS = 4_000.0  # spread of sizes from which the measured pace outweighs the first one
RANGE = 4.0  # the pace stays within this factor of its first value
CACHED_FRACTION_STEP = 0.05  # how far one sample moves the estimated cached fraction
MOSTLY_UNSEEN = 0.5  # fraction of certain misses below which a sample teaches the cached fraction
LEAST_DELAY_WEIGHT = 0.5  # samples of the queueing delay that are needed to tell the two apart
TOKENS_WEIGHT = 2_000.0  # tokens that count as one sample of the backlog


class CachedFraction:
    """Estimated fraction of shared, not recently seen segments that is cached at their home."""

    __slots__ = ("value",)

    def __init__(self, value: float) -> None:
        self.value = value

    def learn(self, excess_s: float, unseen_s: float) -> None:
        """A prefill took `excess_s` longer than expected; all unseen segments would have taken `unseen_s`."""
        if unseen_s > 0:
            error = max(-1.0, min(1.0, excess_s / unseen_s))
            self.value = max(0.0, min(1.0, self.value - CACHED_FRACTION_STEP * error))


class _Slope:
    """Seconds per token: least squares over exponentially weighted samples, with a prior."""

    __slots__ = ("first", "at", "weight", "tokens", "time", "spread", "together")

    def __init__(self, first: float) -> None:
        self.first = first
        self.at = 0.0
        self.weight = self.tokens = self.time = 0.0  # sum of weights; weighted means
        self.spread = self.together = 0.0  # weighted squares of tokens, products with time

    def add(self, tokens: float, time: float, weight: float, now: float) -> None:
        """Add a sample."""
        if now > self.at:
            kept = exp((self.at - now) / PACE_MEMORY_S)
            self.at = now
            self.weight *= kept
            self.spread *= kept
            self.together *= kept
        if weight <= 0.0:
            return
        self.weight += weight
        off_tokens, off_time = tokens - self.tokens, time - self.time
        self.tokens += off_tokens * weight / self.weight
        self.time += off_time * weight / self.weight
        self.spread += weight * off_tokens * (tokens - self.tokens)
        self.together += weight * off_tokens * (time - self.time)

    @property
    def value(self) -> float:
        """Seconds per token, within bounds around the first value."""
        prior = PACE_PRIOR_TOKENS**2
        slope = (self.together + prior * self.first) / (self.spread + prior)
        return min(self.first * RANGE, max(self.first / RANGE, slope))


class PrefillModel:
    """Prefill pace and queueing delay of one instance, as one gateway measures them."""

    __slots__ = ("settings", "slope", "token_s", "delay", "backlog")

    def __init__(self, settings: PairingSettings, tokens_per_s: float) -> None:
        """Start with a prior pace, in tokens per second."""
        self.settings = settings
        self.token_s = 1.0 / tokens_per_s
        self.slope = _Slope(self.token_s)
        self.delay = FadingMean(settings.delay_memory_s)
        self.backlog = FadingMean(settings.delay_memory_s)

    def backlog_s(self, now: float) -> float:
        """Recent queueing delay of a token, in seconds; long prefills weigh more."""
        return max(0.0, self.backlog.value(0.0, self.settings.delay_prior_weight, now))

    def learn_unread(self, tokens: float, elapsed_s: float, now: float) -> float:
        """A prefill was abandoned after `elapsed_s`: it queued for at least the excess over its own time."""
        excess = elapsed_s - self.settings.overhead_s - tokens * self.token_s
        if excess > self.backlog_s(now):
            self.backlog.add(excess, now, tokens / TOKENS_WEIGHT)
        return excess

    def delay_s(self, now: float) -> float:
        """Recent queueing delay by others' work, in seconds."""
        return max(0.0, self.delay.value(0.0, self.settings.delay_prior_weight, now))

    def learn(
        self,
        known: float,
        unseen: float,
        ahead: float,
        elapsed_s: float,
        cached_fraction: CachedFraction,
        now: float,
    ) -> float:
        """Learn from a prefill; returns its estimated queueing delay in seconds.

        It had `known` tokens that missed the cache and `unseen` ones that may have hit; `ahead` tokens of
        this gateway were prefilled before it; it took `elapsed_s` seconds from sending on.
        """
        expected_tokens = known + unseen * (1.0 - cached_fraction.value) + ahead
        elapsed = max(0.0, elapsed_s - self.settings.overhead_s)
        certain = known / max(1.0, known + unseen)
        self.slope.add(expected_tokens, elapsed, certain * certain, now)
        self.token_s = self.slope.value
        excess = elapsed - expected_tokens * self.token_s
        if certain < MOSTLY_UNSEEN and self.delay.weight > LEAST_DELAY_WEIGHT:
            cached_fraction.learn(excess - self.delay.mean, unseen * self.token_s)
        self.delay.add(excess, now, certain)
        self.backlog.add(excess, now, certain * expected_tokens / TOKENS_WEIGHT)
        return excess
