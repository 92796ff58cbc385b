"""What a pushed policy asks of maintenance: checked against what is known, then joined to what is under way.

A request that can't be met in any order is refused at once, with what to change.  A machine that two requests
name is taken out once for both, and both requests' constraints hold.  What a policy no longer names comes
back: not begun is dropped, on its way to `out` is called off, out comes back through its steps.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec.structs import replace

from mallowbeam.storage_gateway.coordination.maintenance import state as s
from mallowbeam.storage_gateway.coordination.maintenance.order import Order, Picture, picture
from mallowbeam.storage_gateway.coordination.maintenance.state import Item, Maintained, Request, Section
from mallowbeam.storage_gateway.coordination.replicated_log import Refusal

CURES = {  # what an operator changes where a limit lets a machine go in no order
    "zone_capacity": "lower zone_floor, or add capacity to the zone first",
    "shard_capacity": "lower shard_floor, or add capacity to the shard first",
    "sole_data": "copy its data elsewhere first, or set sole_data to true and accept that it is not served",
    "majority": "a fleet of three gateways or more can do without one; leave gateways out of the request",
}


def section(policy: Any) -> Section:
    """A policy's section; raises `msgspec.ValidationError`."""
    told = policy.get("maintenance") if isinstance(policy, dict) else getattr(policy, "maintenance", None)
    return Section() if told is None else msgspec.convert(told, Section, from_attributes=True)


def apply_policy(order: Order, now: Maintained, index: int, policy: Any) -> Maintained | Refusal:
    """The state under this policy, or why it may not take hold."""
    try:
        wanted = section(policy).requests
    except msgspec.ValidationError as error:
        return Refusal(str(error), "maintenance", "put it right as docs/maintenance.md says, and push again")
    requests = {request.id: request for request in wanted}
    view = picture(now, order.members)
    for refusal in _wrong(order, now, view, wanted):
        return refusal
    drains = policy.get("drains", ()) if isinstance(policy, dict) else policy.drains
    after = replace(
        now,
        requests=requests,
        drains=frozenset(drains),
        stopped={id: why for id, why in now.stopped.items() if id in requests},
    )
    items: dict[str, Item] = {}
    asked: dict[str, tuple[str, ...]] = {}
    for request in wanted:
        for machine in dict.fromkeys(request.machines):
            asked[machine] = (*asked.get(machine, ()), request.id)
    for machine, ids in asked.items():
        item = now.items.get(machine)
        if (
            item is None
            or item.step == "aborted"
            or (item.step in s.OVER and not set(ids) <= set(item.asked))
        ):
            why = f"asked for by {', '.join(ids)}"
            item = Item(
                machine, machine in order.members, ids, turn=item.turn + 1 if item else 0, at=index, why=why
            )
        items[machine] = replace(item, asked=ids, dropped=False)
    turns = []
    for machine, item in now.items.items():
        if machine in asked or item.step in s.OVER or item.step == "proposed":
            continue
        if item.step in s.RECALLED:  # it has not gone out: it serves on
            items[machine] = replace(item, step="aborted", turn=item.turn + 1, at=index, why="taken back")
            turns.append(s.Turn(index, machine, "aborted", "its request was taken back before it was out"))
        else:
            items[machine] = replace(item, dropped=True)
            turns.append(s.Turn(index, machine, item.step, "its request was taken back: it only comes back"))
    # What is taken back while out keeps its constraints until it is back.
    kept = {
        id: request
        for id, request in now.requests.items()
        if id not in requests and any(item.dropped and id in item.asked for item in items.values())
    }
    return replace(after, items=items, requests=requests | kept, order=(*now.order, *turns)[-s.MOST_ORDER :])


def _wrong(order: Order, now: Maintained, view: Picture, wanted: tuple[Request, ...]) -> Iterator[Refusal]:
    """What is wrong with it, the first first."""
    away = sorted(view.away)
    for id, count in Counter(request.id for request in wanted).items():
        if count > 1:
            yield Refusal(f"{count} requests are called {id}", f"maintenance.{id}", "give each its own id")
    for request in wanted:
        where = f"maintenance.{request.id}"
        before = now.requests.get(request.id)
        busy = [name for name in away if request.id in now.items[name].asked]
        if before is not None and busy and replace(before, machines=()) != replace(request, machines=()):
            yield Refusal(
                f"its constraints can't change while {busy[0]} is {now.items[busy[0]].step}",
                where,
                "wait until none of its machines is away, or take them back first",
            )
        joined = [
            name for name in away if name in request.machines and request.id not in now.items[name].asked
        ]
        zones = Counter(view.zones.get(name, "") for name in away)
        if joined and (len(away) > request.at_once or max(zones.values()) > request.at_once_zone):
            yield Refusal(
                f"{joined[0]} is away for another request, with {len(away) - 1} more; this one "
                f"allows {request.at_once} at once and {request.at_once_zone} in one zone",
                where,
                "raise at_once and at_once_zone, or push it when the other request is done",
            )
        for machine in request.machines:
            place = f"{where}.{machine}"
            if machine in view.nodes and machine in order.members:
                yield Refusal("a node and a gateway have this name", place, "rename one of them")
            elif (
                before is not None
                and machine in before.machines
                and (replace(before, machines=()) == replace(request, machines=()))
            ):
                continue  # it was let in before
            elif machine not in view.nodes and machine not in order.members:
                yield Refusal(
                    "no live gateway lists it, and it is no gateway"
                    if now.reports
                    else "no gateway has said yet which nodes it lists",
                    place,
                    "see that its name is that of discovery and that it is listed, and push again",
                )
            else:
                yield from _never(order, view, machine, request, place)


def _never(order: Order, view: Picture, machine: str, request: Request, place: str) -> Iterator[Refusal]:
    """A limit that holds it back even where all else is there."""
    calm = Picture(view.nodes, view.zones, view.members)
    for limit in order.limits:
        if why := limit(calm, machine, request):
            yield Refusal(
                f"it could never go: {why}",
                place,
                CURES.get(limit.__name__, "lower the constraint that is named"),
            )
