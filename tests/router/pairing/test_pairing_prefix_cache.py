"""The prefix cache model: leading segments, eviction by last use, charges for other gateways' requests."""

from __future__ import annotations

import unittest

from mallowbeam.router.pairing.prefix_cache import PrefixCache, PromptSegment


def prompt(*names: str, tokens: int = 100) -> tuple[PromptSegment, ...]:
    """Return a prompt of segments of equal size."""
    return tuple(PromptSegment(name, tokens) for name in names)


class LeadingParts(unittest.TestCase):
    def test_nothing_is_cached_at_first(self) -> None:
        self.assertEqual(PrefixCache(1000).cached_tokens(prompt("a", "b")), 0)

    def test_a_prefilled_prompt_is_cached(self) -> None:
        cache = PrefixCache(1000)
        cache.record_use(prompt("a", "b", "own"), 1)
        self.assertEqual(cache.cached_tokens(prompt("a", "b", "other")), 200)
        self.assertEqual(cache.cached_tokens(prompt("a", "b", "own")), 300)

    def test_a_segment_counts_only_after_all_before_it(self) -> None:
        cache = PrefixCache(1000)
        cache.record_use(prompt("a", "b", "own"), 1)
        self.assertEqual(cache.cached_tokens(prompt("x", "b", "own")), 0)


class TheLeastRecentlyUsed(unittest.TestCase):
    def test_it_is_evicted_first(self) -> None:
        cache = PrefixCache(400)
        cache.record_use(prompt("a", "one"), 1)
        cache.record_use(prompt("b", "two"), 1)
        cache.record_use(prompt("a", "three"), 1)
        self.assertIn("a", cache)
        self.assertNotIn("one", cache)

    def test_of_one_prompt_the_last_segment_is_evicted_first(self) -> None:
        cache = PrefixCache(200)
        cache.record_use(prompt("a", "b", "own"), 1)
        self.assertEqual(list(cache), ["b", "a"])

    def test_the_tokens_never_exceed_the_capacity(self) -> None:
        cache = PrefixCache(1000)
        for number in range(100):
            cache.record_use(prompt("a", f"s{number % 7}", f"own{number}"), 3)
            self.assertLessEqual(cache.tokens, 1000)
            self.assertEqual(cache.tokens, sum(charged for _, charged in cache.segments.values()))

    def test_a_segment_used_again_is_charged_once(self) -> None:
        cache = PrefixCache(1000)
        cache.record_use(prompt("a", "x"), 1)
        cache.record_use(prompt("a", "x"), 1)
        self.assertEqual(cache.tokens, 200)

    def test_resizing_evicts_segments(self) -> None:
        cache = PrefixCache(1000)
        cache.record_use(prompt("a", "b", "own"), 1)
        cache.resize(100)
        self.assertEqual(list(cache), ["a"])

    def test_cleared(self) -> None:
        cache = PrefixCache(1000)
        cache.record_use(prompt("a", "b", "own"), 1)
        cache.clear()
        self.assertEqual((cache.tokens, list(cache)), (0, []))


class OtherGateways(unittest.TestCase):
    def test_own_segments_are_charged_for_other_gateways(self) -> None:
        """Seven gateways fill the KV cache seven times as fast as one gateway's own requests."""
        alone, among = PrefixCache(2000), PrefixCache(2000)
        for number in range(5):
            alone.record_use(prompt(f"s{number}", f"own{number}"), 1)
            among.record_use(prompt(f"s{number}", f"own{number}"), 7)
        self.assertIn("s0", alone)
        self.assertNotIn("s0", among)

    def test_shared_segments_count_once(self) -> None:
        cache = PrefixCache(10_000)
        cache.record_use(prompt("a", "b", "own"), 7)
        self.assertEqual(cache.tokens, 900)


if __name__ == "__main__":
    unittest.main()
