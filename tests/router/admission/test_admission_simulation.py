"""What seven blind gateways do together to nine instances, in the model of `test_admission_fleet.py`.

Run as a script, it reports first-token times, refusals, moved memory and shared parts read again, at several
loads: `python tests/router/admission/test_admission_simulation.py [SECONDS [LOAD...]]`.
"""

from __future__ import annotations

import sys
import unittest
from functools import cache

from test_admission_fleet import KINDS, Kind, World

from mallowbeam.router.admission.settings import PlannerSettings

QUIET, BUSY, OVER = 0.6, 1.0, 2.0


@cache
def played(load: float, seed: int = 1, seconds: float = 12.0) -> World:
    """A run with the default settings."""
    return World(PlannerSettings(), load, seed=seed, seconds=seconds).run()


def worth(world: World) -> float:
    """Share of the worth owed that was earned; late answers earn half."""
    owed = earned = 0.0
    for kind in world.kinds:
        tally = world.tallies[kind.name]
        owed += tally.asked * kind.worth
        earned += kind.worth * (
            tally.in_time + 0.75 * tally.again + 0.5 * tally.late - 0.3 * tally.refused_twice
        )
    return earned / owed


def shared_read_again(world: World) -> float:
    """Shared tokens that were read again soon after another reading, as a fraction of all shared tokens."""
    shared = sum(world.tallies[kind.name].asked * sum(mean for mean, _ in kind.chain) for kind in KINDS)
    return world.reread / shared


def report(world: World) -> str:
    """One line for each kind, and one for the fleet."""
    lines = []
    for kind in world.kinds:
        tally = world.tallies[kind.name]
        part = 100.0 / max(1, tally.asked)
        lines.append(
            f"{kind.name:7} {tally.asked:5} in time {tally.in_time * part:5.1f}%"
            f" again {tally.again * part:4.1f}% late {tally.late * part:4.1f}%"
            f" refusals {tally.refusals * part:4.1f}% (early {tally.refused_early})"
            f" refused {tally.refused * part:4.1f}% lost {tally.lost * part:4.1f}%"
            f" held {tally.held * part:4.1f}% split {tally.split * part:5.1f}% paused {tally.paused}"
            f" first ms p50 {tally.first(.5) * 1e3:4.0f} p90 {tally.first(.9) * 1e3:4.0f}"
            f" p99 {tally.first(.99) * 1e3:4.0f} largest served {tally.large_share * 100:.0f}%"
        )
    lines.append(
        f"worth {worth(world):.3f} moved {world.moved_gb:.1f} GB ({world.moved_far_gb:.1f} far)"
        f" shared read again {world.reread / 1e3:.0f}k tokens"
    )
    return "\n".join(lines)


class AQuietFleet(unittest.TestCase):
    """Load well below what the instances do."""

    def test_refuses_and_loses_nothing(self) -> None:
        for kind, tally in played(QUIET).tallies.items():
            self.assertEqual(tally.refusals, 0, kind)
            self.assertGreaterEqual(tally.served, 0.98, kind)

    def test_most_are_in_time(self) -> None:
        for kind, tally in played(QUIET).tallies.items():
            self.assertGreater(tally.in_time / tally.asked, 0.8, kind)

    def test_the_largest_are_served(self) -> None:
        self.assertEqual(played(QUIET).tallies["long"].large_share, 1.0)

    def test_hardly_anything_is_held_back(self) -> None:
        for kind, tally in played(QUIET).tallies.items():
            self.assertLess(tally.held / tally.asked, 0.03, kind)

    def test_memory_moves_within_zones(self) -> None:
        world = played(QUIET)
        self.assertLess(world.moved_far_gb, 0.1 * world.moved_gb)


class ABusyFleet(unittest.TestCase):
    """Load that the instances can just do."""

    def test_worth(self) -> None:
        self.assertGreater(worth(played(BUSY)), 0.85)

    def test_none_is_refused_while_places_are_free_and_nothing_waits(self) -> None:
        self.assertEqual(sum(tally.refused_early for tally in played(BUSY).tallies.values()), 0)

    def test_both_ways_are_used(self) -> None:
        tallies = played(BUSY).tallies
        self.assertGreater(tallies["long"].split / tallies["long"].asked, 0.5)
        self.assertLess(tallies["short"].split / tallies["short"].asked, 0.5)

    def test_shared_parts_are_found_again(self) -> None:
        """Much less is read again than if each prompt's shared parts were read anew."""
        for seed in (1, 2, 3):
            self.assertLess(shared_read_again(played(BUSY, seed)), 0.1, f"seed {seed}")

    def test_blind_gateways_spread_their_load(self) -> None:
        """No instance of a stage is given much more than the others."""
        world = played(BUSY)
        for stage in ("prefill", "decode"):
            read = [server.tokens_read for server in world.servers.values() if server.stage == stage]
            self.assertLess(max(read), 2.0 * sum(read) / len(read), stage)


class ABusyFleetWithStageOrders(unittest.TestCase):
    """The same load while the leader moves instances between the stages."""

    @staticmethod
    @cache
    def played(seed: int) -> World:
        """A run with the default settings."""
        return World(PlannerSettings(), BUSY, seed=seed, seconds=12.0, stage_orders=True).run()

    def test_instances_are_moved(self) -> None:
        orders = self.played(1).stage_orders
        assert orders is not None
        self.assertGreater(orders.orders, 0)
        self.assertLess(orders.orders, 12)

    def test_shared_parts_are_found_again(self) -> None:
        for seed in (1, 2, 3):
            self.assertLess(shared_read_again(self.played(seed)), 0.1, f"seed {seed}")

    def test_worth(self) -> None:
        for seed in (1, 2, 3):
            self.assertGreater(worth(self.played(seed)), 0.85, f"seed {seed}")

    def test_no_booking_is_left_behind(self) -> None:
        for planner in self.played(1).planners:
            self.assertEqual(planner.bookings, {})


class AnOverloadedFleet(unittest.TestCase):
    """Twice what the instances can do."""

    def test_some_are_refused(self) -> None:
        tallies = played(OVER).tallies.values()
        asked = sum(tally.asked for tally in tallies)
        self.assertGreater(sum(tally.refusals for tally in tallies) / asked, 0.01)

    def test_refusals_come_when_something_waits(self) -> None:
        tallies = played(OVER).tallies.values()
        early, refusals = sum(t.refused_early for t in tallies), sum(t.refusals for t in tallies)
        self.assertLess(early, 0.1 * refusals)

    def test_the_largest_are_served_half_as_often_as_their_kind(self) -> None:
        worlds = [played(OVER, seed) for seed in (1, 2, 3)]
        served = sum(world.tallies["long"].served for world in worlds)
        largest = sum(world.tallies["long"].large_share for world in worlds)
        self.assertGreaterEqual(largest, 0.5 * served)

    def test_the_most_urgent_kind_is_served_no_less_than_others(self) -> None:
        tallies = played(OVER).tallies
        self.assertGreater(tallies["medium"].served, tallies["long"].served - 0.05)

    def test_no_booking_is_left_behind(self) -> None:
        for planner in played(OVER).planners:
            self.assertEqual(planner.bookings, {})
            for book in planner.table.instances.values():
                self.assertEqual((book.occupied_slots, book.occupied_tokens, book.pending_tokens), (0, 0, 0))
                self.assertEqual((len(book.pending_prefills), book.timer.units_in_flight), (0, 0))


class OtherFleets(unittest.TestCase):
    """Shapes beside the usual one."""

    def test_decode_instances_alone(self) -> None:
        world = World(PlannerSettings(), 0.3, prefill=0, decode=9, seconds=6.0).run()
        for kind, tally in world.tallies.items():
            self.assertEqual(tally.split, 0)
            self.assertGreater(tally.served, 0.95, kind)

    def test_one_subject_shared_by_all_is_read_at_several_instances(self) -> None:
        """A key's home is left when it is overloaded."""
        hot = Kind("hot", 60.0, ((1000, 1), (1000, 1)), 2500, 0.3, 5000, 10, 0.4, 3.0, 1.0, 0)
        world = World(PlannerSettings(), 1.0, seconds=8.0, kinds=(hot,)).run()
        read = [server.tokens_read for server in world.servers.values() if server.stage == "prefill"]
        self.assertGreater(sorted(read)[-2], 0.2 * max(read))
        self.assertGreater(world.tallies["hot"].served, 0.95)

    def test_an_instance_that_stands_still_is_passed_over(self) -> None:
        world = World(PlannerSettings(), QUIET, seconds=12.0)
        victim = next(server for server in world.servers.values() if server.stage == "prefill")
        before: list[int] = []
        world.at(4.0, lambda: setattr(victim, "down_until", 9.0))
        world.at(6.0, lambda: before.append(victim.arrivals))
        world.at(9.0, lambda: before.append(victim.arrivals))
        world.run()
        asked = sum(tally.asked for tally in world.tallies.values())
        self.assertLess(before[1] - before[0], 0.08 * asked * 3.0 / 12.0)
        self.assertGreater(sum(t.in_time + t.late + t.again for t in world.tallies.values()) / asked, 0.85)


def main() -> None:
    """Report at several loads."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    for load in [float(value) for value in sys.argv[2:]] or [0.6, 1.0, 1.4, 2.0]:
        print(f"-- load {load}")
        print(report(World(PlannerSettings(), load, seconds=seconds).run()), flush=True)


if __name__ == "__main__":
    main()
