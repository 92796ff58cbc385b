"""Mutation tests: a scenario detects every deliberately broken variant."""

from __future__ import annotations

import unittest

from registry_player import SCENARIO_FOLDER, ScenarioRunner
from registry_processes import CheckFailed

from mallowbeam.router.feed import FeedSubscriber, InstanceChanges
from mallowbeam.router.feed.instance_replica import InstanceReplica
from mallowbeam.router.registry import InstanceTable
from mallowbeam.router.registry.instance_record import InstanceRecord
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.rpc.messages_pb2 import InstancesUpdate, RegistryGossip, RetirementKind


class ForgetsRetirements(InstanceTable):
    """Accepts a heartbeat of a retired instance as one of a new instance."""

    def __init__(self, heartbeat_interval_s: float, started_at: float) -> None:
        super().__init__(heartbeat_interval_s, started_at)
        self._retired = NoRetirements()


class NoRetirements(Retirements):
    def kind(self, id: str) -> RetirementKind | None:
        return None


class ExpiresWhileIsolated(InstanceTable):
    """Expires instances without heartbeats even while it could not receive any."""

    def mark_isolated(self, now: float) -> None:
        pass


class IgnoresAddresses(InstanceTable):
    """Keeps an instance whose address another one uses."""

    def _claim_address(self, record: InstanceRecord) -> None:
        pass


class LosesDetails(InstanceTable):
    """Does not request details that were lost on a link."""

    def link_lost(self, now: float) -> None:
        pass


class ClaimsCompleteness(InstanceTable):
    """Reports its table as complete from the start."""

    def is_complete(self, now: float) -> bool:
        return True


class IgnoresAges(InstanceTable):
    """Ignores how old heartbeats are: each batch gossips a fresh one of every live instance."""

    def gossip(self, now: float, gateways: int = 0) -> RegistryGossip:
        batch = super().gossip(now, gateways)
        for id, record in self._records.items():
            if record.live:
                record.sequence += 1
                batch.seen.add(id=id, sequence=record.sequence)
        return batch


class ReplacingReplica(InstanceReplica):
    def apply(self, update: InstancesUpdate, replaces: bool) -> InstanceChanges:
        return super().apply(update, replaces or update.whole)


class ReplacesAlways(FeedSubscriber[int]):
    """Replaces its replica with any full table, even an incomplete one of a member that has just started."""

    def __init__(self, *arguments: object, **named: object) -> None:
        super().__init__(*arguments, **named)
        self._replica = ReplacingReplica()


class NeverLeaves(FeedSubscriber[int]):
    """Does not leave an isolated member."""

    def _should_leave(self, connection: object, now: float) -> bool:
        return False


class AlwaysLeaves(FeedSubscriber[int]):
    """Leaves an isolated member whether or not another one is better."""

    def _should_leave(self, connection: object, now: float) -> bool:
        return True


TABLES = {
    "registry/late_heartbeat_after_delete": ForgetsRetirements,
    "registry/frozen_member": ExpiresWhileIsolated,
    "registry/reused_address": IgnoresAddresses,
    "registry/lost_details_one_way": LosesDetails,
    "registry/all_members_restarted": ClaimsCompleteness,
    "registry/crash_expires": IgnoresAges,
}
SUBSCRIBERS = {
    "registry/all_members_restarted": ReplacesAlways,
    "feed/stale_member": NeverLeaves,
    "feed/core_out": AlwaysLeaves,
}


class BrokenVariants(unittest.TestCase):
    def test_broken_tables_are_caught(self) -> None:
        for name, variant in TABLES.items():
            with self.subTest(name), self.assertRaises(CheckFailed):
                ScenarioRunner((SCENARIO_FOLDER / f"{name}.txt").read_text(), table_type=variant).play()

    def test_broken_subscribers_are_caught(self) -> None:
        for name, variant in SUBSCRIBERS.items():
            with self.subTest(name), self.assertRaises(CheckFailed):
                ScenarioRunner((SCENARIO_FOLDER / f"{name}.txt").read_text(), subscriber_type=variant).play()


if __name__ == "__main__":
    unittest.main()
