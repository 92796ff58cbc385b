"""The steps of a machine under maintenance.

A machine (a storage node or a gateway) takes these steps, each one entry of the replicated log:

    proposed -> agreed -> draining -> empty -> out -> back -> warming -> done
        ^---------+----------+---------+        |
         recalled: constraints are violated     +--> lost (past its deadline; it still counts as unavailable)

`failed` (past its deadline before it was out, or while it warmed up) and `aborted` (its request was
withdrawn) end the maintenance of a machine with the machine in service.
"""

from __future__ import annotations

from enum import StrEnum


class Step(StrEnum):
    """A machine's step; the values are stored in the replicated log and shown on `/fleet`."""

    PROPOSED = "proposed"
    AGREED = "agreed"
    DRAINING = "draining"
    EMPTY = "empty"
    OUT = "out"
    BACK = "back"
    WARMING = "warming"
    DONE = "done"
    FAILED = "failed"
    ABORTED = "aborted"
    LOST = "lost"


IN_PROGRESS = frozenset({Step.AGREED, Step.DRAINING, Step.EMPTY, Step.OUT, Step.BACK, Step.WARMING})
"""Steps in which a machine counts as unavailable because of its maintenance."""

NO_NEW_WORK = frozenset({Step.DRAINING, Step.EMPTY, Step.OUT, Step.BACK, Step.LOST})
"""Steps in which a machine gets no new requests."""

FINISHED = frozenset({Step.DONE, Step.FAILED, Step.ABORTED})
"""Steps that end a machine's maintenance."""

RECALLABLE = frozenset({Step.AGREED, Step.DRAINING, Step.EMPTY})
"""Steps from which a machine can still go back to `proposed`, because work on it has not begun."""

OUT_OF_SERVICE = frozenset({Step.OUT, Step.LOST})
"""Steps in which operators may be working on a machine."""
