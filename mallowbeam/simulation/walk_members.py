"""Troubles of members that a random walk draws, within the budget of losses; each ends by itself."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.loss_budget import CATCH_UP_S, LossBudget

LONGEST_TROUBLE_S = (0.5, 2.0, 6.0)  # one of them bounds a trouble
TAKEN_WITHIN_S = 0.004  # from an acknowledgement to the loss of power
TIMED_S = (0.005, 0.4)  # from a change's sending to the loss of power
SUCCESSOR_WITHIN_S = 3.0  # from a loss for good to the empty machine
PLANNED_AHEAD_S = (0.5, 6.0)  # from the successor's start to the SIGTERM
SLOWEST_EXIT_S = 10.0  # of a process after SIGTERM
EXIT_LOOK_S = 0.05
PAUSE_OF_ALL_S = 8.0  # between two losses of all members
MEETING_S = (0.0, 0.05)  # before a machine returns, when changes are sent to it
MOST_MEMBERS = 20  # machines that ever were members

Put = Callable[[str, int, bool], None]  # member, how many at once, to it alone
EventTimes = dict[str, float]  # by gateway


class MemberTroubles:
    """Draws troubles and ends them. `put` sends changes that race on one version at one member."""

    def __init__(
        self, player: FleetPlayer, budget: LossBudget, random: Random, put: Put, gateway_events: EventTimes
    ) -> None:
        self.player, self.budget, self._random = player, budget, random
        self._put, self._gateway_events = put, gateway_events
        self._disk_since: dict[str, float] = {}
        self._next_of_all = 0.0
        self._planned = 0  # replacements under way, no more than may be lost at one time
        self.retiring: dict[str, str] = {}  # members that leave for good, and their successors
        self.cut_off: set[str] = set()
        self.drawn: dict[str, int] = {}  # by kind
        self.kinds: dict[str, Callable[[], bool]] = {
            "kill": self._kill,
            "power": self._power,
            "freeze": self._freeze,
            "restart": self._restart,
            "wipe": self._wipe,
            "replace": self._replace,
            "replace-planned": self._replace_planned,
            "cut": self._cut,
            "cut-near": self._cut_near,
            "cut-one-way": self._cut_one_way,
            "cut-both": self._cut_both,
            "cut-seeds": self._cut_seeds,
            "disk": self._disk,
            "taken": self._taken,
            "timed": self._timed,
            "slow": self._slow,
            "all": self._all,
        }

    def draw(self, without: frozenset[str] = frozenset(), kind: str = "") -> None:
        """One trouble of a kind, or of any, if there is a member that may have it."""
        if not kind or kind in without:
            kind = self._random.choice([kind for kind in self.kinds if kind not in without])
        if self.kinds[kind]():
            self.drawn[kind] = self.drawn.get(kind, 0) + 1

    # ------------------------------------------------------------ who, and for how long

    @property
    def now(self) -> float:
        """True seconds."""
        return self.player.simulator.now

    def standing(self) -> list[str]:
        """Members that run, are in no trouble and stay."""
        return [
            name
            for name, member in self.player.members.items()
            if member.live and not self.budget.in_trouble(name) and name not in self.retiring
        ]

    def _aim(self) -> str | None:
        """The leader, the one whose disk has lasted longest, or any."""
        standing = self.standing()
        if not standing:
            return None
        draw = self._random.random()
        if draw < 0.4:
            leader = self.player.world.leader()
            if leader is not None and leader[0] in standing:
                return leader[0]
        if draw < 0.6:
            return min(standing, key=lambda name: self._disk_since.get(name, 0.0))
        return self._random.choice(standing)

    def _struck(self) -> str | None:
        """A member that is in trouble from now on."""
        name = self._aim()
        return name if name is not None and self.budget.begin(name, self.now) else None

    def _for(self, step: Step, longest: float | None = None) -> None:
        """End a trouble later."""
        most = longest if longest is not None else self._random.choice(LONGEST_TROUBLE_S)
        self.player.simulator.after(self._random.uniform(0.1, most), step)

    def _returns(self, name: str) -> None:
        """A member is back; it is sent changes at about that moment."""
        machine = self.player.network.machines[name]
        if name not in self.retiring:
            machine.start()
        self.budget.end(name, self.now)
        self._meet(name)

    def _meet(self, name: str) -> None:
        """One change or two that race, at that member; perhaps to it alone, again and again."""
        count = self._random.choice((0, 0, 1, 2))
        if count:
            hard = self._random.random() < 0.3
            delay = self._random.uniform(*MEETING_S)
            self.player.simulator.after(delay, lambda: self._put(name, count, hard))

    # ------------------------------------------------------------ processes

    def _down(self, end: Callable[[str], None], lose_disk: bool = False) -> bool:
        name = self._struck()
        if name is None:
            return False
        end(name)
        if lose_disk:
            self._empty(name)
        self._for(lambda: self._returns(name))
        return True

    def _empty(self, name: str) -> None:
        self.player.members[name].wipe()
        self._disk_since[name] = self.now

    def _kill(self) -> bool:
        return self._down(lambda name: self.player.do_kill(name))

    def _power(self) -> bool:
        return self._down(lambda name: self.player.do_power_off(name))

    def _wipe(self) -> bool:
        return self._down(lambda name: self.player.do_power_off(name), lose_disk=True)

    def _freeze(self) -> bool:
        name = self._struck()
        if name is None:
            return False
        self.player.do_freeze(name)

        def thaw() -> None:
            self.player.do_thaw(name)
            self._returns(name)

        self._for(thaw)
        return True

    def _restart(self) -> bool:
        """SIGTERM, and started again soon after its end."""
        name = self._struck()
        if name is None:
            return False
        self.player.do_term(name)
        self._when_ended(name, lambda: self._for(lambda: self._returns(name), 2.0))
        return True

    def _when_ended(self, name: str, step: Step, waited: float = 0.0) -> None:
        machine = self.player.network.machines[name]
        if machine.running and waited < SLOWEST_EXIT_S:
            self.player.simulator.after(
                EXIT_LOOK_S, lambda: self._when_ended(name, step, waited + EXIT_LOOK_S)
            )
            return
        machine.power_off()  # as the operator would who waits no longer
        self.budget.disturbed(self.now)
        step()

    def _slow(self) -> bool:
        """A slow process, whose clock may go wrong too."""
        name = self._struck()
        if name is None:
            return False
        machine = self.player.network.machines[name]
        machine.step_cost = self._random.choice((0.001, 0.01))
        machine.set_clock_rate(self._random.choice((0.95, 1.0, 1.05)))

        def end() -> None:
            machine.step_cost = 0.0
            self._returns(name)

        self._for(end)
        return True

    # ------------------------------------------------------------ replacement

    def _successor(self) -> str:
        name = f"m{len(self.player.members) + 1}"
        self.player.turn_over_seeds(self.retiring)
        self.player.do_add(name)
        self._disk_since[name] = self.now
        return name

    def _replace(self) -> bool:
        """One is gone for good, an empty one comes later."""
        if len(self.player.members) >= MOST_MEMBERS:
            return False
        name = self._struck()
        if name is None:
            return False
        self.retiring[name] = ""
        self.player.do_power_off(name)

        def come() -> None:
            self.retiring[name] = self._successor()
            self.budget.end(name, self.now)

        self._for(come, SUCCESSOR_WITHIN_S)
        return True

    def _replace_planned(self) -> bool:
        """The new one first, then SIGTERM to the old one."""
        name = self._aim()
        if name is None or len(self.player.members) >= MOST_MEMBERS or self._planned >= self.budget.tolerance:
            return False
        self._planned += 1
        self.retiring[name] = ""
        successor, since = self._successor(), self.now
        self.retiring[name] = successor
        self.budget.disturbed(self.now)
        ahead = self._random.uniform(*PLANNED_AHEAD_S)
        self.player.simulator.after(ahead, lambda: self._leave(name, since))
        return True

    def _leave(self, name: str, successor_at: float) -> None:
        """SIGTERM to a member whose successor runs; put off while others are lost."""
        is_lost = successor_at + CATCH_UP_S > self.now
        if is_lost and not self.budget.begin(name, self.now):
            self.player.simulator.after(0.5, lambda: self._leave(name, successor_at))
            return
        self.player.do_term(name)
        self.budget.disturbed(self.now)
        self._when_ended(name, lambda: self._left(name, successor_at))

    def _left(self, name: str, successor_at: float) -> None:
        self._planned -= 1
        self.budget.removed(name, self.now, successor_at)

    # ------------------------------------------------------------ cuts

    def _cut_from(self, others: Callable[[str], list[str]], both: bool = True) -> str | None:
        name = self._struck()
        if name is None:
            return None
        peers = [other for other in others(name) if other != name]
        for other in peers:
            self.player.network.cut(name, other, both)
        self.cut_off.add(name)
        self._touch_gateways(peers)
        self._meet(name)

        def heal() -> None:
            for other in peers:
                self.player.network.heal(name, other)
            self.cut_off.discard(name)
            self._touch_gateways(peers)
            self._returns(name)

        self._for(heal)
        return name

    def _touch_gateways(self, names: list[str]) -> None:
        for name in names:
            if name in self.player.gateways:
                self._gateway_events[name] = max(self.now, self._gateway_events.get(name, 0.0))

    def _cut(self) -> bool:
        """From the other members; gateways and callers still reach it."""
        return self._cut_from(lambda _: list(self.player.members)) is not None

    def _cut_near(self) -> bool:
        """From all machines, the operators too."""
        return self._cut_from(lambda _: list(self.player.network.machines)) is not None

    def _cut_one_way(self) -> bool:
        """What it sends reaches no other member."""
        return self._cut_from(lambda _: list(self.player.members), both=False) is not None

    def _cut_both(self) -> bool:
        """The one that is cut off starts again, then the others at once."""
        name = self._cut_from(lambda _: list(self.player.members))
        if name is None:
            return False
        self._again([name])
        if self.now >= self._next_of_all:
            self._next_of_all = self.now + PAUSE_OF_ALL_S
            others = [other for other in self.standing() if other != name]
            self.player.simulator.after(self._random.uniform(0.2, 1.0), lambda: self._again(others))
        return True

    def _again(self, names: list[str]) -> None:
        """Killed and started."""
        for name in names:
            if name not in self.retiring:
                self.player.do_kill(name)
                self.player.do_start(name)
        self.budget.disturbed(self.now)

    def _cut_seeds(self) -> bool:
        """A gateway starts whose seeds are the one that is cut off, first or alone."""
        name = self._cut_from(lambda _: list(self.player.members))
        if name is None:
            return False
        gateway = self.player.gateways[self._random.choice(list(self.player.gateways))]
        machines = self.player.network.machines
        seeds = [machines[name].ip]
        if self._random.random() < 0.5:
            seeds += [machines[other].ip for other in self.standing()]
        gateway.set_seeds(seeds)
        gateway.machine.kill()
        gateway.machine.start()
        self._touch_gateways([gateway.machine.name])
        return True

    # ------------------------------------------------------------ disks and acknowledgements

    def _disk(self) -> bool:
        """Slow, stalled or full."""
        name = self._struck()
        if name is None:
            return False
        trouble = self._random.choice(
            (self.player.do_slow_disk, self.player.do_stall_disk, self.player.do_fill_disk)
        )
        trouble(name)

        def mend() -> None:
            self.player.do_mend_disk(name)
            self._returns(name)

        self._for(mend)
        return True

    def _taken(self) -> bool:
        """Power is lost right after a member has answered a change, perhaps with the disk."""
        name = self._aim()
        if name is None:
            return False
        before = self.player.history.answers
        self._put(name, 1, False)

        def watch(left: int) -> None:
            if self.player.history.answers > before:
                within = self._random.uniform(0.0, TAKEN_WITHIN_S)
                self.player.simulator.after(within, lambda: self._lose_power(name))
            elif left:
                self.player.simulator.after(0.001, lambda: watch(left - 1))

        watch(1000)
        return True

    def _timed(self) -> bool:
        """Power is lost soon after a change was sent."""
        name = self._aim()
        if name is None:
            return False
        self._put(name, 1, False)
        self.player.simulator.after(self._random.uniform(*TIMED_S), lambda: self._lose_power(name))
        return True

    def _lose_power(self, name: str) -> None:
        if name not in self.standing() or not self.budget.begin(name, self.now):
            return
        self.player.do_power_off(name)
        if self._random.random() < 0.4:
            self._empty(name)
        self._for(lambda: self._returns(name))

    # ------------------------------------------------------------ all at once

    def _all(self) -> bool:
        """All members are killed, or lose power, at once; their disks are kept."""
        if self.now < self._next_of_all:
            return False
        self._next_of_all = self.now + PAUSE_OF_ALL_S
        names = self.standing()
        self.budget.begin_all(names, self.now)
        lose = self._random.choice((self.player.do_kill, self.player.do_power_off))
        lose(*names)
        self.player.simulator.after(self._random.uniform(0.1, 2.0), lambda: self._all_return(names))
        return True

    def _all_return(self, names: list[str]) -> None:
        for name in names:
            self._returns(name)
