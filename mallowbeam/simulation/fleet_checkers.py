"""Checkers of the whole fleet, one class for each guarantee; they look at its state at short intervals.

Those of :data:`ALWAYS` hold under any disruption. Those of :data:`WITHIN_TOLERANCE` hold while no more
members are lost than the fault model allows; they need its budget. What callers see is judged by
:mod:`mallowbeam.simulation.fleet_history`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from mallowbeam.router.consensus.node import RaftNode
from mallowbeam.router.rpc.messages_pb2 import Membership
from mallowbeam.simulation.fleet_history import History
from mallowbeam.simulation.fleet_processes import SimulatedGateway, SimulatedMember
from mallowbeam.simulation.loss_budget import LossBudget
from mallowbeam.simulation.network import Network

LOOK_S = 0.05  # between two looks
FRESH_BOUND_S = 3.0  # a configuration that a started gateway is given first is at most so old
SPREAD_BOUND_S = 2.0  # from an acknowledgement until all gateways in touch know
CONTACT_S = 3.0  # without an event, after which a gateway is in touch
LEADER_WITHIN_S = 2.5  # from an event until a leader leads a majority
REPAIRED_WITHIN_S = 3.0  # from a repair until a further loss within the tolerance is survived
CAUGHT_UP_WITHIN_S = 4.0  # from an event until all members have what was committed before
COMMIT_AGE_S = 1.0  # what was committed so long ago is expected at all members


@dataclass(slots=True)
class World:
    """The fleet as checkers see it."""

    network: Network
    members: dict[str, SimulatedMember]
    gateways: dict[str, SimulatedGateway]
    history: History
    places: Callable[[], int]  # members that the system is meant to have

    @property
    def now(self) -> float:
        """True seconds."""
        return self.network.simulator.now

    def live(self) -> Iterator[tuple[str, SimulatedMember, RaftNode]]:
        """Members whose program runs, not those that are frozen."""
        for name, member in self.members.items():
            if member.live and member.program is not None:
                yield name, member, member.program.parts.driver.node

    def identity(self, name: str) -> int:
        """The id under which a member is known; 0 before its first start."""
        replica = self.members[name].replica
        return replica.identity if replica is not None else 0

    def reaches(self, name: str) -> set[int]:
        """Ids of running members that exchange messages with one, and its own."""
        passes = self.network.passes
        return {
            self.identity(other)
            for other, _, _ in self.live()
            if other == name or (passes(name, other) and passes(other, name))
        }

    def leader(self) -> tuple[str, RaftNode] | None:
        """The leader of the newest term."""
        leaders = [
            (name, node)
            for name, member, node in self.live()
            if member.program is not None and member.program.parts.driver.is_leader
        ]
        return max(leaders, key=lambda found: found[1].term, default=None)


class Checker(Protocol):
    """Looks at the world; the text of what does not hold, or an empty one."""

    def look(self, world: World) -> str:
        """One look."""


def majority_of(count: int) -> int:
    """The least number that is more than half; not the program's own, which is judged here."""
    return count // 2 + 1


def voter_sets(membership: Membership) -> list[frozenset[int]]:
    """The sets of which a majority each is needed: one, or two within a joint change."""
    sets = [frozenset(member.id for member in membership.members if member.voter)]
    if membership.outgoing_voters:
        sets.append(frozenset(membership.outgoing_voters))
    return sets


def committed_membership(node: RaftNode) -> Membership:
    """The membership in force at a member's commit index."""
    memberships = node._state.log.memberships
    try:
        return memberships.at(node.commit_index)
    except StopIteration:
        return memberships.current.membership


# ------------------------------------------------------------ at all times


class PlacesChecker:
    """Guarantee 3: no committed membership has more voters than places."""

    def __init__(self) -> None:
        self._seen: set[int] = set()  # memberships looked at, by object

    def look(self, world: World) -> str:
        """Judge each member's committed membership."""
        for name, _, node in world.live():
            membership = committed_membership(node)
            voters = voter_sets(membership)
            if len(voters[0]) > membership.target_voters:
                return f"3: {name}: {len(voters[0])} voters for {membership.target_voters} places"
            if membership.target_voters > world.places():
                return f"3: {name}: {membership.target_voters} places for {world.places()} members"
            if len(voters) > 1 and len(voters[1]) > membership.target_voters:
                return f"3: {name}: {len(voters[1])} outgoing voters for {membership.target_voters} places"
        return ""


class LeaderLogChecker:
    """Guarantee 4: a leader's log has all that was committed before its term."""

    def __init__(self) -> None:
        self._committed = 0  # the highest commit index seen
        self._term = 0  # of the entry there
        self._leaders: set[tuple[str, int]] = set()

    def look(self, world: World) -> str:
        """Judge leaders at the first look at their term."""
        for name, member, node in world.live():
            leads = member.program is not None and member.program.parts.driver.is_leader
            if leads and (name, node.term) not in self._leaders:
                self._leaders.add((name, node.term))
                last = node._state.log.last_index
                if node.term > self._term and last < self._committed:
                    return (
                        f"4: {name} leads term {node.term} with entries up to {last}, "
                        f"{self._committed} were committed"
                    )
        for _, _, node in world.live():
            if node.commit_index > self._committed:
                self._committed = node.commit_index
                self._term = node._state.log.term_at(node.commit_index) or node.term
        return ""


class FreshGatewayChecker:
    """Guarantee 1: a gateway that has started serves by no old configuration.

    Judged are its first configuration and the one with which it becomes ready.
    Not judged at one that was frozen meanwhile: it takes first what came in before.
    """

    def __init__(self) -> None:
        self._had: dict[str, tuple[int, bool, bool]] = {}  # incarnation, any configuration, ready

    def look(self, world: World) -> str:
        """Judge gateways that have their first configuration, or are ready, since the last look."""
        for name, gateway in world.gateways.items():
            if not gateway.machine.running:
                continue
            now = gateway.machine.incarnation, gateway.revision > 0, gateway.ready
            before = self._had.get(name)
            self._had[name] = now
            if before is None or before[0] != now[0]:
                before = now[0], False, False
            newest = world.history.newest_acknowledged(world.now - FRESH_BOUND_S)
            frozen = world.now - gateway.thawed_at < FRESH_BOUND_S
            if now != before and not frozen and gateway.revision < newest:
                what = "is given" if now[1] != before[1] else "becomes ready with"
                return (
                    f"1: {name} {what} {gateway.revision} first, {newest} was acknowledged over "
                    f"{FRESH_BOUND_S} s ago"
                )
        return ""


class ReachWatch:
    """Notes since when a member has had no majority in reach, for the judgement of its answers.

    A majority is in reach through another member too: through a leader that reaches it.
    """

    def look(self, world: World) -> str:
        """Note it at each running member."""
        connected = {
            world.identity(name) for name, _, node in world.live() if self._direct(world, name, node)
        }
        for name, member, _ in world.live():
            if world.reaches(name) & connected:
                member.unreachable_since = None
            elif member.unreachable_since is None:
                member.unreachable_since = world.now
        return ""

    def _direct(self, world: World, name: str, node: RaftNode) -> bool:
        """Whether a member reaches a majority itself; one that knows no membership yet does not."""
        reached = world.reaches(name)
        return all(
            len(reached & voters) >= majority_of(len(voters)) for voters in voter_sets(node.membership)
        )


# ------------------------------------------------------------ within the tolerance


class LeadershipChecker:
    """Guarantee 3: after any loss within the tolerance, a leader soon leads a majority again."""

    def __init__(self, budget: LossBudget) -> None:
        self._budget = budget

    def look(self, world: World) -> str:
        """Judge it when there was no event for long enough."""
        budget = self._budget
        if budget.calm_for(world.now) < LEADER_WITHIN_S or len(budget.active) > budget.tolerance:
            return ""
        leader = world.leader()
        lost = ", ".join(sorted(budget.active)) or "nobody"
        if leader is None:
            return f"3: nobody leads {budget.calm_for(world.now):.1f} s after the last event ({lost} lost)"
        name, node = leader
        reached = world.reaches(name)
        for voters in voter_sets(node.membership):
            if len(reached & voters) < majority_of(len(voters)):
                return (
                    f"3: {name} reaches {len(reached & voters)} of {len(voters)} voters "
                    f"{budget.calm_for(world.now):.1f} s after the last event ({lost} lost)"
                )
        return ""


class RepairChecker:
    """Guarantee 3: soon after each repair, every further loss within the tolerance is survived."""

    def __init__(self, budget: LossBudget) -> None:
        self._budget = budget

    def look(self, world: World) -> str:
        """Judge the newest leader's membership when there was no event for long enough."""
        budget = self._budget
        further = budget.tolerance - len(budget.active)
        leader = world.leader()
        if budget.calm_for(world.now) < REPAIRED_WITHIN_S or further < 0 or leader is None:
            return ""
        sound = {world.identity(name) for name, _, _ in world.live() if name not in budget.active}
        for voters in voter_sets(leader[1].membership):
            count = len(voters & sound)
            if count - further < majority_of(len(voters)):
                return (
                    f"3: {budget.calm_for(world.now):.1f} s after the last event "
                    f"{count} of {len(voters)} voters are sound, {further} more may be lost"
                )
        return ""


class CatchUpChecker:
    """Guarantee 4: every running member soon has what was committed."""

    def __init__(self, budget: LossBudget) -> None:
        self._budget = budget
        self._committed: deque[tuple[float, int]] = deque()

    def look(self, world: World) -> str:
        """Judge members in no trouble when there was no event for long enough."""
        nodes = [(name, node) for name, _, node in world.live()]
        newest = max((node.commit_index for _, node in nodes), default=0)
        self._committed.append((world.now, newest))
        while len(self._committed) > 1 and self._committed[1][0] <= world.now - COMMIT_AGE_S:
            self._committed.popleft()
        if self._budget.calm_for(world.now) < CAUGHT_UP_WITHIN_S:
            return ""
        at, wanted = self._committed[0]
        for name, node in nodes:
            if name not in self._budget.active and node.commit_index < wanted:
                return (
                    f"4: {name} has committed {node.commit_index}, {wanted} was {world.now - at:.1f} s "
                    f"ago; the last event is {self._budget.calm_for(world.now):.1f} s past"
                )
        return ""


class InTouchChecker:
    """Guarantee 5: gateways in touch soon know each acknowledged change, drain and end."""

    def __init__(self, budget: LossBudget, gateway_events: dict[str, float]) -> None:
        """`gateway_events`: when something last happened to a gateway, or infinity while it does."""
        self._budget, self._events = budget, gateway_events

    def look(self, world: World) -> str:
        """Judge gateways that have been in touch for long enough."""
        if self._budget.calm_for(world.now) < CONTACT_S or len(self._budget.active) > self._budget.tolerance:
            return ""
        due = world.now - SPREAD_BOUND_S
        newest = world.history.newest_acknowledged(due)
        retired = [id for id, at in world.history.retired.items() if at <= due]
        for name, gateway in world.gateways.items():
            if not self._in_touch(world, name, gateway):
                continue
            if gateway.revision < newest:
                return f"5: {name} has {gateway.revision}, {newest} was acknowledged {SPREAD_BOUND_S} s ago"
            for id in retired:
                if gateway.instance_state(id) == "ready":
                    return f"5: {name} holds {id} for ready {SPREAD_BOUND_S} s after its end was acknowledged"
        return ""

    def _in_touch(self, world: World, name: str, gateway: SimulatedGateway) -> bool:
        if not gateway.machine.running or world.now - self._events.get(name, 0.0) < CONTACT_S:
            return False
        passes = world.network.passes
        return all(
            passes(name, member) and passes(member, name)
            for member in world.members
            if member not in self._budget.active
        )


ALWAYS = (ReachWatch, PlacesChecker, LeaderLogChecker, FreshGatewayChecker)
WITHIN_TOLERANCE = (LeadershipChecker, RepairChecker, CatchUpChecker)
