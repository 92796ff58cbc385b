"""Random schedules of faults from fixed seeds; a failure's note contains the command that replays it."""

from __future__ import annotations

import unittest

from consensus_walker import play

FIRST_SEED = 1
SCHEDULES = 200


class Walks(unittest.TestCase):
    def test_all(self) -> None:
        outcomes = []
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(seed=seed):
                outcomes.append(play(seed))
        self._check_coverage(outcomes)

    def _check_coverage(self, outcomes) -> None:
        """Check that the schedules exercise each kind of event often enough."""
        self.assertEqual(len(outcomes), SCHEDULES)
        for name, minimum in {
            "acknowledged": 15,
            "reads_confirmed": 8,
            "terms": 1.5,
            "snapshots": 0.2,
            "changes": 0.5,
        }.items():
            mean = sum(getattr(outcome, name) for outcome in outcomes) / SCHEDULES
            self.assertGreater(mean, minimum, name)

    def test_replays(self) -> None:
        self.assertEqual(play(7), play(7))


if __name__ == "__main__":
    unittest.main()
