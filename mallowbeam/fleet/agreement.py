"""The one adapter to the agreement engine, Raft by pysyncobj; the cores never see it.

The engine runs in a thread of its own.  What it commits is told by `told`, called in that thread with the
ledger's whole state, so that entries, a snapshot and a log read after a restart all look alike.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from pysyncobj import FAIL_REASON, SyncObj, SyncObjConf, SyncObjConsumer, replicated
from pysyncobj.node import TCPNode

from mallowbeam.fleet.journal import begin_at_snapshot, cut_whole
from mallowbeam.fleet.policy import Change
from mallowbeam.fleet.wire import Wire

ONE_SEND = 1 << 18          # bytes of entries in a message; more than any entry, as pieces can't be checked
Told = Callable[[Change, int], None]        # the newest, and the number of a mark of one's own, or 0


class Member(TCPNode):  # type: ignore[misc]
    """A member whose address in the fleet and the one dialled here may differ."""

    def __init__(self, address: str, dial: str | None = None) -> None:
        super().__init__(address)
        self._dial_host, port = (dial or address).rsplit(":", 1)
        self._dial_port = int(port)

    @property
    def ip(self) -> str:
        """The host dialled."""
        return self._dial_host

    @property
    def port(self) -> int:
        """The port dialled."""
        return self._dial_port


class Ledger(SyncObjConsumer):  # type: ignore[misc]
    """The replicated state, the newest committed policy: all members run the same calls in the same order."""

    def __init__(self) -> None:
        super().__init__()
        self.version, self.body = 0, "{}"

    @replicated  # type: ignore[untyped-decorator]
    def change(self, base: int, body: str) -> int:
        """A new policy, if `base` is still the newest: its version, or 0 where another came first."""
        if base != self.version:
            return 0
        self.version, self.body = base + 1, body
        AFTER[id(self)]("", "", 0)
        return self.version

    @replicated  # type: ignore[untyped-decorator]
    def mark(self, name: str, life: str, number: int) -> None:
        """A member's proof that it has heard all before this."""
        AFTER[id(self)](name, life, number)


AFTER: dict[int, Callable[[str, str, int], None]] = {}  # by ledger: no part of its snapshot


class Agreement:
    """This process's part in the fleet's log.

    `name` and `life` tell its marks from others' and from those of its own earlier lives; `members` maps
    names to host:port, `dial` (by name) overrides where one is reached from here.  `folder` is there, and
    this process's alone.
    """

    def __init__(self, name: str, life: str, members: Mapping[str, str], folder: Path, told: Told,
                 dial: Mapping[str, str] | None = None) -> None:
        self.name, self.life, self.told, self.ledger, self.members = name, life, told, Ledger(), members
        AFTER[id(self.ledger)] = self._after
        others = [Member(address, (dial or {}).get(other))
                  for other, address in members.items() if other != name]
        begin_at_snapshot(folder / "journal", folder / "snapshot")
        self.engine = SyncObj(Member(members[name]), others, SyncObjConf(
            autoTickPeriod=0.02, raftMinTimeout=0.4, raftMaxTimeout=0.9, appendEntriesPeriod=0.1,
            connectionRetryTime=0.2, connectionTimeout=1.5, leaderFallbackTimeout=1.0,
            commandsWaitLeader=False, commandsQueueSize=1000, journalFile=str(folder / "journal"),
            appendEntriesBatchSizeBytes=ONE_SEND,
            fullDumpFile=str(folder / "snapshot"), logCompactionMinEntries=2000, logCompactionMinTime=30,
            useFork=False), consumers=[self.ledger], transportClass=self._wired)
        cut_whole(self.engine, folder / "journal")  # long before its first cut

    def _wired(self, engine: Any, own: Any, others: Any) -> Wire:
        self.wire = Wire(engine, own, others)
        return self.wire

    def shown(self) -> dict[str, object]:
        """The engine as it stands: term, vote, ends of the log, links; empty where it won't stand still."""
        with suppress(RuntimeError, IndexError):  # it changed while it was read
            return self.wire.shown({address: name for name, address in self.members.items()})
        return {}

    def _after(self, name: str, life: str, number: int) -> None:
        """An entry is committed; runs in the engine's thread."""
        own = (name, life) == (self.name, self.life)
        self.told(Change(self.ledger.version, self.ledger.body), number if own else 0)

    def mark(self, number: int) -> None:
        """Put a mark in; it is lost without a word where there is no leader."""
        self.ledger.mark(self.name, self.life, number)

    def push(self, base: int, body: str, done: Callable[[int, str], None]) -> None:
        """Propose a policy after version `base`.

        `done` is called in the engine's thread with the new version, or 0 and why.  "unknown" says that it
        may yet be committed: what became of it, the log tells.
        """
        def ended(version: int | None, error: Any) -> None:
            if error == FAIL_REASON.SUCCESS:
                return done(version or 0, "" if version else "another change came first")
            unsent = error in (FAIL_REASON.MISSING_LEADER, FAIL_REASON.QUEUE_FULL, FAIL_REASON.REQUEST_DENIED)
            return done(0, "no leader" if unsent else "unknown")
        self.ledger.change(base, body, callback=ended)

    def leader(self) -> str | None:
        """Which member leads, as far as is known here."""
        node = self.engine.getStatus()["leader"]
        return next((name for name, address in self.members.items()
                     if node is not None and address == node.id), None)

    def close(self) -> None:
        """Leave; the journal stays."""
        AFTER.pop(id(self.ledger), None)
        self.engine.destroy()
