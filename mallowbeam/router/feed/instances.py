"""The gateway's copy of the instance table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from mallowbeam.router.registry.instance_record import same_for_gateways
from mallowbeam.router.registry.limits import MAX_RETIRED, RETIRED_SEQUENCE
from mallowbeam.router.rpc.messages_pb2 import DRAINS, ENDED, Instance, InstancesUpdate

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class InstanceChanges:
    """What an update did to the table."""

    changed: tuple[Instance, ...] = ()  # new ones and those that differ now, draining ones among them
    ended: tuple[str, ...] = ()  # ids that are no longer held


class InstanceCopy:
    """Instances by id, and what is known for good of those that left.

    A draining instance never becomes ready again, a deleted one never comes back, and one that ended
    otherwise comes back only with a higher sequence than it had at its end.
    """

    def __init__(self) -> None:
        self.held: dict[str, Instance] = {}
        self._draining: dict[str, None] = {}  # oldest first, bounded
        self._ended_at: dict[str, int] = {}  # id to the sequence at its end; oldest first, bounded

    def apply(self, update: InstancesUpdate, replaces: bool) -> InstanceChanges:
        """Take an update. `replaces`: it is the whole table, and what it does not name has ended."""
        changed: list[Instance] = []
        ended: list[str] = []
        newest = replaces or not update.whole  # the sender's word counts also against a higher sequence
        for instance in update.instances:
            if instance.state == ENDED:
                self._take_end(instance, ended, newest)
            else:
                self._take(instance, changed, newest)
        if replaces:
            named = {instance.id for instance in update.instances}
            for id in [id for id in self.held if id not in named]:
                del self.held[id]
                ended.append(id)
        return InstanceChanges(tuple(changed), tuple(ended))

    def _take_end(self, instance: Instance, ended: list[str], newest: bool) -> None:
        """Remove an instance; an end in a table that is not complete may be older than what is held."""
        held = self.held.get(instance.id)
        held_sequence = held.sequence if held is not None else 0
        if held_sequence > instance.sequence and not newest:
            return
        last = max(instance.sequence, held_sequence, self._ended_at.pop(instance.id, 0))
        _remember(self._ended_at, instance.id, last)
        if last == RETIRED_SEQUENCE:
            self._draining.pop(instance.id, None)
        if held is not None:
            del self.held[instance.id]
            ended.append(instance.id)

    def _take(self, instance: Instance, changed: list[Instance], newest: bool) -> None:
        """Take an instance that has not ended."""
        ended_at = self._ended_at.get(instance.id)
        if ended_at is not None and instance.sequence <= ended_at:
            return
        held = self.held.get(instance.id)
        if instance.state == DRAINS:
            _remember(self._draining, instance.id, None)
        if not instance.address or (held is not None and not newest and instance.sequence < held.sequence):
            if held is None:  # all that is known of it is that it drains
                return
            instance = held
        copy = Instance()
        copy.CopyFrom(instance)
        if instance.id in self._draining:
            copy.state = DRAINS
        self.held[copy.id] = copy
        self._ended_at.pop(copy.id, None)
        if held is None or not same_for_gateways(held, copy):
            changed.append(copy)


def _remember(memory: dict[str, Value], id: str, value: Value) -> None:
    """Put an entry at the end and drop the oldest beyond MAX_RETIRED."""
    memory.pop(id, None)
    memory[id] = value
    if len(memory) > MAX_RETIRED:
        del memory[next(iter(memory))]
