"""A soak of the router fleet: real processes, and outages that overlap with everything that changes.

    PYTHONPATH=. python tests/support/outage_soak.py [--first SEED] [--count N] [--jobs N] [--gateways N]
        [--seconds S]

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

import asyncio
import sys
import time
from typing import Any

from soak_command import SoakCommand, play_and_summarize
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

    def __init__(self, fleet: SoakFleet, outages_s: float) -> None:
        self._fleet = fleet
        self._outages_s = outages_s
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
        fleet, until = self._fleet, time.monotonic() + self._outages_s
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


async def run(seed: int, gateways: int | None, outages_s: float) -> dict[str, Any]:
    """One seed with a fleet of its own; its summary."""
    fleet = SoakFleet(seed, gateways)
    soak = Soak(fleet, outages_s).play()
    summary = await play_and_summarize(fleet, seed, soak, fleet.judge.violations)
    return {**summary, "judged": dict(fleet.judge.judged)}


if __name__ == "__main__":
    sys.exit(SoakCommand(__file__, __doc__, OUTAGES_S, run).main())
