"""Errors of the consensus core."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError


class ConsensusError(MallowbeamError):
    """Base of the core's errors: a stable code, the rejected step and the id of the member concerned."""

    code = "CONSENSUS"
    remedy = "see the error's own text"


class NotLeaderError(ConsensusError):
    """This member is not the leader, or is transferring leadership; `leader_id` is the leader, if known."""

    code = "CONSENSUS_NOT_LEADER"
    remedy = "ask the leader; where none is known, ask again within a second"

    def __init__(self, step: str, leader_id: int | None) -> None:
        super().__init__("not the leader", step=step, peer=leader_id)
        self.leader_id = leader_id


class MembershipChangeError(ConsensusError):
    """The membership change is invalid, or another one is still pending."""

    code = "CONSENSUS_MEMBERSHIP"
    remedy = "wait until the pending change is committed; change one voter, or more by a joint change"


class TransferError(ConsensusError):
    """No voter can take over the leadership."""

    code = "CONSENSUS_TRANSFER"
    remedy = "name a voter that is in touch with the leader"


class DivergedError(ConsensusError):
    """The leader's log conflicts with an entry committed here: a disk has lost acknowledged data."""

    code = "CONSENSUS_DIVERGED"
    remedy = "none needed: the member discards its store and joins as a new one; look at the disks"


class OverloadedError(ConsensusError):
    """The limit of uncommitted entries or pending reads is reached; the request was not accepted."""

    code = "CONSENSUS_OVERLOADED"
    remedy = "try again once entries under way are committed"
