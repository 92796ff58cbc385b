"""What the operators' file says of the object front."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mallowbeam.storage_gateway.operator_settings import ObjectsSection, convert
from mallowbeam.storage_gateway.server.config import GatewayConfigError, read_address
from mallowbeam.storage_gateway.server.gateway import Gateway


@dataclass(slots=True, frozen=True)
class ObjectSettings:
    """What the file under deploy/ says of this front."""

    listen: tuple[str, int]
    read_class: str
    write_class: str
    plan: str
    plans: dict[str, str]  # of single buckets
    unit_bytes: int
    max_body: int
    held: int
    keys: str | None = None  # the file of those who may call; None: whoever reaches it


def read_object_settings(raw: dict[str, Any], gateway: Gateway) -> ObjectSettings:
    """The front's settings; raises `GatewayConfigError`."""
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
            raise GatewayConfigError(f"the object front names an unknown class: {name}")
    for name in (settings.plan, *settings.plans.values()):
        if name not in known.plans:
            raise GatewayConfigError(f"the object front names an unknown plan: {name}")
    if settings.held > gateway.config.memory // 2:
        raise GatewayConfigError("the object front may hold more than half of the memory")
    if (section.keys is None) != (section.authentication == "off"):
        raise GatewayConfigError('objects.keys: name the file of keys, or say "authentication": "off"')
    if settings.held < settings.max_body:
        raise GatewayConfigError("the object front's sizes are senseless")
    return settings
