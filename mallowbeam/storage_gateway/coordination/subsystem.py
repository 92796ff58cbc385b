"""What a subsystem of the fleet is to the service, and what the service's hands do for it.

A subsystem is one of the sections `maintenance`, `shares` and `pools` of the operators' file. Where one is
on, the service imports `<name>.subsystem` of this package and calls its `open_subsystem(context, section)`,
which hands back a `Subsystem`. Its topic's name is the section's. All of its methods are called on the
gateway's loop.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, StateMachine
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, Plan


class Subsystem(Protocol):
    """One subsystem in one gateway: its core, and the acts that its actions name."""

    state_machine: StateMachine

    def committed(self, told: Committed, now: float) -> None:
        """The log has told this topic an entry, or its state whole (`told.entry` None); now: steady clock."""

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """A mark of this gateway's own came back: all committed before it was put in is known here."""

    def tick(self, now: float) -> None:
        """Time has passed: each half beat."""

    def describe(self) -> dict[str, object]:
        """What the page `/fleet` tells of it."""

    def gauges(self) -> Mapping[str, float]:
        """Its figures for `/fleet/metrics`, named without the subsystem's name."""


class SubsystemContext(Protocol):
    """What a subsystem may do and see; each call at once and on the loop."""

    me: str  # this member's name
    members: tuple[str, ...]  # all members' names, sorted

    def propose(self, entry: Entry) -> bool:
        """Put an entry of its topic into the log: fire and forget; False where it is dropped at once.

        It is dropped where there is no leader, so cores propose again.  Raises `EntryTooLarge`.
        """

    def leader(self) -> bool:
        """Whether this member leads the log, as far as it knows."""

    def drain(self, node: str, out: bool) -> None:
        """Take a node out of service here or call it back; out while anybody still wants it out."""

    def apply_plan(
        self, plan: Plan, volume: str = "", shard: int | None = None, fraction: float | None = None
    ) -> bool:
        """A plan's figures, or one volume's allotment, from now on: see `SchedulerHost.change_plan`.

        False where this gateway's module has no such call; raises its `MallowbeamError` where it refuses.
        """

    def settings_plans(self) -> Mapping[str, Plan]:
        """The plans of the platform's settings, by name."""

    def plan(self, name: str) -> Plan | None:
        """A plan as it is in force, with what the policy says of it."""

    def observe(self, observer: Callable[[Mapping[str, object]], None]) -> None:
        """Tell of each call before the module decides on it: its fields, as `RequestArrived` names them."""

    def nodes(self) -> list[NodeEntry]:
        """The nodes as they are listed here."""

    def out(self, node: str) -> int:
        """How many attempts this gateway has out at a node."""

    def held(self) -> int:
        """How many requests this gateway holds unanswered."""

    def gate(self, is_open: bool) -> None:
        """Open or shut this gateway's door for new requests on this subsystem's account."""

    def stop(self) -> None:
        """Stop this gateway as SIGTERM would."""

    def gateway(self) -> Any:
        """The gateway itself, for what has no call here yet; a reason to add one."""


class SubsystemFactory(Protocol):
    """`open_subsystem` of a subsystem's module `subsystem`."""

    def __call__(self, context: SubsystemContext, section: Any) -> Subsystem:
        """The subsystem on these hands; `section` is its part of the operators' file."""
