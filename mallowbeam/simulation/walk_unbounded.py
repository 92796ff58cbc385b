"""Faults of a random walk beyond the fault model; only guarantees that hold under any fault are checked.

Disks are still lost one at a time, because no replication could recover from more.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.loss_budget import CATCH_UP_S
from mallowbeam.simulation.network import Path

LONGEST_EXIT_S = 10  # from SIGTERM until a process has ended
LEADER_PROBABILITY = 0.4


class UnboundedFaults:
    """Draws faults that last until another draw ends them."""

    def __init__(self, player: FleetPlayer, random: Random) -> None:
        self.player = player
        self._random = random
        self._next_wipe = 0.0
        self._faults: Sequence[Callable[[], None]] = (
            self._kill,
            self._kill,
            self._power_off,
            self._start,
            self._start,
            self._start,
            self._freeze,
            self._thaw,
            self._thaw,
            self._partition,
            self._partition_one_way,
            self._isolate,
            self._heal,
            self._heal,
            self._lose_messages,
            self._stall_disk,
            self._slow_disk,
            self._fill_disk,
            self._repair_disks,
            self._repair_disks,
            self._power_off_all,
            self._wipe,
            self._wipe,
            self._terminate,
            self._change_clock_rate,
        )

    def draw(self) -> None:
        """Inject one fault, or end some."""
        self._random.choice(self._faults)()

    def repair_all(self) -> None:
        """End all faults, and restart processes that are still shutting down."""
        for delay in range(1, LONGEST_EXIT_S + 1):
            self.player.simulator.after(float(delay), self._start)
        self._heal()
        self._repair_disks()
        self.player.network.default = Path()
        self._start()
        self._thaw()
        for machine in self.player.network.machines.values():
            machine.set_clock_rate(1.0)

    # ------------------------------------------------------------ processes

    def _random_member(self) -> str:
        if self._random.random() < LEADER_PROBABILITY and self.player.holds(("leader",)):
            return "leader"
        return self._random.choice(list(self.player.members))

    def _random_process(self) -> str:
        return self._random.choice([self._random_member(), self._random_member(), *self.player.gateways])

    def _kill(self) -> None:
        self.player.do_kill(self._random_process())

    def _power_off(self) -> None:
        self.player.do_power_off(self._random_process())

    def _power_off_all(self) -> None:
        self.player.do_power_off("members")

    def _start(self) -> None:
        self.player.do_start("members", "gateways")

    def _freeze(self) -> None:
        self.player.do_freeze(self._random_process())

    def _thaw(self) -> None:
        self.player.do_thaw("members", "gateways")

    def _wipe(self) -> None:
        """Erase a disk, only if all members vote and earlier losses have been repaired."""
        now = self.player.simulator.now
        if now >= self._next_wipe and self.player.complete():
            self._next_wipe = now + CATCH_UP_S
            self.player.do_wipe(self._random_member())

    # ------------------------------------------------------------ paths and disks

    def _random_machine(self) -> str:
        machines = self.player.network.machines
        return self._random.choice([name for name in machines if name not in self.player.operators])

    def _partition(self) -> None:
        self.player.do_partition(self._random_machine(), self._random_machine())

    def _partition_one_way(self) -> None:
        self.player.do_partition(self._random_member(), ">", self._random_machine())

    def _isolate(self) -> None:
        self.player.do_isolate(self._random_machine())

    def _heal(self) -> None:
        self.player.do_heal()

    def _lose_messages(self) -> None:
        loss = self._random.choice((0.0, 0.05, 0.3))
        self.player.network.default = Path(0.0005, self._random.choice((0.003, 0.05)), loss)

    def _stall_disk(self) -> None:
        self.player.do_stall_disk(self._random_member())

    def _slow_disk(self) -> None:
        self.player.do_slow_disk(self._random_member())

    def _fill_disk(self) -> None:
        self.player.do_fill_disk(self._random_member())

    def _repair_disks(self) -> None:
        self.player.do_repair_disk("members")

    # ------------------------------------------------------------ shutdowns and clocks

    def _terminate(self) -> None:
        self.player.do_terminate(self._random_member())

    def _change_clock_rate(self) -> None:
        self.player.do_clock(self._random_process(), str(self._random.choice((0.95, 1.0, 1.05))))
