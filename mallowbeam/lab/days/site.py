"""Reads from a deployment's site file what drawing a day needs."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass

from mallowbeam.errors import MallowbeamError


class SiteFileError(MallowbeamError):
    """A site file is invalid or incomplete; `where` is syntax or content."""

    code = "SITE_FILE"
    remedy = "give a deployment's site file: TOML with zones, machines, services, classes and length_s"


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment: the names that faults may target, and the length of a day in seconds."""

    name: str
    length_s: float
    zones: tuple[str, ...]
    regions: tuple[str, ...]
    machine_classes: frozenset[str]
    services: tuple[str, ...]
    request_classes: tuple[str, ...]
    contracts: frozenset[str]
    named_kinds: frozenset[str]


def read_site(text: str) -> Site:
    """Parse the text of a site file; raises :class:`SiteFileError`."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SiteFileError(str(error), "syntax") from error
    try:
        return Site(
            name=raw["name"],
            length_s=float(raw["length_s"]),
            zones=tuple(zone["name"] for zone in raw["zones"]),
            regions=tuple(sorted({zone["region"] for zone in raw["zones"]})),
            machine_classes=frozenset(machine["class"] for machine in raw["machines"]),
            services=tuple(service["name"] for service in raw["services"]),
            request_classes=tuple(request_class["name"] for request_class in raw["classes"]),
            contracts=frozenset(raw.get("contracts", ())),
            named_kinds=frozenset(re.findall(r'\bkind = "([a-z_]+)"', text)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise SiteFileError(f"missing or wrong: {error}", "content") from error
