"""Reads and checks configuration files, and lists the differences between two of them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from pathlib import Path

from mallowbeam.cli.system_errors import CommandFileError
from mallowbeam.router.configuration.model import Backend, Configuration, Route, WeightedBackend
from mallowbeam.router.configuration.parsing import ParsedConfiguration, parse_configuration


@dataclass(frozen=True, slots=True)
class Change:
    """One difference between two configurations; its field names are keys of the `--json` output."""

    kind: str  # route, backend, limits, revision or other
    name: str
    field: str  # empty if the whole entry was added or removed
    before: str | None  # None: added
    after: str | None  # None: removed

    @property
    def line(self) -> str:
        """Format the change as one line."""
        what = f"{self.kind} {self.name}".rstrip()
        if self.before is None:
            return f"+ {what}"
        if self.after is None:
            return f"- {what}"
        return f"~ {what} {self.field}: {self.before} -> {self.after}"

    def document(self) -> dict[str, str | None]:
        """Return the change as a JSON object."""
        return {field.name: getattr(self, field.name) for field in fields(self)}


def read_file(path: str) -> bytes:
    """Read a file; raises :class:`CommandFileError`."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CommandFileError(error.strerror or str(error), path) from None


def read_configuration(path: str) -> ParsedConfiguration:
    """Read and check a configuration file; raises `ConfigurationError` or :class:`CommandFileError`."""
    return parse_configuration(read_file(path))


def changes(old: ParsedConfiguration, new: ParsedConfiguration) -> list[Change]:
    """List the changes that turn ``old`` into ``new``, in a fixed order."""
    before, after = old.configuration, new.configuration
    differences = [
        *_field_changes("revision", "", before, after, only=("revision",)),
        *_entry_changes("route", before.routes, after.routes),
        *_entry_changes("backend", before.backends, after.backends),
        *_field_changes("limits", "", before.limits, after.limits),
    ]
    if not differences and old.digest != new.digest:
        differences.append(Change("other", "", "fields that this version does not use", "one", "another"))
    return differences


def _entry_changes(
    kind: str,
    old: Mapping[str, Route] | Mapping[str, Backend],
    new: Mapping[str, Route] | Mapping[str, Backend],
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before is None:
            yield Change(kind, name, "", None, "added")
        elif after is None:
            yield Change(kind, name, "", "there", None)
        else:
            yield from _field_changes(kind, name, before, after)


def _field_changes(
    kind: str, name: str, old: object, new: object, only: tuple[str, ...] = ()
) -> Iterator[Change]:
    for field in fields(old):  # type: ignore[arg-type]
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and (not only or field.name in only):
            yield Change(kind, name, field.name, _format(before), _format(after))


def _format(value: object) -> str:
    """Format a field's value: the weighted backends of a route as NAME=WEIGHT."""
    if isinstance(value, tuple):
        return ",".join(_format(item) for item in value) or "-"
    if isinstance(value, WeightedBackend):
        return f"{value.backend}={value.weight}"
    return str(value)


def summary(parsed: ParsedConfiguration) -> dict[str, object]:
    """Return revision, digest and entry counts of a valid configuration, under their `--json` keys."""
    configuration: Configuration = parsed.configuration
    return {
        "revision": configuration.revision,
        "routes": len(configuration.routes),
        "backends": len(configuration.backends),
        "digest": parsed.digest.hex(),
    }
