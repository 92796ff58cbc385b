"""Responses to forwarded calls between members: each completes its own call, or none."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import cast

from virtual_time import play

from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.rpc.messages_pb2 import (
    APPLIED,
    Command,
    PeerFrame,
    ProposeResponse,
    ReadIndexResponse,
)

OWN, LEADER = 1, 2


class Member:
    """One process of a member, which records the frames of its calls to the leader."""

    def __init__(self) -> None:
        self.sent: list[PeerFrame] = []
        self.loop = asyncio.get_running_loop()
        changes = SimpleNamespace(next=self.loop.create_future)
        driver = SimpleNamespace(leader_id=LEADER, leadership_changes=changes)
        links = SimpleNamespace(own=SimpleNamespace(id=OWN), send=self._send)
        self.commands = CommandForwarder(cast(RaftDriver, driver), cast(PeerLinks, links))

    def _send(self, recipient: int, frame: PeerFrame) -> bool:
        self.sent.append(frame)
        return True

    async def call(self) -> asyncio.Task[object]:
        """Start a command that is forwarded to the leader."""
        task: asyncio.Task[object] = self.loop.create_task(self.commands.submit(Command(), self.loop.time()))
        await asyncio.sleep(0.01)
        return task


def applied(id: int, index: int) -> ProposeResponse:
    return ProposeResponse(id=id, status=APPLIED, index=index)


class ForwardedResponses(unittest.TestCase):
    def test_a_response_to_a_process_before_a_restart_completes_no_call(self) -> None:
        async def scenario() -> None:
            for _ in range(20):
                old_process, new_process = Member(), Member()
                first = await old_process.call()
                first.cancel()
                second = await new_process.call()
                new_process.commands.propose_response(applied(old_process.sent[0].propose.id, 7))
                await asyncio.sleep(0.01)
                self.assertFalse(second.done())
                new_process.commands.propose_response(applied(new_process.sent[0].propose.id, 8))
                self.assertEqual(getattr(await second, "index", None), 8)

        play(scenario())

    def test_responses_out_of_order_complete_their_own_calls(self) -> None:
        async def scenario() -> None:
            member = Member()
            calls = [await member.call() for _ in range(3)]
            for number in (2, 0, 1):
                member.commands.propose_response(applied(member.sent[number].propose.id, 10 + number))
            self.assertEqual([getattr(await call, "index", None) for call in calls], [10, 11, 12])

        play(scenario())

    def test_a_duplicate_response_or_one_to_an_abandoned_call_completes_no_other(self) -> None:
        async def scenario() -> None:
            member = Member()
            first = await member.call()
            response = applied(member.sent[0].propose.id, 7)
            member.commands.propose_response(response)
            await first
            abandoned = await member.call()
            abandoned.cancel()
            await asyncio.sleep(0.01)
            second = await member.call()
            for late in (response, applied(member.sent[1].propose.id, 8)):
                member.commands.propose_response(late)
            await asyncio.sleep(0.01)
            self.assertFalse(second.done())
            second.cancel()

        play(scenario())

    def test_a_read_response_does_not_complete_a_command(self) -> None:
        async def scenario() -> None:
            member = Member()
            call = await member.call()
            member.commands.read_index_response(
                ReadIndexResponse(id=member.sent[0].propose.id, confirmed=True, index=9)
            )
            await asyncio.sleep(0.01)
            self.assertFalse(call.done())
            call.cancel()

        play(scenario())


if __name__ == "__main__":
    unittest.main()
