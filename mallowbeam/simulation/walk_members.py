"""Member faults that a random walk draws within the loss budget; each ends without a further draw."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.loss_budget import CATCH_UP_S, LossBudget

FAULT_DURATIONS_S = (0.5, 2.0, 6.0)  # upper bounds of a fault's duration; each fault draws one
POWER_LOSS_AFTER_ACK_S = 0.004  # longest delay from an acknowledgement to the power loss
POWER_LOSS_AFTER_SUBMIT_S = (0.005, 0.4)  # from the submission of a change to the power loss
LONGEST_REPLACEMENT_DELAY_S = 3.0  # from a permanent loss to the start of the empty replacement
PLANNED_LEAD_S = (0.5, 6.0)  # from the start of the successor to the SIGTERM
SLOWEST_EXIT_S = 10.0  # from SIGTERM until a process is forced off
EXIT_POLL_S = 0.05  # interval between checks for the end of a process
FULL_OUTAGE_INTERVAL_S = 8.0  # minimum time between two faults of all members
RETURN_CHANGE_DELAY_S = (0.0, 0.05)  # from the return of a member until changes are submitted to it
MEMBER_LIMIT = 20  # machines in a walk, including removed members
SHORTEST_FAULT_S = 0.1
SHUTDOWN_RETRY_S = 0.5  # delay between attempts of a planned removal
ACK_POLL_S = 0.001
ACK_POLLS = 1000
LEADER_BOUND = 0.4  # draws below it choose the leader, if it is healthy
OLDEST_DISK_BOUND = 0.6  # other draws below it choose the member with the oldest disk
SINGLE_MEMBER_PROBABILITY = 0.3  # changes go only to one member until it answers
OTHER_SEEDS_PROBABILITY = 0.5
DISK_LOSS_PROBABILITY = 0.4

SubmitChanges = Callable[[str, int, bool], None]  # member, number of changes, only to this member
EventTimes = dict[str, float]  # last event in seconds, by gateway


class MemberFaults:
    """Draws faults and ends them. `put` submits racing changes, based on the same version, at one member."""

    def __init__(
        self,
        player: FleetPlayer,
        budget: LossBudget,
        random: Random,
        put: SubmitChanges,
        gateway_events: EventTimes,
    ) -> None:
        self.player = player
        self.budget = budget
        self._random = random
        self._submit_changes = put
        self._gateway_events = gateway_events
        self._disk_since: dict[str, float] = {}
        self._next_full_outage = 0.0
        self._planned_replacements = 0  # in progress; limited to the tolerance
        self.retiring: dict[str, str] = {}  # successors of members that are being removed permanently
        self.partitioned: set[str] = set()
        self.drawn: dict[str, int] = {}  # by kind
        self.kinds: dict[str, Callable[[], bool]] = {
            "kill": self._kill,
            "power": self._power_off,
            "freeze": self._freeze,
            "restart": self._restart,
            "wipe": self._wipe,
            "replace": self._replace,
            "replace-planned": self._replace_planned,
            "partition": self._partition,
            "partition-from-all": self._partition_from_all,
            "partition-one-way": self._partition_one_way,
            "partition-and-restart": self._partition_and_restart,
            "partition-seeds": self._partition_seeds,
            "disk": self._impair_disk,
            "power-after-ack": self._power_off_after_ack,
            "power-after-submit": self._power_off_after_submit,
            "slow": self._slow_down,
            "all": self._full_outage,
        }

    def draw(self, without: frozenset[str] = frozenset(), kind: str = "") -> None:
        """Inject a fault of the given or a drawn kind, if the loss budget and the fleet's state allow it."""
        if not kind or kind in without:
            kind = self._random.choice([kind for kind in self.kinds if kind not in without])
        if self.kinds[kind]():
            self.drawn[kind] = self.drawn.get(kind, 0) + 1

    # ------------------------------------------------------------ targets and durations

    @property
    def now(self) -> float:
        """Simulated seconds."""
        return self.player.simulator.now

    def healthy_members(self) -> list[str]:
        """Members that run, have no fault and are not being removed."""
        return [
            name
            for name, member in self.player.members.items()
            if member.live and not self.budget.is_lost(name) and name not in self.retiring
        ]

    def _choose_target(self) -> str | None:
        """Choose the leader, the member with the oldest disk, or any healthy member."""
        healthy_members = self.healthy_members()
        if not healthy_members:
            return None
        draw = self._random.random()
        if draw < LEADER_BOUND:
            leader = self.player.world.leader()
            if leader is not None and leader[0] in healthy_members:
                return leader[0]
        if draw < OLDEST_DISK_BOUND:
            return min(healthy_members, key=lambda name: self._disk_since.get(name, 0.0))
        return self._random.choice(healthy_members)

    def _begin_loss(self) -> str | None:
        """Choose a member and mark it as lost; None if the budget allows no further loss."""
        name = self._choose_target()
        return name if name is not None and self.budget.begin(name, self.now) else None

    def _after_random_delay(self, step: Step, longest: float | None = None) -> None:
        """Run a step after a random delay, such as the end of a fault; `longest` in seconds."""
        upper_s = longest if longest is not None else self._random.choice(FAULT_DURATIONS_S)
        self.player.simulator.after(self._random.uniform(SHORTEST_FAULT_S, upper_s), step)

    def _return_member(self, name: str) -> None:
        """Restart a member, unless it is being removed, and submit changes to it at about the same time."""
        machine = self.player.network.machines[name]
        if name not in self.retiring:
            machine.start()
        self.budget.end(name, self.now)
        self._submit_around_return(name)

    def _submit_around_return(self, name: str) -> None:
        """Submit zero to two racing changes at a member; sometimes only to that member until it answers."""
        count = self._random.choice((0, 0, 1, 2))
        if count:
            only = self._random.random() < SINGLE_MEMBER_PROBABILITY
            delay = self._random.uniform(*RETURN_CHANGE_DELAY_S)
            self.player.simulator.after(delay, lambda: self._submit_changes(name, count, only))

    # ------------------------------------------------------------ processes

    def _stop_member(self, end: Callable[[str], None], lose_disk: bool = False) -> bool:
        name = self._begin_loss()
        if name is None:
            return False
        end(name)
        if lose_disk:
            self._erase_disk(name)
        self._after_random_delay(lambda: self._return_member(name))
        return True

    def _erase_disk(self, name: str) -> None:
        self.player.members[name].wipe()
        self._disk_since[name] = self.now

    def _kill(self) -> bool:
        return self._stop_member(lambda name: self.player.do_kill(name))

    def _power_off(self) -> bool:
        return self._stop_member(lambda name: self.player.do_power_off(name))

    def _wipe(self) -> bool:
        return self._stop_member(lambda name: self.player.do_power_off(name), lose_disk=True)

    def _freeze(self) -> bool:
        name = self._begin_loss()
        if name is None:
            return False
        self.player.do_freeze(name)

        def thaw() -> None:
            self.player.do_thaw(name)
            self._return_member(name)

        self._after_random_delay(thaw)
        return True

    def _restart(self) -> bool:
        """Send SIGTERM and restart the member soon after its process has ended."""
        name = self._begin_loss()
        if name is None:
            return False
        self.player.do_terminate(name)
        self._when_ended(name, lambda: self._after_random_delay(lambda: self._return_member(name), 2.0))
        return True

    def _when_ended(self, name: str, step: Step, waited_s: float = 0.0) -> None:
        machine = self.player.network.machines[name]
        if machine.running and waited_s < SLOWEST_EXIT_S:
            self.player.simulator.after(
                EXIT_POLL_S, lambda: self._when_ended(name, step, waited_s + EXIT_POLL_S)
            )
            return
        machine.power_off()  # like an operator who stops waiting
        self.budget.disturbed(self.now)
        step()

    def _slow_down(self) -> bool:
        """Slow a process down and possibly change the rate of its clock."""
        name = self._begin_loss()
        if name is None:
            return False
        machine = self.player.network.machines[name]
        machine.step_cost = self._random.choice((0.001, 0.01))
        machine.set_clock_rate(self._random.choice((0.95, 1.0, 1.05)))

        def end() -> None:
            machine.step_cost = 0.0
            self._return_member(name)

        self._after_random_delay(end)
        return True

    # ------------------------------------------------------------ replacement

    def _add_successor(self) -> str:
        name = f"m{len(self.player.members) + 1}"
        self.player.replace_seeds(self.retiring)
        self.player.do_add(name)
        self._disk_since[name] = self.now
        return name

    def _replace(self) -> bool:
        """Remove a member permanently; its empty replacement starts later."""
        if len(self.player.members) >= MEMBER_LIMIT:
            return False
        name = self._begin_loss()
        if name is None:
            return False
        self.retiring[name] = ""
        self.player.do_power_off(name)

        def add_replacement() -> None:
            self.retiring[name] = self._add_successor()
            self.player.members[name].removed = True
            self.budget.end(name, self.now)

        self._after_random_delay(add_replacement, LONGEST_REPLACEMENT_DELAY_S)
        return True

    def _replace_planned(self) -> bool:
        """Start the replacement first, then send SIGTERM to the old member."""
        name = self._choose_target()
        if (
            name is None
            or len(self.player.members) >= MEMBER_LIMIT
            or self._planned_replacements >= self.budget.tolerance
        ):
            return False
        self._planned_replacements += 1
        self.retiring[name] = ""
        successor, since = self._add_successor(), self.now
        self.retiring[name] = successor
        self.budget.disturbed(self.now)
        lead_s = self._random.uniform(*PLANNED_LEAD_S)
        self.player.simulator.after(lead_s, lambda: self._shut_down(name, since))
        return True

    def _shut_down(self, name: str, successor_at: float) -> None:
        """Send SIGTERM to a member whose successor runs; retried while too many members are lost."""
        counts_as_lost = successor_at + CATCH_UP_S > self.now
        if counts_as_lost and not self.budget.begin(name, self.now):
            self.player.simulator.after(SHUTDOWN_RETRY_S, lambda: self._shut_down(name, successor_at))
            return
        self.player.do_terminate(name)
        self.budget.disturbed(self.now)
        self._when_ended(name, lambda: self._record_removal(name, successor_at))

    def _record_removal(self, name: str, successor_at: float) -> None:
        self._planned_replacements -= 1
        self.player.members[name].removed = True
        self.budget.removed(name, self.now, successor_at)

    # ------------------------------------------------------------ partitions

    def _partition_from(self, others: Callable[[str], list[str]], both: bool = True) -> str | None:
        name = self._begin_loss()
        if name is None:
            return None
        peers = [other for other in others(name) if other != name]
        for other in peers:
            self.player.network.partition(name, other, both)
        self.partitioned.add(name)
        self._record_gateway_event(peers)
        self._submit_around_return(name)

        def heal() -> None:
            for other in peers:
                self.player.network.heal(name, other)
            self.partitioned.discard(name)
            self._record_gateway_event(peers)
            self._return_member(name)

        self._after_random_delay(heal)
        return name

    def _record_gateway_event(self, names: list[str]) -> None:
        for name in names:
            if name in self.player.gateways:
                self._gateway_events[name] = max(self.now, self._gateway_events.get(name, 0.0))

    def _partition(self) -> bool:
        """Partition a member from the others; gateways and clients still reach it."""
        return self._partition_from(lambda _: list(self.player.members)) is not None

    def _partition_from_all(self) -> bool:
        """Partition a member from all machines, including operators."""
        return self._partition_from(lambda _: list(self.player.network.machines)) is not None

    def _partition_one_way(self) -> bool:
        """Drop what a member sends to the others."""
        return self._partition_from(lambda _: list(self.player.members), both=False) is not None

    def _partition_and_restart(self) -> bool:
        """Partition and restart a member, then restart all others at once."""
        name = self._partition_from(lambda _: list(self.player.members))
        if name is None:
            return False
        self._restart_members([name])
        if self.now >= self._next_full_outage:
            self._next_full_outage = self.now + FULL_OUTAGE_INTERVAL_S
            others = [other for other in self.healthy_members() if other != name]
            self.player.simulator.after(self._random.uniform(0.2, 1.0), lambda: self._restart_members(others))
        return True

    def _restart_members(self, names: list[str]) -> None:
        """Kill and restart members."""
        for name in names:
            if name not in self.retiring:
                self.player.do_kill(name)
                self.player.do_start(name)
        self.budget.disturbed(self.now)

    def _partition_seeds(self) -> bool:
        """Partition a member and restart a gateway whose first or only seed it is."""
        name = self._partition_from(lambda _: list(self.player.members))
        if name is None:
            return False
        gateway = self.player.gateways[self._random.choice(list(self.player.gateways))]
        machines = self.player.network.machines
        seeds = [machines[name].ip]
        if self._random.random() < OTHER_SEEDS_PROBABILITY:
            seeds += [machines[other].ip for other in self.healthy_members()]
        gateway.set_seeds(seeds)
        gateway.machine.kill()
        gateway.machine.start()
        self._record_gateway_event([gateway.machine.name])
        return True

    # ------------------------------------------------------------ disks and acknowledgements

    def _impair_disk(self) -> bool:
        """Make a member's disk slow, stalled or full."""
        name = self._begin_loss()
        if name is None:
            return False
        fault = self._random.choice(
            (self.player.do_slow_disk, self.player.do_stall_disk, self.player.do_fill_disk)
        )
        fault(name)

        def repair() -> None:
            self.player.do_repair_disk(name)
            self._return_member(name)

        self._after_random_delay(repair)
        return True

    def _power_off_after_ack(self) -> bool:
        """Turn a member off right after it answered a change; its disk may be lost too."""
        name = self._choose_target()
        if name is None:
            return False
        before = self.player.history.answers
        self._submit_changes(name, 1, False)

        def poll(polls_left: int) -> None:
            if self.player.history.answers > before:
                delay_s = self._random.uniform(0.0, POWER_LOSS_AFTER_ACK_S)
                self.player.simulator.after(delay_s, lambda: self._lose_power(name))
            elif polls_left:
                self.player.simulator.after(ACK_POLL_S, lambda: poll(polls_left - 1))

        poll(ACK_POLLS)
        return True

    def _power_off_after_submit(self) -> bool:
        """Turn a member off soon after a change was submitted to it."""
        name = self._choose_target()
        if name is None:
            return False
        self._submit_changes(name, 1, False)
        self.player.simulator.after(
            self._random.uniform(*POWER_LOSS_AFTER_SUBMIT_S), lambda: self._lose_power(name)
        )
        return True

    def _lose_power(self, name: str) -> None:
        if name not in self.healthy_members() or not self.budget.begin(name, self.now):
            return
        self.player.do_power_off(name)
        if self._random.random() < DISK_LOSS_PROBABILITY:
            self._erase_disk(name)
        self._after_random_delay(lambda: self._return_member(name))

    # ------------------------------------------------------------ all members

    def _full_outage(self) -> bool:
        """Kill all members, or turn them off, at once; their disks are intact."""
        if self.now < self._next_full_outage:
            return False
        self._next_full_outage = self.now + FULL_OUTAGE_INTERVAL_S
        names = self.healthy_members()
        self.budget.begin_all(names, self.now)
        stop = self._random.choice((self.player.do_kill, self.player.do_power_off))
        stop(*names)
        self.player.simulator.after(self._random.uniform(0.1, 2.0), lambda: self._return_members(names))
        return True

    def _return_members(self, names: list[str]) -> None:
        for name in names:
            self._return_member(name)
