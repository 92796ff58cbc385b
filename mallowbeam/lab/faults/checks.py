"""Checkers of what clients and nodes saw: pure functions over a `Record`, each a list of what is wrong.

Written from what the contract promises, and knowing none of the code that keeps it.  A line has seconds and
names.  Where a promise holds from the moment that somebody was told, the record's own word for that counts.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from mallowbeam.lab.faults import seen as s

HOLDS_S = 0.25  # seconds after which a drain that was told holds: the contract's
SLACK_S = 0.05  # seconds beside it: a request's way over loopback and two processes' turns
KILLED_S = 1.0  # seconds by which a kill may be recorded after what it broke off
NOT_RUN = (429, 503)  # answers that promise that nothing ran
OUT = ("draining", "empty", "out", "back", "lost")  # steps in which nothing new may arrive
AWAY = ("draining", "empty", "out")  # steps that count as out at once
END = math.inf


def one_answer(record: s.Record) -> list[str]:
    """(a) Each request taken has one final answer, and none that was refused has run or runs later.

    A request may end without one only where its gateway was killed, or stood still, while it was out.
    """
    wrong: list[str] = []
    answers: dict[str, list[s.Answered]] = defaultdict(list)
    ran: dict[str, list[s.Ran]] = defaultdict(list)
    for answer in record.of(s.Answered):
        answers[answer.id].append(answer)
    for run in record.of(s.Ran):
        ran[run.id].append(run)
    lost = broken(record)
    known = set()
    for asked in record.of(s.Asked):
        known.add(asked.id)
        ends = answers[asked.id]
        name = f"{asked.at:.3f} {asked.gateway}: request {asked.id}"
        if not ends:
            wrong.append(f"{name} never ended")
            continue
        if len(ends) > 1:
            wrong.append(
                f"{name} was answered {len(ends)} times: "
                + ", ".join(f"{end.status} at {end.at:.3f}" for end in ends)
            )
        end = ends[0]
        if (
            end.status == 0
            and end.sent
            and not any(
                began <= end.at + KILLED_S and asked.at <= ended for began, ended in lost[asked.gateway]
            )
        ):
            wrong.append(f"{name} ended at {end.at:.3f} without an answer, its gateway undisturbed")
        if not end.sent and ran[asked.id]:
            wrong.append(f"{name} never went out, and ran at {ran[asked.id][0].node}")
        if end.status in NOT_RUN and ran[asked.id]:
            run = ran[asked.id][0]
            wrong.append(
                f"{name} was answered {end.status} at {end.at:.3f}, " f"and {run.node} ran it at {run.at:.3f}"
            )
        if 200 <= end.status < 300 and not any(run.at <= end.at for run in ran[asked.id]):
            wrong.append(f"{name} was answered {end.status} at {end.at:.3f}, and no node had run it")
    for id in sorted({*answers, *ran} - known):
        found = [answer.at for answer in answers[id]] + [run.at for run in ran[id]]
        if found:
            wrong.append(f"{min(found):.3f}: request {id} was answered or run, and nobody asked it")
    return wrong


def broken(record: s.Record) -> dict[str, list[tuple[float, float]]]:
    """By gateway: when it was down or stood still, so that clients may be left without an answer."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    began: dict[str, float] = {}
    for laid in record.of(s.Laid):
        for name in laid.machines:
            if laid.what in ("kill", "stop"):
                began.setdefault(name, laid.at)
            elif laid.what in ("start", "go") and name in began:
                spans[name].append((began.pop(name), laid.at))
    for name, at in began.items():
        spans[name].append((at, END))
    return spans


def told_spans(record: s.Record) -> dict[tuple[str, str], list[tuple[float, float]]]:
    """By gateway and machine: from when to when that gateway knew that the machine is out.

    Through a restart too: it has to learn again before it serves.
    """
    spans: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    since: dict[tuple[str, str], float] = {}
    for event in record.of(s.Told):
        key = event.gateway, event.machine
        if event.step in OUT:
            since.setdefault(key, event.at)
        elif key in since:
            spans[key].append((since.pop(key), event.at))
    for key, at in since.items():
        spans[key].append((at, END))
    return spans


def nothing_new(record: s.Record) -> list[str]:
    """(b) Nothing arrives at a drained node from a gateway that was told so `HOLDS_S` before.

    Checked for each gateway by its own word, which is stricter than once all were told; and at a node that
    operators work at nothing arrives from anybody.
    """
    asked = {request.id: request.gateway for request in record.of(s.Asked)}
    spans, wrong = told_spans(record), []
    work = _spans(record, "work", "done")
    for got in record.of(s.Arrived):
        gateway = asked.get(got.id, "")
        slack = SLACK_S + got.late
        for began, ended in spans.get((gateway, got.node), []):
            if began + HOLDS_S + slack < got.at < ended:
                wrong.append(
                    f"{got.at:.3f} {got.node}: request {got.id} of {gateway}, "
                    f"{got.at - began:.3f} s after that was told of the drain"
                )
        for began, ended in work[got.node]:
            if began + slack < got.at < ended:
                wrong.append(f"{got.at:.3f} {got.node}: request {got.id} of {gateway} while it is worked at")
    return wrong


def _spans(record: s.Record, begins: str, ends: str) -> dict[str, list[tuple[float, float]]]:
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    since: dict[str, float] = {}
    for laid in record.of(s.Laid):
        for name in laid.machines:
            if laid.what == begins:
                since.setdefault(name, laid.at)
            elif laid.what == ends and name in since:
                spans[name].append((since.pop(name), laid.at))
    for name, at in since.items():
        spans[name].append((at, END))
    return spans


def few_out(record: s.Record, places: Sequence[s.Place], limits: s.Limits) -> list[str]:
    """(c) No more out than allowed, capacity floors and the gateways' quorum kept: by pages, and by the work.

    By the work itself too: what operators were let do at one moment must not be more either.
    """
    wrong: list[str] = []
    by_name = {place.name: place for place in places}
    for shown in record.of(s.Shown):
        away = {name for name, step in shown.steps.items() if step in AWAY and name in by_name}
        wrong += [f"{shown.at:.3f} {shown.gateway} shows {line}" for line in _too_many(away, places, limits)]
    spans = [(at, end, name) for name, all_of in _spans(record, "work", "done").items() for at, end in all_of]
    for began, _, _ in sorted(spans):
        away = {name for at, end, name in spans if at <= began < end and name in by_name}
        wrong += [f"{began:.3f} worked at: {line}" for line in _too_many(away, places, limits)]
    return wrong


def _too_many(away: set[str], places: Sequence[s.Place], limits: s.Limits) -> list[str]:
    """What is wrong with just these out."""
    named, wrong = ", ".join(sorted(away)), list[str]()
    if len(away) > limits.at_once:
        wrong.append(f"{named} out, {limits.at_once} allowed")
    zones: dict[str, set[str]] = defaultdict(set)
    for place in places:
        if place.name in away and place.zone:
            zones[place.zone].add(place.name)
    wrong += [
        f"{', '.join(sorted(names))} out in zone {zone}, {limits.at_once_zone} allowed"
        for zone, names in sorted(zones.items())
        if len(names) > limits.at_once_zone
    ]
    nodes = [place for place in places if not place.gateway]
    for what, floor, groups in (
        ("zone", limits.zone_floor, _groups((p.zone, p) for p in nodes)),
        ("shard", limits.shard_floor, _groups((str(p.shard), p) for p in nodes)),
    ):
        for group, members in sorted(groups.items()):
            whole = sum(p.weight for p in members)
            left = sum(p.weight for p in members if p.name not in away)
            if left < whole and left < floor * whole - 1e-9:
                wrong.append(f"{named} out: {left:g} of {whole:g} left in {what} {group}, floor {floor:g}")
    gateways = [place.name for place in places if place.gateway]
    gone = sorted(set(gateways) & away)
    if gone and 2 * len(gone) >= len(gateways):
        wrong.append(f"{', '.join(gone)} out of {len(gateways)} gateways: no majority")
    return wrong


def _groups(pairs: Iterable[tuple[str, s.Place]]) -> dict[str, list[s.Place]]:
    groups: dict[str, list[s.Place]] = defaultdict(list)
    for key, place in pairs:
        groups[key].append(place)
    return groups


def one_order(record: s.Record) -> list[str]:
    """(d) All orders shown, and the steps that gateways' logs tell, are beginnings of one another."""
    shown = list(record.of(s.Shown))
    longest = max((look.order for look in shown), key=len, default=())
    wrong = [
        f"{look.at:.3f} {look.gateway} shows the order {', '.join(look.order)}; "
        f"others {', '.join(longest)}"
        for look in shown
        if look.order != longest[: len(look.order)]
    ]
    newest: dict[str, s.Shown] = {}
    for look in shown:
        before = newest.get(look.gateway)
        if before is not None and look.index >= before.index and len(look.order) < len(before.order):
            wrong.append(f"{look.at:.3f} {look.gateway} shows less of the order than at {before.at:.3f}")
        newest[look.gateway] = look
    return wrong + _one_story(record)


def _one_story(record: s.Record) -> list[str]:
    """Steps as gateways' logs tell them: the same wherever nothing was laid, and in that order elsewhere.

    One that was restarted or cut off hears of some steps only by their outcome.
    """
    told: dict[str, list[tuple[str, str]]] = defaultdict(list)
    for word in record.of(s.Told):
        told[word.gateway].append((word.machine, word.step))
    hurt = {name for laid in record.of(s.Laid) for name in laid.machines if laid.what != "start"}
    whole = {name: story for name, story in told.items() if name not in hurt}
    if not whole:
        return []
    best = max(whole, key=lambda name: len(whole[name]))
    wrong = [
        f"{name}'s log tells {_first(story, whole[best])}, {best}'s other steps there"
        for name, story in sorted(whole.items())
        if story != whole[best][: len(story)]
    ]
    for name in sorted(hurt & set(told)):
        for machine in sorted({machine for machine, _ in told[name]}):
            for began, own in _lives(record, name, machine):
                rest = iter(step for of, step in whole[best] if of == machine)
                if not all(step in rest for step in own):
                    wrong.append(
                        f"{began:.3f} {name}'s log tells {machine} {', '.join(own)}: "
                        f"not in {best}'s order"
                    )
    return wrong


def _lives(record: s.Record, gateway: str, machine: str) -> list[tuple[float, list[str]]]:
    """A gateway's steps of a machine, by life and its beginning: a new one tells the log again."""
    starts = [laid.at for laid in record.of(s.Laid) if laid.what == "start" and gateway in laid.machines]
    lives: list[tuple[float, list[str]]] = [(at, []) for at in (0.0, *starts)]
    for word in record.of(s.Told):
        if (word.gateway, word.machine) == (gateway, machine):
            steps = [steps for began, steps in lives if began <= word.at][-1]
            steps += [word.step] if steps[-1:] != [word.step] else []
    return lives


def _first(story: Sequence[tuple[str, str]], other: Sequence[tuple[str, str]]) -> str:
    """The first step told otherwise."""
    for number, (own, theirs) in enumerate(zip(story, other, strict=False)):
        if own != theirs:
            return f"{own[0]} {own[1]} as step {number}"
    return f"{len(story)} steps"


def within_units(
    record: s.Record, capacity: Mapping[str, float], limit: Mapping[str, float], window: float, slack: float
) -> list[str]:
    """(e) Units that arrive at each node, and of each volume, in any window: rate x window and the slack.

    Windows begin with an arrival, as the fullest one does; all gateways' requests count together.
    """
    asked = {request.id: request for request in record.of(s.Asked)}
    flows: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for got in record.of(s.Arrived):
        if (request := asked.get(got.id)) is not None:
            flows["node", got.node].append((got.at, request.units))
            flows["volume", request.volume].append((got.at, request.units))
    wrong: list[str] = []
    for (what, name), units in sorted(flows.items()):
        rate = (capacity if what == "node" else limit).get(name)
        if rate is not None:
            at, most = fullest(units, window)
            if most > rate * window + slack + 1e-9:
                wrong.append(
                    f"{at:.3f} {what} {name}: {most:g} units in {window:g} s, "
                    f"{rate:g} a second and {slack:g} allowed"
                )
    return wrong


def fullest(units: Sequence[tuple[float, float]], window: float) -> tuple[float, float]:
    """When the fullest window begins, and what is in it."""
    best, total, first = (0.0, 0.0), 0.0, 0
    for at, count in units:
        total += count
        while units[first][0] <= at - window:
            total -= units[first][1]
            first += 1
        if total > best[1]:
            best = units[first][0], total
    return best


def within_budgets(record: s.Record) -> list[str]:
    """(f) The connections that a node sees are within its budget at each moment, and a tenant's there.

    A budget that shrinks holds from its own moment on, as who shrinks it must have closed before.
    """
    wrong: list[str] = []
    counts: dict[tuple[str, str], int] = defaultdict(int)
    budgets: dict[tuple[str, str], int] = {}
    # What is closed or granted at one moment counts before what is opened in it.
    events: list[s.Linked | s.Budget] = sorted(
        [*record.of(s.Linked), *record.of(s.Budget)],
        key=lambda e: (e.at, 1 if isinstance(e, s.Budget) else 2 * e.opened),
    )
    for event in events:
        keys = (
            {(event.node, ""), (event.node, event.tenant)}
            if isinstance(event, s.Linked)
            else {(event.node, event.tenant)}
        )
        for key in sorted(keys):
            if isinstance(event, s.Linked):
                counts[key] += 1 if event.opened else -1
            else:
                budgets[key] = event.count
            if counts[key] < 0:
                wrong.append(f"{event.at:.3f} {key[0]}: closed what was not open {key[1]}".rstrip())
            if (
                (most := budgets.get(key)) is not None
                and counts[key] > most
                and (isinstance(event, s.Budget) or event.opened)
            ):
                wrong.append(
                    f"{event.at:.3f} {key[0]}: {counts[key]} connections open"
                    + (f" of {key[1]}" if key[1] else "")
                    + f", budget {most}"
                )
    return wrong


def cold_bound(record: s.Record, bound: float) -> list[str]:
    """(g) What all gateways together send to a node while it is cold: N + 3 root N + 3 for a bound of N."""
    most, wrong = bound + 3 * math.sqrt(bound) + 3, list[str]()
    arrived = list(record.of(s.Arrived))
    for cold in record.of(s.Cold):
        count = sum(got.node == cold.node and cold.at <= got.at < cold.until for got in arrived)
        if count > most:
            wrong.append(
                f"{cold.at:.3f} {cold.node}: {count} requests by {cold.until:.3f} while cold, "
                f"{most:.1f} allowed"
            )
    return wrong


def seen_enough(record: s.Record, machines: Iterable[str]) -> list[str]:
    """Guards the other checkers: a record in which little happened would pass them all."""
    served = sum(answer.status == 200 for answer in record.of(s.Answered))
    wrong = [f"0.000: only {served} requests served"] if served < 100 else []
    told = {(word.machine, word.step) for word in record.of(s.Told)}
    worked = _spans(record, "work", "done")
    for machine in machines:
        if (machine, "draining") not in told or not worked[machine]:
            wrong.append(f"0.000: {machine} was never drained, by the logs, or never worked at")
    return wrong


def maintenance(
    record: s.Record, places: Sequence[s.Place], limits: s.Limits, machines: Iterable[str]
) -> list[str]:
    """All that a trial of maintenance promises."""
    return [
        *seen_enough(record, machines),
        *one_answer(record),
        *nothing_new(record),
        *few_out(record, places, limits),
        *one_order(record),
    ]
