"""Storage gateways of an old and a new version: upgrades without a pause, and one policy log for both.

    PYTHONPATH=NEW python tests/support/mixed_storage_gateways.py OLD NEW [--quick] [--buffer on|off|both]

OLD and NEW are work trees of the project; both may be the same.  Real processes on loopback, between stand-in
storage nodes and a stand-in discovery.  Two trials:

hand-over   One gateway, with its write buffer on and with it off, is started a second time by the other
            version while the first process serves, then a third time by the first version, and so on, under
            requests at the platform's front and at the object API.  Each request gets one whole answer, every
            object that was acknowledged is read back, a node that was taken out by hand at the first process
            gets nothing from any, and each old process ends with exit status 0.
policy log  Three gateways agree on policies, with maintenance and shares on: two of one version, one of the
            other.  Policies are pushed at each of them, each is killed and its folder taken on by the other
            version, and one loses its folder and takes a snapshot from the others (left out by `--quick`).
            Each acknowledged policy is in force everywhere, and all members show the same states.

The last line is a summary in JSON; exit status 1 where something was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from mixed_fleet import check_code
from project_paths import EXAMPLE
from real_processes import NEW, OLD, PATIENCE_S, Answer, TrialFailedError, call, free_port, until

from mallowbeam.standins.discovery import Discovery, member
from mallowbeam.standins.node import ObjectNode

OWN_IP = f"127.{os.getpid() % 190 + 60}.3.1"  # no other process's ports are there
SHARDS = (0, 1, 0)  # of the nodes
KEYED_BY_NAME = (
    ".links",
    ".hosted",
    ".machines",
    ".tenants",
    ".nodes",
    ".stopped",
    ".gateways",
    ".resources",
)
FAULT_WORDS = (  # of both versions: some texts were reworded
    "unforeseen",
    "unexpected error",
    "Traceback",
    "no handover",
    "can't be understood",
    "ERROR",
    "CRITICAL",
)
END_S = 15.0  # seconds for a process to answer what it holds; the longest deadline is three
ANSWER_S = 10.0  # seconds for an answer
BUCKET = "tolls"
OUT_BY_HAND = 2  # which node; the other one of its shard serves
BUFFERED_BYTES = 64 << 20


def names_in(value: Any, path: str = "") -> list[str]:
    """All names in a page's JSON, each with those above it; keys that name a thing of the trial's as `*`."""
    if not isinstance(value, dict):
        return []
    found = []
    for name, inner in value.items():
        here = f"{path}.{'*' if path.endswith(KEYED_BY_NAME) else name}"
        found += [here, *names_in(inner, here)]
    return sorted(set(found))


class StorageGateway:
    """The processes of one gateway: its files, and whichever of its versions run."""

    def __init__(self, folder: Path, name: str, code: dict[str, Path], discovery: Discovery) -> None:
        self.folder, self.name, self.code, self.discovery = folder / name, name, code, discovery
        self.folder.mkdir(parents=True)
        self.listen = f"{OWN_IP}:{free_port(OWN_IP)}"
        self.fronts: dict[str, Any] = {}
        self.processes: list[tuple[str, subprocess.Popen[bytes], Path]] = []

    def write_files(self) -> None:
        """The platform's file, with the example's settings, and the operators' file."""
        settings = json.loads((EXAMPLE / "config.json").read_text())["settings"]
        settings["FamilyInfo"]["SlotsTotal"] = max(SHARDS) + 1
        config = {
            "name": self.name,
            "listen": self.listen,
            "seed": "5eed",
            "discovery": self.discovery.host_port,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": True, "members": self.discovery.members},
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "fronts.json").write_text(json.dumps(self.fronts))

    def start(self, version: str, admin: str = "") -> None:
        """Start a process of a version; the one that runs already hands over to it."""
        log = self.folder / f"log-{len(self.processes)}-{version}"
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(self.code[version]),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TMPDIR": str(self.folder),
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "MALLOWBEAM_FRONTS": str(self.folder / "fronts.json"),
        }
        if admin:
            environment["BALANCER_ADMIN_ADDR"] = admin
        with open(log, "wb") as file:
            process = subprocess.Popen(
                [sys.executable, "-m", "mallowbeam"],
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        self.processes.append((version, process, log))

    @property
    def version(self) -> str:
        """Of the newest process."""
        return self.processes[-1][0]

    def kill(self) -> None:
        """End the newest process at once."""
        process = self.processes[-1][1]
        process.send_signal(signal.SIGKILL)
        process.wait(PATIENCE_S)

    def faults(self) -> list[str]:
        """Lines of all logs that tell of a fault."""
        found = []
        for version, _, log in self.processes:
            lines = log.read_text(errors="replace").splitlines()
            words = [line for line in lines if any(word in line for word in FAULT_WORDS)]
            found += [f"{self.name} ({version}): {line}" for line in words]
        return found

    def close(self) -> None:
        """End all processes."""
        for _, process, _ in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait(PATIENCE_S)


class Trial:
    """Stand-ins, a folder, and what was seen."""

    name = ""

    def __init__(self, code: dict[str, Path], seed: int) -> None:
        self.code, self.draw = code, random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="mallowbeam-mixed-storage-"))
        self.nodes = [ObjectNode() for _ in SHARDS]
        listed = [member(f"n{i}", node.host_port, SHARDS[i]) for i, node in enumerate(self.nodes)]
        self.discovery = Discovery(listed)
        self.gateways: list[StorageGateway] = []
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    def add(self, name: str) -> StorageGateway:
        """One more gateway."""
        gateway = StorageGateway(self.folder, name, self.code, self.discovery)
        self.gateways.append(gateway)
        return gateway

    def close(self) -> dict[str, Any]:
        """End all, and the trial's summary; the logs are kept where something was violated."""
        for gateway in self.gateways:
            gateway.close()
            self.violations += gateway.faults()
        for server in (*self.nodes, self.discovery):
            server.close()
        if self.violations:
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        return {"violations": self.violations, "counts": dict(sorted(self.counts.items()))}


# ------------------------------------------------------------------------------------------ hand-over


class HandOver(Trial):
    """One gateway that is upgraded again and again under load."""

    def __init__(self, code: dict[str, Path], seed: int, buffered: bool) -> None:
        super().__init__(code, seed)
        self.name = f"hand-over, write buffer {'on' if buffered else 'off'}"
        self.gateway = self.add("upgraded")
        self.objects = f"{OWN_IP}:{free_port(OWN_IP)}"
        self.gateway.fronts = {
            "objects": {
                "listen": self.objects,
                "classes": {"read": "read", "write": "new-write"},
                "plan": "silver",
                "plans": {},
                "authentication": "off",
                "unit_bytes": 1048576,
                "max_body_bytes": 2097152,
                "held_bytes": 16777216,
            },
        }
        if buffered:
            self.gateway.fronts["buffer"] = {
                "folder": str(self.folder / "buffer"),
                "buckets": [BUCKET],
                "max_bytes": BUFFERED_BYTES,
                "segment_bytes": 1 << 20,
            }
        (self.folder / "buffer").mkdir()
        self.gateway.write_files()
        self.stored: dict[str, bytes] = {}
        self.written: list[tuple[int, int]] = []  # keys and their shards
        self.figures: dict[str, list[str]] = {}  # names of the figures for operators, by version
        self.asked = 0

    async def run(self, steps: int) -> None:
        """So many upgrades, from the old version to the new and back."""
        stopping = asyncio.Event()
        admin = await self.upgrade(OLD)
        answer = await call(admin, "PUT", "/_storage-nodes/detach", f"n{OUT_BY_HAND}".encode())
        if answer.status != 200:
            raise TrialFailedError(f"detach: {answer.status}")
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.clients(stopping))
            for step in range(steps):
                await asyncio.sleep(0.5)
                await self.upgrade(NEW if step % 2 == 0 else OLD)
            await asyncio.sleep(0.5)
            stopping.set()
        await self.read_back()
        version, process, _ = self.gateway.processes[-1]
        process.terminate()
        await self.check_end(version, process)
        self.check_sent()

    async def upgrade(self, version: str) -> str:
        """Start a process; it is ready, and the one before it has ended. Its door for operators."""
        admin = f"{OWN_IP}:{free_port(OWN_IP)}"
        self.gateway.start(version, admin)

        async def ready() -> bool:
            return (await call(admin, "GET", "/_ready")).status == 200

        await until(f"the {version} process ready", ready)
        if len(self.gateway.processes) > 1:
            before, process, _ = self.gateway.processes[-2]
            self.counts[f"hand-over {before} to {version}"] += 1
            await self.check_end(before, process)
        lines = (await call(admin, "GET", "/_vars")).body.decode().splitlines()
        if "app_buffer_opening 1" not in lines:  # until it is open the buffer has that figure alone
            self.figures[version] = sorted({line.rpartition(" ")[0] for line in lines})
        return admin

    async def check_end(self, version: str, process: subprocess.Popen[bytes]) -> None:
        """A process ends by itself once it has answered all, with exit status 0."""
        try:
            if code := await asyncio.to_thread(process.wait, END_S):
                self.violations.append(f"the {version} process ended with {code}")
        except subprocess.TimeoutExpired:
            self.violations.append(f"the {version} process has not ended after {END_S:g} s")

    async def clients(self, stopping: asyncio.Event) -> None:
        """Requests at both fronts until told to stop."""
        tasks: set[asyncio.Task[None]] = set()
        while not stopping.is_set():
            for ask in (self.platform_request, self.object_request):
                if len(tasks) < 30:
                    task = asyncio.create_task(ask())
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)

    async def platform_request(self) -> None:
        """A write of the platform, or a read of what was written."""
        self.asked += 1
        write = not self.written or self.asked % 3 == 0
        cls = "new-write" if write else "read"
        key, shard = (self.asked, self.asked % 2) if write else self.draw.choice(self.written)
        headers = {
            "x-request-id": f"{self.asked:016x}",
            "x-class": cls,
            "x-storage-class": "silver",
            "x-deadline-ms": "1200",
            "x-extent": f"units=1,shard={shard},hosts=1",
        }
        if write:
            headers["idempotency-key"] = f"key-{self.asked}"
        target = f"/{cls}/00000000000000aa/{key:016x}"
        answer = await self.bounded(self.gateway.listen, "PUT" if write else "GET", target, b"data", headers)
        self.note(f"platform {cls}", answer)
        if write and answer.status == 200:
            self.written.append((key, shard))

    async def object_request(self) -> None:
        """An object is stored, or one that was is read."""
        if self.stored and self.draw.random() < 0.4:
            name = self.draw.choice(list(self.stored))
            answer = await self.bounded(self.objects, "GET", f"/{BUCKET}/{name}")
            self.note("object get", answer)
            if answer.status == 200 and answer.body != self.stored[name]:
                self.violations.append(f"{name}: other bytes")
            return
        name = f"object-{len(self.stored)}-{self.draw.randrange(1 << 30)}"
        body = self.draw.randbytes(self.draw.randint(1, 4000))
        answer = await self.bounded(self.objects, "PUT", f"/{BUCKET}/{name}", body)
        self.note("object put", answer)
        if answer.status == 200:
            self.stored[name] = body

    async def bounded(
        self, address: str, method: str, target: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Answer:
        """One call that ends."""
        try:
            async with asyncio.timeout(ANSWER_S):
                return await call(address, method, target, body if method == "PUT" else b"", headers)
        except TimeoutError:
            return Answer(0)

    def note(self, kind: str, answer: Answer) -> None:
        """Count an answer; none, or a second one, is a violation."""
        self.counts[f"{kind} {answer.status}"] += 1
        if answer.status == 0 or answer.surplus:
            processes = len(self.gateway.processes)
            self.violations.append(f"{kind}: no whole answer, process {processes} ({self.gateway.version})")

    async def read_back(self) -> None:
        """Every object that was acknowledged."""
        for name, body in self.stored.items():

            async def found(name: str = name) -> Answer | None:
                answer = await self.bounded(self.objects, "GET", f"/{BUCKET}/{name}")
                return answer if answer.status in (200, 404) else None

            answer = await until(f"an answer for {name}", found)
            if answer.status != 200 or answer.body != body:
                self.violations.append(f"{name} was acknowledged and is read back as {answer.status}")
        self.counts["objects read back"] = len(self.stored)

    def check_sent(self) -> None:
        """Each hand-over was one, a node out by hand got nothing, and both versions have the same figures."""
        self.counts["requests at the node out by hand"] = len(self.nodes[OUT_BY_HAND].store.history)
        if len({tuple(names) for names in self.figures.values()}) > 1:
            self.violations.append(f"figures: {self.figures}")
        self.counts["versions whose figures were seen"] = len(self.figures)
        if runs := self.nodes[OUT_BY_HAND].store.runs:
            self.violations.append(f"sent to a node that is out by hand: {runs[:3]}")
        for version, _, log in self.gateway.processes[:-1]:
            if "phase handed over" not in log.read_text():
                self.violations.append(f"a {version} process did not hand over")


# ------------------------------------------------------------------------------------------ policy log


class PolicyLog(Trial):
    """Three gateways on one policy log."""

    name = "policy log"

    def __init__(self, code: dict[str, Path], seed: int) -> None:
        super().__init__(code, seed)
        names = ("g0", "g1", "g2")
        ports = {name: free_port(OWN_IP) for name in names}
        self.pages = {name: f"{OWN_IP}:{free_port(OWN_IP)}" for name in names}
        self.by_name = {name: self.add(name) for name in names}
        for name, gateway in self.by_name.items():
            gateway.fronts = {
                "policy": {
                    "folder": str(gateway.folder / "log"),
                    "name": name,
                    "listen": self.pages[name],
                    "members": {other: f"{OWN_IP}:{port}" for other, port in ports.items()},
                    "beat_s": 0.1,
                    "lease_s": 1.5,
                },
                "maintenance": {"on": True, "lease_s": 2.0, "report_s": 0.3, "warm_s": 0.5},
                "shares": {"on": True, "epoch_s": 0.5, "window_s": 0.2, "lease_s": 2.0, "quiet_s": 3.0},
            }
            gateway.write_files()
        self.version = 0
        self.policy: dict[str, Any] = {}

    async def run(self, quick: bool) -> None:
        """Pushes at all, kills and swaps; unless quick, a lost folder."""
        for name, version in zip(self.by_name, (OLD, NEW, OLD), strict=True):
            self.by_name[name].start(version)
        await self.everywhere()
        for name in self.by_name:
            await self.push(name)
        await self.everywhere()
        for name in self.by_name:
            await self.kill_and_swap(name)
            await self.push(name)
        await self.everywhere()
        if not quick:
            await self.snapshots()
            for name in ("g0", "g1"):
                await self.lose_folder(name)
                await self.push(name)
                await self.everywhere()
        await self.same_states()
        await self.same_names()

    async def page(self, name: str, path: str = "/policy") -> dict[str, Any] | None:
        """A page of a gateway; None where it gives none."""
        answer = await call(self.pages[name], "GET", path)
        return json.loads(answer.body) if answer.status == 200 else None

    async def everywhere(self) -> None:
        """The newest version is in force, and served, at every gateway."""

        async def in_force() -> bool:
            pages = [await self.page(name) for name in self.by_name]
            return all(page and page["serves"] and page["version"] == self.version for page in pages)

        await until(f"version {self.version} everywhere", in_force)
        pages = [await self.page(name) for name in self.by_name]
        texts = {json.dumps(page["policy"], sort_keys=True) for page in pages if page}
        digests = {page["digest"] for page in pages if page}
        if len(texts) > 1 or len(digests) > 1:
            self.violations.append(f"version {self.version}: {len(texts)} texts, {len(digests)} digests")

    def next_policy(self) -> dict[str, Any]:
        """A policy that differs from all before it."""
        number = self.version + 1
        nodes = {f"n{i}": {"capacity": 40_000 + number, "zone": "hall-a"} for i in range(len(SHARDS))}
        request = {"id": f"roll-{number}", "machines": ["n0"], "zone_floor": 0.1, "time_s": 600.0}
        return {
            "drains": [f"spare-{number}"],
            "plans": [{"name": "silver", "limit": 5.0 + number}],
            "shares": {"tenants": {"a": {"weight": 1000 + number}, "b": {}}, "nodes": nodes},
            "maintenance": {"requests": [request] if number % 2 else []},
        }

    async def push(self, name: str) -> None:
        """Push a policy at a gateway; one whose end is not known may have taken hold."""
        policy = self.next_policy()
        body = json.dumps(policy).encode()

        async def pushed() -> bool:
            page = await self.page(name)
            if page is None or not page["serves"]:
                return False
            if page["version"] == self.version + 1:
                return True
            answer = await call(self.pages[name], "PUT", "/policy", body, {"If-Match": f'"{self.version}"'})
            self.counts[f"push {answer.status}"] += 1
            if answer.status in (400, 409):
                told = json.loads(answer.body)
                if told["error"] != "NotAlike" and "listed" not in told["remedy"]:
                    raise TrialFailedError(f"a push was refused: {told}")
            return answer.status == 200

        await until(f"version {self.version + 1} pushed at {name}", pushed)
        self.version += 1
        self.policy = policy
        self.counts[f"pushed at {self.by_name[name].version}"] += 1

    async def kill_and_swap(self, name: str) -> None:
        """Kill a gateway, and give its folder to the other version."""
        gateway = self.by_name[name]
        gateway.kill()
        gateway.start(NEW if gateway.version == OLD else OLD)
        await self.everywhere()

    async def snapshots(self) -> None:
        """Wait until each has written a snapshot: it cuts its journal by it every half minute."""

        async def written() -> bool:
            return all((one.folder / "log" / "snapshot").exists() for one in self.by_name.values())

        await until("a snapshot of each", written, 120.0)
        self.counts["snapshots written"] += len(self.by_name)
        for name in self.by_name:  # and each is taken on by the other version
            await self.kill_and_swap(name)

    async def lose_folder(self, name: str) -> None:
        """A gateway starts without its folder, and learns all from the others."""
        gateway = self.by_name[name]
        gateway.kill()
        shutil.rmtree(gateway.folder / "log")
        gateway.start(gateway.version)
        await self.everywhere()
        self.counts[f"learned anew as {gateway.version}"] += 1

    async def same_names(self) -> None:
        """The pages and figures have the same names at both versions."""
        shown: dict[str, dict[str, list[str]]] = {}
        for name, gateway in self.by_name.items():
            metrics = (await call(self.pages[name], "GET", "/fleet/metrics")).body.decode().splitlines()
            lines = [line.split()[2] for line in metrics if line.startswith("# TYPE")]
            pages = [await self.page(name), await self.page(name, "/fleet")]
            policy, fleet = [names_in(page) for page in pages]
            shown[gateway.version] = {"metrics": sorted(lines), "policy": policy, "fleet": fleet}
        for page, old in shown[OLD].items():
            if (new := shown[NEW][page]) != old or not old:
                self.violations.append(f"{page}: {old} and {new}")
            self.counts[f"names on {page}"] = len(old)

    async def same_states(self) -> None:
        """All show the same machines, order and shares' epoch, once nothing is under way."""

        async def alike() -> bool:
            pages = [await self.page(name, "/fleet") for name in self.by_name]
            shown = [page["subsystems"]["maintenance"] for page in pages if page]
            texts = {
                json.dumps({k: one[k] for k in ("machines", "stopped")}, sort_keys=True) for one in shown
            }
            indexes = [page["index"] for page in pages if page]
            return len(shown) == len(self.by_name) and len(texts) == 1 and max(indexes) - min(indexes) < 50

        await until("the same states at all", alike)
        page = await self.page("g0", "/fleet")
        if page is not None:
            self.counts["entries"] = page["index"]


# ------------------------------------------------------------------------------------------ both


async def play(trial: HandOver | PolicyLog, quick: bool, upgrades: int) -> dict[str, Any]:
    """One trial; its summary."""
    began = time.monotonic()
    try:
        if isinstance(trial, HandOver):
            await trial.run(2 if quick else upgrades)
        else:
            await trial.run(quick)
    except* (TrialFailedError, OSError) as failed:
        trial.violations += [repr(error) for error in failed.exceptions]
    finally:
        summary = await asyncio.to_thread(trial.close)
    return {"trial": trial.name, "took_s": round(time.monotonic() - began, 1), **summary}


def main() -> int:
    """Both trials on the versions that the arguments name."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("old", type=Path, help="a work tree of the old version")
    parser.add_argument("new", type=Path, help="a work tree of the new version")
    parser.add_argument("--quick", action="store_true", help="fewer upgrades, no lost folder")
    parser.add_argument("--buffer", choices=("on", "off", "both"), default="both", help="of the hand-over")
    parser.add_argument("--upgrades", type=int, default=6, help="hand-overs of one gateway")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    code = {OLD: given.old.resolve(), NEW: given.new.resolve()}
    check_code(code)
    buffers = {"on": (True,), "off": (False,), "both": (True, False)}[given.buffer]
    kinds: list[Callable[[], HandOver | PolicyLog]] = [partial(PolicyLog, code, given.seed)]
    kinds += [partial(HandOver, code, given.seed, buffered) for buffered in buffers]
    results = [asyncio.run(play(kind(), given.quick, given.upgrades)) for kind in kinds]
    print(json.dumps(results))
    return 1 if any(result["violations"] for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
