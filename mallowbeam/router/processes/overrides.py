"""Settings of the decision cores that differ from their defaults, from an optional TOML file.

The file is for trials: it switches a mechanism off, or gives a figure another value, without a change of
the program.  No deployment needs one, and none is delivered.  A table of the file is a settings dataclass, a
key one of its fields, a table inside it a dataclass inside.  All is checked: a key not known is an error.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import fields, is_dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

from mallowbeam.router.processes.settings import SettingsField, SettingsUnreadable

OVERRIDES_PATH = "deploy/decisions.toml"  # below the folder in which a role is started

Settings = TypeVar("Settings")


def read_overrides(path: str = OVERRIDES_PATH) -> Mapping[str, Any]:
    """The file's tables; none where there is no file.  Raises `SettingsUnreadable`."""
    file = Path(path)
    if not file.exists():
        return {}
    try:
        return tomllib.loads(file.read_bytes().decode())
    except (OSError, ValueError) as error:
        raise SettingsUnreadable(str(error), path) from None


def overridden(defaults: Settings, overrides: Mapping[str, Any], name: str) -> Settings:
    """Settings with the values of one table of the file; raises `SettingsField`."""
    table = overrides.get(name)
    return defaults if table is None else _replaced(defaults, table, name)


def _replaced(defaults: Any, table: Any, where: str) -> Any:
    if not isinstance(table, Mapping):
        raise SettingsField("must be a table", where)
    known = {one.name for one in fields(defaults)}
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key not in known:
            raise SettingsField("is not known", f"{where}.{key}")
        values[key] = _value(getattr(defaults, key), value, f"{where}.{key}")
    return replace(defaults, **values)


def _value(default: Any, value: Any, where: str) -> Any:
    """A value of the type of its default; a whole number stands for one with a fraction."""
    if is_dataclass(default):
        return _replaced(default, value, where)
    if isinstance(default, float) and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not type(default):
        raise SettingsField(f"must be a value such as {default!r}", where)
    return value
