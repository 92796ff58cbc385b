"""A gateway's replica of the instances, its counts of gateways, and the ejection of members."""

from __future__ import annotations

import unittest
from random import Random

from feed_case import SEEDS, FeedCase, apply_update, frame, instance
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.router.feed import Connect, FeedSubscriber, GatewayIdentity
from mallowbeam.router.feed.candidates import Candidates
from mallowbeam.router.feed.limits import (
    EJECTION_MIN_S,
    GATEWAY_COUNT_WINDOW_S,
)
from mallowbeam.router.registry.limits import RETIRED_SEQUENCE
from mallowbeam.router.rpc.messages_pb2 import (
    DRAINS,
    ENDED,
    READY,
    Instance,
)


class Instances(FeedCase):
    def states(self) -> dict[str, int]:
        return {id: known.state for id, known in self.feed.instances.items()}

    def test_a_complete_table_replaces_an_incomplete_one_adds(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a"), instance("b"), whole=True), 0.1)
        self.reconnect(1.0)
        events = self.feed.received(frame(instance("c"), whole=True, complete=False), 1.3)
        self.assertEqual(self.states(), {"a": READY, "b": READY, "c": READY})
        self.assertEqual(([i.id for i in events.instances.changed], events.instances.ended), (["c"], ()))
        events = self.feed.received(frame(instance("a"), instance("c"), whole=True), 1.4)
        self.assertEqual((events.instances.changed, events.instances.ended), ((), ("b",)))

    def test_a_retired_instance_never_returns(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a"), instance("b"), whole=True), 0.1)
        self.feed.received(frame(instance("a", DRAINS), instance("b", ENDED, RETIRED_SEQUENCE)), 0.2)
        self.reconnect(1.0)
        self.feed.received(frame(instance("a", READY, 99), instance("b", READY, 99), whole=True), 1.3)
        self.assertEqual(self.states(), {"a": DRAINS})
        self.feed.received(frame(instance("b", READY, 2**63)), 1.4)
        self.assertEqual(self.states(), {"a": DRAINS})

    def test_an_expired_instance_returns_with_a_higher_sequence(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a", sequence=3), whole=True), 0.1)
        self.assertEqual(self.feed.received(frame(instance("a", ENDED, 9)), 0.2).instances.ended, ("a",))
        self.feed.received(frame(instance("a", READY, 9)), 0.3)
        self.assertEqual(self.states(), {})
        events = self.feed.received(frame(instance("a", READY, 10)), 0.4)
        self.assertEqual([i.id for i in events.instances.changed], ["a"])

    def test_an_incomplete_table_does_not_overwrite_newer_instances(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a", sequence=9, stage="prefill"), whole=True), 0.1)
        self.reconnect(1.0)
        self.feed.received(
            frame(instance("a", sequence=4), instance("b", ENDED, 1), whole=True, complete=False), 1.3
        )
        self.assertEqual(self.feed.instances["a"].stage, "prefill")
        self.feed.received(frame(instance("a", ENDED, 4), whole=True, complete=False), 1.4)
        self.assertEqual(self.states(), {"a": READY})

    def test_a_drain_without_details(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a", sequence=9), whole=True), 0.1)
        self.reconnect(1.0)
        bare = [Instance(id="a", state=DRAINS), Instance(id="x", state=DRAINS)]
        events = self.feed.received(frame(*bare, whole=True, complete=False), 1.3)
        self.assertEqual(self.states(), {"a": DRAINS})
        self.assertEqual([(i.id, i.address) for i in events.instances.changed], [("a", "10.1.0.1:80")])
        self.feed.received(frame(instance("x")), 1.4)
        self.assertEqual(self.states(), {"a": DRAINS, "x": DRAINS})

    def test_a_higher_sequence_alone_is_no_change(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a"), whole=True), 0.1)
        events = self.feed.received(frame(instance("a", sequence=8), whole=True), 0.2)
        self.assertEqual((events.instances.changed, events.instances.ended), ((), ()))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.sampled_from([READY, DRAINS, ENDED]),
                st.sampled_from([1, 2, 3, RETIRED_SEQUENCE]),
                st.booleans(),
                st.booleans(),
            ),
            max_size=25,
        )
    )
    def test_states_only_move_on(self, updates: list[tuple[str, int, int, bool, bool]]) -> None:
        feed = FeedSubscriber(SEEDS, GatewayIdentity("z"), Random(1), apply_update)
        action = feed.next_action(0.0)
        assert isinstance(action, Connect)
        feed.connected(action.address, 0.0)
        draining: set[str] = set()
        deleted: set[str] = set()
        for id, state, sequence, whole, complete in updates:
            if state != ENDED:
                sequence = min(sequence, 3)
            feed.received(frame(instance(id, state, sequence), whole=whole, complete=complete), 0.1)
            if id in feed.instances and feed.instances[id].state == DRAINS:
                draining.add(id)
            if state == ENDED and sequence == RETIRED_SEQUENCE:
                deleted.add(id)
            self.assertFalse(deleted & set(feed.instances))
            for known in draining & set(feed.instances):
                self.assertEqual(feed.instances[known].state, DRAINS)


class Gateways(FeedCase):
    def test_the_bound_is_the_greatest_of_the_window(self) -> None:
        self.connect(0.0)
        for now, count in ((0.1, 30), (0.2, 40), (0.3, 25), (0.4, 28)):
            self.feed.received(frame(gateways=count), now)
        self.assertEqual((self.feed.gateways, self.feed.gateways_bound(0.5)), (28, 40))
        self.assertEqual(self.feed.gateways_bound(0.3 + GATEWAY_COUNT_WINDOW_S), 28)
        self.assertEqual(self.feed.gateways_bound(1_000.0), 28)

    def test_an_isolated_member_only_raises_the_count(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(gateways=30), 0.1)
        self.feed.received(frame(gateways=3, silence_ms=2_000), 0.2)
        self.assertEqual(self.feed.gateways, 30)
        self.feed.received(frame(gateways=33, silence_ms=2_000), 0.3)
        self.assertEqual(self.feed.gateways, 33)


class CandidateTests(unittest.TestCase):
    def test_consecutive_ejections_last_longer(self) -> None:
        candidates = Candidates(SEEDS, Random(1))
        candidates.eject(SEEDS[0], 0.0)
        candidates.eject(SEEDS[0], 1.0)
        self.assertFalse(candidates.get(SEEDS[0]).eligible(EJECTION_MIN_S - 0.1))
        self.assertTrue(candidates.get(SEEDS[0]).eligible(EJECTION_MIN_S))
        candidates.eject(SEEDS[0], 10.0)
        self.assertFalse(candidates.get(SEEDS[0]).eligible(10.0 + 2 * EJECTION_MIN_S - 0.1))
        self.assertTrue(candidates.get(SEEDS[0]).eligible(10.0 + 2 * EJECTION_MIN_S))
        candidates.readmit(SEEDS[0])
        self.assertTrue(candidates.get(SEEDS[0]).eligible(11.0))


if __name__ == "__main__":
    unittest.main()
