"""Test days drawn from a seed: valid TOML, the same again by seed, and every kind and variant occurs."""

from __future__ import annotations

import tempfile
import tomllib
import unittest
from pathlib import Path

from typer.testing import CliRunner

from mallowbeam.cli.app import app
from mallowbeam.lab.days.draw import draw_day, kinds_of
from mallowbeam.lab.days.kinds import CLOSINGS, KINDS
from mallowbeam.lab.days.site import SiteFileError, read_site
from mallowbeam.lab.days.text import day_text

SITE_TEXT = """
name = "sample"
length_s = 30.0
contracts = ["base", "health", "pool"]
zones = [{ name = "east", region = "north" }, { name = "west", region = "north" }]
machines = [{ class = "front", count = 3 }, { class = "core", count = 3 }]
services = [{ name = "models" }, { name = "store" }]
classes = [{ name = "chat" }, { name = "fetch" }]
troubles = [{ kind = "config_storm" }, { kind = "lossy" }]
"""
SITE = read_site(SITE_TEXT)
SEEDS = range(1, 501)


class DrawnDays(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.days = [draw_day(SITE, seed) for seed in SEEDS]

    def test_days_are_toml_with_the_entries_that_were_drawn(self) -> None:
        for day in self.days:
            read = tomllib.loads(day_text(day, SITE.name))
            drawn = {"plan": [], "faults": []}
            for entry in sorted(day.entries, key=lambda one: one.at):
                drawn["plan" if entry.planned else "faults"].append(dict(entry.fields))
            self.assertEqual({name: read[name] for name in drawn}, drawn)
            self.assertEqual(read.get("closing", {}), dict(day.closing))

    def test_a_seed_gives_the_same_day_again(self) -> None:
        self.assertEqual([draw_day(SITE, seed) for seed in SEEDS], self.days)
        self.assertNotEqual(self.days[0].entries, self.days[1].entries)

    def test_every_kind_and_every_variant_occurs(self) -> None:
        self.assertEqual(kinds_of(SITE), KINDS)
        entries = [entry for day in self.days for entry in day.entries]
        for kind in KINDS:
            words = {word for variant in kind.variants for text in variant.words for word in text.split()}
            found = [entry.how for entry in entries if entry.kind == kind.name]
            self.assertTrue(found, kind.name)
            self.assertEqual(set().union(*found), words, kind.name)

    def test_every_closing_and_its_variants_occur(self) -> None:
        closings = [dict(day.closing) for day in self.days if day.closing]
        for closing in CLOSINGS:
            words = {word for variant in closing.variants for word in variant.words}
            found = [one for one in closings if one["kind"] == closing.name]
            self.assertTrue(found, closing.name)
            self.assertEqual({word for one in found for word in str(one.get("how", "")).split()}, words)

    def test_variants_are_combined_and_kinds_repeat_and_coincide(self) -> None:
        self.assertTrue(any(len(entry.how) >= 3 for day in self.days for entry in day.entries))
        kinds = [[entry.kind for entry in day.entries if entry.kind != "config_change"] for day in self.days]
        self.assertTrue(any(len(names) > len(set(names)) for names in kinds))
        self.assertTrue(
            any(
                abs(one.at - other.at) < 0.5
                for day in self.days
                for one in day.entries
                for other in day.entries
                if one is not other
            )
        )

    def test_moments_and_numbers_are_within_their_bounds(self) -> None:
        spans = {kind.name: {**kind.fields, **kind.optional} for kind in KINDS}
        for day in self.days:
            for entry in day.entries:
                self.assertTrue(0.0 < entry.at < SITE.length_s)
                for name, span in spans[entry.kind].items():
                    value = dict(entry.fields).get(name, span.least)
                    self.assertTrue(span.least <= value <= span.most, entry)

    def test_places_are_the_sites(self) -> None:
        names = {
            "zone": SITE.zones,
            "to_zone": SITE.zones,
            "service": SITE.services,
            "class": SITE.request_classes,
            "on": tuple(SITE.machine_classes),
        }
        seen = set()
        for day in self.days:
            for entry in day.entries:
                for field, value in entry.fields:
                    if field in names:
                        seen.add(field)
                        self.assertIn(value, names[field])
        self.assertEqual(seen, set(names))


class Sites(unittest.TestCase):
    def test_kinds_that_need_a_contract_or_a_mention_are_left_out_without(self) -> None:
        text = SITE_TEXT.replace('"health", "pool"', "").partition("troubles")[0]
        left_out = {kind.name for kind in KINDS} - {kind.name for kind in kinds_of(read_site(text))}
        self.assertEqual(left_out, {"srv_flap", "srv_lying_health", "idle_race", "config_storm", "lossy"})

    def test_what_is_no_site_file_is_refused(self) -> None:
        for text in ("x = ", "name = 'x'", SITE_TEXT.replace("length_s = 30.0", "length_s = 'long'")):
            with self.assertRaises(SiteFileError):
                read_site(text)


class Command(unittest.TestCase):
    def test_it_writes_a_file_for_each_seed(self) -> None:
        with tempfile.TemporaryDirectory() as place:
            site = Path(place) / "site.toml"
            site.write_text(SITE_TEXT)
            out = Path(place) / "days"
            words = ["lab", "days", "--seed", "7", "--site", str(site), "--count", "2", "--out", str(out)]
            result = CliRunner().invoke(app, words)
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertEqual(sorted(path.name for path in out.iterdir()), ["sample-7.toml", "sample-8.toml"])
            self.assertEqual((out / "sample-7.toml").read_text(), day_text(draw_day(SITE, 7), "sample"))

    def test_a_bad_site_file_is_one_line_and_exit_code_2(self) -> None:
        with tempfile.TemporaryDirectory() as place:
            site = Path(place) / "site.toml"
            site.write_text("name = ")
            result = CliRunner().invoke(app, ["lab", "days", "--seed", "1", "--site", str(site)])
            self.assertEqual(result.exit_code, 2)


if __name__ == "__main__":
    unittest.main()
