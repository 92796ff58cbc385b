"""Stand-in instances that fail in typical ways, and planners with a deterministic order."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field, replace

from gateway_bench import Bench

from mallowbeam.router.admission.messages import Plan, PlanRequest, Rejection
from mallowbeam.router.data_plane.planner_interface import LeastLoadedPlanner
from mallowbeam.router.rpc.messages_pb2 import READY, Instance
from mallowbeam.standins.model_server import ModelServer, ReceivedRequest


class ByName(LeastLoadedPlanner):
    """Selects instances in the order of their names; prefills at the first of `prefill_ids` not excluded."""

    def __init__(self, *prefill_ids: str, expected_s: float = 0.05) -> None:
        super().__init__()
        self.prefill_ids, self.expected_s = prefill_ids, expected_s

    def _rank(self, instance, zone):
        return instance.id

    @property
    def open_bookings(self) -> int:
        """Bookings that have not been finished."""
        return len(self._bookings)

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Select the first instance by name and the first prefill instance."""
        planned = super().plan(request, now)
        if isinstance(planned, Rejection):
            return planned
        reader = next((one for one in self.prefill_ids if one not in request.excluded), None)
        return replace(planned, prefill_instance=reader, expected_first_token_s=self.expected_s)


class DirectFirst(ByName):
    """Has the prompt of the first plan prefilled by the decode instance, and all later ones separately."""

    planned = 0

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Select by name; the first plan has no prefill instance."""
        planned = super().plan(request, now)
        self.planned += 1
        if isinstance(planned, Rejection) or self.planned > 1:
            return planned
        return replace(planned, prefill_instance=None)


@dataclass
class Hanging(ModelServer):
    """Delays the requests with the numbers in `hangs` (from 0) until `wake` is set."""

    hangs: set[int] = field(default_factory=set)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    number: int = 0

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        number, self.number = self.number, self.number + 1
        if number in self.hangs:
            self.seen.append(seen)
            await self._wait(reader)
            self.seen.pop()
        return await super()._answer(seen, reader, writer)

    async def _wait(self, reader: asyncio.StreamReader) -> None:
        """Wait for `wake`.

        Raises:
            ConnectionResetError: the caller closed the connection first.
        """
        woken, closed = asyncio.ensure_future(self.wake.wait()), asyncio.ensure_future(reader.read(1))
        await asyncio.wait((woken, closed), return_when=asyncio.FIRST_COMPLETED)
        if closed.done():
            self.cancelled += 1
            raise ConnectionResetError
        closed.cancel()
        await asyncio.wait((closed,))


@dataclass
class RepeatedAnswers(ModelServer):
    """Repeats the previous answer when the next request arrives."""

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        for before in self.seen[-1:]:
            self._respond(writer, before, 200, b"late", self._stamp)
        return await super()._answer(seen, reader, writer)


@dataclass
class EarlyIdleTimeout(ModelServer):
    """Drops a request on a connection that was idle for longer than `actual_idle_timeout_s`."""

    actual_idle_timeout_s: float = 0.3
    reset: int = 0

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        now = asyncio.get_running_loop().time()
        since = writer.__dict__.get("answered_at", now)
        if now - since > self.actual_idle_timeout_s:
            self.reset += 1
            return False
        keep_open = await super()._answer(seen, reader, writer)
        writer.__dict__["answered_at"] = asyncio.get_running_loop().time()
        return keep_open


@dataclass
class ExpiredHandles(ModelServer):
    """A prefill instance whose handles expire at once."""

    expired: bool = True

    def _prefill(self, seen: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        keep_open = super()._prefill(seen, writer)
        if self.expired:
            self.handles.clear()
        return keep_open


class UnresponsiveAddress:
    """An address that does not respond to connection attempts, because its accept queue is full."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._pending = []
        for _ in range(4):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self._listener.getsockname())
            self._pending.append(one)

    def close(self) -> None:
        """Close the sockets."""
        for one in (*self._pending, self._listener):
            one.close()


async def add(bench: Bench, instance: ModelServer, backend: str = "plain") -> ModelServer:
    """Start the given instance and add it to the gateway's instance table."""
    await instance.start()
    bench.instances[instance.id] = instance
    for other in bench.instances.values():
        other.peers.update({one.address: one for one in bench.instances.values()})
    row = Instance(
        id=instance.id,
        backend=backend,
        address=instance.address,
        zone="z1",
        slots=8,
        state=READY,
        stage=instance.stage,
    )
    row.models.add(name="m", revision=1)
    bench.update_instances(row)
    return instance


def add_unresponsive(
    bench: Bench, id: str, unresponsive: UnresponsiveAddress, backend: str = "plain", stage: str = ""
) -> None:
    """Add an unreachable instance to the gateway's instance table."""
    bench.update_instances(
        Instance(
            id=id, backend=backend, address=unresponsive.address, zone="z1", slots=8, state=READY, stage=stage
        )
    )


def set_state(bench: Bench, id: str, state: int) -> None:
    """Change an instance's state in the gateway's instance table."""
    row = Instance()
    row.CopyFrom(bench.gateway.view.instances[id])
    row.state = state
    bench.update_instances(row)
