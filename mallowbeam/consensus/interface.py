"""What goes into the Raft core and what comes out of it.

The host (``control_plane``) drives one :class:`RaftNode`: it hands in ticks, messages
and proposals with the steady clock's time in seconds, then calls ``output()`` and does what it says, in this order:

1. send ``Output.send`` at once;
2. hand ``Output.write`` to storage; writes are made durable in the order in which they were handed over;
3. once a write is durable, send its ``Write.then_send`` and call ``RaftNode.written(ticket, now)``;
4. install ``Output.install``, then apply ``Output.committed`` in order; answer ``Output.reads``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowbeam.rpc.messages_pb2 import Entry, RaftMessage, Snapshot


@dataclass(frozen=True, slots=True)
class HardState:
    """What must be durable before a vote or an acknowledgement leaves."""

    term: int = 0
    vote: int = 0                              # member id; 0: none in this term


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Times in seconds, bounds in entries and bytes."""

    member_id: int
    heartbeat: float = 0.1
    election_least: float = 0.4                # an election timeout is drawn between these two
    election_most: float = 0.8
    stalled_write: float = 0.8                 # a leader whose own write takes longer steps down
    entries_per_message: int = 64
    bytes_per_message: int = 1 << 20


@dataclass(frozen=True, slots=True)
class Restored:
    """What storage found: the state from which a member starts again."""

    hard_state: HardState
    snapshot: Snapshot                         # always there: the first one holds the first membership
    entries: tuple[Entry, ...] = ()            # behind the snapshot, without a gap


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another member."""

    recipient: int
    message: RaftMessage


@dataclass(frozen=True, slots=True)
class Write:
    """One durable step. Entries replace all that storage holds at their first index and behind it."""

    ticket: int                                # rises with each write
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None           # entries up to its index may be dropped
    then_send: tuple[Send, ...] = ()           # only once the write is durable


@dataclass(frozen=True, slots=True)
class ReadResult:
    """A linearizable read: once ``index`` is applied, state may be read; refused where ``confirmed`` is False."""

    read_id: int
    confirmed: bool
    index: int = 0


@dataclass(slots=True)
class Output:
    """What the host is to do."""

    send: list[Send] = field(default_factory=list)
    write: Write | None = None
    install: Snapshot | None = None
    committed: list[Entry] = field(default_factory=list)
    reads: list[ReadResult] = field(default_factory=list)
