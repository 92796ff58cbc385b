"""Runs schedulers for the simulator: a line protocol on standard input and output.

`python -m mallowbeam.storage_gateway.scheduler.simulator_host` holds many instances, each a `Scheduler` of
its own; they share nothing.  This module takes no decisions: it translates each line to one event and each
action to one line.  The protocol's names appear only here and in `settings` (WIRE-mallowbeam.md); times are
seconds with six decimals.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TextIO

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    Fail,
    FetchNodes,
    HealthCheck,
    HealthCheckEnded,
    LogLine,
    NodeEntry,
    NodeState,
    Outcome,
    PeerMessage,
    Reject,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    TimerFired,
    WatchNodes,
)
from mallowbeam.storage_gateway.scheduler.settings import (
    parse_flag,
    parse_optional,
    read_pairs,
    read_settings,
)

OUTCOMES = {
    "S": Outcome.OK,
    "E": Outcome.ERROR,
    "F": Outcome.REJECTED,
    "T": Outcome.TIMEOUT,
    "C": Outcome.NO_CONNECTION,
    "R": Outcome.RESET,
    "X": Outcome.CANCELLED,
    "N": Outcome.NOT_SENT,
}
UPDATE_KINDS = {
    "patch": DiscoveryUpdateKind.DELTA,
    "whole": DiscoveryUpdateKind.FULL,
    "stale_copy": DiscoveryUpdateKind.CACHED,
    "broken": DiscoveryUpdateKind.FAILED,
}
NODE_STATES = {"live": NodeState.READY, "quiescing": NodeState.DRAINING, "dead": NodeState.REMOVED}
FLAG_RETRY = 2
FLAG_WRITE = 4
PERCENT = 100.0
EXIT_BAD_INPUT = 2


class WireError(MallowbeamError):
    """A line that violates the simulator's protocol."""

    error_name = "Malformed"
    remedy = "run the simulator that this version was made for"


# --- from the wire ----------------------------------------------------------------------------


def read_entry(fields: list[str]) -> NodeEntry:
    """One `NODE` line of a list; `ValueError` for any other line."""
    if fields[0] != "NODE":
        raise ValueError("expected a NODE line")
    return NodeEntry(
        state=NODE_STATES[fields[1]],
        shard=parse_optional(fields[2], int) or 0,
        zone=parse_optional(fields[3], str) or "",
        started_at=parse_optional(fields[4], float) or None,
        machine=parse_optional(fields[5], str) or "",
        weight=parse_optional(fields[6], float) or 0.0,
        node=fields[7],
    )


def read_request(fields: list[str]) -> RequestArrived:
    """A `NEW_REQUEST` line; a negative shard means none."""
    shard = parse_optional(fields[3], int)
    flags = parse_optional(fields[4], int) or 0
    return RequestArrived(
        request=fields[2],
        shard=None if shard is None or shard < 0 else shard,
        is_retry=bool(flags & FLAG_RETRY),
        is_write=bool(flags & FLAG_WRITE),
        request_class=fields[5],
        volume_hosts=parse_optional(fields[6], int),
        units=parse_optional(fields[7], int) or 1,
        volume=parse_optional(fields[8], str) or "",
        expires_in=float(fields[9]),
        key=parse_optional(fields[10], str),
        plan=parse_optional(fields[11], str) or "",
    )


def read_attempt_ended(fields: list[str]) -> AttemptEnded:
    """A `SETTLED` line; the use of the plan's rate is given as percent plus 1, or 0 if not reported."""
    usage = parse_optional(fields[8], int) or 0
    return AttemptEnded(
        request=fields[2],
        attempt=int(fields[3]),
        node=fields[4],
        outcome=OUTCOMES[fields[5]],
        latency=parse_optional(fields[6], float) or 0.0,
        finished=parse_flag(fields[7]),
        usage_ratio=(usage - 1) / PERCENT if usage > 0 else None,
        remote_units=parse_optional(fields[9], int) or 0,
    )


def read_stream_started(fields: list[str]) -> StreamStarted:
    """A `HEADERS` line."""
    return StreamStarted(fields[2], int(fields[5]), fields[3], parse_optional(fields[4], float) or 0.0)


def read_health_check(fields: list[str]) -> HealthCheckEnded:
    """A `PING_RESULT` line."""
    return HealthCheckEnded(fields[2], parse_optional(fields[3], float) or 0.0, OUTCOMES[fields[4]])


def read_peer_message(fields: list[str]) -> PeerMessage:
    """An `INBOX` line."""
    return PeerMessage(int(fields[2]), bytes.fromhex(parse_optional(fields[3], str) or ""))


READERS: dict[str, Callable[[list[str]], Event]] = {
    "NEW_REQUEST": read_request,
    "SETTLED": read_attempt_ended,
    "BELL": lambda fields: TimerFired(int(fields[2])),
    "ABANDONED": lambda fields: ClientDisconnected(fields[2]),
    "HEADERS": read_stream_started,
    "PING_RESULT": read_health_check,
    "INBOX": read_peer_message,
}


# --- to the wire ------------------------------------------------------------------------------


def format_time(value: float | None) -> str:
    """A time or a duration, in the simulator's resolution of a microsecond."""
    return "-" if value is None else f"{value:.6f}"


WRITERS: dict[type, Callable[[str, Any], str]] = {
    Send: lambda host, action: f"PLACE {host} {action.request} {action.node} {format_time(action.timeout)}",
    Cancel: lambda host, action: f"DROP_ATTEMPT {host} {action.request} {action.attempt}",
    Reject: lambda host, action: f"SAY_NO {host} {action.request} {format_time(action.retry_after)}",
    Fail: lambda host, action: f"REPORT_FAILURE {host} {action.request}",
    SetTimer: lambda host, action: f"DEFER {host} {format_time(action.at)} {action.token}",
    WatchNodes: lambda host, action: f"TRACK {host} {int(action.active)}",
    FetchNodes: lambda host, _: f"SNAPSHOT {host}",
    HealthCheck: lambda host, action: f"PROBE {host} {action.node}",
    CloseIdleConnections: lambda host, action: f"RELEASE {host} {action.node}",
    LogLine: lambda host, action: f"DEBUG {host} {' '.join(action.text.split())}",
}


def write_action(host: str, action: Action) -> str:
    """The line of a reply for an action."""
    return WRITERS[type(action)](host, action)


class Batch:
    """One batch: new and ended instances, and events by instance in the order of their lines."""

    def __init__(self) -> None:
        self.events: dict[str, list[Event]] = {}
        self.new: dict[str, Settings] = {}

    def add(self, host: str, event: Event) -> None:
        """Add an event of an instance."""
        self.events.setdefault(host, []).append(event)

    def start(self, host: str, settings: Settings) -> None:
        """Add a new instance; earlier events of an instance of this name in the batch are dropped."""
        self.new[host] = settings
        self.events[host] = []

    def stop(self, host: str) -> None:
        """Remove an instance."""
        self.new.pop(host, None)
        self.events.pop(host, None)


class Wire:
    """Reads batches, steps their instances, and writes one reply per batch.  It owns the instances."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.hosts: dict[str, Scheduler] = {}
        self._line = ""  # the last one read, for error messages

    def run(self) -> None:
        """Answer batch after batch until the input ends.

        Raises:
            WireError: a line is malformed, or the input ends inside a batch.
        """
        while True:
            text = self.source.readline()
            if not text:
                return
            self._line = text.rstrip("\n")
            if not self._line:
                continue
            try:
                reply = self.reply(self._line.split(" "))
            except (ValueError, IndexError, KeyError) as error:
                reason = f"{type(error).__name__}: {error}"
                raise WireError(f"malformed line: {self._line!r} ({reason})") from error
            self.sink.write("\n".join(reply) + "\n")
            self.sink.flush()

    def reply(self, head: list[str]) -> list[str]:
        """The lines that answer the batch which begins with a `TICK` line."""
        if head[0] != "TICK":
            raise ValueError("expected a TICK line")
        now = float(head[1])
        batch = self._read_batch()
        reply: list[str] = []
        for host, events in batch.events.items():
            try:
                if host in batch.new:
                    self.hosts[host] = Scheduler(batch.new[host], now)
                scheduler = self.hosts.get(host)
                actions = scheduler.step(now, events) if scheduler else []
            except Exception as error:  # the protocol reports every failure of a scheduler to the simulator
                reply.append(f"BROKEN {host} {type(error).__name__}: {' '.join(str(error).split())}")
                continue
            reply.extend(write_action(host, action) for action in actions)
        reply.append("READY")
        return reply

    def _read_batch(self) -> Batch:
        """Read the rest of a batch, up to its end line."""
        batch = Batch()
        while (fields := self._next_line())[0] != "EOF_BATCH":
            kind = fields[0]
            if kind in READERS:
                batch.add(fields[1], READERS[kind](fields))
            elif kind == "PEERS_KNOWN":
                batch.add(fields[1], self._read_update(fields))
            elif kind == "NEW_INSTANCE":
                batch.start(fields[1], read_settings(int(fields[2]), read_pairs(fields[3:])))
            elif kind == "SHUTDOWN":
                self.hosts.pop(fields[1], None)
                batch.stop(fields[1])
            elif kind:
                raise ValueError("unknown message")
        return batch

    def _read_update(self, fields: list[str]) -> DiscoveryUpdate:
        """A `PEERS_KNOWN` line and the `NODE` lines that follow it."""
        kind = UPDATE_KINDS[fields[2]]
        version = parse_optional(fields[3], int) or 0
        count = parse_optional(fields[4], int) or 0
        return DiscoveryUpdate(kind, version, [read_entry(self._next_line()) for _ in range(count)])

    def _next_line(self) -> list[str]:
        """The fields of the next line; the end of the input is an error."""
        text = self.source.readline()
        if not text:
            raise WireError("input ended inside a batch")
        self._line = text.rstrip("\n")
        return self._line.split(" ")


def main() -> int:
    """Run on standard input and output; the exit status is 2 where the input is malformed."""
    try:
        Wire(sys.stdin, sys.stdout).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"mallowbeam: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
