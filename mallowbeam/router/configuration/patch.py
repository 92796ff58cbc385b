"""Patches add, replace or remove entries of the operator's configuration; the outcome is validated.

The cost of a patch depends on what it changes: entries that it does not name are neither parsed nor validated
again, except that the removal of a service checks every route. Any list of the document can be patched; an
entry is identified by its `name`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from marshmallow import Schema

from mallowbeam.router.configuration.decoding import (
    ENTRIES_DECODER,
    MEMBERS_DECODER,
    VALUE_DECODER,
    check_nesting,
    decode,
    load,
    read_entry,
)
from mallowbeam.router.configuration.document import (
    ENCODER,
    ConfigurationDocument,
    Entry,
    ParsedEntry,
    digest_of,
)
from mallowbeam.router.configuration.errors import (
    ConfigurationTooLargeError,
    DuplicateNameError,
    InvalidFieldError,
    NameNotFoundError,
    UnknownBackendError,
)
from mallowbeam.router.configuration.model import Backend, Configuration, Route
from mallowbeam.router.configuration.parsing import MAX_BODY_BYTES
from mallowbeam.router.configuration.schemas import (
    BackendSchema,
    DocumentSchema,
    LenientSchema,
    RouteSchema,
    Text,
)
from mallowbeam.router.configuration.validation import add_route, check_route, check_tenant_keys

UPSERT, REMOVE, REVISION = "upsert", "remove", "revision"
ROUTES, BACKENDS = "routes", "backends"
MEMBERS = frozenset((UPSERT, REMOVE, REVISION))
NAMES_DECODER = msgspec.json.Decoder(list[str])
NAME_SCHEMA = LenientSchema.from_dict({"name": Text(required=True, non_empty=True)})()
SCHEMAS: Mapping[str, Schema] = {ROUTES: RouteSchema(), BACKENDS: BackendSchema()}


@dataclass(frozen=True, slots=True)
class NamedEntry:
    """An entry that a patch adds, or that replaces the one of the same name."""

    name: str
    entry: ParsedEntry[Any]


@dataclass(frozen=True, slots=True)
class ListPatch:
    """The changes to one list."""

    upsert: tuple[NamedEntry, ...] = ()
    remove: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationPatch:
    """A well-formed patch; whether its outcome is valid depends on the document it is applied to."""

    revision: int
    lists: Mapping[str, ListPatch]
    canonical: bytes  # JSON

    def digest(self, based_on: int) -> bytes:
        """Digest that identifies the change; the same patch of another revision is a different change."""
        return digest_of(b"patch %d " % based_on + self.canonical)


NO_CHANGE = ListPatch()


def parse_patch(body: bytes, max_bytes: int = MAX_BODY_BYTES) -> ConfigurationPatch:
    """Parse a patch; raises a `ConfigurationError` and nothing else."""
    if len(body) > max_bytes:
        raise ConfigurationTooLargeError(f"{len(body)} bytes; {max_bytes} are allowed")
    members: dict[str, msgspec.Raw] = decode(MEMBERS_DECODER, body, "")
    for name in members:
        if name not in MEMBERS:
            raise InvalidFieldError("is not a member of a patch and would have no effect", name)
    document = decode(VALUE_DECODER, body, "")
    check_nesting(document, "")
    fields = load(DocumentSchema(), {REVISION: document.get(REVISION)}, "")
    upsert = {name: _entries(name, text) for name, text in _lists(members, UPSERT).items()}
    remove = {name: _names(name, text) for name, text in _lists(members, REMOVE).items()}
    names = [*upsert, *(name for name in remove if name not in upsert)]
    lists = {name: ListPatch(upsert.get(name, ()), remove.get(name, ())) for name in names}
    for name, list_patch in lists.items():
        _check_names(name, list_patch)
    return ConfigurationPatch(fields[REVISION], lists, ENCODER.encode(document))


def apply_patch(document: ConfigurationDocument, patch: ConfigurationPatch) -> ConfigurationDocument:
    """The document after a patch; raises a `ConfigurationError` if the outcome is invalid."""
    rest = dict(document.rest)
    rest[REVISION] = patch.revision
    for name, list_patch in patch.lists.items():
        if name not in SCHEMAS:
            rest[name] = _patched_objects(rest.get(name), name, list_patch)
    check_tenant_keys(rest)
    routes, backends = patch.lists.get(ROUTES, NO_CHANGE), patch.lists.get(BACKENDS, NO_CHANGE)
    return ConfigurationDocument(
        configuration=_configuration(document, patch.revision, routes, backends),
        rest=rest,
        routes=_patched(document.routes, ROUTES, routes),
        backends=_patched(document.backends, BACKENDS, backends),
    )


# ---------------------------------------------------------------- parsing


def _lists(members: Mapping[str, msgspec.Raw], name: str) -> dict[str, msgspec.Raw]:
    """The lists under `upsert` or `remove`; none if it is absent or null."""
    text = members.get(name)
    if text is None or bytes(text).strip() == b"null":
        return {}
    lists: dict[str, msgspec.Raw] = decode(MEMBERS_DECODER, text, name)
    return lists


def _entries(list_name: str, text: msgspec.Raw) -> tuple[NamedEntry, ...]:
    where = f"{UPSERT}.{list_name}"
    texts = decode(ENTRIES_DECODER, text, where)
    return tuple(
        _entry(list_name, bytes(entry), f"{where}[{position}]") for position, entry in enumerate(texts)
    )


def _entry(list_name: str, text: bytes, where: str) -> NamedEntry:
    document = decode(VALUE_DECODER, text, where)
    if not isinstance(document, dict):
        raise InvalidFieldError("must be an object", where)
    name = load(NAME_SCHEMA, document, where)["name"]
    schema = SCHEMAS.get(list_name)
    if schema is None:
        return NamedEntry(name, ParsedEntry(document, ENCODER.encode(document)))
    return NamedEntry(name, read_entry(schema, text, where))


def _names(list_name: str, text: msgspec.Raw) -> tuple[str, ...]:
    return tuple(decode(NAMES_DECODER, text, f"{REMOVE}.{list_name}"))


def _check_names(list_name: str, list_patch: ListPatch) -> None:
    """Raise `DuplicateNameError` if a patch names an entry more than once."""
    seen: set[str] = set()
    named = [(entry.name, f"{UPSERT}.{list_name}[{at}].name") for at, entry in enumerate(list_patch.upsert)]
    named += [(name, f"{REMOVE}.{list_name}[{at}]") for at, name in enumerate(list_patch.remove)]
    for name, where in named:
        if name in seen:
            raise DuplicateNameError(f"{name!r} is named more than once in this patch", where)
        seen.add(name)


# ---------------------------------------------------------------- applying to one list


def _patched(
    entries: Sequence[ParsedEntry[Entry]], list_name: str, list_patch: ListPatch
) -> Sequence[ParsedEntry[Entry]]:
    """A list after a patch: replaced entries keep their position, added ones follow in the patch's order."""
    if list_patch == NO_CHANGE:
        return entries
    names = [entry.value.name for entry in entries]
    return _merge(list(entries), names, list_name, list_patch, [named.entry for named in list_patch.upsert])


def _patched_objects(entries: Any, list_name: str, list_patch: ListPatch) -> list[Any]:
    """A list that this program does not interpret, after a patch."""
    if entries is None:
        entries = []
    if not isinstance(entries, list):
        raise InvalidFieldError("is not a list in the configuration", list_name)
    names = [entry.get("name") if isinstance(entry, dict) else None for entry in entries]
    return _merge(entries, names, list_name, list_patch, [named.entry.value for named in list_patch.upsert])


def _merge(
    entries: Sequence[Any],
    names: Sequence[Any],
    list_name: str,
    list_patch: ListPatch,
    upserts: Sequence[Any],
) -> list[Any]:
    positions = _positions(names, list_name, list_patch)
    merged: list[Any] = list(entries)
    for named, entry in zip(list_patch.upsert, upserts, strict=True):
        if named.name in positions:
            merged[positions[named.name]] = entry
        else:
            merged.append(entry)
    removed = {positions[name] for name in list_patch.remove}
    if not removed:
        return merged
    return [entry for position, entry in enumerate(merged) if position not in removed]


def _positions(names: Sequence[Any], list_name: str, list_patch: ListPatch) -> dict[str, int]:
    """Positions, by name, of the present entries that a patch names.

    Raises `NameNotFoundError` if an entry to remove is missing, `DuplicateNameError` if two share a name.
    """
    wanted = {named.name for named in list_patch.upsert}.union(list_patch.remove)
    positions: dict[str, int] = {}
    for position, name in enumerate(names):
        if name not in wanted:
            continue
        if name in positions:
            raise DuplicateNameError(f"two entries of {list_name} have the name {name!r}", list_name)
        positions[name] = position
    for at, name in enumerate(list_patch.remove):
        if name not in positions:
            raise NameNotFoundError(f"{list_name} has no entry {name!r}", f"{REMOVE}.{list_name}[{at}]")
    return positions


# ---------------------------------------------------------------- applying to the gateways' configuration


def _configuration(
    document: ConfigurationDocument, revision: int, routes: ListPatch, backends: ListPatch
) -> Configuration:
    before = document.configuration
    services = _services(before.backends, backends)
    routes_by_key = dict(before.routes)
    for route in _removed_routes(document.routes, routes):
        routes_by_key.pop(route.key, None)
    for position, named in enumerate(routes.upsert):
        where = f"{UPSERT}.{ROUTES}[{position}]"
        check_route(named.entry.value, services, where)
        add_route(routes_by_key, named.entry.value, where)
    if backends.remove:
        _check_services(routes_by_key.values(), services)
    return Configuration(revision, routes_by_key, services, before.limits)


def _services(before: Mapping[str, Backend], list_patch: ListPatch) -> dict[str, Backend]:
    services = dict(before)
    for name in list_patch.remove:
        services.pop(name, None)
    for named in list_patch.upsert:
        services[named.name] = named.entry.value
    return services


def _removed_routes(entries: Iterable[ParsedEntry[Route]], list_patch: ListPatch) -> list[Route]:
    """The routes that a patch removes or replaces."""
    if list_patch == NO_CHANGE:
        return []
    names = {named.name for named in list_patch.upsert}.union(list_patch.remove)
    return [entry.value for entry in entries if entry.value.name in names]


def _check_services(routes: Iterable[Route], services: Mapping[str, Backend]) -> None:
    """Raise `UnknownBackendError` if a route names a service that has been removed."""
    for route in routes:
        for choice in route.backends:
            if choice.backend not in services:
                where = f"{REMOVE}.{BACKENDS}"
                raise UnknownBackendError(f"route {route.name!r} still names {choice.backend!r}", where)
