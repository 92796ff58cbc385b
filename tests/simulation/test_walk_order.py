"""A random walk depends only on its seed, not on earlier walks or the hash seed of the process."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

DIGESTS = Path(__file__).parent.parent / "support" / "walk_digests.py"
TIMEOUT_S = 240.0
SEEDS = {
    "fleet": (9, 4, 3, 8),
    "consensus": tuple(range(1, 13)),
    "registry": tuple(range(1, 7)),
    "dependent": (1, 2),
}


class Digests:
    """Digests of walks that a separate process plays."""

    def __init__(self, kind: str, seeds: tuple[int, ...], hash_seed: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, str(DIGESTS), kind, *map(str, seeds)],
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONDONTWRITEBYTECODE": "1"},
            stdout=subprocess.PIPE,
            text=True,
        )

    def by_seed(self) -> dict[str, int]:
        """Wait until all seeds have been played and return the digest of each."""
        output, _ = self._process.communicate(timeout=TIMEOUT_S)
        assert self._process.returncode == 0
        return json.loads(output)


def both_orders(kind: str) -> tuple[dict[str, int], dict[str, int]]:
    """Digests of the same seeds, played in opposite orders in two processes of different hash seeds."""
    seeds = SEEDS[kind]
    forward, backward = Digests(kind, seeds, "1"), Digests(kind, seeds[::-1], "2")
    return forward.by_seed(), backward.by_seed()


class WalkOrder(unittest.TestCase):
    def test_fleet(self) -> None:
        self._assert_independent("fleet")

    def test_consensus(self) -> None:
        self._assert_independent("consensus")

    def test_registry(self) -> None:
        self._assert_independent("registry")

    def test_a_walk_that_depends_on_those_before_it_is_noticed(self) -> None:
        forward, backward = both_orders("dependent")
        self.assertNotEqual(forward, backward)

    def _assert_independent(self, kind: str) -> None:
        forward, backward = both_orders(kind)
        self.assertEqual(len(set(forward.values())), len(SEEDS[kind]))  # digests tell walks apart
        self.assertEqual(forward, backward)


if __name__ == "__main__":
    unittest.main()
