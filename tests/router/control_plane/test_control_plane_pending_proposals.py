"""Futures for proposals, applied indexes and changes."""

from __future__ import annotations

import asyncio
import unittest

from mallowbeam.router.control_plane.pending_proposals import PendingProposals
from mallowbeam.router.control_plane.proposal_errors import ProposalLostError
from mallowbeam.router.control_plane.state_machine import (
    CommandOutcome,
)
from mallowbeam.router.control_plane.wait_conditions import AppliedIndexWaiters, ChangeNotifier
from mallowbeam.router.rpc.messages_pb2 import (
    DONE,
)


class Futures(unittest.IsolatedAsyncioTestCase):
    async def test_a_proposal_is_resolved_when_its_own_entry_is_applied(self) -> None:
        loop = asyncio.get_running_loop()
        waiters = PendingProposals()
        own, lost, replaced = loop.create_future(), loop.create_future(), loop.create_future()
        waiters.add(5, 2, own)
        waiters.add(5, 1, lost)
        waiters.add(6, 2, replaced)
        waiters.applied(5, 2, CommandOutcome(DONE, 5))
        self.assertEqual(own.result(), CommandOutcome(DONE, 5))
        self.assertIsInstance(lost.exception(), ProposalLostError)
        waiters.replaced_by_snapshot(9)
        self.assertIsInstance(replaced.exception(), ProposalLostError)

    async def test_cancelled_futures_are_skipped(self) -> None:
        waiters = PendingProposals()
        abandoned = asyncio.get_running_loop().create_future()
        waiters.add(5, 2, abandoned)
        abandoned.cancel()
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


if __name__ == "__main__":
    unittest.main()
