"""Two small state machines for tests of the fleet's log, and members of it in this process."""

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
    """Add this amount."""

    amount: int


class Fail(Entry, frozen=True, tag="fail"):
    """Make the state machine raise."""


class Sum(msgspec.Struct, frozen=True):
    """The sum, the member that added last, and the limit of the policy."""

    total: int = 0
    by: str = ""
    most: int = 100


class Adder:
    """A state machine: a sum that a policy's section bounds."""

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


class EventRecorder:
    """Records the events of one member, in order."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def __call__(self, events: tuple[Any, ...]) -> None:
        self.events += events

    def of(self, kind: type) -> list[Any]:
        return [event for event in list(self.events) if isinstance(event, kind)]

    @property
    def entries(self) -> list[Committed]:
        return [committed for committed in self.of(Committed) if committed.entry is not None]

    def states(self) -> dict[str, Any]:
        return {committed.topic: committed.state for committed in self.of(Committed)}


class Members:
    """Members of one fleet in this process, on ports from the kernel."""

    def __init__(self, folder: Path, size: int = 3) -> None:
        pairs = [hold_port(socket.SO_REUSEADDR) for _ in range(size)]
        self.folder, self.sockets = folder, [sock for sock, _ in pairs]
        self.addresses = {f"g{i}": f"127.0.0.1:{port}" for i, (_, port) in enumerate(pairs)}
        self.running: dict[str, RaftNode] = {}
        self.recorded: dict[str, EventRecorder] = {}
        self.heartbeat_count = 0
        for name in self.addresses:
            self.start(name)

    def start(self, name: str, *topics: str) -> None:
        member_folder = self.folder / name
        member_folder.mkdir(parents=True, exist_ok=True)
        self.recorded[name] = EventRecorder()
        membership = Membership(name, f"{time.monotonic_ns()}", self.addresses)
        self.running[name] = RaftNode(membership, member_folder, self.recorded[name], make_log(*topics))

    def stop(self, name: str) -> None:
        node = self.running.pop(name)
        node.close()
        while node.engine.tick_thread_alive():
            time.sleep(0.01)

    def close(self) -> None:
        for name in list(self.running):
            self.stop(name)
        for sock in self.sockets:
            sock.close()

    def wait_until(self, condition: Any, seconds: float = 30.0) -> None:
        end = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < end, {
                name: recorded.events[-5:] for name, recorded in self.recorded.items()
            }
            time.sleep(0.02)

    def commit_heartbeats(self, *names: str) -> None:
        """Commit new heartbeats of these members (default: all), and so all entries before them."""
        for name in names or tuple(self.running):
            self.heartbeat_count += 1
            number = self.heartbeat_count

            def heartbeat_committed(name: str = name, number: int = number) -> bool:
                if HeartbeatCommitted(number) in self.recorded[name].events or self.recorded[name].of(
                    ReplicaFailed
                ):
                    return True
                self.running[name].propose_heartbeat(number)
                return False

            self.wait_until(heartbeat_committed)

    def push(self, name: str, base: int, body: str) -> Any:
        """Push a policy; returns the outcome."""
        self.commit_heartbeats(name)  # there is a leader, so the proposal is not lost
        done, outcomes = threading.Event(), list[Any]()
        self.running[name].propose_policy(base, body, lambda outcome: (outcomes.append(outcome), done.set()))
        assert done.wait(30)
        return outcomes[0]

    def propose_entry(self, name: str, topic: str, entry: Entry) -> None:
        """Propose an entry and wait until it is committed, or refused."""
        self.commit_heartbeats(name)
        node, recorded = self.running[name], self.recorded[name]
        body, before = node.state.log.encode(topic, name, entry), len(recorded.entries)
        node.propose(body)
        self.wait_until(lambda: len(recorded.entries) > before)


__all__ = [
    "Add",
    "Adder",
    "ReplicaFailed",
    "PolicyVersion",
    "Fail",
    "SubsystemsHosted",
    "Members",
    "Sum",
    "EventRecorder",
    "make_log",
]
