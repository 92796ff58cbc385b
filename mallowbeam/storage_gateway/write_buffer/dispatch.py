"""Decides which writes are sent to the nodes and when, and handles the outcomes of attempts.

No I/O and no clock of its own: the time is passed in, actions go to an `ActionQueue`.

The backoff uses full jitter (M. Brooker, "Exponential Backoff And Jitter", 2015); `limits` has the retry
budget, `shards` the windows.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from heapq import heappop, heappush

from mallowbeam.storage_gateway.write_buffer.actions import (
    ActionQueue,
    BarrierPassed,
    Intend,
    ReadBack,
    Send,
    Suspend,
)
from mallowbeam.storage_gateway.write_buffer.entries import Entry, Outcome, State
from mallowbeam.storage_gateway.write_buffer.limits import NEVER, Limits, RetryBudget
from mallowbeam.storage_gateway.write_buffer.pending_writes import PendingWrites
from mallowbeam.storage_gateway.write_buffer.segments import SegmentTable
from mallowbeam.storage_gateway.write_buffer.shards import Shard, ShardTable

WINDOW_MARGIN_S = 0.25  # of the deduplication window left unused, for transit time and the node's clock
MIN_ATTEMPT_S = 0.1  # no attempt is begun with less time left
NODE_DROP_S = 0.5  # after its deadline, until a node has dropped a call that it has not begun
MAX_DOUBLINGS = 30  # of the backoff
MIN_RETRY_AFTER_JITTER = 0.5  # a shard is blocked for at least this fraction of Retry-After


class Dispatch:
    """Sends writes in their order, retries them, reads them back, and finishes them."""

    def __init__(
        self,
        limits: Limits,
        rng: random.Random,
        writes: PendingWrites,
        segments: SegmentTable,
        actions: ActionQueue,
    ) -> None:
        self.limits = limits
        self.shards = ShardTable(limits)
        self._random = rng
        self._writes = writes
        self._segments = segments
        self._actions = actions
        self._budget = RetryBudget(limits)
        self._ready: list[tuple[float, int]] = []  # a heap of due time and lsn

    # --- what is sent ---------------------------------------------------------------------------

    def plan(self, now: float, allowed: int) -> None:
        """Choose the writes to send now, so that no more than `allowed` attempts are in flight."""
        intending: list[int] = []
        for parked in self.shards.unpark():
            self.queue(parked, parked.due_at)
        capacity = allowed - self.shards.in_flight
        while capacity > 0 and (entry := self._pop_ready(now)) is not None:
            if self._must_wait(entry, now):
                continue
            if self._exceeds_flush_bytes(entry):
                self.queue(entry, now)  # smaller writes must not overtake it for ever
                break
            if self._start(entry, now, intending):
                self.shards.begin(entry)
                capacity -= 1
        if intending:
            self._actions.add(Intend(intending))

    def next_wakeup(self) -> float:
        """When `plan` should be called again, unless another event happens first."""
        return self._ready[0][0] if self._ready else NEVER

    def queue(self, entry: Entry, due_at: float) -> None:
        """Queue a write for `due_at`; one that must wait for other writes is queued after them."""
        entry.due_at = due_at
        if not entry.queued and self._writes.may_send(entry):
            entry.queued = True
            heappush(self._ready, (due_at, entry.lsn))

    def queue_first_group(self, bucket: str) -> None:
        """Queue the writes of a bucket that no pending barrier precedes."""
        for entry in self._writes.groups.first_group(bucket):
            self.queue(entry, entry.due_at)

    def _pop_ready(self, now: float) -> Entry | None:
        """Remove and return the first queued write that is due and next in its order."""
        while self._ready and self._ready[0][0] <= now:
            _, lsn = heappop(self._ready)
            entry = self._writes.entries.get(lsn)
            if entry is None or not entry.queued:
                continue
            entry.queued = False
            if self._writes.may_send(entry):
                return entry
        return None

    def _must_wait(self, entry: Entry, now: float) -> bool:
        """Queue or park a write that has to wait for its due time or its shard; returns whether it has to."""
        if entry.due_at > now:
            self.queue(entry, entry.due_at)
            return True
        shard = self.shards.of(entry)
        if shard.blocked_until > now:
            self.queue(entry, shard.blocked_until)
            return True
        if shard.is_full:
            self.shards.park(entry)
            return True
        return False

    def _exceeds_flush_bytes(self, entry: Entry) -> bool:
        in_flight = self.shards.in_flight_bytes
        return bool(in_flight) and in_flight + entry.size > self.limits.flush_bytes

    def _start(self, entry: Entry, now: float, intending: list[int]) -> bool:
        """Begin the next step of a write; False if it has to wait."""
        if entry.uncertain_since is not None:
            return self._retry_uncertain(entry, now)
        if entry.intent_at is not None:
            self._send(entry, now, NEVER)
            return True
        if not entry.attempted:
            self._budget.first_attempt()
        entry.attempted = True
        entry.state = State.INTENDING
        intending.append(entry.lsn)
        return True

    def _retry_uncertain(self, entry: Entry, now: float) -> bool:
        """Retry a write that may have run, or read it back; False if it has to wait."""
        remaining = self._remaining_window(entry, now)
        if remaining < MIN_ATTEMPT_S:
            return self._read_back(entry, now)
        wait = self._budget.wait(now)
        if wait:
            if wait >= remaining - MIN_ATTEMPT_S:
                entry.uncertain_since = -NEVER  # no retry before the window ends: it is read back
            self.queue(entry, now + wait)
            return False
        self._writes.counts.retries += 1
        self._send(entry, now, remaining)
        return True

    def _remaining_window(self, entry: Entry, now: float) -> float:
        """Seconds for which a write that may have run may still be retried under its idempotency key."""
        limits = self.limits
        if not limits.keyed or entry.uncertain_since is None:
            return 0.0
        if limits.window is None:
            return NEVER
        return entry.uncertain_since + limits.window - WINDOW_MARGIN_S - now

    def _send(self, entry: Entry, now: float, remaining: float) -> None:
        entry.state = State.SENDING
        entry.last_attempt_at = now
        self._actions.add(Send(entry.lsn, min(self.limits.deadline, remaining), entry.expected_version))

    def _read_back(self, entry: Entry, now: float) -> bool:
        """Read back from the node, once the last attempt can no longer run there."""
        earliest = entry.last_attempt_at + self.limits.deadline + NODE_DROP_S
        if earliest > now:
            self.queue(entry, earliest)
            return False
        entry.state = State.READING_BACK
        self._writes.counts.read_back += 1
        self._actions.add(ReadBack(entry.lsn, self.limits.deadline))
        return True

    # --- outcomes -------------------------------------------------------------------------------

    def intent_durable(self, now: float, lsns: Iterable[int]) -> None:
        """Note that the intent to send these writes is durable."""
        for lsn in lsns:
            entry = self._writes.entries[lsn]
            entry.intent_at = now
            self._send(entry, now, NEVER)

    def intent_lost(self, now: float, lsns: Iterable[int]) -> None:
        """Note that the intent could not be recorded: these writes are not sent yet."""
        for lsn in lsns:
            entry = self._writes.entries[lsn]
            self.shards.end(entry)
            entry.state = State.READY
            self._back_off(entry, now, 0.0)

    def attempt_ended(self, now: float, lsn: int, outcome: Outcome, retry_after: float, reason: str) -> None:
        """Note how an attempt ended; `retry_after` is the delay in seconds that a rejection asked for."""
        entry = self._writes.entries[lsn]
        shard = self.shards.end(entry)
        if outcome is Outcome.STORED:
            self._writes.counts.stored += 1
            shard.widen(self.limits.per_shard)
            self.finish(entry)
        elif outcome is Outcome.DECLINED:
            self._suspend(entry, reason)
        else:
            self._attempt_failed(now, entry, shard, outcome, retry_after)

    def _attempt_failed(
        self, now: float, entry: Entry, shard: Shard, outcome: Outcome, retry_after: float
    ) -> None:
        """Schedule the retry of a write whose attempt was rejected or has an unknown outcome."""
        shard.narrow()
        entry.failed_attempts += 1
        if outcome is Outcome.REJECTED:
            self._writes.counts.rejected += 1
            delay = retry_after * self._random.uniform(MIN_RETRY_AFTER_JITTER, 1.0)
            shard.blocked_until = max(shard.blocked_until, now + delay)
        elif entry.uncertain_since is None:
            entry.uncertain_since = entry.last_attempt_at
        entry.state = State.READY if entry.uncertain_since is None else State.UNCERTAIN
        self._back_off(entry, now, retry_after)

    def version_read(self, now: float, lsn: int, version: str | None, answered: bool) -> None:
        """Note which version a node has (None for no object), or that it has not `answered`."""
        entry = self._writes.entries[lsn]
        self.shards.end(entry)
        entry.state = State.UNCERTAIN
        is_delete = entry.method == "DELETE"
        if not answered:
            entry.failed_attempts += 1
            self._back_off(entry, now, 0.0)
        elif version == (None if is_delete else entry.etag):
            self._writes.counts.stored += 1
            self.finish(entry)
        elif version is not None and not is_delete and not self.limits.sole_writer:
            self._suspend(entry, "its attempt has no known end, and the node has another version")
        else:
            # The attempt did not run and no longer can: a new first attempt is conditional on this version.
            entry.expected_version = version or ""
            entry.intent_at = None
            entry.uncertain_since = None
            entry.state = State.READY
            self.queue(entry, now)

    def _back_off(self, entry: Entry, now: float, at_least: float) -> None:
        """Queue a write after `at_least` seconds (a rejection's request) plus a backoff with full jitter."""
        limits = self.limits
        doublings = min(entry.failed_attempts, MAX_DOUBLINGS)
        longest = min(limits.max_backoff, limits.backoff * 2.0**doublings)
        self.queue(entry, now + at_least + self._random.uniform(0.0, longest))

    # --- suspended until an operator decides ----------------------------------------------------

    def suspend(self, lsn: int, reason: str) -> None:
        """Suspend a write whose bytes can no longer be read."""
        entry = self._writes.entries[lsn]
        if entry.state in (State.SENDING, State.READING_BACK):
            self.shards.end(entry)
        self._suspend(entry, reason)

    def release(self, now: float, lsn: int, drop: bool) -> bool:
        """Resume or drop a suspended write for an operator; False if no suspended write has that lsn."""
        entry = self._writes.entries.get(lsn)
        if entry is None or entry.state is not State.SUSPENDED:
            return False
        self._writes.suspended -= 1
        entry.reason = ""
        entry.state = State.READY
        if drop:
            self.finish(entry)
            return True
        entry.intent_at = None
        entry.uncertain_since = None
        entry.expected_version = None
        self._writes.resume_age(entry)
        self._actions.add(Suspend(lsn, ""))
        self.queue(entry, now)
        return True

    def _suspend(self, entry: Entry, reason: str) -> None:
        entry.state = State.SUSPENDED
        entry.reason = reason
        self._writes.suspended += 1
        self._writes.counts.suspended += 1
        self._actions.add(Suspend(entry.lsn, reason))

    # --- finished writes ------------------------------------------------------------------------

    def finish(self, entry: Entry) -> None:
        """Finish a write: request its done record, and queue the writes that waited for it."""
        self.drop(entry)
        self._actions.record_done([entry.lsn])
        self._writes.begin_finishing(entry)

    def drop(self, entry: Entry) -> None:
        """Remove a write from the pending ones, and queue the writes that waited for it."""
        following = self._writes.remove(entry)
        if following is not None:
            self.queue(following, following.due_at)
        self.pass_barriers(entry.bucket)

    def done_durable(self, lsns: Iterable[int]) -> None:
        """Note that the log has recorded these writes as done: they no longer need their segments."""
        for lsn in lsns:
            entry, following = self._writes.end_finishing(lsn)
            if following is not None:
                self.queue(following, following.due_at)
            self._segments.release_entry(entry)

    def pass_barriers(self, bucket: str) -> None:
        """Let the barriers of a bucket pass that have no pending writes before them."""
        groups = self._writes.groups
        passed = groups.pass_barriers(bucket)
        for barrier in passed:
            self._segments.release(barrier.segment, 0)
            self._actions.add(BarrierPassed(barrier.lsn))
        if passed:
            self.queue_first_group(bucket)
        groups.forget_if_empty(bucket)
