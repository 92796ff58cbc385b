"""The member's end of the feed: cursors, shared frames, heartbeats, back-pressure."""

from __future__ import annotations

import unittest

from mallowbeam.router.feed import FeedAllowance, FeedBatch, FeedPublisher, MemberStatus
from mallowbeam.router.feed.limits import HEARTBEAT_INTERVAL_S
from mallowbeam.router.registry import InstanceTable
from mallowbeam.router.rpc.framing import FrameReader
from mallowbeam.router.rpc.messages_pb2 import (
    GONE,
    ConfigurationUpdate,
    FeedFrame,
    FeedHello,
    Instance,
    Route,
)

STATUS = MemberStatus(leader_silence_ms=7, gateways=3, members=("10.0.0.1:1", "10.0.0.2:1"))
DEFERRED = MemberStatus(5_000, 3, STATUS.members, FeedAllowance(configuration=False, table=False))
COMPLETE_AT_S = 10.0  # the table is complete


class Source:
    """Configurations that differ by one route a revision; changes are known from revision 3 on."""

    def __init__(self, revision: int) -> None:
        self.revision = revision
        self.built = 0

    def update_since(self, revision: int) -> ConfigurationUpdate | None:
        self.built += 1
        if revision >= self.revision:
            return None
        whole = revision < 3
        return ConfigurationUpdate(
            revision=self.revision,
            whole=whole,
            based_on=0 if whole else revision,
            routes=[Route(name=f"r{self.revision}")],
        )


class Publishing(unittest.TestCase):
    def setUp(self) -> None:
        self.table = InstanceTable(1.0, 0.0)
        self.source = Source(4)
        self.publisher = FeedPublisher(self.source, self.table)

    def send_heartbeat(
        self, id: str, sequence: int, now: float = COMPLETE_AT_S, stage: str = "decode"
    ) -> None:
        address = f"10.1.0.{len(id)}:80"
        heartbeat = Instance(id=id, address=address, stage=stage, sequence=sequence)
        self.table.receive_heartbeat(heartbeat, now)

    def frames(
        self, now: float, status: MemberStatus = STATUS, busy: tuple[int, ...] = ()
    ) -> list[FeedBatch]:
        batches = self.publisher.frames(now, status, busy)
        for batch in batches:
            self.assertEqual(
                [FeedFrame.FromString(body) for body in FrameReader().feed(batch.encoded)], [batch.frame]
            )
        return batches

    def test_the_first_frame_has_everything(self) -> None:
        self.send_heartbeat("a", 1)
        self.publisher.subscribe(1, FeedHello(), COMPLETE_AT_S)
        (batch,) = self.frames(COMPLETE_AT_S)
        frame = batch.frame
        self.assertEqual((frame.configuration.revision, frame.configuration.whole), (4, True))
        self.assertEqual((frame.instances.whole, [i.id for i in frame.instances.instances]), (True, ["a"]))
        self.assertEqual(list(frame.heartbeat.members), list(STATUS.members))
        self.assertEqual((frame.heartbeat.leader_silence_ms, frame.heartbeat.gateways), (7, 3))
        self.assertTrue(frame.heartbeat.table_complete)

    def test_a_gateway_with_a_configuration_gets_an_incremental_update(self) -> None:
        self.publisher.subscribe(1, FeedHello(configuration_revision=3), COMPLETE_AT_S)
        self.publisher.subscribe(2, FeedHello(configuration_revision=4), COMPLETE_AT_S)
        self.publisher.subscribe(3, FeedHello(configuration_revision=9), COMPLETE_AT_S)
        frames = {batch.subscribers: batch.frame for batch in self.frames(COMPLETE_AT_S)}
        self.assertEqual((frames[1,].configuration.based_on, frames[1,].configuration.whole), (3, False))
        self.assertFalse(frames[2,].HasField("configuration"))
        self.assertFalse(frames[3,].HasField("configuration"))
        self.source.revision = 8
        frames = {batch.subscribers: batch.frame for batch in self.frames(COMPLETE_AT_S + 0.01)}
        self.assertEqual(sorted(frames), [(1, 2)])

    def test_one_frame_for_all_subscribers_with_equal_cursors(self) -> None:
        for number in range(350):
            self.publisher.subscribe(number, FeedHello(), COMPLETE_AT_S)
        (batch,) = self.frames(COMPLETE_AT_S)
        self.assertEqual(batch.subscribers, tuple(range(350)))
        self.source.built = 0
        self.send_heartbeat("a", 1)
        self.source.revision = 5
        (batch,) = self.frames(COMPLETE_AT_S + 0.01)
        self.assertEqual(len(batch.subscribers), 350)
        self.assertEqual(self.source.built, 1)
        self.assertEqual([i.id for i in batch.frame.instances.instances], ["a"])

    def test_without_changes_only_heartbeats_are_sent(self) -> None:
        self.publisher.subscribe(1, FeedHello(), COMPLETE_AT_S)
        self.frames(COMPLETE_AT_S)
        self.send_heartbeat("a", 1)
        self.frames(COMPLETE_AT_S + 0.01)
        self.send_heartbeat("a", 2)  # a renewal is no change
        self.assertEqual(self.frames(COMPLETE_AT_S + 0.02), [])
        self.assertEqual(self.publisher.next_frames_at(), COMPLETE_AT_S + HEARTBEAT_INTERVAL_S)
        (batch,) = self.frames(COMPLETE_AT_S + HEARTBEAT_INTERVAL_S)
        self.assertEqual(batch.frame.ListFields()[0][0].name, "heartbeat")
        self.assertEqual(list(batch.frame.heartbeat.members), [])
        self.assertLess(len(batch.encoded), 20)

    def test_a_changed_membership_is_sent(self) -> None:
        self.publisher.subscribe(1, FeedHello(), COMPLETE_AT_S)
        self.frames(COMPLETE_AT_S)
        status = MemberStatus(0, 3, (*STATUS.members, "10.0.0.3:1"))
        (batch,) = self.frames(COMPLETE_AT_S + 0.01, status)
        self.assertEqual(len(batch.frame.heartbeat.members), 3)

    def test_the_table_is_sent_in_full_again_once_it_is_complete(self) -> None:
        self.send_heartbeat("a", 1, 0.1)
        self.publisher.subscribe(1, FeedHello(), 0.1)
        (batch,) = self.frames(0.1)
        self.assertFalse(batch.frame.heartbeat.table_complete)
        self.assertTrue(batch.frame.instances.whole)
        (batch,) = self.frames(2.5)
        self.assertTrue(batch.frame.heartbeat.table_complete)
        self.assertTrue(batch.frame.instances.whole)
        (batch,) = self.frames(2.8)
        self.assertFalse(batch.frame.HasField("instances"))

    def test_a_slow_reader_gets_all_changes_in_one_frame_later(self) -> None:
        for number in (1, 2):
            self.publisher.subscribe(number, FeedHello(), COMPLETE_AT_S)
        self.frames(COMPLETE_AT_S)
        for step in range(1, 6):
            self.send_heartbeat("a" * step, 1)
            (batch,) = self.frames(COMPLETE_AT_S + 0.01 * step, busy=(1,))
            self.assertEqual(batch.subscribers, (2,))
        self.table.retire("a", GONE, COMPLETE_AT_S)
        batches = {batch.subscribers: batch.frame for batch in self.frames(COMPLETE_AT_S + 0.1)}
        self.assertEqual(len(batches[1,].instances.instances), 5)
        self.assertEqual(len(batches[2,].instances.instances), 1)
        self.send_heartbeat("b", 1)
        (batch,) = self.frames(COMPLETE_AT_S + 0.11)
        self.assertEqual(batch.subscribers, (1, 2))

    def test_disallowed_updates_are_deferred(self) -> None:
        self.send_heartbeat("a", 1)
        self.publisher.subscribe(1, FeedHello(), COMPLETE_AT_S)
        self.publisher.subscribe(2, FeedHello(configuration_revision=3), COMPLETE_AT_S)
        for batch in self.frames(COMPLETE_AT_S, DEFERRED):
            self.assertEqual([field.name for field, _ in batch.frame.ListFields()], ["heartbeat"])
            self.assertEqual(list(batch.frame.heartbeat.members), list(STATUS.members))
            self.assertEqual(batch.frame.heartbeat.leader_silence_ms, 5_000)
        self.assertEqual(self.frames(COMPLETE_AT_S + 0.01, DEFERRED), [])
        frames = {batch.subscribers: batch.frame for batch in self.frames(COMPLETE_AT_S + 0.02)}
        self.assertEqual((frames[1,].configuration.revision, frames[1,].configuration.whole), (4, True))
        self.assertEqual((frames[2,].configuration.revision, frames[2,].configuration.based_on), (4, 3))
        self.assertTrue(all(frame.instances.whole for frame in frames.values()))

    def test_changes_of_instances_still_go_to_subscribers_with_the_table(self) -> None:
        self.publisher.subscribe(1, FeedHello(), COMPLETE_AT_S)
        self.frames(COMPLETE_AT_S)
        self.publisher.subscribe(2, FeedHello(), COMPLETE_AT_S)
        self.frames(COMPLETE_AT_S, DEFERRED)
        self.send_heartbeat("a", 1)
        self.source.revision = 5
        (batch,) = self.frames(COMPLETE_AT_S + 0.01, DEFERRED)
        self.assertEqual(batch.subscribers, (1,))
        self.assertEqual([one.id for one in batch.frame.instances.instances], ["a"])
        self.assertFalse(batch.frame.HasField("configuration"))
        frames = {batch.subscribers: batch.frame for batch in self.frames(COMPLETE_AT_S + 0.02)}
        self.assertEqual(frames[1,].configuration.revision, 5)
        self.assertFalse(frames[1,].HasField("instances"))
        self.assertTrue(frames[2,].instances.whole)

    def test_frames_carry_the_time_at_which_they_were_built(self) -> None:
        self.publisher.subscribe(1, FeedHello(), COMPLETE_AT_S)
        self.assertEqual(self.frames(COMPLETE_AT_S)[0].frame.heartbeat.sent_at_ms, 10_000)
        self.assertEqual(self.frames(COMPLETE_AT_S + 0.25)[0].frame.heartbeat.sent_at_ms, 10_250)

    def test_unsubscribed(self) -> None:
        self.publisher.subscribe(1, FeedHello(), COMPLETE_AT_S)
        self.publisher.unsubscribe(1)
        self.publisher.unsubscribe(1)
        self.assertEqual((self.frames(COMPLETE_AT_S), len(self.publisher)), ([], 0))


if __name__ == "__main__":
    unittest.main()
