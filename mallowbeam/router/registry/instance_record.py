"""One entry of the instance table."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.rpc.messages_pb2 import ENDED, HeartbeatSeen, Instance

MAX_AGE_MS = 2**32 - 1
NO_HEARTBEAT = -1  # sequence of an instance without a known heartbeat


@dataclass(slots=True)
class InstanceRecord:
    """What a member knows of one instance. Times are in seconds of the monotonic clock."""

    instance: Instance  # owned by the table; its own sequence may be older
    sequence: int  # highest that any member is known to have received
    last_heartbeat_at: float  # when the heartbeat of that sequence was received
    details_sequence: int = NO_HEARTBEAT  # sequence of the heartbeat that `instance` was read from
    ended_at: float | None = None
    superseded: bool = False  # ended because another id took its address
    returned_heartbeats: int = 0  # received since it was superseded

    @property
    def live(self) -> bool:
        """Whether the instance has not ended."""
        return self.instance.state != ENDED

    def for_gateways(self) -> Instance:
        """A new message with the highest known sequence, which gateways compare with that of an end."""
        message = Instance()
        message.CopyFrom(self.instance)
        message.sequence = max(self.sequence, 0)
        return message

    def heartbeat_seen(self, now: float) -> HeartbeatSeen:
        """The last heartbeat with its age, for the other members."""
        age_ms = min(max(0, round((now - self.last_heartbeat_at) * 1000)), MAX_AGE_MS)
        return HeartbeatSeen(id=self.instance.id, sequence=self.sequence, age_ms=age_ms)


def same_for_gateways(one: Instance, other: Instance) -> bool:
    """Whether gateways would route requests the same way; sequence and warm-up are not compared."""
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
