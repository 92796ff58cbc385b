"""Settings of the object API from the operators' file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mallowbeam.storage_gateway.operator_settings import ObjectsSection, convert
from mallowbeam.storage_gateway.server.config import GatewayConfigError, read_address
from mallowbeam.storage_gateway.server.gateway import Gateway


@dataclass(slots=True, frozen=True)
class ObjectSettings:
    """Settings of the object API, as the file under deploy/ gives them."""

    listen: tuple[str, int]
    read_class: str
    write_class: str
    plan: str
    plans: dict[str, str]  # by bucket, overriding `plan`
    unit_bytes: int
    max_body: int
    held: int
    keys: str | None = None  # path of the access key file; None: authentication is off


def read_object_settings(raw: dict[str, Any], gateway: Gateway) -> ObjectSettings:
    """Read the object API's settings; raises `GatewayConfigError`."""
    section = convert(ObjectsSection, raw, "objects")
    try:
        listen = read_address(str(section.listen))
    except ValueError as error:
        raise GatewayConfigError(f"objects.listen: {error}") from None
    settings = ObjectSettings(
        listen,
        section.classes.read,
        section.classes.write,
        section.plan,
        section.plans,
        section.unit_bytes,
        section.max_body_bytes,
        section.held_bytes,
        section.keys,
    )
    known = gateway.config.settings
    for name in (settings.read_class, settings.write_class):
        if name not in known.classes:
            raise GatewayConfigError(f"objects.classes: unknown class: {name}")
    for name in (settings.plan, *settings.plans.values()):
        if name not in known.plans:
            raise GatewayConfigError(f"objects.plan, objects.plans: unknown plan: {name}")
    if settings.held > gateway.config.memory // 2:
        raise GatewayConfigError("objects.held_bytes: exceeds half of the memory")
    if (section.keys is None) != (section.authentication == "off"):
        raise GatewayConfigError('objects.keys: give either a key file or "authentication": "off"')
    if settings.held < settings.max_body:
        raise GatewayConfigError("objects.held_bytes: is less than max_body_bytes")
    return settings
