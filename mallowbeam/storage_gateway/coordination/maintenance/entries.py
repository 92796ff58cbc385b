"""Entries that gateways put into the replicated log for the topic `maintenance`.

Tags and encoded field names are fixed: members of different versions read one another's entries
(docs/formats/fleet-log.md).  `rename` maps a field to its name in the log.
"""

from __future__ import annotations

import msgspec

from mallowbeam.storage_gateway.coordination.maintenance.steps import Step
from mallowbeam.storage_gateway.coordination.replicated_log import Entry

MAX_NODES = 600  # of one report, bounded by the size of an entry; further nodes are not reported


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """A storage node as one gateway sees it; encoded as an array, so the order of fields is fixed."""

    zone: str = ""
    shard: int = 0
    weight: float = 1.0
    up: bool = True
    in_flight: int = 0  # this gateway's attempts at the node
    utilization: float = 0.0  # fraction of its time in which the node works
    sole_replica: bool = False  # this gateway knows of data that no other node serves
    start_count: int = 0  # tells the node's starts apart, by discovery's time of it; 0 where it is not known


class StatusReport(
    Entry,
    frozen=True,
    tag="Report",
    rename={"incarnation": "life", "applied_index": "heard", "released_allotments": "gave_up"},
):
    """What one gateway sees and has done, as of the log entry `applied_index`."""

    incarnation: str  # of the gateway's process
    number: int  # counts the reports of one incarnation
    applied_index: int
    zone: str
    nodes: dict[str, NodeStatus]
    empty: list[str] = []  # machines it sends nothing to any more, with nothing in flight there
    warm: list[str] = []  # machines that are warmed up, by its own clock
    released_allotments: bool = False  # it uses none of its quota allotments


class LeaseExpired(Entry, frozen=True, tag="Gone", rename={"incarnation": "life", "report_number": "number"}):
    """A gateway's lease has certainly run out; names the last report that the proposer has seen of it."""

    gateway: str
    incarnation: str
    report_number: int


class SelectNext(Entry, frozen=True, tag="Next", rename={"selection": "turn"}):
    """Select the next machine; `selection` counts selections, so that concurrent proposals select once."""

    selection: int


class Transition(Entry, frozen=True, tag="Move", rename={"target": "to", "version": "turn"}):
    """One machine's next step; `version` is that of the machine's state on which the proposal rests."""

    machine: str
    target: Step
    version: int


class DeadlineExceeded(Entry, frozen=True, tag="TimeUp", rename={"agreed_index": "began"}):
    """A machine is past its deadline by the proposer's clock.

    `agreed_index` identifies the maintenance that is late, as a machine may go out again later.
    """

    machine: str
    agreed_index: int


class WorkCompleted(Entry, frozen=True, tag="Back"):
    """An operator reports that the work on a machine is done."""

    machine: str


MaintenanceEntry = StatusReport | LeaseExpired | SelectNext | Transition | DeadlineExceeded | WorkCompleted
