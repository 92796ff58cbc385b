"""Records of accepted configurations and rejected commands: bounds, snapshots, earlier snapshots."""

from __future__ import annotations

import unittest

from mallowbeam.router.configuration.accepted import (
    MAX_ACCEPTED,
    MAX_ACCEPTED_IN_EARLIER_SNAPSHOTS,
    RECORD,
    AcceptedConfigurations,
)
from mallowbeam.router.configuration.rejections import CommandIdentity, RejectedCommands
from mallowbeam.router.rpc.messages_pb2 import VERSION_MISMATCH, ReplicatedState, TakenConfiguration

CHANGES_A_DAY = 56_000


def digest(number: int) -> bytes:
    """A digest that is unique for each number."""
    return number.to_bytes(16, "big")


def saved(records: AcceptedConfigurations | RejectedCommands) -> ReplicatedState:
    """A snapshot, serialized and parsed again."""
    state = ReplicatedState()
    records.save(state)
    return ReplicatedState.FromString(state.SerializeToString())


class AcceptedRecords(unittest.TestCase):
    """The compact records."""

    def test_more_than_a_day_is_remembered(self) -> None:
        self.assertGreater(MAX_ACCEPTED, CHANGES_A_DAY)

    def test_uneven_revisions_are_found_and_others_are_not(self) -> None:
        accepted = AcceptedConfigurations()
        revisions = [1, 2, 7, 8, 30, 2**63, 2**64 - 1]
        for revision in revisions:
            accepted.add(revision, digest(revision))
        for revision in revisions:
            self.assertTrue(accepted.contains(revision, digest(revision)))
            self.assertFalse(accepted.contains(revision, digest(0)))
        for revision in (3, 9, 2**63 + 1):
            self.assertFalse(accepted.contains(revision, digest(revision)))
            self.assertFalse(accepted.may_be_forgotten(revision))

    def test_what_is_dropped_may_be_forgotten_and_nothing_above_it(self) -> None:
        accepted = AcceptedConfigurations(max_records=3)
        for revision in (2, 5, 6, 9, 12):
            accepted.add(revision, digest(revision))
        again = AcceptedConfigurations(max_records=3)
        again.restore(saved(accepted))
        for one in (accepted, again):
            self.assertEqual(len(one), 3)
            self.assertEqual(
                [one.may_be_forgotten(n) for n in (1, 2, 4, 5, 6, 7)], [True, True, True, True, False, False]
            )
            self.assertEqual(
                [one.contains(n, digest(n)) for n in (2, 5, 6, 9, 12)], [False, False, True, True, True]
            )

    def test_a_snapshot_is_bounded(self) -> None:
        accepted = AcceptedConfigurations()
        for revision in range(1, MAX_ACCEPTED + 100):
            accepted.add(revision, digest(revision))
        state = saved(accepted)
        self.assertEqual(len(state.taken_records), MAX_ACCEPTED * RECORD.size)
        self.assertEqual(state.forgotten_revision, 99)

    def test_a_snapshot_of_an_earlier_program(self) -> None:
        few = ReplicatedState(taken=[TakenConfiguration(digest=digest(n), revision=n) for n in (3, 4, 8)])
        accepted = AcceptedConfigurations()
        accepted.restore(few)
        self.assertTrue(accepted.contains(4, digest(4)))
        self.assertEqual(accepted.last_digest, digest(8))
        self.assertFalse(accepted.may_be_forgotten(2))

    def test_a_full_snapshot_of_an_earlier_program_may_have_forgotten_some(self) -> None:
        revisions = range(10, 10 + MAX_ACCEPTED_IN_EARLIER_SNAPSHOTS)
        full = ReplicatedState(taken=[TakenConfiguration(digest=digest(n), revision=n) for n in revisions])
        accepted = AcceptedConfigurations()
        accepted.restore(full)
        self.assertTrue(accepted.may_be_forgotten(9))
        self.assertFalse(accepted.may_be_forgotten(10))

    def test_restore_replaces_everything(self) -> None:
        accepted = AcceptedConfigurations(max_records=1)
        accepted.add(1, digest(1))
        accepted.add(2, digest(2))
        accepted.restore(ReplicatedState())
        self.assertEqual((len(accepted), accepted.last_digest, accepted.may_be_forgotten(1)), (0, b"", False))


class RejectedRecords(unittest.TestCase):
    """Rejected commands that could still succeed."""

    def test_a_command_is_identified_by_digest_and_base(self) -> None:
        rejected = RejectedCommands()
        self.assertTrue(rejected.add(CommandIdentity(digest(1), 5), VERSION_MISMATCH))
        again = RejectedCommands()
        again.restore(saved(rejected))
        for one in (rejected, again):
            self.assertEqual(one.result(CommandIdentity(digest(1), 5)), VERSION_MISMATCH)
            self.assertIsNone(one.result(CommandIdentity(digest(1), 4)))
            self.assertIsNone(one.result(CommandIdentity(digest(2), 5)))

    def test_at_the_bound_nothing_is_dropped(self) -> None:
        rejected = RejectedCommands(max_commands=1)
        self.assertTrue(rejected.add(CommandIdentity(digest(1), 5), VERSION_MISMATCH))
        self.assertFalse(rejected.add(CommandIdentity(digest(2), 5), VERSION_MISMATCH))
        self.assertIsNotNone(rejected.result(CommandIdentity(digest(1), 5)))

    def test_those_below_the_current_revision_are_dropped(self) -> None:
        rejected = RejectedCommands()
        for based_on in (4, 5, 6):
            rejected.add(CommandIdentity(digest(1), based_on), VERSION_MISMATCH)
        rejected.drop_below(5)
        self.assertEqual(len(rejected), 2)
        self.assertIsNone(rejected.result(CommandIdentity(digest(1), 4)))


if __name__ == "__main__":
    unittest.main()
