"""A real gateway is killed with SIGKILL 200 times under load; the checker itself is tested too."""

from __future__ import annotations

import asyncio
import random

from mallowbeam.lab.ask import Answered
from mallowbeam.lab.crash import Lane, crash, lane
from mallowbeam.standins.node import Run, Stored


def test_two_hundred_killed_gateways_lose_nothing_and_run_nothing_twice(tmp_path):
    counts, wrong = asyncio.run(crash(tmp_path, kills=200, lanes=8, seed=20261201))
    assert wrong == []
    assert counts["kills"] == 200 and counts["acknowledged"] > 0 and counts["runs"] > 0


def test_the_checker_reports_a_lost_write_a_changed_one_and_one_that_ran_twice(tmp_path):
    trial: Lane = asyncio.run(lane(tmp_path / "lane", 7, 1, asyncio.Queue()))
    assert trial.wrong == []
    trial.wanted = {"a": [b"one"], "b": [b"two"], "c": [None]}
    store = trial.rig.nodes[0].store
    store.objects = {"/plates/b": Stored(b"twO", "", {}), "/plates/c": Stored(b"x", "", {})}
    store.history = [Run(1.0, "PUT", "/plates/b", "key", ""), Run(6.0, "PUT", "/plates/b", "key", "")]
    trial.judge()
    assert len(trial.wrong) == 4 and any("ran 2 times" in text for text in trial.wrong)


def test_the_checker_reports_a_read_of_a_value_that_was_never_written(tmp_path, monkeypatch):
    class Chance(random.Random):
        def random(self) -> float:
            return 0.1  # a read

    trial = asyncio.run(lane(tmp_path / "lane", 7, 0, asyncio.Queue()))

    async def stale(*_: object, **__: object) -> Answered:
        return Answered(200, {}, b"stale")

    monkeypatch.setattr("mallowbeam.lab.crash.ask", stale)
    asyncio.run(trial.call(Chance(), "k"))
    assert len(trial.wrong) == 1 and "a reader saw stale" in trial.wrong[0]
