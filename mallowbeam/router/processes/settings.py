"""The settings file of a process (DEPLOY.md: settings file): read at the start, and again when it changes.

Unknown keys are ignored. Required keys must be present; all others have the defaults that the dataclasses
state. Names of times and sizes end in their unit (``_ms``, ``_s``, ``_mb``).
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from types import MappingProxyType
from typing import TypeVar

from mallowbeam.errors import MallowbeamError

SETTINGS_VARIABLE = "MALLOWBEAM_NODE_FILE"
DEFAULT_PATH = "/etc/mallowbeam/settings.toml"
MAX_PORT = 65535
DEFAULT_HEARTBEAT_MS = 1200.0


_Numbers = TypeVar("_Numbers", "Limits", "FaultTolerance", "Bounds")


class SettingsError(MallowbeamError):
    """The settings file of a process can't be used."""

    error_name = "SettingsError"
    remedy = "mend the settings file that is named; a running process keeps the settings it has"


class SettingsUnreadableError(SettingsError):
    """The settings file can't be opened or is not valid TOML."""

    error_name = "SettingsUnreadable"
    code = "SETTINGS_UNREADABLE"
    remedy = "look at the path in MALLOWBEAM_NODE_FILE, its mode and its TOML syntax"


class SettingsFieldError(SettingsError):
    """A key of the settings file is missing or has a wrong value; ``where`` is its path."""

    error_name = "SettingsField"
    code = "SETTINGS_FIELD"
    remedy = "correct the key that is named in the settings file"


@dataclass(frozen=True, slots=True)
class BindAddresses:
    """Addresses (IP:PORT) of the listeners, None where the role has no such listener."""

    front: str | None = None
    readiness: str | None = None
    control: str | None = None


@dataclass(frozen=True, slots=True)
class MetricsPage:
    """The page of the process's metrics, on the address `NodeSettings.ip`."""

    port: int
    path: str  # starts with a slash


@dataclass(frozen=True, slots=True)
class Limits:
    """The resources of its machine that the process may use."""

    cpu_share: float = 1.0  # of one core
    cores: int = 1
    memory_mb: float = 300.0
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How many machines, zones or regions may fail at the same time."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the deployment's rules (RULES.md), by the keys of the settings file."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    max_skew_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    min_retries: float = 54.0
    recovery_s: float = 12.0
    transit_ms: float = 120.0
    again_s: float = 6.2
    fenced: bool = True
    lease_ms: float = 3000.0
    thaw_ms: float = 300.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one process."""

    node_name: str
    role: str
    machine_class: str
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]  # first and last port for traffic between processes
    serves: tuple[str, ...] = ()
    seeds: tuple[str, ...] = ()  # control addresses, IP:PORT
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_dir: str | None = None
    discovery: str = ""
    entry: str = ""
    heartbeat_ms: float = DEFAULT_HEARTBEAT_MS  # between two heartbeats of an instance
    contracts: frozenset[str] = frozenset()
    decision_log: bool = False  # a line for each request that was planned
    metrics: MetricsPage | None = None
    zones: Mapping[str, str] = field(default_factory=lambda: MappingProxyType({}))  # zone to region
    bind_addresses: BindAddresses = BindAddresses()
    limits: Limits = Limits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()

    @property
    def peer_address(self) -> str:
        """IP:PORT of the listener for other processes of the fleet."""
        return f"{self.ip}:{self.port_range[0]}"

    @property
    def seed_peer_addresses(self) -> tuple[str, ...]:
        """IP:PORT of the seeds' listeners for other processes; their port is the same on all machines."""
        return tuple(f"{split_address(seed)[0]}:{self.port_range[0]}" for seed in self.seeds)


def settings_path() -> str:
    """The path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE) or DEFAULT_PATH


def read_settings(path: str) -> NodeSettings:
    """Read a settings file; raises :class:`SettingsError`."""
    try:
        table = tomllib.loads(Path(path).read_bytes().decode())
    except (OSError, ValueError) as error:  # UnicodeDecodeError and TOMLDecodeError are ValueErrors
        raise SettingsUnreadableError(str(error), path) from None
    return parse_settings(table)


def parse_settings(table: Mapping[str, object]) -> NodeSettings:
    """Check a settings table; raises :class:`SettingsFieldError`."""
    top = _Section(table, "")
    return NodeSettings(
        node_name=top.text("node_name"),
        role=top.text("role"),
        machine_class=top.text("machine_class"),
        ip=top.text("ip"),
        zone=top.text("zone"),
        region=top.text("region"),
        port_range=top.ports("port_range"),
        serves=top.texts("serves"),
        seeds=top.addresses("seeds"),
        bootstrap=top.boolean("bootstrap", False),
        counts_for_quorum=top.boolean("counts_for_quorum", False),
        data_dir=top.text("data_dir", "") or None,
        discovery=top.text("discovery", ""),
        entry=top.text("entry", ""),
        heartbeat_ms=top.number("heartbeat_ms", DEFAULT_HEARTBEAT_MS),
        contracts=frozenset(top.texts("contracts")),
        decision_log=top.boolean("decision_log", False),
        metrics=top.page("metrics"),
        zones=top.section("zones").text_map(),
        bind_addresses=_bind_addresses(top.section("bind_addresses")),
        limits=_numbers(top.section("limits"), Limits()),
        fault_tolerance=_numbers(top.section("fault_tolerance"), FaultTolerance()),
        bounds=_numbers(top.section("bounds"), Bounds()),
    )


def split_address(address: str) -> tuple[str, int]:
    """Split IP:PORT; raises ValueError."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not IP:PORT: {address!r}")
    return host, int(port)


def _bind_addresses(section: _Section) -> BindAddresses:
    """Read the listeners' addresses."""
    return BindAddresses(section.address("front"), section.address("readiness"), section.address("control"))


def _numbers(section: _Section, defaults: _Numbers) -> _Numbers:
    """Read a section of numbers and booleans; each has the type of its default."""
    values: dict[str, object] = {}
    for setting in fields(defaults):
        default = getattr(defaults, setting.name)
        if isinstance(default, bool):
            values[setting.name] = section.boolean(setting.name, default)
        elif isinstance(default, int):
            values[setting.name] = section.integer(setting.name, default)
        else:
            values[setting.name] = section.number(setting.name, default)
    return type(defaults)(**values)  # type: ignore[arg-type]


class _Section:
    """A table of the file, with its path for errors."""

    def __init__(self, table: Mapping[str, object], path: str) -> None:
        self._table, self._path = table, path

    def text(self, key: str, default: str | None = None) -> str:
        """A string; a key without a default must be present and not empty."""
        value = self._table.get(key, default)
        if value is None:
            raise self._error(key, "is missing")
        if not isinstance(value, str):
            raise self._error(key, "must be a string")
        if default is None and not value:
            raise self._error(key, "must not be empty")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of strings, empty if missing."""
        value = self._table.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise self._error(key, "must be a list of strings")
        return tuple(value)

    def number(self, key: str, default: float) -> float:
        """A non-negative number."""
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < float("inf"):
            raise self._error(key, "must be a number, 0 or above")
        return float(value)

    def integer(self, key: str, default: int) -> int:
        """A non-negative integer."""
        value = self.number(key, default)
        if value != int(value):
            raise self._error(key, "must be a whole number")
        return int(value)

    def boolean(self, key: str, default: bool) -> bool:
        """A boolean."""
        value = self._table.get(key, default)
        if not isinstance(value, bool):
            raise self._error(key, "must be true or false")
        return value

    def address(self, key: str) -> str | None:
        """An address IP:PORT, None if missing or empty."""
        value = self.text(key, "")
        return self._checked_address(key, value) if value else None

    def page(self, key: str) -> MetricsPage | None:
        """A page PORT/PATH, None if missing or empty."""
        value = self.text(key, "")
        if not value:
            return None
        port, slash, path = value.partition("/")
        if not slash or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise self._error(key, "must be PORT/PATH")
        return MetricsPage(int(port), f"/{path}")

    def addresses(self, key: str) -> tuple[str, ...]:
        """A list of addresses, empty if missing."""
        return tuple(self._checked_address(key, value) for value in self.texts(key))

    def ports(self, key: str) -> tuple[int, int]:
        """A first and a last port."""
        value = self._table.get(key)
        if value is None:
            raise self._error(key, "is missing")
        if not isinstance(value, list) or [type(port) for port in value] != [int, int]:
            raise self._error(key, "must be a list of two ports")
        first, last = value
        if not 0 < first <= last <= MAX_PORT:
            raise self._error(key, "must be two ascending ports from 1 to 65535")
        return first, last

    def section(self, key: str) -> _Section:
        """A nested table, empty if missing."""
        value = self._table.get(key, {})
        if not isinstance(value, dict):
            raise self._error(key, "must be a table")
        return _Section(value, f"{self._path}{key}.")

    def text_map(self) -> Mapping[str, str]:
        """All values of the table, which must be strings, by key."""
        return MappingProxyType({key: self.text(key, "") for key in self._table})

    def _checked_address(self, key: str, value: str) -> str:
        try:
            split_address(value)
        except ValueError:
            raise self._error(key, "must be IP:PORT") from None
        return value

    def _error(self, key: str, what: str) -> SettingsFieldError:
        return SettingsFieldError(what, f"{self._path}{key}")
