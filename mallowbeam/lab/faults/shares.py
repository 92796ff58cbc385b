"""Shares on real processes: two tenants that meet at one node, five gateways, one of them killed.

What counts is what the node saw, by the trial's one steady clock.  `check` reads the record.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from mallowbeam.lab.faults.fleet import LEASE, PUSH_S, Fleet
from mallowbeam.standins.discovery import member
from mallowbeam.standins.node import Answer, ObjectNode

HEAVY, LIGHT = f"{1:016x}", f"{2:016x}"  # volumes; the first has twice the weight
CAPACITY = 30.0  # units a second that the node is said to hold
EPOCH = 0.5  # seconds
ASKS = 8.0  # units a second that each tenant asks for at each gateway
BUSY = 3.0  # times as much that the heavy one asks for at the gateway that is killed
UNITS_TOP = 8  # the example's
SETTLE_S, COUNT_S, AFTER_S = 4.0, 5.0, 5.0
VICTIM = "g4"


@dataclass
class Record:
    """What happened: when the node got a unit of which volume, and when what was done."""

    got: list[tuple[float, str]] = field(default_factory=list)
    held: tuple[float, float] = (0.0, 0.0)  # from when to when shares held, all gateways up
    killed: float = 0.0
    ended: float = 0.0
    allotted: float = 0.0  # to the heavy one at the gateway that was killed
    gateways: int = 5


class Recorded(ObjectNode):
    """A node that records what reaches it."""

    record = Record()

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """A request has come."""
        self.record.got.append((time.monotonic(), HEAVY if HEAVY in target.split("/") else LIGHT))
        return super().handle(method, target, headers, body)


class Trial(Fleet):
    """A fleet with shares on and one node."""

    def __init__(self, folder: Path, size: int = 5) -> None:
        super().__init__(folder, size, 0)
        self.record = Record(gateways=size)
        node = Recorded()
        node.record = self.record
        self.nodes.append(node)
        self.discovery.members = [member("n0", node.host_port, 0)]

    def sections(self) -> dict[str, Any]:
        """What each gateway has on."""
        return {
            "shares": {
                "on": True,
                "epoch_s": EPOCH,
                "window_s": 0.3,
                "lease_s": LEASE,
                "quiet_s": LEASE + 0.5,
            }
        }

    async def share(self, seconds: float = 20.0) -> None:
        """Push the shares until they are committed."""
        body = {
            "drains": [],
            "shares": {
                "tenants": {HEAVY: {"weight": 2000}, LIGHT: {"weight": 1000}},
                "nodes": {"n0": {"capacity": int(CAPACITY * 1000)}},
            },
        }
        end, said = self.now() + seconds, ""
        while self.now() < end:
            if (seen := await self.look("g0")) is not None:
                with suppress(httpx.HTTPError):
                    answer = await self.client.put(
                        self.page("g0"),
                        content=json.dumps(body).encode(),
                        headers={"If-Match": f'"{seen.version}"'},
                        timeout=PUSH_S,
                    )
                    if answer.status_code == 200:
                        return
                    said = answer.text
            await asyncio.sleep(0.1)
        raise TimeoutError(f"no push in {seconds} s: {said}")

    async def shown(self, name: str) -> dict[str, Any]:
        """What a gateway shows of its shares."""
        told: dict[str, Any] = (await self.client.get(self.page(name, "/fleet"), timeout=5.0)).json()
        shares: dict[str, Any] = told["subsystems"]["shares"]
        return shares

    async def load(self, name: str, volume: str, rate: float) -> None:
        """A tenant's requests at one gateway, as many as it asks for whether they are answered or not."""
        number = (int(name[1:]) << 40) + (int(volume, 16) << 32)
        out: set[asyncio.Task[None]] = set()
        async with httpx.AsyncClient(trust_env=False, timeout=4.0) as client:

            async def one(key: str) -> None:
                headers = {
                    "X-Request-Id": key,
                    "X-Class": "new-write",
                    "X-Storage-Class": "silver",
                    "X-Deadline-Ms": "400",
                    "X-Extent": "units=1,shard=0,hosts=1",
                    "Idempotency-Key": key,
                }
                with suppress(httpx.HTTPError):
                    await client.put(
                        f"http://127.0.0.1:{self.ports[name][0]}/new-write/{volume}/{key}",
                        content=b"x",
                        headers=headers,
                    )

            while True:
                number += 1
                task = asyncio.create_task(one(f"{number:016x}"))
                out.add(task)
                task.add_done_callback(out.discard)
                await asyncio.sleep(1 / rate)


async def play(folder: Path) -> Record:
    """One trial; its record."""
    async with Trial(folder) as trial:
        record = trial.record
        await trial.settled()
        await trial.share()
        loads = {
            (name, volume): asyncio.create_task(
                trial.load(name, volume, ASKS * (BUSY if (name, volume) == (VICTIM, HEAVY) else 1))
            )
            for name in trial.names
            for volume in (HEAVY, LIGHT)
        }
        await asyncio.sleep(SETTLE_S)
        began = time.monotonic()
        await asyncio.sleep(COUNT_S)
        record.held = began, time.monotonic()
        record.allotted = (await trial.shown(VICTIM))["allotted"].get(f"{HEAVY}@n0", 0.0)
        trial.kill(VICTIM)
        record.killed = time.monotonic()
        for volume in (HEAVY, LIGHT):
            loads.pop((VICTIM, volume)).cancel()
        await asyncio.sleep(AFTER_S)
        record.ended = time.monotonic()
        for load in loads.values():
            load.cancel()
        return record


def count(record: Record, begin: float, end: float, volume: str = "") -> int:
    """How many units the node got in that time."""
    return sum(begin <= at < end and volume in ("", of) for at, of in record.got)


def check(record: Record) -> list[str]:
    """What is wrong with a trial."""
    wrong: list[str] = []
    heavy, light = (count(record, *record.held, volume) for volume in (HEAVY, LIGHT))
    span = record.held[1] - record.held[0]
    if heavy + light < CAPACITY * span / 2:
        wrong.append(f"hardly any load: {heavy} and {light} in {span:.1f} s")
    if not 1.4 <= heavy / max(1, light) <= 2.8:
        wrong.append(f"the heavy one got {heavy}, the light one {light}")
    if not record.allotted >= CAPACITY / 6:
        wrong.append(f"the gateway that was killed had {record.allotted}")
    slack = CAPACITY * EPOCH + 2 * record.gateways * UNITS_TOP  # as part.py says
    for what, begin, end in (("up", *record.held), ("killed", record.killed, record.ended)):
        got, most = count(record, begin, end), CAPACITY * (end - begin) + slack
        if got > most:
            wrong.append(f"{what}: the node got {got}, at most {most:.0f}")
    return wrong


def run() -> Record:
    """One trial in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(Path(folder)))
