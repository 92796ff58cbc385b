"""What an attempt proves about its request.  A pure core.

Up to its first byte a request is proven not to have run.  From then on only an answer that says so proves it:
`Not-Executed`, or status 421.  An instance may begin before it has read a complete request.
"""

from __future__ import annotations

from enum import Enum

from mallowbeam.http.framing import Message

FINAL = range(200, 600)  # statuses of a final answer (RFC 9110, section 15)
SUCCESS = range(200, 300)
SERVER_ERROR = range(500, 600)
MISDIRECTED_STATUS = 421
PROMISES = frozenset((408, 421, 429, 503))  # statuses that promise the client that nothing has run
MOST_RETRY_AFTER_S = 60.0


class AttemptEnd(Enum):
    """How one attempt ended."""

    NO_CONNECTION = "no_connection"  # refused, unreachable or silent: never sent
    NOT_SENT = "not_sent"  # the connection broke before the first byte: never ran
    NO_CAPACITY = "no_room"  # no connection allowed: says nothing of the instance
    REJECTED = "rejected"  # Not-Executed: received, not run
    MISDIRECTED = "misdirected"  # 421: another instance, stage or version: not run
    FAILED = "failed"  # an answer with a failure: may have run
    BROKEN = "broken"  # reset, close or bytes that are no answer: may have run
    TIMED_OUT = "timed_out"  # silence up to the deadline: may have run
    ANSWERED = "answered"  # an answer that is forwarded


def judge_answer(
    answer: Message, request_id: bytes, first_on_connection: bool, signed: bool = True
) -> AttemptEnd:
    """What an answer's head says.

    An answer that names another request is a late one of its connection's earlier requests; one without a
    name is only believed where there was no earlier request.  `signed` is False where a success carries no
    signature, as a prefill call's does.
    """
    if answer.status not in FINAL or not _answers(answer, request_id, first_on_connection):
        return AttemptEnd.BROKEN
    if answer.status == MISDIRECTED_STATUS:
        return AttemptEnd.MISDIRECTED
    if answer.get(b"not-executed") is not None:
        return AttemptEnd.REJECTED
    if signed and answer.status in SUCCESS and answer.get(b"server-signature") is None:
        return AttemptEnd.BROKEN
    if answer.status in SERVER_ERROR or answer.status in PROMISES:
        return AttemptEnd.FAILED
    return AttemptEnd.ANSWERED


def names_another(answer: Message, request_id: bytes) -> bool:
    """Whether an answer names one request, and not this one: a late one to an earlier request."""
    echoed = _request_ids(answer)
    return len(echoed) == 1 and echoed != [request_id]


def may_pass_on(answer: Message) -> bool:
    """Whether a failure may go to the client as it is: not one whose status promises that nothing has run."""
    return answer.status not in PROMISES


def _answers(answer: Message, request_id: bytes, first_on_connection: bool) -> bool:
    """Whether an answer is to this request; one that names none only where no other could be answered."""
    echoed = _request_ids(answer)
    return echoed == [request_id] or (not echoed and first_on_connection)


def _request_ids(answer: Message) -> list[bytes]:
    return [value for name, value in answer.headers if name == b"request-id"]


def retry_after(answer: Message) -> float | None:
    """Seconds after which an instance asks to be tried again."""
    value = answer.get(b"retry-after")
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return min(seconds, MOST_RETRY_AFTER_S) if seconds > 0 else None
