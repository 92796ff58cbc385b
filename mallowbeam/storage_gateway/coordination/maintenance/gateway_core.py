"""One gateway's maintenance core, without I/O; `now` is the gateway's monotonic clock in seconds.

What the gateway does follows from the replicated state alone, whichever entries it missed: nothing new goes
to a machine whose step is in `NO_NEW_WORK`; one that warms up is given this gateway's share of the limit for
cold nodes.  What it proposes is what `TransitionGuard.due` lists, and what only a clock can call for:
`DeadlineExceeded` and `LeaseExpired`.  The log's leader proposes at once, the others one after the other by
their rank, so that a leader lost between two steps delays the next one and no more.  A proposal may be lost:
it is repeated until the state has changed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from mallowbeam.storage_gateway.coordination.maintenance.actions import (
    Action,
    Drain,
    LocalView,
    LogMessage,
    Propose,
    StepDown,
    StepUp,
    Timings,
    Undrain,
    WarmUp,
)
from mallowbeam.storage_gateway.coordination.maintenance.entries import (
    DeadlineExceeded,
    LeaseExpired,
    StatusReport,
    WorkCompleted,
)
from mallowbeam.storage_gateway.coordination.maintenance.lease import LeaseTracker
from mallowbeam.storage_gateway.coordination.maintenance.reporting import StatusReporter
from mallowbeam.storage_gateway.coordination.maintenance.state import MachineState, MaintenanceState
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import MaintenanceStateMachine
from mallowbeam.storage_gateway.coordination.maintenance.steps import (
    IN_PROGRESS,
    NO_NEW_WORK,
    OUT_OF_SERVICE,
    Step,
)
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """This gateway is going out of service."""

    rejects: bool  # it accepts no requests either
    since: float


@dataclass(slots=True)
class PendingProposal:
    """An entry that is due, and when it was."""

    due_since: float
    proposed_at: float = NEVER


@dataclass(frozen=True, slots=True)
class DueEntries:
    """What the state machine called for when it was last asked."""

    state: MaintenanceState
    computed_at: float
    entries: list[Entry]


class MaintenanceCore:
    """One gateway's view of the replicated state, and the actions that follow from it."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        members: Sequence[str],
        now: float,
        timings: Timings | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.timings = timings or Timings()
        self.state_machine = MaintenanceStateMachine(members)
        self.state = MaintenanceState()
        self.applied_index = 0
        self.local = LocalView()
        self.lease = LeaseTracker(name, members, now, self.timings)
        self._reporter = StatusReporter(incarnation, self.timings)
        self._drained_at: dict[str, float] = {}  # by machine
        self._warming_since: dict[str, float] = {}  # by machine
        self._agreed_at: dict[tuple[str, int], float] = {}  # by machine and `agreed_index`
        self._stepped_down: SteppedDown | None = None
        self._completed_work: set[str] = set()  # machines that an operator reported here as done
        self._proposals: dict[bytes, PendingProposal] = {}  # by encoded entry
        self._due: DueEntries | None = None

    # --- inputs -----------------------------------------------------------------------------------

    def observe(self, local: LocalView) -> None:
        """The gateway's own view has changed."""
        self.local = local

    def caught_up(self, proposed_at: float) -> None:
        """A marker of this gateway was committed: all committed before it was proposed is applied here."""
        self.lease.caught_up(proposed_at)

    def complete_work(self, machine: str) -> None:
        """An operator reported here that the work on a machine is done; proposed until the log has it."""
        self._completed_work.add(machine)

    def serves(self, now: float) -> bool:
        """Whether the gateway may serve requests, by the clock; always while no maintenance is active."""
        return not self.state.active or self.lease.is_valid(now)

    def accepts_work(self, machine: str) -> bool:
        """Whether new requests may be sent to a machine."""
        state = self.state.machines.get(machine)
        return state is None or state.step not in NO_NEW_WORK

    def committed(self, committed: Committed, now: float) -> list[Action]:
        """The log's next entry for this topic, and the actions that follow from the new state."""
        before = self.state
        self.state = committed.state
        self.applied_index = max(committed.index, self.applied_index)
        if isinstance(committed.entry, StatusReport):
            self._received_report(committed.by, committed.entry, now)
        if self.state.active and not before.active:
            self.lease.activate(now)
        return self._follow(before, now)

    def _received_report(self, by: str, report: StatusReport, now: float) -> None:
        self.lease.received_report(by, now)
        if (by, report.incarnation) == (self.name, self.incarnation):
            proposed_at = self._reporter.committed(report.number)
            if proposed_at is not None:
                self.lease.renew(proposed_at)

    def tick(self, now: float) -> list[Action]:
        """Time has passed: a report, a step or a deadline may be due."""
        actions: list[Action] = []
        report = self._reporter.next_report(
            self.state,
            self.applied_index,
            self.local,
            self.empty_machines(now),
            self._warm_machines(now),
            now,
        )
        if report is not None:
            actions.append(Propose(report))
        if self.state.active:
            actions += self._propose(now)
        elif self._proposals:
            self._proposals.clear()
        return actions

    # --- following the state ----------------------------------------------------------------------

    def _follow(self, before: MaintenanceState, now: float) -> list[Action]:
        """The actions by which the gateway follows a new state."""
        actions = self._warm_ups()  # known before the node serves again
        actions += self._undrains()
        for name, machine in self.state.machines.items():
            actions += self._follow_machine(name, machine, before.machines.get(name), now)
        self._forget_finished()
        actions += self._follow_own_step(now)
        return actions

    def _warm_ups(self) -> list[Action]:
        return [
            WarmUp(name, machine.warmup_shares.get(self.name, 0.0))
            for name, machine in self.state.machines.items()
            if machine.step == Step.WARMING and not machine.is_gateway and name not in self._warming_since
        ]

    def _undrains(self) -> list[Action]:
        nodes = [name for name in self._drained_at if self.accepts_work(name)]
        for name in nodes:
            del self._drained_at[name]
        return [Undrain(name) for name in nodes]

    def _follow_machine(
        self, name: str, machine: MachineState, before: MachineState | None, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        if machine.step in NO_NEW_WORK and not machine.is_gateway and name not in self._drained_at:
            self._drained_at[name] = now
            actions.append(Drain(name))
        if machine.step == Step.WARMING:
            self._warming_since.setdefault(name, now)
        if machine.step in IN_PROGRESS:
            self._agreed_at.setdefault((name, machine.agreed_index), now)
        if before is None or before.version != machine.version:
            actions.append(LogMessage(f"{name} {machine.step}: {machine.reason}"))
        return actions

    def _forget_finished(self) -> None:
        """Drop the times of machines that no longer need them."""
        machines = self.state.machines
        self._warming_since = {
            name: since
            for name, since in self._warming_since.items()
            if name in machines and machines[name].step == Step.WARMING
        }
        self._agreed_at = {
            (name, agreed_index): at
            for (name, agreed_index), at in self._agreed_at.items()
            if name in machines
            and machines[name].step in IN_PROGRESS
            and machines[name].agreed_index == agreed_index
        }

    def _follow_own_step(self, now: float) -> list[Action]:
        """This gateway's own maintenance: first it releases its allotments, then it rejects requests."""
        machine = self.state.machines.get(self.name)
        step = machine.step if machine is not None else None
        rejects = step in NO_NEW_WORK and step != Step.BACK
        if step == Step.AGREED or rejects:
            if self._stepped_down is None or self._stepped_down.rejects != rejects:
                self._stepped_down = SteppedDown(rejects, now)
                return [StepDown(rejects)]
        elif self._stepped_down is not None:
            self._stepped_down = None
            return [StepUp()]
        return []

    # --- what is reported -------------------------------------------------------------------------

    def empty_machines(self, now: float) -> list[str]:
        """Machines that this gateway has sent nothing to for a while, with nothing in flight there."""
        return [
            name
            for name, machine in sorted(self.state.machines.items())
            if machine.step in (Step.DRAINING, Step.EMPTY) and self._is_empty(name, machine, now)
        ]

    def _is_empty(self, name: str, machine: MachineState, now: float) -> bool:
        grace = self.timings.drain_grace_s
        if name == self.name:
            stepped_down = self._stepped_down
            return (
                stepped_down is not None
                and stepped_down.rejects
                and now >= stepped_down.since + grace
                and self.local.in_flight == 0
            )
        if machine.is_gateway:
            return True  # gateways send nothing to one another
        status = self.local.nodes.get(name)
        in_flight = status.in_flight if status is not None else 0
        return now >= self._drained_at.get(name, now) + grace and in_flight == 0

    def _warm_machines(self, now: float) -> list[str]:
        return sorted(
            name for name, since in self._warming_since.items() if now >= since + self.timings.warmup_s
        )

    # --- what is proposed -------------------------------------------------------------------------

    def due_entries(self, now: float) -> list[Entry]:
        """All entries that are due, by the state or by this gateway's clock."""
        machines = self.state.machines
        self._completed_work = {
            name
            for name in self._completed_work
            if name in machines and machines[name].step in OUT_OF_SERVICE
        }
        return [
            *self._due_transitions(now),
            *(WorkCompleted(name) for name in sorted(self._completed_work)),
            *self._expired_leases(),
            *self._exceeded_deadlines(now),
        ]

    def _due_transitions(self, now: float) -> list[Entry]:
        """What the state calls for; computed anew at once for a step, else each `due_refresh_s`."""
        state = self.state
        due = self._due
        if due is None or (
            due.state is not state
            and (
                due.state.machines is not state.machines
                or due.state.expired_gateways != state.expired_gateways
                or now >= due.computed_at + self.timings.due_refresh_s
            )
        ):
            due = self._due = DueEntries(state, now, self.state_machine.guard.due(state))
        return due.entries

    def _expired_leases(self) -> list[Entry]:
        found: list[Entry] = []
        for gateway in self.lease.expired(self.state.expired_gateways):
            report = self.state.reports.get(gateway)
            if report is None:
                found.append(LeaseExpired(gateway, "", 0))
            else:
                found.append(LeaseExpired(gateway, report.incarnation, report.number))
        return found

    def _exceeded_deadlines(self, now: float) -> list[Entry]:
        found: list[Entry] = []
        requests = self.state.requests
        for (name, agreed_index), agreed_at in self._agreed_at.items():
            deadlines = [
                requests[request_id].time_s
                for request_id in self.state.machines[name].request_ids
                if request_id in requests
            ]
            if deadlines and now >= agreed_at + min(deadlines):
                found.append(DeadlineExceeded(name, agreed_index))
        return found

    def _propose(self, now: float) -> list[Action]:
        """Propose what is due, after this member's delay, and again where a proposal was lost."""
        due = {msgspec.msgpack.encode(entry): entry for entry in self.due_entries(now)}
        self._proposals = {key: self._proposals.get(key) or PendingProposal(now) for key in due}
        delay = self._rank() * self.timings.rank_delay_s
        actions: list[Action] = []
        for key, pending in self._proposals.items():
            if (
                now >= pending.due_since + delay
                and now >= pending.proposed_at + self.timings.proposal_timeout_s
            ):
                pending.proposed_at = now
                actions.append(Propose(due[key]))
        return actions

    def _rank(self) -> int:
        """This member's position among those who propose: the leader is first."""
        members = self.state_machine.members
        leader = members.index(self.local.leader) if self.local.leader in members else 0
        return (members.index(self.name) - leader) % len(members)
