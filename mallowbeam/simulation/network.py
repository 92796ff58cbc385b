"""Network paths between machines: delay, loss, duplication, reordering, and one-way or full partitions."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.simulation.clock import Simulator, Step
from mallowbeam.simulation.machine import Machine


@dataclass(frozen=True, slots=True)
class Path:
    """Properties of the path from one machine to another, one direction."""

    min_delay: float = 0.0005  # seconds
    max_delay: float = 0.003
    loss: float = 0.0  # probability that a message is lost
    duplicates: float = 0.0  # probability that a message arrives twice
    reordered: bool = False  # False: messages of one direction arrive in order
    bandwidth: float = 0.0  # bytes per second for streams; 0: unlimited


class Network:
    """All machines by name and the paths between them; sends datagrams (streams are in `stream`)."""

    def __init__(self, simulator: Simulator, path: Path | None = None) -> None:
        self.simulator = simulator
        self.machines: dict[str, Machine] = {}
        self.default = path or Path()
        self._paths: dict[tuple[str, str], Path] = {}
        self._partitions: set[tuple[str, str]] = set()
        # Latest arrival time on paths that keep the order of messages.
        self._last_arrival: dict[tuple[str, str], float] = {}
        # For paths with limited bandwidth: time at which all queued bytes have been sent.
        self._busy_until: dict[tuple[str, str], float] = {}

    def add(self, machine: Machine) -> Machine:
        """Add a machine; its name must be new."""
        assert machine.name not in self.machines, machine.name
        self.machines[machine.name] = machine
        return machine

    # ------------------------------------------------------------ paths

    def path(self, sender: str, recipient: str) -> Path:
        """The path from one machine to another."""
        return self._paths.get((sender, recipient), self.default)

    def set_path(self, one: str, other: str, path: Path, both: bool = True) -> None:
        """Replace the default path between two machines, in one or both directions."""
        self._paths[one, other] = path
        if both:
            self._paths[other, one] = path

    def partition(self, one: str, other: str, both: bool = True) -> None:
        """Drop everything between two machines, in one or both directions."""
        if one != other:
            self._partitions.add((one, other))
            if both:
                self._partitions.add((other, one))

    def isolate(self, name: str) -> None:
        """Partition a machine from all others."""
        for other in self.machines:
            self.partition(name, other)

    def heal(self, one: str | None = None, other: str | None = None) -> None:
        """End all partitions, those of one machine, or those between two machines; path properties stay."""
        if one is None:
            self._partitions.clear()
            return
        self._partitions = {
            pair for pair in self._partitions if one not in pair or (other is not None and other not in pair)
        }

    def passes(self, sender: str, recipient: str) -> bool:
        """Whether messages pass from one machine to another now."""
        return (sender, recipient) not in self._partitions

    def delay(self, sender: str, recipient: str, size: int = 0) -> float:
        """Draw the delay in seconds of the next `size` bytes; keeps their order unless the path reorders."""
        path, now = self.path(sender, recipient), self.simulator.now
        sent = self._sent_at(sender, recipient, size / path.bandwidth) if path.bandwidth else now
        arrival = sent + self.simulator.random.uniform(path.min_delay, path.max_delay)
        if not path.reordered:
            arrival = max(arrival, self._last_arrival.get((sender, recipient), 0.0))
            self._last_arrival[sender, recipient] = arrival
        return arrival - now

    def _sent_at(self, sender: str, recipient: str, seconds: float) -> float:
        """Queue bytes whose transmission takes `seconds`; returns the time at which they have been sent."""
        start = max(self.simulator.now, self._busy_until.get((sender, recipient), 0.0))
        self._busy_until[sender, recipient] = start + seconds
        return start + seconds

    def drop_queued(self, sender: str, recipient: str) -> None:
        """Drop the bytes queued for a path because their connection has ended."""
        self._busy_until.pop((sender, recipient), None)
        self._last_arrival.pop((sender, recipient), None)

    # ------------------------------------------------------------ datagrams

    def send(self, sender: Machine, recipient: str, deliver: Step) -> None:
        """Send a datagram; `deliver` runs zero to two times, each as a step of the recipient's process."""
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
