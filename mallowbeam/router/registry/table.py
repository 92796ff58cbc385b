"""The table of instances that every member keeps: soft state from heartbeats, its own and other members'.

An instance sends its heartbeats to one member, which passes them on to the others in batches. Every member
works out expiry and the use of addresses by itself. Three ends differ:

* *retired*: the instance said that it leaves (draining, then gone). Permanent for its id.
* *expired*: no member heard it for some intervals. It comes back with a heartbeat of a higher sequence.
* *superseded*: another id was heard at its address. It comes back only by RETURN_HEARTBEATS further
  heartbeats, so that one heartbeat which was long under way neither brings a dead instance back nor ends a
  live one for good.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from mallowbeam.router.registry.changes import ChangeLog
from mallowbeam.router.registry.limits import (
    COMPLETE_INTERVALS,
    COMPLETE_MARGIN_S,
    ENDED_KEPT_S,
    EXPIRE_INTERVALS,
    GOSSIP_INTERVAL_S,
    MOST_INSTANCES,
    RETIRED_SEQUENCE,
    RETURN_HEARTBEATS,
    STALLED_S,
    URGENT_INTERVAL_S,
    WHOLE_RETRY_S,
    WHOLE_SETTLE_S,
)
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.registry.rows import UNHEARD, Row, heartbeat_seen, same_for_gateways
from mallowbeam.router.registry.switches import StageSwitches
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


class Heard(Enum):
    """What a heartbeat brought."""

    CHANGED = "changed"  # gateways must learn of it
    SAME = "same"  # renewed
    STALE = "stale"  # its sequence is not above what is known
    RETIRED = "retired"  # the instance is gone: its id never comes back
    FULL = "full"  # a new instance beyond the table's bound: not taken


class InstanceTable:
    """One member's table. All times are in seconds of the steady clock."""

    def __init__(
        self,
        heartbeat_interval_s: float,
        started_at: float,
        expire_intervals: float = EXPIRE_INTERVALS,
        most: int = MOST_INSTANCES,
    ) -> None:
        self._most = most
        self._expire_after_s = heartbeat_interval_s * expire_intervals
        self._interval_s = heartbeat_interval_s
        self._complete_after_s = heartbeat_interval_s * COMPLETE_INTERVALS + COMPLETE_MARGIN_S
        self._rows: dict[str, Row] = {}
        self._by_address: dict[str, str] = {}  # the id that holds each address
        self._retired = Retirements()
        self._changes = ChangeLog()
        self._hearing_since = started_at  # in touch with the other members without a break
        self._complete_at = started_at + self._complete_after_s
        self._ran_at = started_at  # the last call of `expire`
        self._to_tell: dict[str, None] = {}  # changed here since the last batch
        self._to_renew: dict[str, None] = {}  # heard here since the last batch
        self._switches = StageSwitches()
        self._gossip_sent_at = started_at
        self._whole_asked_at = started_at - WHOLE_RETRY_S
        self._details_missing = False  # some were lost, or those of an instance that others hear
        self._lost_at = started_at - WHOLE_SETTLE_S  # when details were last lost
        self.urgent = False  # there is news that the other members should get at once

    # ------------------------------------------------------------ what came in

    def heard(self, instance: Instance, now: float) -> Heard:
        """Take a heartbeat that the instance sent to this member. The table keeps the message."""
        if self._retired.kind(instance.id) == GONE:
            return Heard.RETIRED
        if instance.id not in self._rows and len(self._rows) >= self._most:
            return Heard.FULL
        draining = instance.state == DRAINS and self.retire(instance.id, DRAINING, now, announce=True)
        row = self._rows.get(instance.id)
        if row is not None and instance.sequence <= row.sequence:
            return Heard.CHANGED if draining else Heard.STALE
        new = row is None or row.sequence == UNHEARD
        changed = self._take(instance, now) or draining
        self._to_renew[instance.id] = None
        if changed:
            self._to_tell[instance.id] = None
            self.urgent = True
        return Heard.CHANGED if changed or new else Heard.SAME

    def retire(self, id: str, kind: RetirementKind, now: float, announce: bool = False) -> bool:
        """Take a retirement; True where it was news.

        With `announce`, the other members are told at once: for a call that has just come in. What comes from
        the log is applied by each member itself.
        """
        if self._retired.apply(RetireInstance(id=id, kind=kind)) != DONE:
            return False
        row = self._rows.get(id)
        if row is None and len(self._rows) >= self._most:
            return False  # remembered, but gateways are not told of an unknown instance
        if row is None:
            row = self._rows[id] = Row(Instance(id=id), UNHEARD, now)
        if kind == GONE:
            self._end(row, now)
            row.sequence = row.details = row.instance.sequence = RETIRED_SEQUENCE
        elif row.live:
            row.instance.state = DRAINS
        self._changes.note(id)
        if announce:
            self._to_tell[id] = None
            self.urgent = True
        return True

    def switch(self, id: str, stage: str, until: float, announce: bool = False) -> bool:
        """Take note that a live instance was ordered to change its stage; True where it is news.

        Gateways send it nothing until it reports that stage, or until the steady time `until`.
        """
        row = self._rows.get(id)
        if (
            row is None
            or not row.live
            or row.instance.stage == stage
            or not self._switches.begin(id, stage, until, announce)
        ):
            return False
        row.instance.switching_to = stage
        self._changes.note(id)
        self.urgent |= announce
        return True

    def merge(self, gossip: RegistryGossip, now: float) -> bool:
        """Take what another member passed on; True where gateways must learn of something."""
        before = self._changes.version
        ages = {seen.id: seen.age_ms / 1000 for seen in gossip.seen} if gossip.changed else {}
        for instance in gossip.changed:
            self._merge_instance(instance, now - ages.get(instance.id, 0.0), now)
        for seen in gossip.seen:
            self._merge_seen(seen, now)
        for switch in gossip.switches:
            self.switch(switch.id, switch.stage, now + switch.left_ms / 1000)
        if gossip.whole:
            self._complete_at = min(self._complete_at, now)
            self._details_missing &= self._whole_asked_at < self._lost_at + WHOLE_SETTLE_S
        return self._changes.version != before

    def link_lost(self, now: float) -> None:
        """Say that a link to another member ended, or did not take a batch: what is lost is asked for."""
        self._details_missing = True
        self._lost_at = now

    def out_of_touch(self, now: float) -> None:
        """Say that this member can't hear enough of the others: nothing expires, the table is not complete.

        To be called again and again while that lasts.
        """
        self._hearing_since = now
        self._complete_at = now + self._complete_after_s

    # ------------------------------------------------------------ time

    def expire(self, now: float) -> list[str]:
        """End what no member has heard for too long; their ids. Also forgets what ended long ago.

        To be called several times in STALLED_S: a longer pause means that this process stood still, and what
        has come in meanwhile may still wait to be read.
        """
        if now - self._ran_at > STALLED_S:
            self.out_of_touch(now)
        self._ran_at = now
        ended: list[str] = []
        forgotten: list[str] = []
        latest = now - self._expire_after_s
        blind = self._hearing_since > latest
        for id, row in self._rows.items():
            if row.ended_at is not None:
                if now - row.ended_at > ENDED_KEPT_S:
                    forgotten.append(id)
            elif not blind and row.heard_at < latest:
                ended.append(id)
        for id in ended:
            self._end(self._rows[id], now)
            self._changes.note(id)
        for id in forgotten:
            del self._rows[id]
            self._changes.forget(id)
        for id in self._switches.expire(now):
            self._rows[id].instance.switching_to = ""
            self._changes.note(id)
        return ended

    def complete(self, now: float) -> bool:
        """Whether this member has heard of all instances: by time, or from a member that had."""
        return now >= self._complete_at

    # ------------------------------------------------------------ what gateways learn

    @property
    def version(self) -> int:
        """Rises with each change that gateways must learn."""
        return self._changes.version

    def changes_since(self, version: int) -> InstancesUpdate:
        """What changed after `version`; the whole table where that can't be told (such as for version -1)."""
        ids = self._changes.since(version)
        if ids is None:
            return InstancesUpdate(whole=True, instances=(row.for_gateways() for row in self._rows.values()))
        return InstancesUpdate(instances=(self._rows[id].for_gateways() for id in ids))

    def get(self, id: str) -> Instance | None:
        """A copy of what is known of an instance."""
        row = self._rows.get(id)
        return None if row is None else row.for_gateways()

    def live(self) -> Iterator[Instance]:
        """The instances that have not ended, as the table holds them: to be read at once, never changed."""
        return (row.instance for row in self._rows.values() if row.live)

    # ------------------------------------------------------------ what the other members learn

    def gossip_at(self) -> float:
        """When the next batch is due."""
        return self._gossip_sent_at + (URGENT_INTERVAL_S if self.urgent else GOSSIP_INTERVAL_S)

    def gossip(self, now: float, gateways: int = 0) -> RegistryGossip:
        """What changed or was heard here since the last batch, for all other members."""
        batch = RegistryGossip(gateways=gateways)
        for id in self._to_tell:
            row = self._rows.get(id)
            if row is not None and (row.live or row.sequence == RETIRED_SEQUENCE):
                batch.changed.append(row.instance)
        for id in self._to_renew:
            row = self._rows.get(id)
            if row is not None and row.sequence != RETIRED_SEQUENCE:
                batch.seen.append(heartbeat_seen(row, now))
        batch.switches.extend(self._switches.announced(now))
        self._to_tell.clear()
        self._to_renew.clear()
        self.urgent = False
        self._gossip_sent_at = now
        return batch

    def whole(self, now: float, gateways: int = 0) -> RegistryGossip:
        """All that is known, for a member that asked; marked as whole only where it is complete."""
        batch = RegistryGossip(gateways=gateways, whole=self.complete(now))
        batch.switches.extend(self._switches.messages(now))
        for row in self._rows.values():
            if row.sequence == RETIRED_SEQUENCE:
                batch.changed.append(row.instance)
            elif row.live:
                batch.changed.append(row.instance)
                if row.sequence != UNHEARD:
                    batch.seen.append(heartbeat_seen(row, now))
        return batch

    def ask_whole(self, now: float, links_missing: bool = False) -> bool:
        """Whether to ask one other member, drawn at random, for its whole table now.

        True every WHOLE_RETRY_S while the table is not complete or details may be missing. A member that has
        no link to some other (`links_missing`) hears of that one's instances through a third: then, every
        heartbeat interval.
        """
        pause = WHOLE_RETRY_S
        if links_missing:
            self.link_lost(now)
            pause = max(pause, self._interval_s)
        wanted = self._details_missing or not self.complete(now)
        if not wanted or now - self._whole_asked_at < pause:
            return False
        self._whole_asked_at = now
        return True

    # ------------------------------------------------------------ rows

    def _merge_instance(self, instance: Instance, heard_at: float, now: float) -> None:
        """Take one instance as another member knows it."""
        if instance.state == ENDED:
            self.retire(instance.id, GONE, now)
            return
        if instance.state == DRAINS:
            self.retire(instance.id, DRAINING, now)
        if not instance.address or self._retired.kind(instance.id) == GONE:
            return
        row = self._rows.get(instance.id)
        if row is None and len(self._rows) >= self._most:
            return
        if row is not None and instance.sequence <= row.details:
            return
        copy = Instance()
        copy.CopyFrom(instance)
        self._take(copy, heard_at)

    def _merge_seen(self, seen: HeartbeatSeen, now: float) -> None:
        """Take a heartbeat that another member heard."""
        row = self._rows.get(seen.id)
        if row is None or row.sequence == UNHEARD:
            self._details_missing |= self._retired.kind(seen.id) != GONE
        elif seen.sequence > row.sequence and self._renew(row, seen.sequence, now - seen.age_ms / 1000):
            self._changes.note(seen.id)

    def _take(self, instance: Instance, heard_at: float) -> bool:
        """Put an instance with newer details into the table; True where gateways must learn of it."""
        row = self._rows.get(instance.id)
        if row is None:
            row = self._rows[instance.id] = Row(instance, UNHEARD, heard_at)
            changed = True
        else:
            changed = False
        held = row.instance
        ended = row.ended_at is not None
        if instance.sequence > row.sequence:
            changed |= self._renew(row, instance.sequence, heard_at)
        instance.state = held.state if ended and row.ended_at is not None else self._state(instance.id)
        self._switches.reported(instance.id, instance.stage)
        instance.switching_to = self._switches.target(instance.id)
        changed |= not same_for_gateways(held, instance)
        if held.address != instance.address and self._by_address.get(held.address) == instance.id:
            del self._by_address[held.address]
        row.instance = instance
        row.details = instance.sequence
        if changed:
            self._changes.note(instance.id)
        if row.live:
            self._claim_address(row)
        return changed

    def _state(self, id: str) -> InstanceState:
        """The state of a live instance."""
        return READY if self._retired.kind(id) is None else DRAINS

    def _renew(self, row: Row, sequence: int, heard_at: float) -> bool:
        """Note a higher sequence; True where it brought back an instance that had ended."""
        row.sequence = sequence
        row.heard_at = max(row.heard_at, heard_at)
        if row.ended_at is None:
            return False
        if row.superseded:
            row.returned_heartbeats += 1
            if row.returned_heartbeats < RETURN_HEARTBEATS:
                return False
        row.ended_at = None
        row.superseded = False
        row.returned_heartbeats = 0
        row.instance.state = self._state(row.instance.id)
        self._claim_address(row)
        return True

    def _claim_address(self, row: Row) -> None:
        """Let the instance that was heard last hold its address; the other one has ended."""
        address, id = row.instance.address, row.instance.id
        holder_id = self._by_address.get(address)
        if holder_id == id or not address:
            return
        holder = self._rows.get(holder_id) if holder_id is not None else None
        if holder is not None and holder.live and holder.heard_at > row.heard_at:
            self._supersede(row)
            return
        if holder is not None and holder.live:
            self._supersede(holder)
        self._by_address[address] = id

    def _supersede(self, row: Row) -> None:
        """End an instance whose address another one has."""
        self._end(row, row.heard_at)
        row.superseded = True
        self._changes.note(row.instance.id)

    def _end(self, row: Row, now: float) -> None:
        """Mark an instance as ended and free its address."""
        row.instance.state = ENDED
        row.instance.switching_to = ""
        self._switches.drop(row.instance.id)
        row.ended_at = now
        row.returned_heartbeats = 0
        if self._by_address.get(row.instance.address) == row.instance.id:
            del self._by_address[row.instance.address]
