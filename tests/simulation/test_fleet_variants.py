"""Each checker of the fleet detects a deliberately broken variant and accepts the real program."""

from __future__ import annotations

import unittest
from collections.abc import Callable, Sequence
from unittest import mock

from fleet_variants import HEAD, M3_PARTITIONED, VARIANTS, Variant, _return_fresh

from mallowbeam.router.consensus.node import RaftNode
from mallowbeam.simulation import fleet_checkers
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.loss_budget import LossBudget
from mallowbeam.simulation.scenario import ViolationError

LATE_GATEWAY = (
    M3_PARTITIONED
    + """at 8 call a m1
at 8 call b m1
at 8 kill g1
at 8 seeds g1 m3
at 12.5 start g1
end 14"""
)


def player_of(variant: Variant) -> FleetPlayer:
    """The player of a variant's scenario, with the checkers it names and a budget without faults."""
    player = FleetPlayer(HEAD + variant.text)
    budget = LossBudget(tolerance=1)
    budget.disturbed(10.0)
    events: dict[str, float] = {}
    for name in variant.checkers:
        checker = getattr(fleet_checkers, name)
        player.checkers.append(
            checker(budget, events) if name == "GatewayConvergenceChecker" else checker(budget)
        )
    return player


def case_of(variants: Sequence[Variant]) -> type[unittest.TestCase]:
    """Two tests for each variant: it is caught, and the real program passes its scenario."""
    methods: dict[str, Callable[[unittest.TestCase], None]] = {}
    for variant in variants:
        name = variant.name.replace(" ", "_")
        methods[f"test_caught_{name}"] = _caught_test(variant)
        methods[f"test_passed_without_{name}"] = _passed_test(variant)
    return type("Variants", (unittest.TestCase,), methods)


def _caught_test(variant: Variant) -> Callable[[unittest.TestCase], None]:
    def test(case: unittest.TestCase) -> None:
        with variant.patch(), case.assertRaises(ViolationError) as caught:
            player_of(variant).play()
        case.assertIn(variant.message, str(caught.exception))

    return test


def _passed_test(variant: Variant) -> Callable[[unittest.TestCase], None]:
    def test(_: unittest.TestCase) -> None:
        player_of(variant).play()

    return test


Variants = case_of(VARIANTS)


class StartedGateways(unittest.TestCase):
    def test_a_started_gateway_is_given_an_old_configuration(self) -> None:
        with mock.patch.object(RaftNode, "freshness", _return_fresh):
            with self.assertRaisesRegex(ViolationError, "1: g1 is given 1 first, 2 was acknowledged"):
                FleetPlayer(HEAD + LATE_GATEWAY).play()

    def test_a_started_gateway_is_given_no_old_configuration(self) -> None:
        FleetPlayer(HEAD + LATE_GATEWAY).play()


if __name__ == "__main__":
    unittest.main()
