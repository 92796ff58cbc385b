"""Processes of the fleet on simulated machines: the real member and feed on simulated I/O.

Peer links and feeds use streams of the simulated network. Requests to the control API are passed to its
handler as parsed messages, without HTTP framing; the replica is stored on a simulated disk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from math import inf
from random import Random
from types import ModuleType, SimpleNamespace
from typing import Any, cast

from mallowbeam.http.framing import Message
from mallowbeam.http.handler import RequestHandler
from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.configuration.updates import apply_update
from mallowbeam.router.consensus.interface import Write
from mallowbeam.router.consensus.storage import ReplicaStore
from mallowbeam.router.control_plane import member_builder
from mallowbeam.router.control_plane.body_admission import run_inline
from mallowbeam.router.control_plane.bootstrap import initial_state
from mallowbeam.router.control_plane.member import ControlMember
from mallowbeam.router.control_plane.state_machine import CommandOutcome, ReplicatedStateMachine
from mallowbeam.router.control_plane.store_recovery import OpenedStore
from mallowbeam.router.data_plane.feed_link import FeedLink
from mallowbeam.router.feed.subscriber import FeedSubscriber, GatewayIdentity
from mallowbeam.router.processes.role import SETTINGS_POLL_INTERVAL_S
from mallowbeam.router.processes.settings import BindAddresses, NodeSettings
from mallowbeam.router.rpc.messages_pb2 import DRAINS
from mallowbeam.simulation.dialing import Streams
from mallowbeam.simulation.disk import Disk
from mallowbeam.simulation.fleet_history import Answer, ApiCall, History
from mallowbeam.simulation.loop import SimulatedLoop, new_loop
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.replica import Replica

PEER_PORT = 7660
CONTROL_PORT = 8146
HEARTBEAT_MS = 1200.0
RETRY_S = 0.1  # delay between attempts to write to a full disk


def message_of(call: ApiCall, now: float) -> Message:
    """Convert a request to the parsed message that the API's handler takes; `now` in seconds."""
    message = Message()
    message.method, message.target = call.method.encode(), call.path.encode()
    message.headers = [(name.lower().encode(), value.encode()) for name, value in call.headers]
    message.body, message.complete, message.completed_at = bytearray(call.body), True, now
    return message


class StandInServer:
    """Replaces the HTTP server: requests are passed directly to its handler."""

    def __init__(
        self, address: tuple[str, int], front: RequestHandler, most: int, shared: bool = True
    ) -> None:
        self.address = address
        self.front = front
        self.serving = False

    def start(self) -> None:
        """Start accepting requests."""
        self.serving = True

    async def drain(self, within: float) -> None:
        """Stop accepting requests."""
        self.serving = False

    def sweep(self) -> None:
        """Do nothing: there are no connections."""


class SimulatedWriter:
    """Replaces the storage thread: batches become durable one after another on a simulated disk."""

    def __init__(
        self, loop: SimulatedLoop, disk: Disk, replica: Replica, durable: Callable[[Sequence[Write]], None]
    ) -> None:
        self._loop = loop
        self._disk = disk
        self._replica = replica
        self._durable = durable
        self._queue: list[Write] = []
        self._writing = False

    def start(self) -> None:
        """Do nothing: there is no thread to start."""

    def submit(self, write: Write) -> None:
        """Queue a write."""
        self._queue.append(write)
        self._start_next_write()

    async def stop(self, within: float) -> bool:
        """Return whether the queue is empty; there is no thread to stop."""
        return not self._queue

    def _start_next_write(self) -> None:
        if self._writing or not self._queue:
            return
        self._writing = True
        batch = tuple(self._queue)
        self._queue.clear()
        self._write(batch)

    def _write(self, batch: tuple[Write, ...]) -> None:
        def change() -> None:
            for write in batch:
                self._replica.apply(write)

        def done() -> None:
            self._writing = False
            self._durable(batch)
            self._start_next_write()

        def failed(_: OSError) -> None:
            self._loop.call_later(RETRY_S, self._write, batch)

        self._disk.write(
            change, lambda: self._loop.enter(done), lambda error: self._loop.enter(lambda: failed(error))
        )


@contextmanager
def replaced(module: ModuleType, names: dict[str, object]) -> Iterator[None]:
    """Replace attributes of a module within a context."""
    before = {name: getattr(module, name) for name in names}
    for name, value in names.items():
        setattr(module, name, value)
    try:
        yield
    finally:
        for name, value in before.items():
            setattr(module, name, value)


class SimulatedMember:
    """A control-plane member: the real program on a simulated machine and disk."""

    def __init__(
        self, machine: Machine, streams: Streams, disk: Disk, settings: NodeSettings, history: History
    ) -> None:
        """`history` records what the member applies and answers."""
        self.removed = False  # permanently; operators no longer call it
        self.machine = machine
        self._streams = streams
        self._disk = disk
        self._settings = settings
        self._history = history
        self._random = Random(machine.simulator.random.random())
        self.replica: Replica | None = None
        self.loop: SimulatedLoop | None = None
        self.program: ControlMember | None = None
        self._server: StandInServer | None = None
        self._thawed_at = -inf
        self.unreachable_since: float | None = None  # since when no majority is reachable; set by a monitor
        self.check_reach: Callable[[], object] = lambda: None  # updates `unreachable_since`
        machine.boot = self._boot
        machine.on_thaw(self._thawed)

    def wipe(self) -> None:
        """Erase the disk; the process must not run."""
        assert not self.machine.running
        self.replica = None
        self._settings = replace(self._settings, bootstrap=False)

    def set_seeds(self, ips: Sequence[str]) -> None:
        """Change the seeds in the settings; a running process notices it at its next poll."""
        self._settings = replace(self._settings, seeds=seeds_of(ips))

    def _reload(self, settings: NodeSettings) -> None:
        if self.program is not None:
            self.program.reload(settings)

    def terminate(self) -> None:
        """Send SIGTERM: the process shuts down gracefully; one that is still starting ends at once."""
        loop, program = self.loop, self.program
        if not self.machine.running or loop is None:
            return
        if program is None:
            self.machine.kill()
            return
        incarnation = self.machine.incarnation

        async def stop() -> None:
            await program.stop()
            if self.machine.incarnation == incarnation:
                self.machine.kill()

        loop.enter(lambda: loop.create_task(stop()))

    @property
    def live(self) -> bool:
        """Whether the process runs and its program has started."""
        return self.machine.running and self.program is not None

    def call(self, call: ApiCall, answered: Callable[[int, bytes], None]) -> None:
        """Pass a request to the control API as a step of the machine; no answer while it does not serve."""
        loop, server = self.loop, self._server
        if loop is None or server is None or not server.serving:
            return

        began, slow = self.machine.simulator.now, self._slow

        async def answer() -> None:
            reply = await server.front.handle(message_of(call, loop.time()), lambda: False)
            body = bytes(reply.data).partition(b"\r\n\r\n")[2]
            paused = slow or self._slow or self._thawed_at >= began
            self._record_answer(call, began, reply.status, body, paused)
            answered(reply.status, body)

        loop.enter(lambda: loop.create_task(answer()))

    @property
    def _slow(self) -> bool:
        return self.machine.step_cost > 0.0 or self.machine.clock_rate < 1.0

    def _record_answer(self, call: ApiCall, began: float, status: int, body: bytes, paused: bool) -> None:
        self.check_reach()
        now = self.machine.simulator.now
        unreachable_s = now - self.unreachable_since if self.unreachable_since is not None else 0.0
        name = self.machine.name
        self._history.answered(Answer(name, call, began, now, status, body, paused, unreachable_s))

    def _thawed(self) -> None:
        self._thawed_at = self.machine.simulator.now

    def _boot(self) -> None:
        self.program = self._server = None
        self.loop = loop = new_loop(self.machine, self._streams)
        loop.create_task(self._serve(loop))
        loop.create_task(watch_settings(lambda: self._settings, self._reload))

    async def _serve(self, loop: SimulatedLoop) -> None:
        if self.replica is None:
            self.replica = await self._create_replica(loop)
        replica = self.replica
        store = cast(
            ReplicaStore, None
        )  # only the writer uses the store; the simulated writer uses the replica instead
        opened = OpenedStore(store, replica.identity, replica.restored())

        def writer(_: object, durable: Callable[[Sequence[Write]], None]) -> SimulatedWriter:
            return SimulatedWriter(loop, self._disk, replica, durable)

        def server(*args: Any, **named: Any) -> StandInServer:
            self._server = StandInServer(*args, **named)
            return self._server

        seeded = SimpleNamespace(Random=lambda: Random(self._random.random()))
        with replaced(member_builder, {"StorageWriter": writer, "Server": server, "random": seeded}):
            program = member_builder.build_member(self._settings, opened, run_inline)
        self._record_applied(program.parts.state_machine)
        await program.start()
        self.program = program
        program.outdated.add_done_callback(
            lambda _: self.machine.kill()
        )  # the real role exits and keeps the store
        await program.unusable  # afterwards it rejoins as a new member, like the real role
        await program.stop()
        self.program = self.replica = None
        self._settings = replace(self._settings, bootstrap=False)
        loop.create_task(self._serve(loop))

    def _record_applied(self, state: ReplicatedStateMachine) -> None:
        """Record in the history each entry that is applied from now on."""
        apply, name = state.apply, self.machine.name

        def recording(index: int, payload: bytes) -> CommandOutcome:
            outcome = apply(index, payload)
            self._history.applied(name, index, payload, outcome.result)
            return outcome

        setattr(state, "apply", recording)  # noqa: B010 (an instance attribute hides the method)

    async def _create_replica(self, loop: SimulatedLoop) -> Replica:
        """Write the initial state to an empty disk."""
        control = self._settings.bind_addresses.control
        assert control is not None
        first = initial_state(
            control, self._settings.seeds, self._settings.bootstrap, PEER_PORT, self._random
        )
        while not await self._write_initial_state(loop):
            await asyncio.sleep(RETRY_S)
        return Replica(first.identity, first.snapshot)

    async def _write_initial_state(self, loop: SimulatedLoop) -> bool:
        """Write and sync; returns False on a full disk."""
        written: asyncio.Future[bool] = loop.create_future()
        self._disk.write(
            lambda: None,
            lambda: loop.enter(lambda: written.set_result(True)),
            lambda _: loop.enter(lambda: written.set_result(False)),
        )
        return await written


class SimulatedGateway:
    """A gateway that runs only its feed: the real subscriber and link on simulated streams."""

    def __init__(self, machine: Machine, streams: Streams, settings: NodeSettings) -> None:
        self.machine = machine
        self._streams = streams
        self._settings = settings
        self._random = Random(machine.simulator.random.random())
        self.loop: SimulatedLoop | None = None
        self.subscriber: FeedSubscriber[Configuration] | None = None
        self.thawed_at = -inf
        machine.boot = self._boot
        machine.on_thaw(self._thawed)

    def set_seeds(self, ips: Sequence[str]) -> None:
        """Change the seeds in the settings; a running process notices it at its next poll."""
        self._settings = replace(self._settings, seeds=seeds_of(ips))

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; 0 if there is none."""
        return self.subscriber.configuration_revision if self.subscriber is not None else 0

    def _thawed(self) -> None:
        self.thawed_at = self.machine.simulator.now

    @property
    def ready(self) -> bool:
        """Whether the gateway would serve requests; False before its first start."""
        return self.subscriber is not None and self.subscriber.ready(self.machine.clock())

    def instance_state(self, id: str) -> str:
        """State of an instance at this gateway: ``ready``, ``draining`` or ``absent``."""
        instance = self.subscriber.instances.get(id) if self.subscriber is not None else None
        if instance is None:
            return "absent"
        return "draining" if instance.state == DRAINS else "ready"

    def _boot(self) -> None:
        self.loop = loop = new_loop(self.machine, self._streams)
        random = Random(self._random.random())
        identity = GatewayIdentity(self._settings.zone, self._settings.node_name, self.machine.incarnation)
        self.subscriber = FeedSubscriber(self._settings.seed_peer_addresses, identity, random, apply_update)
        loop.create_task(self._run_feed(self.subscriber))

    async def _run_feed(self, subscriber: FeedSubscriber[Configuration]) -> None:
        link = FeedLink(subscriber, lambda events, now: None)
        watcher = watch_settings(
            lambda: self._settings, lambda settings: link.replace_seeds(settings.seed_peer_addresses)
        )
        await asyncio.gather(link.run(), watcher)


async def watch_settings(current: Callable[[], NodeSettings], reload: Callable[[NodeSettings], None]) -> None:
    """Poll a process's settings at the interval of the real role, and reload changed ones."""
    in_force = current()
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        settings = current()
        if settings != in_force:
            in_force = settings
            reload(settings)


def seeds_of(ips: Sequence[str]) -> tuple[str, ...]:
    """Control addresses of members, in the form of the settings."""
    return tuple(f"{ip}:{CONTROL_PORT}" for ip in ips)


def settings_of(name: str, ip: str, seeds: Sequence[str], member: bool, bootstrap: bool) -> NodeSettings:
    """Settings of a member or a gateway; `seeds` are IP addresses."""
    control = f"{ip}:{CONTROL_PORT}" if member else None
    return NodeSettings(
        node_name=name,
        role="control-plane" if member else "data-plane",
        machine_class="core" if member else "edge",
        ip=ip,
        zone="z",
        region="r",
        port_range=(PEER_PORT, PEER_PORT + 15),
        seeds=seeds_of(seeds),
        bootstrap=bootstrap,
        counts_for_quorum=member,
        data_dir="/simulated" if member else None,
        heartbeat_ms=HEARTBEAT_MS,
        bind_addresses=BindAddresses(control=control),
    )
