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
from registry_processes import Broken, Gateway, Member
from registry_world import World

from mallowbeam.router.feed import FeedSubscriber
from mallowbeam.router.registry import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import DRAINING, DRAINS, ENDED, GONE

FOLDER = SCENARIOS


class Player:
    """Runs one scenario; raises Broken with the line of the first statement that does not hold."""

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
        self.nevers: list[tuple[str, str, str, float, float]] = []
        for _, words in self.lines:
            if words[0] == "never":
                who, id, state, _, since, _, until = words[1:]
                self.nevers.append((who, id, state, float(since), float(until)))

    def play(self) -> None:
        for number, words in self.lines:
            try:
                if words[0] == "at":
                    self.world.run_to(float(words[1]), self.check_nevers)
                    getattr(self, f"do_{words[2]}")(*words[3:])
                elif words[0] == "end":
                    self.world.run_to(float(words[1]), self.check_nevers)
            except Broken as broken:
                raise Broken(f"line {number}: {broken}") from None

    def check_nevers(self, world: World) -> None:
        for who, id, state, since, until in self.nevers:
            if since <= world.now <= until:
                for gateway in self.gateways(who):
                    self.demand(gateway.state(id) != state, f"{gateway.name}: {id} is {state}")

    def demand(self, holds: bool, what: str) -> None:
        if not holds:
            raise Broken(f"{self.world.now:.2f} {what}")

    def demand_outcome(self, call: str, acknowledged: bool, outcome: str) -> None:
        """Raise Broken unless a call was acknowledged, or refused if `outcome` says so."""
        self.demand(acknowledged == (outcome != "refused"), f"{call}: acknowledged is {acknowledged}")

    def gateways(self, who: str) -> list[Gateway]:
        return list(self.world.gateways.values()) if who == "all" else [self.world.gateways[who]]

    def members(self, who: str) -> list[str]:
        return list(self.world.members) if who == "all" else [who]

    # ------------------------------------------------------------ commands

    def do_start(self, id: str, address: str = "", backend: str = "s") -> None:
        self.world.start_server(id, address, backend)

    def do_crash(self, id: str) -> None:
        self.world.servers[id].running = False

    def do_stage(self, id: str, stage: str) -> None:
        self.world.servers[id].stage = stage

    def do_drain(self, id: str, _: str, member: str, outcome: str = "") -> None:
        acknowledged = self.world.retire(id, DRAINING, member)
        self.demand_outcome(f"drain of {id}", acknowledged, outcome)

    def do_delete(self, id: str, _: str, member: str, outcome: str = "") -> None:
        acknowledged = self.world.retire(id, GONE, member)
        self.demand(
            acknowledged == (outcome != "refused"), f"deletion of {id}: acknowledged is {acknowledged}"
        )

    def do_late(self, id: str, sequence: str, _: str, member: str, __: str, outcome: str) -> None:
        result = self.world.late_heartbeat(member, id, int(sequence))
        self.demand(result.value == outcome, f"late heartbeat of {id}: {result.value}")

    def do_kill(self, who: str) -> None:
        for name in self.members(who):
            self.world.kill(name)

    def do_restart(self, who: str) -> None:
        for name in self.members(who):
            self.world.restart(name)

    def do_freeze(self, who: str) -> None:
        for name in self.members(who):
            self.world.freeze(name, True)

    def do_thaw(self, who: str) -> None:
        for name in self.members(who):
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
        self.demand(
            acknowledged == (outcome != "refused"),
            f"configuration {revision}: acknowledged is {acknowledged}",
        )

    # ------------------------------------------------------------ checks

    def do_expect(self, who: str, what: str, value: str = "") -> None:
        if who in self.world.members:
            self.expect_member(self.world.members[who], what, value)
            return
        for gateway in self.gateways(who):
            self.expect_gateway(gateway, what, value)

    def expect_member(self, member: Member, what: str, value: str) -> None:
        if what in ("complete", "incomplete"):
            complete = member.table.is_complete(self.world.now)
            self.demand(complete == (what == "complete"), f"{member.name}: complete is {complete}")
        elif what == "gateways":
            count = member.gateway_counts.total(len(member.publisher), self.world.now)
            self.demand(count == int(value), f"{member.name}: {count} gateways")
        elif value in ("prefill", "decode"):
            self.demand(member.table.get(what).stage == value, f"{member.name}: {what} is not for {value}")
        else:
            known = member.table.get(what)
            names = {DRAINS: "draining", ENDED: "ended"}
            state = "absent" if known is None else names.get(known.state, "ready")
            self.demand(state == value, f"{member.name}: {what} is {state}")

    def expect_gateway(self, gateway: Gateway, what: str, value: str) -> None:
        subscriber = gateway.subscriber
        found: dict[str, object] = {
            "revision": subscriber.configuration_revision,
            "gateways": subscriber.gateways,
        }
        if what in ("ready", "unready"):
            ready = subscriber.ready(self.world.now)
            self.demand(ready == (what == "ready"), f"{gateway.name}: ready is {ready}")
        elif what == "follows":
            feed = self.world.feeds.get(gateway.number)
            followed = feed.sender if feed is not None else "none"
            self.demand(followed == value, f"{gateway.name}: follows {followed}")
        elif what == "bound":
            bound = subscriber.gateways_bound(self.world.now)
            self.demand(bound >= int(value), f"{gateway.name}: bound is {bound}")
        elif what == "connects":
            self.demand(gateway.connects <= int(value), f"{gateway.name}: {gateway.connects} connections")
        elif what in found:
            self.demand(found[what] == int(value), f"{gateway.name}: {what} is {found[what]}")
        else:
            state = gateway.state(what)
            self.demand(state == value, f"{gateway.name}: {what} is {state}")


def play_folder(test: unittest.TestCase, name: str) -> None:
    """Run every scenario of a folder."""
    paths = sorted((FOLDER / name).glob("*.txt"))
    test.assertTrue(paths)
    for path in paths:
        with test.subTest(path.name):
            Player(path.read_text()).play()
