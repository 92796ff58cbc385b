"""The fleet's log as its readers see it: typed entries in one order, and the states that follow from them.

Without I/O, and without the engine: `agreement.py` puts bytes in and calls `Log.apply` with what is
committed, the same on every member in the same order.  A *topic* is a replicated machine: its state is one
frozen value, and `apply` makes the next one of it from an entry, never from a clock, a random number or
anything local.  An entry that can't take effect changes nothing and says why (`Refusal`); everybody sees the
same refusal.

A policy pushed is offered to every topic (`pushed`) before it takes hold: one refusal refuses it whole.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, ClassVar, Protocol

import msgspec

from mallowbeam.errors import MallowbeamError

FORMAT = 1                  # of an entry's bytes; a newer one is passed over by all alike
MOST_ENTRY = 64 * 1024      # bytes of one entry

State = Any                 # a frozen msgspec.Struct of the topic's own
States = Mapping[str, State]  # by topic; all of them as they stand before this entry


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """What a member puts into the log; each topic has kinds of its own."""


class EntryTooLarge(MallowbeamError):
    """An entry beyond its bound."""

    remedy = "ask for less at once: fewer machines, tenants or rules in one push"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an entry changed nothing: what is wrong, where in it, and what to change."""

    what: str
    where: str = ""
    remedy: str = ""


class Topic(Protocol):
    """A replicated machine, the same on every member."""

    name: ClassVar[str]
    entries: ClassVar[Any]                     # the type (a union of Entry structs) that is decoded
    state: ClassVar[type]                      # the type of its state, for snapshots

    def start(self) -> State:
        """The state before any entry."""

    def apply(self, states: States, index: int, by: str, entry: Any) -> State | Refusal:
        """The next state, or why there is none; `index` counts the log's entries, `by` names the member."""

    def pushed(self, states: States, index: int, policy: Any) -> State | Refusal:
        """The next state as this policy takes hold, or why it may not."""


@dataclass(frozen=True, slots=True)
class Committed:
    """One entry that the log has committed, as it is told to a topic's readers."""

    index: int
    topic: str
    by: str                                    # the member that put it in
    entry: Entry | None                        # None: the state came whole, out of a snapshot or a push
    state: State                               # after it
    refusal: Refusal | None = None


class Log:
    """All topics' states and the entries that make them."""

    def __init__(self, topics: Sequence[Topic]) -> None:
        self.topics, self.index = topics, 0
        self.by_name = {topic.name: topic for topic in topics}
        self.states: dict[str, State] = {topic.name: topic.start() for topic in topics}

    def encode(self, topic: str, by: str, entry: Entry) -> bytes:
        """An entry's bytes; raises `EntryTooLarge`."""
        body = msgspec.msgpack.encode((FORMAT, topic, by, entry))
        if len(body) > MOST_ENTRY:
            raise EntryTooLarge(f"an entry of {len(body)} bytes, at most {MOST_ENTRY}", topic)
        return body

    def apply(self, body: bytes) -> Committed | None:
        """Take in the next committed entry; None for one that this program does not know."""
        self.index += 1
        try:
            version, name, by, raw = msgspec.msgpack.decode(body, type=tuple[int, str, str, msgspec.Raw])
            if version != FORMAT or (topic := self.by_name.get(name)) is None:
                return None
            entry = msgspec.msgpack.decode(raw, type=topic.entries)
        except (msgspec.ValidationError, msgspec.DecodeError):
            return None
        after = topic.apply(self.states, self.index, by, entry)
        if isinstance(after, Refusal):
            return Committed(self.index, name, by, entry, self.states[name], after)
        self.states[name] = after
        return Committed(self.index, name, by, entry, after)

    def push(self, policy: Any) -> list[Committed] | Refusal:
        """A policy takes hold for all topics, or is refused by one of them and for all."""
        after: dict[str, State] = {}
        for topic in self.topics:
            told = topic.pushed(self.states, self.index, policy)
            if isinstance(told, Refusal):
                return told
            after[topic.name] = told
        self.states.update(after)
        return [Committed(self.index, name, "", None, state) for name, state in after.items()]

    def dump(self) -> bytes:
        """All of it for a snapshot."""
        return msgspec.msgpack.encode((FORMAT, self.index, self.states))

    def load(self, body: bytes) -> list[Committed]:
        """Take in a snapshot whole; topics that it does not know start anew."""
        _, self.index, states = msgspec.msgpack.decode(body, type=tuple[int, int, dict[str, msgspec.Raw]])
        for topic in self.topics:
            if topic.name in states:
                self.states[topic.name] = msgspec.msgpack.decode(states[topic.name], type=topic.state)
        return [Committed(self.index, name, "", None, state) for name, state in self.states.items()]
