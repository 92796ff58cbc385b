"""The replicated state machine of the shares: the demand of all gateways, and the newest epoch's grants.

Gateways report the demand that arrives at them (`DemandReport`).  `CloseEpoch` ends an epoch: every member
computes the same rates from the same demand (`max_min_fairness.py`) and opens the epoch of the quota transfer
with them (`quota_epochs.py`).  A quota is a gateway's sum at a node, at a zone or of a tenant, not the rate
of a single flow, because those sums must never exceed a capacity or a limit.  How a gateway divides its
quotas among its flows is decided there (`gateway_core.py`).

Each gateway has a floor at each node, zone and limit: together they have `probe` thousandths of it.  A floor
never changes once it is set.  A gateway that is cut off uses its floors, and flows that are new at a gateway
start within them.

The state machine reads no clock.  A gateway that has stopped reporting is named as silent in a `CloseEpoch`
by the member that noticed, and counts again from its next report on.  A lost node is reported by the gateways
whose discovery lost it (`NodeLost`); while any of them reports it lost, its capacity is 0.

Rates are milli-units a second, weights thousandths.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from enum import IntEnum
from typing import Any, ClassVar

import msgspec

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.errors import InvalidPolicyError
from mallowbeam.storage_gateway.coordination.policy_document import section_of
from mallowbeam.storage_gateway.coordination.quota_epochs import (
    InvalidTargetError,
    QuotaEpochs,
    TooManyOpenEpochsError,
    release,
)
from mallowbeam.storage_gateway.coordination.replicated_log import Entry, Refusal
from mallowbeam.storage_gateway.coordination.shares.demand_encoding import (
    RATE_STEPS,
    InvalidDemandError,
    decode_demand,
)
from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import (
    MAX_WEIGHT,
    MILLI,
    Network,
    allocate,
)
from mallowbeam.storage_gateway.coordination.shares.quota_rows import (
    FlowNames,
    grant_rows,
    granted_ratios,
    open_quota_epoch,
    trim_row,
)

MAX_TENANTS = 10_000  # in a policy; a push with more is refused
MAX_NODES = 2_000
MAX_RATE = 10**9  # milli-units a second of one capacity, reserve or limit
MAX_FLOWS = 16_000  # of one gateway; a report with more is refused, and its new flows use the floors
MAX_PROBE = 500  # thousandths


class TenantShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One tenant's share: `reserve` and `limit` in milli-units a second, `weight` in thousandths."""

    weight: int = MILLI
    reserve: int = 0
    limit: int | None = None


class NodeCapacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One storage node: its capacity in milli-units a second, and its zone."""

    capacity: int
    zone: str = ""


class SharesPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section `shares` of a policy."""

    tenants: dict[str, TenantShare] = {}
    nodes: dict[str, NodeCapacity] = {}
    zones: dict[str, int] = {}  # capacity
    probe: int = 10  # thousandths of each capacity and limit set aside as floors, over all gateways


class DemandReport(Entry, frozen=True, tag="Demand", rename={"numbering": "roll", "complete": "whole"}):
    """The demand at this gateway where it has changed since the last report; if `complete`, all of it."""

    numbering: int
    rows: bytes = b""  # as `demand_encoding` writes them
    complete: bool = False


class CloseEpoch(Entry, frozen=True, tag="Close", rename={"silent": "quiet"}):
    """End the epoch before `number`; the demand of the `silent` gateways counts as none."""

    number: int
    silent: tuple[str, ...] = ()


class NodeLost(Entry, frozen=True, tag="Gone", rename={"lost": "gone"}):
    """This gateway's discovery has lost a node, or has it again."""

    node: str
    lost: bool


class QuotaReleased(Entry, frozen=True, tag="Released"):
    """This gateway, or a `holder` whose lease has surely expired, stays within its quota of that epoch."""

    epoch: int
    holder: str = ""


class InvalidSharesError(MallowbeamError):
    """The section `shares` of a policy breaks a bound."""

    error_name = "BadSetup"
    remedy = "correct the policy's shares and push it again"


class Recompute(IntEnum):
    """Whether the newest close is out of date, and how soon the next one is due."""

    NONE = 0
    DUE = 1
    AT_ONCE = 2


STATE_KEYS = {
    "quota": "handed",
    "policy": "setup",
    "numbering": "roll",
    "total_demand": "total",
    "lost_nodes": "gone",
    "silent": "quiet",
    "recompute": "dirty",
    "close_number": "number",
    "closed_demand": "asked",
    "closed_total": "asked_total",
}  # by field: its key in snapshots, where that is another


class SharesState(msgspec.Struct, frozen=True, rename=STATE_KEYS):
    """The demand and the newest grant.

    A flow is numbered by its tenant's and its node's positions in `tenants` and `nodes`; a policy with other
    tenants or nodes numbers them anew and increases `numbering`.
    """

    quota: QuotaEpochs[int]
    policy: SharesPolicy = SharesPolicy()
    numbering: int = 0
    tenants: tuple[str, ...] = ()
    nodes: tuple[str, ...] = ()
    floors: dict[str, int] = {}  # by resource, of each gateway
    demand: dict[str, dict[int, int]] = {}  # by gateway and flow
    total_demand: dict[int, int] = {}  # by flow
    lost_nodes: dict[str, tuple[str, ...]] = {}  # by node, the gateways that report it lost
    silent: tuple[str, ...] = ()
    recompute: Recompute = Recompute.NONE
    close_number: int = 0  # of the newest close
    rates: dict[int, int] = {}  # granted by it, by flow
    closed_demand: dict[str, dict[int, int]] = {}  # `demand` when it was computed
    closed_total: dict[int, int] = {}  # `total_demand` when it was computed

    @property
    def zones(self) -> tuple[str, ...]:
        """Each node's zone."""
        return tuple(self.policy.nodes[name].zone for name in self.nodes)

    def capacity(self, resource: str) -> int | None:
        """The capacity of `n:NODE`, `z:ZONE` or `t:TENANT` now; None where it has no bound."""
        kind, name = resource.split(":", 1)
        if kind == "n":
            return 0 if name in self.lost_nodes else self.policy.nodes[name].capacity
        if kind == "z":
            return self.policy.zones.get(name)
        return self.policy.tenants[name].limit

    def network(self) -> Network:
        """The links that `max_min_fairness` fills."""
        zones = sorted(set(self.zones))
        zone_position = {zone: position for position, zone in enumerate(zones)}
        shares = [self.policy.tenants[name] for name in self.tenants]
        return Network(
            nodes=[self.capacity(f"n:{name}") or 0 for name in self.nodes],
            zone_of=[zone_position[zone] for zone in self.zones],
            zones=[self.policy.zones.get(zone) for zone in zones],
            weights=[share.weight for share in shares],
            reserves=[share.reserve for share in shares],
            limits=[share.limit for share in shares],
        )


class SharesStateMachine:
    """Applies the entries of the shares; `gateways` are the members named in the operators' file."""

    name: ClassVar[str] = "shares"
    entries: ClassVar[Any] = DemandReport | CloseEpoch | NodeLost | QuotaReleased
    state: ClassVar[type] = SharesState

    def __init__(self, gateways: tuple[str, ...]) -> None:
        self.gateways = tuple(sorted(gateways))

    def start(self) -> SharesState:
        """The state before any entry: nothing is shared."""
        return SharesState(QuotaEpochs(self.gateways))

    def apply(self, states: Mapping[str, Any], index: int, by: str, entry: Any) -> SharesState | Refusal:
        """The state after this entry, or a refusal."""
        state: SharesState = states[self.name]
        match entry:
            case DemandReport():
                return self._apply_demand(state, by, entry)
            case CloseEpoch():
                return self._close_epoch(state, entry)
            case NodeLost(node, lost):
                return _apply_node_lost(state, by, node, lost)
            case QuotaReleased(epoch, holder):
                return msgspec.structs.replace(state, quota=release(state.quota, holder or by, epoch))
        return Refusal("no such entry")

    def apply_policy(self, states: Mapping[str, Any], index: int, policy: Any) -> SharesState | Refusal:
        """The state under this policy, or a refusal; without a section `shares` nothing is shared."""
        state: SharesState = states[self.name]
        section = getattr(policy, "shares", None)
        try:
            if not isinstance(section, SharesPolicy):
                typed = section_of(policy, self.name, SharesPolicy) if section is not None else None
                section = typed or SharesPolicy()
            if section == state.policy:
                return state
            floors = _floors(section, state.floors, len(self.gateways))
        except (InvalidSharesError, InvalidPolicyError) as error:
            return Refusal(error.what, error.where, error.remedy_text)
        after = msgspec.structs.replace(state, policy=section, floors=floors, recompute=Recompute.AT_ONCE)
        tenants = tuple(sorted(section.tenants))
        nodes = tuple(sorted(section.nodes))
        if (tenants, nodes) != (state.tenants, state.nodes):
            after = _renumbered(after, tenants, nodes)
        return after

    def _apply_demand(self, state: SharesState, by: str, entry: DemandReport) -> SharesState | Refusal:
        if entry.numbering != state.numbering or by not in self.gateways:
            return Refusal("flows are numbered anew", f"roll {entry.numbering}", "report again, whole")
        try:
            reported = decode_demand(entry.rows, len(state.tenants) * len(state.nodes))
        except InvalidDemandError as error:
            return Refusal(str(error), by)
        before = state.demand.get(by, {})
        after = _updated_demand({} if entry.complete else before, reported)
        if len(after) > MAX_FLOWS:
            return Refusal(f"{len(after)} flows at one gateway, at most {MAX_FLOWS}", by)
        silent = tuple(name for name in state.silent if name != by)
        if after == before:
            return state if silent == state.silent else msgspec.structs.replace(state, silent=silent)
        if after.keys() != before.keys():
            after = dict(sorted(after.items()))
        changed = before.keys() | after.keys() if entry.complete else reported.keys()
        total = _updated_total(state.total_demand, changed, before, after)
        return msgspec.structs.replace(
            state,
            demand={**state.demand, by: after},
            total_demand=total,
            silent=silent,
            recompute=max(state.recompute, Recompute.DUE),
        )

    def _close_epoch(self, state: SharesState, entry: CloseEpoch) -> SharesState | Refusal:
        if entry.number != state.close_number + 1:
            return Refusal("another has closed it", f"epoch {entry.number}")
        if silent := sorted({*entry.silent} & {*self.gateways}):
            state = _without_silent(state, tuple(silent))
        rates = allocate(state.network(), state.total_demand)
        names = FlowNames(state.tenants, state.nodes, state.zones)
        rows = grant_rows(names, state.floors, rates, state.total_demand, state.demand)
        for resource, row in rows.items():
            if (capacity := state.capacity(resource)) is not None:
                rows[resource] = trim_row(row, capacity, state.floors.get(resource, 0), len(self.gateways))
        try:
            quota = open_quota_epoch(state.quota, rows, state.floors)
        except (InvalidTargetError, TooManyOpenEpochsError) as error:
            return Refusal(error.what, error.where, error.remedy_text)
        return msgspec.structs.replace(
            state,
            quota=quota,
            close_number=entry.number,
            recompute=Recompute.NONE,
            rates=rates,
            closed_demand=state.demand,
            closed_total=state.total_demand,
        )


def granted_rates(state: SharesState, gateway: str) -> dict[int, int]:
    """The rates that the newest close grants this gateway, in milli-units a second by flow."""
    ratios = granted_ratios(state.rates, state.closed_total)
    return {flow: int(rate * ratios[flow]) for flow, rate in state.closed_demand.get(gateway, {}).items()}


def _updated_demand(before: Mapping[int, int], reported: Mapping[int, int]) -> dict[int, int]:
    """Rates by flow with those of the reported codes; code 0 removes a flow."""
    after = dict(before)
    for flow, rate_code in reported.items():
        if rate_code:
            after[flow] = RATE_STEPS[rate_code]
        else:
            after.pop(flow, None)
    return after


def _updated_total(
    total: Mapping[int, int], changed: Set[int], before: Mapping[int, int], after: Mapping[int, int]
) -> dict[int, int]:
    """The sums by flow after one gateway's demand has changed at some flows."""
    updated = dict(total)
    for flow in changed:
        if rate := updated.get(flow, 0) + after.get(flow, 0) - before.get(flow, 0):
            updated[flow] = rate
        else:
            updated.pop(flow, None)
    return updated


def _apply_node_lost(state: SharesState, by: str, node: str, lost: bool) -> SharesState:
    """The state in which gateway `by` reports this node lost, or not lost any more."""
    before = state.lost_nodes.get(node, ())
    after = tuple(sorted({*before, by} if lost else {*before} - {by}))
    if after == before or node not in state.policy.nodes:
        return state
    lost_nodes = {**state.lost_nodes, node: after}
    if not after:
        del lost_nodes[node]
    capacity_changed = bool(before) != bool(after)
    return msgspec.structs.replace(
        state,
        lost_nodes=lost_nodes,
        recompute=Recompute.AT_ONCE if capacity_changed else state.recompute,
    )


def _floors(policy: SharesPolicy, before: Mapping[str, int], gateways: int) -> dict[str, int]:
    """Each gateway's floors by resource: those of before, and new ones; raises `InvalidSharesError`."""
    if len(policy.tenants) > MAX_TENANTS or len(policy.nodes) > MAX_NODES:
        raise InvalidSharesError(f"more than {MAX_TENANTS} tenants or {MAX_NODES} nodes", "shares")
    if not 0 <= policy.probe <= MAX_PROBE:
        raise InvalidSharesError("must be within 0 and 500 thousandths", "shares.probe")
    floors = dict(before)
    _set_tenant_floors(floors, policy, gateways)
    _set_node_floors(floors, policy, gateways)
    _set_zone_floors(floors, policy, gateways)
    return floors


def _set_tenant_floors(floors: dict[str, int], policy: SharesPolicy, gateways: int) -> None:
    for name, share in policy.tenants.items():
        where = f"shares.tenants.{name}"
        _check_tenant(share, where)
        _set_floor(floors, f"t:{name}", share.limit or 0, policy.probe, gateways)
        if share.limit is not None and floors[f"t:{name}"] * gateways > share.limit:
            raise InvalidSharesError("the limit is lower than the sum of its floors", where)


def _set_node_floors(floors: dict[str, int], policy: SharesPolicy, gateways: int) -> None:
    for name, node in policy.nodes.items():
        where = f"shares.nodes.{name}"
        if not 0 <= node.capacity <= MAX_RATE:
            raise InvalidSharesError(f"capacity must be within 0 and {MAX_RATE}", where)
        _set_floor(floors, f"n:{name}", node.capacity, policy.probe, gateways)
        _check_floors_fit(floors[f"n:{name}"] * gateways, node.capacity, where)


def _set_zone_floors(floors: dict[str, int], policy: SharesPolicy, gateways: int) -> None:
    for zone in {node.zone for node in policy.nodes.values()}:
        capacity = policy.zones.get(zone, MAX_RATE * MAX_NODES)
        total_node_capacity = sum(node.capacity for node in policy.nodes.values() if node.zone == zone)
        _set_floor(floors, f"z:{zone}", min(capacity, total_node_capacity), policy.probe, gateways)
        _check_floors_fit(floors[f"z:{zone}"] * gateways, capacity, f"shares.zones.{zone}")


def _set_floor(floors: dict[str, int], resource: str, capacity: int, probe: int, gateways: int) -> None:
    """Set a resource's floor, unless it has one."""
    floors.setdefault(resource, capacity * probe // (1000 * gateways))


def _check_tenant(share: TenantShare, where: str) -> None:
    """Raise `InvalidSharesError` where a tenant's figures are out of range."""
    if not (1 <= share.weight <= MAX_WEIGHT and 0 <= share.reserve <= MAX_RATE):
        raise InvalidSharesError(
            f"weight must be within 1 and {MAX_WEIGHT}, reserve within 0 and {MAX_RATE}", where
        )
    if share.limit is not None and not 0 <= share.limit <= MAX_RATE:
        raise InvalidSharesError(f"limit must be within 0 and {MAX_RATE}", where)


def _check_floors_fit(floors: int, capacity: int, where: str) -> None:
    """Raise `InvalidSharesError` where all floors together exceed a capacity."""
    if floors > capacity:
        raise InvalidSharesError("the capacity is lower than the sum of its floors", where)


def _without_silent(state: SharesState, silent: tuple[str, ...]) -> SharesState:
    """The state without the demand and the lost nodes that these gateways reported."""
    total = dict(state.total_demand)
    for gateway in silent:
        for flow, rate in state.demand.get(gateway, {}).items():
            total[flow] -= rate
            if not total[flow]:
                del total[flow]
    lost_nodes: dict[str, tuple[str, ...]] = {}
    for node, reporters in state.lost_nodes.items():
        if remaining := tuple(name for name in reporters if name not in silent):
            lost_nodes[node] = remaining
    return msgspec.structs.replace(
        state,
        total_demand=total,
        lost_nodes=lost_nodes,
        silent=tuple(sorted({*state.silent, *silent})),
        demand={name: rows for name, rows in state.demand.items() if name not in silent},
    )


def _renumbered(state: SharesState, tenants: tuple[str, ...], nodes: tuple[str, ...]) -> SharesState:
    """The state with all flows under their new numbers, without those whose tenant or node is gone."""
    tenant_position = {name: position for position, name in enumerate(tenants)}
    node_position = {name: position for position, name in enumerate(nodes)}
    node_count = len(state.nodes)

    def renumber(rows: Mapping[int, int]) -> dict[int, int]:
        after: dict[int, int] = {}
        for flow, value in rows.items():
            tenant = tenant_position.get(state.tenants[flow // node_count])
            node = node_position.get(state.nodes[flow % node_count])
            if tenant is not None and node is not None:
                after[tenant * len(nodes) + node] = value
        return after

    return msgspec.structs.replace(
        state,
        numbering=state.numbering + 1,
        tenants=tenants,
        nodes=nodes,
        total_demand=renumber(state.total_demand),
        rates=renumber(state.rates),
        closed_total=renumber(state.closed_total),
        lost_nodes={node: by for node, by in state.lost_nodes.items() if node in node_position},
        demand={name: renumber(rows) for name, rows in state.demand.items()},
        closed_demand={name: renumber(rows) for name, rows in state.closed_demand.items()},
    )
