"""Rules of the pool language as typed values, its defaults and its bounds.

Rules of one kind keep the text's order, as the first matching one decides; the order between kinds has no
meaning.  A term is None if the rule does not set it.  Rules are equal if their texts use the same words.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.storage_gateway.coordination.pools.expressions import (
    EVERYTHING,
    Expression,
    SourcePosition,
    position_field,
)

# Limits; a text that exceeds one of them is rejected with `PoolBoundError`.
MAX_TEXT_BYTES = 64 * 1024  # the same as for a whole policy
MAX_RULES = 512  # of all kinds together
MAX_DEPTH = 16  # of nested parentheses and `not`
MAX_FACTS = 8  # different facts in conditions, as checks enumerate all 2**8 scenarios
MAX_CONNECTIONS = 65_535  # of a budget, floor or ceiling
MAX_WEIGHT = 10_000
MAX_RECALL_MS = 60_000
MAX_NAME_LENGTH = 128  # characters

LANGUAGE_VERSION = 1  # stated in the first line of a text; newer versions are rejected

DEFAULT_WEIGHT = 1
DEFAULT_GATEWAY_FLOOR = 1  # of a gateway or group, so that it can reach the node
DEFAULT_TENANT_FLOOR = 0
DEFAULT_RECALL_MS = 2_000  # well above a latency target, so that most loans end before the deadline
DEFAULT_LENT_PERCENT = 100


@dataclass(frozen=True, slots=True)
class Terms:
    """Weight, minimum (`floor`) and maximum (`ceiling`) of connections."""

    weight: int | None = None
    floor: int | None = None
    ceiling: int | None = None


@dataclass(frozen=True, slots=True)
class Loan:
    """Which of its idle connections at a gateway a tenant lends, and to which tenants."""

    percent: int | None = None  # of its own connections; None: all of them
    borrowers: Expression = EVERYTHING
    reserve: int | None = None  # connections that are never lent; None: 0
    recall_ms: int | None = None  # deadline for a recalled connection; None: that of the document


@dataclass(frozen=True, slots=True)
class TenantClass:
    """`class "batch" is ...`: a named set of tenants, chosen by names, plans and earlier classes."""

    name: str
    members: Expression
    position: SourcePosition = position_field()


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """`budget 100 for nodes ...`: the connections that each such node accepts from all gateways."""

    connections: int
    nodes: Expression
    when: Expression = EVERYTHING
    position: SourcePosition = position_field()


@dataclass(frozen=True, slots=True)
class GatewayRule:
    """`gateways ...: weight 2`: how a node's budget is divided over gateways."""

    gateways: Expression
    nodes: Expression
    when: Expression
    terms: Terms
    position: SourcePosition = position_field()


@dataclass(frozen=True, slots=True)
class SharingRule:
    """`share gateways ...: in turns`: a group of gateways that shares one part of the budget.

    `through` names the gateway that uses the whole part; None: the members take turns.
    """

    gateways: Expression
    nodes: Expression
    when: Expression
    terms: Terms
    through: str | None = None
    position: SourcePosition = position_field()


@dataclass(frozen=True, slots=True)
class TenantRule:
    """`tenants ...: floor 1`: how a gateway's connections to a node are divided over tenants and lent."""

    tenants: Expression
    nodes: Expression
    gateways: Expression
    when: Expression
    terms: Terms
    loan: Loan = Loan()
    position: SourcePosition = position_field()


Rule = TenantClass | BudgetRule | GatewayRule | SharingRule | TenantRule


@dataclass(frozen=True, slots=True)
class PoolsDocument:
    """A text of the pool language."""

    recall_ms: int | None = None
    classes: tuple[TenantClass, ...] = ()
    budgets: tuple[BudgetRule, ...] = ()
    gateways: tuple[GatewayRule, ...] = ()
    sharing: tuple[SharingRule, ...] = ()
    tenants: tuple[TenantRule, ...] = ()
