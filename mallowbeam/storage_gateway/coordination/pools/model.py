"""What a text of the pool language says, typed: frozen values, equal where the texts say the same words.

Rules of one kind stand in the text's order, as the first that matches decides; the order between kinds says
nothing and is not kept.  A `Place` is no part of a value's equality.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MOST_TEXT = 64 * 1024  # bytes of a text, as of a whole policy; beyond: PoolBound
MOST_RULES = 512  # rules of all kinds together; beyond: PoolBound
MOST_DEPTH = 16  # parentheses and `not` inside each other; beyond: PoolBound
MOST_FACTS = 8  # facts that conditions name: checks look at 2**8 worlds; beyond: PoolBound
MOST_CONNECTIONS = 65_535  # connections of a budget, floor or ceiling; beyond: PoolBound
MOST_WEIGHT = 10_000  # a weight; beyond: PoolBound
MOST_RECALL = 60_000  # milliseconds until a loan has to be back; beyond: PoolBound
MOST_NAME = 128  # characters of a name; beyond: PoolBound
LANGUAGE = 1  # the version in the first line; a newer one is refused

WEIGHT = 1  # of a gateway, group or tenant that no rule gives one
SEAT = 1  # the floor of a gateway or group that no rule gives one: it can reach the node
RECALL = 2_000  # milliseconds: well above an aim, so that most busy loans end by themselves


@dataclass(frozen=True, slots=True)
class Place:
    """Where in the text something stands, counted from 1, and how it reads there."""

    line: int = 0
    column: int = 0
    text: str = ""


NOWHERE = Place()


def _at() -> Place:
    return field(default=NOWHERE, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Every:
    """`all`: whatever there is; as a condition, always."""


@dataclass(frozen=True, slots=True)
class Is:
    """`zone "a", "b"`: one of the names stands under that key."""

    key: str
    names: tuple[str, ...]
    at: Place = _at()


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """`zone "a" is out`: the fleet has agreed that it is."""

    zone: str
    at: Place = _at()


@dataclass(frozen=True, slots=True)
class InMaintenance:
    """`machine "n1" is in maintenance`: the fleet has agreed that it is."""

    machine: str
    at: Place = _at()


@dataclass(frozen=True, slots=True)
class Not:
    """The other ones."""

    of: Expr


@dataclass(frozen=True, slots=True)
class And:
    """All of two or more."""

    of: tuple[Expr, ...]


@dataclass(frozen=True, slots=True)
class Or:
    """Any of two or more."""

    of: tuple[Expr, ...]


Expr = Every | Is | ZoneOut | InMaintenance | Not | And | Or
EVERY = Every()


@dataclass(frozen=True, slots=True)
class Terms:
    """How much; None where the rule leaves it at the default."""

    weight: int | None = None
    floor: int | None = None
    ceiling: int | None = None


@dataclass(frozen=True, slots=True)
class Loan:
    """What a tenant lends at its gateway when idle: `percent` of its own, `keep` always kept, to whom."""

    percent: int | None = None  # None: all of it
    to: Expr = EVERY
    keep: int | None = None  # None: 0
    recall: int | None = None  # milliseconds; None: the text's


@dataclass(frozen=True, slots=True)
class Class:
    """`class "batch" is ...`: a name for some tenants, by names, plans and earlier classes."""

    name: str
    of: Expr
    at: Place = _at()


@dataclass(frozen=True, slots=True)
class Budget:
    """`budget 100 for nodes ...`: the connections that each such node holds in all."""

    connections: int
    nodes: Expr
    when: Expr = EVERY
    at: Place = _at()


@dataclass(frozen=True, slots=True)
class Gateways:
    """`gateways ...: weight 2`: how a node's budget goes over gateways."""

    who: Expr
    nodes: Expr
    when: Expr
    terms: Terms
    at: Place = _at()


@dataclass(frozen=True, slots=True)
class Share:
    """`share gateways ...: in turns`: one seat for all; `through` names who holds it, None by turns."""

    who: Expr
    nodes: Expr
    when: Expr
    terms: Terms
    through: str | None = None
    at: Place = _at()


@dataclass(frozen=True, slots=True)
class Tenants:
    """`tenants ...: floor 1`: how what a gateway has at a node goes over tenants, and what they lend."""

    who: Expr
    nodes: Expr
    gateways: Expr
    when: Expr
    terms: Terms
    loan: Loan = Loan()
    at: Place = _at()


Rule = Class | Budget | Gateways | Share | Tenants


@dataclass(frozen=True, slots=True)
class Pools:
    """A whole text."""

    recall: int | None = None  # milliseconds
    classes: tuple[Class, ...] = ()
    budgets: tuple[Budget, ...] = ()
    gateways: tuple[Gateways, ...] = ()
    shares: tuple[Share, ...] = ()
    tenants: tuple[Tenants, ...] = ()


# --- what it is about ---------------------------------------------------------------------------------


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
    """A tenant, its plan, and the gateways through which it comes (None: all)."""

    name: str
    plan: str = ""
    gateways: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Fleet:
    """The members, and how many gateways there may be at most (0: as many as are named)."""

    gateways: tuple[Gateway, ...]
    nodes: tuple[Node, ...]
    tenants: tuple[Tenant, ...] = ()
    most: int = 0
    plans: frozenset[str] = frozenset()  # plans known besides those of the tenants


@dataclass(frozen=True, slots=True)
class Facts:
    """What the fleet has agreed on: zones that are out, machines in maintenance."""

    out: frozenset[str] = frozenset()
    maintenance: frozenset[str] = frozenset()
