"""Estimates an instance's prefill time: its pace, and the queueing delay by other gateways' work there.

Only the time from sending to the end of the prefill is observed.  Its growth with the number of tokens is the
pace, a property of the machine; the rest is queueing delay, whose estimate decays within seconds.  Whether
shared segments that this gateway has not used lately ("unseen" ones) are cached at their home is not known.
The estimated fraction of them that is cached is corrected by each sample, so that prompts with and without
unseen segments show the same queueing delay.
"""

from __future__ import annotations

from math import exp

from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.scheduling.slot_time import FadingMean

PACE_MEMORY_S = 20.0  # seconds in which the weight of a sample for the pace decays to 1/e
PACE_PRIOR_TOKENS = 4_000.0  # deviation of prompt sizes from which the measured pace outweighs the prior one
MAX_PACE_FACTOR = 4.0  # the pace stays within this factor of its prior
CACHED_FRACTION_STEP = 0.05  # how far one sample moves the estimated cached fraction
MAX_KNOWN_FRACTION = 0.5  # fraction of certain misses below which a sample corrects the cached fraction
MIN_DELAY_WEIGHT = 0.5  # weight of delay samples needed to tell queueing from cache misses
TOKENS_PER_SAMPLE = 2_000.0  # tokens that count as one sample of the backlog


class CachedFraction:
    """Estimated fraction of unseen shared segments that is cached at their home."""

    __slots__ = ("value",)

    def __init__(self, value: float) -> None:
        self.value = value

    def learn(self, excess_s: float, unseen_s: float) -> None:
        """Learn from a prefill that took `excess_s` longer than expected.

        `unseen_s` is the time that prefilling all its unseen segments takes.
        """
        if unseen_s > 0:
            error = max(-1.0, min(1.0, excess_s / unseen_s))
            self.value = max(0.0, min(1.0, self.value - CACHED_FRACTION_STEP * error))


class _Slope:
    """Seconds per token: least squares over exponentially weighted samples, with a prior."""

    __slots__ = ("prior_slope", "at", "weight", "tokens", "time", "token_variance", "covariance")

    def __init__(self, prior_slope: float) -> None:
        self.prior_slope = prior_slope
        self.at = 0.0
        self.weight = self.tokens = self.time = 0.0  # sum of weights; weighted means
        # Weighted sums of squared token deviations, and of products of token and time deviations.
        self.token_variance = self.covariance = 0.0

    def add(self, tokens: float, time: float, weight: float, now: float) -> None:
        """Add a sample."""
        if now > self.at:
            decay = exp((self.at - now) / PACE_MEMORY_S)
            self.at = now
            self.weight *= decay
            self.token_variance *= decay
            self.covariance *= decay
        if weight <= 0.0:
            return
        self.weight += weight
        token_deviation, time_deviation = tokens - self.tokens, time - self.time
        self.tokens += token_deviation * weight / self.weight
        self.time += time_deviation * weight / self.weight
        self.token_variance += weight * token_deviation * (tokens - self.tokens)
        self.covariance += weight * token_deviation * (time - self.time)

    @property
    def value(self) -> float:
        """Seconds per token, within bounds around the prior."""
        prior = PACE_PRIOR_TOKENS**2
        slope = (self.covariance + prior * self.prior_slope) / (self.token_variance + prior)
        return min(self.prior_slope * MAX_PACE_FACTOR, max(self.prior_slope / MAX_PACE_FACTOR, slope))


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
        """Return the recent queueing delay in seconds, weighted by tokens."""
        return max(0.0, self.backlog.value(0.0, self.settings.delay_prior_weight, now))

    def learn_abandoned(self, tokens: float, elapsed_s: float, now: float) -> float:
        """Learn from a prefill abandoned after `elapsed_s`; returns its least queueing delay in seconds."""
        excess = elapsed_s - self.settings.overhead_s - tokens * self.token_s
        if excess > self.backlog_s(now):
            self.backlog.add(excess, now, tokens / TOKENS_PER_SAMPLE)
        return excess

    def delay_s(self, now: float) -> float:
        """Return the recent queueing delay by other gateways' work, in seconds."""
        return max(0.0, self.delay.value(0.0, self.settings.delay_prior_weight, now))

    def learn(
        self,
        known_misses: float,
        unseen_tokens: float,
        tokens_ahead: float,
        elapsed_s: float,
        cached_fraction: CachedFraction,
        now: float,
    ) -> float:
        """Learn from a prefill; returns its estimated queueing delay in seconds.

        The prompt had `known_misses` tokens that certainly missed the cache and `unseen_tokens` that may have
        hit it; `tokens_ahead` tokens of this gateway were prefilled before it; it took `elapsed_s` seconds
        from being sent.
        """
        expected_tokens = known_misses + unseen_tokens * (1.0 - cached_fraction.value) + tokens_ahead
        elapsed = max(0.0, elapsed_s - self.settings.overhead_s)
        known_fraction = known_misses / max(1.0, known_misses + unseen_tokens)
        self.slope.add(expected_tokens, elapsed, known_fraction * known_fraction, now)
        self.token_s = self.slope.value
        excess = elapsed - expected_tokens * self.token_s
        if known_fraction < MAX_KNOWN_FRACTION and self.delay.weight > MIN_DELAY_WEIGHT:
            cached_fraction.learn(excess - self.delay.mean, unseen_tokens * self.token_s)
        self.delay.add(excess, now, known_fraction)
        self.backlog.add(excess, now, known_fraction * expected_tokens / TOKENS_PER_SAMPLE)
        return excess
