"""Troubles of a random walk beyond what the fault model allows: only what must hold at all times is judged.

Disks are lost one at a time all the same: nothing could make up for more.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.loss_budget import CATCH_UP_S
from mallowbeam.simulation.network import Path

LONGEST_EXIT_S = 10  # from a SIGTERM


class UnboundedTroubles:
    """Draws troubles that last until others end them."""

    def __init__(self, player: FleetPlayer, random: Random) -> None:
        self.player, self._random = player, random
        self._next_wipe = 0.0
        self._troubles: Sequence[Callable[[], None]] = (
            self._kill,
            self._kill,
            self._power_off,
            self._start,
            self._start,
            self._start,
            self._freeze,
            self._thaw,
            self._thaw,
            self._cut,
            self._cut_one_way,
            self._isolate,
            self._heal,
            self._heal,
            self._lossy,
            self._stall_disk,
            self._slow_disk,
            self._fill_disk,
            self._mend_disks,
            self._mend_disks,
            self._power_off_all,
            self._wipe,
            self._wipe,
            self._term,
            self._clock,
        )

    def draw(self) -> None:
        """One trouble, or the end of some."""
        self._random.choice(self._troubles)()

    def mend_all(self) -> None:
        """End all troubles, and start again what is still ending."""
        for delay in range(1, LONGEST_EXIT_S + 1):
            self.player.simulator.after(float(delay), self._start)
        self._heal()
        self._mend_disks()
        self.player.network.default = Path()
        self._start()
        self._thaw()
        for machine in self.player.network.machines.values():
            machine.set_clock_rate(1.0)

    # ------------------------------------------------------------ processes

    def _member(self) -> str:
        if self._random.random() < 0.4 and self.player.holds(("leader",)):
            return "leader"
        return self._random.choice(list(self.player.members))

    def _process(self) -> str:
        return self._random.choice([self._member(), self._member(), *self.player.gateways])

    def _kill(self) -> None:
        self.player.do_kill(self._process())

    def _power_off(self) -> None:
        self.player.do_power_off(self._process())

    def _power_off_all(self) -> None:
        self.player.do_power_off("members")

    def _start(self) -> None:
        self.player.do_start("members", "gateways")

    def _freeze(self) -> None:
        self.player.do_freeze(self._process())

    def _thaw(self) -> None:
        self.player.do_thaw("members", "gateways")

    def _wipe(self) -> None:
        """Only where every disk counts: one that was lost before has been made up for."""
        now = self.player.simulator.now
        if now >= self._next_wipe and self.player.complete():
            self._next_wipe = now + CATCH_UP_S
            self.player.do_wipe(self._member())

    # ------------------------------------------------------------ paths and disks

    def _any(self) -> str:
        machines = self.player.network.machines
        return self._random.choice([name for name in machines if name not in self.player.operators])

    def _cut(self) -> None:
        self.player.do_cut(self._any(), self._any())

    def _cut_one_way(self) -> None:
        self.player.do_cut(self._member(), ">", self._any())

    def _isolate(self) -> None:
        self.player.do_isolate(self._any())

    def _heal(self) -> None:
        self.player.do_heal()

    def _lossy(self) -> None:
        loss = self._random.choice((0.0, 0.05, 0.3))
        self.player.network.default = Path(0.0005, self._random.choice((0.003, 0.05)), loss)

    def _stall_disk(self) -> None:
        self.player.do_stall_disk(self._member())

    def _slow_disk(self) -> None:
        self.player.do_slow_disk(self._member())

    def _fill_disk(self) -> None:
        self.player.do_fill_disk(self._member())

    def _mend_disks(self) -> None:
        self.player.do_mend_disk("members")

    # ------------------------------------------------------------ orderly ends and clocks

    def _term(self) -> None:
        self.player.do_term(self._member())

    def _clock(self) -> None:
        self.player.do_clock(self._process(), str(self._random.choice((0.95, 1.0, 1.05))))
