"""Schedules one gateway's status reports and tracks which of them have been committed."""

from __future__ import annotations

import msgspec

from mallowbeam.storage_gateway.coordination.maintenance.actions import LocalView, Timings
from mallowbeam.storage_gateway.coordination.maintenance.entries import MAX_NODES, NodeStatus, StatusReport
from mallowbeam.storage_gateway.coordination.maintenance.state import MaintenanceState

MAX_PENDING_REPORTS = 64  # reports remembered until they are committed; older ones count as lost


class StatusReporter:
    """Composes reports of one incarnation of a gateway; times are in seconds of its monotonic clock."""

    def __init__(self, incarnation: str, timings: Timings) -> None:
        self._incarnation = incarnation
        self._timings = timings
        self._number = 0
        self._committed_number = 0
        self._pending: dict[int, float] = {}  # by number: when the report was proposed
        self._reported_at = float("-inf")
        self._last_content = StatusReport("", 0, 0, "", {})

    def committed(self, number: int) -> float | None:
        """A report was committed; returns when it was proposed, or None if that is no longer known."""
        self._committed_number = max(self._committed_number, number)
        return self._pending.pop(number, None)

    def next_report(
        self,
        state: MaintenanceState,
        applied_index: int,
        local: LocalView,
        empty: list[str],
        warm: list[str],
        now: float,
    ) -> StatusReport | None:
        """The report to propose now, or None if none is due."""
        nodes = dict(sorted(local.nodes.items())[:MAX_NODES])
        steady_nodes = _without_load(nodes)
        if not state.active:  # the load changes constantly and is only needed during maintenance
            nodes = steady_nodes
        report = StatusReport(
            self._incarnation, 0, 0, local.zone, nodes, empty, warm, local.released_allotments
        )
        content = msgspec.structs.replace(report, nodes=steady_nodes)
        if now < self._reported_at + self._interval(state, changed=content != self._last_content):
            return None
        self._number += 1
        self._reported_at = now
        self._last_content = content
        self._pending[self._number] = now
        while len(self._pending) > MAX_PENDING_REPORTS:
            del self._pending[next(iter(self._pending))]
        return msgspec.structs.replace(report, number=self._number, applied_index=applied_index)

    def _interval(self, state: MaintenanceState, changed: bool) -> float:
        if changed:
            return self._timings.changed_report_s
        if state.active:
            return self._timings.report_s
        if self._committed_number == self._number:
            return self._timings.idle_report_s
        return self._timings.proposal_timeout_s  # the last report was lost


def _without_load(nodes: dict[str, NodeStatus]) -> dict[str, NodeStatus]:
    return {
        name: msgspec.structs.replace(status, in_flight=0, utilization=0.0) for name, status in nodes.items()
    }
