"""Loss of core machines at random sizes, members and times: lost disks, and a partition into two halves.

Each of the two scenario files of this kind covers one fixed time; here a seed draws the parameters.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from unittest import mock

from mallowbeam.router.consensus.quorum import Quorum, majority_of
from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.disk import Disk
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.machine import End
from mallowbeam.simulation.scenario import ViolationError

SEEDS = range(1, 13)
BROKEN_SEEDS = range(1, 9)
CHANGED_AT_S = 8.0  # the second configuration is sent then
RESPONDED_BY_S = 12.0
WRITE = Disk.write


def declarations(seed: int, members: list[str], gateways: int) -> list[str]:
    """The machines of a run, and a first configuration that all of them receive."""
    return [
        f"seed {seed}",
        f"members {' '.join(members)}",
        f"gateways {' '.join(f'g{number}' for number in range(1, gateways + 1))}",
        "instances a b c",
        "at 2 put 1 on 0",
        f"by {CHANGED_AT_S} expect gateways ready",
    ]


def disks_and_power_lost(seed: int) -> str:
    """The largest tolerable number of disks is lost with or soon after a response; all others lose power."""
    draw = Random(seed)
    members = [f"m{number}" for number in range(1, draw.randint(3, 8) + 1)]
    wiped = draw.sample(members, (len(members) - 1) // 2)
    others = [member for member in members if member not in wiped]
    lines = declarations(seed, members, draw.randint(1, 4))
    minority = draw.sample(others, len(members) - majority_of(len(members)))
    # A slow minority has not yet written an entry that the others have acknowledged.
    slow = draw.choice(([], minority, members, members))
    lines += [f"at {CHANGED_AT_S} slow-disk {member}" for member in slow]
    lines += [f"at {CHANGED_AT_S} put 2 on 1", f"by {RESPONDED_BY_S} expect taken 2"]
    # An action whose time has passed is done at once: right after the response.
    lost_at = CHANGED_AT_S + draw.choice((0.0, 0.0, 0.0, draw.uniform(0.0, 1.0)))
    lines += [f"at {lost_at:.3f} wipe {member}" for member in wiped]
    lines.append(f"at {lost_at:.3f} power-off {' '.join(others)} gateways")
    lines += [f"at {RESPONDED_BY_S} mend-disk {member}" for member in slow]
    back_at = RESPONDED_BY_S + draw.uniform(0.5, 3.0)
    for machine in draw.sample([*others, "gateways"], len(others) + 1):
        back_at += draw.choice((0.0, draw.uniform(0.0, 0.4)))
        lines.append(f"at {back_at:.3f} start {machine}")
    lines += [
        f"by {back_at + 10.0:.3f} expect members revision 2",
        f"by {back_at + 12.0:.3f} expect gateways revision 2",
        f"by {back_at + 13.0:.3f} expect gateways ready",
        f"at {back_at + 13.0:.3f} get",
        f"by {back_at + 15.0:.3f} expect read 2",
        f"end {back_at + 16.0:.3f}",
    ]
    return "\n".join(lines)


def core_partitioned_in_halves(seed: int) -> str:
    """Neither half has a majority; operators read and write meanwhile at members of both."""
    draw = Random(seed)
    members = [f"m{number}" for number in range(1, draw.choice((4, 6, 8)) + 1)]
    left = draw.sample(members, len(members) // 2)
    right = [member for member in members if member not in left]
    lines = declarations(seed, members, draw.randint(1, 4))
    lines += [f"at {CHANGED_AT_S} put 2 on 1", f"by {RESPONDED_BY_S} expect taken 2"]
    partition_at = RESPONDED_BY_S + draw.uniform(0.0, 1.0)
    healed_at = partition_at + draw.uniform(1.0, 6.0)
    lines += [f"at {partition_at:.3f} cut {one} {other}" for one in left for other in right]
    orders = [f"get via {draw.choice(left)}", f"get via {draw.choice(right)}", "put 3 on 2"]
    times = sorted(draw.uniform(partition_at, healed_at) for _ in orders)
    lines += [f"at {at:.3f} {order}" for at, order in zip(times, draw.sample(orders, 3), strict=True)]
    lines += [
        f"at {healed_at:.3f} heal",
        f"by {healed_at + 8.0:.3f} expect members revision 3",
        f"by {healed_at + 10.0:.3f} expect gateways revision 3",
        f"at {healed_at + 10.0:.3f} get",
        f"by {healed_at + 12.0:.3f} expect read 3",
        f"always gateways a ready from {CHANGED_AT_S} to {healed_at + 10.0:.3f}",
        f"end {healed_at + 13.0:.3f}",
    ]
    return "\n".join(lines)


class MachineLoss(unittest.TestCase):
    def test_disks_and_power_lost(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                FleetPlayer(disks_and_power_lost(seed)).play()

    def test_disks_and_power_lost_with_all_writes_in_flight(self) -> None:
        with mock.patch.object(Disk, "_process_ended", loses_writes_in_flight):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    FleetPlayer(disks_and_power_lost(seed)).play()

    def test_core_in_two_halves(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                FleetPlayer(core_partitioned_in_halves(seed)).play()


def value_of_one_less_than_majority(self: Quorum, of: Callable[[int], float]) -> float:
    """The value reached by one voter less than a majority of the incoming voters."""
    values = sorted((of(voter) for voter in self.incoming), reverse=True)
    return values[max(0, majority_of(len(values)) - 2)]


def acknowledges_before_it_is_durable(
    self: Disk, change: Step, done: Step, failed: Callable[[OSError], object] | None = None
) -> None:
    """A disk write that is reported as done at once, as if the sync were omitted."""
    WRITE(self, change, lambda: None, failed)
    self._machine.after_true(0.0, done)


def loses_writes_in_flight(self: Disk, _: End) -> None:
    """The hardest end of a process: no write in flight has reached the disk."""
    self._writes.clear()
    if self._sync is not None:
        self._sync.cancel()
        self._sync = None


class BrokenVariants(unittest.TestCase):
    """Members that acknowledge too early."""

    def is_detected(self, text: str) -> bool:
        try:
            FleetPlayer(text).play()
        except ViolationError:
            return True
        return False

    def test_acknowledgement_before_durability_is_detected(self) -> None:
        with (
            mock.patch.object(Disk, "_process_ended", loses_writes_in_flight),
            mock.patch.object(Disk, "write", acknowledges_before_it_is_durable),
        ):
            self.assertTrue(any(self.is_detected(disks_and_power_lost(seed)) for seed in BROKEN_SEEDS))

    def test_half_of_the_members_as_majority_is_detected(self) -> None:
        with mock.patch.object(Quorum, "majority_value", value_of_one_less_than_majority):
            self.assertTrue(any(self.is_detected(core_partitioned_in_halves(seed)) for seed in BROKEN_SEEDS))


if __name__ == "__main__":
    unittest.main()
