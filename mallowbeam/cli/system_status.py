"""Parses a member's view of the fleet (GET /mallowbeam/status) and formats it as tables."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowbeam.cli.system_client import Answer
from mallowbeam.cli.system_errors import BadAnswerError

STATUS_PATH = "/mallowbeam/status"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member of the control plane, as the answering member sees it."""

    id: str
    address: str
    control: str
    zone: str
    voter: bool
    silence_ms: float  # time since its last message


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """An instance in the registry of the answering member."""

    id: str
    backend: str
    address: str
    zone: str
    state: str
    stage: str


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """One member's view of the fleet."""

    answered_by: str  # control address
    member: str
    leader: str  # empty if none is known
    term: int
    role: str
    commit_index: int
    applied_index: int
    gateways: int
    revision: int  # of the configuration; 0 if there is none yet
    members: tuple[MemberStatus, ...]
    instances: tuple[InstanceStatus, ...]


def read_status(answer: Answer) -> FleetStatus:
    """Parse a member's answer; raises :class:`BadAnswerError` if a field is missing or has a wrong type."""
    document = answer.document()
    own = document.get("member")
    try:
        return FleetStatus(
            answered_by=answer.address,
            member=str(own["id"]) if isinstance(own, dict) else "",
            leader=str(document["leader"] or ""),
            term=_integer(document["term"]),
            role=str(document["role"]),
            commit_index=_integer(document["commit_index"]),
            applied_index=_integer(document["applied_index"]),
            gateways=_integer(document["gateways"]),
            revision=_integer(document["revision"]),
            members=tuple(_member(entry) for entry in _entries(document, "members")),
            instances=tuple(_instance(entry) for entry in _entries(document, "instances")),
        )
    except KeyError as error:
        raise BadAnswerError(f"{error.args[0]} is missing", f"{answer.address}{STATUS_PATH}") from None
    except (TypeError, ValueError) as error:
        raise BadAnswerError(str(error), f"{answer.address}{STATUS_PATH}") from None


def _integer(value: object) -> int:
    """Return the value if it is an integer; otherwise raises TypeError."""
    if not isinstance(value, int):
        raise TypeError(f"not a number: {value!r}")
    return value


def _entries(document: dict[str, object], key: str) -> list[dict[str, object]]:
    entries = document[key]
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise TypeError(f"{key} is not a list of objects")
    return entries


def _member(entry: dict[str, object]) -> MemberStatus:
    silence_ms = entry["silence_ms"]
    if not isinstance(silence_ms, int | float):
        raise TypeError(f"not a number: {silence_ms!r}")
    return MemberStatus(
        str(entry["id"]),
        str(entry["address"]),
        str(entry["control"]),
        str(entry["zone"]),
        bool(entry["voter"]),
        float(silence_ms),
    )


def _instance(entry: dict[str, object]) -> InstanceStatus:
    keys = ("id", "backend", "address", "zone", "state", "stage")
    return InstanceStatus(*(str(entry[key]) for key in keys))


def status_text(status: FleetStatus, each_instance: bool) -> str:
    """Format the complete view as text, with a row for each instance or with instance counts."""
    sections = [
        f"asked {status.answered_by} ({status.role}, member {status.member}), term {status.term}, "
        f"leader {status.leader or 'none'}, "
        f"commit {status.commit_index}, applied {status.applied_index}",
        f"configuration {status.revision or 'none'}, gateways {status.gateways}, "
        f"instances {len(status.instances)}",
        members_table(status),
        instances_table(status.instances) if each_instance else counts_table(status.instances),
    ]
    return "\n\n".join(section for section in sections if section)


def members_table(status: FleetStatus) -> str:
    """Format a row for each member, with its role."""
    rows = (
        (
            member.id,
            member.address,
            member.control,
            member.zone,
            "leader" if member.id == status.leader else "voter" if member.voter else "learner",
            f"{member.silence_ms:.0f}",
        )
        for member in status.members
    )
    return table(("MEMBER", "PEER ADDRESS", "CONTROL", "ZONE", "ROLE", "SILENT MS"), rows)


def counts_table(instances: Iterable[InstanceStatus]) -> str:
    """Format the number of instances by backend, stage, zone and state."""
    counts = Counter(
        (instance.backend, instance.stage or "-", instance.zone, instance.state) for instance in instances
    )
    rows = ((*key, str(count)) for key, count in sorted(counts.items()))
    return table(("BACKEND", "STAGE", "ZONE", "STATE", "INSTANCES"), rows)


def instances_table(instances: Iterable[InstanceStatus]) -> str:
    """Format a row for each instance, ordered by backend, stage and id."""
    rows = (
        (
            instance.id,
            instance.backend,
            instance.stage or "-",
            instance.zone,
            instance.address,
            instance.state,
        )
        for instance in sorted(instances, key=lambda entry: (entry.backend, entry.stage, entry.id))
    )
    return table(("INSTANCE", "BACKEND", "STAGE", "ZONE", "ADDRESS", "STATE"), rows)


def table(headers: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Format rows in aligned columns below their headers; returns an empty text without rows."""
    lines = [tuple(headers), *(tuple(row) for row in rows)]
    if len(lines) == 1:
        return ""
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
