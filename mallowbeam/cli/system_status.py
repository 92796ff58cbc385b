"""The fleet's state as a member tells it at GET /mallowbeam/status, checked, and as tables for people."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowbeam.cli.system_client import Answer
from mallowbeam.cli.system_errors import BadAnswerError

STATUS_PATH = "/mallowbeam/status"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member as the one that was asked sees it."""

    id: str
    address: str
    control: str
    zone: str
    voter: bool
    silence_ms: float  # since it was last heard


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """An instance in the table of the member that was asked."""

    id: str
    backend: str
    address: str
    zone: str
    state: str
    stage: str


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """One member's view of the fleet."""

    asked: str  # address that answered
    member: str
    leader: str  # empty: none is known
    term: int
    role: str
    commit_index: int
    applied_index: int
    gateways: int
    revision: int  # of the configuration; 0: none yet
    members: tuple[MemberStatus, ...]
    instances: tuple[InstanceStatus, ...]


def read_status(answer: Answer) -> FleetStatus:
    """Check a member's answer; raises :class:`BadAnswerError`."""
    document = answer.document()
    own = document.get("member")
    try:
        return FleetStatus(
            asked=answer.address,
            member=str(own["id"]) if isinstance(own, dict) else "",
            leader=str(document["leader"] or ""),
            term=_whole(document["term"]),
            role=str(document["role"]),
            commit_index=_whole(document["commit_index"]),
            applied_index=_whole(document["applied_index"]),
            gateways=_whole(document["gateways"]),
            revision=_whole(document["revision"]),
            members=tuple(_member(entry) for entry in _entries(document, "members")),
            instances=tuple(_instance(entry) for entry in _entries(document, "instances")),
        )
    except KeyError as error:
        raise BadAnswerError(f"{error.args[0]} is missing", f"{answer.address}{STATUS_PATH}") from None
    except (TypeError, ValueError) as error:
        raise BadAnswerError(str(error), f"{answer.address}{STATUS_PATH}") from None


def _whole(value: object) -> int:
    """A whole number; raises TypeError."""
    if not isinstance(value, int):
        raise TypeError(f"no number: {value!r}")
    return value


def _entries(document: dict[str, object], key: str) -> list[dict[str, object]]:
    entries = document[key]
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise TypeError(f"{key} is no list of objects")
    return entries


def _member(entry: dict[str, object]) -> MemberStatus:
    silence = entry["silence_ms"]
    if not isinstance(silence, int | float):
        raise TypeError(f"no number: {silence!r}")
    return MemberStatus(
        str(entry["id"]),
        str(entry["address"]),
        str(entry["control"]),
        str(entry["zone"]),
        bool(entry["voter"]),
        float(silence),
    )


def _instance(entry: dict[str, object]) -> InstanceStatus:
    keys = ("id", "backend", "address", "zone", "state", "stage")
    return InstanceStatus(*(str(entry[key]) for key in keys))


def status_text(status: FleetStatus, each_instance: bool) -> str:
    """The whole view for people."""
    parts = [
        f"asked {status.asked} ({status.role}, member {status.member}), term {status.term}, "
        f"leader {status.leader or 'none'}, "
        f"commit {status.commit_index}, applied {status.applied_index}",
        f"configuration {status.revision or 'none'}, gateways {status.gateways}, "
        f"instances {len(status.instances)}",
        members_table(status),
        instances_table(status.instances) if each_instance else counts_table(status.instances),
    ]
    return "\n\n".join(part for part in parts if part)


def members_table(status: FleetStatus) -> str:
    """The members, the leader marked."""
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
    """How many instances of each service, stage and zone are in which state."""
    counts = Counter((one.backend, one.stage or "-", one.zone, one.state) for one in instances)
    rows = ((*key, str(count)) for key, count in sorted(counts.items()))
    return table(("BACKEND", "STAGE", "ZONE", "STATE", "INSTANCES"), rows)


def instances_table(instances: Iterable[InstanceStatus]) -> str:
    """Every instance."""
    rows = (
        (one.id, one.backend, one.stage or "-", one.zone, one.address, one.state)
        for one in sorted(instances, key=lambda one: (one.backend, one.stage, one.id))
    )
    return table(("INSTANCE", "BACKEND", "STAGE", "ZONE", "ADDRESS", "STATE"), rows)


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Columns two spaces apart, under their heads; empty where there is no row."""
    lines = [tuple(heads), *(tuple(row) for row in rows)]
    if len(lines) == 1:
        return ""
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
