"""Decodes the settings of a host once, for both hosts.

The simulator sends `path=value` pairs; the platform's configuration holds the same names as nested JSON,
which is flattened to the same paths, so that one decoder serves both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from mallowbeam.storage_gateway.scheduler.interface import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    Settings,
)

SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.SHARD}


def opt(part: str, convert: Callable = float):
    """A value, or None where the wire marks it absent."""
    return None if part == "-" else convert(part)


def flag(part: str) -> bool:
    """A wire bool as message fields (1, 0) and settings (true, false) write it."""
    if part in ("1", "true"):
        return True
    if part in ("0", "false", "-"):
        return False
    raise ValueError(f"not a bool: {part}")


def read_pairs(pairs: list[str]) -> dict[str, str]:
    """The simulator's start-up pairs by path."""
    raw: dict[str, str] = {}
    for pair in pairs:
        path, sep, value = pair.partition("=")
        if not sep:
            raise ValueError(f"not a path=value pair: {pair}")
        raw[path] = value
    return raw


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON by path, spelt as the simulator's pairs spell it."""
    if isinstance(value, dict):
        parts = [flatten(item, f"{path}.{name}" if path else name) for name, item in value.items()]
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        parts = [{f"{path}.count": str(len(value))}]
        parts += [flatten(item, f"{path}.{i}") for i, item in enumerate(value)]
    elif isinstance(value, list):
        return {path: ",".join(spell(item) for item in value)}
    else:
        return {path: spell(value)}
    return {name: item for part in parts for name, item in part.items()}


def spell(value: object) -> str:
    """A plain JSON value as the pairs write it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "-" if value is None else str(value)


def read_settings(seed: int, raw: dict[str, str]) -> Settings:
    """Settings given by path as `Settings`; unknown ones are skipped."""

    def get(path: str, convert: Callable = float, default=None):
        value = raw.get(path, "-")
        return default if value in ("-", "") else convert(value)

    def items(path: str) -> Iterator[str]:
        return (f"{path}.{i}." for i in range(get(f"{path}.count", int, 0)))

    writes = dict(enumerate(map(flag, get("FamilyInfo.ClassWrites", lambda text: text.split(","), []))))
    classes = [
        RequestClass(
            name=get(p + "Name", str, ""),
            value=get(p + "Credit", float, 1.0),
            latency_target=get(p + "OnTime", float, 1.0),
            deadline=get(p + "HardLimit", float, 1.0),
            late_value=get(p + "LateWorth", float, 0.0),
            idempotency=Idempotency(get(p + "Idempotency", str, "unsafe")),
            dedup_scope=get(p + "KeyScope", SCOPES.__getitem__, DeduplicationScope.ALL),
            dedup_window=get(p + "Window", float, 0.0),
            streamed=get(p + "Stream", flag, False),
            ordered=get(p + "InOrder", flag, False),
            writes=writes.get(i),
        )
        for i, p in enumerate(items("Classes"))
    ]
    plans = [
        Plan(
            name=get(p + "Name", str, ""),
            rate=get(p + "Nominal", float, 0.0),
            reserve=get(p + "Reservation", float, 0.0),
            weight=get(p + "Shares", float, 1.0),
            price=get(p + "Pays", float, 1.0),
            limit=get(p + "Limit", float, 0.0),
            limit_burst=get(p + "MostAtOnce", float, 0.0),
            limit_slack=get(p + "Tolerance", float, 0.0),
        )
        for p in items("Plans")
    ]
    g = "Guarantees."
    return Settings(
        seed=seed,
        host_index=get("MyNumber", int, 0),
        hosts=get("Balancers", int, 1),
        zone=get("Zone", str, ""),
        tick=get("Resolution", float, 0.001),
        classes={c.name: c for c in classes},
        plans={p.name: p for p in plans},
        typical_units=get("FamilyInfo.UsualUnits", float, 1.0),
        max_units=get("FamilyInfo.UnitsTop", int, 1),
        shards=get("FamilyInfo.SlotsTotal", int, 1),
        share_value=get("FamilyInfo.FairWorth", float, 1.0),
        spare_value=get("FamilyInfo.SpareWorth", float, 1.0),
        meter_period=get("FamilyInfo.UsePeriod", float, 0.0),
        reports_remote_units=get("FamilyInfo.TellsElsewhere", flag, False),
        may_cancel=get("Ceilings.Cancel", flag, False),
        may_check_health=get("Ceilings.MayProbe", flag, False),
        may_duplicate=get("Ceilings.MayDuplicate", flag, False),
        max_attempts=get("Ceilings.TryLimit", int),
        retry_after=get("Ceilings.RetryAfter", flag, False),
        max_retry_after=get("Ceilings.MaxRetryAfter", float, 0.0),
        discovery_on_request=get("Discovery", str, "pushed") == "on_request",
        max_list_age=get(g + "AskEvery"),
        drain_grace=get(g + "DrainGrace"),
        slow_start_units=get("FamilyInfo.ColdBears"),
        slow_start_capacity=get(g + "StartCapacity", float, 1.0),
        slow_start_time=get(g + "Cold"),
        overload_multiple=get(g + "TipMultiple"),
        overload_window=get(g + "Fall"),
        order_settle_time=get(g + "OrderSettle", float, 0.0),
        retry_budget_floor=get(g + "ExtraFloor"),
        retry_budget_ratio=get(g + "ExtraPerRequest", float, 0.0),
        retry_budget_window=get(g + "CountedOver", float, 0.0),
    )
