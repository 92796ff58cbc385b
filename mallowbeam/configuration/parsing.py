"""From the body of a call to a checked configuration, its canonical document and its digest.

The canonical document is the body's JSON with sorted keys and without white space; it keeps every field, also
those that this program does not know, so that an operator reads back what was sent.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from marshmallow import Schema, ValidationError

from mallowbeam.configuration.checks import backends_by_name, check_tenant_keys, routes_by_place
from mallowbeam.configuration.errors import ConfigurationTooLarge, InvalidField, UnreadableConfiguration
from mallowbeam.configuration.model import ClientLimits, Configuration, Route
from mallowbeam.configuration.schemas import DocumentSchema, RouteSchema

MOST_BODY_BYTES = 8 * 1024 * 1024  # of one body; a longer one is refused with 413
DIGEST_BYTES = 16

DOCUMENT_SCHEMA = DocumentSchema()
ROUTE_SCHEMA = RouteSchema()
ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False)


@dataclass(frozen=True, slots=True)
class ParsedConfiguration:
    """A configuration that is valid but for its revision, which the replicated state decides on."""

    configuration: Configuration
    canonical: bytes                           # JSON
    digest: bytes                              # BLAKE2b of `canonical`, 16 bytes


class ConfigurationParser:
    """Parses configurations one after another; routes that are as in the last one are not read again."""

    def __init__(self, most_bytes: int = MOST_BODY_BYTES) -> None:
        self._most_bytes = most_bytes
        self._routes: dict[str, Route] = {}    # by canonical JSON, of the last valid document
        self._last: ParsedConfiguration | None = None

    def parse(self, body: bytes) -> ParsedConfiguration:
        """Read one body; raises a `ConfigurationError` and nothing else."""
        if len(body) > self._most_bytes:
            raise ConfigurationTooLarge(f"{len(body)} bytes; {self._most_bytes} are allowed")
        document = read_document(body)
        fields = load(DOCUMENT_SCHEMA, document, "")
        texts = [encode(route) for route in document["routes"]]
        canonical = canonical_document(document, texts)
        digest = digest_of(canonical)
        if self._last is not None and self._last.digest == digest:
            return self._last
        routes = self._load_routes(document["routes"], texts)
        backends = backends_by_name(fields["backends"])
        by_place = routes_by_place(routes, backends)
        check_tenant_keys(document)
        limits = fields.get("limits") or ClientLimits()
        configuration = Configuration(fields["revision"], by_place, backends, limits)
        self._routes = dict(zip(texts, routes, strict=True))
        self._last = ParsedConfiguration(configuration, canonical, digest)
        return self._last

    def _load_routes(self, entries: list[Any], texts: list[str]) -> list[Route]:
        known = self._routes
        routes: list[Route] = []
        for position, text in enumerate(texts):
            route = known.get(text)
            if route is None:
                route = load(ROUTE_SCHEMA, entries[position], f"routes[{position}]")
            routes.append(route)
        return routes


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


def canonical_document(document: dict[str, Any], routes: list[str]) -> bytes:
    """Canonical JSON of a document whose routes are encoded already."""
    parts = []
    for key in sorted(document):
        text = f"[{','.join(routes)}]" if key == "routes" else encode(document[key])
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
