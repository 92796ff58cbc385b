"""Writes to storage: submitted and durable state, and the messages that wait for durability."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mallowbeam.router.consensus.interface import HardState, Send, Write
from mallowbeam.router.consensus.log import RaftLog
from mallowbeam.router.rpc.messages_pb2 import Entry, RaftMessage, Snapshot


@dataclass(slots=True)
class InflightWrite:
    """A write that was submitted to storage and is not known to be durable."""

    ticket: int
    submitted_at: float  # in seconds of the monotonic clock
    last_index: int  # becomes durable with it; lowered when entries are truncated
    hard_state: HardState


class Persistence:
    """Owns the hard state and the outgoing messages, some of which wait for writes."""

    def __init__(self, hard_state: HardState, log: RaftLog) -> None:
        self._log = log
        self._ticket = 0
        self._inflight: deque[InflightWrite] = deque()
        self._submitted_state = hard_state
        self._snapshot: Snapshot | None = None
        self._after_write: list[Send] = []
        self.hard_state = hard_state
        self.durable_state = hard_state
        self.durable_index = log.last_index
        self.send: list[Send] = []

    @property
    def state_is_durable(self) -> bool:
        """Whether the current term and vote are durable."""
        return self.durable_state == self.hard_state

    def set_state(self, term: int, vote: int) -> None:
        """Set term and vote; messages that depend on them wait until they are durable."""
        self.hard_state = HardState(term, vote)

    def send_now(self, recipient: int, message: RaftMessage) -> None:
        """Send a message without waiting for storage."""
        self.send.append(Send(recipient, message))

    def send_after_write(self, recipient: int, message: RaftMessage) -> None:
        """Send a message once the current hard state and log are durable."""
        self._after_write.append(Send(recipient, message))

    def respond(self, recipient: int, message: RaftMessage) -> None:
        """Send a message once the current term and vote are durable."""
        if self.state_is_durable:
            self.send_now(recipient, message)
        else:
            self.send_after_write(recipient, message)

    def entries_truncated(self, first: int) -> None:
        """Record that entries from `first` on were truncated: writes in flight do not make them durable."""
        self.durable_index = min(self.durable_index, first - 1)
        for write in self._inflight:
            write.last_index = min(write.last_index, first - 1)

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot that this member has taken."""
        self._snapshot = snapshot

    def write_installed_snapshot(self, snapshot: Snapshot) -> None:
        """Write a leader's snapshot, which replaces the log."""
        self.entries_truncated(1)
        self._snapshot = snapshot

    def next_write(self, now: float) -> Write | None:
        """Return the next write, or None if there is nothing to write or to order after writes in flight."""
        state = self.hard_state if self.hard_state != self._submitted_state else None
        entries = tuple(self._log.slice(self._log.first_unwritten, self._log.last_index))
        has_content = state is not None or bool(entries) or self._snapshot is not None
        if not has_content and not self._inflight:
            self.send += self._after_write  # everything is durable
            self._after_write = []
            return None
        if not has_content and not self._after_write:
            return None
        return self._submit(state, entries, now)

    def _submit(self, state: HardState | None, entries: tuple[Entry, ...], now: float) -> Write:
        self._ticket += 1
        write = Write(self._ticket, state, entries, self._snapshot, tuple(self._after_write))
        self._inflight.append(InflightWrite(self._ticket, now, self._log.last_index, self.hard_state))
        self._log.first_unwritten = self._log.last_index + 1
        self._submitted_state = self.hard_state
        self._snapshot = None
        self._after_write = []
        return write

    def take_messages(self) -> list[Send]:
        """Remove and return the messages to send immediately."""
        send = self.send
        self.send = []
        return send

    def written(self, ticket: int) -> None:
        """Record that all writes up to `ticket` are durable."""
        while self._inflight and self._inflight[0].ticket <= ticket:
            write = self._inflight.popleft()
            self.durable_index = max(self.durable_index, write.last_index)
            self.durable_state = write.hard_state

    def oldest_inflight_submitted_at(self) -> float | None:
        """Return the submission time of the oldest write in flight, or None without one."""
        return self._inflight[0].submitted_at if self._inflight else None
