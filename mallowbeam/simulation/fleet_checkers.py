"""Checkers of the whole fleet, one class per guarantee, run every :data:`CHECK_INTERVAL_S` seconds.

The guarantees of :data:`ALWAYS` hold under any fault. Those of :data:`WITHIN_TOLERANCE` hold while no more
members are lost than the fault model allows; these checkers need its loss budget. What clients observe is
checked by :mod:`mallowbeam.simulation.fleet_history`. Guarantees are numbered as in
``docs/control-guarantees.md``.
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

CHECK_INTERVAL_S = 0.05  # between two runs of all checkers
STALENESS_BOUND_S = 3.0  # maximum staleness of the first configuration of a started gateway
PROPAGATION_BOUND_S = 2.0  # from an acknowledgement until all connected gateways have it
CONTACT_S = 3.0  # time without an event after which a gateway must be connected
ELECTION_BOUND_S = 2.5  # from an event until a leader with a reachable majority exists
REPAIR_BOUND_S = 3.0  # from a repair until the fleet survives a further loss within the tolerance
CATCH_UP_BOUND_S = 4.0  # from an event until all members have applied earlier commits
COMMIT_AGE_S = 1.0  # age from which all members must have a commit


@dataclass(slots=True)
class World:
    """State of the fleet that checkers read."""

    network: Network
    members: dict[str, SimulatedMember]
    gateways: dict[str, SimulatedGateway]
    history: History
    target_size: Callable[[], int]  # number of members that the fleet should have

    @property
    def now(self) -> float:
        """Simulated seconds."""
        return self.network.simulator.now

    def live(self) -> Iterator[tuple[str, SimulatedMember, RaftNode]]:
        """Members whose program runs and is not frozen, with their names and Raft nodes."""
        for name, member in self.members.items():
            if member.live and member.program is not None:
                yield name, member, member.program.parts.driver.node

    def identity(self, name: str) -> int:
        """Raft id of a member; 0 before its first start."""
        replica = self.members[name].replica
        return replica.identity if replica is not None else 0

    def reaches(self, name: str) -> set[int]:
        """Ids of the running members that can exchange messages with a member, including itself."""
        passes = self.network.passes
        return {
            self.identity(other)
            for other, _, _ in self.live()
            if other == name or (passes(name, other) and passes(other, name))
        }

    def leader(self) -> tuple[str, RaftNode] | None:
        """Name and Raft node of the leader with the newest term; None without a leader."""
        leaders = [
            (name, node)
            for name, member, node in self.live()
            if member.program is not None and member.program.parts.driver.is_leader
        ]
        return max(leaders, key=lambda found: found[1].term, default=None)


class Checker(Protocol):
    """Checks one guarantee."""

    def check(self, world: World) -> str:
        """Return the text of a violation, or an empty string."""


def majority_of(count: int) -> int:
    """Size of a majority; independent of the program's own function, which is under test."""
    return count // 2 + 1


def voter_sets(membership: Membership) -> list[frozenset[int]]:
    """The voter sets that each need a majority: one, or two during a joint membership change."""
    sets = [frozenset(member.id for member in membership.members if member.voter)]
    if membership.outgoing_voters:
        sets.append(frozenset(membership.outgoing_voters))
    return sets


def committed_membership(node: RaftNode) -> Membership:
    """The membership at a member's commit index."""
    memberships = node._state.log.memberships
    try:
        return memberships.at(node.commit_index)
    except StopIteration:
        return memberships.current.membership


# ------------------------------------------------------------ under any fault


class VoterCountChecker:
    """Guarantee 3: no committed membership has more voters than its target size."""

    def check(self, world: World) -> str:
        """Check each member's committed membership."""
        for name, _, node in world.live():
            membership = committed_membership(node)
            voters = voter_sets(membership)
            if len(voters[0]) > membership.target_voters:
                return f"3: {name}: {len(voters[0])} voters for {membership.target_voters} places"
            if membership.target_voters > world.target_size():
                return f"3: {name}: {membership.target_voters} places for {world.target_size()} members"
            if len(voters) > 1 and len(voters[1]) > membership.target_voters:
                return f"3: {name}: {len(voters[1])} outgoing voters for {membership.target_voters} places"
        return ""


class LeaderLogChecker:
    """Guarantee 4: a leader's log contains all entries committed in earlier terms."""

    def __init__(self) -> None:
        self._committed = 0  # highest commit index observed
        self._committed_term = 0  # term of the entry at that index
        self._leaders: set[tuple[str, int]] = set()

    def check(self, world: World) -> str:
        """Check each leader once, at the first check in its term."""
        for name, member, node in world.live():
            leads = member.program is not None and member.program.parts.driver.is_leader
            if leads and (name, node.term) not in self._leaders:
                self._leaders.add((name, node.term))
                last = node._state.log.last_index
                if node.term > self._committed_term and last < self._committed:
                    return (
                        f"4: {name} leads term {node.term} with entries up to {last}, "
                        f"{self._committed} were committed"
                    )
        for _, _, node in world.live():
            if node.commit_index > self._committed:
                self._committed = node.commit_index
                self._committed_term = node._state.log.term_at(node.commit_index) or node.term
        return ""


class FreshGatewayChecker:
    """Guarantee 1: a gateway that has started does not serve with an old configuration.

    Checks its first configuration and the one with which it becomes ready. A gateway that was frozen recently
    is exempt, because it first applies the updates that it received before.
    """

    def __init__(self) -> None:
        self._last_state: dict[str, tuple[int, bool, bool]] = {}  # incarnation, any configuration, ready

    def check(self, world: World) -> str:
        """Check gateways that got their first configuration, or became ready, since the last check."""
        for name, gateway in world.gateways.items():
            if not gateway.machine.running:
                continue
            now = gateway.machine.incarnation, gateway.revision > 0, gateway.ready
            before = self._last_state.get(name)
            self._last_state[name] = now
            if before is None or before[0] != now[0]:
                before = now[0], False, False
            newest = world.history.newest_acknowledged(world.now - STALENESS_BOUND_S)
            frozen = world.now - gateway.thawed_at < STALENESS_BOUND_S
            if now != before and not frozen and gateway.revision < newest:
                what = "is given" if now[1] != before[1] else "becomes ready with"
                return (
                    f"1: {name} {what} {gateway.revision} first, {newest} was acknowledged over "
                    f"{STALENESS_BOUND_S} s ago"
                )
        return ""


class MajorityReachMonitor:
    """Records since when each member has had no reachable majority, for the checks of its answers.

    A majority also counts as reachable if the member reaches another member that reaches a majority.
    """

    def check(self, world: World) -> str:
        """Update `unreachable_since` of each running member; never a violation."""
        connected = {
            world.identity(name)
            for name, _, node in world.live()
            if self._reaches_majority(world, name, node)
        }
        for name, member, _ in world.live():
            if world.reaches(name) & connected:
                member.unreachable_since = None
            elif member.unreachable_since is None:
                member.unreachable_since = world.now
        return ""

    def _reaches_majority(self, world: World, name: str, node: RaftNode) -> bool:
        """Whether a member reaches a majority directly; False while it has no membership."""
        reached = world.reaches(name)
        return all(
            len(reached & voters) >= majority_of(len(voters)) for voters in voter_sets(node.membership)
        )


# ------------------------------------------------------------ within the fault tolerance


class LeadershipChecker:
    """Guarantee 3: after any loss within the tolerance, a leader of a majority exists in time."""

    def __init__(self, budget: LossBudget) -> None:
        self._budget = budget

    def check(self, world: World) -> str:
        """Check once :data:`ELECTION_BOUND_S` have passed without an event."""
        budget = self._budget
        elapsed = budget.time_since_event(world.now)
        if elapsed < ELECTION_BOUND_S or len(budget.active) > budget.tolerance:
            return ""
        leader = world.leader()
        lost = ", ".join(sorted(budget.active)) or "nobody"
        if leader is None:
            return f"3: nobody leads {elapsed:.1f} s after the last event ({lost} lost)"
        name, node = leader
        reached = world.reaches(name)
        for voters in voter_sets(node.membership):
            if len(reached & voters) < majority_of(len(voters)):
                return (
                    f"3: {name} reaches {len(reached & voters)} of {len(voters)} voters "
                    f"{elapsed:.1f} s after the last event ({lost} lost)"
                )
        return ""


class RepairChecker:
    """Guarantee 3: within a bound after each repair, the fleet survives a further tolerated loss."""

    def __init__(self, budget: LossBudget) -> None:
        self._budget = budget

    def check(self, world: World) -> str:
        """Check the newest leader's membership once :data:`REPAIR_BOUND_S` have passed without an event."""
        budget = self._budget
        further = budget.tolerance - len(budget.active)
        leader = world.leader()
        if budget.time_since_event(world.now) < REPAIR_BOUND_S or further < 0 or leader is None:
            return ""
        healthy = {world.identity(name) for name, _, _ in world.live() if name not in budget.active}
        for voters in voter_sets(leader[1].membership):
            count = len(voters & healthy)
            if count - further < majority_of(len(voters)):
                return (
                    f"3: {budget.time_since_event(world.now):.1f} s after the last event "
                    f"{count} of {len(voters)} voters are sound, {further} more may be lost"
                )
        return ""


class CatchUpChecker:
    """Guarantee 4: every running member has all commits within a bound."""

    def __init__(self, budget: LossBudget) -> None:
        self._budget = budget
        self._committed: deque[tuple[float, int]] = deque()

    def check(self, world: World) -> str:
        """Check members without faults once :data:`CATCH_UP_BOUND_S` have passed without an event."""
        nodes = [(name, node) for name, _, node in world.live()]
        newest = max((node.commit_index for _, node in nodes), default=0)
        self._committed.append((world.now, newest))
        while len(self._committed) > 1 and self._committed[1][0] <= world.now - COMMIT_AGE_S:
            self._committed.popleft()
        if self._budget.time_since_event(world.now) < CATCH_UP_BOUND_S:
            return ""
        at, wanted = self._committed[0]
        for name, node in nodes:
            if name not in self._budget.active and node.commit_index < wanted:
                return (
                    f"4: {name} has committed {node.commit_index}, {wanted} was {world.now - at:.1f} s "
                    f"ago; the last event is {self._budget.time_since_event(world.now):.1f} s past"
                )
        return ""


class GatewayConvergenceChecker:
    """Guarantee 5: connected gateways apply each acknowledged change, drain and deletion within a bound."""

    def __init__(self, budget: LossBudget, gateway_events: dict[str, float]) -> None:
        """`gateway_events`: time of the last event per gateway; infinity while its fault lasts."""
        self._budget = budget
        self._gateway_events = gateway_events

    def check(self, world: World) -> str:
        """Check gateways that have been connected for :data:`CONTACT_S`."""
        if (
            self._budget.time_since_event(world.now) < CONTACT_S
            or len(self._budget.active) > self._budget.tolerance
        ):
            return ""
        due = world.now - PROPAGATION_BOUND_S
        newest = world.history.newest_acknowledged(due)
        retired = [id for id, at in world.history.retired.items() if at <= due]
        for name, gateway in world.gateways.items():
            if not self._is_connected(world, name, gateway):
                continue
            if gateway.revision < newest:
                return (
                    f"5: {name} has {gateway.revision}, {newest} was acknowledged {PROPAGATION_BOUND_S} s ago"
                )
            for id in retired:
                if gateway.instance_state(id) == "ready":
                    return (
                        f"5: {name} holds {id} for ready {PROPAGATION_BOUND_S} s "
                        "after its end was acknowledged"
                    )
        return ""

    def _is_connected(self, world: World, name: str, gateway: SimulatedGateway) -> bool:
        if not gateway.machine.running or world.now - self._gateway_events.get(name, 0.0) < CONTACT_S:
            return False
        passes = world.network.passes
        return all(
            passes(name, member) and passes(member, name)
            for member in world.members
            if member not in self._budget.active
        )


ALWAYS = (MajorityReachMonitor, VoterCountChecker, LeaderLogChecker, FreshGatewayChecker)
WITHIN_TOLERANCE = (LeadershipChecker, RepairChecker, CatchUpChecker)
