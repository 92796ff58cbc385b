"""Speaks the simulator's wire on standard input and output, and the module's interface inside.

Holds many instances, each a `Scheduler` of its own with nothing shared between them.  Nothing is
decided here: every line is translated, one for one.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TextIO

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
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
from mallowbeam.storage_gateway.scheduler.settings import flag, opt, read_pairs, read_settings

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
LIST_KINDS = {
    "patch": DiscoveryUpdateKind.DELTA,
    "whole": DiscoveryUpdateKind.FULL,
    "stale_copy": DiscoveryUpdateKind.CACHED,
    "broken": DiscoveryUpdateKind.FAILED,
}
STATES = {"live": NodeState.READY, "quiescing": NodeState.DRAINING, "dead": NodeState.REMOVED}
FLAG_RETRY, FLAG_WRITE = 2, 4


class WireError(MallowbeamError):
    """A line that does not follow the simulator's wire."""

    error_name = "Malformed"
    remedy = "run the simulator that this version was made for"


def read_entry(p: list[str]) -> NodeEntry:
    """One `NODE` line of a list."""
    if p[0] != "NODE":
        raise ValueError("expected a NODE line")
    return NodeEntry(
        state=STATES[p[1]],
        shard=opt(p[2], int) or 0,
        zone=opt(p[3], str) or "",
        started_at=opt(p[4]) or None,
        machine=opt(p[5], str) or "",
        weight=opt(p[6]) or 0.0,
        node=p[7],
    )


def read_request(p: list[str]) -> RequestArrived:
    """A `NEW_REQUEST` line."""
    shard, bits = opt(p[3], int), opt(p[4], int) or 0
    return RequestArrived(
        request=p[2],
        shard=None if shard is None or shard < 0 else shard,
        is_retry=bool(bits & FLAG_RETRY),
        is_write=bool(bits & FLAG_WRITE),
        request_class=p[5],
        volume_hosts=opt(p[6], int),
        units=opt(p[7], int) or 1,
        volume=opt(p[8], str) or "",
        expires_in=float(p[9]),
        key=opt(p[10], str),
        plan=opt(p[11], str) or "",
    )


def read_settled(p: list[str]) -> AttemptEnded:
    """A `SETTLED` line."""
    used = opt(p[8], int) or 0
    return AttemptEnded(
        request=p[2],
        attempt=int(p[3]),
        node=p[4],
        outcome=OUTCOMES[p[5]],
        latency=opt(p[6]) or 0.0,
        finished=flag(p[7]),
        usage_ratio=(used - 1) / 100.0 if used > 0 else None,
        remote_units=opt(p[9], int) or 0,
    )


READERS: dict[str, Callable[[list[str]], Event]] = {
    "NEW_REQUEST": read_request,
    "SETTLED": read_settled,
    "BELL": lambda p: TimerFired(int(p[2])),
    "ABANDONED": lambda p: ClientDisconnected(p[2]),
    "HEADERS": lambda p: StreamStarted(p[2], int(p[5]), p[3], opt(p[4]) or 0.0),
    "PING_RESULT": lambda p: HealthCheckEnded(p[2], opt(p[3]) or 0.0, OUTCOMES[p[4]]),
    "INBOX": lambda p: PeerMessage(int(p[2]), bytes.fromhex(opt(p[3], str) or "")),
}


def seconds(value: float) -> str:
    """Microseconds are as fine as the simulator counts."""
    return f"{value:.6f}"


WRITERS: dict[type, Callable[[str, object], str]] = {
    Send: lambda h, a: f"PLACE {h} {a.request} {a.node} "
    f"{'-' if a.timeout is None else seconds(a.timeout)}",
    Cancel: lambda h, a: f"DROP_ATTEMPT {h} {a.request} {a.attempt}",
    Reject: lambda h, a: f"SAY_NO {h} {a.request} "
    f"{'-' if a.retry_after is None else seconds(a.retry_after)}",
    Fail: lambda h, a: f"REPORT_FAILURE {h} {a.request}",
    SetTimer: lambda h, a: f"DEFER {h} {seconds(a.at)} {a.token}",
    WatchNodes: lambda h, a: f"TRACK {h} {int(a.active)}",
    FetchNodes: lambda h, a: f"SNAPSHOT {h}",
    HealthCheck: lambda h, a: f"PROBE {h} {a.node}",
    CloseIdleConnections: lambda h, a: f"RELEASE {h} {a.node}",
    LogLine: lambda h, a: f"DEBUG {h} {' '.join(a.text.split())}",
}


class Wire:
    """Reads batches, steps the instances they name and writes one reply a batch."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.hosts: dict[str, Scheduler] = {}

    def line(self) -> list[str]:
        """The next line in its parts; the end of input inside a batch is an error."""
        text = self.source.readline()
        if not text:
            raise WireError("input ended inside a batch")
        self.text = text.rstrip("\n")
        return self.text.split(" ")

    def run(self) -> None:
        """Answer batch after batch until the input ends."""
        while True:
            self.text = self.source.readline()
            if not self.text:
                return
            self.text = self.text.rstrip("\n")
            if not self.text:
                continue
            try:
                reply = self.batch(self.text.split(" "))
            except (ValueError, IndexError, KeyError) as error:
                raise WireError(f"malformed line: {self.text!r} ({type(error).__name__}: {error})") from error
            self.sink.write("\n".join(reply) + "\n")
            self.sink.flush()

    def batch(self, head: list[str]) -> list[str]:
        """One batch, from its TICK line to its end, and the lines of the reply."""
        if head[0] != "TICK":
            raise ValueError("expected a TICK line")
        now = float(head[1])
        events: dict[str, list[Event]] = {}
        fresh: dict[str, Settings] = {}
        while (p := self.line())[0] != "EOF_BATCH":
            kind = p[0]
            if not p[0]:
                continue
            if kind == "NEW_INSTANCE":
                fresh[p[1]] = read_settings(int(p[2]), read_pairs(p[3:]))
                events[p[1]] = []
            elif kind == "SHUTDOWN":
                for table in (self.hosts, fresh, events):
                    table.pop(p[1], None)
            elif kind == "PEERS_KNOWN":
                kind_of, version, count = LIST_KINDS[p[2]], opt(p[3], int) or 0, opt(p[4], int) or 0
                entries = [read_entry(self.line()) for _ in range(count)]
                events.setdefault(p[1], []).append(DiscoveryUpdate(kind_of, version, entries))
            elif kind in READERS:
                events.setdefault(p[1], []).append(READERS[kind](p))
            else:
                raise ValueError("unknown message")
        reply: list[str] = []
        for host, batch in events.items():
            try:
                if host in fresh:
                    self.hosts[host] = Scheduler(fresh[host], now)
                scheduler = self.hosts.get(host)
                actions = scheduler.step(now, batch) if scheduler else []
            except Exception as error:  # the wire wants every failure of the module said as such
                reply.append(f"BROKEN {host} {type(error).__name__}: {' '.join(str(error).split())}")
                continue
            reply.extend(WRITERS[type(action)](host, action) for action in actions)
        reply.append("READY")
        return reply


def main() -> int:
    """Run on standard input and output."""
    try:
        Wire(sys.stdin, sys.stdout).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"mallowbeam: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
