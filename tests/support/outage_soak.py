"""A soak of the router fleet: real processes, and outages that overlap with everything that changes.

    PYTHONPATH=. python tests/support/outage_soak.py [--first SEED] [--count N] [--jobs N] [--gateways N]

Members and gateways run on loopback addresses of their own, with stand-in instances behind them. One gateway
is frozen until every member that it knew has been replaced, one is left alone. By the seed, members are
replaced for good one after another, frozen or restarted, within what the fleet tolerates; the other gateways
are frozen for seconds, killed, or stopped and started again; the seeds in all settings files follow the
members with a delay, with series of SIGHUP or without; an operator moves routes all the time; instances drain
and others come. Clients keep their connections to each gateway for as long as it lets them. A calm time
follows.

`soak_judge.py` judges what was seen by the operators' rules (CONFIG, DENIED, DRAIN, LOST, TWICE). Besides,
each gateway must serve the last configuration at the end, each member must tell it, a planned stop must end
in time with exit status 0, and no process may log a fault. Each seed prints a line in JSON; exit status 1
where something was violated, and then the logs are kept.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import subprocess
import sys
import time
from typing import Any

from soak_fleet import CATCH_UP_S, SoakFleet
from soak_judge import CONFIG_S, CONTACT_S, MACHINE
from soak_traffic import SoakClients, SoakInstances, SoakOperator

OUTAGES_S = 26.0
CALM_S = 2.0  # after the last configuration is in force
BUSY_S = 0.3  # a loop that is so late tells that the machine of the soak was busy
WATCH_INTERVAL_S = 0.05
CONNECTIONS = 2  # of clients, to each gateway


class Soak:
    """One seed: the parts that run beside each other, and the order of events."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._operator = SoakOperator(fleet)
        self._instances = SoakInstances(fleet, self._operator)
        self._clients = SoakClients(fleet, self._instances)
        self._stopping = asyncio.Event()

    async def play(self) -> None:
        """The start, the outages, the calm time and the checks."""
        self._fleet.start()
        await self._instances.start()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._instances.register(self._stopping))
                tasks.create_task(self._watch_machine())
                tasks.create_task(self._fleet.restart_ended(self._stopping))
                await self._wait_until_ready()
                for gateway in self._fleet.gateways * CONNECTIONS:
                    tasks.create_task(self._clients.run(gateway, self._stopping))
                await self._play_outages()
                await self._check_calm()
                self._stopping.set()
            self._clients.check_arrivals()
            self._check_processes()
        finally:
            await self._instances.stop()

    async def _wait_until_ready(self) -> None:
        await self._operator.put()
        for gateway in self._fleet.gateways:
            await self._fleet.seen(f"{gateway.name} ready", gateway.look)
        await asyncio.sleep(CATCH_UP_S)

    async def _play_outages(self) -> None:
        """All outages and changes, until each is over and the settings name the last members."""
        fleet, until = self._fleet, time.monotonic() + OUTAGES_S
        outliving, _left_alone, *others = fleet.gateways
        changes_over = asyncio.Event()
        operator = asyncio.create_task(self._operator.run(changes_over))
        outages = [fleet.outlive_members(outliving), self._instances.release(until)]
        outages += [fleet.gateway_outages(until, gateway) for gateway in others]
        outages += [fleet.member_outages(until) for _ in range(fleet.tolerance)]
        await asyncio.gather(*outages)
        await fleet.settle()
        changes_over.set()
        await operator

    async def _check_calm(self) -> None:
        """A last configuration is in force everywhere."""
        self._fleet.note("calm")
        await asyncio.sleep(CONTACT_S)
        await self._operator.put()
        await asyncio.sleep(CONFIG_S + CALM_S)
        await self._clients.check_gateways()
        await self._fleet.seen(
            "the last configuration at all members", self._operator.all_members_tell_the_last
        )

    async def _watch_machine(self) -> None:
        """Record when this process was late: then its machine was too busy to judge by."""
        last = time.monotonic()
        while not self._stopping.is_set():
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = time.monotonic()
            if now - last > BUSY_S:
                self._fleet.disturbances.begin(MACHINE, last).until = now
                self._fleet.judge.judged["busy moments"] += 1
            last = now

    def _check_processes(self) -> None:
        """Planned stops have exit status 0, and no process logs a fault."""
        for process in (*self._fleet.members, *self._fleet.gateways):
            if any(process.planned_ends):
                self._fleet.judge.violations.append(f"{process.name} ended with {process.planned_ends}")
            self._fleet.judge.violations += process.faults()


async def run(seed: int, gateways: int | None) -> dict[str, Any]:
    """One seed with a fleet of its own; its summary."""
    fleet = SoakFleet(seed, gateways)
    try:
        await Soak(fleet).play()
    finally:
        await fleet.close()
    if fleet.judge.violations:
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
        "judged": dict(fleet.judge.judged),
        "violations": fleet.judge.violations,
    }


def run_in_processes(script: str, first: int, count: int, jobs: int, gateways: int | None) -> bool:
    """Run seeds of a soak's script, each in a process of its own; whether none failed."""
    waiting, running, failed = list(range(first, first + count)), [], 0
    while waiting or running:
        while waiting and len(running) < jobs:
            more = [] if gateways is None else ["--gateways", str(gateways)]
            command = [sys.executable, script, "--first", str(waiting.pop(0)), *more]
            running.append(subprocess.Popen(command))
        ended = [one for one in running if one.poll() is not None]
        failed += sum(one.returncode != 0 for one in ended)
        running = [one for one in running if one not in ended]
        time.sleep(0.1)
    print(f"{count} seeds from {first}: {failed} failed", flush=True)
    return not failed


def main() -> int:
    """Run the seeds that the arguments name."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--jobs", type=int, default=1, help="how many seeds at a time")
    parser.add_argument("--gateways", type=int, help="how many gateways; 3 to 7 by the seed if not given")
    given = parser.parse_args()
    if given.count > 1:
        ok = run_in_processes(__file__, given.first, given.count, given.jobs, given.gateways)
        return 0 if ok else 1
    summary = asyncio.run(run(given.first, given.gateways))
    print(json.dumps(summary), flush=True)
    return 1 if summary["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
