"""Errors of the fleet's log and its pages, each with the HTTP status of the page's response.

`error_name` is what pages, the command line and docs/on-call.md call the error; it never changes.
"""

from __future__ import annotations

from typing import ClassVar

from mallowbeam.errors import MallowbeamError


class CoordinationError(MallowbeamError):
    """An error of the fleet's log or its pages."""

    error_name = "FleetError"
    remedy = "look at /fleet on this gateway: who leads, and which members are not heard"

    status: ClassVar[int] = 500


class NoLeaderError(CoordinationError):
    """Nothing was proposed without a leader: no majority is connected, or an election is under way."""

    error_name = "NoLeader"
    status = 503
    remedy = "push again in a second; if it stays so, see which members are up and reach each other"


class QueueFullError(CoordinationError):
    """The queue of proposals is full."""

    error_name = "QueueFull"
    status = 503
    remedy = "push again in a second; if it stays so, the log commits nothing: see which members are up"


class VersionConflictError(CoordinationError):
    """Another change was committed after the version that this push follows."""

    error_name = "Overtaken"
    status = 412
    remedy = "read the version in force (`mallowbeam policy show`) and push after that one"


class OutcomeUnknownError(CoordinationError):
    """A change was proposed and its outcome is not known here: it may yet be committed."""

    error_name = "EndUnknown"
    status = 504
    remedy = "see with `mallowbeam policy show` whether it is in force before pushing again"


class MissingBaseVersionError(CoordinationError):
    """A push does not name the version that it follows."""

    error_name = "NoBase"
    status = 428
    remedy = "send the version that it follows in an If-Match header, as `mallowbeam policy push` does"


class InvalidPolicyError(CoordinationError):
    """A policy's text can't be parsed, or names a subsystem that is off or an unknown plan."""

    error_name = "BadPolicy"
    status = 400
    remedy = "mend the text where it says and push again"


class PolicyRejectedError(CoordinationError):
    """A subsystem's state machine rejected the policy, and so every member did."""

    error_name = "PolicyRefused"
    status = 409
    remedy = "mend the section where it says and push again"


class SubsystemMismatchError(CoordinationError):
    """Members host different subsystems, so they could disagree on whether a policy is valid."""

    error_name = "NotAlike"
    status = 409
    remedy = "turn the same sections on in each member's operators' file and restart those that differ"


class PageNotFoundError(CoordinationError):
    """No page has this path."""

    error_name = "NoSuchPage"
    status = 404
    remedy = "ask for /policy, /fleet or /fleet/metrics"


class MethodNotAllowedError(CoordinationError):
    """The page does not support the request's method."""

    error_name = "NotByThisMethod"
    status = 405
    remedy = "use GET, or PUT to push a policy at /policy"


class LogUnusableError(CoordinationError):
    """The log has an entry or snapshot that this program can't apply, so its states would diverge."""

    error_name = "LogUnusable"
    status = 503
    remedy = (
        "run the fleet's version with the fleet's sections on; if it has them, and while all other "
        "members serve, stop it, move its folder away, and start it: it learns all from them"
    )
