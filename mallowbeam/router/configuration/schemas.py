"""marshmallow schemas of the operator's configuration; field names are those of the JSON document.

Only fields that this program uses are declared; any other field is skipped here and kept in the canonical
document. An optional field that is null counts as absent and gets the default of its dataclass. Numbers above
the range of the protobuf messages are clamped, so that a limit set to "practically unlimited" stays valid.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

from marshmallow import EXCLUDE, Schema, ValidationError, fields, missing, post_load

from mallowbeam.router.configuration.model import (
    MAX_UINT32,
    MAX_UINT64,
    Backend,
    ClientLimits,
    Engine,
    Route,
    WeightedBackend,
)

SCALED_WEIGHT = 1_000_000  # the largest weight of a route whose weights aren't 32-bit integers

FieldType = TypeVar("FieldType")


def non_negative_number(value: object) -> int | float:
    """Check that a value is a finite number, not negative; raises `ValidationError`."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValidationError("must be a number")
    if isinstance(value, float) and not math.isfinite(value):
        raise ValidationError("must be finite")
    if value < 0:
        raise ValidationError("must not be negative")
    return value


class CheckedField(fields.Field[FieldType]):
    """A field that only `_deserialize` checks: marshmallow's lists of validators are skipped, for speed."""

    def deserialize(self, value: Any, attr: str | None = None, data: Any = None, **options: Any) -> Any:
        """The checked value; marshmallow handles absent values and null."""
        if value is None or value is missing:
            return super().deserialize(value, attr, data, **options)
        return self._deserialize(value, attr, data, **options)


class Text(CheckedField[str]):
    """A string that can be encoded as UTF-8."""

    def __init__(self, *, non_empty: bool = False, **options: Any) -> None:
        """Reject the empty string if `non_empty`."""
        super().__init__(**options)
        self.non_empty = non_empty

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> str:
        if not isinstance(value, str):
            raise ValidationError("must be a string")
        if self.non_empty and not value:
            raise ValidationError("must not be empty")
        try:
            value.encode()
        except UnicodeEncodeError:
            raise ValidationError("must be encodable as UTF-8") from None
        return value


class Boolean(CheckedField[bool]):
    """True or false."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> bool:
        if not isinstance(value, bool):
            raise ValidationError("must be true or false")
        return value


class Integer(CheckedField[int]):
    """An integer, not negative, clamped to a maximum."""

    def __init__(self, *, maximum: int = MAX_UINT32, **options: Any) -> None:
        """Clamp values to `maximum`."""
        super().__init__(**options)
        self.maximum = maximum

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> int:
        number = non_negative_number(value)
        if number != int(number):
            raise ValidationError("must be a whole number")
        return min(int(number), self.maximum)


class Milliseconds(CheckedField[int]):
    """A duration, rounded up to full milliseconds."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> int:
        return min(math.ceil(non_negative_number(value)), MAX_UINT32)


class NonNegativeFloat(CheckedField[float]):
    """A number, not negative, that may have a fraction."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> float:
        return float(min(non_negative_number(value), MAX_UINT64))


class Weight(CheckedField[float]):
    """The weight of a service; integers stay integers."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> float:
        return min(non_negative_number(value), MAX_UINT64)


class Revision(CheckedField[int]):
    """The revision of a configuration, from 1."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> int:
        number = non_negative_number(value)
        if number != int(number) or not 1 <= number <= MAX_UINT64:
            raise ValidationError(f"must be a whole number from 1 to {MAX_UINT64}")
        return int(number)


MODEL_NAME = Text(required=True, non_empty=True)


class ModelName(CheckedField[str]):
    """A model: an object with its name, or the name alone."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> str:
        name = value.get("name") if isinstance(value, dict) else value
        return MODEL_NAME.deserialize(name) or ""


class LenientSchema(Schema):
    """A schema that skips fields that it does not know."""

    class Meta:
        """Options of marshmallow."""

        unknown = EXCLUDE


def present_fields(data: dict[str, Any]) -> dict[str, Any]:
    """The fields that are present; null counts as absent."""
    return {name: value for name, value in data.items() if value is not None}


class WeightedBackendSchema(LenientSchema):
    """One entry of `weighted_backends`."""

    backend = Text(required=True, non_empty=True)
    weight = Weight(required=True)


def integer_weights(entries: list[dict[str, Any]]) -> tuple[WeightedBackend, ...]:
    """Services with 32-bit integer weights; other weights are scaled so that none above 0 becomes 0."""
    weights = [entry["weight"] for entry in entries]
    largest = max(weights, default=0)
    if largest > MAX_UINT32 or any(weight != int(weight) for weight in weights):
        weights = [math.ceil(weight / largest * SCALED_WEIGHT) for weight in weights]
    return tuple(
        WeightedBackend(entry["backend"], int(weight)) for entry, weight in zip(entries, weights, strict=True)
    )


class RouteSchema(LenientSchema):
    """One entry of `routes`."""

    name = Text(allow_none=True)
    hostname = Text(required=True, non_empty=True)
    path_prefix = Text(required=True)
    route_type = Text(allow_none=True)
    timeout_ms = Milliseconds(allow_none=True)
    target_latency_ms = Milliseconds(allow_none=True)
    priority = Integer(allow_none=True)
    max_retries = Integer(allow_none=True)
    session_affinity = Boolean(allow_none=True)
    resumable = Boolean(allow_none=True)
    gap_aim_ms = Milliseconds(allow_none=True)
    backend = Text(non_empty=True, allow_none=True)
    weighted_backends = fields.List(fields.Nested(WeightedBackendSchema), allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> Route:
        """Build the route; a missing time-out becomes 0, which the validation rejects."""
        values = present_fields(data)
        backend = values.pop("backend", None)
        weighted = values.pop("weighted_backends", None)
        if not values["path_prefix"].startswith("/"):
            raise ValidationError("must start with a slash", "path_prefix")
        values["hostname"] = values["hostname"].lower()
        values.setdefault("timeout_ms", 0)
        return Route(backends=backends_of(backend, weighted), **values)


def backends_of(backend: str | None, weighted: list[dict[str, Any]] | None) -> tuple[WeightedBackend, ...]:
    """The services of a route; a `backend` given in addition to `weighted_backends` gets weight 0."""
    if weighted is None and backend is None:
        raise ValidationError("names no service", "backend")
    if weighted is None:
        assert backend is not None
        return (WeightedBackend(backend, 1),)
    entries = integer_weights(weighted)
    if backend is None or any(entry.backend == backend for entry in entries):
        return entries
    return (*entries, WeightedBackend(backend, 0))


class EngineSchema(LenientSchema):
    """A service's `engine`."""

    slots = Integer(allow_none=True)
    kv_capacity = Integer(maximum=MAX_UINT64, allow_none=True)
    kv_token_bytes = Integer(allow_none=True)
    link_mbps = NonNegativeFloat(allow_none=True)
    stride = Integer(allow_none=True)
    handle_ttl_s = NonNegativeFloat(allow_none=True)
    switch_s = NonNegativeFloat(allow_none=True)
    models = fields.List(ModelName(), allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> Engine:
        """Build the engine."""
        values = present_fields(data)
        return Engine(models=tuple(values.pop("models", ())), **values)


class BackendSchema(LenientSchema):
    """One entry of `backends`."""

    name = Text(required=True, non_empty=True)
    health_check = Text(allow_none=True)
    max_connections = Integer(allow_none=True)
    engine = fields.Nested(EngineSchema, allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> Backend:
        """Build the service."""
        return Backend(**present_fields(data))


class ClientLimitsSchema(LenientSchema):
    """The document's `limits`."""

    max_header_bytes = Integer(allow_none=True)
    max_body_bytes = Integer(allow_none=True)
    header_timeout_ms = Milliseconds(allow_none=True)
    idle_timeout_ms = Milliseconds(allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **options: Any) -> ClientLimits:
        """Build the limits."""
        return ClientLimits(**present_fields(data))


class DocumentSchema(LenientSchema):
    """The members of the document other than routes and services, which are loaded one by one."""

    revision = Revision(required=True)
    limits = fields.Nested(ClientLimitsSchema, allow_none=True)
