"""The engine's transport between members, with live-checked links and faster repair of followers' logs.

The engine dials, frames and reads; this transport adds liveness checks and handles repeated entries.

Links.  The member with the greater address dials.  Every link carries a ping both ways each
`PING_INTERVAL_S`, so that silence means a fault: past the engine's `connectionTimeout` both ends close the
link, and the one that dials dials again.  (The engine checks that timeout only when it sends, and followers
send each other nothing: without pings their links would be closed at the first request for a vote, and the
vote lost with them.)  A dial that does not complete, and a caller that does not identify itself, time out
after the same time.  A dial has a number: a newer link replaces the older one and closes it; a link that
arrives late, after waiting at a process that was stopped, is rejected with all messages on it.

Entries.  A follower whose log has diverged from its leader's asks for the entries after its own commit index:
all entries up to it are in every leader's log, so one response is enough.  (The engine goes back by one entry
with each response, some ten a second.  While a majority does so nothing is committed, and the heartbeats that
accumulate meanwhile have to be gone back over after the next election: this can grow without bound.)  Entries
that a follower has already are skipped, never removed and added again; an acknowledgement counts only in the
term in which it was given.
"""

from __future__ import annotations

import itertools
import time
from typing import Any

from pysyncobj.node import Node
from pysyncobj.tcp_connection import CONNECTION_STATE, TcpConnection
from pysyncobj.transport import TCPTransport

PING_INTERVAL_S = 0.3  # several pings fit into any `connectionTimeout`
INDEX = 1  # position in an entry of the engine's journal: command, index, term
TERM = 2
LEADER = 2  # the engine's states: follower, candidate, leader

Message = dict[str, Any]  # of the engine

STATES = {
    CONNECTION_STATE.DISCONNECTED: "down",
    CONNECTION_STATE.CONNECTING: "dialling",
    CONNECTION_STATE.CONNECTED: "up",
}


class RaftTransport(TCPTransport):  # type: ignore[misc]
    """The engine's transport; all of it runs in the engine's thread."""

    def __init__(self, engine: Any, own: Node, others: set[Node]) -> None:
        self.incarnation = time.time_ns()
        self.dial_numbers = itertools.count(1)
        self.newest_dial: dict[Node, tuple[int, int]] = {}  # by dialling member: its incarnation and number
        self.link_changed_at: dict[Node, float] = {}  # when a link came up or went down
        self.unidentified: dict[TcpConnection, float] = {}  # callers, by when they connected
        self.pinged_at = 0.0
        self.ticked_at = 0.0
        self.slowest_tick = 0.0  # the longest time between two ticks, in seconds
        self.log_rewinds = 0  # responses that asked for older entries
        super().__init__(engine, own, others)

    # --- links ------------------------------------------------------------------------------------

    def _sendSelfAddress(self, conn: TcpConnection) -> None:
        conn.send((self._selfNode.address, self.incarnation, next(self.dial_numbers)))

    def _onNewIncomingConnection(self, conn: TcpConnection) -> None:
        super()._onNewIncomingConnection(conn)
        self.unidentified[conn] = time.monotonic()

    def _onIncomingMessageReceived(self, conn: TcpConnection, message: Any) -> None:
        """A caller's first message must identify it as a member; any other caller is disconnected."""
        match message:
            case (str(address), int(incarnation), int(number)) if (node := self._nodeAddrToNode.get(address)):
                pass
            case _:
                conn.disconnect()
                return
        if self._shouldConnect(node) or self._is_late(node, incarnation, number):
            conn.disconnect()
            return
        self.newest_dial[node] = (incarnation, number)
        self.unidentified.pop(conn, None)
        replaced = self._connections.get(node)
        super()._onIncomingMessageReceived(conn, address)
        if replaced is not None and replaced is not conn:
            replaced.disconnect()  # its unread messages are dropped

    def _is_late(self, node: Node, incarnation: int, number: int) -> bool:
        """Whether a link is older than the current one; accepting it would lose the responses on that one."""
        newest = self.newest_dial.get(node)
        return newest is not None and newest[0] == incarnation and number < newest[1]

    def _onDisconnected(self, conn: TcpConnection) -> None:
        self.unidentified.pop(conn, None)
        super()._onDisconnected(conn)

    def _onNodeConnected(self, node: Node) -> None:
        self.link_changed_at[node] = time.monotonic()
        super()._onNodeConnected(node)

    def _onNodeDisconnected(self, node: Node) -> None:
        self.link_changed_at[node] = time.monotonic()
        super()._onNodeDisconnected(node)

    def _onTick(self) -> None:
        super()._onTick()
        now = time.monotonic()
        self.slowest_tick = max(self.slowest_tick, now - (self.ticked_at or now))
        self.ticked_at = now
        if now < self.pinged_at + PING_INTERVAL_S:
            return
        self.pinged_at = now
        timed_out_before = now - self._syncObj.conf.connectionTimeout
        for node, conn in list(self._connections.items()):
            if conn.state == CONNECTION_STATE.CONNECTED:
                # As it sends, the engine closes a link that was silent for too long.
                conn.send({"type": "ping"})
            elif (
                conn.state == CONNECTION_STATE.CONNECTING
                and self._lastConnectAttempt[node] < timed_out_before
            ):
                conn.disconnect()
        for conn in [
            conn for conn, connected_at in self.unidentified.items() if connected_at < timed_out_before
        ]:
            conn.disconnect()

    # --- entries ----------------------------------------------------------------------------------

    def send(self, node: Node, message: Message) -> bool:
        """Send a message if the link is up."""
        if message["type"] == "next_node_idx":
            message["term"] = self._syncObj.raftCurrentTerm
            rejected = message["reset"] and not message["success"]
            if rejected and message["next_node_idx"] <= self._log[-1][INDEX]:
                self.log_rewinds += 1
                message["next_node_idx"] = min(message["next_node_idx"], self._syncObj.raftCommitIndex + 1)
        return bool(super().send(node, message))

    def _onMessageReceived(self, node: Node, message: Message) -> None:
        kind = message["type"]
        if kind == "ping":
            return
        if kind == "next_node_idx" and message["term"] != self._syncObj.raftCurrentTerm:
            return
        matched_index = 0
        if kind == "append_entries" and message["term"] >= self._syncObj.raftCurrentTerm:
            matched_index = self._skip_known_entries(message)
        super()._onMessageReceived(node, message)
        if matched_index:
            acknowledgement = {"type": "next_node_idx", "next_node_idx": matched_index + 1}
            self.send(node, {**acknowledgement, "reset": False, "success": True})

    def _skip_known_entries(self, message: Message) -> int:
        """Remove from a leader's message the entries that this log has already.

        Entries that differ from this log stay in the message; the engine removes its own from there on. If no
        new entry is left and this log goes further, the message is an old one and shows only up to which
        index both logs agree. Returns that index, which is to be acknowledged, otherwise 0.
        """
        log = self._log
        index = message.get("prevLogIdx")
        first = log[0][INDEX]
        last = log[-1][INDEX]
        if index is None or "transmission" in message or not first <= index < last:
            return 0
        if log[index - first][TERM] != message["prevLogTerm"]:
            return 0
        entries = message.get("entries", [])
        known = 0
        while known < len(entries) and index < last and log[index + 1 - first][TERM] == entries[known][TERM]:
            index += 1
            known += 1
        message["prevLogIdx"] = index
        message["prevLogTerm"] = log[index - first][TERM]
        message["entries"] = entries[known:]
        if message["entries"] or index == last:
            return 0
        for name in ("prevLogIdx", "prevLogTerm", "entries"):
            del message[name]
        message["commit_index"] = min(message["commit_index"], index)
        return int(index)

    @property
    def _log(self) -> Any:
        """The engine's journal: entries of command, index and term."""
        return self._syncObj._SyncObj__raftLog

    # --- for operators ----------------------------------------------------------------------------

    def describe(self, names: dict[str, str]) -> dict[str, object]:
        """The engine's state for the page, to find out why a fleet has no leader; `names` are by address.

        Read from another thread: each figure is correct, but not all of them are of the same instant.
        """
        engine = self._syncObj
        now = time.monotonic()
        status = engine.getStatus()
        log = self._log
        end = log[-1] if len(log) else (b"", 0, 0)
        leader = status["leader"]
        return {
            "state": ("follower", "candidate", "leader")[status["state"]],
            "term": status["raft_term"],
            "voted_for": names.get(engine._SyncObj__votedForNodeId),
            "leader": names.get(leader.id) if leader else None,
            "log_end": end[INDEX],
            "log_end_term": end[TERM],
            "committed": status["commit_idx"],
            "applied": status["last_applied"],
            "went_back": self.log_rewinds,
            "tick_s": round(now - (self.ticked_at or now), 2),
            "slowest_tick_s": round(self.slowest_tick, 2),
            "links": {
                names[node.id]: self._describe_link(node, connection, status, now)
                for node, connection in list(self._connections.items())
                if node.id in names
            },
        }

    def _describe_link(
        self, node: Node, connection: TcpConnection, status: dict[str, Any], now: float
    ) -> dict[str, object]:
        """One link: its state and for how long, which side dialled, and how far the follower's log agrees."""
        is_leader = status["state"] == LEADER
        return {
            "state": STATES[connection.state],
            "dialled": "here" if self._shouldConnect(node) else "there",
            "for_s": round(now - self.link_changed_at.get(node, now), 1),
            "match": status.get(f"match_idx_server_{node.id}", 0) if is_leader else None,
        }
