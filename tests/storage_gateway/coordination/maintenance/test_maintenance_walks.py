"""Maintenance in simulated time: random walks and specific hard cases."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowbeam.lab.faults import orderly
from mallowbeam.lab.faults.maintenance import TRIAL_TIMEOUT_S as REST_S
from mallowbeam.lab.faults.walk import Walk
from mallowbeam.lab.faults.walks import judge, play
from mallowbeam.storage_gateway.coordination.maintenance.entries import WorkCompleted


def request(*machines, id="a", **changes):
    return {"id": id, "machines": list(machines), "time_s": 60.0} | changes


def start_walk(*requests, seed=5, **kinds):
    walk = Walk(seed, **kinds)
    walk.run(4.0)
    walk.insist("g2", list(requests))
    return walk


def steps_of(walk, machine):
    return [e.step for e in walk.history if isinstance(e, orderly.Moved) and e.machine == machine]


def run_until(walk, machine, step, seconds=60.0):
    assert walk.run(
        seconds, lambda: machine in walk.state.machines and walk.state.machines[machine].step == step
    )


def assert_finished(walk, *requests, step="done"):
    assert walk.rest()
    assert judge(walk, list(requests)) == []
    assert {item.step for item in walk.state.machines.values()} == {step}


@pytest.mark.parametrize("seed", range(4))
def test_walks_with_faults(seed):
    assert play(seed).wrong == []


@settings(max_examples=8)
@given(seed=st.integers(10_000, 10_000_000))
def test_any_order_of_delays_restarts_and_leaders(seed):
    assert play(seed).wrong == []


@pytest.mark.parametrize("step", ["proposed", "agreed", "draining", "empty", "out", "back", "warming"])
def test_leader_killed_after_each_step(step):
    pushed = request("n0", "n1")
    walk = Walk(11)

    def kill(machine, now):
        if now == step and walk.leader is not None:
            name = walk.leader
            walk.kill(name)
            walk.later(4.0, lambda: walk.start(name))

    walk.hooks.append(kill)
    walk.run(4.0)
    walk.insist("g1", [pushed])
    assert_finished(walk, pushed)
    assert sum(isinstance(e, orderly.Down) and e.down and e.machine in walk.members for e in walk.history)


def test_gateway_down_while_a_step_was_agreed_learns_before_it_serves():
    pushed = request("n0")
    walk = Walk(6)
    walk.run(4.0)
    walk.kill("g3")
    walk.insist("g2", [pushed])
    run_until(walk, "n0", "out")
    walk.start("g3")
    assert walk.run(20.0, lambda: walk.gateways["g3"].serves())
    assert "n0" in walk.gateways["g3"].drained or walk.state.machines["n0"].step != "out"
    assert_finished(walk, pushed)


def test_stopped_gateway_with_work_out_refuses_by_itself_when_it_wakes():
    pushed = request("n0")
    walk = start_walk(pushed)
    walk.works["n0"] = 8.0
    assert walk.run(
        20.0,
        lambda: walk.state.machines["n0"].step in ("agreed", "draining")
        and any(node == "n0" for _, node in walk.gateways["g3"].work),
    )
    walk.stop("g3")
    run_until(walk, "n0", "out")
    assert "g3" in walk.state.expired_gateways  # `out` requires that its lease has expired
    assert "n0" not in walk.gateways["g3"].drained
    walk.go("g3")
    assert not walk.gateways["g3"].serves()  # even before it has received any entry
    assert_finished(walk, pushed)


def test_a_node_that_is_down_for_less_than_a_report_interval_is_known_as_restarted_by_its_start():
    pushed = request("n0", "n3")
    walk = start_walk(pushed)
    walk.works = {"n0": 0.05, "n3": 0.05}  # seconds; reports are 0.4 s apart
    assert_finished(walk, pushed)
    assert not any(item.seen_down for item in walk.state.machines.values())


def test_without_a_start_time_a_machine_stays_out_until_an_operator_reports_completion():
    pushed = request("n0")
    walk = start_walk(pushed)
    walk.works = {"n0": 0.05}
    for node in walk.nodes.values():
        node.started = 0
    mend = walk.mend

    def mend_without_a_start_time(name):
        mend(name)
        walk.nodes[name].started = 0

    walk.mend = mend_without_a_start_time
    run_until(walk, "n0", "out")
    walk.run(15.0)
    assert walk.state.machines["n0"].step == "out"
    guard = walk.gateways["g1"].core.state_machine.guard
    reason = guard.blocked_reason(walk.state, walk.state.machines["n0"], "back", None)
    assert reason == "it has not been seen down and up again"
    walk.gateways["g1"].core.complete_work("n0")
    assert_finished(walk, pushed)


def busy_gateway(walk, out):
    """A gateway that has work in flight and is not among the machines that go out."""
    return next((one for one in walk.gateways.values() if one.work and one.name not in out), None)


@pytest.mark.parametrize("step", ["draining", "out", "back", "warming"])
@pytest.mark.parametrize("seed", range(6))
def test_gateway_stopped_with_its_work_out_while_a_machine_is_under_way_and_another_proposed(seed, step):
    """The scenario of the trial on real processes, with the same time limit in simulated seconds."""
    machines = ("n0", "n3", "g4")
    pushed = request(*machines)
    walk = start_walk(pushed, seed=seed)
    began = walk.now

    def in_scenario():
        now = {name: item.step for name, item in walk.state.machines.items()}
        return (
            step in now.values() and "proposed" in now.values() and busy_gateway(walk, machines) is not None
        )

    assert walk.run(REST_S, in_scenario)
    stopped = busy_gateway(walk, machines).name
    walk.stop(stopped)
    walk.run(walk.rng.uniform(2.5, 3.0))
    walk.go(stopped)
    assert walk.run(began + REST_S - walk.now, lambda: not walk.state.active), walk.state.machines
    assert_finished(walk, pushed)


def test_operator_on_the_small_side_of_a_partition():
    pushed = request("n0")
    walk = Walk(7)
    walk.run(4.0)
    walk.part(["g3", "g4"])
    walk.run(3.0)
    assert not walk.push("g3", [pushed])
    walk.run(5.0)
    assert not walk.state.machines
    walk.insist("g1", [pushed])  # the majority continues without the others
    run_until(walk, "n0", "out")
    walk.part(())
    assert_finished(walk, pushed)


def test_machine_that_dies_by_itself_pauses_the_order():
    pushed = request("n0", "n1", at_once=3, at_once_zone=1)
    walk = start_walk(pushed)
    walk.works["n0"] = 20.0
    walk.fail("n4")  # the only other node of n1's zone
    run_until(walk, "n0", "out")
    walk.run(8.0)
    assert walk.state.machines["n1"].step == "proposed"
    assert (
        "n4 is not there in zone 'b'"
        in walk.gateways["g0"].core.state_machine.selector.select(walk.state).reason
    )
    walk.mend("n4")
    assert_finished(walk, pushed)


def test_machine_on_its_way_out_is_called_back_when_another_dies():
    pushed = request("n1", at_once=2, at_once_zone=2)
    walk = start_walk(pushed)
    for one in walk.gateways.values():
        one.work.append((walk.now + 7.0, "n1"))  # long requests keep it draining
    run_until(walk, "n1", "draining")
    walk.fail("n4")
    run_until(walk, "n1", "proposed")
    assert "zone 'b' would keep 0.00" in walk.state.machines["n1"].reason
    walk.mend("n4")
    assert_finished(walk, pushed)


@pytest.mark.parametrize("then", ["go on", "stop"])
def test_machine_that_never_empties(then):
    pushed = request("n0", "n1", time_s=6.0, on_time_up=then)
    walk = start_walk(pushed)
    walk.gateways["g2"].work.append((1e9, "n0"))
    walk.gateways["g2"].work.append((1e9, "n1"))
    walk.run(30.0)
    first, second = sorted(walk.state.machines.values(), key=lambda item: item.agreed_index or 1e9)
    assert first.step == "failed" and "g2 has not said" in first.reason
    assert second.step == ("failed" if then == "go on" else "proposed")
    assert all(first.name not in one.drained for one in walk.gateways.values())
    if then == "stop":
        assert "time is up" in walk.state.halted_requests["a"]
    assert judge(walk, [pushed]) == []


@pytest.mark.parametrize("then", ["go on", "stop"])
def test_machine_that_never_comes_back(then):
    pushed = request("n0", "n1", time_s=10.0, on_time_up=then)
    walk = start_walk(pushed)
    walk.works["n0"] = walk.works["n1"] = -1
    run_until(walk, "n0", "lost") if "n0" in walk.state.decisions[0].machine else run_until(
        walk, "n1", "lost"
    )
    lost = next(item for item in walk.state.machines.values() if item.step == "lost")
    other = "n1" if lost.name == "n0" else "n0"
    assert lost.reason == "time is up: it never came back"
    walk.works[other] = 1.0
    walk.run(20.0)
    assert walk.state.machines[other].step == ("done" if then == "go on" else "proposed")
    assert all(lost.name in one.drained for one in walk.gateways.values())
    for _ in range(3):
        walk.propose(walk.gateways["g0"], WorkCompleted(lost.name))
        walk.run(0.5)
    assert walk.rest()
    assert walk.state.machines[lost.name].step == "done"
    assert judge(walk, [pushed]) == []


def test_two_requests_that_overlap_are_one_order():
    one = request("n0", "n1", at_once=3, at_once_zone=1)
    two = request("n1", "n2", "n3", id="b", at_once=2, at_once_zone=1)
    walk = start_walk(one, two)
    assert_finished(walk, one, two)
    assert steps_of(walk, "n1").count("out") == 1
    assert walk.state.machines["n1"].request_ids == ("a", "b")


def test_abort_in_the_middle():
    pushed = request("n0", "n1", "n2", at_once=2, at_once_zone=1)
    walk = start_walk(pushed)
    assert walk.run(60.0, lambda: any(item.step == "out" for item in walk.state.machines.values()))
    out = [name for name, item in walk.state.machines.items() if item.step == "out"]
    walk.insist("g4", [])
    rest = [name for name in ("n0", "n1", "n2") if name not in out]
    assert walk.rest()
    assert all("out" not in steps_of(walk, name) for name in rest)
    assert steps_of(walk, out[0])[-3:] == ["back", "warming", "aborted"]
    assert not any(one.drained for one in walk.gateways.values())
    assert judge(walk, [pushed]) == []


def test_gateways_restarted_one_after_the_other_through_their_own_order():
    pushed = request("g0", "g1", "g2", "g3", "g4")
    walk = start_walk(pushed)
    lives = {name: one.life for name, one in walk.gateways.items()}
    assert_finished(walk, pushed)
    assert all(one.life != lives[name] for name, one in walk.gateways.items())


def test_gateway_is_not_let_go_while_others_are_down():
    pushed = request("g0", at_once=5, at_once_zone=5)
    walk = start_walk(pushed)
    walk.kill("g3")
    walk.kill("g4")
    walk.run(15.0)
    assert "out" not in steps_of(walk, "g0") or judge(walk, [pushed]) == []
    assert walk.state.machines["g0"].step == "proposed"
    assert "3 of 5 gateways would not be there" in walk.state.machines["g0"].reason + (
        walk.gateways["g1"].core.state_machine.selector.select(walk.state).reason
    )
    assert_finished(walk, pushed)


def test_warmup_shares_sum_to_one():
    walk = start_walk(request("n0"))
    run_until(walk, "n0", "warming")
    assert sum(walk.state.machines["n0"].warmup_shares.values()) == pytest.approx(1.0)
