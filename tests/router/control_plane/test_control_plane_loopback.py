"""Members as real processes on loopback. Deadlines are generous: only a failure comes near them."""

from __future__ import annotations

import json
import signal
import unittest

from control_plane_rig import Answer, Gateway, Machine, Rig, configuration, heartbeat

from mallowbeam.router.rpc.messages_pb2 import DRAINS, ENDED, FeedFrame

CONFIG = "/mallowbeam/config"
INSTANCE = "/mallowbeam/instances/i-1"


def voters_at(page: dict | None) -> set[str]:
    """Return the addresses of the voting members on a status page."""
    if page is None:
        return set()
    return {member["address"].partition(":")[0] for member in page["members"] if member["voter"]}


class Members(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = Rig()
        self.addCleanup(self.rig.close)
        self.rig.start()
        self.leader = self.rig.leader()

    def others(self, *than: Machine) -> list[Machine]:
        return [machine for machine in self.rig.running() if machine not in than]

    @staticmethod
    def put(machine: Machine, body: bytes, based_on: str) -> Answer:
        """Send one call and return its response, conclusive or not."""
        return machine.call("PUT", CONFIG, body, {"If-Match": based_on})

    @staticmethod
    def put_clear(machine: Machine, body: bytes, based_on: str) -> Answer:
        return machine.call_until_conclusive("PUT", CONFIG, body, {"If-Match": based_on})

    def read_back(self, revision: int) -> None:
        """Check that all running members return the configuration of this revision."""
        for machine in self.rig.running():
            answer = self.rig.until(
                "a configuration", lambda machine=machine: self._configuration_at(machine)
            )
            self.assertEqual(answer["revision"], revision)

    @staticmethod
    def _configuration_at(machine: Machine) -> dict | None:
        answer = machine.call("GET", CONFIG)
        return answer.json() if answer.status == 200 else None

    def states(self, machine: Machine) -> dict[str, str]:
        page = self.rig.until("a status page", machine.status)
        return {instance["id"]: instance["state"] for instance in page["instances"]}


class Configurations(Members):
    def test_calls_and_their_answers(self) -> None:
        first, second, third = self.rig.machines
        self.assertEqual(first.call_until_conclusive("GET", CONFIG).status, 404)
        body = json.dumps(configuration(3)).encode()
        answer = self.rig.send_until_conclusive(lambda machine: self.put(machine, body, "0"))
        self.assertEqual((answer.status, answer.json()), (200, {"revision": 3}))
        for machine in self.rig.machines:
            self.assertEqual(self.put_clear(machine, body, "0").status, 200)
            self.assertEqual(machine.call_until_conclusive("GET", CONFIG).json(), configuration(3))
        other = json.dumps(configuration(4)).encode()
        self.assertEqual(self.put_clear(second, other, "2").status, 412)
        low = json.dumps(configuration(2)).encode()
        self.assertEqual(self.put_clear(third, low, "3").json()["error"]["code"], "CONFIGURATION_REVISION")
        for bad, based_on in ((b"{", "3"), (b"{}", "3"), (other, ""), (other, "x")):
            refused = self.put_clear(first, bad, based_on)
            self.assertEqual(refused.status // 100, 4)
            self.assertEqual(set(refused.json()["error"]), {"code", "where", "what", "remedy"})
        self.assertEqual(first.call_until_conclusive("GET", "/elsewhere").status, 404)
        self.assertEqual(first.call_until_conclusive("DELETE", CONFIG).status, 405)
        self.read_back(3)

    def test_a_rejected_call_stays_rejected_and_an_accepted_one_is_acknowledged_again(self) -> None:
        """Revision 6 is based on 4, which is accepted later; copies of 6 arrive before, between and after."""
        first, second, third = self.rig.machines
        bodies = {revision: json.dumps(configuration(revision)).encode() for revision in (3, 4, 6)}
        self.rig.send_until_conclusive(lambda machine: self.put(machine, bodies[3], "0"))
        self.assertEqual(self.put_clear(first, bodies[6], "4").status, 412)
        self.assertEqual(self.put_clear(second, bodies[4], "3").status, 200)
        for machine in self.rig.machines:
            self.assertEqual(self.put_clear(machine, bodies[6], "4").status, 412)
        self.leader.kill()
        self.leader.start()
        for machine in self.rig.machines:
            self.rig.until("an answer", lambda machine=machine: machine.call("GET", CONFIG).status == 200)
            self.assertEqual(self.put_clear(machine, bodies[6], "4").status, 412)
            self.assertEqual(self.put_clear(machine, bodies[4], "3").status, 200)
            self.assertEqual(self.put_clear(machine, bodies[3], "4").status, 200)
        self.read_back(4)

    def test_gateways_are_notified(self) -> None:
        gateways = [Gateway(machine) for machine in self.rig.machines]
        for gateway in gateways:
            self.addCleanup(gateway.close)
        self.rig.put_config(3, 0)
        self.rig.put_config(4, 3, hostname="b.example")
        for gateway in gateways:
            frame = gateway.until("revision 4", lambda frame: frame.configuration.revision == 4)
            self.assertEqual([route.hostname for route in frame.configuration.routes], ["b.example"])
            gateway.until("three gateways", lambda frame: frame.heartbeat.gateways == 3)
            fresh = gateway.until("fresh state", lambda frame: frame.heartbeat.leader_silence_ms < 1000)
            self.assertIsInstance(fresh, FeedFrame)


class Instances(Members):
    def test_heartbeats_draining_and_retirements_reach_every_member_and_gateway(self) -> None:
        first, second, third = self.rig.machines
        gateway = Gateway(third)
        self.addCleanup(gateway.close)
        self.assertEqual(first.call_until_conclusive("PUT", INSTANCE, heartbeat(1)).status, 200)
        for machine in self.rig.machines:
            self.rig.until("an instance", lambda machine=machine: self.states(machine) == {"i-1": "ready"})
        drained = second.call_until_conclusive("PUT", INSTANCE, heartbeat(2, "draining"))
        self.assertEqual(drained.status, 200)
        for machine in self.rig.machines:
            self.rig.until("a drain", lambda machine=machine: self.states(machine) == {"i-1": "draining"})
        gateway.until("a drain", lambda frame: any(one.state == DRAINS for one in frame.instances.instances))
        self.assertEqual(first.call_until_conclusive("PUT", INSTANCE, heartbeat(3)).status, 200)
        self.assertEqual(self.states(first), {"i-1": "draining"})
        ended = first.call_until_conclusive("DELETE", INSTANCE)
        self.assertEqual(ended.status, 200)
        gateway.until("an end", lambda frame: any(one.state == ENDED for one in frame.instances.instances))
        self.assertEqual(first.call_until_conclusive("PUT", INSTANCE, b"{}").status, 400)


class Failures(Members):
    def test_the_leader_is_killed_then_all(self) -> None:
        self.assertEqual(self.rig.put_config(3, 0).status, 200)
        self.leader.kill()
        self.rig.leader()
        self.assertEqual(self.rig.put_config(4, 3).status, 200)
        for machine in self.rig.running():
            machine.kill()
        for machine in self.rig.machines:
            machine.start()
        self.rig.leader()
        self.read_back(4)
        self.assertEqual(self.rig.put_config(5, 4).status, 200)

    def test_a_minority_accepts_no_change(self) -> None:
        self.rig.put_config(3, 0)
        for machine in self.others(self.leader):
            machine.kill()
        body = json.dumps(configuration(4)).encode()
        self.assertIn(self.put(self.leader, body, "3").status, (0, 503, 504))
        self.rig.until("a refusal", lambda: self.put(self.leader, body, "3").status == 503)
        self.assertEqual(self.leader.call("GET", CONFIG).status, 503)
        self.rig.until("a refusal", lambda: self.leader.call("PUT", INSTANCE, heartbeat(1)).status == 503)
        self.assertEqual(self.states(self.leader), {"i-1": "ready"})

    def test_a_wiped_disk_and_a_replaced_machine(self) -> None:
        self.rig.put_config(3, 0)
        wiped, lost = self.others(self.leader)
        wiped.kill()
        wiped.wipe()
        wiped.start()
        everyone = {machine.ip for machine in self.rig.machines}
        self.rig.until("its vote back", lambda: self._has_voters(wiped, everyone, learners=set()))
        lost.kill()
        new = self.rig.add()
        new.start()
        voters = everyone - {lost.ip} | {new.ip}
        self.rig.until("its replacement", lambda: self._has_voters(new, voters, learners={lost.ip}))
        self.assertEqual(self.rig.until("a status page", new.status)["target_voters"], 3)
        self.read_back(3)

    def _has_voters(self, machine: Machine, voters: set[str], learners: set[str]) -> bool:
        """Whether exactly `voters` vote, and the only other members are `learners`, which may return."""
        page = machine.status()
        if page is None:
            return False
        addresses = [member["address"].partition(":")[0] for member in page["members"]]
        members_match = len(addresses) == len(voters) + len(learners) and set(addresses) == voters | learners
        return voters_at(page) == voters and members_match and page["revision"] == 3

    def test_a_frozen_leader_comes_back(self) -> None:
        self.rig.put_config(3, 0)
        self.leader.process.send_signal(signal.SIGSTOP)
        try:
            body = json.dumps(configuration(4)).encode()
            others = self.others(self.leader)
            answers = (self.put(machine, body, "3").status for _ in range(100) for machine in others)
            self.assertIn(200, answers)
        finally:
            self.leader.process.send_signal(signal.SIGCONT)
        self.read_back(4)

    def test_a_planned_stop_transfers_leadership(self) -> None:
        self.rig.put_config(3, 0)
        self.assertEqual(self.leader.stop(), 0)
        self.rig.leader()
        self.assertEqual(self.rig.put_config(4, 3).status, 200)


class FirstStart(unittest.TestCase):
    def test_members_beyond_the_seeds_become_voters(self) -> None:
        rig = Rig()
        self.addCleanup(rig.close)
        rig.add()
        rig.add()
        rig.start()
        everyone = {machine.ip for machine in rig.machines}
        for machine in rig.machines:
            rig.until("five voters", lambda machine=machine: voters_at(machine.status()) == everyone)
        self.assertEqual(rig.until("a status page", rig.machines[4].status)["target_voters"], 5)


if __name__ == "__main__":
    unittest.main()
