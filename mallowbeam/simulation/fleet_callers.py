"""Who calls the control API on simulated machines, and instances with their heartbeats."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random

from mallowbeam.simulation.fleet_history import ApiCall
from mallowbeam.simulation.fleet_processes import HEARTBEAT_MS, SimulatedMember
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.network import Network

PATIENCE_S = 1.0  # for one answer
LEAVES_AFTER_S = 6.0  # from a drain's beginning to the instance's end


class Caller:
    """A machine that calls members over the network."""

    def __init__(self, machine: Machine, network: Network, members: dict[str, SimulatedMember]) -> None:
        self.machine, self._network, self._members = machine, network, members
        self.random = Random(machine.simulator.random.random())
        self.answer_loss = 0.0  # share of the answers that are lost on the way

    def any_member(self) -> str:
        """A member by chance."""
        return self.random.choice(list(self._members))

    def member_after(self, name: str) -> str:
        """The next member of the list, where one did not acknowledge."""
        names = list(self._members)
        return names[(names.index(name) + 1) % len(names)]

    def ask(self, name: str, call: ApiCall, answered: Callable[[int, bytes], None]) -> None:
        """One attempt; `answered` is called once, with status 0 where no answer came in time."""
        over = False

        def take(status: int, body: bytes) -> None:
            nonlocal over
            if not over:
                over = True
                answered(status, body)

        member = self._members[name]

        def reply(status: int, body: bytes) -> None:
            if self.random.random() < self.answer_loss:
                return
            self._network.send(member.machine, self.machine.name, lambda: take(status, body))

        self._network.send(self.machine, name, lambda: member.call(call, reply))
        self.machine.later(PATIENCE_S, lambda: take(0, b""))


class SimulatedInstance(Caller):
    """An instance: heartbeats to one member, to the next where that does not acknowledge."""

    def __init__(
        self, machine: Machine, network: Network, members: dict[str, SimulatedMember], address: str
    ) -> None:
        super().__init__(machine, network, members)
        self.address = address
        self.state, self.sequence, self.member = "ready", 0, ""
        self.retired_at: float | None = None  # when the drain or the end was first acknowledged
        machine.boot = self._boot

    def drain(self) -> None:
        """Say that it leaves; it does some seconds later."""
        if self.state == "ready":
            self.state = "draining"
            self._beat()
            self.machine.later(LEAVES_AFTER_S, self.delete)

    def delete(self) -> None:
        """Say that it has ended, until that is acknowledged, and end."""
        self.state = "gone"
        call = ApiCall("DELETE", f"/mallowbeam/instances/{self.machine.name}")
        self._call(call, self.delete, self.machine.kill)

    def _boot(self) -> None:
        self.state, self.sequence, self.retired_at = "ready", 0, None
        self._beat_on()

    def _beat_on(self) -> None:
        if self.state != "gone":
            self._beat()
            self.machine.later(HEARTBEAT_MS / 1000, self._beat_on)

    def _beat(self) -> None:
        self.sequence += 1
        body = {
            "backend": "s",
            "address": self.address,
            "zone": "z",
            "revision": "v1",
            "slots": 8,
            "state": self.state,
            "warmup_left_ms": 0,
            "stage": "decode",
            "sequence": self.sequence,
            "models": [{"name": "m", "revision": 1, "adapters": []}],
        }
        call = ApiCall("PUT", f"/mallowbeam/instances/{self.machine.name}", json.dumps(body).encode())
        self._call(call, lambda: None, lambda: None)

    def _call(self, call: ApiCall, again: Callable[[], None], done: Callable[[], None]) -> None:
        self.member = asked = self.member or self.any_member()
        leaving = self.state != "ready"

        def answered(status: int, body: bytes) -> None:
            if not 200 <= status < 300:
                if self.member == asked:  # no other call has moved on from it meanwhile
                    self.member = self.member_after(asked)
                again()
                return
            if leaving and self.retired_at is None:
                self.retired_at = self.machine.simulator.now
            done()

        self.ask(self.member, call, answered)
