"""The parts of a member, as built by `member_builder`."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.http.server import Server
from mallowbeam.router.control_plane.attempt_reports import AttemptReports
from mallowbeam.router.control_plane.cluster_join import ClusterJoin
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.feed_server import FeedServer
from mallowbeam.router.control_plane.frame_dispatcher import FrameDispatcher
from mallowbeam.router.control_plane.graceful_leave import GracefulLeave
from mallowbeam.router.control_plane.instance_service import InstanceService
from mallowbeam.router.control_plane.membership_manager import MembershipManager
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.stage_controller import StageController
from mallowbeam.router.control_plane.state_machine import ReplicatedStateMachine
from mallowbeam.router.control_plane.status_page import StatusPage
from mallowbeam.router.control_plane.storage_writer import StorageWriter
from mallowbeam.router.rpc.messages_pb2 import Member


@dataclass(frozen=True, slots=True)
class MemberParts:
    """The long-lived parts of a member, which :class:`ControlMember` starts, runs and stops."""

    own: Member  # this member's entry in the membership
    links: PeerLinks
    dispatcher: FrameDispatcher
    state_machine: ReplicatedStateMachine
    storage: StorageWriter
    driver: RaftDriver
    commands: CommandForwarder
    membership: MembershipManager
    cluster_join: ClusterJoin
    graceful_leave: GracefulLeave
    instances: InstanceService
    stages: StageController
    attempts: AttemptReports
    feeds: FeedServer
    status: StatusPage
    api_server: Server
    metrics_server: Server | None
