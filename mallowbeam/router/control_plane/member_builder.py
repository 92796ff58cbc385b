"""Composition root of a member: builds all parts and connects them. It starts nothing.

Some parts depend on each other (storage reports to consensus, which writes to storage), so their callbacks go
through :class:`_Wiring`, which gets the parts last. No part calls back before that.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.server import Server
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.consensus.interface import RaftSettings, Write
from mallowbeam.router.consensus.node import RaftNode
from mallowbeam.router.control_plane.api import ApiServices, ControlApi
from mallowbeam.router.control_plane.attempt_reports import AttemptReports
from mallowbeam.router.control_plane.body_admission import JobRunner, run_in_thread
from mallowbeam.router.control_plane.cluster_join import ClusterJoin
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.feed_server import FeedServer
from mallowbeam.router.control_plane.frame_dispatcher import FrameDispatcher
from mallowbeam.router.control_plane.graceful_leave import GracefulLeave
from mallowbeam.router.control_plane.instance_service import InstanceService, RegistryParts
from mallowbeam.router.control_plane.member import ControlMember
from mallowbeam.router.control_plane.member_cycle import MemberCycle
from mallowbeam.router.control_plane.member_parts import MemberParts
from mallowbeam.router.control_plane.membership_manager import MembershipManager
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.peer_requests import PeerRequests
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.response_gate import ResponseGate
from mallowbeam.router.control_plane.stage_controller import StageController
from mallowbeam.router.control_plane.stage_lease import StageLease
from mallowbeam.router.control_plane.stage_order_client import StageOrderClient
from mallowbeam.router.control_plane.state_machine import ConfigurationFeed, ReplicatedStateMachine
from mallowbeam.router.control_plane.status_page import StatusPage
from mallowbeam.router.control_plane.storage_writer import StorageWriter
from mallowbeam.router.control_plane.store_recovery import DamageReportingStore, OpenedStore
from mallowbeam.router.feed.publisher import FeedPublisher
from mallowbeam.router.pairing.stage_balancer import StageBalancerSettings
from mallowbeam.router.processes.metrics import metrics_server
from mallowbeam.router.processes.overrides import apply_overrides, read_overrides
from mallowbeam.router.processes.settings import NodeSettings, split_address
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.messages_pb2 import (
    LeaveResponse,
    Member,
    Membership,
    PeerFrame,
    RaftMessage,
    RetireInstance,
)

TRAILING_ENTRIES = 64  # compacted ones kept in memory for lagging members; entries may be large
MAX_API_CONNECTIONS = 1024


def build_member(
    settings: NodeSettings, opened: OpenedStore, run_job: JobRunner = run_in_thread
) -> ControlMember:
    """Build a member on an opened store; `run_job` runs work on large bodies outside the event loop."""
    wiring = _Wiring()
    replication = _build_replication(settings, opened, wiring)
    instances = _build_instances(settings, replication, wiring)
    serving = _build_serving(settings, replication, instances, wiring, run_job)
    membership = _build_membership(settings, replication, wiring)
    parts = MemberParts(
        own=replication.own,
        links=replication.links,
        dispatcher=FrameDispatcher(replication.links, wiring.peer_requests, serving.feeds),
        state_machine=replication.state_machine,
        storage=replication.storage,
        driver=replication.driver,
        commands=replication.commands,
        membership=membership.manager,
        cluster_join=membership.cluster_join,
        graceful_leave=membership.graceful_leave,
        instances=instances.service,
        stages=instances.stages,
        attempts=instances.attempts,
        feeds=serving.feeds,
        status=serving.status,
        api_server=serving.api_server,
        metrics_server=serving.metrics_server,
    )
    member = wiring.connect(parts)
    parts.state_machine.restore(opened.restored.snapshot.state)
    return member


class _Wiring:
    """Callbacks into parts that are built after their callers."""

    def __init__(self) -> None:
        self.peer_requests = PeerRequests()
        self._loop = asyncio.get_running_loop()

    def connect(self, parts: MemberParts) -> ControlMember:
        """Set the parts that the callbacks call, and build the member."""
        self._parts = parts
        self._cycle = MemberCycle(parts)
        self._member = ControlMember(parts, self._cycle)
        self.peer_requests.parts = parts
        return self._member

    def frame_received(self, connection: FrameConnection, body: bytes) -> None:
        """A frame on an outgoing link; none is expected."""
        self._parts.dispatcher.received(connection, body)

    def instance_retired(self, retirement: RetireInstance) -> None:
        """A retirement was applied from the log or a snapshot."""
        self._parts.instances.apply_retirement(retirement)

    def gateways_outdated(self) -> None:
        """A change must be sent to gateways or members."""
        self._cycle.flush_soon()

    def count_feeds(self) -> int:
        """Number of gateways that subscribe to this member's feed."""
        return len(self._parts.feeds)

    def writes_durable(self, writes: Sequence[Write]) -> None:
        """Storage has made writes durable; called in the event loop."""
        self._parts.driver.writes_durable(writes)

    def store_damaged(self, error: MallowbeamError) -> None:
        """A write found the store damaged; called in the writer's thread."""
        self._loop.call_soon_threadsafe(self.store_unusable, error)

    def send_raft(self, recipient: int, message: RaftMessage) -> None:
        """Send a Raft message."""
        self._parts.links.send(recipient, PeerFrame(raft=message))

    def answer_leave(self, member: int, response: LeaveResponse) -> None:
        """Send a response to a leaving member, which may be this one."""
        if member == self._parts.own.id:
            self._parts.graceful_leave.receive_response(response)
        else:
            self._parts.links.send(member, PeerFrame(leave_response=response))

    # ------------------------------------------------------------ DriverListener

    def entries_applied(self) -> None:
        """Entries were applied, or a snapshot was installed."""
        self._member.entries_applied()

    def membership_changed(self, membership: Membership) -> None:
        """Another membership is in effect."""
        self._member.membership_changed(membership)

    def store_unusable(self, error: MallowbeamError) -> None:
        """The store is unusable."""
        self._member.store_unusable(error)

    def program_outdated(self, error: MallowbeamError) -> None:
        """A newer program version is needed to apply committed data."""
        self._member.program_outdated(error)


@dataclass(frozen=True, slots=True)
class _Replication:
    """Consensus, the replicated state, and the parts that use them directly."""

    own: Member
    parser: ConfigurationParser
    links: PeerLinks
    table: InstanceTable
    state_machine: ReplicatedStateMachine
    storage: StorageWriter
    driver: RaftDriver
    gate: ResponseGate
    commands: CommandForwarder


def _build_replication(settings: NodeSettings, opened: OpenedStore, wiring: _Wiring) -> _Replication:
    now = time.monotonic()
    own = _own_member(settings, opened.identity)
    links = PeerLinks(own, wiring.frame_received)
    parser = ConfigurationParser()
    table = InstanceTable(settings.heartbeat_ms / 1000, now)
    state_machine = ReplicatedStateMachine(parser, wiring.instance_retired)
    storage = StorageWriter(DamageReportingStore(opened.store, wiring.store_damaged), wiring.writes_durable)
    raft_settings = RaftSettings(opened.identity, trailing_entries=TRAILING_ENTRIES)
    node = RaftNode(raft_settings, opened.restored, now, random.Random())
    driver = RaftDriver(node, state_machine, storage.submit, wiring.send_raft, wiring)
    return _Replication(
        own=own,
        parser=parser,
        links=links,
        table=table,
        state_machine=state_machine,
        storage=storage,
        driver=driver,
        gate=ResponseGate(time.monotonic, driver.staleness, lambda: driver.is_leader),
        commands=CommandForwarder(driver, links),
    )


def _own_member(settings: NodeSettings, identity: int) -> Member:
    """This member's entry in the membership."""
    assert settings.bind_addresses.control is not None
    return Member(
        id=identity,
        address=settings.peer_address,
        control=settings.bind_addresses.control,
        zone=settings.zone,
    )


@dataclass(frozen=True, slots=True)
class _InstanceParts:
    """The parts that track instances and assign them to stages."""

    service: InstanceService
    stages: StageController
    attempts: AttemptReports


def _build_instances(settings: NodeSettings, replication: _Replication, wiring: _Wiring) -> _InstanceParts:
    service = InstanceService(
        RegistryParts(
            table=replication.table,
            retirements=replication.state_machine.retirements,
            commands=replication.commands,
            links=replication.links,
            gate=replication.gate,
        ),
        gateways_outdated=wiring.gateways_outdated,
        count_gateways=wiring.count_feeds,
        random=random.Random(),
    )
    lease = StageLease(
        replication.driver, replication.gate, replication.own.id, settings.bounds.lease_ms / 1000
    )
    stages = StageController(
        StageOrderClient(lease),
        replication.table,
        replication.state_machine.configurations,
        wiring.gateways_outdated,
        apply_overrides(StageBalancerSettings(), read_overrides(), "stages"),
    )
    return _InstanceParts(service, stages, AttemptReports())


@dataclass(frozen=True, slots=True)
class _ServingParts:
    """The parts that serve operators, instances and gateways."""

    status: StatusPage
    feeds: FeedServer
    api_server: Server
    metrics_server: Server | None


def _build_serving(
    settings: NodeSettings,
    replication: _Replication,
    instances: _InstanceParts,
    wiring: _Wiring,
    run_job: JobRunner,
) -> _ServingParts:
    versions = replication.state_machine.configurations
    status = StatusPage(replication.driver, replication.links, replication.table, versions, replication.gate)
    publisher = FeedPublisher(ConfigurationFeed(versions), replication.table, instances.attempts.for_gateways)
    feeds = FeedServer(
        publisher,
        status.feed_status,
        wiring.gateways_outdated,
        instances.stages.gateways,
        instances.attempts.gateways,
    )
    services = ApiServices(
        versions=versions,
        commands=replication.commands,
        instances=instances.service,
        status=status,
        gate=replication.gate,
    )
    api = ControlApi(services, replication.parser, run_job)
    api_server = Server(split_address(replication.own.control), api, MAX_API_CONNECTIONS, shared=False)
    return _ServingParts(status, feeds, api_server, metrics_server(settings, status.metrics))


@dataclass(frozen=True, slots=True)
class _MembershipParts:
    """The parts that change the membership."""

    manager: MembershipManager
    cluster_join: ClusterJoin
    graceful_leave: GracefulLeave


def _build_membership(settings: NodeSettings, replication: _Replication, wiring: _Wiring) -> _MembershipParts:
    manager = MembershipManager(replication.driver, replication.own.id, wiring.answer_leave)
    cluster_join = ClusterJoin(
        replication.driver, replication.own, settings.bootstrap, settings.seed_peer_addresses
    )
    graceful_leave = GracefulLeave(replication.driver, replication.links, manager.leave)
    return _MembershipParts(manager, cluster_join, graceful_leave)
