"""Errors of the control API: each class has a stable code and the HTTP status of its response."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError


class CallError(MallowbeamError):
    """A call of the control API that is rejected; `status` is the HTTP status of its response."""

    code = "CONTROL_CALL"
    status = 400
    remedy = "mend the call as told"

    def __init__(self, what: str, where: str = "", status: int = 0) -> None:
        """`status` overrides the status of the class, unless it is 0."""
        super().__init__(what, where)
        self.status = status or self.status


class NothingProposedError(CallError):
    """No leader was found in time; nothing was proposed."""

    code = "CONTROL_NO_LEADER"
    status = 503
    remedy = "send the call again; if this lasts, more than half of the members can't reach each other"


class IsolatedMemberError(CallError):
    """This member has lost contact with the majority, or was suspended during the call."""

    error_name = "OutOfTouchError"
    code = "CONTROL_OUT_OF_TOUCH"
    status = 503
    remedy = "call another member; the answer names them"


class LargeBodyError(CallError):
    """This member already processes a large body; nothing was proposed."""

    code = "CONTROL_LARGE_BODY"
    status = 503
    remedy = "call another member, or this one again a moment later"


class OutcomeUnknownError(CallError):
    """A command was proposed, but whether it was committed is not known."""

    code = "CONTROL_OUTCOME_UNKNOWN"
    status = 504
    remedy = "send the same call again: what was taken is acknowledged again"


class VersionMismatchError(CallError):
    """A configuration is based on a revision other than the current one."""

    code = "CONFIGURATION_VERSION"
    status = 412
    remedy = "read the current configuration and build on it"


class RevisionNotAboveError(CallError):
    """A configuration's revision does not exceed the current one."""

    code = "CONFIGURATION_REVISION"
    status = 400
    remedy = "give the configuration a revision above the current one"


class InvalidOutcomeError(CallError):
    """A patch would result in an invalid configuration."""

    code = "CONFIGURATION_OUTCOME"
    status = 422
    remedy = "read the current configuration and build the patch on it"
