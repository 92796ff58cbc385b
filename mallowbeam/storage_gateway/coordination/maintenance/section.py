"""The policy's section `maintenance`, as operators write it (docs/maintenance.md, "Requests").

Field names are the keys of the policy document, so they are not renamed.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

MAX_REQUESTS = 64  # of one policy; a push with more is rejected
MAX_MACHINES = 1024  # of one request; a push with more is rejected

Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
MachineCount = Annotated[int, Meta(ge=1, le=MAX_MACHINES)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Machines to take out of service one after the other, and the constraints that apply meanwhile."""

    id: Name
    machines: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MAX_MACHINES)]
    at_once: MachineCount = 1  # maximum number of machines unavailable at the same time
    at_once_zone: MachineCount = 1  # the same, within one zone
    zone_floor: Fraction = 0.5  # fraction of a zone's weight that stays available
    shard_floor: Fraction = 0.0  # fraction of a shard's weight that stays available
    sole_data: bool = False  # a node may go out of service although no other node serves its data
    repeats: Literal["", "all", "zone", "shard"] = ""  # nodes that serve each other's retries: never together
    time_s: Annotated[float, Meta(gt=0.0, le=604800.0)] = 3600.0  # deadline per machine, agreed to done
    on_time_up: Literal["go on", "stop"] = "stop"


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section as a whole."""

    requests: Annotated[tuple[Request, ...], Meta(max_length=MAX_REQUESTS)] = ()


def read_section(policy: Any) -> Section:
    """The section of a policy (a mapping or an object); empty if the policy has none.

    Raises:
        msgspec.ValidationError: the section does not follow its schema.
    """
    value = policy.get("maintenance") if isinstance(policy, dict) else getattr(policy, "maintenance", None)
    return Section() if value is None else msgspec.convert(value, Section, from_attributes=True)
