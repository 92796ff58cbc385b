"""Decisions stay the same: a recorded run of several hundred events yields the recorded actions."""

from __future__ import annotations

from dataclasses import replace
from hashlib import sha256

from scheduler_replay import FILE, load, record, replay, store

from mallowbeam.storage_gateway.scheduler.interface import RequestArrived


def test_a_recorded_run_gives_the_actions_that_it_gave():
    run, digest = load(FILE.read_bytes())
    assert sum(len(events) for _, events in run[1]) > 300
    assert sha256(replay(run, digits=4)).hexdigest() == digest


def test_one_changed_event_changes_the_digest():
    """The check can fail: another size of one request changes the digest."""
    (settings, steps), digest = load(FILE.read_bytes())
    at = next(n for n, (_, events) in enumerate(steps) if any(isinstance(e, RequestArrived) for e in events))
    steps[at] = (
        steps[at][0],
        [
            replace(event, units=event.units % 8 + 1) if isinstance(event, RequestArrived) else event
            for event in steps[at][1]
        ],
    )
    assert sha256(replay((settings, steps), digits=4)).hexdigest() != digest


def test_a_stored_run_loads_unchanged():
    run = record(3, 60)
    assert load(store(run))[0] == run
