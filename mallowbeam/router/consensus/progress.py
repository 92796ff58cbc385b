"""A leader's view of another member, which controls the messages to it (compare etcd/raft's Progress)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from mallowbeam.router.consensus.chunk_sender import ChunkSender


class ProgressState(Enum):
    """How entries are sent to a member."""

    PROBE = "probe"  # one append at a time, until the logs are known to match
    REPLICATE = "replicate"  # pipelined appends
    CHUNKED = "chunked"  # a snapshot or a large entry in chunks, nothing else


@dataclass(frozen=True, slots=True)
class InflightAppend:
    """An append with entries that is not acknowledged yet."""

    last_index: int
    payload_bytes: int


class Progress:
    """Replication progress of one other member.  Times are in seconds of the monotonic clock."""

    def __init__(self, next_index: int, now: float) -> None:
        self.state = ProgressState.PROBE
        self.match_index = 0  # last index known to be equal and durable there (Raft figure 2)
        self.next_index = next_index  # index of the next entry to send (Raft figure 2)
        self.sent_commit_index = 0
        self.acknowledged_round = 0
        self.last_contact = now  # time of the last response, at first of the member's addition
        self.probe_sent = False
        self.chunk_sender: ChunkSender | None = None  # in state CHUNKED
        self._inflight: deque[InflightAppend] = deque()
        self._inflight_bytes = 0

    @property
    def fully_acknowledged(self) -> bool:
        """Whether the member has acknowledged everything before the next entry."""
        return self.state is ProgressState.REPLICATE and self.match_index == self.next_index - 1

    def may_send(self, max_inflight_messages: int, max_inflight_bytes: int) -> bool:
        """Return whether flow control allows sending entries now."""
        if self.state is ProgressState.PROBE:
            return not self.probe_sent
        if self.state is ProgressState.CHUNKED:
            return False
        return len(self._inflight) < max_inflight_messages and self._inflight_bytes < max_inflight_bytes

    def entries_sent(self, last_index: int, payload_bytes: int) -> None:
        """Record an append of entries up to `last_index`."""
        if self.state is ProgressState.PROBE:
            self.probe_sent = True
        else:
            self.next_index = last_index + 1
            self._inflight.append(InflightAppend(last_index, payload_bytes))
            self._inflight_bytes += payload_bytes

    def start_chunks(self, sender: ChunkSender) -> None:
        """Send a snapshot or an entry in chunks from now on."""
        self.state = ProgressState.CHUNKED
        self.chunk_sender = sender
        self._clear_inflight()

    def abort_chunks(self) -> None:
        """Stop sending chunks to a member that does not respond, and probe it after its next response."""
        self.state = ProgressState.PROBE
        self.chunk_sender = None
        self.probe_sent = True

    def record_response(self, round_number: int, now: float) -> None:
        """Record a response of any kind to a message of this heartbeat round."""
        self.last_contact = now
        self.acknowledged_round = max(self.acknowledged_round, round_number)

    def recently_active(self, since: float) -> bool:
        """Return whether the member has responded at or after the time `since`."""
        return self.acknowledged_round > 0 and self.last_contact >= since

    def update_match(self, index: int) -> bool:
        """Record that the logs are equal up to `index`; return whether the match index advanced."""
        advanced = index > self.match_index
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self._inflight and self._inflight[0].last_index <= self.match_index:
            self._inflight_bytes -= self._inflight.popleft().payload_bytes
        if self.chunk_sender is not None and self.match_index < self.chunk_sender.index:
            return advanced
        self.state = ProgressState.REPLICATE
        self.chunk_sender = None
        self.probe_sent = False
        return advanced

    def handle_rejection(self, hint_index: int) -> None:
        """Move the next index back after a rejected append (Raft §5.3).

        A stale rejection, which does not move it back, is ignored; the next heartbeat probes again.
        """
        if self.state is ProgressState.CHUNKED or hint_index + 1 >= self.next_index:
            return
        next_index = max(self.match_index, hint_index) + 1
        probe_again = next_index < self.next_index or self.state is ProgressState.REPLICATE
        self.next_index = next_index
        self.state = ProgressState.PROBE
        self.probe_sent = not probe_again
        self._clear_inflight()

    def _clear_inflight(self) -> None:
        self._inflight.clear()
        self._inflight_bytes = 0
