"""Maintenance on real processes: gateways under load, machines drained, and one fault from a seed.

The stand-in nodes record the requests that reach them.  Simulated operators work at a machine as soon as any
gateway's page shows it as out, and bring it back afterwards.  `check` reads the record alone.
"""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from mallowbeam.lab.faults.fleet import Fleet
from mallowbeam.standins.discovery import member
from mallowbeam.standins.node import Answer, ObjectNode

ZONES, NODES = "ab", 6  # of the trial: each cell has a node in either zone
DELAY_S = 0.03  # for which a node is at work on a request
LOAD_S = 0.03  # between a client's requests, one client at each gateway
WORK_S = 0.6  # that the operators take at a machine
FIRST_START_MS = 1000  # when discovery says that the nodes started first
TRIAL_TIMEOUT_S = 60.0  # seconds after which a trial has failed


@dataclass
class Record:
    """What happened in a trial; times in seconds of the monotonic clock."""

    got: list[tuple[float, str]] = field(default_factory=list)  # when and which node
    worked: list[tuple[float, float, str]] = field(default_factory=list)  # from, to, machine
    orders: dict[str, list[list[str]]] = field(default_factory=dict)  # by gateway: each order it showed
    away: list[tuple[float, list[str]]] = field(default_factory=list)  # machines away, as one gateway shows
    answers: dict[str, dict[int, int]] = field(default_factory=dict)  # by gateway and status
    lost: dict[str, int] = field(default_factory=dict)  # requests without an answer, by gateway
    disturbed: set[str] = field(default_factory=set)  # gateways that were killed, stopped or worked at
    steps: dict[str, list[str]] = field(default_factory=dict)
    ended: bool = False


class Recorded(ObjectNode):
    """A node that records what reaches it."""

    name, record = "", Record()

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """A request has been run; it came `DELAY_S` ago."""
        self.record.got.append((time.monotonic() - DELAY_S, self.name))
        return super().handle(method, target, headers, body)


class Trial(Fleet):
    """A fleet with maintenance on, and nodes enough to do without one."""

    def __init__(self, folder: Path, seed: int, size: int = 5) -> None:
        super().__init__(folder, size, 0)
        self.rng, self.record = random.Random(seed), Record()
        self.phases: dict[str, str] = {}
        self.starts: dict[
            str, int
        ] = {}  # of each node: the time of its last start that discovery gives, in ms
        for number in range(NODES):
            self.nodes.append(self.node(f"n{number}"))
            self.phases[f"n{number}"] = "up"
            self.starts[f"n{number}"] = FIRST_START_MS
        self.discovery.members = self.discovery_members()
        self.busy: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []

    def node(self, name: str) -> ObjectNode:
        """A node of the trial."""
        node = Recorded(delay=DELAY_S)
        node.name, node.record = name, self.record
        return node

    def on_page(self, page: dict[str, Any]) -> None:
        """Called with each page `/fleet` that was read of a gateway."""

    def on_disturbance(self, what: str, *machines: str) -> None:
        """Called as an operator's work or a fault of a node begins or ends."""

    def discovery_members(self) -> list[dict[str, object]]:
        """The endpoint list that discovery serves."""
        return [
            member(
                f"n{i}",
                node.host_port,
                i // len(ZONES),
                self.phases[f"n{i}"],
                f"hall-{ZONES[i % len(ZONES)]}",
                self.starts[f"n{i}"],
            )
            for i, node in enumerate(self.nodes)
        ]

    def node_started(self, name: str) -> None:
        """A node is up again: discovery lists another start of it, long ago, so that it counts as warm."""
        self.phases[name] = "up"
        self.starts[name] += 1

    def sections(self) -> dict[str, Any]:
        """What each gateway has on."""
        return {"maintenance": {"on": True, "lease_s": 2.0, "report_s": 0.2, "warm_s": 0.5}}

    # --- operators --------------------------------------------------------------------------------

    async def fetch_page(self, name: str, path: str) -> dict[str, Any] | None:
        """Fetch a page of a gateway as JSON; None where it gives no answer within a second."""
        try:
            async with asyncio.timeout(1.0):
                document: dict[str, Any] = (await self.client.get(self.page(name, path))).json()
                return document
        except (httpx.HTTPError, TimeoutError, ValueError):
            return None

    async def push_until_committed(self, body: dict[str, Any], seconds: float = 20.0) -> None:
        """Push a policy until it is committed; raises TimeoutError after `seconds`."""
        end, refusal = self.now() + seconds, ""
        while self.now() < end:
            name = self.rng.choice(self.up)
            if (page := await self.fetch_page(name, "/policy")) is not None:
                try:
                    answer = await self.client.put(
                        self.page(name), json=body, timeout=5.0, headers={"If-Match": f'"{page["version"]}"'}
                    )
                except httpx.HTTPError:
                    continue
                if answer.status_code == 200:
                    return
                refusal = answer.text
            await asyncio.sleep(0.1)
        raise TimeoutError(f"no push in {seconds} s: {refusal}")

    async def observe_pages(self) -> dict[str, Any]:
        """Record all gateways' pages and start work at machines that are out; returns the newest machines."""
        pages = await asyncio.gather(*(self.fetch_page(name, "/fleet") for name in self.up))
        newest: dict[str, Any] = {}
        index = -1
        for page in pages:
            if page is None or "maintenance" not in page.get("subsystems", {}):
                continue
            self.on_page(page)
            part = page["subsystems"]["maintenance"]
            order = [f"{turn['index']} {turn['machine']}" for turn in part["order"]]
            self.record.orders.setdefault(page["name"], []).append(order)
            if page["index"] > index:
                newest, index = part, page["index"]
        machines: dict[str, Any] = newest.get("machines", {})
        self.record.away.append(
            (
                time.monotonic(),
                [
                    name
                    for name, item in machines.items()
                    if item["step"] in ("draining", "empty", "out", "back", "warming")
                ],
            )
        )
        for name, item in machines.items():
            steps = self.record.steps.setdefault(name, [])
            if steps[-1:] != [item["step"]]:
                steps.append(item["step"])
            if item["step"] == "out" and name not in self.busy:
                self.busy.add(name)
                self.tasks.append(asyncio.create_task(self.work(name)))
        return machines

    async def work(self, machine: str) -> None:
        """Work at a machine that is out: restart a gateway, or take a node down and bring it up."""
        began = time.monotonic()
        if machine in self.phases:
            node = self.nodes[int(machine[1:])]
            self.on_disturbance("work", machine)
            node.call(node.die)
            self.phases[machine] = "removed"
            self.discovery.publish(self.discovery_members())
            await asyncio.sleep(WORK_S)
            self.on_disturbance("done", machine)
            try:
                node.listen()
            except OSError:  # its port is somebody's by now: it comes back elsewhere
                node.address = ("127.0.0.1", 0)
                node.listen()
            self.record.worked.append((began, time.monotonic(), machine))
            self.node_started(machine)
            self.discovery.publish(self.discovery_members())
        else:
            self.record.disturbed.add(machine)
            process = self.processes[machine]
            self.on_disturbance("work", machine)
            process.send_signal(signal.SIGTERM)
            for _ in range(200):
                if process.poll() is not None:
                    break
                await asyncio.sleep(0.02)
            self.kill(machine)
            await asyncio.sleep(WORK_S)
            self.record.worked.append((began, time.monotonic(), machine))
            self.on_disturbance("done", machine)
            self.start(machine)

    # --- load and faults --------------------------------------------------------------------------

    async def load(self, name: str) -> None:
        """Send one request after the other to a gateway until cancelled; the answers are counted."""
        number = int(name[1:]) << 32
        async with httpx.AsyncClient(trust_env=False, timeout=4.0) as client:
            while True:
                number += 1
                headers = {
                    "X-Request-Id": f"{number:016x}",
                    "X-Class": "new-write",
                    "X-Storage-Class": "silver",
                    "X-Deadline-Ms": "1500",
                    "X-Extent": f"units=1,shard={number % (NODES // len(ZONES))},hosts=1",
                    "Idempotency-Key": f"{number:016x}",
                }
                try:
                    answer = await client.put(
                        f"http://127.0.0.1:{self.ports[name][0]}/new-write/{1:016x}/" f"{number:016x}",
                        content=b"x",
                        headers=headers,
                    )
                    answers = self.record.answers.setdefault(name, {})
                    answers[answer.status_code] = answers.get(answer.status_code, 0) + 1
                except httpx.HTTPError:
                    self.record.lost[name] = self.record.lost.get(name, 0) + 1
                    await asyncio.sleep(0.1)
                await asyncio.sleep(LOAD_S)

    async def disturb(self, fault: str) -> None:
        """Inject one fault for 2.5 to 3 seconds: stop, cut, or kill of the leader."""
        name = self.rng.choice([name for name in self.up if name not in self.busy])
        if fault == "leader":
            page = await self.fetch_page(name, "/policy")
            name = str(page["leader"]) if page and page["leader"] in self.up else name
        self.record.disturbed.add(name)
        span = self.rng.uniform(2.5, 3.0)
        if fault == "stop":
            self.stop(name)
            await asyncio.sleep(span)
            if name in self.stopped:
                self.go(name)
        elif fault == "cut":
            self.part([name])
            await asyncio.sleep(span)
            for link in self.links.values():
                link.heal()
        else:
            self.kill(name)
            await asyncio.sleep(span)
            if name not in self.processes:
                self.start(name)


async def play(
    seed: int, folder: Path, machines: tuple[str, ...] = ("n0", "n3", "g4"), fault: str = ""
) -> Record:
    """One trial; its record, `ended` where every machine is done."""
    async with Trial(folder, seed) as trial:
        fault = fault or trial.rng.choice(("stop", "leader", "cut"))
        await trial.settled()
        loads = [asyncio.create_task(trial.load(name)) for name in trial.names]
        await asyncio.sleep(1.0)
        await trial.push_until_committed(
            {
                "drains": [],
                "maintenance": {
                    "requests": [{"id": "work", "machines": list(machines), "time_s": TRIAL_TIMEOUT_S}]
                },
            }
        )
        disturbed: asyncio.Task[None] | None = None
        end = trial.now() + TRIAL_TIMEOUT_S
        while trial.now() < end:
            seen = await trial.observe_pages()
            steps = {item["step"] for item in seen.values()}
            if steps == {"done"}:
                trial.record.ended = True
                break
            if disturbed is None and "draining" in steps:
                disturbed = asyncio.create_task(trial.disturb(fault))
            await asyncio.sleep(0.05)
        for task in [*trial.tasks, *([disturbed] if disturbed is not None else [])]:
            await task
        for load in loads:
            load.cancel()
        return trial.record


def check(record: Record, at_once: int = 1) -> list[str]:
    """The invariants that a trial violated, one line each."""
    wrong = [] if record.ended else [f"not at rest: {record.steps}"]
    if sum(answers.get(200, 0) for answers in record.answers.values()) < 100:
        wrong.append(f"hardly any load: {record.answers}")
    for began, ended, machine in record.worked:
        late = [at for at, node in record.got if node == machine and began < at < ended]
        if late:
            wrong.append(f"{machine} got {len(late)} requests while it was worked at")
    for at, away in record.away:
        if len(away) > at_once:
            wrong.append(f"{at:.2f}: {away} away, {at_once} allowed")
    longest = max((order for orders in record.orders.values() for order in orders), key=len, default=[])
    for name, orders in record.orders.items():
        for order in orders:
            if order != longest[: len(order)]:
                wrong.append(f"{name} shows the order {order}, others {longest}")
    spans = [(began, ended) for began, ended, _ in record.worked]
    if any(a[0] < b[1] and b[0] < a[1] for i, a in enumerate(spans) for b in spans[i + 1 :]) and at_once < 2:
        wrong.append(f"two machines were worked at together: {record.worked}")
    wrong += [
        f"{name} left {count} requests without an answer"
        for name, count in record.lost.items()
        if name not in record.disturbed
    ]
    return wrong


def run(seed: int, fault: str = "") -> Record:
    """One trial in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(seed, Path(folder), fault=fault))
