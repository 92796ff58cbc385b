"""Statements of consensus scenarios on large states, many changes and slow links.

    state BYTES                      (size of the state in a snapshot from now on)
    compact-every ENTRIES BYTES      (members take a snapshot after this many applied entries or bytes)
    bandwidth BYTES [WHO]            (bytes per second, each way, on the links of WHO or on all others)
    write COUNT BYTES                (commands of this size; each is proposed once the last is acknowledged)
    power-off-on-install WHO         (WHO loses power when it has a complete snapshot that is not yet durable)

Expectations: ``written`` (all commands are acknowledged), ``received below WHO BYTES`` (since the machine was
last started), ``waiting below BYTES`` (maximum queued on any link at any time; further messages are dropped),
``progress WHO`` (WHO has received part of a snapshot), ``applied WHO COUNT`` (at least), ``down WHO``,
``index WHO INDEX`` (index of the snapshot on its disk, at most).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from consensus_machine import Machine
    from consensus_world import World

POLL_INTERVAL_S = 0.002
RETRY_TIMEOUT_S = 3.0  # retry without an acknowledgement: the leader may have failed


class BulkStatements:
    """Statements and expectations that the scenario player executes."""

    world: World
    end: float

    def _machine(self, who: str) -> Machine:
        raise NotImplementedError

    def _id(self, who: str) -> int:
        raise NotImplementedError

    # ------------------------------------------------------------ statements

    def do_state(self, size: str) -> None:
        self.world.state_bytes = int(size)

    def do_compact_every(self, entries: str, size: str) -> None:
        self.world.compact_entries, self.world.compact_bytes = int(entries), int(size)

    def do_bandwidth(self, bytes_per_second: str, who: str = "") -> None:
        self.world.limit_bandwidth(float(bytes_per_second), self._id(who) if who else None)

    def do_write(self, count: str, size: str) -> None:
        self.world.unacknowledged_commands += int(count)
        self._write(int(count), int(size))

    def _write(self, count: int, size: int) -> None:
        """Propose one command, wait for its acknowledgement, then propose the rest."""
        world = self.world
        if count == 0:
            return
        leader = world.leader()
        before = world.checkers.acknowledged
        proposed = leader is not None and leader.propose(world.random.randbytes(size))
        until = world.now + (RETRY_TIMEOUT_S if proposed else POLL_INTERVAL_S)

        def poll() -> None:
            if world.checkers.acknowledged > before:
                world.unacknowledged_commands -= 1
                self._write(count - 1, size)
            elif world.now >= until:
                self._write(count, size)
            else:
                world.at(world.now + POLL_INTERVAL_S, poll)

        poll()

    def do_power_off_on_install(self, who: str) -> None:
        """Power off the machine once a snapshot is complete, before it is written."""
        machine = self._machine(who)

        def poll() -> None:
            if machine.installed > 0:
                machine.crash(durable_writes=0)
            else:
                self.world.at(self.world.now + POLL_INTERVAL_S, poll)

        poll()

    # ------------------------------------------------------------ expectations

    def expect_written(self) -> Callable[[], bool]:
        return lambda: self.world.unacknowledged_commands == 0

    def expect_received_below(self, who: str, size: str) -> Callable[[], bool]:
        machine = self._machine(who)
        return lambda: machine.received_bytes < int(size)

    def expect_waiting_below(self, size: str) -> Callable[[], bool]:
        return lambda: self.world.max_queued_bytes < int(size)

    def expect_progress(self, who: str) -> Callable[[], bool]:
        machine = self._machine(who)
        return lambda: machine.node is not None and machine.node._follower._receiver.received > 0

    def expect_down(self, who: str) -> Callable[[], bool]:
        machine = self._machine(who)
        return lambda: machine.node is None

    def expect_index(self, who: str, disk_index: str) -> Callable[[], bool]:
        """``index WHO INDEX``: the snapshot on its disk has this index or a lower one."""
        machine = self._machine(who)
        return lambda: machine.disk.snapshot.index <= int(disk_index)

    def expect_applied(self, who: str, count: str) -> Callable[[], bool]:
        """``applied WHO COUNT``: at least this many commands are applied."""
        machine = self._machine(who)
        return lambda: machine.node is not None and machine.applied.count >= int(count)
