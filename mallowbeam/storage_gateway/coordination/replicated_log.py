"""The fleet's log as its readers see it: typed entries in one order, and the states that follow from them.

Without I/O, and without the engine: `raft_node.py` puts bytes in and calls `ReplicatedLog.apply` with what is
committed, the same on every member in the same order.  A *topic* is a replicated machine: its state is one
frozen value, and `apply` makes the next one of it from an entry, never from a clock, a random number or
anything local.  An entry that can't take effect changes nothing and says why (`Refusal`); everybody sees the
same refusal.

A policy pushed is offered to every topic (`apply_policy`) before it takes hold: one refusal refuses it whole.

What a topic raises unforeseen counts as a refusal too. That is the same on every member: `apply` and
`apply_policy` are given equal values and look at nothing else, so they raise alike or nowhere. What comes of
the place and not of the values (`LOCAL`: memory or stack is out, a call to the system failed) is let through,
for that member alone has then lost the thread; it must leave, not go on with states of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, ClassVar, Protocol

import msgspec
from loguru import logger

from mallowbeam.errors import MallowbeamError

FORMAT = 1  # of an entry's bytes; a newer one is passed over by all alike
MOST_ENTRY = 64 * 1024  # bytes of one entry; a longer one is passed over
MOST_MISSED = 16  # names of topics not hosted here that are remembered
LOCAL = (MemoryError, RecursionError, OSError)  # raised by the place, not by what an entry says

State = Any  # a frozen msgspec.Struct of the topic's own
States = Mapping[str, State]  # by topic; all of them as they stand before this entry


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """What a member puts into the log; each topic has kinds of its own."""


class EntryTooLarge(MallowbeamError):
    """An entry beyond its bound."""

    error_name = "EntryTooLarge"
    remedy = "ask for less at once: fewer machines, tenants or rules in one push"


class BadSnapshot(MallowbeamError):
    """A snapshot of the states that this program can't take in."""

    error_name = "BadSnapshot"
    remedy = (
        "run the version that wrote it, with the same sections on; or, while all other members serve, "
        "stop the gateway, move its folder away, and start it: it learns all from them"
    )


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an entry changed nothing: what is wrong, where in it, and what to change."""

    what: str
    where: str = ""
    remedy: str = ""


class StateMachine(Protocol):
    """A replicated machine, the same on every member."""

    name: ClassVar[str]
    entries: ClassVar[Any]  # the type (a union of Entry structs) that is decoded
    state: ClassVar[type]  # the type of its state, for snapshots

    def start(self) -> State:
        """The state before any entry."""

    def apply(self, states: States, index: int, by: str, entry: Any) -> State | Refusal:
        """The next state, or why there is none; `index` counts the log's entries, `by` names the member."""

    def apply_policy(self, states: States, index: int, policy: Any) -> State | Refusal:
        """The next state as this policy takes hold, or why it may not."""


@dataclass(frozen=True, slots=True)
class Committed:
    """One entry that the log has committed, as it is told to a topic's readers."""

    index: int
    topic: str
    by: str  # the member that put it in
    entry: Entry | None  # None: the state came whole, out of a snapshot or a push
    state: State  # after it
    refusal: Refusal | None = None


class ReplicatedLog:
    """All topics' states and the entries that make them."""

    def __init__(self, topics: Sequence[StateMachine]) -> None:
        self.topics, self.index = topics, 0
        self.by_name = {topic.name: topic for topic in topics}
        self.states: dict[str, State] = {topic.name: topic.start() for topic in topics}
        self.missed: set[str] = set()  # topics that had entries here and were not hosted

    def encode(self, topic: str, by: str, entry: Entry) -> bytes:
        """An entry's bytes; raises `EntryTooLarge`."""
        body = msgspec.msgpack.encode((FORMAT, topic, by, entry))
        if len(body) > MOST_ENTRY:
            raise EntryTooLarge(f"an entry of {len(body)} bytes, at most {MOST_ENTRY}", topic)
        return body

    def apply(self, body: bytes) -> Committed | None:
        """Take in the next committed entry; None for one that this program does not know."""
        self.index += 1
        if len(body) > MOST_ENTRY:
            return None
        try:
            version, name, by, raw = msgspec.msgpack.decode(body, type=tuple[int, str, str, msgspec.Raw])
            if version != FORMAT:
                return None
            if (topic := self.by_name.get(name)) is None:
                self._miss(name)
                return None
            entry = msgspec.msgpack.decode(raw, type=topic.entries)
        except (msgspec.ValidationError, msgspec.DecodeError):
            return None
        after = self._judged(name, lambda: topic.apply(self.states, self.index, by, entry))
        if isinstance(after, Refusal):
            return Committed(self.index, name, by, entry, self.states[name], after)
        self.states[name] = after
        return Committed(self.index, name, by, entry, after)

    def _miss(self, name: str) -> None:
        """An entry of a topic that is off here."""
        if len(self.missed) < MOST_MISSED:
            self.missed.add(name[:64])

    def _judged(self, name: str, judge: Callable[[], State | Refusal]) -> State | Refusal:
        """What a topic makes of it; what it raises is a refusal, the same on every member (see above)."""
        try:
            return judge()
        except LOCAL:
            raise
        except Exception as error:  # noqa: BLE001 (whatever it is)
            logger.opt(exception=error).error("fleet log: topic {} failed at entry {}", name, self.index)
            return Refusal(
                f"{name} failed: {type(error).__name__}",
                name,
                "report it with the log's line; what was asked for has not taken hold",
            )

    def push(self, policy: Any, names: Collection[str] | None = None) -> list[Committed] | Refusal:
        """A policy takes hold for all topics (or these), or is refused by one of them and for all."""
        after: dict[str, State] = {}
        for topic in self.topics:
            if names is not None and topic.name not in names:
                continue
            told = self._judged(topic.name, partial(topic.apply_policy, self.states, self.index, policy))
            if isinstance(told, Refusal):
                return told
            after[topic.name] = told
        self.states.update(after)
        return [Committed(self.index, name, "", None, state) for name, state in after.items()]

    def dump(self) -> bytes:
        """All of it for a snapshot."""
        return msgspec.msgpack.encode((FORMAT, self.index, self.states, sorted(self.missed)))

    def load(self, body: bytes) -> list[Committed]:
        """Take in a snapshot whole; topics that it does not know start anew.

        Raises `BadSnapshot` where a state can't be read, or where one hosted here was not hosted when its
        entries came, so that its state is not known: nothing is taken in then.
        """
        try:
            version, index, raw, missed = msgspec.msgpack.decode(
                body, type=tuple[int, int, dict[str, msgspec.Raw], list[str]]
            )
            if version != FORMAT:
                raise BadSnapshot(f"format {version}, not {FORMAT}", "snapshot")
            states = {
                topic.name: msgspec.msgpack.decode(raw[topic.name], type=topic.state)
                if topic.name in raw
                else topic.start()
                for topic in self.topics
            }
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise BadSnapshot(str(error), "snapshot") from None
        if lost := sorted(set(missed) & set(self.by_name)):
            raise BadSnapshot(f"{', '.join(lost)} was off here when it had entries", "snapshot")
        self.index, self.states = index, states
        self.missed = set(missed) | set(raw).difference(self.by_name)
        return self.whole()

    def whole(self) -> list[Committed]:
        """All states as they stand."""
        return [Committed(self.index, name, "", None, state) for name, state in self.states.items()]
