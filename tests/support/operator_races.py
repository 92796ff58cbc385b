"""Several operators with lost responses and late duplicates of their requests, on the simulated fleet.

Besides the statements of :mod:`mallowbeam.simulation.fleet`::

    operators o1 o2                       after all other declarations
    at 8 send ORDER 5 on 3 from o1 [via M]   an order of revision 5, retried until a final response
    at 8 copy ORDER [via M]               a duplicate of it, as if delayed by the network
    at 9 again ORDER [via M]              its operator sends it again until a final response
    at 9 chain 300 on 3 from o1           orders link1 to link300, each based on the previous one

Conditions: ``ORDER open|taken|refused``; ``one-won ORDER ORDER``; ``in-force ORDER``.

Invariants: no order is both acknowledged and rejected; at most one of the orders based on one version is
acknowledged; a rejected order is in force at no member; an acknowledged order is remembered by every member
that has applied an equal or higher revision.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from mallowbeam.router.configuration.parsing import parse_configuration
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_callers import Caller
from mallowbeam.simulation.fleet_history import ApiCall
from mallowbeam.simulation.fleet_operators import FINAL_STATUSES, FIRST_BACKOFF_S, LONGEST_BACKOFF_S, document

CHAIN_POLL_S = 0.005  # between two checks whether the last order of a chain has a response


@dataclass(slots=True)
class RacedOrder:
    """A configuration change: its request, and the results that its operator received."""

    name: str
    revision: int
    based_on: int
    call: ApiCall
    digest: bytes
    operator: RacingOperator
    results: set[str] = field(default_factory=set)  # taken, refused
    open: bool = True  # whether its operator still sends it


class RacingOperator(Caller):
    """Sends each order until it gets a final response."""

    answers = 0  # final responses so far, to any order

    def send(self, order: RacedOrder, member: str, backoff_s: float = FIRST_BACKOFF_S) -> None:
        """Send an order to a member, then to others until there is a final response."""
        order.open = True

        def answered(status: int, body: bytes) -> None:
            record_result(order, status)
            order.open = not is_final(status)
            if order.open:
                next_backoff_s = min(2 * backoff_s, LONGEST_BACKOFF_S)
                self.machine.later(backoff_s, lambda: self.send(order, self.any_member(), next_backoff_s))

        self.ask(member, order.call, answered)

    def send_duplicate(self, order: RacedOrder, member: str) -> None:
        """Send an order once; its response counts."""
        self.ask(member, order.call, lambda status, body: record_result(order, status))


def is_final(status: int) -> bool:
    """Whether a response is final, so that no retry follows."""
    return 200 <= status < 300 or status in FINAL_STATUSES


def record_result(order: RacedOrder, status: int) -> None:
    """Record the result that a response gives for its order."""
    if is_final(status):
        order.operator.answers += 1
        order.results.add("taken" if status < 300 else "refused")


class RacesPlayer(FleetPlayer):
    """Plays scenarios with several operators."""

    def prepare(self) -> None:
        """Create the tables of operators and orders, and their check."""
        super().prepare()
        self.racing_operators: dict[str, RacingOperator] = {}
        self.orders: dict[str, RacedOrder] = {}
        self._last_checked: object = None
        self.simulator.check(self._check_orders)

    def declare_operators(self, *names: str) -> None:
        """Add the operators, as the group `operators`."""
        for name in names:
            machine = self._new_machine(name, "operators")
            self.racing_operators[name] = RacingOperator(machine, self.network, self.members)
            machine.start()

    # ------------------------------------------------------------ commands

    def do_send(
        self, name: str, revision: str, on: str, based_on: str, origin: str, operator: str, *via: str
    ) -> None:
        """Send a new order."""
        if on != "on" or origin != "from":
            raise ValueError("needs send ORDER REVISION on BASED from OPERATOR [via M]")
        body = json.dumps({**document(int(revision), f"{name}.example"), "x-order": name}).encode()
        call = ApiCall("PUT", "/mallowbeam/config", body, (("If-Match", based_on),))
        digest = parse_configuration(body).digest
        order = RacedOrder(name, int(revision), int(based_on), call, digest, self.racing_operators[operator])
        self.orders[name] = order
        order.operator.send(order, self._via(order, via))

    def do_again(self, name: str, *via: str) -> None:
        """Send an order again until there is a final response."""
        order = self.orders[name]
        order.operator.send(order, self._via(order, via))

    def do_copy(self, name: str, *via: str) -> None:
        """Send a duplicate of an order."""
        order = self.orders[name]
        order.operator.send_duplicate(order, self._via(order, via))

    def do_chain(self, count: str, on: str, based_on: str, origin: str, operator: str) -> None:
        """Send many orders one after another."""
        if on != "on" or origin != "from":
            raise ValueError("needs chain COUNT on BASED from OPERATOR")
        self._send_link(1, int(count), int(based_on), operator)

    def _send_link(self, number: int, count: int, based_on: int, operator: str) -> None:
        name = f"link{number}"
        if name not in self.orders:
            self.do_send(name, str(based_on + 1), "on", str(based_on), "from", operator, "via", "leader")
        elif not self.orders[name].open:
            number, based_on = number + 1, based_on + 1
        if number <= count:
            machine = self.racing_operators[operator].machine
            machine.later(CHAIN_POLL_S, lambda: self._send_link(number, count, based_on, operator))

    def _via(self, order: RacedOrder, via: Sequence[str]) -> str:
        if not via:
            return order.operator.any_member()
        if via[0] != "via":
            raise ValueError("needs via M")
        return self.names(via[1])[0]

    # ------------------------------------------------------------ conditions

    def holds(self, words: Sequence[str]) -> bool:
        """Whether a condition is true."""
        match words:
            case ("one-won", *names):
                orders = [self.orders[name] for name in names]
                won = [order for order in orders if "taken" in order.results]
                return len(won) == 1 and not any(order.open for order in orders)
            case ("in-force", name):
                order = self.orders[name]
                return all(
                    versions.revision == order.revision and remembers(versions, order)
                    for versions in self._versions()
                )
            case (name, "open"):
                return name in self.orders and self.orders[name].open
            case (name, "taken" | "refused" as result):
                order = self.orders.get(name)
                return order is not None and order.results == {result} and not order.open
        return super().holds(words)

    # ------------------------------------------------------------ invariants

    def _versions(self) -> list[ConfigurationVersions]:
        return [
            member.program.parts.state_machine.configurations
            for member in self.members.values()
            if member.live and member.program is not None
        ]

    def _check_orders(self) -> None:
        """Check all orders if a response arrived or a member changed since the last check."""
        answers = sum(operator.answers for operator in self.racing_operators.values())
        incarnations = [member.machine.incarnation for member in self.members.values()]
        state = answers, incarnations, [versions.revision for versions in self._versions()]
        if state != self._last_checked:
            self._last_checked = state
            self._check_all_orders()

    def _check_all_orders(self) -> None:
        by_version: dict[int, list[RacedOrder]] = {}
        for order in self.orders.values():
            self._require(len(order.results) < 2, f"{order.name} was acknowledged and rejected")
            if "taken" in order.results:
                by_version.setdefault(order.based_on, []).append(order)
        for based_on, orders in by_version.items():
            names = ", ".join(order.name for order in orders)
            self._require(len(orders) == 1, f"{names} on version {based_on} were acknowledged")
        for versions in self._versions():
            for order in self.orders.values():
                known, behind = remembers(versions, order), versions.revision < order.revision
                self._require(
                    not (known and "refused" in order.results), f"{order.name} is in force though rejected"
                )
                self._require(
                    known or behind or "taken" not in order.results,
                    f"{order.name} is lost though acknowledged",
                )


def remembers(versions: ConfigurationVersions, order: RacedOrder) -> bool:
    """Whether a member remembers an order as accepted."""
    return versions._accepted.contains(order.revision, order.digest)


# ---------------------------------------------------------------- random races

SCENARIO_HEADER = """seed {seed}
members m1 m2 m3
gateways g1
instances a
operators o1 o2
at 3 send first 1 on 0 from o1
by 9 expect first taken
"""
FAULTS: tuple[tuple[str, str], ...] = (  # a command that starts the fault and one that ends it
    ("kill leader", "start members"),
    ("isolate leader", "heal"),
    ("freeze leader", "thaw members"),
    ("stall-disk leader", "mend-disk members"),
    ("wipe leader", "start members"),
    ("term leader", "start members"),
    ("wipe m2", "start members"),
    ("cut leader followers", "heal"),
    ("power-off members", "start members"),
)
FAULTY_PATHS_S = 10.0  # part of a round during which responses are lost or late
NORMAL_PATHS = "path members operators 0.001 0.01"
ROUND_S = 20.0  # until all orders of a round must have final responses


class RandomRace:
    """Rounds in which two operators race on one version during a fault; a seed gives one run."""

    def __init__(self, seed: int, rounds: int) -> None:
        self._random = random = Random(seed)
        loss, delay = random.choice((0, 0.2, 0.4)), random.choice((0.01, 0.5, 0.9))
        self._faulty_paths = f"path members operators 0.001 {delay} {loss}"
        self.player = RacesPlayer(SCENARIO_HEADER.format(seed=seed))
        self._rounds = rounds

    def play(self) -> None:
        """Play all rounds; raises `ViolationError`."""
        self.player.play()
        for number in range(self._rounds):
            self._play_round(number)

    def _play_round(self, number: int) -> None:
        random, player = self._random, self.player
        begin, end = random.choice(FAULTS)
        self._later(0.0, self._faulty_paths)
        self._later(FAULTY_PATHS_S, NORMAL_PATHS)
        fault_s = random.uniform(0.0, 0.4)
        self._later(fault_s, begin)
        self._later(fault_s + random.uniform(0.3, 3.0), end)
        names = self._race(number)
        for name in [*names, *random.choices(list(player.orders), k=3)]:
            self._later(random.uniform(0.6, 6.0), f"copy {name}")
        for name in names:
            self._later(random.uniform(1.0, 8.0), f"copy {name}")
        end_at = player.simulator.now + ROUND_S
        player.simulator.run_while(lambda: self._unanswered(names), end_at)
        player._require(not self._unanswered(names), f"an order of round {number} has no final response")
        player.simulator.run_until(end_at)
        self._resend_all(end_at)

    def _race(self, number: int) -> list[str]:
        """Send two orders on the current version, and one on a version that may never exist."""
        random, version = self._random, self._version()
        left, right, early = f"left{number}", f"right{number}", f"early{number}"
        left_revision = version + random.choice((1, 2, 3))
        right_revision = left_revision + random.choice((0, 0, 1))
        self._later(random.uniform(0.0, 0.5), f"send {left} {left_revision} on {version} from o1")
        self._later(random.uniform(0.0, 0.5), f"send {right} {right_revision} on {version} from o2")
        early_revision = right_revision + 2
        self._later(random.uniform(0.0, 0.6), f"send {early} {early_revision} on {left_revision} from o2")
        return [left, right, early]

    def _resend_all(self, now: float) -> None:
        """Send each accepted order again; it must be acknowledged again."""
        player = self.player
        names = [name for name, order in player.orders.items() if order.results == {"taken"}]
        for name in names:
            player.do_again(name)
        player.simulator.run_while(lambda: self._unanswered(names), now + ROUND_S)
        player._require(not self._unanswered(names), "an accepted order is not acknowledged again")

    def _version(self) -> int:
        return max(versions.revision for versions in self.player._versions())

    def _unanswered(self, names: Sequence[str]) -> bool:
        return any(name not in self.player.orders or self.player.orders[name].open for name in names)

    def _later(self, delay: float, command: str) -> None:
        verb, *arguments = command.split()
        method = self.player._method("do", verb)

        def run() -> None:
            with suppress(LookupError):  # there is no leader, or the order was not sent yet
                method(*arguments)

        self.player.simulator.after(delay, run)
