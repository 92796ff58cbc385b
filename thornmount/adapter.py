"""Speaks the simulator's wire on standard input and output, and the module's interface inside.

Holds many instances, each a `Scheduler` of its own with nothing shared between them.  Nothing is
decided here: every line is translated, one for one.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from thornmount import interface as io
from thornmount.decide import Scheduler

OUTCOMES = {"S": io.Outcome.OK, "E": io.Outcome.ERROR, "F": io.Outcome.REJECTED, "T": io.Outcome.TIMEOUT,
            "C": io.Outcome.NO_CONNECTION, "R": io.Outcome.RESET, "X": io.Outcome.CANCELLED,
            "N": io.Outcome.NOT_SENT}
LIST_KINDS = {"patch": io.ListKind.CHANGES, "whole": io.ListKind.FULL, "stale_copy": io.ListKind.CACHED,
              "broken": io.ListKind.FAILED}
STATES = {"live": io.NodeState.READY, "quiescing": io.NodeState.DRAINING, "dead": io.NodeState.GONE}
SCOPES = {"all": io.Scope.ALL, "zone": io.Scope.ZONE, "cell": io.Scope.SHARD}
FLAG_RETRY, FLAG_WRITE = 2, 4


class Malformed(Exception):
    """A line that does not follow the wire."""


def opt(part: str, convert: Callable = float):
    """A value, or None where the wire marks it absent."""
    return None if part == "-" else convert(part)


def flag(part: str) -> bool:
    """A wire bool as message fields (1, 0) and settings (true, false) write it."""
    if part in ("1", "true"):
        return True
    if part in ("0", "false", "-"):
        return False
    raise ValueError(f"not a bool: {part}")


def read_settings(seed: str, pairs: list[str]) -> io.Settings:
    """The start-up pairs as `Settings`; unknown ones are skipped."""
    raw: dict[str, str] = {}
    for pair in pairs:
        path, sep, value = pair.partition("=")
        if not sep:
            raise ValueError(f"not a path=value pair: {pair}")
        raw[path] = value

    def get(path: str, convert: Callable = float, default=None):
        value = raw.get(path, "-")
        return default if value in ("-", "") else convert(value)

    def items(path: str) -> Iterator[str]:
        return (f"{path}.{i}." for i in range(get(f"{path}.count", int, 0)))

    classes = [io.RequestClass(
        name=get(p + "Name", str, ""), worth=get(p + "Credit", float, 1.0), aim=get(p + "OnTime", float, 1.0),
        deadline=get(p + "HardLimit", float, 1.0), late_worth=get(p + "LateWorth", float, 0.0),
        repeat=io.Repeat(get(p + "Idempotency", str, "unsafe")),
        scope=get(p + "KeyScope", SCOPES.__getitem__, io.Scope.ALL),
        repeat_window=get(p + "Window", float, 0.0), streamed=get(p + "Stream", flag, False),
        ordered=get(p + "InOrder", flag, False)) for p in items("Classes")]
    plans = [io.Plan(
        name=get(p + "Name", str, ""), rate=get(p + "Nominal", float, 0.0),
        reserve=get(p + "Reservation", float, 0.0), weight=get(p + "Shares", float, 1.0),
        price=get(p + "Pays", float, 1.0), limit=get(p + "Limit", float, 0.0),
        limit_burst=get(p + "MostAtOnce", float, 0.0),
        limit_slack=get(p + "Tolerance", float, 0.0)) for p in items("Plans")]
    g = "Guarantees."
    return io.Settings(
        seed=int(seed), host_index=get("MyNumber", int, 0), hosts=get("Balancers", int, 1),
        zone=get("Zone", str, ""), tick=get("Resolution", float, 0.001),
        classes={c.name: c for c in classes}, plans={p.name: p for p in plans},
        usual_units=get("FamilyInfo.UsualUnits", float, 1.0),
        units_top=get("FamilyInfo.UnitsTop", int, 1), share_worth=get("FamilyInfo.FairWorth", float, 1.0),
        spare_worth=get("FamilyInfo.SpareWorth", float, 1.0),
        meter_period=get("FamilyInfo.UsePeriod", float, 0.0),
        tells_elsewhere=get("FamilyInfo.TellsElsewhere", flag, False),
        may_cancel=get("Ceilings.Cancel", flag, False), may_probe=get("Ceilings.MayProbe", flag, False),
        may_duplicate=get("Ceilings.MayDuplicate", flag, False),
        max_attempts=get("Ceilings.TryLimit", int), retry_after=get("Ceilings.RetryAfter", flag, False),
        max_retry_after=get("Ceilings.MaxRetryAfter", float, 0.0),
        discovery_on_request=get("Discovery", str, "pushed") == "on_request",
        ask_every=get(g + "AskEvery"), drain_grace=get(g + "DrainGrace"),
        cold_units=get("FamilyInfo.ColdBears"), cold_start=get(g + "StartCapacity", float, 1.0),
        cold_time=get(g + "Cold"), fall_multiple=get(g + "TipMultiple"), fall_window=get(g + "Fall"),
        order_settle=get(g + "OrderSettle", float, 0.0), budget_floor=get(g + "ExtraFloor"),
        budget_share=get(g + "ExtraPerRequest", float, 0.0),
        budget_window=get(g + "CountedOver", float, 0.0))


def read_entry(p: list[str]) -> io.NodeEntry:
    """One `NODE` line of a list."""
    if p[0] != "NODE":
        raise ValueError("expected a NODE line")
    return io.NodeEntry(state=STATES[p[1]], shard=opt(p[2], int) or 0, zone=opt(p[3], str) or "",
                        since=opt(p[4]) or None, machine=opt(p[5], str) or "",
                        weight=opt(p[6]) or 0.0, node=p[7])


def read_request(p: list[str]) -> io.RequestArrived:
    """A `NEW_REQUEST` line."""
    shard, bits = opt(p[3], int), opt(p[4], int) or 0
    return io.RequestArrived(
        request=p[2], shard=None if shard is None or shard < 0 else shard, is_retry=bool(bits & FLAG_RETRY),
        is_write=bool(bits & FLAG_WRITE), cls=p[5], hosts_of_volume=opt(p[6], int),
        units=opt(p[7], int) or 1, volume=opt(p[8], str) or "", expires_in=float(p[9]),
        key=opt(p[10], str), plan=opt(p[11], str) or "")


def read_settled(p: list[str]) -> io.AttemptEnded:
    """A `SETTLED` line."""
    used = opt(p[8], int) or 0
    return io.AttemptEnded(
        request=p[2], attempt=int(p[3]), node=p[4], outcome=OUTCOMES[p[5]], latency=opt(p[6]) or 0.0,
        finished=flag(p[7]), used=(used - 1) / 100.0 if used > 0 else None, elsewhere=opt(p[9], int) or 0)


READERS: dict[str, Callable[[list[str]], io.Event]] = {
    "NEW_REQUEST": read_request,
    "SETTLED": read_settled,
    "BELL": lambda p: io.TimerFired(int(p[2])),
    "ABANDONED": lambda p: io.ClientGone(p[2]),
    "HEADERS": lambda p: io.StreamStarted(p[2], int(p[5]), p[3], opt(p[4]) or 0.0),
    "PING_RESULT": lambda p: io.ProbeEnded(p[2], opt(p[3]) or 0.0, OUTCOMES[p[4]]),
    "INBOX": lambda p: io.PeerMessage(int(p[2]), bytes.fromhex(opt(p[3], str) or "")),
}


def seconds(value: float) -> str:
    """Microseconds are as fine as the simulator counts."""
    return f"{value:.6f}"


WRITERS: dict[type, Callable[[str, object], str]] = {
    io.Send: lambda h, a: f"PLACE {h} {a.request} {a.node} "
                          f"{'-' if a.timeout is None else seconds(a.timeout)}",
    io.Cancel: lambda h, a: f"DROP_ATTEMPT {h} {a.request} {a.attempt}",
    io.Refuse: lambda h, a: f"SAY_NO {h} {a.request} "
                            f"{'-' if a.retry_after is None else seconds(a.retry_after)}",
    io.Fail: lambda h, a: f"REPORT_FAILURE {h} {a.request}",
    io.SetTimer: lambda h, a: f"DEFER {h} {seconds(a.at)} {a.token}",
    io.Watch: lambda h, a: f"TRACK {h} {int(a.active)}",
    io.FetchNodes: lambda h, a: f"SNAPSHOT {h}",
    io.Probe: lambda h, a: f"PROBE {h} {a.node}",
    io.CloseIdle: lambda h, a: f"RELEASE {h} {a.node}",
    io.Note: lambda h, a: f"DEBUG {h} {' '.join(a.text.split())}",
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
            raise Malformed("input ended inside a batch")
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
                raise Malformed(f"malformed line: {self.text!r} ({type(error).__name__}: {error})") from error
            self.sink.write("\n".join(reply) + "\n")
            self.sink.flush()

    def batch(self, head: list[str]) -> list[str]:
        """One batch, from its TICK line to its end, and the lines of the reply."""
        if head[0] != "TICK":
            raise ValueError("expected a TICK line")
        now = float(head[1])
        events: dict[str, list[io.Event]] = {}
        fresh: dict[str, io.Settings] = {}
        while (p := self.line())[0] != "EOF_BATCH":
            kind = p[0]
            if not p[0]:
                continue
            if kind == "NEW_INSTANCE":
                fresh[p[1]] = read_settings(p[2], p[3:])
                events[p[1]] = []
            elif kind == "SHUTDOWN":
                for table in (self.hosts, fresh, events):
                    table.pop(p[1], None)
            elif kind == "PEERS_KNOWN":
                kind_of, version, count = LIST_KINDS[p[2]], opt(p[3], int) or 0, opt(p[4], int) or 0
                entries = [read_entry(self.line()) for _ in range(count)]
                events.setdefault(p[1], []).append(io.NodesListed(kind_of, version, entries))
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
    except (Malformed, UnicodeDecodeError) as error:
        print(f"thornmount: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
