"""The instance table of a member: soft state from heartbeats that it or another member received.

An instance sends its heartbeats to one member, which forwards them to the others in batches. Every member
decides on its own about expiry and about which instance owns an address. An instance ends in one of three
ways:

* *retired*: the instance announced that it is leaving (draining, then gone). Permanent for its id.
* *expired*: no member received a heartbeat for some intervals. A heartbeat of a higher sequence revives it.
* *superseded*: another id sent a heartbeat from its address. Only RETURN_HEARTBEATS further heartbeats revive
  it, so that a single delayed heartbeat neither revives a dead instance nor ends a live one for good.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from mallowbeam.router.registry.changes import ChangeLog
from mallowbeam.router.registry.completeness import TableCompleteness
from mallowbeam.router.registry.instance_record import NO_HEARTBEAT, InstanceRecord, same_for_gateways
from mallowbeam.router.registry.limits import (
    ENDED_RETENTION_S,
    EXPIRE_INTERVALS,
    GOSSIP_INTERVAL_S,
    MAX_INSTANCES,
    RETIRED_SEQUENCE,
    RETURN_HEARTBEATS,
    STALLED_S,
    URGENT_INTERVAL_S,
)
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.registry.stage_transitions import StageTransitions
from mallowbeam.router.rpc.messages_pb2 import (
    DONE,
    DRAINING,
    DRAINS,
    ENDED,
    GONE,
    READY,
    HeartbeatSeen,
    Instance,
    InstanceState,
    InstancesUpdate,
    RegistryGossip,
    RetireInstance,
    RetirementKind,
)


class HeartbeatOutcome(Enum):
    """The effect of a heartbeat."""

    CHANGED = "changed"  # gateways must be notified
    SAME = "same"  # renewed without a change
    STALE = "stale"  # its sequence is not higher than the known one
    RETIRED = "retired"  # the instance is gone; its id is never accepted again
    FULL = "full"  # a new instance, rejected because the table is full


class InstanceTable:
    """One member's table. All times are in seconds of the monotonic clock."""

    def __init__(
        self,
        heartbeat_interval_s: float,
        started_at: float,
        expire_intervals: float = EXPIRE_INTERVALS,
        max_instances: int = MAX_INSTANCES,
    ) -> None:
        """Start an empty table of up to `max_instances` instances, which expire after `expire_intervals`."""
        self._max_instances = max_instances
        self._expire_after_s = heartbeat_interval_s * expire_intervals
        self._records: dict[str, InstanceRecord] = {}
        self._address_owners: dict[str, str] = {}  # address to the id that owns it
        self._retired = Retirements()
        self._changes = ChangeLog()
        self._completeness = TableCompleteness(heartbeat_interval_s, started_at)
        self._transitions = StageTransitions()
        self._last_expire_at = started_at  # the last call of `expire`
        self._unsent_changes: dict[str, None] = {}  # ids that changed here since the last batch
        self._unsent_heartbeats: dict[str, None] = {}  # ids with a heartbeat here since the last batch
        self._gossip_sent_at = started_at
        self.urgent = False  # whether the other members should be notified at once

    # ------------------------------------------------------------ input

    def receive_heartbeat(self, instance: Instance, now: float) -> HeartbeatOutcome:
        """Apply a heartbeat that the instance sent to this member. The table takes over the message."""
        if self._retired.kind(instance.id) == GONE:
            return HeartbeatOutcome.RETIRED
        if instance.id not in self._records and len(self._records) >= self._max_instances:
            return HeartbeatOutcome.FULL
        draining = instance.state == DRAINS and self.retire(instance.id, DRAINING, now, announce=True)
        record = self._records.get(instance.id)
        if record is not None and instance.sequence <= record.sequence:
            return HeartbeatOutcome.CHANGED if draining else HeartbeatOutcome.STALE
        new = record is None or record.sequence == NO_HEARTBEAT
        changed = self._store(instance, now) or draining
        self._unsent_heartbeats[instance.id] = None
        if changed:
            self._unsent_changes[instance.id] = None
            self.urgent = True
        return HeartbeatOutcome.CHANGED if changed or new else HeartbeatOutcome.SAME

    def retire(self, id: str, kind: RetirementKind, now: float, announce: bool = False) -> bool:
        """Apply a retirement; True if it is new.

        With `announce`, the other members are notified at once, for a request that this member has just
        received. Retirements from the log need no announcement: every member applies them itself.
        """
        if self._retired.apply(RetireInstance(id=id, kind=kind)) != DONE:
            return False
        record = self._records.get(id)
        if record is None and len(self._records) >= self._max_instances:
            return False  # remembered, but without a record, so gateways are not notified
        if record is None:
            record = self._records[id] = InstanceRecord(Instance(id=id), NO_HEARTBEAT, now)
        if kind == GONE:
            self._end(record, now)
            record.sequence = record.details_sequence = record.instance.sequence = RETIRED_SEQUENCE
        elif record.live:
            record.instance.state = DRAINS
        self._changes.record(id)
        if announce:
            self._unsent_changes[id] = None
            self.urgent = True
        return True

    def begin_stage_transition(self, id: str, stage: str, deadline: float, announce: bool = False) -> bool:
        """Record that a live instance was ordered to change its stage; True if this is new.

        Gateways send it no requests until it reports that stage, or until the deadline.
        """
        record = self._records.get(id)
        if record is None or not record.live or record.instance.stage == stage:
            return False
        if not self._transitions.begin(id, stage, deadline, announce):
            return False
        record.instance.switching_to = stage
        self._changes.record(id)
        self.urgent |= announce
        return True

    def merge(self, gossip: RegistryGossip, now: float) -> bool:
        """Merge the gossip of another member; True if gateways must be notified."""
        before = self._changes.version
        ages = {seen.id: seen.age_ms / 1000 for seen in gossip.seen} if gossip.changed else {}
        for instance in gossip.changed:
            self._merge_instance(instance, now - ages.get(instance.id, 0.0), now)
        for seen in gossip.seen:
            self._merge_heartbeat(seen, now)
        for switch in gossip.switches:
            self.begin_stage_transition(switch.id, switch.stage, now + switch.left_ms / 1000)
        if gossip.whole:
            self._completeness.record_full_merge(now)
        return self._changes.version != before

    def link_lost(self, now: float) -> None:
        """Record that a link to another member ended or rejected a batch, so that details may be missing."""
        self._completeness.record_lost_details(now)

    def mark_isolated(self, now: float) -> None:
        """Record that this member can't reach enough of the others: nothing expires, the table is incomplete.

        Call it repeatedly while that lasts.
        """
        self._completeness.mark_isolated(now)

    # ------------------------------------------------------------ time

    def expire(self, now: float) -> list[str]:
        """End the instances without a recent heartbeat; returns their ids. Drops those that ended long ago.

        Call it several times within STALLED_S: a longer gap means that this process was suspended, and
        heartbeats that arrived meanwhile may still be unread.
        """
        if now - self._last_expire_at > STALLED_S:
            self.mark_isolated(now)
        self._last_expire_at = now
        expired: list[str] = []
        dropped: list[str] = []
        expire_before = now - self._expire_after_s
        recently_isolated = self._completeness.connected_since > expire_before
        for id, record in self._records.items():
            if record.ended_at is not None:
                if now - record.ended_at > ENDED_RETENTION_S:
                    dropped.append(id)
            elif not recently_isolated and record.last_heartbeat_at < expire_before:
                expired.append(id)
        for id in expired:
            self._end(self._records[id], now)
            self._changes.record(id)
        for id in dropped:
            del self._records[id]
            self._changes.forget(id)
        self._expire_transitions(now)
        return expired

    def _expire_transitions(self, now: float) -> None:
        for id in self._transitions.expire(now):
            self._records[id].instance.switching_to = ""
            self._changes.record(id)

    def is_complete(self, now: float) -> bool:
        """Whether this member knows all instances, by time or from another member's complete table."""
        return self._completeness.is_complete(now)

    # ------------------------------------------------------------ output to gateways

    @property
    def version(self) -> int:
        """Increases with each change that gateways must be notified of."""
        return self._changes.version

    def changes_since(self, version: int) -> InstancesUpdate:
        """Changes after `version`; the complete table if some are forgotten, or for version -1."""
        ids = self._changes.since(version)
        if ids is None:
            complete = (record.for_gateways() for record in self._records.values())
            return InstancesUpdate(whole=True, instances=complete)
        return InstancesUpdate(instances=(self._records[id].for_gateways() for id in ids))

    def get(self, id: str) -> Instance | None:
        """A copy of an instance with its highest known sequence; None if it is unknown."""
        record = self._records.get(id)
        return None if record is None else record.for_gateways()

    def live(self) -> Iterator[Instance]:
        """The table's own messages of all live instances; read them at once and don't modify them."""
        return (record.instance for record in self._records.values() if record.live)

    # ------------------------------------------------------------ output to the other members

    def next_gossip_at(self) -> float:
        """When the next batch is due."""
        return self._gossip_sent_at + (URGENT_INTERVAL_S if self.urgent else GOSSIP_INTERVAL_S)

    def gossip(self, now: float, gateways: int = 0) -> RegistryGossip:
        """The batch for all other members: changes and heartbeats received here since the last batch."""
        batch = RegistryGossip(gateways=gateways)
        for id in self._unsent_changes:
            record = self._records.get(id)
            if record is not None and (record.live or record.sequence == RETIRED_SEQUENCE):
                batch.changed.append(record.instance)
        for id in self._unsent_heartbeats:
            record = self._records.get(id)
            if record is not None and record.sequence != RETIRED_SEQUENCE:
                batch.seen.append(record.heartbeat_seen(now))
        batch.switches.extend(self._transitions.take_announcements(now))
        self._unsent_changes.clear()
        self._unsent_heartbeats.clear()
        self.urgent = False
        self._gossip_sent_at = now
        return batch

    def full_gossip(self, now: float, gateways: int = 0) -> RegistryGossip:
        """The table for a member that requested it; marked `whole` only if it is complete."""
        batch = RegistryGossip(gateways=gateways, whole=self.is_complete(now))
        batch.switches.extend(self._transitions.messages(now))
        for record in self._records.values():
            if record.sequence == RETIRED_SEQUENCE:
                batch.changed.append(record.instance)
            elif record.live:
                batch.changed.append(record.instance)
                if record.sequence != NO_HEARTBEAT:
                    batch.seen.append(record.heartbeat_seen(now))
        return batch

    def should_request_full_gossip(self, now: float, links_missing: bool = False) -> bool:
        """Whether to request the table of one other member, drawn at random, now.

        True every FULL_REQUEST_INTERVAL_S while the table is not complete or details may be missing. With
        `links_missing`, this member has no link to some other one and learns of its instances through a
        third; it then requests a table every heartbeat interval.
        """
        if links_missing:
            self.link_lost(now)
        return self._completeness.should_request(now, links_missing)

    # ------------------------------------------------------------ records

    def _merge_instance(self, instance: Instance, heartbeat_at: float, now: float) -> None:
        """Merge another member's details of one instance."""
        if instance.state == ENDED:
            self.retire(instance.id, GONE, now)
            return
        if instance.state == DRAINS:
            self.retire(instance.id, DRAINING, now)
        if not instance.address or self._retired.kind(instance.id) == GONE:
            return
        record = self._records.get(instance.id)
        if record is None and len(self._records) >= self._max_instances:
            return
        if record is not None and instance.sequence <= record.details_sequence:
            return
        owned = Instance()
        owned.CopyFrom(instance)
        self._store(owned, heartbeat_at)

    def _merge_heartbeat(self, seen: HeartbeatSeen, now: float) -> None:
        """Merge a heartbeat that another member received."""
        record = self._records.get(seen.id)
        if record is None or record.sequence == NO_HEARTBEAT:
            if self._retired.kind(seen.id) != GONE:
                self._completeness.record_unknown_details()
        elif seen.sequence > record.sequence and self._renew(record, seen.sequence, now - seen.age_ms / 1000):
            self._changes.record(seen.id)

    def _store(self, instance: Instance, heartbeat_at: float) -> bool:
        """Store an instance with newer details; True if gateways must be notified."""
        record = self._records.get(instance.id)
        changed = record is None
        if record is None:
            record = self._records[instance.id] = InstanceRecord(instance, NO_HEARTBEAT, heartbeat_at)
        previous = record.instance
        ended = record.ended_at is not None
        if instance.sequence > record.sequence:
            changed |= self._renew(record, instance.sequence, heartbeat_at)
        still_ended = ended and record.ended_at is not None
        instance.state = previous.state if still_ended else self._live_state(instance.id)
        self._transitions.record_reported_stage(instance.id, instance.stage)
        instance.switching_to = self._transitions.target(instance.id)
        changed |= not same_for_gateways(previous, instance)
        if previous.address != instance.address:
            self._release_address(previous)
        record.instance = instance
        record.details_sequence = instance.sequence
        if changed:
            self._changes.record(instance.id)
        if record.live:
            self._claim_address(record)
        return changed

    def _live_state(self, id: str) -> InstanceState:
        """The state of an instance that has not ended: ready, or draining if it was retired."""
        return READY if self._retired.kind(id) is None else DRAINS

    def _renew(self, record: InstanceRecord, sequence: int, heartbeat_at: float) -> bool:
        """Record a heartbeat of a higher sequence; True if it revived an instance that had ended."""
        record.sequence = sequence
        record.last_heartbeat_at = max(record.last_heartbeat_at, heartbeat_at)
        if record.ended_at is None:
            return False
        if record.superseded:
            record.returned_heartbeats += 1
            if record.returned_heartbeats < RETURN_HEARTBEATS:
                return False
        record.ended_at = None
        record.superseded = False
        record.returned_heartbeats = 0
        record.instance.state = self._live_state(record.instance.id)
        self._claim_address(record)
        return True

    def _claim_address(self, record: InstanceRecord) -> None:
        """Assign the address to the instance with the latest heartbeat and supersede the other one."""
        address, id = record.instance.address, record.instance.id
        owner_id = self._address_owners.get(address)
        if owner_id == id or not address:
            return
        owner = self._records.get(owner_id) if owner_id is not None else None
        if owner is not None and owner.live and owner.last_heartbeat_at > record.last_heartbeat_at:
            self._supersede(record)
            return
        if owner is not None and owner.live:
            self._supersede(owner)
        self._address_owners[address] = id

    def _release_address(self, instance: Instance) -> None:
        """Release an instance's address, if the instance owns it."""
        if self._address_owners.get(instance.address) == instance.id:
            del self._address_owners[instance.address]

    def _supersede(self, record: InstanceRecord) -> None:
        """End an instance whose address another id has taken."""
        self._end(record, record.last_heartbeat_at)
        record.superseded = True
        self._changes.record(record.instance.id)

    def _end(self, record: InstanceRecord, now: float) -> None:
        """Mark an instance as ended and release its address."""
        record.instance.state = ENDED
        record.instance.switching_to = ""
        self._transitions.remove(record.instance.id)
        record.ended_at = now
        record.returned_heartbeats = 0
        self._release_address(record.instance)
