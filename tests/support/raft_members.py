"""Two small topics for tests of the fleet's log, and members of it in this process."""

from __future__ import annotations

import socket
import threading
import time
from pathlib import Path
from typing import Any

import msgspec

from mallowbeam.lab.rig import hold_port
from mallowbeam.storage_gateway.coordination.policy import PolicyVersion
from mallowbeam.storage_gateway.coordination.raft_node import (
    HeartbeatCommitted,
    Membership,
    RaftNode,
    ReplicaFailed,
    SubsystemsHosted,
)
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, Refusal, ReplicatedLog


class Add(Entry, frozen=True, tag="add"):
    """So much more."""

    amount: int


class Fail(Entry, frozen=True, tag="fail"):
    """Make the topic raise."""


class Sum(msgspec.Struct, frozen=True):
    """All that was added, by whom last, and what the policy allows."""

    total: int = 0
    by: str = ""
    most: int = 100


class Adder:
    """A topic: a sum that a policy's section bounds."""

    entries, state = Add | Fail, Sum

    def __init__(self, name: str) -> None:
        self.name = name

    def start(self) -> Sum:
        return Sum()

    def apply(self, states: Any, index: int, by: str, entry: Any) -> Sum | Refusal:
        state = states[self.name]
        if isinstance(entry, Fail):
            raise ZeroDivisionError("on purpose")
        if state.total + entry.amount > state.most:
            return Refusal(f"more than {state.most}", self.name, "add less")
        return msgspec.structs.replace(state, total=state.total + entry.amount, by=by)

    def apply_policy(self, states: Any, index: int, policy: Any) -> Sum | Refusal:
        state, section = states[self.name], getattr(policy, self.name)
        if section is None:
            return state
        if section["most"] < state.total:
            return Refusal("less than there is", f"{self.name}.most", f"allow {state.total} or more")
        return msgspec.structs.replace(state, most=section["most"])


def make_log(*names: str) -> ReplicatedLog:
    return ReplicatedLog([Adder(name) for name in names or ("shares", "pools")])


class Told:
    """What one member was told, in order."""

    def __init__(self) -> None:
        self.heard: list[Any] = []

    def __call__(self, heard: tuple[Any, ...]) -> None:
        self.heard += heard

    def of(self, kind: type) -> list[Any]:
        return [told for told in list(self.heard) if isinstance(told, kind)]

    @property
    def entries(self) -> list[Committed]:
        return [told for told in self.of(Committed) if told.entry is not None]

    def states(self) -> dict[str, Any]:
        return {told.topic: told.state for told in self.of(Committed)}


class Members:
    """Members of one fleet in this process, on the kernel's ports."""

    def __init__(self, folder: Path, size: int = 3) -> None:
        pairs = [hold_port(socket.SO_REUSEADDR) for _ in range(size)]
        self.folder, self.held = folder, [sock for sock, _ in pairs]
        self.addresses = {f"g{i}": f"127.0.0.1:{port}" for i, (_, port) in enumerate(pairs)}
        self.up: dict[str, RaftNode] = {}
        self.told: dict[str, Told] = {}
        self.marks = 0
        for name in self.addresses:
            self.start(name)

    def start(self, name: str, *topics: str) -> None:
        place = self.folder / name
        place.mkdir(parents=True, exist_ok=True)
        self.told[name] = Told()
        membership = Membership(name, f"{time.monotonic_ns()}", self.addresses)
        self.up[name] = RaftNode(membership, place, self.told[name], make_log(*topics))

    def stop(self, name: str) -> None:
        node = self.up.pop(name)
        node.close()
        while node.engine.tick_thread_alive():
            time.sleep(0.01)

    def close(self) -> None:
        for name in list(self.up):
            self.stop(name)
        for sock in self.held:
            sock.close()

    def until(self, holds: Any, seconds: float = 30.0) -> None:
        end = time.monotonic() + seconds
        while not holds():
            assert time.monotonic() < end, {name: told.heard[-5:] for name, told in self.told.items()}
            time.sleep(0.02)

    def lease_renewed(self, *names: str) -> None:
        """Until marks put in now have come back to these members (all), so that what was before is there."""
        for name in names or tuple(self.up):
            self.marks += 1
            number = self.marks

            def back(name: str = name, number: int = number) -> bool:
                if HeartbeatCommitted(number) in self.told[name].heard or self.told[name].of(ReplicaFailed):
                    return True
                self.up[name].propose_heartbeat(number)
                return False

            self.until(back)

    def push(self, name: str, base: int, body: str) -> Any:
        """A push's end."""
        self.lease_renewed(name)  # a leader is there: what is put in is not lost
        over, ends = threading.Event(), list[Any]()
        self.up[name].propose_policy(base, body, lambda told: (ends.append(told), over.set()))
        assert over.wait(30)
        return ends[0]

    def put(self, name: str, topic: str, entry: Entry) -> None:
        """Put an entry in and wait until it is out, or a refusal of it."""
        self.lease_renewed(name)
        node, told = self.up[name], self.told[name]
        body, before = node.state.log.encode(topic, name, entry), len(told.entries)
        node.propose(body)
        self.until(lambda: len(told.entries) > before)


__all__ = [
    "Add",
    "Adder",
    "ReplicaFailed",
    "PolicyVersion",
    "Fail",
    "SubsystemsHosted",
    "Members",
    "Sum",
    "Told",
    "make_log",
]
