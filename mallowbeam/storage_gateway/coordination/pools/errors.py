"""Errors of the pool language: line, column, the text there, a remedy; the parser's own never get out."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.pools.model import NOWHERE, Place


class PoolError(MallowbeamError):
    """Something is wrong with a text of the pool language; `place` is where."""

    error_name = "PoolError"
    remedy = "correct the pools text there and push it again"

    def __init__(self, what: str, where: str = "", remedy: str = "", place: Place = NOWHERE) -> None:
        if place.line and not where:
            where = f"line {place.line}, column {place.column}, at `{place.text}`"
        super().__init__(what, where, remedy)
        self.place = place

    def told(self) -> dict[str, str]:
        """The base's three and the place, for a JSON answer."""
        at = self.place
        return super().told() | {"line": str(at.line), "column": str(at.column), "text": at.text}


class PoolSyntax(PoolError):
    """The text does not follow the grammar."""

    error_name = "PoolSyntax"
    remedy = "write it as docs/formats/pool-language.md has it"


class PoolBound(PoolError):
    """A number, the text or what it nests is beyond a bound."""

    error_name = "PoolBound"
    remedy = "keep within the bounds of docs/formats/pool-language.md"


class PoolName(PoolError):
    """A name that the fleet does not know, or one given twice."""

    error_name = "PoolName"
    remedy = "use a name that the fleet knows"


class PoolTerms(PoolError):
    """Terms of one rule that contradict each other or say nothing."""

    error_name = "PoolTerms"
    remedy = "give a weight of 1 or more, and a ceiling that is not below the floor"


class PoolUnreachable(PoolError):
    """A rule that can never be the first to match."""

    error_name = "PoolUnreachable"
    remedy = "take the rule out, or put it before the one that covers it"


class PoolOvercommitted(PoolError):
    """Floors that add up to more than there is, at some allowed size of the fleet."""

    error_name = "PoolOvercommitted"
    remedy = "lower the floors, raise the budget, or allow fewer gateways"


class PoolTooFew(PoolError):
    """A budget below one connection for each gateway, and nobody is said to share."""

    error_name = "PoolTooFew"
    remedy = (
        'say who shares: `share gateways name "g1", "g2": in turns;` (or `through "g1"`), or who '
        'holds none: `gateways name "g3": ceiling 0;`'
    )
