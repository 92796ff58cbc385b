"""Invariant checkers over `Observations`: pure functions that return the violations, one line each.

They are written from the contract in docs/maintenance.md and know none of the code that they judge.  A line
begins with the seconds of its event.  Where an invariant holds from the moment at which a gateway learned of
something, the time of that gateway's own log line counts.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from mallowbeam.lab.faults.observations import (
    ConnectionBudget,
    ConnectionChanged,
    Disturbance,
    DrainLimits,
    Machine,
    Observations,
    PageObserved,
    RequestArrived,
    RequestExecuted,
    RequestSent,
    ResponseReceived,
    StepLogged,
    WarmupStarted,
)

DRAIN_EFFECTIVE_S = 0.25  # seconds from a gateway's log line to the drain's effect; of the contract
TRANSIT_SLACK_S = 0.05  # seconds more for a request in transit over loopback between two processes
KILL_RECORDED_S = 1.0  # seconds by which a kill may be recorded after the requests that it ended
NOT_EXECUTED_STATUSES = (429, 503)  # responses which promise that the request was not executed
NO_ARRIVAL_STEPS = ("draining", "empty", "out", "back", "lost")  # no request may arrive then
UNAVAILABLE_STEPS = ("draining", "empty", "out")  # counted against the limits
UNENDED = math.inf
SUCCESS = 2  # first digit of an HTTP status
OK = 200
MIN_SERVED = 100  # requests served below which a trial shows nothing
ROUNDING = 1e-9  # by which sums of floats may be off

Span = tuple[float, float]  # begin and end, seconds


def exactly_one_response(observations: Observations) -> list[str]:
    """(a) Each request gets one final response, and a request that was refused is never executed.

    A request may end without a response only if its gateway was killed or stopped meanwhile.
    """
    violations: list[str] = []
    responses: dict[str, list[ResponseReceived]] = defaultdict(list)
    executions: dict[str, list[RequestExecuted]] = defaultdict(list)
    for response in observations.of(ResponseReceived):
        responses[response.id].append(response)
    for execution in observations.of(RequestExecuted):
        executions[execution.id].append(execution)
    outages = outage_spans(observations)
    sent_ids = set()
    for request in observations.of(RequestSent):
        sent_ids.add(request.id)
        name = f"{request.at:.3f} {request.gateway}: request {request.id}"
        ends = responses[request.id]
        if not ends:
            violations.append(f"{name} never ended")
            continue
        if len(ends) > 1:
            times = ", ".join(f"{end.status} at {end.at:.3f}" for end in ends)
            violations.append(f"{name} was answered {len(ends)} times: {times}")
        if _lost_without_outage(request, ends[0], outages[request.gateway]):
            violations.append(f"{name} ended at {ends[0].at:.3f} without an answer, its gateway undisturbed")
        found = _contradicted_by_executions(ends[0], executions[request.id])
        violations += [f"{name} {line}" for line in found]
    return violations + _never_sent(sent_ids, responses, executions)


def _lost_without_outage(request: RequestSent, end: ResponseReceived, outages: Sequence[Span]) -> bool:
    """Whether a request that went out ended without a response though its gateway was up all the time."""
    if end.status != 0 or not end.sent:
        return False
    return not any(began <= end.at + KILL_RECORDED_S and request.at <= ended for began, ended in outages)


def _contradicted_by_executions(end: ResponseReceived, executions: Sequence[RequestExecuted]) -> list[str]:
    """Where a request's end contradicts what the nodes executed."""
    violations: list[str] = []
    if not end.sent and executions:
        violations.append(f"never went out, and ran at {executions[0].node}")
    if end.status in NOT_EXECUTED_STATUSES and executions:
        first = executions[0]
        violations.append(
            f"was answered {end.status} at {end.at:.3f}, and {first.node} ran it at {first.at:.3f}"
        )
    succeeded = end.status // 100 == SUCCESS
    if succeeded and not any(execution.at <= end.at for execution in executions):
        violations.append(f"was answered {end.status} at {end.at:.3f}, and no node had run it")
    return violations


def _never_sent(
    sent_ids: set[str],
    responses: Mapping[str, Sequence[ResponseReceived]],
    executions: Mapping[str, Sequence[RequestExecuted]],
) -> list[str]:
    """Requests that were answered or executed though no client sent them."""
    violations: list[str] = []
    for id in sorted({*responses, *executions} - sent_ids):
        times = [response.at for response in responses.get(id, ())]
        times += [execution.at for execution in executions.get(id, ())]
        if times:
            violations.append(f"{min(times):.3f}: request {id} was answered or run, and nobody asked it")
    return violations


def outage_spans(observations: Observations) -> dict[str, list[Span]]:
    """When each gateway was killed or stopped, so that its clients may be left without a response."""
    spans: dict[str, list[Span]] = defaultdict(list)
    began: dict[str, float] = {}
    for disturbance in observations.of(Disturbance):
        for name in disturbance.machines:
            if disturbance.what in ("kill", "stop"):
                began.setdefault(name, disturbance.at)
            elif disturbance.what in ("start", "go") and name in began:
                spans[name].append((began.pop(name), disturbance.at))
    for name, at in began.items():
        spans[name].append((at, UNENDED))
    return spans


def drain_spans(observations: Observations) -> dict[tuple[str, str], list[Span]]:
    """By gateway and machine: when that gateway knew that the machine is drained.

    A span continues through a restart: the gateway must learn of the drain again before it serves.
    """
    spans: dict[tuple[str, str], list[Span]] = defaultdict(list)
    since: dict[tuple[str, str], float] = {}
    for event in observations.of(StepLogged):
        key = event.gateway, event.machine
        if event.step in NO_ARRIVAL_STEPS:
            since.setdefault(key, event.at)
        elif key in since:
            spans[key].append((since.pop(key), event.at))
    for key, at in since.items():
        spans[key].append((at, UNENDED))
    return spans


def no_arrivals_after_drain(observations: Observations) -> list[str]:
    """(b) A gateway sends nothing to a node from `DRAIN_EFFECTIVE_S` after it learned of the drain.

    Checked for each gateway by its own log.  Nobody sends to a node while operators work at it.
    """
    gateway_of = {request.id: request.gateway for request in observations.of(RequestSent)}
    spans = drain_spans(observations)
    violations: list[str] = []
    work = _disturbance_spans(observations, "work", "done")
    for arrival in observations.of(RequestArrived):
        gateway = gateway_of.get(arrival.id, "")
        slack = TRANSIT_SLACK_S + arrival.late
        for began, ended in spans.get((gateway, arrival.node), []):
            if began + DRAIN_EFFECTIVE_S + slack < arrival.at < ended:
                violations.append(
                    f"{arrival.at:.3f} {arrival.node}: request {arrival.id} of {gateway}, "
                    f"{arrival.at - began:.3f} s after that was told of the drain"
                )
        for began, ended in work[arrival.node]:
            if began + slack < arrival.at < ended:
                violations.append(
                    f"{arrival.at:.3f} {arrival.node}: "
                    f"request {arrival.id} of {gateway} while it is worked at"
                )
    return violations


def _disturbance_spans(observations: Observations, begins: str, ends: str) -> dict[str, list[Span]]:
    """By machine: the spans between a disturbance of the one kind and the next of the other."""
    spans: dict[str, list[Span]] = defaultdict(list)
    since: dict[str, float] = {}
    for disturbance in observations.of(Disturbance):
        for name in disturbance.machines:
            if disturbance.what == begins:
                since.setdefault(name, disturbance.at)
            elif disturbance.what == ends and name in since:
                spans[name].append((since.pop(name), disturbance.at))
    for name, at in since.items():
        spans[name].append((at, UNENDED))
    return spans


def unavailability_within_limits(
    observations: Observations, machines: Sequence[Machine], limits: DrainLimits
) -> list[str]:
    """(c) Never more machines unavailable than allowed; capacity floors and the gateways' quorum hold.

    Checked for each page that a gateway showed, and for the machines that operators worked at at one moment.
    """
    violations: list[str] = []
    names = {machine.name for machine in machines}
    for page in observations.of(PageObserved):
        away = {name for name, step in page.steps.items() if step in UNAVAILABLE_STEPS and name in names}
        violations += [
            f"{page.at:.3f} {page.gateway} shows {line}" for line in _exceeded_limits(away, machines, limits)
        ]
    spans = [
        (at, end, name)
        for name, own_spans in _disturbance_spans(observations, "work", "done").items()
        for at, end in own_spans
    ]
    for began, _, _ in sorted(spans):
        away = {name for at, end, name in spans if at <= began < end and name in names}
        violations += [f"{began:.3f} worked at: {line}" for line in _exceeded_limits(away, machines, limits)]
    return violations


def _exceeded_limits(away: set[str], machines: Sequence[Machine], limits: DrainLimits) -> list[str]:
    """The limits that are violated with these machines unavailable."""
    named = ", ".join(sorted(away))
    violations: list[str] = []
    if len(away) > limits.at_once:
        violations.append(f"{named} out, {limits.at_once} allowed")
    zones: dict[str, set[str]] = defaultdict(set)
    for machine in machines:
        if machine.name in away and machine.zone:
            zones[machine.zone].add(machine.name)
    violations += [
        f"{', '.join(sorted(names))} out in zone {zone}, {limits.at_once_zone} allowed"
        for zone, names in sorted(zones.items())
        if len(names) > limits.at_once_zone
    ]
    nodes = [machine for machine in machines if not machine.gateway]
    for what, floor, groups in (
        ("zone", limits.zone_floor, _groups((p.zone, p) for p in nodes)),
        ("shard", limits.shard_floor, _groups((str(p.shard), p) for p in nodes)),
    ):
        for group, members in sorted(groups.items()):
            total = sum(p.weight for p in members)
            left = sum(p.weight for p in members if p.name not in away)
            if left < total and left < floor * total - ROUNDING:
                violations.append(
                    f"{named} out: {left:g} of {total:g} left in {what} {group}, floor {floor:g}"
                )
    gateways = [machine.name for machine in machines if machine.gateway]
    gone = sorted(set(gateways) & away)
    if gone and 2 * len(gone) >= len(gateways):
        violations.append(f"{', '.join(gone)} out of {len(gateways)} gateways: no majority")
    return violations


def _groups(pairs: Iterable[tuple[str, Machine]]) -> dict[str, list[Machine]]:
    """Group machines by key."""
    groups: dict[str, list[Machine]] = defaultdict(list)
    for key, machine in pairs:
        groups[key].append(machine)
    return groups


def consistent_order(observations: Observations) -> list[str]:
    """(d) All orders shown, and all sequences of logged steps, are prefixes of one another."""
    pages = list(observations.of(PageObserved))
    longest = max((page.order for page in pages), key=len, default=())
    violations = [
        f"{page.at:.3f} {page.gateway} shows the order {', '.join(page.order)}; "
        f"others {', '.join(longest)}"
        for page in pages
        if page.order != longest[: len(page.order)]
    ]
    newest: dict[str, PageObserved] = {}
    for page in pages:
        before = newest.get(page.gateway)
        if before is not None and page.index >= before.index and len(page.order) < len(before.order):
            violations.append(f"{page.at:.3f} {page.gateway} shows less of the order than at {before.at:.3f}")
        newest[page.gateway] = page
    return violations + _consistent_logs(observations)


def _consistent_logs(observations: Observations) -> list[str]:
    """Undisturbed gateways log the same steps; any other gateway logs a subsequence of them.

    A gateway that was restarted or cut off learns of some steps only from a snapshot, by their outcome.
    """
    logged: dict[str, list[tuple[str, str]]] = defaultdict(list)
    for event in observations.of(StepLogged):
        logged[event.gateway].append((event.machine, event.step))
    disturbed = {
        name
        for disturbance in observations.of(Disturbance)
        for name in disturbance.machines
        if disturbance.what != "start"
    }
    undisturbed = {name: steps for name, steps in logged.items() if name not in disturbed}
    if not undisturbed:
        return []
    longest = max(undisturbed, key=lambda name: len(undisturbed[name]))
    reference = undisturbed[longest]
    violations = [
        f"{name}'s log tells {_first_difference(steps, reference)}, {longest}'s other steps there"
        for name, steps in sorted(undisturbed.items())
        if steps != reference[: len(steps)]
    ]
    for name in sorted(disturbed & set(logged)):
        for machine in sorted({machine for machine, _ in logged[name]}):
            for began, own_steps in _steps_by_incarnation(observations, name, machine):
                remaining = iter(step for of, step in reference if of == machine)
                if not all(step in remaining for step in own_steps):
                    violations.append(
                        f"{began:.3f} {name}'s log tells {machine} {', '.join(own_steps)}: "
                        f"not in {longest}'s order"
                    )
    return violations


def _steps_by_incarnation(
    observations: Observations, gateway: str, machine: str
) -> list[tuple[float, list[str]]]:
    """A gateway's logged steps of a machine, by incarnation and its start: each one logs them again."""
    starts = [
        event.at
        for event in observations.of(Disturbance)
        if event.what == "start" and gateway in event.machines
    ]
    incarnations: list[tuple[float, list[str]]] = [(at, []) for at in (0.0, *starts)]
    for event in observations.of(StepLogged):
        if (event.gateway, event.machine) == (gateway, machine):
            steps = [steps for began, steps in incarnations if began <= event.at][-1]
            if steps[-1:] != [event.step]:
                steps.append(event.step)
    return incarnations


def _first_difference(steps: Sequence[tuple[str, str]], other: Sequence[tuple[str, str]]) -> str:
    """The first step that differs from the other sequence."""
    for number, (own, theirs) in enumerate(zip(steps, other, strict=False)):
        if own != theirs:
            return f"{own[0]} {own[1]} as step {number}"
    return f"{len(steps)} steps"


def rates_within_limits(
    observations: Observations,
    capacity: Mapping[str, float],
    limit: Mapping[str, float],
    window: float,
    slack: float,
) -> list[str]:
    """(e) In any window, the units that arrive at a node or of a volume are at most rate x window + slack.

    `capacity` and `limit` are units a second by node and by volume, `window` is in seconds, `slack` in units.
    Windows begin with an arrival, as the busiest one does; the requests of all gateways count together.
    """
    requests = {request.id: request for request in observations.of(RequestSent)}
    flows: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for arrival in observations.of(RequestArrived):
        if (request := requests.get(arrival.id)) is not None:
            flows["node", arrival.node].append((arrival.at, request.units))
            flows["volume", request.volume].append((arrival.at, request.units))
    violations: list[str] = []
    for (what, name), units in sorted(flows.items()):
        rate = (capacity if what == "node" else limit).get(name)
        if rate is not None:
            at, count = busiest_window(units, window)
            if count > rate * window + slack + ROUNDING:
                violations.append(
                    f"{at:.3f} {what} {name}: {count:g} units in {window:g} s, "
                    f"{rate:g} a second and {slack:g} allowed"
                )
    return violations


def busiest_window(units: Sequence[tuple[float, float]], window: float) -> tuple[float, float]:
    """The begin of the window with the most units, and their sum; `units` are (seconds, count), sorted."""
    best = (0.0, 0.0)
    total = 0.0
    first = 0
    for at, count in units:
        total += count
        while units[first][0] <= at - window:
            total -= units[first][1]
            first += 1
        if total > best[1]:
            best = units[first][0], total
    return best


def connections_within_budgets(observations: Observations) -> list[str]:
    """(f) The open connections of a node, and of each tenant there, never exceed the budget.

    A smaller budget holds at once: whoever lowers it must have closed connections before.
    """
    violations: list[str] = []
    counts: dict[tuple[str, str], int] = defaultdict(int)
    budgets: dict[tuple[str, str], int] = {}
    # Of the events at one moment, closed connections and budgets count before opened connections.
    events: list[ConnectionChanged | ConnectionBudget] = sorted(
        [*observations.of(ConnectionChanged), *observations.of(ConnectionBudget)],
        key=lambda e: (e.at, 1 if isinstance(e, ConnectionBudget) else 2 * e.opened),
    )
    for event in events:
        keys = (
            {(event.node, ""), (event.node, event.tenant)}
            if isinstance(event, ConnectionChanged)
            else {(event.node, event.tenant)}
        )
        for key in sorted(keys):
            if isinstance(event, ConnectionChanged):
                counts[key] += 1 if event.opened else -1
            else:
                budgets[key] = event.count
            if counts[key] < 0:
                violations.append(f"{event.at:.3f} {key[0]}: closed what was not open {key[1]}".rstrip())
            if (
                (budget := budgets.get(key)) is not None
                and counts[key] > budget
                and (isinstance(event, ConnectionBudget) or event.opened)
            ):
                violations.append(
                    f"{event.at:.3f} {key[0]}: {counts[key]} connections open"
                    + (f" of {key[1]}" if key[1] else "")
                    + f", budget {budget}"
                )
    return violations


def warmup_within_bound(observations: Observations, bound: float) -> list[str]:
    """(g) All gateways together send at most N + 3 sqrt(N) + 3 requests to a node that warms up; N: bound."""
    allowed = bound + 3 * math.sqrt(bound) + 3
    violations: list[str] = []
    arrivals = list(observations.of(RequestArrived))
    for warmup in observations.of(WarmupStarted):
        count = sum(
            arrival.node == warmup.node and warmup.at <= arrival.at < warmup.until for arrival in arrivals
        )
        if count > allowed:
            violations.append(
                f"{warmup.at:.3f} {warmup.node}: {count} requests by {warmup.until:.3f} while cold, "
                f"{allowed:.1f} allowed"
            )
    return violations


def enough_observed(observations: Observations, drained: Iterable[str]) -> list[str]:
    """Guard against a trial in which little happened, which would pass all other checkers."""
    served = sum(response.status == OK for response in observations.of(ResponseReceived))
    violations = [f"0.000: only {served} requests served"] if served < MIN_SERVED else []
    logged = {(event.machine, event.step) for event in observations.of(StepLogged)}
    worked = _disturbance_spans(observations, "work", "done")
    for machine in drained:
        if (machine, "draining") not in logged or not worked[machine]:
            violations.append(f"0.000: {machine} was never drained, by the logs, or never worked at")
    return violations


def check_maintenance(
    observations: Observations, machines: Sequence[Machine], limits: DrainLimits, drained: Iterable[str]
) -> list[str]:
    """The violations of all invariants that a trial of maintenance must keep."""
    return [
        *enough_observed(observations, drained),
        *exactly_one_response(observations),
        *no_arrivals_after_drain(observations),
        *unavailability_within_limits(observations, machines, limits),
        *consistent_order(observations),
    ]
