"""Parses a request body into a validated configuration, its canonical document and its digest.

The canonical document is the body's JSON with sorted keys and without white space. It keeps every field,
including unknown ones, so that an operator reads back the document that was sent. Two bodies are the same
change if their canonical documents are equal. The last value of a duplicate key wins, as in most JSON
parsers. An integer that is written as a fraction (1.0 for 1) is kept in that form, which makes it another
change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Generic

import msgspec
from marshmallow import Schema

from mallowbeam.router.configuration.decoding import (
    MEMBERS_DECODER,
    decode,
    entry_texts,
    load,
    other_members,
    read_entry,
)
from mallowbeam.router.configuration.document import (
    ConfigurationDocument,
    Entry,
    ParsedEntry,
    canonical_document,
    digest_of,
)
from mallowbeam.router.configuration.errors import ConfigurationTooLargeError
from mallowbeam.router.configuration.model import Backend, ClientLimits, Configuration, Route
from mallowbeam.router.configuration.schemas import BackendSchema, DocumentSchema, RouteSchema
from mallowbeam.router.configuration.validation import check_tenant_keys, index_backends, index_routes

MAX_BODY_BYTES = 8 * 1024 * 1024  # of one body; a larger one is rejected with status 413


@dataclass(frozen=True, slots=True)
class ParsedConfiguration:
    """A valid configuration; the replicated state decides whether its revision is acceptable."""

    document: ConfigurationDocument
    canonical: bytes  # JSON
    digest: bytes  # BLAKE2b of `canonical`, 16 bytes

    @property
    def configuration(self) -> Configuration:
        """The part of the document that gateways use."""
        return self.document.configuration


class EntryReader(Generic[Entry]):
    """Parses the entries of one list, with a cache of those in the last valid document."""

    def __init__(self, schema: Schema, name: str) -> None:
        """Parse entries of the list `name` by `schema`."""
        self._schema = schema
        self._name = name
        self._cache: dict[bytes, ParsedEntry[Entry]] = {}  # by the JSON text as it was sent

    def read(self, texts: list[bytes]) -> list[ParsedEntry[Entry]]:
        """Parse the entries of one list; raises a `ConfigurationError`."""
        entries: list[ParsedEntry[Entry]] = []
        for position, text in enumerate(texts):
            entry = self._cache.get(text)
            if entry is None:
                entry = read_entry(self._schema, text, f"{self._name}[{position}]")
            entries.append(entry)
        return entries

    def replace_cache(self, texts: list[bytes], entries: list[ParsedEntry[Entry]]) -> None:
        """Cache these entries in place of the earlier ones."""
        self._cache = dict(zip(texts, entries, strict=True))  # a new map: readers may share the earlier one

    def adopt_cache(self, other: EntryReader[Entry]) -> None:
        """Use the cache of another reader."""
        self._cache = other._cache


class ConfigurationParser:
    """Parses successive configurations, each at the cost of its difference from the last valid one.

    The cache is bounded by one document. A parser belongs to one thread; its `fork` may belong to another.
    """

    def __init__(self, max_bytes: int = MAX_BODY_BYTES) -> None:
        """Reject bodies of more than `max_bytes`."""
        self._max_bytes = max_bytes
        self._routes: EntryReader[Route] = EntryReader(RouteSchema(), "routes")
        self._backends: EntryReader[Backend] = EntryReader(BackendSchema(), "backends")
        self._document_schema = DocumentSchema()
        self._last: ParsedConfiguration | None = None

    def parse(self, body: bytes) -> ParsedConfiguration:
        """Parse one body; raises a `ConfigurationError` and nothing else."""
        if len(body) > self._max_bytes:
            raise ConfigurationTooLargeError(f"{len(body)} bytes; {self._max_bytes} are allowed")
        members: dict[str, msgspec.Raw] = decode(MEMBERS_DECODER, body, "")
        rest = other_members(members)
        route_texts = entry_texts(members, "routes")
        backend_texts = entry_texts(members, "backends")
        routes = self._routes.read(route_texts)
        backends = self._backends.read(backend_texts)
        canonical = canonical_document(rest, {"routes": routes, "backends": backends})
        digest = digest_of(canonical)
        last = self.recall(digest)
        if last is not None:
            return last
        configuration = self._validate(rest, routes, backends)
        self._routes.replace_cache(route_texts, routes)
        self._backends.replace_cache(backend_texts, backends)
        document = ConfigurationDocument(configuration, rest, routes, backends)
        self._last = ParsedConfiguration(document, canonical, digest)
        return self._last

    def recall(self, digest: bytes) -> ParsedConfiguration | None:
        """The last valid configuration if it has this digest, else None."""
        if self._last is not None and self._last.digest == digest:
            return self._last
        return None

    def fork(self) -> ConfigurationParser:
        """A parser for another thread, with the present cache of this one."""
        forked = ConfigurationParser(self._max_bytes)
        forked.adopt(self)
        return forked

    def adopt(self, other: ConfigurationParser) -> None:
        """Replace the cache by that of another parser, which no thread may be using."""
        self._routes.adopt_cache(other._routes)
        self._backends.adopt_cache(other._backends)
        self._last = other._last

    def _validate(
        self,
        rest: dict[str, Any],
        routes: list[ParsedEntry[Route]],
        backends: list[ParsedEntry[Backend]],
    ) -> Configuration:
        """Check the rules that involve several fields; raises a `ConfigurationError`."""
        fields = load(self._document_schema, rest, "")
        check_tenant_keys(rest)
        backends_by_name = index_backends([entry.value for entry in backends])
        routes_by_key = index_routes([entry.value for entry in routes], backends_by_name)
        limits = fields.get("limits") or ClientLimits()
        return Configuration(fields["revision"], routes_by_key, backends_by_name, limits)


def parse_configuration(body: bytes, max_bytes: int = MAX_BODY_BYTES) -> ParsedConfiguration:
    """Parse a single body; raises a `ConfigurationError` and nothing else."""
    return ConfigurationParser(max_bytes).parse(body)
