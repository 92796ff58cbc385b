"""One gateway's maintenance core, without I/O; `now` is the gateway's monotonic clock in seconds.

The gateway's actions depend only on the replicated state, so it does not matter which entries it missed.  A
machine whose step is in `NO_NEW_WORK` gets no new requests.  A machine that warms up gets requests within
this gateway's share of the limit for cold nodes.

The gateway proposes the entries that `TransitionGuard.due` lists, and the ones that depend on a clock:
`DeadlineExceeded` and `LeaseExpired`.  The log's leader proposes immediately and the others after a delay
that grows with their rank, so that losing the leader between two steps only delays the next step.  Proposals
may be lost, so each is repeated until the state has changed.
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
    """This gateway is going out of service or is out."""

    rejects: bool  # it accepts no requests
    since: float


@dataclass(slots=True)
class PendingProposal:
    """Since when an entry has been due, and when it was last proposed."""

    due_since: float
    proposed_at: float = NEVER


@dataclass(frozen=True, slots=True)
class DueEntries:
    """The entries that the state machine listed as due for `state`."""

    state: MaintenanceState
    computed_at: float
    entries: list[Entry]


class MaintenanceCore:
    """One gateway's copy of the replicated state, and the actions that follow from it."""

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
        self._completed_work: set[str] = set()  # machines that an operator reported to this gateway as done
        self._proposals: dict[bytes, PendingProposal] = {}  # by encoded entry
        self._due: DueEntries | None = None

    # --- inputs -----------------------------------------------------------------------------------

    def observe(self, local: LocalView) -> None:
        """The gateway's own view has changed."""
        self.local = local

    def caught_up(self, proposed_at: float) -> None:
        """A marker of this gateway was committed: all entries committed before `proposed_at` are applied."""
        self.lease.caught_up(proposed_at)

    def complete_work(self, machine: str) -> None:
        """An operator reported that the work on a machine is done; this is proposed until it is committed."""
        self._completed_work.add(machine)

    def serves(self, now: float) -> bool:
        """Whether the gateway may serve requests: its lease is valid, or no maintenance is active."""
        return not self.state.active or self.lease.is_valid(now)

    def accepts_work(self, machine: str) -> bool:
        """Whether new requests may be sent to a machine."""
        state = self.state.machines.get(machine)
        return state is None or state.step not in NO_NEW_WORK

    def committed(self, committed: Committed, now: float) -> list[Action]:
        """Apply the log's next entry for this topic; returns the actions that follow from the new state."""
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
        """Propose reports, steps and expired deadlines that are due by now."""
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
        """The actions that bring the gateway in line with a new state."""
        actions = self._warm_ups()  # first, so that the limit is set before the node gets requests again
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
        """Forget the times of machines whose warm-up or maintenance has ended."""
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
        """This gateway's own maintenance: it first releases its allotments, then also rejects requests."""
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

    # --- reports ----------------------------------------------------------------------------------

    def empty_machines(self, now: float) -> list[str]:
        """Machines drained for at least `drain_grace_s`, with no request of this gateway in flight."""
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
            return True  # gateways send each other no requests
        status = self.local.nodes.get(name)
        in_flight = status.in_flight if status is not None else 0
        return now >= self._drained_at.get(name, now) + grace and in_flight == 0

    def _warm_machines(self, now: float) -> list[str]:
        return sorted(
            name for name, since in self._warming_since.items() if now >= since + self.timings.warmup_s
        )

    # --- proposals --------------------------------------------------------------------------------

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
        """The entries that are due by the state.

        They are recomputed immediately after a step or an expired lease, and otherwise every `due_refresh_s`.
        """
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
        """Propose due entries after this member's delay, and again if a proposal was lost."""
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
        """This member's position in the order of proposers; the leader is 0."""
        members = self.state_machine.members
        leader = members.index(self.local.leader) if self.local.leader in members else 0
        return (members.index(self.name) - leader) % len(members)
