"""Selects the route of a request and the service that receives it.  No I/O.

Hosts are compared ignoring case and port; among a host's routes, the longest matching path prefix wins.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from mallowbeam.router.configuration.model import Route


class RouteTable:
    """The routes of one configuration, indexed by host."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._by_host: dict[str, list[tuple[bytes, Route]]] = {}
        for route in routes:
            entry = (route.path_prefix.encode(), route)
            self._by_host.setdefault(route.hostname.lower(), []).append(entry)
        for entries in self._by_host.values():
            entries.sort(key=lambda entry: -len(entry[0]))

    def find(self, host: bytes, target: bytes) -> Route | None:
        """Return the route for a Host header and a request target, or None."""
        path = target.partition(b"?")[0]
        for prefix, route in self._by_host.get(host_name(host), ()):
            if path.startswith(prefix):
                return route
        return None


def host_name(host: bytes) -> str:
    """Return the lower-case name in a Host header, without the port."""
    name = host.decode("latin-1").lower()
    head, colon, port = name.rpartition(":")
    if colon and port.isdigit():
        return head
    return name


def choose_backend(route: Route, request_id: bytes) -> str:
    """Choose one of a route's services by weight; the same request id always gets the same service."""
    weighted = [choice for choice in route.backends if choice.weight > 0]
    if len(weighted) <= 1:
        return weighted[0].backend if weighted else ""
    point = crc32(request_id) % sum(choice.weight for choice in weighted)
    for choice in weighted:
        if point < choice.weight:
            return choice.backend
        point -= choice.weight
    return weighted[-1].backend
