"""Fault-injection trials of maintenance from a seed: five gateways under load through their front ends.

What clients, nodes and the gateways' pages and logs show goes into one `Observations`, and the checkers
read only that.  A failed trial returns the observations around its first violation, and the command that
replays it.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mallowbeam.lab.faults import observation_checks
from mallowbeam.lab.faults.diagnosis import replay
from mallowbeam.lab.faults.load import Clients, LoadProfile, RecorderDelay, RecordingNode
from mallowbeam.lab.faults.maintenance import DELAY_S, TRIAL_TIMEOUT_S, ZONES, Trial
from mallowbeam.lab.faults.observations import (
    Disturbance,
    DrainLimits,
    Event,
    Machine,
    Observations,
    PageObserved,
    RequestArrived,
    RequestSent,
    ResponseReceived,
    StepLogged,
)
from mallowbeam.lab.faults.trial import quantile

FAULTS = ("kill", "stop", "cut", "leader", "slow", "row", "node", "none")
FAILING_NODE = "n5"  # never drained by a trial
SEED_STRIDE = 31  # between the seeds of two trials' clients
RATE = 20.0  # requests a second at each gateway
PUSH_TIMEOUT_S = 20.0  # seconds in which a push must be committed
RESTART_TIMEOUT_S = 15.0  # seconds that each gateway of a rolling restart is waited for
CONTEXT_S = 0.3  # seconds of observations shown before and after a violation
MAX_CONTEXT_LINES = 40  # observations shown of a failed trial
STEP = re.compile(
    r"maintenance: (\S+) " r"(proposed|agreed|draining|empty|out|back|warming|done|lost|failed|aborted): "
)


@dataclass(slots=True)
class Result:
    """The result of one trial, times in seconds; its field names are keys of the `--json` output."""

    seed: int
    faults: tuple[str, ...]
    asked: int
    served: int
    refused: int  # with the promise that nothing was executed
    lost: int  # ended without a response, where that is allowed
    arrivals: int
    worked: int  # machines that operators worked at
    took: float  # from the push until all machines are done
    late: float  # the recorder's longest delay
    wrong: list[str]
    look_at: list[str]


@dataclass(slots=True)
class Summary:
    """The results of many trials, times in seconds; its field names are keys of the `--json` output."""

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
    """Sum up the results of many trials."""
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


class ObservedTrial(Trial):
    """A trial whose clients, nodes and gateways are observed."""

    def __init__(self, folder: Path, seed: int, size: int = 5) -> None:
        self.observations = Observations()
        self.recorder = RecorderDelay()
        self.started_at = time.monotonic()
        self.wall_offset = time.time() - time.monotonic()  # of log lines' time to the monotonic clock
        super().__init__(folder, seed, size)
        self.seed = seed
        self.steps: dict[str, dict[str, str]] = {}  # by gateway and machine, of its newest page

    def now(self) -> float:
        """Seconds from the trial's start, for all that is recorded."""
        return time.monotonic() - self.started_at

    def node(self, name: str) -> RecordingNode:
        """Make a recording node."""
        return RecordingNode(name, self.observations, self.recorder, self.started_at, DELAY_S)

    def on_page(self, page: dict[str, Any]) -> None:
        """Record the machines and the order that a gateway's page shows."""
        section = page["subsystems"]["maintenance"]
        steps = {name: item["step"] for name, item in section["machines"].items()}
        self.steps[page["name"]] = steps
        self.observations.add(
            PageObserved(
                self.now(),
                page["name"],
                page["index"],
                steps,
                tuple(f"{turn['index']} {turn['machine']}" for turn in section["order"]),
            )
        )

    def at_rest(self) -> bool:
        """Whether every gateway's newest page shows all machines as done."""
        return all(set(self.steps.get(name, {}).values()) == {"done"} for name in self.names)

    def on_disturbance(self, what: str, *machines: str) -> None:
        """Record that a fault or an operator's work begins or ends."""
        self.observations.add(Disturbance(self.now(), what, machines))

    def _fault(self, what: str, *gateways: str) -> None:
        super()._fault(what, *gateways)
        self.on_disturbance(what, *gateways)

    def machines(self) -> list[Machine]:
        """All nodes and gateways with their failure domains."""
        return [
            *(Machine(f"n{i}", ZONES[i % len(ZONES)], i // len(ZONES)) for i in range(len(self.nodes))),
            *(Machine(name, gateway=True) for name in self.names),
        ]

    def clients(self, name: str) -> Clients:
        """The clients of one gateway."""
        return Clients(
            self.observations,
            name,
            self.ports[name][0],
            self.started_at,
            self.seed * SEED_STRIDE + int(name[1:]),
            LoadProfile(RATE, shards=len(self.nodes) // len(ZONES)),
        )

    def read_logs(self) -> None:
        """Record the steps that the gateways' logs tell, at the time of each line."""
        for name in self.names:
            for line in (self.folder / name / "log.txt").read_text(errors="replace").splitlines():
                with suppress(ValueError, KeyError, TypeError):
                    entry = json.loads(line)["record"]
                    if (found := STEP.match(entry["message"])) is not None:
                        at = entry["time"]["timestamp"] - self.wall_offset - self.started_at
                        self.observations.add(StepLogged(at, name, found[1], found[2]))

    # --- faults -----------------------------------------------------------------------------------

    async def inject(self, fault: str, drained: set[str]) -> None:
        """Inject one fault at random gateways that are not being drained, and undo it after a while."""
        free = [name for name in self.up if name not in drained]
        injections: dict[str, Callable[[list[str]], Awaitable[None]]] = {
            "kill": self._kill_one,
            "stop": self._stop_one,
            "cut": self._cut_off_some,
            "leader": self._kill_leader,
            "slow": self._slow_links,
            "node": self._fail_node,
            "row": self._rolling_restart,
        }
        if fault in injections:
            await injections[fault](free)

    async def _kill_one(self, free: list[str]) -> None:
        await self._kill_for_a_while(self.rng.choice(free))

    async def _kill_leader(self, free: list[str]) -> None:
        page = await self.fetch_page(self.rng.choice(free), "/policy")
        name = str(page["leader"]) if page and page["leader"] in free else self.rng.choice(free)
        await self._kill_for_a_while(name)

    async def _kill_for_a_while(self, name: str) -> None:
        self.kill(name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.start(name)

    async def _stop_one(self, free: list[str]) -> None:
        name = self.rng.choice(free)
        self.stop(name)
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.go(name)

    async def _cut_off_some(self, free: list[str]) -> None:
        self.part(self.rng.sample(free, self.rng.choice((1, 2))))
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        for link in self.links.values():
            link.heal()

    async def _slow_links(self, _free: list[str]) -> None:
        self.slow(self.rng.sample(self.names, 2), self.rng.choice((0.05, 0.15, 0.3)))
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        for link in self.links.values():
            link.delay = 0.0

    async def _fail_node(self, _free: list[str]) -> None:
        node = self.nodes[int(FAILING_NODE[1:])]
        self.on_disturbance("down", FAILING_NODE)
        node.call(node.die)
        self.phases[FAILING_NODE] = "removed"
        self.discovery.publish(self.discovery_members())
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        node.listen()
        self.node_started(FAILING_NODE)
        self.discovery.publish(self.discovery_members())

    async def _rolling_restart(self, free: list[str]) -> None:
        for name in free:
            self.kill(name)
            await asyncio.sleep(0.1)
            self.start(name)
            end = self.now() + RESTART_TIMEOUT_S
            while self.now() < end:
                page = await self.fetch_page(name, "/policy")
                if page is not None and page["serves"]:
                    break
                await asyncio.sleep(0.1)


async def play(
    seed: int,
    folder: Path,
    broken: dict[str, str] | None = None,
    at_once: int = 0,
    most: float = TRIAL_TIMEOUT_S,
    faults: Sequence[str] | None = None,
    machines: Sequence[str] | None = None,
) -> Result:
    """Play one trial; a fleet that does not come to rest in `most` seconds is a violation.

    `broken` maps gateways that are broken on purpose to the kind of their defect (see the module `broken`).
    What is not given is drawn from the seed.
    """
    draw = random.Random(seed * 7 + 1)
    limits = DrainLimits(at_once or draw.choice((1, 2)), 1)
    machines = machines or [*draw.sample(["n0", "n1", "n2", "n3", "n4"], draw.choice((2, 3))), "g4"]
    faults = draw.choices(FAULTS, k=2) if faults is None else faults
    prepared = ObservedTrial(folder, seed)
    prepared.broken |= broken or {}
    async with prepared as trial:
        await trial.settled()
        tasks = [
            asyncio.create_task(trial.recorder.watch()),
            *(asyncio.create_task(trial.clients(name).run()) for name in trial.names),
        ]
        wrong: list[str] = []
        began = trial.now()
        try:
            await asyncio.sleep(0.5)
            began = trial.now()
            await trial.push_until_committed(_drain_policy(machines, limits), PUSH_TIMEOUT_S)
            wrong += await _until_done(trial, draw, faults, set(machines), most)
        except TimeoutError as error:
            wrong.append(f"not at rest: {error}")
        took = trial.now() - began
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        trial.read_logs()
        wrong += observation_checks.check_maintenance(trial.observations, trial.machines(), limits, machines)
        return _result(seed, tuple(faults), trial, took, wrong)


def _drain_policy(machines: Sequence[str], limits: DrainLimits) -> dict[str, Any]:
    """The policy that asks for these machines within these limits."""
    request = {
        "id": "work",
        "machines": list(machines),
        "at_once": limits.at_once,
        "at_once_zone": limits.at_once_zone,
        "zone_floor": limits.zone_floor,
        "time_s": TRIAL_TIMEOUT_S,
    }
    return {"drains": [], "maintenance": {"requests": [request]}}


async def _until_done(
    trial: ObservedTrial, draw: random.Random, faults: Sequence[str], machines: set[str], most: float
) -> list[str]:
    """Inject the faults in turn and observe until all gateways show all machines done; the violations."""
    gateways = {name for name in machines if name in trial.names}

    async def inject_all() -> None:
        for fault in faults:
            await asyncio.sleep(draw.uniform(0.2, 2.5))
            await trial.inject(fault, gateways)

    injecting = asyncio.create_task(inject_all())
    end = trial.now() + most
    last: dict[str, str] = {}
    try:
        while trial.now() < end:
            seen = await trial.observe_pages()
            last = {name: item["step"] for name, item in seen.items()} or last
            if set(last.values()) == {"done"} and injecting.done() and trial.at_rest():
                return []
            await asyncio.sleep(0.05)
        return [f"not at rest after {most:g} s: {last}, faults {', '.join(faults)}"]
    finally:
        injecting.cancel()
        for link in trial.links.values():
            link.delay = 0.0
        ended = await asyncio.gather(injecting, *trial.tasks, return_exceptions=True)
        for error in ended:
            if isinstance(error, Exception) and not isinstance(error, asyncio.CancelledError):
                raise error
        for name in list(trial.stopped):
            trial.go(name)


def _result(
    seed: int, faults: tuple[str, ...], trial: ObservedTrial, took: float, wrong: list[str]
) -> Result:
    answers = [answer.status for answer in trial.observations.of(ResponseReceived)]
    look_at = []
    if wrong:
        look_at = [
            *context(trial.observations, wrong),
            *trial.diagnosis.lines(trial.names),
            f"again: {replay(seed, 'maintenance')}",
        ]
    return Result(
        seed,
        faults,
        sum(1 for _ in trial.observations.of(RequestSent)),
        answers.count(200),
        sum(status in observation_checks.NOT_EXECUTED_STATUSES for status in answers),
        answers.count(0),
        sum(1 for _ in trial.observations.of(RequestArrived)),
        len(trial.record.worked),
        took,
        max(over for _, over in trial.recorder.spans),
        wrong,
        look_at,
    )


def context(observations: Observations, violations: Sequence[str]) -> list[str]:
    """The faults, the steps and the observations around the first violation, a line each."""
    found = re.match(r"[\d.]+", violations[0])
    at = float(found[0]) if found else 0.0
    shown: list[Event] = [
        event for event in observations.events if isinstance(event, StepLogged | Disturbance)
    ]
    shown += [
        event
        for event in observations.events
        if isinstance(event, RequestArrived | ResponseReceived | RequestSent)
        and abs(event.at - at) < CONTEXT_S
        and event.id in violations[0]
    ]
    shown.sort(key=lambda event: abs(event.at - at))
    return [str(event) for event in sorted(shown[:MAX_CONTEXT_LINES], key=lambda event: event.at)]


def run(seed: int) -> Result:
    """Play one trial in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(seed, Path(folder)))
