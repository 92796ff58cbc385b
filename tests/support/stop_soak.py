"""A soak of planned stops: real gateways get SIGTERM in series under streams, pipelines and bodies in parts.

    PYTHONPATH=. python tests/support/stop_soak.py [--first SEED] [--count N] [--jobs N] [--gateways N]
        [--seconds S]

Members and gateways run on loopback addresses of their own. Each gateway is stopped again and again, by the
seed with one SIGTERM or several, with SIGHUP among them, while others are being stopped too; meanwhile an
operator moves routes, instances drain and others come, are silent in the middle of a stream or refuse to
resume one, and now and then a member is restarted. Clients use their connections until these are gone
(`stop_soak_clients.py`). `stop_soak_judge.py` judges rules LOST and ORDER; besides, a stop must end in time
with exit status 0, no process may end by itself or log a fault, and what may not be repeated must run once.
Each seed prints a line in JSON; exit status 1 where something was violated, and then the logs are kept.
"""

from __future__ import annotations

import asyncio
import random
import re
import signal
import sys
import time
from collections import Counter
from typing import Any

from real_processes import SERVICE, Gateway, route
from soak_command import SoakCommand, play_and_summarize
from soak_fleet import CATCH_UP_S, SoakFleet
from soak_judge import GRACE_S, MACHINE
from soak_traffic import SERVICES, SLOW, SLOW_S, SoakInstances, SoakOperator, configuration
from stop_soak_clients import NOT_RESUMABLE, RESUMABLE, STREAM_TIMEOUT_S, StopClients
from stop_soak_judge import LOOK_S, Run, StopJudge
from timed_instances import Timed, TimedStream

STOPS_S = 24.0
CLIENTS = 6  # connections to each gateway
SIGNALS = (1, 1, 1, 2, 3)  # SIGTERM of one stop
BETWEEN_STOPS_S = (0.5, 4.0)
LATE_S = 0.02  # a loop that is so late notices the end of a connection late
BUSY_S = 0.3  # a loop that is so late tells that the machine of the soak was busy
TRUNCATED_LINE = r"stream of instance \S+ is truncated \((\w+)\)"  # logged at most three times in 5 s
REFUSED_SHARE = 0.5  # of the streams that are to be resumed
SLOW_SHARE = 0.5  # of these, the ones that are answered later: the silent instance may go on meanwhile
ANSWERED_AFTER_S = (0.0, 2.0)  # the slow ones
TALK = "talk"  # the service of both stream routes


class RecordedRuns(Timed):
    """An instance that records when it works on which request."""

    judge: StopJudge

    async def _answer(self, seen, reader, writer):
        run = Run(time.monotonic())
        self.judge.runs[seen.headers.get("request-id", "")].append(run)
        try:
            return await super()._answer(seen, reader, writer)
        finally:
            run.ended_at = time.monotonic()


class RecordedStream(RecordedRuns, TimedStream):
    """An instance whose streams are silent and last as long as the last parts of the request's path say.

    Some streams that are to be resumed it answers late, and some it refuses, as a full instance does.
    """

    draw: random.Random

    async def _stream(self, seen, reader, writer, fault):
        if "last-event-id" in seen.headers:
            if self.draw.random() < SLOW_SHARE:
                await self._work(reader, self.draw.uniform(*ANSWERED_AFTER_S))
            if self.draw.random() < REFUSED_SHARE:
                return self._respond(writer, seen, 503, b"full", "Not-Executed: 1\r\n")
        *_, silent_s, lasts_s = seen.target.split("/")
        lasting = TimedStream(self.id, "decode", lasts_s=float(lasts_s), silent_s=float(silent_s))
        self.judge.last_events[seen.headers["request-id"]].add(lasting.event_numbers(seen).stop - 1)
        return await lasting._stream(seen, reader, writer, fault)


class StopOperator(SoakOperator):
    """Its configurations have two stream routes more."""

    def document(self, revision: int) -> dict[str, Any]:
        """The configuration of a revision."""
        document = configuration(revision)
        more = {"timeout_ms": int(STREAM_TIMEOUT_S * 1000), "gap_aim_ms": 250, "max_retries": 2}
        document["routes"] += [
            route(RESUMABLE, "stream", TALK, resumable=True, **more),
            route(NOT_RESUMABLE, "stream", TALK, resumable=False, **more),
        ]
        document["backends"].append({**SERVICE, "name": TALK, "max_connections": 200})
        return document


class StopInstances(SoakInstances):
    """Instances that record their runs, with those of the streams."""

    services = (*SERVICES, SLOW, TALK)

    def __init__(self, fleet: SoakFleet, operator: SoakOperator, judge: StopJudge) -> None:
        super().__init__(fleet, operator)
        self._stop_judge = judge

    def make(self, name: str) -> Timed:
        """An instance of the service that its name begins with."""
        instance: RecordedRuns
        if name.startswith(TALK):
            instance = RecordedStream(name, "decode")
            instance.draw = self._fleet.draw
        else:
            instance = RecordedRuns(name, service_time_s=SLOW_S if name.startswith(SLOW) else 0.0)
        instance.judge = self._stop_judge
        return instance


class StopFleet(SoakFleet):
    """A fleet whose gateways are stopped by series of signals."""

    def __init__(self, seed: int, gateways: int | None) -> None:
        super().__init__(seed, gateways)
        self.stop_judge = StopJudge()

    async def gateway_stops(self, until: float, gateway: Gateway) -> None:
        """Stop and start one gateway, again and again."""
        while time.monotonic() < until:
            await asyncio.sleep(self.draw.uniform(*BETWEEN_STOPS_S))
            await self.stop_by_series(gateway)
            await self.start_gateway(gateway)

    async def stop_by_series(self, gateway: Gateway) -> None:
        """Stop a gateway by SIGTERM, with further signals until it has ended."""
        process = gateway.process
        assert process is not None
        self.note(f"{gateway.name} is stopped")
        stopped_at = time.monotonic()
        self.stop_judge.stop_sent(gateway.name, stopped_at)
        more = [signal.SIGTERM] * (self.draw.choice(SIGNALS) - 1) + [signal.SIGHUP] * self.draw.randint(0, 2)
        for number in more:

            def send(number: int = number) -> None:
                if process.poll() is None:
                    process.send_signal(number)

            self.later(self.draw.uniform(0.0, GRACE_S / 2), send)
        await gateway.end(signal.SIGTERM)
        took_s = time.monotonic() - stopped_at
        if took_s > GRACE_S and not self.disturbances.any(MACHINE, stopped_at, time.monotonic()):
            self.stop_judge.violations.append(f"LOST: {gateway.name} took {took_s:.1f} s to stop")

    async def member_restarts(self, until: float) -> None:
        """Restart one member after another, each once the one before has caught up."""
        while time.monotonic() < until:
            await asyncio.sleep(self.draw.uniform(4.0, 10.0))
            await self.restart_member(self.draw.choice(self.members))
            await asyncio.sleep(CATCH_UP_S)


class StopSoak:
    """One seed: the parts that run beside each other, and the order of events."""

    def __init__(self, fleet: StopFleet, stops_s: float) -> None:
        self._fleet, self._judge, self._stops_s = fleet, fleet.stop_judge, stops_s
        self._operator = StopOperator(fleet)
        self._instances = StopInstances(fleet, self._operator, self._judge)
        self._clients = StopClients(fleet.draw, self._judge)
        self._stopping, self._over = asyncio.Event(), asyncio.Event()

    async def play(self) -> None:
        """The start, the stops, and the checks."""
        self._fleet.start()
        await self._instances.start()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._instances.register(self._over))
                tasks.create_task(self._look())
                tasks.create_task(self._fleet.restart_ended(self._over))
                await self._operator.put()
                for gateway in self._fleet.gateways:
                    await self._fleet.seen(f"{gateway.name} ready", gateway.look)
                clients = [
                    tasks.create_task(self._clients.run(gateway, self._stopping))
                    for gateway in self._fleet.gateways * CLIENTS
                ]
                await self._play_stops()
                self._stopping.set()
                await asyncio.gather(*clients)
                self._over.set()
            self._check()
        finally:
            await self._instances.stop()

    async def _play_stops(self) -> None:
        fleet, until = self._fleet, time.monotonic() + self._stops_s
        changes_over = asyncio.Event()
        operator = asyncio.create_task(self._operator.run(changes_over))
        stops = [fleet.gateway_stops(until, gateway) for gateway in fleet.gateways]
        await asyncio.gather(*stops, fleet.member_restarts(until), self._instances.release(until))
        await fleet.settle()
        changes_over.set()
        await operator

    async def _look(self) -> None:
        """Look at what gateways have read, and record when this process was late."""
        last = time.monotonic()
        while not self._over.is_set():
            self._judge.look()
            await asyncio.sleep(LOOK_S)
            now = time.monotonic()
            if now - last - LOOK_S > LATE_S:
                self._judge.was_late(last, now)
            if now - last > BUSY_S:
                self._fleet.disturbances.begin(MACHINE, last).until = now
                self._judge.judged["busy moments"] += 1
            last = now

    def _check(self) -> None:
        """Unsafe requests have run once, stops have exit status 0, and no process logs a fault."""
        violations = self._judge.violations
        arrivals = Counter(
            arrival.seen.headers.get("request-id", "")
            for instance in self._instances.all
            for arrival in instance.arrivals
            if not arrival.seen.target.startswith((f"/{RESUMABLE}/", f"/{SLOW}/"))
        )
        violations += [f"TWICE: {one} ran {count} times" for one, count in arrivals.items() if count > 1]
        for gateway in self._fleet.gateways:
            for cause in re.findall(TRUNCATED_LINE, gateway.log()):
                self._judge.judged[f"truncated: {cause}"] += 1
        for process in (*self._fleet.members, *self._fleet.gateways):
            if any(process.planned_ends):
                violations.append(f"{process.name} ended with {process.planned_ends}")
            violations += process.faults()
        violations += self._fleet.judge.violations


async def run(seed: int, gateways: int | None, stops_s: float) -> dict[str, Any]:
    """One seed with a fleet of its own; its summary."""
    fleet = StopFleet(seed, gateways)
    judge, soak = fleet.stop_judge, StopSoak(fleet, stops_s).play()
    summary = await play_and_summarize(fleet, seed, soak, judge.violations)
    return {**summary, "judged": dict(sorted(judge.judged.items()))}


if __name__ == "__main__":
    sys.exit(SoakCommand(__file__, __doc__, STOPS_S, run).main())
