"""The status of the response to an operator, for each result of the replicated state."""

from __future__ import annotations

import asyncio
import unittest
from typing import cast

from configuration_documents import body_of, document

from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.control_plane.api import ApiServices, ControlApi
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.instance_service import InstanceService
from mallowbeam.router.control_plane.response_gate import ResponseGate
from mallowbeam.router.control_plane.state_machine import CommandOutcome
from mallowbeam.router.control_plane.status_page import StatusPage
from mallowbeam.router.rpc.messages_pb2 import Command, CommandResult
from mallowbeam.simulation.fleet_processes import ApiCall, message_of

STATUSES = {
    "DONE": 200,
    "ALREADY_DONE": 200,
    "VERSION_MISMATCH": 412,
    "REVISION_NOT_ABOVE": 400,
    "OUTCOME_UNKNOWN": 504,
    "REFUSED": 504,
    "INVALID_OUTCOME": 422,
}


class FixedResultForwarder:
    """Stand-in for the command forwarder: every command gets the same result."""

    def __init__(self, result: CommandResult) -> None:
        self.result = result

    async def submit(self, command: Command, since: float) -> CommandOutcome:
        return CommandOutcome(self.result, 7)


class NoOtherMembers:
    """Stand-in for the status page of a member that knows no other members."""

    def other_controls(self) -> list[str]:
        return []


class Answers(unittest.TestCase):
    def test_each_result_has_its_status(self) -> None:
        """Acknowledges only accepted commands, and rejects only commands that can no longer be accepted."""
        self.assertEqual(set(STATUSES), set(CommandResult.keys()))
        for name, status in STATUSES.items():
            with self.subTest(name):
                self.assertEqual(self.status(CommandResult.Value(name)), status)

    def status(self, result: CommandResult) -> int:
        """The response's status if the replicated state returns `result`."""
        parser = ConfigurationParser()
        response_gate = ResponseGate(lambda: 1.0, lambda: 0.0, lambda: False)
        api = ControlApi(
            ApiServices(
                ConfigurationVersions(parser),
                cast(CommandForwarder, FixedResultForwarder(result)),
                cast(InstanceService, None),
                cast(StatusPage, NoOtherMembers()),
                response_gate,
            ),
            parser,
        )
        call = ApiCall("PUT", "/mallowbeam/config", body_of(document()), (("If-Match", "0"),))
        reply = asyncio.run(api.handle(message_of(call, 1.0), lambda: False))
        return reply.status


if __name__ == "__main__":
    unittest.main()
