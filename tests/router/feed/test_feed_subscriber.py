"""The gateway's end of the feed: which member it follows, and which frames it applies."""

from __future__ import annotations

import itertools
import unittest
from random import Random

from feed_case import SEEDS, FeedCase, apply_update, frame, instance

from mallowbeam.router.feed import Close, Connect, FeedSubscriber, GatewayIdentity, Wait
from mallowbeam.router.feed.limits import (
    BACKOFF_MAX_S,
    BACKOFF_MIN_S,
    CONNECT_TIMEOUT_S,
    EJECTION_MIN_S,
    FRAME_TIMEOUT_S,
    MIN_DWELL_S,
    READY_WITHOUT_COMPLETE_S,
)


class Following(FeedCase):
    def test_a_feed_without_frames_times_out(self) -> None:
        first = self.connect(0.0)
        self.feed.received(frame(whole=True), 0.5)
        self.assertEqual(self.feed.next_action(0.6), Wait(0.5 + FRAME_TIMEOUT_S))
        self.assertEqual(self.feed.next_action(1.51), Close(first))
        following = self.feed.next_action(1.51)
        self.assertIsInstance(following, Connect)
        self.assertNotEqual(following, Connect(first))

    def test_a_connection_without_frames_is_closed(self) -> None:
        first = self.connect(0.0)
        self.assertEqual(self.feed.next_action(1.01), Close(first))

    def test_the_host_times_an_attempt(self) -> None:
        action = self.feed.next_action(0.0)
        assert isinstance(action, Connect)
        self.assertEqual(self.feed.next_action(0.1), Wait(CONNECT_TIMEOUT_S))
        self.feed.failed(action.address, CONNECT_TIMEOUT_S)
        following = self.feed.next_action(CONNECT_TIMEOUT_S)
        assert isinstance(following, Connect)
        self.assertNotEqual(following.address, action.address)

    def test_members_that_refuse_are_retried_with_backoff(self) -> None:
        """Each is tried again after 0.05 to 0.1 s, later after 0.5 to 1 s."""
        now, attempts = 0.0, []
        while now < 20.0:
            action = self.feed.next_action(now)
            if isinstance(action, Connect):
                attempts.append(now)
                self.feed.failed(action.address, now)
            else:
                assert isinstance(action, Wait)
                self.assertGreater(action.until, now)
                now = action.until
        self.assertEqual(attempts[:3], [0.0, 0.0, 0.0])
        self.assertLessEqual(attempts[3], BACKOFF_MIN_S)
        self.assertLess(len(attempts), 3 * (20 / (BACKOFF_MAX_S / 2) + 6))
        self.assertGreater(len(attempts), 3 * 20)

    def test_gateways_spread_over_members(self) -> None:
        chosen = []
        for seed in range(350):
            action = FeedSubscriber(SEEDS, GatewayIdentity("z"), Random(seed), apply_update).next_action(0.0)
            assert isinstance(action, Connect)
            chosen.append(action.address)
        self.assertTrue(all(90 < chosen.count(address) < 145 for address in SEEDS))

    def test_an_isolated_member_is_left(self) -> None:
        first = self.connect(0.0)
        self.feed.received(frame(whole=True, silence_ms=200), 0.1)
        self.feed.received(frame(silence_ms=900), 1.0)
        self.assertIsInstance(self.feed.next_action(1.0), Wait)
        self.feed.received(frame(silence_ms=1_100), 1.2)
        self.assertEqual(self.feed.next_action(1.2), Close(first))
        tried = []
        for _ in SEEDS:
            tried.append(self.connect(1.3))
            self.feed.failed(tried[-1], 1.3)
        self.assertEqual(set(tried[:2]), set(SEEDS) - {first})
        self.assertEqual(
            tried[2], first
        )  # the others are unreachable: an isolated member is better than none

    def test_a_new_feed_has_time_to_recover(self) -> None:
        first = self.connect(0.0)
        self.feed.received(frame(whole=True, silence_ms=9_000), 0.1)
        self.assertIsInstance(self.feed.next_action(0.1), Wait)
        self.feed.received(frame(silence_ms=9_500), MIN_DWELL_S)
        self.assertEqual(self.feed.next_action(MIN_DWELL_S), Close(first))

    def test_of_isolated_members_the_freshest_is_followed(self) -> None:
        silences = dict(zip(SEEDS, (5_000, 3_000, 4_000), strict=True))
        now, visited = 0.0, []
        while now < EJECTION_MIN_S - 0.5:
            action = self.feed.next_action(now)
            if isinstance(action, Connect):
                visited.append(action.address)
                self.feed.connected(action.address, now)
            if self.feed._connection is not None:
                silence = silences[self.feed._connection.address] + round(now * 1000)
                self.feed.received(frame(whole=True, silence_ms=silence), now)
            now += 0.25
        self.assertEqual(visited[-1], SEEDS[1])
        self.assertLessEqual(len(visited), 4)

    def test_members_are_learned_and_seeds_are_a_fallback(self) -> None:
        self.connect(0.0)
        members = ("10.0.1.1:1", "10.0.1.2:1")
        self.feed.received(frame(whole=True, members=members), 0.1)
        self.feed.received(frame(), 0.2)  # without members: the list stays
        connection = self.feed._connection
        assert connection is not None
        self.feed.failed(connection.address, 0.3)
        tried = []
        for _ in range(4):
            action = self.feed.next_action(0.3)
            assert isinstance(action, Connect)
            tried.append(action.address)
            self.feed.failed(action.address, 0.3)
        self.assertEqual(set(tried[:2]), set(members))
        self.assertTrue(set(tried[2:]) < set(SEEDS))

    # Guards against a cut-off member whose membership makes a gateway forget those that replaced the others.
    def test_the_membership_of_a_member_that_is_not_current_replaces_none(self) -> None:
        self.connect(0.0)
        members = ("10.0.1.1:1", "10.0.1.2:1")
        self.feed.received(frame(whole=True, members=members), 0.1)
        self.reconnect(0.2)
        outdated = ("10.0.3.1:1",)
        self.feed.received(frame(whole=True, members=outdated, silence_ms=30_000), 0.5)
        self.feed.received(frame(silence_ms=30_250), 0.75)
        self.assertEqual(set(self.feed.member_addresses), {*members, *outdated, *SEEDS})
        self.feed.received(frame(silence_ms=100), 1.0)  # it is current again, and its membership unchanged
        self.assertEqual(set(self.feed.member_addresses), {*outdated, *SEEDS})
        self.feed.received(frame(members=members), 1.2)
        self.assertEqual(set(self.feed.member_addresses), {*members, *SEEDS})

    # Guards against a gateway that tries only addresses that no longer exist.
    def test_replaced_seeds_are_tried_though_all_known_members_are_gone(self) -> None:
        self.connect(0.0)
        members = ("10.0.1.1:1", "10.0.1.2:1")
        self.feed.received(frame(whole=True, members=members), 0.1)
        new_seed = "10.0.2.1:1"
        self.feed.replace_seeds([new_seed])
        self.assertEqual(set(self.feed.member_addresses), {*members, new_seed})
        connection = self.feed._connection
        assert connection is not None  # the member that is followed is not left
        self.feed.failed(connection.address, 0.3)
        tried = []
        for _ in range(3):
            action = self.feed.next_action(0.3)
            assert isinstance(action, Connect)
            tried.append(action.address)
            self.feed.failed(action.address, 0.3)
        self.assertEqual((set(tried[:2]), tried[2]), (set(members), new_seed))

    def test_replaced_seeds_end_a_wait_without_any_address(self) -> None:
        self.feed = FeedSubscriber((), GatewayIdentity("z"), Random(7), apply_update)
        self.assertIsInstance(self.feed.next_action(0.0), Wait)
        self.feed.replace_seeds(SEEDS[:1])
        self.assertEqual(self.feed.next_action(0.1), Connect(SEEDS[0]))

    def test_seeds_that_remain_keep_their_backoff(self) -> None:
        action = self.feed.next_action(0.0)
        assert isinstance(action, Connect)
        self.feed.failed(action.address, 0.0)
        self.feed.replace_seeds([action.address])
        self.assertIsInstance(self.feed.next_action(0.0), Wait)

    def test_a_frame_after_the_end_has_no_effect(self) -> None:
        self.connect(0.0)
        self.feed.next_action(1.5)
        events = self.feed.received(frame(instance("a"), whole=True, revision=3), 1.5)
        self.assertEqual((events.configuration, len(self.feed.instances)), (None, 0))


class StaleFrames(FeedCase):
    """Frames that were delayed by a partition, a suspended process or a slow link."""

    CLOCK = 5_000.0  # the member's clock when the gateway's is at 0, in seconds

    def receive(self, now: float, sent: float, silence_ms: int = 50, **more: object) -> None:
        """Receive a frame at `now` that was sent at `sent`, both by the gateway's clock."""
        feed_frame = frame(silence_ms=silence_ms, **more)
        feed_frame.heartbeat.sent_at_ms = round((self.CLOCK + sent) * 1000)
        self.feed.received(feed_frame, now)

    def isolated(self) -> bool:
        assert self.feed._connection is not None
        return self.feed._connection.isolated

    def test_a_burst_after_a_partition_leaves_the_member_isolated(self) -> None:
        """Each delayed frame reports 50 ms since contact with the leader, and must not count as current."""
        self.connect(0.0)
        self.receive(0.1, 0.1, whole=True)
        for sent in (0.35, 0.6, 0.85):  # delayed, and delivered in one burst
            self.receive(20.0, sent)
            self.assertTrue(self.isolated())
        self.receive(20.25, 20.25)  # the first undelayed frame
        self.assertFalse(self.isolated())

    def test_a_suspended_gateway_does_not_become_ready_by_queued_frames(self) -> None:
        self.connect(0.0)
        self.receive(0.1, 0.1)
        self.receive(20.0, 0.2, whole=True, revision=3)
        self.assertFalse(self.feed.ready(20.0))
        self.receive(20.1, 20.1)
        self.assertTrue(self.feed.ready(20.1))

    def test_a_growing_delay_counts_as_staleness(self) -> None:
        self.connect(0.0)
        late = 0.0
        for step in range(80):  # a queue builds up: each frame is delayed more than the last one
            sent = 0.25 * step
            late = 0.3 * sent
            self.receive(0.1 + sent + late, sent, whole=step == 0, revision=3 if step == 79 else 0)
        self.assertTrue(self.isolated())
        self.assertFalse(self.feed.ready(0.1 + sent + late))

    def test_slight_staleness_neither_ends_the_feed_nor_makes_it_ready(self) -> None:
        """A new connection does not help a gateway whose own link is congested."""
        self.connect(0.0)
        self.receive(0.1, 0.1)
        self.receive(2.0, 0.4, whole=True, revision=3)  # 1.6 s late
        self.assertFalse(self.isolated())
        self.assertFalse(self.feed.ready(2.0))
        self.receive(2.1, 2.1)
        self.assertTrue(self.feed.ready(2.1))

    def test_clock_drift_is_not_staleness(self) -> None:
        for rate in (0.9, 1.1):
            feed = self.feed = FeedSubscriber(SEEDS, GatewayIdentity("z", "g", 5), Random(7), apply_update)
            self.connect(0.0)
            for step in range(4_000):
                now = 0.25 * step
                self.receive(now, now * rate, whole=step == 0)
                self.assertFalse(self.isolated(), (rate, now))
            self.assertFalse(feed.instances)

    def test_frames_without_a_time_stamp_count_as_fresh(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(whole=True, silence_ms=50), 0.1)
        self.feed.received(frame(silence_ms=50), 0.9)
        self.assertFalse(self.isolated())


class IsolatedMembers(FeedCase):
    """Readiness and ejections of a gateway that follows isolated members."""

    def test_an_isolated_member_does_not_make_it_ready(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a"), whole=True, revision=3, silence_ms=5_000), 0.1)
        self.assertFalse(self.feed.ready(0.1))
        self.assertFalse(self.feed.ready(READY_WITHOUT_COMPLETE_S + 1.0))
        self.feed.received(frame(silence_ms=100), 0.6)
        self.assertTrue(self.feed.ready(0.6))

    def test_it_is_not_ready_without_a_feed_or_after_its_time_out(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a"), whole=True, complete=False, revision=3), 0.1)
        later = 0.1 + READY_WITHOUT_COMPLETE_S + 0.5
        self.assertFalse(self.feed.ready(later))
        self.reconnect(later)
        self.assertFalse(self.feed.ready(later + 0.3))
        self.feed.received(frame(), later + 0.3)
        self.assertTrue(self.feed.ready(later + 0.3))

    def test_ejections_do_not_grow_before_it_is_ready(self) -> None:
        """Otherwise a gateway that starts without a majority could follow an isolated member for a minute."""
        now, attempts = 0.0, []
        while now < 120.0:
            action = self.feed.next_action(now)
            if isinstance(action, Connect):
                attempts.append(now)
                self.feed.connected(action.address, now)
            if self.feed._connection is not None:
                self.feed.received(frame(silence_ms=2**32 - 1), now)
            now += 0.25
        pauses = [after - before for before, after in itertools.pairwise(attempts)]
        self.assertLessEqual(max(pauses), EJECTION_MIN_S + 0.5)
        self.assertLessEqual(len(attempts), 120.0 / EJECTION_MIN_S * len(SEEDS))

    def test_others_are_readmitted_when_the_followed_member_becomes_isolated(self) -> None:
        """They were unreachable shortly before, and would stay ejected for up to a minute."""
        first = self.connect(0.0)
        self.feed.received(frame(whole=True, revision=3), 0.1)
        self.assertTrue(self.feed.ready(0.1))
        for other in SEEDS:
            if other != first:
                for _ in range(3):
                    self.feed._candidates.record_failure(other, 0.2)
        self.feed.received(frame(silence_ms=1_500), 3.0)
        self.assertEqual(self.feed.next_action(3.0), Close(first))
        following = self.feed.next_action(3.0)
        assert isinstance(following, Connect)
        self.assertNotEqual(following.address, first)


class ConfigurationTests(FeedCase):
    def test_changes_in_order(self) -> None:
        self.connect(0.0)
        self.assertEqual(self.feed.received(frame(revision=2), 0.1).configuration, (2,))
        self.assertEqual(self.feed.received(frame(revision=5, based_on=2), 0.2).configuration, (2, 5))
        self.assertIsNone(self.feed.received(frame(), 0.3).configuration)
        self.assertEqual((self.feed.configuration, self.feed.configuration_revision), ((2, 5), 5))
        self.assertEqual(self.feed.hello().configuration_revision, 5)
        self.assertEqual((self.feed.hello().gateway, self.feed.hello().incarnation), ("g", 5))

    def test_an_older_revision_is_rejected_and_the_member_left(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(revision=5), 0.1)
        second = self.reconnect(1.0)
        self.assertIsNone(self.feed.received(frame(revision=4), 1.3).configuration)
        self.assertEqual(self.feed.configuration, (5,))
        self.feed.received(frame(), 1.9)
        self.assertEqual(self.feed.next_action(1.9), Close(second))

    def test_update_based_on_another_revision_forces_a_reconnect(self) -> None:
        first = self.connect(0.0)
        self.feed.received(frame(revision=5), 0.1)
        self.assertIsNone(self.feed.received(frame(revision=9, based_on=7), 0.2).configuration)
        self.assertEqual(self.feed.next_action(0.2), Close(first))
        self.assertEqual(self.feed.configuration, (5,))

    def test_update_that_cannot_be_applied_forces_a_reconnect(self) -> None:
        first = self.connect(0.0)
        self.feed.received(frame(revision=5), 0.1)
        self.assertIsNone(self.feed.received(frame(revision=666, based_on=5), 0.2).configuration)
        self.assertEqual((self.feed.configuration, self.feed.configuration_revision), ((5,), 5))
        self.assertEqual(self.feed.next_action(0.2), Close(first))

    def test_ready(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(instance("a"), whole=True, complete=False), 0.1)
        self.assertFalse(self.feed.ready(9.0))
        self.feed.received(frame(revision=1, complete=False), 9.0)
        self.assertTrue(self.feed.ready(9.0))

    def test_ready_by_a_complete_table_even_if_empty(self) -> None:
        self.connect(0.0)
        self.feed.received(frame(revision=1, whole=True, complete=False), 0.1)
        self.assertFalse(self.feed.ready(9.0))
        self.feed.received(frame(whole=True), 9.1)
        self.assertTrue(self.feed.ready(9.1))
        self.assertTrue(self.feed.ready(99.0))


if __name__ == "__main__":
    unittest.main()
