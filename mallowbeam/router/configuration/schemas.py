"""Schemas of the operator's configuration, with the names of its fields on the wire.

Only what this program reads is declared; any other field is skipped here and kept in the canonical document.
An optional field that is null counts as absent and gets the default of its dataclass. Numbers beyond what the
messages carry are cut to the most that they carry, so that a bound set to "practically none" stays valid.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

from marshmallow import EXCLUDE, Schema, ValidationError, fields, missing, post_load

from mallowbeam.router.configuration.model import (
    MOST_UINT32,
    MOST_UINT64,
    Backend,
    ClientLimits,
    Engine,
    Route,
    WeightedBackend,
)

SCALED_WEIGHT = 1_000_000  # the largest weight of a route whose weights aren't whole numbers of 32 bits

Kind = TypeVar("Kind")


def number_of(value: object) -> int | float:
    """A finite number that is not negative; raises `ValidationError`."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValidationError("must be a number")
    if isinstance(value, float) and not math.isfinite(value):
        raise ValidationError("must be finite")
    if value < 0:
        raise ValidationError("must not be negative")
    return value


class Value(fields.Field[Kind]):
    """A field that is checked by `_deserialize` alone, without marshmallow's lists of validators."""

    def deserialize(self, value: Any, attr: str | None = None, data: Any = None, **options: Any) -> Any:
        """The checked value; absent ones and null take marshmallow's way."""
        if value is None or value is missing:
            return super().deserialize(value, attr, data, **options)
        return self._deserialize(value, attr, data, **options)


class Text(Value[str]):
    """A string that UTF-8 can carry; not empty if `filled`."""

    def __init__(self, *, filled: bool = False, **options: Any) -> None:
        super().__init__(**options)
        self.filled = filled

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> str:
        if not isinstance(value, str):
            raise ValidationError("must be a string")
        if self.filled and not value:
            raise ValidationError("must not be empty")
        try:
            value.encode()
        except UnicodeEncodeError:
            raise ValidationError("must be text that UTF-8 can carry") from None
        return value


class Flag(Value[bool]):
    """True or false."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> bool:
        if not isinstance(value, bool):
            raise ValidationError("must be true or false")
        return value


class Whole(Value[int]):
    """A whole number, not negative, cut to `most`."""

    def __init__(self, *, most: int = MOST_UINT32, **options: Any) -> None:
        super().__init__(**options)
        self.most = most

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> int:
        number = number_of(value)
        if number != int(number):
            raise ValidationError("must be a whole number")
        return min(int(number), self.most)


class Milliseconds(Value[int]):
    """A time, rounded up to whole milliseconds."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> int:
        return min(math.ceil(number_of(value)), MOST_UINT32)


class Amount(Value[float]):
    """A number that may have a fraction."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> float:
        return float(min(number_of(value), MOST_UINT64))


class Weight(Value[float]):
    """A share; whole numbers stay as they are."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> float:
        return min(number_of(value), MOST_UINT64)


class Revision(Value[int]):
    """A configuration's number, from 1."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> int:
        number = number_of(value)
        if number != int(number) or not 1 <= number <= MOST_UINT64:
            raise ValidationError(f"must be a whole number from 1 to {MOST_UINT64}")
        return int(number)


MODEL_NAME = Text(required=True, filled=True)


class ModelName(Value[str]):
    """A model, as an object with its name or as the name alone."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> str:
        name = value.get("name") if isinstance(value, dict) else value
        return MODEL_NAME.deserialize(name) or ""


class LenientSchema(Schema):
    """A schema that skips fields that it does not know."""

    class Meta:
        """Options of marshmallow."""

        unknown = EXCLUDE


def given(data: dict[str, Any]) -> dict[str, Any]:
    """The fields that are there: null counts as absent."""
    return {name: value for name, value in data.items() if value is not None}


class WeightedBackendSchema(LenientSchema):
    """One entry of `weighted_backends`."""

    backend = Text(required=True, filled=True)
    weight = Weight(required=True)


def whole_weights(entries: list[dict[str, Any]]) -> tuple[WeightedBackend, ...]:
    """Entries with weights as whole numbers of 32 bits; others are scaled, and none above 0 becomes 0."""
    weights = [entry["weight"] for entry in entries]
    most = max(weights, default=0)
    if most > MOST_UINT32 or any(weight != int(weight) for weight in weights):
        weights = [math.ceil(weight / most * SCALED_WEIGHT) for weight in weights]
    return tuple(
        WeightedBackend(entry["backend"], int(weight)) for entry, weight in zip(entries, weights, strict=True)
    )


class RouteSchema(LenientSchema):
    """One entry of `routes`."""

    name = Text(allow_none=True)
    hostname = Text(required=True, filled=True)
    path_prefix = Text(required=True)
    route_type = Text(allow_none=True)
    timeout_ms = Milliseconds(allow_none=True)
    target_latency_ms = Milliseconds(allow_none=True)
    priority = Whole(allow_none=True)
    max_retries = Whole(allow_none=True)
    session_affinity = Flag(allow_none=True)
    resumable = Flag(allow_none=True)
    gap_aim_ms = Milliseconds(allow_none=True)
    backend = Text(filled=True, allow_none=True)
    weighted_backends = fields.List(fields.Nested(WeightedBackendSchema), allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> Route:
        """The route; a time-out of 0 stands for a missing one, and the checks refuse it."""
        values = given(data)
        backend = values.pop("backend", None)
        weighted = values.pop("weighted_backends", None)
        if not values["path_prefix"].startswith("/"):
            raise ValidationError("must start with a slash", "path_prefix")
        values["hostname"] = values["hostname"].lower()
        values.setdefault("timeout_ms", 0)
        return Route(backends=backends_of(backend, weighted), **values)


def backends_of(backend: str | None, weighted: list[dict[str, Any]] | None) -> tuple[WeightedBackend, ...]:
    """The services of a route. Beside `weighted_backends`, a `backend` is named only and gets no requests."""
    if weighted is None and backend is None:
        raise ValidationError("names no service", "backend")
    if weighted is None:
        assert backend is not None
        return (WeightedBackend(backend, 1),)
    entries = whole_weights(weighted)
    if backend is None or any(entry.backend == backend for entry in entries):
        return entries
    return (*entries, WeightedBackend(backend, 0))


class EngineSchema(LenientSchema):
    """A service's `engine`."""

    slots = Whole(allow_none=True)
    kv_capacity = Whole(most=MOST_UINT64, allow_none=True)
    kv_token_bytes = Whole(allow_none=True)
    link_mbps = Amount(allow_none=True)
    stride = Whole(allow_none=True)
    handle_ttl_s = Amount(allow_none=True)
    switch_s = Amount(allow_none=True)
    models = fields.List(ModelName(), allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> Engine:
        """The engine."""
        values = given(data)
        return Engine(models=tuple(values.pop("models", ())), **values)


class BackendSchema(LenientSchema):
    """One entry of `backends`."""

    name = Text(required=True, filled=True)
    health_check = Text(allow_none=True)
    max_connections = Whole(allow_none=True)
    engine = fields.Nested(EngineSchema, allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> Backend:
        """The service."""
        return Backend(**given(data))


class ClientLimitsSchema(LenientSchema):
    """The document's `limits`."""

    max_header_bytes = Whole(allow_none=True)
    max_body_bytes = Whole(allow_none=True)
    header_timeout_ms = Milliseconds(allow_none=True)
    idle_timeout_ms = Milliseconds(allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> ClientLimits:
        """The limits."""
        return ClientLimits(**given(data))


class DocumentSchema(LenientSchema):
    """The document without its routes and services, which are loaded one by one."""

    revision = Revision(required=True)
    limits = fields.Nested(ClientLimitsSchema, allow_none=True)
