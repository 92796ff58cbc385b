"""Seven independent gateways and nine instances, in the model of `test_admission_fleet.py`.

Run as a script, it reports times to first token, rejections, KV cache transfers and repeated prefills of
shared segments, at several loads:
`python tests/router/admission/test_admission_simulation.py [SECONDS [LOAD...]]`.
"""

from __future__ import annotations

import sys
import unittest
from functools import cache

from test_admission_fleet import KINDS, Kind, World

from mallowbeam.router.admission.settings import PlannerSettings

QUIET, BUSY, OVER = 0.6, 1.0, 2.0


@cache
def run_world(load: float, seed: int = 1, seconds: float = 12.0) -> World:
    """A run with the default settings."""
    return World(PlannerSettings(), load, seed=seed, seconds=seconds).run()


def earned_value(world: World) -> float:
    """Return the fraction of the requests' value that was earned; late answers earn half."""
    owed = earned = 0.0
    for kind in world.kinds:
        tally = world.tallies[kind.name]
        owed += tally.requests * kind.value
        earned += kind.value * (
            tally.in_time + 0.75 * tally.retried_in_time + 0.5 * tally.late - 0.3 * tally.rejected_twice
        )
    return earned / owed


def repeated_prefill_fraction(world: World) -> float:
    """Return the fraction of shared tokens that were prefilled again soon after another prefill."""
    shared = sum(
        world.tallies[kind.name].requests * sum(mean for mean, _ in kind.shared_segments) for kind in KINDS
    )
    return world.repeated_tokens / shared


def report(world: World) -> str:
    """Return one line for each kind, and one for the fleet."""
    lines = []
    for kind in world.kinds:
        tally = world.tallies[kind.name]
        percent = 100.0 / max(1, tally.requests)
        lines.append(
            f"{kind.name:7} {tally.requests:5} in time {tally.in_time * percent:5.1f}%"
            f" again {tally.retried_in_time * percent:4.1f}% late {tally.late * percent:4.1f}%"
            f" refusals {tally.rejections * percent:4.1f}% (early {tally.rejected_early})"
            f" refused {tally.rejected * percent:4.1f}% lost {tally.timed_out * percent:4.1f}%"
            f" held {tally.delayed * percent:4.1f}% split {tally.split * percent:5.1f}% paused {tally.paused}"
            f" first ms p50 {tally.first_token_quantile(.5) * 1e3:4.0f}"
            f" p90 {tally.first_token_quantile(.9) * 1e3:4.0f}"
            f" p99 {tally.first_token_quantile(.99) * 1e3:4.0f}"
            f" largest served {tally.large_served_fraction * 100:.0f}%"
        )
    lines.append(
        f"worth {earned_value(world):.3f} moved {world.transferred_gb:.1f} GB ({world.cross_zone_gb:.1f} far)"
        f" shared read again {world.repeated_tokens / 1e3:.0f}k tokens"
    )
    return "\n".join(lines)


class AQuietFleet(unittest.TestCase):
    """Load well below the capacity of the instances."""

    def test_nothing_is_rejected_or_timed_out(self) -> None:
        for kind, tally in run_world(QUIET).tallies.items():
            self.assertEqual(tally.rejections, 0, kind)
            self.assertGreaterEqual(tally.served_fraction, 0.98, kind)

    def test_most_are_in_time(self) -> None:
        for kind, tally in run_world(QUIET).tallies.items():
            self.assertGreater(tally.in_time / tally.requests, 0.8, kind)

    def test_the_largest_are_served(self) -> None:
        self.assertEqual(run_world(QUIET).tallies["long"].large_served_fraction, 1.0)

    def test_hardly_anything_is_held_back(self) -> None:
        for kind, tally in run_world(QUIET).tallies.items():
            self.assertLess(tally.delayed / tally.requests, 0.03, kind)

    def test_memory_moves_within_zones(self) -> None:
        world = run_world(QUIET)
        self.assertLess(world.cross_zone_gb, 0.1 * world.transferred_gb)


class ABusyFleet(unittest.TestCase):
    """Load just within the capacity of the instances."""

    def test_worth(self) -> None:
        self.assertGreater(earned_value(run_world(BUSY)), 0.85)

    def test_none_is_refused_while_places_are_free_and_nothing_waits(self) -> None:
        self.assertEqual(sum(tally.rejected_early for tally in run_world(BUSY).tallies.values()), 0)

    def test_both_ways_are_used(self) -> None:
        tallies = run_world(BUSY).tallies
        self.assertGreater(tallies["long"].split / tallies["long"].requests, 0.5)
        self.assertLess(tallies["short"].split / tallies["short"].requests, 0.5)

    def test_shared_parts_are_found_again(self) -> None:
        """Shared segments are mostly cached, rather than prefilled for each prompt."""
        for seed in (1, 2, 3):
            self.assertLess(repeated_prefill_fraction(run_world(BUSY, seed)), 0.1, f"seed {seed}")

    def test_blind_gateways_spread_their_load(self) -> None:
        """No instance of a stage gets much more work than the others."""
        world = run_world(BUSY)
        for stage in ("prefill", "decode"):
            prefilled_tokens = [
                server.prefilled_tokens for server in world.servers.values() if server.stage == stage
            ]
            self.assertLess(max(prefilled_tokens), 2.0 * sum(prefilled_tokens) / len(prefilled_tokens), stage)


class ABusyFleetWithStageOrders(unittest.TestCase):
    """The same load, while the leader moves instances between the stages."""

    @staticmethod
    @cache
    def run_world(seed: int) -> World:
        """A run with the default settings."""
        return World(PlannerSettings(), BUSY, seed=seed, seconds=12.0, stage_orders=True).run()

    def test_instances_are_moved(self) -> None:
        orders = self.run_world(1).stage_orders
        assert orders is not None
        self.assertGreater(orders.orders, 0)
        self.assertLess(orders.orders, 12)

    def test_shared_parts_are_found_again(self) -> None:
        for seed in (1, 2, 3):
            self.assertLess(repeated_prefill_fraction(self.run_world(seed)), 0.1, f"seed {seed}")

    def test_worth(self) -> None:
        for seed in (1, 2, 3):
            self.assertGreater(earned_value(self.run_world(seed)), 0.85, f"seed {seed}")

    def test_no_booking_is_left_behind(self) -> None:
        for planner in self.run_world(1).planners:
            self.assertEqual(planner.bookings, {})


class AnOverloadedFleet(unittest.TestCase):
    """Twice the capacity of the instances."""

    def test_some_are_refused(self) -> None:
        tallies = run_world(OVER).tallies.values()
        requests = sum(tally.requests for tally in tallies)
        self.assertGreater(sum(tally.rejections for tally in tallies) / requests, 0.01)

    def test_refusals_come_when_something_waits(self) -> None:
        tallies = run_world(OVER).tallies.values()
        early, rejections = sum(t.rejected_early for t in tallies), sum(t.rejections for t in tallies)
        self.assertLess(early, 0.1 * rejections)

    def test_the_largest_are_served_half_as_often_as_their_kind(self) -> None:
        worlds = [run_world(OVER, seed) for seed in (1, 2, 3)]
        served = sum(world.tallies["long"].served_fraction for world in worlds)
        largest = sum(world.tallies["long"].large_served_fraction for world in worlds)
        self.assertGreaterEqual(largest, 0.5 * served)

    def test_the_most_urgent_kind_is_served_no_less_than_others(self) -> None:
        tallies = run_world(OVER).tallies
        self.assertGreater(tallies["medium"].served_fraction, tallies["long"].served_fraction - 0.05)

    def test_no_booking_is_left_behind(self) -> None:
        for planner in run_world(OVER).planners:
            self.assertEqual(planner.bookings, {})
            for instance in planner.tracker.instances.values():
                self.assertEqual(
                    (instance.occupied_slots, instance.occupied_tokens, instance.pending_tokens), (0, 0, 0)
                )
                self.assertEqual((len(instance.pending_prefills), instance.timer.units_in_flight), (0, 0))


class OtherFleets(unittest.TestCase):
    """Fleets and events other than the usual ones."""

    def test_decode_instances_alone(self) -> None:
        world = World(PlannerSettings(), 0.3, prefill=0, decode=9, seconds=6.0).run()
        for kind, tally in world.tallies.items():
            self.assertEqual(tally.split, 0)
            self.assertGreater(tally.served_fraction, 0.95, kind)

    def test_one_subject_shared_by_all_is_read_at_several_instances(self) -> None:
        """Other instances than a key's home are chosen when the home is overloaded."""
        hot = Kind("hot", 60.0, ((1000, 1), (1000, 1)), 2500, 0.3, 5000, 10, 0.4, 3.0, 1.0, 0)
        world = World(PlannerSettings(), 1.0, seconds=8.0, kinds=(hot,)).run()
        prefilled_tokens = [
            server.prefilled_tokens for server in world.servers.values() if server.stage == "prefill"
        ]
        self.assertGreater(sorted(prefilled_tokens)[-2], 0.2 * max(prefilled_tokens))
        self.assertGreater(world.tallies["hot"].served_fraction, 0.95)

    def test_an_instance_that_stands_still_is_passed_over(self) -> None:
        world = World(PlannerSettings(), QUIET, seconds=12.0)
        victim = next(server for server in world.servers.values() if server.stage == "prefill")
        before: list[int] = []
        world.at(4.0, lambda: setattr(victim, "down_until", 9.0))
        world.at(6.0, lambda: before.append(victim.arrivals))
        world.at(9.0, lambda: before.append(victim.arrivals))
        world.run()
        requests = sum(tally.requests for tally in world.tallies.values())
        self.assertLess(before[1] - before[0], 0.08 * requests * 3.0 / 12.0)
        self.assertGreater(
            sum(t.in_time + t.late + t.retried_in_time for t in world.tallies.values()) / requests, 0.85
        )


def main() -> None:
    """Print the report at several loads."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    for load in [float(value) for value in sys.argv[2:]] or [0.6, 1.0, 1.4, 2.0]:
        print(f"-- load {load}")
        print(report(World(PlannerSettings(), load, seconds=seconds).run()), flush=True)


if __name__ == "__main__":
    main()
