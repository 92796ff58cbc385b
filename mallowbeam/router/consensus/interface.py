"""What goes into the Raft core and what comes out of it.

The host (``control_plane``) drives one :class:`~mallowbeam.router.consensus.node.RaftNode`: it passes ticks,
messages and proposals in, with the steady clock's time in seconds, then calls ``output()`` and does what it
says, in this order:

1. send ``Output.send`` at once;
2. hand ``Output.write`` to storage; writes are made durable in the order in which they were handed over;
3. once a write is durable, send its ``Write.then_send`` and call ``RaftNode.written(ticket, now)``;
4. install ``Output.install``, then apply ``Output.committed`` in order; answer ``Output.reads``.

Entries may be committed, and so applied, before this member's own storage has written them: a majority has.
A write with neither hard state, entries nor snapshot is there for its ``then_send``'s place in the order.
At the start the host installs ``Restored.snapshot`` itself; committed entries behind it come by ``output()``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowbeam.router.rpc.messages_pb2 import Entry, RaftMessage, Snapshot


@dataclass(frozen=True, slots=True)
class HardState:
    """What must be durable before a vote or an acknowledgement leaves."""

    term: int = 0
    vote: int = 0  # member id; 0: none in this term


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Times in seconds, bounds in entries and bytes."""

    member_id: int
    heartbeat: float = 0.1
    election_least: float = 0.4  # an election timeout is drawn between these two
    election_most: float = 0.8
    stalled_write: float = 0.8  # a leader whose own write takes longer steps down
    entries_per_message: int = 64
    bytes_per_message: int = 1 << 17  # one entry that is larger goes alone
    messages_in_flight: int = 16  # appends to one follower that are not yet answered
    bytes_in_flight: int = 1 << 20  # of entries in them; one message may reach over it
    chunked_entry: int = 1 << 17  # an entry with a larger payload goes in chunks
    uncommitted_entries: int = 4096  # proposals beyond it are refused
    uncommitted_bytes: int = 8 << 20  # proposals on top of so many are refused
    pending_reads: int = 4096  # reads beyond it are refused (not confirmed)
    trailing_entries: int = 1024  # kept in memory before a snapshot, for slow followers
    trailing_bytes: int = 16 << 20  # of them, and of those behind a snapshot that is being sent
    snapshot_instead: int = 1 << 20  # a snapshot smaller by so much goes in place of entries
    chunk: int = 1 << 15  # bytes of a snapshot or a large entry in one message
    chunk_window: int = 1 << 18  # bytes of them on their way to one member
    chunk_retry: float = 1.0  # without progress, what is not acknowledged is sent again
    transfer_kept: float = 10.0  # one is given up once the member was silent for so long
    most_transfer: int = 64 << 20  # a follower takes no larger snapshot or entry


@dataclass(frozen=True, slots=True)
class Restored:
    """What storage found: the state from which a member starts again."""

    hard_state: HardState
    snapshot: Snapshot  # a founder's holds the membership, a joiner's is empty
    entries: tuple[Entry, ...] = ()  # behind the snapshot, without a gap


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another member."""

    recipient: int
    message: RaftMessage


@dataclass(frozen=True, slots=True)
class Write:
    """One durable step: first the snapshot, then entries, which replace all at their first index and behind.

    A snapshot drops the entries it covers. It drops those behind it too, unless storage holds an entry with
    the snapshot's index and term: without it, the snapshot is a leader's, in place of a log that differs.
    """

    ticket: int  # rises with each write
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    then_send: tuple[Send, ...] = ()  # only once the write is durable

    def size(self) -> int:
        """Bytes that it brings to storage, but for what storage adds."""
        size = sum(entry.ByteSize() for entry in self.entries)
        return size + (self.snapshot.ByteSize() if self.snapshot is not None else 0)


@dataclass(frozen=True, slots=True)
class ReadResult:
    """A linearizable read: state may be read once ``index`` is applied; refused unless ``confirmed``."""

    read_id: int
    confirmed: bool
    index: int = 0


@dataclass(frozen=True, slots=True)
class Proposal:
    """Where a proposal stands in the log: it takes effect once that entry, of that term, is committed."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class MemberProgress:
    """What a leader knows of a member."""

    match_index: int  # last index known to be equal and durable there
    silence: float  # seconds since it was last heard of


@dataclass(slots=True)
class Output:
    """What the host is to do."""

    send: list[Send] = field(default_factory=list)
    write: Write | None = None
    install: Snapshot | None = None
    committed: list[Entry] = field(default_factory=list)
    reads: list[ReadResult] = field(default_factory=list)
