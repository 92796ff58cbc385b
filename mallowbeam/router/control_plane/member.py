"""One member: its parts made, wired, started and stopped. It decides nothing itself."""

from __future__ import annotations

import asyncio
import random
import time
from math import inf

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.server import Server
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.consensus.interface import RaftSettings
from mallowbeam.router.consensus.node import RaftNode
from mallowbeam.router.control_plane.api import ControlApi
from mallowbeam.router.control_plane.attempt_reports import AttemptReports
from mallowbeam.router.control_plane.body_admission import Work, run_in_thread
from mallowbeam.router.control_plane.bootstrap import peer_address
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.feed_server import FeedServer
from mallowbeam.router.control_plane.frame_dispatcher import FrameDispatcher
from mallowbeam.router.control_plane.graceful_leave import GracefulLeave
from mallowbeam.router.control_plane.instance_service import InstanceService
from mallowbeam.router.control_plane.membership_manager import MembershipManager
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.response_gate import ResponseGate
from mallowbeam.router.control_plane.stage_controller import StageController
from mallowbeam.router.control_plane.state_machine import ConfigurationFeed, ReplicatedStateMachine
from mallowbeam.router.control_plane.status_page import StatusPage
from mallowbeam.router.control_plane.storage_writer import StorageWriter
from mallowbeam.router.control_plane.store_recovery import DamageReportingStore, OpenedStore
from mallowbeam.router.feed.publisher import FeedPublisher
from mallowbeam.router.pairing.stage_balancer import StageBalancerSettings
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.processes.metrics import metrics_server
from mallowbeam.router.processes.overrides import overridden, read_overrides
from mallowbeam.router.processes.settings import NodeSettings, split_address
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.connection import FrameConnection, listen
from mallowbeam.router.rpc.messages_pb2 import (
    JoinRequest,
    LeaveRequest,
    LeaveResponse,
    Member,
    Membership,
    PeerFrame,
    ProposeRequest,
    ProposeResponse,
    RaftMessage,
    ReadIndexRequest,
    ReadIndexResponse,
    RegistryGossip,
    RetireInstance,
)

TRAILING_ENTRIES = 64  # kept in memory behind a snapshot; entries may be large
LOOK_S = 0.25  # between two looks at group, instances and connections
TOGETHER = 0.03  # what is due within so many seconds is done now, to spare a wake-up
TIMER_GRAIN = 0.001  # seconds; the loop's timers may fire this much early
FLUSH_PAUSE = 0.01  # seconds that changes of instances wait for others, so that crowds go together
MOST_CONNECTIONS = 1024  # of the control API
TRANSFER_WAIT = 0.5  # seconds for another member to take over at a stop
DRAIN_WAIT = 0.9  # seconds for calls that are held at a stop
DISK_WAIT = 0.5  # seconds for writes that are under way at a stop

log = get_logger("mallowbeam.member")


class ControlMember:
    """A member from its opened store to its end. Takes what peers send and hands it to the part concerned."""

    def __init__(self, settings: NodeSettings, opened: OpenedStore, work: Work = run_in_thread) -> None:
        """`work` runs what large bodies take beside the event loop."""
        assert settings.bind_addresses.control is not None
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = inf
        self._look_at = 0.0
        self._flush_due = False
        self._flushed_at = 0.0
        self._listening: asyncio.Server | None = None
        self._incoming: set[FrameConnection] = set()
        now = time.monotonic()
        self._own = Member(
            id=opened.identity,
            address=settings.peer_address,
            control=settings.bind_addresses.control,
            zone=settings.zone,
        )
        self._links = PeerLinks(self._own, self._link_frame)
        parser = ConfigurationParser()
        self._table = InstanceTable(settings.heartbeat_ms / 1000, now)
        self._machine = ReplicatedStateMachine(parser, self._retired)
        self.unusable: asyncio.Future[MallowbeamError] = self._loop.create_future()
        self.disk_ended = False  # once stopped: whether nothing is written any more
        store = DamageReportingStore(
            opened.store, lambda error: self._loop.call_soon_threadsafe(self.store_unusable, error)
        )
        self._disk = StorageWriter(store, lambda writes: self._driver.durable(writes))
        raft_settings = RaftSettings(opened.identity, trailing_entries=TRAILING_ENTRIES)
        node = RaftNode(raft_settings, opened.restored, now, random.Random())
        self._driver = RaftDriver(node, self._machine, self._disk.submit, self._send_raft, self)
        self._gate = ResponseGate(time.monotonic, self._driver.silence, lambda: self._driver.is_leader)
        self._commands = CommandForwarder(self._driver, self._links)
        self._instances = InstanceService(
            self._table,
            self._machine.retirements,
            self._commands,
            self._links,
            self._flush_soon,
            self._count_feeds,
            self._gate,
            random.Random(),
        )
        self._status = StatusPage(
            self._driver, self._links, self._table, self._machine.configurations, self._gate
        )
        self._stages = StageController(
            self._driver,
            opened.identity,
            self._table,
            self._machine.configurations,
            self._flush_soon,
            self._gate,
            settings.bounds.lease_ms / 1000,
            overridden(StageBalancerSettings(), read_overrides(), "stages"),
        )
        feed = ConfigurationFeed(self._machine.configurations)
        self._attempts = AttemptReports()
        self._feeds = FeedServer(
            FeedPublisher(feed, self._table, self._attempts.for_gateways),
            self._status.feed_status,
            self._flush_soon,
            self._stages.gateways,
            self._attempts.gateways,
        )
        self._group = MembershipManager(
            self._driver, self._own, settings.bootstrap, seed_links(settings), self._answer_leave
        )
        self._departure = GracefulLeave(self._driver, self._links, self._group.leave)
        self._listener = FrameDispatcher(self._links, self, self._feeds)
        api = ControlApi(
            parser,
            self._machine.configurations,
            self._commands,
            self._instances,
            self._status,
            self._gate,
            work,
        )
        self._server = Server(split_address(self._own.control), api, MOST_CONNECTIONS, shared=False)
        self._metrics_server = metrics_server(settings, self._status.metrics)
        self._machine.restore(opened.restored.snapshot.state)

    # ------------------------------------------------------------ start and stop

    async def start(self) -> None:
        """Listen and take part."""
        host, port = split_address(self._own.address)
        self._listening = await listen(host, port, self._listener.received, self._incoming.add, self._closed)
        self._disk.start()
        self._links.set_members(self._driver.node.membership.members)
        self._driver.start()
        self._server.start()
        if self._metrics_server is not None:
            self._metrics_server.start()
        self._turn()
        log.info("member %016x at %s, control API at %s", self._own.id, self._own.address, self._own.control)

    def reload(self, settings: NodeSettings) -> None:
        """Take changed settings: the seeds; all else holds until the next start."""
        self._group.set_seeds(seed_links(settings))

    async def stop(self) -> None:
        """Hand leadership over, give the voter's place away, answer what is held, and end.

        No new call is taken meanwhile, but consensus goes on: the others may need this member until its place
        is given away.
        """
        self._group.stop()
        self._stages.stop()
        if self.unusable.done():
            await self._server.drain(DRAIN_WAIT)
        else:
            await self._hand_over()
            await asyncio.gather(self._departure.leave(), self._server.drain(DRAIN_WAIT))
            await self._hand_over()  # it may have been elected meanwhile
        if self._timer is not None:
            self._timer.cancel()
        if self._metrics_server is not None:
            await self._metrics_server.shut()
        if self._listening is not None:
            self._listening.close()
        self._driver.stop()
        self.disk_ended = await self._disk.stop(DISK_WAIT)
        self._feeds.close()
        self._links.close()
        for connection in list(self._incoming):
            connection.abort()

    async def _hand_over(self) -> None:
        """Have another member lead, where this one does; not for longer than `TRANSFER_WAIT`."""
        if self._driver.is_leader:
            change = self._driver.leadership_changes.next()
            self._driver.transfer_leadership()
            await asyncio.wait((change,), timeout=TRANSFER_WAIT)

    # ------------------------------------------------------------ time

    def _turn(self) -> None:
        """Do what is due and see to the next turn."""
        self._timer, self._timer_at = None, inf
        now = time.monotonic()
        soon = now + TOGETHER
        if soon >= self._look_at:
            self._look_at = now + LOOK_S
            self._look()
        if soon >= self._instances.gossip_at():
            self._instances.pass_on(self._stages, self._attempts)
        if now >= self._flush_at():
            self._flush()
        self._set_timer(now)

    def _flush_at(self) -> float:
        """When feeds are to be sent something."""
        heartbeat_at = self._feeds.frames_at()
        return min(heartbeat_at, self._flushed_at + FLUSH_PAUSE) if self._flush_due else heartbeat_at

    def _set_timer(self, now: float) -> None:
        """See to a turn when the next thing is due; an earlier timer stays and is set again when it fires."""
        due = min(self._look_at, self._instances.gossip_at(), self._flush_at())
        if self._timer_at <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self._loop.call_later(max(0.0, due - now) + TIMER_GRAIN, self._turn)

    def _look(self) -> None:
        self._group.look()
        others = [known.id for known in self._driver.node.membership.members if known.id != self._own.id]
        self._instances.look(others)
        self._status.gateways = self._instances.gateway_counts.total(len(self._feeds), time.monotonic())
        self._stages.look(time.monotonic())
        self._server.sweep()

    # ------------------------------------------------------------ feeds

    def _flush(self) -> None:
        self._flush_due = False
        self._flushed_at = time.monotonic()
        self._feeds.send()

    def _flush_soon(self) -> None:
        """Gateways or members must learn of something, together with what else comes within a moment."""
        self._flush_due = True
        self._set_timer(time.monotonic())

    def _count_feeds(self) -> int:
        return len(self._feeds)

    def _retired(self, retirement: RetireInstance) -> None:
        """A retirement from the log."""
        self._instances.retired(retirement)

    # ------------------------------------------------------------ consensus (DriverListener)

    def applied(self) -> None:
        """Entries were applied: gateways get a new configuration at once."""
        self._flush()
        self._group.applied()

    def membership_changed(self, membership: Membership) -> None:
        """Another membership is in force."""
        self._links.set_members(membership.members)

    def store_unusable(self, error: MallowbeamError) -> None:
        """The store can't be used any more: take no further part; who runs this member discards it."""
        if not self.unusable.done():
            log.error("the store can't be used any more: %s", error.line)
            self._driver.stop()
            self.unusable.set_result(error)

    def _send_raft(self, recipient: int, message: RaftMessage) -> None:
        self._links.send(recipient, PeerFrame(raft=message))

    # ------------------------------------------------------------ peers (PeerHandler)

    def raft(self, sender: int, message: RaftMessage) -> None:
        """A message of consensus."""
        self._driver.receive(sender, message)

    def registry(self, sender: int, gossip: RegistryGossip) -> None:
        """News of instances."""
        self._instances.gossip(sender, gossip)
        now = time.monotonic()
        self._stages.heard(sender, gossip, now)
        self._attempts.heard(sender, gossip, now)

    def join(self, connection: FrameConnection, request: JoinRequest) -> None:
        """A process asks to become a member."""
        self._group.join(connection, request)

    def leave(self, sender: int, request: LeaveRequest) -> None:
        """A member asks the leader to give its place away."""
        self._group.leave(sender, request)

    def leave_response(self, response: LeaveResponse) -> None:
        """What the leader said to that."""
        self._departure.response(response)

    def _answer_leave(self, member: int, response: LeaveResponse) -> None:
        """Answer a member that leaves, which may be this one."""
        if member == self._own.id:
            self._departure.response(response)
        else:
            self._links.send(member, PeerFrame(leave_response=response))

    def propose(self, sender: int, request: ProposeRequest) -> None:
        """A command for the leader."""
        self._commands.propose(sender, request)

    def propose_response(self, response: ProposeResponse) -> None:
        """What became of a command that was passed to the leader."""
        self._commands.propose_response(response)

    def read_index(self, sender: int, request: ReadIndexRequest) -> None:
        """A read for the leader to confirm."""
        self._commands.read_index(sender, request)

    def read_index_response(self, response: ReadIndexResponse) -> None:
        """What the leader said to a read."""
        self._commands.read_index_response(response)

    def mistaken(self, caller: Member) -> None:
        """A member means an earlier identity at this address: it may be asked to take this one in."""
        self._group.called(caller.address)

    def link_lost(self) -> None:
        """Another member's connection to this one has ended."""
        self._instances.link_lost()

    # ------------------------------------------------------------ connections

    def _link_frame(self, connection: FrameConnection, body: bytes) -> None:
        """A frame on one of the outgoing links; none is expected."""
        self._listener.received(connection, body)

    def _closed(self, connection: FrameConnection) -> None:
        """An incoming connection is over."""
        self._incoming.discard(connection)
        self._listener.closed(connection)


def seed_links(settings: NodeSettings) -> tuple[str, ...]:
    """The link listeners of the seeds."""
    return tuple(peer_address(seed, settings.port_range[0]) for seed in settings.seeds)
