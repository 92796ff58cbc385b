"""A gateway's replica of the instance table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from mallowbeam.router.registry.instance_record import same_for_gateways
from mallowbeam.router.registry.limits import MAX_RETIRED, RETIRED_SEQUENCE
from mallowbeam.router.rpc.messages_pb2 import DRAINS, ENDED, Instance, InstancesUpdate

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class InstanceChanges:
    """The effect of an update on the replica."""

    changed: tuple[Instance, ...] = ()  # new or modified instances, including draining ones
    ended: tuple[str, ...] = ()  # ids of removed instances


class InstanceReplica:
    """Instances by id, and a bounded memory of those that are draining or have ended.

    A draining instance never becomes ready again, a deleted one never comes back, and one that ended
    otherwise comes back only with a higher sequence than it had at its end.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.instances: dict[str, Instance] = {}
        self._draining: dict[str, None] = {}  # oldest first, bounded
        self._ended_at: dict[str, int] = {}  # id to the sequence at its end; oldest first, bounded

    def apply(self, update: InstancesUpdate, replaces: bool) -> InstanceChanges:
        """Apply an update. If it `replaces` the table, instances missing from it have ended."""
        changed: list[Instance] = []
        ended: list[str] = []
        newest = replaces or not update.whole  # the update overrides even a higher sequence
        for instance in update.instances:
            if instance.state == ENDED:
                self._apply_end(instance, ended, newest)
            else:
                self._apply_live(instance, changed, newest)
        if replaces:
            named = {instance.id for instance in update.instances}
            for id in [id for id in self.instances if id not in named]:
                del self.instances[id]
                ended.append(id)
        return InstanceChanges(tuple(changed), tuple(ended))

    def _apply_end(self, instance: Instance, ended: list[str], newest: bool) -> None:
        """Remove an instance, unless the end comes from an incomplete table and is older than the replica."""
        known = self.instances.get(instance.id)
        known_sequence = known.sequence if known is not None else 0
        if known_sequence > instance.sequence and not newest:
            return
        last = max(instance.sequence, known_sequence, self._ended_at.pop(instance.id, 0))
        _remember(self._ended_at, instance.id, last)
        if last == RETIRED_SEQUENCE:
            self._draining.pop(instance.id, None)
        if known is not None:
            del self.instances[instance.id]
            ended.append(instance.id)

    def _apply_live(self, instance: Instance, changed: list[Instance], newest: bool) -> None:
        """Add or replace an instance that has not ended."""
        ended_at = self._ended_at.get(instance.id)
        if ended_at is not None and instance.sequence <= ended_at:
            return
        known = self.instances.get(instance.id)
        if instance.state == DRAINS:
            _remember(self._draining, instance.id, None)
        if not instance.address or (known is not None and not newest and instance.sequence < known.sequence):
            if known is None:  # only known to be draining
                return
            instance = known
        owned = Instance()
        owned.CopyFrom(instance)
        if instance.id in self._draining:
            owned.state = DRAINS
        self.instances[owned.id] = owned
        self._ended_at.pop(owned.id, None)
        if known is None or not same_for_gateways(known, owned):
            changed.append(owned)


def _remember(memory: dict[str, Value], id: str, value: Value) -> None:
    """Insert an entry as the newest and drop the oldest beyond MAX_RETIRED."""
    memory.pop(id, None)
    memory[id] = value
    if len(memory) > MAX_RETIRED:
        del memory[next(iter(memory))]
