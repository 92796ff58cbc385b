"""Translates class and field names between recorded runs of the scheduler and the current code.

Recordings (`scheduler.trace`) and the digests of their actions were made by version 63262d5.  They stay
unchanged, byte for byte; this module translates the names of classes and fields both ways.
"""

from __future__ import annotations

from typing import Any

import msgspec

from mallowbeam.storage_gateway.scheduler import interface

# Recorded class names by current name; classes that are not listed keep their name.
RECORDED_CLASSES = {
    "DiscoveryUpdate": "NodesListed",
    "OperatorOverride": "ByHand",
    "SiblingSend": "SentBeside",
    "UploadProgress": "Upload",
    "ClientDisconnected": "ClientGone",
    "HealthCheckEnded": "ProbeEnded",
    "Reject": "Refuse",
    "WatchNodes": "Watch",
    "HealthCheck": "Probe",
    "CloseIdleConnections": "CloseIdle",
    "LogLine": "Note",
}
CLASSES = {
    RECORDED_CLASSES.get(name, name): kind
    for name, kind in vars(interface).items()
    if isinstance(kind, type) and kind.__module__ == interface.__name__
}
# Recorded field names by current class and field name; fields that are not listed keep their name.
RECORDED_FIELDS: dict[str, dict[str, str]] = {
    "RequestClass": {
        "value": "worth",
        "latency_target": "aim",
        "late_value": "late_worth",
        "idempotency": "repeat",
        "dedup_scope": "scope",
        "dedup_window": "repeat_window",
    },
    "Settings": {
        "typical_units": "usual_units",
        "max_units": "units_top",
        "share_value": "share_worth",
        "spare_value": "spare_worth",
        "reports_remote_units": "tells_elsewhere",
        "may_check_health": "may_probe",
        "max_list_age": "ask_every",
        "slow_start_units": "cold_units",
        "slow_start_capacity": "cold_start",
        "slow_start_time": "cold_time",
        "overload_multiple": "fall_multiple",
        "overload_window": "fall_window",
        "order_settle_time": "order_settle",
        "retry_budget_floor": "budget_floor",
        "retry_budget_ratio": "budget_share",
        "retry_budget_window": "budget_window",
    },
    "RequestArrived": {"request_class": "cls", "volume_hosts": "hosts_of_volume"},
    "NodeEntry": {"started_at": "since"},
    "OperatorOverride": {"disabled": "out", "disabled_at": "since"},
    "SiblingSend": {"host_count": "hosts", "charged_units": "drawn", "limit_level": "level"},
    "PlanChanged": {"limit_share": "part"},
    "AttemptEnded": {"usage_ratio": "used", "remote_units": "elsewhere"},
    "UploadProgress": {"time_left": "left"},
}


def _renamed(fields: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in fields.items()}


def _translated(kind: str, fields: dict[str, Any], recorded: bool) -> dict[str, Any]:
    """Plain fields of one object, renamed to (`recorded`) or from the recorded names, at all depths."""

    def names_of(name: str) -> dict[str, str]:
        names = RECORDED_FIELDS.get(name, {})
        return names if recorded else {old: new for new, old in names.items()}

    fields = _renamed(fields, names_of(kind))
    if kind == "Settings":
        names = names_of("RequestClass")
        fields["classes"] = {name: _renamed(item, names) for name, item in fields["classes"].items()}
    elif kind == "DiscoveryUpdate":
        fields["entries"] = [_renamed(entry, names_of("NodeEntry")) for entry in fields["entries"]]
    return fields


def to_recorded(value: object) -> tuple[str, dict[str, Any]]:
    """The recorded class name and plain fields of settings, an event or an action."""
    kind = type(value).__name__
    return RECORDED_CLASSES.get(kind, kind), _translated(kind, msgspec.to_builtins(value), recorded=True)


def from_recorded(recorded_kind: str, fields: dict[str, Any]) -> Any:
    """Settings, an event or an action from its recorded form; the inverse of `to_recorded`."""
    kind = CLASSES[recorded_kind]
    return msgspec.convert(_translated(kind.__name__, fields, recorded=False), kind)
