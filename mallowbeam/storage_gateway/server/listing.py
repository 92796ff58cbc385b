"""Lists of nodes in discovery's JSON: decoded into the few values used, or rejected as a whole.

One invalid member invalidates its list.  A list applied in part might lack the very drain for which it was
published, while its revision would claim that all of it is known.  A rejected list is requested again within
seconds, and the previous list stays in force meanwhile.
"""

from __future__ import annotations

import json
import re
import socket
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, NodeState

STATES = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.REMOVED}
MAX_PORT = 65535
MAX_HOST_NAME = 253  # characters, RFC 1035 section 2.3.4
MAX_TEXT_CHARS = 256  # characters of an id, an address, a zone or a machine type
MAX_NUMBER = 2**53  # bound of a revision, a cell, a time in milliseconds or a size
HOST_NAME = re.compile(r"([A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}\.?")
PORT = re.compile(r"[0-9]{1,5}")
TYPE_NAMES = {bool: "true or false", int: "a whole number", float: "a number", str: "text", list: "a list"}
REQUIRED = object()
Number = TypeVar("Number", int, float)


class NodeListError(MallowbeamError, ValueError):
    """An invalid list of nodes; nothing of it was applied."""

    error_name = "BadListing"
    remedy = "look at what discovery answers; the list known before stays in force until a good one comes"


class Listing(NamedTuple):
    """A decoded list of nodes, or of changes to it; `addresses`, by node id, has only nodes that are up."""

    revision: int
    complete: bool
    entries: list[NodeEntry]
    addresses: dict[str, str]


def decode_listing(body: bytes | bytearray) -> Listing:
    """Decodes a list from the body of a response; raises `NodeListError`."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise NodeListError(f"invalid JSON: {error}") from None
    return read_listing(raw)


def read_listing(raw: object) -> Listing:
    """Reads a list from discovery's parsed JSON; raises `NodeListError`.

    In a list of changes the last entry of a node counts; a full list names each node once.
    """
    top = _FieldReader(raw, "the list")
    revision, complete = top.integer("revision"), top.typed(bool, "complete")
    entries: dict[str, NodeEntry] = {}
    addresses: dict[str, str] = {}
    for number, member in enumerate(top.typed(list, "members")):
        fields = _FieldReader(member, f"members[{number}]")
        node, state = fields.text("id"), STATES.get(fields.text("phase"))
        if not node or state is None:
            raise NodeListError("empty id" if state else "unknown phase", fields.where)
        if complete and node in entries:
            raise NodeListError("duplicate id", fields.where)
        entries.pop(node, None)
        addresses.pop(node, None)
        entries[node] = NodeEntry(
            node=node,
            state=state,
            shard=fields.integer("cell", 0, -1),
            zone=fields.text("locality", ""),
            started_at=fields.number("up_since_ms", 0) / 1000.0 or None,
            machine=fields.text("flavor", ""),
            weight=fields.number("size", 1.0),
        )
        if state is NodeState.READY:
            addresses[node] = address = fields.text("host_port")
            if not can_be_connected(address):
                raise NodeListError(f"invalid host_port: {address!r}", fields.where)
    return Listing(revision, complete, list(entries.values()), addresses)


def write_listing(
    revision: int, complete: bool, entries: list[NodeEntry], addresses: Mapping[str, str]
) -> dict[str, Any]:
    """Returns a list in discovery's JSON, the inverse of `read_listing`."""
    phases = {state: phase for phase, state in STATES.items()}
    return {
        "revision": revision,
        "complete": complete,
        "members": [
            {
                "id": entry.node,
                "host_port": addresses.get(entry.node, ""),
                "locality": entry.zone,
                "flavor": entry.machine,
                "cell": entry.shard,
                "phase": phases[entry.state],
                "size": entry.weight,
                "up_since_ms": round((entry.started_at or 0.0) * 1000),
            }
            for entry in entries
        ],
    }


def can_be_connected(address: str) -> bool:
    """Whether this is a host name or IP address with a port to which a socket can connect.

    Attempts rely on it: connecting to a valid address can only succeed, be refused or time out.
    """
    host, _, port = address.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    if ":" not in host:
        return HOST_NAME.fullmatch(host) is not None and len(host) <= MAX_HOST_NAME
    try:
        socket.inet_pton(socket.AF_INET6, host.removeprefix("[").removesuffix("]"))
    except OSError:
        return False
    return True


class _FieldReader:
    """Reads the fields of one JSON object, checked for type and bounds; all methods raise `NodeListError`."""

    def __init__(self, raw: object, where: str) -> None:
        if not isinstance(raw, dict):
            raise NodeListError("not a JSON object", where)
        self.raw, self.where = raw, where

    def typed(self, kind: type, name: str, default: object = REQUIRED) -> Any:
        """Returns a value of exactly that type (true is not a number)."""
        value = self.raw.get(name, default)
        if value is REQUIRED:
            raise NodeListError(f"missing {name}", self.where)
        if type(value) is not kind:
            raise NodeListError(f"{name} is not {TYPE_NAMES[kind]}", self.where)
        return value

    def text(self, name: str, default: object = REQUIRED) -> str:
        """Returns text that is safe to log; an optional field may be null."""
        if default is not REQUIRED and self.raw.get(name) is None:
            return str(default)
        value: str = self.typed(str, name)
        if len(value) > MAX_TEXT_CHARS or not value.isprintable():
            raise NodeListError(f"{name} is too long or not printable: {value[:40]!r}", self.where)
        return value

    def integer(self, name: str, default: object = REQUIRED, minimum: int = 0) -> int:
        """Returns an integer."""
        value: int = self.typed(int, name, default)
        return self._bounded(name, value, minimum)

    def number(self, name: str, default: float) -> float:
        """Returns a number of at least 0."""
        value = self.raw.get(name, default)
        number: float = value if type(value) is int else self.typed(float, name, default)
        return self._bounded(name, number)

    def _bounded(self, name: str, value: Number, minimum: int = 0) -> Number:
        if not minimum <= value <= MAX_NUMBER:  # NaN fails both comparisons
            raise NodeListError(f"{name} is out of range", self.where)
        return value
