"""The fleet's replicated log: typed entries in one order, and the states derived from them.

Without I/O, and without the consensus engine: `raft_node.py` calls `ReplicatedLog.apply` with the bytes of
each committed entry, the same on every member in the same order. A state machine's state is one frozen value;
`apply` makes the next one from it and an entry, never from a clock, a random number or anything local. An
entry that can't take effect changes nothing and yields a `Refusal`, the same on every member.

A policy is passed to every state machine (`apply_policy`) before it takes effect: one refusal rejects the
whole policy.

An unexpected exception of a state machine counts as a refusal too.  It is the same on every member: `apply`
and `apply_policy` get equal values and read nothing else, so they raise on all members or on none.  An
exception caused by the process and not by the values (`LOCAL_ERRORS`: memory or stack is exhausted, a system
call failed) propagates, because only that member has lost its state; it must leave the fleet rather than go
on with diverged states.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, ClassVar, Protocol

import msgspec
from loguru import logger

from mallowbeam.errors import MallowbeamError

FORMAT = 1  # of an entry's bytes; every member skips a newer one
MAX_ENTRY_BYTES = 64 * 1024  # every member skips a longer one
MAX_UNHOSTED = 16  # names of state machines not hosted here that are remembered
MAX_UNHOSTED_NAME = 64  # characters
LOCAL_ERRORS = (MemoryError, RecursionError, OSError)  # caused by the process, not by an entry

State = Any  # a frozen msgspec.Struct of the state machine's own
States = Mapping[str, State]  # by state machine; all of them as they are before this entry


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """An entry of the log; each state machine defines kinds of its own and their tags."""


class EntryTooLargeError(MallowbeamError):
    """An entry of more than `MAX_ENTRY_BYTES`."""

    error_name = "EntryTooLarge"
    remedy = "ask for less at once: fewer machines, tenants or rules in one push"


class InvalidSnapshotError(MallowbeamError):
    """A snapshot of states that this program can't load."""

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
    """A replicated state machine, the same on every member."""

    name: ClassVar[str]
    entries: ClassVar[Any]  # the type (a union of Entry structs) to decode
    state: ClassVar[type]  # the type of its state, for snapshots

    def start(self) -> State:
        """The state before any entry."""

    def apply(self, states: States, index: int, by: str, entry: Any) -> State | Refusal:
        """The next state, or why there is none; `index` counts the log's entries, `by` names the proposer."""

    def apply_policy(self, states: States, index: int, policy: Any) -> State | Refusal:
        """The next state as this policy takes effect, or why it must not."""


@dataclass(frozen=True, slots=True)
class Committed:
    """One committed entry, or a state that was loaded or changed by a policy (`entry` None)."""

    index: int
    topic: str  # the state machine's name
    by: str  # the member that proposed it
    entry: Entry | None
    state: State  # after it
    refusal: Refusal | None = None


class ReplicatedLog:
    """The states of all state machines, and the entries that make them."""

    def __init__(self, state_machines: Sequence[StateMachine]) -> None:
        self.state_machines = state_machines
        self.index = 0  # of the newest entry applied
        self.by_name = {machine.name: machine for machine in state_machines}
        self.states: dict[str, State] = {machine.name: machine.start() for machine in state_machines}
        self.unhosted: set[str] = set()  # state machines that had entries while they were not hosted here

    def encode(self, topic: str, by: str, entry: Entry) -> bytes:
        """Encode an entry; raises `EntryTooLargeError`."""
        body = msgspec.msgpack.encode((FORMAT, topic, by, entry))
        if len(body) > MAX_ENTRY_BYTES:
            raise EntryTooLargeError(f"an entry of {len(body)} bytes, at most {MAX_ENTRY_BYTES}", topic)
        return body

    def apply(self, body: bytes) -> Committed | None:
        """Apply the next committed entry; returns None for one that this program does not know."""
        self.index += 1
        if len(body) > MAX_ENTRY_BYTES:
            return None
        try:
            version, name, by, raw = msgspec.msgpack.decode(body, type=tuple[int, str, str, msgspec.Raw])
            if version != FORMAT:
                return None
            if (machine := self.by_name.get(name)) is None:
                self._record_unhosted(name)
                return None
            entry = msgspec.msgpack.decode(raw, type=machine.entries)
        except (msgspec.ValidationError, msgspec.DecodeError):
            return None
        after = self._guarded(name, lambda: machine.apply(self.states, self.index, by, entry))
        if isinstance(after, Refusal):
            return Committed(self.index, name, by, entry, self.states[name], after)
        self.states[name] = after
        return Committed(self.index, name, by, entry, after)

    def _record_unhosted(self, name: str) -> None:
        """Remember that a state machine that is not hosted here has an entry."""
        if len(self.unhosted) < MAX_UNHOSTED:
            self.unhosted.add(name[:MAX_UNHOSTED_NAME])

    def _guarded(self, name: str, step: Callable[[], State | Refusal]) -> State | Refusal:
        """A state machine's step; its exception is a refusal, the same on every member (see the module)."""
        try:
            return step()
        except LOCAL_ERRORS:
            raise
        except Exception as error:  # noqa: BLE001 (of any type)
            logger.opt(exception=error).error("fleet log: topic {} failed at entry {}", name, self.index)
            return Refusal(
                f"{name} failed: {type(error).__name__}",
                name,
                "report it with the log's line; what was asked for has not taken hold",
            )

    def push(self, policy: Any, names: Collection[str] | None = None) -> list[Committed] | Refusal:
        """Apply a policy to all state machines (or to these); a refusal of one rejects it for all."""
        after: dict[str, State] = {}
        for machine in self.state_machines:
            if names is not None and machine.name not in names:
                continue
            step = partial(machine.apply_policy, self.states, self.index, policy)
            state = self._guarded(machine.name, step)
            if isinstance(state, Refusal):
                return state
            after[machine.name] = state
        self.states.update(after)
        return [Committed(self.index, name, "", None, state) for name, state in after.items()]

    def dump(self) -> bytes:
        """Encode all states for a snapshot."""
        return msgspec.msgpack.encode((FORMAT, self.index, self.states, sorted(self.unhosted)))

    def load(self, body: bytes) -> list[Committed]:
        """Load a snapshot; state machines that it does not name start from their initial state.

        Raises `InvalidSnapshotError` if a state can't be read, or if a state machine that is hosted
        here had entries while it was not, so that its state is unknown; then nothing is loaded.
        """
        try:
            version, index, raw, unhosted = msgspec.msgpack.decode(
                body, type=tuple[int, int, dict[str, msgspec.Raw], list[str]]
            )
            if version != FORMAT:
                raise InvalidSnapshotError(f"format {version}, not {FORMAT}", "snapshot")
            states = {
                machine.name: msgspec.msgpack.decode(raw[machine.name], type=machine.state)
                if machine.name in raw
                else machine.start()
                for machine in self.state_machines
            }
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise InvalidSnapshotError(str(error), "snapshot") from None
        if unknown := sorted(set(unhosted) & set(self.by_name)):
            raise InvalidSnapshotError(f"{', '.join(unknown)} was off here when it had entries", "snapshot")
        self.index = index
        self.states = states
        self.unhosted = set(unhosted) | set(raw).difference(self.by_name)
        return self.all_states()

    def all_states(self) -> list[Committed]:
        """All current states."""
        return [Committed(self.index, name, "", None, state) for name, state in self.states.items()]
