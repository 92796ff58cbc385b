"""Errors of proposals and reads that are forwarded to the leader."""

from __future__ import annotations

from mallowbeam.router.consensus.errors import ConsensusError


class CommandNotAcceptedError(ConsensusError):
    """The requested member did not accept the call: it is not the leader, or is unreachable."""

    error_name = "NotTaken"
    code = "CONSENSUS_NOT_TAKEN"
    remedy = "ask the leader"


class ProposalLostError(ConsensusError):
    """A proposal was overwritten by another leader's entry, or a snapshot replaced its index."""

    error_name = "ProposalLost"
    code = "CONSENSUS_PROPOSAL_LOST"
    remedy = "propose it again: commands that were taken are known again"


class ReadNotConfirmedError(ConsensusError):
    """A read was not confirmed: the member is not the leader, or lost its leadership meanwhile."""

    error_name = "ReadRefused"
    code = "CONSENSUS_READ_REFUSED"
    remedy = "ask the leader"
