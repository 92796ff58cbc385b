"""Decodes a host's settings; only this module and `simulator_host` know the simulator's names.

The simulator sends `path=value` pairs; the platform's configuration holds the same names as nested JSON,
which is flattened to the same paths, so that one decoder serves both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from mallowbeam.storage_gateway.scheduler.interface import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    Settings,
)

T = TypeVar("T")

ABSENT = "-"  # marks an absent value in the simulator's protocol
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.SHARD}


def parse_optional(text: str, convert: Callable[[str], T]) -> T | None:
    """A converted value, or None where it is marked absent; raises the errors of `convert`."""
    return None if text == ABSENT else convert(text)


def parse_flag(text: str) -> bool:
    """A bool from a message field (1, 0) or a setting (true, false); `ValueError` for anything else."""
    if text in ("1", "true"):
        return True
    if text in ("0", "false", ABSENT):
        return False
    raise ValueError(f"not a bool: {text}")


def read_pairs(pairs: list[str]) -> dict[str, str]:
    """The simulator's start-up settings by path; `ValueError` for text without an equals sign."""
    values: dict[str, str] = {}
    for pair in pairs:
        path, separator, value = pair.partition("=")
        if not separator:
            raise ValueError(f"not a path=value pair: {pair}")
        values[path] = value
    return values


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON by path, with values in the notation of the simulator's pairs."""
    if isinstance(value, dict):
        items = {str(name): item for name, item in value.items()}
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = {"count": len(value)} | {str(index): item for index, item in enumerate(value)}
    elif isinstance(value, list):
        return {path: ",".join(format_scalar(item) for item in value)}
    else:
        return {path: format_scalar(value)}
    flat: dict[str, str] = {}
    for name, item in items.items():
        flat |= flatten(item, f"{path}.{name}" if path else name)
    return flat


def format_scalar(value: object) -> str:
    """A scalar JSON value in the notation of the simulator's pairs."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ABSENT if value is None else str(value)


class SettingsReader:
    """Converts values by path; absent and empty ones get defaults."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def optional(self, path: str, convert: Callable[[str], T]) -> T | None:
        """A converted value, or None where it is absent or empty."""
        value = self._values.get(path, ABSENT)
        return None if value in (ABSENT, "") else convert(value)

    def number(self, path: str, default: float = 0.0) -> float:
        """A number, with a default."""
        value = self.optional(path, float)
        return default if value is None else value

    def integer(self, path: str, default: int) -> int:
        """A whole number, with a default."""
        value = self.optional(path, int)
        return default if value is None else value

    def text(self, path: str, default: str = "") -> str:
        """A text, with a default."""
        return self.optional(path, str) or default

    def flag(self, path: str) -> bool:
        """A bool; False where there is none."""
        return self.optional(path, parse_flag) or False

    def items(self, path: str) -> Iterator[str]:
        """The paths of a list's items, each with a dot at its end."""
        return (f"{path}.{index}." for index in range(self.integer(f"{path}.count", 0)))


def read_settings(seed: int, values: dict[str, str]) -> Settings:
    """Settings from values by path; unknown paths are ignored.

    Raises:
        ValueError: a value cannot be converted.
        KeyError: a deduplication scope is unknown.
    """
    reader = SettingsReader(values)
    classes = _read_classes(reader)
    plans = [_read_plan(reader, path) for path in reader.items("Plans")]
    return Settings(
        seed=seed,
        host_index=reader.integer("MyNumber", 0),
        hosts=reader.integer("Balancers", 1),
        zone=reader.text("Zone"),
        tick=reader.number("Resolution", 0.001),
        classes={request_class.name: request_class for request_class in classes},
        plans={plan.name: plan for plan in plans},
        discovery_on_request=reader.text("Discovery", "pushed") == "on_request",
        **_read_family(reader),
        **_read_ceilings(reader),
        **_read_guarantees(reader),
    )


def _read_classes(reader: SettingsReader) -> list[RequestClass]:
    write_flags = reader.text("FamilyInfo.ClassWrites")
    writes = dict(enumerate(map(parse_flag, write_flags.split(",") if write_flags else [])))
    return [
        RequestClass(
            name=reader.text(path + "Name"),
            value=reader.number(path + "Credit", 1.0),
            latency_target=reader.number(path + "OnTime", 1.0),
            deadline=reader.number(path + "HardLimit", 1.0),
            late_value=reader.number(path + "LateWorth"),
            idempotency=Idempotency(reader.text(path + "Idempotency", "unsafe")),
            dedup_scope=SCOPES[reader.text(path + "KeyScope", "all")],
            dedup_window=reader.number(path + "Window"),
            streamed=reader.flag(path + "Stream"),
            ordered=reader.flag(path + "InOrder"),
            writes=writes.get(index),
        )
        for index, path in enumerate(reader.items("Classes"))
    ]


def _read_plan(reader: SettingsReader, path: str) -> Plan:
    return Plan(
        name=reader.text(path + "Name"),
        rate=reader.number(path + "Nominal"),
        reserve=reader.number(path + "Reservation"),
        weight=reader.number(path + "Shares", 1.0),
        price=reader.number(path + "Pays", 1.0),
        limit=reader.number(path + "Limit"),
        limit_burst=reader.number(path + "MostAtOnce"),
        limit_slack=reader.number(path + "Tolerance"),
    )


def _read_family(reader: SettingsReader) -> dict[str, Any]:
    """Fields of `Settings` that describe the family of nodes."""
    return {
        "typical_units": reader.number("FamilyInfo.UsualUnits", 1.0),
        "max_units": reader.integer("FamilyInfo.UnitsTop", 1),
        "shards": reader.integer("FamilyInfo.SlotsTotal", 1),
        "share_value": reader.number("FamilyInfo.FairWorth", 1.0),
        "spare_value": reader.number("FamilyInfo.SpareWorth", 1.0),
        "meter_period": reader.number("FamilyInfo.UsePeriod"),
        "reports_remote_units": reader.flag("FamilyInfo.TellsElsewhere"),
        "slow_start_units": reader.optional("FamilyInfo.ColdBears", float),
    }


def _read_ceilings(reader: SettingsReader) -> dict[str, Any]:
    """Fields of `Settings` that limit what a host may do."""
    return {
        "may_cancel": reader.flag("Ceilings.Cancel"),
        "may_check_health": reader.flag("Ceilings.MayProbe"),
        "may_duplicate": reader.flag("Ceilings.MayDuplicate"),
        "max_attempts": reader.optional("Ceilings.TryLimit", int),
        "retry_after": reader.flag("Ceilings.RetryAfter"),
        "max_retry_after": reader.number("Ceilings.MaxRetryAfter"),
    }


def _read_guarantees(reader: SettingsReader) -> dict[str, Any]:
    """Fields of `Settings` that hold the platform's rules."""
    return {
        "max_list_age": reader.optional("Guarantees.AskEvery", float),
        "drain_grace": reader.optional("Guarantees.DrainGrace", float),
        "slow_start_capacity": reader.number("Guarantees.StartCapacity", 1.0),
        "slow_start_time": reader.optional("Guarantees.Cold", float),
        "overload_multiple": reader.optional("Guarantees.TipMultiple", float),
        "overload_window": reader.optional("Guarantees.Fall", float),
        "order_settle_time": reader.number("Guarantees.OrderSettle"),
        "retry_budget_floor": reader.optional("Guarantees.ExtraFloor", float),
        "retry_budget_ratio": reader.number("Guarantees.ExtraPerRequest"),
        "retry_budget_window": reader.number("Guarantees.CountedOver"),
    }
