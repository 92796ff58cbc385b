"""Leader election: pre-votes (thesis 9.6), votes (Raft §5.2, §5.4.1), and the responses to both."""

from __future__ import annotations

from mallowbeam.router.consensus.interface import NO_VOTE
from mallowbeam.router.consensus.state import MemberState, Role
from mallowbeam.router.rpc.messages_pb2 import RaftMessage, VoteRequest, VoteResponse

FIRST_CAMPAIGN_SCALE = 0.5  # fraction of an election timeout until the first campaign is retried
CAMPAIGN_DEFERRAL = 0.25  # fraction of the minimum election timeout by which a grant delays an own campaign


class Election:
    """Campaigns of a member and its votes for others.  The node checks `won` after each event."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._votes: dict[int, bool] = {}
        self.won = False

    # ------------------------------------------------------------ campaigns

    def tick(self) -> None:
        """Start a campaign if the election timeout has passed."""
        state = self._state
        if state.role is Role.LEADER or state.now < state.election_deadline:
            return
        if not state.may_campaign or state.stalled or self._own_vote_pending:
            state.reset_election_timer()
            return
        self._start_pre_vote()

    @property
    def _own_vote_pending(self) -> bool:
        """Whether this candidate's own vote is not durable, so that no vote requests are sent yet."""
        state = self._state
        return state.role is Role.CANDIDATE and not state.persistence.state_is_durable

    def _start_pre_vote(self) -> None:
        """Request pre-votes, which leave all terms unchanged."""
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader_id = None
        state.campaigns += 1
        self._arm_campaign_timer()
        self._votes = {state.own_id: True}  # ignored by the quorum unless this member is a voter
        for voter in state.voters - {state.own_id}:
            request = self._vote_request(state.term + 1, pre_vote=True)
            state.persistence.send_now(voter, request)
        self._count()

    def campaign(self, transfer: bool = False) -> None:
        """Start a new term and request votes; the own vote counts once it is durable.

        With `transfer`, voters ignore that the current leader is live (thesis 3.10).
        """
        state = self._state
        state.persistence.set_state(state.term + 1, vote=state.own_id)
        state.role = Role.CANDIDATE
        state.leader_id = None
        self._arm_campaign_timer()
        self._votes = {}
        for voter in state.voters - {state.own_id}:
            request = self._vote_request(state.term, transfer=transfer)
            state.persistence.send_after_write(voter, request)

    def _arm_campaign_timer(self) -> None:
        """Set the time of the next campaign: sooner after the first, as most failures are split votes."""
        self._state.reset_election_timer(FIRST_CAMPAIGN_SCALE if self._state.campaigns <= 1 else 1.0)

    def _vote_request(self, term: int, pre_vote: bool = False, transfer: bool = False) -> RaftMessage:
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
        """Count the own vote once it is durable; the vote requests are sent at the same time."""
        state = self._state
        if state.role is not Role.CANDIDATE or not state.persistence.state_is_durable:
            return
        if state.own_id not in self._votes:
            self._arm_campaign_timer()
        self._votes[state.own_id] = True
        self._count()

    def handle_response(self, sender: int, response: VoteResponse) -> None:
        """Count a vote or pre-vote; become a follower if the voter's term is higher."""
        state = self._state
        pre_vote_granted = response.pre_vote and response.granted
        if response.term > state.term and not pre_vote_granted:
            state.become_follower(response.term, None)
        elif self._is_current(response):
            self._votes[sender] = response.granted
            self._count()

    def _is_current(self, response: VoteResponse) -> bool:
        """Whether the response belongs to the campaign in progress."""
        state = self._state
        if response.pre_vote:
            term_matches = not response.granted or response.term == state.term + 1
            return state.role is Role.PRE_CANDIDATE and term_matches
        return state.role is Role.CANDIDATE and response.term == state.term

    def _count(self) -> None:
        state = self._state
        if state.quorum.is_won(self._votes):
            if state.role is Role.PRE_CANDIDATE:
                self.campaign()
            else:
                self.won = True
        elif state.quorum.is_lost(self._votes) and state.role is Role.PRE_CANDIDATE:
            state.become_follower(state.term, None)

    # ------------------------------------------------------------ votes for others

    def handle_request(self, sender: int, request: VoteRequest) -> None:
        """Respond to a request for a vote or pre-vote.

        Learners respond too: a candidate asks only voters of its own membership, which may be newer than the
        one known here.
        """
        state = self._state
        if state.stalled or (state.leader_is_live and not request.transfer):
            if request.pre_vote:
                self._respond(sender, request, granted=False)
            return
        if request.term > state.term and not request.pre_vote:
            state.become_follower(request.term, None)
        granted = self._may_grant(sender, request)
        if granted and request.pre_vote:
            self._defer_campaign(sender, request)
        elif granted:
            state.persistence.set_state(state.term, vote=sender)
            state.become_follower(state.term, None)
            state.reset_election_timer()
        self._respond(sender, request, granted)

    def _may_grant(self, sender: int, request: VoteRequest) -> bool:
        """Whether the candidate's term and log are current (Raft §5.4.1) and the vote is free."""
        state = self._state
        if request.term < state.term:
            return False
        if (request.last_term, request.last_index) < (state.log.last_term, state.log.last_index):
            return False
        if request.pre_vote and request.term > state.term:
            return True
        return state.leader_id is None and state.vote in (NO_VOTE, sender)

    def _respond(self, sender: int, request: VoteRequest, granted: bool) -> None:
        term = request.term if request.pre_vote and granted else self._state.term
        response = VoteResponse(term=term, granted=granted, pre_vote=request.pre_vote)
        self._state.persistence.respond(sender, RaftMessage(vote_response=response))

    def _defer_campaign(self, sender: int, request: VoteRequest) -> None:
        """Yield to another campaign, once per election timeout, which makes split votes rare.

        Of two pre-candidates the one with the older log yields; if the logs are equal, the one with the
        smaller id.
        """
        state = self._state
        own = (state.log.last_term, state.log.last_index, state.own_id)
        if state.role is Role.PRE_CANDIDATE and (request.last_term, request.last_index, sender) > own:
            state.become_follower(state.term, None)
        if state.role is Role.FOLLOWER and not state.campaign_deferred:
            earliest = state.now + state.settings.election_timeout_min * CAMPAIGN_DEFERRAL
            state.election_deadline = max(state.election_deadline, earliest)
            state.campaign_deferred = True
