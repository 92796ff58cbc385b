"""Runs the scenario files of registry and feed in the simulated world.

A file has one statement per line; # starts a comment.

    members m1 m2 m3            gateways g1 g2            instances a b
    at 5 COMMAND                                          commands run in the order of the file
    never g1|all ID STATE from 5 to 9                     checked at every tick between these times
    end 20

Commands: start ID [ADDRESS [BACKEND]], crash ID, stage ID STAGE, drain|delete ID via M [refused], late ID
SEQUENCE via M gives OUTCOME, kill|restart|freeze|thaw M|all, cut X Y, cut X > Y, cut X all, heal, put
REVISION via M [refused], and expect with: G|M|all ID STATE, G revision N, G follows M, G ready|unready, G
gateways N, G bound N (at least), G connects N (at most), M complete|incomplete, M gateways N, M ID STAGE.
STATE is ready, draining or absent; at a member, also ended.
"""

from __future__ import annotations

import unittest

from project_paths import SCENARIOS
from registry_processes import CheckFailed, Gateway, Member
from registry_world import World

from mallowbeam.router.feed import FeedSubscriber
from mallowbeam.router.registry import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import DRAINING, DRAINS, ENDED, GONE

SCENARIO_FOLDER = SCENARIOS


class ScenarioRunner:
    """Runs one scenario; raises CheckFailed with the line of the first statement that does not hold."""

    def __init__(
        self,
        text: str,
        table_type: type[InstanceTable] = InstanceTable,
        subscriber_type: type[FeedSubscriber[int]] = FeedSubscriber,
    ) -> None:
        lines = [(number, line.split("#")[0].split()) for number, line in enumerate(text.splitlines(), 1)]
        self.lines = [(number, words) for number, words in lines if words]
        names = {words[0]: words[1:] for _, words in self.lines if words[0] not in ("at", "never", "end")}
        self.world = World(
            names["members"],
            names.get("gateways", []),
            table_type=table_type,
            subscriber_type=subscriber_type,
        )
        for id in names.get("instances", []):
            self.world.start_server(id)
        self.never_rules: list[tuple[str, str, str, float, float]] = []
        for _, words in self.lines:
            if words[0] == "never":
                selector, id, state, _, since, _, until = words[1:]
                self.never_rules.append((selector, id, state, float(since), float(until)))

    def play(self) -> None:
        for number, words in self.lines:
            try:
                if words[0] == "at":
                    self.world.run_to(float(words[1]), self.check_never_rules)
                    getattr(self, f"do_{words[2]}")(*words[3:])
                elif words[0] == "end":
                    self.world.run_to(float(words[1]), self.check_never_rules)
            except CheckFailed as failure:
                raise CheckFailed(f"line {number}: {failure}") from None

    def check_never_rules(self, world: World) -> None:
        for selector, id, state, since, until in self.never_rules:
            if since <= world.now <= until:
                for gateway in self.gateways(selector):
                    self.require(gateway.state(id) != state, f"{gateway.name}: {id} is {state}")

    def require(self, holds: bool, message: str) -> None:
        if not holds:
            raise CheckFailed(f"{self.world.now:.2f} {message}")

    def require_outcome(self, call: str, acknowledged: bool, outcome: str) -> None:
        """Raise CheckFailed unless a call was acknowledged, or refused if `outcome` says so."""
        self.require(acknowledged == (outcome != "refused"), f"{call}: acknowledged is {acknowledged}")

    def gateways(self, selector: str) -> list[Gateway]:
        return list(self.world.gateways.values()) if selector == "all" else [self.world.gateways[selector]]

    def members(self, selector: str) -> list[str]:
        return list(self.world.members) if selector == "all" else [selector]

    # ------------------------------------------------------------ commands

    def do_start(self, id: str, address: str = "", backend: str = "s") -> None:
        self.world.start_server(id, address, backend)

    def do_crash(self, id: str) -> None:
        self.world.servers[id].running = False

    def do_stage(self, id: str, stage: str) -> None:
        self.world.servers[id].stage = stage

    def do_drain(self, id: str, _: str, member: str, outcome: str = "") -> None:
        acknowledged = self.world.retire(id, DRAINING, member)
        self.require_outcome(f"drain of {id}", acknowledged, outcome)

    def do_delete(self, id: str, _: str, member: str, outcome: str = "") -> None:
        acknowledged = self.world.retire(id, GONE, member)
        self.require(
            acknowledged == (outcome != "refused"), f"deletion of {id}: acknowledged is {acknowledged}"
        )

    def do_late(self, id: str, sequence: str, _: str, member: str, __: str, outcome: str) -> None:
        result = self.world.late_heartbeat(member, id, int(sequence))
        self.require(result.value == outcome, f"late heartbeat of {id}: {result.value}")

    def do_kill(self, selector: str) -> None:
        for name in self.members(selector):
            self.world.kill(name)

    def do_restart(self, selector: str) -> None:
        for name in self.members(selector):
            self.world.restart(name)

    def do_freeze(self, selector: str) -> None:
        for name in self.members(selector):
            self.world.freeze(name, True)

    def do_thaw(self, selector: str) -> None:
        for name in self.members(selector):
            self.world.freeze(name, False)

    def do_cut(self, one: str, *others: str) -> None:
        if others == ("all",):
            names = [*self.world.members, *self.world.gateways, *self.world.servers]
            for name in names:
                if name != one:
                    self.world.cut(one, name)
        else:
            self.world.cut(one, others[-1], both=others[0] != ">")

    def do_heal(self) -> None:
        self.world.heal()

    def do_put(self, revision: str, _: str, member: str, outcome: str = "") -> None:
        acknowledged = self.world.put_configuration(int(revision), member)
        self.require(
            acknowledged == (outcome != "refused"),
            f"configuration {revision}: acknowledged is {acknowledged}",
        )

    # ------------------------------------------------------------ checks

    def do_expect(self, selector: str, aspect: str, value: str = "") -> None:
        if selector in self.world.members:
            self.expect_member(self.world.members[selector], aspect, value)
            return
        for gateway in self.gateways(selector):
            self.expect_gateway(gateway, aspect, value)

    def expect_member(self, member: Member, aspect: str, value: str) -> None:
        if aspect in ("complete", "incomplete"):
            complete = member.table.is_complete(self.world.now)
            self.require(complete == (aspect == "complete"), f"{member.name}: complete is {complete}")
        elif aspect == "gateways":
            count = member.gateway_counts.total(len(member.publisher), self.world.now)
            self.require(count == int(value), f"{member.name}: {count} gateways")
        elif value in ("prefill", "decode"):
            self.require(
                member.table.get(aspect).stage == value, f"{member.name}: {aspect} is not for {value}"
            )
        else:
            known = member.table.get(aspect)
            names = {DRAINS: "draining", ENDED: "ended"}
            state = "absent" if known is None else names.get(known.state, "ready")
            self.require(state == value, f"{member.name}: {aspect} is {state}")

    def expect_gateway(self, gateway: Gateway, aspect: str, value: str) -> None:
        subscriber = gateway.subscriber
        found: dict[str, object] = {
            "revision": subscriber.configuration_revision,
            "gateways": subscriber.gateways,
        }
        if aspect in ("ready", "unready"):
            ready = subscriber.ready(self.world.now)
            self.require(ready == (aspect == "ready"), f"{gateway.name}: ready is {ready}")
        elif aspect == "follows":
            feed = self.world.feeds.get(gateway.feed_id)
            followed = feed.sender if feed is not None else "none"
            self.require(followed == value, f"{gateway.name}: follows {followed}")
        elif aspect == "bound":
            bound = subscriber.gateways_bound(self.world.now)
            self.require(bound >= int(value), f"{gateway.name}: bound is {bound}")
        elif aspect == "connects":
            self.require(gateway.connects <= int(value), f"{gateway.name}: {gateway.connects} connections")
        elif aspect in found:
            self.require(found[aspect] == int(value), f"{gateway.name}: {aspect} is {found[aspect]}")
        else:
            state = gateway.state(aspect)
            self.require(state == value, f"{gateway.name}: {aspect} is {state}")


def play_folder(test: unittest.TestCase, name: str) -> None:
    """Run every scenario of a folder."""
    paths = sorted((SCENARIO_FOLDER / name).glob("*.txt"))
    test.assertTrue(paths)
    for path in paths:
        with test.subTest(path.name):
            ScenarioRunner(path.read_text()).play()
