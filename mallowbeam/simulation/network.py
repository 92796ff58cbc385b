"""Paths between machines: delay, loss, duplicates, order, and cuts that may be one-way."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.simulation.clock import Simulator, Step
from mallowbeam.simulation.machine import Machine


@dataclass(frozen=True, slots=True)
class Path:
    """How one way from one machine to another behaves."""

    least_delay: float = 0.0005  # seconds
    most_delay: float = 0.003
    loss: float = 0.0  # share of messages
    duplicates: float = 0.0
    reordered: bool = False  # else what takes one way arrives in its order
    bandwidth: float = 0.0  # bytes a second that streams carry; 0: any number


class Network:
    """All machines by name and the paths between them. Datagrams are sent here, streams in `stream`."""

    def __init__(self, simulator: Simulator, path: Path | None = None) -> None:
        self.simulator = simulator
        self.machines: dict[str, Machine] = {}
        self.default = path or Path()
        self._paths: dict[tuple[str, str], Path] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._arrival: dict[tuple[str, str], float] = {}
        self._busy_until: dict[tuple[str, str], float] = {}  # ways with a bandwidth: with what was sent

    def add(self, machine: Machine) -> Machine:
        """Take a machine in."""
        assert machine.name not in self.machines, machine.name
        self.machines[machine.name] = machine
        return machine

    # ------------------------------------------------------------ paths

    def path(self, sender: str, recipient: str) -> Path:
        """The way from one machine to another."""
        return self._paths.get((sender, recipient), self.default)

    def set_path(self, one: str, other: str, path: Path, both: bool = True) -> None:
        """Have a path behave otherwise than the default one."""
        self._paths[one, other] = path
        if both:
            self._paths[other, one] = path

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """Let nothing pass from one machine to another."""
        if one != other:
            self._cuts.add((one, other))
            if both:
                self._cuts.add((other, one))

    def isolate(self, name: str) -> None:
        """Cut a machine off from all others."""
        for other in self.machines:
            self.cut(name, other)

    def heal(self, one: str | None = None, other: str | None = None) -> None:
        """End all cuts, or those of one machine, or those between two; delays and loss stay."""
        if one is None:
            self._cuts.clear()
            return
        self._cuts = {cut for cut in self._cuts if one not in cut or (other is not None and other not in cut)}

    def passes(self, sender: str, recipient: str) -> bool:
        """Whether anything gets from one machine to another now."""
        return (sender, recipient) not in self._cuts

    def delay(self, sender: str, recipient: str, size: int = 0) -> float:
        """Seconds that the next `size` bytes on a way take, by its order if it keeps one."""
        path, now = self.path(sender, recipient), self.simulator.now
        sent = self._sent_at(sender, recipient, size / path.bandwidth) if path.bandwidth else now
        arrival = sent + self.simulator.random.uniform(path.least_delay, path.most_delay)
        if not path.reordered:
            arrival = max(arrival, self._arrival.get((sender, recipient), 0.0))
            self._arrival[sender, recipient] = arrival
        return arrival - now

    def _sent_at(self, sender: str, recipient: str, seconds: float) -> float:
        """When bytes that take so many seconds have left, behind those that wait."""
        begins = max(self.simulator.now, self._busy_until.get((sender, recipient), 0.0))
        self._busy_until[sender, recipient] = begins + seconds
        return begins + seconds

    def drop_waiting(self, sender: str, recipient: str) -> None:
        """Forget bytes that wait for a way: their connection is over."""
        self._busy_until.pop((sender, recipient), None)
        self._arrival.pop((sender, recipient), None)

    # ------------------------------------------------------------ datagrams

    def send(self, sender: Machine, recipient: str, deliver: Step) -> None:
        """Send a message: `deliver` is a step of the recipient's process, run never, once or more often."""
        path, random = self.path(sender.name, recipient), self.simulator.random
        copies = 2 if random.random() < path.duplicates else 1
        for _ in range(copies):
            if random.random() >= path.loss and self.passes(sender.name, recipient):
                self._deliver(sender.name, recipient, deliver)

    def _deliver(self, sender: str, recipient: str, deliver: Step) -> None:
        def arrive() -> None:
            machine = self.machines.get(recipient)
            if machine is not None and machine.powered and self.passes(sender, recipient):
                machine.after_true(0.0, deliver)

        self.simulator.after(self.delay(sender, recipient), arrive)
