"""How streams between simulated machines are opened: listening ports and opening packets.

A port that nobody listens at refuses at once; a machine without power or behind a cut says nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowbeam.simulation.machine import End, Machine
from mallowbeam.simulation.network import Network
from mallowbeam.simulation.stream import Endpoint

CONNECT_RETRY_S = 1.0  # before an opening packet is sent again; doubles
FIRST_FREE_PORT = 32768


@dataclass(slots=True)
class Dial:
    """A connection that is being opened; `opened` or `refused` is called once, as a step of the process.

    `given_up` is set by who does not wait any longer, and at the end of the process.
    """

    opened: Callable[[Endpoint], None]
    refused: Callable[[OSError], None]
    given_up: bool = False


@dataclass(slots=True)
class _Listener:
    accept: Callable[[Endpoint], None]


@dataclass(slots=True)
class _Ends:
    """The ends of streams that a machine's process has, and those that it waits for."""

    endpoints: list[Endpoint] = field(default_factory=list)
    dials: list[Dial] = field(default_factory=list)

    def add(self, endpoint: Endpoint) -> None:
        """Take one in, and forget those that are over."""
        self.endpoints = [known for known in self.endpoints if not known.closed]
        self.endpoints.append(endpoint)

    def add_dial(self, dial: Dial) -> None:
        """Take one in, and forget those that are over."""
        self.dials = [known for known in self.dials if not known.given_up]
        self.dials.append(dial)

    def process_ended(self, end: End) -> None:
        """All are over."""
        for dial in self.dials:
            dial.given_up = True
        for endpoint in self.endpoints:
            endpoint.process_ended(end)
        self.dials, self.endpoints = [], []


class Streams:
    """Opens streams between the machines of a network."""

    def __init__(self, network: Network) -> None:
        self._network, self._simulator = network, network.simulator
        self._listeners: dict[tuple[str, int], _Listener] = {}  # by machine and port
        self._ends: dict[str, _Ends] = {}
        self._next_port = FIRST_FREE_PORT

    def listen(self, machine: Machine, port: int, accept: Callable[[Endpoint], None]) -> None:
        """Take connections at a port; `accept` is a step of the process. Raises OSError where it is taken."""
        if (machine.name, port) in self._listeners:
            raise OSError(f"{machine.ip}:{port}: address already in use")
        self._watch(machine)
        self._listeners[machine.name, port] = _Listener(accept)

    def stop_listening(self, machine: Machine, port: int) -> None:
        """Take no more connections."""
        self._listeners.pop((machine.name, port), None)

    def connect(self, machine: Machine, ip: str, port: int, dial: Dial) -> None:
        """Open a stream to an address; it goes on until it is opened, refused or given up."""
        self._watch(machine)
        self._ends[machine.name].add_dial(dial)
        self._knock(machine, ip, port, dial, CONNECT_RETRY_S)

    def _knock(self, machine: Machine, ip: str, port: int, dial: Dial, pause: float) -> None:
        """Send the opening packet, and again after a pause where nothing comes back."""
        if dial.given_up:
            return
        target = self._machine_at(ip)
        if target is not None and self._reaches(machine, target):
            delay = self._network.delay(machine.name, target.name)
            self._simulator.after(delay, lambda: self._knocked(machine, target, port, dial, pause))
        else:
            self._knock_again(machine, ip, port, dial, pause)

    def _knock_again(self, machine: Machine, ip: str, port: int, dial: Dial, pause: float) -> None:
        machine.after_true(pause, lambda: self._knock(machine, ip, port, dial, 2 * pause))

    def _knocked(self, machine: Machine, target: Machine, port: int, dial: Dial, pause: float) -> None:
        """The opening packet reaches a machine."""
        if dial.given_up:
            return
        if not self._reaches(machine, target):
            self._knock_again(machine, target.ip, port, dial, pause)
            return
        delay = self._network.delay(target.name, machine.name)
        listener = self._listeners.get((target.name, port))
        if listener is None:
            error = ConnectionRefusedError(f"{target.ip}:{port}: connection refused")
            self._simulator.after(delay, lambda: machine.after_true(0.0, lambda: self._refuse(dial, error)))
            return
        near, far = Endpoint(self._network, machine, self._free_port()), Endpoint(self._network, target, port)
        near.peer, far.peer = far, near
        self._ends[machine.name].add(near)
        self._ends[target.name].add(far)
        target.after_true(0.0, lambda: listener.accept(far))
        self._simulator.after(delay, lambda: machine.after_true(0.0, lambda: self._open(dial, near)))

    def _refuse(self, dial: Dial, error: OSError) -> None:
        if not dial.given_up:
            dial.refused(error)

    def _open(self, dial: Dial, near: Endpoint) -> None:
        """The opening packet is answered; a connection that nobody waits for any longer is ended."""
        if dial.given_up:
            near.abort()
        else:
            dial.opened(near)

    def _reaches(self, one: Machine, other: Machine) -> bool:
        both = self._network.passes(one.name, other.name) and self._network.passes(other.name, one.name)
        return both and other.powered

    def _machine_at(self, ip: str) -> Machine | None:
        return next((machine for machine in self._network.machines.values() if machine.ip == ip), None)

    def _free_port(self) -> int:
        self._next_port += 1
        return self._next_port

    def _watch(self, machine: Machine) -> None:
        """See to the streams of a machine when its process ends."""
        if machine.name not in self._ends:
            self._ends[machine.name] = _Ends()
            machine.on_end(lambda end: self._process_ended(machine, end))

    def _process_ended(self, machine: Machine, end: End) -> None:
        for name, port in [key for key in self._listeners if key[0] == machine.name]:
            del self._listeners[name, port]
        self._ends[machine.name].process_ended(end)
