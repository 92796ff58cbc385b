"""Heartbeats as they come over the wire, read into `Instance` messages.

Unknown fields are skipped. `backend`, `address`, `state` and `sequence` are required; other fields have
defaults, but where one is present it must have the right type and keep its bound.
"""

from __future__ import annotations

import json
import re
from typing import Any

from mallowbeam.router.registry.errors import HeartbeatError
from mallowbeam.router.registry.limits import (
    MOST_BODY_BYTES,
    MOST_ID_LENGTH,
    MOST_MODELS,
    MOST_NAME_LENGTH,
    MOST_SEQUENCE,
    MOST_SLOTS,
    MOST_WARMUP_MS,
)
from mallowbeam.router.rpc.messages_pb2 import DRAINS, READY, Instance, InstanceState, Model

ID_FORM = re.compile(r"[!-~]+")  # visible ASCII
ADDRESS_FORM = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)
MOST_PORT = 65_535
MOST_OCTET = 255

_STATES: dict[str, InstanceState] = {"ready": READY, "draining": DRAINS}


def parse_heartbeat(id: str, body: bytes) -> Instance:
    """Read one heartbeat of the instance `id`. Raises HeartbeatError on whatever can't be taken."""
    check_id(id)
    fields = _read_object(body)
    return Instance(
        id=id,
        backend=_text(fields, "backend", required=True),
        address=_address(fields),
        zone=_text(fields, "zone"),
        revision=_text(fields, "revision"),
        slots=_whole_number(fields, "slots", least=1, most=MOST_SLOTS, default=1),
        state=_state(fields),
        warmup_left_ms=_warmup(fields),
        stage=_text(fields, "stage"),
        models=_models(fields),
        sequence=_whole_number(fields, "sequence", least=0, most=MOST_SEQUENCE, default=None),
    )


def check_id(id: str) -> None:
    """Raise HeartbeatError where `id` can't be an instance's id."""
    if not 0 < len(id) <= MOST_ID_LENGTH or not ID_FORM.fullmatch(id) or "/" in id:
        raise HeartbeatError(HeartbeatError.BAD_ID, "no id of an instance", "id")


def _read_object(body: bytes) -> dict[str, Any]:
    """The body as a JSON object."""
    if len(body) > MOST_BODY_BYTES:
        raise HeartbeatError(HeartbeatError.TOO_LARGE, f"over {MOST_BODY_BYTES} bytes", "body")
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise HeartbeatError(HeartbeatError.NOT_JSON, "not JSON", "body") from None
    if not isinstance(fields, dict):
        raise HeartbeatError(HeartbeatError.NOT_JSON, "not a JSON object", "body")
    return fields


def _bad(where: str, what: str) -> HeartbeatError:
    """The error on one field."""
    return HeartbeatError(HeartbeatError.BAD_FIELD, what, where)


def _text(fields: dict[str, Any], name: str, required: bool = False, where: str = "") -> str:
    """A string that has to be there and not be empty where `required`."""
    value = fields.get(name)
    if value is None and not required:
        return ""
    if not isinstance(value, str) or len(value) > MOST_NAME_LENGTH or (required and not value):
        raise _bad(where + name, f"not a string of at most {MOST_NAME_LENGTH} characters")
    try:
        value.encode()  # a lone surrogate can't be passed on
    except UnicodeEncodeError:
        raise _bad(where + name, "not valid Unicode") from None
    return value


def _whole_number(
    fields: dict[str, Any], name: str, least: int, most: int, default: int | None, where: str = ""
) -> int:
    """A whole number between two bounds; required where there is no default."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise _bad(where + name, f"not a whole number from {least} to {most}")
    return value


def _warmup(fields: dict[str, Any]) -> int:
    """Milliseconds for which the instance is still slow from its start; fractions are cut off."""
    value = fields.get("warmup_left_ms", 0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MOST_WARMUP_MS:
        raise _bad("warmup_left_ms", f"not a number from 0 to {MOST_WARMUP_MS}")
    return int(value)


def _state(fields: dict[str, Any]) -> InstanceState:
    """`ready` or `draining`."""
    value = fields.get("state")
    state = _STATES.get(value) if isinstance(value, str) else None
    if state is None:
        raise _bad("state", "neither ready nor draining")
    return state


def _address(fields: dict[str, Any]) -> str:
    """IP:PORT, IPv4."""
    value = fields.get("address")
    match = ADDRESS_FORM.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _bad("address", "not IP:PORT")
    *octets, port = (int(part) for part in match.groups())
    if max(octets) > MOST_OCTET or not 0 < port <= MOST_PORT:
        raise _bad("address", "not IP:PORT")
    return match.group()


def _models(fields: dict[str, Any]) -> list[Model]:
    """The models that the instance holds."""
    value = fields.get("models")
    if value is None:
        return []
    if not isinstance(value, list) or len(value) > MOST_MODELS:
        raise _bad("models", f"not a list of at most {MOST_MODELS}")
    return [_model(entry, f"models[{place}].") for place, entry in enumerate(value)]


def _model(entry: object, where: str) -> Model:
    """One model: its name and the revision of its weights."""
    if not isinstance(entry, dict):
        raise _bad(where.rstrip("."), "not a JSON object")
    name = _text(entry, "name", required=True, where=where)
    revision = _whole_number(entry, "revision", least=0, most=MOST_SEQUENCE, default=0, where=where)
    return Model(name=name, revision=revision)
