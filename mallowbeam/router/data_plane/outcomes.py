"""Classifies attempts by whether the request may have run.  No I/O.

A request of which no byte was sent has not run.  Once a byte was sent, only an answer with `Not-Executed` or
status 421 proves that it has not run, because an instance may start before it has read the complete request.
"""

from __future__ import annotations

from enum import Enum

from mallowbeam.http.framing import Message

FINAL_STATUSES = range(200, 600)  # statuses of a final answer (RFC 9110, section 15)
SUCCESS = range(200, 300)
SERVER_ERROR = range(500, 600)
MISDIRECTED_STATUS = 421
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # they tell the client that the request has not run
MAX_RETRY_AFTER_S = 60.0


class AttemptEnd(Enum):
    """How one attempt ended."""

    NO_CONNECTION = "no_connection"  # refused, unreachable or no response: never sent
    NOT_SENT = "not_sent"  # the connection broke before the first byte: never ran
    NO_CAPACITY = "no_room"  # connection limit reached or instance not usable: no evidence about its health
    REJECTED = "rejected"  # Not-Executed: received, not run
    MISDIRECTED = "misdirected"  # 421: another instance, stage or version: not run
    FAILED = "failed"  # an answer that reports a failure: may have run
    BROKEN = "broken"  # reset, close or malformed answer: may have run
    TIMED_OUT = "timed_out"  # no answer before the deadline: may have run
    ANSWERED = "answered"  # an answer that is forwarded


def judge_answer(
    answer: Message, request_id: bytes, first_on_connection: bool, signed: bool = True
) -> AttemptEnd:
    """Classify an attempt by its answer's head.

    An answer with another request id is a late answer to an earlier request on the connection.  An answer
    without a request id is accepted only for the first request on a connection.  `signed` is False for
    prefill calls, whose successful answers carry no signature.
    """
    if answer.status not in FINAL_STATUSES or not _is_answer_to(answer, request_id, first_on_connection):
        return AttemptEnd.BROKEN
    if answer.status == MISDIRECTED_STATUS:
        return AttemptEnd.MISDIRECTED
    if answer.get(b"not-executed") is not None:
        return AttemptEnd.REJECTED
    if signed and answer.status in SUCCESS and answer.get(b"server-signature") is None:
        return AttemptEnd.BROKEN
    if answer.status in SERVER_ERROR or answer.status in NOT_RUN_STATUSES:
        return AttemptEnd.FAILED
    return AttemptEnd.ANSWERED


def is_late_answer(answer: Message, request_id: bytes) -> bool:
    """Whether an answer is a late one to an earlier request: its only request id is a different one."""
    echoed = _request_ids(answer)
    return len(echoed) == 1 and echoed != [request_id]


def may_forward(answer: Message) -> bool:
    """Whether a failure may be forwarded unchanged; not if its status claims that the request has not run."""
    return answer.status not in NOT_RUN_STATUSES


def _is_answer_to(answer: Message, request_id: bytes, first_on_connection: bool) -> bool:
    """Whether an answer is to this request.

    An answer without a request id counts only for the first request on a connection.
    """
    echoed = _request_ids(answer)
    return echoed == [request_id] or (not echoed and first_on_connection)


def _request_ids(answer: Message) -> list[bytes]:
    return [value for name, value in answer.headers if name == b"request-id"]


def retry_after(answer: Message) -> float | None:
    """Return the seconds in an answer's Retry-After header, or None."""
    value = answer.get(b"retry-after")
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return min(seconds, MAX_RETRY_AFTER_S) if seconds > 0 else None
