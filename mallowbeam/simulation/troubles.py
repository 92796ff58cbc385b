"""Commands of scenarios that any world of machines has: ends, freezes, cuts, slow paths, disks, clocks.

Where a command takes a machine it also takes ``all`` or the name of a group that the player declares::

    at 1 start M      kill M      power-off M     freeze M    thaw M
    at 1 slow M 0.002                     each step of its process takes so many seconds; 0: as usual
    at 1 clock M 1.1                      its steady clock goes so many seconds a second
    at 1 cut A B      cut A > B   isolate M       heal        heal A B
    at 1 path A B 0.01 0.05 [LOSS]        least and most delay in seconds; also with all on one side
    at 1 slow-disk M  stall-disk M  fill-disk M   mend-disk M
"""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.disk import SLOW_LATENCY, Disk
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.network import Network, Path
from mallowbeam.simulation.scenario import ScenarioPlayer


class MachinesPlayer(ScenarioPlayer):
    """A player of scenarios on machines and a network."""

    def prepare(self) -> None:
        """Make the network."""
        self.network = Network(self.simulator)
        self.disks: dict[str, Disk] = {}
        self.groups: dict[str, list[str]] = {}

    def add_machine(
        self, name: str, boot: Step | None = None, group: str = "", disk: bool = False, ip: str = ""
    ) -> Machine:
        """Take a machine in; it is off."""
        machine = self.network.add(Machine(self.simulator, name, boot, ip))
        if group:
            self.groups.setdefault(group, []).append(name)
        if disk:
            self.disks[name] = Disk(machine)
        return machine

    def names(self, word: str) -> list[str]:
        """The machines that a word stands for; raises LookupError."""
        if word == "all":
            return list(self.network.machines)
        if word in self.groups:
            return self.groups[word]
        if word not in self.network.machines:
            raise LookupError(f"no machine {word!r}")
        return [word]

    def _each(self, words: tuple[str, ...], action: Callable[[Machine], None]) -> None:
        if not words:
            raise ValueError("no machine is named")
        for word in words:
            for name in self.names(word):
                action(self.network.machines[name])

    # ------------------------------------------------------------ processes

    def do_start(self, *words: str) -> None:
        """Start processes that don't run."""
        self._each(words, Machine.start)

    def do_kill(self, *words: str) -> None:
        """End processes."""
        self._each(words, Machine.kill)

    def do_power_off(self, *words: str) -> None:
        """Take machines' power."""
        self._each(words, Machine.power_off)

    def do_freeze(self, *words: str) -> None:
        """Stop processes where they are."""
        self._each(words, Machine.freeze)

    def do_thaw(self, *words: str) -> None:
        """Let frozen processes go on."""
        self._each(words, Machine.thaw)

    def do_slow(self, word: str, seconds: str) -> None:
        """Have each step take time."""
        for name in self.names(word):
            self.network.machines[name].step_cost = float(seconds)

    def do_clock(self, word: str, rate: str) -> None:
        """Have steady clocks go faster or slower."""
        for name in self.names(word):
            self.network.machines[name].set_clock_rate(float(rate))

    # ------------------------------------------------------------ paths

    def do_cut(self, one: str, *rest: str) -> None:
        """Cut paths, one way or both."""
        match rest:
            case (">", other):
                both = False
            case (other,):
                both = True
            case _:
                raise ValueError("needs cut A B or cut A > B")
        for sender in self.names(one):
            for recipient in self.names(other):
                self.network.cut(sender, recipient, both)

    def do_isolate(self, *words: str) -> None:
        """Cut machines off from all others."""
        self._each(words, lambda machine: self.network.isolate(machine.name))

    def do_heal(self, one: str | None = None, other: str | None = None) -> None:
        """End cuts."""
        for name in (one, other):
            if name is not None:
                self.names(name)
        self.network.heal(one, other)

    def do_path(self, one: str, other: str, least: str, most: str, loss: str = "0") -> None:
        """Have paths take long or lose messages."""
        path = Path(float(least), float(most), float(loss))
        for sender in self.names(one):
            for recipient in self.names(other):
                if sender != recipient:
                    self.network.set_path(sender, recipient, path)

    # ------------------------------------------------------------ disks

    def do_slow_disk(self, word: str) -> None:
        """Have writes take long."""
        for disk in self._disks(word):
            disk.latency = SLOW_LATENCY

    def do_stall_disk(self, word: str) -> None:
        """Have no write end."""
        for disk in self._disks(word):
            disk.stall()

    def do_fill_disk(self, word: str) -> None:
        """Have writes refused."""
        for disk in self._disks(word):
            disk.full = True

    def do_mend_disk(self, word: str) -> None:
        """End a disk's troubles."""
        for disk in self._disks(word):
            disk.mend()

    def _disks(self, word: str) -> list[Disk]:
        return [self.disks[name] for name in self.names(word)]
