"""All volumes of a host, the current plans, and the allotments of single volumes."""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler.interface import Plan, PlanChanged, SiblingSend
from mallowbeam.storage_gateway.scheduler.state import SchedulerState
from mallowbeam.storage_gateway.scheduler.volumes import Volume, VolumeKey

FORGET_AFTER_S = 30.0  # seconds without a request after which a volume's levels are no longer meaningful


class VolumeTable:
    """Owns the volumes that requests are charged to, and the plans."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._top_class_value = max(
            (request_class.value for request_class in state.settings.classes.values()), default=1.0
        )
        self.by_key: dict[VolumeKey, Volume] = {}
        # Plans by ("", name), allotments by volume, plan and the shard if for one; with this host's share.
        self.plans: dict[VolumeKey, tuple[Plan, float | None]] = {
            ("", name): (plan, None) for name, plan in state.settings.plans.items()
        }
        self.changed_at: dict[VolumeKey, float] = {}  # of plans and allotments, for `FORGET_AFTER_S`
        self.max_unit_value = self._top_class_value * max(
            (plan.price for plan in state.settings.plans.values()), default=1.0
        )

    def get(self, name: str, plan: str, hosts: int, shard: int | None = None) -> Volume:
        """The volume to charge a request to: the separate allotment for its shard, if there is one."""
        shard_key = (name, plan, shard)
        key: VolumeKey = shard_key if shard_key in self.plans else (name, plan)
        volume = self.by_key.get(key)
        if volume is None:
            volume = self._add(key, hosts)
        # One client that names another plan or fewer hosts for the same volume must not raise the limit.
        volume.hosts = max(volume.hosts, hosts)
        return volume

    def _add(self, key: VolumeKey, hosts: int) -> Volume:
        """Add a volume; its buckets refilled since the last change of plan, at most for `FORGET_AFTER_S`."""
        state = self._state
        plan_key = ("", key[1])
        changes = (self.changed_at.get(other_key, state.started_at) for other_key in (key, plan_key))
        since = max(state.now - FORGET_AFTER_S, *changes)
        volume = self.by_key[key] = Volume(key, hosts, state.settings.max_units, since)
        plan, share = self.plans.get(key, self.plans.get(plan_key, (Plan(key[1]), None)))
        volume.set_plan(plan, share, since)
        volume.reserve_level = volume.reserve_cap
        return volume

    def on_plan_changed(self, event: PlanChanged) -> None:
        """Apply a plan; an allotment that equals its general plan and has no share is revoked."""
        name = event.plan.name
        key: VolumeKey = (event.volume, name)
        if event.shard is not None:
            key = (event.volume, name, event.shard)
        self.changed_at[key] = self._state.now
        plan, share = self._store_plan(key, event)
        if not event.volume:
            prices = (known.price for other_key, (known, _) in self.plans.items() if not other_key[0])
            self.max_unit_value = self._top_class_value * max(prices)
        if event.shard is not None and key not in self.plans:
            self._merge_shard_volume(key)
        for other_key in self._affected_keys(key):
            self.by_key[other_key].set_plan(plan, share, self._state.now)
        self._move_requests(event.volume, name, event.shard)

    def _store_plan(self, key: VolumeKey, event: PlanChanged) -> tuple[Plan, float | None]:
        """Store a plan or an allotment, or drop a revoked one; returns the plan that applies from now on."""
        plan_key = ("", event.plan.name)
        self.plans[key] = (event.plan, event.limit_share)
        if not event.volume or event.limit_share is not None:
            return self.plans[key]
        if event.plan == self.plans.get(plan_key, (None,))[0]:
            del self.plans[key]
            return self.plans[plan_key]
        return self.plans[key]

    def _affected_keys(self, key: VolumeKey) -> list[VolumeKey]:
        """The known volumes that a change of the plan under a key affects."""
        volume, plan = key[:2]
        if volume:
            return [key] if key in self.by_key else []
        return [
            other_key
            for other_key in self.by_key
            if other_key[1] == plan and (other_key == key or other_key not in self.plans)
        ]

    def _merge_shard_volume(self, key: VolumeKey) -> None:
        """Drop the separate bucket of a revoked allotment; its debt moves to the volume's common bucket."""
        shard_volume = self.by_key.pop(key, None)
        if shard_volume is not None:
            shard_volume.refill(self._state.now)
            self.get(key[0], key[1], shard_volume.hosts).limit_level += min(0.0, shard_volume.limit_level)

    def _move_requests(self, name: str, plan: str, shard: int | None) -> None:
        """Move the uncharged requests of a volume for a shard to the volume that now applies to them."""
        for request in self._state.requests.values():
            old = request.volume
            if old.key[:2] == (name, plan) and request.shard == shard and not request.charged:
                units = request.units if request.counted_pending else 0
                request.volume = self.get(name, plan, old.hosts, shard)
                old.pending_units -= units
                request.volume.pending_units += units

    def on_sibling_send(self, event: SiblingSend) -> None:
        """Count units that another process of this host sent, from the limit level that it handed over."""
        now = self._state.now
        node = self._state.nodes.get(event.node)
        volume = self.get(event.volume, event.plan, event.host_count, node.shard if node else None)
        volume.refill(now)
        level = volume.limit_level if event.limit_level is None else event.limit_level
        volume.limit_level = level - event.charged_units
        if node is not None and now < node.slow_start_until:
            node.count_slow_start_send(now, event.units)

    def forget_old(self) -> None:
        """Drop volumes and times of change past `FORGET_AFTER_S`, so that memory is bounded."""
        now = self._state.now
        for key in [key for key, at in self.changed_at.items() if now - at > FORGET_AFTER_S]:
            del self.changed_at[key]
        for key, volume in list(self.by_key.items()):
            is_used = volume.pending_units or volume.uploading_units
            if not is_used and now - volume.refilled_at > FORGET_AFTER_S:
                del self.by_key[key]
