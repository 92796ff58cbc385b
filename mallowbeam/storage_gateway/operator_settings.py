"""The operators' (fronts) file: settings outside the platform's configuration, one section per subsystem.

The file is JSON, validated against typed structs.  A start validates it only if something is enabled, so that
a start with everything off doesn't import this module; `mallowbeam config check` always validates it.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from mallowbeam.storage_gateway.server.config import GatewayConfigError

MIB = 1 << 20
Size = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1)]
Address = Annotated[str, Meta(pattern=r"^.+:\d{1,5}$", description="host:port")]
ERROR_PATH = re.compile(r"(.*) - at `\$?\.?(.*)`\Z", re.DOTALL)
T = TypeVar("T")


class Section(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base class of sections; an unknown key is an error."""


class Classes(Section, forbid_unknown_fields=True, frozen=True):
    """The platform's request classes used for the object API's reads and writes."""

    read: Name
    write: Name


class ObjectsSection(Section, forbid_unknown_fields=True, frozen=True):
    """The object API; off without `listen`."""

    classes: Classes
    plan: Name
    unit_bytes: Size
    max_body_bytes: Size
    held_bytes: Size
    listen: Address | None = None
    plans: dict[str, str] = {}
    keys: Name | None = None
    authentication: Literal["off"] | None = None


class ListenSection(Section, forbid_unknown_fields=True, frozen=True):
    """A front whose only setting is its address; off without `listen`."""

    listen: Address | None = None


class BufferSection(Section, forbid_unknown_fields=True, frozen=True):
    """The write-back buffer; off without `folder`.  At a limit: direct writes, or SlowDown."""

    folder: Name | None = None
    buckets: list[Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]$")]] = []
    max_bytes: Annotated[int, Meta(ge=4 * MIB, description="of the folder's segments")] = 256 * MIB
    max_records: Annotated[int, Meta(ge=1, le=10_000_000)] = 200_000
    max_age_s: Annotated[float, Meta(gt=0, le=86_400)] = 300.0
    segment_bytes: Annotated[int, Meta(ge=MIB, le=1024 * MIB)] = 16 * MIB
    cache_bytes: Annotated[int, Meta(ge=0)] = 8 * MIB
    flush_bytes: Annotated[int, Meta(ge=1)] = 16 * MIB
    in_flight: Annotated[int, Meta(ge=1, le=1024)] = 32
    per_shard: Annotated[int, Meta(ge=1, le=1024)] = 8
    repeat_share: Annotated[float, Meta(ge=0, le=1)] = 0.1
    sole_writer: bool = True


class PolicySection(Section, forbid_unknown_fields=True, frozen=True):
    """The fleet's policy log; off without `folder`."""

    folder: Name | None = None
    name: Name | None = None
    listen: Address | None = None
    members: dict[str, Address] = {}
    dial: dict[str, Address] = {}
    beat_s: Annotated[float, Meta(ge=0.05, le=10)] = 0.25
    lease_s: Annotated[float, Meta(ge=0.2, le=60)] = 2.0
    when_stale: Literal["refuse", "serve"] = "refuse"


class SubsystemSection(Section, forbid_unknown_fields=True, frozen=True):
    """A subsystem on the fleet's log; off without `on`.  Settings must be the same on all members."""

    on: bool = False


class MaintenanceSection(SubsystemSection, forbid_unknown_fields=True, frozen=True):
    """Maintenance of machines, in an order on which the gateways agree; in seconds, the same on all members.

    `lease_s` is how long the others rely on a gateway's last report while machines are changing state, and
    how long the gateway serves by that report; `warm_s` is how long a machine that is back is cold.
    """

    lease_s: Annotated[float, Meta(ge=0.5, le=60)] = 2.0
    report_s: Annotated[float, Meta(ge=0.05, le=20)] = 0.5
    warm_s: Annotated[float, Meta(ge=0, le=600)] = 5.0


class SharesSection(SubsystemSection, forbid_unknown_fields=True, frozen=True):
    """Fair shares of tenants across gateways; in seconds, the same on all members.

    An epoch takes at least `epoch_s`, demand is measured in windows of `window_s`, and a gateway without a
    report for `quiet_s` has no demand.  `lease_s` is how long one that is cut off keeps its share.
    """

    epoch_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    window_s: Annotated[float, Meta(ge=0.05, le=10)] = 0.3
    lease_s: Annotated[float, Meta(ge=0.5, le=60)] = 3.0
    quiet_s: Annotated[float, Meta(ge=1, le=300)] = 5.0


class PoolsSection(SubsystemSection, forbid_unknown_fields=True, frozen=True):
    """Connection budgets, set by the pool language."""


# The subsystems on the fleet's log, by section name; each is imported only if enabled.
SUBSYSTEMS: dict[str, type[SubsystemSection]] = {
    "maintenance": MaintenanceSection,
    "shares": SharesSection,
    "pools": PoolsSection,
}


class Operators(Section, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    objects: ObjectsSection | None = None
    health: ListenSection | None = None
    agent_check: ListenSection | None = None
    buffer: BufferSection | None = None
    policy: PolicySection | None = None
    maintenance: MaintenanceSection | None = None
    shares: SharesSection | None = None
    pools: PoolsSection | None = None


def convert(kind: type[T], raw: object, path: str = "") -> T:
    """Converts a section of the file to its struct; raises `GatewayConfigError` with the faulty path."""
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise GatewayConfigError(format_error(str(error), path)) from None


def format_error(text: str, path: str = "") -> str:
    """Rewrites a message of msgspec as `path: fault`."""
    match = ERROR_PATH.match(text)
    text, inner = match.groups() if match else (text, "")
    place = ".".join(part for part in (path, inner) if part)
    return f"{place or 'the file'}: {text[:1].lower()}{text[1:]}"


def check(raw: Mapping[str, Any]) -> Operators:
    """Validates the complete file, also across its sections; raises `GatewayConfigError`."""
    operators = convert(Operators, raw)
    _check_buffer(operators)
    _check_policy(operators)
    _check_subsystems(operators)
    _check_maintenance(operators)
    _check_shares(operators)
    return operators


def _check_buffer(operators: Operators) -> None:
    buffer, objects = operators.buffer, operators.objects
    if buffer is None or buffer.folder is None:
        return
    if objects is None or objects.listen is None:
        raise GatewayConfigError("buffer.folder: the buffer stands behind the object API, which is off")
    if not buffer.buckets:
        raise GatewayConfigError("buffer.buckets: must name at least one bucket")
    if buffer.max_bytes < 4 * buffer.segment_bytes:
        raise GatewayConfigError("buffer.segment_bytes: must be at most a quarter of max_bytes")


def _check_policy(operators: Operators) -> None:
    policy = operators.policy
    if policy is None or policy.folder is None:
        return
    if policy.listen is None:
        raise GatewayConfigError(
            "policy.listen: must be the address at which the policy is uploaded and shown"
        )
    if policy.name not in policy.members:
        raise GatewayConfigError("policy.name: must be among the members")
    if policy.lease_s < 2 * policy.beat_s:
        raise GatewayConfigError("policy.lease_s: must be at least twice policy.beat_s")


def _check_subsystems(operators: Operators) -> None:
    policy = operators.policy
    if policy is not None and policy.folder is not None:
        return
    for name in SUBSYSTEMS:
        section: SubsystemSection | None = getattr(operators, name)
        if section is not None and section.on:
            raise GatewayConfigError(f"{name}.on: it stands on the fleet's log, and policy.folder is off")


def _check_maintenance(operators: Operators) -> None:
    maintenance, policy = operators.maintenance, operators.policy
    if maintenance is None or not maintenance.on or policy is None:
        return
    if maintenance.lease_s < max(policy.lease_s, 2 * maintenance.report_s):
        raise GatewayConfigError(
            "maintenance.lease_s: must be at least policy.lease_s and twice maintenance.report_s"
        )


def _check_shares(operators: Operators) -> None:
    shares, policy = operators.shares, operators.policy
    if shares is None or not shares.on or policy is None:
        return
    if shares.lease_s < policy.lease_s:
        raise GatewayConfigError("shares.lease_s: must be at least policy.lease_s")
    if shares.quiet_s < shares.lease_s:
        raise GatewayConfigError("shares.quiet_s: must be at least shares.lease_s")
    if shares.window_s > shares.epoch_s:
        raise GatewayConfigError("shares.window_s: must be at most shares.epoch_s")


def schema() -> dict[str, Any]:
    """Returns the JSON Schema of the file."""
    return msgspec.json.schema(Operators)
