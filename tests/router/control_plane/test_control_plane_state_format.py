"""Members of an earlier program version among newer ones stop before data that they don't know."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.control_plane import role
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.state_format import (
    STATE_FORMAT,
    UnsupportedFormatError,
    check_entry_kind,
    decode_command,
    decode_state,
)
from mallowbeam.router.control_plane.state_machine import ReplicatedStateMachine
from mallowbeam.router.rpc.messages_pb2 import (
    COMMAND,
    DRAINING,
    GONE,
    MEMBERSHIP,
    NO_OPERATION,
    NOT_LEADER,
    AcquireLease,
    Command,
    Entry,
    PeerFrame,
    ProposeRequest,
    PutConfiguration,
    ReplicatedState,
    RetireInstance,
)
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_history import History

HEAD = "members m1 m2 m3\nat 2 put 1 on 0\nby 6 expect taken 1\nat 8 expect voters 3\n"
UNKNOWN_FIELD = 100  # of a later version, as a varint field: tag, then value
NEW_FIELD = bytes([(UNKNOWN_FIELD << 3 & 0x7F) | 0x80, UNKNOWN_FIELD >> 4, 1])
RETIREMENT = RetireInstance(id="i", kind=DRAINING)


def with_new_field(message: object) -> bytes:
    """A message's bytes with a field that this version doesn't know."""
    return message.SerializeToString() + NEW_FIELD


def nested(field: int, message: object) -> bytes:
    """A command whose body has a field that this version doesn't know."""
    body = with_new_field(message)
    return bytes([field << 3 | 2, len(body)]) + body


NEWER_COMMANDS = {
    "a new command": NEW_FIELD,
    "a new field of a command": with_new_field(Command(retire_instance=RETIREMENT)),
    "a new field of a configuration": nested(1, PutConfiguration(body=b"x")),
    "a new field of a retirement": nested(2, RETIREMENT),
    "a new field of a lease": nested(3, AcquireLease(subject="s", holder=1)),
    "a newer format": Command(retire_instance=RETIREMENT, format=STATE_FORMAT + 1).SerializeToString(),
    "bytes that are no message": b"\xff\xff",
}
NEWER_STATES = {
    "a new field": with_new_field(ReplicatedState(revision=1)),
    "a newer format": ReplicatedState(format=STATE_FORMAT + 1).SerializeToString(),
    "bytes that are no message": b"\xff\xff",
}
KNOWN_COMMANDS = (
    Command(put_configuration=PutConfiguration(body=b"x", based_on=1, digest=b"d", revision=2, patch=True)),
    Command(retire_instance=RetireInstance(id="i", kind=GONE)),
    Command(acquire_lease=AcquireLease(subject="s", holder=1), format=STATE_FORMAT),
)


class Formats(unittest.TestCase):
    """Each pair of writer and reader."""

    def test_data_of_this_or_an_earlier_version_is_decoded(self) -> None:
        for command in KNOWN_COMMANDS:
            self.assertEqual(decode_command(5, command.SerializeToString()), command)
        for kind in (NO_OPERATION, COMMAND, MEMBERSHIP):
            check_entry_kind(Entry(index=5, kind=kind))
        self.assertEqual(decode_state(b""), ReplicatedState())
        self.assertEqual(decode_command(5, b""), Command())

    def test_data_of_a_newer_version_is_rejected_with_its_log_index(self) -> None:
        for name, payload in NEWER_COMMANDS.items():
            with self.subTest(name), self.assertRaisesRegex(UnsupportedFormatError, "entry 5"):
                decode_command(5, payload)
        for name, saved in NEWER_STATES.items():
            with self.subTest(name), self.assertRaisesRegex(UnsupportedFormatError, "snapshot"):
                decode_state(saved)
        with self.assertRaisesRegex(UnsupportedFormatError, "entry 5 is of the unknown kind 9"):
            check_entry_kind(Entry(index=5, kind=9))

    def test_the_error_names_step_and_remedy(self) -> None:
        with self.assertRaises(UnsupportedFormatError) as caught:
            decode_command(5, NEWER_COMMANDS["a newer format"])
        self.assertEqual(caught.exception.step, "apply")
        self.assertIn("store is kept", caught.exception.line)

    def test_unknown_data_leaves_the_state_machine_unchanged(self) -> None:
        machine = ReplicatedStateMachine(ConfigurationParser(), lambda one: None)
        machine.apply(1, KNOWN_COMMANDS[1].SerializeToString())
        before = machine.save()
        for payload in NEWER_COMMANDS.values():
            with self.assertRaises(UnsupportedFormatError):
                machine.apply(2, payload)
        for saved in NEWER_STATES.values():
            with self.assertRaises(UnsupportedFormatError):
                machine.restore(saved)
        self.assertEqual(machine.save(), before)


class Fleet(unittest.TestCase):
    """A newer leader, simulated by a patch, commits commands that the other members don't know."""

    def test_earlier_members_stop_before_unknown_data_and_resume_with_a_newer_program(self) -> None:
        for name, payload in NEWER_COMMANDS.items():
            with self.subTest(name):
                self._play(payload)

    def _play(self, payload: bytes) -> None:
        player = FleetPlayer(HEAD + "end 9")
        player.play()
        player.checkers.clear()
        identities = {name: member.replica.identity for name, member in player.members.items()}
        (leader,) = player.names("leader")
        driver = player.members[leader].program.parts.driver
        index = driver.node._state.log.last_index + 1
        apply = type(driver._machine).apply

        def newer(machine: ReplicatedStateMachine, at: int, command: bytes) -> object:
            if command == payload:
                return apply(machine, at, KNOWN_COMMANDS[1].SerializeToString())
            return apply(machine, at, command)

        machine = driver._machine
        machine.apply = lambda at, command: newer(machine, at, command)
        driver.propose(payload)
        with mock.patch.object(History, "applied"):  # it would decode the unknown command
            player.simulator.run_until(12.0)
        for name, member in player.members.items():
            if name == leader:
                self.assertGreaterEqual(driver.applied_index, index)
                continue
            self.assertFalse(member.live)
            self.assertEqual(member.program.parts.driver.applied_index, index - 1)
            self.assertEqual(member.replica.identity, identities[name])
        with mock.patch.object(type(machine), "apply", newer), mock.patch.object(History, "applied"):
            player.do_start("members")
            player.simulator.run_until(20.0)
            for name, member in player.members.items():
                self.assertTrue(member.live)
                self.assertGreaterEqual(member.program.parts.driver.applied_index, index)
                self.assertEqual(member.replica.identity, identities[name])


class Role(unittest.TestCase):
    def test_the_role_ends_with_the_error_and_keeps_the_store(self) -> None:
        error = UnsupportedFormatError("entry 5", step="apply")

        async def play() -> None:
            loop = asyncio.get_running_loop()
            member = mock.AsyncMock(unusable=loop.create_future(), outdated=loop.create_future(), reload=None)
            member.outdated.set_result(error)
            context = SimpleNamespace(
                settings=None, stopping=asyncio.Event(), on_reload=lambda callback: None
            )
            opened = mock.Mock()
            with (
                mock.patch.object(role, "open_store", return_value=opened),
                mock.patch.object(role, "build_member", return_value=member),
                mock.patch.object(role, "discard_and_reopen") as discarded,
            ):
                await role.serve(context)
            discarded.assert_not_called()

        with self.assertRaises(UnsupportedFormatError):
            asyncio.run(play())


class Forwarded(unittest.TestCase):
    def test_a_leader_does_not_propose_commands_that_it_could_not_apply(self) -> None:
        async def play(command: Command) -> tuple[mock.Mock, list[PeerFrame]]:
            sent: list[PeerFrame] = []
            driver = mock.Mock()
            driver.propose.return_value = asyncio.get_running_loop().create_future()
            links = SimpleNamespace(send=lambda member, frame: sent.append(frame))
            CommandForwarder(driver, links).propose(7, ProposeRequest(id=3, command=command))
            return driver, sent

        for name, payload in NEWER_COMMANDS.items():
            if name == "bytes that are no message":
                continue  # the frame itself could not be decoded
            with self.subTest(name):
                driver, (frame,) = asyncio.run(play(Command.FromString(payload)))
                driver.propose.assert_not_called()
                self.assertEqual((frame.propose_response.id, frame.propose_response.status), (3, NOT_LEADER))
        for command in KNOWN_COMMANDS:
            driver, sent = asyncio.run(play(command))
            driver.propose.assert_called_once()
            self.assertEqual(sent, [])


if __name__ == "__main__":
    unittest.main()
