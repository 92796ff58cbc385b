"""Random schedules of the whole fleet: troubles drawn from a seed, then quiet, then all must be whole again.

``python -m mallowbeam.simulation.walk FIRST COUNT`` plays so many seeds and prints those that fail.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence

from mallowbeam.processes.logs import set_up_logging
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.network import Path
from mallowbeam.simulation.scenario import Violation

TROUBLES_BEGIN_S = 8.0
TROUBLES_END_S = 30.0
CATCH_UP_S = 4.0            # after a disk was lost, before the next one may be
WHOLE_AGAIN_S = 15.0        # after the last trouble
TEXT = """seed {seed}
members m1 m2 m3
gateways g1 g2
instances a b
at 2 put 1 on 0
by 8 expect gateways ready
"""


class Walk:
    """One random schedule."""

    def __init__(self, seed: int) -> None:
        self.player = FleetPlayer(TEXT.format(seed=seed))
        self._random = self.player.simulator.random
        self._revision = 1
        self._launched = 0
        self._next_wipe = 0.0
        self._troubles: Sequence[Callable[[], None]] = (
            self._kill, self._kill, self._power_off, self._start, self._start, self._start, self._freeze,
            self._thaw, self._thaw, self._cut, self._cut_one_way, self._isolate, self._heal, self._heal,
            self._lossy, self._stall_disk, self._slow_disk, self._fill_disk, self._mend_disks,
            self._mend_disks, self._power_off_all, self._wipe, self._wipe, self._put, self._put, self._put,
            self._get, self._drain, self._launch)

    def play(self) -> int:
        """Play it; the number of configurations that were acknowledged. Raises :class:`Violation`."""
        player = self.player
        player.play()
        pace = self._random.choice((0.1, 0.4, 1.0))
        player.simulator.at(TROUBLES_BEGIN_S, lambda: self._trouble(pace))
        player.simulator.run_until(TROUBLES_END_S)
        self._mend_all()
        self._put()
        if player.simulator.run_while(lambda: not self._whole(), TROUBLES_END_S + WHOLE_AGAIN_S):
            raise Violation(f"seed {player.simulator.seed}: not whole again in time\n{self._view()}")
        player.do_get()
        player.simulator.run_until(player.simulator.now + 2.0)
        return sum(order.state == "taken" for order in player.operator.orders.values())

    def _trouble(self, pace: float) -> None:
        if self.player.simulator.now < TROUBLES_END_S:
            self._random.choice(self._troubles)()
            self.player.simulator.after(self._random.expovariate(1 / pace), lambda: self._trouble(pace))

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
        return self._random.choice([name for name in self.player.network.machines if name != "operator"])

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

    # ------------------------------------------------------------ callers

    def _put(self) -> None:
        """A change of the newest version that the operator knows of, or of an older one."""
        operator = self.player.operator
        based_on = operator.acknowledged if self._random.random() < 0.9 else max(0, operator.acknowledged - 1)
        self._revision += self._random.randint(1, 3)
        operator.put(self._revision, based_on)

    def _get(self) -> None:
        self.player.do_get()

    def _drain(self) -> None:
        name = self._random.choice(list(self.player.instances))
        instance = self.player.instances[name]
        if instance.machine.running:
            instance.drain()

    def _launch(self) -> None:
        if self._launched < 10:
            self._launched += 1
            self.player.do_launch(f"i{self._launched}")

    # ------------------------------------------------------------ the end

    def _mend_all(self) -> None:
        self._heal()
        self._mend_disks()
        self.player.network.default = Path()
        self._start()
        self._thaw()

    def _whole(self) -> bool:
        """All vote, each call has an answer, all have the newest configuration and agree on what has left."""
        player = self.player
        orders = player.operator.orders.values()
        newest = str(player.operator.acknowledged)
        if any(order.state == "pending" for order in orders) or not player.holds(("voters", "3")):
            return False
        wanted = (("members", "revision", newest), ("gateways", "revision", newest), ("gateways", "ready"))
        if not all(player.holds(condition) for condition in wanted):
            return False
        return all(self._settled(name) for name in player.instances)

    def _settled(self, name: str) -> bool:
        """Whether all gateways know what an instance last said."""
        instance = self.player.instances[name]
        wanted = instance.state if instance.machine.running else "absent"
        return self.player.holds(("gateways", name, "absent" if wanted == "gone" else wanted))

    def _view(self) -> str:
        player = self.player
        lines = [player.state()]
        lines += [f"{name}: revision {gateway.revision}" for name, gateway in player.gateways.items()]
        lines += [f"{order.revision}: {order.state}" for order in player.operator.orders.values()
                  if order.state == "pending"]
        lines += [f"{name}: {instance.state}, {instance.machine.state.value}, at the gateways "
                  + ", ".join(gateway.instance_state(name) for gateway in player.gateways.values())
                  for name, instance in player.instances.items() if not self._settled(name)]
        return "\n".join(lines)


def play(seed: int) -> int:
    """Play one seed; what fails names it."""
    try:
        return Walk(seed).play()
    except Exception as error:
        error.add_note(f"fleet walk, seed {seed}: python -m mallowbeam.simulation.walk {seed} 1")
        raise


def main() -> int:
    """Play seeds by the command line; 1 where one fails."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    set_up_logging("walk")
    failed = taken = 0
    for seed in range(first, first + count):
        try:
            taken += play(seed)
        except Exception as error:
            failed += 1
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
    print(f"{count} schedules from seed {first}: {failed} failed, {taken} configurations were acknowledged")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
