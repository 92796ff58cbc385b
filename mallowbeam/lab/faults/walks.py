"""Random walks of maintenance: a seed determines requests, faults and delays; checkers read the history.

`python -m mallowbeam.lab.faults.walks RUNS SEED` plays RUNS seeds from SEED on and names each that failed.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from typing import Any

from mallowbeam.lab.faults import orderly
from mallowbeam.lab.faults.walk import Walk

FAULTS_S = 40.0  # simulated seconds in which faults are injected
REST_TIMEOUT_S = 400.0  # simulated seconds from the last fault in which all must come to rest
RETURN_S = 30.0  # simulated seconds after which an operator reports a machine as back
MAX_LINES = 5  # violations printed of one walk
WITHDRAWN = 0.3  # share of walks in which a request is withdrawn in the middle


def places(walk: Walk) -> dict[str, orderly.MachineLocation]:
    """The failure domains of each machine."""
    return {
        name: orderly.MachineLocation(node.zone, node.shard, node.weight) for name, node in walk.nodes.items()
    } | {name: orderly.MachineLocation(walk.zone_of[name], gateway=True) for name in walk.members}


def judge(walk: Walk, requests: list[dict[str, Any]]) -> list[str]:
    """The violations of all invariants in a walk, one line each."""
    locations = places(walk)
    history = walk.history
    return [
        *orderly.too_many(history, locations, requests),
        *orderly.below_floor(history, locations, requests),
        *orderly.orders_differ(history),
        *orderly.sent_to_drained(history),
        *orderly.without_quorum(history, locations),
        *orderly.together(history, locations, requests),
        *orderly.unended(history),
    ]


@dataclass
class Outcome:
    """The result of one walk."""

    seed: int
    wrong: list[str]
    states: int  # committed steps of machines
    entries: int
    steps: set[str] = field(default_factory=set)


def random_requests(walk: Walk) -> list[dict[str, Any]]:
    """One or two random maintenance requests that can be satisfied."""
    rng = walk.rng
    found = []
    machines = [*walk.nodes, *walk.members]
    for number in range(rng.choice((1, 1, 2))):
        found.append(
            {
                "id": f"r{number}",
                "machines": rng.sample(machines, rng.randint(2, 5)),
                "at_once": rng.choice((1, 2, 3)),
                "at_once_zone": rng.choice((1, 2)),
                "zone_floor": rng.choice((0.3, 0.5)),
                "repeats": rng.choice(("", "", "zone", "shard")),
                "time_s": rng.choice((12.0, 40.0)),
                "on_time_up": rng.choice(("go on", "go on", "stop")),
            }
        )
    return found


def inject_faults(walk: Walk, until: float) -> None:
    """Inject random faults until a time; each ends by itself or with the walk."""
    rng = walk.rng
    while walk.now < until:
        name, node = rng.choice(walk.members), rng.choice(sorted(walk.nodes))
        span = rng.uniform(0.2, 6.0)
        match rng.randrange(6):
            case 0:
                walk.kill(name)
                walk.later(span, lambda name=name: walk.start(name))  # type: ignore[misc]
            case 1:
                walk.stop(name)
                walk.later(span, lambda name=name: walk.go(name))  # type: ignore[misc]
            case 2:
                walk.part(rng.sample(walk.members, rng.randint(1, 2)))
                walk.later(span, lambda: walk.part(()))
            case 3 if walk.leader is not None:
                name = walk.leader
                walk.kill(name)
                walk.later(span, lambda name=name: walk.start(name))  # type: ignore[misc]
            case 4:
                walk.fail(node)
                walk.later(span, lambda node=node: walk.mend(node))  # type: ignore[misc]
        walk.run(rng.uniform(0.5, 6.0))


def play(seed: int, walk: Walk | None = None) -> Outcome:
    """Play one walk with faults and judge it."""
    walk = walk or Walk(seed)
    rng = walk.rng
    for name in rng.sample([*walk.nodes, *walk.members], 2):
        walk.works[name] = rng.choice((-1.0, 1.0, 8.0))  # seconds: never, quick, slow
    walk.run(4.0)
    requests = random_requests(walk)
    walk.insist(rng.choice(walk.members), requests)
    inject_faults(walk, walk.now + FAULTS_S / 2)
    known = list(requests)
    if rng.random() < WITHDRAWN:
        requests = requests[1:]
        walk.push(rng.choice(walk.members), requests)
    inject_faults(walk, walk.now + FAULTS_S / 2)
    walk.part(())
    for name in walk.nodes:
        walk.mend(name)
    for name in walk.works:  # one that never came back is reported in the end
        walk.later(RETURN_S, lambda name=name: report_back(walk, name))  # type: ignore[misc]
    walk.works = {name: max(span, 1.0) for name, span in walk.works.items()}
    walk.rest(REST_TIMEOUT_S)
    return Outcome(
        seed,
        judge(walk, known),
        sum(isinstance(e, orderly.Moved) for e in walk.history),
        len(walk.items),
        {e.step for e in walk.history if isinstance(e, orderly.Moved)},
    )


def report_back(walk: Walk, machine: str) -> None:
    """An operator reports at every gateway that is up that a machine is back."""
    from mallowbeam.storage_gateway.coordination.maintenance.entries import WorkCompleted

    for gateway in walk.gateways.values():
        if gateway.up and not gateway.stopped:
            walk.propose(gateway, WorkCompleted(machine))


def main(runs: int, seed: int) -> int:
    """Play many walks and print a summary; returns 1 if any violated an invariant, else 0."""
    outcomes = [play(seed + number) for number in range(runs)]
    for outcome in outcomes:
        for line in outcome.wrong[:MAX_LINES]:
            print(f"seed {outcome.seed}: {line}")
    bad = sum(bool(outcome.wrong) for outcome in outcomes)
    steps = set[str]().union(*(outcome.steps for outcome in outcomes))
    print(
        f"{runs} walks from {seed}: {bad} wrong; {sum(outcome.states for outcome in outcomes)} steps, "
        f"{sum(outcome.entries for outcome in outcomes)} entries; seen {', '.join(sorted(steps))}"
    )
    return int(bad > 0)


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
