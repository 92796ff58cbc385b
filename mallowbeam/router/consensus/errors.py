"""What the consensus core refuses, and why."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError


class ConsensusError(MallowbeamError):
    """The base of the core's errors: a stable code, the step that was refused, and the member concerned."""

    code = "CONSENSUS"
    remedy = "see the error's own text"


class NotLeaderError(ConsensusError):
    """This member is not the leader, or hands leadership over; `leader_id` names whom to ask, if known."""

    code = "CONSENSUS_NOT_LEADER"
    remedy = "ask the leader; where none is known, ask again within a second"

    def __init__(self, step: str, leader_id: int | None) -> None:
        super().__init__("not the leader", step=step, peer=leader_id)
        self.leader_id = leader_id


class MembershipChangeError(ConsensusError):
    """A membership change that is not allowed, or not yet."""

    code = "CONSENSUS_MEMBERSHIP"
    remedy = "wait until the pending change is committed; change one voter, or more by a joint change"


class TransferError(ConsensusError):
    """There is no voter to which leadership could be handed over."""

    code = "CONSENSUS_TRANSFER"
    remedy = "name a voter that is in touch with the leader"


class DivergedError(ConsensusError):
    """A leader's entry contradicts one that is committed here: some disk has lost what it had confirmed."""

    code = "CONSENSUS_DIVERGED"
    remedy = "none needed: the member discards its store and joins as a new one; look at the disks"


class OverloadedError(ConsensusError):
    """As many entries or reads are under way as the settings allow; nothing was taken."""

    code = "CONSENSUS_OVERLOADED"
    remedy = "try again once entries under way are committed"
