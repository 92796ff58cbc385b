"""Deployments drawn from a given one by a seed: other names, engines, links, objectives, shares of traffic.

What is kept under a mechanism's name should hold on these as well.  Ranges are wide on purpose: memory per
token from 10 to 700 kB, links from 20 to 3,000 Gbit/s, paces of reading and of a step by 3 either way.
The load is scaled with the reading pace, so that a drawn deployment is about as busy as the given one.
"""

from __future__ import annotations

import copy
import json
import re
import tomllib
from collections.abc import Mapping, Sequence
from math import exp, log
from random import Random
from typing import Any

from mallowbeam.errors import MallowbeamError

LEAST_KV_BYTES, MOST_KV_BYTES = 10_000, 700_000
LEAST_LINK_GBIT, MOST_LINK_GBIT = 20.0, 3_000.0
PACE_FACTOR = 3.0
KV_TOKENS_FACTOR = 2.0
OBJECTIVE_FACTOR = 1.4
SHARE_FACTOR = 2.0
LEAST_LOAD, MOST_LOAD = 0.75, 1.1  # of the given deployment's, once scaled with the reading pace
MBIT_IN_GBIT = 1000.0
SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te", "vo", "xi")
KEY = re.compile(r"[A-Za-z0-9_-]+\Z")


class SiteError(MallowbeamError):
    """A site file that can't be read or holds no model servers."""

    code = "LAB_SITE"
    remedy = "give a deployment's site file: TOML with services, one of them with model servers"


def draw_site(text: str, seed: int) -> str:
    """A site file drawn from another one; raises `SiteError`."""
    try:
        site = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SiteError(str(error)) from None
    random = Random(seed)
    drawn = copy.deepcopy(site)
    engines = [service["llm"] for service in drawn.get("services", ()) if "llm" in service]
    if not engines:
        raise SiteError("no service has model servers")
    pace = _factor(random, PACE_FACTOR)
    for engine in engines:
        _draw_engine(random, engine, pace)
    for one in drawn["classes"]:
        _draw_objective(random, one)
    shares = {one["name"]: _factor(random, SHARE_FACTOR) for one in drawn["classes"]}
    load = min(1.0, pace) * random.uniform(LEAST_LOAD, MOST_LOAD)
    _draw_traffic(drawn, shares, load)
    drawn["name"] = f"{site['name']}-drawn-{seed}"
    return _renamed(_document(drawn), _names(random, site), site["name"])


def _factor(random: Random, most: float) -> float:
    """A factor from 1/most to most, evenly by its logarithm."""
    return exp(random.uniform(-log(most), log(most)))


def _between(random: Random, least: float, most: float) -> float:
    return exp(random.uniform(log(least), log(most)))


def _draw_engine(random: Random, engine: dict[str, Any], pace: float) -> None:
    engine["kv_bytes"] = round(_between(random, LEAST_KV_BYTES, MOST_KV_BYTES))
    engine["link_mbps"] = round(_between(random, LEAST_LINK_GBIT, MOST_LINK_GBIT) * MBIT_IN_GBIT, 1)
    engine["prefill_tokens_per_ms"] = round(engine["prefill_tokens_per_ms"] * pace, 2)
    engine["step_ms"] = round(engine["step_ms"] * _factor(random, PACE_FACTOR), 3)
    engine["kv_tokens"] = round(engine["kv_tokens"] * _factor(random, KV_TOKENS_FACTOR))
    engine["prefill"] = round(random.uniform(0.25, 0.65), 2)
    engine["switch_s"] = round(engine["switch_s"] * _factor(random, SHARE_FACTOR), 2)


def _draw_objective(random: Random, one: dict[str, Any]) -> None:
    factor = _factor(random, OBJECTIVE_FACTOR)
    one["aim_ms"] = round(one["aim_ms"] * factor)
    one["worth"] = max(1, round(one["worth"] * _factor(random, SHARE_FACTOR)))


def _draw_traffic(site: dict[str, Any], shares: Mapping[str, float], load: float) -> None:
    """Shares of the classes and the load, in the traffic of the site and of each day."""
    for holder in (site, *site.get("day", ())):
        for entry in holder.get("traffic", ()):
            mix = entry["mix"]
            entry["mix"] = {name: round(share * shares.get(name, 1.0), 2) for name, share in mix.items()}
            entry["per_s"] = round(entry["per_s"] * load, 1)


def _names(random: Random, site: Mapping[str, Any]) -> dict[str, str]:
    """Other names for classes, services and zones."""
    old = [one["name"] for key in ("classes", "services", "zones") for one in site[key]]
    return {name: f"{_word(random)}-{_word(random)}{position}" for position, name in enumerate(old)}


def _word(random: Random) -> str:
    return "".join(random.choices(SYLLABLES, k=3))


def _renamed(text: str, names: Mapping[str, str], site_name: str) -> str:
    """The text with whole names replaced; the site's own name stays."""
    pattern = "|".join(re.escape(name) for name in sorted(names, key=len, reverse=True))
    whole = re.compile(rf"(?<![\w-])(?:{pattern})(?![\w-])")
    return "\n".join(
        line if site_name in line else whole.sub(lambda found: names[found.group()], line)
        for line in text.split("\n")
    )


# ---------------------------------------------------------------- TOML


def _document(table: Mapping[str, Any]) -> str:
    """A document whose tables of tables are written entry by entry, and what is inside them inline."""
    lines = [f"{_key(key)} = {_inline(value)}" for key, value in table.items() if not _section(value)]
    for key, value in table.items():
        if isinstance(value, Mapping):
            lines += ["", f"[{_key(key)}]", *_fields(value)]
        elif _section(value):
            for entry in value:
                lines += ["", f"[[{_key(key)}]]", *_fields(entry)]
    return "\n".join(lines) + "\n"


def _section(value: Any) -> bool:
    if isinstance(value, Mapping):
        return True
    return isinstance(value, list) and bool(value) and all(isinstance(one, Mapping) for one in value)


def _fields(table: Mapping[str, Any]) -> Sequence[str]:
    return [f"{_key(key)} = {_inline(value)}" for key, value in table.items()]


def _inline(value: Any) -> str:
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{_key(key)} = {_inline(one)}" for key, one in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_inline(one) for one in value) + "]"
    return json.dumps(value, ensure_ascii=False)


def _key(key: str) -> str:
    return key if KEY.match(key) else json.dumps(key, ensure_ascii=False)
