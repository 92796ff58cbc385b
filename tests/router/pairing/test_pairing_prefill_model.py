"""The reading model: pace apart from wait, and the share of unseen parts that is kept."""

from __future__ import annotations

import random
import unittest

from mallowbeam.router.pairing.prefill_model import CachedFraction, PrefillModel
from mallowbeam.router.pairing.settings import PairingSettings

SETTINGS = PairingSettings()
PACE = 57_000.0


def model() -> PrefillModel:
    """A model that takes the machine for slower than it is."""
    return PrefillModel(SETTINGS, 40_000.0)


def time_of(tokens: float, wait: float = 0.0, pace: float = PACE) -> float:
    """What reading so many tokens takes."""
    return SETTINGS.overhead_s + wait + tokens / pace


class ThePace(unittest.TestCase):
    def learned(self, pace: float, waits: tuple[float, ...], count: int = 100) -> float:
        """The pace after readings of many sizes with waits drawn from these."""
        reading, now, chance = model(), 0.0, random.Random(3)
        for _ in range(count):
            tokens = min(20_000, int(chance.lognormvariate(7.6, 0.9)))
            elapsed = time_of(tokens, chance.choice(waits), pace)
            reading.learn(tokens, 0, 0, elapsed, CachedFraction(0.0), now)
            now += 0.2
        return 1 / reading.token_s

    def test_it_is_learned_without_waits(self) -> None:
        self.assertAlmostEqual(self.learned(PACE, (0.0,)), PACE, delta=0.05 * PACE)

    def test_a_constant_wait_does_not_change_it(self) -> None:
        self.assertAlmostEqual(self.learned(PACE, (0.3,)), PACE, delta=0.05 * PACE)

    def test_waits_that_vary_hardly_change_it(self) -> None:
        self.assertAlmostEqual(self.learned(PACE, (0.0, 0.0, 0.2)), PACE, delta=0.25 * PACE)

    def test_a_slow_machine_is_found_slow(self) -> None:
        self.assertAlmostEqual(self.learned(20_000.0, (0.0,)), 20_000.0, delta=2_000.0)

    def test_sizes_all_alike_say_nothing_of_it(self) -> None:
        reading = model()
        for now in range(50):
            reading.learn(3000, 0, 0, 0.5, CachedFraction(0.0), now * 0.1)
        self.assertAlmostEqual(1 / reading.token_s, 40_000.0)

    def test_it_stays_within_bounds(self) -> None:
        reading = model()
        for now in range(1000):
            reading.learn(3000 * (1 + now % 2), 0, 0, 1.0 - now % 2, CachedFraction(0.0), float(now))
        self.assertAlmostEqual(1 / reading.token_s, 160_000.0)


class TheWait(unittest.TestCase):
    def test_it_is_what_reading_took_beyond_the_pace(self) -> None:
        reading, now = PrefillModel(SETTINGS, PACE), 0.0
        for wait in [0.0] * 30 + [0.3] * 20:
            reading.learn(3000, 0, 0, time_of(3000, wait), CachedFraction(0.0), now)
            now += 0.2
        self.assertAlmostEqual(reading.delay_s(now), 0.27, delta=0.06)

    def test_own_work_ahead_is_not_a_wait_by_others(self) -> None:
        reading, now = PrefillModel(SETTINGS, PACE), 0.0
        for _ in range(20):
            reading.learn(3000, 0, 6000, time_of(9000), CachedFraction(0.0), now)
            now += 0.2
        self.assertLess(reading.delay_s(now), 0.01)

    def test_it_is_forgotten(self) -> None:
        reading = PrefillModel(SETTINGS, PACE)
        reading.learn(3000, 0, 0, time_of(3000, 1.0), CachedFraction(0.0), 0.0)
        self.assertGreater(reading.delay_s(0.0), 0.4)
        self.assertLess(reading.delay_s(10.0), 0.02)

    def test_what_was_given_up_has_waited_at_least_so_long(self) -> None:
        reading = PrefillModel(SETTINGS, PACE)
        reading.learn_unread(3000, 2.0, 0.0)
        self.assertGreater(reading.backlog_s(0.0), 0.8)

    def test_long_readings_count_more_in_the_backlog(self) -> None:
        reading = PrefillModel(SETTINGS, PACE)
        reading.learn(20_000, 0, 0, time_of(20_000, 1.0), CachedFraction(0.0), 0.0)
        for _ in range(5):
            reading.learn(600, 0, 0, time_of(600), CachedFraction(0.0), 0.0)
        self.assertGreater(reading.backlog_s(0.0), 0.6)
        self.assertLess(reading.delay_s(0.0), 0.4)


class UnseenParts(unittest.TestCase):
    def converged(self, truth: float) -> float:
        """The share learned where unseen parts are kept with this probability."""
        chance, kept, reading, now = random.Random(5), CachedFraction(0.5), PrefillModel(SETTINGS, PACE), 0.0
        for number in range(1500):
            now += 0.1
            own = min(20_000, int(chance.lognormvariate(7.6, 0.9)))
            unseen = 0 if number % 2 else 5000
            unread = 0 if chance.random() < truth else unseen
            reading.learn(own, unseen, 0, time_of(own + unread, 0.05), kept, now)
        return kept.value

    def test_the_share_that_is_kept_is_learned(self) -> None:
        self.assertAlmostEqual(self.converged(0.1), 0.1, delta=0.15)
        self.assertAlmostEqual(self.converged(0.9), 0.9, delta=0.15)

    def test_it_stays_a_share(self) -> None:
        kept = CachedFraction(0.5)
        for _ in range(100):
            kept.learn(9.0, 0.1)
        self.assertEqual(kept.value, 0.0)
        for _ in range(100):
            kept.learn(-9.0, 0.1)
        self.assertEqual(kept.value, 1.0)


if __name__ == "__main__":
    unittest.main()
