"""Planned hand-overs of a real gateway with a write-back buffer, one after the other under load.

Each lane has a gateway, two nodes that err, and clients that each own their keys (`crash.py`).  A new process
takes the listening sockets and the buffer's folder from the one that serves; no call may be left without an
answer, and afterwards every acknowledged write must be at its node, run once.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from mallowbeam.lab.crash import CLIENTS, Lane, new_rig
from mallowbeam.lab.rig import Rig

ANSWER_S = 15.0  # a call without an answer by then has none
EXIT_S = 30.0  # for the old process to answer what it has and exit
LOAD_S = (0.02, 0.3)  # between two hand-overs
HANDED_OVER = b"phase handed over"  # in a process's log


@dataclass
class HandoverLane(Lane):
    """One gateway's trial."""

    async def call(self, chance: random.Random, key: str) -> None:
        """One call; without a whole answer it is a violation."""
        try:
            async with asyncio.timeout(ANSWER_S):
                await super().call(chance, key)
        except (OSError, EOFError) as error:  # TimeoutError is an OSError
            self.wrong.append(f"{key}: no answer: {error!r}")

    async def play(self, hand_overs: int, progress: asyncio.Queue[int]) -> None:
        """Hand over so many times under load, then look the nodes over."""
        self.rig.start()
        await self.rig.ready()
        over = asyncio.Event()
        clients = [asyncio.create_task(self.client(number, over)) for number in range(CLIENTS)]
        for _ in range(hand_overs):
            self.script_faults()
            await asyncio.sleep(self.chance.uniform(*LOAD_S))
            await self.hand_over()
            progress.put_nowait(1)
        over.set()
        await asyncio.gather(*clients)
        await self._end(self.rig)
        await self.settle()

    async def hand_over(self) -> None:
        """Start the next process and wait until the one before it has left."""
        old, log = self.rig.process, self.rig.log
        assert old is not None and log is not None
        self.rig.start()
        status = await asyncio.to_thread(old.wait, EXIT_S)
        log.close()
        if status != 0:
            self.wrong.append(f"exit status {status} at a hand-over")
        self.counts["hand-overs"] += 1
        handed_over = (self.rig.folder / "log.txt").read_bytes().count(HANDED_OVER)
        if handed_over != self.counts["hand-overs"]:
            self.wrong.append(f"{handed_over} of {self.counts['hand-overs']} hand-overs were taken up")
            self.counts["hand-overs"] = handed_over

    async def _end(self, rig: Rig) -> None:
        status = await asyncio.to_thread(rig.end, signal.SIGTERM)
        if status != 0:
            self.wrong.append(f"exit status {status} at a planned stop")


async def play_lane(folder: Path, seed: int, hand_overs: int, progress: asyncio.Queue[int]) -> HandoverLane:
    """Play one lane of its own."""
    trial = HandoverLane(new_rig(folder), random.Random(seed))
    try:
        await trial.play(hand_overs, progress)
    finally:
        trial.rig.close()
    return trial


async def hand_over_gateways(
    folder: Path, hand_overs: int, lanes: int, seed: int, progress: asyncio.Queue[int] | None = None
) -> tuple[Counter[str], list[str]]:
    """Hand over so many times, in several lanes at once; returns the counters and the violations."""
    shares = [hand_overs // lanes + (number < hand_overs % lanes) for number in range(lanes)]
    progress = progress or asyncio.Queue()
    trials = await asyncio.gather(
        *(
            play_lane(folder / f"lane-{number}", seed * 1000 + number, share, progress)
            for number, share in enumerate(shares)
        )
    )
    counts = sum((trial.counts for trial in trials), Counter[str]())
    return counts, [f"lane {number}: {wrong}" for number, trial in enumerate(trials) for wrong in trial.wrong]
