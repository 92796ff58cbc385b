"""A reference model of the replica store's contents, and random batches of writes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from mallowbeam.router.consensus.interface import HardState, PersistentState, Write
from mallowbeam.router.rpc.messages_pb2 import COMMAND, Entry, Member, Membership, Snapshot

IDENTITY = 0x8000_0000_0000_0001
FIRST = Snapshot(membership=Membership(members=[Member(id=IDENTITY, address="10.0.0.1:1", voter=True)]))
JOINT = Membership(members=FIRST.membership.members, target_voters=3, outgoing_voters=[IDENTITY, 5, 7])


@dataclass(frozen=True, slots=True)
class Model:
    """Expected contents of a store."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = field(default_factory=lambda: FIRST)
    entries: tuple[Entry, ...] = ()

    @property
    def last(self) -> int:
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

    def restored(self) -> PersistentState:
        """Return the state that `load` must return."""
        return PersistentState(self.hard_state, self.snapshot, self.entries)


def draw_entries(first: int, count: int, term: int, chance: random.Random) -> tuple[Entry, ...]:
    """Return random entries from index `first` on; some fill several pages."""
    return tuple(
        Entry(index=first + position, term=term, kind=COMMAND, payload=draw_bytes(chance))
        for position in range(count)
    )


def draw_bytes(chance: random.Random) -> bytes:
    """Return a random payload, mostly a small one."""
    size = chance.randint(0, 300) if chance.random() < 0.9 else chance.randint(1500, 20000)
    return chance.randbytes(size)


def draw_write(model: Model, ticket: int, chance: random.Random) -> Write:
    """Return a random write that is valid for a store with these contents."""
    term = model.hard_state.term
    kind = chance.randrange(10)
    if kind < 4:  # append
        return Write(ticket, None, draw_entries(model.last + 1, chance.randint(1, 12), term, chance))
    if kind < 6:  # conflict: replaces the end of the log
        first = chance.randint(model.snapshot.index + 1, model.last + 1)
        entries = draw_entries(first, chance.randint(1, 6), term + 1, chance)
        return Write(ticket, HardState(term + 1, chance.randrange(9)), entries)
    if kind == 6:
        return Write(ticket, HardState(term + 1, chance.randrange(9)))
    if kind < 9 and model.entries:  # own snapshot of applied entries
        known = chance.choice(model.entries)
        return Write(ticket, None, (), draw_snapshot(known.index, known.term, chance))
    snapshot = draw_snapshot(model.last + chance.randint(1, 5), term, chance)  # a leader's snapshot
    return Write(ticket, None, draw_entries(snapshot.index + 1, chance.randint(0, 3), term, chance), snapshot)


def draw_snapshot(index: int, term: int, chance: random.Random) -> Snapshot:
    """Return a snapshot with a random state."""
    membership = JOINT if index % 3 == 0 else FIRST.membership
    return Snapshot(index=index, term=term, membership=membership, state=draw_bytes(chance))


def draw_batch(model: Model, chance: random.Random) -> list[Write]:
    """Return one to three random writes that are valid in this order."""
    writes: list[Write] = []
    for ticket in range(chance.choice((1, 1, 2, 3))):
        write = draw_write(model, ticket, chance)
        writes.append(write)
        model = model.after(write)
    return writes
