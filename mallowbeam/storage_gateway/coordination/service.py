"""Connects the fleet's log, the cores and one gateway: does the I/O and makes no decisions.

Committed entries reach the gateway on its event loop, in order and one at a time: a policy goes to the
policy's core and from there to drains and plans; a state machine's entry goes to its subsystem.  The
subsystems that the operators' file turns on are loaded here and nowhere else (`subsystem.py`).
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
    CoordinationError,
    InvalidPolicyError,
    LogUnusableError,
    NoLeaderError,
    OutcomeUnknownError,
    SubsystemMismatchError,
)
from mallowbeam.storage_gateway.coordination.policy import (
    Action,
    ApplyPolicy,
    PhaseChanged,
    PolicyCore,
    PolicyVersion,
    ProposeHeartbeat,
    VersionOrderError,
)
from mallowbeam.storage_gateway.coordination.policy_document import (
    Policy,
    canonical,
    check_sections,
    read_policy,
)
from mallowbeam.storage_gateway.coordination.raft_node import (
    Event,
    HeartbeatCommitted,
    Membership,
    RaftNode,
    ReplicaFailed,
    SubsystemsHosted,
)
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, ReplicatedLog
from mallowbeam.storage_gateway.coordination.subsystem import Subsystem
from mallowbeam.storage_gateway.coordination.subsystem_context import (
    GatewayContext,
    NodeDrains,
    PlanOverrides,
)
from mallowbeam.storage_gateway.operator_settings import PolicySection
from mallowbeam.storage_gateway.server.config import GatewayConfigError
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.write_buffer.disk import FolderLockedError, RealDisk

PUSH_TIMEOUT_S = 3.0  # after which the outcome of a push is reported as unknown
POLICY = "policy"  # the policy's name as a requester of drains; the others are the subsystems' names
DIGEST_LENGTH = 12  # hexadecimal digits


def lock_folder(folder: Path) -> RealDisk:
    """Lock the folder for this process, and create it if necessary; raises `GatewayConfigError`.

    Guards the journal: two processes that write it would each undo entries that the other has acknowledged.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        disk = RealDisk(str(folder))
        disk.lock()
    except (OSError, FolderLockedError) as error:
        raise GatewayConfigError(f"policy.folder: {error}") from None
    return disk


def digest(change: PolicyVersion) -> str:
    """A short digest of a policy's text, for people to compare."""
    return hashlib.sha256(change.body.encode()).hexdigest()[:DIGEST_LENGTH]


class CoordinationService:
    """This gateway's member of the fleet; one of the gateway's subsystems."""

    def __init__(
        self, gateway: Gateway, section: PolicySection, sections: Mapping[str, Any] | None = None
    ) -> None:
        assert section.folder is not None and section.name is not None
        self.gateway = gateway
        self.section = section
        self.name = section.name
        self.core = PolicyCore(section.lease_s, section.beat_s, section.when_stale == "refuse")
        self.drains = NodeDrains(gateway)
        self.plans = PlanOverrides(gateway)
        self.raft: RaftNode | None = None
        self.failure: MallowbeamError | None = None  # why this member has stopped applying entries
        self.hosted: dict[str, tuple[str, ...]] = {}  # by member: its subsystems, by its heartbeats
        self.known_leader: str | None = None  # as of the last tick
        self.counts = {"proposed": 0, "dropped": 0, "refused": 0, "faults": 0}  # keys are names of metrics
        self.folder = Path(section.folder)
        self.disk = lock_folder(self.folder)  # locked until this process exits
        self.tick_task: asyncio.Task[None] | None = None
        self.leave_task: asyncio.Task[None] | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.subsystems: dict[str, Subsystem] = {
            name: self._open(name, subsystem_section) for name, subsystem_section in (sections or {}).items()
        }
        self.log = ReplicatedLog([subsystem.state_machine for subsystem in self.subsystems.values()])
        gateway.subsystems.append(self)
        gateway.gates.append(self.serves)

    def _open(self, name: str, section: Any) -> Subsystem:
        """Load a subsystem that is on."""
        context = GatewayContext(
            name,
            self.name,
            tuple(sorted(self.section.members)),
            self.gateway,
            self.drains,
            self.plans,
            self._propose,
            lambda: self.known_leader == self.name,
        )
        module = import_module(f"{__package__}.{name}.subsystem")
        subsystem: Subsystem = module.open_subsystem(context, section)
        assert subsystem.state_machine.name == name
        return subsystem

    def serves(self) -> bool:
        """Whether requests may be accepted now."""
        return self.core.serves(time.monotonic())

    # --- lifecycle, called by the gateway ---------------------------------------------------------

    def start(self) -> None:
        """Join the fleet; no request is accepted until a heartbeat is committed."""
        self.loop = asyncio.get_running_loop()
        section = self.section
        incarnation = f"{time.time_ns():x}"
        membership = Membership(self.name, incarnation, section.members, section.dial)
        self.raft = RaftNode(membership, self.folder, self._on_events, self.log)
        self.tick_task = asyncio.create_task(self._tick())

    async def hand_over(self) -> None:
        """Leave the fleet before the new process joins: two processes can't be one member."""
        await self.stop()

    async def stop(self) -> None:
        """Leave the fleet."""
        if self.tick_task is not None:
            self.tick_task.cancel()
        await self._leave()

    async def _leave(self) -> None:
        raft = self.raft
        self.raft = None
        self.known_leader = None
        if raft is not None:
            await asyncio.to_thread(raft.close)

    def gauges(self) -> Mapping[str, int]:
        """For the gateway's metrics: the version in force, and whether it is known to be the newest."""
        return {"policy_version": self.core.in_force.version, "policy_serves": int(self.serves())}

    async def _tick(self) -> None:
        while True:
            now = time.monotonic()
            self.known_leader = self.raft.leader() if self.raft else None
            self._carry_out(self.core.tick(now))
            for name in self.subsystems:
                self._call(name, "tick", now)
            await asyncio.sleep(self.section.beat_s / 2)

    def _call(self, name: str, method: str, *arguments: object) -> None:
        """Call a method of a subsystem.

        Guards the heartbeats and the other subsystems: an exception is logged and does not propagate.
        """
        try:
            getattr(self.subsystems[name], method)(*arguments)
        except Exception as error:  # noqa: BLE001 (of any type)
            self.counts["faults"] += 1
            logger.opt(exception=error).error("fleet: {} failed in {}", name, method)

    # --- events of the log ------------------------------------------------------------------------

    def _on_events(self, events: tuple[Event, ...]) -> None:
        """Pass the events of an entry to the event loop; called in the engine's thread."""
        assert self.loop is not None
        with suppress(RuntimeError):  # the loop is closed: the gateway has stopped
            self.loop.call_soon_threadsafe(self._handle, events)

    def _handle(self, events: tuple[Event, ...]) -> None:
        """Handle the events of one entry, on the event loop."""
        now = time.monotonic()
        for event in events:
            if self.failure is not None:
                return
            match event:
                case PolicyVersion():
                    self._policy_committed(event)
                case Committed():
                    self.counts["refused"] += event.refusal is not None
                    self._call(event.topic, "committed", event, now)
                case HeartbeatCommitted(number):
                    self._heartbeat_committed(number, now)
                case SubsystemsHosted(name, subsystems):
                    self.hosted[name] = subsystems
                    if subsystems != tuple(sorted(self.subsystems)):
                        logger.error("fleet: {}", self._mismatch(name))
                case ReplicaFailed(error):
                    self._fail(error)

    def _policy_committed(self, version: PolicyVersion) -> None:
        try:
            self._carry_out(self.core.committed(version))
        except VersionOrderError as error:
            self._fail(LogUnusableError(str(error), "policy"))

    def _heartbeat_committed(self, number: int, now: float) -> None:
        before = self.core.renewed_at
        self._carry_out(self.core.heartbeat_committed(number, now))
        if self.core.renewed_at > before:
            for name in self.subsystems:
                self._call(name, "lease_renewed", self.core.renewed_at, now)

    def _fail(self, error: MallowbeamError) -> None:
        """Leave the fleet: the lease expires, and the gateway serves no longer than the policy allows."""
        self.failure = error
        logger.error("fleet: {}", error.line)
        self.leave_task = asyncio.create_task(self._leave())

    def _mismatch(self, name: str) -> SubsystemMismatchError:
        return SubsystemMismatchError(
            f"{name} runs with {', '.join(self.hosted[name]) or 'no subsystem'}, {self.name} with "
            f"{', '.join(self.subsystems) or 'none'}",
            "sections",
        )

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case ProposeHeartbeat(number):
                    if self.raft is not None:
                        self.raft.propose_heartbeat(number)
                case PhaseChanged(phase):
                    version = self.core.in_force.version
                    logger.bind(policy=phase.value, version=version).info(
                        "policy {}: version {}", phase.value, version
                    )
                case ApplyPolicy(change, before):
                    self._apply(change, before)

    def _apply(self, change: PolicyVersion, before: PolicyVersion) -> None:
        """Apply a policy, in one turn of the event loop."""
        new = read_policy(change.body)
        old = read_policy(before.body)
        for node in set(old.drains) - set(new.drains):
            self.drains.set_drained(POLICY, node, False)
        for node in new.drains:
            self.drains.set_drained(POLICY, node, True)
        self._apply_plans(new, old)
        logger.bind(policy="applied", version=change.version, digest=digest(change)).info(
            "policy applied: version {} ({})", change.version, digest(change)
        )

    def _apply_plans(self, new: Policy, old: Policy) -> None:
        """Change the plans that the policy names; those it no longer names get their settings back."""
        changes = {plan.name: plan for plan in new.plans}
        settings = self.plans.settings
        for name in sorted({*changes, *(plan.name for plan in old.plans)}):
            if (base := settings.get(name)) is None:
                logger.error("policy: plan {} is not in the platform's settings", name)
                continue
            try:
                plan = changes[name].applied_to(base) if name in changes else base
                if not self.plans.apply_plan(plan):
                    logger.error("policy: plan {} can't be changed while the gateway runs", name)
            except MallowbeamError as error:  # the rest of the policy still takes effect
                logger.error("policy: {}", error.line)

    # --- proposals --------------------------------------------------------------------------------

    def _propose(self, topic: str, entry: Entry) -> bool:
        """Propose a subsystem's entry; dropped if there is no leader, as it would be lost later."""
        if self.raft is None or self.known_leader is None:
            self.counts["dropped"] += 1
            return False
        self.raft.propose(self.log.encode(topic, self.name, entry))
        self.counts["proposed"] += 1
        return True

    async def push(self, base: int, text: bytes) -> int:
        """Push a policy after version `base`; returns its version or raises a `CoordinationError`."""
        policy = read_policy(text)
        check_sections(policy, tuple(self.subsystems))
        if unknown := sorted({plan.name for plan in policy.plans} - set(self.plans.settings)):
            raise InvalidPolicyError(f"no plan {unknown[0]} in the platform's settings", "plans")
        body = canonical(policy)
        read_policy(body)  # the log applies its size limit to this form
        if self.failure is not None:
            raise LogUnusableError(self.failure.what, self.failure.where)
        if self.raft is None:
            raise NoLeaderError("this gateway has left the fleet")
        self._check_subsystems_of_members(self.raft)
        return await self._outcome(self.raft, base, body)

    def _check_subsystems_of_members(self, raft: RaftNode) -> None:
        """Raise `SubsystemMismatchError` if a member that is up hosts other subsystems.

        A member that is down leaves the fleet when it comes back: see `ReplicatedState.change_policy`.
        """
        own = tuple(sorted(self.subsystems))
        for name, subsystems in self.hosted.items():
            is_up = raft.seconds_since_heartbeat(name) < self.section.lease_s
            if subsystems != own and name in self.section.members and is_up:
                raise self._mismatch(name)

    async def _outcome(self, raft: RaftNode, base: int, body: str) -> int:
        """Propose a policy and wait for its outcome, at most `PUSH_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[int | CoordinationError] = loop.create_future()

        def set_result(outcome: int | CoordinationError) -> None:
            if not future.done():
                future.set_result(outcome)

        def on_outcome(outcome: int | CoordinationError) -> None:
            with suppress(RuntimeError):  # the loop is closed
                loop.call_soon_threadsafe(set_result, outcome)

        raft.propose_policy(base, body, on_outcome)
        try:
            async with asyncio.timeout(PUSH_TIMEOUT_S):
                outcome = await future
        except TimeoutError:
            raise OutcomeUnknownError(f"no outcome within {PUSH_TIMEOUT_S:.0f} s") from None
        if isinstance(outcome, CoordinationError):
            raise outcome
        return outcome

    # --- pages ------------------------------------------------------------------------------------

    def describe_policy(self) -> dict[str, object]:
        """For the page `/policy`: the version in force, and whether it is known to be the newest."""
        core = self.core
        self._carry_out(core.tick(time.monotonic()))  # the phase may have changed since the last tick
        return {
            "name": self.name,
            "phase": core.phase.value,
            "serves": self.serves(),
            "leader": self.raft.leader() if self.raft else None,
            "version": core.in_force.version,
            "digest": digest(core.in_force),
            "policy": json.loads(core.in_force.body),
            "failed": self.failure.as_dict() if self.failure else None,
            "engine": self.raft.describe() if self.raft else None,
        }

    def describe_fleet(self) -> dict[str, object]:
        """For the page `/fleet`: members and subsystems."""
        return {
            "name": self.name,
            "members": sorted(self.section.members),
            "leader": self.known_leader,
            "index": self.log.index,
            "hosted": self.hosted,
            "subsystems": {name: subsystem.describe() for name, subsystem in self.subsystems.items()},
        }

    def gauges_by_subsystem(self) -> dict[str, Mapping[str, float]]:
        """For `/fleet/metrics`; those of the log itself are under the empty name."""
        now = time.monotonic()
        own = {
            "policy_version": float(self.core.in_force.version),
            "policy_serves": float(self.serves()),
            "log_index": float(self.log.index),
            "leads": float(self.known_leader == self.name),
            "failed": float(self.failure is not None),
            "proof_age_seconds": now - self.core.renewed_at,
            **{f"entries_{name}": float(count) for name, count in self.counts.items()},
        }
        return {"": own, **{name: subsystem.gauges() for name, subsystem in self.subsystems.items()}}
