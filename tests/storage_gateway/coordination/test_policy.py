"""The fleet's policy: the core against a model log, the checkers on wrong histories, whole processes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.lab.faults.fleet import LEASE, Fleet
from mallowbeam.lab.faults.history import Fault, History, Pushed, Seen, check
from mallowbeam.storage_gateway.coordination.policy import (
    MAX_PENDING_HEARTBEATS,
    ApplyPolicy,
    Phase,
    PhaseChanged,
    PolicyCore,
    PolicyVersion,
    ProposeHeartbeat,
    VersionOrderError,
)
from mallowbeam.storage_gateway.coordination.service import lock_folder
from mallowbeam.storage_gateway.server.config import GatewayConfigError

ONE, TWO = '{"drains":["n0"]}', '{"drains":["n1"]}'


def core(**changes) -> PolicyCore:
    return PolicyCore(**({"lease": 1.0, "heartbeat_interval": 0.2} | changes))


# --- the core -------------------------------------------------------------------------------------


def test_nothing_is_served_or_applied_until_a_heartbeat_is_committed():
    """Guards a restart: what the log told so far may be old, and a newer change may be on its way."""
    policy = core()
    assert policy.tick(10.0) == [ProposeHeartbeat(1)] and not policy.serves(10.0)
    assert policy.committed(PolicyVersion(1, ONE)) == [] and policy.committed(PolicyVersion(2, TWO)) == []
    assert policy.in_force == PolicyVersion() and not policy.serves(10.1)
    assert policy.heartbeat_committed(1, 10.1) == [
        ApplyPolicy(PolicyVersion(2, TWO), PolicyVersion()),
        PhaseChanged(Phase.CURRENT),
    ]
    assert policy.serves(10.1)


def test_the_lease_runs_from_the_proposal_of_the_heartbeat():
    """Guards against a late answer: that the log spoke at 10.9 proves what it held at 10.0 and no more."""
    policy = core()
    policy.tick(10.0)
    policy.heartbeat_committed(1, 10.9)
    assert policy.serves(11.0) and not policy.serves(11.001)


def test_a_heartbeat_committed_after_its_lease_lets_nobody_serve():
    policy = core()
    policy.tick(10.0)
    assert (
        policy.heartbeat_committed(1, 11.1) == []
        and policy.phase is Phase.LEARNING
        and not policy.serves(11.1)
    )


def test_a_stopped_process_does_not_serve_before_its_first_tick():
    """Guards against SIGSTOP: its phase says current until a tick, and what came meanwhile is read first."""
    policy = core()
    policy.tick(10.0)
    policy.heartbeat_committed(1, 10.05)
    assert policy.phase is Phase.CURRENT and not policy.serves(60.0)
    assert PhaseChanged(Phase.STALE) in policy.tick(60.0) and policy.in_force == PolicyVersion()


@pytest.mark.parametrize("refuses", [True, False])
def test_a_stale_gateway_keeps_the_last_policy_and_serves_only_if_configured_to(refuses):
    policy = core(rejects_when_stale=refuses)
    policy.tick(10.0)
    policy.committed(PolicyVersion(1, ONE))
    policy.heartbeat_committed(1, 10.0)
    policy.tick(20.0)
    assert policy.phase is Phase.STALE and policy.in_force == PolicyVersion(1, ONE)
    assert policy.serves(20.0) is not refuses


def test_heartbeats_of_another_incarnation_and_older_ones_renew_nothing():
    policy = core()
    for n in range(3):
        policy.tick(10.0 + n)
    assert policy.heartbeat_committed(99, 12.0) == []
    policy.heartbeat_committed(3, 12.1)
    assert (
        policy.renewed_at == 12.0 and policy.heartbeat_committed(1, 12.2) == [] and policy.renewed_at == 12.0
    )


def test_pending_heartbeats_are_bounded():
    policy = core()
    for n in range(10 * MAX_PENDING_HEARTBEATS):
        policy.tick(float(n))
    assert len(policy.pending_heartbeats) == MAX_PENDING_HEARTBEATS


@pytest.mark.parametrize("change", [PolicyVersion(1, ONE), PolicyVersion(2, ONE)])
def test_a_log_that_goes_back_or_names_two_policies_alike_is_refused(change):
    policy = core()
    policy.tick(0.0)
    policy.heartbeat_committed(1, 0.0)
    policy.committed(PolicyVersion(2, TWO))
    with pytest.raises(VersionOrderError):
        policy.committed(change)
    assert policy.in_force == PolicyVersion(2, TWO)


class Model:
    """One log, and gateways that hear of it late, in order, or from the start after a restart."""

    def __init__(self, seed: int, make: Callable[..., PolicyCore], size: int = 4) -> None:
        self.draw, self.make, self.now = random.Random(seed), make, 0.0
        self.log: list[tuple[str, int, int]] = []  # a change, or a gateway's mark by life and number
        self.cores = [make(lease=1.0, heartbeat_interval=0.2) for _ in range(size)]
        self.heard, self.lives = [0] * size, [0] * size
        self.history, self.version = History(), 0

    def step(self) -> None:
        self.now += self.draw.random() * 0.15
        n = self.draw.randrange(len(self.cores))
        what = self.draw.choices(("tick", "hear", "push", "restart", "sleep"), (8, 8, 1, 0.3, 0.2))[0]
        if what == "tick":
            for action in self.cores[n].tick(self.now):
                if (
                    isinstance(action, ProposeHeartbeat) and self.draw.random() < 0.8
                ):  # else there was no leader
                    self.log.append((f"{n} {self.lives[n]}", action.number, 0))
        elif what == "hear":
            for whose, number, version in self.log[self.heard[n] : self.heard[n] + self.draw.randint(1, 30)]:
                self.heard[n] += 1
                if not whose:
                    self.cores[n].committed(PolicyVersion(version, f'{{"drains":["n{version}"]}}'))
                elif whose == f"{n} {self.lives[n]}":
                    self.cores[n].heartbeat_committed(number, self.now)
        elif what == "push":
            self.version += 1
            self.log.append(("", 0, self.version))
            body = f'{{"drains":["n{self.version}"]}}'
            self.history.add(Pushed(self.now, self.now, "g", self.version - 1, body, self.version, ""))
        elif what == "restart":
            self.cores[n], self.heard[n] = self.make(lease=1.0, heartbeat_interval=0.2), 0
            self.lives[n] += 1
        else:
            self.now += 2.0
        for i, policy in enumerate(self.cores):
            self.history.add(
                Seen(
                    self.now,
                    self.now,
                    f"g{i}",
                    policy.phase.value,
                    policy.serves(self.now),
                    policy.in_force.version,
                    policy.in_force.body,
                )
            )

    def wrong(self) -> list[str]:
        return [line for line in check(self.history, set(), 1.0) if "at the end" not in line]


@given(st.integers(0, 10_000))
def test_the_core_keeps_to_the_log_whatever_the_order_of_events(seed):
    model = Model(seed, PolicyCore)
    for _ in range(300):
        model.step()
    assert model.wrong() == []


class NeverStale(PolicyCore):
    """Broken on purpose: it serves without end once it has learned."""

    def serves(self, now: float) -> bool:
        return self.phase is not Phase.LEARNING


class Hasty(PolicyCore):
    """Broken on purpose: it serves from its start, under whatever the log has told so far."""

    def serves(self, now: float) -> bool:
        return True


class FromWhenHeard(PolicyCore):
    """Broken on purpose: its lease runs from when a mark came back."""

    def heartbeat_committed(self, number: int, now: float) -> list:
        if number in self.pending_heartbeats:
            self.pending_heartbeats[number] = now
        return super().heartbeat_committed(number, now)


@pytest.mark.parametrize("broken", [NeverStale, Hasty, FromWhenHeard])
def test_the_checkers_catch_a_broken_core(broken):
    found = []
    for seed in range(40):
        model = Model(seed, broken)
        for _ in range(300):
            model.step()
        found += model.wrong()
    assert found


# --- the checkers ---------------------------------------------------------------------------------


def seen(at: float, name: str, version: int, body: str, serves: bool = True) -> Seen:
    return Seen(at, at, name, "current", serves, version, body)


TOLD = Pushed(1.0, 0.9, "a", 0, ONE, 1, "")


@pytest.mark.parametrize(
    ("events", "said"),
    [
        ([TOLD, seen(1.1, "a", 1, ONE), seen(1.1, "b", 1, ONE)], None),
        (
            [
                Pushed(1.0, 0.9, "a", 0, TWO, 0, "no leader"),
                TOLD,
                seen(1.1, "a", 1, TWO),
                seen(1.2, "b", 1, TWO),
            ],
            "a policy that was refused",
        ),
        ([TOLD, seen(1.1, "a", 2, TWO), seen(1.1, "b", 1, ONE)], "nobody pushed"),
        ([TOLD, Pushed(1.2, 1.1, "b", 0, TWO, 1, ""), seen(1.3, "a", 1, ONE)], "told to two pushes"),
        (
            [TOLD, Pushed(1.2, 1.1, "b", 1, TWO, 0, "unknown"), seen(1.3, "a", 1, TWO)],
            "another policy as version 1",
        ),
        ([TOLD, seen(1.1, "a", 1, ONE), seen(1.2, "a", 0, "{}")], "serves version 0 after 1"),
        ([TOLD, seen(9.0, "a", 0, "{}")], "told over"),
        ([TOLD, seen(1.1, "a", 1, ONE), seen(1.1, "b", 0, "{}")], "at the end there are versions"),
        ([TOLD, seen(1.1, "a", 1, ONE), seen(1.1, "b", 1, ONE, False)], "does not serve at the end"),
        ([TOLD, seen(1.1, "a", 1, ONE)], "b was never seen"),
    ],
)
def test_the_checkers_name_what_is_wrong(events, said):
    wrong = check(History([*events, Fault(9.9, "heal", ())]), {"a", "b"}, LEASE)
    assert (wrong == []) if said is None else any(said in line for line in wrong), wrong


def test_a_log_in_use_or_out_of_reach_is_refused_at_the_start(tmp_path):
    """Guards the journal: two processes that write one would each undo what the other has promised."""
    held = lock_folder(tmp_path / "log")
    with pytest.raises(GatewayConfigError, match="in use by another process"):
        lock_folder(tmp_path / "log")
    held.close()
    lock_folder(tmp_path / "log").close()
    (tmp_path / "file").write_text("")
    with pytest.raises(GatewayConfigError, match="policy.folder"):
        lock_folder(tmp_path / "file" / "log")


# --- whole processes ------------------------------------------------------------------------------


def played(folder: Path, trial: Callable[[Fleet], Awaitable[None]], **changes) -> list[str]:
    """A trial on five gateways; what the checkers say of it."""

    async def play() -> list[str]:
        async with Fleet(folder, **changes) as fleet:
            await fleet.settled()
            await trial(fleet)
            fleet.heal()
            await fleet.settled(max((p.version for p in fleet.history.pushed()), default=0))
            return check(fleet.history, set(fleet.names), LEASE)

    return asyncio.run(play())


def test_a_change_while_one_and_then_two_are_down(tmp_path):
    async def trial(fleet: Fleet) -> None:
        fleet.kill("g0")
        first = await fleet.change("g1", ["n0"])
        fleet.kill("g2")
        second = await fleet.change("g3", ["n1", "n9"])
        assert second > first
        fleet.heal()
        back = await fleet.until(lambda seen: seen.get("g0") is not None and seen["g0"].serves)
        assert back["g0"].version == second, "it served nothing before it had learned"

    assert played(tmp_path, trial) == []


def test_the_leader_is_killed_in_the_middle_of_a_change(tmp_path):
    async def trial(fleet: Fleet) -> None:
        for base, wait in enumerate((0.0, 0.02, 0.06)):
            seen = await fleet.settled()
            leader = str(seen["g0"].leader)
            via = next(name for name in fleet.names if name != leader)
            push = asyncio.create_task(fleet.push(via, seen["g0"].version, [f"n{base}"]))
            await asyncio.sleep(wait)
            fleet.kill(leader)
            while not push.done():
                await asyncio.gather(fleet.look_all(), asyncio.sleep(0.03))
            fleet.heal()
        assert len(list(fleet.history.pushed())) == 3

    assert played(tmp_path, trial) == []


def test_one_cut_off_during_a_change_refuses_and_learns_when_healed(tmp_path):
    async def trial(fleet: Fleet) -> None:
        fleet.part(["g4"])
        assert (await fleet.push("g4", 0, ["n1"])).version == 0, "a minority commits nothing"
        assert await fleet.change("g0", ["n0"])
        cut = await fleet.until(lambda seen: "g4" in seen and not seen["g4"].serves)
        assert cut["g4"].phase == "stale" and cut["g4"].version == 0, "the last committed one stays in force"

    assert played(tmp_path, trial) == []


def test_a_gateway_stopped_through_a_change_serves_under_it_or_not_at_all(tmp_path):
    async def trial(fleet: Fleet) -> None:
        fleet.stop("g3")
        assert await fleet.change("g0", ["n0"])
        end = fleet.now() + LEASE + 0.2
        await fleet.until(lambda seen: fleet.now() > end)
        fleet.go("g3")
        for _ in range(20):
            await fleet.look("g3")

    assert played(tmp_path, trial) == []


def test_the_checkers_catch_gateways_that_serve_on_when_cut_off(tmp_path):
    """A checker that can't fail proves nothing: `when_stale` at `serve` gives up just what it looks for."""

    async def trial(fleet: Fleet) -> None:
        fleet.part(["g4"])
        assert await fleet.change("g0", ["n0"])
        end = fleet.now() + LEASE + 0.2
        await fleet.until(lambda seen: fleet.now() > end)

    assert any("g4 serves version 0" in line for line in played(tmp_path, trial, when_stale="serve"))
