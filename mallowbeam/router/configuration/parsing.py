"""From the body of a call to a checked configuration, its canonical document and its digest.

The canonical document is the body's JSON with sorted keys and without white space; it keeps every field, also
those that this program does not know, so that an operator reads back what was sent. Two bodies are the same
change if their canonical documents are equal. Of a key that comes twice the last value counts, as in other
readers of JSON. A whole number that is written as a fraction (1.0 for 1) is kept so, and is another change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Generic

import msgspec
from marshmallow import Schema, ValidationError

from mallowbeam.router.configuration.checks import backends_by_name, check_tenant_keys, routes_by_place
from mallowbeam.router.configuration.document import (
    ENCODER,
    ConfigurationDocument,
    Entry,
    ParsedEntry,
    canonical_document,
    digest_of,
)
from mallowbeam.router.configuration.errors import (
    ConfigurationTooLarge,
    InvalidField,
    UnreadableConfiguration,
)
from mallowbeam.router.configuration.model import Backend, ClientLimits, Configuration, Route
from mallowbeam.router.configuration.schemas import BackendSchema, DocumentSchema, RouteSchema

MOST_BODY_BYTES = 8 * 1024 * 1024  # of one body; a longer one is refused with 413
MOST_NESTING = 100  # levels inside an entry; far from the interpreter's bound, wherever a member parses from

ENTRY_LISTS = ("routes", "backends")
MEMBERS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
ENTRIES_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
VALUE_DECODER = msgspec.json.Decoder()


@dataclass(frozen=True, slots=True)
class ParsedConfiguration:
    """A configuration that is valid but for its revision, which the replicated state decides on."""

    document: ConfigurationDocument
    canonical: bytes  # JSON
    digest: bytes  # BLAKE2b of `canonical`, 16 bytes

    @property
    def configuration(self) -> Configuration:
        """What gateways use of it."""
        return self.document.configuration


class EntryReader(Generic[Entry]):
    """Reads the entries of one list; those that were in the last valid document are not read again."""

    def __init__(self, schema: Schema, name: str) -> None:
        self._schema = schema
        self._name = name
        self._known: dict[bytes, ParsedEntry[Entry]] = {}  # by the JSON text as it was sent

    def read(self, texts: list[bytes]) -> list[ParsedEntry[Entry]]:
        """The entries of one list; raises a `ConfigurationError`."""
        found: list[ParsedEntry[Entry]] = []
        for position, text in enumerate(texts):
            entry = self._known.get(text)
            if entry is None:
                entry = read_entry(self._schema, text, f"{self._name}[{position}]")
            found.append(entry)
        return found

    def keep(self, texts: list[bytes], entries: list[ParsedEntry[Entry]]) -> None:
        """Remember these entries in place of those before."""
        self._known = dict(zip(texts, entries, strict=True))  # a new one: others may share the one before

    def share(self, other: EntryReader[Entry]) -> None:
        """Know the entries that another reader knows."""
        self._known = other._known


class ConfigurationParser:
    """Parses configurations one after another, at the cost of what differs from the last valid one.

    What it holds is bounded by one document. It belongs to one thread; a `fork` may belong to another.
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
        members: dict[str, msgspec.Raw] = decode(MEMBERS_DECODER, body, "")
        rest = rest_of(members)
        route_texts = entry_texts(members, "routes")
        backend_texts = entry_texts(members, "backends")
        routes = self._routes.read(route_texts)
        backends = self._backends.read(backend_texts)
        canonical = canonical_document(rest, {"routes": routes, "backends": backends})
        digest = digest_of(canonical)
        known = self.recall(digest)
        if known is not None:
            return known
        configuration = self._check(rest, routes, backends)
        self._routes.keep(route_texts, routes)
        self._backends.keep(backend_texts, backends)
        document = ConfigurationDocument(configuration, rest, routes, backends)
        self._last = ParsedConfiguration(document, canonical, digest)
        return self._last

    def recall(self, digest: bytes) -> ParsedConfiguration | None:
        """The last valid configuration, if this is its digest."""
        if self._last is not None and self._last.digest == digest:
            return self._last
        return None

    def fork(self) -> ConfigurationParser:
        """A parser of its own, for another thread, that knows what this one knows now."""
        forked = ConfigurationParser(self._most_bytes)
        forked.adopt(self)
        return forked

    def adopt(self, other: ConfigurationParser) -> None:
        """Know what another parser knows, in place of what was known; the other one must be at rest."""
        self._routes.share(other._routes)
        self._backends.share(other._backends)
        self._last = other._last

    def _check(
        self,
        rest: dict[str, Any],
        routes: list[ParsedEntry[Route]],
        backends: list[ParsedEntry[Backend]],
    ) -> Configuration:
        fields = load(self._document_schema, rest, "")
        check_tenant_keys(rest)
        by_name = backends_by_name([entry.value for entry in backends])
        by_place = routes_by_place([entry.value for entry in routes], by_name)
        limits = fields.get("limits") or ClientLimits()
        return Configuration(fields["revision"], by_place, by_name, limits)


def parse_configuration(body: bytes, most_bytes: int = MOST_BODY_BYTES) -> ParsedConfiguration:
    """Read one body on its own; raises a `ConfigurationError` and nothing else."""
    return ConfigurationParser(most_bytes).parse(body)


def decode(decoder: msgspec.json.Decoder[Any], text: bytes | msgspec.Raw, where: str) -> Any:
    """What a decoder makes of JSON; raises `UnreadableConfiguration`, or `InvalidField` for another type."""
    try:
        return decoder.decode(text)
    except msgspec.ValidationError as error:
        raise InvalidField(str(error), where) from None
    except (ValueError, RecursionError) as error:
        raise UnreadableConfiguration(f"no JSON that can be read: {error}", where) from None


def read_entry(schema: Schema, text: bytes, where: str) -> ParsedEntry[Any]:
    """One route or service from its JSON; raises a `ConfigurationError`."""
    document = decode(VALUE_DECODER, text, where)
    check_nesting(document, where)
    return ParsedEntry(load(schema, document, where), ENCODER.encode(document))


def entry_texts(members: dict[str, msgspec.Raw], name: str) -> list[bytes]:
    """The JSON texts of the entries of one list; raises a `ConfigurationError`."""
    if name not in members:
        raise InvalidField("is missing", name)
    return [bytes(text) for text in decode(ENTRIES_DECODER, members[name], name)]


def rest_of(members: dict[str, msgspec.Raw]) -> dict[str, Any]:
    """The document without its lists of entries; raises a `ConfigurationError`."""
    texts = {name: text for name, text in members.items() if name not in ENTRY_LISTS}
    rest = {name: decode(VALUE_DECODER, text, name) for name, text in texts.items()}
    check_nesting(rest, "")
    return rest


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


def load(schema: Schema, value: Any, where: str) -> Any:
    """What a schema makes of a value; raises `InvalidField` with the first error's path below `where`."""
    try:
        return schema.load(value)
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
