"""A valid configuration with the canonical JSON of each entry, so that entries can be replaced."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from mallowbeam.router.configuration.model import Backend, Configuration, Route

DIGEST_BYTES = 16
ENCODER = msgspec.json.Encoder(order="sorted")

Entry = TypeVar("Entry", Route, Backend)


@dataclass(frozen=True, slots=True)
class ParsedEntry(Generic[Entry]):
    """A route or a service, and its canonical JSON."""

    value: Entry
    canonical: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """One revision with everything that the operator sent. Immutable."""

    configuration: Configuration
    rest: Mapping[str, Any]  # the document's members other than routes and services
    routes: Sequence[ParsedEntry[Route]]
    backends: Sequence[ParsedEntry[Backend]]

    def canonical(self) -> bytes:
        """The canonical JSON: keys sorted, no white space."""
        return canonical_document(self.rest, {"routes": self.routes, "backends": self.backends})


def canonical_document(rest: Mapping[str, Any], lists: Mapping[str, Sequence[ParsedEntry[Any]]]) -> bytes:
    """Canonical JSON of a complete document: `rest` and the entries of `lists`."""
    texts = {name: ENCODER.encode(value) for name, value in rest.items()}
    for name, entries in lists.items():
        texts[name] = b"[" + b",".join([entry.canonical for entry in entries]) + b"]"
    return b"{" + b",".join([ENCODER.encode(name) + b":" + texts[name] for name in sorted(texts)]) + b"}"


def digest_of(canonical: bytes) -> bytes:
    """BLAKE2b digest (DIGEST_BYTES) that identifies a configuration or a patch."""
    return hashlib.blake2b(canonical, digest_size=DIGEST_BYTES).digest()
