"""The ablation's plan and table, its runner with a stand-in for the bench, and drawn deployments."""

from __future__ import annotations

import asyncio
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path

from mallowbeam.lab.ablation.plan import (
    BASE,
    Play,
    Variant,
    VariantsError,
    jobs_of,
    overrides_text,
    read_days,
    read_variants,
)
from mallowbeam.lab.ablation.results import Result, effects, keep_result, load_results, plot, read_output
from mallowbeam.lab.ablation.run import AblationError, Bench, Runner
from mallowbeam.lab.sites import SiteError, draw_site
from mallowbeam.router.processes.overrides import OVERRIDES_PATH

VARIANTS = """
[no-waiting.planner.pairing]
wait_loss = 0.0
[no-orders.stages]
least_gain = 2.0
"""

BENCH = """#!/bin/sh
[ "$1" = build ] && exit 0
if [ -f deploy/decisions.toml ]; then echo "worth 0.500 = whole day"; else echo "worth 0.600 = whole day"; fi
"""

SITE = """\
name = "here"
zones = [{ name = "hall-a", region = "r" }]
services = [{ name = "model", llm = { kv_bytes = 18432.0, link_mbps = 550000.0, step_ms = 4.0, \
prefill_tokens_per_ms = 50.0, kv_tokens = 300000, prefill = 0.4, switch_s = 1.0 } }, { name = "store" }]
classes = [{ name = "long-read", aim_ms = 400, worth = 2 }, { name = "long", aim_ms = 300, worth = 3 }]
traffic = [{ zone = "hall-a", mix = { long-read = 10.0, long = 5.0 }, per_s = 30.0 }]
[prices]
machine_s = 1.5
[[day]]
name = "quiet-1"
faults = [{ kind = "burst", class = "long-read", x = 1.5 }]
traffic = [{ zone = "hall-a", mix = { long-read = 10.0, long = 5.0 }, per_s = 20.0 }]
"""


class Plans(unittest.TestCase):
    def test_variants(self) -> None:
        first, second = read_variants(VARIANTS)
        self.assertEqual(first, Variant("no-waiting", {"planner": {"pairing": {"wait_loss": 0.0}}}))
        self.assertEqual(tomllib.loads(overrides_text(first.overrides)), dict(first.overrides))
        self.assertEqual(tomllib.loads(overrides_text(second.overrides)), dict(second.overrides))

    def test_wrong_variants_and_days(self) -> None:
        for text in ("[", "x = 1", f"[{BASE}.planner]\nx = 1", "[empty]"):
            with self.subTest(text), self.assertRaises(VariantsError):
                read_variants(text)
        for day in ("quiet-1", ":5", "quiet-1:x"):
            with self.subTest(day), self.assertRaises(VariantsError):
                read_days([day])

    def test_pairs_come_day_by_day_and_what_is_done_is_left_out(self) -> None:
        plays = [Play("s", *day) for day in read_days(["a:1", "b:2"])]
        jobs = jobs_of(read_variants(VARIANTS), plays, [(BASE, "s a:1"), ("no-orders", "s b:2")])
        self.assertEqual(
            [(job.variant.name, job.play.day) for job in jobs],
            [("no-waiting", "a"), ("no-orders", "a"), (BASE, "b"), ("no-waiting", "b")],
        )


class Tables(unittest.TestCase):
    def test_differences_of_pairs(self) -> None:
        results = [
            Result(BASE, "a", 0.6),
            Result(BASE, "b", 0.5),
            Result(BASE, "c", 0.9),
            Result("x", "a", 0.5),
            Result("x", "b", 0.55),
            Result("y", "a", 0.3),
            Result("z", "d", 0.1),
        ]
        first, second = effects(results)
        self.assertEqual((first.variant, first.difference, first.runs), ("y", 0.3, 1))
        self.assertEqual(
            (second.variant, second.difference, second.least, second.most, second.runs),
            ("x", 0.025, -0.05, 0.1, 2),
        )
        self.assertIn("y +0.3000 " + "+" * 30, plot([first, second]))

    def test_no_pair_no_row(self) -> None:
        self.assertEqual(effects([Result(BASE, "a", 0.6), Result("x", "b", 0.6)]), [])
        self.assertEqual(plot([]), "")

    def test_the_bench_s_output(self) -> None:
        self.assertEqual(read_output("x\nworth 0.612 = a\n", "v", "p"), Result("v", "p", 0.612))
        self.assertIsNone(read_output("it failed", "v", "p"))

    def test_results_are_kept_a_line_each(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "results"
            self.assertEqual(load_results(path), [])
            keep_result(path, Result("v", "p", 0.5))
            with path.open("ab") as file:
                file.write(b'{"variant":"v","pl')
            self.assertEqual(load_results(path), [Result("v", "p", 0.5)])


class Runs(unittest.TestCase):
    def play(self, program: str) -> list[Result]:
        with tempfile.TemporaryDirectory() as folder:
            place = Path(folder)
            repository = place / "repository"
            (repository / "deploy").mkdir(parents=True)
            (repository / "deploy" / "kept").write_text("x")
            for command in (["init", "-q"], ["add", "-A"], ["commit", "-q", "-m", "first"]):
                subprocess.run(
                    ["git", "-c", "user.name=x", "-c", "user.email=x@y.z", *command],
                    cwd=repository,
                    check=True,
                )
            bench = place / "bench"
            bench.write_text(program)
            bench.chmod(0o755)
            plays = [Play("site.toml", "quiet-1", seed) for seed in (1, 2)]
            lines: list[str] = []
            played = Bench(bench, repository, place / "trees", 16.0, "trial")
            runner = Runner(played, place / "r", lines.append)
            (place / "trees").mkdir()
            asyncio.run(runner.run(jobs_of(read_variants(VARIANTS), plays, [])))
            self.assertEqual(len(lines), 6)
            trees = sorted(path.name for path in (place / "trees").iterdir())
            self.assertEqual(trees, ["ablate-base", "ablate-no-orders", "ablate-no-waiting"])
            self.assertFalse((place / "trees" / "ablate-base" / OVERRIDES_PATH).exists())
            return load_results(place / "r")

    def test_each_variant_has_its_settings(self) -> None:
        rows = effects(self.play(BENCH))
        self.assertEqual(
            [(row.variant, row.difference, row.runs) for row in rows],
            [("no-orders", 0.1, 2), ("no-waiting", 0.1, 2)],
        )

    def test_a_play_without_a_result_ends_the_trial(self) -> None:
        with self.assertRaises(BaseExceptionGroup) as caught:
            self.play("#!/bin/sh\necho nothing\n")
        self.assertTrue(all(isinstance(error, AblationError) for error in caught.exception.exceptions))


class Sites(unittest.TestCase):
    def test_a_seed_gives_one_deployment(self) -> None:
        self.assertEqual(draw_site(SITE, 3), draw_site(SITE, 3))
        self.assertNotEqual(draw_site(SITE, 3), draw_site(SITE, 4))

    def test_figures_within_the_ranges_and_names_that_fit(self) -> None:
        for seed in range(50):
            site = tomllib.loads(draw_site(SITE, seed))
            engine = site["services"][0]["llm"]
            self.assertTrue(10_000 <= engine["kv_bytes"] <= 700_000)
            self.assertTrue(20_000 <= engine["link_mbps"] <= 3_000_000)
            self.assertTrue(50 / 3.01 <= engine["prefill_tokens_per_ms"] <= 150.1)
            classes = [one["name"] for one in site["classes"]]
            self.assertFalse({"long-read", "long"} & set(classes))
            for holder in (site, site["day"][0]):
                self.assertEqual(list(holder["traffic"][0]["mix"]), classes)
                self.assertEqual(holder["traffic"][0]["zone"], site["zones"][0]["name"])
            self.assertEqual(site["day"][0]["faults"][0]["class"], classes[0])
            self.assertEqual((site["name"], site["prices"]), (f"here-drawn-{seed}", {"machine_s": 1.5}))

    def test_what_is_no_site(self) -> None:
        for text in ("[", 'name = "x"\nclasses = []\n'):
            with self.subTest(text), self.assertRaises(SiteError):
                draw_site(text, 1)


if __name__ == "__main__":
    unittest.main()
