"""Retirements and leases: determinism of the replicated state, bounds, snapshots."""

from __future__ import annotations

import unittest
from itertools import product
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.router.registry import Leases, Retirements
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    DRAINING,
    GONE,
    REFUSED,
    AcquireLease,
    ReplicatedState,
    RetireInstance,
)

RETIRE = st.builds(RetireInstance, id=st.sampled_from("abcdef"), kind=st.sampled_from([DRAINING, GONE]))
ACQUIRE = st.builds(AcquireLease, subject=st.sampled_from("stu"), holder=st.integers(0, 3))


class RetirementTests(unittest.TestCase):
    def test_gone_after_draining_is_a_change_and_never_the_reverse(self) -> None:
        retirements = Retirements()
        self.assertEqual(retirements.apply(RetireInstance(id="a", kind=DRAINING)), DONE)
        self.assertEqual(retirements.apply(RetireInstance(id="a", kind=DRAINING)), ALREADY_DONE)
        self.assertEqual(retirements.apply(RetireInstance(id="a", kind=GONE)), DONE)
        self.assertEqual(retirements.apply(RetireInstance(id="a", kind=DRAINING)), ALREADY_DONE)
        self.assertEqual(retirements.kind("a"), GONE)
        self.assertIsNone(retirements.kind("b"))

    def test_the_oldest_is_dropped_first(self) -> None:
        retirements = Retirements(max_ids=2)
        for id in ("a", "b"):
            retirements.apply(RetireInstance(id=id, kind=DRAINING))
        retirements.apply(RetireInstance(id="a", kind=GONE))
        retirements.apply(RetireInstance(id="c", kind=GONE))
        self.assertEqual([retired.id for retired in retirements.all()], ["a", "c"])

    @given(st.lists(RETIRE, max_size=30), st.integers(0, 30))
    def test_a_snapshot_anywhere_changes_nothing(self, log: list[RetireInstance], split_at: int) -> None:
        original, restored = Retirements(max_ids=4), Retirements(max_ids=4)
        for command in log[:split_at]:
            original.apply(command)
        state = ReplicatedState()
        original.save(state)
        restored.apply(RetireInstance(id="other"))
        restored.restore(ReplicatedState.FromString(state.SerializeToString()))
        results = [original.apply(command) for command in log[split_at:]]
        self.assertEqual(results, [restored.apply(command) for command in log[split_at:]])
        self.assertEqual(original.all(), restored.all())
        self.assertLessEqual(len(original), 4)


class LeaseTests(unittest.TestCase):
    def test_tokens(self) -> None:
        leases = Leases()
        self.assertEqual(leases.apply(AcquireLease(subject="s", holder=1)), (DONE, 1))
        self.assertEqual(leases.apply(AcquireLease(subject="s", holder=1)), (ALREADY_DONE, 1))
        self.assertEqual(leases.apply(AcquireLease(subject="t", holder=1)), (DONE, 2))
        self.assertEqual(leases.apply(AcquireLease(subject="s", holder=2)), (DONE, 3))
        self.assertEqual(leases.apply(AcquireLease(subject="s", holder=1)), (DONE, 4))
        self.assertEqual(leases.apply(AcquireLease(subject="", holder=1)), (REFUSED, 0))
        self.assertEqual(leases.apply(AcquireLease(subject="s", holder=0)), (REFUSED, 0))
        lease = leases.get("s")
        assert lease is not None
        self.assertEqual((lease.holder, lease.token), (1, 4))

    @given(st.lists(ACQUIRE, max_size=40), st.integers(0, 40))
    def test_tokens_rise_over_snapshots_and_dropped_subjects(
        self, log: list[AcquireLease], split_at: int
    ) -> None:
        leases, last = Leases(max_subjects=2), 0
        for index, command in enumerate(log):
            if index == split_at:
                state = ReplicatedState()
                leases.save(state)
                leases = Leases(max_subjects=2)
                leases.restore(ReplicatedState.FromString(state.SerializeToString()))
            grant = leases.apply(command)
            if grant.result == DONE:
                self.assertGreater(grant.token, last)
                last = grant.token

    def test_no_two_holders_share_a_token(self) -> None:
        """Also with duplicate requests in any order, restarts and dropped subjects."""
        grant_in_all_orders()

    def test_a_repeated_request_keeps_its_token(self) -> None:
        """A holder that repeats its request, because the response was lost, gets the same token."""
        leases = Leases(max_subjects=2)
        first = leases.apply(AcquireLease(subject="s", holder=1))
        leases = restarted_from_snapshot(leases)
        self.assertEqual(leases.apply(AcquireLease(subject="s", holder=1)), (ALREADY_DONE, first.token))
        other = leases.apply(AcquireLease(subject="s", holder=2))
        leases = restarted_from_snapshot(leases)
        self.assertGreater(other.token, first.token)
        self.assertGreater(leases.apply(AcquireLease(subject="s", holder=1)).token, other.token)


class BrokenLeases(unittest.TestCase):
    def test_broken_token_rules_are_detected(self) -> None:
        """Tokens derived from the number of leases, and tokens that start over."""
        for name, broken in (("counts", lambda self: len(self._leases)), ("begins anew", lambda self: 0)):
            with self.subTest(name), mock.patch.object(Leases, "_last_token", broken):
                with self.assertRaises(AssertionError):
                    grant_in_all_orders()


class DuplicateRetirements(unittest.TestCase):
    def test_duplicate_retirements_in_any_order_lead_to_the_same_state(self) -> None:
        """Drains and deletions may be applied twice and in either order; a deletion is never undone."""
        commands = [RetireInstance(id="a", kind=kind) for kind in (DRAINING, GONE)]
        for order in product(commands, repeat=5):
            retirements = Retirements()
            for command in order:
                self.assertIn(retirements.apply(command), (DONE, ALREADY_DONE))
            gone = any(command.kind == GONE for command in order)
            self.assertEqual(retirements.kind("a"), GONE if gone else DRAINING)


def grant_in_all_orders() -> None:
    """Apply all orders of requests of two holders for three subjects, of which two are remembered.

    One replica restarts before each request.

    Raises:
        AssertionError: a token decreases or has two holders, or the replicas differ.
    """
    requests = [AcquireLease(subject=subject, holder=holder) for subject in "stu" for holder in (1, 2)]
    for log in product(requests, repeat=5):
        steady, restarted = Leases(max_subjects=2), Leases(max_subjects=2)
        owners: dict[int, tuple[str, int]] = {}
        for command in log:
            grant = steady.apply(command)
            restarted = restarted_from_snapshot(restarted)
            assert restarted.apply(command) == grant, "replicas differ"
            owner = command.subject, command.holder
            assert grant.result == ALREADY_DONE or grant.token > max(owners, default=0), "a token decreases"
            assert owners.setdefault(grant.token, owner) == owner, "a token has two holders"


def restarted_from_snapshot(leases: Leases) -> Leases:
    """The leases after a restart from a snapshot."""
    state = ReplicatedState()
    leases.save(state)
    restarted_leases = Leases(max_subjects=2)
    restarted_leases.restore(ReplicatedState.FromString(state.SerializeToString()))
    return restarted_leases


if __name__ == "__main__":
    unittest.main()
