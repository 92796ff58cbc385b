"""The response gate: its conditions in isolated and suspended members, and the API responses behind it."""

from __future__ import annotations

import asyncio
import json
import math
import unittest
from dataclasses import dataclass
from types import SimpleNamespace
from typing import cast

from control_plane_rig import configuration, heartbeat

from mallowbeam.http.handler import Response
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.control_plane.api import ApiServices, ControlApi
from mallowbeam.router.control_plane.api_errors import IsolatedMemberError
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.instance_service import InstanceService, RegistryParts
from mallowbeam.router.control_plane.response_gate import (
    CALL_MAX_STALENESS_S,
    FEED_MAX_STALENESS_S,
    HEARTBEAT_MAX_STALENESS_S,
    NO_EVIDENCE,
    ORDER_MAX_STALENESS_S,
    READ_MAX_AGE_S,
    AppliedEntry,
    ConfirmedRead,
    Evidence,
    ResponseGate,
    ResponseKind,
)
from mallowbeam.router.control_plane.state_machine import CommandOutcome
from mallowbeam.router.control_plane.status_page import StatusPage
from mallowbeam.router.rpc.messages_pb2 import (
    DONE,
    DRAINING,
    GONE,
    REVISION_NOT_ABOVE,
    VERSION_MISMATCH,
    Command,
)
from mallowbeam.simulation.fleet_processes import ApiCall, message_of

OTHERS = ["10.0.0.2:8146", "10.0.0.3:8146"]
LONG_FREEZE_S = 20.0  # for which a process is suspended


class Situation:
    """A member's knowledge of the group, and its monotonic clock."""

    def __init__(self, staleness: float = 0.1, leads: bool = False) -> None:
        self.now, self.leads = 100.0, leads
        self.current_at = self.now - staleness
        self.gate = ResponseGate(lambda: self.now, lambda: self.now - self.current_at, lambda: self.leads)

    def freeze(self, seconds: float = LONG_FREEZE_S) -> None:
        """Suspend the process; its knowledge is unchanged when it resumes."""
        self.now += seconds


@dataclass(frozen=True)
class Expected:
    """The kinds of data allowed in a situation; `read` and `entry` with evidence from before it."""

    situation: str
    read: bool
    entry: bool
    heartbeat: bool
    feed: bool
    order: bool


EXPECTATIONS = (
    Expected("leader", read=True, entry=True, heartbeat=True, feed=True, order=True),
    Expected("follower", read=True, entry=True, heartbeat=True, feed=True, order=False),
    Expected("follower with a stalled disk", read=True, entry=True, heartbeat=True, feed=True, order=False),
    Expected("leader just cut off", read=True, entry=True, heartbeat=True, feed=True, order=False),
    Expected("cut off for 1.5 s", read=False, entry=True, heartbeat=False, feed=False, order=False),
    Expected("cut off for long", read=False, entry=True, heartbeat=False, feed=False, order=False),
    Expected("never in touch", read=False, entry=True, heartbeat=False, feed=False, order=False),
    Expected("leader frozen since", read=False, entry=True, heartbeat=False, feed=False, order=False),
    Expected("follower frozen since", read=False, entry=True, heartbeat=False, feed=False, order=False),
)


def make_situation(name: str) -> Situation:
    """A situation of the model, at or after the time 100 s, at which a read was confirmed."""
    match name:
        case "leader":
            return Situation(leads=True)
        case "follower" | "follower with a stalled disk":  # its own disk does not affect its knowledge
            return Situation()
        case "never in touch":
            situation = Situation(math.inf)
            situation.freeze()
            return situation
    situation = Situation(0.0, leads=name.startswith("leader"))
    situation.freeze({"leader just cut off": 0.7, "cut off for 1.5 s": 1.5}.get(name, LONG_FREEZE_S))
    return situation


class Model(unittest.TestCase):
    """Each kind of response in each situation, against a table written by hand."""

    def test_each_response_kind_in_each_situation(self) -> None:
        evidence: dict[ResponseKind, Evidence] = {
            ResponseKind.CONFIGURATION_READ: ConfirmedRead(100.0),
            ResponseKind.CHANGE_ACKNOWLEDGED: AppliedEntry(7),
            ResponseKind.CHANGE_REFUSED: AppliedEntry(7),
            ResponseKind.RETIREMENT_ACKNOWLEDGED: AppliedEntry(7),
        }
        for expected in EXPECTATIONS:
            situation = make_situation(expected.situation)
            allowed_kinds = {
                ResponseKind.CONFIGURATION_READ: expected.read,
                ResponseKind.CHANGE_ACKNOWLEDGED: expected.entry,
                ResponseKind.CHANGE_REFUSED: expected.entry,
                ResponseKind.RETIREMENT_ACKNOWLEDGED: expected.entry,
                ResponseKind.HEARTBEAT_ACKNOWLEDGED: expected.heartbeat,
                ResponseKind.RETIREMENT_KNOWN: expected.heartbeat,
                ResponseKind.FEED_CONFIGURATION: expected.feed,
                ResponseKind.FEED_TABLE: expected.feed,
                ResponseKind.INSTANCE_ORDER: expected.order,
                ResponseKind.BODY_REFUSED: True,
                ResponseKind.UNAVAILABLE: True,
                ResponseKind.FEED_INSTANCE_CHANGES: True,
                ResponseKind.FEED_HEARTBEAT: True,
                ResponseKind.FEED_MEMBERS: True,
                ResponseKind.STATUS: True,
            }
            self.assertEqual(set(allowed_kinds), set(ResponseKind))
            for kind, allowed in allowed_kinds.items():
                with self.subTest(situation=expected.situation, kind=kind.name):
                    self.assertIs(situation.gate.allows(kind, evidence.get(kind, NO_EVIDENCE)), allowed)

    def test_without_evidence_nothing_of_the_replicated_state_is_sent(self) -> None:
        gate = Situation(leads=True).gate
        for kind in (
            ResponseKind.CONFIGURATION_READ,
            ResponseKind.CHANGE_ACKNOWLEDGED,
            ResponseKind.CHANGE_REFUSED,
            ResponseKind.RETIREMENT_ACKNOWLEDGED,
        ):
            for evidence in (NO_EVIDENCE, AppliedEntry(0)):
                self.assertFalse(gate.allows(kind, evidence))
            with self.assertRaises(IsolatedMemberError):
                gate.check(kind)
        self.assertFalse(gate.allows(ResponseKind.CONFIGURATION_READ, AppliedEntry(7)))
        self.assertFalse(gate.allows(ResponseKind.CHANGE_ACKNOWLEDGED, ConfirmedRead(100.0)))

    def test_each_bound_to_the_millisecond(self) -> None:
        bounds = (
            (ResponseKind.FEED_TABLE, FEED_MAX_STALENESS_S),
            (ResponseKind.FEED_CONFIGURATION, FEED_MAX_STALENESS_S),
            (ResponseKind.HEARTBEAT_ACKNOWLEDGED, HEARTBEAT_MAX_STALENESS_S),
            (ResponseKind.RETIREMENT_KNOWN, HEARTBEAT_MAX_STALENESS_S),
            (ResponseKind.INSTANCE_ORDER, ORDER_MAX_STALENESS_S),
        )
        for kind, bound in bounds:
            self.assertTrue(Situation(bound - 0.001, leads=True).gate.allows(kind), kind)
            self.assertFalse(Situation(bound + 0.001, leads=True).gate.allows(kind), kind)
        situation = Situation()
        situation.freeze(READ_MAX_AGE_S - 0.001)
        self.assertTrue(situation.gate.allows(ResponseKind.CONFIGURATION_READ, ConfirmedRead(100.0)))
        situation.freeze(0.002)
        self.assertFalse(situation.gate.allows(ResponseKind.CONFIGURATION_READ, ConfirmedRead(100.0)))

    def test_a_starting_member_rejects_calls_only_after_a_grace_period(self) -> None:
        situation = Situation(math.inf)
        situation.gate.check_reachable()  # the process has just started
        situation.freeze(CALL_MAX_STALENESS_S + 0.1)
        with self.assertRaises(IsolatedMemberError):
            situation.gate.check_reachable()
        situation.current_at = situation.now
        situation.gate.check_reachable()


class FakeCommandForwarder:
    """Stands in for `CommandForwarder`: returns set outcomes after the process was suspended."""

    def __init__(self, situation: Situation) -> None:
        self.situation = situation
        self.frozen_s = 0.0  # before the outcome is known here
        self.frozen_after_s = 0.0  # after it
        self.outcome = CommandOutcome(DONE, 5)
        self.calls = 0

    async def submit(self, command: Command, since: float) -> CommandOutcome:
        self.calls += 1
        await self._suspend()
        return self.outcome

    async def read_barrier(self, since: float) -> None:
        self.calls += 1
        await self._suspend()

    async def _suspend(self) -> None:
        await asyncio.sleep(0)
        self.situation.freeze(self.frozen_s)


class FakeInstanceTable:
    """Stands in for the instance table."""

    version, urgent = 0, False

    def receive_heartbeat(self, instance: object, now: float) -> None:
        pass

    def retire(self, *retirement: object) -> None:
        pass


class Api(unittest.IsolatedAsyncioTestCase):
    """The complete control API with a command forwarder that returns set outcomes."""

    def setUp(self) -> None:
        self.situation = Situation()
        self.forwarder = FakeCommandForwarder(self.situation)
        self.kinds: dict[str, int] = {}
        versions = SimpleNamespace(current_body=lambda: b'{"revision":1}', revision=1)
        status = SimpleNamespace(other_controls=lambda: OTHERS, write=lambda: b"{}")
        self.gate = self.situation.gate
        commands = cast(CommandForwarder, self.forwarder)
        retirements = SimpleNamespace(kind=self.kinds.get)
        instances = InstanceService(
            RegistryParts(
                cast("object", FakeInstanceTable()), retirements, commands, SimpleNamespace(), self.gate
            ),
            lambda: None,
            lambda: 0,
            SimpleNamespace(),
        )
        self.api = ControlApi(
            ApiServices(
                cast(ConfigurationVersions, versions),
                commands,
                instances,
                cast(StatusPage, status),
                self.gate,
            ),
            ConfigurationParser(),
        )

    async def call(self, method: str, path: str, body: bytes = b"", based_on: int | None = None) -> Response:
        headers = () if based_on is None else (("If-Match", str(based_on)),)
        call = ApiCall(method, path, body, headers)
        return await self.api.handle(message_of(call, self.situation.now), lambda: False)

    async def get(self) -> Response:
        return await self.call("GET", "/mallowbeam/config")

    async def put(self) -> Response:
        return await self.call("PUT", "/mallowbeam/config", json.dumps(configuration(2)).encode(), 1)

    async def heartbeat_call(self, state: str = "ready") -> Response:
        return await self.call("PUT", "/mallowbeam/instances/i", heartbeat(1, state))

    async def delete(self) -> Response:
        return await self.call("DELETE", "/mallowbeam/instances/i")

    async def test_in_contact_with_the_majority_all_calls_succeed(self) -> None:
        for call in (
            self.get,
            self.put,
            self.heartbeat_call,
            self.delete,
            lambda: self.heartbeat_call("draining"),
        ):
            self.assertEqual((await call()).status, 200)

    async def test_a_read_confirmed_before_the_process_was_suspended_is_not_answered(self) -> None:
        self.forwarder.frozen_s = LONG_FREEZE_S
        self.assertEqual((await self.get()).status, 503)
        self.forwarder.frozen_s = 0.5
        self.situation.current_at = self.situation.now
        self.assertEqual((await self.get()).status, 200)

    async def test_a_committed_change_is_acknowledged_however_late(self) -> None:
        self.forwarder.frozen_s = LONG_FREEZE_S
        for call in (self.put, self.delete, lambda: self.heartbeat_call("draining")):
            self.situation.current_at = self.situation.now
            self.assertEqual((await call()).status, 200)
        for result, status in ((VERSION_MISMATCH, 412), (REVISION_NOT_ABOVE, 400)):
            self.situation.current_at = self.situation.now
            self.forwarder.outcome = CommandOutcome(result, 5)
            self.assertEqual((await self.put()).status, status)

    async def test_nothing_is_acknowledged_without_an_entry(self) -> None:
        for result in (DONE, VERSION_MISMATCH, REVISION_NOT_ABOVE):
            self.forwarder.outcome = CommandOutcome(result, 0)
            self.assertEqual((await self.put()).status, 503)
        self.assertEqual((await self.delete()).status, 503)

    async def test_isolated_for_long_all_calls_are_rejected_at_once_and_other_members_are_named(self) -> None:
        self.situation.freeze()
        for call in (
            self.get,
            self.put,
            self.heartbeat_call,
            self.delete,
            lambda: self.heartbeat_call("draining"),
        ):
            response = await call()
            head, _, body = response.data.partition(b"\r\n\r\n")
            self.assertEqual(response.status, 503)
            self.assertIn(b"retry-after: ", head)
            self.assertNotIn(b"location", head.lower())
            self.assertEqual(json.loads(body)["members"], OTHERS)
        self.assertEqual(self.forwarder.calls, 0)

    async def test_isolated_invalid_calls_are_still_rejected_as_invalid(self) -> None:
        self.situation.freeze()
        self.assertEqual((await self.call("PUT", "/mallowbeam/config", b"{", 1)).status, 400)
        self.assertEqual((await self.call("GET", "/mallowbeam/none")).status, 404)
        self.assertEqual((await self.call("GET", "/mallowbeam/status")).status, 200)

    async def test_a_retirement_that_this_member_has_applied_is_acknowledged_again(self) -> None:
        self.kinds["i"] = DRAINING
        self.assertEqual((await self.heartbeat_call("draining")).status, 200)
        self.assertEqual(self.forwarder.calls, 0)
        self.kinds["i"] = GONE
        self.assertEqual((await self.delete()).status, 200)
        self.assertEqual(self.forwarder.calls, 0)

    async def test_isolated_not_even_a_retirement_that_this_member_has_applied_is_acknowledged(self) -> None:
        self.situation.freeze()
        self.kinds["i"] = DRAINING
        self.assertEqual((await self.heartbeat_call("draining")).status, 503)
        self.assertEqual((await self.delete()).status, 503)
        self.kinds["i"] = GONE
        self.assertEqual((await self.delete()).status, 503)
        self.assertEqual((await self.heartbeat_call()).status, 503)


if __name__ == "__main__":
    unittest.main()
