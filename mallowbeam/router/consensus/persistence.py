"""What storage was given and what of it is durable; messages that wait for it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mallowbeam.router.consensus.interface import HardState, Send, Write
from mallowbeam.router.consensus.log import RaftLog
from mallowbeam.router.rpc.messages_pb2 import RaftMessage, Snapshot


@dataclass(slots=True)
class OutstandingWrite:
    """A write that was handed to storage and is not yet known to be durable."""

    ticket: int
    since: float  # the steady clock's time at which it was handed over
    last_index: int  # durable with it; falls when entries are dropped meanwhile
    hard_state: HardState


class Persistence:
    """Owner of the hard state. Collects what is to be written, and messages to send at once or after it."""

    def __init__(self, hard_state: HardState, log: RaftLog) -> None:
        self._log = log
        self._ticket = 0
        self._outstanding: deque[OutstandingWrite] = deque()
        self._handed_state = hard_state
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
        """Change term or vote; messages that rest on them wait until they are durable."""
        self.hard_state = HardState(term, vote)

    def send_now(self, recipient: int, message: RaftMessage) -> None:
        """Send without waiting for storage."""
        self.send.append(Send(recipient, message))

    def send_after_write(self, recipient: int, message: RaftMessage) -> None:
        """Send once all that is known now is durable."""
        self._after_write.append(Send(recipient, message))

    def answer(self, recipient: int, message: RaftMessage) -> None:
        """Send once the current term and vote are durable."""
        if self.state_is_durable:
            self.send_now(recipient, message)
        else:
            self.send_after_write(recipient, message)

    def entries_dropped(self, first: int) -> None:
        """Entries from `first` on were dropped: writes under way no longer make them durable."""
        self.durable_index = min(self.durable_index, first - 1)
        for write in self._outstanding:
            write.last_index = min(write.last_index, first - 1)

    def put_snapshot(self, snapshot: Snapshot) -> None:
        """Write an own snapshot."""
        self._snapshot = snapshot

    def put_installed(self, snapshot: Snapshot) -> None:
        """Write a leader's snapshot, which takes the place of the log."""
        self.entries_dropped(1)
        self._snapshot = snapshot

    def take_write(self, now: float) -> Write | None:
        """The next write, if there is anything to write or to send after writes under way."""
        state = self.hard_state if self.hard_state != self._handed_state else None
        entries = tuple(self._log.slice(self._log.first_unwritten, self._log.last_index))
        holds = state is not None or bool(entries) or self._snapshot is not None
        if not holds and not self._outstanding:
            self.send += self._after_write  # all of it is durable
            self._after_write = []
            return None
        if not holds and not self._after_write:
            return None
        self._ticket += 1
        write = Write(self._ticket, state, entries, self._snapshot, tuple(self._after_write))
        self._outstanding.append(OutstandingWrite(self._ticket, now, self._log.last_index, self.hard_state))
        self._log.first_unwritten = self._log.last_index + 1
        self._handed_state = self.hard_state
        self._snapshot = None
        self._after_write = []
        return write

    def take_send(self) -> list[Send]:
        """The messages to send at once."""
        send, self.send = self.send, []
        return send

    def written(self, ticket: int) -> None:
        """All writes up to `ticket` are durable."""
        while self._outstanding and self._outstanding[0].ticket <= ticket:
            write = self._outstanding.popleft()
            self.durable_index = max(self.durable_index, write.last_index)
            self.durable_state = write.hard_state

    def outstanding_since(self) -> float | None:
        """When the oldest write under way was handed over; None where none is under way."""
        return self._outstanding[0].since if self._outstanding else None
