"""The coordination service and its pages in this process: a fleet of one, with a recording gateway."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from collections.abc import Awaitable, Callable
from types import ModuleType, SimpleNamespace

import pytest
from raft_members import Add, Adder, Fail, PolicyVersion
from typer.testing import CliRunner

from mallowbeam.cli.policy import app
from mallowbeam.http.framing import Message
from mallowbeam.http.server import Server
from mallowbeam.lab.rig import hold_port
from mallowbeam.storage_gateway.coordination import errors as fleet_errors
from mallowbeam.storage_gateway.coordination.errors import InvalidPolicyError, LogUnusableError, NoLeaderError
from mallowbeam.storage_gateway.coordination.policy_document import (
    MAX_DEPTH,
    canonical,
    check_sections,
    read_policy,
    register_section,
)
from mallowbeam.storage_gateway.coordination.raft_node import ReplicaFailed, SubsystemsHosted
from mallowbeam.storage_gateway.coordination.service import CoordinationService
from mallowbeam.storage_gateway.coordination.status_pages import StatusPages
from mallowbeam.storage_gateway.coordination.subsystem_context import GatewayContext
from mallowbeam.storage_gateway.operator_settings import PolicySection, SharesSection
from mallowbeam.storage_gateway.scheduler.interface import Plan
from mallowbeam.storage_gateway.server.config import read_address

SILVER, GOLD = Plan("silver", rate=5, price=0.5), Plan("gold", reserve=10, weight=2)


class RecordingGateway:
    """A gateway that records drains and plan changes."""

    def __init__(self) -> None:
        self.subsystems, self.gates, self.drained, self.plans = [], [], [], []
        self.exchanges = {}
        self.config = SimpleNamespace(settings=SimpleNamespace(plans={"silver": SILVER, "gold": GOLD}))
        self.scheduler = SimpleNamespace(change_plan=self.change_plan)

    def change_plan(self, now: float, plan: Plan, *_: object) -> None:
        if plan.limit == 13:
            raise InvalidPolicyError("refused by the module")
        self.plans.append(plan)

    def apply(self, orders: object) -> None:
        assert orders is None

    def now(self) -> float:
        return 0.0

    def set_detached(self, node: str, out: bool, listed: bool = True) -> bool:
        self.drained.append((node, out))
        return True


class RecordingSubsystem:
    """A subsystem that records its events, and can be made to fail."""

    def __init__(self, context: GatewayContext, section: object) -> None:
        self.state_machine, self.context, self.section = Adder("shares"), context, section
        self.events, self.renewals, self.failing = [], [], False

    def committed(self, committed, now: float) -> None:
        self.events.append(committed)
        assert not self.failing

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        assert proposed_at <= now
        self.renewals.append(proposed_at)

    def tick(self, now: float) -> None:
        assert not self.failing

    def describe(self) -> dict[str, object]:
        return {"total": self.events[-1].state.total}

    def gauges(self) -> dict[str, float]:
        return {"total": float(self.events[-1].state.total), "odd-name": 1.0}


class ServiceHarness:
    """The service, its subsystem and its pages."""

    def __init__(self, folder, monkeypatch) -> None:
        module = ModuleType("mallowbeam.storage_gateway.coordination.shares.subsystem")
        module.open_subsystem = RecordingSubsystem
        monkeypatch.setitem(sys.modules, module.__name__, module)
        # drops the types that other tests have registered
        monkeypatch.setattr("mallowbeam.storage_gateway.coordination.policy_document._TYPES", {})
        self.sock, port = hold_port(socket.SO_REUSEADDR)
        self.gateway = RecordingGateway()
        section = PolicySection(
            folder=str(folder / "log"),
            name="g0",
            listen="127.0.0.1:1",
            members={"g0": f"127.0.0.1:{port}"},
            beat_s=0.05,
            lease_s=20.0,
        )
        self.service = CoordinationService(self.gateway, section, {"shares": SharesSection(on=True)})
        self.subsystem: RecordingSubsystem = self.service.subsystems["shares"]
        self.pages = StatusPages(self.service)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.01)

    async def request(self, method: str, target: str, body: bytes = b"", base: object = None):
        message = Message()
        message.method, message.target, message.body = method.encode(), target.encode(), bytearray(body)
        if base is not None:
            message.headers = [(b"if-match", f'"{base}"'.encode())]
        response = await self.pages.handle(message, lambda: False)
        head, _, content = response.data.partition(b"\r\n\r\n")
        return response.status, content if b"text/plain" in head else json.loads(content)

    async def push(self, base: int, policy: object):
        return await self.request("PUT", "/policy", json.dumps(policy).encode(), base)


@pytest.fixture
def run_scenario(tmp_path, monkeypatch):
    def run_with_service(scenario: Callable[[ServiceHarness], Awaitable[None]]) -> None:
        async def run() -> None:
            harness = ServiceHarness(tmp_path, monkeypatch)
            harness.service.start()
            try:
                await harness.wait_until(lambda: harness.service.serves() and harness.service.known_leader)
                await scenario(harness)
            finally:
                await harness.service.stop()
                harness.service.disk.close()
                harness.sock.close()

        asyncio.run(run())

    return run_with_service


def test_a_subsystem_gets_states_renewals_and_entries_and_its_failures_do_not_propagate(run_scenario):
    async def scenario(harness: ServiceHarness) -> None:
        subsystem = harness.subsystem
        assert subsystem.events[0].entry is None and subsystem.section == SharesSection(on=True)
        await harness.wait_until(lambda: len(subsystem.renewals) > 1)
        assert (
            subsystem.context.leader()
            and subsystem.context.members == ("g0",)
            and subsystem.context.propose(Add(5))
        )
        await harness.wait_until(lambda: subsystem.events[-1].entry == Add(5))
        subsystem.failing = True
        assert subsystem.context.propose(Fail())
        renewals = len(subsystem.renewals)
        await harness.wait_until(
            lambda: subsystem.events[-1].refusal and len(subsystem.renewals) > renewals + 2
        )
        assert harness.service.counts["faults"] > 0 and harness.service.counts["refused"] == 1
        status, content = await harness.request("GET", "/fleet")
        assert status == 200 and content["subsystems"] == {"shares": {"total": 5}}
        status, text = await harness.request("GET", "/fleet/metrics")
        assert b"mallowbeam_fleet_shares_total 5.0\n" in text and b"fleet_shares_odd_name 1.0\n" in text
        assert b"mallowbeam_fleet_policy_serves 1.0\n" in text and b"process_" not in text

    run_scenario(scenario)


def test_what_is_proposed_without_a_leader_is_dropped_at_once(run_scenario):
    async def scenario(harness: ServiceHarness) -> None:
        harness.service.known_leader = None
        assert not harness.subsystem.context.propose(Add(1)) and harness.service.counts["dropped"] == 1
        await harness.service.stop()
        assert not harness.subsystem.context.propose(Add(1)) and harness.service.counts["dropped"] == 2
        assert (await harness.push(0, {}))[1]["error"] == "NoLeader"

    run_scenario(scenario)


def test_plans_of_a_policy_apply_and_are_reset_when_it_no_longer_names_them(run_scenario):
    async def scenario(harness: ServiceHarness) -> None:
        plans = harness.gateway.plans
        assert (await harness.push(0, {"plans": [{"name": "silver", "limit": 9, "weight": 3}]}))[0] == 200
        assert plans == [Plan("silver", rate=5, price=0.5, limit=9, weight=3)]
        assert (await harness.push(1, {"plans": [{"name": "gold", "reserve": 0}]}))[0] == 200
        assert plans[1:] == [Plan("gold", reserve=0, weight=2), SILVER]
        assert (await harness.push(2, {}))[0] == 200
        assert plans[3:] == [GOLD]
        both = {"drains": ["n1"], "plans": [{"name": "gold", "limit": 13}, {"name": "silver", "limit": 1}]}
        assert (await harness.push(3, both))[0] == 200
        assert [plan.name for plan in plans[4:]] == ["silver"] and harness.gateway.drained == [("n1", True)]

    run_scenario(scenario)


def test_a_node_drained_by_two_requesters_returns_when_both_have_stopped(run_scenario):
    async def scenario(harness: ServiceHarness) -> None:
        context, drained = harness.subsystem.context, harness.gateway.drained
        context.drain("n1", True)
        await harness.push(0, {"drains": ["n1", "n2"]})
        context.drain("n1", False)
        assert drained == [("n1", True), ("n2", True)]
        await harness.push(1, {})
        assert sorted(drained[2:]) == [("n1", False), ("n2", False)]
        context.gate(False)
        assert not all(gate() for gate in harness.gateway.gates)

    run_scenario(scenario)


def test_every_refusal_is_json_with_what_where_and_remedy(run_scenario):
    async def scenario(harness: ServiceHarness) -> None:
        await harness.wait_until(lambda: harness.subsystem.context.propose(Add(50)))
        await harness.wait_until(lambda: harness.subsystem.events[-1].entry == Add(50))
        grows_when_escaped = json.dumps(
            {"drains": ["é" * 200 + str(i) for i in range(60)]}, ensure_ascii=False
        ).encode()
        calls = [
            (await harness.request("GET", "/nothing"), 404, "NoSuchPage", "/nothing"),
            (await harness.request("DELETE", "/policy"), 405, "NotByThisMethod", "/policy"),
            (await harness.request("PUT", "/policy", b"{}"), 428, "NoBase", "If-Match"),
            (await harness.push(0, {"drains": [1]}), 400, "BadPolicy", "drains[0]"),
            (await harness.request("PUT", "/policy", b"\xff", 0), 400, "BadPolicy", ""),
            (await harness.request("PUT", "/policy", grows_when_escaped, 0), 400, "BadPolicy", ""),
            (await harness.push(0, {"pools": {}}), 400, "BadPolicy", "pools"),
            (await harness.push(0, {"plans": [{"name": "tin"}]}), 400, "BadPolicy", "plans"),
            (await harness.push(0, {"shares": {"most": 40}}), 409, "PolicyRefused", "shares.most"),
            (await harness.push(3, {}), 412, "Overtaken", "version 3"),
        ]
        for (status, content), wanted, name, where in calls:
            assert (status, content["error"], content["where"]) == (wanted, name, where), content
            assert content["what"] and content["remedy"]
        assert (await harness.request("GET", "/policy"))[1]["version"] == 0
        content = json.loads(harness.pages.error_response(413, "too long").data.partition(b"\r\n\r\n")[2])
        assert content["error"] == "Unreadable" and content["remedy"]

    run_scenario(scenario)


def test_a_push_may_come_in_pieces(run_scenario):
    """Guards pushes by any client: httpx sends head and body separately."""

    async def scenario(harness: ServiceHarness) -> None:
        sock, port = hold_port()
        server = Server(read_address(f"127.0.0.1:{port}"), harness.pages, 8, name="policy")
        server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            b'PUT /policy HTTP/1.1\r\nhost: x\r\nif-match: "0"\r\n'
            b"content-length: 2\r\nconnection: close\r\n\r\n"
        )
        for segment in (head, b"{", b"}"):
            writer.write(segment)
            await asyncio.sleep(0.05)  # so that it is a segment of its own; the time does not matter
        assert (await reader.read()).endswith(b'{"version":1}')
        writer.close()
        await server.drain()
        sock.close()

    run_scenario(scenario)


def test_a_member_with_other_subsystems_blocks_pushes_while_its_heartbeats_are_committed(run_scenario):
    async def scenario(harness: ServiceHarness) -> None:
        harness.service.section.members["g1"] = "127.0.0.1:2"
        harness.service._handle((SubsystemsHosted("g1", ()),))
        harness.service.raft.state.last_heartbeat_at["g1"] = float("inf")
        status, content = await harness.push(0, {})
        assert (status, content["error"]) == (409, "NotAlike") and "g1" in content["what"]
        del harness.service.raft.state.last_heartbeat_at["g1"]
        assert (await harness.push(0, {}))[0] == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    "event",
    [ReplicaFailed(LogUnusableError("newer", "snapshot")), PolicyVersion(0, '{"drains":["n9"]}')],
)
def test_a_failed_replica_leaves_the_fleet_and_reports_why(run_scenario, event):
    async def scenario(harness: ServiceHarness) -> None:
        harness.service._handle((event,))
        await harness.wait_until(lambda: harness.service.leave_task.done())
        assert harness.service.raft is None
        assert (await harness.request("GET", "/policy"))[1]["failed"]["error"] == "LogUnusable"
        assert (await harness.push(0, {}))[1]["error"] == "LogUnusable" and harness.gateway.drained == []
        renewals = len(harness.subsystem.renewals)
        harness.service._handle((PolicyVersion(1, '{"drains":["n1"]}'),))
        assert harness.gateway.drained == [] and len(harness.subsystem.renewals) == renewals

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("answer", "exit_code", "expected"),
    [
        ((200, {"version": 3}), 0, "version 3 is committed"),
        (
            (409, {"what": "less than there is", "where": "pools.most", "remedy": "allow 50"}),
            1,
            "pools.most: less than there is (allow 50)",
        ),
        ((504, {"what": "no word", "where": "", "remedy": "look"}), 3, "no word (look)"),
        ((0, {"what": "no answer"}), 3, "no answer"),
    ],
)
def test_the_command_line_says_what_where_and_what_to_do(monkeypatch, tmp_path, answer, exit_code, expected):
    async def respond(address: str, method: str, *_: object):
        return (200, {"serves": True, "version": 2}) if method == "GET" else answer

    monkeypatch.setattr("mallowbeam.cli.policy._ask", respond)
    (tmp_path / "p.json").write_text("{}")
    done = CliRunner().invoke(app, ["push", str(tmp_path / "p.json"), "--at", "h:1"])
    assert done.exit_code == exit_code and expected in done.output


# --- policy texts and errors ----------------------------------------------------------------------


def test_equal_policies_have_one_canonical_form():
    one = read_policy(
        '{"plans": [{"name": "b", "limit": 1}, {"name": "a"}], "drains": ["y", "x", "x"],'
        ' "shares": {"b": 1, "a": {"d": 1, "c": 2}}}'
    )
    two = read_policy(
        '{"shares": {"a": {"c": 2, "d": 1}, "b": 1}, "drains": ["x", "y"],'
        ' "plans": [{"name": "a"}, {"limit": 1.0, "name": "b"}]}'
    )
    assert canonical(one) == canonical(two) and read_policy(canonical(one)) == read_policy(canonical(two))
    assert canonical(read_policy("{}")) == '{"drains":[]}', "the form of earlier versions"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"plans": [{"name": "a"}, {"name": "a"}]}', "twice"),
        ('{"plans": [{"name": "a", "weight": 0}]}', "weight"),
        ('{"shares": ' + '{"a":' * MAX_DEPTH + "[1]" + "}" * MAX_DEPTH + "}", "levels"),
        ('{"shares": ' + '{"a":' * 5000 + "1" + "}" * 5000 + "}", ""),
        ('{"drains": ["' + "x" * 70_000 + '"]}', "at most 65536"),
    ],
    ids=["twice", "weightless", "deep", "deeper than a stack", "long"],
)
def test_an_invalid_policy_is_rejected_with_a_remedy(text, expected):
    with pytest.raises(InvalidPolicyError) as caught:
        read_policy(text)
    assert expected in str(caught.value) and caught.value.remedy_text


def test_a_section_is_checked_against_the_type_that_its_package_states(monkeypatch):
    monkeypatch.setattr("mallowbeam.storage_gateway.coordination.policy_document._TYPES", {})
    register_section("shares", SharesSection)
    with pytest.raises(InvalidPolicyError) as caught:
        check_sections(read_policy('{"shares": {"on": 7}}'), ("shares",))
    assert caught.value.where == "shares.on"
    with pytest.raises(ValueError, match="lanes"):
        register_section("lanes", SharesSection)


def test_each_error_of_the_fleet_has_a_status_and_a_remedy():
    kinds = [
        kind
        for kind in vars(fleet_errors).values()
        if isinstance(kind, type)
        and issubclass(kind, fleet_errors.CoordinationError)
        and kind is not fleet_errors.CoordinationError
    ]
    assert NoLeaderError in kinds
    for kind in kinds:
        content = kind("what", "where").as_dict()
        assert content == {"error": kind.error_name, "what": "what", "where": "where", "remedy": kind.remedy}
        assert kind.remedy and 400 <= kind.status < 600
