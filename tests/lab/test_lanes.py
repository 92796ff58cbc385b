"""Trials side by side are processes of their own."""

from __future__ import annotations

import os

from mallowbeam.lab.faults.lanes import in_lanes


def where(seed: int) -> tuple[int, int]:
    return seed, os.getpid()


def test_trials_run_in_processes_of_their_own_and_none_is_left_out():
    """Guards what is judged: in threads of the harness trials made one another late."""
    told = dict(in_lanes(where, range(5, 11), 2))
    assert sorted(told) == list(range(5, 11)) and os.getpid() not in told.values()
