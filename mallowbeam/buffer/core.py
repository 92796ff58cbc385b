"""What the buffer decides: what to take in, what to send next, when to try again, what is settled.

No I/O, no clock, no randomness of its own.  Events come in by methods that are given the time (seconds of a
clock that runs through one boot of the machine); what is to be done comes out of `take`.

A write is COMMITTING until the log has it, READY once it may go out, INTENDING while the word that it goes
out is being made durable, SENDING while the module has it.  An attempt that may have run leaves it DOUBTFUL:
it goes again under its key while the node still drops repeats, and after that only once reading back has
shown that it did not run.  What neither settles is HELD for an operator.  Writes of one key go one after the
other; what comes behind a barrier waits for all that came before it in that bucket.

Sources: group order and absorption as in a write-back cache with barriers (SCSI SBC, SYNCHRONIZE CACHE);
full jitter as in M. Brooker, "Exponential Backoff And Jitter" (2015); the budget for repeats as a token
bucket fed by first tries (Google SRE Book, ch. 21); windows by additive increase, multiplicative decrease
(Chiu and Jain, 1989).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from typing import NamedTuple

SAFE_MARGIN = 0.25          # seconds of the repeat window left unused: the way to the node and its clock
LEAST_SEND = 0.1            # seconds: an attempt with less time than that is not begun
DROPPED = 0.5               # seconds after its deadline by which a node has dropped what it has not begun
GIVE_WAY = 0.1              # of its window the flush keeps, however much direct traffic there is
CALM = 0.5                  # pressure from which on the flush gives way less, all the way up to 1
MOVE_ABOVE = 0.5            # of the bytes allowed: from there on old segments are emptied by copying
MOVE_BELOW = 0.25           # of an old segment that still counts: with more, copying costs too much
MOVE_MOST = 64              # writes copied on at once
SETTLE_MOST = 256           # writes told settled in one record
NEVER = float("inf")


class State(Enum):
    """Where a write stands."""

    COMMITTING = "committing"
    READY = "ready"
    INTENDING = "intending"
    SENDING = "sending"
    DOUBTFUL = "doubtful"
    READING = "reading back"
    HELD = "held"
    OVER = "over"


class Offer(Enum):
    """What becomes of a write that a client offers."""

    TAKE = "take"
    DIRECT = "direct"                          # straight to its node: there is no room here
    SLOW = "slow down"                         # not now: its order or its fate here forbids the direct way


class Outcome(Enum):
    """How an attempt at a node ended."""

    STORED = "stored"
    REFUSED = "refused"                        # it never ran
    UNKNOWN = "unknown"                        # it may have run
    DECLINED = "declined"                      # a node's own final no


@dataclass(slots=True, frozen=True)
class Limits:
    """The bounds and figures of one buffer; the operators' file says what users may set of them."""

    max_bytes: int = 256 << 20                 # of the folder's segments
    max_records: int = 200_000                 # writes held
    max_age: float = 300.0                     # seconds: with older ones unsent nothing more is taken in
    max_commit: int = 16 << 20                 # bytes on their way to the disk
    in_flight: int = 32                        # writes on their way to nodes
    per_shard: int = 8                         # and to one shard
    flush_bytes: int = 32 << 20                # bytes of bodies on their way to nodes
    repeat_share: float = 0.1                  # repeats allowed for each first try
    repeat_floor: float = 2.0                  # and a second, whatever else
    backoff: float = 0.05                      # seconds: the first repeat waits up to this
    backoff_most: float = 5.0
    deadline: float = 2.5                      # seconds of one attempt
    window: float | None = 4.0                 # in which a repeat under its key is dropped; None: no limit
    keyed: bool = True                         # whether repeats under a key are dropped at all
    shards: int = 1
    sole_writer: bool = True                   # whether nobody else writes to these buckets


class Send(NamedTuple):
    """Send a write; `seen` is the version read back: "" for none, None where no condition goes along."""

    lsn: int
    expires: float
    seen: str | None


class ReadBack(NamedTuple):
    """Ask a write's node which version it has."""

    lsn: int
    expires: float


class Intend(NamedTuple):
    """Make it durable that these go out; then say `intended`."""

    lsns: list[int]


class Settle(NamedTuple):
    """Make it durable, soon, that these are settled; then say `settled`."""

    lsns: list[int]


class Hold(NamedTuple):
    """Make it durable that a write is held (without a reason: no longer), and tell the operator."""

    lsn: int
    reason: str


class Passed(NamedTuple):
    """All that came before a barrier is on the nodes."""

    lsn: int


class Move(NamedTuple):
    """Copy writes and barriers on to the log's end; then say `moved` of each."""

    lsns: list[int]


class Remove(NamedTuple):
    """Take segments away: nothing needs them any more."""

    segments: list[int]


Action = Send | ReadBack | Intend | Settle | Hold | Passed | Move | Remove


class Entry:
    """A write held here."""

    __slots__ = ("lsn", "bucket", "name", "method", "place", "etag", "size", "cost", "state", "at", "where",
                 "segments", "intent", "doubt", "last", "tries", "due", "queued", "group", "seen", "reason",
                 "attempted")

    def __init__(self, lsn: int, bucket: str, name: bytes, method: str, place: int, etag: str, size: int,
                 cost: int, at: float) -> None:
        self.lsn, self.bucket, self.name, self.method = lsn, bucket, name, method
        self.place, self.etag, self.size = place, etag, size
        self.cost, self.at = cost, at          # bytes in the log; when it was taken in
        self.state = State.COMMITTING
        self.where = (0, 0)                    # segment and offset of its record
        self.segments: tuple[int, ...] = ()    # all segments that hold a part of it
        self.intent: float | None = None       # since when it may have been sent
        self.doubt: float | None = None        # when the first attempt went out that may have run
        self.last = 0.0                        # when the last attempt went out
        self.tries = 0                         # attempts that brought nothing
        self.attempted = False                 # whether one was ever begun
        self.due = 0.0
        self.queued = False
        self.group: Group
        self.seen: str | None = None           # the version read back, "" for none
        self.reason = ""                       # why it is held

    @property
    def key(self) -> tuple[str, bytes]:
        """What orders it: its bucket and its name there."""
        return self.bucket, self.name


class Group:
    """The writes of a bucket between two barriers."""

    __slots__ = ("entries", "barrier", "durable")

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}
        self.barrier: int | None = None        # the lsn of the barrier that ends it, None while it is open
        self.durable = False                   # whether the log has that barrier


class Shard:
    """What is on its way to one shard."""

    __slots__ = ("window", "out", "until", "parked")

    def __init__(self, window: float) -> None:
        self.window, self.out, self.until = window, 0, 0.0
        self.parked: deque[Entry] = deque()


@dataclass(slots=True)
class Counts:
    """What has happened since this process started."""

    taken: int = 0
    stored: int = 0
    absorbed: int = 0
    repeats: int = 0
    read_back: int = 0
    refused: int = 0
    held: int = 0
    moved: int = 0
    lost: int = 0                              # never acknowledged


class Budget:
    """Repeats allowed: a share of first tries, and a floor by time, so that none waits for ever."""

    def __init__(self, limits: Limits) -> None:
        self.share, self.floor = limits.repeat_share, limits.repeat_floor
        self.most = max(10.0, 5 * self.floor)
        self.level, self.at = self.most, 0.0

    def first(self) -> None:
        """A first try was made."""
        self.level = min(self.most, self.level + self.share)

    def wait(self, now: float) -> float:
        """Seconds until a repeat is allowed; 0 takes it."""
        self.level = min(self.most, self.level + max(0.0, now - self.at) * self.floor)
        self.at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.floor


class Core:
    """The buffer's decisions."""

    def __init__(self, limits: Limits, chance: random.Random) -> None:
        self.limits, self.random = limits, chance
        self.entries: dict[int, Entry] = {}
        self.keys: dict[tuple[str, bytes], list[Entry]] = {}
        self.groups: dict[str, deque[Group]] = {}
        self.barriers: dict[int, tuple[str, int]] = {}  # pending ones: bucket, and their record's segment
        self.shards: dict[int, Shard] = {}
        self.budget = Budget(limits)
        self.out = self.out_bytes = 0          # writes and reads on their way, and bytes of their bodies
        self.committing = 0                    # bytes on their way to the disk
        self.bytes = 0                         # of the segments on disk, as the shell says
        self.live: dict[int, int] = {}         # by segment: writes and barriers that need it
        self.live_bytes: dict[int, int] = {}
        self.sizes: dict[int, int] = {}        # bytes of each segment
        self.newest = 0                        # the segment written to: it stays
        self.away = True                       # what the folder holds is not known here, or no longer
        self.broken: str | None = None         # why nothing is taken in, None where it is
        self.tainted: set[tuple[str, bytes]] = set()
        self.counts = Counts()
        self.held = 0
        self._ready: list[tuple[float, int]] = []
        self._ages: deque[Entry] = deque()
        self._settling: list[int] = []
        self._leaving: dict[int, Entry] = {}   # over, but the log may not have that yet
        self._unsettled: dict[tuple[str, bytes], int] = {}  # how many of those, by key
        self._crowded: set[int] = set()        # shards with parked writes
        self._moving: set[int] = set()
        self._removing: set[int] = set()
        self._actions: list[Action] = []

    def take(self) -> list[Action]:
        """What is to be done, handed over."""
        if self._settling:
            for at in range(0, len(self._settling), SETTLE_MOST):
                self._actions.append(Settle(self._settling[at:at + SETTLE_MOST]))
            self._settling = []
        actions, self._actions = self._actions, []
        return actions

    # --- taking in ------------------------------------------------------------------------------

    def age(self, now: float) -> float:
        """Seconds for which the oldest write has been here."""
        while self._ages and self._ages[0].state in (State.OVER, State.HELD):
            self._ages.popleft()               # a held one waits for an operator: it fills nothing by age
        return max(0.0, now - self._ages[0].at) if self._ages else 0.0

    def pressure(self, now: float) -> float:
        """How full the buffer is, 0 to 1 and beyond, by what is nearest to its bound."""
        limits = self.limits
        return max((self.bytes + self.committing) / limits.max_bytes, len(self.entries) / limits.max_records,
                   self.age(now) / limits.max_age)

    def ordered(self, bucket: str, name: bytes) -> bool:
        """Whether something here must be on the nodes before a direct write of that name may go."""
        return ((bucket, name) in self.keys or (bucket, name) in self._unsettled
                or len(self.groups.get(bucket, ())) > 1)

    def offer(self, now: float, bucket: str, name: bytes, size: int) -> Offer:
        """What becomes of a write of `size` bytes in the log."""
        limits = self.limits
        if (bucket, name) in self.tainted:
            return Offer.SLOW                  # what stands on a distrusted file may come back
        if (self.room(size) and len(self.entries) < limits.max_records
                and self.committing + size <= limits.max_commit and self.age(now) < limits.max_age):
            return Offer.TAKE
        if self.away:
            return Offer.SLOW
        return Offer.SLOW if self.ordered(bucket, name) else Offer.DIRECT

    def room(self, size: int) -> bool:
        """Whether so many bytes more may go to the disk."""
        return (self.broken is None and not self.away
                and self.bytes + self.committing + size <= self.limits.max_bytes)

    def accept(self, entry: Entry) -> None:
        """A write is on its way to the log, behind all accepted before it."""
        self.entries[entry.lsn] = entry
        self.keys.setdefault(entry.key, []).append(entry)
        groups = self._groups(entry.bucket)
        entry.group = groups[-1]
        entry.group.entries[entry.lsn] = entry
        self.committing += entry.cost
        self._ages.append(entry)

    def durable(self, now: float, lsn: int, where: tuple[int, int], segments: Iterable[int]) -> None:
        """The log has a write: it counts from now on, and an earlier one still unsent gives way to it."""
        entry = self.entries[lsn]
        self.committing -= entry.cost
        self.counts.taken += 1
        self._place(entry, where, segments)
        entry.state = State.READY
        for older in list(self.keys[entry.key]):
            if older is entry:
                break
            if older.group is entry.group and older.state is State.READY:
                self.counts.absorbed += 1
                self._over(older)
        self._queue(entry, now)

    def lost(self, lsn: int) -> None:
        """The log could not take a write: it was never here."""
        entry = self.entries[lsn]
        self.committing -= entry.cost
        self.counts.lost += 1
        self._drop(entry)

    def newest_of(self, bucket: str, name: bytes) -> Entry | None:
        """The last write of a name that the log has."""
        for entry in reversed(self.keys.get((bucket, name), ())):
            if entry.state is not State.COMMITTING:
                return entry
        return None

    # --- barriers -------------------------------------------------------------------------------

    def barrier(self, lsn: int, bucket: str) -> None:
        """A barrier is on its way to the log."""
        groups = self._groups(bucket)
        groups[-1].barrier = lsn
        groups.append(Group())
        self.barriers[lsn] = bucket, 0

    def barrier_durable(self, lsn: int, segment: int) -> None:
        """The log has it."""
        bucket, _ = self.barriers[lsn]
        self.barriers[lsn] = bucket, segment
        self.pin(segment)
        for group in self.groups[bucket]:
            if group.barrier == lsn:
                group.durable = True
        self._pass(bucket)

    def barrier_lost(self, lsn: int) -> None:
        """The log could not take a barrier: what it parted belongs together again."""
        bucket, _ = self.barriers.pop(lsn)
        groups = self.groups[bucket]
        for i, group in enumerate(groups):
            if group.barrier == lsn:
                later = groups[i + 1]
                for entry in group.entries.values():
                    entry.group = later
                later.entries = group.entries | later.entries
                del groups[i]
                break
        self._pass(bucket)
        self._wake_group(bucket)

    def before(self, lsn: int) -> int | None:
        """How many writes a barrier still waits for; None where it has passed, or there never was one."""
        known = self.barriers.get(lsn)
        if known is None:
            return None
        count = 0
        for group in self.groups[known[0]]:
            count += len(group.entries)
            if group.barrier == lsn:
                break
        return count

    def blocked(self, bucket: str) -> Entry | None:
        """The held write, if there is one, that keeps the bucket's first barrier from passing."""
        groups = self.groups.get(bucket)
        if not self.held or not groups:
            return None
        return next((entry for entry in groups[0].entries.values() if entry.state is State.HELD), None)

    def _groups(self, bucket: str) -> deque[Group]:
        groups = self.groups.get(bucket)
        if groups is None:
            groups = self.groups[bucket] = deque([Group()])
        return groups

    def _pass(self, bucket: str) -> None:
        """Let barriers pass that nothing is left before."""
        groups, passed = self.groups[bucket], False
        while len(groups) > 1 and not groups[0].entries and groups[0].durable:
            lsn = groups.popleft().barrier
            assert lsn is not None
            _, segment = self.barriers.pop(lsn)
            self._release(segment, 0)
            self._actions.append(Passed(lsn))
            passed = True
        if passed:
            self._wake_group(bucket)
        if len(groups) == 1 and not groups[0].entries:
            del self.groups[bucket]

    def _wake_group(self, bucket: str) -> None:
        """What stands in the bucket's first group may go."""
        groups = self.groups.get(bucket)
        for entry in list(groups[0].entries.values()) if groups else ():
            self._queue(entry, entry.due)

    # --- flushing -------------------------------------------------------------------------------

    def allowed(self, now: float, direct: int) -> int:
        """How many may be on their way at once, given so many direct calls held by the gateway.

        The flush gives way in proportion, and takes its part back as the buffer fills.
        """
        most = self.limits.in_flight
        yielding = 1.0 / (1.0 + direct / max(1.0, most / 4))
        urgent = min(1.0, max(0.0, (self.pressure(now) - CALM) / (1.0 - CALM)))
        return max(1, int(most * max(GIVE_WAY, yielding, urgent)))

    def plan(self, now: float, direct: int = 0) -> None:
        """Choose what goes out now."""
        room, limits = self.allowed(now, direct) - self.out, self.limits
        intending: list[int] = []
        self._unpark()
        while room > 0 and self._ready and self._ready[0][0] <= now:
            _, lsn = heappop(self._ready)
            entry = self.entries.get(lsn)
            if entry is None or not entry.queued:
                continue
            entry.queued = False
            if not self._may_go(entry):
                continue
            if entry.due > now:
                self._queue(entry, entry.due)
                continue
            shard = self._shard(entry)
            if shard.until > now:
                self._queue(entry, shard.until)
                continue
            if shard.out >= max(1, int(shard.window)):
                shard.parked.append(entry)
                self._crowded.add(entry.place % self.limits.shards)
                continue
            if self.out_bytes and self.out_bytes + entry.size > limits.flush_bytes:
                self._queue(entry, now)        # others may be smaller, but none goes before for ever
                break
            if self._start(entry, now, intending):
                shard.out += 1
                self.out += 1
                self.out_bytes += entry.size
                room -= 1
        if intending:
            self._actions.append(Intend(intending))
        self._tidy()

    def wake(self) -> float:
        """When `plan` may find something to do again, if nothing else happens first."""
        return self._ready[0][0] if self._ready else NEVER

    def _start(self, entry: Entry, now: float, intending: list[int]) -> bool:
        """Begin the next step of a write; False where it has to wait."""
        if entry.doubt is not None:
            left = self._repeat_left(entry, now)
            if left < LEAST_SEND:
                return self._read_back(entry, now)
            if wait := self.budget.wait(now):
                if wait >= left - LEAST_SEND:
                    entry.doubt = -NEVER       # no repeat before the window ends: it is read back
                self._queue(entry, now + wait)
                return False
            self.counts.repeats += 1
            self._send(entry, now, left)
        elif entry.intent is None:
            if not entry.attempted:
                self.budget.first()
            entry.attempted = True
            entry.state = State.INTENDING
            intending.append(entry.lsn)
        else:
            self._send(entry, now, NEVER)
        return True

    def _repeat_left(self, entry: Entry, now: float) -> float:
        """Seconds in which a write that may have run may go again under its key."""
        limits = self.limits
        if not limits.keyed or entry.doubt is None:
            return 0.0
        return NEVER if limits.window is None else entry.doubt + limits.window - SAFE_MARGIN - now

    def _send(self, entry: Entry, now: float, left: float) -> None:
        entry.state, entry.last = State.SENDING, now
        self._actions.append(Send(entry.lsn, min(self.limits.deadline, left), entry.seen))

    def _read_back(self, entry: Entry, now: float) -> bool:
        """Ask the node, once the last attempt can no longer run there."""
        ready = entry.last + self.limits.deadline + DROPPED
        if ready > now:
            self._queue(entry, ready)
            return False
        entry.state = State.READING
        self.counts.read_back += 1
        self._actions.append(ReadBack(entry.lsn, self.limits.deadline))
        return True

    def intended(self, now: float, lsns: list[int]) -> None:
        """The log has the word that these go out."""
        for lsn in lsns:
            entry = self.entries[lsn]
            entry.intent = now
            self._send(entry, now, NEVER)

    def not_intended(self, now: float, lsns: list[int]) -> None:
        """The log could not take that word: they stay."""
        for lsn in lsns:
            entry = self.entries[lsn]
            self._back(entry)
            entry.state = State.READY
            self._retry(entry, now, 0.0)

    def sent(self, now: float, lsn: int, outcome: Outcome, retry_after: float = 0.0,
             reason: str = "") -> None:
        """An attempt has ended."""
        entry = self.entries[lsn]
        shard = self._back(entry)
        if outcome is Outcome.STORED:
            self.counts.stored += 1
            shard.window = min(self.limits.per_shard, shard.window + 1.0 / shard.window)
            return self._over(entry)
        if outcome is Outcome.DECLINED:
            return self._hold(entry, reason)
        shard.window = max(1.0, shard.window / 2)
        entry.tries += 1
        if outcome is Outcome.REFUSED:
            self.counts.refused += 1
            shard.until = max(shard.until, now + retry_after * self.random.uniform(0.5, 1.0))
        elif entry.doubt is None:
            entry.doubt = entry.last
        entry.state = State.READY if entry.doubt is None else State.DOUBTFUL
        self._retry(entry, now, retry_after)

    def read_back(self, now: float, lsn: int, version: str | None, answered: bool) -> None:
        """A node has said which version it has, None for none; or it has not `answered`."""
        entry = self.entries[lsn]
        self._back(entry)
        entry.state = State.DOUBTFUL
        if not answered:
            entry.tries += 1
            return self._retry(entry, now, 0.0)
        if version == (None if entry.method == "DELETE" else entry.etag):
            self.counts.stored += 1
            return self._over(entry)
        if version is not None and entry.method != "DELETE" and not self.limits.sole_writer:
            return self._hold(entry, "its attempt has no known end, and the node has another version")
        # It did not run, and can't any more: what follows is a first attempt, tied to what was seen.
        entry.seen = version or ""
        entry.intent = entry.doubt = None
        entry.state = State.READY
        self._queue(entry, now)

    def release(self, now: float, lsn: int, drop: bool) -> bool:
        """An operator lets a held write go, or drops it; False where none is held under that number."""
        entry = self.entries.get(lsn)
        if entry is None or entry.state is not State.HELD:
            return False
        self.held -= 1
        entry.reason = ""
        if drop:
            entry.state = State.READY
            self._over(entry)
        else:
            entry.intent = entry.doubt = entry.seen = None
            entry.state = State.READY
            self._ages.appendleft(entry)
            self._actions.append(Hold(lsn, ""))
            self._queue(entry, now)
        return True

    def hold(self, lsn: int, reason: str) -> None:
        """A write can't go on: its bytes can't be read any more."""
        entry = self.entries[lsn]
        if entry.state in (State.SENDING, State.READING):
            self._back(entry)
        self._hold(entry, reason)

    def _hold(self, entry: Entry, reason: str) -> None:
        entry.state, entry.reason = State.HELD, reason
        self.held += 1
        self.counts.held += 1
        self._actions.append(Hold(entry.lsn, reason))

    def _retry(self, entry: Entry, now: float, at_least: float) -> None:
        """Full jitter, behind what the refusal asked for."""
        most = min(self.limits.backoff_most, self.limits.backoff * 2.0 ** min(entry.tries, 30))
        self._queue(entry, now + at_least + self.random.uniform(0.0, most))

    def _shard(self, entry: Entry) -> Shard:
        number = entry.place % self.limits.shards
        shard = self.shards.get(number)
        if shard is None:
            shard = self.shards[number] = Shard(float(self.limits.per_shard))
        return shard

    def _back(self, entry: Entry) -> Shard:
        """A write is no longer on its way: there is room for another."""
        shard = self._shard(entry)
        shard.out -= 1
        self.out -= 1
        self.out_bytes -= entry.size
        return shard

    def _unpark(self) -> None:
        """Queue again what waited for room at its shard."""
        for number in list(self._crowded):
            shard = self.shards[number]
            for _ in range(max(1, int(shard.window)) - shard.out):
                if shard.parked:
                    parked = shard.parked.popleft()
                    self._queue(parked, parked.due)
            if not shard.parked:
                self._crowded.discard(number)

    def _may_go(self, entry: Entry) -> bool:
        """Whether a write is next: first of its key, in the first group of its bucket, and not held.

        Guards the key's order over a crash: before the log knows that the one before it is settled, none
        goes out, or that one would come back and replace it.
        """
        return (entry.state in (State.READY, State.DOUBTFUL) and self.keys[entry.key][0] is entry
                and entry.key not in self._unsettled
                and self.groups[entry.bucket][0] is entry.group)

    def _queue(self, entry: Entry, due: float) -> None:
        """Look at a write again at that time; those that must wait for others are looked at after those."""
        entry.due = due
        if not entry.queued and self._may_go(entry):
            entry.queued = True
            heappush(self._ready, (due, entry.lsn))

    # --- what is over ---------------------------------------------------------------------------

    def _over(self, entry: Entry) -> None:
        self._drop(entry)
        self._settling.append(entry.lsn)
        self._leaving[entry.lsn] = entry
        self._unsettled[entry.key] = self._unsettled.get(entry.key, 0) + 1

    def _drop(self, entry: Entry) -> None:
        """A write is here no more; what waited for it may go."""
        entry.state = State.OVER
        del self.entries[entry.lsn], entry.group.entries[entry.lsn]
        chain = self.keys[entry.key]
        chain.remove(entry)
        if chain:
            self._queue(chain[0], chain[0].due)
        else:
            del self.keys[entry.key]
        self._pass(entry.bucket)

    def settled(self, lsns: Iterable[int]) -> None:
        """The log has it that writes are settled: their segments need not stay for them."""
        for lsn in lsns:
            entry = self._leaving.pop(lsn)
            self._unsettled[entry.key] -= 1
            if not self._unsettled[entry.key]:
                del self._unsettled[entry.key]
                if chain := self.keys.get(entry.key):
                    self._queue(chain[0], chain[0].due)
            for segment in entry.segments:
                self._release(segment, entry.cost)

    def not_settled(self, lsns: Iterable[int]) -> None:
        """The log could not take that word: it is said again."""
        self._settling.extend(lsns)

    def _place(self, entry: Entry, where: tuple[int, int], segments: Iterable[int]) -> None:
        entry.where, entry.segments = where, tuple(dict.fromkeys((where[0], *segments)))
        for segment in entry.segments:
            self.live[segment] = self.live.get(segment, 0) + 1
            self.live_bytes[segment] = self.live_bytes.get(segment, 0) + entry.cost

    def _release(self, segment: int, cost: int) -> None:
        if segment not in self.live:
            return
        self.live[segment] -= 1
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) - cost

    def on_disk(self, sizes: dict[int, int], newest: int) -> None:
        """How large the segments are, and which is being written."""
        self.sizes = {number: size for number, size in sizes.items() if number not in self._removing}
        self.newest, self.bytes = newest, sum(self.sizes.values())

    def pin(self, segment: int, count: int = 1) -> None:
        """A segment holds pieces of a body that is still coming in, or, with -1, no longer."""
        self.live[segment] = self.live.get(segment, 0) + count

    def removed(self, segments: list[int]) -> None:
        """Segments are gone."""
        for segment in segments:
            self.live.pop(segment, None)
            self.live_bytes.pop(segment, None)
            self._removing.discard(segment)

    def _tidy(self) -> None:
        """Take away the oldest segments that nothing needs; empty one that little needs, if room is short.

        Oldest first: a record that settles a write never goes before the write itself.
        """
        free = []
        for segment in sorted(self.sizes):
            if segment == self.newest or self.live.get(segment, 0) > 0:
                break
            free.append(segment)
        if free:
            for segment in free:
                self.bytes -= self.sizes.pop(segment)
                self._removing.add(segment)
            self._actions.append(Remove(free))
        elif self.bytes > MOVE_ABOVE * self.limits.max_bytes and not self._moving and len(self.sizes) > 1:
            oldest = min(self.sizes)
            if oldest != self.newest and self.live_bytes.get(oldest, 0) < MOVE_BELOW * self.sizes[oldest]:
                self._move(oldest)

    def _move(self, oldest: int) -> None:
        still = (State.READY, State.DOUBTFUL, State.HELD)
        lsns = [entry.lsn for entry in self.entries.values()
                if oldest in entry.segments and entry.state in still][:MOVE_MOST]
        lsns += [lsn for lsn, (_, segment) in self.barriers.items() if segment == oldest][:MOVE_MOST]
        if lsns:
            self._moving = set(lsns)
            self._actions.append(Move(lsns))

    def moved(self, lsn: int, where: tuple[int, int], segments: Iterable[int]) -> None:
        """A write stands at the log's end too."""
        entry = self.entries.get(lsn)
        if entry is None:
            return
        self.counts.moved += 1
        for segment in entry.segments:
            self._release(segment, entry.cost)
        self._place(entry, where, segments)

    def barrier_moved(self, lsn: int, segment: int) -> None:
        """A barrier stands at the log's end too."""
        bucket, before = self.barriers[lsn]
        self._release(before, 0)
        self.barriers[lsn] = bucket, segment
        self.pin(segment)

    def moving_over(self) -> None:
        """What was to be copied is, or could not be."""
        self._moving = set()


# --- coming back ----------------------------------------------------------------------------------


@dataclass(slots=True)
class Known:
    """A write as the log tells of it."""

    entry: Entry
    where: tuple[int, int]
    segments: list[int]
    intent: tuple[bytes, float, int] | None = None
    held: str | None = None


@dataclass(slots=True)
class Replay:
    """Builds what stood at the end of the life before, from the log's records in order."""

    writes: dict[int, Known] = field(default_factory=dict)
    barriers: dict[int, tuple[str, int]] = field(default_factory=dict)

    def write(self, known: Known) -> None:
        """A write, or a copy of one: the later place counts, and what was known of the earlier one stays."""
        before = self.writes.pop(known.entry.lsn, None)
        if before is not None and known.intent is None:
            known.intent = before.intent
        self.writes[known.entry.lsn] = known

    def barrier(self, lsn: int, bucket: str, segment: int) -> None:
        """A barrier, or a copy of one."""
        self.barriers[lsn] = bucket, segment

    def intent(self, lsns: list[int], intent: tuple[bytes, float, int]) -> None:
        """Writes may have gone out since then."""
        for lsn in lsns:
            known = self.writes.get(lsn)
            if known is not None:
                known.intent = intent          # a later one stands for a new first attempt

    def settled(self, lsns: list[int]) -> None:
        """Writes are over, or never were."""
        for lsn in lsns:
            self.writes.pop(lsn, None)
            self.barriers.pop(lsn, None)

    def held(self, lsn: int, reason: str) -> None:
        """A write is held, or, without a reason, let go again."""
        known = self.writes.get(lsn)
        if known is not None:
            known.held = reason or None
            if not reason:
                known.intent = None

    def build(self, core: Core, now: float, boot: bytes) -> None:
        """Hand all that is left to the core.

        An attempt of unknown end may be repeated within its window only where one clock measured both its
        start and now: that of this very boot, and with objects in the places they had.  All others are read
        back, and not before an attempt begun just before this start could no longer run.
        """
        for lsn in sorted([*self.writes, *self.barriers]):
            known = self.writes.pop(lsn, None)  # one at a time: a full buffer would stand here twice
            if known is None:
                bucket, segment = self.barriers[lsn]
                core.barrier(lsn, bucket)
                core.barrier_durable(lsn, segment)
                continue
            entry = known.entry
            core.accept(entry)
            if known.intent is not None:
                told_boot, at, shards = known.intent
                same = told_boot == boot and at <= now and shards == core.limits.shards
                entry.intent, entry.attempted = at if same else now, True
                entry.doubt = at if same else -NEVER
                entry.last = now
            core.durable(now, lsn, known.where, known.segments)
            if known.held is not None:
                entry.state, entry.reason, entry.queued = State.HELD, known.held, False
                core.held += 1
            elif entry.doubt is not None:
                entry.state = State.DOUBTFUL
        core.counts = Counts()
        core.away = False
