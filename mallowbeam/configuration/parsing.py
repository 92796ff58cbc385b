"""From the body of a call to a checked configuration, its canonical document and its digest.

The canonical document is the body's JSON with sorted keys and without white space; it keeps every field, also
those that this program does not know, so that an operator reads back what was sent.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from marshmallow import Schema, ValidationError

from mallowbeam.configuration.checks import backends_by_name, check_tenant_keys, routes_by_place
from mallowbeam.configuration.errors import ConfigurationTooLarge, InvalidField, UnreadableConfiguration
from mallowbeam.configuration.model import Backend, ClientLimits, Configuration, Route
from mallowbeam.configuration.schemas import BackendSchema, DocumentSchema, RouteSchema

MOST_BODY_BYTES = 8 * 1024 * 1024  # of one body; a longer one is refused with 413
MOST_NESTING = 100  # levels inside an entry; far from the interpreter's bound, wherever a member parses from
DIGEST_BYTES = 16

ENTRY_LISTS = ("routes", "backends")
ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False)

Entry = TypeVar("Entry", Route, Backend)


@dataclass(frozen=True, slots=True)
class ParsedConfiguration:
    """A configuration that is valid but for its revision, which the replicated state decides on."""

    configuration: Configuration
    canonical: bytes                           # JSON
    digest: bytes                              # BLAKE2b of `canonical`, 16 bytes


class EntryReader(Generic[Entry]):
    """Reads the entries of one list; those that were in the last valid document are not read again."""

    def __init__(self, schema: Schema, name: str) -> None:
        self._schema = schema
        self._name = name
        self._known: dict[str, Entry] = {}     # by canonical JSON

    def read(self, entries: list[Any], texts: list[str]) -> list[Entry]:
        """The entries as objects; `texts` is their canonical JSON. Raises a `ConfigurationError`."""
        found: list[Entry] = []
        for position, text in enumerate(texts):
            entry = self._known.get(text)
            if entry is None:
                entry = self._load(entries[position], position)
            found.append(entry)
        return found

    def keep(self, texts: list[str], entries: list[Entry]) -> None:
        """Remember these entries in place of those before."""
        self._known = dict(zip(texts, entries, strict=True))

    def _load(self, value: Any, position: int) -> Entry:
        where = f"{self._name}[{position}]"
        check_nesting(value, where)
        entry: Entry = load(self._schema, value, where)
        return entry


class ConfigurationParser:
    """Parses configurations one after another, at the cost of what differs from the last valid one.

    What it holds is bounded by one document. It belongs to one thread.
    """

    def __init__(self, most_bytes: int = MOST_BODY_BYTES) -> None:
        self._most_bytes = most_bytes
        self._routes: EntryReader[Route] = EntryReader(RouteSchema(), "routes")
        self._backends: EntryReader[Backend] = EntryReader(BackendSchema(), "backends")
        self._document_schema = DocumentSchema()
        self._last: ParsedConfiguration | None = None

    def parse(self, body: bytes) -> ParsedConfiguration:
        """Read one body; raises a `ConfigurationError` and nothing else."""
        if len(body) > self._most_bytes:
            raise ConfigurationTooLarge(f"{len(body)} bytes; {self._most_bytes} are allowed")
        document = read_document(body)
        route_entries = entries_of(document, "routes")
        backend_entries = entries_of(document, "backends")
        route_texts = [encode(entry) for entry in route_entries]
        backend_texts = [encode(entry) for entry in backend_entries]
        canonical = canonical_document(document, {"routes": route_texts, "backends": backend_texts})
        known = self.recall(digest_of(canonical))
        if known is not None:
            return known
        routes = self._routes.read(route_entries, route_texts)
        backends = self._backends.read(backend_entries, backend_texts)
        configuration = self._configuration(document, routes, backends)
        self._routes.keep(route_texts, routes)
        self._backends.keep(backend_texts, backends)
        self._last = ParsedConfiguration(configuration, canonical, digest_of(canonical))
        return self._last

    def recall(self, digest: bytes) -> ParsedConfiguration | None:
        """The last valid configuration, if this is its digest."""
        if self._last is not None and self._last.digest == digest:
            return self._last
        return None

    def _configuration(
        self, document: dict[str, Any], routes: list[Route], backends: list[Backend]
    ) -> Configuration:
        rest = {name: value for name, value in document.items() if name not in ENTRY_LISTS}
        check_nesting(rest, "")
        fields = load(self._document_schema, rest, "")
        check_tenant_keys(rest)
        by_name = backends_by_name(backends)
        by_place = routes_by_place(routes, by_name)
        limits = fields.get("limits") or ClientLimits()
        return Configuration(fields["revision"], by_place, by_name, limits)


def parse_configuration(body: bytes, most_bytes: int = MOST_BODY_BYTES) -> ParsedConfiguration:
    """Read one body on its own; raises a `ConfigurationError` and nothing else."""
    return ConfigurationParser(most_bytes).parse(body)


def digest_of(canonical: bytes) -> bytes:
    """The digest by which a configuration is known again."""
    return hashlib.blake2b(canonical, digest_size=DIGEST_BYTES).digest()


def read_document(body: bytes) -> dict[str, Any]:
    """The body's JSON object; raises `UnreadableConfiguration`, or `InvalidField` where it is no object."""
    try:
        document = json.loads(body, object_pairs_hook=unique_keys, parse_constant=refuse_constant)
    except (ValueError, RecursionError) as error:
        raise UnreadableConfiguration(f"no JSON that can be read: {error}") from None
    if not isinstance(document, dict):
        raise InvalidField("must be a JSON object")
    return document


def unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """An object whose keys all differ; raises `ValueError`."""
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("an object has the same key twice")
    return found


def refuse_constant(name: str) -> None:
    """Raise for NaN and the infinities, which are no JSON."""
    raise ValueError(f"{name} is no JSON")


def encode(value: object) -> str:
    """Canonical JSON of a part; raises `UnreadableConfiguration` for numbers that cannot be kept."""
    try:
        return ENCODER.encode(value)
    except (ValueError, RecursionError) as error:
        raise UnreadableConfiguration(f"cannot be kept as it is: {error}") from None


def entries_of(document: dict[str, Any], name: str) -> list[Any]:
    """One of the document's lists; raises `InvalidField`."""
    entries = document.get(name)
    if not isinstance(entries, list):
        raise InvalidField("must be a list" if name in document else "is missing", name)
    return entries


def check_nesting(value: Any, where: str) -> None:
    """Raise `UnreadableConfiguration` for lists and objects nested deeper than `MOST_NESTING`."""
    level = [value]
    for _ in range(MOST_NESTING):
        level = [child for parent in level for child in children_of(parent) if isinstance(child, dict | list)]
        if not level:
            return
    raise UnreadableConfiguration(f"nested deeper than {MOST_NESTING} levels", where)


def children_of(value: Any) -> Iterable[Any]:
    """What is directly inside a JSON value."""
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def canonical_document(document: dict[str, Any], encoded: dict[str, list[str]]) -> bytes:
    """Canonical JSON of a document whose lists of entries are encoded already."""
    parts = []
    for key in sorted(document):
        text = f"[{','.join(encoded[key])}]" if key in encoded else encode(document[key])
        parts.append(f"{encode(key)}:{text}")
    return f"{{{','.join(parts)}}}".encode("ascii")


def load(schema: Schema, value: object, where: str) -> Any:
    """What a schema makes of a value; raises `InvalidField` with the first error's path below `where`."""
    try:
        return schema.load(value)  # type: ignore[arg-type]
    except ValidationError as error:
        path, message = first_error(error.messages, where)
        raise InvalidField(message, path) from None


def first_error(messages: Any, where: str) -> tuple[str, str]:
    """Path and text of the first error in marshmallow's nested messages."""
    while isinstance(messages, dict):
        key, messages = next(iter(messages.items()))
        where = join_path(where, key)
    return where, str(messages[0] if isinstance(messages, list) else messages)


def join_path(where: str, key: object) -> str:
    """A path and one step more."""
    if key == "_schema":
        return where
    if isinstance(key, int):
        return f"{where}[{key}]"
    return f"{where}.{key}" if where else str(key)
