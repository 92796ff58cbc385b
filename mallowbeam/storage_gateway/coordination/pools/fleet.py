"""The fleet that a text of the pool language is applied to, and the facts on which its conditions depend."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Node:
    """A storage node."""

    name: str
    zone: str = ""
    model: str = ""


@dataclass(frozen=True, slots=True)
class Gateway:
    """A gateway."""

    name: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its plan, and the gateways that it connects through (None: all)."""

    name: str
    plan: str = ""
    gateways: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Fleet:
    """The members of the fleet."""

    gateways: tuple[Gateway, ...]
    nodes: tuple[Node, ...]
    tenants: tuple[Tenant, ...] = ()
    max_gateways: int = 0  # how many gateways there may be; 0: as many as are named
    plans: frozenset[str] = frozenset()  # plans known besides those of the tenants


@dataclass(frozen=True, slots=True)
class Facts:
    """What the fleet has agreed on; by default no zone is out and nothing is in maintenance."""

    zones_out: frozenset[str] = frozenset()
    in_maintenance: frozenset[str] = frozenset()


NO_FACTS = Facts()
