"""What the gateway knows of the fleet: configuration, routes, instances, other gateways.  A pure core.

It has one owner, the feed; everything else reads it and never keeps what it read over a wait.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from mallowbeam.router.configuration.model import Backend, Configuration, Route
from mallowbeam.router.data_plane.routing import RouteTable
from mallowbeam.router.feed.instance_replica import InstanceChanges
from mallowbeam.router.pairing.stages import PREFILL
from mallowbeam.router.rpc.messages_pb2 import READY, Instance

DEFAULT_CONNECTIONS = 64  # to one instance, from all gateways, where the configuration gives no bound


class FleetView:
    """The current state, replaced chunk by chunk."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.instances: Mapping[str, Instance] = {}
        self.gateways = 1  # upper bound of those that share the instances
        self._routes = RouteTable()
        self._ids: dict[str, set[str]] = {}  # by service
        self._backend_of: dict[str, str] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Another configuration is in force."""
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes.values())

    def instances_changed(self, changes: InstanceChanges) -> None:
        """The table of instances, which the feed changes in place, is another one."""
        for instance in changes.changed:
            self._forget(instance.id)
            self._ids.setdefault(instance.backend, set()).add(instance.id)
            self._backend_of[instance.id] = instance.backend
        for ended in changes.ended:
            self._forget(ended)

    def find_route(self, host: bytes, target: bytes) -> Route | None:
        """The route of a request."""
        return self._routes.find(host, target)

    def backend(self, name: str) -> Backend | None:
        """A service by name."""
        if self.configuration is None:
            return None
        return self.configuration.backends.get(name)

    def instance_ids(self, backend: str) -> Collection[str]:
        """The ids of a service's instances."""
        return self._ids.get(backend, ())

    def usable(self, instance_id: str, backend: str, reads: bool = False) -> Instance | None:
        """An instance of a service, if it takes requests now: checked in the same step in which one is sent.

        `reads` where only the prompt is to be read: prefill instances take such calls and nothing else.
        """
        instance = self.instances.get(instance_id)
        if instance is None or instance.state != READY or instance.backend != backend:
            return None
        if instance.switching_to:  # it would reject what it has not begun
            return None
        if (instance.stage == PREFILL) is not reads:
            return None
        return instance

    def most_connections(self, backend: str) -> int:
        """Connections that this gateway may hold to one instance of a service."""
        known = self.backend(backend)
        most = known.max_connections if known is not None and known.max_connections else DEFAULT_CONNECTIONS
        return max(1, most // max(1, self.gateways))

    def _forget(self, instance: str) -> None:
        backend = self._backend_of.pop(instance, None)
        if backend is None:
            return
        members = self._ids[backend]
        members.discard(instance)
        if not members:
            del self._ids[backend]
