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
        self._end_sequences: dict[str, int] = {}  # id to the sequence at its end; oldest first, bounded

    def apply(self, update: InstancesUpdate, replaces: bool) -> InstanceChanges:
        """Apply an update. If it `replaces` the table, instances missing from it have ended."""
        changed: list[Instance] = []
        ended: list[str] = []
        authoritative = replaces or not update.whole  # the update overrides even a higher sequence
        for instance in update.instances:
            if instance.state == ENDED:
                self._apply_end(instance, ended, authoritative)
            else:
                self._apply_live(instance, changed, authoritative)
        if replaces:
            named = {instance.id for instance in update.instances}
            for id in [id for id in self.instances if id not in named]:
                del self.instances[id]
                ended.append(id)
        return InstanceChanges(tuple(changed), tuple(ended))

    def _apply_end(self, instance: Instance, ended: list[str], authoritative: bool) -> None:
        """Remove an instance, unless the end comes from an incomplete table and is older than the replica."""
        known = self.instances.get(instance.id)
        known_sequence = known.sequence if known is not None else 0
        if known_sequence > instance.sequence and not authoritative:
            return
        last_sequence = max(instance.sequence, known_sequence, self._end_sequences.pop(instance.id, 0))
        _insert_bounded(self._end_sequences, instance.id, last_sequence)
        if last_sequence == RETIRED_SEQUENCE:
            self._draining.pop(instance.id, None)
        if known is not None:
            del self.instances[instance.id]
            ended.append(instance.id)

    def _apply_live(self, instance: Instance, changed: list[Instance], authoritative: bool) -> None:
        """Add or replace an instance that has not ended."""
        end_sequence = self._end_sequences.get(instance.id)
        if end_sequence is not None and instance.sequence <= end_sequence:
            return
        known = self.instances.get(instance.id)
        if instance.state == DRAINS:
            _insert_bounded(self._draining, instance.id, None)
        if not instance.address or (
            known is not None and not authoritative and instance.sequence < known.sequence
        ):
            if known is None:  # only known to be draining
                return
            instance = known
        owned = Instance()
        owned.CopyFrom(instance)
        if instance.id in self._draining:
            owned.state = DRAINS
        self.instances[owned.id] = owned
        self._end_sequences.pop(owned.id, None)
        if known is None or not same_for_gateways(known, owned):
            changed.append(owned)


def _insert_bounded(entries: dict[str, Value], id: str, value: Value) -> None:
    """Insert an entry as the newest and drop the oldest beyond MAX_RETIRED."""
    entries.pop(id, None)
    entries[id] = value
    if len(entries) > MAX_RETIRED:
        del entries[next(iter(entries))]
