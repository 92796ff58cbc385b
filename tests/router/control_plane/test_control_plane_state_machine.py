"""The replicated state machine: outcomes of commands, snapshots, updates for the feed."""

from __future__ import annotations

import json
import unittest
import zlib

from control_plane_rig import configuration

from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.versions import put_command
from mallowbeam.router.control_plane.state_machine import (
    CommandOutcome,
    ConfigurationFeed,
    ReplicatedStateMachine,
)
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

    def test_a_snapshot_holds_the_complete_state(self) -> None:
        self.machine.apply(5, put(self.parser, 3, 0))
        self.machine.apply(6, retire("i", DRAINING))
        received: list[tuple[str, int]] = []
        restored = self._machine(received)
        restored.restore(self.machine.save())
        self.assertEqual(restored.save(), self.machine.save())
        self.assertEqual(received, [("i", DRAINING)])
        self.assertEqual(restored.apply(7, put(self.parser, 3, 0)).result, ALREADY_DONE)
        self.assertEqual(json.loads(restored.configurations.current_body()), configuration(3))

    def test_the_feed_sends_incremental_updates_where_it_can(self) -> None:
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


if __name__ == "__main__":
    unittest.main()
