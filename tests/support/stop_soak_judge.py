"""Judges rules LOST and ORDER around planned stops: from what clients sent and what instances ran.

What a process has read of a connection is what was sent less what waits in the two sockets' queues, which
`/proc/net/tcp` shows. It is looked at every `LOOK_S`; what a process reads right before it ends goes unseen,
so the judge may miss a loss but reports none that did not happen. Times are in seconds of the monotonic
clock.
"""

from __future__ import annotations

import socket
import struct
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

from soak_judge import GRACE_S, LOSS_SLACK_S
from stream_order import order_violation

LOOK_S = 0.03
CLOSE_WAIT = 8  # TCP state of a socket whose peer has ended the connection
TCP_TABLE = Path("/proc/net/tcp")
MAX_OTHER_LOSSES = 3  # at one gateway, of requests that were passed on, while it was not stopping
LATE_S = 3.0  # after SIGTERM; a request sent later may not be cut, however long its instance works
LAST_PART_S = GRACE_S * 5 / 6  # after SIGTERM; an instance still at work from then on excuses a cut
AFTER_GRACE_S = 1.0  # a stop counts for so long after the grace period


@dataclass(slots=True)
class Sent:
    """A request as its client sent it."""

    id: str
    path: str
    time_limit_s: float  # the smaller of the client's deadline and the route's time-out
    end: int = 0  # offset of its last byte on the connection
    sent_at: float = inf  # when its last byte was written
    read_at: float = inf  # when the gateway was first seen to have read it
    too_late: bool = False  # the gateway's end of the connection had arrived before its last byte was sent
    stream: bytearray = field(default_factory=bytearray)  # the body that has come, if it is a stream


@dataclass(eq=False)
class SentConnection:
    """A client's connection: what was sent on it and has no complete answer."""

    gateway: str
    key: tuple[str, str]  # both ends as the kernel's table names them, the gateway's first
    written: int = 0  # bytes given to the kernel
    waiting: list[Sent] = field(default_factory=list)
    given_up: bool = False  # its client ended it, after a silence

    def look(self, queued: int, now: float) -> None:
        """Note which requests the gateway has read, as `queued` bytes have not been."""
        for sent in self.waiting:
            if sent.end and sent.read_at == inf and sent.end <= self.written - queued:
                sent.read_at = now


@dataclass
class Run:
    """What an instance did with a request."""

    begun_at: float
    ended_at: float = inf


def connection_key(sock: socket.socket) -> tuple[str, str]:
    """The two ends of a client's socket as the kernel's table names them, the gateway's first."""
    return _as_listed(sock.getpeername()), _as_listed(sock.getsockname())


def _as_listed(address: tuple[str, int]) -> str:
    ip = struct.unpack("=I", socket.inet_aton(address[0]))[0]
    return f"{ip:08X}:{address[1]:04X}"


def peer_has_ended(sock: socket.socket) -> bool:
    """Whether the peer's end of the connection has arrived, noticed by this process or not."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == CLOSE_WAIT


def queued_bytes(port: str) -> dict[tuple[str, str], tuple[int, int]]:
    """Bytes to send and bytes unread of each TCP connection of a port, by its two ends."""
    queues = {}
    for line in TCP_TABLE.read_text().splitlines():
        if port not in line:
            continue
        _, local, remote, _, queued, *_ = line.split(maxsplit=5)
        to_send, _, unread = queued.partition(":")
        queues[local, remote] = int(to_send, 16), int(unread, 16)
    return queues


class StopJudge:
    """Collects the violations of the rule, and counts what was judged."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.judged: Counter[str] = Counter()
        self.open: set[SentConnection] = set()
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.last_events: defaultdict[str, set[int]] = defaultdict(
            set
        )  # of the instances' streams, by request
        self._stops: defaultdict[str, list[float]] = defaultdict(list)
        self._late: list[tuple[float, float]] = []
        self._other_losses: Counter[str] = Counter()

    def was_late(self, since: float, until: float) -> None:
        """Record a span in which this process did not run: it saw what happened at its end."""
        self._late.append((since, until))

    def _late_s(self, since: float, until: float) -> float:
        """How much of a span this process did not run."""
        spans = ((max(since, one), min(until, other)) for one, other in self._late)
        return sum(max(0.0, end - begin) for begin, end in spans)

    def stop_sent(self, gateway: str, at: float) -> None:
        """Record SIGTERM at a gateway."""
        self._stops[gateway].append(at)
        self.judged["stops"] += 1

    def look(self) -> None:
        """Note what the gateways have read so far."""
        if not self.open:
            return
        port = next(iter(self.open)).key[0].partition(":")[2]
        queues, now = queued_bytes(f":{port} "), time.monotonic()
        for connection in self.open:
            gateway, client = connection.key
            if (gateway, client) in queues:
                unread = queues[gateway, client][1] + queues.get((client, gateway), (0, 0))[0]
                connection.look(unread, now)

    def ended(self, connection: SentConnection, at: float) -> None:
        """Judge the requests that a connection's end left without a complete answer."""
        self.open.discard(connection)
        for sent in connection.waiting:
            if sent.stream:
                self.stream_ended(sent, complete=False)
            if sent.end:
                self.judged["without an answer"] += 1
                if connection.given_up:
                    self.judged["given up by the client"] += 1
                    continue
                self._judge(connection.gateway, sent, at)

    def stream_ended(self, sent: Sent, complete: bool) -> None:
        """Judge the order of a stream's events, as far as they have come."""
        self.judged["streams, complete" if complete else "streams, cut"] += 1
        wrong = order_violation(sent.stream, complete, self.last_events[sent.id])
        if wrong is not None:
            self.violations.append(f"ORDER: {sent.id} {sent.path}: {wrong}")

    def _judge(self, gateway: str, sent: Sent, at: float) -> None:
        runs = self.runs.get(sent.id, [])
        waited_s = at - sent.sent_at
        if waited_s >= sent.time_limit_s:
            self.judged["excused: time limit"] += 1
        elif at > self._stop_before(gateway, at) + GRACE_S + AFTER_GRACE_S:
            self._judge_apart_from_stops(gateway, sent, runs, at)
        elif not runs and sent.read_at == inf:
            self.judged["unread at the close"] += 1
        elif not runs and (sent.too_late or waited_s - self._late_s(sent.sent_at, at) <= LOSS_SLACK_S):
            self.judged["crossed the close"] += 1
        elif self._was_long_at_work(gateway, sent, runs):
            self.judged["excused: at work to the end"] += 1
        else:
            self.violations.append(
                f"LOST: {sent} at {gateway}, {self._circumstances(gateway, sent, runs, at)}"
            )

    def _judge_apart_from_stops(self, gateway: str, sent: Sent, runs: list[Run], at: float) -> None:
        """Judge a request without an answer at a gateway that is not stopping; all instances are sound."""
        if not runs:
            self.judged["not around a stop"] += 1
            return
        self.judged["not around a stop, passed on"] += 1
        self._other_losses[gateway] += 1
        if self._other_losses[gateway] > MAX_OTHER_LOSSES:
            self.violations.append(
                f"LOST: {sent} at {gateway}, apart from stops; {self._circumstances(gateway, sent, runs, at)}"
            )

    def _was_long_at_work(self, gateway: str, sent: Sent, runs: Iterable[Run]) -> bool:
        stopped_at = self._stop_before(gateway, sent.sent_at + GRACE_S)
        last_part = stopped_at + LAST_PART_S
        return sent.sent_at <= stopped_at + LATE_S and any(run.ended_at >= last_part for run in runs)

    def _stop_before(self, gateway: str, at: float) -> float:
        return max((one for one in self._stops[gateway] if one <= at), default=-inf)

    def _circumstances(self, gateway: str, sent: Sent, runs: list[Run], at: float) -> str:
        """The times of a loss, in seconds after the gateway's last stop before it."""
        stop = self._stop_before(gateway, at)
        ran = [(round(run.begun_at - stop, 3), round(run.ended_at - stop, 3)) for run in runs]
        return (
            f"after its stop: sent {sent.sent_at - stop:.3f}, read {sent.read_at - stop:.3f}, ran {ran}, "
            f"ended {at - stop:.3f}"
        )
