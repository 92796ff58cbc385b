"""Losses right after repairs, on groups of 3 to 8 members; `membership_plays` has the plays, for any seed."""

from __future__ import annotations

import unittest

from membership_plays import PLAYS, SIZES, run

CATCH_UP_S = 4.0               # what operators are promised to leave between two losses
REPAIRED_S = 3.0               # until the next loss is survived, after any repair
GIVEN_S = 0.5                  # after SIGTERM, where a learner stands by
SEEDS = {"planned_then_loss": 5, "planned_then_wipe": 5}
OTHER_SEEDS = 2


class Plays(unittest.TestCase):
    def _play(self, name: str) -> None:
        for size in SIZES:
            for seed in range(1, SEEDS.get(name, OTHER_SEEDS) + 1):
                with self.subTest(size=size, seed=seed):
                    self._check(run(name, size, seed).repairs)

    def _check(self, repairs: dict[str, list[float]]) -> None:
        self.assertLess(REPAIRED_S, CATCH_UP_S)
        for kind, times in repairs.items():
            self.assertLess(max(times), GIVEN_S if kind == "planned" else REPAIRED_S, kind)


def _test_of(name: str):
    def test(self: Plays) -> None:
        self._play(name)
    test.__doc__ = PLAYS[name].__doc__
    return test


for _name in PLAYS:
    setattr(Plays, f"test_{_name}", _test_of(_name))


if __name__ == "__main__":
    unittest.main()
