"""What can go wrong in the fleet's agreed work; each with the status that a fleet page answers it by."""

from __future__ import annotations

from typing import ClassVar

from mallowbeam.errors import MallowbeamError


class FleetError(MallowbeamError):
    """An error of the fleet's log or its pages."""

    error_name = "FleetError"
    remedy = "look at /fleet on this gateway: who leads, and which members are not heard"

    status: ClassVar[int] = 500


class NoLeader(FleetError):
    """Nothing was put in, as no member leads: a majority is down or cut off, or an election is under way."""

    error_name = "NoLeader"
    status = 503
    remedy = "push again in a second; if it stays so, see which members are up and reach each other"


class QueueFull(FleetError):
    """As many commands wait here as may."""

    error_name = "QueueFull"
    status = 503
    remedy = "push again in a second; if it stays so, the log commits nothing: see which members are up"


class Overtaken(FleetError):
    """Another change was committed after the version that this push follows."""

    error_name = "Overtaken"
    status = 412
    remedy = "read the version in force (`mallowbeam policy show`) and push after that one"


class EndUnknown(FleetError):
    """It was put in, and what became of it is not known here: it may yet be committed."""

    error_name = "EndUnknown"
    status = 504
    remedy = "see with `mallowbeam policy show` whether it is in force before pushing again"


class NoBase(FleetError):
    """A push that does not say which version it follows."""

    error_name = "NoBase"
    status = 428
    remedy = "send the version that it follows in an If-Match header, as `mallowbeam policy push` does"


class BadPolicy(FleetError):
    """A policy's text that can't be read, or that names what is off or not there."""

    error_name = "BadPolicy"
    status = 400
    remedy = "mend the text where it says and push again"


class PolicyRefused(FleetError):
    """A subsystem refused the policy, and so every member did."""

    error_name = "PolicyRefused"
    status = 409
    remedy = "mend the section where it says and push again"


class NotAlike(FleetError):
    """Members run with different subsystems on, so that they could not all judge a policy alike."""

    error_name = "NotAlike"
    status = 409
    remedy = "turn the same sections on in each member's operators' file and restart those that differ"


class NoSuchPage(FleetError):
    """A page that is not there."""

    error_name = "NoSuchPage"
    status = 404
    remedy = "ask for /policy, /fleet or /fleet/metrics"


class NotByThisMethod(FleetError):
    """A page asked for by a method that it does not take."""

    error_name = "NotByThisMethod"
    status = 405
    remedy = "use GET, or PUT to push a policy at /policy"


class LogUnusable(FleetError):
    """The log tells what this program can't take in, so that its states would not be the fleet's."""

    error_name = "LogUnusable"
    status = 503
    remedy = (
        "run the fleet's version with the fleet's sections on; if it has them, and while all other "
        "members serve, stop it, move its folder away, and start it: it learns all from them"
    )
