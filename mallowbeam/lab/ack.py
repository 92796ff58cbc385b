"""How soon a write is acknowledged: buffered against direct, on the same stand-ins, with and without pauses.

Open loop: calls leave at moments drawn beforehand, and a call's time counts from its own moment, so that a
pause is every waiting call's, not only the one it hit (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

from mallowbeam.lab.rig import Rig
from mallowbeam.standins.node import ObjectNode

PAUSE = 0.075, 0.230  # seconds that a node stands still
APART = 1.5, 3.0  # seconds between two pauses of a node
WORK = 0.005  # seconds that a node takes for a write


@dataclass(slots=True)
class Result:
    """One load."""

    bucket: str
    pauses: bool
    wanted_per_s: float
    done_per_s: float
    refused: int
    p50_ms: float
    p99_ms: float
    most_ms: float


class Caller:
    """Connections kept and used again, as clients do."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def put(self, target: str, body: bytes) -> int:
        """One PUT; its status."""
        if self.idle:
            reader, writer = self.idle.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"PUT {target} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        size = int(head.partition("content-length: ")[2].partition("\r")[0] or 0)
        await reader.readexactly(size)
        self.idle.append((reader, writer))
        return int(head.split()[1])


async def pauses(nodes: list[ObjectNode], seed: int) -> None:
    """Each node stands still now and then."""

    async def one(node: ObjectNode, chance: random.Random) -> None:
        while True:
            await asyncio.sleep(chance.uniform(*APART))
            node.stand_still(chance.uniform(*PAUSE))

    await asyncio.gather(*(one(node, random.Random(seed + i)) for i, node in enumerate(nodes)))


async def load(
    port: int, bucket: str, rate: float, seconds: float, seed: int
) -> tuple[list[float], int, float]:
    """Latencies, refusals and the time it took, at so many calls a second."""
    caller, chance, tasks = Caller(port), random.Random(seed), []
    latencies, refused, body = list[float](), 0, bytes(1024)

    async def call(number: int, at: float) -> None:
        nonlocal refused
        if await caller.put(f"/{bucket}/{seed}-{number}", body) == 200:
            latencies.append(time.perf_counter() - at)
        else:
            refused += 1

    at = began = time.perf_counter()
    number = 0
    while at < began + seconds:
        if (wait := at - time.perf_counter()) > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.create_task(call(number, at)))
        number, at = number + 1, at + chance.expovariate(rate)
    await asyncio.gather(*tasks)
    return latencies, refused, time.perf_counter() - began


async def measure(folder: Path, rate: float, seconds: float, rounds: int) -> list[Result]:
    """Both buckets in turn, calm and with pauses, so many rounds."""
    nodes = [ObjectNode(delay=WORK), ObjectNode(delay=WORK)]
    rig = Rig(folder, nodes, buffer={"buckets": ["buffered"]})
    results = []
    try:
        rig.start()
        await rig.ready()
        for turn in range(rounds):
            for stand in (False, True):
                for i, bucket in enumerate(("direct", "buffered")):
                    pausing = asyncio.create_task(pauses(nodes, turn)) if stand else None
                    latencies, refused, took = await load(
                        rig.port, bucket, rate, seconds, turn * 10 + stand * 2 + i
                    )
                    if pausing is not None:
                        pausing.cancel()
                    latencies.sort()
                    n = len(latencies)
                    results.append(
                        Result(
                            bucket,
                            stand,
                            rate,
                            round(n / took, 1),
                            refused,
                            round(1000 * latencies[n // 2], 2),
                            round(1000 * latencies[int(n * 0.99)], 2),
                            round(1000 * latencies[-1], 2),
                        )
                    )
                    await asyncio.sleep(1.0)  # the flush ends before the next load
    finally:
        rig.close()
    return results
