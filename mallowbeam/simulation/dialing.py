"""Connection establishment between simulated machines: listening ports and connection requests.

A port without a listener refuses at once; a machine that is off or behind a partition does not respond.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowbeam.simulation.machine import End, Machine
from mallowbeam.simulation.network import Network
from mallowbeam.simulation.stream import Endpoint

CONNECT_RETRY_S = 1.0  # delay of the first retransmission of a connection request; doubles each time
FIRST_FREE_PORT = 32768


@dataclass(slots=True)
class Dial:
    """A connection attempt; `opened` or `refused` is called once, as a step of the process.

    A caller that stops waiting sets `cancelled`; it is also set when the process ends.
    """

    opened: Callable[[Endpoint], None]
    refused: Callable[[OSError], None]
    cancelled: bool = False


@dataclass(slots=True)
class _Listener:
    accept: Callable[[Endpoint], None]


@dataclass(slots=True)
class _MachineConnections:
    """The open endpoints and the connection attempts of a machine's process."""

    endpoints: list[Endpoint] = field(default_factory=list)
    dials: list[Dial] = field(default_factory=list)

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint and forget those that are closed."""
        self.endpoints = [existing for existing in self.endpoints if not existing.closed]
        self.endpoints.append(endpoint)

    def add_dial(self, dial: Dial) -> None:
        """Add a connection attempt and forget those that were cancelled."""
        self.dials = [existing for existing in self.dials if not existing.cancelled]
        self.dials.append(dial)

    def process_ended(self, end: End) -> None:
        """Cancel all attempts and close all endpoints."""
        for dial in self.dials:
            dial.cancelled = True
        for endpoint in self.endpoints:
            endpoint.process_ended(end)
        self.dials = []
        self.endpoints = []


class Streams:
    """Opens streams between the machines of one network."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._simulator = network.simulator
        self._listeners: dict[tuple[str, int], _Listener] = {}  # by machine and port
        self._connections: dict[str, _MachineConnections] = {}
        self._next_port = FIRST_FREE_PORT

    def listen(self, machine: Machine, port: int, accept: Callable[[Endpoint], None]) -> None:
        """Accept connections at a port; `accept` is a step of the process. Raises OSError if it is in use."""
        if (machine.name, port) in self._listeners:
            raise OSError(f"{machine.ip}:{port}: address already in use")
        self._watch_process_end(machine)
        self._listeners[machine.name, port] = _Listener(accept)

    def stop_listening(self, machine: Machine, port: int) -> None:
        """Stop accepting connections at a port."""
        self._listeners.pop((machine.name, port), None)

    def connect(self, machine: Machine, ip: str, port: int, dial: Dial) -> None:
        """Open a stream to an address; retries until the stream is opened, refused or cancelled."""
        self._watch_process_end(machine)
        self._connections[machine.name].add_dial(dial)
        self._send_connect(machine, ip, port, dial, CONNECT_RETRY_S)

    def _send_connect(self, machine: Machine, ip: str, port: int, dial: Dial, backoff: float) -> None:
        """Send a connection request; retries after `backoff` seconds if the target is unreachable."""
        if dial.cancelled:
            return
        target = self._machine_at(ip)
        if target is not None and self._reaches(machine, target):
            delay = self._network.delay(machine.name, target.name)
            self._simulator.after(delay, lambda: self._connect_arrived(machine, target, port, dial, backoff))
        else:
            self._retry_connect(machine, ip, port, dial, backoff)

    def _retry_connect(self, machine: Machine, ip: str, port: int, dial: Dial, backoff: float) -> None:
        """Send the connection request again after `backoff` seconds, and double the backoff."""
        machine.after_true(backoff, lambda: self._send_connect(machine, ip, port, dial, 2 * backoff))

    def _connect_arrived(
        self, machine: Machine, target: Machine, port: int, dial: Dial, backoff: float
    ) -> None:
        """Handle a connection request that reaches the target machine."""
        if dial.cancelled:
            return
        if not self._reaches(machine, target):
            self._retry_connect(machine, target.ip, port, dial, backoff)
            return
        delay = self._network.delay(target.name, machine.name)
        listener = self._listeners.get((target.name, port))
        if listener is None:
            error = ConnectionRefusedError(f"{target.ip}:{port}: connection refused")
            self._simulator.after(delay, lambda: machine.after_true(0.0, lambda: self._refuse(dial, error)))
            return
        client, server = (
            Endpoint(self._network, machine, self._allocate_port()),
            Endpoint(self._network, target, port),
        )
        client.peer, server.peer = server, client
        self._connections[machine.name].add(client)
        self._connections[target.name].add(server)
        target.after_true(0.0, lambda: listener.accept(server))
        self._simulator.after(delay, lambda: machine.after_true(0.0, lambda: self._open(dial, client)))

    def _refuse(self, dial: Dial, error: OSError) -> None:
        if not dial.cancelled:
            dial.refused(error)

    def _open(self, dial: Dial, client: Endpoint) -> None:
        """Hand the connection to the caller, or abort it if the attempt was cancelled meanwhile."""
        if dial.cancelled:
            client.abort()
        else:
            dial.opened(client)

    def _reaches(self, one: Machine, other: Machine) -> bool:
        """Whether messages pass both ways and the other machine is on."""
        both = self._network.passes(one.name, other.name) and self._network.passes(other.name, one.name)
        return both and other.powered

    def _machine_at(self, ip: str) -> Machine | None:
        return next((machine for machine in self._network.machines.values() if machine.ip == ip), None)

    def _allocate_port(self) -> int:
        self._next_port += 1
        return self._next_port

    def _watch_process_end(self, machine: Machine) -> None:
        """Register for the end of a machine's process, once."""
        if machine.name not in self._connections:
            self._connections[machine.name] = _MachineConnections()
            machine.on_end(lambda end: self._process_ended(machine, end))

    def _process_ended(self, machine: Machine, end: End) -> None:
        for name, port in [key for key in self._listeners if key[0] == machine.name]:
            del self._listeners[name, port]
        self._connections[machine.name].process_ended(end)
