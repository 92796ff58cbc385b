"""The fleet's policy: the core against a model log, the checkers on invalid histories, real processes."""

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
    """Guards a restart: the entries replayed so far may be old, and a newer change may follow."""
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
    """Guards against a late commit: one seen at 10.9 proves only the log's content as of 10.0."""
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
    """Guards against SIGSTOP: the phase stays current until a tick, and pending requests are read first."""
    policy = core()
    policy.tick(10.0)
    policy.heartbeat_committed(1, 10.05)
    assert policy.phase is Phase.CURRENT and not policy.serves(60.0)
    assert PhaseChanged(Phase.STALE) in policy.tick(60.0) and policy.in_force == PolicyVersion()


@pytest.mark.parametrize("rejects", [True, False])
def test_a_stale_gateway_keeps_the_last_policy_and_serves_only_if_configured_to(rejects):
    policy = core(rejects_when_stale=rejects)
    policy.tick(10.0)
    policy.committed(PolicyVersion(1, ONE))
    policy.heartbeat_committed(1, 10.0)
    policy.tick(20.0)
    assert policy.phase is Phase.STALE and policy.in_force == PolicyVersion(1, ONE)
    assert policy.serves(20.0) is not rejects


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
def test_a_log_with_decreasing_or_conflicting_versions_is_rejected(change):
    policy = core()
    policy.tick(0.0)
    policy.heartbeat_committed(1, 0.0)
    policy.committed(PolicyVersion(2, TWO))
    with pytest.raises(VersionOrderError):
        policy.committed(change)
    assert policy.in_force == PolicyVersion(2, TWO)


class LogModel:
    """One log, and gateways that read it late, in order, and from the start after a restart."""

    def __init__(self, seed: int, make_core: Callable[..., PolicyCore], size: int = 4) -> None:
        self.random_source, self.make_core, self.now = random.Random(seed), make_core, 0.0
        # A change, or a gateway's heartbeat by incarnation and number.
        self.log: list[tuple[str, int, int]] = []
        self.cores = [make_core(lease=1.0, heartbeat_interval=0.2) for _ in range(size)]
        self.positions, self.incarnations = [0] * size, [0] * size
        self.history, self.version = History(), 0

    def step(self) -> None:
        self.now += self.random_source.random() * 0.15
        n = self.random_source.randrange(len(self.cores))
        event = self.random_source.choices(("tick", "hear", "push", "restart", "sleep"), (8, 8, 1, 0.3, 0.2))[
            0
        ]
        if event == "tick":
            for action in self.cores[n].tick(self.now):
                if (
                    isinstance(action, ProposeHeartbeat) and self.random_source.random() < 0.8
                ):  # otherwise there was no leader
                    self.log.append((f"{n} {self.incarnations[n]}", action.number, 0))
        elif event == "hear":
            for proposer, number, version in self.log[
                self.positions[n] : self.positions[n] + self.random_source.randint(1, 30)
            ]:
                self.positions[n] += 1
                if not proposer:
                    self.cores[n].committed(PolicyVersion(version, f'{{"drains":["n{version}"]}}'))
                elif proposer == f"{n} {self.incarnations[n]}":
                    self.cores[n].heartbeat_committed(number, self.now)
        elif event == "push":
            self.version += 1
            self.log.append(("", 0, self.version))
            body = f'{{"drains":["n{self.version}"]}}'
            self.history.add(Pushed(self.now, self.now, "g", self.version - 1, body, self.version, ""))
        elif event == "restart":
            self.cores[n], self.positions[n] = self.make_core(lease=1.0, heartbeat_interval=0.2), 0
            self.incarnations[n] += 1
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

    def violations(self) -> list[str]:
        return [line for line in check(self.history, set(), 1.0) if "at the end" not in line]


@given(st.integers(0, 10_000))
def test_the_core_keeps_to_the_log_whatever_the_order_of_events(seed):
    model = LogModel(seed, PolicyCore)
    for _ in range(300):
        model.step()
    assert model.violations() == []


class IgnoresLease(PolicyCore):
    """Broken variant: serves forever once it has learned a policy."""

    def serves(self, now: float) -> bool:
        return self.phase is not Phase.LEARNING


class ServesAtStart(PolicyCore):
    """Broken variant: serves from its start, under the entries replayed so far."""

    def serves(self, now: float) -> bool:
        return True


class LeaseFromCommit(PolicyCore):
    """Broken variant: its lease runs from when a heartbeat was committed."""

    def heartbeat_committed(self, number: int, now: float) -> list:
        if number in self.pending_heartbeats:
            self.pending_heartbeats[number] = now
        return super().heartbeat_committed(number, now)


@pytest.mark.parametrize("broken", [IgnoresLease, ServesAtStart, LeaseFromCommit])
def test_the_checkers_catch_a_broken_core(broken):
    found = []
    for seed in range(40):
        model = LogModel(seed, broken)
        for _ in range(300):
            model.step()
        found += model.violations()
    assert found


# --- the checkers ---------------------------------------------------------------------------------


def seen(at: float, name: str, version: int, body: str, serves: bool = True) -> Seen:
    return Seen(at, at, name, "current", serves, version, body)


PUSHED = Pushed(1.0, 0.9, "a", 0, ONE, 1, "")


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([PUSHED, seen(1.1, "a", 1, ONE), seen(1.1, "b", 1, ONE)], None),
        (
            [
                Pushed(1.0, 0.9, "a", 0, TWO, 0, "no leader"),
                PUSHED,
                seen(1.1, "a", 1, TWO),
                seen(1.2, "b", 1, TWO),
            ],
            "a policy that was refused",
        ),
        ([PUSHED, seen(1.1, "a", 2, TWO), seen(1.1, "b", 1, ONE)], "nobody pushed"),
        ([PUSHED, Pushed(1.2, 1.1, "b", 0, TWO, 1, ""), seen(1.3, "a", 1, ONE)], "told to two pushes"),
        (
            [PUSHED, Pushed(1.2, 1.1, "b", 1, TWO, 0, "unknown"), seen(1.3, "a", 1, TWO)],
            "another policy as version 1",
        ),
        ([PUSHED, seen(1.1, "a", 1, ONE), seen(1.2, "a", 0, "{}")], "serves version 0 after 1"),
        ([PUSHED, seen(9.0, "a", 0, "{}")], "told over"),
        ([PUSHED, seen(1.1, "a", 1, ONE), seen(1.1, "b", 0, "{}")], "at the end there are versions"),
        ([PUSHED, seen(1.1, "a", 1, ONE), seen(1.1, "b", 1, ONE, False)], "does not serve at the end"),
        ([PUSHED, seen(1.1, "a", 1, ONE)], "b was never seen"),
    ],
)
def test_the_checkers_name_what_is_wrong(events, expected):
    violations = check(History([*events, Fault(9.9, "heal", ())]), {"a", "b"}, LEASE)
    assert (
        (violations == []) if expected is None else any(expected in line for line in violations)
    ), violations


def test_a_folder_that_is_locked_or_can_not_be_created_is_rejected_at_the_start(tmp_path):
    """Guards the journal: two processes that write one would each undo entries the other acknowledged."""
    locked_disk = lock_folder(tmp_path / "log")
    with pytest.raises(GatewayConfigError, match="in use by another process"):
        lock_folder(tmp_path / "log")
    locked_disk.close()
    lock_folder(tmp_path / "log").close()
    (tmp_path / "file").write_text("")
    with pytest.raises(GatewayConfigError, match="policy.folder"):
        lock_folder(tmp_path / "file" / "log")


# --- real processes -------------------------------------------------------------------------------


def run_trial(folder: Path, trial: Callable[[Fleet], Awaitable[None]], **changes) -> list[str]:
    """Run a trial on five gateways; returns the violations that the checkers find."""

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
        assert back["g0"].version == second, "it must not serve before it has learned the newest version"

    assert run_trial(tmp_path, trial) == []


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

    assert run_trial(tmp_path, trial) == []


def test_a_partitioned_gateway_rejects_requests_and_catches_up_after_the_heal(tmp_path):
    async def trial(fleet: Fleet) -> None:
        fleet.part(["g4"])
        assert (await fleet.push("g4", 0, ["n1"])).version == 0, "a minority commits nothing"
        assert await fleet.change("g0", ["n0"])
        cut = await fleet.until(lambda seen: "g4" in seen and not seen["g4"].serves)
        assert cut["g4"].phase == "stale" and cut["g4"].version == 0, "the last committed one stays in force"

    assert run_trial(tmp_path, trial) == []


def test_a_gateway_stopped_through_a_change_serves_under_it_or_not_at_all(tmp_path):
    async def trial(fleet: Fleet) -> None:
        fleet.stop("g3")
        assert await fleet.change("g0", ["n0"])
        end = fleet.now() + LEASE + 0.2
        await fleet.until(lambda seen: fleet.now() > end)
        fleet.go("g3")
        for _ in range(20):
            await fleet.look("g3")

    assert run_trial(tmp_path, trial) == []


def test_the_checkers_catch_gateways_that_serve_on_when_cut_off(tmp_path):
    """Shows that the checker can fail: with `when_stale` at `serve` a cut-off gateway goes on serving."""

    async def trial(fleet: Fleet) -> None:
        fleet.part(["g4"])
        assert await fleet.change("g0", ["n0"])
        end = fleet.now() + LEASE + 0.2
        await fleet.until(lambda seen: fleet.now() > end)

    assert any("g4 serves version 0" in line for line in run_trial(tmp_path, trial, when_stale="serve"))
