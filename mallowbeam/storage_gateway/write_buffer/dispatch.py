"""Which writes go to the nodes, when, and what follows from how an attempt ended.

No I/O and no clock of its own: the time comes in, actions go into an `ActionQueue`.

Sources: full jitter as in M. Brooker, "Exponential Backoff And Jitter" (2015); the budget for repeats in
`limits`, the windows in `shards`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from heapq import heappop, heappush

from mallowbeam.storage_gateway.write_buffer.actions import ActionQueue, Hold, Intend, Passed, ReadBack, Send
from mallowbeam.storage_gateway.write_buffer.entries import Entry, Outcome, State
from mallowbeam.storage_gateway.write_buffer.held_writes import HeldWrites
from mallowbeam.storage_gateway.write_buffer.limits import NEVER, Limits, RepeatBudget
from mallowbeam.storage_gateway.write_buffer.segments import SegmentTable
from mallowbeam.storage_gateway.write_buffer.shards import Shard, ShardTable

SAFE_MARGIN = 0.25  # seconds of the repeat window left unused: the way to the node and its clock
LEAST_SEND = 0.1  # seconds: an attempt with less time than that is not begun
DROPPED = 0.5  # seconds after its deadline by which a node has dropped what it has not begun
MOST_DOUBLINGS = 30  # of the wait before a repeat


class Dispatch:
    """Sends writes in their order, repeats them, reads them back, and ends them."""

    def __init__(
        self,
        limits: Limits,
        chance: random.Random,
        writes: HeldWrites,
        segments: SegmentTable,
        actions: ActionQueue,
    ) -> None:
        self.limits = limits
        self.random = chance
        self.writes = writes
        self.segments = segments
        self.actions = actions
        self.budget = RepeatBudget(limits)
        self.shards = ShardTable(limits)
        self._ready: list[tuple[float, int]] = []

    # --- what goes out --------------------------------------------------------------------------

    def plan(self, now: float, allowed: int) -> None:
        """Choose what goes out now, so that no more than `allowed` are on their way."""
        intending: list[int] = []
        for parked in self.shards.unpark():
            self.queue(parked, parked.due)
        room = allowed - self.shards.out
        while room > 0 and self._ready and self._ready[0][0] <= now:
            _, lsn = heappop(self._ready)
            entry = self.writes.entries.get(lsn)
            if entry is None or not entry.queued:
                continue
            entry.queued = False
            if not self.writes.may_go(entry):
                continue
            if self._waits(entry, now):
                continue
            if self.shards.out_bytes and self.shards.out_bytes + entry.size > self.limits.flush_bytes:
                self.queue(entry, now)  # others may be smaller, but none goes before for ever
                break
            if self._start(entry, now, intending):
                self.shards.begin(entry)
                room -= 1
        if intending:
            self.actions.add(Intend(intending))

    def wake(self) -> float:
        """When `plan` may find something to do again, if nothing else happens first."""
        return self._ready[0][0] if self._ready else NEVER

    def queue(self, entry: Entry, due: float) -> None:
        """Look at a write again at that time; those that must wait for others are looked at after those."""
        entry.due = due
        if not entry.queued and self.writes.may_go(entry):
            entry.queued = True
            heappush(self._ready, (due, entry.lsn))

    def queue_first_group(self, bucket: str) -> None:
        """What stands in a bucket's first group may go."""
        for entry in self.writes.groups.first_group(bucket):
            self.queue(entry, entry.due)

    def _waits(self, entry: Entry, now: float) -> bool:
        """Put a write aside that has to wait for its time or its shard; whether it was."""
        if entry.due > now:
            self.queue(entry, entry.due)
            return True
        shard = self.shards.of(entry)
        if shard.until > now:
            self.queue(entry, shard.until)
            return True
        if shard.full:
            self.shards.park(entry)
            return True
        return False

    def _start(self, entry: Entry, now: float, intending: list[int]) -> bool:
        """Begin the next step of a write; False where it has to wait."""
        if entry.doubt is not None:
            return self._repeat(entry, now)
        if entry.intent is not None:
            self._send(entry, now, NEVER)
            return True
        if not entry.attempted:
            self.budget.first()
        entry.attempted = True
        entry.state = State.INTENDING
        intending.append(entry.lsn)
        return True

    def _repeat(self, entry: Entry, now: float) -> bool:
        """Send a write again that may have run, or read it back; False where it has to wait."""
        left = self._repeat_left(entry, now)
        if left < LEAST_SEND:
            return self._read_back(entry, now)
        if wait := self.budget.wait(now):
            if wait >= left - LEAST_SEND:
                entry.doubt = -NEVER  # no repeat before the window ends: it is read back
            self.queue(entry, now + wait)
            return False
        self.writes.counts.repeats += 1
        self._send(entry, now, left)
        return True

    def _repeat_left(self, entry: Entry, now: float) -> float:
        """Seconds in which a write that may have run may go again under its key."""
        limits = self.limits
        if not limits.keyed or entry.doubt is None:
            return 0.0
        return NEVER if limits.window is None else entry.doubt + limits.window - SAFE_MARGIN - now

    def _send(self, entry: Entry, now: float, left: float) -> None:
        entry.state = State.SENDING
        entry.last = now
        self.actions.add(Send(entry.lsn, min(self.limits.deadline, left), entry.seen))

    def _read_back(self, entry: Entry, now: float) -> bool:
        """Ask the node, once the last attempt can no longer run there."""
        ready = entry.last + self.limits.deadline + DROPPED
        if ready > now:
            self.queue(entry, ready)
            return False
        entry.state = State.READING
        self.writes.counts.read_back += 1
        self.actions.add(ReadBack(entry.lsn, self.limits.deadline))
        return True

    # --- what came of it ------------------------------------------------------------------------

    def intended(self, now: float, lsns: Iterable[int]) -> None:
        """The log has the word that these go out."""
        for lsn in lsns:
            entry = self.writes.entries[lsn]
            entry.intent = now
            self._send(entry, now, NEVER)

    def not_intended(self, now: float, lsns: Iterable[int]) -> None:
        """The log could not take that word: they stay."""
        for lsn in lsns:
            entry = self.writes.entries[lsn]
            self.shards.end(entry)
            entry.state = State.READY
            self._retry(entry, now, 0.0)

    def sent(self, now: float, lsn: int, outcome: Outcome, retry_after: float, reason: str) -> None:
        """An attempt has ended."""
        entry = self.writes.entries[lsn]
        shard = self.shards.end(entry)
        if outcome is Outcome.STORED:
            self.writes.counts.stored += 1
            shard.widen(self.limits.per_shard)
            self.finish(entry)
        elif outcome is Outcome.DECLINED:
            self._hold(entry, reason)
        else:
            self._failed(now, entry, shard, outcome, retry_after)

    def _failed(self, now: float, entry: Entry, shard: Shard, outcome: Outcome, retry_after: float) -> None:
        """An attempt was refused, or its end is unknown: the write goes again later."""
        shard.narrow()
        entry.tries += 1
        if outcome is Outcome.REFUSED:
            self.writes.counts.refused += 1
            shard.until = max(shard.until, now + retry_after * self.random.uniform(0.5, 1.0))
        elif entry.doubt is None:
            entry.doubt = entry.last
        entry.state = State.READY if entry.doubt is None else State.DOUBTFUL
        self._retry(entry, now, retry_after)

    def read_back(self, now: float, lsn: int, version: str | None, answered: bool) -> None:
        """A node has said which version it has, None for none; or it has not `answered`."""
        entry = self.writes.entries[lsn]
        self.shards.end(entry)
        entry.state = State.DOUBTFUL
        if not answered:
            entry.tries += 1
            self._retry(entry, now, 0.0)
        elif version == (None if entry.method == "DELETE" else entry.etag):
            self.writes.counts.stored += 1
            self.finish(entry)
        elif version is not None and entry.method != "DELETE" and not self.limits.sole_writer:
            self._hold(entry, "its attempt has no known end, and the node has another version")
        else:
            # It did not run, and can't any more: what follows is a first attempt, tied to what was seen.
            entry.seen = version or ""
            entry.intent = entry.doubt = None
            entry.state = State.READY
            self.queue(entry, now)

    def _retry(self, entry: Entry, now: float, at_least: float) -> None:
        """Full jitter, behind what the refusal asked for."""
        limits = self.limits
        most = min(limits.backoff_most, limits.backoff * 2.0 ** min(entry.tries, MOST_DOUBLINGS))
        self.queue(entry, now + at_least + self.random.uniform(0.0, most))

    # --- held for an operator -------------------------------------------------------------------

    def hold(self, lsn: int, reason: str) -> None:
        """A write can't go on: its bytes can't be read any more."""
        entry = self.writes.entries[lsn]
        if entry.state in (State.SENDING, State.READING):
            self.shards.end(entry)
        self._hold(entry, reason)

    def release(self, now: float, lsn: int, drop: bool) -> bool:
        """An operator lets a held write go, or drops it; False where none is held under that number."""
        entry = self.writes.entries.get(lsn)
        if entry is None or entry.state is not State.HELD:
            return False
        self.writes.held -= 1
        entry.reason = ""
        entry.state = State.READY
        if drop:
            self.finish(entry)
        else:
            entry.intent = entry.doubt = entry.seen = None
            self.writes.count_age_again(entry)
            self.actions.add(Hold(lsn, ""))
            self.queue(entry, now)
        return True

    def _hold(self, entry: Entry, reason: str) -> None:
        entry.state = State.HELD
        entry.reason = reason
        self.writes.held += 1
        self.writes.counts.held += 1
        self.actions.add(Hold(entry.lsn, reason))

    # --- what is over ---------------------------------------------------------------------------

    def finish(self, entry: Entry) -> None:
        """A write is over: the log is to be told, and what waited for it may go."""
        self.drop(entry)
        self.actions.settle([entry.lsn])
        self.writes.leave(entry)

    def drop(self, entry: Entry) -> None:
        """A write is here no more; what waited for it may go."""
        following = self.writes.drop(entry)
        if following is not None:
            self.queue(following, following.due)
        self.pass_barriers(entry.bucket)

    def settled(self, lsns: Iterable[int]) -> None:
        """The log has it that writes are settled: their segments need not stay for them."""
        for lsn in lsns:
            entry, following = self.writes.settled(lsn)
            if following is not None:
                self.queue(following, following.due)
            self.segments.release_entry(entry)

    def pass_barriers(self, bucket: str) -> None:
        """Let the barriers of a bucket pass that nothing is left before."""
        groups = self.writes.groups
        passed = groups.pass_barriers(bucket)
        for barrier in passed:
            self.segments.release(barrier.segment, 0)
            self.actions.add(Passed(barrier.lsn))
        if passed:
            self.queue_first_group(bucket)
        groups.forget_if_empty(bucket)
