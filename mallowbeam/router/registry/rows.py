"""One entry of the instance table."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.rpc.messages_pb2 import ENDED, HeartbeatSeen, Instance

MOST_AGE_MS = 2**32 - 1
UNHEARD = -1  # sequence of an instance of which no heartbeat is known


@dataclass(slots=True)
class Row:
    """What a member knows of one instance. Times are in seconds of the steady clock."""

    instance: Instance  # owned by the table; its own sequence may be older
    sequence: int  # highest that any member heard
    heard_at: float  # when that was
    details: int = UNHEARD  # sequence of the heartbeat that `instance` was taken from
    ended_at: float | None = None
    superseded: bool = False  # ended because another id took its address
    returned_heartbeats: int = 0  # heard since it was superseded

    @property
    def live(self) -> bool:
        """Whether the instance has not ended."""
        return self.instance.state != ENDED

    def for_gateways(self) -> Instance:
        """A copy with the highest known sequence: what gateways compare an end with."""
        copy = Instance()
        copy.CopyFrom(self.instance)
        copy.sequence = max(self.sequence, 0)
        return copy


def same_for_gateways(one: Instance, other: Instance) -> bool:
    """Whether the two differ in nothing that gateways decide by: their sequence and warm-up are left out."""
    return (
        one.state == other.state
        and one.address == other.address
        and one.stage == other.stage
        and one.switching_to == other.switching_to
        and one.slots == other.slots
        and one.backend == other.backend
        and one.zone == other.zone
        and one.revision == other.revision
        and one.models == other.models
    )


def heartbeat_seen(row: Row, now: float) -> HeartbeatSeen:
    """The last heartbeat of an instance with its age."""
    age_ms = min(max(0, round((now - row.heard_at) * 1000)), MOST_AGE_MS)
    return HeartbeatSeen(id=row.instance.id, sequence=row.sequence, age_ms=age_ms)
