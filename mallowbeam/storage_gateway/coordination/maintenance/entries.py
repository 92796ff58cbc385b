"""Entries that gateways propose to the replicated log for the topic `maintenance`.

Tags and encoded field names are fixed, because gateways of different versions read each other's entries
(docs/formats/fleet-log.md).  `rename` maps a field to its name in the log.
"""

from __future__ import annotations

import msgspec

from mallowbeam.storage_gateway.coordination.maintenance.steps import Step
from mallowbeam.storage_gateway.coordination.replicated_log import Entry

MAX_NODES = 600  # in one report, so that it fits into an entry; further nodes are not reported


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """A storage node as one gateway sees it; encoded as an array, so the order of fields is fixed."""

    zone: str = ""
    shard: int = 0
    weight: float = 1.0
    up: bool = True
    in_flight: int = 0  # requests that this gateway has in flight at the node
    utilization: float = 0.0  # fraction of time (0 to 1) in which the node is busy
    sole_replica: bool = False  # this gateway knows data that only this node serves
    start_count: int = 0  # identifies the node's latest start (start time from discovery); 0: unknown


class StatusReport(
    Entry,
    frozen=True,
    tag="Report",
    rename={"incarnation": "life", "applied_index": "heard", "released_allotments": "gave_up"},
):
    """One gateway's observations and progress after applying the log entry `applied_index`."""

    incarnation: str  # of the gateway's process
    number: int  # counts the reports of one incarnation
    applied_index: int
    zone: str
    nodes: dict[str, NodeStatus]
    empty: list[str] = []  # machines that it no longer sends requests to, with none in flight
    warm: list[str] = []  # machines whose warm-up has ended by the gateway's own clock
    released_allotments: bool = False  # the gateway uses none of its quota allotments


class LeaseExpired(Entry, frozen=True, tag="Gone", rename={"incarnation": "life", "report_number": "number"}):
    """A gateway's lease has certainly expired; identifies its last report that the proposer has seen."""

    gateway: str
    incarnation: str
    report_number: int


class SelectNext(Entry, frozen=True, tag="Next", rename={"selection": "turn"}):
    """Select the next machine; `selection` counts selections, so that concurrent proposals select one."""

    selection: int


class Transition(Entry, frozen=True, tag="Move", rename={"target": "to", "version": "turn"}):
    """One machine's next step; `version` is the version of the machine's state that the proposer saw."""

    machine: str
    target: Step
    version: int


class DeadlineExceeded(Entry, frozen=True, tag="TimeUp", rename={"agreed_index": "began"}):
    """A machine is past its deadline by the proposer's clock.

    `agreed_index` identifies the overdue maintenance, because the machine may go out of service again later.
    """

    machine: str
    agreed_index: int


class WorkCompleted(Entry, frozen=True, tag="Back"):
    """An operator reports that the work on a machine is done."""

    machine: str


MaintenanceEntry = StatusReport | LeaseExpired | SelectNext | Transition | DeadlineExceeded | WorkCompleted
