"""Types that pass between the Raft core and its host.

The host (``control_plane``) drives one :class:`~mallowbeam.router.consensus.node.RaftNode`.  It passes in
ticks, messages and proposals together with the monotonic clock's time in seconds, then calls ``output()``
and processes the result in this order (compare ``Ready`` of etcd/raft):

1. send ``Output.send`` immediately;
2. submit ``Output.write`` to storage; writes become durable in the order of their submission;
3. once a write is durable, send its ``Write.send_when_durable`` and call ``RaftNode.written(ticket, now)``;
4. install ``Output.install``, then apply ``Output.committed`` in order; answer ``Output.reads``.

Entries may be committed, and therefore applied, before this member's own storage has written them, because
other voters form a majority that has.  A write without hard state, entries and snapshot only orders its
``send_when_durable`` after the writes before it.  At start the host installs ``PersistentState.snapshot``
itself; committed entries after the snapshot come from ``output()``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from mallowbeam.router.rpc.messages_pb2 import Entry, RaftMessage, Snapshot

NO_VOTE: Final = 0  # member ids start at 1


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, which must be durable before a vote or an acknowledgement is sent (Raft figure 2)."""

    term: int = 0
    vote: int = NO_VOTE  # id of the member voted for in this term


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Settings of one member: durations in seconds, sizes in bytes, counts in entries or messages."""

    member_id: int
    heartbeat_interval: float = 0.1
    election_timeout_min: float = 0.4  # each election timeout is uniformly random in [min, max]
    election_timeout_max: float = 0.8
    write_stall_timeout: float = 0.8  # a leader steps down when one of its writes takes longer
    max_entries_per_message: int = 64
    max_bytes_per_message: int = 1 << 17  # a single larger entry is sent alone
    max_inflight_messages: int = 16  # unacknowledged appends per follower
    max_inflight_bytes: int = 1 << 20  # payload bytes in them; the last message may exceed it
    chunked_entry_bytes: int = 1 << 17  # entries with a larger payload are sent in chunks
    max_uncommitted_entries: int = 4096  # further proposals are rejected
    max_uncommitted_bytes: int = 8 << 20  # further proposals are rejected
    max_pending_reads: int = 4096  # further reads are rejected
    trailing_entries: int = 1024  # entries before the snapshot that stay in memory for slow followers
    trailing_bytes: int = 16 << 20  # payload bytes of these, and of entries after a snapshot being sent
    snapshot_preferred_bytes: int = 1 << 20  # send a snapshot instead of entries if it saves more than this
    chunk_bytes: int = 1 << 15  # payload bytes of one chunk of a snapshot or of a large entry
    chunk_window_bytes: int = 1 << 18  # unacknowledged chunk bytes per follower
    chunk_retry_timeout: float = 1.0  # resend unacknowledged chunks after this long without progress
    chunk_abort_timeout: float = 10.0  # abort sending chunks to a member without contact for this long
    max_chunked_bytes: int = 64 << 20  # a follower ignores larger snapshots and entries


@dataclass(frozen=True, slots=True)
class PersistentState:
    """The durable state of a member, as loaded from storage at start."""

    hard_state: HardState
    snapshot: Snapshot  # of a founding member: the first membership; of a joining member: empty
    entries: tuple[Entry, ...] = ()  # contiguous from `snapshot.index + 1`


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another member."""

    recipient: int
    message: RaftMessage


@dataclass(frozen=True, slots=True)
class Write:
    """One durable step: the snapshot, then the entries, which replace all entries from their first index on.

    A snapshot drops the entries that it covers.  It drops the later ones too, unless storage has an entry
    with the snapshot's index and term: without such an entry the log conflicts with the leader's (Raft §7).
    """

    ticket: int  # increases with each write
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    send_when_durable: tuple[Send, ...] = ()

    def size(self) -> int:
        """Return the encoded size of entries and snapshot in bytes, without the overhead of storage."""
        size = sum(entry.ByteSize() for entry in self.entries)
        return size + (self.snapshot.ByteSize() if self.snapshot is not None else 0)


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a linearizable read: if `confirmed`, state may be read once `index` is applied."""

    read_id: int
    confirmed: bool
    index: int = 0  # the read index


@dataclass(frozen=True, slots=True)
class Proposal:
    """Log position of a proposal, which takes effect if this index is committed with this term."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class MemberProgress:
    """A leader's view of another member."""

    match_index: int  # last index known to be equal and durable there
    since_response_s: float  # seconds since the last response


@dataclass(slots=True)
class Output:
    """Work for the host, to be processed in the order given in the module docstring."""

    send: list[Send] = field(default_factory=list)
    write: Write | None = None
    install: Snapshot | None = None
    committed: list[Entry] = field(default_factory=list)
    reads: list[ReadResult] = field(default_factory=list)
