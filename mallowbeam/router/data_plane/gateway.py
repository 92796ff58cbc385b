"""The state shared by all requests: fleet view, connections, budgets, health, planner and counters."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.data_plane.attempt_meter import AttemptMeter
from mallowbeam.router.data_plane.demand import DemandMeter
from mallowbeam.router.data_plane.fleet_view import FleetView
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.outcomes import AttemptEnd
from mallowbeam.router.data_plane.planner_interface import Planner
from mallowbeam.router.data_plane.prefill import HandleRelease
from mallowbeam.router.data_plane.retry_budget import RetryBudgets
from mallowbeam.router.data_plane.truncation import TruncationCause
from mallowbeam.router.feed.instance_replica import InstanceChanges
from mallowbeam.router.health.outlier_detection import OutlierDetector
from mallowbeam.router.rpc.messages_pb2 import DRAINS, ENDED, Instance, InstanceAttempts

UNREACHED = frozenset(
    (AttemptEnd.NO_CONNECTION, AttemptEnd.NOT_SENT, AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT)
)
REACHED = frozenset((AttemptEnd.REJECTED, AttemptEnd.FAILED, AttemptEnd.ANSWERED))
SUSPECT_FAILURES = (
    3  # failures in the whole fleet within half a second; only if they outnumber the answered attempts
)


class Gateway:
    """The shared state; only the event loop's thread may use it."""

    def __init__(self, zone: str, pool: LinkPool, budgets: RetryBudgets, planner: Planner) -> None:
        self.zone = zone
        self.pool = pool
        self.budgets = budgets
        self.planner = planner
        self.view = FleetView()
        self.health = OutlierDetector()
        self.handles = HandleRelease(pool)
        self.demand = DemandMeter()
        self.attempt_meter = AttemptMeter()
        self.attempts: Counter[AttemptEnd] = Counter()
        self.answers: Counter[int] = Counter()  # by HTTP status
        self.streams_truncated: Counter[TruncationCause] = Counter()

    def set_configuration(self, configuration: Configuration, now: float) -> None:
        """Apply a configuration."""
        self.view.set_configuration(configuration)
        self.budgets.keep_only(frozenset(configuration.backends), now)
        self.planner.configuration_changed(configuration.backends.values(), now)

    def instances_changed(self, changes: InstanceChanges, now: float) -> None:
        """Apply changes of the instance table."""
        self.view.instances_changed(changes)
        for instance in changes.ended:
            self.pool.forget(instance)
            self.health.forget(instance)
        ended = [Instance(id=instance, state=ENDED) for instance in changes.ended]
        changed = [_as_planned(instance) for instance in changes.changed]
        self.planner.instances_changed([*changed, *ended], now)

    def set_gateways(self, count: int) -> None:
        """Set the number of gateways, including this one, that share the instances and budgets."""
        if count != self.view.gateways:
            self.view.gateways = max(1, count)
            self.planner.gateways_changed(self.view.gateways)

    def attempt_ended(self, instance: str, end: AttemptEnd, now: float) -> None:
        """Count an attempt and update the instance's health."""
        self.attempts[end] += 1
        if end in REACHED:
            self.health.succeeded(instance)
            self.attempt_meter.ended(instance, answered=True)
        elif end in UNREACHED:
            self.health.failed(instance, now)
            if end is not AttemptEnd.TIMED_OUT:  # a long queue also causes time-outs
                self.attempt_meter.ended(instance, answered=False)
        elif end is AttemptEnd.MISDIRECTED:
            self.health.failed(instance, now, at_once=True)

    def fleet_attempts_reported(self, attempts: Sequence[InstanceAttempts], now: float) -> None:
        """Apply the fleet's report of attempts at failing instances."""
        for one in attempts:
            if one.failed >= SUSPECT_FAILURES and one.failed > one.answered:
                self.health.suspected(one.id, now)

    def sweep(self, now: float) -> None:
        """Do the periodic clean-up."""
        self.pool.sweep()
        self.health.sweep(now)


def _as_planned(instance: Instance) -> Instance:
    """Return an instance as the planner sees it: one that is switching stages counts as draining."""
    if not instance.switching_to:
        return instance
    planned = Instance()
    planned.CopyFrom(instance)
    planned.state = DRAINS
    return planned
