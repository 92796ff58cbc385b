"""The command line of a soak: one seed, or several in processes of their own."""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from soak_fleet import SoakFleet

POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class SoakCommand:
    """A soak's script: what it is for, how long it goes on if not told otherwise, and what plays one seed."""

    script: str
    description: str
    seconds: float
    run: Callable[[int, int | None, float], Coroutine[Any, Any, dict[str, Any]]]

    def main(self) -> int:
        """Run the seeds that the arguments name; returns the exit status."""
        parser = argparse.ArgumentParser(
            description=self.description, formatter_class=argparse.RawDescriptionHelpFormatter
        )
        parser.add_argument("--first", type=int, default=1, help="the first seed")
        parser.add_argument("--count", type=int, default=1, help="how many seeds")
        parser.add_argument("--jobs", type=int, default=1, help="how many seeds at a time")
        parser.add_argument("--gateways", type=int, help="how many gateways; 3 to 7 by the seed if not given")
        parser.add_argument("--seconds", type=float, default=self.seconds, help="how long outages go on")
        given = parser.parse_args()
        if given.count > 1:
            more = ["--seconds", str(given.seconds)]
            more += [] if given.gateways is None else ["--gateways", str(given.gateways)]
            return 0 if self._run_in_processes(given.first, given.count, given.jobs, more) else 1
        summary = asyncio.run(self.run(given.first, given.gateways, given.seconds))
        print(json.dumps(summary), flush=True)
        return 1 if summary["violations"] else 0

    def _run_in_processes(self, first: int, count: int, jobs: int, more: Sequence[str]) -> bool:
        """Run seeds, each in a process of its own; whether none failed."""
        waiting, running, failed = list(range(first, first + count)), [], 0
        while waiting or running:
            while waiting and len(running) < jobs:
                command = [sys.executable, self.script, "--first", str(waiting.pop(0)), *more]
                running.append(subprocess.Popen(command))
            ended = [one for one in running if one.poll() is not None]
            failed += sum(one.returncode != 0 for one in ended)
            running = [one for one in running if one not in ended]
            time.sleep(POLL_INTERVAL_S)
        print(f"{count} seeds from {first}: {failed} failed", flush=True)
        return not failed


async def play_and_summarize(
    fleet: SoakFleet, seed: int, soak: Awaitable[None], violations: list[str]
) -> dict[str, Any]:
    """Play one seed and end its processes; keep their logs if a rule was violated."""
    try:
        await soak
    finally:
        await fleet.close()
    if violations:
        (fleet.folder / "events").write_text("\n".join(fleet.events) + "\n")
        print(f"seed {seed}: logs are kept in {fleet.folder}", file=sys.stderr)
    else:
        shutil.rmtree(fleet.folder, ignore_errors=True)
    return {
        "seed": seed,
        "took_s": round(time.monotonic() - fleet.began, 1),
        "members": len(fleet.members),
        "members_started": fleet.members_started,
        "gateways": len(fleet.gateways),
        "configurations": fleet.configurations.sent,
        "violations": violations,
    }
