"""A reference model of the replica store's contents, and random batches of writes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from mallowbeam.router.consensus.interface import HardState, PersistentState, Write
from mallowbeam.router.rpc.messages_pb2 import COMMAND, Entry, Member, Membership, Snapshot

IDENTITY = 0x8000_0000_0000_0001
INITIAL_SNAPSHOT = Snapshot(
    membership=Membership(members=[Member(id=IDENTITY, address="10.0.0.1:1", voter=True)])
)
JOINT_MEMBERSHIP = Membership(
    members=INITIAL_SNAPSHOT.membership.members, target_voters=3, outgoing_voters=[IDENTITY, 5, 7]
)


@dataclass(frozen=True, slots=True)
class Model:
    """Expected contents of a store."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = field(default_factory=lambda: INITIAL_SNAPSHOT)
    entries: tuple[Entry, ...] = ()

    @property
    def last_index(self) -> int:
        """Highest index of the entries or the snapshot."""
        return self.snapshot.index + len(self.entries)

    def after(self, write: Write) -> Model:
        """Return the contents after a write."""
        snapshot, entries = self.snapshot, {entry.index: entry for entry in self.entries}
        changes = [write.entries, write.snapshot]
        if write.snapshot is not None and write.entries and write.entries[0].index > write.snapshot.index:
            changes.reverse()
        for change in changes:
            if isinstance(change, Snapshot):
                known = entries.get(change.index)
                if change.index != snapshot.index and (known is None or known.term != change.term):
                    entries = {}
                snapshot = change
                entries = {index: entry for index, entry in entries.items() if index > change.index}
            elif change:
                entries = {index: entry for index, entry in entries.items() if index < change[0].index}
                entries |= {entry.index: entry for entry in change if entry.index > snapshot.index}
        hard_state = write.hard_state or self.hard_state
        return replace(self, hard_state=hard_state, snapshot=snapshot, entries=tuple(entries.values()))

    def after_all(self, writes: list[Write]) -> Model:
        """Return the contents after a batch of writes."""
        model = self
        for write in writes:
            model = model.after(write)
        return model

    def persistent_state(self) -> PersistentState:
        """Return the state that `load` must return."""
        return PersistentState(self.hard_state, self.snapshot, self.entries)


def draw_entries(first: int, count: int, term: int, rng: random.Random) -> tuple[Entry, ...]:
    """Return random entries from index `first` on; some fill several pages."""
    return tuple(
        Entry(index=first + position, term=term, kind=COMMAND, payload=draw_bytes(rng))
        for position in range(count)
    )


def draw_bytes(rng: random.Random) -> bytes:
    """Return a random payload, mostly a small one."""
    size = rng.randint(0, 300) if rng.random() < 0.9 else rng.randint(1500, 20000)
    return rng.randbytes(size)


def draw_write(model: Model, ticket: int, rng: random.Random) -> Write:
    """Return a random write that is valid for a store with these contents."""
    term = model.hard_state.term
    kind = rng.randrange(10)
    if kind < 4:  # append
        return Write(ticket, None, draw_entries(model.last_index + 1, rng.randint(1, 12), term, rng))
    if kind < 6:  # conflict: replaces the end of the log
        first = rng.randint(model.snapshot.index + 1, model.last_index + 1)
        entries = draw_entries(first, rng.randint(1, 6), term + 1, rng)
        return Write(ticket, HardState(term + 1, rng.randrange(9)), entries)
    if kind == 6:
        return Write(ticket, HardState(term + 1, rng.randrange(9)))
    if kind < 9 and model.entries:  # own snapshot of applied entries
        known = rng.choice(model.entries)
        return Write(ticket, None, (), draw_snapshot(known.index, known.term, rng))
    snapshot = draw_snapshot(model.last_index + rng.randint(1, 5), term, rng)  # a leader's snapshot
    return Write(ticket, None, draw_entries(snapshot.index + 1, rng.randint(0, 3), term, rng), snapshot)


def draw_snapshot(index: int, term: int, rng: random.Random) -> Snapshot:
    """Return a snapshot with a random state."""
    membership = JOINT_MEMBERSHIP if index % 3 == 0 else INITIAL_SNAPSHOT.membership
    return Snapshot(index=index, term=term, membership=membership, state=draw_bytes(rng))


def draw_batch(model: Model, rng: random.Random) -> list[Write]:
    """Return one to three random writes that are valid in this order."""
    writes: list[Write] = []
    for ticket in range(rng.choice((1, 1, 2, 3))):
        write = draw_write(model, ticket, rng)
        writes.append(write)
        model = model.after(write)
    return writes
