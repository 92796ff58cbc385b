"""The fleet to which a text of the pool language applies, and the facts that its conditions test."""

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
    max_gateways: int = 0  # maximum number of gateways; 0: only those named
    plans: frozenset[str] = frozenset()  # known plans in addition to those of the tenants


@dataclass(frozen=True, slots=True)
class Facts:
    """Facts that the fleet has agreed on; by default no zone is out and no machine is in maintenance."""

    zones_out: frozenset[str] = frozenset()
    in_maintenance: frozenset[str] = frozenset()


NO_FACTS = Facts()
