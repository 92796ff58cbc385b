"""Copies of operators' calls in all orders, with snapshots between them and forgetting at the bounds."""

from __future__ import annotations

import unittest
from itertools import combinations
from random import Random

from command_model import Bounds, Call, Judge, NewVersions, Replicas, RuleBroken, apply_in_all_orders
from configuration_variants import (
    AcceptsAnyBase,
    AcceptsAnyRevision,
    DropsRejectionsOfCurrentBase,
    DropsTheOldestRejection,
    ForgetsDigests,
    ForgetsOnRestart,
    ForgetsRejections,
    ForgetsRejectionsOnRestart,
    IdentifiesByBaseAlone,
    IdentifiesByRevisionAlone,
    RecordsWithoutBound,
    RejectsForgottenCommands,
    RemembersRejectionsWithoutBase,
)

from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.versions import ConfigurationVersions

FIRST = Call(1, "first", 0)
CALLS = [
    FIRST,
    *(
        Call(revision, content, based_on)
        for revision in (2, 3)
        for content in ("left", "right")
        for based_on in (1, 2, 3)
    ),
]
COPIES = 2
PARSER = ConfigurationParser()
WIDE, NARROW = Bounds(100, 100), Bounds(1, 1)
RANDOM_SEEDS = 1_000

BROKEN: tuple[type[ConfigurationVersions], ...] = (
    AcceptsAnyBase,
    DropsRejectionsOfCurrentBase,
    DropsTheOldestRejection,
    ForgetsDigests,
    ForgetsOnRestart,
    ForgetsRejections,
    ForgetsRejectionsOnRestart,
    RecordsWithoutBound,
    IdentifiesByBaseAlone,
    IdentifiesByRevisionAlone,
    RejectsForgottenCommands,
    RemembersRejectionsWithoutBase,
    AcceptsAnyRevision,
)


def maker(kind: type[ConfigurationVersions], bounds: Bounds) -> NewVersions:
    """How to make one replica; no document is parsed here, so that one parser does for all."""
    return lambda: kind(PARSER, max_accepted=bounds.max_accepted, max_rejected=bounds.max_rejected)


def started(kind: type[ConfigurationVersions], bounds: Bounds) -> Replicas:
    """Replicas that have taken the first configuration."""
    replicas = Replicas(maker(kind, bounds), Judge(bounds))
    replicas.apply(FIRST, FIRST.command())
    return replicas


def play_all(kind: type[ConfigurationVersions], bounds: Bounds, calls: int) -> int:
    """Each choice of so many different calls, their copies in each order; returns the applications."""
    return sum(
        apply_in_all_orders(started(kind, bounds), chosen, COPIES) for chosen in combinations(CALLS, calls)
    )


def play_random(kind: type[ConfigurationVersions], seed: int) -> Judge:
    """Two operators over many versions; copies of their calls are applied up to long after."""
    random = Random(seed)
    bounds = Bounds(random.choice((1, 2, 5, 100)), random.choice((1, 2, 100)))
    replicas = started(kind, bounds)
    under_way = [FIRST]
    for _ in range(60):
        current = replicas.judge.revision
        call = random.choice(under_way)
        if random.random() < 0.5:
            based_on = max(0, current + random.choice((-2, -1, 0, 0, 0, 0, 1, 2)))
            revision = max(1, current + random.choice((-1, 0, 1, 1, 2, 3)))
            call = Call(revision, random.choice(("left", "right")), based_on)
            under_way.append(call)
        replicas.apply(call, call.command())
    return replicas.judge


def play(kind: type[ConfigurationVersions]) -> None:
    """All that the tests play, the small sizes first; raises `RuleBroken`."""
    for bounds in (WIDE, NARROW):
        for calls in (1, 2):
            play_all(kind, bounds, calls)
    for seed in range(RANDOM_SEEDS):
        play_random(kind, seed)


class AllOrders(unittest.TestCase):
    """Two copies each of up to three calls on a first configuration."""

    def test_two_calls(self) -> None:
        for bounds in (WIDE, NARROW):
            self.assertGreater(play_all(ConfigurationVersions, bounds, 2), 1_000)

    def test_three_calls(self) -> None:
        self.assertGreater(play_all(ConfigurationVersions, WIDE, 3), 60_000)

    def test_three_calls_at_the_bounds(self) -> None:
        self.assertGreater(play_all(ConfigurationVersions, NARROW, 3), 60_000)


class RandomOrders(unittest.TestCase):
    """Longer histories."""

    def test_random_histories(self) -> None:
        in_force = acknowledged = refused = 0
        for seed in range(RANDOM_SEEDS):
            with self.subTest(seed=seed):
                judge = play_random(ConfigurationVersions, seed)
            in_force += len(judge.in_force)
            acknowledged += len(judge.acknowledged)
            refused += len(judge.refused)
        # the histories are worth something: changes, resends and refusals in plenty
        self.assertGreater(in_force, 5 * RANDOM_SEEDS)
        self.assertGreater(acknowledged, in_force)
        self.assertGreater(refused, 5 * RANDOM_SEEDS)


class BrokenVariants(unittest.TestCase):
    """The model finds each of them."""

    def test_broken_ones_are_found(self) -> None:
        for kind in BROKEN:
            with self.subTest(kind.__name__), self.assertRaises(RuleBroken):
                play(kind)


if __name__ == "__main__":
    unittest.main()
