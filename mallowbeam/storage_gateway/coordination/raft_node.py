"""The adapter to the consensus engine, Raft by pysyncobj; the cores never see the engine.

The engine runs in a thread of its own.  Committed entries are passed to `on_events`, called in that thread
once for each entry, in order, with immutable values: a policy (`PolicyVersion`), entries and states of state
machines (`Committed`), the number of a heartbeat of this member's own (`HeartbeatCommitted`).  At the start,
and after a snapshot, all states are passed.

Three calls are replicated.  The order of their names and of their arguments is the format of the journal
(docs/formats/fleet-log.md): the engine numbers calls by their sorted names, so a new one must sort behind the
others or be of a new `ver`.

A call must have the same effect on every member, and must not raise: the engine would retry the entry for
ever.  A failure caused by the entry (any exception but those of `replicated_log.LOCAL_ERRORS`) happens on
every member and changes nothing.  A failure caused by this process is reported as `ReplicaFailed`; from then
on this member applies nothing and writes no snapshot, and its service leaves the fleet.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from loguru import logger
from pysyncobj import FAIL_REASON, SyncObj, SyncObjConf, SyncObjConsumer, replicated
from pysyncobj.node import TCPNode

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.earlier_snapshots import register_earlier_members
from mallowbeam.storage_gateway.coordination.errors import (
    CoordinationError,
    LogUnusableError,
    NoLeaderError,
    OutcomeUnknownError,
    PolicyRejectedError,
    QueueFullError,
    VersionConflictError,
)
from mallowbeam.storage_gateway.coordination.policy import PolicyVersion
from mallowbeam.storage_gateway.coordination.policy_document import read_policy
from mallowbeam.storage_gateway.coordination.raft_journal import (
    install_atomic_truncation,
    truncate_at_snapshot,
)
from mallowbeam.storage_gateway.coordination.raft_transport import RaftTransport
from mallowbeam.storage_gateway.coordination.replicated_log import (
    LOCAL_ERRORS,
    Committed,
    Refusal,
    ReplicatedLog,
)

MAX_KNOWN_MEMBERS = 1024  # members whose subsystems are remembered; the operators' file names fewer
MESSAGE_BYTES = 1 << 18  # of entries in a message; more than any entry, as chunks can't be checked
SNAPSHOT_FORMAT = 2  # 1 has version and body alone
NOT_PROPOSED = {
    FAIL_REASON.MISSING_LEADER: NoLeaderError,
    FAIL_REASON.REQUEST_DENIED: NoLeaderError,
    FAIL_REASON.QUEUE_FULL: QueueFullError,
}  # by the engine's reason: the error where nothing was proposed; otherwise the outcome is unknown

register_earlier_members()


@dataclass(frozen=True, slots=True)
class HeartbeatCommitted:
    """A heartbeat of this member's own was committed."""

    number: int


@dataclass(frozen=True, slots=True)
class SubsystemsHosted:
    """A member's subsystems, by its heartbeats; reported with its first one and when they change."""

    name: str
    subsystems: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplicaFailed:
    """This member's states have diverged from the fleet's."""

    error: MallowbeamError


Event = PolicyVersion | Committed | HeartbeatCommitted | SubsystemsHosted | ReplicaFailed
EventHandler = Callable[[tuple[Event, ...]], None]  # called with the events of one entry, or of a snapshot


class PeerNode(TCPNode):  # type: ignore[misc]
    """A member that may be dialled at an address other than its address in the fleet."""

    def __init__(self, address: str, dial: str | None = None) -> None:
        super().__init__(address)
        self._dial_host, port = (dial or address).rsplit(":", 1)
        self._dial_port = int(port)

    def __reduce__(self) -> tuple[type[TCPNode], tuple[str]]:
        """Pickle as the engine's own class: other versions of this program read the snapshot too."""
        return TCPNode, (self.address,)

    @property
    def ip(self) -> str:
        """The host to dial."""
        return self._dial_host

    @property
    def port(self) -> int:
        """The port to dial."""
        return self._dial_port


class ReplicatedState(SyncObjConsumer):  # type: ignore[misc]
    """The replicated state: the newest committed policy, and the states of the state machines.

    All members apply the same calls in the same order.
    """

    def __init__(self, log: ReplicatedLog, name: str, incarnation: str, on_events: EventHandler) -> None:
        super().__init__()
        self.version = 0
        self.body = "{}"
        self.log = log
        self.identity = (name, incarnation)
        self.on_events = on_events
        self.hosted: dict[str, str] = {}  # by member: its subsystems; not replicated
        self.last_heartbeat_at: dict[str, float] = {}  # by member: when its newest was committed here
        self.failure: MallowbeamError | None = None
        self._emit(PolicyVersion(), *log.all_states())

    @property
    def subsystems(self) -> tuple[str, ...]:
        """The names of the state machines hosted here, sorted."""
        return tuple(sorted(self.log.by_name))

    @replicated  # type: ignore[untyped-decorator]
    def change_policy(self, base: int, body: str, judges: tuple[str, ...] = ()) -> int | Refusal | None:
        """Put a new policy in force, if `base` is still the newest version and no state machine refuses it.

        Returns its version, 0 if another change was committed first, a state machine's refusal, or None if
        this member can't tell the outcome on the others.  `judges` are the state machines that the pushing
        member hosts, so that the outcome does not depend on those of the replaying member.
        """
        if self.failure is not None:
            return None
        if base != self.version:
            return 0
        outcome = self._apply_to_state_machines(body, judges)
        if outcome is None or isinstance(outcome, Refusal):
            return outcome
        self.version = base + 1
        self.body = body
        self._emit(PolicyVersion(self.version, self.body), *outcome)
        return self.version

    def _apply_to_state_machines(
        self, body: str, judges: tuple[str, ...]
    ) -> list[Committed] | Refusal | None:
        """Apply a policy to the state machines; returns None if this member has failed."""
        try:
            if missing := sorted(set(judges) - set(self.log.by_name)):
                raise LogUnusableError(
                    f"a policy was validated by {', '.join(missing)}, not hosted here", "sections"
                )
            try:
                policy = read_policy(body)
            except MallowbeamError as error:  # pushed by another program version; the same on all members
                return Refusal(error.what, error.where, error.remedy_text)
            return self.log.push(policy, judges)
        except (LogUnusableError, *LOCAL_ERRORS) as error:
            self._fail(error)
            return None
        except Exception as error:  # noqa: BLE001 (caused by the entry: see the module)
            return self._entry_failed(error)

    @replicated  # type: ignore[untyped-decorator]
    def heartbeat(self, name: str, incarnation: str, number: int, subsystems: str = "") -> None:
        """Prove that a member has everything committed before; `subsystems` are separated by commas."""
        events: list[Event] = []
        if name in self.hosted or len(self.hosted) < MAX_KNOWN_MEMBERS:
            self.last_heartbeat_at[name] = time.monotonic()
            if self.hosted.get(name) != subsystems:
                self.hosted[name] = subsystems
                events.append(SubsystemsHosted(name, tuple(filter(None, subsystems.split(",")))))
        if (name, incarnation) == self.identity:
            events.append(HeartbeatCommitted(number))
        self._emit(*events)

    @replicated  # type: ignore[untyped-decorator]
    def put_entry(self, body: bytes) -> None:
        """Apply an entry of a state machine, as `ReplicatedLog.encode` writes it."""
        if self.failure is None:
            try:
                committed = self.log.apply(body)
                if committed is not None:
                    self._emit(committed)
            except LOCAL_ERRORS as error:
                self._fail(error)
            except Exception as error:  # noqa: BLE001 (caused by the entry: see the module)
                self._entry_failed(error)

    @staticmethod
    def _entry_failed(error: Exception) -> Refusal:
        """Log a failure that is caused by the entry and so happens on every member."""
        logger.opt(exception=error).error(
            "fleet log: a replicated call failed, on this member as on every other"
        )
        return Refusal(f"the log failed: {type(error).__name__}", "", "report it with the log's line")

    def _emit(self, *events: Event) -> None:
        if events and self.failure is None:
            self.on_events(events)

    def _fail(self, error: Exception) -> None:
        """Stop applying entries, and report the failure once."""
        if not isinstance(error, MallowbeamError):
            error = LogUnusableError(f"{type(error).__name__}: {error}", "the log")
        self._emit(ReplicaFailed(error))
        self.failure = error

    # --- snapshots: override the engine's methods, which would take all attributes ----------------

    def _serialize(self) -> dict[str, Any]:
        """Return the replicated state, without the attributes of this process alone."""
        if self.failure is not None:  # the older, valid snapshot stays
            raise LogUnusableError("this member's states have diverged: no snapshot is written", "snapshot")
        return {"format": SNAPSHOT_FORMAT, "version": self.version, "body": self.body, "log": self.log.dump()}

    def _deserialize(self, data: Mapping[str, Any]) -> None:
        """Load a snapshot; one that can't be read fails this member, not the engine."""
        try:
            if (version := data.get("format", 1)) > SNAPSHOT_FORMAT:
                raise LogUnusableError(
                    f"a snapshot of format {version}, newer than {SNAPSHOT_FORMAT}", "snapshot"
                )
            states = self.log.load(data["log"]) if version > 1 else []
            self.version = data["version"]
            self.body = data["body"]
            self._emit(PolicyVersion(self.version, self.body), *states)
        except Exception as error:  # noqa: BLE001 (the engine would ignore it and go on)
            self._fail(error)


@dataclass(frozen=True, slots=True)
class Membership:
    """The fleet's members from the view of one of them: `members` maps names to host:port.

    `name` and `incarnation` tell this member's heartbeats from those of others and of its own earlier
    processes; `dial` (by name) overrides where a member is reached from here.
    """

    name: str
    incarnation: str
    members: Mapping[str, str]
    dial: Mapping[str, str] = field(default_factory=dict)


class RaftNode:
    """This process's member of the fleet's Raft group; `folder` exists and belongs to this process alone."""

    def __init__(
        self,
        membership: Membership,
        folder: Path,
        on_events: EventHandler,
        log: ReplicatedLog | None = None,
    ) -> None:
        self.membership = membership
        self.state = ReplicatedState(
            log or ReplicatedLog(()), membership.name, membership.incarnation, on_events
        )
        peers = [
            PeerNode(address, membership.dial.get(name))
            for name, address in membership.members.items()
            if name != membership.name
        ]
        truncate_at_snapshot(folder / "journal", folder / "snapshot")
        self.engine = SyncObj(
            PeerNode(membership.members[membership.name]),
            peers,
            _engine_settings(folder),
            consumers=[self.state],
            transportClass=self._open_transport,
        )
        # In time: the engine first truncates its journal much later.
        install_atomic_truncation(self.engine, folder / "journal")

    def _open_transport(self, engine: Any, own: Any, others: Any) -> RaftTransport:
        self.transport = RaftTransport(engine, own, others)
        return self.transport

    def describe(self) -> dict[str, object]:
        """The engine's state for the page `/policy`; empty if it changed while it was read."""
        with suppress(RuntimeError, IndexError):
            return self.transport.describe(
                {address: name for name, address in self.membership.members.items()}
            )
        return {}

    def propose_heartbeat(self, number: int) -> None:
        """Propose a heartbeat; it is lost silently if there is no leader."""
        own = self.membership
        self.state.heartbeat(own.name, own.incarnation, number, ",".join(self.state.subsystems))

    def propose(self, body: bytes) -> None:
        """Propose an entry; it is lost silently if there is no leader or the queue is full."""
        self.state.put_entry(body)

    def propose_policy(
        self, base: int, body: str, on_outcome: Callable[[int | CoordinationError], None]
    ) -> None:
        """Propose a policy after version `base`.

        `on_outcome` is called in the engine's thread with the new version, or with the error.  After
        `OutcomeUnknownError` the policy may still be committed; it then appears in the log.
        """

        def report_outcome(result: int | Refusal | None, reason: Any) -> None:
            if reason in NOT_PROPOSED:
                return on_outcome(NOT_PROPOSED[reason]("nothing was proposed"))
            if reason != FAIL_REASON.SUCCESS or result is None:
                return on_outcome(OutcomeUnknownError("the outcome of the push is not known"))
            if isinstance(result, Refusal):
                return on_outcome(PolicyRejectedError(result.what, result.where, result.remedy))
            return on_outcome(
                result or VersionConflictError("another change was committed first", f"version {base}")
            )

        self.state.change_policy(base, body, self.state.subsystems, callback=report_outcome)

    def seconds_since_heartbeat(self, name: str) -> float:
        """Seconds since a heartbeat of that member was committed here; infinite for an unknown member."""
        return time.monotonic() - self.state.last_heartbeat_at.get(name, float("-inf"))

    def leader(self) -> str | None:
        """The name of the leader, as far as is known here."""
        node = self.engine.getStatus()["leader"]
        if node is None:
            return None
        return next((name for name, address in self.membership.members.items() if address == node.id), None)

    def close(self) -> None:
        """Leave the group; the journal stays."""
        self.engine.destroy()


def _engine_settings(folder: Path) -> SyncObjConf:
    """The engine's settings; times in seconds."""
    return SyncObjConf(
        autoTickPeriod=0.02,
        raftMinTimeout=0.4,
        raftMaxTimeout=0.9,
        appendEntriesPeriod=0.1,
        connectionRetryTime=0.2,
        connectionTimeout=1.5,
        leaderFallbackTimeout=1.0,
        commandsWaitLeader=False,
        commandsQueueSize=1000,
        journalFile=str(folder / "journal"),
        appendEntriesBatchSizeBytes=MESSAGE_BYTES,
        fullDumpFile=str(folder / "snapshot"),
        logCompactionMinEntries=2000,
        logCompactionMinTime=30,
        useFork=False,
    )
