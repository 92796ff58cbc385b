"""Scenario commands for any set of machines: crashes, freezes, partitions, slow paths, disk and clock faults.

A command that takes a machine also takes ``all`` or the name of a group that the player declares::

    at 1 start M      kill M      power-off M     freeze M    thaw M
    at 1 slow M 0.002                     duration of each step of its process in seconds; 0 ends the fault
    at 1 clock M 1.1                      rate of its monotonic clock
    at 1 cut A B      cut A > B   isolate M       heal        heal A B
    at 1 path A B 0.01 0.05 [LOSS]        minimum and maximum delay in seconds; A or B may be ``all``
    at 1 slow-disk M  stall-disk M  fill-disk M   mend-disk M
"""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.disk import SLOW_LATENCY_RANGE_S, Disk
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.network import Network, Path
from mallowbeam.simulation.scenario import ScenarioPlayer


class MachinesPlayer(ScenarioPlayer):
    """Plays scenarios on machines and a network."""

    def prepare(self) -> None:
        """Create the network."""
        self.network = Network(self.simulator)
        self.disks: dict[str, Disk] = {}
        self.groups: dict[str, list[str]] = {}

    def add_machine(
        self, name: str, boot: Step | None = None, group: str = "", disk: bool = False, ip: str = ""
    ) -> Machine:
        """Add a machine, which is off until it is started."""
        machine = self.network.add(Machine(self.simulator, name, boot, ip))
        if group:
            self.groups.setdefault(group, []).append(name)
        if disk:
            self.disks[name] = Disk(machine)
        return machine

    def names(self, target: str) -> list[str]:
        """Names of the machines of `target` (a machine, a group or ``all``); raises LookupError."""
        if target == "all":
            return list(self.network.machines)
        if target in self.groups:
            return self.groups[target]
        if target not in self.network.machines:
            raise LookupError(f"no machine {target!r}")
        return [target]

    def _for_each_machine(self, targets: tuple[str, ...], action: Callable[[Machine], None]) -> None:
        if not targets:
            raise ValueError("the command names no machine")
        for target in targets:
            for name in self.names(target):
                action(self.network.machines[name])

    # ------------------------------------------------------------ processes

    def do_start(self, *targets: str) -> None:
        """Start processes that do not run."""
        self._for_each_machine(targets, Machine.start)

    def do_kill(self, *targets: str) -> None:
        """Kill processes."""
        self._for_each_machine(targets, Machine.kill)

    def do_power_off(self, *targets: str) -> None:
        """Turn machines off."""
        self._for_each_machine(targets, Machine.power_off)

    def do_freeze(self, *targets: str) -> None:
        """Suspend processes."""
        self._for_each_machine(targets, Machine.freeze)

    def do_thaw(self, *targets: str) -> None:
        """Resume frozen processes."""
        self._for_each_machine(targets, Machine.thaw)

    def do_slow(self, target: str, seconds: str) -> None:
        """Make each step of a process take `seconds`."""
        for name in self.names(target):
            self.network.machines[name].step_cost = float(seconds)

    def do_clock(self, target: str, rate: str) -> None:
        """Change the rate of monotonic clocks."""
        for name in self.names(target):
            self.network.machines[name].set_clock_rate(float(rate))

    # ------------------------------------------------------------ paths

    def do_partition(self, one: str, *rest: str) -> None:
        """Partition machines, one way (``cut A > B``) or both ways (``cut A B``)."""
        match rest:
            case (">", other):
                both = False
            case (other,):
                both = True
            case _:
                raise ValueError("expected cut A B or cut A > B")
        for sender in self.names(one):
            for recipient in self.names(other):
                self.network.partition(sender, recipient, both)

    def do_isolate(self, *targets: str) -> None:
        """Partition machines from all others."""
        self._for_each_machine(targets, lambda machine: self.network.isolate(machine.name))

    def do_heal(self, one: str | None = None, other: str | None = None) -> None:
        """End all partitions, those of one machine, or those between two machines."""
        for name in (one, other):
            if name is not None:
                self.names(name)
        self.network.heal(one, other)

    def do_path(self, one: str, other: str, minimum: str, maximum: str, loss: str = "0") -> None:
        """Set the minimum and maximum delay in seconds and the loss probability of paths."""
        path = Path(float(minimum), float(maximum), float(loss))
        for sender in self.names(one):
            for recipient in self.names(other):
                if sender != recipient:
                    self.network.set_path(sender, recipient, path)

    # ------------------------------------------------------------ disks

    def do_slow_disk(self, target: str) -> None:
        """Increase the write latency of disks."""
        for disk in self._disks_of(target):
            disk.latency = SLOW_LATENCY_RANGE_S

    def do_stall_disk(self, target: str) -> None:
        """Stop disks from completing writes."""
        for disk in self._disks_of(target):
            disk.stall()

    def do_fill_disk(self, target: str) -> None:
        """Make writes fail with ENOSPC."""
        for disk in self._disks_of(target):
            disk.full = True

    def do_repair_disk(self, target: str) -> None:
        """Clear the faults of disks."""
        for disk in self._disks_of(target):
            disk.repair()

    def _disks_of(self, target: str) -> list[Disk]:
        return [self.disks[name] for name in self.names(target)]
