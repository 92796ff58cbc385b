"""Slot time: latency over units in flight, smoothed, approaching the first slot time as samples age."""

from __future__ import annotations

import unittest

from mallowbeam.scheduling.slot_time import FadingMean, SlotTimer, SlotTimeSettings, blend, slot_time

TARGET = 0.4
FIRST = 0.02


def timer(memory_s: float = 2.0) -> SlotTimer:
    """A timer with the default settings but for its memory."""
    return SlotTimer(SlotTimeSettings(memory_s=memory_s))


def exchange(slots: SlotTimer, booking: int, units: int, at: float, latency: float) -> None:
    """One exchange while nothing else is in flight at the node."""
    slots.sent(booking, units, at)
    slots.done(booking, at + latency)


class Measures(unittest.TestCase):
    def test_latency_over_the_larger_count(self) -> None:
        self.assertAlmostEqual(slot_time(0.3, 3), 0.1)
        self.assertAlmostEqual(slot_time(0.3, 2.0, 3), 0.1)

    def test_never_less_than_one_unit_out(self) -> None:
        self.assertEqual(slot_time(0.3, 0.2), 0.3)

    def test_blend_weighs_by_samples(self) -> None:
        self.assertEqual(blend(1.0, 4.0, 1.0, 2.0), 3.0)
        self.assertEqual(blend(0.0, 4.0, 0.5, 2.0), 2.0)


class AFadingMean(unittest.TestCase):
    def test_samples_count_alike_when_they_come_together(self) -> None:
        mean = FadingMean(1.0)
        for value in (1.0, 2.0, 3.0):
            mean.add(value, 0.0)
        self.assertAlmostEqual(mean.mean, 2.0)

    def test_old_samples_fade_to_the_prior(self) -> None:
        mean = FadingMean(1.0)
        mean.add(10.0, 0.0)
        self.assertGreater(mean.value(1.0, 0.5, 0.1), 6.0)
        self.assertAlmostEqual(mean.value(1.0, 0.5, 20.0), 1.0, places=3)

    def test_a_weight_counts_as_so_many_samples(self) -> None:
        mean = FadingMean(1.0)
        mean.add(1.0, 0.0, weight=3.0)
        mean.add(5.0, 0.0)
        self.assertAlmostEqual(mean.mean, 2.0)


class ASlotTimer(unittest.TestCase):
    def test_before_any_measurement_a_twentieth_of_the_target(self) -> None:
        self.assertAlmostEqual(timer().slot_s(TARGET, 0.0), FIRST)

    def test_latency_over_units_out(self) -> None:
        slots = timer(memory_s=100.0)
        now = 0.0
        for booking in range(200):
            exchange(slots, booking, 4, now, 0.2)
            now += 0.2
        self.assertAlmostEqual(slots.slot_s(TARGET, now), 0.05, delta=0.005)

    def test_it_grows_with_latency_and_shrinks_again(self) -> None:
        slots = timer(memory_s=0.5)
        now = 0.0
        for booking in range(30):
            exchange(slots, booking, 1, now, 0.05)
            now += 0.05
        fast = slots.slot_s(TARGET, now)
        for booking in range(30, 60):
            exchange(slots, booking, 1, now, 0.5)
            now += 0.5
        slow = slots.slot_s(TARGET, now)
        for booking in range(60, 120):
            exchange(slots, booking, 1, now, 0.05)
            now += 0.05
        self.assertGreater(slow, 5 * fast)
        self.assertLess(slots.slot_s(TARGET, now), 2 * fast)

    def test_one_pause_does_not_poison_it(self) -> None:
        slots = timer()
        now = 0.0
        for booking in range(20):
            exchange(slots, booking, 1, now, 0.05)
            now += 0.05
        before = slots.slot_s(TARGET, now)
        exchange(slots, 99, 1, now, 5.0)
        self.assertLess(slots.slot_s(TARGET, now), 2 * before)

    def test_silence_counts_before_an_answer_comes(self) -> None:
        """A node that hangs gives no sample."""
        slots = timer()
        exchange(slots, 1, 1, 0.0, 0.05)
        slots.sent(2, 1, 1.0)
        self.assertAlmostEqual(slots.slot_s(TARGET, 3.0), 2.0)

    def test_unmeasured_ends_add_no_sample(self) -> None:
        slots = timer()
        slots.sent(1, 3, 0.0)
        self.assertEqual(slots.done(1, 9.0, measured=False), 9.0)
        self.assertAlmostEqual(slots.slot_s(TARGET, 9.0), FIRST)

    def test_units_in_flight_are_counted_once(self) -> None:
        slots = timer()
        slots.sent(1, 3, 0.0)
        slots.sent(1, 3, 0.5)
        self.assertEqual(slots.units_in_flight, 3)
        slots.done(1, 1.0)
        self.assertIsNone(slots.done(1, 1.0))
        self.assertEqual(slots.units_in_flight, 0)
        self.assertTrue(slots.idle)

    def test_the_oldest_age(self) -> None:
        slots = timer()
        self.assertEqual(slots.oldest_age(5.0), 0.0)
        slots.sent(1, 1, 1.0)
        slots.sent(2, 1, 2.0)
        self.assertEqual(slots.oldest_age(5.0), 4.0)
        slots.done(1, 5.0)
        self.assertEqual(slots.oldest_age(5.0), 3.0)


if __name__ == "__main__":
    unittest.main()
