"""The model of what an instance keeps: leading parts, least recently used first, others' requests."""

from __future__ import annotations

import unittest

from mallowbeam.router.pairing.kept_parts import KeptParts, PromptPart


def prompt(*names: str, tokens: int = 100) -> tuple[PromptPart, ...]:
    """A prompt of parts of equal size."""
    return tuple(PromptPart(name, tokens) for name in names)


class LeadingParts(unittest.TestCase):
    def test_nothing_is_kept_at_first(self) -> None:
        self.assertEqual(KeptParts(1000).kept(prompt("a", "b")), 0)

    def test_what_was_read_is_kept(self) -> None:
        kept = KeptParts(1000)
        kept.used(prompt("a", "b", "own"), 1)
        self.assertEqual(kept.kept(prompt("a", "b", "other")), 200)
        self.assertEqual(kept.kept(prompt("a", "b", "own")), 300)

    def test_a_part_counts_only_after_all_before_it(self) -> None:
        kept = KeptParts(1000)
        kept.used(prompt("a", "b", "own"), 1)
        self.assertEqual(kept.kept(prompt("x", "b", "own")), 0)


class TheLeastRecentlyUsed(unittest.TestCase):
    def test_it_goes_first(self) -> None:
        kept = KeptParts(400)
        kept.used(prompt("a", "one"), 1)
        kept.used(prompt("b", "two"), 1)
        kept.used(prompt("a", "three"), 1)
        self.assertIn("a", kept)
        self.assertNotIn("one", kept)

    def test_of_one_prompt_the_last_part_goes_first(self) -> None:
        kept = KeptParts(200)
        kept.used(prompt("a", "b", "own"), 1)
        self.assertEqual(list(kept), ["b", "a"])

    def test_the_tokens_never_exceed_the_capacity(self) -> None:
        kept = KeptParts(1000)
        for number in range(100):
            kept.used(prompt("a", f"s{number % 7}", f"own{number}"), 3)
            self.assertLessEqual(kept.tokens, 1000)
            self.assertEqual(kept.tokens, sum(charged for _, charged in kept.parts.values()))

    def test_a_part_used_again_is_charged_once(self) -> None:
        kept = KeptParts(1000)
        kept.used(prompt("a", "x"), 1)
        kept.used(prompt("a", "x"), 1)
        self.assertEqual(kept.tokens, 200)

    def test_a_smaller_memory_forgets(self) -> None:
        kept = KeptParts(1000)
        kept.used(prompt("a", "b", "own"), 1)
        kept.resize(100)
        self.assertEqual(list(kept), ["a"])

    def test_cleared(self) -> None:
        kept = KeptParts(1000)
        kept.used(prompt("a", "b", "own"), 1)
        kept.clear()
        self.assertEqual((kept.tokens, list(kept)), (0, []))


class OtherGateways(unittest.TestCase):
    def test_own_parts_stand_for_those_of_others(self) -> None:
        """Seven gateways fill the memory seven times as fast as this one sees."""
        alone, among = KeptParts(2000), KeptParts(2000)
        for number in range(5):
            alone.used(prompt(f"s{number}", f"own{number}"), 1)
            among.used(prompt(f"s{number}", f"own{number}"), 7)
        self.assertIn("s0", alone)
        self.assertNotIn("s0", among)

    def test_shared_parts_count_once(self) -> None:
        kept = KeptParts(10_000)
        kept.used(prompt("a", "b", "own"), 7)
        self.assertEqual(kept.tokens, 900)


if __name__ == "__main__":
    unittest.main()
