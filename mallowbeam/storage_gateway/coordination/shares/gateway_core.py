"""One gateway's part in the shares: what it tells, when an epoch is to end, and what it may serve; no I/O.

It counts what comes in and tells the fleet where that has changed (`demand_meter.py`). An epoch ends when the
picture has changed: the leader proposes so once `epoch_s` have passed since the last one, or at once where a
node was lost or a policy pushed; another gateway does when nobody did for `patience` epochs more. A second
proposal of the same number changes nothing. Everything proposed may be lost, so it is proposed again as long
as the state says that it is still due.

What the epoch grants is used only as the handover allows (`quota_transfer.py`): the sums of this gateway at
each node, zone and tenant. Within them it divides by itself (`divide`): each flow has its target, scaled down
where a sum is not there yet, and what is over (the gateway's floor, as a rule) is for tenants that are new
here. A gateway past its lease is left with the floors and divides those.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from mallowbeam.storage_gateway.coordination.quota_epochs import Release
from mallowbeam.storage_gateway.coordination.quota_transfer import QuotaTransfer
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry
from mallowbeam.storage_gateway.coordination.shares.demand_encoding import pack
from mallowbeam.storage_gateway.coordination.shares.demand_meter import Meter
from mallowbeam.storage_gateway.coordination.shares.flow_division import divide
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    MOST_FLOWS,
    Close,
    Demand,
    Gone,
    Released,
    SharesState,
    targets,
)

T = TypeVar("T")
MOST_ROWS = 4000  # of one report, some 16 KiB; the others go with the next one


@dataclass(frozen=True, slots=True)
class Propose:
    """Put this entry into the log; it may be lost."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Allot:
    """From now on this tenant may be sent `rate` units a second to this node from here, `part` of it ours."""

    tenant: str
    node: str
    rate: float
    part: float = 1.0


Action = Propose | Allot


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds, the same on every gateway."""

    epoch: float = 1.0  # at least between two epochs
    window: float = 0.3  # of counting; a report goes at most once in it
    patience: int = 2  # epochs that others wait for the leader's word
    quiet: float = 5.0  # without a word, after which a gateway asks for nothing
    beat: float = 1.5  # between words of one that has nothing to tell
    lease: float = 3.0
    drift: float = 0.1
    again: float = 0.5  # before a proposal that was not seen is made again


@dataclass(slots=True)
class SharesCore:
    """One gateway's core; `begun` is when this life began."""

    me: str
    gateways: Sequence[str]
    state: SharesState
    begun: float
    times: Times = field(default_factory=Times)
    leads: bool = False

    meter: Meter = field(default_factory=lambda: Meter(MOST_FLOWS))
    heard: dict[str, float] = field(default_factory=dict)
    lost: dict[str, bool] = field(default_factory=dict)  # nodes, as discovery told us
    proposed: dict[str, float] = field(default_factory=dict)  # by what: when
    mine: dict[int, int] = field(default_factory=dict)  # the newest targets
    told: dict[int, int] = field(default_factory=dict)  # the newest allotments, by flow
    handover: QuotaTransfer[int] = field(init=False)
    ticked: float = field(init=False)
    windowed: float = field(init=False)
    closed: float = field(init=False)
    spoke: float = float("-inf")
    number: int = -1
    stale: bool = True  # what may be served has to be looked at again
    later: bool = False  # the same, at the next tick
    live: bool = False  # whether the allotments told rest on the lease

    def __post_init__(self) -> None:
        """Nothing is known yet: floors only."""
        t = self.times
        self.handover = QuotaTransfer(
            self.me, self.gateways, self._floor, t.lease, self.begun, t.drift, again=t.again
        )
        self.ticked = self.windowed = self.closed = self.begun
        self.heard = dict.fromkeys(self.gateways, self.begun)

    def _floor(self, resource: str, holder: str) -> int:
        return self.state.floors.get(resource, 0)

    # --- what came in -----------------------------------------------------------------------------

    def observed(self, tenant: str, node: str, units: float, now: float) -> list[Action]:
        """Somebody asked for units at a node; what is returned comes before the request is decided on."""
        if (flow := self.flow(tenant, node)) is None:
            return []
        if self.meter.came(flow, units) and flow not in self.told:
            self.stale = True
        if self.live and not self.handover.live(now):
            # Guards against one that stood still and wakes with an old allotment.
            self.stale = True
        return self._allots(now)

    def flow(self, tenant: str, node: str) -> int | None:
        """A flow's number; None where the set-up does not know one of them."""
        state = self.state
        t, n = bisect_left(state.tenants, tenant), bisect_left(state.nodes, node)
        if state.tenants[t : t + 1] != (tenant,) or state.nodes[n : n + 1] != (node,):
            return None
        return t * len(state.nodes) + n

    def node(self, node: str, gone: bool, now: float) -> list[Action]:
        """Discovery told that a node is lost, or there again."""
        self.lost[node] = gone
        return self._told_lost(now)

    def lease_renewed(self, proposed_at: float, now: float) -> list[Action]:
        """A mark of this life's own came back; when it was put in."""
        self.handover.lease_renewed(proposed_at)
        self.stale = self.stale or self.handover.live(now) != self.live
        return self._allots(now)

    def committed(self, told: Committed, now: float) -> list[Action]:
        """The log has committed an entry of this topic, or its state came whole."""
        before, self.state = self.state, told.state
        if told.by in self.heard:
            self.heard[told.by] = now
        if self.state.roll != before.roll:
            self._renumbered(before)
        handed, releases = self.state.handed, []
        if isinstance(told.entry, Released) and handed.epoch == self.handover.epoch:
            self.later = True  # what may grow by it does so at the next tick, for all at once
        elif handed is not before.handed:
            releases = self.handover.follow(handed, now)
            self.stale = True
        if self.state.number != self.number or self.state.roll != before.roll:
            self.number, self.closed, self.mine = self.state.number, now, targets(self.state, self.me)
            self.stale = True
        # What falls has fallen before the word of it goes out.
        return self._allots(now) + self._released(releases)

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        t = self.times
        if now - self.ticked > t.quiet / 2:
            # Guards against one that stood still and takes everybody else for silent.
            self.heard = dict.fromkeys(self.gateways, now)
            self.closed = max(self.closed, now - t.epoch)
        self.ticked = now
        gone = self.handover.gone
        actions = self._released(self.handover.follow(self.state.handed, now)) if self.later else []
        actions += self._released(self.handover.tick(now))
        self.stale = (
            self.stale or self.later or gone != self.handover.gone or self.handover.live(now) != self.live
        )
        self.later = False
        if self.state.setup.nodes:
            actions += self._report(now) + self._told_lost(now) + self._close(now)
        return self._allots(now) + actions

    # --- what it tells ----------------------------------------------------------------------------

    def _again(self, what: str, now: float) -> bool:
        if now < self.proposed.get(what, float("-inf")) + self.times.again:
            return False
        self.proposed[what] = now
        return True

    def _report(self, now: float) -> list[Action]:
        if (seconds := now - self.windowed) < self.times.window:
            return []
        self.windowed = now
        said = self.state.demand.get(self.me, {})
        rows = self.meter.window(seconds, said)
        self.stale = True  # what is lent within this gateway follows what is asked for
        if not rows and now < self.spoke + self.times.beat and self.me not in self.state.quiet:
            return []
        self.spoke = now
        body = pack(dict(sorted(rows.items())[:MOST_ROWS]))
        return [Propose(Demand(self.state.roll, body))]

    def _told_lost(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for node, gone in self.lost.items():
            if (
                node in self.state.setup.nodes
                and gone != (self.me in self.state.gone.get(node, ()))
                and self._again(f"gone {node}", now)
            ):
                actions.append(Propose(Gone(node, gone)))
        return actions

    def _released(self, releases: list[Release]) -> list[Action]:
        return [Propose(Released(release.epoch)) for release in releases]

    def _close(self, now: float) -> list[Action]:
        """End the epoch, when that is due and ours to do."""
        t, state = self.times, self.state
        quiet = tuple(
            name
            for name in self.gateways
            if name != self.me and name not in state.quiet and now > self.heard[name] + t.quiet
        )
        if not quiet and not state.dirty:
            return []
        due = self.closed + t.epoch
        if not self.leads:
            due += t.epoch * (t.patience + list(self.gateways).index(self.me) / len(self.gateways))
        elif state.dirty == 2:
            due = self.closed
        if now < due:
            return []
        actions: list[Action] = []
        for holder, epoch in self.handover.lapsed(state.handed).items():
            if self._again(f"lapsed {holder} {epoch}", now):
                actions.append(Propose(Released(epoch, holder)))
        if self._again("close", now):
            actions.append(Propose(Close(state.number + 1, quiet)))
        if len(self.proposed) > 1000:
            self.proposed.clear()
        return actions

    # --- what it may serve ------------------------------------------------------------------------

    def _allots(self, now: float) -> list[Action]:
        """What has changed of what may be served."""
        if not self.stale:
            return []
        self.stale, self.live = False, self.handover.live(now)
        state, usable = self.state, self.handover.usable
        new = divide(state, self.mine, self.meter.wants(), lambda resource: usable(resource, now))
        before, self.told = self.told, new
        count = len(state.nodes)
        return [
            Allot(state.tenants[flow // count], state.nodes[flow % count], new.get(flow, 0) / 1000)
            for flow in sorted(before.keys() | new.keys())
            if before.get(flow, 0) != new.get(flow, 0)
        ]

    def _renumbered(self, before: SharesState) -> None:
        """Flows have new numbers: what is kept by them is carried over."""
        count = len(before.nodes)

        def moved(rows: Mapping[int, T]) -> dict[int, T]:
            names = {
                flow: self.flow(before.tenants[flow // count], before.nodes[flow % count]) for flow in rows
            }
            return {new: rows[flow] for flow, new in names.items() if new is not None}

        self.meter = Meter(MOST_FLOWS, moved(self.meter.counts), moved(self.meter.past))
        self.told, self.mine = moved(self.told), moved(self.mine)

    def describe(self, now: float) -> dict[str, object]:
        """For the page: where it stands, who is waited for, and what may be served here."""
        state, count = self.state, len(self.state.nodes)
        return {
            "number": state.number,
            "epoch": state.handed.epoch,
            "settled": state.handed.settled,
            "live": self.handover.live(now),
            "quiet": list(state.quiet),
            "gone": sorted(state.gone),
            "owing": state.handed.owing,
            "allotted": {
                f"{state.tenants[flow // count]}@{state.nodes[flow % count]}": rate / 1000
                for flow, rate in sorted(self.told.items())
            },
        }
