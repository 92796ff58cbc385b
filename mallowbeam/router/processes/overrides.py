"""Overrides of the decision cores' default settings, from an optional TOML file.

The file is for trials: it disables a mechanism or changes a value without a code change.  No deployment
needs or contains it.  A table of the file stands for a settings dataclass, a key for one of its fields, a
nested table for a nested dataclass.  Unknown keys are errors.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import fields, is_dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

from mallowbeam.router.processes.settings import SettingsFieldError, SettingsUnreadableError

OVERRIDES_PATH = "deploy/decisions.toml"  # below the folder in which a role is started

Settings = TypeVar("Settings")


def read_overrides(path: str = OVERRIDES_PATH) -> Mapping[str, Any]:
    """The file's tables; empty if there is no file.  Raises `SettingsUnreadableError`."""
    file = Path(path)
    if not file.exists():
        return {}
    try:
        return tomllib.loads(file.read_bytes().decode())
    except (OSError, ValueError) as error:
        raise SettingsUnreadableError(str(error), path) from None


def apply_overrides(defaults: Settings, overrides: Mapping[str, Any], name: str) -> Settings:
    """Settings with the values of one table of the file; raises `SettingsFieldError`."""
    table = overrides.get(name)
    return defaults if table is None else _with_values(defaults, table, name)


def _with_values(defaults: Any, table: Any, where: str) -> Any:
    if not isinstance(table, Mapping):
        raise SettingsFieldError("must be a table", where)
    known = {field.name for field in fields(defaults)}
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key not in known:
            raise SettingsFieldError("is not known", f"{where}.{key}")
        values[key] = _value(getattr(defaults, key), value, f"{where}.{key}")
    return replace(defaults, **values)


def _value(default: Any, value: Any, where: str) -> Any:
    """A value of its default's type; an integer is accepted for a float."""
    if is_dataclass(default):
        return _with_values(default, value, where)
    if isinstance(default, float) and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not type(default):
        raise SettingsFieldError(f"must be a value such as {default!r}", where)
    return value
