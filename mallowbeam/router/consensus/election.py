"""Campaigns: pre-votes, votes, and answers to both."""

from __future__ import annotations

from mallowbeam.router.consensus.state import MemberState, Role
from mallowbeam.router.rpc.messages_pb2 import RaftMessage, VoteRequest, VoteResponse

FIRST_RETRY_SCALE = 0.5  # of an election timeout: how long the first campaign waits for its outcome
PUT_OFF_SHARE = 0.25  # of the least election timeout: how long a grant puts off the own campaign


class Election:
    """A member's part in elections. The node looks at `won` after each event."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._votes: dict[int, bool] = {}
        self.won = False

    # ------------------------------------------------------------ campaigns

    def tick(self) -> None:
        """Start a campaign where the time for it has come."""
        state = self._state
        if state.role is Role.LEADER or state.now < state.election_deadline:
            return
        if not state.may_campaign or state.stalled or self._own_vote_under_way:
            state.reset_election_timer()
            return
        self._start()

    @property
    def _own_vote_under_way(self) -> bool:
        """Whether this candidate has yet to ask for votes, since its own is not durable."""
        state = self._state
        return state.role is Role.CANDIDATE and not state.persistence.state_is_durable

    def _start(self) -> None:
        """Ask for pre-votes."""
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader_id = None
        state.campaigns += 1
        self._await_outcome()
        self._votes = {state.own_id: True}  # counts where it is a voter
        for voter in state.voters - {state.own_id}:
            request = self._request(state.term + 1, pre_vote=True)
            state.persistence.send_now(voter, request)
        self._count()

    def campaign(self, transfer: bool = False) -> None:
        """Begin a term of this member's own and ask for votes; the own one counts once it is durable."""
        state = self._state
        state.persistence.set_state(state.term + 1, vote=state.own_id)
        state.role = Role.CANDIDATE
        state.leader_id = None
        self._await_outcome()
        self._votes = {}
        for voter in state.voters - {state.own_id}:
            request = self._request(state.term, transfer=transfer)
            state.persistence.send_after_write(voter, request)

    def _await_outcome(self) -> None:
        """Give the campaign its time; the first one is short, as most that fail were split."""
        self._state.reset_election_timer(FIRST_RETRY_SCALE if self._state.campaigns <= 1 else 1.0)

    def _request(self, term: int, pre_vote: bool = False, transfer: bool = False) -> RaftMessage:
        log = self._state.log
        request = VoteRequest(
            term=term,
            last_index=log.last_index,
            last_term=log.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
        )
        return RaftMessage(vote_request=request)

    def written(self) -> None:
        """Count the own vote once it is durable; the others are asked only now."""
        state = self._state
        if state.role is not Role.CANDIDATE or not state.persistence.state_is_durable:
            return
        if state.own_id not in self._votes:
            self._await_outcome()
        self._votes[state.own_id] = True
        self._count()

    def response(self, sender: int, response: VoteResponse) -> None:
        """Count a vote or pre-vote."""
        state = self._state
        pre_vote_granted = response.pre_vote and response.granted
        if response.term > state.term and not pre_vote_granted:
            state.become_follower(response.term, None)
            return
        if response.pre_vote:
            expected = Role.PRE_CANDIDATE
            current = not response.granted or response.term == state.term + 1
        else:
            expected = Role.CANDIDATE
            current = response.term == state.term
        if state.role is expected and current:
            self._votes[sender] = response.granted
            self._count()

    def _count(self) -> None:
        state = self._state
        if state.quorum.granted(self._votes):
            if state.role is Role.PRE_CANDIDATE:
                self.campaign()
            else:
                self.won = True
        elif state.quorum.refused(self._votes) and state.role is Role.PRE_CANDIDATE:
            state.become_follower(state.term, None)

    # ------------------------------------------------------------ answers

    def request(self, sender: int, request: VoteRequest) -> None:
        """Answer a request for a vote or pre-vote.

        A learner answers too: a candidate asks only the voters of its own membership, which may be ahead.
        """
        state = self._state
        if state.stalled or (state.leader_is_live and not request.transfer):
            if request.pre_vote:
                self._answer(sender, request, granted=False)
            return
        if request.term > state.term and not request.pre_vote:
            state.become_follower(request.term, None)
        granted = self._may_grant(sender, request)
        if granted and request.pre_vote:
            self._put_off(sender, request)
        elif granted:
            state.persistence.set_state(state.term, vote=sender)
            state.become_follower(state.term, None)
            state.reset_election_timer()
        self._answer(sender, request, granted)

    def _may_grant(self, sender: int, request: VoteRequest) -> bool:
        state = self._state
        if request.term < state.term:
            return False
        if (request.last_term, request.last_index) < (state.log.last_term, state.log.last_index):
            return False
        if request.pre_vote and request.term > state.term:
            return True
        return state.leader_id is None and state.vote in (0, sender)

    def _answer(self, sender: int, request: VoteRequest, granted: bool) -> None:
        term = request.term if request.pre_vote and granted else self._state.term
        response = VoteResponse(term=term, granted=granted, pre_vote=request.pre_vote)
        self._state.persistence.answer(sender, RaftMessage(vote_response=response))

    def _put_off(self, sender: int, request: VoteRequest) -> None:
        """Leave the first word to another campaign, once for each timeout, so that votes are rarely split."""
        state = self._state
        own = (state.log.last_term, state.log.last_index, state.own_id)
        if state.role is Role.PRE_CANDIDATE and (request.last_term, request.last_index, sender) > own:
            state.become_follower(state.term, None)
        if state.role is Role.FOLLOWER and not state.campaign_put_off:
            earliest = state.now + state.settings.election_least * PUT_OFF_SHARE
            state.election_deadline = max(state.election_deadline, earliest)
            state.campaign_put_off = True
