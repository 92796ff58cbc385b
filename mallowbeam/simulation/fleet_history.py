"""What the fleet's members have applied and answered, and what must hold of it at each answer.

Each entry and each answer is told at the moment at which it happens. The first thing that does not hold is
kept in `wrong`; each text begins with the number of the guarantee in ``docs/control-guarantees.md``.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field

from mallowbeam.router.rpc.messages_pb2 import DONE, Command, CommandResult

SLOWEST_ANSWER_S = 1.5  # from a call's arrival at a member that runs to its answer
CUT_OFF_S = 3.0  # without a majority in reach, after which a member confirms nothing
REFUSALS = frozenset((400, 409, 412))
CONFIG_PATH = "/mallowbeam/config"


@dataclass(frozen=True, slots=True)
class ApiCall:
    """A call to the control API."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeKey:
    """Which change of the configuration: its revision, who wrote it, and on what it builds."""

    revision: int
    author: str
    based_on: int


@dataclass(frozen=True, slots=True)
class Answer:
    """A member's answer to a call; times in true seconds."""

    member: str
    call: ApiCall
    began: float  # the call arrived at the member
    ended: float
    status: int
    body: bytes
    paused: bool  # the process was frozen in between, or is slow
    out_of_reach: float  # seconds for which the member had no majority in reach


@dataclass(frozen=True, slots=True)
class _Applied:
    payload: int
    result: CommandResult


@dataclass(slots=True)
class _Winner:
    """The newest revision that was acknowledged, by the time of its first acknowledgement."""

    at: float
    revision: int


@dataclass(slots=True)
class History:
    """Applied entries and answers of all members."""

    wrong: str = ""
    in_force: set[ChangeKey] = field(default_factory=set)
    refused: set[ChangeKey] = field(default_factory=set)
    acknowledged: dict[int, ChangeKey] = field(default_factory=dict)  # winners by the version they build on
    retired: dict[str, float] = field(default_factory=dict)  # instances: first acknowledgement
    answers: int = 0
    _applied: dict[int, _Applied] = field(default_factory=dict)  # by log index
    _retirements: set[str] = field(default_factory=set)
    _newest: list[_Winner] = field(default_factory=list)  # rising in both
    _keys: dict[bytes, ChangeKey] = field(default_factory=dict)  # by digest

    # ------------------------------------------------------------ what was acknowledged

    def newest_acknowledged(self, before: float) -> int:
        """The highest revision that was acknowledged before a time; 0: none."""
        for winner in reversed(self._newest):
            if winner.at <= before:
                return winner.revision
        return 0

    # ------------------------------------------------------------ the log

    def applied(self, member: str, index: int, payload: bytes, result: CommandResult) -> None:
        """A member has applied an entry."""
        entry = _Applied(hash(payload), result)
        known = self._applied.setdefault(index, entry)
        if known != entry:
            self._fail(f"4: {member} applied another entry at {index} than others, or with another result")
        if known is entry:
            self._note(Command.FromString(payload), result)

    def _note(self, command: Command, result: CommandResult) -> None:
        match command.WhichOneof("body"):
            case "put_configuration" if result == DONE:
                put = command.put_configuration
                key = self._key_of(put.digest, put.body, put.based_on)
                self.in_force.add(key)
                if key in self.refused:
                    self._fail(f"2: {key} was refused and came into force")
            case "retire_instance":
                self._retirements.add(command.retire_instance.id)

    def _key_of(self, digest: bytes, body: bytes, based_on: int) -> ChangeKey:
        if digest not in self._keys:
            self._keys[digest] = change_key(zlib.decompress(body), based_on)
        return self._keys[digest]

    # ------------------------------------------------------------ answers

    def answered(self, answer: Answer) -> None:
        """A member answers a call."""
        self.answers += 1
        taken = 200 <= answer.status < 300
        if answer.ended - answer.began > SLOWEST_ANSWER_S and not answer.paused:
            self._fail(
                f"1: {answer.member} answered {answer.call.method} {answer.call.path} after "
                f"{answer.ended - answer.began:.2f} s"
            )
        if taken and answer.out_of_reach > CUT_OFF_S:
            self._fail(
                f"1: {answer.member} answered {answer.call.method} {answer.call.path} with "
                f"{answer.status} after {answer.out_of_reach:.1f} s without a majority in reach"
            )
        if answer.call.path != CONFIG_PATH:
            self._instance_answered(answer, taken)
        elif answer.call.method == "GET":
            self._read_answered(answer)
        else:
            self._put_answered(answer, taken)

    def _read_answered(self, answer: Answer) -> None:
        if answer.status not in (200, 404):
            return
        newest = self.newest_acknowledged(answer.began)
        document = json.loads(answer.body) if answer.status == 200 else {"revision": 0}
        if document["revision"] < newest:
            read = document["revision"]
            self._fail(f"1: revision {newest} was acknowledged, {answer.member} reads {read} back")
        if answer.status == 200 and not any(same_document(key, document) for key in self.in_force):
            self._fail(f"2: {answer.member} reads back a configuration that never came into force")

    def _put_answered(self, answer: Answer, taken: bool) -> None:
        key = call_key(answer.call)
        if taken:
            self._put_acknowledged(answer, key)
        elif answer.status in REFUSALS and key in self.in_force:
            self._fail(f"2: {answer.member} refused {key}, which is or was in force: {answer.status}")

    def told_refused(self, call: ApiCall) -> None:
        """An operator has got a refusal of its change."""
        key = call_key(call)
        self.refused.add(key)
        if key in self.in_force:
            self._fail(f"2: {key} was refused and is or was in force")

    def _put_acknowledged(self, answer: Answer, key: ChangeKey) -> None:
        told = json.loads(answer.body).get("revision")
        if told != key.revision:
            self._fail(f"5: {answer.member} answered {key} with revision {told}")
        if key not in self.in_force:
            self._fail(f"1: {answer.member} acknowledged {key}, which no member has applied")
        winner = self.acknowledged.setdefault(key.based_on, key)
        if winner != key:
            self._fail(f"2: {winner} and {key} were both acknowledged")
        if not self._newest or key.revision > self._newest[-1].revision:
            self._newest.append(_Winner(answer.ended, key.revision))

    def _instance_answered(self, answer: Answer, taken: bool) -> None:
        call = answer.call
        if not taken or not (call.method == "DELETE" or json.loads(call.body).get("state") == "draining"):
            return
        instance = call.path.rpartition("/")[2]
        if instance not in self._retirements:
            self._fail(f"5: {answer.member} acknowledged that {instance} leaves, which no member has applied")
        self.retired.setdefault(instance, answer.ended)

    def _fail(self, what: str) -> None:
        self.wrong = self.wrong or what


def call_key(call: ApiCall) -> ChangeKey:
    """Which change a call asks for."""
    based_on = next(int(value) for name, value in call.headers if name == "If-Match")
    return change_key(call.body, based_on)


def change_key(body: bytes, based_on: int) -> ChangeKey:
    """Which change a configuration's JSON is, on top of a version; the author is in its first hostname."""
    document = json.loads(body)
    return ChangeKey(document["revision"], document["routes"][0]["hostname"], based_on)


def same_document(key: ChangeKey, document: dict[str, object]) -> bool:
    """Whether a configuration is that of a change."""
    found = change_key(json.dumps(document).encode(), key.based_on)
    return found == key
