"""Duplicates of operators' calls in all orders, with snapshots between them and drops at the bounds."""

from __future__ import annotations

import unittest
from itertools import combinations
from random import Random

from command_model import (
    Bounds,
    Call,
    InvariantViolationError,
    NewVersions,
    Replicas,
    ResultChecker,
    apply_in_all_orders,
)
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


def replica_factory(kind: type[ConfigurationVersions], bounds: Bounds) -> NewVersions:
    """A factory of replicas; no document is parsed here, so that all can share one parser."""
    return lambda: kind(PARSER, max_accepted=bounds.max_accepted, max_rejected=bounds.max_rejected)


def started_replicas(kind: type[ConfigurationVersions], bounds: Bounds) -> Replicas:
    """Replicas that have accepted the first configuration."""
    replicas = Replicas(replica_factory(kind, bounds), ResultChecker(bounds))
    replicas.apply(FIRST, FIRST.command())
    return replicas


def apply_all(kind: type[ConfigurationVersions], bounds: Bounds, calls: int) -> int:
    """Apply each choice of `calls` different calls, with copies, in each order; returns the applications."""
    return sum(
        apply_in_all_orders(started_replicas(kind, bounds), chosen, COPIES)
        for chosen in combinations(CALLS, calls)
    )


def apply_random(kind: type[ConfigurationVersions], seed: int) -> ResultChecker:
    """Two operators over many versions; copies of their calls may be applied much later."""
    random = Random(seed)
    bounds = Bounds(random.choice((1, 2, 5, 100)), random.choice((1, 2, 100)))
    replicas = started_replicas(kind, bounds)
    sent_calls = [FIRST]
    for _ in range(60):
        current = replicas.checker.revision
        call = random.choice(sent_calls)
        if random.random() < 0.5:
            based_on = max(0, current + random.choice((-2, -1, 0, 0, 0, 0, 1, 2)))
            revision = max(1, current + random.choice((-1, 0, 1, 1, 2, 3)))
            call = Call(revision, random.choice(("left", "right")), based_on)
            sent_calls.append(call)
        replicas.apply(call, call.command())
    return replicas.checker


def apply_histories(kind: type[ConfigurationVersions]) -> None:
    """All histories of the tests, small sizes first; raises `InvariantViolationError`."""
    for bounds in (WIDE, NARROW):
        for calls in (1, 2):
            apply_all(kind, bounds, calls)
    for seed in range(RANDOM_SEEDS):
        apply_random(kind, seed)


class AllOrders(unittest.TestCase):
    """Two copies each of up to three calls on a first configuration."""

    def test_two_calls(self) -> None:
        for bounds in (WIDE, NARROW):
            self.assertGreater(apply_all(ConfigurationVersions, bounds, 2), 1_000)

    def test_three_calls(self) -> None:
        self.assertGreater(apply_all(ConfigurationVersions, WIDE, 3), 60_000)

    def test_three_calls_at_the_bounds(self) -> None:
        self.assertGreater(apply_all(ConfigurationVersions, NARROW, 3), 60_000)


class RandomOrders(unittest.TestCase):
    """Longer histories."""

    def test_random_histories(self) -> None:
        in_effect = acknowledged = refused = 0
        for seed in range(RANDOM_SEEDS):
            with self.subTest(seed=seed):
                checker = apply_random(ConfigurationVersions, seed)
            in_effect += len(checker.in_effect)
            acknowledged += len(checker.acknowledged)
            refused += len(checker.refused)
        # The histories contain many changes, resends and rejections.
        self.assertGreater(in_effect, 5 * RANDOM_SEEDS)
        self.assertGreater(acknowledged, in_effect)
        self.assertGreater(refused, 5 * RANDOM_SEEDS)


class BrokenVariants(unittest.TestCase):
    """The model detects each broken variant."""

    def test_broken_variants_are_detected(self) -> None:
        for kind in BROKEN:
            with self.subTest(kind.__name__), self.assertRaises(InvariantViolationError):
                apply_histories(kind)


if __name__ == "__main__":
    unittest.main()
