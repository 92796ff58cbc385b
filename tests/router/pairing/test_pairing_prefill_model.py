"""The prefill model: pace and queueing delay told apart, and the cached fraction of unseen segments."""

from __future__ import annotations

import random
import unittest

from mallowbeam.router.pairing.prefill_model import CachedFraction, PrefillModel
from mallowbeam.router.pairing.settings import PairingSettings

SETTINGS = PairingSettings()
PACE_TOKENS_PER_S = 57_000.0


def slow_prior_model() -> PrefillModel:
    """Return a model with a prior pace below the actual one."""
    return PrefillModel(SETTINGS, 40_000.0)


def prefill_time_s(tokens: float, wait_s: float = 0.0, tokens_per_s: float = PACE_TOKENS_PER_S) -> float:
    """Return the prefill time of a number of tokens, in seconds."""
    return SETTINGS.overhead_s + wait_s + tokens / tokens_per_s


class ThePace(unittest.TestCase):
    def learned(self, tokens_per_s: float, waits_s: tuple[float, ...], count: int = 100) -> float:
        """Return the pace learned from prefills of many sizes, with queueing delays drawn from `waits_s`."""
        model, now, rng = slow_prior_model(), 0.0, random.Random(3)
        for _ in range(count):
            tokens = min(20_000, int(rng.lognormvariate(7.6, 0.9)))
            elapsed = prefill_time_s(tokens, rng.choice(waits_s), tokens_per_s)
            model.learn(tokens, 0, 0, elapsed, CachedFraction(0.0), now)
            now += 0.2
        return 1 / model.token_s

    def test_it_is_learned_without_waits(self) -> None:
        self.assertAlmostEqual(
            self.learned(PACE_TOKENS_PER_S, (0.0,)), PACE_TOKENS_PER_S, delta=0.05 * PACE_TOKENS_PER_S
        )

    def test_a_constant_wait_does_not_change_it(self) -> None:
        self.assertAlmostEqual(
            self.learned(PACE_TOKENS_PER_S, (0.3,)), PACE_TOKENS_PER_S, delta=0.05 * PACE_TOKENS_PER_S
        )

    def test_waits_that_vary_hardly_change_it(self) -> None:
        self.assertAlmostEqual(
            self.learned(PACE_TOKENS_PER_S, (0.0, 0.0, 0.2)),
            PACE_TOKENS_PER_S,
            delta=0.25 * PACE_TOKENS_PER_S,
        )

    def test_a_slow_machine_is_found_slow(self) -> None:
        self.assertAlmostEqual(self.learned(20_000.0, (0.0,)), 20_000.0, delta=2_000.0)

    def test_equal_sizes_do_not_change_it(self) -> None:
        model = slow_prior_model()
        for now in range(50):
            model.learn(3000, 0, 0, 0.5, CachedFraction(0.0), now * 0.1)
        self.assertAlmostEqual(1 / model.token_s, 40_000.0)

    def test_it_stays_within_bounds(self) -> None:
        model = slow_prior_model()
        for now in range(1000):
            model.learn(3000 * (1 + now % 2), 0, 0, 1.0 - now % 2, CachedFraction(0.0), float(now))
        self.assertAlmostEqual(1 / model.token_s, 160_000.0)


class TheWait(unittest.TestCase):
    def test_it_is_the_prefill_time_beyond_the_pace(self) -> None:
        model, now = PrefillModel(SETTINGS, PACE_TOKENS_PER_S), 0.0
        for wait_s in [0.0] * 30 + [0.3] * 20:
            model.learn(3000, 0, 0, prefill_time_s(3000, wait_s), CachedFraction(0.0), now)
            now += 0.2
        self.assertAlmostEqual(model.delay_s(now), 0.27, delta=0.06)

    def test_own_work_ahead_is_not_a_wait_by_others(self) -> None:
        model, now = PrefillModel(SETTINGS, PACE_TOKENS_PER_S), 0.0
        for _ in range(20):
            model.learn(3000, 0, 6000, prefill_time_s(9000), CachedFraction(0.0), now)
            now += 0.2
        self.assertLess(model.delay_s(now), 0.01)

    def test_it_is_forgotten(self) -> None:
        model = PrefillModel(SETTINGS, PACE_TOKENS_PER_S)
        model.learn(3000, 0, 0, prefill_time_s(3000, 1.0), CachedFraction(0.0), 0.0)
        self.assertGreater(model.delay_s(0.0), 0.4)
        self.assertLess(model.delay_s(10.0), 0.02)

    def test_an_abandoned_prefill_adds_to_the_backlog(self) -> None:
        model = PrefillModel(SETTINGS, PACE_TOKENS_PER_S)
        model.learn_abandoned(3000, 2.0, 0.0)
        self.assertGreater(model.backlog_s(0.0), 0.8)

    def test_long_prefills_count_more_in_the_backlog(self) -> None:
        model = PrefillModel(SETTINGS, PACE_TOKENS_PER_S)
        model.learn(20_000, 0, 0, prefill_time_s(20_000, 1.0), CachedFraction(0.0), 0.0)
        for _ in range(5):
            model.learn(600, 0, 0, prefill_time_s(600), CachedFraction(0.0), 0.0)
        self.assertGreater(model.backlog_s(0.0), 0.6)
        self.assertLess(model.delay_s(0.0), 0.4)


class UnseenParts(unittest.TestCase):
    def learned_fraction(self, truth: float) -> float:
        """Return the fraction learned if unseen segments are cached with probability `truth`."""
        rng, cached_fraction, model, now = (
            random.Random(5),
            CachedFraction(0.5),
            PrefillModel(SETTINGS, PACE_TOKENS_PER_S),
            0.0,
        )
        for number in range(1500):
            now += 0.1
            own_tokens = min(20_000, int(rng.lognormvariate(7.6, 0.9)))
            unseen_tokens = 0 if number % 2 else 5000
            missing_tokens = 0 if rng.random() < truth else unseen_tokens
            model.learn(
                own_tokens,
                unseen_tokens,
                0,
                prefill_time_s(own_tokens + missing_tokens, 0.05),
                cached_fraction,
                now,
            )
        return cached_fraction.value

    def test_the_cached_fraction_is_learned(self) -> None:
        self.assertAlmostEqual(self.learned_fraction(0.1), 0.1, delta=0.15)
        self.assertAlmostEqual(self.learned_fraction(0.9), 0.9, delta=0.15)

    def test_it_stays_between_zero_and_one(self) -> None:
        cached_fraction = CachedFraction(0.5)
        for _ in range(100):
            cached_fraction.learn(9.0, 0.1)
        self.assertEqual(cached_fraction.value, 0.0)
        for _ in range(100):
            cached_fraction.learn(-9.0, 0.1)
        self.assertEqual(cached_fraction.value, 1.0)


if __name__ == "__main__":
    unittest.main()
