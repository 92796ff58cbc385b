"""Parts of a member that do no I/O: first state, state machine, waiters, listener, answers."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
import zlib

from control_plane_rig import configuration

from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.versions import put_command
from mallowbeam.router.control_plane.api_errors import NothingProposedError
from mallowbeam.router.control_plane.api_responses import error_reply
from mallowbeam.router.control_plane.bootstrap import initial_state, seed_identity
from mallowbeam.router.control_plane.pending_proposals import PendingProposals
from mallowbeam.router.control_plane.proposal_errors import ProposalLostError
from mallowbeam.router.control_plane.state_machine import (
    CommandOutcome,
    ConfigurationFeed,
    ReplicatedStateMachine,
)
from mallowbeam.router.control_plane.wait_conditions import AppliedIndexWaiters, ChangeNotifier
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    DRAINING,
    GONE,
    REFUSED,
    VERSION_MISMATCH,
    AcquireLease,
    Command,
    RetireInstance,
)

SEEDS = ("10.0.0.3:8146", "10.0.0.1:8146", "10.0.0.2:8146")


class InitialState(unittest.TestCase):
    def test_seeds_write_the_same_first_membership(self) -> None:
        states = [initial_state(seed, SEEDS[::-1], True, 7660, random.Random(1)) for seed in SEEDS]
        self.assertEqual(len({state.snapshot.SerializeToString() for state in states}), 1)
        self.assertEqual(len({state.identity for state in states}), 3)
        members = states[0].snapshot.membership.members
        self.assertEqual({member.id for member in members}, {state.identity for state in states})
        self.assertEqual(
            {member.address for member in members}, {"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}
        )
        self.assertTrue(all(member.voter for member in members))
        self.assertEqual(states[0].snapshot.membership.target_voters, 3)

    def test_others_draw_an_id_and_know_nobody(self) -> None:
        for control, bootstrap in (("10.0.0.4:8146", True), (SEEDS[0], False)):
            state = initial_state(control, SEEDS, bootstrap, 7660, random.Random(1))
            self.assertNotEqual(state.identity, seed_identity(control))
            self.assertEqual(state.snapshot.index, 0)
            self.assertFalse(state.snapshot.membership.members)

    def test_ids_are_not_zero(self) -> None:
        self.assertTrue(all(seed_identity(seed) for seed in SEEDS))


def put(parser: ConfigurationParser, revision: int, based_on: int, hostname: str = "a.example") -> bytes:
    parsed = parser.parse(json.dumps(configuration(revision, hostname)).encode())
    return Command(put_configuration=put_command(parsed, based_on)).SerializeToString()


def retire(id: str, kind: int) -> bytes:
    return Command(retire_instance=RetireInstance(id=id, kind=kind)).SerializeToString()


class StateMachine(unittest.TestCase):
    def setUp(self) -> None:
        self.parser = ConfigurationParser()
        self.retired: list[tuple[str, int]] = []
        self.machine = self._machine(self.retired)

    def _machine(self, retired: list[tuple[str, int]]) -> ReplicatedStateMachine:
        return ReplicatedStateMachine(self.parser, lambda one: retired.append((one.id, one.kind)))

    def test_commands_and_their_outcomes(self) -> None:
        self.assertEqual(self.machine.apply(5, put(self.parser, 3, 0)), CommandOutcome(DONE, 5))
        self.assertEqual(self.machine.apply(6, put(self.parser, 3, 0)).result, ALREADY_DONE)
        self.assertEqual(self.machine.apply(7, put(self.parser, 4, 0)).result, VERSION_MISMATCH)
        self.assertEqual(self.machine.apply(8, retire("i", DRAINING)).result, DONE)
        self.assertEqual(self.machine.apply(9, retire("i", DRAINING)).result, ALREADY_DONE)
        self.assertEqual(self.machine.apply(10, retire("i", GONE)).result, DONE)
        self.assertEqual(self.retired, [("i", DRAINING), ("i", GONE)])
        lease = Command(acquire_lease=AcquireLease(subject="s", holder=7)).SerializeToString()
        self.assertEqual(self.machine.apply(11, lease), CommandOutcome(DONE, 11, 1))
        self.assertEqual(self.machine.apply(12, Command().SerializeToString()).result, REFUSED)

    def test_a_snapshot_holds_all_of_it(self) -> None:
        self.machine.apply(5, put(self.parser, 3, 0))
        self.machine.apply(6, retire("i", DRAINING))
        told: list[tuple[str, int]] = []
        restored = self._machine(told)
        restored.restore(self.machine.save())
        self.assertEqual(restored.save(), self.machine.save())
        self.assertEqual(told, [("i", DRAINING)])
        self.assertEqual(restored.apply(7, put(self.parser, 3, 0)).result, ALREADY_DONE)
        self.assertEqual(json.loads(restored.configurations.current_body()), configuration(3))

    def test_the_feed_tells_differences_where_it_can(self) -> None:
        feed = ConfigurationFeed(self.machine.configurations)
        self.assertIsNone(feed.update_since(0))
        self.machine.apply(5, put(self.parser, 3, 0))
        whole = feed.update_since(0)
        self.assertTrue(whole is not None and whole.whole and whole.revision == 3)
        self.machine.apply(6, put(self.parser, 4, 3, "b.example"))
        change = feed.update_since(3)
        self.assertTrue(change is not None and not change.whole and change.based_on == 3)
        self.assertIs(feed.update_since(3), change)
        self.assertTrue(feed.update_since(2).whole)
        self.assertIsNone(feed.update_since(4))

    def test_bodies_in_the_log_are_compressed(self) -> None:
        command = Command.FromString(put(self.parser, 3, 0))
        self.assertEqual(json.loads(zlib.decompress(command.put_configuration.body)), configuration(3))


class Waiting(unittest.IsolatedAsyncioTestCase):
    async def test_a_proposal_is_answered_where_its_own_entry_is_applied(self) -> None:
        loop = asyncio.get_running_loop()
        waiters = PendingProposals()
        own, lost, passed = loop.create_future(), loop.create_future(), loop.create_future()
        waiters.add(5, 2, own)
        waiters.add(5, 1, lost)
        waiters.add(6, 2, passed)
        waiters.applied(5, 2, CommandOutcome(DONE, 5))
        self.assertEqual(own.result(), CommandOutcome(DONE, 5))
        self.assertIsInstance(lost.exception(), ProposalLostError)
        waiters.replaced_by_snapshot(9)
        self.assertIsInstance(passed.exception(), ProposalLostError)

    async def test_those_who_no_longer_wait_are_passed_by(self) -> None:
        waiters = PendingProposals()
        gone = asyncio.get_running_loop().create_future()
        waiters.add(5, 2, gone)
        gone.cancel()
        waiters.applied(5, 2, CommandOutcome(DONE, 5))

    async def test_applied_indexes(self) -> None:
        waiters = AppliedIndexWaiters()
        self.assertTrue(waiters.add(4, 4).done())
        later, sooner = waiters.add(9, 4), waiters.add(6, 4)
        waiters.reached(6)
        self.assertTrue(sooner.done())
        self.assertFalse(later.done())
        waiters.reached(20)
        self.assertTrue(later.done())

    async def test_changes(self) -> None:
        changes = ChangeNotifier()
        first, cancelled = changes.next(), changes.next()
        cancelled.cancel()
        changes.notify()
        self.assertTrue(first.done())
        self.assertFalse(changes.next().done())


class Answers(unittest.TestCase):
    def test_an_error_tells_what_where_and_what_to_do(self) -> None:
        reply = error_reply(503, NothingProposedError("no leader"), True)
        head, _, body = reply.data.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(json.loads(body)["error"]["code"], "CONTROL_NO_LEADER")
        self.assertEqual(set(json.loads(body)["error"]), {"code", "where", "what", "remedy"})


if __name__ == "__main__":
    unittest.main()
