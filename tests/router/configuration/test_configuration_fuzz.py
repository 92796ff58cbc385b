"""Damaged configurations: rejected with a `ConfigurationError`, or accepted without loss."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from configuration_fuzz import run

from mallowbeam.router.configuration import schemas

SEED = 7
COUNT = 2_500


class Fuzz(unittest.TestCase):
    """A short run of ``PYTHONPATH=. python tests/support/configuration_fuzz.py``."""

    def test_damaged_bodies(self) -> None:
        outcomes = run(SEED, COUNT)
        self.assertEqual(outcomes.total(), COUNT)
        self.assertGreater(outcomes["accepted"], 0)
        for code in ("UNREADABLE", "FIELD", "NO_TIMEOUT", "UNKNOWN_BACKEND", "SAME_PLACE", "TOO_LARGE"):
            self.assertGreater(outcomes[f"CONFIG_{code}"], 0, code)

    def test_fuzz_detects_numbers_outside_the_range_of_messages(self) -> None:
        with patch.object(schemas.Milliseconds, "_deserialize", lambda self, value, *_, **__: int(value)):
            with self.assertRaises(AssertionError):
                run(SEED, COUNT)


if __name__ == "__main__":
    unittest.main()
