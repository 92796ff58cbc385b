"""A policy's text: its sections, their types, and the canonical form from which digests are made.

The text is JSON.  `drains` and `plans` belong to the fleet itself, the other sections to the subsystems: each
registers its section's type (`register_section`) when it is loaded, and its state machine validates the
section's content (`StateMachine.apply_policy`).  The log parses a text with `read_policy` only, which uses
none of these types: whether a member accepts a text must not depend on which subsystems it has loaded.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from mallowbeam.storage_gateway.coordination.errors import InvalidPolicyError
from mallowbeam.storage_gateway.scheduler.interface import Plan

MAX_POLICY_BYTES = 64 * 1024
MAX_PLANS = 1000  # of one policy; each is one event for the scheduler
MAX_DEPTH = 32  # levels of nested values; far below any parser's recursion limit
SUBSYSTEMS = ("maintenance", "shares", "pools")  # each a section of a policy, and of the operators' file

Name = Annotated[str, Meta(min_length=1, max_length=256)]
Amount = Annotated[float, Meta(ge=0)]
T = TypeVar("T")


class PlanOverride(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """One plan's figures over all gateways, units a second; a figure left out stays as in the settings."""

    name: Name
    limit: Amount | None = None
    reserve: Amount | None = None
    weight: Annotated[float, Meta(gt=0)] | None = None
    limit_burst: Amount | None = None
    limit_slack: Amount | None = None
    price: Amount | None = None

    def applied_to(self, plan: Plan) -> Plan:
        """Return the platform's plan with these figures in place of its own."""
        fields = {name: getattr(self, name) for name in self.__struct_fields__}
        return replace(plan, **{name: value for name, value in fields.items() if value is not None})


class Policy(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """A policy.

    `drains` are the ids of nodes in discovery.  A subsystem's section has the type that its package
    registers; it is None where the policy has no such section.
    """

    drains: list[Name] = []
    plans: Annotated[list[PlanOverride], Meta(max_length=MAX_PLANS)] = []
    maintenance: dict[str, Any] | None = None
    shares: dict[str, Any] | None = None
    pools: dict[str, Any] | None = None


_TYPES: dict[str, type[msgspec.Struct]] = {}  # by section


def register_section(section: str, kind: type[msgspec.Struct]) -> None:
    """Register the type of a section; called when the subsystem's package is loaded."""
    if section not in SUBSYSTEMS:
        raise ValueError(f"a policy has no section {section}")
    _TYPES[section] = kind


def section_of(policy: Policy, name: str, kind: type[T]) -> T | None:
    """Convert a subsystem's section to its type, None if there is none; raises `InvalidPolicyError`."""
    raw = getattr(policy, name)
    if raw is None:
        return None
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        what, _, path = str(error).partition(" - at `$")
        raise InvalidPolicyError(what, name + path.rstrip("`")) from None


def read_policy(text: bytes | str) -> Policy:
    """Parse a policy's text and check the fleet's own sections; raises `InvalidPolicyError`."""
    if len(text) > MAX_POLICY_BYTES:
        what = f"a policy of {len(text)} bytes, at most {MAX_POLICY_BYTES}"
        raise InvalidPolicyError(what, remedy="push fewer rules at once")
    try:
        policy = msgspec.json.decode(text, type=Policy)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        what, _, path = str(error).partition(" - at `$")
        raise InvalidPolicyError(what, path.strip(".`")) from None
    counts = Counter(plan.name for plan in policy.plans)
    if duplicates := sorted(name for name, count in counts.items() if count > 1):
        raise InvalidPolicyError(f"plan {duplicates[0]} is listed twice", "plans")
    for name in SUBSYSTEMS:
        if not _is_shallow(getattr(policy, name)):
            raise InvalidPolicyError(f"more than {MAX_DEPTH} nested levels", name)
    return policy


def _is_shallow(raw: object) -> bool:
    """Whether a section is nested no deeper than `MAX_DEPTH`.

    Guards the log: one member could parse a text nested close to the stack's limit, and another could not.
    """
    level = [raw]
    for _ in range(MAX_DEPTH + 1):
        level = [
            item
            for outer in level
            if isinstance(outer, dict | list)
            for item in (outer.values() if isinstance(outer, dict) else outer)
        ]
        if not level:
            return True
    return False


def check_sections(policy: Policy, enabled: tuple[str, ...]) -> None:
    """Check the sections against their types; raises `InvalidPolicyError`, also where a subsystem is off."""
    for name in SUBSYSTEMS:
        if getattr(policy, name) is None:
            continue
        if name not in enabled:
            raise InvalidPolicyError(
                "this subsystem is off",
                name,
                f"turn the section {name} on in the operators' "
                "file of every member, or leave it out of the policy",
            )
        if name in _TYPES:
            section_of(policy, name, _TYPES[name])


def canonical(policy: Policy) -> str:
    """Serialize a policy so that equal ones have equal digests: keys, drains and plans are sorted."""
    sections: dict[str, Any] = {"drains": sorted(set(policy.drains))}
    if policy.plans:
        sections["plans"] = sorted(msgspec.to_builtins(policy.plans), key=lambda plan: str(plan["name"]))
    sections |= {name: raw for name in SUBSYSTEMS if (raw := getattr(policy, name)) is not None}
    return json.dumps(sections, separators=(",", ":"), sort_keys=True)
