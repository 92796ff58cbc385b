"""Trials side by side, a process each.

A trial's links, stand-ins and clients run in the harness.  In threads of one process they take turns: with
four trials the recorders were 0.7 s late and no push came through in 20 s: what was judged was the harness.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from typing import TypeVar

T = TypeVar("T")


def in_lanes(run: Callable[[int], T], seeds: Iterable[int], lanes: int) -> Iterator[T]:
    """What `run` gives for each seed, as it ends; `run` is a module's function, at most `lanes` at a time."""
    with ProcessPoolExecutor(lanes, mp_context=get_context("spawn")) as pool:
        for done in as_completed([pool.submit(run, seed) for seed in seeds]):
            yield done.result()
