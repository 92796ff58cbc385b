"""A simple model of nodes and log around the buffer's core; tests trigger its events in any order."""

from __future__ import annotations

import random

from mallowbeam.storage_gateway.write_buffer import actions
from mallowbeam.storage_gateway.write_buffer.core import Core
from mallowbeam.storage_gateway.write_buffer.entries import Admission, Entry, Outcome
from mallowbeam.storage_gateway.write_buffer.limits import Limits
from mallowbeam.storage_gateway.write_buffer.records import Write
from mallowbeam.storage_gateway.write_buffer.replay import Replay, RestoredWrite

WINDOW_S, DEADLINE_S = 4.0, 1.0
LIMITS = Limits(
    max_bytes=6000,
    max_records=30,
    max_age=1000.0,
    in_flight=4,
    per_shard=2,
    deadline=DEADLINE_S,
    window=WINDOW_S,
    shards=2,
    max_commit=3000,
    flush_bytes=250,
)
WRITE_LOG_BYTES, RECORDS_PER_SEGMENT = 100, 5


class Nodes:
    """The objects on the nodes and the writes that ran; a token that ran within the window is a duplicate."""

    def __init__(self) -> None:
        self.versions: dict[tuple[str, bytes], int] = {}  # the lsn of the stored body; 0 for no object
        self.applied: dict[tuple[str, bytes], int] = {}  # the highest lsn that ever ran
        self.ran: dict[int, float] = {}  # time by lsn, which stands for the token
        self.may_still_run: list[tuple[float, Entry, str | None]] = []  # attempts, until then

    def run(self, now: float, entry: Entry, expected_version: str | None) -> bool:
        """Run a write; False if its condition does not hold."""
        if entry.lsn in self.ran:
            assert now - self.ran[entry.lsn] < WINDOW_S, f"{entry.lsn} ran twice"
            return True
        current = self.versions.get(entry.key, 0)
        if expected_version is not None and expected_version != (f"v{current}" if current else ""):
            return False
        assert entry.lsn > self.applied.get(entry.key, 0), "a key's writes ran out of order"
        self.ran[entry.lsn] = now
        self.applied[entry.key] = entry.lsn
        self.versions[entry.key] = 0 if entry.method == "DELETE" else entry.lsn
        return True


class World:
    """A core, its log and nodes; tests do the work of `Flush` and `Intake`, in any order."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.limits, self.now, self.boot, self.lsn = limits, 100.0, b"b0", 0
        self.core = Core(limits, random.Random(7))
        self.core.unavailable = False
        self.log: list[tuple[int, tuple]] = []  # durable records, each with its segment
        self.segment = 1
        self.pending: list[tuple] = []  # records that are appended but not synced
        self.sends: dict[int, actions.Send] = {}
        self.reads: dict[int, actions.ReadBack] = {}
        self.sent_at: dict[int, float] = {}
        self.nodes = Nodes()
        self.durable: dict[tuple[str, bytes], list[int]] = {}  # writes by key, in order
        self.methods: dict[int, str] = {}
        self.barriers: dict[int, str] = {}
        self.passed: set[int] = set()

    # events of clients

    def entry(self, lsn: int, bucket: str, name: bytes, method: str, at: float) -> Entry:
        write = Write(method, bucket, name, name[0], [], b"", f"v{lsn}", 60, at)
        return Entry(lsn, write, WRITE_LOG_BYTES, at)

    def put(self, bucket: str, name: bytes, method: str = "PUT") -> int | None:
        if self.core.admit(self.now, bucket, name, WRITE_LOG_BYTES) is not Admission.ACCEPT:
            return None
        self.lsn += 1
        self.core.accept(self.entry(self.lsn, bucket, name, method, self.now))
        self.pending.append(("write", self.lsn, bucket, name, method))
        return self.lsn

    def barrier(self, bucket: str) -> int:
        self.lsn += 1
        self.core.open_barrier(self.lsn, bucket)
        self.pending.append(("barrier", self.lsn, bucket))
        return self.lsn

    def direct(self, bucket: str, name: bytes, method: str = "PUT") -> bool:
        """A direct write, acknowledged by its node; False if its order forbids it."""
        if self.core.blocks_direct(bucket, name):
            return False
        self.lsn += 1
        entry = self.entry(self.lsn, bucket, name, method, self.now)
        self.methods[self.lsn] = method
        self.durable.setdefault(entry.key, []).append(self.lsn)
        assert self.nodes.run(self.now, entry, None)
        return True

    # events of the buffer's I/O and of the disk

    def append_durable(self, record: tuple) -> int:
        """Make a record durable; returns its segment."""
        if sum(segment == self.segment for segment, _ in self.log) >= RECORDS_PER_SEGMENT:
            self.segment += 1
        self.log.append((self.segment, record))
        match record:
            case ("write", lsn, bucket, name, method):
                self.durable.setdefault((bucket, name), []).append(lsn)
                self.methods[lsn] = method
            case ("barrier", lsn, bucket):
                self.barriers[lsn] = bucket
        self.update_sizes()
        return self.segment

    def update_sizes(self) -> None:
        sizes: dict[int, int] = {}
        for segment, _ in self.log:
            sizes[segment] = sizes.get(segment, 0) + WRITE_LOG_BYTES
        sizes.setdefault(self.segment, 0)
        self.core.update_segments(sizes, self.segment)

    def commit(self, succeeds: bool = True) -> None:
        """Sync all pending records, or none, and then they are void."""
        batch, self.pending = self.pending, []
        lost = []
        for record in batch:
            kind = record[0]
            if not succeeds:
                match record:
                    case ("write", lsn, *_):
                        lost.append(lsn)
                        self.core.lost(lsn)
                    case ("barrier", lsn, *_):
                        lost.append(lsn)
                        self.core.barrier_lost(lsn)
                    case ("intent", lsns, _):
                        self.core.intent_lost(self.now, lsns)
                    case ("done", lsns):
                        self.core.done_lost(lsns)
                    case ("moved", *_):
                        self.core.relocation_ended()
                continue
            segment = self.append_durable(record)
            if kind == "write":
                self.core.durable(self.now, record[1], (segment, 0), ())
            elif kind == "barrier":
                self.core.barrier_durable(record[1], segment)
            elif kind == "intent":
                self.core.intent_durable(self.now, record[1])
            elif kind == "done":
                self.core.done_durable(record[1])
            elif kind == "moved":
                self.core.relocated(record[1], (segment, 0), ())
                self.core.relocation_ended()
        if lost:
            self.log.append((self.segment, ("done", lost)))
        self.execute_actions()

    def execute_actions(self) -> None:
        for action in self.core.take():
            match action:
                case actions.Intend(lsns):
                    self.pending.append(("intent", lsns, (self.boot, self.now, self.limits.shards)))
                case actions.RecordDone(lsns):
                    self.pending.append(("done", lsns))
                case actions.Suspend(lsn, reason):
                    self.pending.append(("held", lsn, reason))
                case actions.Send(lsn, timeout_s, _):
                    assert any(
                        r[0] == "intent" and lsn in r[1] or r[0] == "moved" and r[1] == lsn
                        for _, r in self.log
                    ), "sent without an intent"
                    assert timeout_s > 0
                    self.sends[lsn], self.sent_at[lsn] = action, self.now
                case actions.ReadBack(lsn, _):
                    self.reads[lsn] = action
                case actions.BarrierPassed(lsn):
                    self.passed.add(lsn)
                    self.check_barrier(lsn)
                case actions.Remove(segments):
                    self.log = [(s, r) for s, r in self.log if s not in segments]
                    self.core.segments_removed(segments)
                case actions.Relocate(lsns):
                    for lsn in lsns:
                        if lsn in self.core.barriers:
                            self.core.barrier_relocated(
                                lsn, self.append_durable(("barrier again", lsn, self.core.barriers[lsn][0]))
                            )
                        elif (e := self.core.entries.get(lsn)) is not None:
                            intent = (
                                None
                                if e.intent_at is None
                                else (
                                    self.boot,
                                    max(0.0, e.uncertain_since or e.intent_at),
                                    self.limits.shards,
                                )
                            )
                            self.pending.append(
                                ("moved", lsn, e.bucket, e.name, e.method, intent, e.reason or None)
                            )
                    self.core.relocation_ended()
        assert self.core.in_flight <= self.limits.in_flight
        assert self.core.in_flight_bytes <= max(60, self.limits.flush_bytes)
        assert all(shard.in_flight <= self.limits.per_shard for shard in self.core.shards.values())

    def plan(self, direct: int = 0) -> None:
        self.core.plan(self.now, direct)
        self.execute_actions()

    # events of nodes

    def run(self, entry: Entry, expected_version: str | None) -> bool:
        for lsn, bucket in self.barriers.items():
            if bucket == entry.bucket and lsn < entry.lsn:
                self.check_barrier(lsn)
        return self.nodes.run(self.now, entry, expected_version)

    def check_barrier(self, barrier: int) -> None:
        """Assert that all writes accepted before a barrier are on the nodes."""
        for key, lsns in self.durable.items():
            before = [lsn for lsn in lsns if lsn < barrier]
            if key[0] == self.barriers[barrier] and before:
                assert self.nodes.applied.get(key, 0) >= before[-1], "a barrier was passed over"

    def answer(self, lsn: int, how: str) -> None:
        send = self.sends.pop(lsn)
        entry, outcome = self.core.entries[lsn], Outcome.UNKNOWN
        until = self.sent_at[lsn] + send.timeout_s
        if self.now > until and how in ("stored", "ran", "late"):
            how = "gone"  # the node has dropped it by then
        if how in ("stored", "ran"):
            assert self.run(entry, send.expected_version)
            outcome = Outcome.STORED if how == "stored" else Outcome.UNKNOWN
        elif how == "late":
            self.nodes.may_still_run.append((until, entry, send.expected_version))
        elif how == "refused":
            outcome = Outcome.REJECTED
        self.core.attempt_ended(self.now, lsn, outcome, 0.05)
        self.execute_actions()

    def finish_read_back(self, lsn: int, answered: bool) -> None:
        self.reads.pop(lsn)
        entry = self.core.entries[lsn]
        version = self.nodes.versions.get(entry.key, 0)
        if answered and not version and entry.method == "DELETE":
            self.nodes.applied[entry.key] = lsn  # the object does not exist: as if the DELETE had run
        self.core.version_read(self.now, lsn, f"v{version}" if version else None, answered)
        self.execute_actions()

    def advance(self, seconds: float) -> None:
        """Let time pass; attempts that may still run do so at their deadline."""
        self.now += seconds
        later = []
        for until, entry, expected_version in self.nodes.may_still_run:
            if until < self.now:
                self.now, now = until, self.now
                self.run(entry, expected_version)
                self.now = now
            else:
                later.append((until, entry, expected_version))
        self.nodes.may_still_run = later

    # crashes

    def crash(self, kept: int, reboot: bool, ran: list[bool]) -> None:
        """Crash and restart: `kept` unsynced records survive; attempts in flight run as `ran` says."""
        for record in self.pending[:kept]:
            self.append_durable(record)
        self.pending = []
        for i, (lsn, send) in enumerate(sorted(self.sends.items())):
            until = self.sent_at[lsn] + send.timeout_s
            if until > self.now and ran[i % len(ran)]:
                self.nodes.may_still_run.append((until, self.core.entries[lsn], send.expected_version))
        self.sends, self.reads = {}, {}
        if reboot:
            self.boot += b"+"
        self.core = Core(self.limits, random.Random(7))
        self.segment += 1
        self.update_sizes()
        state = Replay()
        for segment, record in self.log:
            match record:
                case ("write", lsn, bucket, name, method):
                    state.write(
                        RestoredWrite(self.entry(lsn, bucket, name, method, self.now), (segment, 0), [])
                    )
                case ("moved", lsn, bucket, name, method, intent, held):
                    state.write(
                        RestoredWrite(
                            self.entry(lsn, bucket, name, method, self.now), (segment, 0), [], intent, held
                        )
                    )
                case ("barrier" | "barrier again", lsn, bucket):
                    state.barrier(lsn, bucket, segment)
                case ("intent", lsns, intent):
                    state.intent(lsns, intent)
                case ("done", lsns):
                    state.done(lsns)
                case ("held", lsn, reason):
                    state.suspended(lsn, reason)
        state.build(self.core, self.now, self.boot)
        self.execute_actions()

    def drain(self) -> None:
        """Without further faults, check that all writes reach the nodes in bounded time."""
        for _ in range(4000):
            self.plan()
            self.commit()
            for lsn in list(self.sends):
                self.answer(lsn, "stored")
            for lsn in list(self.reads):
                self.finish_read_back(lsn, True)
            if not self.core.entries and not self.pending:
                break
            self.advance(0.05)
        assert not self.core.entries, [(e.lsn, e.state) for e in self.core.entries.values()]
        assert not self.core.barriers and not self.core.keys and not self.core.groups
        assert self.core.in_flight == self.core.in_flight_bytes == self.core.committing == 0
        self.check_reads()
        for key, lsns in self.durable.items():
            last = lsns[-1]
            assert self.nodes.versions.get(key, 0) == (0 if self.methods[last] == "DELETE" else last)

    def check_reads(self) -> None:
        """Assert that a reader sees the newest durable write, in the buffer or on its node."""
        for key, lsns in self.durable.items():
            newest = self.core.newest_of(*key)
            if newest is not None:
                assert newest.lsn == lsns[-1]
            else:
                assert self.nodes.applied.get(key) == lsns[-1]


def sent(world: World) -> list[int]:
    world.plan()
    world.commit()
    return sorted(world.sends)
