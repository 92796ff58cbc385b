"""Errors of the registry."""

from __future__ import annotations

from typing import ClassVar

from mallowbeam.errors import MallowbeamError


class HeartbeatError(MallowbeamError):
    """A heartbeat that can't be parsed; `code` is stable, `where` names the field or part."""

    remedy = "look at what the server sends as its heartbeat; the call is answered with 400"

    TOO_LARGE: ClassVar[str] = "HEARTBEAT_TOO_LARGE"
    NOT_JSON: ClassVar[str] = "HEARTBEAT_NOT_JSON"
    BAD_ID: ClassVar[str] = "HEARTBEAT_BAD_ID"
    BAD_FIELD: ClassVar[str] = "HEARTBEAT_BAD_FIELD"
    codes: ClassVar[tuple[str, ...]] = (TOO_LARGE, NOT_JSON, BAD_ID, BAD_FIELD)

    def __init__(self, code: str = BAD_FIELD, what: str = "", where: str = "") -> None:
        super().__init__(what, where, code=code)
