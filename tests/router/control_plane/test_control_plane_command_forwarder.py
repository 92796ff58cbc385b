"""Commands through troubles of the leader: what is answered, and when nothing can have been proposed."""

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

OWN, FIRST, SECOND = 1, 2, 3  # ids of members; the latter two lead in turn
ROUND_TRIP_S = 0.01
SLACK_S = 0.02
COMMAND = Command(acquire_lease=AcquireLease(subject="s", holder=1))

# What happens to one attempt. Those below may have appended the command, whatever came back.
UNREACHABLE, REFUSED = "unreachable", "refused"
ANSWERED, LOST, SILENT, DEPOSED = "answered", "lost", "silent", "deposed"
MAY_BE_APPENDED = frozenset((ANSWERED, LOST, SILENT, DEPOSED))
FATES = (UNREACHABLE, REFUSED, ANSWERED, LOST, SILENT, DEPOSED)


class FakeCluster:
    """Stands in for this member's driver and links: each attempt meets the next fate, the last for good."""

    def __init__(self, loop: SimulatedLoop, fates: tuple[str, ...], leads: bool) -> None:
        self.loop, self.fates, self.leads = loop, list(fates), leads
        self.own = Member(id=OWN)
        self.leadership_changes = ChangeNotifier()
        self.leader_id: int | None = OWN if leads else FIRST
        self.met: list[str] = []
        self.ids: list[int] = []
        self.commands = CommandForwarder(cast(RaftDriver, self), cast(PeerLinks, self))

    def next_fate(self) -> str:
        """The fate of one more attempt."""
        fate = self.fates.pop(0) if len(self.fates) > 1 else self.fates[0]
        self.met.append(fate)
        if fate == DEPOSED:
            self.loop.call_later(ROUND_TRIP_S, self.depose)
        return fate

    def depose(self) -> None:
        """Another member leads."""
        self.leader_id = SECOND if self.leader_id != SECOND else FIRST
        self.leadership_changes.notify()

    def propose(self, payload: bytes) -> asyncio.Future[CommandOutcome]:
        """Of the driver: this member leads."""
        answer: asyncio.Future[CommandOutcome] = self.loop.create_future()
        self.loop.call_later(ROUND_TRIP_S, self.decide, self.next_fate(), answer)
        return answer

    @staticmethod
    def decide(fate: str, answer: asyncio.Future[CommandOutcome]) -> None:
        """The driver's answer, where there is one."""
        if answer.done():
            return
        if fate == ANSWERED:
            answer.set_result(CommandOutcome(DONE, 7, 3))
        elif fate == LOST:
            answer.set_exception(ProposalLostError("another entry took its place"))
        elif fate in (REFUSED, UNREACHABLE):
            answer.set_exception(NotLeaderError("propose", None))

    def send(self, recipient: int, frame: PeerFrame) -> bool:
        """Of the links: another member leads."""
        fate = self.next_fate()
        if fate == UNREACHABLE:
            return False
        self.ids.append(frame.propose.id)
        statuses = {ANSWERED: APPLIED, REFUSED: NOT_LEADER, LOST: UNKNOWN}
        if fate in statuses:
            response = ProposeResponse(id=frame.propose.id, status=statuses[fate], index=7, token=3)
            self.loop.call_later(ROUND_TRIP_S, self.commands.propose_response, response)
        return True


class WithGroup(unittest.TestCase):
    def setUp(self) -> None:
        self.simulator = Simulator(1)
        network = Network(self.simulator)
        machine = network.add(Machine(self.simulator, "m", None, "10.0.0.1"))
        machine.start()
        self.loop = SimulatedLoop(machine, Streams(network))
        self.answers: list[object] = []
        self.lasted = 0.0

    def group(self, *fates: str, leads: bool = False) -> FakeCluster:
        made: list[FakeCluster] = []
        self.loop.enter(lambda: made.append(FakeCluster(self.loop, fates, leads)))
        return made[0]

    def submit(self, group: FakeCluster) -> object:
        """The outcome of one command, or the error's class."""

        async def run() -> None:
            began = time.monotonic()
            try:
                self.answers.append(await group.commands.submit(COMMAND, began))
            except (NothingProposedError, OutcomeUnknownError) as error:
                self.answers.append(type(error))
            self.lasted = time.monotonic() - began

        self.loop.enter(lambda: self.loop.create_task(run()))
        self.simulator.run_until(self.simulator.now + 3 * CALL_TIMEOUT_S)
        return self.answers[-1]


class Submitting(WithGroup):
    def test_every_order_of_fates(self) -> None:
        """A 503 is said only where nothing can have been appended, and each answer comes in time."""
        seen = set()
        for leads, length in product((False, True), (1, 2, 3)):
            for fates in product(FATES, repeat=length):
                with self.subTest(fates=fates, leads=leads):
                    group = self.group(*fates, leads=leads)
                    answer = self.submit(group)
                    appended = MAY_BE_APPENDED.intersection(group.met)
                    if ANSWERED in group.met:
                        self.assertEqual(answer, CommandOutcome(DONE, 7, 3))
                    else:
                        self.assertIs(answer, OutcomeUnknownError if appended else NothingProposedError)
                    self.assertLessEqual(self.lasted, CALL_TIMEOUT_S + SLACK_S)
                    seen.add(answer)
        self.assertEqual(len(seen), 3)
        self.assertEqual(self.loop.failures, [])

    def test_a_command_is_proposed_again_to_the_next_leader(self) -> None:
        group = self.group(DEPOSED, LOST, ANSWERED)
        self.assertEqual(self.submit(group), CommandOutcome(DONE, 7, 3))
        self.assertEqual(len(set(group.ids)), 3)

    def test_late_and_repeated_answers_answer_nothing_else(self) -> None:
        group = self.group(DEPOSED, SILENT)
        self.submit(group)
        late = ProposeResponse(id=group.ids[0], status=APPLIED, index=9, token=9)
        self.loop.enter(lambda: group.commands.propose_response(late))
        group.fates = [ANSWERED]
        self.assertEqual(self.submit(group), CommandOutcome(DONE, 7, 3))
        self.loop.enter(lambda: group.commands.propose_response(late))
        self.assertEqual(group.commands._proposals, {})

    def test_ids_begin_elsewhere_in_each_process(self) -> None:
        self.assertEqual(len({self.group(ANSWERED).commands._last_id for _ in range(50)}), 50)


class PassedOn(WithGroup):
    """What the leader answers to a member that passes a command on."""

    def answered(self, fate: str) -> list[ProposeResponse]:
        group = self.group(fate, leads=True)
        responses: list[ProposeResponse] = []

        def take(recipient: int, frame: PeerFrame) -> bool:
            responses.append(frame.propose_response)
            return True

        group.send = take  # type: ignore[method-assign]
        request = ProposeRequest(id=5, command=COMMAND)
        self.loop.enter(lambda: group.commands.propose(FIRST, request))
        self.simulator.run_until(self.simulator.now + 1.0)
        return responses

    def test_not_leader_is_answered_only_where_nothing_was_appended(self) -> None:
        self.assertEqual([one.status for one in self.answered(REFUSED)], [NOT_LEADER])
        self.assertEqual([one.status for one in self.answered(LOST)], [UNKNOWN])
        self.assertEqual([one.status for one in self.answered(ANSWERED)], [APPLIED])
        self.assertEqual(self.answered(SILENT), [])


class BrokenVariants(WithGroup):
    """The table of fates finds members that promise too much."""

    def test_one_that_mistakes_a_lost_proposal_for_one_that_was_not_accepted(self) -> None:
        with mock.patch.object(
            command_forwarder, "ProposalLostError", command_forwarder.CommandNotAcceptedError
        ):
            self.assertIs(self.submit(self.group(LOST)), NothingProposedError)


if __name__ == "__main__":
    unittest.main()
