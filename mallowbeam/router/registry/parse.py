"""Parses heartbeats from their JSON bodies into `Instance` messages.

Unknown fields are skipped. `backend`, `address`, `state` and `sequence` are required; other fields have
defaults, but if present they must have the right type and be within their bounds.
"""

from __future__ import annotations

import json
import re
from typing import Any

from mallowbeam.router.registry.errors import HeartbeatError
from mallowbeam.router.registry.limits import (
    MAX_BODY_BYTES,
    MAX_ID_LENGTH,
    MAX_MODELS,
    MAX_NAME_LENGTH,
    MAX_SEQUENCE,
    MAX_SLOTS,
    MAX_WARMUP_MS,
)
from mallowbeam.router.rpc.messages_pb2 import DRAINS, READY, Instance, InstanceState, Model

ID_PATTERN = re.compile(r"[!-~]+")  # visible ASCII
ADDRESS_PATTERN = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)
MAX_PORT = 65_535
MAX_OCTET = 255

SLOT_RANGE = range(1, MAX_SLOTS + 1)
SEQUENCE_RANGE = range(MAX_SEQUENCE + 1)

_STATES: dict[str, InstanceState] = {"ready": READY, "draining": DRAINS}


def parse_heartbeat(id: str, body: bytes) -> Instance:
    """Parse one heartbeat of the instance `id`.

    Raises:
        HeartbeatError: the id or the body is invalid. No other exception is raised, whatever the input.
    """
    check_id(id)
    fields = _read_object(body)
    return Instance(
        id=id,
        backend=_string(fields, "backend", required=True),
        address=_address(fields),
        zone=_string(fields, "zone"),
        revision=_string(fields, "revision"),
        slots=_integer(fields, "slots", SLOT_RANGE, default=1),
        state=_state(fields),
        warmup_left_ms=_warmup(fields),
        stage=_string(fields, "stage"),
        models=_models(fields),
        sequence=_integer(fields, "sequence", SEQUENCE_RANGE, default=None),
    )


def check_id(id: str) -> None:
    """Raise `HeartbeatError` if `id` can't be an instance's id."""
    if not 0 < len(id) <= MAX_ID_LENGTH or not ID_PATTERN.fullmatch(id) or "/" in id:
        raise HeartbeatError(HeartbeatError.BAD_ID, "not a valid instance id", "id")


def _read_object(body: bytes) -> dict[str, Any]:
    """The body as a JSON object; raises `HeartbeatError`."""
    if len(body) > MAX_BODY_BYTES:
        raise HeartbeatError(HeartbeatError.TOO_LARGE, f"over {MAX_BODY_BYTES} bytes", "body")
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise HeartbeatError(HeartbeatError.NOT_JSON, "not JSON", "body") from None
    if not isinstance(fields, dict):
        raise HeartbeatError(HeartbeatError.NOT_JSON, "not a JSON object", "body")
    return fields


def _field_error(where: str, what: str) -> HeartbeatError:
    """The error for one field."""
    return HeartbeatError(HeartbeatError.BAD_FIELD, what, where)


def _string(fields: dict[str, Any], name: str, required: bool = False, where: str = "") -> str:
    """A string field; if `required`, it must be present and not empty."""
    value = fields.get(name)
    if value is None and not required:
        return ""
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH or (required and not value):
        raise _field_error(where + name, f"not a string of at most {MAX_NAME_LENGTH} characters")
    try:
        value.encode()  # JSON allows lone surrogates, which UTF-8 can't encode
    except UnicodeEncodeError:
        raise _field_error(where + name, "not valid Unicode") from None
    return value


def _integer(fields: dict[str, Any], name: str, allowed: range, default: int | None, where: str = "") -> int:
    """An integer field within a range; required if there is no default."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value not in allowed:
        raise _field_error(where + name, f"not a whole number from {allowed.start} to {allowed.stop - 1}")
    return value


def _warmup(fields: dict[str, Any]) -> int:
    """Milliseconds for which the instance is still warming up; fractions are truncated."""
    value = fields.get("warmup_left_ms", 0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_WARMUP_MS:
        raise _field_error("warmup_left_ms", f"not a number from 0 to {MAX_WARMUP_MS}")
    return int(value)


def _state(fields: dict[str, Any]) -> InstanceState:
    """The state, `ready` or `draining`."""
    value = fields.get("state")
    state = _STATES.get(value) if isinstance(value, str) else None
    if state is None:
        raise _field_error("state", "neither ready nor draining")
    return state


def _address(fields: dict[str, Any]) -> str:
    """The address of the instance, IPv4:PORT."""
    value = fields.get("address")
    match = ADDRESS_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _field_error("address", "not IP:PORT")
    *octets, port = (int(digits) for digits in match.groups())
    if max(octets) > MAX_OCTET or not 0 < port <= MAX_PORT:
        raise _field_error("address", "not IP:PORT")
    return match.group()


def _models(fields: dict[str, Any]) -> list[Model]:
    """The models that the instance has loaded."""
    value = fields.get("models")
    if value is None:
        return []
    if not isinstance(value, list) or len(value) > MAX_MODELS:
        raise _field_error("models", f"not a list of at most {MAX_MODELS}")
    return [_model(entry, f"models[{index}].") for index, entry in enumerate(value)]


def _model(entry: object, where: str) -> Model:
    """One model: its name and the revision of its weights."""
    if not isinstance(entry, dict):
        raise _field_error(where.rstrip("."), "not a JSON object")
    name = _string(entry, "name", required=True, where=where)
    revision = _integer(entry, "revision", SEQUENCE_RANGE, default=0, where=where)
    return Model(name=name, revision=revision)
