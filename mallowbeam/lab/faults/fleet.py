"""N gateway processes with a policy log, the links between them, and the faults that can be laid on them."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any, Self

import httpx

from mallowbeam.lab.faults.diagnosis import Diagnosis
from mallowbeam.lab.faults.history import Fault, History, Pushed, Seen
from mallowbeam.lab.faults.links import Link
from mallowbeam.lab.rig import hold_port, launch, write_files
from mallowbeam.standins.discovery import Discovery, member
from mallowbeam.standins.node import ObjectNode

BEAT, LEASE = 0.1, 1.5  # seconds, of the gateways here
ASK_S = 1.0  # seconds after which a gateway that says nothing is not waited for
PUSH_S = 5.0


class Fleet:
    """The processes of one trial.  Use as `async with`; everything ends with it."""

    def __init__(self, folder: Path, size: int = 5, nodes: int = 2, when_stale: str = "refuse") -> None:
        self.when_stale = when_stale
        self.folder, self.names = folder, [f"g{i}" for i in range(size)]
        self.history, self.began = History(), time.monotonic()
        self.diagnosis = Diagnosis()
        self.nodes = [ObjectNode() for _ in range(nodes)]
        self.discovery = Discovery([member(f"n{i}", node.host_port, i) for i, node in enumerate(self.nodes)])
        self.held, self.ports = [], dict[str, tuple[int, int, int]]()  # by gateway: clients, page, log
        for name in self.names:
            pairs = [hold_port(), hold_port(), hold_port(socket.SO_REUSEADDR)]
            self.held += [sock for sock, _ in pairs]
            self.ports[name] = (pairs[0][1], pairs[1][1], pairs[2][1])
        self.links: dict[tuple[str, str], Link] = {}  # by who dials and who is dialled
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.stopped: set[str] = set()
        self.broken: dict[str, str] = {}  # by gateway: how it is broken on purpose (`broken.py`)
        # A connection for each call: one kept over a SIGKILL would be a fault of the trial's own.
        self.client = httpx.AsyncClient(
            trust_env=False, verify=False, timeout=None, limits=httpx.Limits(max_keepalive_connections=0)
        )

    async def __aenter__(self) -> Self:
        """All up."""
        for near in self.names:
            for far in self.names:
                if near != far:
                    link = self.links[near, far] = Link(self.ports[far][2])
                    await link.start()
        for name in self.names:
            self._write(name)
            self.start(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        """All down."""
        for name in list(self.processes):
            self.kill(name)
        await self.client.aclose()
        for link in self.links.values():
            await link.close()
        for server in (*self.nodes, self.discovery):
            server.close()
        for sock in self.held:
            sock.close()

    def now(self) -> float:
        """Seconds from the trial's start."""
        return time.monotonic() - self.began

    @property
    def up(self) -> list[str]:
        """The gateways that run, those cut off among them."""
        return [name for name in self.names if name in self.processes and name not in self.stopped]

    def _write(self, name: str) -> None:
        """A gateway's two files."""
        clients, page, _ = self.ports[name]
        fronts = {
            "policy": {
                "folder": str(self.folder / name / "log"),
                "name": name,
                "listen": f"127.0.0.1:{page}",
                "members": {other: f"127.0.0.1:{ports[2]}" for other, ports in self.ports.items()},
                "dial": {
                    far: f"127.0.0.1:{link.port}" for (near, far), link in self.links.items() if near == name
                },
                "beat_s": BEAT,
                "lease_s": LEASE,
                "when_stale": self.when_stale,
            }
        } | self.sections()
        write_files(self.folder / name, name, clients, self.discovery, fronts)

    def sections(self) -> dict[str, Any]:
        """The sections of subsystems that are on, of each gateway's operators' file."""
        return {}

    # --- faults -----------------------------------------------------------------------------------

    def _fault(self, what: str, *gateways: str) -> None:
        self.history.add(Fault(self.now(), what, gateways))

    def start(self, name: str) -> None:
        """Start a gateway, with what its earlier lives left on disk."""
        place = self.folder / name
        with open(place / "log.txt", "ab") as log:
            how = [self.broken[name]] if name in self.broken else []
            self.processes[name] = launch(
                place,
                log,
                *how,
                "serve",
                "--log-format",
                "json",
                module="mallowbeam.lab.faults.broken" if how else "mallowbeam",
            )
        self._fault("start", name)

    def kill(self, name: str) -> None:
        """SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait(20)
        self.stopped.discard(name)
        self._fault("kill", name)

    def stop(self, name: str) -> None:
        """SIGSTOP: a process that is slow without end, its connections open."""
        self.processes[name].send_signal(signal.SIGSTOP)
        self.stopped.add(name)
        self._fault("stop", name)

    def go(self, name: str) -> None:
        """SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)
        self.stopped.discard(name)
        self._fault("go", name)

    def part(self, some: Iterable[str]) -> None:
        """Cut all links between these gateways and the others."""
        inside = set(some)
        for (near, far), link in self.links.items():
            if (near in inside) != (far in inside):
                link.sever()
        self._fault("cut", *sorted(inside))

    def slow(self, some: Iterable[str], seconds: float) -> None:
        """Make every piece on these gateways' links late."""
        inside = set(some)
        for (near, far), link in self.links.items():
            if near in inside or far in inside:
                link.delay = seconds
        self._fault("slow", *sorted(inside))

    def heal(self) -> None:
        """All links whole and quick, all gateways up and running."""
        for link in self.links.values():
            link.delay = 0.0
            link.heal()
        for name in list(self.stopped):
            self.go(name)
        for name in self.names:
            if name not in self.processes:
                self.start(name)
        self._fault("heal")

    def page(self, name: str, page: str = "/policy") -> str:
        """A page of a gateway's policy listener."""
        return f"http://127.0.0.1:{self.ports[name][1]}{page}"

    # --- what is asked ----------------------------------------------------------------------------

    async def look(self, name: str) -> Seen | None:
        """A gateway's own word, recorded; None where it says nothing."""
        asked = self.now()
        if name not in self.up:
            return None
        try:
            async with asyncio.timeout(ASK_S):
                told: dict[str, Any] = (await self.client.get(self.page(name))).json()
        except (httpx.HTTPError, TimeoutError, ValueError):
            return None
        seen = Seen(
            self.now(),
            asked,
            name,
            told["phase"],
            told["serves"],
            told["version"],
            json.dumps(told["policy"], separators=(",", ":"), sort_keys=True),
            told["leader"],
        )
        self.history.add(seen)
        self.diagnosis.add(self.now(), name, told.get("engine") or {})
        return seen

    async def look_all(self) -> dict[str, Seen]:
        """Every gateway's word."""
        found = await asyncio.gather(*(self.look(name) for name in self.names))
        return {seen.gateway: seen for seen in found if seen is not None}

    async def push(self, via: str, base: int, drains: list[str]) -> Pushed:
        """Push a policy at one gateway; recorded with what the pusher is told."""
        began, body = self.now(), json.dumps({"drains": sorted(drains)}, separators=(",", ":"))
        version, why = 0, "unknown"
        with suppress(httpx.HTTPError, TimeoutError, ValueError):
            async with asyncio.timeout(PUSH_S):
                answer = await self.client.put(
                    self.page(via), content=body.encode(), headers={"If-Match": f'"{base}"'}
                )
                told = answer.json()
                version = told.get("version", 0)
                why = "unknown" if answer.status_code == 504 else told.get("what", "")
        pushed = Pushed(self.now(), began, via, base, body, version, why)
        self.history.add(pushed)
        return pushed

    async def change(self, via: str, drains: list[str], seconds: float = 30.0) -> int:
        """Push at one gateway until that is committed, as a leader may be wanted first: its version."""
        end = self.now() + seconds
        while self.now() < end:
            seen = await self.look(via)
            if (
                seen is not None
                and seen.serves
                and (pushed := await self.push(via, seen.version, drains)).version
            ):
                return pushed.version
            await asyncio.sleep(0.05)
        raise TimeoutError(f"no change at {via} in {seconds} s: {self.state({})}")

    async def until(self, holds: Any, seconds: float = 30.0) -> dict[str, Seen]:
        """Look until `holds` of what was seen; raises TimeoutError with what was seen last."""
        end = self.now() + seconds
        while True:
            seen = await self.look_all()
            if holds(seen):
                return seen
            if self.now() > end:
                raise TimeoutError(f"after {seconds} s: {self.state(seen)}")
            await asyncio.sleep(0.03)

    def state(self, seen: dict[str, Seen]) -> str:
        """Each gateway in a word, for what went wrong: what it says, or how it ended and its last line."""
        said = []
        for name in self.names:
            if name in seen:
                said.append(f"{name} {seen[name].phase} {seen[name].version} led by {seen[name].leader}")
            else:
                process = self.processes.get(name)
                ended = "down" if process is None else process.poll()
                lines = (self.folder / name / "log.txt").read_text().splitlines()
                said.append(f"{name} says nothing, ended {ended}: {lines[-1][:300] if lines else ''}")
        return "; ".join(said)

    async def settled(self, version: int = 0, names: Iterable[str] | None = None) -> dict[str, Seen]:
        """Wait until these gateways (all) serve one version, at least this one."""
        wanted = set(names or self.names)
        return await self.until(
            lambda seen: wanted <= set(seen)
            and all(seen[name].serves and seen[name].version >= version for name in wanted)
            and len({seen[name].version for name in wanted}) == 1
        )
