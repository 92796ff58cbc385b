"""Decodes JSON and loads it by the schemas; every error names the path of the invalid value."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from marshmallow import Schema, ValidationError

from mallowbeam.router.configuration.document import ENCODER, ParsedEntry
from mallowbeam.router.configuration.errors import InvalidFieldError, UnreadableConfigurationError

MAX_NESTING = 100  # levels inside an entry; far below the interpreter's limit in any thread that parses

ENTRY_LISTS = ("routes", "backends")
MEMBERS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
ENTRIES_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
VALUE_DECODER = msgspec.json.Decoder()


def decode(decoder: msgspec.json.Decoder[Any], text: bytes | msgspec.Raw, where: str) -> Any:
    """Decode JSON; raises `UnreadableConfigurationError`, or `InvalidFieldError` for a wrong type."""
    try:
        return decoder.decode(text)
    except msgspec.ValidationError as error:
        raise InvalidFieldError(str(error), where) from None
    except (ValueError, RecursionError) as error:
        raise UnreadableConfigurationError(f"not readable JSON: {error}", where) from None


def read_entry(schema: Schema, text: bytes, where: str) -> ParsedEntry[Any]:
    """Parse one route or service; raises a `ConfigurationError`."""
    document = decode(VALUE_DECODER, text, where)
    check_nesting(document, where)
    return ParsedEntry(load(schema, document, where), ENCODER.encode(document))


def entry_texts(members: dict[str, msgspec.Raw], name: str) -> list[bytes]:
    """The JSON texts of the entries of one list; raises a `ConfigurationError`."""
    if name not in members:
        raise InvalidFieldError("is missing", name)
    return [bytes(text) for text in decode(ENTRIES_DECODER, members[name], name)]


def other_members(members: dict[str, msgspec.Raw]) -> dict[str, Any]:
    """The members of a document other than its lists of entries; raises a `ConfigurationError`."""
    texts = {name: text for name, text in members.items() if name not in ENTRY_LISTS}
    rest = {name: decode(VALUE_DECODER, text, name) for name, text in texts.items()}
    check_nesting(rest, "")
    return rest


def check_nesting(value: Any, where: str) -> None:
    """Raise `UnreadableConfigurationError` for lists and objects nested deeper than `MAX_NESTING`."""
    level = [value]
    for _ in range(MAX_NESTING):
        level = [child for parent in level for child in children_of(parent) if isinstance(child, dict | list)]
        if not level:
            return
    raise UnreadableConfigurationError(f"nested deeper than {MAX_NESTING} levels", where)


def children_of(value: Any) -> Iterable[Any]:
    """The direct children of a JSON value."""
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def load(schema: Schema, value: Any, where: str) -> Any:
    """Load a value by a schema; raises `InvalidFieldError` with the path of the first error below `where`."""
    try:
        return schema.load(value)
    except ValidationError as error:
        path, message = first_error(error.messages, where)
        raise InvalidFieldError(message, path) from None


def first_error(messages: Any, where: str) -> tuple[str, str]:
    """Path and text of the first error in marshmallow's nested messages."""
    while isinstance(messages, dict):
        key, messages = next(iter(messages.items()))
        where = join_path(where, key)
    return where, str(messages[0] if isinstance(messages, list) else messages)


def join_path(where: str, key: object) -> str:
    """A path, extended by a key or an index."""
    if key == "_schema":
        return where
    if isinstance(key, int):
        return f"{where}[{key}]"
    return f"{where}.{key}" if where else str(key)
