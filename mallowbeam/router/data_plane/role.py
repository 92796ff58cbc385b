"""The data-plane role: listeners, feed and graceful shutdown."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Iterator
from random import Random

from mallowbeam.http.server import Server
from mallowbeam.router.admission.planner import Planner as FleetPlanner
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.configuration.updates import apply_update
from mallowbeam.router.data_plane.client_frontend import ClientFrontend
from mallowbeam.router.data_plane.decision_log import DecisionLog
from mallowbeam.router.data_plane.demand import MeasuredPlanner
from mallowbeam.router.data_plane.feed_link import FeedLink
from mallowbeam.router.data_plane.gateway import Gateway
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.planner_interface import Planner
from mallowbeam.router.data_plane.readiness import ReadinessFrontend
from mallowbeam.router.data_plane.retry_budget import BudgetSettings, RetryBudgets
from mallowbeam.router.data_plane.staleness_monitor import StalenessMonitor, StateCurrent, StateStale
from mallowbeam.router.feed.subscriber import FeedEvents, FeedSubscriber, GatewayIdentity
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.processes.metrics import Metric, metrics_server
from mallowbeam.router.processes.overrides import apply_overrides, read_overrides
from mallowbeam.router.processes.role import RoleContext, run_role
from mallowbeam.router.processes.settings import Bounds, NodeSettings, SettingsFieldError, split_address
from mallowbeam.router.rpc.messages_pb2 import GatewayFrame

SWEEP_PERIOD_S = 1.0  # between two clean-ups of idle connections and health records
REPORT_PERIOD_S = 0.5  # between two reports of demand and attempt outcomes to the member
RESERVED_FDS = 260  # file descriptors reserved for uses other than client and instance connections
CLIENT_FRACTION = 0.5  # of the remaining file descriptors
MIN_CONNECTIONS = 16  # minimum for client and for instance connections each
BUDGET_FRACTION = 0.75  # of the fleet's retry budget that all gateways together use
READINESS_CONNECTIONS = 16
DRAIN_DELAY_S = 2.2  # from the stop signal until the platform has stopped sending new connections
DRAIN_DELAY_FRACTION = 0.35  # of the grace period; upper limit for that delay
MAX_REPORTED_STALENESS_S = 1e9  # in place of infinity, before the first frame of a current member
LATE_REQUEST_S = 3.0  # from SIGTERM; a request sent later must not be cut by the exit
SIGNAL_DELAY_S = 0.5  # until a busy process notices SIGTERM; its own times count from then
UNBOUNDED_FRACTION = 0.4  # of the grace period; upper limit for the time until a request counts as late
ANSWER_MARGIN_S = 0.1  # between the last deadline of an accepted request and the exit
MAX_LOGGED_REQUESTS = 20  # requests cut by the exit that are logged one by one
PROCESS_END_S = 0.3  # from the cut of unfinished requests to the end of the process
EXIT_MARGIN_S = SIGNAL_DELAY_S + PROCESS_END_S  # of the grace period, after the cut

log = get_logger("mallowbeam.data_plane")
decisions = get_logger("mallowbeam.decisions")


class DataPlane:
    """One gateway process."""

    def __init__(self, context: RoleContext, planner: Planner | None = None) -> None:
        self._context = context
        settings = context.settings
        client_connections, instance_connections = divide_descriptors(settings.limits.max_fds)
        bounds = settings.bounds
        budget = retry_budget(bounds)
        if planner is None:
            planner_settings = apply_overrides(PlannerSettings(), read_overrides(), "planner")
            planner = FleetPlanner(planner_settings, settings.node_name)
        if settings.decision_log:
            planner = DecisionLog(planner, decisions.info)
        self.gateway = Gateway(settings.zone, LinkPool(instance_connections), RetryBudgets(budget), planner)
        self.gateway.planner = MeasuredPlanner(planner, self.gateway.demand)
        self.front = ClientFrontend(self.gateway, settings.limits.memory_mb)
        self.subscriber = self._make_subscriber(settings)
        self.gateway.view.instances = self.subscriber.instances
        self.feed = FeedLink(self.subscriber, self._apply_events)
        context.on_reload(self._apply_settings)
        self._staleness = StalenessMonitor(time.monotonic())
        front_address = _address(settings.bind_addresses.front, "front")
        self.front_server = Server(front_address, self.front, client_connections, name="front", shared=False)
        self.readiness_server = Server(
            _address(settings.bind_addresses.readiness, "readiness"),
            ReadinessFrontend(self.ready),
            READINESS_CONNECTIONS,
            name="readiness",
            shared=False,
        )

        self.metrics_server = metrics_server(settings, self._metrics)

    def _metrics(self) -> Iterator[Metric]:
        """Yield this gateway's metrics."""
        gateway, now = self.gateway, time.monotonic()
        requests = "Answers that have gone out, by status."
        for status, count in sorted(gateway.answers.items()):
            yield Metric("mallowbeam_requests_total", count, requests, "counter", ("status", str(status)))
        attempts = "Attempts at instances, by how they ended."
        for end, count in sorted(gateway.attempts.items(), key=lambda entry: entry[0].value):
            yield Metric("mallowbeam_attempts_total", count, attempts, "counter", ("end", end.value))
        opened = "Connections opened to instances."
        yield Metric("mallowbeam_connections_opened_total", gateway.pool.opened, opened, "counter")
        instances = gateway.view.instances
        yield Metric("mallowbeam_instances", len(instances), "Instances known.")
        ejected = len(gateway.health.excluded(instances, now))
        yield Metric("mallowbeam_instances_ejected", ejected, "Instances left out for a while.")
        yield Metric("mallowbeam_gateways", gateway.view.gateways, "Gateways that share the instances.")
        revision = self.subscriber.configuration_revision
        yield Metric("mallowbeam_configuration_revision", revision, "Configuration in force.")
        staleness_s = min(self.subscriber.staleness(now), MAX_REPORTED_STALENESS_S)
        yield Metric("mallowbeam_silence_seconds", staleness_s, "Time since a member confirmed the state.")
        dropped = "Requests read completely whose connection was closed without an answer."
        yield Metric(
            "mallowbeam_requests_dropped_total", self.front_server.dropped_requests, dropped, "counter"
        )
        cut = "Streams that ended before their last event, by cause."
        for cause, count in sorted(gateway.streams_truncated.items(), key=lambda entry: entry[0].value):
            yield Metric("mallowbeam_streams_truncated_total", count, cut, "counter", ("cause", cause.value))
        yield Metric("mallowbeam_ready", int(self.ready()), "1 while clients may be sent here.")

    def ready(self) -> bool:
        """Whether the platform may send clients to this gateway."""
        return self.subscriber.ready(time.monotonic()) and not self._context.stopping.is_set()

    async def serve(self) -> None:
        """Serve until signalled to stop, then finish the pending requests."""
        loop = asyncio.get_running_loop()
        self.readiness_server.start()
        self.front_server.start()
        if self.metrics_server is not None:
            self.metrics_server.start()
        feed = loop.create_task(self.feed.run())
        periodic = loop.create_task(self._report_and_sweep())
        feed.add_done_callback(_log_failure)
        log.info("serving")
        try:
            await self._context.stopping.wait()
            await self._stop()
        finally:
            feed.cancel()
            periodic.cancel()
            await asyncio.gather(feed, periodic, return_exceptions=True)
            self.gateway.pool.close()
            if self.metrics_server is not None:
                await self.metrics_server.stop_accepting()

    async def _stop(self) -> None:
        """Fail readiness checks, keep serving until the platform has noticed, then drain."""
        grace_s = self._context.settings.bounds.grace_s
        drain_delay_s = min(DRAIN_DELAY_S, grace_s * DRAIN_DELAY_FRACTION)
        stopped_at = time.monotonic()
        log.info("stopping")
        await asyncio.sleep(drain_delay_s)
        exit_at = stopped_at + max(drain_delay_s, grace_s - EXIT_MARGIN_S)
        unbounded_s = min(LATE_REQUEST_S - SIGNAL_DELAY_S, grace_s * UNBOUNDED_FRACTION)
        self.front.stop(stopped_at + unbounded_s, exit_at - ANSWER_MARGIN_S)
        try:
            async with asyncio.timeout(exit_at - time.monotonic()):
                await self.front_server.drain()
        except TimeoutError:
            log.warning(
                "%d requests were unfinished at the end of the grace period", self.front_server.pending
            )
            self._log_unanswered(stopped_at)
        log.info(
            "drained %.1f s after the stop signal, %d requests were dropped unanswered in this life",
            time.monotonic() - stopped_at,
            self.front_server.dropped_requests,
        )
        await self.gateway.handles.finish()
        await self.readiness_server.stop_accepting()

    def _log_unanswered(self, stopped_at: float) -> None:
        """Log the requests that the exit cuts, when each was read, and how far it had come."""
        for one in self.front_server.unanswered[:MAX_LOGGED_REQUESTS]:
            request_id = (one.request.get(b"request-id") or b"unknown").decode("latin-1")
            read_at_s = one.request.completed_at - stopped_at
            log.warning(
                "request %s is cut by the exit; read %+.1f s after the stop signal, %s",
                request_id,
                read_at_s,
                one.progress.value,
            )

    def _apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed seeds; all other changed settings apply from the next start."""
        self.feed.replace_seeds(settings.seed_peer_addresses)

    def _apply_events(self, events: FeedEvents[Configuration], now: float) -> None:
        """Apply the changes of one feed frame."""
        if events.configuration is not None:
            self.gateway.set_configuration(events.configuration, now)
            self.front.set_limits(events.configuration.limits)
            log.info("applied configuration revision %d", events.configuration.revision)
        if events.instances.changed or events.instances.ended:
            self.gateway.instances_changed(events.instances, now)
        self.gateway.set_gateways(self.subscriber.gateways_bound(now))
        self.gateway.fleet_attempts_reported(events.attempts, now)

    async def _report_and_sweep(self) -> None:
        swept_at = time.monotonic()
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            now = time.monotonic()
            attempts, demand = self.gateway.attempt_meter.sample(), self.gateway.demand.sample(now)
            self.feed.send(GatewayFrame(attempts=attempts, tells_attempts=True, demand=demand))
            if now - swept_at < SWEEP_PERIOD_S:
                continue
            swept_at = now
            self.front_server.sweep()
            self.readiness_server.sweep()
            self.gateway.sweep(now)
            self._report_staleness(now)

    def _report_staleness(self, now: float) -> None:
        """Log that no followed member's state is current, or that one is current again."""
        match self._staleness.update(self.subscriber.staleness(now), now):
            case StateStale(age_s):
                addresses = " ".join(self.subscriber.member_addresses)
                log.warning("no member has confirmed the state for %.0f s, trying %s", age_s, addresses)
            case StateCurrent():
                log.info("a member confirms the state again")

    def _make_subscriber(self, settings: NodeSettings) -> FeedSubscriber[Configuration]:
        seed = int.from_bytes(os.urandom(8), "big")
        return FeedSubscriber(
            settings.seed_peer_addresses,
            GatewayIdentity(settings.zone, settings.node_name, seed),
            Random(seed),
            apply_update,
        )


def retry_budget(bounds: Bounds) -> BudgetSettings:
    """Return the gateways' retry budget, which is smaller than the fleet's limit.

    A gateway counts requests that don't count for the fleet's limit (calls that only check which
    configuration is in force), and it learns with a delay how many other gateways there are.
    """
    return BudgetSettings(
        bounds.retry_budget_ratio * BUDGET_FRACTION,
        bounds.budget_window_s,
        int(bounds.min_retries * BUDGET_FRACTION),
    )


def divide_descriptors(max_fds: int) -> tuple[int, int]:
    """Divide the file descriptors into client connections and instance connections."""
    available = max_fds - RESERVED_FDS
    clients = max(MIN_CONNECTIONS, int(available * CLIENT_FRACTION))
    return clients, max(MIN_CONNECTIONS, available - clients)


def _address(text: str | None, name: str) -> tuple[str, int]:
    """Return a listener's address.

    Raises:
        SettingsFieldError: the settings don't contain it.
    """
    if text is None:
        raise SettingsFieldError("is missing", f"bind_addresses.{name}")
    return split_address(text)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        log.error("feed task failed", exc_info=(type(error), error, error.__traceback__))


async def serve(context: RoleContext) -> None:
    """Run the role."""
    await DataPlane(context).serve()


def main() -> int:
    """Run the data-plane role and return the exit code of the process."""
    return run_role(serve)
