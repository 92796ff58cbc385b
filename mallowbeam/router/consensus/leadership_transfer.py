"""Transfer of leadership to another voter (Raft thesis 3.10)."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf

from mallowbeam.router.consensus.errors import TransferError
from mallowbeam.router.consensus.progress import Progress
from mallowbeam.router.consensus.state import MemberState
from mallowbeam.router.rpc.messages_pb2 import RaftMessage, TimeoutNow


class LeadershipTransfer:
    """At most one transfer at a time, which times out after an election timeout."""

    def __init__(self, state: MemberState, progress: Mapping[int, Progress]) -> None:
        self._state = state
        self._progress = progress
        self.target: int | None = None  # id of the voter that is to become the leader
        self.deadline = inf  # time in seconds at which the transfer times out

    def start(self, member_id: int | None) -> None:
        """Start a transfer to a voter, or to the most advanced one for None.

        Raises:
            TransferError: there is no such voter.
        """
        state = self._state
        target = self._best_voter() if member_id is None else member_id
        if target is None or target == state.own_id or target not in state.voters:
            raise TransferError("no eligible voter to transfer leadership to", step="transfer", peer=target)
        self.target = target
        self.deadline = state.now + state.settings.election_timeout_max

    def advance(self) -> bool:
        """Let the target campaign once its log is complete; return False if there is no transfer."""
        target = self.target
        if target is None or target not in self._progress:
            self.cancel()
            return False
        if self._progress[target].match_index >= self._state.log.last_index:
            self._send_timeout_now(target)
        return True

    def cancel(self) -> None:
        """Abort the transfer, if there is one."""
        self.target = None
        self.deadline = inf

    def let_best_voter_campaign(self) -> None:
        """Let the most advanced active voter campaign at once, before this leader steps down."""
        target = self._best_voter()
        if target is not None:
            self._send_timeout_now(target)

    def _best_voter(self) -> int | None:
        """The recently active voter with the longest log; voters that remain after a joint change first."""
        state = self._state
        since = state.now - state.settings.election_timeout_min
        others = sorted(state.voters - {state.own_id})
        candidates = [voter for voter in others if self._progress[voter].recently_active(since)]
        incoming = state.quorum.incoming
        return max(
            candidates, key=lambda voter: (voter in incoming, self._progress[voter].match_index), default=None
        )

    def _send_timeout_now(self, target: int) -> None:
        message = RaftMessage(timeout_now=TimeoutNow(term=self._state.term))
        self._state.persistence.send_now(target, message)
