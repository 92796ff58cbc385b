"""Expressions of the pool language: the nodes, gateways or tenants that a rule matches, and its conditions.

They are immutable values that are equal if the texts use the same words; positions are not compared.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SourcePosition:
    """A position in the text: `line` and `column` count from 1; `text` is an excerpt that starts there."""

    line: int = 0
    column: int = 0
    text: str = ""


UNKNOWN_POSITION = SourcePosition()


def position_field() -> SourcePosition:
    """A dataclass field for a position; unknown by default and not compared."""
    return field(default=UNKNOWN_POSITION, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Everything:
    """`all`: every node, gateway or tenant; as a condition, always."""


@dataclass(frozen=True, slots=True)
class KeyIn:
    """`zone "a", "b"`: the value under the key is one of these names."""

    key: str
    names: tuple[str, ...]
    position: SourcePosition = position_field()


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """`zone "a" is out`: the fleet has agreed that the zone has failed."""

    zone: str
    position: SourcePosition = position_field()


@dataclass(frozen=True, slots=True)
class InMaintenance:
    """`machine "n1" is in maintenance`: the fleet has agreed that the machine is out of service."""

    machine: str
    position: SourcePosition = position_field()


@dataclass(frozen=True, slots=True)
class Not:
    """Matches if the operand does not match."""

    operand: Expression


@dataclass(frozen=True, slots=True)
class And:
    """Matches if all of two or more operands match."""

    operands: tuple[Expression, ...]


@dataclass(frozen=True, slots=True)
class Or:
    """Matches if any of two or more operands matches."""

    operands: tuple[Expression, ...]


Expression = Everything | KeyIn | ZoneOut | InMaintenance | Not | And | Or
EVERYTHING = Everything()
