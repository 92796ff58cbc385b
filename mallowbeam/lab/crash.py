"""A real gateway with a write-back buffer, killed again and again under load, and what is left looked over.

Each lane has a gateway, two nodes that err, and clients that each own their keys, so that each knows what a
reader may see: what was acknowledged last, or anything offered since.  When the last life has flushed, every
acknowledged write must be at its node with its bytes, no write may have run twice, and no call may have had a
second answer.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from mallowbeam.lab.ask import ask
from mallowbeam.lab.rig import Rig
from mallowbeam.standins.faults import Rule
from mallowbeam.standins.node import ObjectNode
from mallowbeam.storage_gateway.write_buffer import inspect

BUCKET = "plates"
CLIENTS = 8
BRIEFLY = {"x-deadline-ms": "150"}  # reads and barriers wait no longer: what is tried here is the writes
HOT = 4  # keys that each client writes again and again
PATIENCE = 60.0  # seconds for the last life to flush all
FAULTS = ("refuse", "error", "stall", "cut", "run-cut", "answer-cut")


@dataclass
class Lane:
    """One gateway's trial."""

    rig: Rig
    chance: random.Random
    wanted: dict[str, list[bytes | None]] = field(default_factory=dict)  # what each key may hold
    counts: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)

    async def client(self, number: int, until: asyncio.Event) -> None:
        """Calls one after the other, for one life of the gateway."""
        chance = random.Random(self.chance.random())
        while not until.is_set():
            key = f"{number}-{chance.randrange(HOT)}" if chance.random() < 0.5 else f"{number}-{self.fresh()}"
            try:
                await self.call(chance, key)
            except (OSError, EOFError, asyncio.IncompleteReadError):
                self.counts["broken"] += 1
                await asyncio.sleep(0.01)

    def fresh(self) -> int:
        """A number not used before."""
        self.counts["keys"] += 1
        return self.counts["keys"]

    async def call(self, chance: random.Random, key: str) -> None:
        """One call, and what its answer says of the key."""
        kind, known = chance.random(), self.wanted.setdefault(key, [None])
        if kind < 0.15:
            answer = await ask(self.rig.port, "GET", f"/{BUCKET}/{key}", headers=BRIEFLY)
            seen = answer.body if answer.status == 200 else None
            if answer.status in (200, 404) and seen not in known:
                self.wrong.append(f"{key}: a reader saw {short(seen)}, not one of {[*map(short, known)]}")
            self.counts["reads"] += 1
            return
        if kind < 0.16:
            answer = await ask(
                self.rig.port,
                "POST",
                f"/{BUCKET}?barrier=" + chance.choice(("sync", "through")),
                headers=BRIEFLY,
            )
            self.counts["barriers"] += answer.status == 200
            return
        body: bytes | None = None
        if kind < 0.9:
            size = 300_000 if kind < 0.17 else chance.randrange(1, 3000)
            body = f"{key} {self.fresh()} ".encode() + bytes(size)
        known.append(body)  # from now on it may be there
        method = "DELETE" if body is None else "PUT"
        answer = await ask(self.rig.port, method, f"/{BUCKET}/{key}", body or b"")
        if answer.status in (200, 204):
            self.wanted[key] = [body]
            self.counts["acknowledged"] += 1
            self.counts["buffered"] += "x-mallowbeam-durable" in answer.headers
        elif answer.status == 503:
            known.remove(body)  # refused: it is never there
            self.counts["refused"] += 1
            await asyncio.sleep(0.02)
        else:
            self.counts["failed"] += 1

    async def life(self) -> None:
        """One start, a load, faults at the nodes, and SIGKILL at a moment drawn at random."""
        chance, rig = self.chance, self.rig
        self.script_faults()
        rig.start()
        over = asyncio.Event()
        if chance.random() < 0.15:  # within the start, or while the folder is being read
            await asyncio.sleep(chance.uniform(0.2, 0.7))
            self.counts["killed early"] += 1
            rig.end()
            return
        await rig.ready()
        clients = [asyncio.create_task(self.client(i, over)) for i in range(CLIENTS)]
        await asyncio.sleep(chance.uniform(0.02, 0.4))
        await asyncio.to_thread(rig.end)
        over.set()
        for task in await asyncio.gather(*clients, return_exceptions=True):
            if isinstance(task, BaseException):
                self.wrong.append(f"a client failed: {task!r}")

    def script_faults(self) -> None:
        """Draw the faults of both nodes anew."""
        chance = self.chance
        for node in self.rig.nodes:
            node.script.clear()
            node.script.add(
                *(
                    Rule(
                        chance.choice(FAULTS),
                        skip=chance.randrange(40),
                        seconds=chance.random(),
                        times=chance.randrange(1, 3),
                    )
                    for _ in range(chance.randrange(4))
                )
            )

    async def settle(self) -> None:
        """A last life without faults, until all is on the nodes; then look it over."""
        for node in self.rig.nodes:
            node.script.clear()
        self.rig.start()
        await self.rig.ready()
        until = time.monotonic() + PATIENCE
        report = inspect.inspect_folder(str(self.rig.store))
        while report.writes and time.monotonic() < until:
            await asyncio.sleep(0.2)
            report = inspect.inspect_folder(str(self.rig.store))
        if report.writes or not report.is_intact:
            self.wrong.append(f"left: {report.json()}")
        status = await asyncio.to_thread(self.rig.end, 15)
        if status != 0:
            self.wrong.append(f"exit status {status} at a planned stop")
        self.judge()

    def judge(self) -> None:
        """Every acknowledged write is there with its bytes, and nothing ran twice."""
        there: dict[str, bytes] = {}
        for node in self.rig.nodes:
            for path, stored in node.store.objects.items():
                there[path.rpartition("/")[2]] = stored.body
            runs = Counter(run.token for run in node.store.history if run.token and not run.deduped)
            self.counts["runs"] += len(runs)
            self.counts["repeats dropped"] += sum(run.deduped for run in node.store.history)
            self.wrong += [f"{token} ran {n} times" for token, n in runs.items() if n > 1]
        for key, allowed in self.wanted.items():
            if there.get(key) not in allowed:
                self.wrong.append(
                    f"{key}: its node has {short(there.get(key))}, " f"not one of {[*map(short, allowed)]}"
                )


def short(body: bytes | None) -> str:
    """A body in a few words."""
    return "nothing" if body is None else body[:24].rstrip(b"\0").decode() + f"({len(body)})"


def new_rig(folder: Path) -> Rig:
    """A gateway with a small buffer and two nodes, in a new folder."""
    folder.mkdir(parents=True)
    return Rig(
        folder,
        [ObjectNode(), ObjectNode()],
        buffer={
            "buckets": [BUCKET],
            "max_bytes": 16 << 20,
            "segment_bytes": 1 << 20,
            "cache_bytes": 65536,
            "max_records": 5000,
        },
    )


async def lane(folder: Path, seed: int, kills: int, told: asyncio.Queue[int]) -> Lane:
    """So many kills, then a settled end."""
    trial = Lane(new_rig(folder), random.Random(seed))
    try:
        for _ in range(kills):
            await trial.life()
            trial.counts["kills"] += 1
            told.put_nowait(1)
        await trial.settle()
    finally:
        trial.rig.close()
    return trial


async def crash(
    folder: Path, kills: int, lanes: int, seed: int, told: asyncio.Queue[int] | None = None
) -> tuple[Counter[str], list[str]]:
    """Kill so many gateways, over several lanes at once; what was counted, and what was wrong."""
    each = [kills // lanes + (i < kills % lanes) for i in range(lanes)]
    trials = await asyncio.gather(
        *(lane(folder / f"lane-{i}", seed * 1000 + i, n, told or asyncio.Queue()) for i, n in enumerate(each))
    )
    counts: Counter[str] = Counter()
    for trial in trials:
        counts += trial.counts
    return counts, [f"lane {i}: {wrong}" for i, trial in enumerate(trials) for wrong in trial.wrong]
