"""A policy's text: its sections, what each is checked against, and the one spelling that digests are made of.

JSON. `drains` and `plans` are the fleet's own. The other sections belong to the subsystems: each registers
the type of its own (`register_section`) when it is loaded, and its topic judges what the section says
(`StateMachine.apply_policy`). The log reads a text by `read_policy` alone, which knows no such type: what a
member takes for a policy must not hang on what that member has loaded.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from mallowbeam.storage_gateway.coordination.errors import BadPolicy
from mallowbeam.storage_gateway.scheduler.interface import Plan

MOST = 64 * 1024  # bytes of a policy
MOST_PLANS = 1000  # of one policy; each is one event for the module
MOST_DEPTH = 32  # of what lies within what: far from where any reader gives up
SUBSYSTEMS = ("maintenance", "shares", "pools")  # each a section of a policy, and of the operators' file

Name = Annotated[str, Meta(min_length=1, max_length=256)]
Amount = Annotated[float, Meta(ge=0)]
T = TypeVar("T")


class PlanText(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """One plan's figures over all gateways, units a second; what is left out stays as in the settings."""

    name: Name
    limit: Amount | None = None
    reserve: Amount | None = None
    weight: Annotated[float, Meta(gt=0)] | None = None
    limit_burst: Amount | None = None
    limit_slack: Amount | None = None
    price: Amount | None = None

    def over(self, plan: Plan) -> Plan:
        """The platform's plan with these figures over it."""
        fields = {name: getattr(self, name) for name in self.__struct_fields__}
        return replace(plan, **{name: value for name, value in fields.items() if value is not None})


class Policy(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """What a policy says.

    `drains` are nodes by their ids in discovery; a subsystem's section is as its package types it, None
    where the policy says nothing of it.
    """

    drains: list[Name] = []
    plans: Annotated[list[PlanText], Meta(max_length=MOST_PLANS)] = []
    maintenance: dict[str, Any] | None = None
    shares: dict[str, Any] | None = None
    pools: dict[str, Any] | None = None


_TYPES: dict[str, type[msgspec.Struct]] = {}  # by section: registered by the package that owns it


def register_section(section: str, kind: type[msgspec.Struct]) -> None:
    """A subsystem's package states its section's type, as it is loaded."""
    if section not in SUBSYSTEMS:
        raise ValueError(f"no policy has a section {section}")
    _TYPES[section] = kind


def section_of(policy: Policy, name: str, kind: type[T]) -> T | None:
    """A subsystem's section typed, None where the policy has none; raises `BadPolicy` with the place."""
    raw = getattr(policy, name)
    if raw is None:
        return None
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        what, _, place = str(error).partition(" - at `$")
        raise BadPolicy(what, name + place.rstrip("`")) from None


def read_policy(text: bytes | str) -> Policy:
    """A policy's text, the fleet's own sections checked; raises `BadPolicy`."""
    if len(text) > MOST:
        raise BadPolicy(f"a policy of {len(text)} bytes, at most {MOST}", remedy="push fewer rules at once")
    try:
        policy = msgspec.json.decode(text, type=Policy)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        what, _, place = str(error).partition(" - at `$")
        raise BadPolicy(what, place.strip(".`")) from None
    counts = Counter(plan.name for plan in policy.plans)
    if twice := sorted(name for name, count in counts.items() if count > 1):
        raise BadPolicy(f"plan {twice[0]} is there twice", "plans")
    for name in SUBSYSTEMS:
        if not _shallow(getattr(policy, name)):
            raise BadPolicy(f"more than {MOST_DEPTH} levels within each other", name)
    return policy


def _shallow(raw: object) -> bool:
    """Whether a section keeps to `MOST_DEPTH`.

    Guards the log: what nests as deep as a stack allows is read by one member and not by another.
    """
    level = [raw]
    for _ in range(MOST_DEPTH + 1):
        level = [
            item
            for outer in level
            if isinstance(outer, dict | list)
            for item in (outer.values() if isinstance(outer, dict) else outer)
        ]
        if not level:
            return True
    return False


def check_sections(policy: Policy, on: tuple[str, ...]) -> None:
    """Each subsystem's section against its type; raises `BadPolicy`, also for one that is off."""
    for name in SUBSYSTEMS:
        if getattr(policy, name) is None:
            continue
        if name not in on:
            raise BadPolicy(
                "this subsystem is off",
                name,
                f"turn the section {name} on in the operators' "
                "file of every member, or leave it out of the policy",
            )
        if name in _TYPES:
            section_of(policy, name, _TYPES[name])


def canonical(policy: Policy) -> str:
    """One text for one policy, so that equal ones have equal digests: keys, drains and plans sorted."""
    told: dict[str, Any] = {"drains": sorted(set(policy.drains))}
    if policy.plans:
        told["plans"] = sorted(msgspec.to_builtins(policy.plans), key=lambda plan: str(plan["name"]))
    told |= {name: raw for name in SUBSYSTEMS if (raw := getattr(policy, name)) is not None}
    return json.dumps(told, separators=(",", ":"), sort_keys=True)
