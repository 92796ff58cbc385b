"""Rendezvous order: the same in all processes, even, and stable when instances are added or removed."""

from __future__ import annotations

import unittest
from collections import Counter

from mallowbeam.router.pairing.hashing import WINDOW, Ring, score, stable_hash

KEYS = [stable_hash(f"key-{number}") for number in range(2000)]


def ring_with(count: int, skip: str = "") -> Ring:
    """Return a ring of `count` instances without the one named `skip`."""
    ring = Ring()
    for number in range(count):
        if f"i{number}" != skip:
            ring.add(f"i{number}")
    return ring


def firsts(ring: Ring) -> list[str]:
    """Return the first instance of each key."""
    return [ring.ranked(key)[0] for key in KEYS]


class Hashes(unittest.TestCase):
    def test_they_are_the_same_in_every_process(self) -> None:
        self.assertEqual(stable_hash("i-7f3a91c2"), 0xDB2639D68330B59C)
        self.assertEqual(stable_hash(""), 0xE4A6A0577479B2B4)


class Order(unittest.TestCase):
    def test_the_order_of_addition_is_of_no_matter(self) -> None:
        other = Ring()
        for number in reversed(range(9)):
            other.add(f"i{number}")
        self.assertEqual(firsts(ring_with(9)), firsts(other))

    def test_keys_are_spread_evenly(self) -> None:
        counts = Counter(firsts(ring_with(9)))
        self.assertEqual(len(counts), 9)
        self.assertLess(max(counts.values()), 1.3 * len(KEYS) / 9)
        self.assertGreater(min(counts.values()), 0.7 * len(KEYS) / 9)

    def test_only_the_keys_of_an_instance_that_goes_move(self) -> None:
        before, after = firsts(ring_with(9)), firsts(ring_with(9, skip="i4"))
        for old, new in zip(before, after, strict=True):
            if old != "i4":
                self.assertEqual(old, new)

    def test_an_instance_that_goes_leaves_its_keys_to_their_second(self) -> None:
        whole, without = ring_with(9), ring_with(9, skip="i4")
        for key in KEYS:
            order = whole.ranked(key)
            if order[0] == "i4":
                self.assertEqual(without.ranked(key)[0], order[1])

    def test_an_instance_that_comes_back_gets_the_same_keys(self) -> None:
        ring = ring_with(9)
        before = firsts(ring)
        ring.remove("i4")
        ring.add("i4")
        self.assertEqual(firsts(ring), before)

    def test_added_twice_it_is_there_once(self) -> None:
        ring = ring_with(3)
        ring.add("i1")
        self.assertEqual(len(ring), 3)
        ring.remove("unknown")
        self.assertEqual(sorted(ring), ["i0", "i1", "i2"])


class LargeServices(unittest.TestCase):
    def test_a_window_is_ranked(self) -> None:
        self.assertEqual(len(ring_with(500).ranked(KEYS[0])), WINDOW)

    def test_few_keys_move_when_an_instance_goes(self) -> None:
        before, after = firsts(ring_with(500)), firsts(ring_with(500, skip="i77"))
        moved = sum(old != new for old, new in zip(before, after, strict=True))
        self.assertLess(moved, 0.02 * len(KEYS))

    def test_all_instances_get_keys(self) -> None:
        counts = Counter(firsts(ring_with(100)))
        self.assertEqual(len(counts), 100)
        self.assertLess(max(counts.values()), 3.5 * len(KEYS) / 100)


class Weights(unittest.TestCase):
    def test_an_instance_comes_first_like_its_weight(self) -> None:
        light, heavy = stable_hash("light"), stable_hash("heavy")
        wins = sum(score(light, key, 0.25) > score(heavy, key, 1.0) for key in KEYS)
        self.assertAlmostEqual(wins / len(KEYS), 0.2, delta=0.03)


if __name__ == "__main__":
    unittest.main()
