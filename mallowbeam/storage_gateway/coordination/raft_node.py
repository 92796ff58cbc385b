"""The one adapter to the agreement engine, Raft by pysyncobj; the cores never see it.

The engine runs in a thread of its own.  What it commits is told by `told`, called in that thread once for
each entry, in order, with immutable values: a policy (`Change`), topics' entries and states (`Committed`),
the number of a mark of one's own (`Proof`).  At the start, and after a snapshot, all states are told whole.

Three calls are replicated.  Their names and order of arguments are the journal's format (`docs/formats/`):
the engine numbers calls by their sorted names, so a new one must sort behind the others or be of a new `ver`.

A call must do the same on every member, and must not raise: the engine would try the entry again for ever.
What goes wrong by what was put in (any exception but those of `log.LOCAL`) does so everywhere and changes
nothing.  What goes wrong by this place is told as `Broken`; from then on this member takes in nothing and
writes no snapshot, and its service leaves the fleet.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from loguru import logger
from pysyncobj import FAIL_REASON, SyncObj, SyncObjConf, SyncObjConsumer, replicated
from pysyncobj.node import TCPNode

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.earlier_snapshots import register_earlier_members
from mallowbeam.storage_gateway.coordination.errors import (
    EndUnknown,
    FleetError,
    LogUnusable,
    NoLeader,
    Overtaken,
    PolicyRefused,
    QueueFull,
)
from mallowbeam.storage_gateway.coordination.policy import Change
from mallowbeam.storage_gateway.coordination.policy_document import read_policy
from mallowbeam.storage_gateway.coordination.raft_journal import begin_at_snapshot, cut_whole
from mallowbeam.storage_gateway.coordination.raft_transport import RaftTransport
from mallowbeam.storage_gateway.coordination.replicated_log import LOCAL, Committed, Refusal, ReplicatedLog

MOST_HOSTED = 1024  # members whose topics are remembered; the operators' file names fewer
ONE_SEND = 1 << 18  # bytes of entries in a message; more than any entry, as pieces can't be checked
SNAPSHOT = 2  # its format; 1 held version and body alone
UNSENT = {
    FAIL_REASON.MISSING_LEADER: NoLeader,
    FAIL_REASON.REQUEST_DENIED: NoLeader,
    FAIL_REASON.QUEUE_FULL: QueueFull,
}  # why nothing was put in; else its end is not known

register_earlier_members()


@dataclass(frozen=True, slots=True)
class Proof:
    """A mark of this member's own came out of the log."""

    number: int


@dataclass(frozen=True, slots=True)
class Hosted:
    """Which topics a member hosts, as its marks say; told when it is heard first and when it changes."""

    name: str
    topics: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Broken:
    """This member has lost the thread: its states are not the fleet's any more."""

    error: MallowbeamError


Heard = Change | Committed | Proof | Hosted | Broken
Told = Callable[[tuple[Heard, ...]], None]  # what one entry, or a snapshot, has to say


class Member(TCPNode):  # type: ignore[misc]
    """A member whose address in the fleet and the one dialled here may differ."""

    def __init__(self, address: str, dial: str | None = None) -> None:
        super().__init__(address)
        self._dial_host, port = (dial or address).rsplit(":", 1)
        self._dial_port = int(port)

    def __reduce__(self) -> tuple[type[TCPNode], tuple[str]]:
        """In a snapshot, which other versions of this program read too, as the engine's own class."""
        return TCPNode, (self.address,)

    @property
    def ip(self) -> str:
        """The host dialled."""
        return self._dial_host

    @property
    def port(self) -> int:
        """The port dialled."""
        return self._dial_port


class ReplicatedState(SyncObjConsumer):  # type: ignore[misc]
    """The replicated state: the newest committed policy, and the log's topics.

    All members run the same calls in the same order.
    """

    def __init__(self, log: ReplicatedLog, name: str, life: str, told: Told) -> None:
        super().__init__()
        self.version, self.body = 0, "{}"
        self.log, self.own, self.told = log, (name, life), told
        self.hosted: dict[str, str] = {}  # by member, as its marks say: no part of the states
        self.heard: dict[str, float] = {}  # and when its newest came out here, by this process's clock
        self.broken: MallowbeamError | None = None
        self._tell(Change(), *log.whole())

    @property
    def topics(self) -> tuple[str, ...]:
        """The topics hosted here, sorted."""
        return tuple(sorted(self.log.by_name))

    @replicated  # type: ignore[untyped-decorator]
    def change(self, base: int, body: str, topics: tuple[str, ...] = ()) -> int | Refusal | None:
        """A new policy, if `base` is still the newest and no topic refuses it.

        Hands back its version, 0 where another came first, a topic's refusal, or None where this member can't
        tell what became of it on the others.  `topics` are those that
        judge it, as the pusher hosts them: so what came of it does not hang on who replays it.
        """
        if self.broken is not None:
            return None
        if base != self.version:
            return 0
        try:
            if missing := sorted(set(topics) - set(self.log.by_name)):
                raise LogUnusable(f"a policy was judged by {', '.join(missing)}, off here", "sections")
            try:
                policy = read_policy(body)
            except MallowbeamError as error:  # of another program's pusher; the same text for all
                return Refusal(error.what, error.where, error.cure)
            heard = self.log.push(policy, topics)
        except (LogUnusable, *LOCAL) as error:
            self._break(error)
            return None
        except Exception as error:  # noqa: BLE001 (of what was put in: see the head)
            return self._alike(error)
        if isinstance(heard, Refusal):
            return heard
        self.version, self.body = base + 1, body
        self._tell(Change(self.version, self.body), *heard)
        return self.version

    @replicated  # type: ignore[untyped-decorator]
    def mark(self, name: str, life: str, number: int, topics: str = "") -> None:
        """A member's proof that it has heard all before this; `topics` that it hosts, with commas."""
        heard: list[Heard] = []
        if name in self.hosted or len(self.hosted) < MOST_HOSTED:
            self.heard[name] = time.monotonic()
            if self.hosted.get(name) != topics:
                self.hosted[name] = topics
                heard.append(Hosted(name, tuple(filter(None, topics.split(",")))))
        if (name, life) == self.own:
            heard.append(Proof(number))
        self._tell(*heard)

    @replicated  # type: ignore[untyped-decorator]
    def put(self, body: bytes) -> None:
        """A topic's entry, as `ReplicatedLog.encode` writes it."""
        if self.broken is None:
            try:
                told = self.log.apply(body)
                if told is not None:
                    self._tell(told)
            except LOCAL as error:
                self._break(error)
            except Exception as error:  # noqa: BLE001 (of what was put in: see the head)
                self._alike(error)

    @staticmethod
    def _alike(error: Exception) -> Refusal:
        """What was put in is at fault, for every member: logged, and refused."""
        logger.opt(exception=error).error("fleet log: a call failed, here as on every member")
        return Refusal(f"the log failed: {type(error).__name__}", "", "report it with the log's line")

    def _tell(self, *heard: Heard) -> None:
        if heard and self.broken is None:
            self.told(heard)

    def _break(self, error: Exception) -> None:
        """This member can't go on; told once."""
        if not isinstance(error, MallowbeamError):
            error = LogUnusable(f"{type(error).__name__}: {error}", "the log")
        self._tell(Broken(error))
        self.broken = error

    # --- snapshots: called by the engine in place of its own, which takes all attributes -------------

    def _serialize(self) -> dict[str, Any]:
        """The states, and nothing that is this process's."""
        if self.broken is not None:  # an older snapshot that is right stays
            raise LogUnusable("no snapshot of states that are not the fleet's", "snapshot")
        return {"format": SNAPSHOT, "version": self.version, "body": self.body, "log": self.log.dump()}

    def _deserialize(self, data: Mapping[str, Any]) -> None:
        """Take in a snapshot; one that can't be read breaks this member, not the engine."""
        try:
            if (version := data.get("format", 1)) > SNAPSHOT:
                raise LogUnusable(f"a snapshot of format {version}, newer than {SNAPSHOT}", "snapshot")
            heard = self.log.load(data["log"]) if version > 1 else []
            self.version, self.body = data["version"], data["body"]
            self._tell(Change(self.version, self.body), *heard)
        except Exception as error:  # noqa: BLE001 (the engine would swallow it and go on)
            self._break(error)


class RaftNode:
    """This process's part in the fleet's log.

    `name` and `life` tell its marks from others' and from those of its own earlier lives; `members` maps
    names to host:port, `dial` (by name) overrides where one is reached from here.  `folder` is there, and
    this process's alone.
    """

    def __init__(
        self,
        name: str,
        life: str,
        members: Mapping[str, str],
        folder: Path,
        told: Told,
        dial: Mapping[str, str] | None = None,
        log: ReplicatedLog | None = None,
    ) -> None:
        self.name, self.life, self.members = name, life, members
        self.ledger = ReplicatedState(log or ReplicatedLog(()), name, life, told)
        others = [
            Member(address, (dial or {}).get(other)) for other, address in members.items() if other != name
        ]
        begin_at_snapshot(folder / "journal", folder / "snapshot")
        self.engine = SyncObj(
            Member(members[name]),
            others,
            SyncObjConf(
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
                appendEntriesBatchSizeBytes=ONE_SEND,
                fullDumpFile=str(folder / "snapshot"),
                logCompactionMinEntries=2000,
                logCompactionMinTime=30,
                useFork=False,
            ),
            consumers=[self.ledger],
            transportClass=self._wired,
        )
        cut_whole(self.engine, folder / "journal")  # long before its first cut

    def _wired(self, engine: Any, own: Any, others: Any) -> RaftTransport:
        self.wire = RaftTransport(engine, own, others)
        return self.wire

    def describe(self) -> dict[str, object]:
        """The engine as it stands: term, vote, ends of the log, links; empty where it won't stand still."""
        with suppress(RuntimeError, IndexError):  # it changed while it was read
            return self.wire.describe({address: name for name, address in self.members.items()})
        return {}

    def mark(self, number: int) -> None:
        """Put a mark in; it is lost without a word where there is no leader."""
        self.ledger.mark(self.name, self.life, number, ",".join(self.ledger.topics))

    def put(self, body: bytes) -> None:
        """Put an entry in; it is lost without a word where there is no leader or the queue is full."""
        self.ledger.put(body)

    def push(self, base: int, body: str, done: Callable[[int | FleetError], None]) -> None:
        """Propose a policy after version `base`.

        `done` is called in the engine's thread with the new version, or why there is none.  `EndUnknown` says
        that it may yet be committed: what became of it, the log tells.
        """

        def ended(told: int | Refusal | None, error: Any) -> None:
            if error in UNSENT:
                return done(UNSENT[error]("nothing was put in"))
            if error != FAIL_REASON.SUCCESS or told is None:
                return done(EndUnknown("its end is not known"))
            if isinstance(told, Refusal):
                return done(PolicyRefused(told.what, told.where, told.remedy))
            return done(told or Overtaken("another change came first", f"version {base}"))

        self.ledger.change(base, body, self.ledger.topics, callback=ended)

    def silent(self, name: str) -> float:
        """For how many seconds no mark of that member has come out of the log here."""
        return time.monotonic() - self.ledger.heard.get(name, float("-inf"))

    def leader(self) -> str | None:
        """Which member leads, as far as is known here."""
        node = self.engine.getStatus()["leader"]
        return next(
            (name for name, address in self.members.items() if node is not None and address == node.id), None
        )

    def close(self) -> None:
        """Leave; the journal stays."""
        self.engine.destroy()
