"""One gateway's side of the shares, without I/O: its reports, the closing of epochs, and its allotments.

The demand that arrives is measured and reported where it has changed (`demand_meter.py`).  An epoch is closed
when the replicated demand has changed: the leader proposes it once `epoch` seconds have passed since the last
close, or at once after a lost node or a new policy; another gateway proposes it if none has done so for
`patience` more epochs.  A second proposal of the same number changes nothing.  Any proposal may be lost, so
it is made again for as long as the replicated state shows that it is due.

What an epoch grants is used only as far as the quota transfer allows (`quota_transfer.py`): this gateway's
quota at each node, zone and tenant.  The gateway divides its quotas itself (`flow_division.py`): each flow
has the rate granted to it, scaled down where a quota has not grown that far yet; the rest, usually the floor,
is for flows that are new here.  A gateway whose lease has expired divides its floors only.

Times are seconds on this process's monotonic clock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from mallowbeam.storage_gateway.coordination.quota_epochs import Release
from mallowbeam.storage_gateway.coordination.quota_transfer import QuotaTransfer, TransferTiming
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry
from mallowbeam.storage_gateway.coordination.shares.demand_encoding import encode_demand
from mallowbeam.storage_gateway.coordination.shares.demand_meter import DemandMeter
from mallowbeam.storage_gateway.coordination.shares.flow_division import divide_quota
from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import MILLI
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    MAX_FLOWS,
    CloseEpoch,
    DemandReport,
    NodeLost,
    QuotaReleased,
    Recompute,
    SharesState,
    granted_rates,
)

T = TypeVar("T")
MAX_REPORT_ROWS = 4000  # flows of one report, some 16 KiB; the others follow in the next one
MAX_REMEMBERED_PROPOSALS = 1000  # whose times are remembered
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose this entry to the log; it may be lost."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Allot:
    """From now on this gateway may send this tenant's requests to this node at `rate` units a second."""

    tenant: str
    node: str
    rate: float
    fraction: float = 1.0  # of the rate that is this gateway's


Action = Propose | Allot


@dataclass(frozen=True, slots=True)
class SharesTiming:
    """Intervals in seconds, the same on every gateway."""

    epoch: float = 1.0  # at least, between two closes
    window: float = 0.3  # of measuring; at most one report in each
    patience: int = 2  # epochs that others wait for the leader's close
    report_timeout: float = 5.0  # without an entry, after which a gateway's demand counts as none
    heartbeat: float = 1.5  # between reports of a gateway whose demand does not change
    lease: float = 3.0
    drift: float = 0.1  # by which two clocks' rates differ at most
    retry: float = 0.5  # before a proposal that was not seen in the log is made again


@dataclass(slots=True)
class SharesCore:
    """One gateway's core; `started_at` is when this incarnation started."""

    me: str
    gateways: Sequence[str]
    state: SharesState
    started_at: float
    timing: SharesTiming = field(default_factory=SharesTiming)
    is_leader: bool = False

    meter: DemandMeter = field(default_factory=lambda: DemandMeter(MAX_FLOWS))
    last_entry_at: dict[str, float] = field(default_factory=dict)  # by gateway
    lost_nodes: dict[str, bool] = field(default_factory=dict)  # as discovery reports them
    proposed_at: dict[str, float] = field(default_factory=dict)  # by proposal
    granted: dict[int, int] = field(default_factory=dict)  # by the newest close, by flow
    allotted: dict[int, int] = field(default_factory=dict)  # the newest `Allot`, by flow
    transfer: QuotaTransfer[int] = field(init=False)
    ticked_at: float = field(init=False)
    window_began: float = field(init=False)
    closed_at: float = field(init=False)
    reported_at: float = NEVER
    close_number: int = -1  # of the close that `granted` is of
    stale: bool = True  # the allotments have to be computed again
    releases_pending: bool = False  # others released quota: processed at the next tick
    had_lease: bool = False  # when the allotments were computed

    def __post_init__(self) -> None:
        """Start with the floors only."""
        timing = self.timing
        self.transfer = QuotaTransfer(
            self.me,
            self.gateways,
            self._floor,
            TransferTiming(timing.lease, timing.drift, retry=timing.retry),
            self.started_at,
        )
        self.ticked_at = self.window_began = self.closed_at = self.started_at
        self.last_entry_at = dict.fromkeys(self.gateways, self.started_at)

    def _floor(self, resource: str, holder: str) -> int:
        return self.state.floors.get(resource, 0)

    # --- events -----------------------------------------------------------------------------------

    def observed(self, tenant: str, node: str, units: float, now: float) -> list[Action]:
        """Count a request's units at a node; the actions must be done before the request is decided on."""
        if (flow := self.flow(tenant, node)) is None:
            return []
        if self.meter.add(flow, units) and flow not in self.allotted:
            self.stale = True
        if self.had_lease and not self.transfer.has_lease(now):
            # Guards against a process that was stopped and resumes with the allotments of an expired lease.
            self.stale = True
        return self._allotment_changes(now)

    def flow(self, tenant: str, node: str) -> int | None:
        """A flow's number; None where the policy names no such tenant or node."""
        state = self.state
        tenant_position = bisect_left(state.tenants, tenant)
        node_position = bisect_left(state.nodes, node)
        if state.tenants[tenant_position : tenant_position + 1] != (tenant,):
            return None
        if state.nodes[node_position : node_position + 1] != (node,):
            return None
        return tenant_position * len(state.nodes) + node_position

    def node_changed(self, node: str, lost: bool, now: float) -> list[Action]:
        """Handle a node that discovery has lost, or has found again."""
        self.lost_nodes[node] = lost
        return self._report_lost_nodes(now)

    def lease_renewed(self, proposed_at: float, now: float) -> list[Action]:
        """Handle a committed heartbeat of this incarnation, proposed at that time."""
        self.transfer.lease_renewed(proposed_at)
        self.stale = self.stale or self.transfer.has_lease(now) != self.had_lease
        return self._allotment_changes(now)

    def committed(self, committed: Committed, now: float) -> list[Action]:
        """Handle a committed entry of the shares, or a state loaded from a snapshot."""
        before = self.state
        self.state = committed.state
        if committed.by in self.last_entry_at:
            self.last_entry_at[committed.by] = now
        if self.state.numbering != before.numbering:
            self._renumber(before)
        quota = self.state.quota
        releases: list[Release] = []
        if isinstance(committed.entry, QuotaReleased) and quota.epoch == self.transfer.epoch:
            self.releases_pending = True  # all releases until the next tick are processed there at once
        elif quota is not before.quota:
            releases = self.transfer.follow(quota, now)
            self.stale = True
        if self.state.close_number != self.close_number or self.state.numbering != before.numbering:
            self.close_number = self.state.close_number
            self.closed_at = now
            self.granted = granted_rates(self.state, self.me)
            self.stale = True
        # Allotments are lowered before the release is proposed.
        return self._allotment_changes(now) + self._propose_releases(releases)

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        timing = self.timing
        if now - self.ticked_at > timing.report_timeout / 2:
            # Guards against a process that was stopped and then considers all others silent.
            self.last_entry_at = dict.fromkeys(self.gateways, now)
            self.closed_at = max(self.closed_at, now - timing.epoch)
        self.ticked_at = now
        expired_epoch = self.transfer.expired_epoch
        actions: list[Action] = []
        if self.releases_pending:
            actions += self._propose_releases(self.transfer.follow(self.state.quota, now))
            self.stale = True
        self.releases_pending = False
        actions += self._propose_releases(self.transfer.tick(now))
        if expired_epoch != self.transfer.expired_epoch or self.transfer.has_lease(now) != self.had_lease:
            self.stale = True
        if self.state.policy.nodes:
            actions += self._report_demand(now) + self._report_lost_nodes(now) + self._close_epoch(now)
        return self._allotment_changes(now) + actions

    # --- proposals --------------------------------------------------------------------------------

    def _may_propose(self, proposal: str, now: float) -> bool:
        """Whether this was not proposed within `retry`; if so, it counts as proposed now."""
        if now < self.proposed_at.get(proposal, NEVER) + self.timing.retry:
            return False
        self.proposed_at[proposal] = now
        return True

    def _report_demand(self, now: float) -> list[Action]:
        """At the end of a window, report the changed demand, or an empty report as a heartbeat."""
        if (seconds := now - self.window_began) < self.timing.window:
            return []
        self.window_began = now
        rows = self.meter.end_window(seconds, self.state.demand.get(self.me, {}))
        self.stale = True  # quota that is lent within this gateway follows the demand
        heartbeat_due = now >= self.reported_at + self.timing.heartbeat or self.me in self.state.silent
        if not rows and not heartbeat_due:
            return []
        self.reported_at = now
        body = encode_demand(dict(sorted(rows.items())[:MAX_REPORT_ROWS]))
        return [Propose(DemandReport(self.state.numbering, body))]

    def _report_lost_nodes(self, now: float) -> list[Action]:
        """Propose an entry for each node whose replicated state differs from discovery's here."""
        actions: list[Action] = []
        for node, lost in self.lost_nodes.items():
            known = self.me in self.state.lost_nodes.get(node, ())
            if node in self.state.policy.nodes and lost != known and self._may_propose(f"gone {node}", now):
                actions.append(Propose(NodeLost(node, lost)))
        return actions

    def _propose_releases(self, releases: list[Release]) -> list[Action]:
        return [Propose(QuotaReleased(release.epoch)) for release in releases]

    def _close_epoch(self, now: float) -> list[Action]:
        """Propose the end of the epoch if it is due and it is this gateway's turn."""
        state = self.state
        silent = self._newly_silent(now)
        if not silent and state.recompute == Recompute.NONE:
            return []
        if now < self._close_due_at():
            return []
        actions: list[Action] = []
        for holder, epoch in self.transfer.expired_holders(state.quota).items():
            if self._may_propose(f"lapsed {holder} {epoch}", now):
                actions.append(Propose(QuotaReleased(epoch, holder)))
        if self._may_propose("close", now):
            actions.append(Propose(CloseEpoch(state.close_number + 1, silent)))
        if len(self.proposed_at) > MAX_REMEMBERED_PROPOSALS:
            self.proposed_at.clear()
        return actions

    def _newly_silent(self, now: float) -> tuple[str, ...]:
        """The other gateways that have stopped reporting and do not count as silent yet."""
        return tuple(
            name
            for name in self.gateways
            if name != self.me
            and name not in self.state.silent
            and now > self.last_entry_at[name] + self.timing.report_timeout
        )

    def _close_due_at(self) -> float:
        """When this gateway proposes the next close; non-leaders wait longer, each by another delay."""
        timing = self.timing
        due = self.closed_at + timing.epoch
        if not self.is_leader:
            turn = list(self.gateways).index(self.me) / len(self.gateways)
            return due + timing.epoch * (timing.patience + turn)
        return self.closed_at if self.state.recompute == Recompute.AT_ONCE else due

    # --- allotments -------------------------------------------------------------------------------

    def _allotment_changes(self, now: float) -> list[Action]:
        """An `Allot` for each flow whose rate has changed."""
        if not self.stale:
            return []
        self.stale = False
        self.had_lease = self.transfer.has_lease(now)
        state = self.state
        usable = self.transfer.usable
        rates = divide_quota(
            state, self.granted, self.meter.current_demand(), lambda resource: usable(resource, now)
        )
        before = self.allotted
        self.allotted = rates
        node_count = len(state.nodes)
        return [
            Allot(
                state.tenants[flow // node_count], state.nodes[flow % node_count], rates.get(flow, 0) / MILLI
            )
            for flow in sorted(before.keys() | rates.keys())
            if before.get(flow, 0) != rates.get(flow, 0)
        ]

    def _renumber(self, before: SharesState) -> None:
        """Move the values kept by flow to the numbers that a policy has given the flows."""
        node_count = len(before.nodes)

        def renumber(rows: Mapping[int, T]) -> dict[int, T]:
            numbers = {
                flow: self.flow(before.tenants[flow // node_count], before.nodes[flow % node_count])
                for flow in rows
            }
            return {new: rows[old] for old, new in numbers.items() if new is not None}

        self.meter = DemandMeter(MAX_FLOWS, renumber(self.meter.units), renumber(self.meter.windows))
        self.allotted = renumber(self.allotted)
        self.granted = renumber(self.granted)

    def describe(self, now: float) -> dict[str, object]:
        """For the page `/fleet`: the epoch, the awaited releases, and the allotments here."""
        state = self.state
        node_count = len(self.state.nodes)
        return {
            "number": state.close_number,
            "epoch": state.quota.epoch,
            "settled": state.quota.base_epoch,
            "live": self.transfer.has_lease(now),
            "quiet": list(state.silent),
            "gone": sorted(state.lost_nodes),
            "owing": state.quota.awaited_releases,
            "allotted": {
                f"{state.tenants[flow // node_count]}@{state.nodes[flow % node_count]}": rate / MILLI
                for flow, rate in sorted(self.allotted.items())
            },
        }
