"""How long an instance takes to read a prompt: its pace, and the wait that others' work adds there.

Only the time from sending to the end of reading is seen.  The pace is a property of the machine, so it
follows fast samples soon and slow ones hardly; what a sample took beyond it was waiting, which is forgotten
in seconds.  Whether shared parts that this gateway has not used lately are kept at their home is not known;
the share that is gets corrected by each sample, so that prompts with and without such parts show one wait.
"""

from __future__ import annotations

from mallowbeam.pairing.settings import PairingSettings
from mallowbeam.scheduling.slot_time import FadingMean

FASTER, SLOWER = 0.2, 0.01     # how far one sample moves the pace, to faster and to slower
RANGE = 4.0                    # the pace stays within this factor of its first value
KEPT_STEP = 0.05               # how far one sample moves the share of unseen parts taken for kept
TOKENS_WEIGHT = 2_000.0        # tokens that count as one sample of the backlog
LEAST_TOKENS = 512             # samples with fewer tokens say nothing about the pace


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


class ReadingModel:
    """Pace and wait of one instance, as one gateway sees them."""

    __slots__ = ("settings", "first", "token_s", "delay", "backlog")

    def __init__(self, settings: PairingSettings, tokens_per_s: float) -> None:
        """Start with a pace that holds until the first samples."""
        self.settings = settings
        self.first = self.token_s = 1.0 / tokens_per_s
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

    def learn(self, known: float, unseen: float, ahead: float, elapsed_s: float, kept: KeptShare,
              now: float) -> float:
        """Take in a reading; the seconds that it waited, as far as can be told.

        It had `known` tokens that were not kept and `unseen` ones that may have been; `ahead` tokens of this
        gateway were read before it; it took `elapsed_s` seconds from sending on.
        """
        expected_tokens = known + unseen * (1.0 - kept.value) + ahead
        elapsed = max(0.0, elapsed_s - self.settings.overhead_s)
        certain = known / max(1.0, known + unseen)
        if expected_tokens >= LEAST_TOKENS:
            sample = elapsed / expected_tokens
            part = certain * certain * (FASTER if sample < self.token_s else SLOWER)
            moved = self.token_s + part * (sample - self.token_s)
            self.token_s = min(self.first * RANGE, max(self.first / RANGE, moved))
        excess = elapsed - expected_tokens * self.token_s
        if certain < 0.5 and self.delay.weight > 0.5:
            kept.learn(excess - self.delay.mean, unseen * self.token_s)
        self.delay.add(excess, now, certain)
        self.backlog.add(excess, now, certain * expected_tokens / TOKENS_WEIGHT)
        return excess
