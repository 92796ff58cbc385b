"""Checks the retry budget against an oracle that examines every time span, for one gateway and a fleet."""

from __future__ import annotations

import unittest
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from mallowbeam.router.data_plane.retry_budget import SLICES, BudgetSettings, RetryBudget, RetryBudgets
from mallowbeam.router.data_plane.role import retry_budget
from mallowbeam.router.processes.settings import Bounds

WINDOW_S = 10.0
SLICE_S = WINDOW_S / SLICES
SEEDS = range(60)
TOLERANCE = 1e-9
START = 1000.0


@dataclass
class ObservedTimes:
    """What a service observed: the times of client requests and of retries (arrivals after the first)."""

    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)


def count(times: list[float], since: float, until: float) -> int:
    """Return how many of the sorted times lie in a span, including its ends."""
    return bisect_right(times, until) - bisect_left(times, since)


def excess(observed: ObservedTimes, ratio: float, min_retries: float) -> float:
    """Return by how much the worst span exceeds the limit; 0 or less if none does.

    The counts change only where an end of one of the three spans passes a request, or where the span itself
    begins or ends with a retry.  All these times are examined, for requests just after the time.
    """
    requests, retries = sorted(observed.requests), sorted(observed.retries)
    shifts = (0.0, WINDOW_S, -WINDOW_S, WINDOW_S / 2, -WINDOW_S / 2)
    begins = set(retries) | {retry - WINDOW_S for retry in retries}
    begins |= {request + shift + TOLERANCE for request in requests for shift in shifts}
    worst = -min_retries
    for begin in begins:
        seen = count(retries, begin, begin + WINDOW_S)
        if not seen:
            continue
        most = max(
            count(requests, begin, begin + WINDOW_S),
            count(requests, begin - WINDOW_S, begin),
            count(requests, begin - WINDOW_S / 2, begin + WINDOW_S / 2),
        )
        worst = max(worst, seen - (ratio * most + min_retries))
    return worst


def settings_from(random: Random) -> BudgetSettings:
    return BudgetSettings(random.choice((0.1, 0.2, 0.5)), WINDOW_S, random.choice((0, 3, 20)))


class Fleet:
    """Gateways that share a budget, with clients that move between them and a changing failure rate."""

    def __init__(self, random: Random, gateways: int, delay_s: float) -> None:
        self.random, self.delay_s = random, delay_s
        self.settings = settings_from(random)
        self.budgets = [RetryBudget(self.settings) for _ in range(gateways)]
        self.observed = ObservedTimes()
        self.rate, self.failing = 10.0, 0.5  # events per second; the fraction that causes retries
        self.shares = [1.0] * gateways

    def play(self, seconds: float) -> ObservedTimes:
        for gateway in range(len(self.budgets)):
            self.request(gateway, START)
        for now in self._moments(START, START + seconds):
            gateway = self.random.choices(range(len(self.budgets)), self.shares)[0]
            if self.random.random() >= self.failing:
                self.request(gateway, now)
            for _ in range(self.random.choice((0, 1, 4)) if self.random.random() < self.failing else 0):
                self.retry(gateway, now)
        return self.observed

    def excess(self) -> float:
        return excess(self.observed, self.settings.ratio, self.settings.min_retries)

    def request(self, gateway: int, now: float) -> None:
        self.budgets[gateway].request(now)
        self.observed.requests.append(now)

    def retry(self, gateway: int, now: float) -> None:
        if self.budgets[gateway].take(now, len(self.budgets)):
            self.observed.retries.append(now + self.random.random() * self.delay_s)

    def _moments(self, now: float, end: float) -> Iterator[float]:
        while now < end:
            if self.random.random() < 0.02:
                self._change()
            now += self.random.expovariate(self.rate)
            yield now

    def _change(self) -> None:
        self.rate = self.random.choice((0.5, 3.0, 60.0))
        self.failing = self.random.choice((0.0, 0.1, 0.9))
        self.shares = [self.random.choice((0.0, 0.0, 1.0, 5.0)) for _ in self.budgets]
        self.shares[self.random.randrange(len(self.shares))] = 1.0


class EverySpan(unittest.TestCase):
    def test_of_one_gateway(self) -> None:
        granted = 0
        for seed in SEEDS:
            fleet = Fleet(Random(seed), 1, 0.0)
            observed = fleet.play(40.0)
            granted += len(observed.retries)
            self.assertLessEqual(fleet.excess(), TOLERANCE, seed)
        self.assertGreater(granted, 500)

    def test_of_a_fleet_whose_sends_arrive_up_to_a_slice_later(self) -> None:
        granted = 0
        for seed in SEEDS:
            random = Random(seed)
            fleet = Fleet(random, random.choice((2, 5, 12)), SLICE_S)
            observed = fleet.play(40.0)
            granted += len(observed.retries)
            self.assertLessEqual(fleet.excess(), TOLERANCE, seed)
        self.assertGreater(granted, 500)

    def test_the_oracle_sees_one_retry_too_many(self) -> None:
        requests = [START + number for number in range(20)]
        self.assertLessEqual(excess(ObservedTimes(requests, [START + 15.0, START + 15.1]), 0.2, 0), 0)
        self.assertGreater(
            excess(ObservedTimes(requests, [START + 15.0, START + 15.1, START + 15.2]), 0.2, 0), 0
        )
        self.assertGreater(
            excess(ObservedTimes(requests, [START + 35.0]), 0.2, 0), 0
        )  # long after the requests
        self.assertLessEqual(excess(ObservedTimes(requests, [START + 35.0]), 0.2, 1), 0)


class OneBudget(unittest.TestCase):
    def budget(self, ratio: float = 0.2, min_retries: int = 0) -> RetryBudget:
        return RetryBudget(BudgetSettings(ratio, WINDOW_S, min_retries))

    def taken(self, budget: RetryBudget, now: float, gateways: int = 1) -> int:
        """Return how many retries are granted at one time."""
        for number in range(1000):
            if not budget.take(now, gateways):
                return number
        raise AssertionError("no bound")

    def test_steady_traffic_gets_nearly_the_whole_ratio(self) -> None:
        budget = self.budget()
        requests, retries = 0, 0
        for number in range(4000):
            now = START + number / 20
            budget.request(now)
            granted = budget.take(now, 1)
            if number >= 1000:
                requests, retries = requests + 1, retries + granted
        self.assertGreater(retries / requests, 0.2 * 0.85)
        self.assertLessEqual(retries / requests, 0.2)

    def test_gateways_share_min_retries(self) -> None:
        self.assertEqual(self.taken(self.budget(0.0, 12), START, 1), 12)
        self.assertEqual(self.taken(self.budget(0.0, 12), START, 4), 3)
        self.assertEqual(self.taken(self.budget(0.0, 12), START, 24), 0)
        self.assertEqual(self.taken(self.budget(0.0, 12), START, 0), 12)

    def test_min_retries_are_available_again_after_a_window(self) -> None:
        budget = self.budget(0.0, 3)
        self.assertEqual(self.taken(budget, START), 3)
        self.assertEqual(self.taken(budget, START + WINDOW_S), 0)
        self.assertEqual(self.taken(budget, START + WINDOW_S + 2 * SLICE_S), 3)

    def test_what_never_arrived_is_given_back(self) -> None:
        budget = self.budget(0.0, 2)
        self.assertEqual(self.taken(budget, START), 2)
        budget.give_back(START + 1.0)
        self.assertEqual(self.taken(budget, START + 1.0), 1)
        budget = self.budget(0.0, 2)
        budget.give_back(START)
        self.assertEqual(self.taken(budget, START), 2)

    def test_service_after_idle_time_has_a_fresh_budget(self) -> None:
        old, new = self.budget(), self.budget()
        for number in range(100):
            old.request(START + number / 10)
        later = START + 10 * WINDOW_S
        for budget in (old, new):
            for number in range(100):
                budget.request(later + number / 100)
        self.assertEqual(old.available(later + 1.0, 1), new.available(later + 1.0, 1))

    def test_number_of_slices_is_bounded(self) -> None:
        budget = self.budget()
        for number in range(10_000):
            budget.request(START + number)
        self.assertLess(len(budget._slices), 3 * SLICES)


class AllBudgets(unittest.TestCase):
    def test_a_service_that_comes_back_has_not_forgotten_its_retries(self) -> None:
        budgets = RetryBudgets(BudgetSettings(0.0, WINDOW_S, 1))
        self.assertTrue(budgets.of("s").take(START, 1))
        budgets.keep_only(frozenset(), START + 1.0)
        self.assertFalse(budgets.of("s").take(START + 2.0, 1))

    def test_services_long_gone_are_forgotten(self) -> None:
        budgets = RetryBudgets(BudgetSettings(0.0, WINDOW_S, 1))
        kept, gone = budgets.of("kept"), budgets.of("gone")
        gone.request(START)
        budgets.keep_only(frozenset(("kept",)), START + 3 * WINDOW_S)
        self.assertIs(budgets.of("kept"), kept)
        self.assertIsNot(budgets.of("gone"), gone)


class FleetLimit(unittest.TestCase):
    """The budget that the role derives from the limits in its settings file."""

    GATEWAYS = 87
    REPORTED_GATEWAYS = 60  # reported by a member that does not know all gateways yet
    REQUESTS = 230  # client requests at each gateway in a window
    CONFIGURATION_CHECKS = (
        60  # calls that only check the configuration; they don't count for the fleet's limit
    )

    def test_limit_holds_with_configuration_checks_and_a_low_gateway_count(self) -> None:
        bounds = Bounds(retry_budget_ratio=0.2, budget_window_s=WINDOW_S, min_retries=214)
        budget = RetryBudget(retry_budget(bounds))
        for number in range(self.REQUESTS + self.CONFIGURATION_CHECKS):
            budget.request(START + WINDOW_S * number / (self.REQUESTS + self.CONFIGURATION_CHECKS))
        retries = 0
        for number in range(SLICES):
            while budget.take(START + WINDOW_S + SLICE_S * number, self.REPORTED_GATEWAYS):
                retries += 1
            for _ in range((self.REQUESTS + self.CONFIGURATION_CHECKS) // SLICES):
                budget.request(START + WINDOW_S + SLICE_S * number)
        allowed = 0.2 * self.REQUESTS * self.GATEWAYS + 214
        self.assertGreater(retries, 0)
        self.assertLessEqual(retries * self.GATEWAYS, allowed)


if __name__ == "__main__":
    unittest.main()
