"""The fleet's log, the cores and the gateway joined in one gateway: I/O, and no decisions.

What the log commits reaches the gateway on its loop, in order and one entry a turn: a policy whole, to the
policy's core and from there to drains and plans; a topic's entry to its subsystem.  The subsystems that the
operators' file turns on are loaded here and nowhere else (`subsystem.py`).
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections.abc import Mapping
from contextlib import suppress
from importlib import import_module
from pathlib import Path
from typing import Any

from loguru import logger

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.errors import (
    BadPolicy,
    EndUnknown,
    FleetError,
    LogUnusable,
    NoLeader,
    NotAlike,
)
from mallowbeam.storage_gateway.coordination.policy import (
    Action,
    Apply,
    Change,
    Entered,
    Mark,
    OutOfOrder,
    PolicyCore,
)
from mallowbeam.storage_gateway.coordination.policy_document import (
    Policy,
    canonical,
    check_sections,
    read_policy,
)
from mallowbeam.storage_gateway.coordination.raft_node import Broken, Heard, Hosted, Proof, RaftNode
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, ReplicatedLog
from mallowbeam.storage_gateway.coordination.subsystem import Subsystem
from mallowbeam.storage_gateway.coordination.subsystem_context import (
    GatewayContext,
    NodeDrains,
    PlanOverrides,
)
from mallowbeam.storage_gateway.operator_settings import PolicySection
from mallowbeam.storage_gateway.server.config import BadConfig
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.write_buffer.disk import Locked, RealDisk

PUSH_S = 3.0  # seconds that a push is waited for before its end is called unknown
POLICY = "policy"  # under this name the policy wants nodes out, beside the subsystems


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


class FleetService:
    """A part of the gateway."""

    def __init__(
        self, gateway: Gateway, section: PolicySection, sections: Mapping[str, Any] | None = None
    ) -> None:
        assert section.folder is not None and section.name is not None
        self.gateway, self.section, self.me = gateway, section, section.name
        self.core = PolicyCore(section.lease_s, section.beat_s, section.when_stale == "refuse")
        self.drains, self.plans = NodeDrains(gateway), PlanOverrides(gateway)
        self.agreement: RaftNode | None = None
        self.failed: MallowbeamError | None = None  # why this member takes nothing in any more
        self.hosted: dict[str, tuple[str, ...]] = {}  # by member: its subsystems, as its marks say
        self.leading: str | None = None  # as of the last beat
        self.counts = {"proposed": 0, "dropped": 0, "refused": 0, "faults": 0}
        self.folder = Path(section.folder)
        self.disk = hold(self.folder)  # until this process ends, however it ends
        self.beating: asyncio.Task[None] | None = None
        self.leaving: asyncio.Task[None] | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.subsystems: dict[str, Subsystem] = {
            name: self._open(name, own) for name, own in (sections or {}).items()
        }
        self.log = ReplicatedLog([part.state_machine for part in self.subsystems.values()])
        gateway.parts.append(self)
        gateway.gates.append(self.serves)

    def _open(self, name: str, section: Any) -> Subsystem:
        """Load a subsystem that is on."""
        context = GatewayContext(
            name,
            self.me,
            tuple(sorted(self.section.members)),
            self.gateway,
            self.drains,
            self.plans,
            self._put,
            lambda: self.leading == self.me,
        )
        module = import_module(f"{__package__}.{name}.subsystem")
        part: Subsystem = module.open_subsystem(context, section)
        assert part.state_machine.name == name
        return part

    def serves(self) -> bool:
        """Whether requests may be taken now."""
        return self.core.serves(time.monotonic())

    # --- a part of the gateway --------------------------------------------------------------------

    def start(self) -> None:
        """Join the fleet's log; until a mark has come back nothing is served."""
        self.loop = asyncio.get_running_loop()
        s, life = self.section, f"{time.time_ns():x}"
        self.agreement = RaftNode(self.me, life, s.members, self.folder, self._told, s.dial, self.log)
        self.beating = asyncio.create_task(self._beat())

    async def hand_over(self) -> None:
        """Restarted, not handed over: two processes can't share one seat in the log."""
        await self.stop()

    async def stop(self) -> None:
        """Leave the log."""
        if self.beating is not None:
            self.beating.cancel()
        await self._leave()

    async def _leave(self) -> None:
        agreement, self.agreement, self.leading = self.agreement, None, None
        if agreement is not None:
            await asyncio.to_thread(agreement.close)

    def gauges(self) -> Mapping[str, int]:
        """The version in force, and whether it is known to be the newest."""
        return {"policy_version": self.core.change.version, "policy_serves": int(self.serves())}

    async def _beat(self) -> None:
        while True:
            now = time.monotonic()
            self.leading = self.agreement.leader() if self.agreement else None
            self._do(self.core.tick(now))
            for name in self.subsystems:
                self._call(name, "tick", now)
            await asyncio.sleep(self.section.beat_s / 2)

    def _call(self, name: str, method: str, *given: object) -> None:
        """One call of a subsystem.

        Guards the policy's marks and the other subsystems: what one raises is logged and stays its own.
        """
        try:
            getattr(self.subsystems[name], method)(*given)
        except Exception as error:  # noqa: BLE001 (whatever it is)
            self.counts["faults"] += 1
            logger.opt(exception=error).error("fleet: {} failed in {}", name, method)

    # --- what the log tells -----------------------------------------------------------------------

    def _told(self, heard: tuple[Heard, ...]) -> None:
        """The log has committed something; in its thread."""
        assert self.loop is not None
        with suppress(RuntimeError):  # the loop is closed: the gateway has ended
            self.loop.call_soon_threadsafe(self._learn, heard)

    def _learn(self, heard: tuple[Heard, ...]) -> None:
        now = time.monotonic()
        for told in heard:
            if self.failed is not None:
                return
            match told:
                case Change():
                    try:
                        self._do(self.core.committed(told))
                    except OutOfOrder as error:
                        self._fail(LogUnusable(str(error), "policy"))
                case Committed():
                    self.counts["refused"] += told.refusal is not None
                    self._call(told.topic, "committed", told, now)
                case Proof(number):
                    before = self.core.renewed_at
                    self._do(self.core.marked(number, now))
                    if self.core.renewed_at > before:
                        for name in self.subsystems:
                            self._call(name, "lease_renewed", self.core.renewed_at, now)
                case Hosted(name, topics):
                    self.hosted[name] = topics
                    if topics != tuple(sorted(self.subsystems)):
                        logger.error("fleet: {}", self._unlike(name))
                case Broken(error):
                    self._fail(error)

    def _fail(self, error: MallowbeamError) -> None:
        """Leave the fleet: its lease runs out, and it serves no longer than the policy lets it."""
        self.failed = error
        logger.error("fleet: {}", error.line)
        self.leaving = asyncio.create_task(self._leave())

    def _unlike(self, name: str) -> NotAlike:
        return NotAlike(
            f"{name} runs with {', '.join(self.hosted[name]) or 'no subsystem'}, {self.me} with "
            f"{', '.join(self.subsystems) or 'none'}",
            "sections",
        )

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Mark(number):
                    if self.agreement is not None:
                        self.agreement.mark(number)
                case Entered(phase):
                    logger.bind(policy=phase.value, version=self.core.change.version).info(
                        "policy {}: version {}", phase.value, self.core.change.version
                    )
                case Apply(change, before):
                    self._apply(change, before)

    def _apply(self, change: Change, before: Change) -> None:
        """Let a policy take hold, whole, in one turn of the loop."""
        now, was = read_policy(change.body), read_policy(before.body)
        for node in set(was.drains) - set(now.drains):
            self.drains.want(POLICY, node, False)
        for node in now.drains:
            self.drains.want(POLICY, node, True)
        self._plan(now, was)
        logger.bind(policy="applied", version=change.version, digest=digest(change)).info(
            "policy applied: version {} ({})", change.version, digest(change)
        )

    def _plan(self, now: Policy, was: Policy) -> None:
        """Plans that the policy changes; those it names no more are as the platform's settings say."""
        texts, settings = {plan.name: plan for plan in now.plans}, self.plans.settings
        for name in sorted({*texts, *(plan.name for plan in was.plans)}):
            if (base := settings.get(name)) is None:
                logger.error("policy: plan {} is not among the platform's", name)
                continue
            try:
                if not self.plans.apply_plan(texts[name].over(base) if name in texts else base):
                    logger.error("policy: plan {} can't take hold while the gateway runs", name)
            except MallowbeamError as error:  # the rest of the policy holds all the same
                logger.error("policy: {}", error.line)

    # --- what is put in ---------------------------------------------------------------------------

    def _put(self, topic: str, entry: Entry) -> bool:
        """A subsystem's proposal; dropped where nobody leads, as it would be on the way."""
        if self.agreement is None or self.leading is None:
            self.counts["dropped"] += 1
            return False
        self.agreement.put(self.log.encode(topic, self.me, entry))
        self.counts["proposed"] += 1
        return True

    async def push(self, base: int, text: bytes) -> int:
        """Push a policy after version `base`: its version; raises a `FleetError`."""
        policy = read_policy(text)
        check_sections(policy, tuple(self.subsystems))
        if unknown := sorted({plan.name for plan in policy.plans} - set(self.plans.settings)):
            raise BadPolicy(f"no plan {unknown[0]} in the platform's settings", "plans")
        read_policy(body := canonical(policy))  # as the log will: its bound holds for this spelling
        if self.failed is not None:
            raise LogUnusable(self.failed.what, self.failed.where)
        if self.agreement is None:
            raise NoLeader("this gateway has left the log")
        for name, topics in self.hosted.items():  # one that is down leaves when it comes back: see change()
            if (
                topics != tuple(sorted(self.subsystems))
                and name in self.section.members
                and self.agreement.silent(name) < self.section.lease_s
            ):
                raise self._unlike(name)
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[int | FleetError] = loop.create_future()

        def set_result(told: int | FleetError) -> None:
            if not ended.done():
                ended.set_result(told)

        def done(told: int | FleetError) -> None:
            with suppress(RuntimeError):  # the loop is closed
                loop.call_soon_threadsafe(set_result, told)

        self.agreement.push(base, body, done)
        try:
            async with asyncio.timeout(PUSH_S):
                told = await ended
        except TimeoutError:
            raise EndUnknown(f"no word of it in {PUSH_S:.0f} s") from None
        if isinstance(told, FleetError):
            raise told
        return told

    # --- what the pages show ----------------------------------------------------------------------

    def describe(self) -> dict[str, object]:
        """What is in force here, and how sure that is."""
        core = self.core
        self._do(core.tick(time.monotonic()))  # told as the clock has it, not the last tick
        return {
            "name": self.me,
            "phase": core.phase.value,
            "serves": self.serves(),
            "leader": self.agreement.leader() if self.agreement else None,
            "version": core.change.version,
            "digest": digest(core.change),
            "policy": json.loads(core.change.body),
            "failed": self.failed.told() if self.failed else None,
            "engine": self.agreement.describe() if self.agreement else None,
        }

    def fleet(self) -> dict[str, object]:
        """Members and subsystems."""
        return {
            "name": self.me,
            "members": sorted(self.section.members),
            "leader": self.leading,
            "index": self.log.index,
            "hosted": self.hosted,
            "subsystems": {name: part.describe() for name, part in self.subsystems.items()},
        }

    def figures(self) -> dict[str, Mapping[str, float]]:
        """Figures by subsystem; the log's own under no name."""
        now = time.monotonic()
        own = {
            "policy_version": float(self.core.change.version),
            "policy_serves": float(self.serves()),
            "log_index": float(self.log.index),
            "leads": float(self.leading == self.me),
            "failed": float(self.failed is not None),
            "proof_age_seconds": now - self.core.renewed_at,
            **{f"entries_{name}": float(count) for name, count in self.counts.items()},
        }
        return {"": own, **{name: part.gauges() for name, part in self.subsystems.items()}}
