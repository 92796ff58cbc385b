"""Random faults in the simulated world: invariants hold at all times, and gateways converge afterwards.

A failure names its seed; `python tests/support/registry_walker.py SEED 1` replays it.
"""

from __future__ import annotations

import unittest

from registry_processes import CheckFailed
from registry_walker import play

SEEDS = range(1, 31)


class RandomFaults(unittest.TestCase):
    def test_random_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                try:
                    play(seed)
                except CheckFailed as failure:
                    self.fail(f"seed {seed}: {failure}")


if __name__ == "__main__":
    unittest.main()
