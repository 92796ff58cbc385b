"""The interface between the coordination service and a subsystem.

A subsystem is one of the sections `maintenance`, `shares` and `pools` of the operators' file.  Where one is
on, the service imports the module `<name>.subsystem` of this package and calls its
`open_subsystem(context, section)`, which returns a `Subsystem`.  The name of its state machine is that of the
section.  All of its methods are called on the gateway's event loop; times are seconds on the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, StateMachine
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, Plan


class Subsystem(Protocol):
    """One subsystem in one gateway: a core, and the code that carries out its actions."""

    state_machine: StateMachine

    def committed(self, committed: Committed, now: float) -> None:
        """Handle a committed entry of the state machine, or a state loaded or changed by a policy."""

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """Handle a committed heartbeat of this gateway: all committed before its proposal is known here."""

    def tick(self, now: float) -> None:
        """Do what is due; called twice in each interval between heartbeats."""

    def describe(self) -> dict[str, object]:
        """The subsystem's part of the page `/fleet`."""

    def gauges(self) -> Mapping[str, float]:
        """Its figures for `/fleet/metrics`, named without the subsystem's name."""


class SubsystemContext(Protocol):
    """The operations open to a subsystem; each takes effect at once, on the event loop."""

    me: str  # this member's name
    members: tuple[str, ...]  # all members' names, sorted

    def propose(self, entry: Entry) -> bool:
        """Propose an entry of its state machine; returns False if it is dropped at once.

        It may be lost later too, so cores propose again.  Raises `EntryTooLargeError`.
        """

    def leader(self) -> bool:
        """Whether this member leads the log, as far as it knows."""

    def drain(self, node: str, drained: bool) -> None:
        """Drain a node here, or stop draining it; it stays drained while any requester drains it."""

    def apply_plan(
        self, plan: Plan, volume: str = "", shard: int | None = None, fraction: float | None = None
    ) -> bool:
        """Apply a plan, or one volume's allotment, with the scheduler's `change_plan`.

        Returns False if this scheduler has no such call; raises its `MallowbeamError` if it refuses.
        """

    def settings_plans(self) -> Mapping[str, Plan]:
        """The plans of the platform's settings, by name."""

    def plan(self, name: str) -> Plan | None:
        """A plan as it is in force, with the policy's changes."""

    def observe(self, observer: Callable[[Mapping[str, object]], None]) -> None:
        """Call the observer with each request, by the fields of `RequestArrived`, before it is decided on."""

    def nodes(self) -> list[NodeEntry]:
        """The nodes as discovery lists them here."""

    def attempts_at(self, node: str) -> int:
        """How many attempts of this gateway are in flight at a node."""

    def open_requests(self) -> int:
        """How many requests of this gateway are not answered yet."""

    def gate(self, is_open: bool) -> None:
        """Let the gateway accept new requests, or not, as far as this subsystem is concerned."""

    def stop(self) -> None:
        """Stop this gateway as SIGTERM would."""

    def gateway(self) -> Any:
        """The gateway itself, for uses without a method here yet; add one instead where possible."""


class SubsystemFactory(Protocol):
    """`open_subsystem` of a subsystem's module."""

    def __call__(self, context: SubsystemContext, section: Any) -> Subsystem:
        """The subsystem of a gateway; `section` is its section of the operators' file."""
