"""Parses a text of the pool language into a `PoolsDocument`."""

from __future__ import annotations

from lark.exceptions import LarkError, UnexpectedInput

from mallowbeam.storage_gateway.coordination.pools.errors import PoolBoundError, PoolSyntaxError
from mallowbeam.storage_gateway.coordination.pools.expressions import SourcePosition
from mallowbeam.storage_gateway.coordination.pools.grammar import TERMINALS, parser
from mallowbeam.storage_gateway.coordination.pools.rules import MAX_TEXT_BYTES, PoolsDocument
from mallowbeam.storage_gateway.coordination.pools.tree_reader import EXCERPT_LENGTH, TreeReader

MAX_EXPECTED = 8  # alternatives in a syntax error; a longer list is no help and is omitted


def parse(text: str) -> PoolsDocument:
    """The document that a text describes.

    Raises:
        PoolError: the text is not valid.
    """
    _check_encoding(text)
    lines = text.split("\n")
    try:
        tree = parser().parse(text)
    except UnexpectedInput as error:
        raise _syntax_error(error, lines) from None
    except LarkError as error:  # not known to occur, but no error of the library must escape
        message = str(error).split("\n")[0]
        raise PoolSyntaxError(message, position=SourcePosition(1, 1, lines[0][:EXCERPT_LENGTH])) from None
    return TreeReader(lines).read(tree)


def _check_encoding(text: str) -> None:
    """Reject a text that is too long or cannot be encoded as UTF-8."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        line = text.count("\n", 0, error.start) + 1
        column = error.start - text.rfind("\n", 0, error.start)
        position = SourcePosition(line, column)
        raise PoolSyntaxError("a character that cannot be encoded as UTF-8", position=position) from None
    if size > MAX_TEXT_BYTES:
        raise PoolBoundError(
            f"a text of {size} bytes, at most {MAX_TEXT_BYTES}",
            position=SourcePosition(1, 1, text[:EXCERPT_LENGTH].split("\n")[0]),
        )


def _syntax_error(error: UnexpectedInput, lines: list[str]) -> PoolSyntaxError:
    """Convert the parser library's error."""
    line = int(error.line or 0)
    column = int(error.column or 0)
    what = "this can't stand here"
    if line < 1 or getattr(getattr(error, "token", None), "type", "") == "$END":
        line = len(lines)
        column = len(lines[-1]) + 1
        what = "the text ends too early"
    excerpt = lines[line - 1][column - 1 : column - 1 + EXCERPT_LENGTH]
    expected = _expected(error)
    remedy = f"put {' or '.join(expected)} there" if 0 < len(expected) <= MAX_EXPECTED else ""
    return PoolSyntaxError(what, remedy=remedy, position=SourcePosition(line, column, excerpt))


def _expected(error: UnexpectedInput) -> list[str]:
    """The tokens that the parser would have accepted there."""
    terminals = (
        getattr(error, "accepts", None) or getattr(error, "expected", None) or getattr(error, "allowed", ())
    )
    return sorted({TERMINALS.get(name, f"`{name.strip('_').lower()}`") for name in terminals or ()})
