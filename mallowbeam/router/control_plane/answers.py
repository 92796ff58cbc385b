"""JSON answers of the control API."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.framing import Headers, write_head
from mallowbeam.http.front import Reply

JSON_TYPE = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.2")  # seconds, with a 503: an election takes about as long


class CallError(MallowbeamError):
    """A call of the control API that is not taken; `status` is the answer's."""

    code = "CONTROL_CALL"
    status = 400
    remedy = "mend the call as told"

    def __init__(self, what: str, where: str = "", status: int = 0) -> None:
        super().__init__(what, where)
        self.status = status or self.status


class NothingProposedError(CallError):
    """No leader was found in time; nothing was proposed."""

    code = "CONTROL_NO_LEADER"
    status = 503
    remedy = "send the call again; if this lasts, more than half of the members can't reach each other"


class OutOfTouchError(CallError):
    """This member is cut off from the group, or stood still in the middle of the call."""

    code = "CONTROL_OUT_OF_TOUCH"
    status = 503
    remedy = "call another member; the answer names them"


class LargeBodyError(CallError):
    """This member has a large body under way already; nothing was proposed."""

    code = "CONTROL_LARGE_BODY"
    status = 503
    remedy = "call another member, or this one again a moment later"


class OutcomeUnknownError(CallError):
    """A command was proposed, but what became of it is not known."""

    code = "CONTROL_OUTCOME_UNKNOWN"
    status = 504
    remedy = "send the same call again: what was taken is acknowledged again"


class VersionMismatchError(CallError):
    """A configuration builds on another version than the current one."""

    code = "CONFIGURATION_VERSION"
    status = 412
    remedy = "read the current configuration and build on it"


class RevisionNotAboveError(CallError):
    """A configuration's revision is not above the current one."""

    code = "CONFIGURATION_REVISION"
    status = 400
    remedy = "give the configuration a revision above the current one"


class InvalidOutcomeError(CallError):
    """A patch would lead to a configuration that is not valid."""

    code = "CONFIGURATION_OUTCOME"
    status = 422
    remedy = "read the current configuration and build the patch on it"


def json_reply(status: int, body: Mapping[str, object], close: bool, *more: tuple[bytes, bytes]) -> Reply:
    """A whole answer with a JSON object."""
    return body_reply(status, json.dumps(body, separators=(",", ":")).encode(), close, *more)


def body_reply(status: int, body: bytes, close: bool, *more: tuple[bytes, bytes]) -> Reply:
    """A whole answer with JSON that is encoded already."""
    headers: Headers = [JSON_TYPE, *more]
    return Reply(status, write_head(status, headers, len(body), close) + body)


def error_reply(status: int, error: MallowbeamError, close: bool, others: Sequence[str] = ()) -> Reply:
    """An answer that tells what is wrong, where, and what to do.

    With a 5xx, `others` are the control addresses of members to which the caller may turn. A redirection to
    one of them would be a guess: it may be cut off as well.
    """
    told = {
        "code": error.code or error.error_name,
        "where": error.where,
        "what": error.what,
        "remedy": error.cure,
    }
    more = (RETRY_AFTER,) if status == 503 else ()
    page: dict[str, object] = {"error": told}
    if status >= 500 and others:
        page["members"] = list(others)
    return json_reply(status, page, close, *more)
