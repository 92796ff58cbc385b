"""Random walks of maintenance: a seed gives requests, faults and delays; checkers read the history.

`python -m mallowbeam.lab.faults.walks RUNS SEED` is the long run; a failed seed is named and replays alone.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from typing import Any

from mallowbeam.lab.faults import orderly
from mallowbeam.lab.faults.walk import Walk

FAULTS_S = 40.0  # simulated seconds in which faults are laid


def places(walk: Walk) -> dict[str, orderly.Place]:
    """Where each machine stands."""
    return {name: orderly.Place(node.zone, node.shard, node.weight) for name, node in walk.nodes.items()} | {
        name: orderly.Place(walk.zone_of[name], gateway=True) for name in walk.members
    }


def judge(walk: Walk, requests: list[dict[str, Any]]) -> list[str]:
    """Everything that is wrong with a walk."""
    at, seen = places(walk), walk.history
    return [
        *orderly.too_many(seen, at, requests),
        *orderly.below_floor(seen, at, requests),
        *orderly.orders_differ(seen),
        *orderly.sent_to_drained(seen),
        *orderly.without_quorum(seen, at),
        *orderly.together(seen, at, requests),
        *orderly.unended(seen),
    ]


@dataclass
class Outcome:
    """One walk's end."""

    seed: int
    wrong: list[str]
    states: int  # committed steps of machines
    entries: int
    steps: set[str] = field(default_factory=set)


def ask(walk: Walk) -> list[dict[str, Any]]:
    """Random requests that can be met."""
    rng, found = walk.rng, []
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


def disturb(walk: Walk, until: float) -> None:
    """Lay one fault after the other; each ends by itself or with the walk."""
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
    """One walk with faults."""
    walk = walk or Walk(seed)
    rng = walk.rng
    for name in rng.sample([*walk.nodes, *walk.members], 2):
        walk.works[name] = rng.choice((-1.0, 1.0, 8.0))  # never, quick, slow
    walk.run(4.0)
    requests = ask(walk)
    walk.insist(rng.choice(walk.members), requests)
    disturb(walk, walk.now + FAULTS_S / 2)
    known = list(requests)
    if rng.random() < 0.3:  # taken back in the middle
        requests = requests[1:]
        walk.push(rng.choice(walk.members), requests)
    disturb(walk, walk.now + FAULTS_S / 2)
    walk.part(())
    for name in walk.nodes:
        walk.mend(name)
    for name in walk.works:  # a machine that never came back, once somebody looks at it
        walk.later(30.0, lambda name=name: back(walk, name))  # type: ignore[misc]
    walk.works = {name: max(span, 1.0) for name, span in walk.works.items()}
    walk.rest(400.0)
    return Outcome(
        seed,
        judge(walk, known),
        sum(isinstance(e, orderly.Moved) for e in walk.history),
        len(walk.items),
        {e.step for e in walk.history if isinstance(e, orderly.Moved)},
    )


def back(walk: Walk, machine: str) -> None:
    """An operator says that a machine is back."""
    from mallowbeam.storage_gateway.coordination.maintenance.entries import WorkCompleted

    for one in walk.gateways.values():
        if one.up and not one.stopped:
            walk.propose(one, WorkCompleted(machine))


def main(runs: int, seed: int) -> int:
    """Many walks; 1 if any is wrong."""
    ends = [play(seed + number) for number in range(runs)]
    for end in ends:
        for line in end.wrong[:5]:
            print(f"seed {end.seed}: {line}")
    bad, steps = sum(bool(end.wrong) for end in ends), set[str]().union(*(end.steps for end in ends))
    print(
        f"{runs} walks from {seed}: {bad} wrong; {sum(end.states for end in ends)} steps, "
        f"{sum(end.entries for end in ends)} entries; seen {', '.join(sorted(steps))}"
    )
    return int(bad > 0)


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
