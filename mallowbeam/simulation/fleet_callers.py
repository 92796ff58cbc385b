"""Clients of the control API on simulated machines: base class, and instances that send heartbeats."""

from __future__ import annotations

import json
from collections.abc import Callable
from enum import Enum
from random import Random

from mallowbeam.simulation.fleet_history import ApiCall, is_success
from mallowbeam.simulation.fleet_processes import HEARTBEAT_MS, SimulatedMember
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.network import Network

CALL_TIMEOUT_S = 1.0  # per attempt
DRAIN_DURATION_S = 6.0  # from the start of a drain to the end of the instance


class InstanceState(Enum):
    """State that an instance reports; `GONE` is local, reported by a DELETE."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Caller:
    """A machine that sends requests to members over the network."""

    def __init__(self, machine: Machine, network: Network, members: dict[str, SimulatedMember]) -> None:
        self.machine = machine
        self._network = network
        self._members = members
        self.random = Random(machine.simulator.random.random())
        self.answer_loss = 0.0  # probability that a response is lost

    def any_member(self) -> str:
        """Draw a member that is not permanently removed; it may be off or unreachable for a while."""
        return self.random.choice([name for name, member in self._members.items() if not member.removed])

    def member_after(self, name: str) -> str:
        """The next member of the list, for a retry after a failed attempt."""
        names = list(self._members)
        return names[(names.index(name) + 1) % len(names)]

    def ask(self, name: str, call: ApiCall, answered: Callable[[int, bytes], None]) -> None:
        """Send a request once; `answered` is called once, with status 0 after :data:`CALL_TIMEOUT_S`."""
        finished = False

        def finish(status: int, body: bytes) -> None:
            nonlocal finished
            if not finished:
                finished = True
                answered(status, body)

        member = self._members[name]

        def reply(status: int, body: bytes) -> None:
            if self.random.random() < self.answer_loss:
                return
            self._network.send(member.machine, self.machine.name, lambda: finish(status, body))

        self._network.send(self.machine, name, lambda: member.call(call, reply))
        self.machine.later(CALL_TIMEOUT_S, lambda: finish(0, b""))


class SimulatedInstance(Caller):
    """An instance that sends heartbeats to one member, and to the next one after a failure."""

    def __init__(
        self, machine: Machine, network: Network, members: dict[str, SimulatedMember], address: str
    ) -> None:
        super().__init__(machine, network, members)
        self.address = address
        self.state = InstanceState.READY
        self.sequence = 0
        self.member = ""
        self.retired_at: float | None = None  # simulated time of the first acknowledged drain or end
        machine.boot = self._boot

    def drain(self) -> None:
        """Report that the instance is draining, and end it :data:`DRAIN_DURATION_S` later."""
        if self.state is InstanceState.READY:
            self.state = InstanceState.DRAINING
            self._send_heartbeat()
            self.machine.later(DRAIN_DURATION_S, self.delete)

    def delete(self) -> None:
        """Report the end of the instance until it is acknowledged, then end the process."""
        self.state = InstanceState.GONE
        call = ApiCall("DELETE", f"/mallowbeam/instances/{self.machine.name}")
        self._call(call, self.delete, self.machine.kill)

    def _boot(self) -> None:
        self.state = InstanceState.READY
        self.sequence = 0
        self.retired_at = None
        self._repeat_heartbeat()

    def _repeat_heartbeat(self) -> None:
        if self.state is not InstanceState.GONE:
            self._send_heartbeat()
            self.machine.later(HEARTBEAT_MS / 1000, self._repeat_heartbeat)

    def _send_heartbeat(self) -> None:
        self.sequence += 1
        body = {
            "backend": "s",
            "address": self.address,
            "zone": "z",
            "revision": "v1",
            "slots": 8,
            "state": self.state.value,
            "warmup_left_ms": 0,
            "stage": "decode",
            "sequence": self.sequence,
            "models": [{"name": "m", "revision": 1, "adapters": []}],
        }
        call = ApiCall("PUT", f"/mallowbeam/instances/{self.machine.name}", json.dumps(body).encode())
        self._call(call, lambda: None, lambda: None)

    def _call(self, call: ApiCall, retry: Callable[[], None], done: Callable[[], None]) -> None:
        self.member = called_member = self.member or self.any_member()
        retiring = self.state is not InstanceState.READY

        def answered(status: int, body: bytes) -> None:
            if not is_success(status):
                if self.member == called_member:  # no other call has moved to the next member meanwhile
                    self.member = self.member_after(called_member)
                retry()
                return
            if retiring and self.retired_at is None:
                self.retired_at = self.machine.simulator.now
            done()

        self.ask(self.member, call, answered)
