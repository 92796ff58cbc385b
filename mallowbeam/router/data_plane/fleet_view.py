"""The gateway's view of the fleet: configuration, routes, instances, number of gateways.  No I/O.

Only the feed updates it.  Other code reads it and must not rely on values that it read before an `await`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from mallowbeam.router.configuration.model import Backend, Configuration, Route
from mallowbeam.router.data_plane.routing import RouteTable
from mallowbeam.router.feed.instance_replica import InstanceChanges
from mallowbeam.router.pairing.stages import PREFILL
from mallowbeam.router.rpc.messages_pb2 import READY, Instance

DEFAULT_CONNECTIONS = 64  # to one instance from all gateways, if the configuration sets no limit


class FleetView:
    """The current state; the feed replaces it part by part."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.instances: Mapping[str, Instance] = {}
        self.gateways = 1  # upper bound of the number that share the instances
        self._routes = RouteTable()
        self._ids: dict[str, set[str]] = {}  # by service
        self._backend_of: dict[str, str] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Replace the configuration."""
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes.values())

    def instances_changed(self, changes: InstanceChanges) -> None:
        """Update the indexes after the feed has changed the instance table in place."""
        for instance in changes.changed:
            self._forget(instance.id)
            self._ids.setdefault(instance.backend, set()).add(instance.id)
            self._backend_of[instance.id] = instance.backend
        for ended in changes.ended:
            self._forget(ended)

    def find_route(self, host: bytes, target: bytes) -> Route | None:
        """Return the route of a request, or None."""
        return self._routes.find(host, target)

    def backend(self, name: str) -> Backend | None:
        """Return a service by name, or None."""
        if self.configuration is None:
            return None
        return self.configuration.backends.get(name)

    def instance_ids(self, backend: str) -> Collection[str]:
        """Return the ids of a service's instances."""
        return self._ids.get(backend, ())

    def usable(self, instance_id: str, backend: str, for_prefill: bool = False) -> Instance | None:
        """Return an instance of a service if it accepts requests now, else None.

        Call it in the same event loop step as the send.  `for_prefill` is True for prefill calls: prefill
        instances accept these and nothing else.
        """
        instance = self.instances.get(instance_id)
        if instance is None or instance.state != READY or instance.backend != backend:
            return None
        if instance.switching_to:  # it rejects requests that it has not started
            return None
        if (instance.stage == PREFILL) is not for_prefill:
            return None
        return instance

    def connection_limit(self, backend: str) -> int:
        """Return the number of connections that this gateway may hold to one instance of a service."""
        service = self.backend(backend)
        limit = (
            service.max_connections
            if service is not None and service.max_connections
            else DEFAULT_CONNECTIONS
        )
        return max(1, limit // max(1, self.gateways))

    def _forget(self, instance: str) -> None:
        backend = self._backend_of.pop(instance, None)
        if backend is None:
            return
        members = self._ids[backend]
        members.discard(instance)
        if not members:
            del self._ids[backend]
