"""Random schedules of the simulated registry world: faults and calls, then convergence.

``python tests/support/registry_walker.py FIRST COUNT`` runs a range of seeds and prints those that fail.
"""

from __future__ import annotations

import sys
from random import Random

from registry_processes import CheckFailed
from registry_world import World

from mallowbeam.router.feed import FeedSubscriber
from mallowbeam.router.registry import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import DRAINING, DRAINS, GONE

FAULTS_UNTIL_S = 30.0
RECOVERY_S = 16.0  # for expiry, completeness and the end of an ejection


class FaultInjector:
    """Injects random faults and calls."""

    def __init__(self, world: World, random: Random) -> None:
        self.world, self.random = world, random
        self.revision = 1
        self.servers_started = 0

    def any_member(self) -> str:
        return self.random.choice(list(self.world.members))

    def any_server(self) -> str | None:
        running = [id for id, server in self.world.servers.items() if server.running]
        return self.random.choice(running) if running else None

    def step(self) -> None:
        kinds = [
            "kill",
            "restart",
            "restart",
            "freeze",
            "thaw",
            "thaw",
            "cut",
            "cut",
            "one_way",
            "heal",
            "heal",
            "drain",
            "drain",
            "delete",
            "crash",
            "start",
            "reuse",
            "put",
            "put",
            "late",
            "stage",
            "all",
        ]
        getattr(self, self.random.choice(kinds))()

    def kill(self) -> None:
        name = self.any_member()
        if self.world.members[name].up:
            self.world.kill(name)

    def restart(self) -> None:
        for name, member in self.world.members.items():
            if not member.up:
                self.world.restart(name)
                return

    def all(self) -> None:
        for name, member in self.world.members.items():
            if member.up:
                self.world.kill(name)

    def freeze(self) -> None:
        self.world.freeze(self.any_member(), True)

    def thaw(self) -> None:
        for name in self.world.members:
            self.world.freeze(name, False)

    def cut(self) -> None:
        names = [*self.world.members, *self.world.gateways, *self.world.servers]
        self.world.cut(self.any_member(), self.random.choice(names))

    def one_way(self) -> None:
        names = [*self.world.members, *self.world.gateways]
        one, other = self.random.sample(names, 2)
        self.world.cut(one, other, both=False)

    def heal(self) -> None:
        self.world.heal()

    def drain(self) -> None:
        id = self.any_server()
        if id is not None:
            self.world.retire(id, DRAINING, self.any_member())

    def delete(self) -> None:
        id = self.any_server()
        if id is not None:
            self.world.retire(id, GONE, self.any_member())

    def crash(self) -> None:
        id = self.any_server()
        if id is not None:
            self.world.servers[id].running = False

    def start(self) -> None:
        self.servers_started += 1
        self.world.start_server(f"n{self.servers_started}")

    def reuse(self) -> None:
        """Start an instance of another service at the address of one that ends now."""
        id = self.any_server()
        if id is not None:
            self.world.servers[id].running = False
            self.servers_started += 1
            self.world.start_server(f"n{self.servers_started}", self.world.servers[id].address, "t")

    def put(self) -> None:
        self.revision += self.random.randint(1, 3)
        self.world.put_configuration(self.revision, self.any_member())

    def late(self) -> None:
        id = self.random.choice(list(self.world.servers))
        name = self.any_member()
        server = self.world.servers[id]
        if self.world.members[name].up and server.sequence and not server.running:
            self.world.late_heartbeat(name, id, server.sequence)

    def stage(self) -> None:
        id = self.any_server()
        if id is not None:
            self.world.servers[id].stage = self.random.choice(["prefill", "decode"])


def play(
    seed: int,
    table_type: type[InstanceTable] = InstanceTable,
    subscriber_type: type[FeedSubscriber[int]] = FeedSubscriber,
) -> World:
    """Run one random schedule; returns the world at its end, or raises CheckFailed."""
    random = Random(seed)
    members = [f"m{number}" for number in range(1, random.choice([1, 3, 3, 5]) + 1)]
    world = World(members, ["g1", "g2", "g3"], seed, table_type, subscriber_type)
    for number in range(6):
        world.start_server(f"s{number}")
    world.put_configuration(1, "m1")
    faults = FaultInjector(world, random)
    at = 5.0
    while at < FAULTS_UNTIL_S:
        world.run_to(at)
        faults.step()
        at += random.choice([0.02, 0.3, 1.0, 2.5])
    world.heal()
    faults.thaw()
    for name, member in world.members.items():
        if not member.up:
            world.restart(name)
    world.run_to(FAULTS_UNTIL_S + RECOVERY_S)
    check_converged(world)
    return world


def check_converged(world: World) -> None:
    """Raise CheckFailed unless every gateway has converged to the actual state."""
    revisions = [entry for entry in world.log if isinstance(entry, int)]
    for gateway in world.gateways.values():
        if gateway.revision != (revisions[-1] if revisions else 0) or not gateway.was_ready:
            raise CheckFailed(f"{gateway.name}: revision {gateway.revision}, ready {gateway.was_ready}")
        for id, server in world.servers.items():
            expected = "ready" if server.state != DRAINS else "draining"
            expected = expected if server.running else "absent"
            if gateway.state(id) != expected:
                raise CheckFailed(f"{gateway.name}: {id} is {gateway.state(id)}, should be {expected}")
            if server.running and gateway.subscriber.instances[id].stage != server.stage:
                raise CheckFailed(f"{gateway.name}: {id} has another stage")


def main() -> None:
    """Run the seeds given on the command line."""
    first, number = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + number):
        try:
            play(seed)
        except Exception as error:
            failed += 1
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
    print(f"{number} schedules from seed {first}: {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
