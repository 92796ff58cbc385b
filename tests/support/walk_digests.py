"""Plays random walks and prints a digest of all events of each.

``python tests/support/walk_digests.py KIND SEED...`` plays the seeds in the order given, in one process, and
prints a JSON object with the digest of each. If a digest depended on earlier walks or on the hash seed of the
process, a failure could not be reproduced from its seed.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent.parent)]

_played: list[int] = []


def fleet(seed: int) -> int:
    """Digest of a walk of the whole fleet."""
    from mallowbeam.simulation.walk import Walk, discard_logs

    discard_logs()
    walk = Walk(seed)
    walk.play()
    return walk.player.simulator.digest


def consensus(seed: int) -> int:
    """Digest of a schedule of consensus members."""
    from consensus_walker import Walk

    walk = Walk(seed)
    walk.play()
    return walk.world.digest


def registry(seed: int) -> int:
    """Digest of a schedule of the registry."""
    from registry_walker import play

    return play(seed).digest


def dependent(seed: int) -> int:
    """Digest of a deliberately broken walk that depends on earlier walks, to test the check itself."""
    _played.append(seed)
    return hash(tuple(_played))


KINDS: dict[str, Callable[[int], int]] = {
    "fleet": fleet,
    "consensus": consensus,
    "registry": registry,
    "dependent": dependent,
}


def main() -> None:
    """Play the seeds of the command line and print their digests."""
    kind, *seeds = sys.argv[1:]
    print(json.dumps({seed: KINDS[kind](int(seed)) for seed in seeds}))


if __name__ == "__main__":
    main()
