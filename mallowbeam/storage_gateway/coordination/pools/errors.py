"""Errors of the pool language, with position, excerpt and remedy.

Errors of the parser library are always converted to these.
"""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.pools.expressions import UNKNOWN_POSITION, SourcePosition


class PoolError(MallowbeamError):
    """A text of the pool language has an error at `position`."""

    error_name = "PoolError"
    remedy = "correct the pools text there and push it again"

    def __init__(
        self,
        what: str,
        where: str = "",
        remedy: str = "",
        position: SourcePosition = UNKNOWN_POSITION,
    ) -> None:
        if position.line and not where:
            where = f"line {position.line}, column {position.column}, at `{position.text}`"
        super().__init__(what, where, remedy)
        self.position = position

    def as_dict(self) -> dict[str, str]:
        """The base class's fields and the position, for a JSON response."""
        position = self.position
        return super().as_dict() | {
            "line": str(position.line),
            "column": str(position.column),
            "text": position.text,
        }


class PoolSyntaxError(PoolError):
    """The text does not follow the grammar."""

    error_name = "PoolSyntax"
    remedy = "write it as docs/formats/pool-language.md has it"


class PoolBoundError(PoolError):
    """A number, the text's size or its nesting exceeds a limit."""

    error_name = "PoolBound"
    remedy = "keep within the bounds of docs/formats/pool-language.md"


class PoolNameError(PoolError):
    """A name that the fleet does not know, or one defined twice."""

    error_name = "PoolName"
    remedy = "use a name that the fleet knows"


class PoolTermsError(PoolError):
    """Terms of one rule that contradict each other or have no effect."""

    error_name = "PoolTerms"
    remedy = "give a weight of 1 or more, and a ceiling that is not below the floor"


class PoolUnreachableError(PoolError):
    """A rule that can never be the first to match."""

    error_name = "PoolUnreachable"
    remedy = "take the rule out, or put it before the one that covers it"


class PoolOvercommittedError(PoolError):
    """Floors add up to more than the available connections at some allowed fleet size."""

    error_name = "PoolOvercommitted"
    remedy = "lower the floors, raise the budget, or allow fewer gateways"


class PoolTooFewError(PoolError):
    """A budget has fewer connections than gateways, and no rule says which gateways share."""

    error_name = "PoolTooFew"
    remedy = (
        'say who shares: `share gateways name "g1", "g2": in turns;` (or `through "g1"`), or who '
        'holds none: `gateways name "g3": ceiling 0;`'
    )
