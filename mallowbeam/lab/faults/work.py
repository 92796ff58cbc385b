"""Trials of maintenance from a seed: five gateways under load through their fronts, and faults of every kind.

What clients, nodes and gateways' pages and logs say goes into one `seen.Record`, and only that is judged.
A trial that fails keeps the lines of its record around what went wrong, and says how it is played again.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import tempfile
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mallowbeam.lab.faults import checks
from mallowbeam.lab.faults import seen as s
from mallowbeam.lab.faults.diagnosis import replay
from mallowbeam.lab.faults.load import Clients, Late, RecordingNode
from mallowbeam.lab.faults.maintenance import DELAY_S, MOST_S, ZONES, Trial
from mallowbeam.lab.faults.trial import quantile

FAULTS = ("kill", "stop", "cut", "leader", "slow", "row", "node", "none")
RATE = 20.0  # requests a second at each gateway
PUSH_S = 20.0  # seconds in which a push must be committed
ROW_S = 15.0  # seconds that a gateway restarted in a row is waited for
AROUND_S = 0.3  # seconds of the record told on either side of what is wrong
MOST_TOLD = 40  # lines of them
STEP = re.compile(
    r"maintenance: (\S+) " r"(proposed|agreed|draining|empty|out|back|warming|done|lost|failed|aborted): "
)


@dataclass(slots=True)
class Result:
    """What came of one trial; times in seconds."""

    seed: int
    faults: tuple[str, ...]
    asked: int
    served: int
    refused: int  # with the promise that nothing ran
    lost: int  # ended without an answer, wherever that was allowed
    arrivals: int
    worked: int  # machines that were worked at
    took: float  # from the push until all machines are done
    late: float  # how late the recorder was at most
    wrong: list[str]
    look_at: list[str]


@dataclass(slots=True)
class Summary:
    """Many trials together; times in seconds."""

    trials: int
    asked: int
    served: int
    refused: int
    lost: int
    arrivals: int
    worked: int
    took_p50: float
    took_max: float
    late_max: float
    wrong: int


def summary(results: Sequence[Result]) -> Summary:
    """All trials in one."""
    took = sorted(r.took for r in results)
    return Summary(
        len(results),
        sum(r.asked for r in results),
        sum(r.served for r in results),
        sum(r.refused for r in results),
        sum(r.lost for r in results),
        sum(r.arrivals for r in results),
        sum(r.worked for r in results),
        quantile(took, 0.5),
        max(took, default=0.0),
        max((r.late for r in results), default=0.0),
        sum(len(r.wrong) for r in results),
    )


class Watched(Trial):
    """A trial whose clients and nodes record what they see."""

    def __init__(self, folder: Path, seed: int, size: int = 5) -> None:
        self.seen, self.late, self.zero = s.Record(), Late(), time.monotonic()
        self.wall = time.time() - time.monotonic()  # what log lines are ahead of the steady clock
        super().__init__(folder, seed, size)
        self.seed = seed
        self.steps: dict[str, dict[str, str]] = {}  # of the machines, as each gateway's last page has them

    def now(self) -> float:
        """Seconds from the trial's start, for all that is recorded."""
        return time.monotonic() - self.zero

    def node(self, name: str) -> RecordingNode:
        """A node that records."""
        return RecordingNode(name, self.seen, self.late, self.zero, DELAY_S)

    def looked(self, told: dict[str, Any]) -> None:
        """A page becomes part of the record."""
        part = told["subsystems"]["maintenance"]
        steps = self.steps[told["name"]] = {name: item["step"] for name, item in part["machines"].items()}
        self.seen.add(
            s.Shown(
                self.now(),
                told["name"],
                told["index"],
                steps,
                tuple(f"{turn['index']} {turn['machine']}" for turn in part["order"]),
            )
        )

    def at_rest(self) -> bool:
        """Whether every gateway shows that all machines are done: none has any step left to hear."""
        return all(set(self.steps.get(name, {}).values()) == {"done"} for name in self.names)

    def laid(self, what: str, *machines: str) -> None:
        """Work begins or ends."""
        self.seen.add(s.Laid(self.now(), what, machines))

    def _fault(self, what: str, *gateways: str) -> None:
        super()._fault(what, *gateways)
        self.laid(what, *gateways)

    def places(self) -> list[s.Place]:
        """Nodes and gateways."""
        return [
            *(s.Place(f"n{i}", ZONES[i % len(ZONES)], i // len(ZONES)) for i in range(len(self.nodes))),
            *(s.Place(name, gateway=True) for name in self.names),
        ]

    def clients(self, name: str) -> Clients:
        """The clients of one gateway."""
        return Clients(
            self.seen,
            name,
            self.ports[name][0],
            self.zero,
            self.seed * 31 + int(name[1:]),
            RATE,
            len(self.nodes) // len(ZONES),
        )

    def read_logs(self) -> None:
        """What gateways' logs say that they heard, and when."""
        for name in self.names:
            for line in (self.folder / name / "log.txt").read_text(errors="replace").splitlines():
                with suppress(ValueError, KeyError, TypeError):
                    told = json.loads(line)["record"]
                    if (found := STEP.match(told["message"])) is not None:
                        at = told["time"]["timestamp"] - self.wall - self.zero
                        self.seen.add(s.Told(at, name, found[1], found[2]))

    # --- faults -----------------------------------------------------------------------------------

    async def lay(self, fault: str, busy: set[str]) -> None:
        """One fault from the seed, whole: what it does is undone in the end."""
        free = [name for name in self.up if name not in busy]
        if fault == "kill":
            name = self.rng.choice(free)
            self.kill(name)
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            self.start(name)
        elif fault == "stop":
            name = self.rng.choice(free)
            self.stop(name)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            self.go(name)
        elif fault == "cut":
            self.part(self.rng.sample(free, self.rng.choice((1, 2))))
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            for link in self.links.values():
                link.heal()
        elif fault == "leader":
            told = await self.ask(self.rng.choice(free), "/policy")
            name = str(told["leader"]) if told and told["leader"] in free else self.rng.choice(free)
            self.kill(name)
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            self.start(name)
        elif fault == "slow":
            self.slow(self.rng.sample(self.names, 2), self.rng.choice((0.05, 0.15, 0.3)))
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            for link in self.links.values():
                link.delay = 0.0
        elif fault == "node":
            node = self.nodes[5]
            self.laid("down", "n5")
            node.call(node.die)
            self.phases["n5"] = "removed"
            self.discovery.publish(self.listed())
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            node.listen()
            self.phases["n5"] = "up"
            self.discovery.publish(self.listed())
        elif fault == "row":
            for name in free:
                self.kill(name)
                await asyncio.sleep(0.1)
                self.start(name)
                end = self.now() + ROW_S
                while self.now() < end:
                    told = await self.ask(name, "/policy")
                    if told is not None and told["serves"]:
                        break
                    await asyncio.sleep(0.1)


async def play(
    seed: int,
    folder: Path,
    broken: dict[str, str] | None = None,
    at_once: int = 0,
    most: float = MOST_S,
    faults: Sequence[str] | None = None,
    machines: Sequence[str] | None = None,
) -> Result:
    """One trial; what does not come to rest is among what is wrong."""
    draw = random.Random(seed * 7 + 1)
    limits = s.Limits(at_once or draw.choice((1, 2)), 1)
    machines = machines or [*draw.sample(["n0", "n1", "n2", "n3", "n4"], draw.choice((2, 3))), "g4"]
    faults = draw.choices(FAULTS, k=2) if faults is None else faults
    made = Watched(folder, seed)
    made.broken |= broken or {}
    async with made as trial:
        await trial.settled()
        tasks = [
            asyncio.create_task(trial.late.watch()),
            *(asyncio.create_task(trial.clients(name).run()) for name in trial.names),
        ]
        wrong, began = list[str](), trial.now()
        try:
            await asyncio.sleep(0.5)
            began = trial.now()
            await trial.request(
                {
                    "drains": [],
                    "maintenance": {
                        "requests": [
                            {
                                "id": "work",
                                "machines": list(machines),
                                "at_once": limits.at_once,
                                "at_once_zone": limits.at_once_zone,
                                "zone_floor": limits.zone_floor,
                                "time_s": MOST_S,
                            }
                        ]
                    },
                },
                PUSH_S,
            )
            wrong += await _until_done(trial, draw, faults, set(machines), most)
        except TimeoutError as error:
            wrong.append(f"not at rest: {error}")
        took = trial.now() - began
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        trial.read_logs()
        wrong += checks.maintenance(trial.seen, trial.places(), limits, machines)
        return _result(seed, tuple(faults), trial, took, wrong)


async def _until_done(
    trial: Watched, draw: random.Random, faults: Sequence[str], machines: set[str], most: float
) -> list[str]:
    """Look on, and lay the faults one after the other, until all gateways show all machines as done."""
    gateways = {name for name in machines if name in trial.names}

    async def all_faults() -> None:
        for fault in faults:
            await asyncio.sleep(draw.uniform(0.2, 2.5))
            await trial.lay(fault, gateways)

    laying, end = asyncio.create_task(all_faults()), trial.now() + most
    last: dict[str, str] = {}
    try:
        while trial.now() < end:
            seen = await trial.look_on()
            last = {name: item["step"] for name, item in seen.items()} or last
            if set(last.values()) == {"done"} and laying.done() and trial.at_rest():
                return []
            await asyncio.sleep(0.05)
        return [f"not at rest after {most:g} s: {last}, faults {', '.join(faults)}"]
    finally:
        laying.cancel()
        for link in trial.links.values():
            link.delay = 0.0
        ended = await asyncio.gather(laying, *trial.tasks, return_exceptions=True)
        for error in ended:
            if isinstance(error, Exception) and not isinstance(error, asyncio.CancelledError):
                raise error
        for name in list(trial.stopped):
            trial.go(name)


def _result(seed: int, faults: tuple[str, ...], trial: Watched, took: float, wrong: list[str]) -> Result:
    answers = [answer.status for answer in trial.seen.of(s.Answered)]
    look_at = []
    if wrong:
        look_at = [
            *around(trial.seen, wrong),
            *trial.diagnosis.lines(trial.names),
            f"again: {replay(seed, 'maintenance')}",
        ]
    return Result(
        seed,
        faults,
        sum(1 for _ in trial.seen.of(s.Asked)),
        answers.count(200),
        sum(status in checks.NOT_RUN for status in answers),
        answers.count(0),
        sum(1 for _ in trial.seen.of(s.Arrived)),
        len(trial.record.worked),
        took,
        max(over for _, over in trial.late.spans),
        wrong,
        look_at,
    )


def around(record: s.Record, wrong: Sequence[str]) -> list[str]:
    """The lines of the record that tell what went on: faults, steps, and what lies around the first wrong."""
    found = re.match(r"[\d.]+", wrong[0])
    at = float(found[0]) if found else 0.0
    kept: list[s.Event] = [event for event in record.events if isinstance(event, s.Told | s.Laid)]
    kept += [
        event
        for event in record.events
        if isinstance(event, s.Arrived | s.Answered | s.Asked)
        and abs(event.at - at) < AROUND_S
        and event.id in wrong[0]
    ]
    kept.sort(key=lambda event: abs(event.at - at))
    return [str(event) for event in sorted(kept[:MOST_TOLD], key=lambda event: event.at)]


def run(seed: int) -> Result:
    """One trial in a folder of its own, which goes with it."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(seed, Path(folder)))
