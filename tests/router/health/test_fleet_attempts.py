"""Outcomes of the fleet's attempts: counted at gateways, summed by members, reported back, and applied."""

from __future__ import annotations

import unittest

from mallowbeam.router.control_plane.attempt_reports import AttemptReports
from mallowbeam.router.data_plane.attempt_meter import AttemptMeter
from mallowbeam.router.data_plane.gateway import SUSPECT_FAILURES, Gateway
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.outcomes import AttemptEnd
from mallowbeam.router.data_plane.planner_interface import LeastLoadedPlanner
from mallowbeam.router.data_plane.retry_budget import BudgetSettings, RetryBudgets
from mallowbeam.router.health.fleet_attempts import (
    ATTEMPTS_LIFETIME_S,
    MAX_REPORTED_INSTANCES,
    AttemptSum,
    AttemptTable,
    add_sums,
    messages_of,
)
from mallowbeam.router.health.outlier_detection import OutlierDetector, OutlierSettings
from mallowbeam.router.rpc.messages_pb2 import InstanceAttempts, RegistryGossip


def attempts(id: str, failed: int = 0, answered: int = 0) -> InstanceAttempts:
    return InstanceAttempts(id=id, failed=failed, answered=answered)


def new_gateway() -> Gateway:
    budgets = RetryBudgets(BudgetSettings(0.2, 10.0, 10))
    return Gateway("z", LinkPool(10), budgets, LeastLoadedPlanner())


class Counted(unittest.TestCase):
    def test_since_the_last_sample(self) -> None:
        meter = AttemptMeter()
        meter.ended("a", answered=False)
        meter.ended("a", answered=True)
        meter.ended("b", answered=True)
        found = {one.id: (one.failed, one.answered) for one in meter.sample()}
        self.assertEqual(found, {"a": (1, 1), "b": (0, 1)})
        self.assertEqual(meter.sample(), [])

    def test_which_ends_count_as_failures(self) -> None:
        gateway = new_gateway()
        for end in AttemptEnd:
            gateway.attempt_ended("a", end, 1.1)
        (entry,) = gateway.attempt_meter.sample()
        self.assertEqual((entry.failed, entry.answered), (3, 3), "an exceeded deadline counts as neither")


class AddedUp(unittest.TestCase):
    def test_sums_of_what_is_fresh(self) -> None:
        table = AttemptTable()
        table.record(1, [attempts("a", 1, 2)], 10.0)
        table.record(2, [attempts("a", 1), attempts("b", 0, 7)], 11.0)
        sums = table.sums(11.0)
        self.assertEqual((sums["a"].failed, sums["a"].answered), (2, 2))
        table.record(2, [], 11.5)
        self.assertEqual(set(table.sums(11.5)), {"a"})
        self.assertEqual(table.sums(10.1 + ATTEMPTS_LIFETIME_S), {})

    def test_a_source_that_has_gone(self) -> None:
        table = AttemptTable()
        table.record(1, [attempts("a", 1)], 10.0)
        table.forget(1)
        self.assertEqual(table.sums(10.0), {})

    def test_most_failures_are_reported_first(self) -> None:
        sums = {f"i-{number:03}": AttemptSum(number) for number in range(MAX_REPORTED_INSTANCES + 10)}
        reported = messages_of(sums, MAX_REPORTED_INSTANCES)
        self.assertEqual(
            (len(reported), reported[0].id), (MAX_REPORTED_INSTANCES, f"i-{MAX_REPORTED_INSTANCES + 9:03}")
        )

    def test_members_add_each_other_s_gateways_once(self) -> None:
        first, second = AttemptReports(), AttemptReports()
        first.gateways.record(1, [attempts("a", 2), attempts("c", 0, 5)], 10.0)
        second.gateways.record(1, [attempts("a", 1, 1), attempts("b", 3)], 10.0)
        for _ in range(3):
            gossip = RegistryGossip()
            second.add_to_gossip(gossip, 10.0)
            first.receive_gossip(2, gossip, 10.0)
        reported = {one.id: (one.failed, one.answered) for one in first.for_gateways(10.0)}
        self.assertEqual(reported, {"a": (3, 1), "b": (3, 0)}, "only instances with failures are reported")

    def test_gossip_without_reports_changes_nothing(self) -> None:
        reports = AttemptReports()
        gossip, again = RegistryGossip(), RegistryGossip()
        reports.add_to_gossip(gossip, 10.0)
        reports.add_to_gossip(again, 10.1)
        self.assertEqual((gossip.tells_attempts, again.tells_attempts), (True, False))
        reports.receive_gossip(2, RegistryGossip(tells_attempts=True, attempts=[attempts("a", 9)]), 10.0)
        reports.receive_gossip(2, again, 10.1)
        self.assertEqual(len(reports.for_gateways(10.1)), 1)

    def test_sums_of_sums(self) -> None:
        total = add_sums(({"a": AttemptSum(1, 1)}, {"a": AttemptSum(0, 3), "b": AttemptSum()}))
        self.assertEqual((total["a"].failed, total["a"].answered), (1, 4))


class Suspected(unittest.TestCase):
    def test_an_instance_at_which_the_fleet_fails_is_left_out(self) -> None:
        gateway = new_gateway()
        among = ["a", "b", "c", "d"]
        gateway.fleet_attempts_reported(
            [
                attempts("a", SUSPECT_FAILURES, 1),
                attempts("b", SUSPECT_FAILURES, 9),
                attempts("c", SUSPECT_FAILURES - 1),
            ],
            1.0,
        )
        self.assertEqual(gateway.health.excluded(among, 1.1), {"a"})
        self.assertEqual(gateway.health.excluded(among, 1.1 + OutlierSettings().suspected_s), set())

    def test_an_own_success_ends_the_suspicion(self) -> None:
        health = OutlierDetector()
        health.suspected("a", 1.0)
        health.succeeded("a")
        self.assertEqual(health.excluded(["a", "b", "c"], 1.1), set())

    def test_none_is_left_out_where_most_would_be(self) -> None:
        health = OutlierDetector()
        for id in ("a", "b"):
            health.suspected(id, 1.0)
        self.assertEqual(health.excluded(["a", "b", "c"], 1.1), set())


if __name__ == "__main__":
    unittest.main()
