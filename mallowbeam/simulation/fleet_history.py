"""History of a run: what members applied and answered, checked against the guarantees at each answer.

Entries and answers are recorded at the moment they happen. The first violation is kept in `violation`; its
text starts with the number of the guarantee in ``docs/control-guarantees.md``.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field
from http import HTTPStatus

from mallowbeam.router.rpc.messages_pb2 import DONE, Command, CommandResult

ANSWER_BOUND_S = 1.5  # from the arrival of a request at a running member until its answer
NO_MAJORITY_BOUND_S = 3.0  # a member without a reachable majority for longer must not acknowledge
REJECTIONS = frozenset((HTTPStatus.BAD_REQUEST, HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED))
CONFIG_PATH = "/mallowbeam/config"


@dataclass(frozen=True, slots=True)
class ApiCall:
    """A request to the control API."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeKey:
    """Identity of a configuration change: its revision, its author and the version it is based on."""

    revision: int
    author: str
    based_on: int


@dataclass(frozen=True, slots=True)
class Answer:
    """A member's answer to a request; times in simulated seconds."""

    member: str
    call: ApiCall
    began: float  # the request arrived at the member
    ended: float
    status: int
    body: bytes
    paused: bool  # the process was frozen during the request, or is slow
    unreachable_s: float  # seconds without a reachable majority


@dataclass(frozen=True, slots=True)
class _AppliedEntry:
    """Hash of an applied entry, and its result."""

    payload: int
    result: CommandResult


@dataclass(slots=True)
class _Acknowledgement:
    """A revision, and the time of its first acknowledgement."""

    at: float
    revision: int


@dataclass(slots=True)
class History:
    """Applied entries and answers of all members, with the first violation."""

    violation: str = ""
    in_force: set[ChangeKey] = field(default_factory=set)
    refused: set[ChangeKey] = field(default_factory=set)
    acknowledged: dict[int, ChangeKey] = field(default_factory=dict)  # by base version
    retired: dict[str, float] = field(default_factory=dict)  # time of the first acknowledgement, by instance
    answers: int = 0
    _applied: dict[int, _AppliedEntry] = field(default_factory=dict)  # by log index
    _retirements: set[str] = field(default_factory=set)
    _acknowledgements: list[_Acknowledgement] = field(default_factory=list)  # ascending in time and revision
    _keys: dict[bytes, ChangeKey] = field(default_factory=dict)  # by digest

    # ------------------------------------------------------------ acknowledgements

    def newest_acknowledged(self, before: float) -> int:
        """The highest revision acknowledged up to `before`, in simulated seconds; 0 if there is none."""
        for winner in reversed(self._acknowledgements):
            if winner.at <= before:
                return winner.revision
        return 0

    # ------------------------------------------------------------ the log

    def applied(self, member: str, index: int, payload: bytes, result: CommandResult) -> None:
        """Record that a member applied an entry; the entry and its result must be the same on all members."""
        entry = _AppliedEntry(hash(payload), result)
        known = self._applied.setdefault(index, entry)
        if known != entry:
            self._record_violation(
                f"4: {member} applied another entry at {index} than others, or with another result"
            )
        if known is entry:
            self._record_command(Command.FromString(payload), result)

    def _record_command(self, command: Command, result: CommandResult) -> None:
        match command.WhichOneof("body"):
            case "put_configuration" if result == DONE:
                put = command.put_configuration
                key = self._key_of(put.digest, put.body, put.based_on)
                self.in_force.add(key)
                if key in self.refused:
                    self._record_violation(f"2: {key} was refused and came into force")
            case "retire_instance":
                self._retirements.add(command.retire_instance.id)

    def _key_of(self, digest: bytes, body: bytes, based_on: int) -> ChangeKey:
        if digest not in self._keys:
            self._keys[digest] = change_key(zlib.decompress(body), based_on)
        return self._keys[digest]

    # ------------------------------------------------------------ answers

    def answered(self, answer: Answer) -> None:
        """Record and check a member's answer."""
        self.answers += 1
        accepted = is_success(answer.status)
        if answer.ended - answer.began > ANSWER_BOUND_S and not answer.paused:
            self._record_violation(
                f"1: {answer.member} answered {answer.call.method} {answer.call.path} after "
                f"{answer.ended - answer.began:.2f} s"
            )
        if accepted and answer.unreachable_s > NO_MAJORITY_BOUND_S:
            self._record_violation(
                f"1: {answer.member} answered {answer.call.method} {answer.call.path} with "
                f"{answer.status} after {answer.unreachable_s:.1f} s without a majority in reach"
            )
        if answer.call.path != CONFIG_PATH:
            self._instance_answered(answer, accepted)
        elif answer.call.method == "GET":
            self._read_answered(answer)
        else:
            self._put_answered(answer, accepted)

    def _read_answered(self, answer: Answer) -> None:
        if answer.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            return
        newest = self.newest_acknowledged(answer.began)
        found = answer.status == HTTPStatus.OK
        document = json.loads(answer.body) if found else {"revision": 0}
        if document["revision"] < newest:
            read = document["revision"]
            self._record_violation(
                f"1: revision {newest} was acknowledged, {answer.member} reads {read} back"
            )
        if found and not any(same_document(key, document) for key in self.in_force):
            self._record_violation(
                f"2: {answer.member} reads back a configuration that never came into force"
            )

    def _put_answered(self, answer: Answer, accepted: bool) -> None:
        key = call_key(answer.call)
        if accepted:
            self._put_acknowledged(answer, key)
        elif answer.status in REJECTIONS and key in self.in_force:
            self._record_violation(
                f"2: {answer.member} refused {key}, which is or was in force: {answer.status}"
            )

    def refusal_received(self, call: ApiCall) -> None:
        """Record that an operator received a rejection of its change."""
        key = call_key(call)
        self.refused.add(key)
        if key in self.in_force:
            self._record_violation(f"2: {key} was refused and is or was in force")

    def _put_acknowledged(self, answer: Answer, key: ChangeKey) -> None:
        acknowledged_revision = json.loads(answer.body).get("revision")
        if acknowledged_revision != key.revision:
            self._record_violation(f"5: {answer.member} answered {key} with revision {acknowledged_revision}")
        if key not in self.in_force:
            self._record_violation(f"1: {answer.member} acknowledged {key}, which no member has applied")
        winner = self.acknowledged.setdefault(key.based_on, key)
        if winner != key:
            self._record_violation(f"2: {winner} and {key} were both acknowledged")
        if not self._acknowledgements or key.revision > self._acknowledgements[-1].revision:
            self._acknowledgements.append(_Acknowledgement(answer.ended, key.revision))

    def _instance_answered(self, answer: Answer, accepted: bool) -> None:
        call = answer.call
        if not accepted or not (call.method == "DELETE" or json.loads(call.body).get("state") == "draining"):
            return
        instance = call.path.rpartition("/")[2]
        if instance not in self._retirements:
            self._record_violation(
                f"5: {answer.member} acknowledged that {instance} leaves, which no member has applied"
            )
        self.retired.setdefault(instance, answer.ended)

    def _record_violation(self, message: str) -> None:
        self.violation = self.violation or message


def is_success(status: int) -> bool:
    """Whether an HTTP status is 2xx."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def call_key(call: ApiCall) -> ChangeKey:
    """Identity of the change that a request submits."""
    based_on = next(int(value) for name, value in call.headers if name == "If-Match")
    return change_key(call.body, based_on)


def change_key(body: bytes, based_on: int) -> ChangeKey:
    """Identity of a change from its JSON and base version; the first route's hostname names the author."""
    document = json.loads(body)
    return ChangeKey(document["revision"], document["routes"][0]["hostname"], based_on)


def same_document(key: ChangeKey, document: dict[str, object]) -> bool:
    """Whether a configuration document is that of a change."""
    found = change_key(json.dumps(document).encode(), key.based_on)
    return found == key
