"""The fleet's service and pages in this process: a fleet of one, a gateway that records what it is told."""

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


class Recorder:
    """A gateway that records."""

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


class Part:
    """A subsystem that records what it is told, and may be made to fail."""

    def __init__(self, context: GatewayContext, section: object) -> None:
        self.state_machine, self.context, self.section = Adder("shares"), context, section
        self.told, self.proofs, self.fails = [], [], False

    def committed(self, told, now: float) -> None:
        self.told.append(told)
        assert not self.fails

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        assert proposed_at <= now
        self.proofs.append(proposed_at)

    def tick(self, now: float) -> None:
        assert not self.fails

    def describe(self) -> dict[str, object]:
        return {"total": self.told[-1].state.total}

    def gauges(self) -> dict[str, float]:
        return {"total": float(self.told[-1].state.total), "odd-name": 1.0}


class World:
    """The service, its part and its pages."""

    def __init__(self, folder, monkeypatch) -> None:
        module = ModuleType("mallowbeam.storage_gateway.coordination.shares.subsystem")
        module.open_subsystem = Part
        monkeypatch.setitem(sys.modules, module.__name__, module)
        # whatever another test has loaded
        monkeypatch.setattr("mallowbeam.storage_gateway.coordination.policy_document._TYPES", {})
        self.sock, port = hold_port(socket.SO_REUSEADDR)
        self.gateway = Recorder()
        section = PolicySection(
            folder=str(folder / "log"),
            name="g0",
            listen="127.0.0.1:1",
            members={"g0": f"127.0.0.1:{port}"},
            beat_s=0.05,
            lease_s=20.0,
        )
        self.service = CoordinationService(self.gateway, section, {"shares": SharesSection(on=True)})
        self.part: Part = self.service.subsystems["shares"]
        self.pages = StatusPages(self.service)

    async def until(self, holds: Callable[[], object]) -> None:
        async with asyncio.timeout(30):
            while not holds():
                await asyncio.sleep(0.01)

    async def ask(self, method: str, target: str, body: bytes = b"", base: object = None):
        message = Message()
        message.method, message.target, message.body = method.encode(), target.encode(), bytearray(body)
        if base is not None:
            message.headers = [(b"if-match", f'"{base}"'.encode())]
        reply = await self.pages.handle(message, lambda: False)
        head, _, told = reply.data.partition(b"\r\n\r\n")
        return reply.status, told if b"text/plain" in head else json.loads(told)

    async def push(self, base: int, policy: object):
        return await self.ask("PUT", "/policy", json.dumps(policy).encode(), base)


@pytest.fixture
def play(tmp_path, monkeypatch):
    def played(scene: Callable[[World], Awaitable[None]]) -> None:
        async def run() -> None:
            world = World(tmp_path, monkeypatch)
            world.service.start()
            try:
                await world.until(lambda: world.service.serves() and world.service.known_leader)
                await scene(world)
            finally:
                await world.service.stop()
                world.service.disk.close()
                world.sock.close()

        asyncio.run(run())

    return played


def test_a_subsystem_gets_states_renewals_and_entries_and_its_failures_stay_its_own(play):
    async def scene(world: World) -> None:
        part = world.part
        assert part.told[0].entry is None and part.section == SharesSection(on=True)
        await world.until(lambda: len(part.proofs) > 1)
        assert part.context.leader() and part.context.members == ("g0",) and part.context.propose(Add(5))
        await world.until(lambda: part.told[-1].entry == Add(5))
        part.fails = True
        assert part.context.propose(Fail())
        proofs = len(part.proofs)
        await world.until(lambda: part.told[-1].refusal and len(part.proofs) > proofs + 2)
        assert world.service.counts["faults"] > 0 and world.service.counts["refused"] == 1
        status, told = await world.ask("GET", "/fleet")
        assert status == 200 and told["subsystems"] == {"shares": {"total": 5}}
        status, text = await world.ask("GET", "/fleet/metrics")
        assert b"mallowbeam_fleet_shares_total 5.0\n" in text and b"fleet_shares_odd_name 1.0\n" in text
        assert b"mallowbeam_fleet_policy_serves 1.0\n" in text and b"process_" not in text

    play(scene)


def test_what_is_proposed_without_a_leader_is_dropped_at_once(play):
    async def scene(world: World) -> None:
        world.service.known_leader = None
        assert not world.part.context.propose(Add(1)) and world.service.counts["dropped"] == 1
        await world.service.stop()
        assert not world.part.context.propose(Add(1)) and world.service.counts["dropped"] == 2
        assert (await world.push(0, {}))[1]["error"] == "NoLeader"

    play(scene)


def test_plans_of_a_policy_take_hold_and_go_with_it(play):
    async def scene(world: World) -> None:
        plans = world.gateway.plans
        assert (await world.push(0, {"plans": [{"name": "silver", "limit": 9, "weight": 3}]}))[0] == 200
        assert plans == [Plan("silver", rate=5, price=0.5, limit=9, weight=3)]
        assert (await world.push(1, {"plans": [{"name": "gold", "reserve": 0}]}))[0] == 200
        assert plans[1:] == [Plan("gold", reserve=0, weight=2), SILVER]
        assert (await world.push(2, {}))[0] == 200
        assert plans[3:] == [GOLD]
        both = {"drains": ["n1"], "plans": [{"name": "gold", "limit": 13}, {"name": "silver", "limit": 1}]}
        assert (await world.push(3, both))[0] == 200
        assert [plan.name for plan in plans[4:]] == ["silver"] and world.gateway.drained == [("n1", True)]

    play(scene)


def test_a_node_that_two_want_out_is_in_again_when_neither_does(play):
    async def scene(world: World) -> None:
        context, told = world.part.context, world.gateway.drained
        context.drain("n1", True)
        await world.push(0, {"drains": ["n1", "n2"]})
        context.drain("n1", False)
        assert told == [("n1", True), ("n2", True)]
        await world.push(1, {})
        assert sorted(told[2:]) == [("n1", False), ("n2", False)]
        context.gate(False)
        assert not all(gate() for gate in world.gateway.gates)

    play(scene)


def test_every_refusal_is_json_with_what_where_and_remedy(play):
    async def scene(world: World) -> None:
        await world.until(lambda: world.part.context.propose(Add(50)))
        await world.until(lambda: world.part.told[-1].entry == Add(50))
        swells = json.dumps({"drains": ["é" * 200 + str(i) for i in range(60)]}, ensure_ascii=False).encode()
        calls = [
            (await world.ask("GET", "/nothing"), 404, "NoSuchPage", "/nothing"),
            (await world.ask("DELETE", "/policy"), 405, "NotByThisMethod", "/policy"),
            (await world.ask("PUT", "/policy", b"{}"), 428, "NoBase", "If-Match"),
            (await world.push(0, {"drains": [1]}), 400, "BadPolicy", "drains[0]"),
            (await world.ask("PUT", "/policy", b"\xff", 0), 400, "BadPolicy", ""),
            (await world.ask("PUT", "/policy", swells, 0), 400, "BadPolicy", ""),
            (await world.push(0, {"pools": {}}), 400, "BadPolicy", "pools"),
            (await world.push(0, {"plans": [{"name": "tin"}]}), 400, "BadPolicy", "plans"),
            (await world.push(0, {"shares": {"most": 40}}), 409, "PolicyRefused", "shares.most"),
            (await world.push(3, {}), 412, "Overtaken", "version 3"),
        ]
        for (status, told), wanted, name, where in calls:
            assert (status, told["error"], told["where"]) == (wanted, name, where), told
            assert told["what"] and told["remedy"]
        assert (await world.ask("GET", "/policy"))[1]["version"] == 0
        told = json.loads(world.pages.error_response(413, "too long").data.partition(b"\r\n\r\n")[2])
        assert told["error"] == "Unreadable" and told["remedy"]

    play(scene)


def test_a_push_may_come_in_pieces(play):
    """Guards pushes by any client: httpx sends head and body apart."""

    async def scene(world: World) -> None:
        sock, port = hold_port()
        server = Server(read_address(f"127.0.0.1:{port}"), world.pages, 8, name="policy")
        server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            b'PUT /policy HTTP/1.1\r\nhost: x\r\nif-match: "0"\r\n'
            b"content-length: 2\r\nconnection: close\r\n\r\n"
        )
        for piece in (head, b"{", b"}"):
            writer.write(piece)
            await asyncio.sleep(0.05)  # so that it goes out; nothing hangs on how long
        assert (await reader.read()).endswith(b'{"version":1}')
        writer.close()
        await server.drain()
        sock.close()

    play(scene)


def test_a_member_with_other_subsystems_blocks_pushes_while_its_heartbeats_are_committed(play):
    async def scene(world: World) -> None:
        world.service.section.members["g1"] = "127.0.0.1:2"
        world.service._handle((SubsystemsHosted("g1", ()),))
        world.service.raft.state.last_heartbeat_at["g1"] = float("inf")
        status, told = await world.push(0, {})
        assert (status, told["error"]) == (409, "NotAlike") and "g1" in told["what"]
        del world.service.raft.state.last_heartbeat_at["g1"]
        assert (await world.push(0, {}))[0] == 200

    play(scene)


@pytest.mark.parametrize(
    "heard",
    [ReplicaFailed(LogUnusableError("newer", "snapshot")), PolicyVersion(0, '{"drains":["n9"]}')],
)
def test_a_failed_replica_leaves_the_fleet_and_reports_why(play, heard):
    async def scene(world: World) -> None:
        world.service._handle((heard,))
        await world.until(lambda: world.service.leave_task.done())
        assert world.service.raft is None
        assert (await world.ask("GET", "/policy"))[1]["failed"]["error"] == "LogUnusable"
        assert (await world.push(0, {}))[1]["error"] == "LogUnusable" and world.gateway.drained == []
        proofs = len(world.part.proofs)
        world.service._handle((PolicyVersion(1, '{"drains":["n1"]}'),))
        assert world.gateway.drained == [] and len(world.part.proofs) == proofs

    play(scene)


@pytest.mark.parametrize(
    ("answer", "code", "said"),
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
def test_the_command_line_says_what_where_and_what_to_do(monkeypatch, tmp_path, answer, code, said):
    async def told(address: str, method: str, *_: object):
        return (200, {"serves": True, "version": 2}) if method == "GET" else answer

    monkeypatch.setattr("mallowbeam.cli.policy._ask", told)
    (tmp_path / "p.json").write_text("{}")
    done = CliRunner().invoke(app, ["push", str(tmp_path / "p.json"), "--at", "h:1"])
    assert done.exit_code == code and said in done.output


# --- the text, the errors -------------------------------------------------------------------------


def test_equal_policies_have_one_spelling():
    one = read_policy(
        '{"plans": [{"name": "b", "limit": 1}, {"name": "a"}], "drains": ["y", "x", "x"],'
        ' "shares": {"b": 1, "a": {"d": 1, "c": 2}}}'
    )
    two = read_policy(
        '{"shares": {"a": {"c": 2, "d": 1}, "b": 1}, "drains": ["x", "y"],'
        ' "plans": [{"name": "a"}, {"limit": 1.0, "name": "b"}]}'
    )
    assert canonical(one) == canonical(two) and read_policy(canonical(one)) == read_policy(canonical(two))
    assert canonical(read_policy("{}")) == '{"drains":[]}', "as ever"


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('{"plans": [{"name": "a"}, {"name": "a"}]}', "twice"),
        ('{"plans": [{"name": "a", "weight": 0}]}', "weight"),
        ('{"shares": ' + '{"a":' * MAX_DEPTH + "[1]" + "}" * MAX_DEPTH + "}", "levels"),
        ('{"shares": ' + '{"a":' * 5000 + "1" + "}" * 5000 + "}", ""),
        ('{"drains": ["' + "x" * 70_000 + '"]}', "at most 65536"),
    ],
    ids=["twice", "weightless", "deep", "deeper than a stack", "long"],
)
def test_a_policy_that_can_not_be_is_refused_with_a_remedy(text, said):
    with pytest.raises(InvalidPolicyError) as caught:
        read_policy(text)
    assert said in str(caught.value) and caught.value.remedy_text


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
        told = kind("what", "where").as_dict()
        assert told == {"error": kind.error_name, "what": "what", "where": "where", "remedy": kind.remedy}
        assert kind.remedy and 400 <= kind.status < 600
