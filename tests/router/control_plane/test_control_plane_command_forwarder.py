"""Commands during failures of the leader: their outcomes, and when nothing can have been proposed."""

from __future__ import annotations

import asyncio
import time
import unittest
from itertools import product
from typing import cast
from unittest import mock

from mallowbeam.router.consensus.errors import NotLeaderError
from mallowbeam.router.control_plane import command_forwarder
from mallowbeam.router.control_plane.api_errors import NothingProposedError, OutcomeUnknownError
from mallowbeam.router.control_plane.command_forwarder import CALL_TIMEOUT_S, CommandForwarder
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.proposal_errors import ProposalLostError
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.state_machine import CommandOutcome
from mallowbeam.router.control_plane.wait_conditions import ChangeNotifier
from mallowbeam.router.rpc.messages_pb2 import (
    APPLIED,
    DONE,
    NOT_LEADER,
    UNKNOWN,
    AcquireLease,
    Command,
    Member,
    PeerFrame,
    ProposeRequest,
    ProposeResponse,
)
from mallowbeam.simulation.clock import Simulator
from mallowbeam.simulation.dialing import Streams
from mallowbeam.simulation.loop import SimulatedLoop
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.network import Network

OWN, FIRST, SECOND = 1, 2, 3  # ids of members; the latter two lead alternately
ROUND_TRIP_S = 0.01
SLACK_S = 0.02
COMMAND = Command(acquire_lease=AcquireLease(subject="s", holder=1))

# The results of one attempt. Those in MAY_BE_APPENDED may have appended the command.
UNREACHABLE, REFUSED = "unreachable", "refused"
ANSWERED, LOST, SILENT, DEPOSED = "answered", "lost", "silent", "deposed"
MAY_BE_APPENDED = frozenset((ANSWERED, LOST, SILENT, DEPOSED))
RESULTS = (UNREACHABLE, REFUSED, ANSWERED, LOST, SILENT, DEPOSED)


class FakeCluster:
    """Stands in for the driver and the links: each attempt gets the next result, the last one repeatedly."""

    def __init__(self, loop: SimulatedLoop, results: tuple[str, ...], leads: bool) -> None:
        self.loop, self.results, self.leads = loop, list(results), leads
        self.own = Member(id=OWN)
        self.leadership_changes = ChangeNotifier()
        self.leader_id: int | None = OWN if leads else FIRST
        self.seen_results: list[str] = []
        self.ids: list[int] = []
        self.commands = CommandForwarder(cast(RaftDriver, self), cast(PeerLinks, self))

    def next_result(self) -> str:
        """The result of one more attempt."""
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        self.seen_results.append(result)
        if result == DEPOSED:
            self.loop.call_later(ROUND_TRIP_S, self.depose)
        return result

    def depose(self) -> None:
        """Another member leads."""
        self.leader_id = SECOND if self.leader_id != SECOND else FIRST
        self.leadership_changes.notify()

    def propose(self, payload: bytes) -> asyncio.Future[CommandOutcome]:
        """The driver's method, called if this member leads."""
        outcome: asyncio.Future[CommandOutcome] = self.loop.create_future()
        self.loop.call_later(ROUND_TRIP_S, self.complete, self.next_result(), outcome)
        return outcome

    @staticmethod
    def complete(result: str, outcome: asyncio.Future[CommandOutcome]) -> None:
        """Complete a proposal with the attempt's result, if it has one."""
        if outcome.done():
            return
        if result == ANSWERED:
            outcome.set_result(CommandOutcome(DONE, 7, 3))
        elif result == LOST:
            outcome.set_exception(ProposalLostError("replaced by another leader's entry"))
        elif result in (REFUSED, UNREACHABLE):
            outcome.set_exception(NotLeaderError("propose", None))

    def send(self, recipient: int, frame: PeerFrame) -> bool:
        """The links' method, called if another member leads."""
        result = self.next_result()
        if result == UNREACHABLE:
            return False
        self.ids.append(frame.propose.id)
        statuses = {ANSWERED: APPLIED, REFUSED: NOT_LEADER, LOST: UNKNOWN}
        if result in statuses:
            response = ProposeResponse(id=frame.propose.id, status=statuses[result], index=7, token=3)
            self.loop.call_later(ROUND_TRIP_S, self.commands.propose_response, response)
        return True


class ClusterTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.simulator = Simulator(1)
        network = Network(self.simulator)
        machine = network.add(Machine(self.simulator, "m", None, "10.0.0.1"))
        machine.start()
        self.loop = SimulatedLoop(machine, Streams(network))
        self.outcomes: list[object] = []
        self.duration_s = 0.0

    def group(self, *results: str, leads: bool = False) -> FakeCluster:
        made: list[FakeCluster] = []
        self.loop.enter(lambda: made.append(FakeCluster(self.loop, results, leads)))
        return made[0]

    def submit(self, group: FakeCluster) -> object:
        """The outcome of one command, or the error's class."""

        async def run() -> None:
            started_at = time.monotonic()
            try:
                self.outcomes.append(await group.commands.submit(COMMAND, started_at))
            except (NothingProposedError, OutcomeUnknownError) as error:
                self.outcomes.append(type(error))
            self.duration_s = time.monotonic() - started_at

        self.loop.enter(lambda: self.loop.create_task(run()))
        self.simulator.run_until(self.simulator.now + 3 * CALL_TIMEOUT_S)
        return self.outcomes[-1]


class Submitting(ClusterTestCase):
    def test_every_sequence_of_attempt_results(self) -> None:
        """A 503 is sent only if nothing can have been appended, and each response is in time."""
        seen = set()
        for leads, length in product((False, True), (1, 2, 3)):
            for results in product(RESULTS, repeat=length):
                with self.subTest(results=results, leads=leads):
                    group = self.group(*results, leads=leads)
                    outcome = self.submit(group)
                    appended = MAY_BE_APPENDED.intersection(group.seen_results)
                    if ANSWERED in group.seen_results:
                        self.assertEqual(outcome, CommandOutcome(DONE, 7, 3))
                    else:
                        self.assertIs(outcome, OutcomeUnknownError if appended else NothingProposedError)
                    self.assertLessEqual(self.duration_s, CALL_TIMEOUT_S + SLACK_S)
                    seen.add(outcome)
        self.assertEqual(len(seen), 3)
        self.assertEqual(self.loop.failures, [])

    def test_a_command_is_proposed_again_to_the_next_leader(self) -> None:
        group = self.group(DEPOSED, LOST, ANSWERED)
        self.assertEqual(self.submit(group), CommandOutcome(DONE, 7, 3))
        self.assertEqual(len(set(group.ids)), 3)

    def test_late_and_duplicate_responses_complete_no_other_call(self) -> None:
        group = self.group(DEPOSED, SILENT)
        self.submit(group)
        late = ProposeResponse(id=group.ids[0], status=APPLIED, index=9, token=9)
        self.loop.enter(lambda: group.commands.propose_response(late))
        group.results = [ANSWERED]
        self.assertEqual(self.submit(group), CommandOutcome(DONE, 7, 3))
        self.loop.enter(lambda: group.commands.propose_response(late))
        self.assertEqual(group.commands._proposals, {})

    def test_request_ids_start_at_a_random_value_in_each_process(self) -> None:
        self.assertEqual(len({self.group(ANSWERED).commands._last_id for _ in range(50)}), 50)


class ForwardedCommands(ClusterTestCase):
    """The leader's responses to a member that forwards a command."""

    def responses_to(self, result: str) -> list[ProposeResponse]:
        group = self.group(result, leads=True)
        responses: list[ProposeResponse] = []

        def record(recipient: int, frame: PeerFrame) -> bool:
            responses.append(frame.propose_response)
            return True

        group.send = record  # type: ignore[method-assign]
        request = ProposeRequest(id=5, command=COMMAND)
        self.loop.enter(lambda: group.commands.propose(FIRST, request))
        self.simulator.run_until(self.simulator.now + 1.0)
        return responses

    def test_not_leader_is_reported_only_if_nothing_was_appended(self) -> None:
        self.assertEqual([one.status for one in self.responses_to(REFUSED)], [NOT_LEADER])
        self.assertEqual([one.status for one in self.responses_to(LOST)], [UNKNOWN])
        self.assertEqual([one.status for one in self.responses_to(ANSWERED)], [APPLIED])
        self.assertEqual(self.responses_to(SILENT), [])


class BrokenVariants(ClusterTestCase):
    """The test of all sequences detects members that promise too much."""

    def test_a_lost_proposal_reported_as_not_accepted_is_detected(self) -> None:
        with mock.patch.object(
            command_forwarder, "ProposalLostError", command_forwarder.CommandNotAcceptedError
        ):
            self.assertIs(self.submit(self.group(LOST)), NothingProposedError)


if __name__ == "__main__":
    unittest.main()
