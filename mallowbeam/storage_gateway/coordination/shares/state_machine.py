"""The agreed picture of who asks for how much, and what the newest epoch grants; the replicated machine.

Gateways report what came in at them (`Demand`), never what anybody claims. `Close` ends an epoch: every
member computes the same allotment out of the same picture (`max_min_fairness.py`) and opens the epoch of the
handover with it (`quota_epochs.py`). What is handed over are gateways' sums, not single flows: a row for each
node, each zone and each tenant, by gateway, as those are the sums that must never be above a capacity or a
limit. How a gateway divides its sums is its own affair (`gateway_core.py`).

A floor for each gateway is set aside at each node, zone and limit, once and for good: `probe` thousandths of
it, over all gateways.  A gateway that is cut off falls back on it, and tenants new at a gateway start there.

No clock: a gateway that fell silent is named in a `Close` by who noticed, and counts again from its next
report on.  A node lost is told by gateways that heard so from discovery (`Gone`); while one of them says so
its capacity counts as none.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar

import msgspec

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.errors import BadPolicy
from mallowbeam.storage_gateway.coordination.policy_document import section_of
from mallowbeam.storage_gateway.coordination.quota_epochs import BadTarget, QuotaEpochs, TooManyOpen, release
from mallowbeam.storage_gateway.coordination.replicated_log import Entry, Refusal
from mallowbeam.storage_gateway.coordination.shares.demand_encoding import STEPS, BadRows, unpack
from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import MILLI, MOST_WEIGHT, Network, allot
from mallowbeam.storage_gateway.coordination.shares.quota_rows import Places, grant, open_epoch, ratios, trim

MOST_TENANTS = 10_000  # in a set-up; a push beyond is refused
MOST_NODES = 2_000
MOST_RATE = 10**9  # milli-units a second of one capacity, reserve or limit
MOST_FLOWS = 16_000  # of one gateway; a report beyond is refused, and what is new goes by the probe


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one tenant is owed, in milli-units a second; the weight in thousandths."""

    weight: int = MILLI
    reserve: int = 0
    limit: int | None = None


class Node(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one storage node holds, in milli-units a second, and where it stands."""

    capacity: int
    zone: str = ""


class Setup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operators say: part of a policy, under `shares`."""

    tenants: dict[str, Share] = {}
    nodes: dict[str, Node] = {}
    zones: dict[str, int] = {}
    probe: int = 10  # thousandths of each capacity and limit set aside as floors, over all gateways


class Demand(Entry, frozen=True, tag="Demand"):
    """What came in at this gateway, where it differs from what it last said; `whole`: all of it."""

    roll: int
    rows: bytes = b""
    whole: bool = False


class Close(Entry, frozen=True, tag="Close"):
    """End the epoch of before: `number` follows the newest; who is `quiet` counts as asking for nothing."""

    number: int
    quiet: tuple[str, ...] = ()


class Gone(Entry, frozen=True, tag="Gone"):
    """Discovery told this gateway that a node is lost, or there again."""

    node: str
    gone: bool


class Released(Entry, frozen=True, tag="Released"):
    """This gateway, or another whose lease is surely over, keeps to its target of that epoch."""

    epoch: int
    holder: str = ""


class BadSetup(MallowbeamError):
    """A set-up that can't hold."""

    error_name = "BadSetup"
    remedy = "correct the policy's shares and push it again"


class SharesState(msgspec.Struct, frozen=True):
    """The picture and what was granted; flows are numbered by `tenants` and `nodes`, anew with each roll."""

    handed: QuotaEpochs[int]
    setup: Setup = Setup()
    roll: int = 0
    tenants: tuple[str, ...] = ()
    nodes: tuple[str, ...] = ()
    floors: dict[str, int] = {}  # by resource, of each gateway
    demand: dict[str, dict[int, int]] = {}  # by gateway and flow
    total: dict[int, int] = {}  # by flow
    gone: dict[str, tuple[str, ...]] = {}  # by node, who says so
    quiet: tuple[str, ...] = ()
    dirty: int = 0  # 1: an epoch is due; 2: at once
    number: int = 0  # of the newest close
    rates: dict[int, int] = {}  # of it, by flow
    asked: dict[str, dict[int, int]] = {}  # the picture of it
    asked_total: dict[int, int] = {}

    @property
    def zones(self) -> tuple[str, ...]:
        """Each node's zone."""
        return tuple(self.setup.nodes[name].zone for name in self.nodes)

    def capacity(self, resource: str) -> int | None:
        """What a resource holds now; None where it has no bound."""
        kind, name = resource.split(":", 1)
        if kind == "n":
            return 0 if name in self.gone else self.setup.nodes[name].capacity
        if kind == "z":
            return self.setup.zones.get(name)
        return self.setup.tenants[name].limit

    def network(self) -> Network:
        """What the filling goes by."""
        zones = sorted(set(self.zones))
        place = {zone: at for at, zone in enumerate(zones)}
        shares = [self.setup.tenants[name] for name in self.tenants]
        return Network(
            [self.capacity(f"n:{name}") or 0 for name in self.nodes],
            [place[zone] for zone in self.zones],
            [self.setup.zones.get(zone) for zone in zones],
            [share.weight for share in shares],
            [share.reserve for share in shares],
            [share.limit for share in shares],
        )


class SharesStateMachine:
    """The machine; `gateways` are the fleet's members, fixed by the operators' file."""

    name: ClassVar[str] = "shares"
    entries: ClassVar[Any] = Demand | Close | Gone | Released
    state: ClassVar[type] = SharesState

    def __init__(self, gateways: tuple[str, ...]) -> None:
        self.gateways = tuple(sorted(gateways))

    def start(self) -> SharesState:
        """Nothing is shared yet."""
        return SharesState(QuotaEpochs(self.gateways))

    def apply(self, states: Mapping[str, Any], index: int, by: str, entry: Any) -> SharesState | Refusal:
        """The next state, or why there is none."""
        state: SharesState = states[self.name]
        match entry:
            case Demand():
                return self._demand(state, by, entry)
            case Close():
                return self._close(state, entry)
            case Gone(node, gone):
                before = state.gone.get(node, ())
                after = tuple(sorted({*before, by} if gone else {*before} - {by}))
                if after == before or node not in state.setup.nodes:
                    return state
                lost = {**state.gone, node: after}
                if not after:
                    del lost[node]
                turned = bool(before) != bool(after)
                return msgspec.structs.replace(state, gone=lost, dirty=2 if turned else state.dirty)
            case Released(epoch, holder):
                return msgspec.structs.replace(state, handed=release(state.handed, holder or by, epoch))
        return Refusal("no such entry")

    def apply_policy(self, states: Mapping[str, Any], index: int, policy: Any) -> SharesState | Refusal:
        """The next state as this policy's shares take hold; one without them shares nothing any more."""
        state: SharesState = states[self.name]
        setup = getattr(policy, "shares", None)
        try:
            if not isinstance(setup, Setup):
                setup = (section_of(policy, self.name, Setup) if setup is not None else None) or Setup()
            if setup == state.setup:
                return state
            floors = _floors(setup, state.floors, len(self.gateways))
        except (BadSetup, BadPolicy) as error:
            return Refusal(error.what, error.where, error.cure)
        after = msgspec.structs.replace(state, setup=setup, floors=floors, dirty=2)
        tenants, nodes = tuple(sorted(setup.tenants)), tuple(sorted(setup.nodes))
        if (tenants, nodes) != (state.tenants, state.nodes):
            after = _renumbered(after, tenants, nodes)
        return after

    def _demand(self, state: SharesState, by: str, entry: Demand) -> SharesState | Refusal:
        if entry.roll != state.roll or by not in self.gateways:
            return Refusal("flows are numbered anew", f"roll {entry.roll}", "report again, whole")
        try:
            told = unpack(entry.rows, len(state.tenants) * len(state.nodes))
        except BadRows as error:
            return Refusal(str(error), by)
        before = state.demand.get(by, {})
        after = {} if entry.whole else dict(before)
        for flow, code in told.items():
            if code:
                after[flow] = STEPS[code]
            else:
                after.pop(flow, None)
        if len(after) > MOST_FLOWS:
            return Refusal(f"{len(after)} flows at one gateway, at most {MOST_FLOWS}", by)
        quiet = tuple(name for name in state.quiet if name != by)
        if after == before:
            return state if quiet == state.quiet else msgspec.structs.replace(state, quiet=quiet)
        if after.keys() != before.keys():
            after = dict(sorted(after.items()))
        total = dict(state.total)
        for flow in before.keys() | after.keys() if entry.whole else told:
            if sum_ := total.get(flow, 0) + after.get(flow, 0) - before.get(flow, 0):
                total[flow] = sum_
            else:
                total.pop(flow, None)
        return msgspec.structs.replace(
            state, demand={**state.demand, by: after}, total=total, quiet=quiet, dirty=max(state.dirty, 1)
        )

    def _close(self, state: SharesState, entry: Close) -> SharesState | Refusal:
        if entry.number != state.number + 1:
            return Refusal("another has closed it", f"epoch {entry.number}")
        quiet = sorted({*entry.quiet} & {*self.gateways})
        if quiet:
            state = _silenced(state, tuple(quiet))
        rates = allot(state.network(), state.total)
        places = Places(state.tenants, state.nodes, state.zones)
        rows = grant(places, state.floors, rates, state.total, state.demand)
        for name, row in rows.items():
            if (most := state.capacity(name)) is not None:
                rows[name] = trim(row, most, state.floors.get(name, 0), len(self.gateways))
        try:
            handed = open_epoch(state.handed, rows, state.floors)
        except (BadTarget, TooManyOpen) as error:
            return Refusal(error.what, error.where, error.cure)
        return msgspec.structs.replace(
            state,
            handed=handed,
            number=entry.number,
            dirty=0,
            rates=rates,
            asked=state.demand,
            asked_total=state.total,
        )


def targets(state: SharesState, gateway: str) -> dict[int, int]:
    """What the newest close grants this gateway, by flow."""
    cut = ratios(state.rates, state.asked_total)
    return {flow: int(asked * cut[flow]) for flow, asked in state.asked.get(gateway, {}).items()}


def _floors(setup: Setup, before: Mapping[str, int], gateways: int) -> dict[str, int]:
    """The floors of each gateway: those of before stay for good; raises `BadSetup`."""
    if len(setup.tenants) > MOST_TENANTS or len(setup.nodes) > MOST_NODES:
        raise BadSetup(f"more than {MOST_TENANTS} tenants or {MOST_NODES} nodes", "shares")
    if not 0 <= setup.probe <= 500:
        raise BadSetup("not within 0 and 500 thousandths", "shares.probe")
    floors = dict(before)
    for name, share in setup.tenants.items():
        where, limit = f"shares.tenants.{name}", share.limit
        if not (1 <= share.weight <= MOST_WEIGHT and 0 <= share.reserve <= MOST_RATE):
            raise BadSetup(f"weight within 1 and {MOST_WEIGHT}, reserve within 0 and {MOST_RATE}", where)
        if limit is not None and not 0 <= limit <= MOST_RATE:
            raise BadSetup(f"limit within 0 and {MOST_RATE}", where)
        floors.setdefault(f"t:{name}", (limit or 0) * setup.probe // (1000 * gateways))
        if limit is not None and floors[f"t:{name}"] * gateways > limit:
            raise BadSetup("the limit is under the floors set aside of it", where)
    for name, node in setup.nodes.items():
        if not 0 <= node.capacity <= MOST_RATE:
            raise BadSetup(f"capacity within 0 and {MOST_RATE}", f"shares.nodes.{name}")
        floor = floors.setdefault(f"n:{name}", node.capacity * setup.probe // (1000 * gateways))
        if floor * gateways > node.capacity:
            raise BadSetup("the capacity is under the floors set aside of it", f"shares.nodes.{name}")
    for zone in {node.zone for node in setup.nodes.values()}:
        most = setup.zones.get(zone, MOST_RATE * MOST_NODES)
        inside = sum(node.capacity for node in setup.nodes.values() if node.zone == zone)
        floor = floors.setdefault(f"z:{zone}", min(most, inside) * setup.probe // (1000 * gateways))
        if floor * gateways > most:
            raise BadSetup("the capacity is under the floors set aside of it", f"shares.zones.{zone}")
    return floors


def _silenced(state: SharesState, quiet: tuple[str, ...]) -> SharesState:
    """The picture without what these asked for and told."""
    total = dict(state.total)
    for gateway in quiet:
        for flow, asked in state.demand.get(gateway, {}).items():
            total[flow] -= asked
            if not total[flow]:
                del total[flow]
    gone = {node: left for node, by in state.gone.items() if (left := tuple(x for x in by if x not in quiet))}
    return msgspec.structs.replace(
        state,
        total=total,
        gone=gone,
        quiet=tuple(sorted({*state.quiet, *quiet})),
        demand={name: rows for name, rows in state.demand.items() if name not in quiet},
    )


def _renumbered(state: SharesState, tenants: tuple[str, ...], nodes: tuple[str, ...]) -> SharesState:
    """All flows under their new numbers; those of who or what is no more are left out."""
    tenant_at = {name: at for at, name in enumerate(tenants)}
    node_at = {name: at for at, name in enumerate(nodes)}
    count = len(state.nodes)

    def moved(rows: Mapping[int, int]) -> dict[int, int]:
        after: dict[int, int] = {}
        for flow, value in rows.items():
            tenant, node = tenant_at.get(state.tenants[flow // count]), node_at.get(state.nodes[flow % count])
            if tenant is not None and node is not None:
                after[tenant * len(nodes) + node] = value
        return after

    return msgspec.structs.replace(
        state,
        roll=state.roll + 1,
        tenants=tenants,
        nodes=nodes,
        total=moved(state.total),
        rates=moved(state.rates),
        asked_total=moved(state.asked_total),
        gone={node: by for node, by in state.gone.items() if node in node_at},
        demand={name: moved(rows) for name, rows in state.demand.items()},
        asked={name: moved(rows) for name, rows in state.asked.items()},
    )
