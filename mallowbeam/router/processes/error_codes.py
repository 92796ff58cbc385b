"""The table of error codes: every :class:`MallowbeamError` of the router fleet has a stable one.

A class states its code as ``code``; a class with several codes lists them as ``codes``.
"""

from __future__ import annotations

from collections.abc import Iterator

from mallowbeam.errors import MallowbeamError


def error_types() -> Iterator[type[MallowbeamError]]:
    """All loaded error types below the base, each once."""
    seen: set[type[MallowbeamError]] = set()
    pending: list[type[MallowbeamError]] = [MallowbeamError]
    while pending:
        for error_type in pending.pop().__subclasses__():
            if error_type not in seen:
                seen.add(error_type)
                pending.append(error_type)
                yield error_type


def codes_of(error_type: type[MallowbeamError]) -> tuple[str, ...]:
    """The codes that a class itself states, without inherited ones."""
    own = vars(error_type)
    code = own.get("code")
    codes = tuple(own.get("codes", ()))
    return (code, *codes) if isinstance(code, str) and code else codes


def code_table() -> dict[str, type[MallowbeamError]]:
    """Error types by code, of all modules loaded so far; raises ValueError if two types share a code."""
    table: dict[str, type[MallowbeamError]] = {}
    for error_type in error_types():
        for code in codes_of(error_type):
            if code in table:
                raise ValueError(f"{code}: {table[code].__name__} and {error_type.__name__}")
            table[code] = error_type
    return table
