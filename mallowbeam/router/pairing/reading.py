"""How long an instance takes to read a prompt: its pace, and the wait that others' work adds there.

Only the time from sending to the end of reading is seen.  How it grows with the tokens is the pace, a
property of the machine; what a reading took beyond that was waiting, which is forgotten in seconds.  Whether
shared parts that this gateway has not used lately are kept at their home is not known; the share that is gets
corrected by each sample, so that prompts with and without such parts show one wait.
"""

from __future__ import annotations

from math import exp

from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.scheduling.slot_time import FadingMean

PACE_MEMORY_S = 20.0  # in which a sample's weight for the pace falls to 1/e
PACE_PRIOR_TOKENS = 4_000.0  # spread of sizes from which the measured pace outweighs the first one
RANGE = 4.0  # the pace stays within this factor of its first value
KEPT_STEP = 0.05  # how far one sample moves the share of unseen parts taken for kept
TOKENS_WEIGHT = 2_000.0  # tokens that count as one sample of the backlog


class KeptShare:
    """Which share of the shared parts that this gateway has not seen of late is kept at their home."""

    __slots__ = ("value",)

    def __init__(self, value: float) -> None:
        self.value = value

    def learn(self, excess_s: float, unseen_s: float) -> None:
        """Reading took `excess_s` more than was expected; all unseen parts would have taken `unseen_s`."""
        if unseen_s > 0:
            error = max(-1.0, min(1.0, excess_s / unseen_s))
            self.value = max(0.0, min(1.0, self.value - KEPT_STEP * error))


class _Slope:
    """How time grows with tokens: least squares over samples that fade, drawn to a first value."""

    __slots__ = ("first", "at", "weight", "tokens", "time", "spread", "together")

    def __init__(self, first: float) -> None:
        self.first, self.at = first, 0.0
        self.weight = self.tokens = self.time = 0.0  # sum of weights; weighted means
        self.spread = self.together = 0.0  # weighted squares of tokens, products with time

    def add(self, tokens: float, time: float, weight: float, now: float) -> None:
        """Take in a sample."""
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


class ReadingModel:
    """Pace and wait of one instance, as one gateway sees them."""

    __slots__ = ("settings", "slope", "token_s", "delay", "backlog")

    def __init__(self, settings: PairingSettings, tokens_per_s: float) -> None:
        """Start with a pace that holds until the first samples."""
        self.settings = settings
        self.token_s = 1.0 / tokens_per_s
        self.slope = _Slope(self.token_s)
        self.delay = FadingMean(settings.delay_memory_s)
        self.backlog = FadingMean(settings.delay_memory_s)

    def backlog_s(self, now: float) -> float:
        """The wait of a token, as seen of late: long readings, which wait behind short ones, count more."""
        return max(0.0, self.backlog.value(0.0, self.settings.delay_prior_weight, now))

    def learn_unread(self, tokens: float, elapsed_s: float, now: float) -> float:
        """A reading was given up after `elapsed_s`: it waited at least what that is over its own time."""
        excess = elapsed_s - self.settings.overhead_s - tokens * self.token_s
        if excess > self.backlog_s(now):
            self.backlog.add(excess, now, tokens / TOKENS_WEIGHT)
        return excess

    def delay_s(self, now: float) -> float:
        """The wait by others' work, as seen of late."""
        return max(0.0, self.delay.value(0.0, self.settings.delay_prior_weight, now))

    def learn(
        self, known: float, unseen: float, ahead: float, elapsed_s: float, kept: KeptShare, now: float
    ) -> float:
        """Take in a reading; the seconds that it waited, as far as can be told.

        It had `known` tokens that were not kept and `unseen` ones that may have been; `ahead` tokens of this
        gateway were read before it; it took `elapsed_s` seconds from sending on.
        """
        expected_tokens = known + unseen * (1.0 - kept.value) + ahead
        elapsed = max(0.0, elapsed_s - self.settings.overhead_s)
        certain = known / max(1.0, known + unseen)
        self.slope.add(expected_tokens, elapsed, certain * certain, now)
        self.token_s = self.slope.value
        excess = elapsed - expected_tokens * self.token_s
        if certain < 0.5 and self.delay.weight > 0.5:
            kept.learn(excess - self.delay.mean, unseen * self.token_s)
        self.delay.add(excess, now, certain)
        self.backlog.add(excess, now, certain * expected_tokens / TOKENS_WEIGHT)
        return excess
