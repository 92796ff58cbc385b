"""The fleet's policy in one gateway: the core, the log and the gateway joined.  Decides nothing.

A change reaches the gateway on its loop, whole: drains by the same way as an operator's call at the door.
The page that it serves (`/policy`) takes a push and shows what is in force.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path

import msgspec
from loguru import logger

from mallowbeam.buffer.disk import Locked, RealDisk
from mallowbeam.fleet.agreement import Agreement
from mallowbeam.fleet.policy import Action, Apply, Change, Entered, Mark, OutOfOrder, PolicyCore
from mallowbeam.net.config import BadConfig, read_address
from mallowbeam.net.gateway import Gateway
from mallowbeam.net.http import Budget, Message, write_head
from mallowbeam.net.server import Reply, Server, plain
from mallowbeam.operators import PolicySection

MOST = 65536                # bytes of a policy
PUSH_S = 3.0                # seconds that a push is waited for before its end is called unknown


class Policy(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What a policy says: the nodes that are drained, by their ids in discovery."""

    drains: list[str] = []


def read_policy(text: bytes | str) -> Policy:
    """A policy's text, checked; raises `msgspec.ValidationError` or `msgspec.DecodeError`."""
    return msgspec.json.decode(text, type=Policy)


def canonical(policy: Policy) -> str:
    """One text for one policy, so that equal ones have equal digests."""
    return json.dumps({"drains": sorted(set(policy.drains))}, separators=(",", ":"), sort_keys=True)


def hold(folder: Path) -> RealDisk:
    """The folder for this process alone, made if it is not there; raises `BadConfig`.

    Guards the journal: two processes that write one would each undo what the other has promised the fleet.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        disk = RealDisk(str(folder))
        disk.lock()
    except (OSError, Locked) as error:
        raise BadConfig(f"policy.folder: {error}") from None
    return disk


def digest(change: Change) -> str:
    """A short name of a policy's text."""
    return hashlib.sha256(change.body.encode()).hexdigest()[:12]


class PolicyService:
    """A part of the gateway, and the front of the page `/policy`."""

    max_body, whole = MOST, 0
    budget: Budget | None = None

    def __init__(self, gateway: Gateway, section: PolicySection) -> None:
        self.gateway, self.section = gateway, section
        self.core = PolicyCore(section.lease_s, section.beat_s, section.when_stale == "refuse")
        self.agreement: Agreement | None = None
        assert section.folder is not None
        self.folder = Path(section.folder)
        self.disk = hold(self.folder)          # until this process ends, however it ends
        self.beating: asyncio.Task[None] | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        gateway.parts.append(self)
        gateway.gates.append(self.serves)

    def serves(self) -> bool:
        """Whether requests may be taken now."""
        return self.core.serves(time.monotonic())

    # --- a part of the gateway --------------------------------------------------------------------

    def start(self) -> None:
        """Join the fleet's log; until a mark has come back nothing is served."""
        self.loop = asyncio.get_running_loop()
        s = self.section
        assert s.name is not None
        life = f"{time.time_ns():x}"
        self.agreement = Agreement(s.name, life, s.members, self.folder, self._told, s.dial)
        self.beating = asyncio.create_task(self._beat())

    async def hand_over(self) -> None:
        """Restarted, not handed over: two processes can't share one seat in the log."""
        await self.stop()

    async def stop(self) -> None:
        """Leave the log."""
        if self.beating is not None:
            self.beating.cancel()
        if self.agreement is not None:
            await asyncio.to_thread(self.agreement.close)
            self.agreement = None

    def gauges(self) -> Mapping[str, int]:
        """The version in force, and whether it is known to be the newest."""
        return {"policy_version": self.core.change.version, "policy_serves": int(self.serves())}

    async def _beat(self) -> None:
        while True:
            self._do(self.core.tick(time.monotonic()))
            await asyncio.sleep(self.section.beat_s / 2)

    def _told(self, change: Change, mark: int) -> None:
        """The log has committed something; in its thread."""
        assert self.loop is not None
        with suppress(RuntimeError):           # the loop is closed: the gateway has ended
            self.loop.call_soon_threadsafe(self._learn, change, mark)

    def _learn(self, change: Change, mark: int) -> None:
        try:
            self._do(self.core.committed(change))
        except OutOfOrder as error:
            return logger.error("policy: {}", error)
        if mark:
            self._do(self.core.marked(mark, time.monotonic()))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Mark(number):
                    if self.agreement is not None:
                        self.agreement.mark(number)
                case Entered(phase):
                    logger.bind(policy=phase.value, version=self.core.change.version).info(
                        "policy {}: version {}", phase.value, self.core.change.version)
                case Apply(change, before):
                    self._apply(change, before)

    def _apply(self, change: Change, before: Change) -> None:
        """Let a policy take hold, whole, in one turn of the loop."""
        now, was = read_policy(change.body), read_policy(before.body)
        for node in set(was.drains) - set(now.drains):
            self.gateway.by_hand(node, False, listed=False)
        for node in now.drains:
            self.gateway.by_hand(node, True, listed=False)
        logger.bind(policy="applied", version=change.version, digest=digest(change)).info(
            "policy applied: version {} ({})", change.version, digest(change))

    # --- its page ---------------------------------------------------------------------------------

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Reply:
        """GET shows, PUT pushes a policy after the version that `If-Match` names."""
        if request.target != b"/policy":
            return plain(404, "no such page", closing())
        if request.method == b"GET":
            return self._page(200, self.shown(), closing())
        if request.method != b"PUT":
            return plain(405, "GET or PUT", closing(), [(b"allow", b"GET, PUT")])
        base = dict(request.headers).get(b"if-match", b"").strip(b'"')
        if not base.isdigit() or len(base) > 12:
            return plain(428, "If-Match must name the version that this follows", closing())
        try:
            body = canonical(read_policy(bytes(request.body)))
        except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
            return plain(400, str(error), closing())
        version, why = await self._push(int(base), body)
        status = 200 if version else {"another change came first": 412, "no leader": 503}.get(why, 504)
        return self._page(status, {"version": version, "why": why}, closing())

    def shown(self) -> dict[str, object]:
        """What is in force here, and how sure that is."""
        core = self.core
        self._do(core.tick(time.monotonic()))  # told as the clock has it, not the last tick
        return {"name": self.section.name, "phase": core.phase.value, "serves": self.serves(),
                "leader": self.agreement.leader() if self.agreement else None,
                "version": core.change.version, "digest": digest(core.change),
                "policy": json.loads(core.change.body),
                "engine": self.agreement.shown() if self.agreement else None}

    async def _push(self, base: int, body: str) -> tuple[int, str]:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[tuple[int, str]] = loop.create_future()

        def settle(version: int, why: str) -> None:
            if not ended.done():
                ended.set_result((version, why))

        def told(version: int, why: str) -> None:
            with suppress(RuntimeError):       # the loop is closed
                loop.call_soon_threadsafe(settle, version, why)

        if self.agreement is None:
            return 0, "no leader"
        self.agreement.push(base, body, told)
        try:
            async with asyncio.timeout(PUSH_S):
                return await ended
        except TimeoutError:
            return 0, "unknown"

    @staticmethod
    def _page(status: int, told: dict[str, object], close: bool) -> Reply:
        body = json.dumps(told).encode()
        head = write_head(status, [(b"content-type", b"application/json")], len(body), close)
        return Reply(status, head + body)

    def complain(self, status: int, text: str) -> Reply:
        """The answer to what breaks HTTP or a bound."""
        return plain(status, text, True)

    def ended(self, request: Message, status: int, whole: bool) -> None:
        """Its calls are not among the figures."""


def open_policy(gateway: Gateway, section: PolicySection, connections: int) -> Server:
    """The part, and the listener of its page; raises `BadConfig`."""
    assert section.listen is not None
    return Server(read_address(section.listen), PolicyService(gateway, section), connections, name="policy")
