"""Deliberately broken variants of the fleet, each with a scenario that exposes the fault.

A variant patches the real classes while its scenario is played. The scenario passes without the patch, so a
violation is due to the fault.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.consensus import leader
from mallowbeam.router.consensus.interface import PersistentState
from mallowbeam.router.consensus.node import RaftNode
from mallowbeam.router.consensus.state import MemberState
from mallowbeam.router.control_plane import membership_manager
from mallowbeam.router.control_plane.api import ControlApi
from mallowbeam.router.control_plane.api_errors import VersionMismatchError
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.membership_manager import MembershipManager
from mallowbeam.router.control_plane.membership_policy import ClusterView
from mallowbeam.router.control_plane.peer_requests import PeerRequests
from mallowbeam.router.control_plane.state_machine import CommandOutcome, ReplicatedStateMachine
from mallowbeam.router.feed.instance_replica import InstanceReplica
from mallowbeam.router.rpc.messages_pb2 import ALREADY_DONE, DONE, REFUSED, VERSION_MISMATCH, Membership
from mallowbeam.simulation.replica import Replica

HEAD = "members m1 m2 m3\ngateways g1\ninstances a b\nat 2 put 1 on 0\nby 8 expect gateways ready\n"
M3_PARTITIONED = "at 8 cut m3 m1\nat 8 cut m3 m2\nat 8.5 put 2 on 1 via m1\nby 11 expect taken 2\n"
Patch = Callable[[], AbstractContextManager[Any]]


@dataclass(frozen=True, slots=True)
class Variant:
    """A fault, the scenario that exposes it, and a part of the message of its violation."""

    name: str
    message: str
    text: str
    patch: Patch
    checkers: tuple[str, ...] = ()  # names of the checkers of WITHIN_TOLERANCE that run


def _replaced(owner: object, name: str, value: object) -> Patch:
    return lambda: mock.patch.object(owner, name, value)


# ------------------------------------------------------------ 1: contact with a majority

_handle = ControlApi.handle
_put_config = ControlApi._put_config


async def _read_local_state(self: ControlApi, request: Any, since: float) -> Any:
    return 200, self._versions.current_body()


async def _acknowledge_uncommitted(self: ControlApi, request: Any, since: float) -> Any:
    revision = json.loads(bytes(request.body))["revision"]
    if revision == 1:  # the gateways wait for the first configuration
        return await _put_config(self, request, since)
    return 200, b'{"revision":%d}' % revision


async def _delay_reads(self: ControlApi, request: Any, closing: Any) -> Any:
    if request.method == b"GET":
        await asyncio.sleep(2.0)
    return await _handle(self, request, closing)


def _return_fresh(self: RaftNode, now: float) -> float:
    return 0.0


MAJORITY_CONTACT = (
    Variant(
        "reads without the leader's word",
        "revision 2 was acknowledged, m3 reads 1 back",
        M3_PARTITIONED + "at 11 get via m3\nend 14",
        _replaced(ControlApi, "_get_config", _read_local_state),
    ),
    Variant(
        "changes acknowledged before they are committed",
        "which no member has applied",
        "at 8 put 2 on 1\nend 11",
        _replaced(ControlApi, "_put_config", _acknowledge_uncommitted),
    ),
    Variant(
        "heartbeats acknowledged by a member that is cut off",
        "without a majority in reach",
        M3_PARTITIONED + "at 8 call a m3\nend 14",
        _replaced(RaftNode, "freshness", _return_fresh),
    ),
    Variant(
        "callers held up by a member that is cut off",
        "m3 answered GET /mallowbeam/config after",
        M3_PARTITIONED + "at 11 get via m3\nend 16",
        _replaced(ControlApi, "handle", _delay_reads),
    ),
)


# ------------------------------------------------------------ 2: one accepted change per base version

_apply_version = ConfigurationVersions.apply


def _accept_any_base_version(self: ConfigurationVersions, command: Any) -> Any:
    result = _apply_version(self, command)
    if result == VERSION_MISMATCH and command.revision > self.revision:
        command.based_on = self.revision
        return _apply_version(self, command)
    return result


def _reject_resubmitted(self: ConfigurationVersions, command: Any) -> Any:
    result = _apply_version(self, command)
    return VERSION_MISMATCH if result == ALREADY_DONE else result


async def _reject_after_commit(self: ControlApi, request: Any, since: float) -> Any:
    await _put_config(self, request, since)
    raise VersionMismatchError("another version is current", "If-Match")


CONFLICTING_CHANGES = (
    Variant(
        "both of two changes on one version are taken",
        "were both acknowledged",
        "at 8 operator second\nat 9 put 2 on 1 via m1\nat 9.1 put 3 on 1 via m2 by second\nend 12",
        _replaced(ConfigurationVersions, "apply", _accept_any_base_version),
    ),
    Variant(
        "a change that is sent again is refused",
        "refused ChangeKey(",
        "at 8 put 2 on 1\nby 10 expect taken 2\nat 10 again 2\nend 12",
        _replaced(ConfigurationVersions, "apply", _reject_resubmitted),
    ),
    Variant(
        "a refused change comes into force",
        "refused ChangeKey(",
        "at 8 put 2 on 1\nend 10",
        _replaced(ControlApi, "_put_config", _reject_after_commit),
    ),
)


# ------------------------------------------------------------ 3: membership


def _promote_all(view: ClusterView) -> Membership | None:
    learners = [one.id for one in view.membership.members if not one.voter]
    if not learners or not view.caught_up(learners[0]):
        return None
    changed = Membership()
    changed.CopyFrom(view.membership)
    for member in changed.members:
        member.voter = member.voter or member.id == learners[0]
    return changed


@contextmanager
def _unchecked_membership() -> Iterator[None]:
    """Let the policy promote any learner, and disable the check of the consensus core too."""
    with (
        mock.patch.object(membership_manager, "next_membership", _promote_all),
        mock.patch.object(leader, "check_change", lambda old, new: None),
    ):
        yield


MEMBERSHIP = (
    Variant(
        "a learner gets a vote without a place",
        "4 voters for 3 places",
        "at 8 wipe m3\nend 14",
        _unchecked_membership,
    ),
    Variant(
        "nobody stands for election",
        "nobody leads",
        "at 10 kill leader\nend 14",
        lambda: mock.patch.object(MemberState, "may_campaign", property(lambda self: self.now < 9.0)),
        ("LeadershipChecker",),
    ),
    Variant(
        "a wiped member is never taken in again",
        "of 3 voters are sound, 1 more may be lost",
        "at 8 wipe m3\nend 14",
        _replaced(MembershipManager, "join", lambda self, connection, request: None),
        ("RepairChecker",),
    ),
)


# ------------------------------------------------------------ 4: logs and snapshots


def _restore_without_entries(self: Replica) -> PersistentState:
    return PersistentState(self.hard_state, self.snapshot)


_raft = PeerRequests.raft


def _drop_messages_to_m3(self: PeerRequests, sender: int, message: Any) -> None:
    if not (self.parts.own.address.startswith("10.0.0.3:") and time.monotonic() > 9.0):
        _raft(self, sender, message)


_apply_entry = ReplicatedStateMachine.apply


def _return_varying_results(self: ReplicatedStateMachine, index: int, payload: bytes) -> CommandOutcome:
    outcome = _apply_entry(self, index, payload)
    return CommandOutcome(REFUSED if id(self) % 3 else DONE, outcome.index) if index > 3 else outcome


LOGS = (
    Variant(
        "entries are forgotten at a restart",
        "were committed",
        "at 9 power-off members\nat 10 start members\nend 13",
        _replaced(Replica, "restored", _restore_without_entries),
    ),
    Variant(
        "a member never catches up",
        "m3 has committed",
        "at 9 put 2 on 1\nby 11 expect taken 2\nend 16",
        _replaced(PeerRequests, "raft", _drop_messages_to_m3),
        ("CatchUpChecker",),
    ),
)


# ------------------------------------------------------------ 5: answers and propagation


def _match_any_proposal(self: CommandForwarder, response: Any) -> None:
    pending = next(iter(self._proposals), None)
    if pending is not None:
        response.id = pending
        _propose_response(self, response)


_propose_response = CommandForwarder.propose_response
_apply_instances = InstanceReplica.apply


def _ignore_drains(self: InstanceReplica, update: Any, replaces: bool) -> object:
    changes = _apply_instances(self, update, replaces)
    for instance in self.instances.values():
        instance.state = 0
    return changes


ANSWERS = (
    Variant(
        "answers of the leader go to any call",
        "ChangeKey",
        "at 8 operator second\nat 9 put 2 on 1 via followers\nat 9 put 3 on 1 via followers by second\n"
        "at 9 put 4 on 1 via followers\nat 9 put 5 on 1 via followers by second\nend 12",
        lambda: mock.patch.object(CommandForwarder, "propose_response", _swap_responses()),
    ),
    Variant(
        "drains are overlooked by a gateway",
        "holds a for ready",
        "at 8 drain a\nend 13.5",
        _replaced(InstanceReplica, "apply", _ignore_drains),
        ("GatewayConvergenceChecker",),
    ),
)


def _swap_responses() -> Callable[[CommandForwarder, Any], None]:
    """Hold back every other response and swap the request ids of it and the next one."""
    held: list[Any] = []

    def respond(self: CommandForwarder, response: Any) -> None:
        if response.id not in self._proposals:
            return
        if not held:
            held.append(response)
            return
        other = held.pop()
        other.id, response.id = response.id, other.id
        _propose_response(self, other)
        _propose_response(self, response)

    return respond


VARIANTS = MAJORITY_CONTACT + CONFLICTING_CHANGES + MEMBERSHIP + LOGS + ANSWERS
