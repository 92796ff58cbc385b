"""The processes of a soak: members and gateways on loopback, and what happens to them."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from project_paths import ROOT
from real_processes import NEW, Gateway, Member, free_port
from soak_judge import CORE, GRACE_S, MACHINE, Configurations, Disturbances, Judge, planned_stop

SEED_LAG_S = 3.0  # until the settings name other members
CATCH_UP_S = 4.0  # a member counts as lost for so long after it has started or returned
PATIENCE_S = 30.0  # for what should take a second or two: only a failure takes so long
RESTART_INTERVAL_S = 0.2
FREEZES_S = (0.5, 10.0)  # of gateways
MEMBER_FREEZES_S = (0.5, 5.0)
MEMBER_COUNTS = {3: 1, 5: 2}  # members to the number that may be lost at once
MAX_SEEDS = 3


class SoakFleet:
    """The processes of a soak, and what happens to them."""

    def __init__(self, seed: int, gateways: int | None) -> None:
        self.draw = random.Random(seed)
        self.code = {NEW: ROOT}
        self.folder = Path(tempfile.mkdtemp(prefix="mallowbeam-soak-"))
        self.subnet = os.getpid() % 190 + 60
        ip = f"127.{self.subnet}.1.1"
        ports = [free_port(ip) for _ in range(4)]
        self.control_port, self.peer_port, self.front_port, self.metrics_port = ports
        self.disturbances = Disturbances()
        self.configurations = Configurations()
        self.judge = Judge(self.disturbances, self.configurations)
        count = self.draw.choice(list(MEMBER_COUNTS))
        self.tolerance = MEMBER_COUNTS[count]
        self.members = [self._member(number) for number in range(1, count + 1)]
        self.gateways = [
            self._gateway(number) for number in range(1, 1 + (gateways or self.draw.randint(3, 7)))
        ]
        self.listed = list(self.members)  # as the operator's list names them
        self.members_started = count
        self.lost: set[Member] = set()
        self.to_replace: list[Member] = []  # those that a frozen gateway knows; they are replaced first
        self.lives: Counter[str] = Counter()
        self.events: list[str] = []
        self.began = time.monotonic()
        self._delayed: set[asyncio.Task[None]] = set()

    def _member(self, number: int) -> Member:
        return Member(self, number, NEW)

    def _gateway(self, number: int) -> Gateway:
        return Gateway(self, number, NEW)

    def seeds(self) -> list[str]:
        """The control addresses that a settings file names: some members of the operator's list."""
        return [member.control for member in self.draw.sample(self.listed, min(MAX_SEEDS, len(self.listed)))]

    def note(self, text: str) -> None:
        """Record an event for the report of a violation."""
        self.events.append(f"{time.monotonic() - self.began:7.3f} {text}")

    def later(self, delay_s: float, work: Callable[[], None]) -> None:
        """Do something after a time."""

        async def run() -> None:
            await asyncio.sleep(delay_s)
            work()

        self.spawn(run())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the rest; its failure is a violation."""
        task = asyncio.create_task(work)
        self._delayed.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._delayed.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.judge.violations.append(f"soak: {error!r}")

    async def settle(self) -> None:
        """Wait for all that was begun."""
        while self._delayed:
            await asyncio.wait(set(self._delayed))

    # ------------------------------------------------------------ start and end

    def start(self) -> None:
        """Start all processes, for the first time."""
        first = [member.control for member in self.members][:MAX_SEEDS]
        self.listed = self.members[: len(first)]
        for process in (*self.members, *self.gateways):
            process.start()
        self.listed = list(self.members)

    async def close(self) -> None:
        """End all processes."""
        for process in (*self.members, *self.gateways):
            if process.process is not None:
                process.process.send_signal(signal.SIGCONT)
                await process.end(signal.SIGKILL)

    # ------------------------------------------------------------ members

    async def member_outages(self, until: float) -> None:
        """Replace, freeze and restart members, as many at once as the fleet tolerates."""
        while time.monotonic() < until or self.to_replace:
            await asyncio.sleep(self.draw.uniform(0.0, 0.6))
            healthy = [one for one in self.members if one not in self.lost]
            if len(self.lost) >= self.tolerance or not healthy:
                continue
            known = [one for one in healthy if one in self.to_replace]
            member = self.draw.choice(known or healthy)
            self.lost.add(member)
            if known:
                await self.replace_member(member)
                self.to_replace.remove(member)
            else:
                kinds = (self.replace_member, self.replace_member, self.freeze_member, self.restart_member)
                await self.draw.choice(kinds)(member)

    async def replace_member(self, member: Member) -> None:
        """Take a member away for good; an empty one at another address comes before or after."""
        planned = self.draw.random() < 0.4
        if planned:
            successor = self.add_member()
            await asyncio.sleep(self.draw.uniform(0.5, 2.0))
        self.members.remove(member)
        self.note(f"{member.name} is {'stopped' if planned else 'killed'} for good")
        with self.disturbances.during(CORE):
            await member.end(signal.SIGTERM if planned else signal.SIGKILL)
        if not planned:
            await asyncio.sleep(self.draw.uniform(0.0, 1.0))
            successor = self.add_member()
        self.lost.discard(member)
        self.lost.add(successor)
        self.later(CATCH_UP_S, lambda: self.lost.discard(successor))
        names = list(self.members)
        self.later(SEED_LAG_S, lambda: self.list_members(names))
        self.spawn(self.hang_ups(SEED_LAG_S))

    def add_member(self) -> Member:
        """Start an empty member at an address of its own."""
        self.members_started += 1
        member = self._member(self.members_started)
        member.first_start = False
        self.members.append(member)
        self.note(f"{member.name} is started empty")
        with self.disturbances.during(CORE):
            member.start()
        return member

    async def freeze_member(self, member: Member) -> None:
        """Suspend a member for some seconds."""
        assert member.process is not None
        freeze_s = self.draw.uniform(*MEMBER_FREEZES_S)
        self.note(f"{member.name} is frozen for {freeze_s:.1f} s")
        with self.disturbances.during(CORE):
            member.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(freeze_s)
            member.process.send_signal(signal.SIGCONT)
        self.later(CATCH_UP_S, lambda: self.lost.discard(member))

    async def restart_member(self, member: Member) -> None:
        """Kill a member, and start it on its disk."""
        self.note(f"{member.name} is killed and started")
        with self.disturbances.during(CORE):
            await member.end(signal.SIGKILL)
            await asyncio.sleep(self.draw.uniform(0.0, 0.5))
            member.start()
        self.later(CATCH_UP_S, lambda: self.lost.discard(member))

    # ------------------------------------------------------------ processes that end by themselves

    async def restart_ended(self, stopping: asyncio.Event) -> None:
        """Start processes again that end by themselves, as the platform does.

        A process that gets SIGHUP before its interpreter runs the program ends by the signal's default
        action; any other end is a violation.
        """
        while not stopping.is_set():
            await asyncio.sleep(RESTART_INTERVAL_S)
            for process in (*self.members, *self.gateways):
                if process.process is not None and process.process.poll() is not None:
                    self._restart(process, process.process.returncode)

    def _restart(self, process: Member | Gateway, code: int) -> None:
        self.note(f"{process.name} ended by itself with {code}")
        if code != -signal.SIGHUP:
            self.judge.violations.append(f"{process.name} ended by itself with {code}")
        with self.disturbances.during(CORE if isinstance(process, Member) else process.name):
            process.start()
        self.lives[process.name] += 1

    # ------------------------------------------------------------ settings

    def list_members(self, members: list[Member]) -> None:
        """Name these members in the operator's list, and new seeds in all settings files."""
        self.listed = members
        for process in (*self.members, *self.gateways):
            process.write_settings()
        self.note(f"settings name seeds of {', '.join(member.name for member in members)}")

    async def hang_ups(self, delay_s: float) -> None:
        """A series of SIGHUP at some processes, or none."""
        await asyncio.sleep(delay_s)
        for _ in range(self.draw.randint(0, 4)):
            for process in (*self.members, *self.gateways):
                if process.process is not None and self.draw.random() < 0.5:
                    process.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.draw.uniform(0.0, 0.3))

    # ------------------------------------------------------------ gateways

    async def gateway_outages(self, until: float, gateway: Gateway) -> None:
        """Freeze, kill or stop one gateway, again and again."""
        while time.monotonic() < until:
            await asyncio.sleep(self.draw.uniform(0.5, 8.0))
            kinds = (self.freeze_for_seconds, self.freeze_for_seconds, self.kill_gateway, self.stop_gateway)
            await self.draw.choice(kinds)(gateway)

    async def outlive_members(self, gateway: Gateway) -> None:
        """Suspend a gateway until every member that it knows has been replaced."""
        self.to_replace = list(self.members)

        async def replaced() -> None:
            while self.to_replace:
                await asyncio.sleep(0.1)

        await self.freeze_gateway(gateway, replaced())

    async def freeze_for_seconds(self, gateway: Gateway) -> None:
        """Suspend a gateway for some seconds."""
        await self.freeze_gateway(gateway, asyncio.sleep(self.draw.uniform(*FREEZES_S)))

    async def freeze_gateway(self, gateway: Gateway, lasting: Coroutine[Any, Any, None]) -> None:
        """Suspend a gateway for as long as something else lasts."""
        assert gateway.process is not None
        with self.disturbances.during(gateway.name):
            self.note(f"{gateway.name} is frozen")
            gateway.process.send_signal(signal.SIGSTOP)
            await lasting
            gateway.process.send_signal(signal.SIGCONT)
            self.note(f"{gateway.name} goes on")

    async def kill_gateway(self, gateway: Gateway) -> None:
        """Kill a gateway, and start it again."""
        self.note(f"{gateway.name} is killed")
        with self.disturbances.during(gateway.name):
            await gateway.end(signal.SIGKILL)
            await self.start_gateway(gateway)

    async def stop_gateway(self, gateway: Gateway) -> None:
        """Stop a gateway in order while clients keep using their connections, and start it again."""
        self.note(f"{gateway.name} is stopped")
        stopped_at = time.monotonic()
        self.judge.stop_sent(gateway.name, stopped_at)
        with self.disturbances.during(planned_stop(gateway.name)):
            await gateway.end(signal.SIGTERM)
            took_s = time.monotonic() - stopped_at
            busy = self.disturbances.any(MACHINE, stopped_at, time.monotonic())
            if took_s > GRACE_S and not busy:
                self.judge.violations.append(f"LOST: {gateway.name} took {took_s:.1f} s to stop")
            with self.disturbances.during(gateway.name):
                await self.start_gateway(gateway)

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start a gateway; in touch it is at the earliest once it is ready."""
        await asyncio.sleep(self.draw.uniform(0.0, 1.0))
        gateway.start()
        self.lives[gateway.name] += 1
        await self.seen(f"{gateway.name} ready", gateway.look)
        self.note(f"{gateway.name} is ready")

    async def seen(self, what: str, condition: Callable[[], Awaitable[object]]) -> None:
        """Wait for a condition; one that does not come is a violation."""
        end = time.monotonic() + PATIENCE_S
        while not await condition():
            if time.monotonic() > end:
                self.judge.violations.append(f"not seen within {PATIENCE_S:g} s: {what}")
                return
            await asyncio.sleep(0.05)
