"""The instance table: heartbeats, retirements, expiry, addresses, changes, gossip."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.router.registry import GatewayCounts, HeartbeatOutcome, InstanceTable
from mallowbeam.router.registry.changes import ChangeLog
from mallowbeam.router.registry.limits import (
    ENDED_RETENTION_S,
    GATEWAY_COUNT_TTL_S,
    GOSSIP_INTERVAL_S,
    RETIRED_SEQUENCE,
    URGENT_INTERVAL_S,
)
from mallowbeam.router.rpc.messages_pb2 import (
    DRAINING,
    DRAINS,
    ENDED,
    GONE,
    READY,
    Instance,
    InstancesUpdate,
    RegistryGossip,
)

STEP_S = 0.25  # seconds between two calls of expire()


def heartbeat(
    id: str = "a", sequence: int = 1, state: int = READY, address: str = "", **more: object
) -> Instance:
    return Instance(
        id=id,
        backend="s",
        address=address or f"10.0.0.{ord(id[0]) % 200}:80",
        zone="z",
        slots=4,
        state=state,
        sequence=sequence,
        **more,
    )


def states(table: InstanceTable) -> dict[str, int]:
    return {instance.id: instance.state for instance in table.changes_since(-1).instances}


def expire_repeatedly(table: InstanceTable, start: float, end: float) -> list[str]:
    """Call `expire` from `start` to `end`; returns the ids of the ended instances."""
    ended: list[str] = []
    now = start
    while now <= end:
        ended += table.expire(now)
        now += STEP_S
    return ended


class Heartbeats(unittest.TestCase):
    def setUp(self) -> None:
        self.table = InstanceTable(1.0, 0.0)

    def test_outcomes(self) -> None:
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=5), 0.1), HeartbeatOutcome.CHANGED)
        version = self.table.version
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=6), 0.2), HeartbeatOutcome.SAME)
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=6), 0.3), HeartbeatOutcome.STALE)
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=4), 0.3), HeartbeatOutcome.STALE)
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat(sequence=7, warmup_left_ms=9), 0.4), HeartbeatOutcome.SAME
        )
        self.assertEqual(self.table.version, version)
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat(sequence=8, stage="prefill"), 0.5),
            HeartbeatOutcome.CHANGED,
        )
        self.assertEqual(self.table.version, version + 1)

    def test_the_first_sequence_may_be_zero(self) -> None:
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=0), 0.1), HeartbeatOutcome.CHANGED)
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=0), 0.1), HeartbeatOutcome.STALE)
        self.table.retire("b", DRAINING, 0.1)
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat("b", sequence=0), 0.1), HeartbeatOutcome.CHANGED
        )
        self.assertEqual(states(self.table)["b"], DRAINS)

    def test_draining_and_gone_are_permanent(self) -> None:
        self.table.receive_heartbeat(heartbeat(sequence=1), 0.1)
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat(sequence=2, state=DRAINS), 0.2), HeartbeatOutcome.CHANGED
        )
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat(sequence=3, state=READY), 0.3), HeartbeatOutcome.SAME
        )
        self.assertEqual(states(self.table), {"a": DRAINS})
        self.assertTrue(self.table.retire("a", GONE, 0.4))
        self.assertFalse(self.table.retire("a", DRAINING, 0.4))
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=99), 0.5), HeartbeatOutcome.RETIRED)
        self.assertEqual(states(self.table), {"a": ENDED})

    def test_a_stale_draining_heartbeat_is_applied(self) -> None:
        self.table.receive_heartbeat(heartbeat(sequence=7), 0.1)
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat(sequence=6, state=DRAINS), 0.2), HeartbeatOutcome.CHANGED
        )
        self.assertEqual(states(self.table), {"a": DRAINS})

    def test_a_retirement_before_any_heartbeat_is_published(self) -> None:
        self.table.retire("a", GONE, 0.1)
        published = self.table.changes_since(0).instances
        self.assertEqual([(i.id, i.state, i.sequence) for i in published], [("a", ENDED, RETIRED_SEQUENCE)])

    def test_expiry_and_return(self) -> None:
        self.table.receive_heartbeat(heartbeat(sequence=1), 10.0)
        self.table.expire(9.9)
        self.assertEqual(expire_repeatedly(self.table, 10.0, 13.4), [])
        self.assertEqual(expire_repeatedly(self.table, 13.5, 14.0), ["a"])
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=1), 14.1), HeartbeatOutcome.STALE)
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=2), 14.2), HeartbeatOutcome.CHANGED)
        self.assertEqual(states(self.table), {"a": READY})

    def test_ended_instances_are_dropped_and_older_cursors_get_the_complete_table(self) -> None:
        self.table.receive_heartbeat(heartbeat(sequence=1), 0.1)
        self.table.receive_heartbeat(heartbeat("b", sequence=1), 0.1)
        cursor = self.table.version
        self.table.retire("a", GONE, 0.2)
        expire_repeatedly(self.table, 0.2, 2.0)
        self.assertFalse(self.table.changes_since(cursor).whole)
        now = 2.0
        for sequence in range(2, 40):
            self.table.receive_heartbeat(heartbeat("b", sequence), now)
            expire_repeatedly(self.table, now, now + 0.9)
            now += 1.0
        self.assertGreater(now, ENDED_RETENTION_S)
        self.assertTrue(self.table.changes_since(cursor).whole)
        self.assertEqual(states(self.table), {"b": READY})
        self.assertEqual(self.table.receive_heartbeat(heartbeat(sequence=9), now), HeartbeatOutcome.RETIRED)

    def test_a_suspended_member_expires_nothing(self) -> None:
        self.table.receive_heartbeat(heartbeat(), 0.1)
        expire_repeatedly(self.table, 0.0, 3.0)
        self.assertTrue(self.table.is_complete(3.0))
        self.assertEqual(self.table.expire(9.0), [])
        self.assertFalse(self.table.is_complete(9.0))
        self.assertEqual(expire_repeatedly(self.table, 9.25, 12.25), [])
        self.assertEqual(expire_repeatedly(self.table, 12.5, 13.0), ["a"])

    def test_a_full_table_rejects_new_instances(self) -> None:
        table = InstanceTable(1.0, 0.0, max_instances=2)
        for id in "ab":
            table.receive_heartbeat(heartbeat(id), 0.1)
        self.assertEqual(table.receive_heartbeat(heartbeat("c"), 0.2), HeartbeatOutcome.FULL)
        table.merge(RegistryGossip(changed=[heartbeat("d")]), 0.2)
        self.assertFalse(table.retire("e", GONE, 0.2))
        self.assertEqual(states(table), {"a": READY, "b": READY})
        self.assertEqual(table.receive_heartbeat(heartbeat("a", 2), 0.3), HeartbeatOutcome.SAME)
        self.assertEqual(table.receive_heartbeat(heartbeat("e"), 0.3), HeartbeatOutcome.RETIRED)
        self.assertTrue(table.retire("a", DRAINING, 0.4))

    def test_complete_by_time(self) -> None:
        self.assertFalse(self.table.is_complete(2.1))
        self.assertTrue(self.table.is_complete(2.3))


class Addresses(unittest.TestCase):
    def setUp(self) -> None:
        self.table = InstanceTable(1.0, 0.0)
        self.table.receive_heartbeat(heartbeat("a", 5, address="10.0.0.9:80"), 0.1)

    def test_a_new_id_ends_the_older_one(self) -> None:
        self.table.receive_heartbeat(heartbeat("b", 1, address="10.0.0.9:80"), 0.5)
        self.assertEqual(states(self.table), {"a": ENDED, "b": READY})

    def test_one_late_heartbeat_changes_nothing_two_reclaim_the_address(self) -> None:
        self.table.receive_heartbeat(heartbeat("b", 1, address="10.0.0.9:80"), 0.5)
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat("a", 6, address="10.0.0.9:80"), 0.6), HeartbeatOutcome.SAME
        )
        self.assertEqual(states(self.table), {"a": ENDED, "b": READY})
        self.assertEqual(
            self.table.receive_heartbeat(heartbeat("a", 7, address="10.0.0.9:80"), 0.7),
            HeartbeatOutcome.CHANGED,
        )
        self.assertEqual(states(self.table), {"a": READY, "b": ENDED})

    def test_an_older_heartbeat_by_gossip_does_not_take_the_address(self) -> None:
        gossip = RegistryGossip(changed=[heartbeat("b", 1, address="10.0.0.9:80")])
        gossip.seen.add(id="b", sequence=1, age_ms=5_000)
        self.table.merge(gossip, 1.0)
        self.assertEqual(states(self.table), {"a": READY, "b": ENDED})

    def test_an_instance_that_moves_frees_its_address(self) -> None:
        self.table.receive_heartbeat(heartbeat("a", 6, address="10.0.0.8:80"), 0.2)
        self.table.receive_heartbeat(heartbeat("b", 1, address="10.0.0.9:80"), 0.3)
        self.assertEqual(states(self.table), {"a": READY, "b": READY})

    def test_a_deleted_instance_frees_its_address(self) -> None:
        self.table.retire("a", GONE, 0.2)
        self.table.receive_heartbeat(heartbeat("b", 1, address="10.0.0.9:80"), 0.3)
        self.assertEqual(states(self.table), {"a": ENDED, "b": READY})


class Gossip(unittest.TestCase):
    def setUp(self) -> None:
        self.one, self.other = InstanceTable(1.0, 0.0), InstanceTable(1.0, 0.0)

    def test_a_new_instance_is_urgent_a_renewal_is_not(self) -> None:
        self.one.receive_heartbeat(heartbeat(sequence=1), 0.1)
        self.assertTrue(self.one.urgent)
        self.assertEqual(self.one.next_gossip_at(), URGENT_INTERVAL_S)
        self.assertTrue(self.other.merge(self.one.gossip(0.1, gateways=3), 0.15))
        self.one.receive_heartbeat(heartbeat(sequence=2), 1.1)
        self.assertFalse(self.one.urgent)
        self.assertEqual(self.one.next_gossip_at(), 0.1 + GOSSIP_INTERVAL_S)
        batch = self.one.gossip(1.2)
        self.assertEqual(([seen.sequence for seen in batch.seen], len(batch.changed)), ([2], 0))
        self.assertFalse(self.other.merge(batch, 1.25))
        self.assertEqual(states(self.one), states(self.other))
        self.assertEqual(len(self.one.gossip(1.3).seen), 0)

    def test_ages_of_gossiped_heartbeats_are_considered(self) -> None:
        self.one.receive_heartbeat(heartbeat(sequence=1), 1.0)
        self.other.merge(self.one.gossip(3.0), 103.0)
        expire_repeatedly(self.other, 103.0, 106.4)
        self.other.mark_isolated(0.0)  # counts as connected ever since
        self.assertEqual(states(self.other), {"a": READY})
        self.assertEqual(self.other.expire(106.45), ["a"])

    def test_retirements_are_gossiped(self) -> None:
        self.one.receive_heartbeat(heartbeat(sequence=1), 0.1)
        self.other.merge(self.one.gossip(0.1), 0.1)
        self.one.retire("a", DRAINING, 0.2, announce=True)
        self.assertTrue(self.one.urgent)
        self.other.merge(self.one.gossip(0.2), 0.2)
        self.assertEqual(states(self.other), {"a": DRAINS})
        self.one.retire("a", GONE, 0.3, announce=True)
        self.other.merge(self.one.gossip(0.3), 0.3)
        self.assertEqual(states(self.other), {"a": ENDED})
        self.assertEqual(self.other.receive_heartbeat(heartbeat(sequence=9), 0.4), HeartbeatOutcome.RETIRED)

    def test_an_expiry_is_not_gossiped(self) -> None:
        self.one.receive_heartbeat(heartbeat(sequence=1), 0.1)
        self.other.merge(self.one.gossip(0.1), 0.1)
        self.assertEqual(expire_repeatedly(self.one, 0.1, 5.0), ["a"])
        self.assertFalse(self.other.merge(self.one.full_gossip(5.0), 5.0))
        self.assertEqual(states(self.other), {"a": READY})

    def test_only_a_complete_table_completes_another_one(self) -> None:
        late = InstanceTable(1.0, 5.0)
        late.merge(InstanceTable(1.0, 4.0).full_gossip(5.1), 5.1)
        self.assertFalse(late.is_complete(5.1))
        late.merge(self.one.full_gossip(5.1), 5.1)
        self.assertTrue(late.is_complete(5.1))

    def test_details_behind_a_higher_sequence_are_stored(self) -> None:
        self.one.receive_heartbeat(heartbeat(sequence=1), 0.1)
        self.other.merge(self.one.gossip(0.1), 0.1)
        self.one.receive_heartbeat(heartbeat(sequence=2, stage="prefill"), 1.1)
        self.one.gossip(1.1)  # lost
        self.one.receive_heartbeat(heartbeat(sequence=3, stage="prefill"), 2.1)
        self.other.merge(self.one.gossip(2.1), 2.1)
        self.assertTrue(self.other.merge(self.one.full_gossip(2.2), 2.2))
        stored = self.other.get("a")
        assert stored is not None
        self.assertEqual((stored.stage, stored.sequence), ("prefill", 3))

    def test_requests_for_the_complete_table(self) -> None:
        self.assertTrue(self.one.should_request_full_gossip(0.1))
        self.assertFalse(self.one.should_request_full_gossip(0.2))
        self.assertTrue(self.one.should_request_full_gossip(0.6))
        self.assertFalse(self.one.should_request_full_gossip(3.0))
        batch = RegistryGossip()
        batch.seen.add(id="x", sequence=4)
        self.one.merge(batch, 3.0)  # of an instance that is not known here
        self.assertTrue(self.one.should_request_full_gossip(3.1))
        self.one.merge(self.other.full_gossip(3.2), 3.2)
        self.assertFalse(self.one.should_request_full_gossip(4.0))

    @given(st.integers(0, 10_000))
    def test_tables_converge_whatever_the_order_and_duplicates(self, seed: int) -> None:
        """A third member that gets the batches of two others in any order, some twice, has the same table."""
        random = Random(seed)
        sources = [InstanceTable(1.0, 0.0), InstanceTable(1.0, 0.0)]
        batches: list[RegistryGossip] = []
        sequences = dict.fromkeys("abcd", 0)
        for step in range(20):
            now, source, id = 0.1 * step, random.choice(sources), random.choice("abcd")
            sequences[id] += 1
            if random.random() < 0.1:
                source.retire(id, random.choice([DRAINING, GONE]), now, announce=True)
            else:
                source.receive_heartbeat(
                    heartbeat(id, sequences[id], stage=random.choice(["prefill", "decode"])), now
                )
            batches.append(source.gossip(now))
        expected = InstanceTable(1.0, 0.0)
        for batch in batches:
            expected.merge(batch, 2.0)
        table = InstanceTable(1.0, 0.0)
        shuffled = batches + random.sample(batches, 5)
        random.shuffle(shuffled)
        for batch in shuffled:
            table.merge(RegistryGossip.FromString(batch.SerializeToString()), 2.0)
        for source in sources:
            table.merge(source.full_gossip(2.0), 2.0)
            expected.merge(source.full_gossip(2.0), 2.0)
        known = [
            {i.id: (i.state, i.stage if i.state != ENDED else "") for i in t.changes_since(-1).instances}
            for t in (expected, table)
        ]
        self.assertEqual(known[0], known[1])


class Changes(unittest.TestCase):
    def test_versions(self) -> None:
        log = ChangeLog()
        for id in "abca":
            log.record(id)
        self.assertEqual(log.since(0), ["b", "c", "a"])
        self.assertEqual(log.since(3), ["a"])
        self.assertEqual(log.since(4), [])
        self.assertIsNone(log.since(5))
        log.forget("b")
        self.assertIsNone(log.since(1))
        self.assertEqual(log.since(2), ["c", "a"])

    @given(st.integers(0, 10_000))
    def test_changes_from_any_version_lead_to_the_table(self, seed: int) -> None:
        random = Random(seed)
        table = InstanceTable(1.0, 0.0)
        copies: list[tuple[int, dict[str, Instance]]] = [(-1, {})]
        now = 0.0
        for sequence in range(1, 60):
            now += random.choice([0.1, 0.4, 0.9])
            id = random.choice("abcdef")
            if random.random() < 0.1:
                table.retire(id, random.choice([DRAINING, GONE]), now)
            table.receive_heartbeat(
                heartbeat(
                    id,
                    sequence,
                    stage=random.choice(["prefill", "decode"]),
                    address=f"10.0.0.{random.randint(1, 4)}:80",
                ),
                now,
            )
            table.expire(now)
            if random.random() < 0.2:
                copies.append((table.version, complete_table(table)))
        for version, known_instances in copies:
            update = table.changes_since(version)
            result = {} if update.whole else dict(known_instances)
            result.update({instance.id: instance for instance in update.instances})
            self.assertEqual(live_details(result), live_details(complete_table(table)))


def complete_table(table: InstanceTable) -> dict[str, Instance]:
    update: InstancesUpdate = table.changes_since(-1)
    return {instance.id: instance for instance in update.instances}


def live_details(instances: dict[str, Instance]) -> dict[str, tuple[int, str, str]]:
    return {
        id: (instance.state, instance.stage, instance.address)
        for id, instance in instances.items()
        if instance.state != ENDED
    }


class GatewayCountTests(unittest.TestCase):
    def test_total(self) -> None:
        gateway_counts = GatewayCounts(ttl_s=2.0)
        gateway_counts.record(1, 10, 0.0)
        gateway_counts.record(2, 5, 1.0)
        gateway_counts.record(1, 9, 1.0)
        self.assertEqual(gateway_counts.total(4, 2.5), 18)
        gateway_counts.record(1, 9, 2.5)
        # Member 2 is lost; its gateways may be reconnecting to other members.
        self.assertEqual(gateway_counts.total(4, 3.0), 18)
        self.assertEqual(gateway_counts.total(4, 3.01), 13)
        self.assertEqual(gateway_counts.total(4, 4.51), 4)

    def test_gateways_of_a_lost_member_count_twice_for_the_time_to_live_and_never_short(self) -> None:
        gateways, step_s = 6, 0.05
        counts = GatewayCounts()
        counts.record(2, gateways, 0.0)  # its last gossip
        for step in range(int(2 * GATEWAY_COUNT_TTL_S / step_s)):
            at = step * step_s
            moved = min(gateways, step)  # they subscribe here one by one
            valid = gateways if at <= GATEWAY_COUNT_TTL_S else 0
            self.assertEqual(counts.total(moved, at), moved + valid)
            self.assertGreaterEqual(counts.total(moved, at), gateways)


if __name__ == "__main__":
    unittest.main()
